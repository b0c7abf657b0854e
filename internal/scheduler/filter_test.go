package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

func TestPlacementConstraints(t *testing.T) {
	plain := func(a *schema.WorkerHeartbeat) {}
	for _, test := range []struct {
		what  string
		rows  []*schema.ConfigurationRow
		step  *schema.Step
		v, w  func(*schema.WorkerHeartbeat)
		tasks int
		want  map[string]int
	}{
		{what: "only in its queue's pool", rows: []*schema.ConfigurationRow{queueRow("l", "pool", "p")}, step: &schema.Step{CoresMilli: 100}, v: plain,
			w: func(a *schema.WorkerHeartbeat) { a.Pool = "p" }, tasks: 1, want: map[string]int{"w": 1}},
		{what: "outside of pools if its queue has none", step: &schema.Step{CoresMilli: 100}, v: plain,
			w: func(a *schema.WorkerHeartbeat) { a.Pool = "p" }, tasks: 1, want: map[string]int{"v": 1}},
		{what: "where all its labels are", step: &schema.Step{CoresMilli: 100, Labels: []string{"a", "b"}},
			v: func(a *schema.WorkerHeartbeat) { a.Labels = []string{"a"} }, w: func(a *schema.WorkerHeartbeat) { a.Labels = []string{"c", "b", "a"} },
			tasks: 2, want: map[string]int{"w": 2}},
		{what: "where enough accelerators are", step: &schema.Step{CoresMilli: 100, Accelerators: 2},
			v: plain, w: func(a *schema.WorkerHeartbeat) { a.Accelerators = 5 }, tasks: 4, want: map[string]int{"w": 2}},
		{what: "on workers with accelerators last if it needs none", step: &schema.Step{CoresMilli: 100},
			v: plain, w: func(a *schema.WorkerHeartbeat) { a.Accelerators = 5 }, tasks: 1, want: map[string]int{"v": 1}},
		{what: "no more than so many tasks per worker", step: &schema.Step{CoresMilli: 100, MaxPerWorker: 2},
			v: plain, w: plain, tasks: 6, want: map[string]int{"v": 2, "w": 2}},
		{what: "in the rack of its data first, then elsewhere", step: &schema.Step{CoresMilli: 400, DataRack: "r2"},
			v: plain, w: func(a *schema.WorkerHeartbeat) { a.Rack = "r2" }, tasks: 3, want: map[string]int{"w": 2, "v": 1}},
		{what: "in one rack where it fits", step: &schema.Step{CoresMilli: 400, OneRack: true},
			v: plain, w: func(a *schema.WorkerHeartbeat) { a.Rack, a.CoresMilli = "r2", 1200 }, tasks: 3, want: map[string]int{"w": 3}},
		{what: "in several racks if it doesn't fit in one", step: &schema.Step{CoresMilli: 400, OneRack: true},
			v: plain, w: func(a *schema.WorkerHeartbeat) { a.Rack = "r2" }, tasks: 4, want: map[string]int{"v": 2, "w": 2}},
		{what: "as a gang in one rack", step: &schema.Step{CoresMilli: 300, OneRack: true, Gang: true},
			v: plain, w: func(a *schema.WorkerHeartbeat) { a.Rack, a.CoresMilli = "r2", 950 }, tasks: 3, want: map[string]int{"v": 3}},
		{what: "as a gang in several racks if it doesn't fit in one", step: &schema.Step{CoresMilli: 400, OneRack: true, Gang: true},
			v: plain, w: func(a *schema.WorkerHeartbeat) { a.Rack = "r2" }, tasks: 4, want: map[string]int{"v": 2, "w": 2}},
		{what: "on workers that are warming up last", step: &schema.Step{CoresMilli: 100},
			v: func(a *schema.WorkerHeartbeat) { a.WarmUpUs = 5_000_000 }, w: plain, tasks: 1, want: map[string]int{"w": 1}},
	} {
		Convey("A step is placed: "+test.what, t, func() {
			h := newHarness("v", "w")
			if test.rows != nil {
				h.configure(test.rows, "v", "w")
			}
			h.sendHeartbeat("v", test.v)
			h.sendHeartbeat("w", test.w)
			test.step.Tasks = uint32(test.tasks)
			var list []*queue.TaskEvent
			for k := 0; k < test.tasks; k++ {
				list = append(list, newEvent(uint64(k+1), 1, uint32(k), queue.Ready, "", test.step))
			}
			h.deliverEvents(true, uint64(test.tasks), list...)
			got := map[string]int{}
			for _, placement := range h.placements() {
				got[placement.Worker]++
			}
			So(got, ShouldResemble, test.want)
		})
	}
	Convey("The limit per worker counts tasks that are checked out and runs that are no longer", t, func() {
		step := &schema.Step{Name: "s", Tasks: 4, CoresMilli: 100, MaxPerWorker: 2}
		h := newHarness("w")
		again := newEvent(3, 1, 2, queue.Ready, "", step)
		again.Attempt = 1
		h.sendHeartbeat("w", func(a *schema.WorkerHeartbeat) {
			a.Running = []*schema.TaskStatus{{Queue: "l", Job: 1, Task: 2, Attempt: 1, State: "running", CoresMilli: 100}}
		})
		h.deliverEvents(true, 4, newEvent(1, 1, 0, queue.CheckedOut, "w", step), newEvent(2, 1, 1, queue.Ready, "", step), again)
		So(h.placements(), ShouldBeEmpty)
	})
	Convey("A task isn't started on a worker that its queue's pool no longer has", t, func() {
		h := newHarness("w")
		h.configure([]*schema.ConfigurationRow{queueRow("l", "pool", "p")}, "w")
		h.syncQueue("l", 10, newEvent(1, 1, 0, queue.CheckedOut, "w", oneTask))
		h.sendHeartbeat("w", nil)
		So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "stop")
	})
}
