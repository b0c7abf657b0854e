package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

// reports returns the pool reports so far.
func (h *harness) reports() (reports []PoolReport) {
	for _, message := range h.notified {
		if report, ok := message.(PoolReport); ok {
			reports = append(reports, report)
		}
	}
	return reports
}

// reportedSizes returns the size reports of all pool reports so far.
func (h *harness) reportedSizes() (sizes []SizeReport) {
	for _, report := range h.reports() {
		for _, q := range report.Queues {
			sizes = append(sizes, q.Sizes...)
		}
	}
	return sizes
}

func TestPoolReports(t *testing.T) {
	Convey("A report says what the cores do, and how the steps went that have ended, by size", t, func() {
		h := newHarness("w1")
		step := &schema.Step{Name: "s", Tasks: 2, CoresMilli: 600, MemoryMb: 100, EstimatedRunUs: int64(eventloop.Second)}
		path := []queue.PathStep{{EstimateUs: step.EstimatedRunUs, CoresMilli: 1200}}
		event := func(sequence uint64, task uint32, state queue.Status) *queue.TaskEvent {
			e := newEvent(sequence, 1, task, state, "w1", step)
			e.CriticalPath, e.RemainingPath = path, path
			return e
		}
		h.advance(reportInterval)
		So(h.reports(), ShouldBeEmpty)
		h.sendHeartbeat("w1", nil)
		h.syncQueue("l", 50, event(1, 0, queue.Ready), event(1, 1, queue.Ready))
		h.deliverEvents(false, 2, event(2, 0, queue.CheckedOut))
		h.advance(eventloop.Second / 2)
		failed := event(3, 0, queue.Ready)
		failed.Attempt, failed.Failures = 2, 1
		h.deliverEvents(false, 3, failed)
		again := event(4, 0, queue.CheckedOut)
		again.Attempt, again.Failures = 2, 1
		h.deliverEvents(false, 5, again, event(5, 1, queue.CheckedOut))
		h.advance(eventloop.Second / 2)
		h.deliverEvents(false, 7, event(6, 0, queue.Inactive), event(7, 1, queue.Inactive))
		h.advance(reportInterval)
		sizes := h.reportedSizes()
		So(len(sizes), ShouldEqual, 1)
		size := sizes[0]
		So(size.CoreSeconds, ShouldEqual, 2)
		So(size.Steps, ShouldEqual, 1)
		So(size.Reruns, ShouldResemble, rerunCounts{Failed: 1})
		So(size.FirstPlaced, ShouldEqual, 0)
		So(size.LastPlaced, ShouldEqual, eventloop.Second/2)
		So(size.Ended, ShouldEqual, eventloop.Second)
		So(size.RoundsOnTime+size.RoundsLate+size.RoundsMissed, ShouldEqual, 1)
		Convey("and the next one doesn't say it again", func() {
			h.advance(2 * reportInterval)
			So(len(h.reportedSizes()), ShouldEqual, 1)
		})
	})
	Convey("Cores that tasks may use are told from those that nothing may", t, func() {
		h := newHarness("w1", "w2")
		h.syncQueue("l", 50, newEvent(1, 1, 0, queue.Ready, "", &schema.Step{Name: "s", Tasks: 1, CoresMilli: 2000, MemoryMb: 100}))
		h.sendHeartbeat("w1", nil)
		h.sendHeartbeat("w2", func(a *schema.WorkerHeartbeat) { a.Draining = true })
		h.advance(reportInterval / 2)
		h.sendHeartbeat("w1", nil)
		h.advance(reportInterval / 2)
		reports := h.reports()
		So(len(reports), ShouldEqual, 1)
		So(reports[0].Cores, ShouldResemble, PoolCores{Total: 2000, Free: 1000, Draining: 1000})
		So(reports[0].Queues[0].Waiting, ShouldResemble, WaitingCores{OnTime: 2000})
	})
}
