package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

func TestCapacityIsFreedByEndReport(t *testing.T) {
	Convey("A task that is being stopped keeps its resources until its end is reported", t, func() {
		h := newHarness("w")
		status := &schema.TaskStatus{Name: "j1", Attempt: 1, State: "running"}
		h.sendHeartbeat("w", withNames(nil))
		stopping := newEvent(1, 1, 0, queue.Stopping, "w", oneTask)
		h.deliverEvents(true, 2, stopping, newEvent(2, 2, 0, queue.Ready, "", oneTask))
		h.sendHeartbeat("w", withRunning(status))
		So(h.placements(), ShouldBeEmpty)
		h.sendHeartbeat("w", withEnded(&schema.TaskStatus{Name: "j1", Attempt: 1, State: "stopped"}))
		So(len(h.placements()), ShouldEqual, 1)
	})
}

func TestWorkerReportedUsage(t *testing.T) {
	Convey("What a worker reports to run besides counts against a start order, whatever is checked out", t, func() {
		step := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 600, MemoryMb: 1}
		h := newHarness("w")
		h.sendHeartbeat("w", nil)
		h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "w", step))
		// The worker also runs a task of a queue that this node doesn't lead.
		other := &schema.TaskStatus{Queue: "other", Job: 9, Attempt: 1, State: "running", CoresMilli: 500, MemoryMb: 1}
		count := len(h.replies)
		h.sendHeartbeat("w", func(a *schema.WorkerHeartbeat) { a.Running = []*schema.TaskStatus{other} })
		So(len(h.replies), ShouldEqual, count)
		h.sendHeartbeat("w", nil)
		So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "start")
	})
}

func TestReportedAccelerators(t *testing.T) {
	Convey("The accelerators of a run whose queue isn't led here yet are taken, as its cores and memory are", t, func() {
		step := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 100, MemoryMb: 1, Accelerators: 4}
		has := func(running ...*schema.TaskStatus) func(*schema.WorkerHeartbeat) {
			return withNames(func(a *schema.WorkerHeartbeat) { a.Accelerators, a.Running = 8, running })
		}
		other := &schema.TaskStatus{Name: "other", Attempt: 1, State: "running", CoresMilli: 100, MemoryMb: 1, Accelerators: 6}
		h := newHarness("w")
		h.sendHeartbeat("w", has(other))
		h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.Ready, "", step))
		h.sendHeartbeat("w", has(other))
		So(h.placements(), ShouldBeEmpty)
		Convey("nor is what was checked out before started beside it", func() {
			count := len(h.replies)
			h.deliverEvents(true, 2, newEvent(2, 1, 0, queue.CheckedOut, "w", step))
			h.sendHeartbeat("w", has(other))
			h.advance(maxPollWait)
			So(h.ordersOf(count, "start"), ShouldBeEmpty)
		})
		Convey("until it has ended", func() {
			h.sendHeartbeat("w", has())
			So(h.placements(), ShouldHaveLength, 1)
		})
	})
}

func TestReservedCapacity(t *testing.T) {
	Convey("Capacity reserved for a checkout on the way isn't placed on again", t, func() {
		step := &schema.Step{Name: "s", Tasks: 2, CoresMilli: 600, MemoryMb: 1}
		h := newHarness("w")
		h.sendHeartbeat("w", nil)
		h.deliverEvents(true, 2, newEvent(1, 1, 0, queue.Ready, "", step), newEvent(2, 1, 1, queue.Ready, "", step))
		So(len(h.placements()), ShouldEqual, 1)
		h.notified = nil
		h.sendHeartbeat("w", nil)
		h.deliver(eventloop.Tick{})
		So(len(h.placements()), ShouldEqual, 0)
	})
}
