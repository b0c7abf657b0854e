package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

func TestHeadroom(t *testing.T) {
	wide := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 900, MemoryMb: 10}
	long := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 700, MemoryMb: 10, EstimatedRunUs: 6_000_000}
	brief := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 700, MemoryMb: 10, EstimatedRunUs: 500_000}
	Convey("Where much capacity is free, work that has waited goes to a worker on probation though others could run it", t, func() {
		h := newHarness("w", "x", "y")
		for _, id := range []string{"w", "x", "y"} {
			h.sendHeartbeat(id, withNames(nil))
		}
		h.syncQueue("l", 20, newEvent(1, 1, 0, queue.CheckedOut, "w", long), newEvent(1, 2, 0, queue.CheckedOut, "x", long))
		h.scheduler.eject(h.now, h.scheduler.workers["y"], baseEjectionPeriod, 1)
		h.syncQueue("m", 20, withCriticalPath(newEvent(1, 3, 0, queue.Ready, "", long), 0, 6*eventloop.Second))
		h.sendHeartbeat("y", withNames(nil))
		So(h.placements(), ShouldBeEmpty)
		for k := 0; k < 6; k++ {
			h.advance(500 * eventloop.Millisecond)
			for _, id := range []string{"w", "x", "y"} {
				h.sendHeartbeat(id, withNames(nil))
			}
		}
		So(h.placements()[0].Worker, ShouldEqual, "y")
	})
	Convey("Long tasks leave free what more urgent work has lately used", t, func() {
		h := newHarness("w")
		h.sendHeartbeat("w", withNames(nil))
		h.syncQueue("l", 20, newEvent(1, 1, 0, queue.CheckedOut, "w", wide))
		h.advance(100 * eventloop.Millisecond)
		h.deliver(replica.TaskEvents{Queue: "l", Group: "l#1", Term: 1, LastSequence: 2, Events: []*queue.TaskEvent{newEvent(2, 1, 0, queue.Inactive, "", wide)}, MaxRunning: 1000, Urgency: 20})
		h.sendHeartbeat("w", withNames(nil))
		h.syncQueue("m", 10, withCriticalPath(newEvent(1, 2, 0, queue.Ready, "", long), 0, 6*eventloop.Second))
		h.sendHeartbeat("w", withNames(nil))
		So(h.placements(), ShouldBeEmpty)
		Convey("but short tasks don't", func() {
			h.syncQueue("k", 10, withCriticalPath(newEvent(1, 3, 0, queue.Ready, "", brief), 0, 500*eventloop.Millisecond))
			h.sendHeartbeat("w", withNames(nil))
			So(len(h.placements()), ShouldEqual, 1)
		})
		Convey("and long ones don't for long where little is in use", func() {
			for k := 0; k < 6; k++ {
				h.advance(500 * eventloop.Millisecond)
				h.sendHeartbeat("w", withNames(nil))
			}
			So(h.placements()[0].Key.Job, ShouldEqual, 2)
		})
	})
}
