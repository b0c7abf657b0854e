package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

func TestQueueOrder(t *testing.T) {
	Convey("Queues are served by urgency, equal ones by the longest wait", t, func() {
		h := newHarness("w")
		h.sendHeartbeat("w", func(a *schema.WorkerHeartbeat) { a.Draining = true })
		h.syncQueue("m", 10, newEvent(1, 1, 0, queue.Ready, "", oneTask))
		h.advance(100 * eventloop.Millisecond)
		h.syncQueue("k", 10, newEvent(1, 2, 0, queue.Ready, "", oneTask))
		h.syncQueue("l", 20, newEvent(1, 3, 0, queue.Ready, "", oneTask))
		h.sendHeartbeat("w", nil)
		for _, want := range []struct {
			job   uint64
			queue string
		}{{3, "l"}, {1, "m"}, {2, "k"}} {
			So(len(h.placements()), ShouldEqual, 1)
			So(h.placements()[0].Key.Job, ShouldEqual, want.job)
			// Once this node no longer leads the job's queue, the capacity is free for the next job.
			h.notified = nil
			h.deliver(replica.LeadershipLost{Queue: want.queue})
		}
	})
}

func TestUnplaceableStepsDoNotBlock(t *testing.T) {
	Convey("However many steps fit nowhere, those behind them are looked at before long", t, func() {
		h := newHarness("w")
		h.sendHeartbeat("w", nil)
		var list []*queue.TaskEvent
		for k := uint64(1); k <= 100; k++ {
			huge := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 10_000 + int64(k)}
			list = append(list, newEvent(k, k, 0, queue.Ready, "", huge))
		}
		h.deliverEvents(true, 100, append(list, newEvent(101, 101, 0, queue.Ready, "", oneTask))...)
		for k := 0; k < 3; k++ {
			h.advance(200 * eventloop.Millisecond)
			h.sendHeartbeat("w", nil)
		}
		So(len(h.placements()), ShouldEqual, 1)
		So(h.placements()[0].Key.Job, ShouldEqual, 101)
	})
}

func TestPassCooldown(t *testing.T) {
	// Each of the two workers has capacity for one task; w2 sends its heartbeat in the tests.
	setUp := func(readyCount int) *harness {
		h := newHarness("w1", "w2")
		h.sendHeartbeat("w1", nil)
		var list []*queue.TaskEvent
		for k := 1; k <= readyCount; k++ {
			list = append(list, newEvent(uint64(k), uint64(k), 0, queue.Ready, "", oneTask))
		}
		h.deliverEvents(true, uint64(readyCount), list...)
		So(h.placements(), ShouldHaveLength, 1)
		return h
	}
	Convey("With a backlog a pass comes passCooldown after the one before, and no later", t, func() {
		h := setUp(maxPlacements + 2)
		h.sendHeartbeat("w2", nil)
		So(h.placements(), ShouldHaveLength, 1)
		h.now += passCooldown - 1
		h.deliver(&schema.TaskEndAck{})
		So(h.placements(), ShouldHaveLength, 1)
		h.now++
		h.deliver(&schema.TaskEndAck{})
		So(h.placements(), ShouldHaveLength, 2)
		So(passCooldown, ShouldBeLessThan, TickInterval)
	})
	Convey("Without a backlog capacity is used at once", t, func() {
		h := setUp(maxPlacements + 1)
		h.sendHeartbeat("w2", nil)
		So(h.placements(), ShouldHaveLength, 2)
	})
	Convey("A tick alone causes the pass", t, func() {
		h := setUp(maxPlacements + 2)
		h.sendHeartbeat("w2", nil)
		h.now += TickInterval
		h.deliver(eventloop.Tick{})
		So(h.placements(), ShouldHaveLength, 2)
	})
}
