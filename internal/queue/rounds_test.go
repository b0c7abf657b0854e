package queue

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/schema"
)

func TestSteps(t *testing.T) {
	diamond := &schema.Job{Text: "x", Steps: []*schema.Step{
		{Name: "a", Tasks: 2}, {Name: "b", Tasks: 1, Dependencies: []string{"a"}}, {Name: "c", Tasks: 1, Dependencies: []string{"a"}}, {Name: "d", Tasks: 1, Dependencies: []string{"b", "c"}},
	}}
	Convey("A step opens when its dependencies are done", t, func() {
		h := newHarness()
		h.enqueue("c", 1, "j", diamond)
		ready := func() string {
			events, _ := h.machine.ActiveTasks()
			text := ""
			for _, event := range events {
				if event.Status == Ready {
					text += fmt.Sprint(event.Spec.Name, event.Key.Task, " ")
				}
			}
			return text
		}
		So(ready(), ShouldEqual, "a0 a1 ")
		h.checkout(key(1, 1, 0))
		So(ready(), ShouldEqual, "a0 a1 ") // b can't be checked out yet
		h.checkout(key(1, 0, 0), key(1, 0, 1))
		h.settle(key(1, 0, 0), 1)
		So(ready(), ShouldEqual, "")
		h.settle(key(1, 0, 1), 1)
		So(ready(), ShouldEqual, "b0 c0 ")
		h.checkout(key(1, 1, 0), key(1, 2, 0))
		h.settle(key(1, 1, 0), 1)
		So(ready(), ShouldEqual, "")
		h.settle(key(1, 2, 0), 1)
		So(ready(), ShouldEqual, "d0 ")
		h.checkout(key(1, 3, 0))
		So(h.state("j"), ShouldEqual, "running")
		h.settle(key(1, 3, 0), 1)
		So(h.state("j"), ShouldEqual, "complete")
	})
	Convey("A timed job opens no round before its time", t, func() {
		h := newHarness()
		job := simpleJob(1)
		job.DelayUs = 1_000_000
		h.enqueue("c", 1, "j", job)
		h.now = 999_999
		h.tick()
		h.checkout(key(1, 0, 0))
		So(h.state("j"), ShouldEqual, "timed")
		h.now++
		h.tick()
		So(h.state("j"), ShouldEqual, "running")
	})
}

func TestRounds(t *testing.T) {
	// rounds returns a job of several rounds, in each of which step b depends on step a.
	rounds := func(count uint32, periodUs int64) *schema.Job {
		return &schema.Job{Text: "x", DelayUs: 1_000_000, Rounds: count, PeriodUs: periodUs, Steps: []*schema.Step{
			{Name: "a", Tasks: 2}, {Name: "b", Tasks: 1, Dependencies: []string{"a"}},
		}}
	}
	runTasks := func(h *harness, keys ...*schema.TaskKey) {
		h.checkout(keys...)
		for _, k := range keys {
			h.settle(k, 1)
		}
	}
	Convey("A round opens when it is due and never before, beside those that still run", t, func() {
		h := newHarness()
		h.enqueue("c", 1, "j", rounds(3, 500_000))
		view, _ := h.machine.JobView("j")
		So(view.Tasks, ShouldEqual, 9)
		for round := int64(0); round < 3; round++ {
			due, found := h.machine.NextStart()
			So(found, ShouldBeTrue)
			So(due, ShouldEqual, 1_000_000+round*500_000)
			h.now = due - 1
			h.tick()
			So(h.machine.jobs[1].openedRounds, ShouldEqual, int(round))
			h.checkout(key(1, uint32(round)*2, 0))
			So(h.machine.jobs[1].checkedOutCount, ShouldEqual, 0)
			So(h.machine.TimedJobs(), ShouldEqual, 1)
			h.now = due
			h.tick()
			h.restart()
		}
		_, found := h.machine.NextStart()
		So(found, ShouldBeFalse)
		So(h.activeTasks(), ShouldEqual, "a0.0 a0.1 a1.0 a1.1 a2.0 a2.1 ")
		So(h.eventOf(key(1, 4, 1)).Round, ShouldEqual, 2)
		So(h.eventOf(key(1, 4, 1)).StepInRound, ShouldEqual, 0)
		Convey("a step depends on steps of its own round", func() {
			runTasks(h, key(1, 2, 0), key(1, 2, 1))
			So(h.activeTasks(), ShouldEqual, "a0.0 a0.1 b1.0 a2.0 a2.1 ")
			view, _ := h.machine.JobView("j")
			So(view.Steps[0].State, ShouldEqual, "open")
			So(view.Steps[1].State, ShouldEqual, "open")
			So(view.Done, ShouldEqual, 2)
			Convey("and the job is complete when every round is", func() {
				runTasks(h, key(1, 3, 0))
				runTasks(h, key(1, 0, 0), key(1, 0, 1))
				runTasks(h, key(1, 1, 0))
				runTasks(h, key(1, 4, 0), key(1, 4, 1))
				So(h.state("j"), ShouldEqual, "running")
				runTasks(h, key(1, 5, 0))
				view, _ := h.machine.JobView("j")
				So(view.State, ShouldEqual, "complete")
				So(view.Done, ShouldEqual, 9)
			})
		})
	})
	Convey("A job whose open rounds are done goes on with the next one", t, func() {
		h := newHarness()
		job := rounds(2, 500_000)
		job.DelayUs = 0
		h.now = 7_000_000
		h.enqueue("c", 1, "j", job) // starts at once, so the first round is due at this queue time
		runTasks(h, key(1, 0, 0), key(1, 0, 1))
		runTasks(h, key(1, 1, 0))
		So(h.state("j"), ShouldEqual, "running")
		So(h.activeTasks(), ShouldEqual, "")
		due, _ := h.machine.NextStart()
		So(due, ShouldEqual, 7_500_000)
		Convey("unless it is cancelled meanwhile", func() {
			h.cancel("j")
			So(h.state("j"), ShouldEqual, "cancelled")
			So(h.machine.TimedJobs(), ShouldEqual, 0)
		})
		Convey("also when restored from a dehydrated snapshot", func() {
			next, err := Restore("l", h.index, h.machine.Snapshot(true))
			So(err, ShouldBeNil)
			due, found := next.NextStart()
			So(found, ShouldBeTrue)
			So(due, ShouldEqual, 7_500_000)
			h.machine, h.now = next, 7_500_000
			h.tick()
			So(h.activeTasks(), ShouldEqual, "a1.0 a1.1 ")
		})
	})
	Convey("Rounds that are overdue open all at once, and a stopping job opens none", t, func() {
		h := newHarness()
		h.enqueue("c", 1, "j", rounds(4, 500_000))
		h.now = 2_100_000
		h.tick()
		So(h.activeTasks(), ShouldEqual, "a0.0 a0.1 a1.0 a1.1 a2.0 a2.1 ")
		h.checkout(key(1, 0, 0))
		h.cancel("j")
		So(h.machine.TimedJobs(), ShouldEqual, 0)
		h.restart()
		h.now = 9_000_000
		h.tick()
		So(h.activeTasks(), ShouldEqual, "a0.0-stop ")
		So(h.machine.jobs[1].openedRounds, ShouldEqual, 3)
		h.returnTask(key(1, 0, 0), 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		So(h.state("j"), ShouldEqual, "cancelled")
	})
}

func TestWallClockStarts(t *testing.T) {
	const wallStart = int64(1_800_000_000_000_000) // wall-clock time at queue time 0, µs since 1970
	job := func(startUnixUs, delayUs int64) *schema.Job {
		return &schema.Job{Text: "x", StartUnixUs: startUnixUs, DelayUs: delayUs, Rounds: 3, PeriodUs: 1_000_000, Steps: []*schema.Step{{Name: "a", Tasks: 1}}}
	}
	setWallOffset := func(h *harness, offset int64) {
		h.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Tick{Tick: &schema.Tick{WallOffsetUs: offset}}})
	}
	enqueue := func(h *harness, number uint64, job *schema.Job, startUs int64) {
		h.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Enqueue{Enqueue: &schema.Enqueue{
			Session: sessionOf("c"), Number: number, Name: fmt.Sprint("j", number), Digest: []byte("d"), Job: job, StartUs: startUs,
		}}})
	}
	Convey("Rounds keep to the time of day, though queue time stood still", t, func() {
		h := newHarness()
		setWallOffset(h, wallStart)
		enqueue(h, 1, job(wallStart+1_000_000, 0), 1_000_000)
		enqueue(h, 2, job(0, 1_000_000), 1_000_000)
		h.now = 1_000_000
		h.tick()
		So(h.activeTasks(), ShouldEqual, "a0.0 a0.0 ")
		// Queue time stood still for 1.6 s because the queue had no leader.
		h.now = 1_300_000
		setWallOffset(h, wallStart+1_600_000)
		So(h.machine.WallOffset(), ShouldEqual, wallStart+1_600_000)
		So(h.machine.jobs[1].openedRounds, ShouldEqual, 2)
		h.restart()
		h.now = 1_399_999
		h.tick()
		So(h.machine.jobs[1].openedRounds, ShouldEqual, 2)
		h.now = 1_400_000
		h.tick()
		So(h.machine.jobs[1].openedRounds, ShouldEqual, 3)
		Convey("but a delay is one of queue time", func() {
			So(h.machine.jobs[2].openedRounds, ShouldEqual, 1)
			h.now = 2_000_000
			h.tick()
			So(h.machine.jobs[2].openedRounds, ShouldEqual, 2)
		})
	})
	Convey("A corrected clock delays rounds that aren't open yet and closes none", t, func() {
		h := newHarness()
		enqueue(h, 1, job(wallStart+1_000_000, 0), 1_000_000)
		h.now = 1_000_000
		h.tick()
		setWallOffset(h, wallStart-5_000_000)
		So(h.machine.jobs[1].openedRounds, ShouldEqual, 1)
		next, _ := h.machine.NextStart()
		So(next, ShouldEqual, 7_000_000)
	})
}

func TestCriticalPathAndRoundAge(t *testing.T) {
	Convey("Events have a round's age and the longest paths through it", t, func() {
		h := newHarness()
		h.now = 5_000_000
		h.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Tick{Tick: &schema.Tick{}}})
		effects := h.enqueue("c", 1, "j", &schema.Job{Text: "x", Rounds: 2, PeriodUs: 1_000_000, Steps: []*schema.Step{
			{Name: "a", Tasks: 2, CoresMilli: 100, EstimatedRunUs: 10},
			{Name: "b", Tasks: 1, CoresMilli: 100, EstimatedRunUs: 50},
			{Name: "c", Tasks: 3, CoresMilli: 200, EstimatedRunUs: 20, Dependencies: []string{"a"}},
			{Name: "d", Tasks: 1, CoresMilli: 100, EstimatedRunUs: 30, Dependencies: []string{"b", "c"}},
		}})
		stepA, stepB, stepC, stepD := PathStep{10, 200, 2}, PathStep{50, 100, 1}, PathStep{20, 600, 3}, PathStep{30, 100, 1}
		So(len(effects.Events), ShouldEqual, 3)
		So(effects.Events[0].RemainingPath, ShouldResemble, []PathStep{stepA, stepC, stepD})
		So(effects.Events[2].RemainingPath, ShouldResemble, []PathStep{stepB, stepD})
		for _, event := range effects.Events {
			So(event.CriticalPath, ShouldResemble, []PathStep{stepB, stepD})
			So(event.RoundAgeUs, ShouldEqual, 0)
		}
		h.now += 3_000_000
		h.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Tick{Tick: &schema.Tick{}}})
		events, _ := h.machine.ActiveTasks()
		ages := map[uint32]int64{}
		for _, event := range events {
			ages[event.Round] = event.RoundAgeUs
		}
		So(ages, ShouldResemble, map[uint32]int64{0: 3_000_000, 1: 2_000_000})
	})
}
