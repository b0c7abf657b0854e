package scheduler

import (
	"fmt"
	"slices"
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
	// simulate runs three tasks on worker a, each of which progresses by this percentage per 100 ms.
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
	isEjected := func(h *harness) bool { return h.now < h.scheduler.workers["a"].ejectedUntil }
	Convey("A worker whose tasks make a fifth of the expected progress is ejected, and they go elsewhere", t, func() {
		h := setUp()
		simulate(h, 1900*eventloop.Millisecond, 2)
		So(isEjected(h), ShouldBeTrue)
		So(len(h.ordersOf(0, "stop")), ShouldBeGreaterThanOrEqualTo, 3)
		So(h.scheduler.workers["a"].ejectionPeriod, ShouldEqual, slowEjectionPeriod)
	})
	Convey("One whose tasks make nearly the expected progress isn't", t, func() {
		h := setUp()
		simulate(h, 1500*eventloop.Millisecond, 6)
		So(isEjected(h), ShouldBeFalse)
		So(h.ordersOf(0, "stop"), ShouldBeEmpty)
	})
	Convey("A short time without reported progress says nothing", t, func() {
		h := setUp()
		simulate(h, 2*eventloop.Second, 0)
		So(isEjected(h), ShouldBeFalse)
		Convey("but after a long time the worker is ejected", func() {
			simulate(h, 1000*eventloop.Millisecond, 0)
			So(isEjected(h), ShouldBeTrue)
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

// Guards against ejecting sound workers as slow, and stopping their tasks, because a few tasks are long.
func TestSoundWorkersWithLongTasksAreNotSlow(t *testing.T) {
	const estimate = eventloop.Second
	step := &schema.Step{Name: "s", Tasks: 16, CoresMilli: 10, EstimatedRunUs: int64(estimate)}
	// simulate runs tasks on worker a. The speed is relative to a sound worker, on which each task takes the estimate
	// multiplied by one of the factors in runs.
	simulate := func(span eventloop.Micros, speed float64, runs ...float64) *harness {
		h := newQualityHarness(0, step)
		h.finishUnevenSteps("b", 15, estimate)
		h.finishUnevenSteps("c", 15, estimate)
		h.lastJob++
		for k := range runs {
			h.deliverNext(newEvent(0, h.lastJob, uint32(k), queue.CheckedOut, "a", step))
		}
		for start := h.now; h.now < start+span; h.advance(100 * eventloop.Millisecond) {
			var statuses []*schema.TaskStatus
			for k, run := range runs {
				percent := min(99, speed*float64(h.now-start)/float64(estimate)/run*100)
				statuses = append(statuses, &schema.TaskStatus{Name: fmt.Sprint("j", h.lastJob), Task: uint32(k), Attempt: 1, State: "running", Percent: int64(percent)})
			}
			h.sendHeartbeat("a", withNames(func(a *schema.WorkerHeartbeat) { a.Running = statuses }))
			h.sendHeartbeat("b", withNames(nil))
			h.sendHeartbeat("c", withNames(nil))
		}
		return h
	}
	isEjected := func(h *harness) bool { return h.now < h.scheduler.workers["a"].ejectedUntil }
	Convey("Where run times differ much, three tasks that take several times their estimate say little", t, func() {
		h := simulate(2*eventloop.Second, 1, 8, 6, 5)
		So(isEjected(h), ShouldBeFalse)
		So(h.ordersOf(0, "stop"), ShouldBeEmpty)
	})
	Convey("but many tasks that make a tenth of their progress show a slow worker there too", t, func() {
		So(isEjected(simulate(3*eventloop.Second, 0.1, slices.Repeat([]float64{1}, 16)...)), ShouldBeTrue)
	})
}
