package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

func TestPassesRest(t *testing.T) {
	// One worker has room for one task; the other comes later.
	desk := func(ready int) *desk {
		d := newDesk("w1", "w2")
		d.announce("w1", nil)
		var list []*queue.TaskEvent
		for k := 1; k <= ready; k++ {
			list = append(list, shift(uint64(k), uint64(k), 0, queue.Ready, "", one))
		}
		d.shifts(true, uint64(ready), list...)
		So(d.picks(), ShouldHaveLength, 1)
		return d
	}
	Convey("While much waits a pass may come a moment after the one before, and no later", t, func() {
		d := desk(maxPicks + 2)
		d.announce("w2", nil)
		So(d.picks(), ShouldHaveLength, 1)
		d.now += passRest - 1
		d.step(&schema.TaskEndAck{})
		So(d.picks(), ShouldHaveLength, 1)
		d.now++
		d.step(&schema.TaskEndAck{})
		So(d.picks(), ShouldHaveLength, 2)
		So(passRest, ShouldBeLessThan, Pace)
	})
	Convey("While little waits room is given out at once", t, func() {
		d := desk(maxPicks + 1)
		d.announce("w2", nil)
		So(d.picks(), ShouldHaveLength, 2)
	})
	Convey("A tick alone brings the pass about", t, func() {
		d := desk(maxPicks + 2)
		d.announce("w2", nil)
		d.now += Pace
		d.step(eventloop.Tick{})
		So(d.picks(), ShouldHaveLength, 2)
	})
}
