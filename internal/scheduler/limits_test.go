package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

func TestDepartureDeadline(t *testing.T) {
	for _, test := range []struct {
		description string
		step        *schema.Step
		percent     int64
		isSaved     bool
	}{
		{"a task that finishes in time runs on", &schema.Step{Name: "s", Tasks: 1, CoresMilli: 100, Checkpoints: true, EstimatedRunUs: 3_000_000}, 0, false},
		{"one that can't is stopped just before, to save a checkpoint", &schema.Step{Name: "s", Tasks: 1, CoresMilli: 100, Checkpoints: true, EstimatedRunUs: 60_000_000}, 0, true},
		{"one that reports progress is judged by that", &schema.Step{Name: "s", Tasks: 1, CoresMilli: 100, Checkpoints: true, EstimatedRunUs: 60_000_000}, 95, false},
		{"one that saves no checkpoints runs on", &schema.Step{Name: "s", Tasks: 1, CoresMilli: 100, EstimatedRunUs: 60_000_000}, 0, false},
	} {
		Convey("On a worker with a time of departure "+test.description, t, func() {
			h := newHarness("w")
			h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "w", test.step))
			began := h.now
			stoppedAt := eventloop.Micros(0)
			percent := int64(0)
			for h.now < began+3600*eventloop.Millisecond {
				h.sendHeartbeat("w", withNames(func(a *schema.WorkerHeartbeat) {
					a.Draining, a.DepartsInUs = true, int64(began+4*eventloop.Second-h.now)
					a.Running = []*schema.TaskStatus{{Name: "j1", Attempt: 1, State: "running", Percent: percent}}
				}))
				h.advance(100 * eventloop.Millisecond)
				percent = test.percent
				if stoppedAt == 0 && len(h.ordersOf(0, "stop")) > 0 {
					stoppedAt = h.now
				}
			}
			if test.isSaved {
				So(stoppedAt, ShouldBeBetween, began+3300*eventloop.Millisecond, began+4*eventloop.Second)
			} else {
				So(stoppedAt, ShouldEqual, 0)
			}
		})
	}
}

func TestTimeLimits(t *testing.T) {
	Convey("A task that runs too long, or too long without progress, is stopped and reported as failed", t, func() {
		for _, status := range []*schema.TaskStatus{
			{Queue: "l", Job: 1, Attempt: 1, State: "running", RunUs: 2_000_001},
			{Queue: "l", Job: 1, Attempt: 1, State: "running", RunUs: 1_500_000, IdleUs: 1_000_001},
		} {
			h := newHarness("w")
			limited := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 10, TimeLimitUs: 2_000_000, StallTimeoutUs: 1_000_000}
			h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "w", limited))
			h.sendHeartbeat("w", nil)
			h.sendHeartbeat("w", func(a *schema.WorkerHeartbeat) { a.Running = []*schema.TaskStatus{status} })
			h.deliver(eventloop.Tick{})
			So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "stop")
			h.sendHeartbeat("w", func(a *schema.WorkerHeartbeat) {
				a.Ended = []*schema.TaskStatus{{Queue: "l", Job: 1, Attempt: 1, State: "stopped"}}
			})
			So(h.endReports()[0].Outcome, ShouldEqual, "failed")
		}
	})
}
