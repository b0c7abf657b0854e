package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

// TestTasksOfSameName guards against a task that counts as done without having run. Workers know a
// task by its job's name, so the tasks of two jobs that have the same name in different queues
// look the same there. That happens when a route moves and its callers submit their job at the
// new place, too.
func TestTasksOfSameName(t *testing.T) {
	rows := []*schema.ConfigurationRow{queueRow("l", "urgency", "10"), queueRow("m", "urgency", "10")}
	const capacity = 4000 // milli cores of each worker
	withCapacity := func(change func(*schema.WorkerHeartbeat)) func(*schema.WorkerHeartbeat) {
		return withNames(func(a *schema.WorkerHeartbeat) {
			a.CoresMilli = capacity
			if change != nil {
				change(a)
			}
		})
	}
	taskOf := func(job uint64, state queue.Status, worker string) *queue.TaskEvent {
		event := newEvent(1, job, 0, state, worker, oneTask)
		event.Name = "same"
		return event
	}
	status := func(state string) *schema.TaskStatus {
		return &schema.TaskStatus{Name: "same", Attempt: 1, State: state, CoresMilli: oneTask.CoresMilli}
	}
	runs := withCapacity(withRunning(status("running")))

	Convey("Given a task of queue l that runs on worker w, and a task of queue m with the same name", t, func() {
		h := newHarness("w", "v")
		h.configure(rows, "w", "v")
		h.syncQueue("l", 10, taskOf(7, queue.CheckedOut, "w"))
		h.sendHeartbeat("w", runs)
		Convey("the other task isn't placed on that worker", func() {
			h.syncQueue("m", 10, taskOf(8, queue.Ready, ""))
			h.advance(eventloop.Second)
			So(h.placements(), ShouldBeEmpty)
			Convey("but on another one", func() {
				h.sendHeartbeat("v", withCapacity(nil))
				h.advance(100 * eventloop.Millisecond)
				So(len(h.placements()), ShouldEqual, 1)
				So(h.placements()[0].Worker, ShouldEqual, "v")
			})
			Convey("or there once the first has ended", func() {
				h.syncQueue("l", 10)
				h.sendHeartbeat("w", withCapacity(nil))
				So(len(h.placements()), ShouldEqual, 1)
			})
		})
		Convey("what the worker lists remains the first task's, also if the second is checked out there", func() {
			h.syncQueue("m", 10, taskOf(8, queue.CheckedOut, "w"))
			h.syncQueue("l", 10)
			from := len(h.replies)
			h.sendHeartbeat("w", runs)
			stops := h.ordersOf(from, "stop")
			So(len(stops), ShouldEqual, 1)
			So(stops[0].Queue, ShouldEqual, "l")
			h.sendHeartbeat("w", withCapacity(withEnded(status("done"))))
			for _, report := range h.endReports() {
				So(report.Queue, ShouldNotEqual, "m")
			}
			Convey("and the second is started once the worker lists the first no longer", func() {
				from := len(h.replies)
				h.sendHeartbeat("w", withCapacity(nil))
				starts := h.ordersOf(from, "start")
				So(len(starts), ShouldEqual, 1)
				So(starts[0].Queue, ShouldEqual, "m")
			})
		})
	})
	Convey("Given a task that is checked out to worker v, and a run of the same name on worker w", t, func() {
		h := newHarness("w", "v")
		h.configure(rows, "w", "v")
		h.syncQueue("m", 10, taskOf(8, queue.CheckedOut, "v"))
		Convey("the end of that run isn't the task's", func() {
			h.sendHeartbeat("w", withCapacity(withEnded(status("done"))))
			So(h.endReports(), ShouldBeEmpty)
			h.syncQueue("l", 10, taskOf(7, queue.CheckedOut, "w"))
			h.sendHeartbeat("w", withCapacity(withEnded(status("done"))))
			So(len(h.endReports()), ShouldEqual, 1)
			So(h.endReports()[0].Queue, ShouldEqual, "l")
		})
		Convey("and the run is stopped once all queues are known and it belongs to none", func() {
			from := len(h.replies)
			h.sendHeartbeat("w", runs)
			So(h.ordersOf(from, "stop"), ShouldBeEmpty)
			h.syncQueue("l", 10)
			h.sendHeartbeat("w", runs)
			So(len(h.ordersOf(from, "stop")), ShouldEqual, 1)
		})
	})
}
