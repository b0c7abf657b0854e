package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

func TestStatusesAreResolvedByName(t *testing.T) {
	rows := []*schema.ConfigurationRow{queueRow("l", "urgency", "10"), queueRow("m", "urgency", "10")}
	checkedOut := func() *queue.TaskEvent {
		event := newEvent(1, 7, 3, queue.CheckedOut, "w", &schema.Step{Name: "s", Tasks: 4, CoresMilli: 600, Checkpoints: true})
		event.Key.Step, event.Round, event.StepInRound, event.Checkpoint = 5, 2, 1, "before"
		return event
	}
	status := func(state string) *schema.TaskStatus {
		return &schema.TaskStatus{Name: "j7", Round: 2, StepInRound: 1, Task: 3, Attempt: 1, State: state}
	}
	Convey("An agent's task statuses are resolved by job name, round and part", t, func() {
		h := newHarness("w")
		h.configure(rows, "w")
		h.syncQueue("l", 10, checkedOut())
		h.sendHeartbeat("w", withNames(nil))
		start := h.lastReply().Orders.Orders[0]
		So(start.Action, ShouldEqual, "start")
		So([]any{start.Name, start.Round, start.StepInRound, start.Task, start.Attempt, start.Checkpoint}, ShouldResemble, []any{"j7", uint32(2), uint32(1), uint32(3), uint32(1), "before"})
		from := len(h.replies)
		h.sendHeartbeat("w", withRunning(status("running")))
		So(h.ordersOf(from, "start"), ShouldBeEmpty)
		So(h.ordersOf(from, "stop"), ShouldBeEmpty)
		Convey("and so are ends, which are acknowledged by name even once the task is gone", func() {
			h.sendHeartbeat("w", withEnded(status("done")))
			So(h.endReports()[0].Key, ShouldResemble, &schema.TaskKey{Job: 7, Step: 5, Task: 3})
			So(h.endReports()[0].Outcome, ShouldEqual, "done")
			h.syncQueue("l", 10)
			h.sendHeartbeat("w", withEnded(status("done")))
			h.deliver(&schema.TaskEndAck{Queue: "l", Key: &schema.TaskKey{Job: 7, Step: 5, Task: 3}, Attempt: 1, Worker: "w"})
			acknowledged := h.lastReply().Orders.Acknowledged
			So(len(acknowledged), ShouldEqual, 1)
			So([]any{acknowledged[0].Name, acknowledged[0].Round, acknowledged[0].StepInRound, acknowledged[0].Task, acknowledged[0].Attempt}, ShouldResemble, []any{"j7", uint32(2), uint32(1), uint32(3), uint32(1)})
		})
		Convey("with the checkpoint of the end, else the last one seen, else the one it began from", func() {
			for _, test := range []struct{ running, ended, want string }{{"", "", "before"}, {"mid", "", "mid"}, {"mid", "last", "last"}} {
				h := newHarness("w")
				h.configure(rows, "w")
				h.syncQueue("l", 10, checkedOut())
				running, ended := status("running"), status("stopped")
				running.Checkpoint, ended.Checkpoint = test.running, test.ended
				h.sendHeartbeat("w", withRunning(running))
				h.sendHeartbeat("w", withEnded(ended))
				So(h.endReports()[0].Checkpoint, ShouldEqual, test.want)
			}
		})
	})
	Convey("Statuses of unknown tasks are left alone until this node leads every configured queue", t, func() {
		unknown, ended := status("running"), status("done")
		ended.Task = 2
		both := withNames(func(a *schema.WorkerHeartbeat) {
			a.Running, a.Ended = []*schema.TaskStatus{unknown}, []*schema.TaskStatus{ended}
		})
		h := newHarness("w")
		h.configure(rows, "w")
		h.syncQueue("l", 10)
		h.sendHeartbeat("w", both)
		h.sendHeartbeat("w", both)
		So(h.ordersOf(0, "stop"), ShouldBeEmpty)
		So(h.lastReply().GetOrders().GetAcknowledged(), ShouldBeEmpty)
		Convey("then the run is stopped and the end acknowledged", func() {
			h.syncQueue("m", 10)
			h.sendHeartbeat("w", both)
			stops := h.ordersOf(0, "stop")
			So(len(stops), ShouldBeGreaterThan, 0)
			So([]any{stops[0].Name, stops[0].Round, stops[0].StepInRound, stops[0].Task, stops[0].Attempt}, ShouldResemble, []any{"j7", uint32(2), uint32(1), uint32(3), uint32(1)})
			So(len(h.lastReply().Orders.Acknowledged), ShouldEqual, 1)
			So(h.lastReply().Orders.Acknowledged[0].Task, ShouldEqual, 2)
		})
		Convey("and a worker that runs something of unknown size is given nothing", func() {
			h.syncQueue("l", 10, newEvent(1, 9, 0, queue.Ready, "", oneTask))
			So(h.placements(), ShouldBeEmpty)
			h.sendHeartbeat("w", withNames(nil))
			So(len(h.placements()), ShouldEqual, 1)
		})
	})
}
