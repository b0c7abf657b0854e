package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

func TestEndsAreNotedWhenApplied(t *testing.T) {
	Convey("An end is told to its leader until the leader says that it was applied, and noted only then", t, func() {
		d := newDesk("v")
		d.announce("v", named(nil))
		d.shifts(true, 1, shift(1, 1, 0, queue.CheckedOut, "v", one))
		note := func(state string) *schema.TaskStatus { return &schema.TaskStatus{Name: "j1", Attempt: 1, State: state} }
		d.announce("v", runs(note("running")))
		isNoted := func() bool {
			for _, reply := range d.replies {
				if len(reply.GetOrders().GetAcknowledged()) > 0 {
					return true
				}
			}
			return false
		}
		for k := 0; k < 3; k++ {
			d.announce("v", ends(note("done")))
			d.pass(holdSpan + eventloop.Second)
			So(isNoted(), ShouldBeFalse)
			So(len(d.ended()), ShouldBeGreaterThan, k)
		}
		d.step(&schema.TaskEndAck{Queue: "l", Key: &schema.TaskKey{Job: 1}, Attempt: 1, Worker: "v"})
		d.announce("v", ends(note("done")))
		d.pass(holdSpan + eventloop.Second)
		So(isNoted(), ShouldBeTrue)
	})
}

func TestGatheringStartsWhole(t *testing.T) {
	gang := &schema.Step{Name: "g", Tasks: 2, CoresMilli: 600, Gang: true}
	gathering := named(func(a *schema.WorkerHeartbeat) { a.GangBarrier = true })
	Convey("No member of a group is started while another isn't known to be out", t, func() {
		d := newDesk("v", "w")
		d.announce("v", gathering)
		d.announce("w", gathering)
		d.shifts(true, 1, shift(1, 1, 0, queue.CheckedOut, "v", gang))
		d.announce("v", gathering)
		So(d.acts(0, "start"), ShouldBeEmpty)
	})
	Convey("and all are when they are", t, func() {
		d := newDesk("v", "w")
		d.announce("v", gathering)
		d.announce("w", gathering)
		d.shifts(true, 2, shift(1, 1, 0, queue.CheckedOut, "v", gang), shift(2, 1, 1, queue.CheckedOut, "w", gang))
		d.pass(holdSpan)
		d.announce("v", gathering)
		d.announce("w", gathering)
		So(len(d.acts(0, "start")), ShouldBeGreaterThanOrEqualTo, 2)
	})
	Convey("nor while the worker of another hasn't been heard", t, func() {
		d := newDesk("v", "w")
		d.announce("v", gathering)
		d.shifts(true, 2, shift(1, 1, 0, queue.CheckedOut, "v", gang), shift(2, 1, 1, queue.CheckedOut, "w", gang))
		d.announce("v", gathering)
		So(d.acts(0, "start"), ShouldBeEmpty)
	})
}
