package scheduler

import (
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

func TestInspectionPause(t *testing.T) {
	step := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 400, MemoryMb: 1}
	// running returns a running task of a job with a chain of steps, each with this estimate.
	running := func(job uint64, steps int, estimate eventloop.Micros) *queue.TaskEvent {
		event := newEvent(job, job, 0, queue.CheckedOut, "w", step)
		event.CriticalPath = slices.Repeat([]queue.PathStep{{EstimateUs: int64(estimate), CoresMilli: 400}}, steps)
		event.RemainingPath = event.CriticalPath
		return event
	}
	ready := func(cores int64) *queue.TaskEvent {
		return newEvent(9, 9, 0, queue.Ready, "", &schema.Step{Name: "s", Tasks: 1, CoresMilli: cores, MemoryMb: 1})
	}
	// pause returns the pause that the worker is told. The latency target is 1.5 times the job's duration plus 0.5 s.
	pause := func(events ...*queue.TaskEvent) eventloop.Micros {
		h := newHarness("w")
		h.configure([]*schema.ConfigurationRow{queueRow("l", "stretch_milli", "1500"), queueRow("l", "target_ms", "500")}, "w")
		h.sendHeartbeat("w", nil)
		h.deliverEvents(true, 9, events...)
		h.advance(500 * eventloop.Millisecond)
		h.sendHeartbeat("w", nil)
		h.advance(500 * eventloop.Millisecond)
		return eventloop.Micros(h.lastReply().GetOrders().GetInspectionPauseUs())
	}
	Convey("The pause is a part of the time that the tightest target leaves each of its job's steps", t, func() {
		So(pause(running(1, 1, eventloop.Second)), ShouldEqual, 200*eventloop.Millisecond)
		So(pause(running(1, 1, eventloop.Second), running(2, 4, eventloop.Second/2)), ShouldEqual, 75*eventloop.Millisecond)
	})
	Convey("It is limited, also for jobs of unknown duration and services", t, func() {
		service := running(3, 1, eventloop.Millisecond)
		service.Spec = &schema.Step{Name: "s", Tasks: 1, CoresMilli: 100, MemoryMb: 1, RunUntilCancelled: true}
		So(pause(running(1, 1, 60*eventloop.Second), running(2, 0, 0), service), ShouldEqual, maxInspectionPause)
	})
	Convey("There is none while work waits for capacity", t, func() {
		So(pause(running(1, 1, eventloop.Second), running(2, 1, eventloop.Second), ready(400)), ShouldEqual, 0)
	})
	Convey("Work that fits no worker waits for none", t, func() {
		So(pause(running(1, 1, eventloop.Second), ready(5000)), ShouldEqual, 200*eventloop.Millisecond)
	})
}
