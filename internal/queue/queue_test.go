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

// bench applies commands to one machine and keeps the log.
type bench struct {
	m        *Machine
	index    uint64
	at       int64
	log      [][]byte
	ats      []int64
	released *Release
	codes    []int32
	effects  *Effects
}

func newBench() *bench { return &bench{m: New("l")} }

func (b *bench) apply(command *schema.QueueCommand) *Effects {
	data, err := proto.Marshal(command)
	if err != nil {
		panic(err)
	}
	b.index++
	b.log, b.ats = append(b.log, data), append(b.ats, b.at)
	effects, err := b.m.Apply(b.index, b.at, data)
	if err != nil {
		panic(err)
	}
	if effects.Release != nil {
		b.released = effects.Release
	}
	for _, outcome := range effects.Outcomes {
		b.codes = append(b.codes, outcome.Code)
	}
	b.effects = effects
	return effects
}

func who(client string) *schema.Session {
	return &schema.Session{Gateway: "i", Incarnation: 1, Client: client}
}

func simple(tasks uint32) *schema.Job {
	return &schema.Job{Text: "text", Steps: []*schema.Step{{Name: "s", Tasks: tasks, CoresMilli: 1, AllowedFailures: 1}}}
}

func (b *bench) enqueue(client string, number uint64, name string, job *schema.Job) *Effects {
	return b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Enqueue{Enqueue: &schema.Enqueue{
		Session: who(client), Number: number, Name: name, Digest: []byte(job.Text), Job: job, StartUs: job.DelayUs,
	}}})
}

func key(job uint64, step, task uint32) *schema.TaskKey {
	return &schema.TaskKey{Job: job, Step: step, Task: task}
}

func (b *bench) launch(job uint64, step uint32, attempts ...uint32) *Effects {
	return b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_StartGang{StartGang: &schema.StartGang{Job: job, Step: step, Attempts: attempts}}})
}

func (b *bench) checkout(keys ...*schema.TaskKey) *Effects {
	c := &schema.Checkout{}
	for _, k := range keys {
		c.Placements = append(c.Placements, &schema.Placement{Key: k, Worker: "w", Incarnation: 1})
	}
	return b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Checkout{Checkout: c}})
}

func (b *bench) settle(k *schema.TaskKey, attempt uint32) *Effects {
	return b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Settle{Settle: &schema.Settle{Key: k, Attempt: attempt}}})
}

func (b *bench) settleWhole(k *schema.TaskKey, attempt uint32) *Effects {
	return b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Settle{Settle: &schema.Settle{Key: k, Attempt: attempt, WholeGang: true}}})
}

func (b *bench) giveBack(k *schema.TaskKey, attempt uint32, cause schema.ReturnCause) *Effects {
	return b.giveBackSaved(k, attempt, cause, "")
}

func (b *bench) giveBackSaved(k *schema.TaskKey, attempt uint32, cause schema.ReturnCause, saved string) *Effects {
	return b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Return{Return: &schema.Return{Key: k, Attempt: attempt, Cause: cause, Checkpoint: saved}}})
}

// again replaces the machine by one made from its own state at rest.
func (b *bench) again() {
	m, err := Restore("l", b.index, b.m.Rest(false))
	if err != nil {
		panic(err)
	}
	if !bytes.Equal(m.Rest(false), b.m.Rest(false)) {
		panic("restored to another state")
	}
	b.m = m
}

// seen lists the tasks the scheduler must know of, as "part round task standing".
func (b *bench) seen() string {
	list, _ := b.m.Standings()
	text := ""
	for _, s := range list {
		text += fmt.Sprint(s.Spec.Name, s.Round, ".", s.Key.Task, []string{"", "", "-out", "-stop"}[s.State], " ")
	}
	return text
}

func (b *bench) shiftOf(k *schema.TaskKey) *Shift {
	list, _ := b.m.Standings()
	for _, s := range list {
		if proto.Equal(&s.Key, k) {
			return s
		}
	}
	return nil
}

func (b *bench) cancel(name string) *Effects {
	return b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Cancel{Cancel: &schema.Cancel{Name: name}}})
}

func (b *bench) tick() *Effects {
	return b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Tick{Tick: &schema.Tick{}}})
}

func (b *bench) state(name string) string {
	view, isKnown := b.m.View(name)
	if !isKnown {
		return "unknown"
	}
	return view.State
}

func TestWorkedExample(t *testing.T) {
	Convey("The paper's worked example: six commands, released at index 2 with state B", t, func() {
		b := newBench()
		b.m.adopt = &schema.ApplySettings{JobRetentionUs: DefaultStatusUs, SnapshotInterval: 1, MaxRequeues: 9}
		b.enqueue("c", 1, "A", simple(1))
		b.enqueue("c", 2, "B", simple(1))
		b.checkout(key(1, 0, 0), key(2, 0, 0))
		So(b.settle(key(2, 0, 0), 1).Release, ShouldBeNil) // A is still live below
		b.enqueue("c", 3, "C", simple(1))
		effects := b.settle(key(1, 0, 0), 1)
		So(effects.Release, ShouldNotBeNil)
		So(effects.Release.Index, ShouldEqual, 2)
		rest := &schema.QueueSnapshot{}
		So(proto.Unmarshal(effects.Release.Data, rest), ShouldBeNil)
		So(rest.DehydratedJobs, ShouldEqual, 2)
		for _, jr := range rest.Jobs {
			So(jr.Job.Text, ShouldEqual, "")
		}
		Convey("and replay from there satisfies the checkout from the prefix", func() {
			m, err := Restore("l", 2, effects.Release.Data)
			So(err, ShouldBeNil)
			for k := 2; k < len(b.log); k++ {
				_, err := m.Apply(uint64(k+1), b.ats[k], b.log[k])
				So(err, ShouldBeNil)
			}
			So(bytes.Equal(m.Rest(false), b.m.Rest(false)), ShouldBeTrue)
		})
	})
}

func TestSessions(t *testing.T) {
	Convey("Numbers above the next are held until the gap fills, and come out in order", t, func() {
		b := newBench()
		So(len(b.enqueue("c", 3, "three", simple(1)).Outcomes), ShouldEqual, 0)
		So(len(b.enqueue("c", 2, "two", simple(1)).Outcomes), ShouldEqual, 0)
		effects := b.enqueue("c", 1, "one", simple(1))
		So(len(effects.Outcomes), ShouldEqual, 3)
		for k, outcome := range effects.Outcomes {
			So(outcome.Number, ShouldEqual, uint64(k+1))
			So(outcome.Code, ShouldEqual, 201)
		}
		Convey("a number sent again is answered again and runs nothing twice", func() {
			effects := b.enqueue("c", 2, "two", simple(1))
			So(effects.Outcomes[0].Code, ShouldEqual, 200)
			So(b.m.Live(), ShouldEqual, 3)
		})
		Convey("the same name with other content is turned away, from any session", func() {
			other := simple(1)
			other.Text = "other"
			So(b.enqueue("d", 1, "two", other).Outcomes[0].Code, ShouldEqual, 409)
			So(b.enqueue("d", 2, "two", simple(1)).Outcomes[0].Code, ShouldEqual, 200)
			So(b.m.Live(), ShouldEqual, 3)
		})
		Convey("a gateway that was given up can't come back and run what was forgotten", func() {
			b.enqueue("c", 9, "late", simple(1))
			b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_EndSessions{EndSessions: &schema.EndSessions{Gateways: []*schema.ExpiredGateway{{Gateway: "i", Incarnation: 1}}}}})
			So(b.enqueue("c", 4, "four", simple(1)).Outcomes[0].Code, ShouldEqual, 410)
			So(b.state("four"), ShouldEqual, "unknown")
			So(b.state("late"), ShouldEqual, "unknown")
		})
	})
}

func TestNamesAreKept(t *testing.T) {
	Convey("An ended job's name is kept for its span by queue time, and no longer", t, func() {
		b := newBench()
		b.enqueue("c", 1, "one", simple(1))
		b.checkout(key(1, 0, 0))
		b.at = 5_000_000
		b.settle(key(1, 0, 0), 1)
		So(b.state("one"), ShouldEqual, "complete")
		b.at += DefaultStatusUs - 1
		So(b.enqueue("c", 2, "one", simple(1)).Outcomes[0].Code, ShouldEqual, 200)
		So(b.m.Live(), ShouldEqual, 0)
		b.at++
		b.tick()
		So(b.state("one"), ShouldEqual, "unknown")
	})
}

func TestSteps(t *testing.T) {
	diamond := &schema.Job{Text: "x", Steps: []*schema.Step{
		{Name: "a", Tasks: 2}, {Name: "b", Tasks: 1, Dependencies: []string{"a"}}, {Name: "c", Tasks: 1, Dependencies: []string{"a"}}, {Name: "d", Tasks: 1, Dependencies: []string{"b", "c"}},
	}}
	Convey("A step opens when all it waits for is done", t, func() {
		b := newBench()
		b.enqueue("c", 1, "j", diamond)
		ready := func() string {
			list, _ := b.m.Standings()
			text := ""
			for _, s := range list {
				if s.State == Ready {
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
		b := newBench()
		job := simple(1)
		job.DelayUs = 1_000_000
		b.enqueue("c", 1, "j", job)
		b.at = 999_999
		b.tick()
		b.checkout(key(1, 0, 0))
		So(b.state("j"), ShouldEqual, "timed")
		b.at++
		b.tick()
		So(b.state("j"), ShouldEqual, "running")
	})
}

func TestAttempts(t *testing.T) {
	Convey("Late reports of an older attempt change nothing", t, func() {
		b := newBench()
		b.enqueue("c", 1, "j", simple(1))
		b.checkout(key(1, 0, 0))
		b.giveBack(key(1, 0, 0), 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		b.checkout(key(1, 0, 0))
		before := b.m.Rest(false)
		b.settle(key(1, 0, 0), 1)
		b.giveBack(key(1, 0, 0), 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
		So(bytes.Equal(before, b.m.Rest(false)), ShouldBeTrue)
		b.settle(key(1, 0, 0), 2)
		So(b.state("j"), ShouldEqual, "complete")
	})
	Convey("Failures count against the allowed ones, displacements don't", t, func() {
		b := newBench()
		b.enqueue("c", 1, "j", simple(1))
		for attempt := uint32(1); attempt <= 10; attempt++ {
			b.checkout(key(1, 0, 0))
			b.giveBack(key(1, 0, 0), attempt, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST)
		}
		So(b.state("j"), ShouldEqual, "running")
		b.checkout(key(1, 0, 0))
		b.giveBack(key(1, 0, 0), 11, schema.ReturnCause_RETURN_CAUSE_FAILED)
		So(b.state("j"), ShouldEqual, "running")
		b.checkout(key(1, 0, 0))
		b.giveBack(key(1, 0, 0), 12, schema.ReturnCause_RETURN_CAUSE_FAILED)
		So(b.state("j"), ShouldEqual, "failed")
	})
	Convey("A member that fails by itself while its group is being stopped has failed all the same", t, func() {
		b := newBench()
		b.enqueue("c", 1, "j", &schema.Job{Text: "x", Steps: []*schema.Step{{Name: "g", Tasks: 2, Gang: true, AllowedFailures: 1}}})
		for attempt := uint32(1); attempt <= 2; attempt++ {
			So(b.state("j"), ShouldEqual, "running")
			b.checkout(key(1, 0, 0), key(1, 0, 1))
			b.giveBack(key(1, 0, 0), attempt, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			b.giveBack(key(1, 0, 1), attempt, schema.ReturnCause_RETURN_CAUSE_FAILED)
		}
		So(b.state("j"), ShouldEqual, "failed")
	})
	Convey("A failure told late counts once, whatever the task does by then", t, func() {
		b := newBench()
		b.enqueue("c", 1, "j", simple(1))
		k := key(1, 0, 0)
		b.checkout(k)
		b.giveBack(k, 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST)
		b.checkout(k)
		b.giveBack(k, 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
		b.giveBack(k, 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
		So(b.state("j"), ShouldEqual, "running")
		So(b.m.jobs[1].tasks[0][0].failures, ShouldEqual, 1)
		b.giveBack(k, 2, schema.ReturnCause_RETURN_CAUSE_FAILED)
		So(b.state("j"), ShouldEqual, "failed")
		Convey("and one too many ends the job while the next attempt is out", func() {
			job := simple(1)
			job.Steps[0].AllowedFailures = 0
			b.enqueue("c", 2, "k", job)
			k := key(2, 0, 0)
			b.checkout(k)
			b.giveBack(k, 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST)
			b.checkout(k)
			b.giveBack(k, 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
			So(b.state("k"), ShouldEqual, "stopping")
			b.giveBack(k, 2, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			So(b.state("k"), ShouldEqual, "failed")
		})
	})
	Convey("But no task circles for ever", t, func() {
		b := newBench()
		b.enqueue("c", 1, "j", simple(1))
		for attempt := uint32(1); attempt <= DefaultCircles+1; attempt++ {
			So(b.state("j"), ShouldEqual, "running")
			b.checkout(key(1, 0, 0))
			b.giveBack(key(1, 0, 0), attempt, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		}
		So(b.state("j"), ShouldEqual, "failed")
	})
}

func TestCancel(t *testing.T) {
	Convey("A cancelled job opens nothing more and ends when what runs has stopped", t, func() {
		b := newBench()
		b.enqueue("c", 1, "j", simple(3))
		b.checkout(key(1, 0, 0))
		effects := b.cancel("j")
		So(effects.Code, ShouldEqual, 200)
		So(effects.View.State, ShouldEqual, "stopping")
		b.checkout(key(1, 0, 1))
		list, _ := b.m.Standings()
		So(len(list), ShouldEqual, 1)
		So(list[0].State, ShouldEqual, Stopping)
		b.giveBack(key(1, 0, 0), 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		So(b.state("j"), ShouldEqual, "cancelled")
		So(b.cancel("j").Code, ShouldEqual, 200)
		So(b.cancel("nobody").Code, ShouldEqual, 404)
	})
}

func TestTogether(t *testing.T) {
	gang := &schema.Job{Text: "x", Steps: []*schema.Step{{Name: "g", Tasks: 3, Gang: true, AllowedFailures: 2}}}
	all := []*schema.TaskKey{key(1, 0, 0), key(1, 0, 1), key(1, 0, 2)}
	out := func(b *bench) int {
		count := 0
		list, _ := b.m.Standings()
		for _, s := range list {
			if s.State == Out {
				count++
			}
		}
		return count
	}
	launched := func(b *bench) int {
		count := 0
		list, _ := b.m.Standings()
		for _, s := range list {
			if s.IsLaunched {
				count++
			}
		}
		return count
	}
	Convey("A group is decided to begin as it was checked out, or not at all, and a successor knows it", t, func() {
		b := newBench()
		b.enqueue("c", 1, "j", gang)
		b.launch(1, 0, 1, 1, 1)
		So(launched(b), ShouldEqual, 0)
		b.checkout(all...)
		b.launch(1, 0, 1, 1, 2)
		b.launch(1, 0, 1, 1)
		So(launched(b), ShouldEqual, 0)
		b.launch(1, 0, 1, 1, 1)
		So(launched(b), ShouldEqual, 3)
		next, err := Restore("l", b.index, b.m.Rest(true))
		So(err, ShouldBeNil)
		b.m = next
		So(launched(b), ShouldEqual, 3)
		// Broken, it has to be decided anew.
		b.giveBack(all[0], 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST)
		b.giveBack(all[1], 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		b.giveBack(all[2], 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		So(launched(b), ShouldEqual, 0)
		b.checkout(all...)
		So(launched(b), ShouldEqual, 0)
	})
	Convey("A group that must run together is checked out whole or not at all", t, func() {
		b := newBench()
		b.enqueue("c", 1, "j", gang)
		b.checkout(all[:2]...)
		So(out(b), ShouldEqual, 0)
		b.checkout(all...)
		So(out(b), ShouldEqual, 3)
		Convey("and when a member fails, none is retried before all have stopped", func() {
			b.settle(all[2], 1)
			b.giveBack(all[0], 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
			list, _ := b.m.Standings()
			So(len(list), ShouldEqual, 1)
			So(list[0].State, ShouldEqual, Stopping)
			b.checkout(all...)
			So(out(b), ShouldEqual, 0)
			b.giveBack(all[1], 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			list, _ = b.m.Standings()
			So(len(list), ShouldEqual, 3)
			b.checkout(all...)
			So(out(b), ShouldEqual, 3)
			for _, k := range all {
				So(b.state("j"), ShouldEqual, "running")
				b.settle(k, b.m.jobs[1].tasks[0][k.Task].attempt)
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
	run := func(b *bench, keys ...*schema.TaskKey) {
		b.checkout(keys...)
		for _, k := range keys {
			b.settle(k, 1)
		}
	}
	Convey("A round opens when it is due and never before, beside those still under way", t, func() {
		b := newBench()
		b.enqueue("c", 1, "j", rounds(3, 500_000))
		view, _ := b.m.View("j")
		So(view.Tasks, ShouldEqual, 9)
		for round := int64(0); round < 3; round++ {
			due, any := b.m.NextStart()
			So(any, ShouldBeTrue)
			So(due, ShouldEqual, 1_000_000+round*500_000)
			b.at = due - 1
			b.tick()
			So(b.m.jobs[1].opened, ShouldEqual, int(round))
			b.checkout(key(1, uint32(round)*2, 0))
			So(b.m.jobs[1].outs, ShouldEqual, 0)
			So(b.m.Timed(), ShouldEqual, 1)
			b.at = due
			b.tick()
			b.again()
		}
		_, any := b.m.NextStart()
		So(any, ShouldBeFalse)
		So(b.seen(), ShouldEqual, "a0.0 a0.1 a1.0 a1.1 a2.0 a2.1 ")
		So(b.shiftOf(key(1, 4, 1)).Round, ShouldEqual, 2)
		So(b.shiftOf(key(1, 4, 1)).Part, ShouldEqual, 0)
		Convey("what a step waits for is of its own round", func() {
			run(b, key(1, 2, 0), key(1, 2, 1))
			So(b.seen(), ShouldEqual, "a0.0 a0.1 b1.0 a2.0 a2.1 ")
			view, _ := b.m.View("j")
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
				view, _ := b.m.View("j")
				So(view.State, ShouldEqual, "complete")
				So(view.Done, ShouldEqual, 9)
			})
		})
	})
	Convey("A job whose open rounds are done goes on with the next one", t, func() {
		b := newBench()
		job := rounds(2, 500_000)
		job.DelayUs = 0
		b.at = 7_000_000
		b.enqueue("c", 1, "j", job) // at once: the rounds are counted from here
		run(b, key(1, 0, 0), key(1, 0, 1))
		run(b, key(1, 1, 0))
		So(b.state("j"), ShouldEqual, "running")
		So(b.seen(), ShouldEqual, "")
		due, _ := b.m.NextStart()
		So(due, ShouldEqual, 7_500_000)
		Convey("unless it is cancelled meanwhile", func() {
			b.cancel("j")
			So(b.state("j"), ShouldEqual, "cancelled")
			So(b.m.Timed(), ShouldEqual, 0)
		})
		Convey("also from a released checkpoint", func() {
			next, err := Restore("l", b.index, b.m.Rest(true))
			So(err, ShouldBeNil)
			due, any := next.NextStart()
			So(any, ShouldBeTrue)
			So(due, ShouldEqual, 7_500_000)
			b.m, b.at = next, 7_500_000
			b.tick()
			So(b.seen(), ShouldEqual, "a1.0 a1.1 ")
		})
	})
	Convey("Rounds that are overdue open all at once, and a stopping job opens none", t, func() {
		b := newBench()
		b.enqueue("c", 1, "j", rounds(4, 500_000))
		b.at = 2_100_000
		b.tick()
		So(b.seen(), ShouldEqual, "a0.0 a0.1 a1.0 a1.1 a2.0 a2.1 ")
		b.checkout(key(1, 0, 0))
		b.cancel("j")
		So(b.m.Timed(), ShouldEqual, 0)
		b.again()
		b.at = 9_000_000
		b.tick()
		So(b.seen(), ShouldEqual, "a0.0-stop ")
		So(b.m.jobs[1].opened, ShouldEqual, 3)
		b.giveBack(key(1, 0, 0), 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		So(b.state("j"), ShouldEqual, "cancelled")
	})
}

func TestTimeOfDay(t *testing.T) {
	const day = int64(1_800_000_000_000_000) // of the time of day, at queue time 0
	job := func(wall, delay int64) *schema.Job {
		return &schema.Job{Text: "x", StartUnixUs: wall, DelayUs: delay, Rounds: 3, PeriodUs: 1_000_000, Steps: []*schema.Step{{Name: "a", Tasks: 1}}}
	}
	clock := func(b *bench, offset int64) {
		b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Tick{Tick: &schema.Tick{WallOffsetUs: offset}}})
	}
	enter := func(b *bench, number uint64, job *schema.Job, start int64) {
		b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Enqueue{Enqueue: &schema.Enqueue{
			Session: who("c"), Number: number, Name: fmt.Sprint("j", number), Digest: []byte("d"), Job: job, StartUs: start,
		}}})
	}
	Convey("Rounds keep to the time of day, though queue time stood still", t, func() {
		b := newBench()
		clock(b, day)
		enter(b, 1, job(day+1_000_000, 0), 1_000_000)
		enter(b, 2, job(0, 1_000_000), 1_000_000)
		b.at = 1_000_000
		b.tick()
		So(b.seen(), ShouldEqual, "a0.0 a0.0 ")
		// Nobody led for 1.6 s.
		b.at = 1_300_000
		clock(b, day+1_600_000)
		So(b.m.WallOffset(), ShouldEqual, day+1_600_000)
		So(b.m.jobs[1].opened, ShouldEqual, 2)
		b.again()
		b.at = 1_399_999
		b.tick()
		So(b.m.jobs[1].opened, ShouldEqual, 2)
		b.at = 1_400_000
		b.tick()
		So(b.m.jobs[1].opened, ShouldEqual, 3)
		Convey("but a delay is one of queue time", func() {
			So(b.m.jobs[2].opened, ShouldEqual, 1)
			b.at = 2_000_000
			b.tick()
			So(b.m.jobs[2].opened, ShouldEqual, 2)
		})
	})
	Convey("A clock that comes right puts off what is still to come and closes nothing", t, func() {
		b := newBench()
		enter(b, 1, job(day+1_000_000, 0), 1_000_000)
		b.at = 1_000_000
		b.tick()
		clock(b, day-5_000_000)
		So(b.m.jobs[1].opened, ShouldEqual, 1)
		next, _ := b.m.NextStart()
		So(next, ShouldEqual, 7_000_000)
	})
}

func TestWholeGroups(t *testing.T) {
	gang := func(allowed uint32) *schema.Job {
		return &schema.Job{Text: "x", Steps: []*schema.Step{
			{Name: "g", Tasks: 3, Gang: true, Checkpoints: true, AllowedFailures: allowed}, {Name: "z", Tasks: 1, Dependencies: []string{"g"}},
		}}
	}
	all := []*schema.TaskKey{key(1, 0, 0), key(1, 0, 1), key(1, 0, 2)}
	begin := func(job *schema.Job) *bench {
		b := newBench()
		b.enqueue("c", 1, "j", job)
		b.checkout(all...)
		return b
	}
	Convey("One member's end is the end of all, and later reports change nothing", t, func() {
		b := begin(gang(0))
		b.settleWhole(all[1], 1)
		So(b.seen(), ShouldEqual, "z0.0 ")
		before := b.m.Rest(false)
		b.settleWhole(all[0], 1)
		b.settle(all[0], 1)
		b.giveBack(all[2], 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
		So(bytes.Equal(before, b.m.Rest(false)), ShouldBeTrue)
	})
	Convey("It is so too where members were taken for lost meanwhile", t, func() {
		b := begin(gang(0))
		b.giveBack(all[0], 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST)
		So(b.seen(), ShouldEqual, "g0.1-stop g0.2-stop ")
		b.settleWhole(all[2], 1)
		So(b.seen(), ShouldEqual, "z0.0 ")
	})
	Convey("The end of an older start says nothing of the one that is out", t, func() {
		b := begin(gang(0))
		for _, k := range all {
			b.giveBack(k, 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		}
		b.checkout(all...)
		b.settleWhole(all[0], 1)
		So(b.seen(), ShouldEqual, "g0.0-out g0.1-out g0.2-out ")
	})
	Convey("Without the word that it is whole, every member tells its own end", t, func() {
		b := begin(gang(0))
		b.settle(all[0], 1)
		So(b.seen(), ShouldEqual, "g0.1-out g0.2-out ")
	})
	Convey("However many members fail in one start, the group has failed once", t, func() {
		b := begin(gang(1))
		b.giveBack(all[0], 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST)
		b.giveBack(all[1], 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
		b.giveBack(all[2], 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
		b.again()
		So(b.seen(), ShouldEqual, "g0.0 g0.1 g0.2 ")
		So(b.shiftOf(all[2]).Failures, ShouldEqual, 1)
		b.checkout(all...)
		b.giveBack(all[0], 1, schema.ReturnCause_RETURN_CAUSE_FAILED) // of the start that has been counted
		So(b.state("j"), ShouldEqual, "running")
		view, _ := b.m.View("j")
		So(view.Steps[0].Failures, ShouldEqual, 1)
		So(view.StartedTasks, ShouldEqual, 6)
		Convey("and one failed start too many fails the job, to be seen at once", func() {
			b.giveBack(all[1], 2, schema.ReturnCause_RETURN_CAUSE_FAILED)
			view, _ := b.m.View("j")
			So(view.State, ShouldEqual, "stopping")
			So(view.PendingOutcome, ShouldEqual, "failed")
			b.giveBack(all[0], 2, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			b.giveBack(all[2], 2, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			view, _ = b.m.View("j")
			So(view.State, ShouldEqual, "failed")
			So(view.Reason, ShouldContainSubstring, "allowed failures")
		})
	})
	Convey("A failure of a lost member that nobody counted yet counts when it is told", t, func() {
		b := begin(gang(0))
		b.giveBack(all[0], 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST)
		b.giveBack(all[1], 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		b.giveBack(all[2], 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		b.checkout(all...)
		b.again()
		b.giveBack(all[0], 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
		view, _ := b.m.View("j")
		So(view.PendingOutcome, ShouldEqual, "failed")
	})
	Convey("Members that end because another did break the group once and count nothing", t, func() {
		b := begin(gang(0))
		for attempt := uint32(1); attempt <= 5; attempt++ {
			b.giveBack(all[2], attempt, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			b.giveBack(all[1], attempt, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			b.giveBack(all[0], attempt, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			b.checkout(all...)
		}
		So(b.state("j"), ShouldEqual, "running")
		So(b.m.jobs[1].tasks[0][2].circles, ShouldEqual, 5)
		So(b.m.jobs[1].tasks[0][0].circles, ShouldEqual, 0)
		for _, k := range all {
			So(b.shiftOf(k).Attempt, ShouldEqual, 6)
		}
	})
	Convey("A group isn't whole by one member named twice", t, func() {
		b := newBench()
		b.enqueue("c", 1, "j", gang(0))
		b.checkout(all[0], all[0], all[1])
		So(b.seen(), ShouldEqual, "g0.0 g0.1 g0.2 ")
	})
	Convey("The newest text any member saved is carried to all", t, func() {
		b := begin(gang(3))
		b.giveBackSaved(all[0], 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST, "early")
		b.giveBackSaved(all[1], 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED, "late")
		b.giveBackSaved(all[2], 1, schema.ReturnCause_RETURN_CAUSE_FAILED, "")
		b.again()
		b.checkout(all...)
		for _, k := range all {
			So(b.shiftOf(k).Saved, ShouldEqual, "late")
		}
		b.settleWhole(all[2], 2)
		So(b.m.jobs[1].tasks[0][0].saved, ShouldEqual, "")
	})
}

func TestLasting(t *testing.T) {
	Convey("What lasts is ready again however it ends, without limit, until it is cancelled", t, func() {
		b := newBench()
		b.m.adopt = &schema.ApplySettings{JobRetentionUs: DefaultStatusUs, SnapshotInterval: 64, MaxRequeues: 3}
		b.enqueue("c", 1, "j", &schema.Job{Text: "x", Steps: []*schema.Step{{Name: "s", Tasks: 1, RunUntilCancelled: true, Checkpoints: true}}})
		k := key(1, 0, 0)
		attempt := uint32(0)
		for turn := 0; turn < 30; turn++ {
			for _, cause := range []schema.ReturnCause{schema.ReturnCause_RETURN_CAUSE_NONE, schema.ReturnCause_RETURN_CAUSE_FAILED, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST, schema.ReturnCause_RETURN_CAUSE_PREEMPTED} {
				b.checkout(k)
				attempt++
				So(b.seen(), ShouldEqual, "s0.0-out ")
				if cause == schema.ReturnCause_RETURN_CAUSE_NONE {
					b.settle(k, attempt)
				} else {
					b.giveBackSaved(k, attempt, cause, "so far")
				}
				So(b.seen(), ShouldEqual, "s0.0 ")
			}
		}
		So(b.m.jobs[1].tasks[0][0].lost, ShouldBeEmpty)
		So(b.shiftOf(k).Failures, ShouldEqual, 0)
		So(b.shiftOf(k).Saved, ShouldEqual, "so far")
		b.checkout(k)
		So(b.cancel("j").View.PendingOutcome, ShouldEqual, "cancelled")
		b.settle(k, attempt+1)
		So(b.state("j"), ShouldEqual, "cancelled")
	})
	Convey("A lasting group begins anew as a whole", t, func() {
		for _, isWhole := range []bool{true, false} {
			b := newBench()
			b.enqueue("c", 1, "j", &schema.Job{Text: "x", Steps: []*schema.Step{{Name: "g", Tasks: 2, Gang: true, RunUntilCancelled: true}}})
			b.checkout(key(1, 0, 0), key(1, 0, 1))
			if isWhole {
				b.settleWhole(key(1, 0, 1), 1)
			} else {
				b.settle(key(1, 0, 1), 1)
				So(b.seen(), ShouldEqual, "g0.0-stop ")
				b.settle(key(1, 0, 0), 1)
			}
			So(b.seen(), ShouldEqual, "g0.0 g0.1 ")
			b.checkout(key(1, 0, 0), key(1, 0, 1))
			So(b.seen(), ShouldEqual, "g0.0-out g0.1-out ")
			b.giveBack(key(1, 0, 0), 2, schema.ReturnCause_RETURN_CAUSE_FAILED)
			b.giveBack(key(1, 0, 1), 2, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			So(b.seen(), ShouldEqual, "g0.0 g0.1 ")
		}
	})
}

func TestSaved(t *testing.T) {
	Convey("Kept progress goes with the next start, whatever ended the last one", t, func() {
		b := newBench()
		job := simple(1)
		job.Steps[0].Checkpoints = true
		job.Steps = append(job.Steps, &schema.Step{Name: "plain", Tasks: 1, CoresMilli: 1})
		b.enqueue("c", 1, "j", job)
		k := key(1, 0, 0)
		saved := func() string { return b.shiftOf(k).Saved }
		back := func(attempt uint32, cause schema.ReturnCause, text string) {
			b.checkout(k)
			b.giveBackSaved(k, attempt, cause, text)
			b.again()
		}
		back(1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST, "one")
		So(saved(), ShouldEqual, "one")
		back(2, schema.ReturnCause_RETURN_CAUSE_PREEMPTED, "two")
		So(saved(), ShouldEqual, "two")
		back(3, schema.ReturnCause_RETURN_CAUSE_PREEMPTED, "")
		So(saved(), ShouldEqual, "two")
		back(4, schema.ReturnCause_RETURN_CAUSE_FAILED, strings.Repeat("x", 257))
		So(saved(), ShouldEqual, "two")
		b.giveBackSaved(k, 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED, "stale")
		So(saved(), ShouldEqual, "two")
		b.checkout(k)
		So(saved(), ShouldEqual, "two")
		b.settle(k, 5)
		So(b.m.jobs[1].tasks[0][0].saved, ShouldEqual, "")
		Convey("and a step that keeps none gets none", func() {
			k := key(1, 1, 0)
			b.checkout(k)
			b.giveBackSaved(k, 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED, "text")
			So(b.shiftOf(k).Saved, ShouldEqual, "")
		})
	})
}

func TestCounts(t *testing.T) {
	Convey("Waiting are the tasks that could be checked out now", t, func() {
		b := newBench()
		b.enqueue("c", 1, "j", &schema.Job{Text: "x", Steps: []*schema.Step{
			{Name: "a", Tasks: 3}, {Name: "b", Tasks: 5, Dependencies: []string{"a"}}, {Name: "g", Tasks: 2, Gang: true},
		}})
		later := simple(7)
		later.DelayUs = 1_000_000
		b.enqueue("c", 2, "k", later)
		So(proto.Equal(b.m.Counts(), &schema.QueueCounts{Live: 2, Waiting: 5}), ShouldBeTrue)
		b.checkout(key(1, 0, 0), key(1, 2, 0), key(1, 2, 1))
		So(proto.Equal(b.m.Counts(), &schema.QueueCounts{Live: 2, Waiting: 2, Out: 3}), ShouldBeTrue)
		b.cancel("j")
		So(proto.Equal(b.m.Counts(), &schema.QueueCounts{Live: 2, Out: 3}), ShouldBeTrue)
		view, _ := b.m.View("j")
		So(view.StartedTasks, ShouldEqual, 3)
		So(view.PendingOutcome, ShouldEqual, "cancelled")
	})
}

func TestShiftNumbersHaveNoGaps(t *testing.T) {
	Convey("Hand-overs and all other shifts are numbered one by one", t, func() {
		b := newBench()
		next := uint64(1)
		see := func(effects *Effects) {
			for _, s := range effects.Shifts {
				So(s.Hand, ShouldEqual, next)
				next++
			}
		}
		see(b.enqueue("c", 1, "j", simple(3)))
		see(b.checkout(key(1, 0, 0), key(1, 0, 1)))
		see(b.giveBack(key(1, 0, 0), 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST))
		see(b.cancel("j"))
		So(next, ShouldBeGreaterThan, 6)
		So(b.m.Hand(), ShouldEqual, next-1)
	})
}

func TestCarryLetsTheLogGo(t *testing.T) {
	Convey("A job that lasts pins the log until it is carried, and nothing else of it changes", t, func() {
		b := newBench()
		b.enqueue("c", 1, "old", simple(2))
		b.checkout(key(1, 0, 0))
		for k := uint64(2); k < 300; k++ {
			b.enqueue("c", k, fmt.Sprint("n", k), simple(1))
			b.checkout(key(k, 0, 0))
			b.settle(key(k, 0, 0), 1)
		}
		So(b.released, ShouldBeNil)
		id, index, payload := b.m.Oldest()
		So(id, ShouldEqual, 1)
		So(index, ShouldEqual, 1)
		before, _ := b.m.View("old")
		b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Reenqueue{Reenqueue: &schema.Reenqueue{Job: id, Payload: payload}}})
		after, _ := b.m.View("old")
		So(proto.Equal(before, after), ShouldBeTrue)
		So(b.released, ShouldNotBeNil)
		So(b.released.Index, ShouldBeGreaterThan, 700)
		So(b.m.Carries(), ShouldEqual, 1)
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
		b := newBench()
		b.m.adopt = &schema.ApplySettings{JobRetentionUs: 3_000_000, SnapshotInterval: 4, MaxRequeues: 3}
		numbers := map[string]uint64{}
		var last *Release
		for k := 0; k < 600; k++ {
			b.at += rng.Int64N(100_000)
			randomCommand(b, rng, numbers)
			if fault := unsound(b.m); fault != "" {
				t.Fatalf("seed %d: at index %d, %s", seed, b.index, fault)
			}
			if b.released == nil || b.released == last {
				continue
			}
			last = b.released
			releases++
			m, err := Restore("l", last.Index, last.Data)
			if err != nil {
				t.Fatal(err)
			}
			for i := int(last.Index); i < len(b.log); i++ {
				if _, err := m.Apply(uint64(i+1), b.ats[i], b.log[i]); err != nil {
					t.Fatal(err)
				}
			}
			if !bytes.Equal(m.Rest(false), b.m.Rest(false)) {
				t.Fatalf("seed %d: at index %d, replay from %d gives another state", seed, b.index, last.Index)
			}
		}
	}
	if releases < 200 {
		t.Fatalf("only %d releases were tried", releases)
	}
}

// unsound names what the running numbers of a machine say wrongly.
func unsound(m *Machine) string {
	waiting, out, pending := uint32(0), uint32(0), 0
	for _, j := range m.ordered() {
		outs, unfinished := 0, 0
		for s, list := range j.tasks {
			left, outOf, failures := int(j.step(s).Tasks), 0, uint32(0)
			for t := range list {
				switch list[t].state {
				case schema.TaskState_TASK_DONE:
					left--
				case schema.TaskState_TASK_CHECKED_OUT:
					outOf++
				}
				if j.standing(s, t) == Ready {
					waiting++
				}
				failures += list[t].failures
				if j.step(s).Gang && list[t].state == schema.TaskState_TASK_CHECKED_OUT && list[t].attempt != list[0].attempt {
					return "members of one start have other numbers"
				}
			}
			if left != j.left[s] || outOf != j.out[s] || failures != j.failures[s] {
				return fmt.Sprint("step ", s, " has ", left, " left, ", outOf, " out and ", failures, " failures, noted ", j.left[s], ", ", j.out[s], " and ", j.failures[s])
			}
			if left > 0 {
				unfinished++
			}
			outs += outOf
			if list != nil && j.startUs+int64(s/j.parts())*j.spec.PeriodUs > m.now {
				return "a round is open before its time"
			}
		}
		if outs != j.outs || unfinished != j.unfinished || unfinished == 0 {
			return fmt.Sprint("job ", j.id, " has ", outs, " out and ", unfinished, " steps unfinished, noted ", j.outs, " and ", j.unfinished)
		}
		if j.opened < j.rounds() && j.state != schema.JobState_JOB_STOPPING {
			pending++
			if j.dueUs() <= m.now {
				return "a due round isn't open"
			}
		}
		out += uint32(outs)
	}
	held := 0
	for _, s := range m.sessions {
		held += len(s.held)
	}
	counts := m.Counts()
	if counts.Waiting != waiting || counts.Out != out || int(counts.Live) != len(m.jobs) || pending != m.Timed() || held != m.held {
		return fmt.Sprint("counts ", counts, " for ", waiting, " waiting and ", out, " out; ", pending, " pending of ", m.Timed(), "; held ", held, " of ", m.held)
	}
	return ""
}

func randomCommand(b *bench, rng *rand.Rand, numbers map[string]uint64) {
	pick := func() *schema.TaskKey {
		jobs := b.m.ordered()
		if len(jobs) == 0 {
			return key(1, 0, 0)
		}
		j := jobs[rng.IntN(min(len(jobs), 4))]
		s := rng.IntN(max(1, j.first(j.opened)))
		if len(j.tasks[s]) == 0 {
			return key(j.id, uint32(s), 0)
		}
		return key(j.id, uint32(s), uint32(rng.IntN(len(j.tasks[s]))))
	}
	tasks := func(k *schema.TaskKey) []task {
		if j := b.m.jobs[k.Job]; j != nil {
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
		b.launch(k.Job, k.Step, attempts...)
	case 0, 1:
		client := fmt.Sprint("c", rng.IntN(3))
		numbers[client]++
		number := numbers[client]
		if rng.IntN(4) == 0 {
			number += uint64(rng.IntN(3)) // out of order, or leaving a gap
		}
		job := simple(uint32(1 + rng.IntN(3)))
		job.Text = fmt.Sprint("text", rng.IntN(2))
		if rng.IntN(3) == 0 {
			job.Steps = append(job.Steps, &schema.Step{Name: "t", Tasks: 2, Dependencies: []string{"s"}, Gang: true, AllowedFailures: 1})
		}
		if rng.IntN(5) == 0 {
			job.DelayUs = b.at + rng.Int64N(400_000)
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
		if j := b.m.jobs[k.Job]; j != nil && j.step(int(k.Step)).Gang {
			keys = nil
			for i := range j.tasks[k.Step] {
				keys = append(keys, key(k.Job, k.Step, uint32(i)))
			}
		}
		b.checkout(keys...)
	case 6, 7, 8, 9:
		k := pick()
		if rng.IntN(2) == 0 {
			b.settleWhole(k, attempt(k))
			return
		}
		b.settle(k, attempt(k))
	case 10:
		k := pick()
		saved := ""
		if rng.IntN(2) == 0 {
			saved = fmt.Sprint("at ", b.index)
		}
		b.giveBackSaved(k, attempt(k), schema.ReturnCause(1+rng.IntN(3)), saved)
	case 11:
		b.cancel(fmt.Sprint("j", rng.IntN(200)))
	case 12:
		if rng.IntN(4) == 0 {
			if id, _, payload := b.m.Oldest(); id != 0 {
				b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Reenqueue{Reenqueue: &schema.Reenqueue{Job: id, Payload: payload}}})
			}
			return
		}
		b.tick()
	case 13:
		if rng.IntN(6) == 0 {
			client := fmt.Sprint("c", rng.IntN(3))
			b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_EndSessions{EndSessions: &schema.EndSessions{Sessions: []*schema.Session{who(client)}}}})
			numbers[client] = 0
			return
		}
		b.tick()
	}
}

func TestWayAndAge(t *testing.T) {
	Convey("The scheduler is told a round's age and the longest way through it", t, func() {
		b := newBench()
		b.at = 5_000_000
		b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Tick{Tick: &schema.Tick{}}})
		effects := b.enqueue("c", 1, "j", &schema.Job{Text: "x", Rounds: 2, PeriodUs: 1_000_000, Steps: []*schema.Step{
			{Name: "a", Tasks: 2, CoresMilli: 100, EstimatedRunUs: 10},
			{Name: "b", Tasks: 1, CoresMilli: 100, EstimatedRunUs: 50},
			{Name: "c", Tasks: 3, CoresMilli: 200, EstimatedRunUs: 20, Dependencies: []string{"a"}},
			{Name: "d", Tasks: 1, CoresMilli: 100, EstimatedRunUs: 30, Dependencies: []string{"b", "c"}},
		}})
		legA, legB, legC, legD := Leg{10, 200}, Leg{50, 100}, Leg{20, 600}, Leg{30, 100}
		So(len(effects.Shifts), ShouldEqual, 3)
		So(effects.Shifts[0].Ahead, ShouldResemble, []Leg{legA, legC, legD})
		So(effects.Shifts[2].Ahead, ShouldResemble, []Leg{legB, legD})
		for _, shift := range effects.Shifts {
			So(shift.Span, ShouldResemble, []Leg{legB, legD})
			So(shift.AgeUs, ShouldEqual, 0)
		}
		b.at += 3_000_000
		b.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Tick{Tick: &schema.Tick{}}})
		list, _ := b.m.Standings()
		ages := map[uint32]int64{}
		for _, shift := range list {
			ages[shift.Round] = shift.AgeUs
		}
		So(ages, ShouldResemble, map[uint32]int64{0: 3_000_000, 1: 2_000_000})
	})
}
