package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// way gives a ready task its age and the estimates of the steps before it is done.
func way(s *queue.TaskEvent, age eventloop.Micros, estimate eventloop.Micros) *queue.TaskEvent {
	legs := []queue.PathStep{{EstimateUs: int64(estimate), CoresMilli: s.Spec.CoresMilli}}
	s.RoundAgeUs, s.CriticalPath, s.RemainingPath = int64(age), legs, legs
	return s
}

func TestChances(t *testing.T) {
	rows := []*schema.ConfigurationRow{
		{Kind: "queue", Name: "l", Key: "stretch_milli", Value: "1500"},
		{Kind: "queue", Name: "l", Key: "target_ms", Value: "500"},
		{Kind: "queue", Name: "m", Key: "stretch_milli", Value: "1500"},
		{Kind: "queue", Name: "m", Key: "target_ms", Value: "500"},
	}
	step := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 1000, MemoryMb: 10, EstimatedRunUs: int64(eventloop.Second)}
	most := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 700, MemoryMb: 10, EstimatedRunUs: int64(eventloop.Second)}
	rest := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 300, MemoryMb: 10, EstimatedRunUs: int64(eventloop.Second)}
	setUp := func() *desk {
		d := newDesk("w")
		d.told(rows, "w")
		d.announce("w", named(func(a *schema.WorkerHeartbeat) { a.Draining = true }))
		return d
	}
	// A step as wide as the room goes in four waves: the aim is 6.5 s, with some ease.
	Convey("Work that comes in time goes before what is late anyhow, also where that is more urgent", t, func() {
		d := setUp()
		d.queue("l", 20, way(shift(1, 1, 0, queue.Ready, "", step), 12*eventloop.Second, eventloop.Second))
		d.queue("m", 10, way(shift(1, 2, 0, queue.Ready, "", step), 0, eventloop.Second))
		d.announce("w", named(nil))
		So(len(d.picks()), ShouldEqual, 1)
		So(d.picks()[0].Key.Job, ShouldEqual, 2)
	})
	Convey("Among what comes in time urgency decides", t, func() {
		d := setUp()
		d.queue("m", 10, way(shift(1, 2, 0, queue.Ready, "", step), 100*eventloop.Millisecond, eventloop.Second))
		d.queue("l", 20, way(shift(1, 1, 0, queue.Ready, "", step), 0, eventloop.Second))
		d.announce("w", named(nil))
		So(len(d.picks()), ShouldEqual, 1)
		So(d.picks()[0].Key.Job, ShouldEqual, 1)
	})
	Convey("What is lost is begun last, and only while much of the room is free", t, func() {
		d := setUp()
		d.queue("l", 20,
			way(shift(1, 1, 0, queue.Ready, "", most), 60*eventloop.Second, eventloop.Second),
			way(shift(1, 2, 0, queue.Ready, "", rest), 60*eventloop.Second, eventloop.Second),
		)
		d.announce("w", named(nil))
		So(len(d.picks()), ShouldEqual, 1)
		So(d.picks()[0].Key.Job, ShouldEqual, 1)
	})
	Convey("What is wider than a quarter of the room goes in waves, which belongs to its aim", t, func() {
		d := setUp()
		d.t.cores = 1000
		v := &view{queue: "l", aim: d.t.aimOf("l")}
		each := &task{spec: step, standing: queue.Ready, dueAt: d.now - 3*eventloop.Second}
		legs := []queue.PathStep{{EstimateUs: int64(eventloop.Second), CoresMilli: 250}}
		each.course = course{legs, legs}
		So(d.t.chanceOf(d.now, v, each), ShouldEqual, late)
		legs[0].CoresMilli = 500
		So(d.t.chanceOf(d.now, v, each), ShouldEqual, inTime)
	})
}

func TestHeadroom(t *testing.T) {
	wide := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 900, MemoryMb: 10}
	long := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 700, MemoryMb: 10, EstimatedRunUs: 6_000_000}
	brief := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 700, MemoryMb: 10, EstimatedRunUs: 500_000}
	Convey("What waits goes to a worker on trial where much of the room is free, though others could run it", t, func() {
		d := newDesk("w", "x", "y")
		for _, id := range []string{"w", "x", "y"} {
			d.announce(id, named(nil))
		}
		d.queue("l", 20, shift(1, 1, 0, queue.CheckedOut, "w", long), shift(1, 2, 0, queue.CheckedOut, "x", long))
		d.t.setAside(d.now, d.t.workers["y"], firstRest, 1)
		d.queue("m", 20, way(shift(1, 3, 0, queue.Ready, "", long), 0, 6*eventloop.Second))
		d.announce("y", named(nil))
		So(d.picks(), ShouldBeEmpty)
		for k := 0; k < 6; k++ {
			d.pass(500 * eventloop.Millisecond)
			for _, id := range []string{"w", "x", "y"} {
				d.announce(id, named(nil))
			}
		}
		So(d.picks()[0].Worker, ShouldEqual, "y")
	})
	Convey("Room that more urgent work has been using of late is left free by what takes long", t, func() {
		d := newDesk("w")
		d.announce("w", named(nil))
		d.queue("l", 20, shift(1, 1, 0, queue.CheckedOut, "w", wide))
		d.pass(100 * eventloop.Millisecond)
		d.step(replica.TaskEvents{Queue: "l", Group: "l#1", Term: 1, LastSequence: 2, Events: []*queue.TaskEvent{shift(2, 1, 0, queue.Inactive, "", wide)}, Running: 1000, Urgency: 20})
		d.announce("w", named(nil))
		d.queue("m", 10, way(shift(1, 2, 0, queue.Ready, "", long), 0, 6*eventloop.Second))
		d.announce("w", named(nil))
		So(d.picks(), ShouldBeEmpty)
		Convey("but not by what is soon over", func() {
			d.queue("k", 10, way(shift(1, 3, 0, queue.Ready, "", brief), 0, 500*eventloop.Millisecond))
			d.announce("w", named(nil))
			So(len(d.picks()), ShouldEqual, 1)
		})
		Convey("and not for long where little is in use", func() {
			for k := 0; k < 6; k++ {
				d.pass(500 * eventloop.Millisecond)
				d.announce("w", named(nil))
			}
			So(d.picks()[0].Key.Job, ShouldEqual, 2)
		})
	})
}

func TestLossIsWeighed(t *testing.T) {
	low := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 1000, MemoryMb: 10, EstimatedRunUs: 20_000_000}
	high := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 1000, MemoryMb: 10, EstimatedRunUs: 1_000_000}
	runs := func(span eventloop.Micros) func(*schema.WorkerHeartbeat) {
		return named(func(a *schema.WorkerHeartbeat) {
			a.Running = []*schema.TaskStatus{{Name: "j1", Attempt: 1, State: "running", RunUs: int64(span)}}
		})
	}
	play := func(span eventloop.Micros) *desk {
		d := newDesk("w")
		d.queue("m", 10, way(shift(1, 1, 0, queue.CheckedOut, "w", low), 0, 20*eventloop.Second))
		d.announce("w", runs(span))
		d.queue("l", 20, way(shift(1, 2, 0, queue.Ready, "", high), 0, eventloop.Second))
		d.pass(preemptAfter + 2*Pace)
		d.announce("w", runs(span+preemptAfter+2*Pace))
		return d
	}
	Convey("No more work is thrown away for a task than twice its own", t, func() {
		So(play(eventloop.Second).t.counts.Preempted, ShouldEqual, 1)
		So(play(3*eventloop.Second).t.counts.Preempted, ShouldEqual, 0)
	})
}
