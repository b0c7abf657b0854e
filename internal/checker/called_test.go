package checker

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// calledUp is a called worker; its events say so.
func calledUp(at eventloop.Micros, who, pool string, labels ...string) Event {
	return Event{At: at, Kind: Up, Who: who, Cores: 25, Accelerators: 1, Pool: pool, Labels: labels, IsCalled: true}
}

func starts(at eventloop.Micros, who string, step, task, attempt uint32) Event {
	return Event{At: at, Kind: Begin, Who: who, Queue: "l", Name: "j", Step: step, Task: task, Attempt: attempt, Cores: 10, Text: "t", IsCalled: true}
}

func startsFrom(at eventloop.Micros, who string, task, attempt uint32, saved string) Event {
	e := starts(at, who, 0, task, attempt)
	e.Saved = saved
	return e
}

func ends(at eventloop.Micros, who string, step, task, attempt uint32, how string) Event {
	return Event{At: at, Kind: End, Who: who, Queue: "l", Name: "j", Step: step, Task: task, Attempt: attempt, State: how, IsCalled: true}
}

func kept(at eventloop.Micros, who string, task, attempt uint32, saved string) Event {
	return Event{At: at, Kind: Kept, Who: who, Queue: "l", Name: "j", Task: task, Attempt: attempt, Saved: saved, IsCalled: true}
}

func noted(at eventloop.Micros, who string, step, task, attempt uint32, state string) Event {
	return Event{At: at, Kind: Noted, Who: who, Queue: "l", Name: "j", Step: step, Task: task, Attempt: attempt, State: state, IsCalled: true}
}

func job(steps ...*schema.Step) *schema.Job { return &schema.Job{Text: "t", Steps: steps} }

func TestCalledRules(t *testing.T) {
	const idle = "a job stands still though there is room"
	closed := Event{At: 300 * s, Kind: Close}
	one := job(&schema.Step{Name: "a", Tasks: 2, AllowedFailures: 1})
	single := job(&schema.Step{Name: "a", Tasks: 1, AllowedFailures: 1})
	group := job(&schema.Step{Name: "g", Tasks: 2, Gang: true, AllowedFailures: 1, Checkpoints: true})
	rounds := &schema.Job{Text: "t", DelayUs: int64(s), Rounds: 2, PeriodUs: int64(5 * s), Steps: []*schema.Step{{Name: "a", Tasks: 1}, {Name: "b", Tasks: 1, Dependencies: []string{"a"}}}}
	lasting := job(&schema.Step{Name: "a", Tasks: 1, RunUntilCancelled: true})
	fitted := job(&schema.Step{Name: "a", Tasks: 2, MaxPerWorker: 1, Labels: []string{"x"}})
	taken := func(spec *schema.Job, more ...Event) []Event {
		return append([]Event{calledUp(0, "w", "", "x"), calledUp(0, "v", "", "x"), calledUp(0, "y", ""), in(1*s, spec), reply(1*s+1, 201)}, more...)
	}
	over := func(state string) []Event { return []Event{status(100*s, 200, state), closed} }
	with := func(list []Event, more ...[]Event) []Event {
		for _, each := range more {
			list = append(list, each...)
		}
		return list
	}
	done := func(at eventloop.Micros, who string, step, task, attempt uint32) []Event {
		return []Event{starts(at, who, step, task, attempt), ends(at+s, who, step, task, attempt, "done"), noted(at+s+1, who, step, task, attempt, "")}
	}
	table := func(at eventloop.Micros, list ...string) Event {
		return Event{At: at, Kind: PlanPut, Code: 200, Generation: 1, Rows: rows(list...)}
	}
	readBack := Event{At: 200 * s, Kind: PlanRead, Code: 200, Generation: 1}
	for _, each := range []struct {
		what         string
		rule         int
		broken, near []Event
	}{
		{"a task runs twice at once", 2,
			with(taken(single, starts(2*s, "w", 0, 0, 1), starts(3*s, "v", 0, 0, 2), ends(4*s, "w", 0, 0, 1, "stopped"), ends(5*s, "v", 0, 0, 2, "done")), over("complete")),
			with(taken(single, starts(2*s, "w", 0, 0, 1), Event{At: 3 * s, Kind: Gone, Who: "w"}, starts(3*s, "v", 0, 0, 2), ends(5*s, "v", 0, 0, 2, "done")), over("complete"))},
		{"a start after an end that was noted", 2,
			with(taken(single), done(2*s, "w", 0, 0, 1), done(5*s, "v", 0, 0, 2), over("complete")),
			with(taken(single, starts(2*s, "w", 0, 0, 1), ends(3*s, "w", 0, 0, 1, "done"), noted(9*s, "w", 0, 0, 1, "lapsed")), done(10*s, "v", 0, 0, 2), over("complete"))},
		{"a start after an end that is noted later", 2,
			with(taken(single, starts(2*s, "w", 0, 0, 1), ends(3*s, "w", 0, 0, 1, "done"), starts(4*s, "v", 0, 0, 2), noted(4*s+1, "w", 0, 0, 1, ""), ends(5*s, "v", 0, 0, 2, "stopped")), over("complete")),
			with(taken(lasting, starts(2*s, "w", 0, 0, 1), ends(3*s, "w", 0, 0, 1, "done"), starts(4*s, "v", 0, 0, 2), noted(4*s+1, "w", 0, 0, 1, ""), Event{At: 5 * s, Kind: CancelSent, Queue: "l", Name: "j"}, ends(6*s, "v", 0, 0, 2, "stopped")), over("cancelled"))},
		{"a member of a group starts again after another was done", 2,
			with(taken(group, starts(2*s, "w", 0, 0, 1), starts(2*s, "v", 0, 1, 1), ends(3*s, "w", 0, 0, 1, "done"), noted(3*s, "w", 0, 0, 1, ""), ends(3*s, "v", 0, 1, 1, "done"), starts(4*s, "v", 0, 1, 2), ends(5*s, "v", 0, 1, 2, "stopped")), over("complete")),
			with(taken(group, starts(2*s, "w", 0, 0, 1), starts(2*s, "v", 0, 1, 1), ends(3*s, "w", 0, 0, 1, "done"), noted(3*s, "w", 0, 0, 1, ""), ends(3*s, "v", 0, 1, 1, "done")), over("complete"))},
		{"nobody handed it in", 3,
			[]Event{calledUp(0, "w", ""), starts(2*s, "w", 0, 0, 1), ends(3*s, "w", 0, 0, 1, "done"), closed},
			with(taken(single), done(2*s, "w", 0, 0, 1), over("complete"))},
		{"a start with another text", 3,
			with(taken(single, Event{At: 2 * s, Kind: Begin, Who: "w", Queue: "l", Name: "j", Attempt: 1, Text: "u", IsCalled: true}, ends(3*s, "w", 0, 0, 1, "done")), over("complete")),
			with(taken(single), done(2*s, "w", 0, 0, 1), over("complete"))},
		{"a task that the job hasn't", 3,
			with(taken(single), done(2*s, "w", 0, 0, 1), done(4*s, "w", 0, 1, 1), over("complete")),
			with(taken(one), done(2*s, "w", 0, 0, 1), done(4*s, "w", 0, 1, 1), over("complete"))},
		{"a start from the progress of another task", 3,
			with(taken(one, starts(2*s, "w", 0, 0, 1), kept(3*s, "w", 0, 1, "p"), ends(4*s, "w", 0, 0, 1, "done"), startsFrom(5*s, "v", 1, 1, "p"), ends(6*s, "v", 0, 1, 1, "done")), over("complete")),
			with(taken(one, starts(2*s, "w", 0, 0, 1), kept(3*s, "w", 0, 1, "p"), ends(4*s, "w", 0, 0, 1, "stopped"), startsFrom(5*s, "v", 0, 2, "p"), ends(6*s, "v", 0, 0, 2, "done")), done(7*s, "w", 0, 1, 1), over("complete"))},
		{"members of a group start from other progress", 3,
			with(taken(group, starts(2*s, "w", 0, 0, 1), starts(2*s, "v", 0, 1, 1), kept(3*s, "w", 0, 1, "p"), ends(4*s, "w", 0, 0, 1, "stopped"), ends(4*s, "v", 0, 1, 1, "broken"), startsFrom(5*s, "w", 0, 2, "p"), startsFrom(5*s, "v", 1, 2, ""), ends(6*s, "w", 0, 0, 2, "done"), ends(6*s, "v", 0, 1, 2, "done")), over("complete")),
			with(taken(group, starts(2*s, "w", 0, 0, 1), starts(2*s, "v", 0, 1, 1), kept(3*s, "w", 0, 1, "p"), ends(4*s, "w", 0, 0, 1, "stopped"), ends(4*s, "v", 0, 1, 1, "broken"), startsFrom(5*s, "w", 0, 2, "p"), startsFrom(5*s, "v", 1, 2, "p"), ends(6*s, "w", 0, 0, 2, "done"), ends(6*s, "v", 0, 1, 2, "done")), over("complete"))},
		{"a round starts early", 4,
			with(taken(rounds), done(3*s, "w", 0, 0, 1), done(5*s, "w", 1, 0, 1), done(6*s, "v", 2, 0, 1), done(8*s, "v", 3, 0, 1), over("complete")),
			with(taken(rounds), done(3*s, "w", 0, 0, 1), done(5*s, "w", 1, 0, 1), done(7*s-200*eventloop.Millisecond, "v", 2, 0, 1), done(9*s, "v", 3, 0, 1), over("complete"))},
		{"a step starts before what it waits for in its own round", 4,
			with(taken(rounds), done(3*s, "w", 0, 0, 1), done(5*s, "w", 1, 0, 1), done(8*s, "v", 3, 0, 1), done(10*s, "v", 2, 0, 1), over("complete")),
			with(taken(rounds), done(7*s, "v", 2, 0, 1), done(9*s, "v", 3, 0, 1), done(11*s, "w", 0, 0, 1), done(13*s, "w", 1, 0, 1), over("complete"))},
		{"a start after the last allowed failure", 5,
			with(taken(single, starts(2*s, "w", 0, 0, 1), ends(3*s, "w", 0, 0, 1, "failed"), noted(3*s, "w", 0, 0, 1, ""), starts(4*s, "w", 0, 0, 2), ends(5*s, "w", 0, 0, 2, "failed"), noted(7*s, "w", 0, 0, 2, ""), starts(6*s, "v", 0, 0, 3), ends(8*s, "v", 0, 0, 3, "stopped")), over("failed")),
			with(taken(single, starts(2*s, "w", 0, 0, 1), ends(3*s, "w", 0, 0, 1, "failed"), noted(3*s, "w", 0, 0, 1, ""), starts(4*s, "w", 0, 0, 2), ends(5*s, "w", 0, 0, 2, "failed"), noted(7*s, "w", 0, 0, 2, "lapsed"), starts(6*s, "v", 0, 0, 3), ends(8*s, "v", 0, 0, 3, "stopped")), over("failed"))},
		{"a group starts after its last allowed failure", 5,
			with(taken(group, starts(2*s, "w", 0, 0, 1), ends(3*s, "w", 0, 0, 1, "failed"), noted(3*s, "w", 0, 0, 1, ""), starts(4*s, "w", 0, 1, 2), ends(5*s, "w", 0, 1, 2, "failed"), noted(5*s, "w", 0, 1, 2, ""), starts(6*s, "v", 0, 0, 3), ends(8*s, "v", 0, 0, 3, "stopped")), over("failed")),
			with(taken(group, starts(2*s, "w", 0, 0, 1), starts(2*s, "w", 0, 1, 1), ends(3*s, "w", 0, 0, 1, "failed"), noted(3*s, "w", 0, 0, 1, ""), ends(3*s, "w", 0, 1, 1, "failed"), noted(3*s, "w", 0, 1, 1, ""), starts(6*s, "v", 0, 0, 2), ends(8*s, "v", 0, 0, 2, "failed")), over("failed"))},
		{"more accelerators than there are", 6,
			with(taken(one, func() Event { e := starts(2*s, "w", 0, 0, 1); e.Accelerators = 1; return e }(), func() Event { e := starts(3*s, "w", 0, 1, 1); e.Accelerators = 1; return e }(), ends(4*s, "w", 0, 0, 1, "done"), ends(4*s, "w", 0, 1, 1, "done")), over("complete")),
			with(taken(one, func() Event { e := starts(2*s, "w", 0, 0, 1); e.Accelerators = 1; return e }(), ends(3*s, "w", 0, 0, 1, "done"), func() Event { e := starts(3*s, "w", 0, 1, 1); e.Accelerators = 1; return e }(), ends(4*s, "w", 0, 1, 1, "done")), over("complete"))},
		{"a worker without the label", 6,
			with(taken(fitted), done(2*s, "w", 0, 0, 1), done(2*s, "y", 0, 1, 1), over("complete")),
			with(taken(fitted), done(2*s, "w", 0, 0, 1), done(4*s, "v", 0, 1, 1), over("complete"))},
		{"more of a step on one worker than allowed", 6,
			with(taken(fitted, starts(2*s, "w", 0, 0, 1), starts(2*s, "w", 0, 1, 1), ends(3*s, "w", 0, 0, 1, "done"), ends(3*s, "w", 0, 1, 1, "done")), over("complete")),
			with(taken(fitted), done(2*s, "w", 0, 0, 1), done(4*s, "w", 0, 1, 1), over("complete"))},
		{"work on a worker that leaves", 7,
			with(taken(single, Event{At: 2 * s, Kind: Leave, Who: "w"}), done(4*s+1, "w", 0, 0, 1), over("complete")),
			with(taken(single, Event{At: 2 * s, Kind: Leave, Who: "w"}, Event{At: 4*s + 1, Kind: Begin, Who: "w", Queue: "l", Name: "j", Attempt: 1, Text: "t", IsCalled: true, IsLate: true}, ends(5*s, "w", 0, 0, 1, "done")), over("complete"))},
		{"a group is shown complete without an end", 9,
			with(taken(group, starts(2*s, "w", 0, 0, 1), starts(2*s, "v", 0, 1, 1), ends(3*s, "w", 0, 0, 1, "broken"), ends(3*s, "v", 0, 1, 1, "broken")), over("complete")),
			with(taken(group, starts(2*s, "w", 0, 0, 1), starts(2*s, "v", 0, 1, 1), ends(3*s, "w", 0, 0, 1, "done"), Event{At: 3*s + 1, Kind: Gone, Who: "v"}), over("complete"))},
		{"a later round isn't done", 9,
			with(taken(rounds), done(3*s, "w", 0, 0, 1), done(5*s, "w", 1, 0, 1), over("complete")),
			with(taken(rounds), done(3*s, "w", 0, 0, 1), done(5*s, "w", 1, 0, 1), done(7*s, "w", 2, 0, 1), done(9*s, "w", 3, 0, 1), over("complete"))},
		{"a member of a group ends alone", 10,
			with(taken(group, starts(20*s, "w", 0, 0, 1), ends(23*s, "w", 0, 0, 1, "alone"), starts(24*s, "w", 0, 0, 2), starts(24*s, "v", 0, 1, 2), ends(25*s, "w", 0, 0, 2, "done"), ends(25*s, "v", 0, 1, 2, "done")), over("complete")),
			with(taken(group, Event{At: 10 * s, Kind: Sick, Who: "v"}, starts(20*s, "w", 0, 0, 1), ends(23*s, "w", 0, 0, 1, "alone"), starts(24*s, "w", 0, 0, 2), starts(24*s, "v", 0, 1, 2), ends(25*s, "w", 0, 0, 2, "done"), ends(25*s, "v", 0, 1, 2, "done")), over("complete"))},
		{"work on a pool that the table doesn't direct it to", 11,
			with(taken(single, table(1*s+2, "queue l pool p", "pool p guards 1")), done(5*s, "w", 0, 0, 1), []Event{status(100*s, 200, "complete"), readBack, closed}),
			with(taken(single, calledUp(1*s+2, "p1", "p"), table(1*s+2, "queue l pool p", "pool p guards 1")), done(3*s, "w", 0, 0, 1), []Event{status(100*s, 200, "complete"), readBack, closed})},
		{idle, 1,
			with(taken(single), done(14*s, "w", 0, 0, 1), over("complete")),
			with(taken(single, Event{At: 2 * s, Kind: Sick, Who: "v"}), done(14*s, "w", 0, 0, 1), over("complete"))},
		{"shown failed without a cause", 1,
			with(taken(single, starts(2*s, "w", 0, 0, 1), ends(3*s, "w", 0, 0, 1, "failed")), over("failed")),
			with(taken(single, starts(2*s, "w", 0, 0, 1), ends(3*s, "w", 0, 0, 1, "failed"), starts(4*s, "w", 0, 0, 2), ends(5*s, "w", 0, 0, 2, "failed")), over("failed"))},
		{"shown cancelled though nobody asked", 1,
			with(taken(single, starts(2*s, "w", 0, 0, 1), ends(3*s, "w", 0, 0, 1, "stopped")), over("cancelled")),
			with(taken(single, starts(2*s, "w", 0, 0, 1), Event{At: 2*s + 1, Kind: CancelSent, Queue: "l", Name: "j"}, ends(3*s, "w", 0, 0, 1, "stopped")), over("cancelled"))},
		{"two editions on top of one", 11,
			[]Event{{At: 1 * s, Kind: PlanPut, Code: 200, Built: 3, Generation: 5, Rows: rows("queue l urgency 1")}, {At: 1 * s, Kind: PlanPut, Code: 200, Built: 3, Generation: 6, Rows: rows("queue l urgency 2")}, {At: 2 * s, Kind: PlanRead, Code: 200, Generation: 6}, closed},
			[]Event{{At: 1 * s, Kind: PlanPut, Code: 200, Built: 3, Generation: 5, Rows: rows("queue l urgency 1")}, {At: 1 * s, Kind: PlanPut, Code: 412, Built: 3, Rows: rows("queue l urgency 2")}, {At: 2 * s, Kind: PlanRead, Code: 200, Generation: 5}, closed}},
		{"a document is read back otherwise than it was given", 11,
			[]Event{{At: 1 * s, Kind: PlanPut, Code: 200, Generation: 5, Rows: rows("queue l urgency 1"), Document: "d"}, {At: 2 * s, Kind: PlanRead, Code: 200, Generation: 5, Rows: rows("queue l urgency 1"), Document: "e"}, closed},
			[]Event{{At: 1 * s, Kind: PlanPut, Code: 200, Generation: 5, Rows: rows("queue l urgency 1"), Document: "d"}, {At: 2 * s, Kind: PlanRead, Code: 200, Generation: 5, Rows: rows("queue l urgency 1"), Document: "d"}, closed}},
	} {
		Convey("Found: "+each.what, t, func() {
			bounds := OfCalled
			if each.what != idle {
				// The other histories are drawn out.
				bounds.Idle = 0
			}
			broken := map[int]bool{}
			for _, b := range Judge(each.broken, bounds) {
				broken[b.Rule] = true
			}
			So(broken, ShouldResemble, map[int]bool{each.rule: true})
			So(Judge(each.near, bounds), ShouldBeEmpty)
		})
	}
}
