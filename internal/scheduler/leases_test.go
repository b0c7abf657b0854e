package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

func TestLostOnlyAfterLeaseExpiry(t *testing.T) {
	Convey("An unresponsive worker's task is returned after lease and margin, not before", t, func() {
		h := newHarness("w")
		h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "w", oneTask))
		h.now += 2 * eventloop.Second
		h.confirmLeadership(true)
		h.sendHeartbeat("w", nil)
		answered := h.now
		for h.now < answered+5*eventloop.Second {
			h.now += 100 * eventloop.Millisecond
			h.confirmLeadership(true)
			h.deliver(eventloop.Tick{})
			So(len(h.endReports()), ShouldEqual, 0)
		}
		h.now += 100 * eventloop.Millisecond
		h.confirmLeadership(true)
		h.deliver(eventloop.Tick{})
		So(len(h.endReports()), ShouldEqual, 1)
		So(h.endReports()[0].Outcome, ShouldEqual, "lost")
	})
	Convey("The heartbeat of a new incarnation returns the old one's tasks at once", t, func() {
		h := newHarness("w")
		h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "w", oneTask))
		h.sendHeartbeat("w", nil)
		h.sendHeartbeat("w", func(a *schema.WorkerHeartbeat) { a.Incarnation = 2 })
		So(len(h.endReports()), ShouldEqual, 1)
	})
	Convey("A new holder of the worker lease waits for what the former may still have granted", t, func() {
		h := newHarness("w")
		h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "w", oneTask))
		began := h.now
		for len(h.endReports()) == 0 && h.now < began+20*eventloop.Second {
			h.now += 100 * eventloop.Millisecond
			h.confirmLeadership(true)
			h.deliver(eventloop.Tick{})
		}
		So(h.now-began, ShouldBeGreaterThan, 6250*eventloop.Millisecond)
		So(h.now-began, ShouldBeLessThan, 7*eventloop.Second)
	})
}

func TestLostOnlyWithCurrentClusterState(t *testing.T) {
	Convey("A scheduler without a current cluster state takes no worker for lost", t, func() {
		h := newHarness("w")
		h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "w", oneTask))
		h.sendHeartbeat("w", nil)
		for k := 0; k < 100; k++ {
			h.now += 100 * eventloop.Millisecond
			h.confirmLeadership(false)
			h.deliver(eventloop.Tick{})
		}
		So(h.endReports(), ShouldBeEmpty)
		// A scheduler whose process was frozen finds an old status in its mailbox, which must not count as current.
		h.deliver(replica.LeadershipStatus{Terms: map[string]uint64{"l#1": 1}, IsClusterStateFresh: true, TakenAt: h.now - 3*eventloop.Second})
		h.deliver(eventloop.Tick{})
		So(h.endReports(), ShouldBeEmpty)
		h.confirmLeadership(true)
		h.deliver(eventloop.Tick{})
		So(len(h.endReports()), ShouldEqual, 1)
		So(h.endReports()[0].Outcome, ShouldEqual, "lost")
	})
}

func TestReturnedAttemptsDontStart(t *testing.T) {
	Convey("An attempt that was reported as lost isn't started on its worker any more, though the worker is back before that is committed", t, func() {
		h := newHarness("w")
		h.sendHeartbeat("w", withNames(nil))
		h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "w", oneTask))
		h.advance(10 * eventloop.Second)
		So(h.endReports(), ShouldNotBeEmpty)
		So(h.endReports()[0].Outcome, ShouldEqual, outcomeLost)
		from := len(h.replies)
		for range 3 {
			h.sendHeartbeat("w", withNames(nil))
			h.advance(maxPollWait)
		}
		So(h.ordersOf(from, "start"), ShouldBeEmpty)
		So(h.ordersOf(from, "stop"), ShouldNotBeEmpty)
		Convey("nor when the whole list of tasks comes again", func() {
			from := len(h.replies)
			h.deliverEvents(true, 2, newEvent(2, 1, 0, queue.CheckedOut, "w", oneTask))
			h.sendHeartbeat("w", withNames(nil))
			So(h.ordersOf(from, "start"), ShouldBeEmpty)
		})
		Convey("but the next attempt is", func() {
			next := newEvent(2, 1, 0, queue.CheckedOut, "w", oneTask)
			next.Attempt = 2
			h.deliverEvents(false, 2, next)
			from := len(h.replies)
			h.sendHeartbeat("w", withNames(nil))
			So(len(h.ordersOf(from, "start")), ShouldEqual, 1)
		})
	})
}
