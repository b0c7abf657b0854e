package scheduler

import (
	"fmt"
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

// unevenRuns lists run times of one step's tasks as multiples of their estimate. They follow roughly
// a log-normal distribution with a standard deviation of 0.9.
var unevenRuns = []float64{0.25, 0.4, 0.55, 0.75, 1, 1.35, 1.8, 2.5, 4}

// finishUnevenSteps has a worker finish the given number of steps, each with tasks whose run times
// differ as unevenRuns does.
func (h *harness) finishUnevenSteps(worker string, steps int, estimate eventloop.Micros) {
	step := &schema.Step{Name: "s", Tasks: uint32(len(unevenRuns)), CoresMilli: 10, MemoryMb: 1, EstimatedRunUs: int64(estimate)}
	for range steps {
		h.lastJob++
		for k := range unevenRuns {
			h.deliverNext(newEvent(0, h.lastJob, uint32(k), queue.CheckedOut, worker, step))
		}
		for k, ratio := range unevenRuns {
			run := int64(ratio * float64(estimate))
			h.sendHeartbeat(worker, withEnded(&schema.TaskStatus{Name: fmt.Sprint("j", h.lastJob), Task: uint32(k), Attempt: 1, State: "done", RunUs: run}))
			h.deliverNext(newEvent(0, h.lastJob, uint32(k), queue.Inactive, "", step))
		}
	}
}

// Too few of the largest jobs were served: a step was estimated to take as long as a single one of
// its tasks, so wide steps counted as infeasible while they could still meet their targets.
func TestWideStepsAreExpectedToTakeAsLongAsTheirLongestTask(t *testing.T) {
	const estimate = 240 * eventloop.Millisecond
	rows := []*schema.ConfigurationRow{
		{Kind: "queue", Name: "l", Key: "stretch_milli", Value: "1500"},
		{Kind: "queue", Name: "l", Key: "target_ms", Value: "250"},
	}
	setUp := func() (h *harness, classOf func(tasks uint32, age eventloop.Micros) deadlineFeasibility) {
		h = newHarness("w")
		h.configure(rows, "w")
		h.syncQueue("l", 50)
		h.sendHeartbeat("w", withNames(func(a *schema.WorkerHeartbeat) { a.CoresMilli, a.MemoryMb = 1_000_000, 1_000_000 }))
		return h, func(tasks uint32, age eventloop.Micros) deadlineFeasibility {
			h.lastJob++
			step := &schema.Step{Name: "s", Tasks: tasks, CoresMilli: 10_000_000, EstimatedRunUs: int64(estimate)}
			path := []queue.PathStep{{EstimateUs: int64(estimate), CoresMilli: int64(tasks), Tasks: int64(tasks)}}
			for k := range tasks {
				event := newEvent(0, h.lastJob, k, queue.Ready, "", step)
				event.RoundAgeUs, event.CriticalPath, event.RemainingPath = int64(age), path, path
				h.deliverNext(event)
			}
			q := h.scheduler.queues["l"]
			return h.scheduler.feasibilityOf(h.now, q, q.tasks[taskKey{"l", h.lastJob, 0, 0}])
		}
	}
	// The longest of 31 uneven tasks takes about 1.5 s, so the target is 2.5 s, and a job counts as
	// late, not infeasible, up to 7.5 s.
	Convey("Where tasks of a step take about the same time the target goes by the estimate", t, func() {
		_, classOf := setUp()
		So(classOf(1, 0), ShouldEqual, onTime)
		So(classOf(31, 2500*eventloop.Millisecond), ShouldEqual, infeasible)
	})
	Convey("Where they differ it goes by the longest of them, which takes the longer the more there are", t, func() {
		h, classOf := setUp()
		h.finishUnevenSteps("w", 30, estimate)
		So(classOf(31, 800*eventloop.Millisecond), ShouldEqual, onTime)
		So(classOf(31, 2500*eventloop.Millisecond), ShouldEqual, late)
		So(classOf(1, 2500*eventloop.Millisecond), ShouldEqual, infeasible)
		So(classOf(100, 1100*eventloop.Millisecond), ShouldEqual, onTime)
	})
	Convey("What is left of a step takes no longer than the longest of what is left", t, func() {
		h, _ := setUp()
		h.finishUnevenSteps("w", 30, estimate)
		s := h.scheduler
		duration := func(tasks int64) float64 {
			return float64(s.estimateDuration("l", []queue.PathStep{{EstimateUs: int64(estimate), Tasks: tasks}}, 0)) / float64(estimate)
		}
		So(duration(1), ShouldBeBetween, 0.7, 1.4)
		So(duration(31)/duration(1), ShouldBeBetween, 4, 9)
		So(duration(100), ShouldBeGreaterThan, duration(31))
		So(math.IsNaN(duration(0)), ShouldBeFalse)
	})
}

// The last task of a large job waited behind every smaller job, because the tasks of the large job
// that had ended still counted as remaining work.
func TestTheLastTasksOfALargeJobGoFirst(t *testing.T) {
	const large, small = 1, 2
	largeStep := &schema.Step{Name: "s", Tasks: 100, CoresMilli: 600, MemoryMb: 10, EstimatedRunUs: int64(eventloop.Second)}
	smallStep := &schema.Step{Name: "s", Tasks: 4, CoresMilli: 600, MemoryMb: 10, EstimatedRunUs: int64(eventloop.Second)}
	ready := func(job uint64, task uint32, step *schema.Step) *queue.TaskEvent {
		event := newEvent(0, job, task, queue.Ready, "", step)
		path := []queue.PathStep{{EstimateUs: step.EstimatedRunUs, CoresMilli: step.CoresMilli * int64(step.Tasks), Tasks: int64(step.Tasks)}}
		event.CriticalPath, event.RemainingPath = path, path
		return event
	}
	firstPlaced := func(unendedOfLarge uint32) uint64 {
		h := newHarness("w")
		h.deliverEvents(true, 0)
		for k := range uint32(4) {
			h.deliverNext(ready(small, k, smallStep))
		}
		for k := range unendedOfLarge {
			h.deliverNext(ready(large, k, largeStep))
		}
		h.sendHeartbeat("w", nil)
		return h.placements()[0].Key.Job
	}
	Convey("Of a job of 100 tasks 98 have ended: the others go before a job of 4 tasks", t, func() {
		So(firstPlaced(2), ShouldEqual, large)
	})
	Convey("but as long as it has more to do than that one, it goes after it", t, func() {
		So(firstPlaced(50), ShouldEqual, small)
	})
}
