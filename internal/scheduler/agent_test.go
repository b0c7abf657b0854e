package scheduler

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// configure is a cluster state with rows; every queue named in them stands in it.
func (h *harness) configure(rows []*schema.ConfigurationRow, workers ...string) {
	state := &schema.ClusterState{Version: 2, Configuration: &schema.Configuration{Rows: rows}}
	for k, w := range workers {
		state.WorkerLeases = append(state.WorkerLeases, &schema.WorkerLease{Worker: w, Scheduler: "me", FencingToken: uint64(k + 1)})
	}
	seen := map[string]bool{}
	for _, row := range rows {
		if row.Kind == "queue" && !seen[row.Name] {
			seen[row.Name] = true
			state.Queues = append(state.Queues, &schema.QueuePlacement{Queue: row.Name, Generation: 1})
		}
	}
	h.deliver(&schema.ClusterStateResponse{State: state, Version: 2})
}

func queueRow(name, key, value string) *schema.ConfigurationRow {
	return &schema.ConfigurationRow{Kind: "queue", Name: name, Key: key, Value: value}
}

// advance lets time go by with every leader's word fresh and every worker heard.
func (h *harness) advance(span eventloop.Micros) {
	for end := h.now + span; h.now < end; {
		h.now += min(TickInterval, end-h.now)
		h.deliver(replica.LeadershipStatus{Terms: map[string]uint64{"l#1": 1, "m#1": 1, "k#1": 1}, IsClusterStateFresh: true})
		h.deliver(eventloop.Tick{})
	}
}

// name tells the whole list of a queue.
func (h *harness) syncQueue(name string, urgency int64, list ...*queue.TaskEvent) {
	h.deliver(replica.LeadershipStatus{Terms: map[string]uint64{"l#1": 1, "m#1": 1, "k#1": 1}, IsClusterStateFresh: true})
	h.deliver(replica.TaskEvents{Queue: name, Group: name + "#1", Term: 1, LastSequence: 1, Events: list, IsSnapshot: true, Running: 1000, Urgency: urgency})
}

// withNames is an agent's announce.
func withNames(change func(*schema.WorkerHeartbeat)) func(*schema.WorkerHeartbeat) {
	return func(a *schema.WorkerHeartbeat) {
		a.TasksByName = true
		if change != nil {
			change(a)
		}
	}
}

func withRunning(notes ...*schema.TaskStatus) func(*schema.WorkerHeartbeat) {
	return withNames(func(a *schema.WorkerHeartbeat) { a.Running = notes })
}

func withEnded(notes ...*schema.TaskStatus) func(*schema.WorkerHeartbeat) {
	return withNames(func(a *schema.WorkerHeartbeat) { a.Ended = notes })
}

// ordersOf lists the orders of one kind in all answers since a point.
func (h *harness) ordersOf(from int, act string) []*schema.TaskOrder {
	var list []*schema.TaskOrder
	for _, reply := range h.replies[from:] {
		for _, order := range reply.GetOrders().GetOrders() {
			if order.Action == act {
				list = append(list, order)
			}
		}
	}
	return list
}

func TestNotesAreResolvedByName(t *testing.T) {
	rows := []*schema.ConfigurationRow{queueRow("l", "urgency", "10"), queueRow("m", "urgency", "10")}
	out := func() *queue.TaskEvent {
		s := newEvent(1, 7, 3, queue.CheckedOut, "w", &schema.Step{Name: "s", Tasks: 4, CoresMilli: 600, Checkpoints: true})
		s.Key.Step, s.Round, s.StepInRound, s.Progress = 5, 2, 1, "before"
		return s
	}
	note := func(state string) *schema.TaskStatus {
		return &schema.TaskStatus{Name: "j7", Round: 2, StepInRound: 1, Task: 3, Attempt: 1, State: state}
	}
	Convey("An agent's notes are found by job, round and part", t, func() {
		h := newHarness("w")
		h.configure(rows, "w")
		h.syncQueue("l", 10, out())
		h.announce("w", withNames(nil))
		start := h.lastReply().Orders.Orders[0]
		So(start.Action, ShouldEqual, "start")
		So([]any{start.Name, start.Round, start.StepInRound, start.Task, start.Attempt, start.Checkpoint}, ShouldResemble, []any{"j7", uint32(2), uint32(1), uint32(3), uint32(1), "before"})
		from := len(h.replies)
		h.announce("w", withRunning(note("running")))
		So(h.ordersOf(from, "start"), ShouldBeEmpty)
		So(h.ordersOf(from, "stop"), ShouldBeEmpty)
		Convey("and so are their ends, which are noted by name also once the task is gone", func() {
			h.announce("w", withEnded(note("done")))
			So(h.endReports()[0].Key, ShouldResemble, &schema.TaskKey{Job: 7, Step: 5, Task: 3})
			So(h.endReports()[0].Outcome, ShouldEqual, "done")
			h.syncQueue("l", 10)
			h.announce("w", withEnded(note("done")))
			h.deliver(&schema.TaskEndAck{Queue: "l", Key: &schema.TaskKey{Job: 7, Step: 5, Task: 3}, Attempt: 1, Worker: "w"})
			noted := h.lastReply().Orders.Acknowledged
			So(len(noted), ShouldEqual, 1)
			So([]any{noted[0].Name, noted[0].Round, noted[0].StepInRound, noted[0].Task, noted[0].Attempt}, ShouldResemble, []any{"j7", uint32(2), uint32(1), uint32(3), uint32(1)})
		})
		Convey("with their progress: the end's own, else the last seen, else what it began with", func() {
			for _, each := range []struct{ seen, told, want string }{{"", "", "before"}, {"mid", "", "mid"}, {"mid", "last", "last"}} {
				h := newHarness("w")
				h.configure(rows, "w")
				h.syncQueue("l", 10, out())
				running, over := note("running"), note("stopped")
				running.Checkpoint, over.Checkpoint = each.seen, each.told
				h.announce("w", withRunning(running))
				h.announce("w", withEnded(over))
				So(h.endReports()[0].Checkpoint, ShouldEqual, each.want)
			}
		})
	})
	Convey("What no task is known for is left alone until every queue of the plan is led here", t, func() {
		stray, over := note("running"), note("done")
		over.Task = 2
		both := withNames(func(a *schema.WorkerHeartbeat) {
			a.Running, a.Ended = []*schema.TaskStatus{stray}, []*schema.TaskStatus{over}
		})
		h := newHarness("w")
		h.configure(rows, "w")
		h.syncQueue("l", 10)
		h.announce("w", both)
		h.announce("w", both)
		So(h.ordersOf(0, "stop"), ShouldBeEmpty)
		So(h.lastReply().GetOrders().GetAcknowledged(), ShouldBeEmpty)
		Convey("then the run is stopped and the end noted", func() {
			h.syncQueue("m", 10)
			h.announce("w", both)
			stops := h.ordersOf(0, "stop")
			So(len(stops), ShouldBeGreaterThan, 0)
			So([]any{stops[0].Name, stops[0].Round, stops[0].StepInRound, stops[0].Task, stops[0].Attempt}, ShouldResemble, []any{"j7", uint32(2), uint32(1), uint32(3), uint32(1)})
			So(len(h.lastReply().Orders.Acknowledged), ShouldEqual, 1)
			So(h.lastReply().Orders.Acknowledged[0].Task, ShouldEqual, 2)
		})
		Convey("and a worker that runs what has no known size is given nothing", func() {
			h.syncQueue("l", 10, newEvent(1, 9, 0, queue.Ready, "", oneTask))
			So(h.placements(), ShouldBeEmpty)
			h.announce("w", withNames(nil))
			So(len(h.placements()), ShouldEqual, 1)
		})
	})
}

func TestReportedDeadWorker(t *testing.T) {
	Convey("What an agent says is dead gives back its tasks at once and gets nothing more", t, func() {
		h := newHarness("old", "new")
		saving := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 600, Checkpoints: true}
		h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "old", saving))
		h.announce("old", withRunning(&schema.TaskStatus{Name: "j1", Attempt: 1, State: "running", Checkpoint: "half"}))
		h.announce("old", withRunning(&schema.TaskStatus{Name: "j1", Attempt: 1, State: "running", Checkpoint: "half"}))
		h.announce("new", withNames(func(a *schema.WorkerHeartbeat) { a.ReplacedWorkers = []string{"old"} }))
		So(h.endReports()[0].Outcome, ShouldEqual, "lost")
		So(h.endReports()[0].Checkpoint, ShouldEqual, "half")
		h.announce("old", withNames(nil))
		So(h.lastReply().Orders, ShouldBeNil)
		Convey("also what turns out to be there later", func() {
			h.notified = nil
			h.deliverEvents(false, 2, newEvent(2, 2, 0, queue.CheckedOut, "old", saving))
			h.deliver(eventloop.Tick{})
			So(h.endReports()[0].Key.Job, ShouldEqual, 2)
		})
	})
}

func TestGangsWithBarrier(t *testing.T) {
	gang := &schema.Step{Name: "g", Tasks: 2, CoresMilli: 600, Gang: true}
	withBarrier := func(change func(*schema.WorkerHeartbeat)) func(*schema.WorkerHeartbeat) {
		return withNames(func(a *schema.WorkerHeartbeat) {
			a.GangBarrier = true
			if change != nil {
				change(a)
			}
		})
	}
	member := func(task uint32, state string) *schema.TaskStatus {
		return &schema.TaskStatus{Name: "j1", Task: task, Attempt: 1, State: state}
	}
	run := func(task uint32) func(*schema.WorkerHeartbeat) {
		return withBarrier(func(a *schema.WorkerHeartbeat) { a.Running = []*schema.TaskStatus{member(task, "running")} })
	}
	over := func(task uint32, state string) func(*schema.WorkerHeartbeat) {
		return withBarrier(func(a *schema.WorkerHeartbeat) { a.Ended = []*schema.TaskStatus{member(task, state)} })
	}
	begin := func() *harness {
		h := newHarness("v", "w")
		h.announce("v", withBarrier(nil))
		h.deliverEvents(true, 2, newEvent(1, 1, 0, queue.Ready, "", gang), newEvent(2, 1, 1, queue.Ready, "", gang))
		So(h.placements(), ShouldBeEmpty)
		h.announce("w", withBarrier(nil))
		So(len(h.placements()), ShouldEqual, 2)
		h.announce("v", withBarrier(nil))
		h.announce("w", withBarrier(nil))
		count := len(h.replies)
		h.deliverEvents(false, 4, newEvent(3, 1, 0, queue.CheckedOut, "v", gang), newEvent(4, 1, 1, queue.CheckedOut, "w", gang))
		So(len(h.ordersOf(count, "start")), ShouldEqual, 2)
		So(h.ordersOf(0, "hold"), ShouldBeEmpty)
		return h
	}
	Convey("A group whose workers gather starts whole, directly after its checkout, without launch", t, func() {
		h := begin()
		h.announce("v", run(0))
		h.announce("w", run(1))
		h.advance(100 * eventloop.Millisecond)
		for _, tell := range h.notified {
			if propose, ok := tell.(replica.Propose); ok {
				So(propose.Command.GetStartGang(), ShouldBeNil)
			}
		}
		Convey("and one end stands for all", func() {
			h.announce("v", over(0, "done"))
			So(h.endReports()[0].WholeGang, ShouldBeTrue)
			So(h.ordersOf(0, "stop"), ShouldBeEmpty)
		})
	})
	Convey("Who turns a member away has the others stopped at once", t, func() {
		for _, outcome := range []string{"stopped", "failed", "alone", "broken", "lapsed"} {
			h := begin()
			h.announce("v", run(0))
			count := len(h.replies)
			h.announce("w", over(1, outcome))
			So(h.endReports()[0].Outcome, ShouldEqual, outcome)
			So(h.endReports()[0].WholeGang, ShouldBeFalse)
			So(len(h.ordersOf(count, "stop")), ShouldEqual, 1)
			So(h.ordersOf(count, "stop")[0].Task, ShouldEqual, 0)
		}
	})
	Convey("A member's worker that leaves before it began has the others stopped, and starts nothing", t, func() {
		h := begin()
		h.announce("v", run(0))
		count := len(h.replies)
		h.announce("w", withBarrier(func(a *schema.WorkerHeartbeat) { a.Draining = true }))
		So(len(h.ordersOf(count, "stop")), ShouldEqual, 2)
		So(h.ordersOf(count, "start"), ShouldBeEmpty)
	})
	Convey("A member that doesn't begin in time has the others stopped", t, func() {
		h := begin()
		count := len(h.replies)
		for k := 0; k < 25; k++ {
			h.announce("v", run(0))
			h.announce("w", withBarrier(nil))
			h.advance(100 * eventloop.Millisecond)
		}
		stops := map[uint32]bool{}
		for _, order := range h.ordersOf(count, "stop") {
			stops[order.Task] = true
		}
		So(len(stops), ShouldEqual, 2)
	})
	Convey("Nothing is started when the worker of another member has left", t, func() {
		h := newHarness("v", "w")
		h.announce("w", withBarrier(func(a *schema.WorkerHeartbeat) { a.Draining = true }))
		h.deliverEvents(true, 2, newEvent(1, 1, 0, queue.CheckedOut, "v", gang), newEvent(2, 1, 1, queue.CheckedOut, "w", gang))
		h.announce("v", withBarrier(nil))
		h.announce("v", withBarrier(nil))
		So(h.ordersOf(0, "start"), ShouldBeEmpty)
		So(len(h.ordersOf(0, "stop")), ShouldBeGreaterThan, 1)
	})
}

func TestPlacementConstraints(t *testing.T) {
	plain := func(a *schema.WorkerHeartbeat) {}
	for _, each := range []struct {
		what   string
		rows   []*schema.ConfigurationRow
		step   *schema.Step
		v, w   func(*schema.WorkerHeartbeat)
		tasks  int
		want   map[string]int
		bounds *schema.Bounds
	}{
		{what: "only the queue's pool", rows: []*schema.ConfigurationRow{queueRow("l", "pool", "p")}, step: &schema.Step{CoresMilli: 100}, v: plain,
			w: func(a *schema.WorkerHeartbeat) { a.Pool = "p" }, tasks: 1, want: map[string]int{"w": 1}},
		{what: "a queue without a pool isn't for the workers of one", step: &schema.Step{CoresMilli: 100}, v: plain,
			w: func(a *schema.WorkerHeartbeat) { a.Pool = "p" }, tasks: 1, want: map[string]int{"v": 1}},
		{what: "all labels", step: &schema.Step{CoresMilli: 100, Labels: []string{"a", "b"}},
			v: func(a *schema.WorkerHeartbeat) { a.Labels = []string{"a"} }, w: func(a *schema.WorkerHeartbeat) { a.Labels = []string{"c", "b", "a"} },
			tasks: 2, want: map[string]int{"w": 2}},
		{what: "accelerators", step: &schema.Step{CoresMilli: 100, Accelerators: 2},
			v: plain, w: func(a *schema.WorkerHeartbeat) { a.Accelerators = 5 }, tasks: 4, want: map[string]int{"w": 2}},
		{what: "workers with accelerators last", step: &schema.Step{CoresMilli: 100},
			v: plain, w: func(a *schema.WorkerHeartbeat) { a.Accelerators = 5 }, tasks: 1, want: map[string]int{"v": 1}},
		{what: "so many on one worker", step: &schema.Step{CoresMilli: 100, MaxPerWorker: 2},
			v: plain, w: plain, tasks: 6, want: map[string]int{"v": 2, "w": 2}},
		{what: "its data's rack first, then elsewhere", step: &schema.Step{CoresMilli: 400, DataRack: "r2"},
			v: plain, w: func(a *schema.WorkerHeartbeat) { a.Rack = "r2" }, tasks: 3, want: map[string]int{"w": 2, "v": 1}},
		{what: "one rack where it fits", step: &schema.Step{CoresMilli: 400, OneRack: true},
			v: plain, w: func(a *schema.WorkerHeartbeat) { a.Rack, a.CoresMilli = "r2", 1200 }, tasks: 3, want: map[string]int{"w": 3}},
		{what: "several racks else", step: &schema.Step{CoresMilli: 400, OneRack: true},
			v: plain, w: func(a *schema.WorkerHeartbeat) { a.Rack = "r2" }, tasks: 4, want: map[string]int{"v": 2, "w": 2}},
		{what: "a group in one rack", step: &schema.Step{CoresMilli: 300, OneRack: true, Gang: true},
			v: plain, w: func(a *schema.WorkerHeartbeat) { a.Rack, a.CoresMilli = "r2", 950 }, tasks: 3, want: map[string]int{"v": 3}},
		{what: "a group in several", step: &schema.Step{CoresMilli: 400, OneRack: true, Gang: true},
			v: plain, w: func(a *schema.WorkerHeartbeat) { a.Rack = "r2" }, tasks: 4, want: map[string]int{"v": 2, "w": 2}},
		{what: "a cold worker last", step: &schema.Step{CoresMilli: 100},
			v: func(a *schema.WorkerHeartbeat) { a.WarmUpUs = 5_000_000 }, w: plain, tasks: 1, want: map[string]int{"w": 1}},
	} {
		Convey("Work goes to "+each.what, t, func() {
			h := newHarness("v", "w")
			if each.rows != nil {
				h.configure(each.rows, "v", "w")
			}
			h.announce("v", each.v)
			h.announce("w", each.w)
			each.step.Tasks = uint32(each.tasks)
			var list []*queue.TaskEvent
			for k := 0; k < each.tasks; k++ {
				list = append(list, newEvent(uint64(k+1), 1, uint32(k), queue.Ready, "", each.step))
			}
			h.deliverEvents(true, uint64(each.tasks), list...)
			got := map[string]int{}
			for _, pick := range h.placements() {
				got[pick.Worker]++
			}
			So(got, ShouldResemble, each.want)
		})
	}
	Convey("So many on one worker counts what is out there and what it still runs", t, func() {
		step := &schema.Step{Name: "s", Tasks: 4, CoresMilli: 100, MaxPerWorker: 2}
		h := newHarness("w")
		again := newEvent(3, 1, 2, queue.Ready, "", step)
		again.Attempt = 1
		h.announce("w", func(a *schema.WorkerHeartbeat) {
			a.Running = []*schema.TaskStatus{{Queue: "l", Job: 1, Task: 2, Attempt: 1, State: "running", CoresMilli: 100}}
		})
		h.deliverEvents(true, 4, newEvent(1, 1, 0, queue.CheckedOut, "w", step), newEvent(2, 1, 1, queue.Ready, "", step), again)
		So(h.placements(), ShouldBeEmpty)
	})
	Convey("A task isn't started where its queue's pool is another by now", t, func() {
		h := newHarness("w")
		h.configure([]*schema.ConfigurationRow{queueRow("l", "pool", "p")}, "w")
		h.syncQueue("l", 10, newEvent(1, 1, 0, queue.CheckedOut, "w", oneTask))
		h.announce("w", nil)
		So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "stop")
	})
}

func TestCapacityIsFreedByEndReport(t *testing.T) {
	Convey("What is being stopped keeps its room until its end is listed", t, func() {
		h := newHarness("w")
		note := &schema.TaskStatus{Name: "j1", Attempt: 1, State: "running"}
		h.announce("w", withNames(nil))
		stopping := newEvent(1, 1, 0, queue.Stopping, "w", oneTask)
		h.deliverEvents(true, 2, stopping, newEvent(2, 2, 0, queue.Ready, "", oneTask))
		h.announce("w", withRunning(note))
		So(h.placements(), ShouldBeEmpty)
		h.announce("w", withEnded(&schema.TaskStatus{Name: "j1", Attempt: 1, State: "stopped"}))
		So(len(h.placements()), ShouldEqual, 1)
	})
}

func TestDepartureDeadline(t *testing.T) {
	for _, each := range []struct {
		what    string
		step    *schema.Step
		percent int64
		isSaved bool
	}{
		{"what ends in time runs out", &schema.Step{Name: "s", Tasks: 1, CoresMilli: 100, Checkpoints: true, EstimatedRunUs: 3_000_000}, 0, false},
		{"what can't keeps its progress just before", &schema.Step{Name: "s", Tasks: 1, CoresMilli: 100, Checkpoints: true, EstimatedRunUs: 60_000_000}, 0, true},
		{"by what it has done, where that is told", &schema.Step{Name: "s", Tasks: 1, CoresMilli: 100, Checkpoints: true, EstimatedRunUs: 60_000_000}, 95, false},
		{"what keeps none is left alone", &schema.Step{Name: "s", Tasks: 1, CoresMilli: 100, EstimatedRunUs: 60_000_000}, 0, false},
	} {
		Convey("On a worker with a time to go "+each.what, t, func() {
			h := newHarness("w")
			h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "w", each.step))
			began := h.now
			stoppedAt := eventloop.Micros(0)
			percent := int64(0)
			for h.now < began+3600*eventloop.Millisecond {
				h.announce("w", withNames(func(a *schema.WorkerHeartbeat) {
					a.Draining, a.DepartsInUs = true, int64(began+4*eventloop.Second-h.now)
					a.Running = []*schema.TaskStatus{{Name: "j1", Attempt: 1, State: "running", Percent: percent}}
				}))
				h.advance(100 * eventloop.Millisecond)
				percent = each.percent
				if stoppedAt == 0 && len(h.ordersOf(0, "stop")) > 0 {
					stoppedAt = h.now
				}
			}
			if each.isSaved {
				So(stoppedAt, ShouldBeBetween, began+3300*eventloop.Millisecond, began+4*eventloop.Second)
			} else {
				So(stoppedAt, ShouldEqual, 0)
			}
		})
	}
}

func TestPreemption(t *testing.T) {
	big := &schema.Step{Name: "b", Tasks: 1, CoresMilli: 800}
	mid := &schema.Step{Name: "m", Tasks: 1, CoresMilli: 400}
	saving := &schema.Step{Name: "m", Tasks: 1, CoresMilli: 400, Checkpoints: true}
	lasting := &schema.Step{Name: "m", Tasks: 1, CoresMilli: 400, RunUntilCancelled: true}
	group := &schema.Step{Name: "m", Tasks: 2, CoresMilli: 400, Gang: true}
	run := func(job uint64, task uint32, run eventloop.Micros) *schema.TaskStatus {
		return &schema.TaskStatus{Queue: "l", Job: job, Task: task, Attempt: 1, State: "running", RunUs: int64(run), CoresMilli: 400}
	}
	stops := func(h *harness) map[uint64]int {
		got := map[uint64]int{}
		for _, v := range h.scheduler.queues {
			for _, each := range v.tasks {
				if each.evictOutcome != "" {
					got[each.key.job]++
				}
			}
		}
		return got
	}
	for _, each := range []struct {
		what         string
		less         []*queue.TaskEvent
		running      map[string][]*schema.TaskStatus
		urgent       []*queue.TaskEvent
		want         map[uint64]int
		lessUrgently int64
	}{
		{what: "what has run least", less: []*queue.TaskEvent{newEvent(1, 1, 0, queue.CheckedOut, "v", mid), newEvent(1, 2, 0, queue.CheckedOut, "v", mid), newEvent(1, 3, 0, queue.CheckedOut, "w", mid), newEvent(1, 4, 0, queue.CheckedOut, "w", mid)},
			running: map[string][]*schema.TaskStatus{"v": {run(1, 0, 9*eventloop.Second), run(2, 0, 9*eventloop.Second)}, "w": {run(3, 0, 8*eventloop.Second), run(4, 0, 9*eventloop.Second)}},
			urgent:  []*queue.TaskEvent{newEvent(1, 9, 0, queue.Ready, "", mid)}, want: map[uint64]int{3: 1}},
		{what: "what has kept its progress", less: []*queue.TaskEvent{newEvent(1, 1, 0, queue.CheckedOut, "v", mid), newEvent(1, 2, 0, queue.CheckedOut, "v", saving), newEvent(1, 3, 0, queue.CheckedOut, "w", mid), newEvent(1, 4, 0, queue.CheckedOut, "w", mid)},
			running: map[string][]*schema.TaskStatus{"v": {run(1, 0, 9*eventloop.Second), {Queue: "l", Job: 2, Attempt: 1, State: "running", RunUs: 20_000_000, Checkpoint: "x", CoresMilli: 400}}, "w": {run(3, 0, 8*eventloop.Second), run(4, 0, 9*eventloop.Second)}},
			urgent:  []*queue.TaskEvent{newEvent(1, 9, 0, queue.Ready, "", mid)}, want: map[uint64]int{2: 1}},
		{what: "lasting tasks late", less: []*queue.TaskEvent{newEvent(1, 1, 0, queue.CheckedOut, "v", mid), newEvent(1, 2, 0, queue.CheckedOut, "v", lasting), newEvent(1, 3, 0, queue.CheckedOut, "w", lasting), newEvent(1, 4, 0, queue.CheckedOut, "w", lasting)},
			running: map[string][]*schema.TaskStatus{"v": {run(1, 0, 9*eventloop.Second), run(2, 0, eventloop.Millisecond)}, "w": {run(3, 0, eventloop.Millisecond), run(4, 0, eventloop.Millisecond)}},
			urgent:  []*queue.TaskEvent{newEvent(1, 9, 0, queue.Ready, "", mid)}, want: map[uint64]int{1: 1}},
		{what: "no more than is needed, but enough for all that waits", less: []*queue.TaskEvent{newEvent(1, 1, 0, queue.CheckedOut, "v", mid), newEvent(1, 2, 0, queue.CheckedOut, "v", mid), newEvent(1, 3, 0, queue.CheckedOut, "w", mid), newEvent(1, 4, 0, queue.CheckedOut, "w", mid)},
			running: map[string][]*schema.TaskStatus{"v": {run(1, 0, 2*eventloop.Second), run(2, 0, 3*eventloop.Second)}, "w": {run(3, 0, 8*eventloop.Second), run(4, 0, 9*eventloop.Second)}},
			urgent:  []*queue.TaskEvent{newEvent(1, 8, 0, queue.Ready, "", mid), newEvent(1, 9, 0, queue.Ready, "", mid)}, want: map[uint64]int{1: 1, 2: 1}},
		{what: "a group as a whole, which costs all of it", less: []*queue.TaskEvent{newEvent(1, 1, 0, queue.CheckedOut, "v", group), newEvent(1, 1, 1, queue.CheckedOut, "w", group), newEvent(1, 2, 0, queue.CheckedOut, "v", mid), newEvent(1, 3, 0, queue.CheckedOut, "w", mid)},
			running: map[string][]*schema.TaskStatus{"v": {run(1, 0, 5*eventloop.Second), run(2, 0, 20*eventloop.Second)}, "w": {run(1, 1, 5*eventloop.Second), run(3, 0, 9*eventloop.Second)}},
			urgent:  []*queue.TaskEvent{newEvent(1, 9, 0, queue.Ready, "", mid)}, want: map[uint64]int{3: 1}},
		{what: "for a group as well", less: []*queue.TaskEvent{newEvent(1, 1, 0, queue.CheckedOut, "v", mid), newEvent(1, 2, 0, queue.CheckedOut, "v", mid), newEvent(1, 3, 0, queue.CheckedOut, "w", mid), newEvent(1, 4, 0, queue.CheckedOut, "w", mid)},
			running: map[string][]*schema.TaskStatus{"v": {run(1, 0, 2*eventloop.Second), run(2, 0, 3*eventloop.Second)}, "w": {run(3, 0, 8*eventloop.Second), run(4, 0, 9*eventloop.Second)}},
			urgent:  []*queue.TaskEvent{newEvent(1, 9, 0, queue.Ready, "", &schema.Step{Name: "g", Tasks: 2, CoresMilli: 600, Gang: true}), newEvent(1, 9, 1, queue.Ready, "", &schema.Step{Name: "g", Tasks: 2, CoresMilli: 600, Gang: true})}, want: map[uint64]int{1: 1, 3: 1}},
		{what: "nothing for what then doesn't fit", less: []*queue.TaskEvent{newEvent(1, 1, 0, queue.CheckedOut, "v", mid), newEvent(1, 2, 0, queue.CheckedOut, "w", mid)},
			running: map[string][]*schema.TaskStatus{"v": {run(1, 0, 2*eventloop.Second)}, "w": {run(2, 0, 8*eventloop.Second)}},
			urgent:  []*queue.TaskEvent{newEvent(1, 9, 0, queue.Ready, "", &schema.Step{Name: "x", Tasks: 1, CoresMilli: 1200})}, want: map[uint64]int{}},
		{what: "nothing for a group of which one doesn't fit", less: []*queue.TaskEvent{newEvent(1, 1, 0, queue.CheckedOut, "v", mid), newEvent(1, 2, 0, queue.CheckedOut, "w", mid)},
			running: map[string][]*schema.TaskStatus{"v": {run(1, 0, 2*eventloop.Second)}, "w": {run(2, 0, 8*eventloop.Second)}},
			urgent: []*queue.TaskEvent{newEvent(1, 9, 0, queue.Ready, "", &schema.Step{Name: "g", Tasks: 3, CoresMilli: 800, Gang: true}), newEvent(1, 9, 1, queue.Ready, "", &schema.Step{Name: "g", Tasks: 3, CoresMilli: 800, Gang: true}),
				newEvent(1, 9, 2, queue.Ready, "", &schema.Step{Name: "g", Tasks: 3, CoresMilli: 800, Gang: true})}, want: map[uint64]int{}},
		{what: "nothing of the same urgency", lessUrgently: 50, less: []*queue.TaskEvent{newEvent(1, 1, 0, queue.CheckedOut, "v", mid), newEvent(1, 2, 0, queue.CheckedOut, "w", mid)},
			running: map[string][]*schema.TaskStatus{"v": {run(1, 0, 2*eventloop.Second)}, "w": {run(2, 0, 8*eventloop.Second)}},
			urgent:  []*queue.TaskEvent{newEvent(1, 9, 0, queue.Ready, "", big)}, want: map[uint64]int{}},
	} {
		Convey("Urgent work displaces "+each.what, t, func() {
			h := newHarness("v", "w")
			h.deliver(replica.LeadershipStatus{Terms: map[string]uint64{"l#1": 1, "m#1": 1}, IsClusterStateFresh: true})
			h.syncQueue("l", max(each.lessUrgently, 10), each.less...)
			announceAll := func() {
				for _, id := range []string{"v", "w"} {
					h.announce(id, func(a *schema.WorkerHeartbeat) { a.Running = each.running[id] })
				}
			}
			announceAll()
			h.syncQueue("m", 50, each.urgent...)
			h.advance(preemptionDelay - TickInterval)
			So(stops(h), ShouldBeEmpty) // it waits a little first
			h.advance(60 * eventloop.Millisecond)
			announceAll()
			h.advance(100 * eventloop.Millisecond)
			So(stops(h), ShouldResemble, each.want)
		})
	}
	Convey("The room that was freed goes to whom it was freed for", t, func() {
		h := newHarness("w")
		h.syncQueue("l", 10, newEvent(1, 1, 0, queue.CheckedOut, "w", mid), newEvent(1, 2, 0, queue.CheckedOut, "w", mid), newEvent(1, 3, 0, queue.Ready, "", &schema.Step{Name: "s", Tasks: 1, CoresMilli: 300}))
		both := []*schema.TaskStatus{run(1, 0, eventloop.Second), run(2, 0, eventloop.Second)}
		h.announce("w", func(a *schema.WorkerHeartbeat) { a.Running = both })
		h.syncQueue("m", 50, newEvent(1, 9, 0, queue.Ready, "", &schema.Step{Name: "x", Tasks: 1, CoresMilli: 1000}))
		h.advance(preemptionDelay + 2*TickInterval)
		So(stops(h), ShouldResemble, map[uint64]int{1: 1, 2: 1})
		h.announce("w", func(a *schema.WorkerHeartbeat) {
			a.Running, a.Ended = both[1:], []*schema.TaskStatus{{Queue: "l", Job: 1, Attempt: 1, State: "stopped"}}
		})
		So(h.placements(), ShouldBeEmpty)
		h.announce("w", func(a *schema.WorkerHeartbeat) {
			a.Ended = []*schema.TaskStatus{{Queue: "l", Job: 1, Attempt: 1, State: "stopped"}, {Queue: "l", Job: 2, Attempt: 1, State: "stopped"}}
		})
		So(len(h.placements()), ShouldEqual, 1)
		So(h.placements()[0].Key.Job, ShouldEqual, 9)
	})
}

func TestWideStepsAreNotStarved(t *testing.T) {
	Convey("A group that has waited keeps workers free from what comes after it", t, func() {
		for _, urgency := range []int64{10, 5} {
			h := newHarness("v", "w")
			gang := &schema.Step{Name: "g", Tasks: 2, CoresMilli: 900, Gang: true}
			small := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 500}
			h.syncQueue("k", 10, newEvent(1, 1, 0, queue.CheckedOut, "v", small))
			busy := func(a *schema.WorkerHeartbeat) {
				a.Running = []*schema.TaskStatus{{Queue: "k", Job: 1, Attempt: 1, State: "running", CoresMilli: 500}}
			}
			h.announce("v", busy)
			h.announce("w", nil)
			h.syncQueue("l", 10, newEvent(1, 5, 0, queue.Ready, "", gang), newEvent(1, 5, 1, queue.Ready, "", gang))
			So(h.placements(), ShouldBeEmpty)
			h.advance(1600 * eventloop.Millisecond)
			h.announce("v", busy)
			h.announce("w", nil)
			h.syncQueue("m", urgency, newEvent(1, 6, 0, queue.Ready, "", small))
			So(h.placements(), ShouldBeEmpty)
			Convey(fmt.Sprint("until it fits, before urgency ", urgency), func() {
				h.announce("v", func(a *schema.WorkerHeartbeat) {
					a.Ended = []*schema.TaskStatus{{Queue: "k", Job: 1, Attempt: 1, State: "done"}}
				})
				So(len(h.placements()), ShouldEqual, 2)
				So(h.placements()[0].Key.Job, ShouldEqual, 5)
			})
			Convey(fmt.Sprint("but not from what is more urgent than ", urgency), func() {
				h.syncQueue("m", 20, newEvent(1, 6, 0, queue.Ready, "", small))
				So(len(h.placements()), ShouldEqual, 1)
				So(h.placements()[0].Key.Job, ShouldEqual, 6)
			})
		}
	})
	Convey("What doesn't fit holds up nothing that does", t, func() {
		h := newHarness("w")
		h.announce("w", nil)
		var list []*queue.TaskEvent
		for job := uint64(1); job <= 40; job++ {
			list = append(list, newEvent(job, job, 0, queue.Ready, "", &schema.Step{Name: "s", Tasks: 1, CoresMilli: 5000}))
		}
		h.deliverEvents(true, 41, append(list, newEvent(41, 50, 0, queue.Ready, "", oneTask))...)
		So(len(h.placements()), ShouldEqual, 1)
		So(h.placements()[0].Key.Job, ShouldEqual, 50)
	})
}

func TestWorkerEjection(t *testing.T) {
	step := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 100, EstimatedRunUs: 1_000_000}
	// finish lets a worker end one task after a run of so long.
	job := uint64(100)
	finish := func(h *harness, worker string, run eventloop.Micros) {
		job++
		sequence := h.scheduler.queues["l"].lastSequence
		h.deliverEvents(false, sequence+1, newEvent(sequence+1, job, 0, queue.CheckedOut, worker, step))
		h.announce(worker, withNames(func(a *schema.WorkerHeartbeat) {
			a.Ended = []*schema.TaskStatus{{Name: fmt.Sprint("j", job), Attempt: 1, State: "done", RunUs: int64(run)}}
		}))
		h.deliverEvents(false, sequence+2, newEvent(sequence+2, job, 0, queue.Inactive, "", step))
	}
	ready := func(h *harness, step *schema.Step) string {
		job++
		h.notified = nil
		sequence := h.scheduler.queues["l"].lastSequence
		h.deliverEvents(false, sequence+1, newEvent(sequence+1, job, 0, queue.Ready, "", step))
		So(len(h.placements()), ShouldEqual, 1)
		return h.placements()[0].Worker
	}
	setUp := func() *harness {
		h := newHarness("a", "b", "c")
		h.deliverEvents(true, 0)
		for _, id := range []string{"a", "b", "c"} {
			h.announce(id, withNames(nil))
		}
		for k := 0; k < 4; k++ {
			finish(h, "b", eventloop.Second)
			finish(h, "c", eventloop.Second)
		}
		return h
	}
	Convey("A worker whose runs take longer than others' is used last", t, func() {
		h := setUp()
		for k := 0; k < 4; k++ {
			finish(h, "a", 4*eventloop.Second)
		}
		h.announce("b", withRunning(&schema.TaskStatus{Queue: "x", Name: "z", Attempt: 1, State: "running", CoresMilli: 500, MemoryMb: 1}))
		h.announce("c", withRunning(&schema.TaskStatus{Queue: "x", Name: "z", Attempt: 1, State: "running", CoresMilli: 500, MemoryMb: 1}))
		So(ready(h, step), ShouldNotEqual, "a")
		Convey("but the others aren't taken for quick", func() {
			So(h.scheduler.workers["b"].slowdown, ShouldBeBetween, -0.1, 0.1)
		})
	})
	Convey("A task that stands still while others end alike ones is displaced, and its worker rests", t, func() {
		h := setUp()
		sequence := h.scheduler.queues["l"].lastSequence
		h.deliverEvents(false, sequence+1, newEvent(sequence+1, 7, 0, queue.CheckedOut, "a", step))
		began := h.now
		percent := int64(0)
		simulate := func(span eventloop.Micros, moves int64) {
			for end := h.now + span; h.now < end; {
				percent += moves
				h.announce("a", withRunning(&schema.TaskStatus{Name: "j7", Attempt: 1, State: "running", Percent: percent}))
				finish(h, "b", eventloop.Second)
				finish(h, "c", eventloop.Second)
				h.advance(100 * eventloop.Millisecond)
			}
		}
		isStopped := func() bool { return len(h.ordersOf(0, "stop")) > 0 }
		Convey("where nothing moves", func() {
			simulate(3900*eventloop.Millisecond, 0)
			So(isStopped(), ShouldBeFalse)
			simulate(500*eventloop.Millisecond, 0)
			So(isStopped(), ShouldBeTrue)
			h.notified = nil
			h.announce("a", withEnded(&schema.TaskStatus{Name: "j7", Attempt: 1, State: "stopped"}))
			So(h.endReports()[0].Outcome, ShouldEqual, "stopped")
			for k := 0; k < 3; k++ {
				So(ready(h, step), ShouldNotEqual, "a")
			}
		})
		Convey("not where it just is long", func() {
			simulate(8*eventloop.Second, 1)
			So(isStopped(), ShouldBeFalse)
			So(h.now-began, ShouldBeGreaterThan, 7*eventloop.Second)
		})
	})
	fail := func(h *harness, worker string, jobs ...uint64) {
		for _, each := range jobs {
			h.announce(worker, func(a *schema.WorkerHeartbeat) {
				a.Ended = []*schema.TaskStatus{{Queue: "l", Job: each, Attempt: 1, State: "failed"}}
			})
		}
	}
	Convey("A worker that fails a few in a row where others don't rests, longer each time", t, func() {
		h := setUp()
		fail(h, "a", 1, 2)
		So(ready(h, step), ShouldNotEqual, "a")
		So(h.scheduler.workers["a"].ejectedUntil-h.now, ShouldEqual, baseEjectionPeriod)
		h.advance(baseEjectionPeriod)
		fail(h, "a", 3)
		h.announce("b", withNames(nil))
		h.announce("c", withNames(nil))
		So(ready(h, step), ShouldNotEqual, "a")
		So(h.scheduler.workers["a"].ejectedUntil-h.now, ShouldEqual, 2*baseEjectionPeriod)
		Convey("and is still used when nothing else has room for long", func() {
			sequence := h.scheduler.queues["l"].lastSequence
			only := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 100, Labels: []string{"x"}}
			h.notified = nil
			h.deliverEvents(false, sequence+1, newEvent(sequence+1, 900, 0, queue.Ready, "", only))
			h.advance(2 * eventloop.Second)
			has := withNames(func(a *schema.WorkerHeartbeat) { a.Labels = []string{"x"} })
			h.announce("a", has)
			So(h.placements(), ShouldBeEmpty)
			h.advance(1100 * eventloop.Millisecond)
			h.announce("a", has)
			So(len(h.placements()), ShouldEqual, 1)
		})
	})
	Convey("Workers that are gone don't count where it is asked how the others do", t, func() {
		h := newHarness("a", "b", "c", "gone1", "gone2", "gone3", "gone4", "gone5")
		h.deliverEvents(true, 0)
		for _, id := range []string{"a", "b", "c"} {
			h.announce(id, withNames(nil))
		}
		Convey("so half of those that are left are never set aside", func() {
			fail(h, "a", 1, 2)
			ready(h, step)
			fail(h, "b", 3, 4)
			ready(h, step)
			trials := 0
			for _, id := range []string{"a", "b", "c"} {
				if h.scheduler.workers[id].isOnProbation {
					trials++
				}
			}
			So(trials, ShouldEqual, 1)
		})
		Convey("and few failures are no sign where all fail now and then", func() {
			for _, id := range []string{"a", "b", "c"} {
				for k := uint64(1); k <= 4; k++ {
					finish(h, id, eventloop.Second)
				}
				fail(h, id, 1)
				finish(h, id, eventloop.Second)
			}
			fail(h, "a", 2, 3)
			ready(h, step)
			So(h.scheduler.workers["a"].isOnProbation, ShouldBeFalse)
		})
	})
	Convey("A worker on trial gets one task at a time, but what has waited long goes there too", t, func() {
		h := setUp()
		fail(h, "a", 1, 2)
		ready(h, step)
		sequence := h.scheduler.queues["l"].lastSequence
		h.deliverEvents(false, sequence+1, newEvent(sequence+1, job, 0, queue.Inactive, "", step))
		h.advance(baseEjectionPeriod)
		has := func(notes ...*schema.TaskStatus) func(*schema.WorkerHeartbeat) {
			return withNames(func(a *schema.WorkerHeartbeat) { a.Labels, a.Running = []string{"x"}, notes })
		}
		only := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 100, Labels: []string{"x"}}
		sequence = h.scheduler.queues["l"].lastSequence
		h.notified = nil
		h.deliverEvents(false, sequence+1, newEvent(sequence+1, 900, 0, queue.CheckedOut, "a", only))
		runs := &schema.TaskStatus{Name: "j900", Attempt: 1, State: "running"}
		h.announce("a", has(runs))
		h.deliverEvents(false, sequence+2, newEvent(sequence+2, 901, 0, queue.Ready, "", only))
		h.announce("a", has(runs))
		So(h.scheduler.workers["a"].isOnProbation, ShouldBeTrue)
		So(h.placements(), ShouldBeEmpty)
		for k := 0; k < 6; k++ {
			h.advance(500 * eventloop.Millisecond)
			h.announce("a", has(runs))
		}
		So(len(h.placements()), ShouldEqual, 1)
	})
	Convey("Where a queue's tasks often fail by their own fault, a few failures in a row say nothing of their worker", t, func() {
		h := setUp()
		for k := uint64(1); k <= 65; k++ {
			for _, id := range []string{"a", "b", "c"} {
				finish(h, id, eventloop.Second)
				if k%10 == 0 {
					fail(h, id, 1000+k)
				}
			}
		}
		fail(h, "a", 1, 2, 3)
		ready(h, step)
		So(h.scheduler.workers["a"].isOnProbation, ShouldBeFalse)
		Convey("but many do", func() {
			fail(h, "a", 4, 5, 6, 7)
			ready(h, step)
			So(h.scheduler.workers["a"].isOnProbation, ShouldBeTrue)
		})
	})
	Convey("One task that fails again and again says nothing of its worker", t, func() {
		h := setUp()
		for k := uint32(1); k < 4; k++ {
			h.announce("a", func(a *schema.WorkerHeartbeat) {
				a.Ended = []*schema.TaskStatus{{Queue: "l", Job: 1, Attempt: k, State: "failed"}}
			})
		}
		h.deliver(eventloop.Tick{})
		So(h.scheduler.workers["a"].isOnProbation, ShouldBeFalse)
	})
}

func TestUnplaceableStepsDoNotBlock(t *testing.T) {
	Convey("However many steps fit nowhere, what stands behind them is looked at before long", t, func() {
		h := newHarness("w")
		h.announce("w", nil)
		var list []*queue.TaskEvent
		for k := uint64(1); k <= 100; k++ {
			huge := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 10_000 + int64(k)}
			list = append(list, newEvent(k, k, 0, queue.Ready, "", huge))
		}
		h.deliverEvents(true, 100, append(list, newEvent(101, 101, 0, queue.Ready, "", oneTask))...)
		for k := 0; k < 3; k++ {
			h.advance(200 * eventloop.Millisecond)
			h.announce("w", nil)
		}
		So(len(h.placements()), ShouldEqual, 1)
		So(h.placements()[0].Key.Job, ShouldEqual, 101)
	})
}

func TestQueueOrder(t *testing.T) {
	Convey("Queues are served by urgency, equals by who has waited longest", t, func() {
		h := newHarness("w")
		h.announce("w", func(a *schema.WorkerHeartbeat) { a.Draining = true })
		h.syncQueue("m", 10, newEvent(1, 1, 0, queue.Ready, "", oneTask))
		h.advance(100 * eventloop.Millisecond)
		h.syncQueue("k", 10, newEvent(1, 2, 0, queue.Ready, "", oneTask))
		h.syncQueue("l", 20, newEvent(1, 3, 0, queue.Ready, "", oneTask))
		h.announce("w", nil)
		for _, want := range []struct {
			job   uint64
			queue string
		}{{3, "l"}, {1, "m"}, {2, "k"}} {
			So(len(h.placements()), ShouldEqual, 1)
			So(h.placements()[0].Key.Job, ShouldEqual, want.job)
			// Its queue is led elsewhere from now on, which leaves the room to the next.
			h.notified = nil
			h.deliver(replica.LeadershipLost{Queue: want.queue})
		}
	})
}

func TestOverdueStops(t *testing.T) {
	Convey("Urgent work waits for a stop that is under way, but not for one that doesn't come about", t, func() {
		mid := &schema.Step{Name: "m", Tasks: 1, CoresMilli: 900}
		h := newHarness("v", "w")
		announceAll := func() {
			for k, id := range []string{"v", "w"} {
				h.announce(id, func(a *schema.WorkerHeartbeat) {
					a.Running = []*schema.TaskStatus{{Queue: "l", Job: uint64(k + 1), Attempt: 1, State: "running", RunUs: int64(k+1) * int64(eventloop.Second), CoresMilli: 900}}
				})
			}
		}
		h.syncQueue("l", 10, newEvent(1, 1, 0, queue.CheckedOut, "v", mid), newEvent(1, 2, 0, queue.CheckedOut, "w", mid))
		announceAll()
		h.syncQueue("m", 50, newEvent(1, 9, 0, queue.Ready, "", mid))
		other := h.scheduler.queues["l"].tasks[taskKey{"l", 2, 0, 0}]
		for k := 0; k < 25; k++ {
			h.advance(100 * eventloop.Millisecond)
			announceAll()
		}
		So(h.scheduler.queues["l"].tasks[taskKey{"l", 1, 0, 0}].evictOutcome, ShouldEqual, "stopped")
		So(other.evictOutcome, ShouldEqual, "")
		for end := h.now + preemptionDelay + eventloop.Second; h.now < end; {
			h.advance(100 * eventloop.Millisecond)
			announceAll()
		}
		So(other.evictOutcome, ShouldEqual, "stopped")
	})
}
