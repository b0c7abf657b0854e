package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

func TestGangsAreHeldFirst(t *testing.T) {
	gang := &schema.Step{Name: "g", Tasks: 2, CoresMilli: 600, MemoryMb: 1, Gang: true}
	held := func(task uint32) func(*schema.WorkerHeartbeat) {
		return func(a *schema.WorkerHeartbeat) {
			a.Running = []*schema.TaskStatus{{Queue: "l", Job: 1, Task: task, Attempt: 1, State: "held", CoresMilli: 600, MemoryMb: 1}}
		}
	}
	Convey("A gang is checked out as a whole, held by all its workers, then started", t, func() {
		h := newHarness("v", "w")
		h.sendHeartbeat("v", nil)
		h.deliverEvents(true, 2, newEvent(1, 1, 0, queue.Ready, "", gang), newEvent(2, 1, 1, queue.Ready, "", gang))
		So(len(h.placements()), ShouldEqual, 0) // one worker can't run both members
		h.sendHeartbeat("w", nil)
		So(len(h.placements()), ShouldEqual, 2)
		h.deliverEvents(false, 4, newEvent(3, 1, 0, queue.CheckedOut, "v", gang), newEvent(4, 1, 1, queue.CheckedOut, "w", gang))
		h.sendHeartbeat("v", nil)
		So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "hold")
		h.sendHeartbeat("v", held(0))
		h.sendHeartbeat("w", nil)
		So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "hold")
		// While a worker has no poll open, its start order would leave later than the others', so
		// no start is proposed yet.
		h.deliver(&schema.TaskEndAck{Queue: "l", Key: &schema.TaskKey{Job: 9}, Attempt: 1, Worker: "v"})
		h.now += maxPollWait
		h.confirmLeadership(true)
		h.deliver(eventloop.Tick{})
		h.notified = nil
		h.sendHeartbeat("w", held(1))
		So(h.notified, ShouldBeEmpty)
		h.sendHeartbeat("v", held(0))
		// Once all are held, the gang start is proposed; no start order leaves before its commit.
		count := len(h.replies)
		start := h.notified[len(h.notified)-1].(replica.Propose).Command.GetStartGang()
		So(start.GetAttempts(), ShouldResemble, []uint32{1, 1})
		So(len(h.replies), ShouldEqual, count)
		one, two := newEvent(5, 1, 0, queue.CheckedOut, "v", gang), newEvent(6, 1, 1, queue.CheckedOut, "w", gang)
		one.IsGangStarted, two.IsGangStarted = true, true
		Convey("all at once when the gang start is applied", func() {
			h.deliverEvents(false, 6, one, two)
			So(len(h.replies), ShouldEqual, count+2)
			So(h.replies[count].Orders.Orders[0].Action, ShouldEqual, "start")
			So(h.replies[count+1].Orders.Orders[0].Action, ShouldEqual, "start")
		})
		Convey("and by another scheduler, which never saw them held, when this one is gone", func() {
			h = newHarness("v", "w")
			h.deliverEvents(true, 6, one, two)
			h.sendHeartbeat("v", func(a *schema.WorkerHeartbeat) { held(0)(a); a.Running[0].State = "running" })
			h.sendHeartbeat("w", held(1))
			So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "start")
			So(h.lastReply().Orders.Orders[0].Task, ShouldEqual, 1)
		})
		Convey("before the failure of a member breaks it up", func() {
			h = newHarness("v", "w")
			h.deliverEvents(true, 6, one, two)
			h.sendHeartbeat("w", held(1)) // its start order is lost
			h.notified = nil
			h.sendHeartbeat("v", func(a *schema.WorkerHeartbeat) {
				a.Ended = []*schema.TaskStatus{{Queue: "l", Job: 1, Attempt: 1, State: "failed"}}
			})
			So(h.notified, ShouldBeEmpty)
			h.sendHeartbeat("w", held(1))
			So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "start")
			h.sendHeartbeat("w", func(a *schema.WorkerHeartbeat) { held(1)(a); a.Running[0].State = "running" })
			h.deliver(eventloop.Tick{})
			So(h.notified[len(h.notified)-1].(replica.TasksEnded).Reports[0].Outcome, ShouldEqual, "failed")
		})
		Convey("also on a worker that has only just reported that it drains, but not later", func() {
			h = newHarness("v", "w")
			h.deliverEvents(true, 6, one, two)
			h.sendHeartbeat("w", func(a *schema.WorkerHeartbeat) { held(1)(a); a.Draining = true })
			So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "start")
			h.now += drainStartGrace
			h.confirmLeadership(true)
			h.sendHeartbeat("w", func(a *schema.WorkerHeartbeat) { held(1)(a); a.Draining = true })
			So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "stop")
		})
		Convey("and a worker that drains before the gang start has the gang stopped", func() {
			h.sendHeartbeat("w", func(a *schema.WorkerHeartbeat) { held(1)(a); a.Draining = true })
			h.deliver(eventloop.Tick{})
			So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "stop")
		})
	})
	Convey("A gang that isn't held by all its workers in time is stopped", t, func() {
		h := newHarness("v", "w")
		h.deliverEvents(true, 2, newEvent(1, 1, 0, queue.CheckedOut, "v", gang), newEvent(2, 1, 1, queue.CheckedOut, "w", gang))
		h.sendHeartbeat("w", nil)
		h.now += gangHoldTimeout + eventloop.Millisecond
		h.confirmLeadership(true)
		h.sendHeartbeat("v", held(0))
		h.sendHeartbeat("v", held(0))
		h.deliver(eventloop.Tick{})
		So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "stop")
	})
}
