package queue

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// harness applies commands to one machine and keeps the log.
type harness struct {
	machine     *Machine
	index       uint64
	now         int64
	log         [][]byte
	times       []int64
	lastRelease *ReleaseCursor
	codes       []int32
	effects     *Effects
}

func newHarness() *harness { return &harness{machine: New("l")} }

func (b *harness) apply(command *schema.QueueCommand) *Effects {
	data, err := proto.Marshal(command)
	if err != nil {
		panic(err)
	}
	b.index++
	b.log, b.times = append(b.log, data), append(b.times, b.now)
	effects, err := b.machine.Apply(b.index, b.now, data)
	if err != nil {
		panic(err)
	}
	if effects.ReleaseCursor != nil {
		b.lastRelease = effects.ReleaseCursor
	}
	for _, outcome := range effects.Outcomes {
		b.codes = append(b.codes, outcome.Code)
	}
	b.effects = effects
	return effects
}

func sessionOf(client string) *schema.Session {
	return &schema.Session{Gateway: "i", Incarnation: 1, Client: client}
}

func simpleJob(tasks uint32) *schema.Job {
	return &schema.Job{Text: "text", Steps: []*schema.Step{{Name: "s", Tasks: tasks, CoresMilli: 1, AllowedFailures: 1}}}
}

func (b *harness) enqueue(client string, number uint64, name string, job *schema.Job) *Effects {
	return b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Enqueue{Enqueue: &schema.Enqueue{
		Session: sessionOf(client), Number: number, Name: name, Digest: []byte(job.Text), Job: job, StartUs: job.DelayUs,
	}}})
}

func key(job uint64, step, task uint32) *schema.TaskKey {
	return &schema.TaskKey{Job: job, Step: step, Task: task}
}

func (b *harness) startGang(job uint64, step uint32, attempts ...uint32) *Effects {
	return b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_StartGang{StartGang: &schema.StartGang{Job: job, Step: step, Attempts: attempts}}})
}

func (b *harness) checkout(keys ...*schema.TaskKey) *Effects {
	c := &schema.Checkout{}
	for _, k := range keys {
		c.Placements = append(c.Placements, &schema.Placement{Key: k, Worker: "w", Incarnation: 1})
	}
	return b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Checkout{Checkout: c}})
}

func (b *harness) settle(k *schema.TaskKey, attempt uint32) *Effects {
	return b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Settle{Settle: &schema.Settle{Key: k, Attempt: attempt}}})
}

func (b *harness) settleGang(k *schema.TaskKey, attempt uint32) *Effects {
	return b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Settle{Settle: &schema.Settle{Key: k, Attempt: attempt, WholeGang: true}}})
}

func (b *harness) returnTask(k *schema.TaskKey, attempt uint32, cause schema.ReturnCause) *Effects {
	return b.returnWithProgress(k, attempt, cause, "")
}

func (b *harness) returnWithProgress(k *schema.TaskKey, attempt uint32, cause schema.ReturnCause, saved string) *Effects {
	return b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Return{Return: &schema.Return{Key: k, Attempt: attempt, Cause: cause, Checkpoint: saved}}})
}

// restart replaces the machine by one made from its own state at rest.
func (b *harness) restart() {
	m, err := Restore("l", b.index, b.machine.Snapshot(false))
	if err != nil {
		panic(err)
	}
	if !bytes.Equal(m.Snapshot(false), b.machine.Snapshot(false)) {
		panic("restored to another state")
	}
	b.machine = m
}

// activeTasks lists the tasks the scheduler must know of, as "part round task standing".
func (b *harness) activeTasks() string {
	events, _ := b.machine.ActiveTasks()
	text := ""
	for _, s := range events {
		text += fmt.Sprint(s.Spec.Name, s.Round, ".", s.Key.Task, []string{"", "", "-out", "-stop"}[s.Status], " ")
	}
	return text
}

func (b *harness) eventOf(k *schema.TaskKey) *TaskEvent {
	events, _ := b.machine.ActiveTasks()
	for _, s := range events {
		if proto.Equal(&s.Key, k) {
			return s
		}
	}
	return nil
}

func (b *harness) cancel(name string) *Effects {
	return b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Cancel{Cancel: &schema.Cancel{Name: name}}})
}

func (b *harness) tick() *Effects {
	return b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Tick{Tick: &schema.Tick{}}})
}

func (b *harness) state(name string) string {
	view, found := b.machine.JobView(name)
	if !found {
		return "unknown"
	}
	return view.State
}

func TestPaperExample(t *testing.T) {
	Convey("The paper's worked example: six commands, released at index 2 with state B", t, func() {
		b := newHarness()
		b.machine.settings = &schema.ApplySettings{JobRetentionUs: DefaultRetentionUs, SnapshotInterval: 1, MaxRequeues: 9}
		b.enqueue("c", 1, "A", simpleJob(1))
		b.enqueue("c", 2, "B", simpleJob(1))
		b.checkout(key(1, 0, 0), key(2, 0, 0))
		So(b.settle(key(2, 0, 0), 1).ReleaseCursor, ShouldBeNil) // A is still live below
		b.enqueue("c", 3, "C", simpleJob(1))
		effects := b.settle(key(1, 0, 0), 1)
		So(effects.ReleaseCursor, ShouldNotBeNil)
		So(effects.ReleaseCursor.Index, ShouldEqual, 2)
		snapshot := &schema.QueueSnapshot{}
		So(proto.Unmarshal(effects.ReleaseCursor.Snapshot, snapshot), ShouldBeNil)
		So(snapshot.DehydratedJobs, ShouldEqual, 2)
		for _, jobSnapshot := range snapshot.Jobs {
			So(jobSnapshot.Job.Text, ShouldEqual, "")
		}
		Convey("and replay from there satisfies the checkout from the prefix", func() {
			m, err := Restore("l", 2, effects.ReleaseCursor.Snapshot)
			So(err, ShouldBeNil)
			for k := 2; k < len(b.log); k++ {
				_, err := m.Apply(uint64(k+1), b.times[k], b.log[k])
				So(err, ShouldBeNil)
			}
			So(bytes.Equal(m.Snapshot(false), b.machine.Snapshot(false)), ShouldBeTrue)
		})
	})
}

func TestSessions(t *testing.T) {
	Convey("Numbers above the next are held until the gap fills, and come out in order", t, func() {
		b := newHarness()
		So(len(b.enqueue("c", 3, "three", simpleJob(1)).Outcomes), ShouldEqual, 0)
		So(len(b.enqueue("c", 2, "two", simpleJob(1)).Outcomes), ShouldEqual, 0)
		effects := b.enqueue("c", 1, "one", simpleJob(1))
		So(len(effects.Outcomes), ShouldEqual, 3)
		for k, outcome := range effects.Outcomes {
			So(outcome.Number, ShouldEqual, uint64(k+1))
			So(outcome.Code, ShouldEqual, 201)
		}
		Convey("a number sent again is answered again and runs nothing twice", func() {
			effects := b.enqueue("c", 2, "two", simpleJob(1))
			So(effects.Outcomes[0].Code, ShouldEqual, 200)
			So(b.machine.LiveJobs(), ShouldEqual, 3)
		})
		Convey("the same name with other content is turned away, from any session", func() {
			other := simpleJob(1)
			other.Text = "other"
			So(b.enqueue("d", 1, "two", other).Outcomes[0].Code, ShouldEqual, 409)
			So(b.enqueue("d", 2, "two", simpleJob(1)).Outcomes[0].Code, ShouldEqual, 200)
			So(b.machine.LiveJobs(), ShouldEqual, 3)
		})
		Convey("a gateway that was given up can't come back and run what was forgotten", func() {
			b.enqueue("c", 9, "late", simpleJob(1))
			b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_EndSessions{EndSessions: &schema.EndSessions{Gateways: []*schema.ExpiredGateway{{Gateway: "i", Incarnation: 1}}}}})
			So(b.enqueue("c", 4, "four", simpleJob(1)).Outcomes[0].Code, ShouldEqual, 410)
			So(b.state("four"), ShouldEqual, "unknown")
			So(b.state("late"), ShouldEqual, "unknown")
		})
	})
}

func TestEndedJobNamesAreRetained(t *testing.T) {
	Convey("An ended job's name is kept for its span by queue time, and no longer", t, func() {
		b := newHarness()
		b.enqueue("c", 1, "one", simpleJob(1))
		b.checkout(key(1, 0, 0))
		b.now = 5_000_000
		b.settle(key(1, 0, 0), 1)
		So(b.state("one"), ShouldEqual, "complete")
		b.now += DefaultRetentionUs - 1
		So(b.enqueue("c", 2, "one", simpleJob(1)).Outcomes[0].Code, ShouldEqual, 200)
		So(b.machine.LiveJobs(), ShouldEqual, 0)
		b.now++
		b.tick()
		So(b.state("one"), ShouldEqual, "unknown")
	})
}

func TestSteps(t *testing.T) {
	diamond := &schema.Job{Text: "x", Steps: []*schema.Step{
		{Name: "a", Tasks: 2}, {Name: "b", Tasks: 1, Dependencies: []string{"a"}}, {Name: "c", Tasks: 1, Dependencies: []string{"a"}}, {Name: "d", Tasks: 1, Dependencies: []string{"b", "c"}},
	}}
	Convey("A step opens when all it waits for is done", t, func() {
		b := newHarness()
		b.enqueue("c", 1, "j", diamond)
		ready := func() string {
			list, _ := b.machine.ActiveTasks()
			text := ""
			for _, s := range list {
				if s.Status == Ready {
					text += fmt.Sprint(s.Spec.Name, s.Key.Task, " ")
				}
			}
			return text
		}
		So(ready(), ShouldEqual, "a0 a1 ")
		b.checkout(key(1, 1, 0))
		So(ready(), ShouldEqual, "a0 a1 ") // b can't be checked out yet
		b.checkout(key(1, 0, 0), key(1, 0, 1))
		b.settle(key(1, 0, 0), 1)
		So(ready(), ShouldEqual, "")
		b.settle(key(1, 0, 1), 1)
		So(ready(), ShouldEqual, "b0 c0 ")
		b.checkout(key(1, 1, 0), key(1, 2, 0))
		b.settle(key(1, 1, 0), 1)
		So(ready(), ShouldEqual, "")
		b.settle(key(1, 2, 0), 1)
		So(ready(), ShouldEqual, "d0 ")
		b.checkout(key(1, 3, 0))
		So(b.state("j"), ShouldEqual, "running")
		b.settle(key(1, 3, 0), 1)
		So(b.state("j"), ShouldEqual, "complete")
	})
	Convey("A timed job opens nothing before its time", t, func() {
		b := newHarness()
		job := simpleJob(1)
		job.DelayUs = 1_000_000
		b.enqueue("c", 1, "j", job)
		b.now = 999_999
		b.tick()
		b.checkout(key(1, 0, 0))
		So(b.state("j"), ShouldEqual, "timed")
		b.now++
		b.tick()
		So(b.state("j"), ShouldEqual, "running")
	})
}

func TestAttempts(t *testing.T) {
	Convey("Late reports of an older attempt change nothing", t, func() {
		b := newHarness()
		b.enqueue("c", 1, "j", simpleJob(1))
		b.checkout(key(1, 0, 0))
		b.returnTask(key(1, 0, 0), 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		b.checkout(key(1, 0, 0))
		before := b.machine.Snapshot(false)
		b.settle(key(1, 0, 0), 1)
		b.returnTask(key(1, 0, 0), 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
		So(bytes.Equal(before, b.machine.Snapshot(false)), ShouldBeTrue)
		b.settle(key(1, 0, 0), 2)
		So(b.state("j"), ShouldEqual, "complete")
	})
	Convey("Failures count against the allowed ones, displacements don't", t, func() {
		b := newHarness()
		b.enqueue("c", 1, "j", simpleJob(1))
		for attempt := uint32(1); attempt <= 10; attempt++ {
			b.checkout(key(1, 0, 0))
			b.returnTask(key(1, 0, 0), attempt, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST)
		}
		So(b.state("j"), ShouldEqual, "running")
		b.checkout(key(1, 0, 0))
		b.returnTask(key(1, 0, 0), 11, schema.ReturnCause_RETURN_CAUSE_FAILED)
		So(b.state("j"), ShouldEqual, "running")
		b.checkout(key(1, 0, 0))
		b.returnTask(key(1, 0, 0), 12, schema.ReturnCause_RETURN_CAUSE_FAILED)
		So(b.state("j"), ShouldEqual, "failed")
	})
	Convey("A member that fails by itself while its group is being stopped has failed all the same", t, func() {
		b := newHarness()
		b.enqueue("c", 1, "j", &schema.Job{Text: "x", Steps: []*schema.Step{{Name: "g", Tasks: 2, Gang: true, AllowedFailures: 1}}})
		for attempt := uint32(1); attempt <= 2; attempt++ {
			So(b.state("j"), ShouldEqual, "running")
			b.checkout(key(1, 0, 0), key(1, 0, 1))
			b.returnTask(key(1, 0, 0), attempt, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			b.returnTask(key(1, 0, 1), attempt, schema.ReturnCause_RETURN_CAUSE_FAILED)
		}
		So(b.state("j"), ShouldEqual, "failed")
	})
	Convey("A failure told late counts once, whatever the task does by then", t, func() {
		b := newHarness()
		b.enqueue("c", 1, "j", simpleJob(1))
		k := key(1, 0, 0)
		b.checkout(k)
		b.returnTask(k, 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST)
		b.checkout(k)
		b.returnTask(k, 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
		b.returnTask(k, 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
		So(b.state("j"), ShouldEqual, "running")
		So(b.machine.jobs[1].tasks[0][0].failures, ShouldEqual, 1)
		b.returnTask(k, 2, schema.ReturnCause_RETURN_CAUSE_FAILED)
		So(b.state("j"), ShouldEqual, "failed")
		Convey("and one too many ends the job while the next attempt is out", func() {
			job := simpleJob(1)
			job.Steps[0].AllowedFailures = 0
			b.enqueue("c", 2, "k", job)
			k := key(2, 0, 0)
			b.checkout(k)
			b.returnTask(k, 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST)
			b.checkout(k)
			b.returnTask(k, 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
			So(b.state("k"), ShouldEqual, "stopping")
			b.returnTask(k, 2, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			So(b.state("k"), ShouldEqual, "failed")
		})
	})
	Convey("But no task circles for ever", t, func() {
		b := newHarness()
		b.enqueue("c", 1, "j", simpleJob(1))
		for attempt := uint32(1); attempt <= DefaultMaxReturns+1; attempt++ {
			So(b.state("j"), ShouldEqual, "running")
			b.checkout(key(1, 0, 0))
			b.returnTask(key(1, 0, 0), attempt, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		}
		So(b.state("j"), ShouldEqual, "failed")
	})
}

func TestCancel(t *testing.T) {
	Convey("A cancelled job opens nothing more and ends when what runs has stopped", t, func() {
		b := newHarness()
		b.enqueue("c", 1, "j", simpleJob(3))
		b.checkout(key(1, 0, 0))
		effects := b.cancel("j")
		So(effects.CancelCode, ShouldEqual, 200)
		So(effects.CancelView.State, ShouldEqual, "stopping")
		b.checkout(key(1, 0, 1))
		list, _ := b.machine.ActiveTasks()
		So(len(list), ShouldEqual, 1)
		So(list[0].Status, ShouldEqual, Stopping)
		b.returnTask(key(1, 0, 0), 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		So(b.state("j"), ShouldEqual, "cancelled")
		So(b.cancel("j").CancelCode, ShouldEqual, 200)
		So(b.cancel("nobody").CancelCode, ShouldEqual, 404)
	})
}

func TestGangCheckout(t *testing.T) {
	gang := &schema.Job{Text: "x", Steps: []*schema.Step{{Name: "g", Tasks: 3, Gang: true, AllowedFailures: 2}}}
	all := []*schema.TaskKey{key(1, 0, 0), key(1, 0, 1), key(1, 0, 2)}
	checkedOut := func(b *harness) int {
		count := 0
		list, _ := b.machine.ActiveTasks()
		for _, s := range list {
			if s.Status == CheckedOut {
				count++
			}
		}
		return count
	}
	started := func(b *harness) int {
		count := 0
		list, _ := b.machine.ActiveTasks()
		for _, s := range list {
			if s.IsGangStarted {
				count++
			}
		}
		return count
	}
	Convey("A group is decided to begin as it was checked out, or not at all, and a successor knows it", t, func() {
		b := newHarness()
		b.enqueue("c", 1, "j", gang)
		b.startGang(1, 0, 1, 1, 1)
		So(started(b), ShouldEqual, 0)
		b.checkout(all...)
		b.startGang(1, 0, 1, 1, 2)
		b.startGang(1, 0, 1, 1)
		So(started(b), ShouldEqual, 0)
		b.startGang(1, 0, 1, 1, 1)
		So(started(b), ShouldEqual, 3)
		next, err := Restore("l", b.index, b.machine.Snapshot(true))
		So(err, ShouldBeNil)
		b.machine = next
		So(started(b), ShouldEqual, 3)
		// Broken, it has to be decided anew.
		b.returnTask(all[0], 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST)
		b.returnTask(all[1], 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		b.returnTask(all[2], 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		So(started(b), ShouldEqual, 0)
		b.checkout(all...)
		So(started(b), ShouldEqual, 0)
	})
	Convey("A group that must run together is checked out whole or not at all", t, func() {
		b := newHarness()
		b.enqueue("c", 1, "j", gang)
		b.checkout(all[:2]...)
		So(checkedOut(b), ShouldEqual, 0)
		b.checkout(all...)
		So(checkedOut(b), ShouldEqual, 3)
		Convey("and when a member fails, none is retried before all have stopped", func() {
			b.settle(all[2], 1)
			b.returnTask(all[0], 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
			list, _ := b.machine.ActiveTasks()
			So(len(list), ShouldEqual, 1)
			So(list[0].Status, ShouldEqual, Stopping)
			b.checkout(all...)
			So(checkedOut(b), ShouldEqual, 0)
			b.returnTask(all[1], 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			list, _ = b.machine.ActiveTasks()
			So(len(list), ShouldEqual, 3)
			b.checkout(all...)
			So(checkedOut(b), ShouldEqual, 3)
			for _, k := range all {
				So(b.state("j"), ShouldEqual, "running")
				b.settle(k, b.machine.jobs[1].tasks[0][k.Task].attempt)
			}
			So(b.state("j"), ShouldEqual, "complete")
		})
	})
}

func TestRounds(t *testing.T) {
	// b waits for a, twice over.
	rounds := func(count uint32, every int64) *schema.Job {
		return &schema.Job{Text: "x", DelayUs: 1_000_000, Rounds: count, PeriodUs: every, Steps: []*schema.Step{
			{Name: "a", Tasks: 2}, {Name: "b", Tasks: 1, Dependencies: []string{"a"}},
		}}
	}
	run := func(b *harness, keys ...*schema.TaskKey) {
		b.checkout(keys...)
		for _, k := range keys {
			b.settle(k, 1)
		}
	}
	Convey("A round opens when it is due and never before, beside those still under way", t, func() {
		b := newHarness()
		b.enqueue("c", 1, "j", rounds(3, 500_000))
		view, _ := b.machine.JobView("j")
		So(view.Tasks, ShouldEqual, 9)
		for round := int64(0); round < 3; round++ {
			due, found := b.machine.NextStart()
			So(found, ShouldBeTrue)
			So(due, ShouldEqual, 1_000_000+round*500_000)
			b.now = due - 1
			b.tick()
			So(b.machine.jobs[1].openedRounds, ShouldEqual, int(round))
			b.checkout(key(1, uint32(round)*2, 0))
			So(b.machine.jobs[1].checkedOut, ShouldEqual, 0)
			So(b.machine.TimedJobs(), ShouldEqual, 1)
			b.now = due
			b.tick()
			b.restart()
		}
		_, found := b.machine.NextStart()
		So(found, ShouldBeFalse)
		So(b.activeTasks(), ShouldEqual, "a0.0 a0.1 a1.0 a1.1 a2.0 a2.1 ")
		So(b.eventOf(key(1, 4, 1)).Round, ShouldEqual, 2)
		So(b.eventOf(key(1, 4, 1)).StepInRound, ShouldEqual, 0)
		Convey("what a step waits for is of its own round", func() {
			run(b, key(1, 2, 0), key(1, 2, 1))
			So(b.activeTasks(), ShouldEqual, "a0.0 a0.1 b1.0 a2.0 a2.1 ")
			view, _ := b.machine.JobView("j")
			So(view.Steps[0].State, ShouldEqual, "open")
			So(view.Steps[1].State, ShouldEqual, "open")
			So(view.Done, ShouldEqual, 2)
			Convey("and the job is complete when every round is", func() {
				run(b, key(1, 3, 0))
				run(b, key(1, 0, 0), key(1, 0, 1))
				run(b, key(1, 1, 0))
				run(b, key(1, 4, 0), key(1, 4, 1))
				So(b.state("j"), ShouldEqual, "running")
				run(b, key(1, 5, 0))
				view, _ := b.machine.JobView("j")
				So(view.State, ShouldEqual, "complete")
				So(view.Done, ShouldEqual, 9)
			})
		})
	})
	Convey("A job whose open rounds are done goes on with the next one", t, func() {
		b := newHarness()
		job := rounds(2, 500_000)
		job.DelayUs = 0
		b.now = 7_000_000
		b.enqueue("c", 1, "j", job) // at once: the rounds are counted from here
		run(b, key(1, 0, 0), key(1, 0, 1))
		run(b, key(1, 1, 0))
		So(b.state("j"), ShouldEqual, "running")
		So(b.activeTasks(), ShouldEqual, "")
		due, _ := b.machine.NextStart()
		So(due, ShouldEqual, 7_500_000)
		Convey("unless it is cancelled meanwhile", func() {
			b.cancel("j")
			So(b.state("j"), ShouldEqual, "cancelled")
			So(b.machine.TimedJobs(), ShouldEqual, 0)
		})
		Convey("also from a released checkpoint", func() {
			next, err := Restore("l", b.index, b.machine.Snapshot(true))
			So(err, ShouldBeNil)
			due, found := next.NextStart()
			So(found, ShouldBeTrue)
			So(due, ShouldEqual, 7_500_000)
			b.machine, b.now = next, 7_500_000
			b.tick()
			So(b.activeTasks(), ShouldEqual, "a1.0 a1.1 ")
		})
	})
	Convey("Rounds that are overdue open all at once, and a stopping job opens none", t, func() {
		b := newHarness()
		b.enqueue("c", 1, "j", rounds(4, 500_000))
		b.now = 2_100_000
		b.tick()
		So(b.activeTasks(), ShouldEqual, "a0.0 a0.1 a1.0 a1.1 a2.0 a2.1 ")
		b.checkout(key(1, 0, 0))
		b.cancel("j")
		So(b.machine.TimedJobs(), ShouldEqual, 0)
		b.restart()
		b.now = 9_000_000
		b.tick()
		So(b.activeTasks(), ShouldEqual, "a0.0-stop ")
		So(b.machine.jobs[1].openedRounds, ShouldEqual, 3)
		b.returnTask(key(1, 0, 0), 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		So(b.state("j"), ShouldEqual, "cancelled")
	})
}

func TestWallClockStarts(t *testing.T) {
	const day = int64(1_800_000_000_000_000) // of the time of day, at queue time 0
	job := func(wall, delay int64) *schema.Job {
		return &schema.Job{Text: "x", StartUnixUs: wall, DelayUs: delay, Rounds: 3, PeriodUs: 1_000_000, Steps: []*schema.Step{{Name: "a", Tasks: 1}}}
	}
	setWallOffset := func(b *harness, offset int64) {
		b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Tick{Tick: &schema.Tick{WallOffsetUs: offset}}})
	}
	enqueue := func(b *harness, number uint64, job *schema.Job, start int64) {
		b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Enqueue{Enqueue: &schema.Enqueue{
			Session: sessionOf("c"), Number: number, Name: fmt.Sprint("j", number), Digest: []byte("d"), Job: job, StartUs: start,
		}}})
	}
	Convey("Rounds keep to the time of day, though queue time stood still", t, func() {
		b := newHarness()
		setWallOffset(b, day)
		enqueue(b, 1, job(day+1_000_000, 0), 1_000_000)
		enqueue(b, 2, job(0, 1_000_000), 1_000_000)
		b.now = 1_000_000
		b.tick()
		So(b.activeTasks(), ShouldEqual, "a0.0 a0.0 ")
		// Nobody led for 1.6 s.
		b.now = 1_300_000
		setWallOffset(b, day+1_600_000)
		So(b.machine.WallOffset(), ShouldEqual, day+1_600_000)
		So(b.machine.jobs[1].openedRounds, ShouldEqual, 2)
		b.restart()
		b.now = 1_399_999
		b.tick()
		So(b.machine.jobs[1].openedRounds, ShouldEqual, 2)
		b.now = 1_400_000
		b.tick()
		So(b.machine.jobs[1].openedRounds, ShouldEqual, 3)
		Convey("but a delay is one of queue time", func() {
			So(b.machine.jobs[2].openedRounds, ShouldEqual, 1)
			b.now = 2_000_000
			b.tick()
			So(b.machine.jobs[2].openedRounds, ShouldEqual, 2)
		})
	})
	Convey("A clock that comes right puts off what is still to come and closes nothing", t, func() {
		b := newHarness()
		enqueue(b, 1, job(day+1_000_000, 0), 1_000_000)
		b.now = 1_000_000
		b.tick()
		setWallOffset(b, day-5_000_000)
		So(b.machine.jobs[1].openedRounds, ShouldEqual, 1)
		next, _ := b.machine.NextStart()
		So(next, ShouldEqual, 7_000_000)
	})
}

func TestGangSettle(t *testing.T) {
	gang := func(allowed uint32) *schema.Job {
		return &schema.Job{Text: "x", Steps: []*schema.Step{
			{Name: "g", Tasks: 3, Gang: true, Checkpoints: true, AllowedFailures: allowed}, {Name: "z", Tasks: 1, Dependencies: []string{"g"}},
		}}
	}
	all := []*schema.TaskKey{key(1, 0, 0), key(1, 0, 1), key(1, 0, 2)}
	begin := func(job *schema.Job) *harness {
		b := newHarness()
		b.enqueue("c", 1, "j", job)
		b.checkout(all...)
		return b
	}
	Convey("One member's end is the end of all, and later reports change nothing", t, func() {
		b := begin(gang(0))
		b.settleGang(all[1], 1)
		So(b.activeTasks(), ShouldEqual, "z0.0 ")
		before := b.machine.Snapshot(false)
		b.settleGang(all[0], 1)
		b.settle(all[0], 1)
		b.returnTask(all[2], 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
		So(bytes.Equal(before, b.machine.Snapshot(false)), ShouldBeTrue)
	})
	Convey("It is so too where members were taken for lost meanwhile", t, func() {
		b := begin(gang(0))
		b.returnTask(all[0], 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST)
		So(b.activeTasks(), ShouldEqual, "g0.1-stop g0.2-stop ")
		b.settleGang(all[2], 1)
		So(b.activeTasks(), ShouldEqual, "z0.0 ")
	})
	Convey("The end of an older start says nothing of the one that is out", t, func() {
		b := begin(gang(0))
		for _, k := range all {
			b.returnTask(k, 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		}
		b.checkout(all...)
		b.settleGang(all[0], 1)
		So(b.activeTasks(), ShouldEqual, "g0.0-out g0.1-out g0.2-out ")
	})
	Convey("Without the word that it is whole, every member tells its own end", t, func() {
		b := begin(gang(0))
		b.settle(all[0], 1)
		So(b.activeTasks(), ShouldEqual, "g0.1-out g0.2-out ")
	})
	Convey("However many members fail in one start, the group has failed once", t, func() {
		b := begin(gang(1))
		b.returnTask(all[0], 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST)
		b.returnTask(all[1], 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
		b.returnTask(all[2], 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
		b.restart()
		So(b.activeTasks(), ShouldEqual, "g0.0 g0.1 g0.2 ")
		So(b.eventOf(all[2]).Failures, ShouldEqual, 1)
		b.checkout(all...)
		b.returnTask(all[0], 1, schema.ReturnCause_RETURN_CAUSE_FAILED) // of the start that has been counted
		So(b.state("j"), ShouldEqual, "running")
		view, _ := b.machine.JobView("j")
		So(view.Steps[0].Failures, ShouldEqual, 1)
		So(view.StartedTasks, ShouldEqual, 6)
		Convey("and one failed start too many fails the job, to be seen at once", func() {
			b.returnTask(all[1], 2, schema.ReturnCause_RETURN_CAUSE_FAILED)
			view, _ := b.machine.JobView("j")
			So(view.State, ShouldEqual, "stopping")
			So(view.PendingOutcome, ShouldEqual, "failed")
			b.returnTask(all[0], 2, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			b.returnTask(all[2], 2, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			view, _ = b.machine.JobView("j")
			So(view.State, ShouldEqual, "failed")
			So(view.Reason, ShouldContainSubstring, "allowed failures")
		})
	})
	Convey("A failure of a lost member that nobody counted yet counts when it is told", t, func() {
		b := begin(gang(0))
		b.returnTask(all[0], 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST)
		b.returnTask(all[1], 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		b.returnTask(all[2], 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		b.checkout(all...)
		b.restart()
		b.returnTask(all[0], 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
		view, _ := b.machine.JobView("j")
		So(view.PendingOutcome, ShouldEqual, "failed")
	})
	Convey("Members that end because another did break the group once and count nothing", t, func() {
		b := begin(gang(0))
		for attempt := uint32(1); attempt <= 5; attempt++ {
			b.returnTask(all[2], attempt, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			b.returnTask(all[1], attempt, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			b.returnTask(all[0], attempt, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			b.checkout(all...)
		}
		So(b.state("j"), ShouldEqual, "running")
		So(b.machine.jobs[1].tasks[0][2].returns, ShouldEqual, 5)
		So(b.machine.jobs[1].tasks[0][0].returns, ShouldEqual, 0)
		for _, k := range all {
			So(b.eventOf(k).Attempt, ShouldEqual, 6)
		}
	})
	Convey("A group isn't whole by one member named twice", t, func() {
		b := newHarness()
		b.enqueue("c", 1, "j", gang(0))
		b.checkout(all[0], all[0], all[1])
		So(b.activeTasks(), ShouldEqual, "g0.0 g0.1 g0.2 ")
	})
	Convey("The newest text any member saved is carried to all", t, func() {
		b := begin(gang(3))
		b.returnWithProgress(all[0], 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST, "early")
		b.returnWithProgress(all[1], 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED, "late")
		b.returnWithProgress(all[2], 1, schema.ReturnCause_RETURN_CAUSE_FAILED, "")
		b.restart()
		b.checkout(all...)
		for _, k := range all {
			So(b.eventOf(k).Progress, ShouldEqual, "late")
		}
		b.settleGang(all[2], 2)
		So(b.machine.jobs[1].tasks[0][0].progress, ShouldEqual, "")
	})
}

func TestLastingSteps(t *testing.T) {
	Convey("What lasts is ready again however it ends, without limit, until it is cancelled", t, func() {
		b := newHarness()
		b.machine.settings = &schema.ApplySettings{JobRetentionUs: DefaultRetentionUs, SnapshotInterval: 64, MaxRequeues: 3}
		b.enqueue("c", 1, "j", &schema.Job{Text: "x", Steps: []*schema.Step{{Name: "s", Tasks: 1, RunUntilCancelled: true, Checkpoints: true}}})
		k := key(1, 0, 0)
		attempt := uint32(0)
		for turn := 0; turn < 30; turn++ {
			for _, cause := range []schema.ReturnCause{schema.ReturnCause_RETURN_CAUSE_NONE, schema.ReturnCause_RETURN_CAUSE_FAILED, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST, schema.ReturnCause_RETURN_CAUSE_PREEMPTED} {
				b.checkout(k)
				attempt++
				So(b.activeTasks(), ShouldEqual, "s0.0-out ")
				if cause == schema.ReturnCause_RETURN_CAUSE_NONE {
					b.settle(k, attempt)
				} else {
					b.returnWithProgress(k, attempt, cause, "so far")
				}
				So(b.activeTasks(), ShouldEqual, "s0.0 ")
			}
		}
		So(b.machine.jobs[1].tasks[0][0].lostAttempts, ShouldBeEmpty)
		So(b.eventOf(k).Failures, ShouldEqual, 0)
		So(b.eventOf(k).Progress, ShouldEqual, "so far")
		b.checkout(k)
		So(b.cancel("j").CancelView.PendingOutcome, ShouldEqual, "cancelled")
		b.settle(k, attempt+1)
		So(b.state("j"), ShouldEqual, "cancelled")
	})
	Convey("A lasting group begins anew as a whole", t, func() {
		for _, isWhole := range []bool{true, false} {
			b := newHarness()
			b.enqueue("c", 1, "j", &schema.Job{Text: "x", Steps: []*schema.Step{{Name: "g", Tasks: 2, Gang: true, RunUntilCancelled: true}}})
			b.checkout(key(1, 0, 0), key(1, 0, 1))
			if isWhole {
				b.settleGang(key(1, 0, 1), 1)
			} else {
				b.settle(key(1, 0, 1), 1)
				So(b.activeTasks(), ShouldEqual, "g0.0-stop ")
				b.settle(key(1, 0, 0), 1)
			}
			So(b.activeTasks(), ShouldEqual, "g0.0 g0.1 ")
			b.checkout(key(1, 0, 0), key(1, 0, 1))
			So(b.activeTasks(), ShouldEqual, "g0.0-out g0.1-out ")
			b.returnTask(key(1, 0, 0), 2, schema.ReturnCause_RETURN_CAUSE_FAILED)
			b.returnTask(key(1, 0, 1), 2, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			So(b.activeTasks(), ShouldEqual, "g0.0 g0.1 ")
		}
	})
}

func TestProgress(t *testing.T) {
	Convey("Kept progress goes with the next start, whatever ended the last one", t, func() {
		b := newHarness()
		job := simpleJob(1)
		job.Steps[0].Checkpoints = true
		job.Steps = append(job.Steps, &schema.Step{Name: "plain", Tasks: 1, CoresMilli: 1})
		b.enqueue("c", 1, "j", job)
		k := key(1, 0, 0)
		progress := func() string { return b.eventOf(k).Progress }
		checkoutAndReturn := func(attempt uint32, cause schema.ReturnCause, text string) {
			b.checkout(k)
			b.returnWithProgress(k, attempt, cause, text)
			b.restart()
		}
		checkoutAndReturn(1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST, "one")
		So(progress(), ShouldEqual, "one")
		checkoutAndReturn(2, schema.ReturnCause_RETURN_CAUSE_PREEMPTED, "two")
		So(progress(), ShouldEqual, "two")
		checkoutAndReturn(3, schema.ReturnCause_RETURN_CAUSE_PREEMPTED, "")
		So(progress(), ShouldEqual, "two")
		checkoutAndReturn(4, schema.ReturnCause_RETURN_CAUSE_FAILED, strings.Repeat("x", 257))
		So(progress(), ShouldEqual, "two")
		b.returnWithProgress(k, 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED, "stale")
		So(progress(), ShouldEqual, "two")
		b.checkout(k)
		So(progress(), ShouldEqual, "two")
		b.settle(k, 5)
		So(b.machine.jobs[1].tasks[0][0].progress, ShouldEqual, "")
		Convey("and a step that keeps none gets none", func() {
			k := key(1, 1, 0)
			b.checkout(k)
			b.returnWithProgress(k, 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED, "text")
			So(b.eventOf(k).Progress, ShouldEqual, "")
		})
	})
}

func TestCounts(t *testing.T) {
	Convey("Waiting are the tasks that could be checked out now", t, func() {
		b := newHarness()
		b.enqueue("c", 1, "j", &schema.Job{Text: "x", Steps: []*schema.Step{
			{Name: "a", Tasks: 3}, {Name: "b", Tasks: 5, Dependencies: []string{"a"}}, {Name: "g", Tasks: 2, Gang: true},
		}})
		later := simpleJob(7)
		later.DelayUs = 1_000_000
		b.enqueue("c", 2, "k", later)
		So(proto.Equal(b.machine.Counts(), &schema.QueueCounts{Live: 2, Waiting: 5}), ShouldBeTrue)
		b.checkout(key(1, 0, 0), key(1, 2, 0), key(1, 2, 1))
		So(proto.Equal(b.machine.Counts(), &schema.QueueCounts{Live: 2, Waiting: 2, Out: 3}), ShouldBeTrue)
		b.cancel("j")
		So(proto.Equal(b.machine.Counts(), &schema.QueueCounts{Live: 2, Out: 3}), ShouldBeTrue)
		view, _ := b.machine.JobView("j")
		So(view.StartedTasks, ShouldEqual, 3)
		So(view.PendingOutcome, ShouldEqual, "cancelled")
	})
}

func TestEventSequenceHasNoGaps(t *testing.T) {
	Convey("Hand-overs and all other shifts are numbered one by one", t, func() {
		b := newHarness()
		next := uint64(1)
		check := func(effects *Effects) {
			for _, s := range effects.Events {
				So(s.Sequence, ShouldEqual, next)
				next++
			}
		}
		check(b.enqueue("c", 1, "j", simpleJob(3)))
		check(b.checkout(key(1, 0, 0), key(1, 0, 1)))
		check(b.returnTask(key(1, 0, 0), 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST))
		check(b.cancel("j"))
		So(next, ShouldBeGreaterThan, 6)
		So(b.machine.LastSequence(), ShouldEqual, next-1)
	})
}

func TestReenqueueReleasesLog(t *testing.T) {
	Convey("A job that lasts pins the log until it is carried, and nothing else of it changes", t, func() {
		b := newHarness()
		b.enqueue("c", 1, "old", simpleJob(2))
		b.checkout(key(1, 0, 0))
		for k := uint64(2); k < 300; k++ {
			b.enqueue("c", k, fmt.Sprint("n", k), simpleJob(1))
			b.checkout(key(k, 0, 0))
			b.settle(key(k, 0, 0), 1)
		}
		So(b.lastRelease, ShouldBeNil)
		id, index, payload := b.machine.OldestJob()
		So(id, ShouldEqual, 1)
		So(index, ShouldEqual, 1)
		before, _ := b.machine.JobView("old")
		b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Reenqueue{Reenqueue: &schema.Reenqueue{Job: id, Payload: payload}}})
		after, _ := b.machine.JobView("old")
		So(proto.Equal(before, after), ShouldBeTrue)
		So(b.lastRelease, ShouldNotBeNil)
		So(b.lastRelease.Index, ShouldBeGreaterThan, 700)
		So(b.machine.Reenqueues(), ShouldEqual, 1)
		b.settle(key(1, 0, 0), 1)
		b.checkout(key(1, 0, 1))
		b.settle(key(1, 0, 1), 1)
		So(b.state("old"), ShouldEqual, "complete")
	})
}

// TestReplayEquivalence: on random histories, replay from every released
// checkpoint gives the state that the whole log gives.
func TestReplayEquivalence(t *testing.T) {
	releases := 0
	for seed := uint64(1); seed <= 150; seed++ {
		rng := rand.New(rand.NewPCG(seed, 3))
		b := newHarness()
		b.machine.settings = &schema.ApplySettings{JobRetentionUs: 3_000_000, SnapshotInterval: 4, MaxRequeues: 3}
		numbers := map[string]uint64{}
		var last *ReleaseCursor
		for k := 0; k < 600; k++ {
			b.now += rng.Int64N(100_000)
			randomCommand(b, rng, numbers)
			if fault := invariantViolation(b.machine); fault != "" {
				t.Fatalf("seed %d: at index %d, %s", seed, b.index, fault)
			}
			if b.lastRelease == nil || b.lastRelease == last {
				continue
			}
			last = b.lastRelease
			releases++
			m, err := Restore("l", last.Index, last.Snapshot)
			if err != nil {
				t.Fatal(err)
			}
			for i := int(last.Index); i < len(b.log); i++ {
				if _, err := m.Apply(uint64(i+1), b.times[i], b.log[i]); err != nil {
					t.Fatal(err)
				}
			}
			if !bytes.Equal(m.Snapshot(false), b.machine.Snapshot(false)) {
				t.Fatalf("seed %d: at index %d, replay from %d gives another state", seed, b.index, last.Index)
			}
		}
	}
	if releases < 200 {
		t.Fatalf("only %d releases were tried", releases)
	}
}

// invariantViolation names what the running numbers of a machine say wrongly.
func invariantViolation(m *Machine) string {
	waiting, checkedOut, timed := uint32(0), uint32(0), 0
	for _, j := range m.jobsInOrder() {
		jobCheckedOut, unfinishedSteps := 0, 0
		for s, tasks := range j.tasks {
			unfinished, stepCheckedOut, failures := int(j.step(s).Tasks), 0, uint32(0)
			for t := range tasks {
				switch tasks[t].state {
				case schema.TaskState_TASK_DONE:
					unfinished--
				case schema.TaskState_TASK_CHECKED_OUT:
					stepCheckedOut++
				}
				if j.status(s, t) == Ready {
					waiting++
				}
				failures += tasks[t].failures
				if j.step(s).Gang && tasks[t].state == schema.TaskState_TASK_CHECKED_OUT && tasks[t].attempt != tasks[0].attempt {
					return "members of one start have other numbers"
				}
			}
			if unfinished != j.unfinishedTasks[s] || stepCheckedOut != j.checkedOutTasks[s] || failures != j.failures[s] {
				return fmt.Sprint("step ", s, " has ", unfinished, " left, ", stepCheckedOut, " out and ", failures, " failures, noted ", j.unfinishedTasks[s], ", ", j.checkedOutTasks[s], " and ", j.failures[s])
			}
			if unfinished > 0 {
				unfinishedSteps++
			}
			jobCheckedOut += stepCheckedOut
			if tasks != nil && j.startUs+int64(s/j.stepsPerRound())*j.spec.PeriodUs > m.now {
				return "a round is open before its time"
			}
		}
		if jobCheckedOut != j.checkedOut || unfinishedSteps != j.unfinishedSteps || unfinishedSteps == 0 {
			return fmt.Sprint("job ", j.id, " has ", jobCheckedOut, " out and ", unfinishedSteps, " steps unfinished, noted ", j.checkedOut, " and ", j.unfinishedSteps)
		}
		if j.openedRounds < j.rounds() && j.state != schema.JobState_JOB_STOPPING {
			timed++
			if j.nextRoundUs() <= m.now {
				return "a due round isn't open"
			}
		}
		checkedOut += uint32(jobCheckedOut)
	}
	pendingEnqueues := 0
	for _, s := range m.sessions {
		pendingEnqueues += len(s.pending)
	}
	counts := m.Counts()
	if counts.Waiting != waiting || counts.Out != checkedOut || int(counts.Live) != len(m.jobs) || timed != m.TimedJobs() || pendingEnqueues != m.pendingEnqueues {
		return fmt.Sprint("counts ", counts, " for ", waiting, " waiting and ", checkedOut, " out; ", timed, " pending of ", m.TimedJobs(), "; held ", pendingEnqueues, " of ", m.pendingEnqueues)
	}
	return ""
}

func randomCommand(b *harness, rng *rand.Rand, numbers map[string]uint64) {
	pick := func() *schema.TaskKey {
		jobs := b.machine.jobsInOrder()
		if len(jobs) == 0 {
			return key(1, 0, 0)
		}
		j := jobs[rng.IntN(min(len(jobs), 4))]
		s := rng.IntN(max(1, j.firstStep(j.openedRounds)))
		if len(j.tasks[s]) == 0 {
			return key(j.id, uint32(s), 0)
		}
		return key(j.id, uint32(s), uint32(rng.IntN(len(j.tasks[s]))))
	}
	tasks := func(k *schema.TaskKey) []task {
		if j := b.machine.jobs[k.Job]; j != nil {
			return j.tasks[k.Step]
		}
		return nil
	}
	attempt := func(k *schema.TaskKey) uint32 {
		if list := tasks(k); len(list) > 0 {
			// Now and then a report comes late.
			return max(list[k.Task].attempt, 1) - uint32(rng.IntN(6)/5)
		}
		return 1
	}
	switch rng.IntN(15) {
	case 14:
		k := pick()
		var attempts []uint32
		for _, each := range tasks(k) {
			attempts = append(attempts, each.attempt)
		}
		b.startGang(k.Job, k.Step, attempts...)
	case 0, 1:
		client := fmt.Sprint("c", rng.IntN(3))
		numbers[client]++
		number := numbers[client]
		if rng.IntN(4) == 0 {
			number += uint64(rng.IntN(3)) // out of order, or leaving a gap
		}
		job := simpleJob(uint32(1 + rng.IntN(3)))
		job.Text = fmt.Sprint("text", rng.IntN(2))
		if rng.IntN(3) == 0 {
			job.Steps = append(job.Steps, &schema.Step{Name: "t", Tasks: 2, Dependencies: []string{"s"}, Gang: true, AllowedFailures: 1})
		}
		if rng.IntN(5) == 0 {
			job.DelayUs = b.now + rng.Int64N(400_000)
		}
		if rng.IntN(3) == 0 {
			job.Rounds, job.PeriodUs = uint32(1+rng.IntN(4)), rng.Int64N(300_000)
		}
		for _, step := range job.Steps {
			step.Checkpoints, step.RunUntilCancelled = rng.IntN(2) == 0, rng.IntN(12) == 0
			step.Gang = step.Gang || rng.IntN(4) == 0
		}
		b.enqueue(client, number, fmt.Sprint("j", rng.IntN(200)), job)
	case 2, 3, 4, 5:
		k := pick()
		keys := []*schema.TaskKey{k}
		if j := b.machine.jobs[k.Job]; j != nil && j.step(int(k.Step)).Gang {
			keys = nil
			for i := range j.tasks[k.Step] {
				keys = append(keys, key(k.Job, k.Step, uint32(i)))
			}
		}
		b.checkout(keys...)
	case 6, 7, 8, 9:
		k := pick()
		if rng.IntN(2) == 0 {
			b.settleGang(k, attempt(k))
			return
		}
		b.settle(k, attempt(k))
	case 10:
		k := pick()
		saved := ""
		if rng.IntN(2) == 0 {
			saved = fmt.Sprint("at ", b.index)
		}
		b.returnWithProgress(k, attempt(k), schema.ReturnCause(1+rng.IntN(3)), saved)
	case 11:
		b.cancel(fmt.Sprint("j", rng.IntN(200)))
	case 12:
		if rng.IntN(4) == 0 {
			if id, _, payload := b.machine.OldestJob(); id != 0 {
				b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Reenqueue{Reenqueue: &schema.Reenqueue{Job: id, Payload: payload}}})
			}
			return
		}
		b.tick()
	case 13:
		if rng.IntN(6) == 0 {
			client := fmt.Sprint("c", rng.IntN(3))
			b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_EndSessions{EndSessions: &schema.EndSessions{Sessions: []*schema.Session{sessionOf(client)}}}})
			numbers[client] = 0
			return
		}
		b.tick()
	}
}

func TestCriticalPathAndRoundAge(t *testing.T) {
	Convey("The scheduler is told a round's age and the longest way through it", t, func() {
		b := newHarness()
		b.now = 5_000_000
		b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Tick{Tick: &schema.Tick{}}})
		effects := b.enqueue("c", 1, "j", &schema.Job{Text: "x", Rounds: 2, PeriodUs: 1_000_000, Steps: []*schema.Step{
			{Name: "a", Tasks: 2, CoresMilli: 100, EstimatedRunUs: 10},
			{Name: "b", Tasks: 1, CoresMilli: 100, EstimatedRunUs: 50},
			{Name: "c", Tasks: 3, CoresMilli: 200, EstimatedRunUs: 20, Dependencies: []string{"a"}},
			{Name: "d", Tasks: 1, CoresMilli: 100, EstimatedRunUs: 30, Dependencies: []string{"b", "c"}},
		}})
		stepA, stepB, stepC, stepD := PathStep{10, 200}, PathStep{50, 100}, PathStep{20, 600}, PathStep{30, 100}
		So(len(effects.Events), ShouldEqual, 3)
		So(effects.Events[0].RemainingPath, ShouldResemble, []PathStep{stepA, stepC, stepD})
		So(effects.Events[2].RemainingPath, ShouldResemble, []PathStep{stepB, stepD})
		for _, event := range effects.Events {
			So(event.CriticalPath, ShouldResemble, []PathStep{stepB, stepD})
			So(event.RoundAgeUs, ShouldEqual, 0)
		}
		b.now += 3_000_000
		b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Tick{Tick: &schema.Tick{}}})
		list, _ := b.machine.ActiveTasks()
		ages := map[uint32]int64{}
		for _, event := range list {
			ages[event.Round] = event.RoundAgeUs
		}
		So(ages, ShouldResemble, map[uint32]int64{0: 3_000_000, 1: 2_000_000})
	})
}
