package scheduler

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

func TestProgressRate(t *testing.T) {
	step := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 100, EstimatedRunUs: 1_000_000}
	setUp := func() *harness {
		h := newQualityHarness(10, step)
		for k := uint64(1); k <= 3; k++ {
			h.deliverNext(newEvent(0, k, 0, queue.CheckedOut, "a", step))
		}
		return h
	}
	// simulate runs three tasks on worker a, each with so much progress per 100 ms.
	simulate := func(h *harness, span eventloop.Micros, percent float64) {
		made := 0.0
		for end := h.now + span; h.now < end; {
			var statuses []*schema.TaskStatus
			for k := 1; k <= 3; k++ {
				statuses = append(statuses, &schema.TaskStatus{Name: fmt.Sprint("j", k), Attempt: 1, State: "running", Percent: int64(made)})
			}
			h.sendHeartbeat("a", withNames(func(a *schema.WorkerHeartbeat) { a.Running = statuses }))
			h.sendHeartbeat("b", withNames(nil))
			h.sendHeartbeat("c", withNames(nil))
			h.advance(100 * eventloop.Millisecond)
			made += percent
		}
	}
	isAside := func(h *harness) bool { return h.now < h.scheduler.workers["a"].ejectedUntil }
	Convey("A worker whose tasks make a fifth of the expected progress is ejected, and they go elsewhere", t, func() {
		h := setUp()
		simulate(h, 1900*eventloop.Millisecond, 2)
		So(isAside(h), ShouldBeTrue)
		So(len(h.ordersOf(0, "stop")), ShouldBeGreaterThanOrEqualTo, 3)
		So(h.scheduler.workers["a"].ejectionPeriod, ShouldEqual, slowEjectionPeriod)
	})
	Convey("One whose tasks make nearly the expected progress isn't", t, func() {
		h := setUp()
		simulate(h, 1500*eventloop.Millisecond, 6)
		So(isAside(h), ShouldBeFalse)
		So(h.ordersOf(0, "stop"), ShouldBeEmpty)
	})
	Convey("A short time without reported progress says nothing", t, func() {
		h := setUp()
		simulate(h, 2*eventloop.Second, 0)
		So(isAside(h), ShouldBeFalse)
		Convey("but after a long time the worker is ejected", func() {
			simulate(h, 1000*eventloop.Millisecond, 0)
			So(isAside(h), ShouldBeTrue)
		})
	})
	Convey("Estimates are trusted until more runs are known, since the short ones finish first", t, func() {
		p := &runtimeModel{isEstimated: true}
		p.observe(16, 12)
		So(p.predict(16), ShouldBeBetween, 15, 16)
		for k := 0; k < 100; k++ {
			p.observe(16, 14)
		}
		So(p.predict(16), ShouldBeBetween, 13.9, 14.2)
	})
}
