package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

func TestLeastWorkFirst(t *testing.T) {
	path := func(cores int64) []queue.PathStep {
		return []queue.PathStep{{EstimateUs: int64(eventloop.Second), CoresMilli: cores}}
	}
	ready := func(job uint64, cores int64, mebibytes int64) *queue.TaskEvent {
		event := newEvent(1, job, 0, queue.Ready, "", &schema.Step{Name: "s", Tasks: 1, CoresMilli: 600, MemoryMb: mebibytes})
		event.CriticalPath, event.RemainingPath = path(cores), path(cores)
		return event
	}
	// The worker takes one task at a time.
	order := func(events ...*queue.TaskEvent) (jobs []uint64) {
		h := newHarness("w")
		h.deliverEvents(true, 1, events...)
		for range events {
			h.notified = nil
			h.sendHeartbeat("w", nil)
			placed := h.placements()[0].Key
			jobs = append(jobs, placed.Job)
			for k, event := range events {
				if event.Key.Job == placed.Job {
					events = append(append([]*queue.TaskEvent{}, events[:k]...), events[k+1:]...)
					break
				}
			}
			h = newHarness("w")
			h.deliverEvents(true, 1, events...)
		}
		return jobs
	}
	Convey("Of a queue's steps those of jobs with less work left go first, whatever their shape", t, func() {
		So(order(ready(1, 32_000, 10), ready(2, 1_000, 10), ready(3, 4_000, 20)), ShouldResemble, []uint64{2, 3, 1})
	})
	Convey("Jobs of about the same size go in the order in which they came", t, func() {
		So(order(ready(1, 3_900, 10), ready(2, 2_100, 20), ready(3, 3_000, 10)), ShouldResemble, []uint64{1, 2, 3})
	})
	Convey("Work without estimates counts as small", t, func() {
		So(workRank(nil), ShouldEqual, 0)
		So(order(ready(1, 8_000, 10), ready(2, 0, 10)), ShouldResemble, []uint64{2, 1})
	})
}
