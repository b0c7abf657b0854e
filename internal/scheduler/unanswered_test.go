package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

func TestUnansweredWorkerIsUnresponsive(t *testing.T) {
	Convey("A worker that is heard, but hears nothing itself, counts as silent", t, func() {
		h := newHarness("w")
		h.announce("w", nil)
		h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "w", oneTask))
		h.now += 2 * eventloop.Second
		h.confirmLeadership(true)
		h.announce("w", nil)
		So(h.lastReply().Orders.Orders, ShouldHaveLength, 1)
		answered := h.now
		deaf := func(a *schema.WorkerHeartbeat) { a.Unanswered = true }
		for h.now < answered+5*eventloop.Second {
			h.now += 100 * eventloop.Millisecond
			h.confirmLeadership(true)
			h.announce("w", deaf)
			// That grants nothing, so the lease ends by the last answer before.
			So(h.lastReply().Orders, ShouldBeNil)
			h.deliver(eventloop.Tick{})
			So(h.endReports(), ShouldBeEmpty)
		}
		h.now += 100 * eventloop.Millisecond
		h.confirmLeadership(true)
		h.announce("w", deaf)
		h.deliver(eventloop.Tick{})
		So(h.endReports(), ShouldHaveLength, 1)
		So(h.endReports()[0].Outcome, ShouldEqual, "lost")
		Convey("and gets nothing new until it hears again", func() {
			h.deliverEvents(false, 2, newEvent(2, 1, 0, queue.Ready, "", oneTask))
			So(h.placements(), ShouldBeEmpty)
			h.announce("w", nil)
			h.deliver(eventloop.Tick{})
			So(h.placements(), ShouldHaveLength, 1)
		})
	})
}
