package scheduler

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

func TestWideStepsAreNotStarved(t *testing.T) {
	Convey("A gang that has waited has workers kept free of what comes after it", t, func() {
		for _, urgency := range []int64{10, 5} {
			h := newHarness("v", "w")
			gang := &schema.Step{Name: "g", Tasks: 2, CoresMilli: 900, Gang: true}
			small := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 500}
			h.syncQueue("k", 10, newEvent(1, 1, 0, queue.CheckedOut, "v", small))
			busy := func(a *schema.WorkerHeartbeat) {
				a.Running = []*schema.TaskStatus{{Queue: "k", Job: 1, Attempt: 1, State: "running", CoresMilli: 500}}
			}
			h.sendHeartbeat("v", busy)
			h.sendHeartbeat("w", nil)
			h.syncQueue("l", 10, newEvent(1, 5, 0, queue.Ready, "", gang), newEvent(1, 5, 1, queue.Ready, "", gang))
			So(h.placements(), ShouldBeEmpty)
			h.advance(1600 * eventloop.Millisecond)
			h.sendHeartbeat("v", busy)
			h.sendHeartbeat("w", nil)
			h.syncQueue("m", urgency, newEvent(1, 6, 0, queue.Ready, "", small))
			So(h.placements(), ShouldBeEmpty)
			Convey(fmt.Sprint("until it fits, before urgency ", urgency), func() {
				h.sendHeartbeat("v", func(a *schema.WorkerHeartbeat) {
					a.Ended = []*schema.TaskStatus{{Queue: "k", Job: 1, Attempt: 1, State: "done"}}
				})
				So(len(h.placements()), ShouldEqual, 2)
				So(h.placements()[0].Key.Job, ShouldEqual, 5)
			})
			Convey(fmt.Sprint("but not of what is more urgent than ", urgency), func() {
				h.syncQueue("m", 20, newEvent(1, 6, 0, queue.Ready, "", small))
				So(len(h.placements()), ShouldEqual, 1)
				So(h.placements()[0].Key.Job, ShouldEqual, 6)
			})
		}
	})
	Convey("Steps that don't fit don't block one that does", t, func() {
		h := newHarness("w")
		h.sendHeartbeat("w", nil)
		var list []*queue.TaskEvent
		for job := uint64(1); job <= 40; job++ {
			list = append(list, newEvent(job, job, 0, queue.Ready, "", &schema.Step{Name: "s", Tasks: 1, CoresMilli: 5000}))
		}
		h.deliverEvents(true, 41, append(list, newEvent(41, 50, 0, queue.Ready, "", oneTask))...)
		So(len(h.placements()), ShouldEqual, 1)
		So(h.placements()[0].Key.Job, ShouldEqual, 50)
	})
}
