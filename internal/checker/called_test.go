package checker

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// calledWorkerUp returns the event that a called worker starts. All events of called workers
// have IsCalled set.
func calledWorkerUp(at eventloop.Micros, worker, pool string, labels ...string) Event {
	return Event{At: at, Kind: WorkerUp, Actor: worker, Cores: 25, Accelerators: 1, Pool: pool, Labels: labels, IsCalled: true}
}

func calledStart(at eventloop.Micros, worker string, step, task, attempt uint32) Event {
	return Event{At: at, Kind: TaskStart, Actor: worker, Queue: "l", Name: "j", Step: step, Task: task, Attempt: attempt, Cores: 10, Text: "t", IsCalled: true}
}

func calledStartFrom(at eventloop.Micros, worker string, task, attempt uint32, checkpoint string) Event {
	e := calledStart(at, worker, 0, task, attempt)
	e.Checkpoint = checkpoint
	return e
}

func calledEnd(at eventloop.Micros, worker string, step, task, attempt uint32, outcome string) Event {
	return Event{At: at, Kind: TaskEnd, Actor: worker, Queue: "l", Name: "j", Step: step, Task: task, Attempt: attempt, State: outcome, IsCalled: true}
}

func checkpointReported(at eventloop.Micros, worker string, task, attempt uint32, checkpoint string) Event {
	return Event{At: at, Kind: CheckpointReported, Actor: worker, Queue: "l", Name: "j", Task: task, Attempt: attempt, Checkpoint: checkpoint, IsCalled: true}
}

func endAcknowledged(at eventloop.Micros, worker string, step, task, attempt uint32, state string) Event {
	return Event{At: at, Kind: EndAcknowledged, Actor: worker, Queue: "l", Name: "j", Step: step, Task: task, Attempt: attempt, State: state, IsCalled: true}
}

func job(steps ...*schema.Step) *schema.Job { return &schema.Job{Text: "t", Steps: steps} }

func TestCalledRules(t *testing.T) {
	const idle = "a job is idle though there is capacity"
	closing := Event{At: 300 * s, Kind: Close}
	twoTasks := job(&schema.Step{Name: "a", Tasks: 2, AllowedFailures: 1})
	oneTask := job(&schema.Step{Name: "a", Tasks: 1, AllowedFailures: 1})
	gangJob := job(&schema.Step{Name: "g", Tasks: 2, Gang: true, AllowedFailures: 1, Checkpoints: true})
	rounds := &schema.Job{Text: "t", DelayUs: int64(s), Rounds: 2, PeriodUs: int64(5 * s), Steps: []*schema.Step{{Name: "a", Tasks: 1}, {Name: "b", Tasks: 1, Dependencies: []string{"a"}}}}
	untilCancelled := job(&schema.Step{Name: "a", Tasks: 1, RunUntilCancelled: true})
	labelled := job(&schema.Step{Name: "a", Tasks: 2, MaxPerWorker: 1, Labels: []string{"x"}})
	accepted := func(spec *schema.Job, more ...Event) []Event {
		return append([]Event{calledWorkerUp(0, "w", "", "x"), calledWorkerUp(0, "v", "", "x"), calledWorkerUp(0, "y", ""), submit(1*s, spec), submitReply(1*s+1, 201)}, more...)
	}
	endedAs := func(state string) []Event { return []Event{statusReply(100*s, 200, state), closing} }
	with := func(list []Event, more ...[]Event) []Event {
		for _, events := range more {
			list = append(list, events...)
		}
		return list
	}
	done := func(at eventloop.Micros, worker string, step, task, attempt uint32) []Event {
		return []Event{calledStart(at, worker, step, task, attempt), calledEnd(at+s, worker, step, task, attempt, "done"), endAcknowledged(at+s+1, worker, step, task, attempt, "")}
	}
	configuration := func(at eventloop.Micros, list ...string) Event {
		return Event{At: at, Kind: ConfigurationReply, Code: 200, Version: 1, Rows: rows(list...)}
	}
	readBack := Event{At: 200 * s, Kind: ConfigurationRead, Code: 200, Version: 1}
	for _, test := range []struct {
		what             string
		rule             int
		broken, nearMiss []Event
	}{
		{"a task runs twice at once", 2,
			with(accepted(oneTask, calledStart(2*s, "w", 0, 0, 1), calledStart(3*s, "v", 0, 0, 2), calledEnd(4*s, "w", 0, 0, 1, "stopped"), calledEnd(5*s, "v", 0, 0, 2, "done")), endedAs("complete")),
			with(accepted(oneTask, calledStart(2*s, "w", 0, 0, 1), Event{At: 3 * s, Kind: WorkerGone, Actor: "w"}, calledStart(3*s, "v", 0, 0, 2), calledEnd(5*s, "v", 0, 0, 2, "done")), endedAs("complete"))},
		{"a start after an end that was acknowledged", 2,
			with(accepted(oneTask), done(2*s, "w", 0, 0, 1), done(5*s, "v", 0, 0, 2), endedAs("complete")),
			with(accepted(oneTask, calledStart(2*s, "w", 0, 0, 1), calledEnd(3*s, "w", 0, 0, 1, "done"), endAcknowledged(9*s, "w", 0, 0, 1, "lapsed")), done(10*s, "v", 0, 0, 2), endedAs("complete"))},
		{"a start after an end that is acknowledged later", 2,
			with(accepted(oneTask, calledStart(2*s, "w", 0, 0, 1), calledEnd(3*s, "w", 0, 0, 1, "done"), calledStart(4*s, "v", 0, 0, 2), endAcknowledged(4*s+1, "w", 0, 0, 1, ""), calledEnd(5*s, "v", 0, 0, 2, "stopped")), endedAs("complete")),
			with(accepted(untilCancelled, calledStart(2*s, "w", 0, 0, 1), calledEnd(3*s, "w", 0, 0, 1, "done"), calledStart(4*s, "v", 0, 0, 2), endAcknowledged(4*s+1, "w", 0, 0, 1, ""), Event{At: 5 * s, Kind: CancelRequest, Queue: "l", Name: "j"}, calledEnd(6*s, "v", 0, 0, 2, "stopped")), endedAs("cancelled"))},
		{"a member of a gang starts again after its peer was done", 2,
			with(accepted(gangJob, calledStart(2*s, "w", 0, 0, 1), calledStart(2*s, "v", 0, 1, 1), calledEnd(3*s, "w", 0, 0, 1, "done"), endAcknowledged(3*s, "w", 0, 0, 1, ""), calledEnd(3*s, "v", 0, 1, 1, "done"), calledStart(4*s, "v", 0, 1, 2), calledEnd(5*s, "v", 0, 1, 2, "stopped")), endedAs("complete")),
			with(accepted(gangJob, calledStart(2*s, "w", 0, 0, 1), calledStart(2*s, "v", 0, 1, 1), calledEnd(3*s, "w", 0, 0, 1, "done"), endAcknowledged(3*s, "w", 0, 0, 1, ""), calledEnd(3*s, "v", 0, 1, 1, "done")), endedAs("complete"))},
		{"nobody submitted it", 3,
			[]Event{calledWorkerUp(0, "w", ""), calledStart(2*s, "w", 0, 0, 1), calledEnd(3*s, "w", 0, 0, 1, "done"), closing},
			with(accepted(oneTask), done(2*s, "w", 0, 0, 1), endedAs("complete"))},
		{"a start with another text", 3,
			with(accepted(oneTask, Event{At: 2 * s, Kind: TaskStart, Actor: "w", Queue: "l", Name: "j", Attempt: 1, Text: "u", IsCalled: true}, calledEnd(3*s, "w", 0, 0, 1, "done")), endedAs("complete")),
			with(accepted(oneTask), done(2*s, "w", 0, 0, 1), endedAs("complete"))},
		{"a task that the job hasn't", 3,
			with(accepted(oneTask), done(2*s, "w", 0, 0, 1), done(4*s, "w", 0, 1, 1), endedAs("complete")),
			with(accepted(twoTasks), done(2*s, "w", 0, 0, 1), done(4*s, "w", 0, 1, 1), endedAs("complete"))},
		{"a start from the checkpoint of another task", 3,
			with(accepted(twoTasks, calledStart(2*s, "w", 0, 0, 1), checkpointReported(3*s, "w", 0, 1, "p"), calledEnd(4*s, "w", 0, 0, 1, "done"), calledStartFrom(5*s, "v", 1, 1, "p"), calledEnd(6*s, "v", 0, 1, 1, "done")), endedAs("complete")),
			with(accepted(twoTasks, calledStart(2*s, "w", 0, 0, 1), checkpointReported(3*s, "w", 0, 1, "p"), calledEnd(4*s, "w", 0, 0, 1, "stopped"), calledStartFrom(5*s, "v", 0, 2, "p"), calledEnd(6*s, "v", 0, 0, 2, "done")), done(7*s, "w", 0, 1, 1), endedAs("complete"))},
		{"members of a gang start from different checkpoints", 3,
			with(accepted(gangJob, calledStart(2*s, "w", 0, 0, 1), calledStart(2*s, "v", 0, 1, 1), checkpointReported(3*s, "w", 0, 1, "p"), calledEnd(4*s, "w", 0, 0, 1, "stopped"), calledEnd(4*s, "v", 0, 1, 1, "broken"), calledStartFrom(5*s, "w", 0, 2, "p"), calledStartFrom(5*s, "v", 1, 2, ""), calledEnd(6*s, "w", 0, 0, 2, "done"), calledEnd(6*s, "v", 0, 1, 2, "done")), endedAs("complete")),
			with(accepted(gangJob, calledStart(2*s, "w", 0, 0, 1), calledStart(2*s, "v", 0, 1, 1), checkpointReported(3*s, "w", 0, 1, "p"), calledEnd(4*s, "w", 0, 0, 1, "stopped"), calledEnd(4*s, "v", 0, 1, 1, "broken"), calledStartFrom(5*s, "w", 0, 2, "p"), calledStartFrom(5*s, "v", 1, 2, "p"), calledEnd(6*s, "w", 0, 0, 2, "done"), calledEnd(6*s, "v", 0, 1, 2, "done")), endedAs("complete"))},
		{"a round starts early", 4,
			with(accepted(rounds), done(3*s, "w", 0, 0, 1), done(5*s, "w", 1, 0, 1), done(6*s, "v", 2, 0, 1), done(8*s, "v", 3, 0, 1), endedAs("complete")),
			with(accepted(rounds), done(3*s, "w", 0, 0, 1), done(5*s, "w", 1, 0, 1), done(7*s-200*eventloop.Millisecond, "v", 2, 0, 1), done(9*s, "v", 3, 0, 1), endedAs("complete"))},
		{"a step starts before its dependencies in its own round", 4,
			with(accepted(rounds), done(3*s, "w", 0, 0, 1), done(5*s, "w", 1, 0, 1), done(8*s, "v", 3, 0, 1), done(10*s, "v", 2, 0, 1), endedAs("complete")),
			with(accepted(rounds), done(7*s, "v", 2, 0, 1), done(9*s, "v", 3, 0, 1), done(11*s, "w", 0, 0, 1), done(13*s, "w", 1, 0, 1), endedAs("complete"))},
		{"a start after the last allowed failure", 5,
			with(accepted(oneTask, calledStart(2*s, "w", 0, 0, 1), calledEnd(3*s, "w", 0, 0, 1, "failed"), endAcknowledged(3*s, "w", 0, 0, 1, ""), calledStart(4*s, "w", 0, 0, 2), calledEnd(5*s, "w", 0, 0, 2, "failed"), endAcknowledged(7*s, "w", 0, 0, 2, ""), calledStart(6*s, "v", 0, 0, 3), calledEnd(8*s, "v", 0, 0, 3, "stopped")), endedAs("failed")),
			with(accepted(oneTask, calledStart(2*s, "w", 0, 0, 1), calledEnd(3*s, "w", 0, 0, 1, "failed"), endAcknowledged(3*s, "w", 0, 0, 1, ""), calledStart(4*s, "w", 0, 0, 2), calledEnd(5*s, "w", 0, 0, 2, "failed"), endAcknowledged(7*s, "w", 0, 0, 2, "lapsed"), calledStart(6*s, "v", 0, 0, 3), calledEnd(8*s, "v", 0, 0, 3, "stopped")), endedAs("failed"))},
		{"a gang starts after its last allowed failure", 5,
			with(accepted(gangJob, calledStart(2*s, "w", 0, 0, 1), calledEnd(3*s, "w", 0, 0, 1, "failed"), endAcknowledged(3*s, "w", 0, 0, 1, ""), calledStart(4*s, "w", 0, 1, 2), calledEnd(5*s, "w", 0, 1, 2, "failed"), endAcknowledged(5*s, "w", 0, 1, 2, ""), calledStart(6*s, "v", 0, 0, 3), calledEnd(8*s, "v", 0, 0, 3, "stopped")), endedAs("failed")),
			with(accepted(gangJob, calledStart(2*s, "w", 0, 0, 1), calledStart(2*s, "w", 0, 1, 1), calledEnd(3*s, "w", 0, 0, 1, "failed"), endAcknowledged(3*s, "w", 0, 0, 1, ""), calledEnd(3*s, "w", 0, 1, 1, "failed"), endAcknowledged(3*s, "w", 0, 1, 1, ""), calledStart(6*s, "v", 0, 0, 2), calledEnd(8*s, "v", 0, 0, 2, "failed")), endedAs("failed"))},
		{"more accelerators than there are", 6,
			with(accepted(twoTasks, func() Event { e := calledStart(2*s, "w", 0, 0, 1); e.Accelerators = 1; return e }(), func() Event { e := calledStart(3*s, "w", 0, 1, 1); e.Accelerators = 1; return e }(), calledEnd(4*s, "w", 0, 0, 1, "done"), calledEnd(4*s, "w", 0, 1, 1, "done")), endedAs("complete")),
			with(accepted(twoTasks, func() Event { e := calledStart(2*s, "w", 0, 0, 1); e.Accelerators = 1; return e }(), calledEnd(3*s, "w", 0, 0, 1, "done"), func() Event { e := calledStart(3*s, "w", 0, 1, 1); e.Accelerators = 1; return e }(), calledEnd(4*s, "w", 0, 1, 1, "done")), endedAs("complete"))},
		{"a worker without the label", 6,
			with(accepted(labelled), done(2*s, "w", 0, 0, 1), done(2*s, "y", 0, 1, 1), endedAs("complete")),
			with(accepted(labelled), done(2*s, "w", 0, 0, 1), done(4*s, "v", 0, 1, 1), endedAs("complete"))},
		{"more of a step on one worker than allowed", 6,
			with(accepted(labelled, calledStart(2*s, "w", 0, 0, 1), calledStart(2*s, "w", 0, 1, 1), calledEnd(3*s, "w", 0, 0, 1, "done"), calledEnd(3*s, "w", 0, 1, 1, "done")), endedAs("complete")),
			with(accepted(labelled), done(2*s, "w", 0, 0, 1), done(4*s, "w", 0, 1, 1), endedAs("complete"))},
		{"work on a worker that drains", 7,
			with(accepted(oneTask, Event{At: 2 * s, Kind: WorkerDraining, Actor: "w"}), done(4*s+1, "w", 0, 0, 1), endedAs("complete")),
			with(accepted(oneTask, Event{At: 2 * s, Kind: WorkerDraining, Actor: "w"}, Event{At: 4*s + 1, Kind: TaskStart, Actor: "w", Queue: "l", Name: "j", Attempt: 1, Text: "t", IsCalled: true, IsLate: true}, calledEnd(5*s, "w", 0, 0, 1, "done")), endedAs("complete"))},
		{"a gang is shown complete without an end", 9,
			with(accepted(gangJob, calledStart(2*s, "w", 0, 0, 1), calledStart(2*s, "v", 0, 1, 1), calledEnd(3*s, "w", 0, 0, 1, "broken"), calledEnd(3*s, "v", 0, 1, 1, "broken")), endedAs("complete")),
			with(accepted(gangJob, calledStart(2*s, "w", 0, 0, 1), calledStart(2*s, "v", 0, 1, 1), calledEnd(3*s, "w", 0, 0, 1, "done"), Event{At: 3*s + 1, Kind: WorkerGone, Actor: "v"}), endedAs("complete"))},
		{"a later round isn't done", 9,
			with(accepted(rounds), done(3*s, "w", 0, 0, 1), done(5*s, "w", 1, 0, 1), endedAs("complete")),
			with(accepted(rounds), done(3*s, "w", 0, 0, 1), done(5*s, "w", 1, 0, 1), done(7*s, "w", 2, 0, 1), done(9*s, "w", 3, 0, 1), endedAs("complete"))},
		{"a member of a gang ends alone", 10,
			with(accepted(gangJob, calledStart(20*s, "w", 0, 0, 1), calledEnd(23*s, "w", 0, 0, 1, "alone"), calledStart(24*s, "w", 0, 0, 2), calledStart(24*s, "v", 0, 1, 2), calledEnd(25*s, "w", 0, 0, 2, "done"), calledEnd(25*s, "v", 0, 1, 2, "done")), endedAs("complete")),
			with(accepted(gangJob, Event{At: 10 * s, Kind: WorkerUnhealthy, Actor: "v"}, calledStart(20*s, "w", 0, 0, 1), calledEnd(23*s, "w", 0, 0, 1, "alone"), calledStart(24*s, "w", 0, 0, 2), calledStart(24*s, "v", 0, 1, 2), calledEnd(25*s, "w", 0, 0, 2, "done"), calledEnd(25*s, "v", 0, 1, 2, "done")), endedAs("complete"))},
		{"work on a pool that the configuration doesn't direct it to", 11,
			with(accepted(oneTask, configuration(1*s+2, "queue l pool p", "pool p guards 1")), done(5*s, "w", 0, 0, 1), []Event{statusReply(100*s, 200, "complete"), readBack, closing}),
			with(accepted(oneTask, calledWorkerUp(1*s+2, "p1", "p"), configuration(1*s+2, "queue l pool p", "pool p guards 1")), done(3*s, "w", 0, 0, 1), []Event{statusReply(100*s, 200, "complete"), readBack, closing})},
		{idle, 1,
			with(accepted(oneTask), done(14*s, "w", 0, 0, 1), endedAs("complete")),
			with(accepted(oneTask, Event{At: 2 * s, Kind: WorkerUnhealthy, Actor: "v"}), done(14*s, "w", 0, 0, 1), endedAs("complete"))},
		{"shown failed without a cause", 1,
			with(accepted(oneTask, calledStart(2*s, "w", 0, 0, 1), calledEnd(3*s, "w", 0, 0, 1, "failed")), endedAs("failed")),
			with(accepted(oneTask, calledStart(2*s, "w", 0, 0, 1), calledEnd(3*s, "w", 0, 0, 1, "failed"), calledStart(4*s, "w", 0, 0, 2), calledEnd(5*s, "w", 0, 0, 2, "failed")), endedAs("failed"))},
		{"shown cancelled though nobody asked", 1,
			with(accepted(oneTask, calledStart(2*s, "w", 0, 0, 1), calledEnd(3*s, "w", 0, 0, 1, "stopped")), endedAs("cancelled")),
			with(accepted(oneTask, calledStart(2*s, "w", 0, 0, 1), Event{At: 2*s + 1, Kind: CancelRequest, Queue: "l", Name: "j"}, calledEnd(3*s, "w", 0, 0, 1, "stopped")), endedAs("cancelled"))},
		{"two versions on top of one", 11,
			[]Event{{At: 1 * s, Kind: ConfigurationReply, Code: 200, BaseVersion: 3, Version: 5, Rows: rows("queue l urgency 1")}, {At: 1 * s, Kind: ConfigurationReply, Code: 200, BaseVersion: 3, Version: 6, Rows: rows("queue l urgency 2")}, {At: 2 * s, Kind: ConfigurationRead, Code: 200, Version: 6}, closing},
			[]Event{{At: 1 * s, Kind: ConfigurationReply, Code: 200, BaseVersion: 3, Version: 5, Rows: rows("queue l urgency 1")}, {At: 1 * s, Kind: ConfigurationReply, Code: 412, BaseVersion: 3, Rows: rows("queue l urgency 2")}, {At: 2 * s, Kind: ConfigurationRead, Code: 200, Version: 5}, closing}},
		{"a document is read back other than it was sent", 11,
			[]Event{{At: 1 * s, Kind: ConfigurationReply, Code: 200, Version: 5, Rows: rows("queue l urgency 1"), Document: "d"}, {At: 2 * s, Kind: ConfigurationRead, Code: 200, Version: 5, Rows: rows("queue l urgency 1"), Document: "e"}, closing},
			[]Event{{At: 1 * s, Kind: ConfigurationReply, Code: 200, Version: 5, Rows: rows("queue l urgency 1"), Document: "d"}, {At: 2 * s, Kind: ConfigurationRead, Code: 200, Version: 5, Rows: rows("queue l urgency 1"), Document: "d"}, closing}},
	} {
		Convey("Found: "+test.what, t, func() {
			tolerances := CalledWorkerTolerances
			if test.what != idle {
				// In the other histories jobs wait for a long time, which this rule would report.
				tolerances.MaxIdle = 0
			}
			broken := map[int]bool{}
			for _, violation := range Check(test.broken, tolerances) {
				broken[violation.Rule] = true
			}
			So(broken, ShouldResemble, map[int]bool{test.rule: true})
			So(Check(test.nearMiss, tolerances), ShouldBeEmpty)
		})
	}
}
