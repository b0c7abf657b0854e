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

// told is a cluster state with rows; every queue named in them stands in it.
func (d *desk) told(rows []*schema.ConfigurationRow, workers ...string) {
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
	d.step(&schema.ClusterStateResponse{State: state, Version: 2})
}

func queueRow(name, key, value string) *schema.ConfigurationRow {
	return &schema.ConfigurationRow{Kind: "queue", Name: name, Key: key, Value: value}
}

// pass lets time go by with every leader's word fresh and every worker heard.
func (d *desk) pass(span eventloop.Micros) {
	for end := d.now + span; d.now < end; {
		d.now += min(Pace, end-d.now)
		d.step(replica.LeadershipStatus{Terms: map[string]uint64{"l#1": 1, "m#1": 1, "k#1": 1}, IsClusterStateFresh: true})
		d.step(eventloop.Tick{})
	}
}

// queue tells the whole list of a queue.
func (d *desk) queue(name string, urgency int64, list ...*queue.TaskEvent) {
	d.step(replica.LeadershipStatus{Terms: map[string]uint64{"l#1": 1, "m#1": 1, "k#1": 1}, IsClusterStateFresh: true})
	d.step(replica.TaskEvents{Queue: name, Group: name + "#1", Term: 1, LastSequence: 1, Events: list, IsSnapshot: true, Running: 1000, Urgency: urgency})
}

// named is an agent's announce.
func named(change func(*schema.WorkerHeartbeat)) func(*schema.WorkerHeartbeat) {
	return func(a *schema.WorkerHeartbeat) {
		a.TasksByName = true
		if change != nil {
			change(a)
		}
	}
}

func runs(notes ...*schema.TaskStatus) func(*schema.WorkerHeartbeat) {
	return named(func(a *schema.WorkerHeartbeat) { a.Running = notes })
}

func ends(notes ...*schema.TaskStatus) func(*schema.WorkerHeartbeat) {
	return named(func(a *schema.WorkerHeartbeat) { a.Ended = notes })
}

// acts lists the orders of one kind in all answers since a point.
func (d *desk) acts(from int, act string) []*schema.TaskOrder {
	var list []*schema.TaskOrder
	for _, reply := range d.replies[from:] {
		for _, order := range reply.GetOrders().GetOrders() {
			if order.Action == act {
				list = append(list, order)
			}
		}
	}
	return list
}

func TestNamedNotes(t *testing.T) {
	rows := []*schema.ConfigurationRow{queueRow("l", "urgency", "10"), queueRow("m", "urgency", "10")}
	out := func() *queue.TaskEvent {
		s := shift(1, 7, 3, queue.CheckedOut, "w", &schema.Step{Name: "s", Tasks: 4, CoresMilli: 600, Checkpoints: true})
		s.Key.Step, s.Round, s.StepInRound, s.Progress = 5, 2, 1, "before"
		return s
	}
	note := func(state string) *schema.TaskStatus {
		return &schema.TaskStatus{Name: "j7", Round: 2, StepInRound: 1, Task: 3, Attempt: 1, State: state}
	}
	Convey("An agent's notes are found by job, round and part", t, func() {
		d := newDesk("w")
		d.told(rows, "w")
		d.queue("l", 10, out())
		d.announce("w", named(nil))
		start := d.last().Orders.Orders[0]
		So(start.Action, ShouldEqual, "start")
		So([]any{start.Name, start.Round, start.StepInRound, start.Task, start.Attempt, start.Checkpoint}, ShouldResemble, []any{"j7", uint32(2), uint32(1), uint32(3), uint32(1), "before"})
		from := len(d.replies)
		d.announce("w", runs(note("running")))
		So(d.acts(from, "start"), ShouldBeEmpty)
		So(d.acts(from, "stop"), ShouldBeEmpty)
		Convey("and so are their ends, which are noted by name also once the task is gone", func() {
			d.announce("w", ends(note("done")))
			So(d.ended()[0].Key, ShouldResemble, &schema.TaskKey{Job: 7, Step: 5, Task: 3})
			So(d.ended()[0].Outcome, ShouldEqual, "done")
			d.queue("l", 10)
			d.announce("w", ends(note("done")))
			d.step(&schema.TaskEndAck{Queue: "l", Key: &schema.TaskKey{Job: 7, Step: 5, Task: 3}, Attempt: 1, Worker: "w"})
			noted := d.last().Orders.Acknowledged
			So(len(noted), ShouldEqual, 1)
			So([]any{noted[0].Name, noted[0].Round, noted[0].StepInRound, noted[0].Task, noted[0].Attempt}, ShouldResemble, []any{"j7", uint32(2), uint32(1), uint32(3), uint32(1)})
		})
		Convey("with their progress: the end's own, else the last seen, else what it began with", func() {
			for _, each := range []struct{ seen, told, want string }{{"", "", "before"}, {"mid", "", "mid"}, {"mid", "last", "last"}} {
				d := newDesk("w")
				d.told(rows, "w")
				d.queue("l", 10, out())
				running, over := note("running"), note("stopped")
				running.Checkpoint, over.Checkpoint = each.seen, each.told
				d.announce("w", runs(running))
				d.announce("w", ends(over))
				So(d.ended()[0].Checkpoint, ShouldEqual, each.want)
			}
		})
	})
	Convey("What no task is known for is left alone until every queue of the plan is led here", t, func() {
		stray, over := note("running"), note("done")
		over.Task = 2
		both := named(func(a *schema.WorkerHeartbeat) {
			a.Running, a.Ended = []*schema.TaskStatus{stray}, []*schema.TaskStatus{over}
		})
		d := newDesk("w")
		d.told(rows, "w")
		d.queue("l", 10)
		d.announce("w", both)
		d.announce("w", both)
		So(d.acts(0, "stop"), ShouldBeEmpty)
		So(d.last().GetOrders().GetAcknowledged(), ShouldBeEmpty)
		Convey("then the run is stopped and the end noted", func() {
			d.queue("m", 10)
			d.announce("w", both)
			stops := d.acts(0, "stop")
			So(len(stops), ShouldBeGreaterThan, 0)
			So([]any{stops[0].Name, stops[0].Round, stops[0].StepInRound, stops[0].Task, stops[0].Attempt}, ShouldResemble, []any{"j7", uint32(2), uint32(1), uint32(3), uint32(1)})
			So(len(d.last().Orders.Acknowledged), ShouldEqual, 1)
			So(d.last().Orders.Acknowledged[0].Task, ShouldEqual, 2)
		})
		Convey("and a worker that runs what has no known size is given nothing", func() {
			d.queue("l", 10, shift(1, 9, 0, queue.Ready, "", one))
			So(d.picks(), ShouldBeEmpty)
			d.announce("w", named(nil))
			So(len(d.picks()), ShouldEqual, 1)
		})
	})
}

func TestDeadByWord(t *testing.T) {
	Convey("What an agent says is dead gives back its tasks at once and gets nothing more", t, func() {
		d := newDesk("old", "new")
		saving := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 600, Checkpoints: true}
		d.shifts(true, 1, shift(1, 1, 0, queue.CheckedOut, "old", saving))
		d.announce("old", runs(&schema.TaskStatus{Name: "j1", Attempt: 1, State: "running", Checkpoint: "half"}))
		d.announce("old", runs(&schema.TaskStatus{Name: "j1", Attempt: 1, State: "running", Checkpoint: "half"}))
		d.announce("new", named(func(a *schema.WorkerHeartbeat) { a.ReplacedWorkers = []string{"old"} }))
		So(d.ended()[0].Outcome, ShouldEqual, "lost")
		So(d.ended()[0].Checkpoint, ShouldEqual, "half")
		d.announce("old", named(nil))
		So(d.last().Orders, ShouldBeNil)
		Convey("also what turns out to be there later", func() {
			d.tells = nil
			d.shifts(false, 2, shift(2, 2, 0, queue.CheckedOut, "old", saving))
			d.step(eventloop.Tick{})
			So(d.ended()[0].Key.Job, ShouldEqual, 2)
		})
	})
}

func TestGroupsThatGather(t *testing.T) {
	gang := &schema.Step{Name: "g", Tasks: 2, CoresMilli: 600, Gang: true}
	gathering := func(change func(*schema.WorkerHeartbeat)) func(*schema.WorkerHeartbeat) {
		return named(func(a *schema.WorkerHeartbeat) {
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
		return gathering(func(a *schema.WorkerHeartbeat) { a.Running = []*schema.TaskStatus{member(task, "running")} })
	}
	over := func(task uint32, state string) func(*schema.WorkerHeartbeat) {
		return gathering(func(a *schema.WorkerHeartbeat) { a.Ended = []*schema.TaskStatus{member(task, state)} })
	}
	begin := func() *desk {
		d := newDesk("v", "w")
		d.announce("v", gathering(nil))
		d.shifts(true, 2, shift(1, 1, 0, queue.Ready, "", gang), shift(2, 1, 1, queue.Ready, "", gang))
		So(d.picks(), ShouldBeEmpty)
		d.announce("w", gathering(nil))
		So(len(d.picks()), ShouldEqual, 2)
		d.announce("v", gathering(nil))
		d.announce("w", gathering(nil))
		count := len(d.replies)
		d.shifts(false, 4, shift(3, 1, 0, queue.CheckedOut, "v", gang), shift(4, 1, 1, queue.CheckedOut, "w", gang))
		So(len(d.acts(count, "start")), ShouldEqual, 2)
		So(d.acts(0, "hold"), ShouldBeEmpty)
		return d
	}
	Convey("A group whose workers gather starts whole, directly after its checkout, without launch", t, func() {
		d := begin()
		d.announce("v", run(0))
		d.announce("w", run(1))
		d.pass(100 * eventloop.Millisecond)
		for _, tell := range d.tells {
			if propose, isPropose := tell.(replica.Propose); isPropose {
				So(propose.Command.GetStartGang(), ShouldBeNil)
			}
		}
		Convey("and one end stands for all", func() {
			d.announce("v", over(0, "done"))
			So(d.ended()[0].WholeGang, ShouldBeTrue)
			So(d.acts(0, "stop"), ShouldBeEmpty)
		})
	})
	Convey("Who turns a member away has the others stopped at once", t, func() {
		for _, outcome := range []string{"stopped", "failed", "alone", "broken", "lapsed"} {
			d := begin()
			d.announce("v", run(0))
			count := len(d.replies)
			d.announce("w", over(1, outcome))
			So(d.ended()[0].Outcome, ShouldEqual, outcome)
			So(d.ended()[0].WholeGang, ShouldBeFalse)
			So(len(d.acts(count, "stop")), ShouldEqual, 1)
			So(d.acts(count, "stop")[0].Task, ShouldEqual, 0)
		}
	})
	Convey("A member's worker that leaves before it began has the others stopped, and starts nothing", t, func() {
		d := begin()
		d.announce("v", run(0))
		count := len(d.replies)
		d.announce("w", gathering(func(a *schema.WorkerHeartbeat) { a.Draining = true }))
		So(len(d.acts(count, "stop")), ShouldEqual, 2)
		So(d.acts(count, "start"), ShouldBeEmpty)
	})
	Convey("A member that doesn't begin in time has the others stopped", t, func() {
		d := begin()
		count := len(d.replies)
		for k := 0; k < 25; k++ {
			d.announce("v", run(0))
			d.announce("w", gathering(nil))
			d.pass(100 * eventloop.Millisecond)
		}
		stops := map[uint32]bool{}
		for _, order := range d.acts(count, "stop") {
			stops[order.Task] = true
		}
		So(len(stops), ShouldEqual, 2)
	})
	Convey("Nothing is started when the worker of another member has left", t, func() {
		d := newDesk("v", "w")
		d.announce("w", gathering(func(a *schema.WorkerHeartbeat) { a.Draining = true }))
		d.shifts(true, 2, shift(1, 1, 0, queue.CheckedOut, "v", gang), shift(2, 1, 1, queue.CheckedOut, "w", gang))
		d.announce("v", gathering(nil))
		d.announce("v", gathering(nil))
		So(d.acts(0, "start"), ShouldBeEmpty)
		So(len(d.acts(0, "stop")), ShouldBeGreaterThan, 1)
	})
}

func TestWhereWorkMayGo(t *testing.T) {
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
			d := newDesk("v", "w")
			if each.rows != nil {
				d.told(each.rows, "v", "w")
			}
			d.announce("v", each.v)
			d.announce("w", each.w)
			each.step.Tasks = uint32(each.tasks)
			var list []*queue.TaskEvent
			for k := 0; k < each.tasks; k++ {
				list = append(list, shift(uint64(k+1), 1, uint32(k), queue.Ready, "", each.step))
			}
			d.shifts(true, uint64(each.tasks), list...)
			got := map[string]int{}
			for _, pick := range d.picks() {
				got[pick.Worker]++
			}
			So(got, ShouldResemble, each.want)
		})
	}
	Convey("So many on one worker counts what is out there and what it still runs", t, func() {
		step := &schema.Step{Name: "s", Tasks: 4, CoresMilli: 100, MaxPerWorker: 2}
		d := newDesk("w")
		again := shift(3, 1, 2, queue.Ready, "", step)
		again.Attempt = 1
		d.announce("w", func(a *schema.WorkerHeartbeat) {
			a.Running = []*schema.TaskStatus{{Queue: "l", Job: 1, Task: 2, Attempt: 1, State: "running", CoresMilli: 100}}
		})
		d.shifts(true, 4, shift(1, 1, 0, queue.CheckedOut, "w", step), shift(2, 1, 1, queue.Ready, "", step), again)
		So(d.picks(), ShouldBeEmpty)
	})
	Convey("A task isn't started where its queue's pool is another by now", t, func() {
		d := newDesk("w")
		d.told([]*schema.ConfigurationRow{queueRow("l", "pool", "p")}, "w")
		d.queue("l", 10, shift(1, 1, 0, queue.CheckedOut, "w", one))
		d.announce("w", nil)
		So(d.last().Orders.Orders[0].Action, ShouldEqual, "stop")
	})
}

func TestRoomIsFreeOnceTheEndIsTold(t *testing.T) {
	Convey("What is being stopped keeps its room until its end is listed", t, func() {
		d := newDesk("w")
		note := &schema.TaskStatus{Name: "j1", Attempt: 1, State: "running"}
		d.announce("w", named(nil))
		stopping := shift(1, 1, 0, queue.Stopping, "w", one)
		d.shifts(true, 2, stopping, shift(2, 2, 0, queue.Ready, "", one))
		d.announce("w", runs(note))
		So(d.picks(), ShouldBeEmpty)
		d.announce("w", ends(&schema.TaskStatus{Name: "j1", Attempt: 1, State: "stopped"}))
		So(len(d.picks()), ShouldEqual, 1)
	})
}

func TestDepartures(t *testing.T) {
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
			d := newDesk("w")
			d.shifts(true, 1, shift(1, 1, 0, queue.CheckedOut, "w", each.step))
			began := d.now
			stoppedAt := eventloop.Micros(0)
			percent := int64(0)
			for d.now < began+3600*eventloop.Millisecond {
				d.announce("w", named(func(a *schema.WorkerHeartbeat) {
					a.Draining, a.DepartsInUs = true, int64(began+4*eventloop.Second-d.now)
					a.Running = []*schema.TaskStatus{{Name: "j1", Attempt: 1, State: "running", Percent: percent}}
				}))
				d.pass(100 * eventloop.Millisecond)
				percent = each.percent
				if stoppedAt == 0 && len(d.acts(0, "stop")) > 0 {
					stoppedAt = d.now
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

func TestDisplacing(t *testing.T) {
	big := &schema.Step{Name: "b", Tasks: 1, CoresMilli: 800}
	mid := &schema.Step{Name: "m", Tasks: 1, CoresMilli: 400}
	saving := &schema.Step{Name: "m", Tasks: 1, CoresMilli: 400, Checkpoints: true}
	lasting := &schema.Step{Name: "m", Tasks: 1, CoresMilli: 400, RunUntilCancelled: true}
	group := &schema.Step{Name: "m", Tasks: 2, CoresMilli: 400, Gang: true}
	run := func(job uint64, task uint32, run eventloop.Micros) *schema.TaskStatus {
		return &schema.TaskStatus{Queue: "l", Job: job, Task: task, Attempt: 1, State: "running", RunUs: int64(run), CoresMilli: 400}
	}
	stops := func(d *desk) map[uint64]int {
		got := map[uint64]int{}
		for _, v := range d.t.views {
			for _, each := range v.tasks {
				if each.evict != "" {
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
		{what: "what has run least", less: []*queue.TaskEvent{shift(1, 1, 0, queue.CheckedOut, "v", mid), shift(1, 2, 0, queue.CheckedOut, "v", mid), shift(1, 3, 0, queue.CheckedOut, "w", mid), shift(1, 4, 0, queue.CheckedOut, "w", mid)},
			running: map[string][]*schema.TaskStatus{"v": {run(1, 0, 9*eventloop.Second), run(2, 0, 9*eventloop.Second)}, "w": {run(3, 0, 8*eventloop.Second), run(4, 0, 9*eventloop.Second)}},
			urgent:  []*queue.TaskEvent{shift(1, 9, 0, queue.Ready, "", mid)}, want: map[uint64]int{3: 1}},
		{what: "what has kept its progress", less: []*queue.TaskEvent{shift(1, 1, 0, queue.CheckedOut, "v", mid), shift(1, 2, 0, queue.CheckedOut, "v", saving), shift(1, 3, 0, queue.CheckedOut, "w", mid), shift(1, 4, 0, queue.CheckedOut, "w", mid)},
			running: map[string][]*schema.TaskStatus{"v": {run(1, 0, 9*eventloop.Second), {Queue: "l", Job: 2, Attempt: 1, State: "running", RunUs: 20_000_000, Checkpoint: "x", CoresMilli: 400}}, "w": {run(3, 0, 8*eventloop.Second), run(4, 0, 9*eventloop.Second)}},
			urgent:  []*queue.TaskEvent{shift(1, 9, 0, queue.Ready, "", mid)}, want: map[uint64]int{2: 1}},
		{what: "lasting tasks late", less: []*queue.TaskEvent{shift(1, 1, 0, queue.CheckedOut, "v", mid), shift(1, 2, 0, queue.CheckedOut, "v", lasting), shift(1, 3, 0, queue.CheckedOut, "w", lasting), shift(1, 4, 0, queue.CheckedOut, "w", lasting)},
			running: map[string][]*schema.TaskStatus{"v": {run(1, 0, 9*eventloop.Second), run(2, 0, eventloop.Millisecond)}, "w": {run(3, 0, eventloop.Millisecond), run(4, 0, eventloop.Millisecond)}},
			urgent:  []*queue.TaskEvent{shift(1, 9, 0, queue.Ready, "", mid)}, want: map[uint64]int{1: 1}},
		{what: "no more than is needed, but enough for all that waits", less: []*queue.TaskEvent{shift(1, 1, 0, queue.CheckedOut, "v", mid), shift(1, 2, 0, queue.CheckedOut, "v", mid), shift(1, 3, 0, queue.CheckedOut, "w", mid), shift(1, 4, 0, queue.CheckedOut, "w", mid)},
			running: map[string][]*schema.TaskStatus{"v": {run(1, 0, 2*eventloop.Second), run(2, 0, 3*eventloop.Second)}, "w": {run(3, 0, 8*eventloop.Second), run(4, 0, 9*eventloop.Second)}},
			urgent:  []*queue.TaskEvent{shift(1, 8, 0, queue.Ready, "", mid), shift(1, 9, 0, queue.Ready, "", mid)}, want: map[uint64]int{1: 1, 2: 1}},
		{what: "a group as a whole, which costs all of it", less: []*queue.TaskEvent{shift(1, 1, 0, queue.CheckedOut, "v", group), shift(1, 1, 1, queue.CheckedOut, "w", group), shift(1, 2, 0, queue.CheckedOut, "v", mid), shift(1, 3, 0, queue.CheckedOut, "w", mid)},
			running: map[string][]*schema.TaskStatus{"v": {run(1, 0, 5*eventloop.Second), run(2, 0, 20*eventloop.Second)}, "w": {run(1, 1, 5*eventloop.Second), run(3, 0, 9*eventloop.Second)}},
			urgent:  []*queue.TaskEvent{shift(1, 9, 0, queue.Ready, "", mid)}, want: map[uint64]int{3: 1}},
		{what: "for a group as well", less: []*queue.TaskEvent{shift(1, 1, 0, queue.CheckedOut, "v", mid), shift(1, 2, 0, queue.CheckedOut, "v", mid), shift(1, 3, 0, queue.CheckedOut, "w", mid), shift(1, 4, 0, queue.CheckedOut, "w", mid)},
			running: map[string][]*schema.TaskStatus{"v": {run(1, 0, 2*eventloop.Second), run(2, 0, 3*eventloop.Second)}, "w": {run(3, 0, 8*eventloop.Second), run(4, 0, 9*eventloop.Second)}},
			urgent:  []*queue.TaskEvent{shift(1, 9, 0, queue.Ready, "", &schema.Step{Name: "g", Tasks: 2, CoresMilli: 600, Gang: true}), shift(1, 9, 1, queue.Ready, "", &schema.Step{Name: "g", Tasks: 2, CoresMilli: 600, Gang: true})}, want: map[uint64]int{1: 1, 3: 1}},
		{what: "nothing for what then doesn't fit", less: []*queue.TaskEvent{shift(1, 1, 0, queue.CheckedOut, "v", mid), shift(1, 2, 0, queue.CheckedOut, "w", mid)},
			running: map[string][]*schema.TaskStatus{"v": {run(1, 0, 2*eventloop.Second)}, "w": {run(2, 0, 8*eventloop.Second)}},
			urgent:  []*queue.TaskEvent{shift(1, 9, 0, queue.Ready, "", &schema.Step{Name: "x", Tasks: 1, CoresMilli: 1200})}, want: map[uint64]int{}},
		{what: "nothing for a group of which one doesn't fit", less: []*queue.TaskEvent{shift(1, 1, 0, queue.CheckedOut, "v", mid), shift(1, 2, 0, queue.CheckedOut, "w", mid)},
			running: map[string][]*schema.TaskStatus{"v": {run(1, 0, 2*eventloop.Second)}, "w": {run(2, 0, 8*eventloop.Second)}},
			urgent: []*queue.TaskEvent{shift(1, 9, 0, queue.Ready, "", &schema.Step{Name: "g", Tasks: 3, CoresMilli: 800, Gang: true}), shift(1, 9, 1, queue.Ready, "", &schema.Step{Name: "g", Tasks: 3, CoresMilli: 800, Gang: true}),
				shift(1, 9, 2, queue.Ready, "", &schema.Step{Name: "g", Tasks: 3, CoresMilli: 800, Gang: true})}, want: map[uint64]int{}},
		{what: "nothing of the same urgency", lessUrgently: 50, less: []*queue.TaskEvent{shift(1, 1, 0, queue.CheckedOut, "v", mid), shift(1, 2, 0, queue.CheckedOut, "w", mid)},
			running: map[string][]*schema.TaskStatus{"v": {run(1, 0, 2*eventloop.Second)}, "w": {run(2, 0, 8*eventloop.Second)}},
			urgent:  []*queue.TaskEvent{shift(1, 9, 0, queue.Ready, "", big)}, want: map[uint64]int{}},
	} {
		Convey("Urgent work displaces "+each.what, t, func() {
			d := newDesk("v", "w")
			d.step(replica.LeadershipStatus{Terms: map[string]uint64{"l#1": 1, "m#1": 1}, IsClusterStateFresh: true})
			d.queue("l", max(each.lessUrgently, 10), each.less...)
			say := func() {
				for _, id := range []string{"v", "w"} {
					d.announce(id, func(a *schema.WorkerHeartbeat) { a.Running = each.running[id] })
				}
			}
			say()
			d.queue("m", 50, each.urgent...)
			d.pass(preemptAfter - Pace)
			So(stops(d), ShouldBeEmpty) // it waits a little first
			d.pass(60 * eventloop.Millisecond)
			say()
			d.pass(100 * eventloop.Millisecond)
			So(stops(d), ShouldResemble, each.want)
		})
	}
	Convey("The room that was freed goes to whom it was freed for", t, func() {
		d := newDesk("w")
		d.queue("l", 10, shift(1, 1, 0, queue.CheckedOut, "w", mid), shift(1, 2, 0, queue.CheckedOut, "w", mid), shift(1, 3, 0, queue.Ready, "", &schema.Step{Name: "s", Tasks: 1, CoresMilli: 300}))
		both := []*schema.TaskStatus{run(1, 0, eventloop.Second), run(2, 0, eventloop.Second)}
		d.announce("w", func(a *schema.WorkerHeartbeat) { a.Running = both })
		d.queue("m", 50, shift(1, 9, 0, queue.Ready, "", &schema.Step{Name: "x", Tasks: 1, CoresMilli: 1000}))
		d.pass(preemptAfter + 2*Pace)
		So(stops(d), ShouldResemble, map[uint64]int{1: 1, 2: 1})
		d.announce("w", func(a *schema.WorkerHeartbeat) {
			a.Running, a.Ended = both[1:], []*schema.TaskStatus{{Queue: "l", Job: 1, Attempt: 1, State: "stopped"}}
		})
		So(d.picks(), ShouldBeEmpty)
		d.announce("w", func(a *schema.WorkerHeartbeat) {
			a.Ended = []*schema.TaskStatus{{Queue: "l", Job: 1, Attempt: 1, State: "stopped"}, {Queue: "l", Job: 2, Attempt: 1, State: "stopped"}}
		})
		So(len(d.picks()), ShouldEqual, 1)
		So(d.picks()[0].Key.Job, ShouldEqual, 9)
	})
}

func TestWideWorkIsntStarved(t *testing.T) {
	Convey("A group that has waited keeps workers free from what comes after it", t, func() {
		for _, urgency := range []int64{10, 5} {
			d := newDesk("v", "w")
			gang := &schema.Step{Name: "g", Tasks: 2, CoresMilli: 900, Gang: true}
			small := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 500}
			d.queue("k", 10, shift(1, 1, 0, queue.CheckedOut, "v", small))
			busy := func(a *schema.WorkerHeartbeat) {
				a.Running = []*schema.TaskStatus{{Queue: "k", Job: 1, Attempt: 1, State: "running", CoresMilli: 500}}
			}
			d.announce("v", busy)
			d.announce("w", nil)
			d.queue("l", 10, shift(1, 5, 0, queue.Ready, "", gang), shift(1, 5, 1, queue.Ready, "", gang))
			So(d.picks(), ShouldBeEmpty)
			d.pass(1600 * eventloop.Millisecond)
			d.announce("v", busy)
			d.announce("w", nil)
			d.queue("m", urgency, shift(1, 6, 0, queue.Ready, "", small))
			So(d.picks(), ShouldBeEmpty)
			Convey(fmt.Sprint("until it fits, before urgency ", urgency), func() {
				d.announce("v", func(a *schema.WorkerHeartbeat) {
					a.Ended = []*schema.TaskStatus{{Queue: "k", Job: 1, Attempt: 1, State: "done"}}
				})
				So(len(d.picks()), ShouldEqual, 2)
				So(d.picks()[0].Key.Job, ShouldEqual, 5)
			})
			Convey(fmt.Sprint("but not from what is more urgent than ", urgency), func() {
				d.queue("m", 20, shift(1, 6, 0, queue.Ready, "", small))
				So(len(d.picks()), ShouldEqual, 1)
				So(d.picks()[0].Key.Job, ShouldEqual, 6)
			})
		}
	})
	Convey("What doesn't fit holds up nothing that does", t, func() {
		d := newDesk("w")
		d.announce("w", nil)
		var list []*queue.TaskEvent
		for job := uint64(1); job <= 40; job++ {
			list = append(list, shift(job, job, 0, queue.Ready, "", &schema.Step{Name: "s", Tasks: 1, CoresMilli: 5000}))
		}
		d.shifts(true, 41, append(list, shift(41, 50, 0, queue.Ready, "", one))...)
		So(len(d.picks()), ShouldEqual, 1)
		So(d.picks()[0].Key.Job, ShouldEqual, 50)
	})
}

func TestBadWorkers(t *testing.T) {
	step := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 100, EstimatedRunUs: 1_000_000}
	// finish lets a worker end one task after a run of so long.
	job := uint64(100)
	finish := func(d *desk, worker string, run eventloop.Micros) {
		job++
		hand := d.t.views["l"].hand
		d.shifts(false, hand+1, shift(hand+1, job, 0, queue.CheckedOut, worker, step))
		d.announce(worker, named(func(a *schema.WorkerHeartbeat) {
			a.Ended = []*schema.TaskStatus{{Name: fmt.Sprint("j", job), Attempt: 1, State: "done", RunUs: int64(run)}}
		}))
		d.shifts(false, hand+2, shift(hand+2, job, 0, queue.Inactive, "", step))
	}
	ready := func(d *desk, step *schema.Step) string {
		job++
		d.tells = nil
		hand := d.t.views["l"].hand
		d.shifts(false, hand+1, shift(hand+1, job, 0, queue.Ready, "", step))
		So(len(d.picks()), ShouldEqual, 1)
		return d.picks()[0].Worker
	}
	setUp := func() *desk {
		d := newDesk("a", "b", "c")
		d.shifts(true, 0)
		for _, id := range []string{"a", "b", "c"} {
			d.announce(id, named(nil))
		}
		for k := 0; k < 4; k++ {
			finish(d, "b", eventloop.Second)
			finish(d, "c", eventloop.Second)
		}
		return d
	}
	Convey("A worker whose runs take longer than others' is used last", t, func() {
		d := setUp()
		for k := 0; k < 4; k++ {
			finish(d, "a", 4*eventloop.Second)
		}
		d.announce("b", runs(&schema.TaskStatus{Queue: "x", Name: "z", Attempt: 1, State: "running", CoresMilli: 500, MemoryMb: 1}))
		d.announce("c", runs(&schema.TaskStatus{Queue: "x", Name: "z", Attempt: 1, State: "running", CoresMilli: 500, MemoryMb: 1}))
		So(ready(d, step), ShouldNotEqual, "a")
		Convey("but the others aren't taken for quick", func() {
			So(d.t.workers["b"].slow, ShouldBeBetween, -0.1, 0.1)
		})
	})
	Convey("A task that stands still while others end alike ones is displaced, and its worker rests", t, func() {
		d := setUp()
		hand := d.t.views["l"].hand
		d.shifts(false, hand+1, shift(hand+1, 7, 0, queue.CheckedOut, "a", step))
		began := d.now
		percent := int64(0)
		play := func(span eventloop.Micros, moves int64) {
			for end := d.now + span; d.now < end; {
				percent += moves
				d.announce("a", runs(&schema.TaskStatus{Name: "j7", Attempt: 1, State: "running", Percent: percent}))
				finish(d, "b", eventloop.Second)
				finish(d, "c", eventloop.Second)
				d.pass(100 * eventloop.Millisecond)
			}
		}
		isStopped := func() bool { return len(d.acts(0, "stop")) > 0 }
		Convey("where nothing moves", func() {
			play(3900*eventloop.Millisecond, 0)
			So(isStopped(), ShouldBeFalse)
			play(500*eventloop.Millisecond, 0)
			So(isStopped(), ShouldBeTrue)
			d.tells = nil
			d.announce("a", ends(&schema.TaskStatus{Name: "j7", Attempt: 1, State: "stopped"}))
			So(d.ended()[0].Outcome, ShouldEqual, "stopped")
			for k := 0; k < 3; k++ {
				So(ready(d, step), ShouldNotEqual, "a")
			}
		})
		Convey("not where it just is long", func() {
			play(8*eventloop.Second, 1)
			So(isStopped(), ShouldBeFalse)
			So(d.now-began, ShouldBeGreaterThan, 7*eventloop.Second)
		})
	})
	fail := func(d *desk, worker string, jobs ...uint64) {
		for _, each := range jobs {
			d.announce(worker, func(a *schema.WorkerHeartbeat) {
				a.Ended = []*schema.TaskStatus{{Queue: "l", Job: each, Attempt: 1, State: "failed"}}
			})
		}
	}
	Convey("A worker that fails a few in a row where others don't rests, longer each time", t, func() {
		d := setUp()
		fail(d, "a", 1, 2)
		So(ready(d, step), ShouldNotEqual, "a")
		So(d.t.workers["a"].asideUntil-d.now, ShouldEqual, firstRest)
		d.pass(firstRest)
		fail(d, "a", 3)
		d.announce("b", named(nil))
		d.announce("c", named(nil))
		So(ready(d, step), ShouldNotEqual, "a")
		So(d.t.workers["a"].asideUntil-d.now, ShouldEqual, 2*firstRest)
		Convey("and is still used when nothing else has room for long", func() {
			hand := d.t.views["l"].hand
			only := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 100, Labels: []string{"x"}}
			d.tells = nil
			d.shifts(false, hand+1, shift(hand+1, 900, 0, queue.Ready, "", only))
			d.pass(2 * eventloop.Second)
			has := named(func(a *schema.WorkerHeartbeat) { a.Labels = []string{"x"} })
			d.announce("a", has)
			So(d.picks(), ShouldBeEmpty)
			d.pass(1100 * eventloop.Millisecond)
			d.announce("a", has)
			So(len(d.picks()), ShouldEqual, 1)
		})
	})
	Convey("Workers that are gone don't count where it is asked how the others do", t, func() {
		d := newDesk("a", "b", "c", "gone1", "gone2", "gone3", "gone4", "gone5")
		d.shifts(true, 0)
		for _, id := range []string{"a", "b", "c"} {
			d.announce(id, named(nil))
		}
		Convey("so half of those that are left are never set aside", func() {
			fail(d, "a", 1, 2)
			ready(d, step)
			fail(d, "b", 3, 4)
			ready(d, step)
			trials := 0
			for _, id := range []string{"a", "b", "c"} {
				if d.t.workers[id].isOnTrial {
					trials++
				}
			}
			So(trials, ShouldEqual, 1)
		})
		Convey("and few failures are no sign where all fail now and then", func() {
			for _, id := range []string{"a", "b", "c"} {
				for k := uint64(1); k <= 4; k++ {
					finish(d, id, eventloop.Second)
				}
				fail(d, id, 1)
				finish(d, id, eventloop.Second)
			}
			fail(d, "a", 2, 3)
			ready(d, step)
			So(d.t.workers["a"].isOnTrial, ShouldBeFalse)
		})
	})
	Convey("A worker on trial gets one task at a time, but what has waited long goes there too", t, func() {
		d := setUp()
		fail(d, "a", 1, 2)
		ready(d, step)
		hand := d.t.views["l"].hand
		d.shifts(false, hand+1, shift(hand+1, job, 0, queue.Inactive, "", step))
		d.pass(firstRest)
		has := func(notes ...*schema.TaskStatus) func(*schema.WorkerHeartbeat) {
			return named(func(a *schema.WorkerHeartbeat) { a.Labels, a.Running = []string{"x"}, notes })
		}
		only := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 100, Labels: []string{"x"}}
		hand = d.t.views["l"].hand
		d.tells = nil
		d.shifts(false, hand+1, shift(hand+1, 900, 0, queue.CheckedOut, "a", only))
		runs := &schema.TaskStatus{Name: "j900", Attempt: 1, State: "running"}
		d.announce("a", has(runs))
		d.shifts(false, hand+2, shift(hand+2, 901, 0, queue.Ready, "", only))
		d.announce("a", has(runs))
		So(d.t.workers["a"].isOnTrial, ShouldBeTrue)
		So(d.picks(), ShouldBeEmpty)
		for k := 0; k < 6; k++ {
			d.pass(500 * eventloop.Millisecond)
			d.announce("a", has(runs))
		}
		So(len(d.picks()), ShouldEqual, 1)
	})
	Convey("Where a queue's tasks often fail by their own fault, a few failures in a row say nothing of their worker", t, func() {
		d := setUp()
		for k := uint64(1); k <= 65; k++ {
			for _, id := range []string{"a", "b", "c"} {
				finish(d, id, eventloop.Second)
				if k%10 == 0 {
					fail(d, id, 1000+k)
				}
			}
		}
		fail(d, "a", 1, 2, 3)
		ready(d, step)
		So(d.t.workers["a"].isOnTrial, ShouldBeFalse)
		Convey("but many do", func() {
			fail(d, "a", 4, 5, 6, 7)
			ready(d, step)
			So(d.t.workers["a"].isOnTrial, ShouldBeTrue)
		})
	})
	Convey("One task that fails again and again says nothing of its worker", t, func() {
		d := setUp()
		for k := uint32(1); k < 4; k++ {
			d.announce("a", func(a *schema.WorkerHeartbeat) {
				a.Ended = []*schema.TaskStatus{{Queue: "l", Job: 1, Attempt: k, State: "failed"}}
			})
		}
		d.step(eventloop.Tick{})
		So(d.t.workers["a"].isOnTrial, ShouldBeFalse)
	})
}

func TestManyThatFitNowhere(t *testing.T) {
	Convey("However many steps fit nowhere, what stands behind them is looked at before long", t, func() {
		d := newDesk("w")
		d.announce("w", nil)
		var list []*queue.TaskEvent
		for k := uint64(1); k <= 100; k++ {
			huge := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 10_000 + int64(k)}
			list = append(list, shift(k, k, 0, queue.Ready, "", huge))
		}
		d.shifts(true, 100, append(list, shift(101, 101, 0, queue.Ready, "", one))...)
		for k := 0; k < 3; k++ {
			d.pass(200 * eventloop.Millisecond)
			d.announce("w", nil)
		}
		So(len(d.picks()), ShouldEqual, 1)
		So(d.picks()[0].Key.Job, ShouldEqual, 101)
	})
}

func TestUrgentQueuesComeFirst(t *testing.T) {
	Convey("Queues are served by urgency, equals by who has waited longest", t, func() {
		d := newDesk("w")
		d.announce("w", func(a *schema.WorkerHeartbeat) { a.Draining = true })
		d.queue("m", 10, shift(1, 1, 0, queue.Ready, "", one))
		d.pass(100 * eventloop.Millisecond)
		d.queue("k", 10, shift(1, 2, 0, queue.Ready, "", one))
		d.queue("l", 20, shift(1, 3, 0, queue.Ready, "", one))
		d.announce("w", nil)
		for _, want := range []struct {
			job   uint64
			queue string
		}{{3, "l"}, {1, "m"}, {2, "k"}} {
			So(len(d.picks()), ShouldEqual, 1)
			So(d.picks()[0].Key.Job, ShouldEqual, want.job)
			// Its queue is led elsewhere from now on, which leaves the room to the next.
			d.tells = nil
			d.step(replica.LeadershipLost{Queue: want.queue})
		}
	})
}

func TestStopsThatTakeTooLong(t *testing.T) {
	Convey("Urgent work waits for a stop that is under way, but not for one that doesn't come about", t, func() {
		mid := &schema.Step{Name: "m", Tasks: 1, CoresMilli: 900}
		d := newDesk("v", "w")
		say := func() {
			for k, id := range []string{"v", "w"} {
				d.announce(id, func(a *schema.WorkerHeartbeat) {
					a.Running = []*schema.TaskStatus{{Queue: "l", Job: uint64(k + 1), Attempt: 1, State: "running", RunUs: int64(k+1) * int64(eventloop.Second), CoresMilli: 900}}
				})
			}
		}
		d.queue("l", 10, shift(1, 1, 0, queue.CheckedOut, "v", mid), shift(1, 2, 0, queue.CheckedOut, "w", mid))
		say()
		d.queue("m", 50, shift(1, 9, 0, queue.Ready, "", mid))
		other := d.t.views["l"].tasks[taskKey{"l", 2, 0, 0}]
		for k := 0; k < 25; k++ {
			d.pass(100 * eventloop.Millisecond)
			say()
		}
		So(d.t.views["l"].tasks[taskKey{"l", 1, 0, 0}].evict, ShouldEqual, "stopped")
		So(other.evict, ShouldEqual, "")
		for end := d.now + preemptAfter + eventloop.Second; d.now < end; {
			d.pass(100 * eventloop.Millisecond)
			say()
		}
		So(other.evict, ShouldEqual, "stopped")
	})
}
