package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

func TestCheckoutBeforeOrder(t *testing.T) {
	Convey("A start order leaves only once its checkout has been applied", t, func() {
		h := newHarness("w")
		h.sendHeartbeat("w", nil)
		So(h.lastReply().Orders.FencingToken, ShouldEqual, 1) // the first response tells the worker at once who holds its lease
		h.sendHeartbeat("w", nil)
		h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.Ready, "", oneTask))
		So(len(h.placements()), ShouldEqual, 1)
		So(len(h.replies), ShouldEqual, 1)
		h.deliverEvents(false, 2, newEvent(2, 1, 0, queue.CheckedOut, "w", oneTask))
		So(len(h.replies), ShouldEqual, 2)
		So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "start")
		Convey("not without a lately confirmed leadership", func() {
			h := newHarness("w")
			h.sendHeartbeat("w", nil)
			h.sendHeartbeat("w", nil)
			h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "w", oneTask))
			So(len(h.lastReply().Orders.Orders), ShouldEqual, 1)
			h.now += maxLeadershipAge
			h.sendHeartbeat("w", nil)
			So(h.lastReply().Orders, ShouldBeNil) // the response doesn't grant the lease to run tasks either
		})
		Convey("not to a worker that drains", func() {
			h.sendHeartbeat("w", func(a *schema.WorkerHeartbeat) { a.Draining = true })
			So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "stop")
			h.notified = nil
			h.deliverEvents(false, 3, newEvent(3, 2, 0, queue.Ready, "", oneTask))
			So(len(h.placements()), ShouldEqual, 0)
		})
		Convey("and never two for the same capacity", func() {
			h.notified = nil
			h.deliverEvents(false, 4, newEvent(3, 2, 0, queue.Ready, "", oneTask), newEvent(4, 3, 0, queue.Ready, "", oneTask))
			So(len(h.placements()), ShouldEqual, 0)
			h.sendHeartbeat("w", func(a *schema.WorkerHeartbeat) {
				a.Ended = []*schema.TaskStatus{{Queue: "l", Job: 1, Attempt: 1, State: "done"}}
			})
			So(len(h.endReports()), ShouldEqual, 1)
			So(len(h.placements()), ShouldEqual, 1) // the reported end frees the worker's capacity
		})
	})
}

func TestAcknowledgedBeforeItsEvent(t *testing.T) {
	Convey("A task whose end is acknowledged isn't started again while the event of its end is on the way", t, func() {
		h := newHarness("w")
		h.sendHeartbeat("w", nil)
		h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "w", oneTask))
		h.sendHeartbeat("w", func(a *schema.WorkerHeartbeat) {
			a.Ended = []*schema.TaskStatus{{Queue: "l", Job: 1, Attempt: 1, State: "stopped"}}
		})
		h.deliver(&schema.TaskEndAck{Queue: "l", Key: &schema.TaskKey{Job: 1}, Attempt: 1, Worker: "w"})
		So(len(h.lastReply().Orders.Acknowledged), ShouldEqual, 1)
		from := len(h.replies)
		h.sendHeartbeat("w", nil)
		h.advance(600 * eventloop.Millisecond)
		So(h.ordersOf(from, "start"), ShouldBeEmpty)
		next := newEvent(2, 1, 0, queue.CheckedOut, "w", oneTask)
		next.Attempt = 2
		h.deliverEvents(false, 2, next)
		h.sendHeartbeat("w", nil)
		So(len(h.ordersOf(from, "start")), ShouldEqual, 1)
	})
}
