package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

func TestPassCooldown(t *testing.T) {
	// One worker has room for one task; the other comes later.
	desk := func(ready int) *harness {
		h := newHarness("w1", "w2")
		h.announce("w1", nil)
		var list []*queue.TaskEvent
		for k := 1; k <= ready; k++ {
			list = append(list, newEvent(uint64(k), uint64(k), 0, queue.Ready, "", oneTask))
		}
		h.deliverEvents(true, uint64(ready), list...)
		So(h.placements(), ShouldHaveLength, 1)
		return h
	}
	Convey("While much waits a pass may come a moment after the one before, and no later", t, func() {
		h := desk(maxPlacements + 2)
		h.announce("w2", nil)
		So(h.placements(), ShouldHaveLength, 1)
		h.now += passCooldown - 1
		h.deliver(&schema.TaskEndAck{})
		So(h.placements(), ShouldHaveLength, 1)
		h.now++
		h.deliver(&schema.TaskEndAck{})
		So(h.placements(), ShouldHaveLength, 2)
		So(passCooldown, ShouldBeLessThan, TickInterval)
	})
	Convey("While little waits room is given out at once", t, func() {
		h := desk(maxPlacements + 1)
		h.announce("w2", nil)
		So(h.placements(), ShouldHaveLength, 2)
	})
	Convey("A tick alone brings the pass about", t, func() {
		h := desk(maxPlacements + 2)
		h.announce("w2", nil)
		h.now += TickInterval
		h.deliver(eventloop.Tick{})
		So(h.placements(), ShouldHaveLength, 2)
	})
}
