package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

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

func TestWorkerReportedUsage(t *testing.T) {
	Convey("What a worker says it runs besides leaves no room for an order, whatever was checked out", t, func() {
		step := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 600, MemoryMb: 1}
		h := newHarness("w")
		h.announce("w", nil)
		h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "w", step))
		// Something of a queue that isn't led here runs there.
		other := &schema.TaskStatus{Queue: "other", Job: 9, Attempt: 1, State: "running", CoresMilli: 500, MemoryMb: 1}
		count := len(h.replies)
		h.announce("w", func(a *schema.WorkerHeartbeat) { a.Running = []*schema.TaskStatus{other} })
		So(len(h.replies), ShouldEqual, count)
		h.announce("w", nil)
		So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "start")
	})
}

func TestReservedCapacity(t *testing.T) {
	Convey("Room that a checkout on its way will take is given to nobody else", t, func() {
		step := &schema.Step{Name: "s", Tasks: 2, CoresMilli: 600, MemoryMb: 1}
		h := newHarness("w")
		h.announce("w", nil)
		h.deliverEvents(true, 2, newEvent(1, 1, 0, queue.Ready, "", step), newEvent(2, 1, 1, queue.Ready, "", step))
		So(len(h.placements()), ShouldEqual, 1)
		h.notified = nil
		h.announce("w", nil)
		h.deliver(eventloop.Tick{})
		So(len(h.placements()), ShouldEqual, 0)
	})
}
