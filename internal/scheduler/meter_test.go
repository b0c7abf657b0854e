package scheduler

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

func TestMeter(t *testing.T) {
	step := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 100, EstimatedRunUs: 1_000_000}
	job := uint64(100)
	shifts := func(d *desk, list ...*queue.TaskEvent) {
		for _, each := range list {
			each.Sequence = d.t.views["l"].hand + 1
			d.shifts(false, each.Sequence, each)
		}
	}
	finish := func(d *desk, worker string) {
		job++
		shifts(d, shift(0, job, 0, queue.CheckedOut, worker, step))
		d.announce(worker, named(func(a *schema.WorkerHeartbeat) {
			a.Ended = []*schema.TaskStatus{{Name: fmt.Sprint("j", job), Attempt: 1, State: "done", RunUs: int64(eventloop.Second)}}
		}))
		shifts(d, shift(0, job, 0, queue.Inactive, "", step))
	}
	setUp := func() *desk {
		d := newDesk("a", "b", "c")
		d.shifts(true, 0)
		for _, id := range []string{"a", "b", "c"} {
			d.announce(id, named(nil))
		}
		for k := 0; k < 10; k++ {
			finish(d, "b")
			finish(d, "c")
		}
		for k := uint64(1); k <= 3; k++ {
			shifts(d, shift(0, k, 0, queue.CheckedOut, "a", step))
		}
		return d
	}
	// play lets three tasks run on a worker that makes so much progress in each 100 ms.
	play := func(d *desk, span eventloop.Micros, percent float64) {
		made := 0.0
		for end := d.now + span; d.now < end; {
			var notes []*schema.TaskStatus
			for k := 1; k <= 3; k++ {
				notes = append(notes, &schema.TaskStatus{Name: fmt.Sprint("j", k), Attempt: 1, State: "running", Percent: int64(made)})
			}
			d.announce("a", named(func(a *schema.WorkerHeartbeat) { a.Running = notes }))
			d.announce("b", named(nil))
			d.announce("c", named(nil))
			d.pass(100 * eventloop.Millisecond)
			made += percent
		}
	}
	isAside := func(d *desk) bool { return d.now < d.t.workers["a"].asideUntil }
	Convey("A worker whose tasks make a fifth of the usual progress rests, and they go elsewhere", t, func() {
		d := setUp()
		play(d, 1900*eventloop.Millisecond, 2)
		So(isAside(d), ShouldBeTrue)
		So(len(d.acts(0, "stop")), ShouldBeGreaterThanOrEqualTo, 3)
		So(d.t.workers["a"].rest, ShouldEqual, slowRest)
	})
	Convey("One whose tasks make nearly the usual progress doesn't", t, func() {
		d := setUp()
		play(d, 1500*eventloop.Millisecond, 6)
		So(isAside(d), ShouldBeFalse)
		So(d.acts(0, "stop"), ShouldBeEmpty)
	})
	Convey("Progress that isn't told for a while says nothing yet", t, func() {
		d := setUp()
		play(d, 2*eventloop.Second, 0)
		So(isAside(d), ShouldBeFalse)
		Convey("but when it isn't for long, the worker rests", func() {
			play(d, 1000*eventloop.Millisecond, 0)
			So(isAside(d), ShouldBeTrue)
		})
	})
	Convey("Estimates are trusted until more runs are known, since the short ones end first", t, func() {
		p := &pace{isEstimated: true}
		p.learn(16, 12)
		So(p.at(16), ShouldBeBetween, 15, 16)
		for k := 0; k < 100; k++ {
			p.learn(16, 14)
		}
		So(p.at(16), ShouldBeBetween, 13.9, 14.2)
	})
}
