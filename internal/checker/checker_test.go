package checker

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const s = eventloop.Second

var twoSteps = &schema.Job{Steps: []*schema.Step{{Name: "a", Tasks: 1, AllowedFailures: 1}, {Name: "b", Tasks: 1, Dependencies: []string{"a"}}}}
var gang = &schema.Job{Steps: []*schema.Step{{Name: "g", Tasks: 2, Gang: true}}}
var timed = &schema.Job{DelayUs: int64(5 * s), Steps: []*schema.Step{{Name: "a", Tasks: 1}}}

func submit(at eventloop.Micros, spec *schema.Job) Event {
	return Event{At: at, Kind: Submit, Queue: "l", Name: "j", Spec: spec}
}
func submitReply(at eventloop.Micros, code int32) Event {
	return Event{At: at, Kind: SubmitReply, Queue: "l", Name: "j", Code: code}
}
func statusReply(at eventloop.Micros, code int32, state string) Event {
	return Event{At: at, Kind: Status, Queue: "l", Name: "j", Code: code, State: state}
}
func taskStart(at eventloop.Micros, who string, step, task, attempt uint32) Event {
	return Event{At: at, Kind: TaskStart, Actor: who, Queue: "l", Name: "j", Job: 1, Step: step, Task: task, Attempt: attempt, Cores: 10}
}
func taskEnd(at eventloop.Micros, who string, step, task, attempt uint32, outcome string) Event {
	return Event{At: at, Kind: TaskEnd, Actor: who, Queue: "l", Name: "j", Job: 1, Step: step, Task: task, Attempt: attempt, State: outcome}
}
func order(at eventloop.Micros, who, act string, attempt uint32) Event {
	return Event{At: at, Kind: Order, Actor: who, Queue: "l", Name: "j", Job: 1, Attempt: attempt, State: act}
}
func failureReported(at eventloop.Micros, who string, attempt uint32) Event {
	return Event{At: at, Kind: FailureReported, Actor: who, Queue: "l", Job: 1, Attempt: attempt, State: "failed"}
}
func workerUp(at eventloop.Micros, who string) Event {
	return Event{At: at, Kind: WorkerUp, Actor: who, Cores: 25}
}

func goodHistory() []Event {
	return []Event{
		workerUp(0, "w"), workerUp(0, "v"), submit(1*s, twoSteps), submitReply(1*s+1, 201), taskStart(2*s, "w", 0, 0, 1), taskEnd(3*s, "w", 0, 0, 1, "failed"),
		taskStart(3*s+1, "v", 0, 0, 2), taskEnd(4*s, "v", 0, 0, 2, "done"), taskStart(4*s+1, "w", 1, 0, 1), taskEnd(5*s, "w", 1, 0, 1, "done"),
		statusReply(6*s, 200, "complete"), {At: 200 * s, Kind: Close},
	}
}

func brokenRules(history []Event) map[int]bool {
	broken := map[int]bool{}
	for _, b := range Check(history, DefaultBounds) {
		broken[b.Rule] = true
	}
	return broken
}

func TestEachRule(t *testing.T) {
	Convey("A good history breaks nothing", t, func() { So(Check(goodHistory(), DefaultBounds), ShouldBeEmpty) })
	closedAt := Event{At: 200 * s, Kind: Close}
	for _, test := range []struct {
		what    string
		rule    int
		history []Event
	}{
		{"an accepted job never ends", 1, []Event{submit(1*s, twoSteps), submitReply(2*s, 201), closedAt}},
		{"an accepted job is unknown", 1, []Event{submit(1*s, twoSteps), submitReply(2*s, 201), statusReply(3*s, 404, ""), statusReply(4*s, 200, "failed"), closedAt}},
		{"an ended job is forgotten too soon", 1, append(goodHistory()[:11], statusReply(100*s, 404, ""), closedAt)},
		{"one name runs as two jobs", 2, append(goodHistory()[:11], Event{At: 7 * s, Kind: TaskStart, Actor: "w", Queue: "l", Name: "j", Job: 2, Attempt: 1}, Event{At: 8 * s, Kind: TaskEnd, Actor: "w", Queue: "l", Name: "j", Job: 2, Attempt: 1, State: "done"}, closedAt)},
		{"a task runs twice at once", 2, []Event{submit(1*s, twoSteps), submitReply(1*s, 201), taskStart(2*s, "w", 0, 0, 1), taskStart(3*s, "v", 0, 0, 2), taskEnd(4*s, "w", 0, 0, 1, "done"), taskEnd(5*s, "v", 0, 0, 2, "done"), statusReply(6*s, 200, "failed"), closedAt}},
		{"a frozen worker's task runs on after another took it", 2, []Event{submit(1*s, twoSteps), submitReply(1*s, 201), taskStart(2*s, "w", 0, 0, 1), {At: 3 * s, Kind: WorkerPaused, Actor: "w"}, taskStart(4*s, "v", 0, 0, 2), {At: 5 * s, Kind: WorkerResumed, Actor: "w"}, taskEnd(6*s, "w", 0, 0, 1, "done"), taskEnd(7*s, "v", 0, 0, 2, "done"), statusReply(8*s, 200, "failed"), closedAt}},
		{"a task runs though every hand-in was turned away", 3, []Event{submit(1*s, twoSteps), submitReply(1*s, 429), taskStart(2*s, "w", 0, 0, 1), taskEnd(3*s, "w", 0, 0, 1, "done"), closedAt}},
		{"a step starts before its dependencies", 4, []Event{submit(1*s, twoSteps), submitReply(1*s, 201), taskStart(2*s, "w", 1, 0, 1), taskEnd(3*s, "w", 1, 0, 1, "done"), statusReply(6*s, 200, "failed"), closedAt}},
		{"a timed job starts early", 4, []Event{submit(1*s, timed), submitReply(1*s, 201), taskStart(5*s+800*eventloop.Millisecond, "w", 0, 0, 1), taskEnd(7*s, "w", 0, 0, 1, "done"), statusReply(8*s, 200, "complete"), closedAt}},
		{"a retry beyond the allowed failures", 5, append(goodHistory()[:6:6], failureReported(3*s, "w", 1), taskStart(3*s+1, "v", 0, 0, 2), taskEnd(4*s, "v", 0, 0, 2, "failed"), failureReported(4*s, "v", 2), taskStart(4*s+1, "v", 0, 0, 3), taskEnd(5*s, "v", 0, 0, 3, "done"), statusReply(6*s, 200, "failed"), closedAt)},
		{"a worker gets more than its room", 6, []Event{workerUp(0, "w"), taskStart(1*s, "w", 0, 0, 1), taskStart(1*s, "w", 0, 1, 1), taskStart(1*s, "w", 0, 2, 1), closedAt}},
		{"work reaches a leaving worker", 7, []Event{workerUp(0, "w"), {At: 1 * s, Kind: WorkerDraining, Actor: "w"}, order(3*s+1, "w", "start", 1), closedAt}},
		{"a cancelled job starts something", 8, []Event{submit(1*s, twoSteps), submitReply(1*s, 201), {At: 2 * s, Kind: CancelReply, Queue: "l", Name: "j", Code: 200}, taskStart(5*s+1, "w", 0, 0, 1), taskEnd(6*s, "w", 0, 0, 1, "done"), statusReply(7*s, 200, "cancelled"), closedAt}},
		{"a task runs on once told to stop", 8, []Event{submit(1*s, twoSteps), submitReply(1*s, 201), taskStart(2*s, "w", 0, 0, 1), order(3*s, "w", "stop", 1), taskEnd(5*s, "w", 0, 0, 1, "done"), statusReply(7*s, 200, "cancelled"), closedAt}},
		{"complete with a task unfinished", 9, append(goodHistory()[:8:8], statusReply(4*s, 200, "complete"), closedAt)},
		{"a group starts in part", 10, []Event{submit(1*s, gang), submitReply(1*s, 201), taskStart(2*s, "w", 0, 0, 1), taskEnd(9*s, "w", 0, 0, 1, "done"), statusReply(10*s, 200, "failed"), closedAt}},
		{"a table takes effect too late", 11, []Event{{At: 1 * s, Kind: ConfigurationReply, Code: 200, Version: 2}, {At: 3*s + 1, Kind: ConfigurationRead, Code: 200, Version: 1}, {At: 5 * s, Kind: ConfigurationRead, Code: 200, Version: 2}, closedAt}},
		{"a table is missing when read back", 11, []Event{{At: 1 * s, Kind: ConfigurationReply, Code: 200, Version: 2}, closedAt}},
		{"service is away too long", 12, []Event{{At: 1 * s, Kind: Fault, State: "x"}, submit(2*s, twoSteps), submitReply(14*s, 201), statusReply(15*s, 200, "failed"), closedAt}},
	} {
		Convey("Found: "+test.what, t, func() { So(brokenRules(test.history)[test.rule], ShouldBeTrue) })
	}
	Convey("A group that starts in part because a member's worker dies holding it is no breach", t, func() {
		hold := Event{At: 1*s + 5, Kind: Order, Actor: "v", Queue: "l", Name: "j", Job: 1, Task: 1, Attempt: 1, State: "hold"}
		history := []Event{submit(1*s, gang), submitReply(1*s, 201), hold, taskStart(2*s, "w", 0, 0, 1), {At: 2*s + 1, Kind: WorkerGone, Actor: "v"}, taskEnd(9*s, "w", 0, 0, 1, "done"), statusReply(10*s, 200, "failed"), closedAt}
		So(brokenRules(history)[10], ShouldBeFalse)
		history[4].At = 8 * s
		So(brokenRules(history)[10], ShouldBeTrue)
	})
	Convey("A frozen worker that stops its task at once on waking breaks nothing", t, func() {
		history := []Event{submit(1*s, twoSteps), submitReply(1*s, 201), taskStart(2*s, "w", 0, 0, 1), {At: 3 * s, Kind: WorkerPaused, Actor: "w"}, taskStart(4*s, "v", 0, 0, 2), {At: 5 * s, Kind: WorkerResumed, Actor: "w"}, taskEnd(5*s, "w", 0, 0, 1, "stopped"), taskEnd(7*s, "v", 0, 0, 2, "done"), statusReply(8*s, 200, "failed"), closedAt}
		So(brokenRules(history)[2], ShouldBeFalse)
	})
}

func answer(kind string, sent, at eventloop.Micros, front string, code int32, state string) Event {
	return Event{At: at, SentAt: sent, Kind: kind, Queue: "l", Name: "j", Gateway: front, Code: code, State: state}
}
func rows(list ...string) (table []*schema.ConfigurationRow) {
	for _, each := range list {
		part := strings.Split(each, " ")
		table = append(table, &schema.ConfigurationRow{Kind: part[0], Name: part[1], Key: part[2], Value: part[3]})
	}
	return table
}
func sent(at eventloop.Micros, table []*schema.ConfigurationRow) Event {
	return Event{At: at, Kind: ConfigurationSent, Rows: table}
}
func put(at eventloop.Micros, generation uint64, table []*schema.ConfigurationRow) Event {
	return Event{At: at, Kind: ConfigurationReply, Code: 200, Version: generation, BaseVersion: generation - 1, Rows: table}
}
func read(sent eventloop.Micros, front string, generation uint64, table []*schema.ConfigurationRow) Event {
	return Event{At: sent + 5, SentAt: sent, Kind: ConfigurationRead, Gateway: front, Code: 200, Version: generation, Rows: table}
}
func trouble(at eventloop.Micros, kind, who string) Event {
	return Event{At: at, Kind: kind, Actor: who}
}

// TestNearMisses: each history breaks just one rule, and one close to it, which
// differs in a single event, breaks none.
func TestNearMisses(t *testing.T) {
	closedAt := Event{At: 200 * s, Kind: Close}
	job := func(list ...Event) []Event {
		return append([]Event{workerUp(0, "w"), workerUp(0, "v"), submit(1*s, twoSteps)}, list...)
	}
	fault := Event{At: 20 * s, Kind: Fault, State: "x"}
	queue, rack := rows("queue l urgency 5"), rows("queue l urgency 5", "rack r weight 0")
	wide := rows("queue l urgency 5", "queue l running 1")
	many := &schema.Job{Steps: []*schema.Step{{Name: "a", Tasks: 2, AllowedFailures: 1}}}
	wall := &schema.Job{StartUnixUs: int64(1000 * s), Steps: []*schema.Step{{Name: "a", Tasks: 1}}}
	runs := []Event{taskStart(2*s, "w", 0, 0, 1), taskEnd(3*s, "w", 0, 0, 1, "done"), taskStart(4*s, "w", 1, 0, 1), taskEnd(5*s, "w", 1, 0, 1, "done")}
	done := func(list ...Event) []Event {
		return job(append([]Event{submitReply(1*s+1, 201)}, append(runs[:4:4], list...)...)...)
	}
	hold := Event{At: 1*s + 5, Kind: Order, Actor: "v", Queue: "l", Name: "j", Job: 1, Task: 1, Attempt: 1, State: "hold"}
	waiting := []Event{fault, submit(21*s, twoSteps), submitReply(21*s, 201), taskStart(33*s, "w", 0, 0, 1), taskEnd(34*s, "w", 0, 0, 1, "done"), statusReply(35*s, 200, "failed"), closedAt}
	// Another job takes so much of the room of a worker of 25.
	taken := func(cores int64) []Event {
		return []Event{workerUp(0, "z"), {At: 1 * s, Kind: TaskStart, Actor: "z", Queue: "m", Name: "k", Job: 9, Attempt: 1, Cores: cores}}
	}
	replaced := func(at eventloop.Micros, code int32, state string) Event {
		return Event{At: at, SentAt: at - 5, Kind: ConfigurationReply, Actor: "o", Code: code, Version: 2, BaseVersion: 1, Rows: queue, Document: "d", State: state}
	}
	lost := func(again Event) []Event {
		return []Event{{At: 1 * s, Kind: ConfigurationSent, Rows: queue, Document: "d"}, replaced(2*s, 0, AcknowledgementLost), again, replaced(4*s, 200, ""), read(9*s, "f", 2, nil), closedAt}
	}
	part := func(list ...Event) []Event {
		return append([]Event{submit(1*s, gang), submitReply(1*s, 201), hold, taskStart(2*s, "w", 0, 0, 1)}, list...)
	}
	for _, test := range []struct {
		what         string
		rule         int
		broken, near []Event
	}{
		{"503 to every hand-in, and it runs", 3, job(submitReply(2*s, 503), runs[0], taskEnd(3*s, "w", 0, 0, 1, "done")),
			job(submitReply(2*s, 504), runs[0], taskEnd(3*s, "w", 0, 0, 1, "done"))},
		{"404 through one front just after the confirm", 1, done(answer(Status, 5*s+1, 6*s, "f2", 404, ""), statusReply(7*s, 200, "complete")),
			done(answer(Status, 1*s, 6*s, "f2", 404, ""), statusReply(7*s, 200, "complete"))},
		{"404 two minutes after the end, less a moment", 1, done(statusReply(6*s, 200, "complete"), answer(Status, 124*s, 124*s, "f", 404, "")),
			done(statusReply(6*s, 200, "complete"), answer(Status, 126*s, 126*s, "f", 404, ""))},
		{"a resend makes the job anew", 1, done(statusReply(6*s, 200, "complete"), answer(SubmitReply, 7*s, 7*s, "f", 201, ""), Event{At: 8 * s, Kind: Close}),
			done(statusReply(6*s, 200, "complete"), answer(SubmitReply, 7*s, 7*s, "f", 200, "complete"), Event{At: 8 * s, Kind: Close})},
		{"a start by the wall clock comes early", 4, []Event{{At: 1 * s, Kind: Clock, WallTime: int64(995 * s)}, submit(1*s, wall), submitReply(1*s, 201), taskStart(5*s+800*eventloop.Millisecond, "w", 0, 0, 1), taskEnd(7*s, "w", 0, 0, 1, "done"), statusReply(8*s, 200, "complete"), closedAt},
			[]Event{{At: 1 * s, Kind: Clock, WallTime: int64(995 * s)}, submit(1*s, wall), submitReply(1*s, 201), taskStart(5*s+950*eventloop.Millisecond, "w", 0, 0, 1), taskEnd(7*s, "w", 0, 0, 1, "done"), statusReply(8*s, 200, "complete"), closedAt}},
		{"a cancelled job's task is never told to stop", 8, job(submitReply(1*s, 201), runs[0], answer(CancelReply, 2*s, 2*s+5, "f", 200, "stopping"), taskEnd(7*s, "w", 0, 0, 1, "done"), statusReply(8*s, 200, "cancelled"), closedAt),
			job(submitReply(1*s, 201), runs[0], answer(CancelReply, 2*s, 2*s+5, "f", 200, "stopping"), taskEnd(5*s, "w", 0, 0, 1, "done"), statusReply(8*s, 200, "cancelled"), closedAt)},
		{"a hand-in's answer shows complete too early", 9, job(submitReply(1*s+1, 201), runs[0], runs[1], answer(SubmitReply, 3*s, 3*s+5, "f", 200, "complete"), runs[2], runs[3], statusReply(6*s, 200, "complete"), closedAt),
			job(submitReply(1*s+1, 201), runs[0], runs[1], answer(SubmitReply, 3*s, 3*s+5, "f", 200, "running"), runs[2], runs[3], statusReply(6*s, 200, "complete"), closedAt)},
		{"complete is shown and taken back", 9, done(statusReply(6*s, 200, "complete"), answer(Status, 7*s, 7*s, "f", 200, "running")),
			done(statusReply(6*s, 200, "complete"), answer(Status, 6*s, 7*s, "f", 200, "running"))},
		{"a group's member begins, is stopped at once, and nobody was lost", 10, part(taskEnd(3*s, "w", 0, 0, 1, "stopped"), statusReply(10*s, 200, "failed"), closedAt),
			part(trouble(2*s+900*eventloop.Millisecond, WorkerGone, "v"), taskEnd(3*s, "w", 0, 0, 1, "stopped"), statusReply(10*s, 200, "failed"), closedAt)},
		{"a group's member begins, and the other's worker is lost only later", 10, part(taskEnd(3*s, "w", 0, 0, 1, "stopped"), trouble(4*s, WorkerGone, "v"), statusReply(10*s, 200, "failed"), closedAt),
			part(taskEnd(3*s, "w", 0, 0, 1, "stopped"), taskStart(3*s, "v", 0, 1, 1), trouble(4*s, WorkerGone, "v"), statusReply(10*s, 200, "failed"), closedAt)},
		{"a group's member runs to its end though another was lost before it began", 10, part(trouble(2*s+1, WorkerGone, "v"), taskEnd(15*s, "w", 0, 0, 1, "done"), statusReply(16*s, 200, "failed"), closedAt),
			part(trouble(2*s+1, WorkerGone, "v"), taskEnd(9*s, "w", 0, 0, 1, "stopped"), statusReply(16*s, 200, "failed"), closedAt)},
		{"a failure that was told late counts from then on", 5, job(submitReply(1*s, 201), runs[0], taskEnd(3*s, "w", 0, 0, 1, "failed"), taskStart(9*s, "v", 0, 0, 2), failureReported(9*s+5, "w", 1), taskEnd(10*s, "v", 0, 0, 2, "failed"), failureReported(10*s, "v", 2), taskStart(11*s, "v", 0, 0, 3), taskEnd(12*s, "v", 0, 0, 3, "done"), statusReply(13*s, 200, "failed"), closedAt),
			job(submitReply(1*s, 201), runs[0], taskEnd(3*s, "w", 0, 0, 1, "failed"), taskStart(9*s, "v", 0, 0, 2), taskEnd(10*s, "v", 0, 0, 2, "failed"), failureReported(10*s, "v", 2), taskStart(11*s, "v", 0, 0, 3), failureReported(11*s+5, "w", 1), taskEnd(12*s, "v", 0, 0, 3, "done"), statusReply(13*s, 200, "failed"), closedAt)},
		{"a restarted worker has less room", 6, []Event{workerUp(0, "w"), {At: 1 * s, Kind: WorkerGone, Actor: "w"}, {At: 2 * s, Kind: WorkerUp, Actor: "w", Cores: 15, Incarnation: 2}, {At: 3 * s, Kind: TaskStart, Actor: "w", Cores: 20, Incarnation: 2, Queue: "l", Name: "x"}, closedAt},
			[]Event{workerUp(0, "w"), {At: 1 * s, Kind: WorkerGone, Actor: "w"}, {At: 2 * s, Kind: WorkerUp, Actor: "w", Cores: 15, Incarnation: 2}, {At: 3 * s, Kind: TaskStart, Actor: "w", Cores: 15, Incarnation: 2, Queue: "l", Name: "x"}, closedAt}},
		{"two racing tables are both taken", 11, []Event{sent(1*s, queue), sent(1*s, rack), put(2*s, 2, queue), put(2*s, 2, rack), read(3*s, "f", 2, queue), closedAt},
			[]Event{sent(1*s, queue), sent(1*s, rack), put(2*s, 2, queue), put(2*s, 3, rack), read(3*s, "f", 3, rack), closedAt}},
		{"what is read isn't what was taken", 11, []Event{sent(1*s, queue), put(2*s, 2, queue), read(3*s, "f", 2, rack), closedAt},
			[]Event{sent(1*s, queue), put(2*s, 2, queue), read(3*s, "f", 2, queue), closedAt}},
		{"an older table comes back", 11, []Event{sent(1*s, queue), put(2*s, 2, queue), read(3*s, "f", 2, queue), read(3*s+100, "f", 1, nil), read(9*s, "f", 2, nil), closedAt},
			[]Event{sent(1*s, queue), put(2*s, 2, queue), read(2*s+100, "f", 1, nil), read(3*s, "f", 2, queue), read(9*s, "f", 2, nil), closedAt}},
		{"one front never shows the last table", 11, []Event{{At: 1, Kind: GatewayAvailable, Gateway: "f"}, {At: 1, Kind: GatewayAvailable, Gateway: "g"}, sent(1*s, queue), put(2*s, 2, queue), read(3*s, "f", 2, queue), closedAt},
			[]Event{{At: 1, Kind: GatewayAvailable, Gateway: "f"}, {At: 1, Kind: GatewayAvailable, Gateway: "g"}, sent(1*s, queue), put(2*s, 2, queue), read(3*s, "f", 2, queue), read(3*s, "g", 2, queue), closedAt}},
		{"a new queue is unknown to a front", 11, []Event{sent(1*s, queue), put(2*s, 2, queue), read(3*s, "f", 2, queue), answer(SubmitReply, 4*s+1, 4*s+9, "g", 404, ""), closedAt},
			[]Event{sent(1*s, queue), put(2*s, 2, queue), read(3*s, "f", 2, queue), answer(SubmitReply, 3*s, 4*s+9, "g", 404, ""), closedAt}},
		{"work starts in a rack of no weight", 11, []Event{{At: 1, Kind: WorkerUp, Actor: "w", Rack: "r", Cores: 90}, sent(1*s, rack), put(2*s, 2, rack), read(3*s, "f", 2, rack), taskStart(4*s+1, "w", 0, 0, 1), taskEnd(5*s, "w", 0, 0, 1, "done"), closedAt},
			[]Event{{At: 1, Kind: WorkerUp, Actor: "w", Rack: "r", Cores: 90}, sent(1*s, rack), put(2*s, 2, rack), read(3*s, "f", 2, rack), taskStart(3*s, "w", 0, 0, 1), taskEnd(5*s, "w", 0, 0, 1, "done"), closedAt}},
		{"more of a queue runs than the table allows", 11, []Event{submit(1*s, many), sent(1*s, wide), put(2*s, 2, wide), read(3*s, "f", 2, wide), taskStart(5*s, "w", 0, 0, 1), taskStart(5*s, "w", 0, 1, 1), taskEnd(6*s, "w", 0, 0, 1, "done"), taskEnd(6*s, "w", 0, 1, 1, "done"), closedAt},
			[]Event{submit(1*s, many), sent(1*s, wide), put(2*s, 2, wide), read(3*s, "f", 2, wide), taskStart(5*s, "w", 0, 0, 1), taskEnd(6*s, "w", 0, 0, 1, "done"), taskStart(6*s, "w", 0, 1, 1), taskEnd(7*s, "w", 0, 1, 1, "done"), closedAt}},
		{"status isn't back after a fault", 12, []Event{fault, answer(Status, 21*s, 24*s, "f", 504, ""), answer(Status, 30*s, 33*s, "f", 200, "running"), closedAt},
			[]Event{fault, answer(Status, 21*s, 24*s, "f", 504, ""), answer(Status, 25*s, 31*s, "f", 200, "running"), closedAt}},
		{"one queue isn't back after a fault", 12, []Event{fault, answer(SubmitReply, 22*s, 25*s, "f", 504, ""), {At: 26 * s, Kind: SubmitReply, Queue: "m", Name: "k", Code: 201}, statusReply(60*s, 200, "failed"), {At: 61 * s, Kind: Status, Queue: "m", Name: "k", Code: 200, State: "failed"}, closedAt},
			[]Event{fault, answer(SubmitReply, 22*s, 25*s, "f", 201, ""), {At: 26 * s, Kind: SubmitReply, Queue: "m", Name: "k", Code: 201}, statusReply(60*s, 200, "failed"), {At: 61 * s, Kind: Status, Queue: "m", Name: "k", Code: 200, State: "failed"}, closedAt}},
		{"work that waits isn't begun after a fault", 12, []Event{fault, submit(21*s, twoSteps), submitReply(21*s, 201), taskStart(33*s, "w", 0, 0, 1), taskEnd(34*s, "w", 0, 0, 1, "done"), statusReply(35*s, 200, "failed"), closedAt},
			[]Event{fault, submit(21*s, twoSteps), submitReply(21*s, 201), taskStart(31*s, "w", 0, 0, 1), taskEnd(34*s, "w", 0, 0, 1, "done"), statusReply(35*s, 200, "failed"), closedAt}},
		{"work that waits isn't begun after a fault though half of the room is free", 12, append(taken(12), waiting...), append(taken(13), waiting...)},
		{"a table whose acknowledgement was lost is refused when it comes again", 11, lost(replaced(3*s, 412, "")), lost(replaced(3*s, 504, ""))},
		{"a table that is no successor is taken", 11, []Event{put(1*s, 2, queue), {At: 2 * s, Kind: ConfigurationReply, Actor: "i", Code: 200, Version: 1, State: Invalid}, read(9*s, "f", 2, nil), closedAt},
			[]Event{put(1*s, 2, queue), read(9*s, "f", 2, nil), closedAt}},
		{"a worker is not answered", 12, []Event{workerUp(0, "w"), trouble(1*s, WorkerAnswered, "w"), trouble(14*s, WorkerAnswered, "w"), {At: 15 * s, Kind: Close}},
			[]Event{workerUp(0, "w"), trouble(1*s, WorkerAnswered, "w"), trouble(13*s, WorkerAnswered, "w"), {At: 15 * s, Kind: Close}}},
		{"a front that can serve doesn't, with no fault near", 12, []Event{{At: 1, Kind: GatewayAvailable, Gateway: "f"}, fault, answer(Status, 40*s, 43*s, "f", 504, ""), closedAt},
			[]Event{{At: 1, Kind: GatewayAvailable, Gateway: "f"}, fault, {At: 39 * s, Kind: GatewayUnavailable, Gateway: "f"}, answer(Status, 40*s, 43*s, "f", 504, ""), closedAt}},
		{"the table can't be put after a fault", 12, []Event{fault, {At: 24 * s, SentAt: 21 * s, Kind: ConfigurationReply, Code: 504}, closedAt},
			[]Event{fault, {At: 24 * s, SentAt: 21 * s, Kind: ConfigurationReply, Code: 412}, closedAt}},
	} {
		Convey("Found: "+test.what, t, func() {
			So(brokenRules(test.broken), ShouldResemble, map[int]bool{test.rule: true})
			So(Check(test.near, DefaultBounds), ShouldBeEmpty)
		})
	}
}
