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
func taskStart(at eventloop.Micros, worker string, step, task, attempt uint32) Event {
	return Event{At: at, Kind: TaskStart, Actor: worker, Queue: "l", Name: "j", Job: 1, Step: step, Task: task, Attempt: attempt, Cores: 10}
}
func taskEnd(at eventloop.Micros, worker string, step, task, attempt uint32, outcome string) Event {
	return Event{At: at, Kind: TaskEnd, Actor: worker, Queue: "l", Name: "j", Job: 1, Step: step, Task: task, Attempt: attempt, State: outcome}
}
func order(at eventloop.Micros, worker, action string, attempt uint32) Event {
	return Event{At: at, Kind: Order, Actor: worker, Queue: "l", Name: "j", Job: 1, Attempt: attempt, State: action}
}
func failureReported(at eventloop.Micros, worker string, attempt uint32) Event {
	return Event{At: at, Kind: FailureReported, Actor: worker, Queue: "l", Job: 1, Attempt: attempt, State: "failed"}
}
func workerUp(at eventloop.Micros, worker string) Event {
	return Event{At: at, Kind: WorkerUp, Actor: worker, Cores: 25}
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
	for _, violation := range Check(history, DefaultTolerances) {
		broken[violation.Rule] = true
	}
	return broken
}

func TestEachRule(t *testing.T) {
	Convey("A good history breaks nothing", t, func() { So(Check(goodHistory(), DefaultTolerances), ShouldBeEmpty) })
	closing := Event{At: 200 * s, Kind: Close}
	for _, test := range []struct {
		what    string
		rule    int
		history []Event
	}{
		{"an accepted job never ends", 1, []Event{submit(1*s, twoSteps), submitReply(2*s, 201), closing}},
		{"an accepted job is unknown", 1, []Event{submit(1*s, twoSteps), submitReply(2*s, 201), statusReply(3*s, 404, ""), statusReply(4*s, 200, "failed"), closing}},
		{"an ended job is forgotten too soon", 1, append(goodHistory()[:11], statusReply(100*s, 404, ""), closing)},
		{"one name runs as two jobs", 2, append(goodHistory()[:11], Event{At: 7 * s, Kind: TaskStart, Actor: "w", Queue: "l", Name: "j", Job: 2, Attempt: 1}, Event{At: 8 * s, Kind: TaskEnd, Actor: "w", Queue: "l", Name: "j", Job: 2, Attempt: 1, State: "done"}, closing)},
		{"a task runs twice at once", 2, []Event{submit(1*s, twoSteps), submitReply(1*s, 201), taskStart(2*s, "w", 0, 0, 1), taskStart(3*s, "v", 0, 0, 2), taskEnd(4*s, "w", 0, 0, 1, "done"), taskEnd(5*s, "v", 0, 0, 2, "done"), statusReply(6*s, 200, "failed"), closing}},
		{"a frozen worker's task runs on after another took it", 2, []Event{submit(1*s, twoSteps), submitReply(1*s, 201), taskStart(2*s, "w", 0, 0, 1), {At: 3 * s, Kind: WorkerPaused, Actor: "w"}, taskStart(4*s, "v", 0, 0, 2), {At: 5 * s, Kind: WorkerResumed, Actor: "w"}, taskEnd(6*s, "w", 0, 0, 1, "done"), taskEnd(7*s, "v", 0, 0, 2, "done"), statusReply(8*s, 200, "failed"), closing}},
		{"a task runs though every submission was rejected", 3, []Event{submit(1*s, twoSteps), submitReply(1*s, 429), taskStart(2*s, "w", 0, 0, 1), taskEnd(3*s, "w", 0, 0, 1, "done"), closing}},
		{"a step starts before its dependencies", 4, []Event{submit(1*s, twoSteps), submitReply(1*s, 201), taskStart(2*s, "w", 1, 0, 1), taskEnd(3*s, "w", 1, 0, 1, "done"), statusReply(6*s, 200, "failed"), closing}},
		{"a timed job starts early", 4, []Event{submit(1*s, timed), submitReply(1*s, 201), taskStart(5*s+800*eventloop.Millisecond, "w", 0, 0, 1), taskEnd(7*s, "w", 0, 0, 1, "done"), statusReply(8*s, 200, "complete"), closing}},
		{"a retry beyond the allowed failures", 5, append(goodHistory()[:6:6], failureReported(3*s, "w", 1), taskStart(3*s+1, "v", 0, 0, 2), taskEnd(4*s, "v", 0, 0, 2, "failed"), failureReported(4*s, "v", 2), taskStart(4*s+1, "v", 0, 0, 3), taskEnd(5*s, "v", 0, 0, 3, "done"), statusReply(6*s, 200, "failed"), closing)},
		{"a worker gets more than its capacity", 6, []Event{workerUp(0, "w"), taskStart(1*s, "w", 0, 0, 1), taskStart(1*s, "w", 0, 1, 1), taskStart(1*s, "w", 0, 2, 1), closing}},
		{"work reaches a draining worker", 7, []Event{workerUp(0, "w"), {At: 1 * s, Kind: WorkerDraining, Actor: "w"}, order(3*s+1, "w", "start", 1), closing}},
		{"a cancelled job starts something", 8, []Event{submit(1*s, twoSteps), submitReply(1*s, 201), {At: 2 * s, Kind: CancelReply, Queue: "l", Name: "j", Code: 200}, taskStart(5*s+1, "w", 0, 0, 1), taskEnd(6*s, "w", 0, 0, 1, "done"), statusReply(7*s, 200, "cancelled"), closing}},
		{"a job starts something after its cancel was answered that there is no such job", 8, []Event{submit(1*s, twoSteps), submitReply(1*s, 504), {At: 2 * s, Kind: CancelReply, Queue: "l", Name: "j", Code: 404}, taskStart(5*s+1, "w", 0, 0, 1), taskEnd(6*s, "w", 0, 0, 1, "done"), closing}},
		{"a task runs on once told to stop", 8, []Event{submit(1*s, twoSteps), submitReply(1*s, 201), taskStart(2*s, "w", 0, 0, 1), order(3*s, "w", "stop", 1), taskEnd(5*s, "w", 0, 0, 1, "done"), statusReply(7*s, 200, "cancelled"), closing}},
		{"complete with a task unfinished", 9, append(goodHistory()[:8:8], statusReply(4*s, 200, "complete"), closing)},
		{"a gang starts in part", 10, []Event{submit(1*s, gang), submitReply(1*s, 201), taskStart(2*s, "w", 0, 0, 1), taskEnd(9*s, "w", 0, 0, 1, "done"), statusReply(10*s, 200, "failed"), closing}},
		{"a configuration takes effect too late", 11, []Event{{At: 1 * s, Kind: ConfigurationReply, Code: 200, Version: 2}, {At: 3*s + 1, Kind: ConfigurationRead, Code: 200, Version: 1}, {At: 5 * s, Kind: ConfigurationRead, Code: 200, Version: 2}, closing}},
		{"a configuration is missing when read back", 11, []Event{{At: 1 * s, Kind: ConfigurationReply, Code: 200, Version: 2}, closing}},
		{"service is unavailable too long", 12, []Event{{At: 1 * s, Kind: Fault, State: "x"}, submit(2*s, twoSteps), submitReply(14*s, 201), statusReply(15*s, 200, "failed"), closing}},
	} {
		Convey("Found: "+test.what, t, func() { So(brokenRules(test.history)[test.rule], ShouldBeTrue) })
	}
	Convey("A gang that starts in part because the worker with a member's reservation dies is no violation", t, func() {
		reservation := Event{At: 1*s + 5, Kind: Order, Actor: "v", Queue: "l", Name: "j", Job: 1, Task: 1, Attempt: 1, State: "hold"}
		history := []Event{submit(1*s, gang), submitReply(1*s, 201), reservation, taskStart(2*s, "w", 0, 0, 1), {At: 2*s + 1, Kind: WorkerGone, Actor: "v"}, taskEnd(9*s, "w", 0, 0, 1, "done"), statusReply(10*s, 200, "failed"), closing}
		So(brokenRules(history)[10], ShouldBeFalse)
		history[4].At = 8 * s
		So(brokenRules(history)[10], ShouldBeTrue)
	})
	Convey("A frozen worker that stops its task as soon as it goes on breaks nothing", t, func() {
		history := []Event{submit(1*s, twoSteps), submitReply(1*s, 201), taskStart(2*s, "w", 0, 0, 1), {At: 3 * s, Kind: WorkerPaused, Actor: "w"}, taskStart(4*s, "v", 0, 0, 2), {At: 5 * s, Kind: WorkerResumed, Actor: "w"}, taskEnd(5*s, "w", 0, 0, 1, "stopped"), taskEnd(7*s, "v", 0, 0, 2, "done"), statusReply(8*s, 200, "failed"), closing}
		So(brokenRules(history)[2], ShouldBeFalse)
	})
}

func answer(kind string, sentAt, at eventloop.Micros, gateway string, code int32, state string) Event {
	return Event{At: at, SentAt: sentAt, Kind: kind, Queue: "l", Name: "j", Gateway: gateway, Code: code, State: state}
}

// rows parses configuration rows, each written as "kind name key value".
func rows(texts ...string) (list []*schema.ConfigurationRow) {
	for _, text := range texts {
		fields := strings.Fields(text)
		list = append(list, &schema.ConfigurationRow{Kind: fields[0], Name: fields[1], Key: fields[2], Value: fields[3]})
	}
	return list
}
func configurationSent(at eventloop.Micros, rows []*schema.ConfigurationRow) Event {
	return Event{At: at, Kind: ConfigurationSent, Rows: rows}
}
func configurationAccepted(at eventloop.Micros, version uint64, rows []*schema.ConfigurationRow) Event {
	return Event{At: at, Kind: ConfigurationReply, Code: 200, Version: version, BaseVersion: version - 1, Rows: rows}
}
func configurationRead(sentAt eventloop.Micros, gateway string, version uint64, rows []*schema.ConfigurationRow) Event {
	return Event{At: sentAt + 5, SentAt: sentAt, Kind: ConfigurationRead, Gateway: gateway, Code: 200, Version: version, Rows: rows}
}
func workerEvent(at eventloop.Micros, kind, worker string) Event {
	return Event{At: at, Kind: kind, Actor: worker}
}

// TestNearMisses checks pairs of similar histories. The first breaks exactly one rule; the
// second, which differs from it only slightly, breaks none.
func TestNearMisses(t *testing.T) {
	closing := Event{At: 200 * s, Kind: Close}
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
	reservation := Event{At: 1*s + 5, Kind: Order, Actor: "v", Queue: "l", Name: "j", Job: 1, Task: 1, Attempt: 1, State: "hold"}
	waiting := []Event{fault, submit(21*s, twoSteps), submitReply(21*s, 201), taskStart(33*s, "w", 0, 0, 1), taskEnd(34*s, "w", 0, 0, 1, "done"), statusReply(35*s, 200, "failed"), closing}
	// otherJob returns the start of another worker and a task that uses this much of the
	// worker's 25 thousandths of a core.
	otherJob := func(cores int64) []Event {
		return []Event{workerUp(0, "z"), {At: 1 * s, Kind: TaskStart, Actor: "z", Queue: "m", Name: "k", Job: 9, Attempt: 1, Cores: cores}}
	}
	replaced := func(at eventloop.Micros, code int32, state string) Event {
		return Event{At: at, SentAt: at - 5, Kind: ConfigurationReply, Actor: "o", Code: code, Version: 2, BaseVersion: 1, Rows: queue, Document: "d", State: state}
	}
	afterLostAcknowledgement := func(again Event) []Event {
		return []Event{{At: 1 * s, Kind: ConfigurationSent, Rows: queue, Document: "d"}, replaced(2*s, 0, AcknowledgementLost), again, replaced(4*s, 200, ""), configurationRead(9*s, "f", 2, nil), closing}
	}
	partialGang := func(list ...Event) []Event {
		return append([]Event{submit(1*s, gang), submitReply(1*s, 201), reservation, taskStart(2*s, "w", 0, 0, 1)}, list...)
	}
	for _, test := range []struct {
		what             string
		rule             int
		broken, nearMiss []Event
	}{
		{"503 to every submission, and it runs", 3, job(submitReply(2*s, 503), runs[0], taskEnd(3*s, "w", 0, 0, 1, "done")),
			job(submitReply(2*s, 504), runs[0], taskEnd(3*s, "w", 0, 0, 1, "done"))},
		{"404 through one gateway just after the confirmation", 1, done(answer(Status, 5*s+1, 6*s, "f2", 404, ""), statusReply(7*s, 200, "complete")),
			done(answer(Status, 1*s, 6*s, "f2", 404, ""), statusReply(7*s, 200, "complete"))},
		{"404 two minutes after the end, less a moment", 1, done(statusReply(6*s, 200, "complete"), answer(Status, 124*s, 124*s, "f", 404, "")),
			done(statusReply(6*s, 200, "complete"), answer(Status, 126*s, 126*s, "f", 404, ""))},
		{"a repeated submission creates the job again", 1, done(statusReply(6*s, 200, "complete"), answer(SubmitReply, 7*s, 7*s, "f", 201, ""), Event{At: 8 * s, Kind: Close}),
			done(statusReply(6*s, 200, "complete"), answer(SubmitReply, 7*s, 7*s, "f", 200, "complete"), Event{At: 8 * s, Kind: Close})},
		{"a start by wall time comes early", 4, []Event{{At: 1 * s, Kind: Clock, WallTime: int64(995 * s)}, submit(1*s, wall), submitReply(1*s, 201), taskStart(5*s+800*eventloop.Millisecond, "w", 0, 0, 1), taskEnd(7*s, "w", 0, 0, 1, "done"), statusReply(8*s, 200, "complete"), closing},
			[]Event{{At: 1 * s, Kind: Clock, WallTime: int64(995 * s)}, submit(1*s, wall), submitReply(1*s, 201), taskStart(5*s+950*eventloop.Millisecond, "w", 0, 0, 1), taskEnd(7*s, "w", 0, 0, 1, "done"), statusReply(8*s, 200, "complete"), closing}},
		{"a cancelled job's task is never told to stop", 8, job(submitReply(1*s, 201), runs[0], answer(CancelReply, 2*s, 2*s+5, "f", 200, "stopping"), taskEnd(7*s, "w", 0, 0, 1, "done"), statusReply(8*s, 200, "cancelled"), closing),
			job(submitReply(1*s, 201), runs[0], answer(CancelReply, 2*s, 2*s+5, "f", 200, "stopping"), taskEnd(5*s, "w", 0, 0, 1, "done"), statusReply(8*s, 200, "cancelled"), closing)},
		{"a submission's answer shows complete too early", 9, job(submitReply(1*s+1, 201), runs[0], runs[1], answer(SubmitReply, 3*s, 3*s+5, "f", 200, "complete"), runs[2], runs[3], statusReply(6*s, 200, "complete"), closing),
			job(submitReply(1*s+1, 201), runs[0], runs[1], answer(SubmitReply, 3*s, 3*s+5, "f", 200, "running"), runs[2], runs[3], statusReply(6*s, 200, "complete"), closing)},
		{"complete is shown and taken back", 9, done(statusReply(6*s, 200, "complete"), answer(Status, 7*s, 7*s, "f", 200, "running")),
			done(statusReply(6*s, 200, "complete"), answer(Status, 6*s, 7*s, "f", 200, "running"))},
		{"running is shown and then an older state, by another node", 9, done(answer(Status, 2*s, 3*s, "f", 200, "running"), answer(Status, 3*s+1, 4*s, "g", 200, "timed"), statusReply(6*s, 200, "complete")),
			done(answer(Status, 2*s, 3*s, "f", 200, "running"), answer(Status, 3*s-1, 4*s, "g", 200, "timed"), statusReply(6*s, 200, "complete"))},
		{"status isn't back a recovery after all storage nodes are", 12, []Event{{At: 20 * s, Kind: QuorumLost}, {At: 25 * s, Kind: QuorumRestored}, answer(Status, 26*s, 29*s, "f", 504, ""), answer(Status, 35*s, 38*s, "f", 200, "running"), closing},
			[]Event{{At: 20 * s, Kind: QuorumLost}, {At: 25 * s, Kind: QuorumRestored}, answer(Status, 26*s, 29*s, "f", 504, ""), answer(Status, 35*s, 36*s, "f", 200, "running"), closing}},
		{"submissions aren't back a recovery after all storage nodes are", 12, []Event{fault, {At: 21 * s, Kind: QuorumLost}, submit(22*s, twoSteps), {At: 40 * s, Kind: QuorumRestored}, submitReply(53*s, 201), statusReply(60*s, 200, "failed"), closing},
			[]Event{fault, {At: 21 * s, Kind: QuorumLost}, submit(22*s, twoSteps), {At: 40 * s, Kind: QuorumRestored}, submitReply(51*s, 201), statusReply(60*s, 200, "failed"), closing}},
		{"a gang's member starts, is stopped at once, and no worker was lost", 10, partialGang(taskEnd(3*s, "w", 0, 0, 1, "stopped"), statusReply(10*s, 200, "failed"), closing),
			partialGang(workerEvent(2*s+900*eventloop.Millisecond, WorkerGone, "v"), taskEnd(3*s, "w", 0, 0, 1, "stopped"), statusReply(10*s, 200, "failed"), closing)},
		{"a gang's member starts, and its peer's worker is lost only later", 10, partialGang(taskEnd(3*s, "w", 0, 0, 1, "stopped"), workerEvent(4*s, WorkerGone, "v"), statusReply(10*s, 200, "failed"), closing),
			partialGang(taskEnd(3*s, "w", 0, 0, 1, "stopped"), taskStart(3*s, "v", 0, 1, 1), workerEvent(4*s, WorkerGone, "v"), statusReply(10*s, 200, "failed"), closing)},
		{"a gang's member runs to its end though its peer was lost before it started", 10, partialGang(workerEvent(2*s+1, WorkerGone, "v"), taskEnd(15*s, "w", 0, 0, 1, "done"), statusReply(16*s, 200, "failed"), closing),
			partialGang(workerEvent(2*s+1, WorkerGone, "v"), taskEnd(9*s, "w", 0, 0, 1, "stopped"), statusReply(16*s, 200, "failed"), closing)},
		{"a failure that was reported late counts from then on", 5, job(submitReply(1*s, 201), runs[0], taskEnd(3*s, "w", 0, 0, 1, "failed"), taskStart(9*s, "v", 0, 0, 2), failureReported(9*s+5, "w", 1), taskEnd(10*s, "v", 0, 0, 2, "failed"), failureReported(10*s, "v", 2), taskStart(11*s, "v", 0, 0, 3), taskEnd(12*s, "v", 0, 0, 3, "done"), statusReply(13*s, 200, "failed"), closing),
			job(submitReply(1*s, 201), runs[0], taskEnd(3*s, "w", 0, 0, 1, "failed"), taskStart(9*s, "v", 0, 0, 2), taskEnd(10*s, "v", 0, 0, 2, "failed"), failureReported(10*s, "v", 2), taskStart(11*s, "v", 0, 0, 3), failureReported(11*s+5, "w", 1), taskEnd(12*s, "v", 0, 0, 3, "done"), statusReply(13*s, 200, "failed"), closing)},
		{"a restarted worker has less capacity", 6, []Event{workerUp(0, "w"), {At: 1 * s, Kind: WorkerGone, Actor: "w"}, {At: 2 * s, Kind: WorkerUp, Actor: "w", Cores: 15, Incarnation: 2}, {At: 3 * s, Kind: TaskStart, Actor: "w", Cores: 20, Incarnation: 2, Queue: "l", Name: "x"}, closing},
			[]Event{workerUp(0, "w"), {At: 1 * s, Kind: WorkerGone, Actor: "w"}, {At: 2 * s, Kind: WorkerUp, Actor: "w", Cores: 15, Incarnation: 2}, {At: 3 * s, Kind: TaskStart, Actor: "w", Cores: 15, Incarnation: 2, Queue: "l", Name: "x"}, closing}},
		{"two racing configurations are both accepted", 11, []Event{configurationSent(1*s, queue), configurationSent(1*s, rack), configurationAccepted(2*s, 2, queue), configurationAccepted(2*s, 2, rack), configurationRead(3*s, "f", 2, queue), closing},
			[]Event{configurationSent(1*s, queue), configurationSent(1*s, rack), configurationAccepted(2*s, 2, queue), configurationAccepted(2*s, 3, rack), configurationRead(3*s, "f", 3, rack), closing}},
		{"what is read isn't what was accepted", 11, []Event{configurationSent(1*s, queue), configurationAccepted(2*s, 2, queue), configurationRead(3*s, "f", 2, rack), closing},
			[]Event{configurationSent(1*s, queue), configurationAccepted(2*s, 2, queue), configurationRead(3*s, "f", 2, queue), closing}},
		{"an older configuration comes back", 11, []Event{configurationSent(1*s, queue), configurationAccepted(2*s, 2, queue), configurationRead(3*s, "f", 2, queue), configurationRead(3*s+100, "f", 1, nil), configurationRead(9*s, "f", 2, nil), closing},
			[]Event{configurationSent(1*s, queue), configurationAccepted(2*s, 2, queue), configurationRead(2*s+100, "f", 1, nil), configurationRead(3*s, "f", 2, queue), configurationRead(9*s, "f", 2, nil), closing}},
		{"one gateway never shows the last configuration", 11, []Event{{At: 1, Kind: GatewayAvailable, Gateway: "f"}, {At: 1, Kind: GatewayAvailable, Gateway: "g"}, configurationSent(1*s, queue), configurationAccepted(2*s, 2, queue), configurationRead(3*s, "f", 2, queue), closing},
			[]Event{{At: 1, Kind: GatewayAvailable, Gateway: "f"}, {At: 1, Kind: GatewayAvailable, Gateway: "g"}, configurationSent(1*s, queue), configurationAccepted(2*s, 2, queue), configurationRead(3*s, "f", 2, queue), configurationRead(3*s, "g", 2, queue), closing}},
		{"a new queue is unknown to a gateway", 11, []Event{configurationSent(1*s, queue), configurationAccepted(2*s, 2, queue), configurationRead(3*s, "f", 2, queue), answer(SubmitReply, 4*s+1, 4*s+9, "g", 404, ""), closing},
			[]Event{configurationSent(1*s, queue), configurationAccepted(2*s, 2, queue), configurationRead(3*s, "f", 2, queue), answer(SubmitReply, 3*s, 4*s+9, "g", 404, ""), closing}},
		{"work starts in a rack of weight 0", 11, []Event{{At: 1, Kind: WorkerUp, Actor: "w", Rack: "r", Cores: 90}, configurationSent(1*s, rack), configurationAccepted(2*s, 2, rack), configurationRead(3*s, "f", 2, rack), taskStart(4*s+1, "w", 0, 0, 1), taskEnd(5*s, "w", 0, 0, 1, "done"), closing},
			[]Event{{At: 1, Kind: WorkerUp, Actor: "w", Rack: "r", Cores: 90}, configurationSent(1*s, rack), configurationAccepted(2*s, 2, rack), configurationRead(3*s, "f", 2, rack), taskStart(3*s, "w", 0, 0, 1), taskEnd(5*s, "w", 0, 0, 1, "done"), closing}},
		{"more of a queue runs than the configuration allows", 11, []Event{submit(1*s, many), configurationSent(1*s, wide), configurationAccepted(2*s, 2, wide), configurationRead(3*s, "f", 2, wide), taskStart(5*s, "w", 0, 0, 1), taskStart(5*s, "w", 0, 1, 1), taskEnd(6*s, "w", 0, 0, 1, "done"), taskEnd(6*s, "w", 0, 1, 1, "done"), closing},
			[]Event{submit(1*s, many), configurationSent(1*s, wide), configurationAccepted(2*s, 2, wide), configurationRead(3*s, "f", 2, wide), taskStart(5*s, "w", 0, 0, 1), taskEnd(6*s, "w", 0, 0, 1, "done"), taskStart(6*s, "w", 0, 1, 1), taskEnd(7*s, "w", 0, 1, 1, "done"), closing}},
		{"status isn't back after a fault", 12, []Event{fault, answer(Status, 21*s, 24*s, "f", 504, ""), answer(Status, 30*s, 33*s, "f", 200, "running"), closing},
			[]Event{fault, answer(Status, 21*s, 24*s, "f", 504, ""), answer(Status, 25*s, 31*s, "f", 200, "running"), closing}},
		{"one queue isn't back after a fault", 12, []Event{fault, answer(SubmitReply, 22*s, 25*s, "f", 504, ""), {At: 26 * s, Kind: SubmitReply, Queue: "m", Name: "k", Code: 201}, statusReply(60*s, 200, "failed"), {At: 61 * s, Kind: Status, Queue: "m", Name: "k", Code: 200, State: "failed"}, closing},
			[]Event{fault, answer(SubmitReply, 22*s, 25*s, "f", 201, ""), {At: 26 * s, Kind: SubmitReply, Queue: "m", Name: "k", Code: 201}, statusReply(60*s, 200, "failed"), {At: 61 * s, Kind: Status, Queue: "m", Name: "k", Code: 200, State: "failed"}, closing}},
		{"waiting work isn't started after a fault", 12, []Event{fault, submit(21*s, twoSteps), submitReply(21*s, 201), taskStart(33*s, "w", 0, 0, 1), taskEnd(34*s, "w", 0, 0, 1, "done"), statusReply(35*s, 200, "failed"), closing},
			[]Event{fault, submit(21*s, twoSteps), submitReply(21*s, 201), taskStart(31*s, "w", 0, 0, 1), taskEnd(34*s, "w", 0, 0, 1, "done"), statusReply(35*s, 200, "failed"), closing}},
		{"waiting work isn't started after a fault though half of the capacity is free", 12, append(otherJob(12), waiting...), append(otherJob(13), waiting...)},
		{"a configuration whose acknowledgement was lost is refused when it comes again", 11, afterLostAcknowledgement(replaced(3*s, 412, "")), afterLostAcknowledgement(replaced(3*s, 504, ""))},
		{"a configuration that is no successor is accepted", 11, []Event{configurationAccepted(1*s, 2, queue), {At: 2 * s, Kind: ConfigurationReply, Actor: "i", Code: 200, Version: 1, State: Invalid}, configurationRead(9*s, "f", 2, nil), closing},
			[]Event{configurationAccepted(1*s, 2, queue), configurationRead(9*s, "f", 2, nil), closing}},
		{"a worker is not answered", 12, []Event{workerUp(0, "w"), workerEvent(1*s, WorkerAnswered, "w"), workerEvent(14*s, WorkerAnswered, "w"), {At: 15 * s, Kind: Close}},
			[]Event{workerUp(0, "w"), workerEvent(1*s, WorkerAnswered, "w"), workerEvent(13*s, WorkerAnswered, "w"), {At: 15 * s, Kind: Close}}},
		{"a gateway that can serve doesn't, with no fault near", 12, []Event{{At: 1, Kind: GatewayAvailable, Gateway: "f"}, fault, answer(Status, 40*s, 43*s, "f", 504, ""), closing},
			[]Event{{At: 1, Kind: GatewayAvailable, Gateway: "f"}, fault, {At: 39 * s, Kind: GatewayUnavailable, Gateway: "f"}, answer(Status, 40*s, 43*s, "f", 504, ""), closing}},
		{"the configuration can't be replaced after a fault", 12, []Event{fault, {At: 24 * s, SentAt: 21 * s, Kind: ConfigurationReply, Code: 504}, closing},
			[]Event{fault, {At: 24 * s, SentAt: 21 * s, Kind: ConfigurationReply, Code: 412}, closing}},
	} {
		Convey("Found: "+test.what, t, func() {
			So(brokenRules(test.broken), ShouldResemble, map[int]bool{test.rule: true})
			So(Check(test.nearMiss, DefaultTolerances), ShouldBeEmpty)
		})
	}
}
