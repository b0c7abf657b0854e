package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

func TestEndsAreAcknowledgedWhenApplied(t *testing.T) {
	Convey("An end is reported to the queue's leader until that has applied it, and acknowledged to the worker only then", t, func() {
		h := newHarness("v")
		h.sendHeartbeat("v", withNames(nil))
		h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "v", oneTask))
		status := func(state string) *schema.TaskStatus { return &schema.TaskStatus{Name: "j1", Attempt: 1, State: state} }
		h.sendHeartbeat("v", withRunning(status("running")))
		isAcknowledged := func() bool {
			for _, reply := range h.replies {
				if len(reply.GetOrders().GetAcknowledged()) > 0 {
					return true
				}
			}
			return false
		}
		for k := 0; k < 3; k++ {
			h.sendHeartbeat("v", withEnded(status("done")))
			h.advance(maxPollWait + eventloop.Second)
			So(isAcknowledged(), ShouldBeFalse)
			So(len(h.endReports()), ShouldBeGreaterThan, k)
		}
		h.deliver(&schema.TaskEndAck{Queue: "l", Key: &schema.TaskKey{Job: 1}, Attempt: 1, Worker: "v"})
		h.sendHeartbeat("v", withEnded(status("done")))
		h.advance(maxPollWait + eventloop.Second)
		So(isAcknowledged(), ShouldBeTrue)
	})
	Convey("An attempt that was reported as lapsed and turns out to have failed is reported again, and only that is acknowledged", t, func() {
		h := newHarness("v")
		h.sendHeartbeat("v", withNames(nil))
		h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "v", oneTask))
		status := func(state string) *schema.TaskStatus { return &schema.TaskStatus{Name: "j1", Attempt: 1, State: state} }
		acknowledge := func(outcome string) {
			h.deliver(&schema.TaskEndAck{Queue: "l", Key: &schema.TaskKey{Job: 1}, Attempt: 1, Worker: "v", Outcome: outcome})
		}
		acknowledged := func() (states []string) {
			for _, reply := range h.replies {
				for _, end := range reply.GetOrders().GetAcknowledged() {
					states = append(states, end.State)
				}
			}
			return states
		}
		h.sendHeartbeat("v", withEnded(status("lapsed")))
		h.sendHeartbeat("v", withEnded(status("failed")))
		So(h.endReports()[0].Outcome, ShouldEqual, "lapsed")
		So(h.endReports()[1].Outcome, ShouldEqual, "failed")
		acknowledge("lapsed")
		h.advance(maxPollWait + eventloop.Second)
		So(acknowledged(), ShouldBeEmpty)
		h.sendHeartbeat("v", withEnded(status("failed")))
		acknowledge("failed")
		h.advance(100 * eventloop.Millisecond)
		So(acknowledged(), ShouldResemble, []string{"failed"})
	})
}

func TestEndsAreReportedInOrder(t *testing.T) {
	Convey("The ends of several attempts of one task are reported by attempt", t, func() {
		for range 20 {
			h := newHarness("v")
			h.sendHeartbeat("v", nil)
			h.deliverEvents(true, 0)
			h.notified = nil
			h.sendHeartbeat("v", func(a *schema.WorkerHeartbeat) {
				for attempt := uint32(5); attempt >= 1; attempt-- {
					a.Ended = append(a.Ended, &schema.TaskStatus{Queue: "l", Job: 1, Attempt: attempt, State: "failed"})
				}
			})
			for k, end := range h.endReports() {
				So(end.Attempt, ShouldEqual, k+1)
			}
		}
	})
}

func TestLostTasksAreCountedOnce(t *testing.T) {
	Convey("A lost task counts once, however often its loss is reported", t, func() {
		h := newHarness("v")
		h.sendHeartbeat("v", withNames(nil))
		h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "v", oneTask))
		h.advance(20 * eventloop.Second)
		So(len(h.endReports()), ShouldBeGreaterThan, 5)
		So(h.scheduler.counts.LostTasks, ShouldEqual, 1)
	})
}
