package scheduler

import (
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

func TestDeadlineFeasibility(t *testing.T) {
	rows := []*schema.ConfigurationRow{
		{Kind: "queue", Name: "l", Key: "stretch_milli", Value: "1500"},
		{Kind: "queue", Name: "l", Key: "target_ms", Value: "500"},
		{Kind: "queue", Name: "m", Key: "stretch_milli", Value: "1500"},
		{Kind: "queue", Name: "m", Key: "target_ms", Value: "500"},
	}
	step := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 1000, MemoryMb: 10, EstimatedRunUs: int64(eventloop.Second)}
	larger := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 700, MemoryMb: 10, EstimatedRunUs: int64(eventloop.Second)}
	smaller := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 300, MemoryMb: 10, EstimatedRunUs: int64(eventloop.Second)}
	setUp := func() *harness {
		h := newHarness("w")
		h.configure(rows, "w")
		h.sendHeartbeat("w", withNames(func(a *schema.WorkerHeartbeat) { a.Draining = true }))
		return h
	}
	// A step of 1 s that takes all cores is assumed to run in four waves, so its target is
	// 1.5 * 4 s + 0.5 s = 6.5 s, plus the tolerance.
	Convey("Work that can meet its target goes before work that has missed its own by far, even where that is more urgent", t, func() {
		h := setUp()
		h.syncQueue("l", 20, withCriticalPath(newEvent(1, 1, 0, queue.Ready, "", step), 24*eventloop.Second, eventloop.Second))
		h.syncQueue("m", 10, withCriticalPath(newEvent(1, 2, 0, queue.Ready, "", step), 0, eventloop.Second))
		h.sendHeartbeat("w", withNames(nil))
		So(len(h.placements()), ShouldEqual, 1)
		So(h.placements()[0].Key.Job, ShouldEqual, 2)
	})
	// Otherwise less urgent work is started instead and preempted by the next urgent job.
	Convey("but not before more urgent work that is merely late", t, func() {
		h := setUp()
		h.syncQueue("l", 20, withCriticalPath(newEvent(1, 1, 0, queue.Ready, "", step), 12*eventloop.Second, eventloop.Second))
		h.syncQueue("m", 10, withCriticalPath(newEvent(1, 2, 0, queue.Ready, "", step), 0, eventloop.Second))
		h.sendHeartbeat("w", withNames(nil))
		So(len(h.placements()), ShouldEqual, 1)
		So(h.placements()[0].Key.Job, ShouldEqual, 1)
	})
	Convey("Within a queue, work that can meet its target goes before what is late", t, func() {
		h := setUp()
		h.syncQueue("l", 20,
			withCriticalPath(newEvent(1, 1, 0, queue.Ready, "", step), 12*eventloop.Second, eventloop.Second),
			withCriticalPath(newEvent(1, 2, 0, queue.Ready, "", step), 0, eventloop.Second))
		h.sendHeartbeat("w", withNames(nil))
		So(len(h.placements()), ShouldEqual, 1)
		So(h.placements()[0].Key.Job, ShouldEqual, 2)
	})
	Convey("Late work of which little is left goes with the work that can meet its target, while it earns anything", t, func() {
		h := setUp()
		classOf := func(age eventloop.Micros, stepCount, remainingCount int) deadlineFeasibility {
			path := slices.Repeat([]queue.PathStep{{EstimateUs: int64(eventloop.Second)}}, stepCount)
			view := &queueView{name: "l", latencyTarget: h.scheduler.latencyTargetOf("l")}
			readyTask := &task{spec: step, state: queue.Ready, roundDueAt: h.now - age, criticalPath: criticalPath{path, path[:remainingCount]}}
			return h.scheduler.feasibilityOf(h.now, view, readyTask)
		}
		// Four steps of 1 s in a row have a target of 6.5 s, plus the tolerance.
		So(classOf(0, 4, 4), ShouldEqual, onTime)
		So(classOf(7*eventloop.Second, 4, 3), ShouldEqual, late)
		So(classOf(7*eventloop.Second, 4, 2), ShouldEqual, onTime)
		So(classOf(20*eventloop.Second, 4, 2), ShouldEqual, onTime)
		So(classOf(23*eventloop.Second, 4, 1), ShouldEqual, infeasible)
	})
	Convey("Among work that can meet its target urgency decides", t, func() {
		h := setUp()
		h.syncQueue("m", 10, withCriticalPath(newEvent(1, 2, 0, queue.Ready, "", step), 100*eventloop.Millisecond, eventloop.Second))
		h.syncQueue("l", 20, withCriticalPath(newEvent(1, 1, 0, queue.Ready, "", step), 0, eventloop.Second))
		h.sendHeartbeat("w", withNames(nil))
		So(len(h.placements()), ShouldEqual, 1)
		So(h.placements()[0].Key.Job, ShouldEqual, 1)
	})
	Convey("Infeasible work goes last, and only while much of the capacity is free", t, func() {
		h := setUp()
		h.syncQueue("l", 20,
			withCriticalPath(newEvent(1, 1, 0, queue.Ready, "", larger), 60*eventloop.Second, eventloop.Second),
			withCriticalPath(newEvent(1, 2, 0, queue.Ready, "", smaller), 60*eventloop.Second, 2*eventloop.Second), // the same order of magnitude of work, so the older job goes first
		)
		h.sendHeartbeat("w", withNames(nil))
		So(len(h.placements()), ShouldEqual, 1)
		So(h.placements()[0].Key.Job, ShouldEqual, 1)
	})
	Convey("A step wider than a quarter of the cores runs in waves, which its target allows for", t, func() {
		h := setUp()
		h.scheduler.candidateCores = 1000
		view := &queueView{name: "l", latencyTarget: h.scheduler.latencyTargetOf("l")}
		readyTask := &task{spec: step, state: queue.Ready, roundDueAt: h.now - 3*eventloop.Second}
		path := []queue.PathStep{{EstimateUs: int64(eventloop.Second), CoresMilli: 250}}
		readyTask.criticalPath = criticalPath{path, path}
		So(h.scheduler.feasibilityOf(h.now, view, readyTask), ShouldEqual, late)
		path[0].CoresMilli = 500
		So(h.scheduler.feasibilityOf(h.now, view, readyTask), ShouldEqual, onTime)
	})
}
