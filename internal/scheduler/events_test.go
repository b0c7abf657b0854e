package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
)

func TestEventGapTriggersQuery(t *testing.T) {
	Convey("When an event is missing, the whole list is requested, and no later event is applied before it arrives", t, func() {
		h := newHarness("w")
		h.sendHeartbeat("w", nil)
		h.sendHeartbeat("w", nil)
		h.deliverEvents(true, 0)
		h.deliverEvents(false, 2, newEvent(2, 1, 0, queue.CheckedOut, "w", oneTask))
		query, ok := h.notified[len(h.notified)-1].(replica.ResyncQueue)
		So(ok, ShouldBeTrue)
		So(query.Group, ShouldEqual, "l#1")
		So(len(h.replies), ShouldEqual, 1)
		h.deliverEvents(true, 2, newEvent(2, 1, 0, queue.CheckedOut, "w", oneTask))
		So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "start")
		// An event with a sequence number that was already applied is ignored.
		h.deliverEvents(false, 2, newEvent(2, 1, 0, queue.Inactive, "", oneTask))
		So(len(h.scheduler.queues["l"].tasks), ShouldEqual, 1)
	})
}
