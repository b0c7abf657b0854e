package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// withCriticalPath gives a ready task its age and the estimates of the steps before it is done.
func withCriticalPath(s *queue.TaskEvent, age eventloop.Micros, estimate eventloop.Micros) *queue.TaskEvent {
	legs := []queue.PathStep{{EstimateUs: int64(estimate), CoresMilli: s.Spec.CoresMilli}}
	s.RoundAgeUs, s.CriticalPath, s.RemainingPath = int64(age), legs, legs
	return s
}

func TestDeadlineFeasibility(t *testing.T) {
	rows := []*schema.ConfigurationRow{
		{Kind: "queue", Name: "l", Key: "stretch_milli", Value: "1500"},
		{Kind: "queue", Name: "l", Key: "target_ms", Value: "500"},
		{Kind: "queue", Name: "m", Key: "stretch_milli", Value: "1500"},
		{Kind: "queue", Name: "m", Key: "target_ms", Value: "500"},
	}
	step := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 1000, MemoryMb: 10, EstimatedRunUs: int64(eventloop.Second)}
	most := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 700, MemoryMb: 10, EstimatedRunUs: int64(eventloop.Second)}
	rest := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 300, MemoryMb: 10, EstimatedRunUs: int64(eventloop.Second)}
	setUp := func() *harness {
		h := newHarness("w")
		h.configure(rows, "w")
		h.announce("w", withNames(func(a *schema.WorkerHeartbeat) { a.Draining = true }))
		return h
	}
	// A step as wide as the room goes in four waves: the aim is 6.5 s, with some ease.
	Convey("Work that comes in time goes before what is late anyhow, also where that is more urgent", t, func() {
		h := setUp()
		h.syncQueue("l", 20, withCriticalPath(newEvent(1, 1, 0, queue.Ready, "", step), 12*eventloop.Second, eventloop.Second))
		h.syncQueue("m", 10, withCriticalPath(newEvent(1, 2, 0, queue.Ready, "", step), 0, eventloop.Second))
		h.announce("w", withNames(nil))
		So(len(h.placements()), ShouldEqual, 1)
		So(h.placements()[0].Key.Job, ShouldEqual, 2)
	})
	Convey("Among what comes in time urgency decides", t, func() {
		h := setUp()
		h.syncQueue("m", 10, withCriticalPath(newEvent(1, 2, 0, queue.Ready, "", step), 100*eventloop.Millisecond, eventloop.Second))
		h.syncQueue("l", 20, withCriticalPath(newEvent(1, 1, 0, queue.Ready, "", step), 0, eventloop.Second))
		h.announce("w", withNames(nil))
		So(len(h.placements()), ShouldEqual, 1)
		So(h.placements()[0].Key.Job, ShouldEqual, 1)
	})
	Convey("What is lost is begun last, and only while much of the room is free", t, func() {
		h := setUp()
		h.syncQueue("l", 20,
			withCriticalPath(newEvent(1, 1, 0, queue.Ready, "", most), 60*eventloop.Second, eventloop.Second),
			withCriticalPath(newEvent(1, 2, 0, queue.Ready, "", rest), 60*eventloop.Second, eventloop.Second),
		)
		h.announce("w", withNames(nil))
		So(len(h.placements()), ShouldEqual, 1)
		So(h.placements()[0].Key.Job, ShouldEqual, 1)
	})
	Convey("What is wider than a quarter of the room goes in waves, which belongs to its aim", t, func() {
		h := setUp()
		h.scheduler.candidateCores = 1000
		v := &queueView{name: "l", latencyTarget: h.scheduler.latencyTargetOf("l")}
		each := &task{spec: step, state: queue.Ready, roundDueAt: h.now - 3*eventloop.Second}
		legs := []queue.PathStep{{EstimateUs: int64(eventloop.Second), CoresMilli: 250}}
		each.criticalPath = criticalPath{legs, legs}
		So(h.scheduler.feasibilityOf(h.now, v, each), ShouldEqual, late)
		legs[0].CoresMilli = 500
		So(h.scheduler.feasibilityOf(h.now, v, each), ShouldEqual, onTime)
	})
}

func TestHeadroom(t *testing.T) {
	wide := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 900, MemoryMb: 10}
	long := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 700, MemoryMb: 10, EstimatedRunUs: 6_000_000}
	brief := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 700, MemoryMb: 10, EstimatedRunUs: 500_000}
	Convey("What waits goes to a worker on trial where much of the room is free, though others could run it", t, func() {
		h := newHarness("w", "x", "y")
		for _, id := range []string{"w", "x", "y"} {
			h.announce(id, withNames(nil))
		}
		h.syncQueue("l", 20, newEvent(1, 1, 0, queue.CheckedOut, "w", long), newEvent(1, 2, 0, queue.CheckedOut, "x", long))
		h.scheduler.eject(h.now, h.scheduler.workers["y"], baseEjectionPeriod, 1)
		h.syncQueue("m", 20, withCriticalPath(newEvent(1, 3, 0, queue.Ready, "", long), 0, 6*eventloop.Second))
		h.announce("y", withNames(nil))
		So(h.placements(), ShouldBeEmpty)
		for k := 0; k < 6; k++ {
			h.advance(500 * eventloop.Millisecond)
			for _, id := range []string{"w", "x", "y"} {
				h.announce(id, withNames(nil))
			}
		}
		So(h.placements()[0].Worker, ShouldEqual, "y")
	})
	Convey("Room that more urgent work has been using of late is left free by what takes long", t, func() {
		h := newHarness("w")
		h.announce("w", withNames(nil))
		h.syncQueue("l", 20, newEvent(1, 1, 0, queue.CheckedOut, "w", wide))
		h.advance(100 * eventloop.Millisecond)
		h.deliver(replica.TaskEvents{Queue: "l", Group: "l#1", Term: 1, LastSequence: 2, Events: []*queue.TaskEvent{newEvent(2, 1, 0, queue.Inactive, "", wide)}, Running: 1000, Urgency: 20})
		h.announce("w", withNames(nil))
		h.syncQueue("m", 10, withCriticalPath(newEvent(1, 2, 0, queue.Ready, "", long), 0, 6*eventloop.Second))
		h.announce("w", withNames(nil))
		So(h.placements(), ShouldBeEmpty)
		Convey("but not by what is soon over", func() {
			h.syncQueue("k", 10, withCriticalPath(newEvent(1, 3, 0, queue.Ready, "", brief), 0, 500*eventloop.Millisecond))
			h.announce("w", withNames(nil))
			So(len(h.placements()), ShouldEqual, 1)
		})
		Convey("and not for long where little is in use", func() {
			for k := 0; k < 6; k++ {
				h.advance(500 * eventloop.Millisecond)
				h.announce("w", withNames(nil))
			}
			So(h.placements()[0].Key.Job, ShouldEqual, 2)
		})
	})
}

func TestPreemptionLossLimit(t *testing.T) {
	low := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 1000, MemoryMb: 10, EstimatedRunUs: 20_000_000}
	high := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 1000, MemoryMb: 10, EstimatedRunUs: 1_000_000}
	runs := func(span eventloop.Micros) func(*schema.WorkerHeartbeat) {
		return withNames(func(a *schema.WorkerHeartbeat) {
			a.Running = []*schema.TaskStatus{{Name: "j1", Attempt: 1, State: "running", RunUs: int64(span)}}
		})
	}
	simulate := func(span eventloop.Micros) *harness {
		h := newHarness("w")
		h.syncQueue("m", 10, withCriticalPath(newEvent(1, 1, 0, queue.CheckedOut, "w", low), 0, 20*eventloop.Second))
		h.announce("w", runs(span))
		h.syncQueue("l", 20, withCriticalPath(newEvent(1, 2, 0, queue.Ready, "", high), 0, eventloop.Second))
		h.advance(preemptionDelay + 2*TickInterval)
		h.announce("w", runs(span+preemptionDelay+2*TickInterval))
		return h
	}
	Convey("No more work is thrown away for a task than twice its own", t, func() {
		So(simulate(eventloop.Second).scheduler.counts.Preempted, ShouldEqual, 1)
		So(simulate(3*eventloop.Second).scheduler.counts.Preempted, ShouldEqual, 0)
	})
}
