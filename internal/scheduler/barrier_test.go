package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

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
	ended := func(task uint32, state string) func(*schema.WorkerHeartbeat) {
		return withBarrier(func(a *schema.WorkerHeartbeat) { a.Ended = []*schema.TaskStatus{member(task, state)} })
	}
	begin := func() *harness {
		h := newHarness("v", "w")
		h.sendHeartbeat("v", withBarrier(nil))
		h.deliverEvents(true, 2, newEvent(1, 1, 0, queue.Ready, "", gang), newEvent(2, 1, 1, queue.Ready, "", gang))
		So(h.placements(), ShouldBeEmpty)
		h.sendHeartbeat("w", withBarrier(nil))
		So(len(h.placements()), ShouldEqual, 2)
		h.sendHeartbeat("v", withBarrier(nil))
		h.sendHeartbeat("w", withBarrier(nil))
		count := len(h.replies)
		h.deliverEvents(false, 4, newEvent(3, 1, 0, queue.CheckedOut, "v", gang), newEvent(4, 1, 1, queue.CheckedOut, "w", gang))
		So(len(h.ordersOf(count, "start")), ShouldEqual, 2)
		So(h.ordersOf(0, "hold"), ShouldBeEmpty)
		return h
	}
	Convey("A gang whose workers have a barrier starts as a whole right after its checkout, without a committed gang start", t, func() {
		h := begin()
		h.sendHeartbeat("v", run(0))
		h.sendHeartbeat("w", run(1))
		h.advance(100 * eventloop.Millisecond)
		for _, tell := range h.notified {
			if propose, ok := tell.(replica.Propose); ok {
				So(propose.Command.GetStartGang(), ShouldBeNil)
			}
		}
		Convey("and one member's success is reported as the gang's", func() {
			h.sendHeartbeat("v", ended(0, "done"))
			So(h.endReports()[0].WholeGang, ShouldBeTrue)
			So(h.ordersOf(0, "stop"), ShouldBeEmpty)
		})
	})
	Convey("When a worker rejects a member, the other members are stopped at once", t, func() {
		for _, outcome := range []string{"stopped", "failed", "alone", "broken", "lapsed"} {
			h := begin()
			h.sendHeartbeat("v", run(0))
			count := len(h.replies)
			h.sendHeartbeat("w", ended(1, outcome))
			So(h.endReports()[0].Outcome, ShouldEqual, outcome)
			So(h.endReports()[0].WholeGang, ShouldBeFalse)
			So(len(h.ordersOf(count, "stop")), ShouldEqual, 1)
			So(h.ordersOf(count, "stop")[0].Task, ShouldEqual, 0)
		}
	})
	Convey("When a member's worker drains before the member began, the others are stopped and nothing is started", t, func() {
		h := begin()
		h.sendHeartbeat("v", run(0))
		count := len(h.replies)
		h.sendHeartbeat("w", withBarrier(func(a *schema.WorkerHeartbeat) { a.Draining = true }))
		So(len(h.ordersOf(count, "stop")), ShouldEqual, 2)
		So(h.ordersOf(count, "start"), ShouldBeEmpty)
	})
	Convey("When a member doesn't begin in time, the others are stopped", t, func() {
		h := begin()
		count := len(h.replies)
		for k := 0; k < 25; k++ {
			h.sendHeartbeat("v", run(0))
			h.sendHeartbeat("w", withBarrier(nil))
			h.advance(100 * eventloop.Millisecond)
		}
		stops := map[uint32]bool{}
		for _, order := range h.ordersOf(count, "stop") {
			stops[order.Task] = true
		}
		So(len(stops), ShouldEqual, 2)
	})
	Convey("Nothing is started when the worker of another member drains", t, func() {
		h := newHarness("v", "w")
		h.sendHeartbeat("w", withBarrier(func(a *schema.WorkerHeartbeat) { a.Draining = true }))
		h.deliverEvents(true, 2, newEvent(1, 1, 0, queue.CheckedOut, "v", gang), newEvent(2, 1, 1, queue.CheckedOut, "w", gang))
		h.sendHeartbeat("v", withBarrier(nil))
		h.sendHeartbeat("v", withBarrier(nil))
		So(h.ordersOf(0, "start"), ShouldBeEmpty)
		So(len(h.ordersOf(0, "stop")), ShouldBeGreaterThan, 1)
	})
}

func TestBarrierGangStartsComplete(t *testing.T) {
	gang := &schema.Step{Name: "g", Tasks: 2, CoresMilli: 600, Gang: true}
	withBarrier := withNames(func(a *schema.WorkerHeartbeat) { a.GangBarrier = true })
	Convey("No member of a gang is started while another isn't checked out", t, func() {
		h := newHarness("v", "w")
		h.sendHeartbeat("v", withBarrier)
		h.sendHeartbeat("w", withBarrier)
		h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "v", gang))
		h.sendHeartbeat("v", withBarrier)
		So(h.ordersOf(0, "start"), ShouldBeEmpty)
	})
	Convey("and all members are started once all are checked out", t, func() {
		h := newHarness("v", "w")
		h.sendHeartbeat("v", withBarrier)
		h.sendHeartbeat("w", withBarrier)
		h.deliverEvents(true, 2, newEvent(1, 1, 0, queue.CheckedOut, "v", gang), newEvent(2, 1, 1, queue.CheckedOut, "w", gang))
		h.advance(maxPollWait)
		h.sendHeartbeat("v", withBarrier)
		h.sendHeartbeat("w", withBarrier)
		So(len(h.ordersOf(0, "start")), ShouldBeGreaterThanOrEqualTo, 2)
	})
	Convey("nor is one started while the worker of another has sent no heartbeat", t, func() {
		h := newHarness("v", "w")
		h.sendHeartbeat("v", withBarrier)
		h.deliverEvents(true, 2, newEvent(1, 1, 0, queue.CheckedOut, "v", gang), newEvent(2, 1, 1, queue.CheckedOut, "w", gang))
		h.sendHeartbeat("v", withBarrier)
		So(h.ordersOf(0, "start"), ShouldBeEmpty)
	})
}
