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

func in(at eventloop.Micros, spec *schema.Job) Event {
	return Event{At: at, Kind: HandIn, Queue: "l", Name: "j", Spec: spec}
}
func reply(at eventloop.Micros, code int32) Event {
	return Event{At: at, Kind: HandInReply, Queue: "l", Name: "j", Code: code}
}
func status(at eventloop.Micros, code int32, state string) Event {
	return Event{At: at, Kind: Status, Queue: "l", Name: "j", Code: code, State: state}
}
func begin(at eventloop.Micros, who string, step, task, attempt uint32) Event {
	return Event{At: at, Kind: Begin, Who: who, Queue: "l", Name: "j", Job: 1, Step: step, Task: task, Attempt: attempt, Cores: 10}
}
func end(at eventloop.Micros, who string, step, task, attempt uint32, outcome string) Event {
	return Event{At: at, Kind: End, Who: who, Queue: "l", Name: "j", Job: 1, Step: step, Task: task, Attempt: attempt, State: outcome}
}
func order(at eventloop.Micros, who, act string, attempt uint32) Event {
	return Event{At: at, Kind: Order, Who: who, Queue: "l", Name: "j", Job: 1, Attempt: attempt, State: act}
}
func told(at eventloop.Micros, who string, attempt uint32) Event {
	return Event{At: at, Kind: Reported, Who: who, Queue: "l", Job: 1, Attempt: attempt, State: "failed"}
}
func up(at eventloop.Micros, who string) Event { return Event{At: at, Kind: Up, Who: who, Cores: 25} }

func good() []Event {
	return []Event{
		up(0, "w"), up(0, "v"), in(1*s, twoSteps), reply(1*s+1, 201), begin(2*s, "w", 0, 0, 1), end(3*s, "w", 0, 0, 1, "failed"),
		begin(3*s+1, "v", 0, 0, 2), end(4*s, "v", 0, 0, 2, "done"), begin(4*s+1, "w", 1, 0, 1), end(5*s, "w", 1, 0, 1, "done"),
		status(6*s, 200, "complete"), {At: 200 * s, Kind: Close},
	}
}

func rules(history []Event) map[int]bool {
	broken := map[int]bool{}
	for _, b := range Judge(history, Usual) {
		broken[b.Rule] = true
	}
	return broken
}

func TestEachRule(t *testing.T) {
	Convey("A good history breaks nothing", t, func() { So(Judge(good(), Usual), ShouldBeEmpty) })
	closed := Event{At: 200 * s, Kind: Close}
	for _, each := range []struct {
		what    string
		rule    int
		history []Event
	}{
		{"an accepted job never ends", 1, []Event{in(1*s, twoSteps), reply(2*s, 201), closed}},
		{"an accepted job is unknown", 1, []Event{in(1*s, twoSteps), reply(2*s, 201), status(3*s, 404, ""), status(4*s, 200, "failed"), closed}},
		{"an ended job is forgotten too soon", 1, append(good()[:11], status(100*s, 404, ""), closed)},
		{"one name runs as two jobs", 2, append(good()[:11], Event{At: 7 * s, Kind: Begin, Who: "w", Queue: "l", Name: "j", Job: 2, Attempt: 1}, Event{At: 8 * s, Kind: End, Who: "w", Queue: "l", Name: "j", Job: 2, Attempt: 1, State: "done"}, closed)},
		{"a task runs twice at once", 2, []Event{in(1*s, twoSteps), reply(1*s, 201), begin(2*s, "w", 0, 0, 1), begin(3*s, "v", 0, 0, 2), end(4*s, "w", 0, 0, 1, "done"), end(5*s, "v", 0, 0, 2, "done"), status(6*s, 200, "failed"), closed}},
		{"a frozen worker's task runs on after another took it", 2, []Event{in(1*s, twoSteps), reply(1*s, 201), begin(2*s, "w", 0, 0, 1), {At: 3 * s, Kind: Pause, Who: "w"}, begin(4*s, "v", 0, 0, 2), {At: 5 * s, Kind: Resume, Who: "w"}, end(6*s, "w", 0, 0, 1, "done"), end(7*s, "v", 0, 0, 2, "done"), status(8*s, 200, "failed"), closed}},
		{"a task runs though every hand-in was turned away", 3, []Event{in(1*s, twoSteps), reply(1*s, 429), begin(2*s, "w", 0, 0, 1), end(3*s, "w", 0, 0, 1, "done"), closed}},
		{"a step starts before its dependencies", 4, []Event{in(1*s, twoSteps), reply(1*s, 201), begin(2*s, "w", 1, 0, 1), end(3*s, "w", 1, 0, 1, "done"), status(6*s, 200, "failed"), closed}},
		{"a timed job starts early", 4, []Event{in(1*s, timed), reply(1*s, 201), begin(5*s+800*eventloop.Millisecond, "w", 0, 0, 1), end(7*s, "w", 0, 0, 1, "done"), status(8*s, 200, "complete"), closed}},
		{"a retry beyond the allowed failures", 5, append(good()[:6:6], told(3*s, "w", 1), begin(3*s+1, "v", 0, 0, 2), end(4*s, "v", 0, 0, 2, "failed"), told(4*s, "v", 2), begin(4*s+1, "v", 0, 0, 3), end(5*s, "v", 0, 0, 3, "done"), status(6*s, 200, "failed"), closed)},
		{"a worker gets more than its room", 6, []Event{up(0, "w"), begin(1*s, "w", 0, 0, 1), begin(1*s, "w", 0, 1, 1), begin(1*s, "w", 0, 2, 1), closed}},
		{"work reaches a leaving worker", 7, []Event{up(0, "w"), {At: 1 * s, Kind: Leave, Who: "w"}, order(3*s+1, "w", "start", 1), closed}},
		{"a cancelled job starts something", 8, []Event{in(1*s, twoSteps), reply(1*s, 201), {At: 2 * s, Kind: CancelReply, Queue: "l", Name: "j", Code: 200}, begin(5*s+1, "w", 0, 0, 1), end(6*s, "w", 0, 0, 1, "done"), status(7*s, 200, "cancelled"), closed}},
		{"a task runs on once told to stop", 8, []Event{in(1*s, twoSteps), reply(1*s, 201), begin(2*s, "w", 0, 0, 1), order(3*s, "w", "stop", 1), end(5*s, "w", 0, 0, 1, "done"), status(7*s, 200, "cancelled"), closed}},
		{"complete with a task unfinished", 9, append(good()[:8:8], status(4*s, 200, "complete"), closed)},
		{"a group starts in part", 10, []Event{in(1*s, gang), reply(1*s, 201), begin(2*s, "w", 0, 0, 1), end(9*s, "w", 0, 0, 1, "done"), status(10*s, 200, "failed"), closed}},
		{"a table takes effect too late", 11, []Event{{At: 1 * s, Kind: PlanPut, Code: 200, Generation: 2}, {At: 3*s + 1, Kind: PlanRead, Code: 200, Generation: 1}, {At: 5 * s, Kind: PlanRead, Code: 200, Generation: 2}, closed}},
		{"a table is missing when read back", 11, []Event{{At: 1 * s, Kind: PlanPut, Code: 200, Generation: 2}, closed}},
		{"service is away too long", 12, []Event{{At: 1 * s, Kind: Fault, State: "x"}, in(2*s, twoSteps), reply(14*s, 201), status(15*s, 200, "failed"), closed}},
	} {
		Convey("Found: "+each.what, t, func() { So(rules(each.history)[each.rule], ShouldBeTrue) })
	}
	Convey("A group that starts in part because a member's worker dies holding it is no breach", t, func() {
		hold := Event{At: 1*s + 5, Kind: Order, Who: "v", Queue: "l", Name: "j", Job: 1, Task: 1, Attempt: 1, State: "hold"}
		history := []Event{in(1*s, gang), reply(1*s, 201), hold, begin(2*s, "w", 0, 0, 1), {At: 2*s + 1, Kind: Gone, Who: "v"}, end(9*s, "w", 0, 0, 1, "done"), status(10*s, 200, "failed"), closed}
		So(rules(history)[10], ShouldBeFalse)
		history[4].At = 8 * s
		So(rules(history)[10], ShouldBeTrue)
	})
	Convey("A frozen worker that stops its task at once on waking breaks nothing", t, func() {
		history := []Event{in(1*s, twoSteps), reply(1*s, 201), begin(2*s, "w", 0, 0, 1), {At: 3 * s, Kind: Pause, Who: "w"}, begin(4*s, "v", 0, 0, 2), {At: 5 * s, Kind: Resume, Who: "w"}, end(5*s, "w", 0, 0, 1, "stopped"), end(7*s, "v", 0, 0, 2, "done"), status(8*s, 200, "failed"), closed}
		So(rules(history)[2], ShouldBeFalse)
	})
}

func answer(kind string, sent, at eventloop.Micros, front string, code int32, state string) Event {
	return Event{At: at, Sent: sent, Kind: kind, Queue: "l", Name: "j", Front: front, Code: code, State: state}
}
func rows(list ...string) (table []*schema.ConfigurationRow) {
	for _, each := range list {
		part := strings.Split(each, " ")
		table = append(table, &schema.ConfigurationRow{Kind: part[0], Name: part[1], Key: part[2], Value: part[3]})
	}
	return table
}
func sent(at eventloop.Micros, table []*schema.ConfigurationRow) Event {
	return Event{At: at, Kind: PlanSent, Rows: table}
}
func put(at eventloop.Micros, generation uint64, table []*schema.ConfigurationRow) Event {
	return Event{At: at, Kind: PlanPut, Code: 200, Generation: generation, Built: generation - 1, Rows: table}
}
func read(sent eventloop.Micros, front string, generation uint64, table []*schema.ConfigurationRow) Event {
	return Event{At: sent + 5, Sent: sent, Kind: PlanRead, Front: front, Code: 200, Generation: generation, Rows: table}
}
func trouble(at eventloop.Micros, kind, who string) Event { return Event{At: at, Kind: kind, Who: who} }

// TestNearMisses: each history breaks just one rule, and one close to it, which
// differs in a single event, breaks none.
func TestNearMisses(t *testing.T) {
	closed := Event{At: 200 * s, Kind: Close}
	job := func(list ...Event) []Event {
		return append([]Event{up(0, "w"), up(0, "v"), in(1*s, twoSteps)}, list...)
	}
	fault := Event{At: 20 * s, Kind: Fault, State: "x"}
	queue, rack := rows("queue l urgency 5"), rows("queue l urgency 5", "rack r weight 0")
	wide := rows("queue l urgency 5", "queue l running 1")
	many := &schema.Job{Steps: []*schema.Step{{Name: "a", Tasks: 2, AllowedFailures: 1}}}
	wall := &schema.Job{StartUnixUs: int64(1000 * s), Steps: []*schema.Step{{Name: "a", Tasks: 1}}}
	runs := []Event{begin(2*s, "w", 0, 0, 1), end(3*s, "w", 0, 0, 1, "done"), begin(4*s, "w", 1, 0, 1), end(5*s, "w", 1, 0, 1, "done")}
	done := func(list ...Event) []Event {
		return job(append([]Event{reply(1*s+1, 201)}, append(runs[:4:4], list...)...)...)
	}
	hold := Event{At: 1*s + 5, Kind: Order, Who: "v", Queue: "l", Name: "j", Job: 1, Task: 1, Attempt: 1, State: "hold"}
	waiting := []Event{fault, in(21*s, twoSteps), reply(21*s, 201), begin(33*s, "w", 0, 0, 1), end(34*s, "w", 0, 0, 1, "done"), status(35*s, 200, "failed"), closed}
	// Another job takes so much of the room of a worker of 25.
	taken := func(cores int64) []Event {
		return []Event{up(0, "z"), {At: 1 * s, Kind: Begin, Who: "z", Queue: "m", Name: "k", Job: 9, Attempt: 1, Cores: cores}}
	}
	replaced := func(at eventloop.Micros, code int32, state string) Event {
		return Event{At: at, Sent: at - 5, Kind: PlanPut, Who: "o", Code: code, Generation: 2, Built: 1, Rows: queue, Document: "d", State: state}
	}
	lost := func(again Event) []Event {
		return []Event{{At: 1 * s, Kind: PlanSent, Rows: queue, Document: "d"}, replaced(2*s, 0, AnswerLost), again, replaced(4*s, 200, ""), read(9*s, "f", 2, nil), closed}
	}
	part := func(list ...Event) []Event {
		return append([]Event{in(1*s, gang), reply(1*s, 201), hold, begin(2*s, "w", 0, 0, 1)}, list...)
	}
	for _, each := range []struct {
		what         string
		rule         int
		broken, near []Event
	}{
		{"503 to every hand-in, and it runs", 3, job(reply(2*s, 503), runs[0], end(3*s, "w", 0, 0, 1, "done")),
			job(reply(2*s, 504), runs[0], end(3*s, "w", 0, 0, 1, "done"))},
		{"404 through one front just after the confirm", 1, done(answer(Status, 5*s+1, 6*s, "f2", 404, ""), status(7*s, 200, "complete")),
			done(answer(Status, 1*s, 6*s, "f2", 404, ""), status(7*s, 200, "complete"))},
		{"404 two minutes after the end, less a moment", 1, done(status(6*s, 200, "complete"), answer(Status, 124*s, 124*s, "f", 404, "")),
			done(status(6*s, 200, "complete"), answer(Status, 126*s, 126*s, "f", 404, ""))},
		{"a resend makes the job anew", 1, done(status(6*s, 200, "complete"), answer(HandInReply, 7*s, 7*s, "f", 201, ""), Event{At: 8 * s, Kind: Close}),
			done(status(6*s, 200, "complete"), answer(HandInReply, 7*s, 7*s, "f", 200, "complete"), Event{At: 8 * s, Kind: Close})},
		{"a start by the wall clock comes early", 4, []Event{{At: 1 * s, Kind: Clock, Wall: int64(995 * s)}, in(1*s, wall), reply(1*s, 201), begin(5*s+800*eventloop.Millisecond, "w", 0, 0, 1), end(7*s, "w", 0, 0, 1, "done"), status(8*s, 200, "complete"), closed},
			[]Event{{At: 1 * s, Kind: Clock, Wall: int64(995 * s)}, in(1*s, wall), reply(1*s, 201), begin(5*s+950*eventloop.Millisecond, "w", 0, 0, 1), end(7*s, "w", 0, 0, 1, "done"), status(8*s, 200, "complete"), closed}},
		{"a cancelled job's task is never told to stop", 8, job(reply(1*s, 201), runs[0], answer(CancelReply, 2*s, 2*s+5, "f", 200, "stopping"), end(7*s, "w", 0, 0, 1, "done"), status(8*s, 200, "cancelled"), closed),
			job(reply(1*s, 201), runs[0], answer(CancelReply, 2*s, 2*s+5, "f", 200, "stopping"), end(5*s, "w", 0, 0, 1, "done"), status(8*s, 200, "cancelled"), closed)},
		{"a hand-in's answer shows complete too early", 9, job(reply(1*s+1, 201), runs[0], runs[1], answer(HandInReply, 3*s, 3*s+5, "f", 200, "complete"), runs[2], runs[3], status(6*s, 200, "complete"), closed),
			job(reply(1*s+1, 201), runs[0], runs[1], answer(HandInReply, 3*s, 3*s+5, "f", 200, "running"), runs[2], runs[3], status(6*s, 200, "complete"), closed)},
		{"complete is shown and taken back", 9, done(status(6*s, 200, "complete"), answer(Status, 7*s, 7*s, "f", 200, "running")),
			done(status(6*s, 200, "complete"), answer(Status, 6*s, 7*s, "f", 200, "running"))},
		{"a group's member begins, is stopped at once, and nobody was lost", 10, part(end(3*s, "w", 0, 0, 1, "stopped"), status(10*s, 200, "failed"), closed),
			part(trouble(2*s+900*eventloop.Millisecond, Gone, "v"), end(3*s, "w", 0, 0, 1, "stopped"), status(10*s, 200, "failed"), closed)},
		{"a group's member begins, and the other's worker is lost only later", 10, part(end(3*s, "w", 0, 0, 1, "stopped"), trouble(4*s, Gone, "v"), status(10*s, 200, "failed"), closed),
			part(end(3*s, "w", 0, 0, 1, "stopped"), begin(3*s, "v", 0, 1, 1), trouble(4*s, Gone, "v"), status(10*s, 200, "failed"), closed)},
		{"a group's member runs to its end though another was lost before it began", 10, part(trouble(2*s+1, Gone, "v"), end(15*s, "w", 0, 0, 1, "done"), status(16*s, 200, "failed"), closed),
			part(trouble(2*s+1, Gone, "v"), end(9*s, "w", 0, 0, 1, "stopped"), status(16*s, 200, "failed"), closed)},
		{"a failure that was told late counts from then on", 5, job(reply(1*s, 201), runs[0], end(3*s, "w", 0, 0, 1, "failed"), begin(9*s, "v", 0, 0, 2), told(9*s+5, "w", 1), end(10*s, "v", 0, 0, 2, "failed"), told(10*s, "v", 2), begin(11*s, "v", 0, 0, 3), end(12*s, "v", 0, 0, 3, "done"), status(13*s, 200, "failed"), closed),
			job(reply(1*s, 201), runs[0], end(3*s, "w", 0, 0, 1, "failed"), begin(9*s, "v", 0, 0, 2), end(10*s, "v", 0, 0, 2, "failed"), told(10*s, "v", 2), begin(11*s, "v", 0, 0, 3), told(11*s+5, "w", 1), end(12*s, "v", 0, 0, 3, "done"), status(13*s, 200, "failed"), closed)},
		{"a restarted worker has less room", 6, []Event{up(0, "w"), {At: 1 * s, Kind: Gone, Who: "w"}, {At: 2 * s, Kind: Up, Who: "w", Cores: 15, Incarnation: 2}, {At: 3 * s, Kind: Begin, Who: "w", Cores: 20, Incarnation: 2, Queue: "l", Name: "x"}, closed},
			[]Event{up(0, "w"), {At: 1 * s, Kind: Gone, Who: "w"}, {At: 2 * s, Kind: Up, Who: "w", Cores: 15, Incarnation: 2}, {At: 3 * s, Kind: Begin, Who: "w", Cores: 15, Incarnation: 2, Queue: "l", Name: "x"}, closed}},
		{"two racing tables are both taken", 11, []Event{sent(1*s, queue), sent(1*s, rack), put(2*s, 2, queue), put(2*s, 2, rack), read(3*s, "f", 2, queue), closed},
			[]Event{sent(1*s, queue), sent(1*s, rack), put(2*s, 2, queue), put(2*s, 3, rack), read(3*s, "f", 3, rack), closed}},
		{"what is read isn't what was taken", 11, []Event{sent(1*s, queue), put(2*s, 2, queue), read(3*s, "f", 2, rack), closed},
			[]Event{sent(1*s, queue), put(2*s, 2, queue), read(3*s, "f", 2, queue), closed}},
		{"an older table comes back", 11, []Event{sent(1*s, queue), put(2*s, 2, queue), read(3*s, "f", 2, queue), read(3*s+100, "f", 1, nil), read(9*s, "f", 2, nil), closed},
			[]Event{sent(1*s, queue), put(2*s, 2, queue), read(2*s+100, "f", 1, nil), read(3*s, "f", 2, queue), read(9*s, "f", 2, nil), closed}},
		{"one front never shows the last table", 11, []Event{{At: 1, Kind: Back, Front: "f"}, {At: 1, Kind: Back, Front: "g"}, sent(1*s, queue), put(2*s, 2, queue), read(3*s, "f", 2, queue), closed},
			[]Event{{At: 1, Kind: Back, Front: "f"}, {At: 1, Kind: Back, Front: "g"}, sent(1*s, queue), put(2*s, 2, queue), read(3*s, "f", 2, queue), read(3*s, "g", 2, queue), closed}},
		{"a new queue is unknown to a front", 11, []Event{sent(1*s, queue), put(2*s, 2, queue), read(3*s, "f", 2, queue), answer(HandInReply, 4*s+1, 4*s+9, "g", 404, ""), closed},
			[]Event{sent(1*s, queue), put(2*s, 2, queue), read(3*s, "f", 2, queue), answer(HandInReply, 3*s, 4*s+9, "g", 404, ""), closed}},
		{"work starts in a rack of no weight", 11, []Event{{At: 1, Kind: Up, Who: "w", Rack: "r", Cores: 90}, sent(1*s, rack), put(2*s, 2, rack), read(3*s, "f", 2, rack), begin(4*s+1, "w", 0, 0, 1), end(5*s, "w", 0, 0, 1, "done"), closed},
			[]Event{{At: 1, Kind: Up, Who: "w", Rack: "r", Cores: 90}, sent(1*s, rack), put(2*s, 2, rack), read(3*s, "f", 2, rack), begin(3*s, "w", 0, 0, 1), end(5*s, "w", 0, 0, 1, "done"), closed}},
		{"more of a queue runs than the table allows", 11, []Event{in(1*s, many), sent(1*s, wide), put(2*s, 2, wide), read(3*s, "f", 2, wide), begin(5*s, "w", 0, 0, 1), begin(5*s, "w", 0, 1, 1), end(6*s, "w", 0, 0, 1, "done"), end(6*s, "w", 0, 1, 1, "done"), closed},
			[]Event{in(1*s, many), sent(1*s, wide), put(2*s, 2, wide), read(3*s, "f", 2, wide), begin(5*s, "w", 0, 0, 1), end(6*s, "w", 0, 0, 1, "done"), begin(6*s, "w", 0, 1, 1), end(7*s, "w", 0, 1, 1, "done"), closed}},
		{"status isn't back after a fault", 12, []Event{fault, answer(Status, 21*s, 24*s, "f", 504, ""), answer(Status, 30*s, 33*s, "f", 200, "running"), closed},
			[]Event{fault, answer(Status, 21*s, 24*s, "f", 504, ""), answer(Status, 25*s, 31*s, "f", 200, "running"), closed}},
		{"one queue isn't back after a fault", 12, []Event{fault, answer(HandInReply, 22*s, 25*s, "f", 504, ""), {At: 26 * s, Kind: HandInReply, Queue: "m", Name: "k", Code: 201}, status(60*s, 200, "failed"), {At: 61 * s, Kind: Status, Queue: "m", Name: "k", Code: 200, State: "failed"}, closed},
			[]Event{fault, answer(HandInReply, 22*s, 25*s, "f", 201, ""), {At: 26 * s, Kind: HandInReply, Queue: "m", Name: "k", Code: 201}, status(60*s, 200, "failed"), {At: 61 * s, Kind: Status, Queue: "m", Name: "k", Code: 200, State: "failed"}, closed}},
		{"work that waits isn't begun after a fault", 12, []Event{fault, in(21*s, twoSteps), reply(21*s, 201), begin(33*s, "w", 0, 0, 1), end(34*s, "w", 0, 0, 1, "done"), status(35*s, 200, "failed"), closed},
			[]Event{fault, in(21*s, twoSteps), reply(21*s, 201), begin(31*s, "w", 0, 0, 1), end(34*s, "w", 0, 0, 1, "done"), status(35*s, 200, "failed"), closed}},
		{"work that waits isn't begun after a fault though half of the room is free", 12, append(taken(12), waiting...), append(taken(13), waiting...)},
		{"a table whose acknowledgement was lost is refused when it comes again", 11, lost(replaced(3*s, 412, "")), lost(replaced(3*s, 504, ""))},
		{"a table that is no successor is taken", 11, []Event{put(1*s, 2, queue), {At: 2 * s, Kind: PlanPut, Who: "i", Code: 200, Generation: 1, State: Invalid}, read(9*s, "f", 2, nil), closed},
			[]Event{put(1*s, 2, queue), read(9*s, "f", 2, nil), closed}},
		{"a worker is not answered", 12, []Event{up(0, "w"), trouble(1*s, Heard, "w"), trouble(14*s, Heard, "w"), {At: 15 * s, Kind: Close}},
			[]Event{up(0, "w"), trouble(1*s, Heard, "w"), trouble(13*s, Heard, "w"), {At: 15 * s, Kind: Close}}},
		{"a front that can serve doesn't, with no fault near", 12, []Event{{At: 1, Kind: Back, Front: "f"}, fault, answer(Status, 40*s, 43*s, "f", 504, ""), closed},
			[]Event{{At: 1, Kind: Back, Front: "f"}, fault, {At: 39 * s, Kind: Away, Front: "f"}, answer(Status, 40*s, 43*s, "f", 504, ""), closed}},
		{"the table can't be put after a fault", 12, []Event{fault, {At: 24 * s, Sent: 21 * s, Kind: PlanPut, Code: 504}, closed},
			[]Event{fault, {At: 24 * s, Sent: 21 * s, Kind: PlanPut, Code: 412}, closed}},
	} {
		Convey("Found: "+each.what, t, func() {
			So(rules(each.broken), ShouldResemble, map[int]bool{each.rule: true})
			So(Judge(each.near, Usual), ShouldBeEmpty)
		})
	}
}
