package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

func TestEndsAreAcknowledgedWhenApplied(t *testing.T) {
	Convey("An end is told to its leader until the leader says that it was applied, and noted only then", t, func() {
		h := newHarness("v")
		h.announce("v", withNames(nil))
		h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "v", oneTask))
		note := func(state string) *schema.TaskStatus { return &schema.TaskStatus{Name: "j1", Attempt: 1, State: state} }
		h.announce("v", withRunning(note("running")))
		isNoted := func() bool {
			for _, reply := range h.replies {
				if len(reply.GetOrders().GetAcknowledged()) > 0 {
					return true
				}
			}
			return false
		}
		for k := 0; k < 3; k++ {
			h.announce("v", withEnded(note("done")))
			h.advance(maxPollWait + eventloop.Second)
			So(isNoted(), ShouldBeFalse)
			So(len(h.endReports()), ShouldBeGreaterThan, k)
		}
		h.deliver(&schema.TaskEndAck{Queue: "l", Key: &schema.TaskKey{Job: 1}, Attempt: 1, Worker: "v"})
		h.announce("v", withEnded(note("done")))
		h.advance(maxPollWait + eventloop.Second)
		So(isNoted(), ShouldBeTrue)
	})
}

func TestBarrierGangStartsComplete(t *testing.T) {
	gang := &schema.Step{Name: "g", Tasks: 2, CoresMilli: 600, Gang: true}
	withBarrier := withNames(func(a *schema.WorkerHeartbeat) { a.GangBarrier = true })
	Convey("No member of a group is started while another isn't known to be out", t, func() {
		h := newHarness("v", "w")
		h.announce("v", withBarrier)
		h.announce("w", withBarrier)
		h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "v", gang))
		h.announce("v", withBarrier)
		So(h.ordersOf(0, "start"), ShouldBeEmpty)
	})
	Convey("and all are when they are", t, func() {
		h := newHarness("v", "w")
		h.announce("v", withBarrier)
		h.announce("w", withBarrier)
		h.deliverEvents(true, 2, newEvent(1, 1, 0, queue.CheckedOut, "v", gang), newEvent(2, 1, 1, queue.CheckedOut, "w", gang))
		h.advance(maxPollWait)
		h.announce("v", withBarrier)
		h.announce("w", withBarrier)
		So(len(h.ordersOf(0, "start")), ShouldBeGreaterThanOrEqualTo, 2)
	})
	Convey("nor while the worker of another hasn't been heard", t, func() {
		h := newHarness("v", "w")
		h.announce("v", withBarrier)
		h.deliverEvents(true, 2, newEvent(1, 1, 0, queue.CheckedOut, "v", gang), newEvent(2, 1, 1, queue.CheckedOut, "w", gang))
		h.announce("v", withBarrier)
		So(h.ordersOf(0, "start"), ShouldBeEmpty)
	})
}
