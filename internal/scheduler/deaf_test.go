package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

func TestAWorkerThatHearsNothing(t *testing.T) {
	Convey("A worker that is heard, but hears nothing itself, counts as silent", t, func() {
		d := newDesk("w")
		d.announce("w", nil)
		d.shifts(true, 1, shift(1, 1, 0, queue.CheckedOut, "w", one))
		d.now += 2 * eventloop.Second
		d.fresh(true)
		d.announce("w", nil)
		So(d.last().Orders.Orders, ShouldHaveLength, 1)
		answered := d.now
		deaf := func(a *schema.WorkerHeartbeat) { a.Unanswered = true }
		for d.now < answered+5*eventloop.Second {
			d.now += 100 * eventloop.Millisecond
			d.fresh(true)
			d.announce("w", deaf)
			// That grants nothing, so the lease ends by the last answer before.
			So(d.last().Orders, ShouldBeNil)
			d.step(eventloop.Tick{})
			So(d.ended(), ShouldBeEmpty)
		}
		d.now += 100 * eventloop.Millisecond
		d.fresh(true)
		d.announce("w", deaf)
		d.step(eventloop.Tick{})
		So(d.ended(), ShouldHaveLength, 1)
		So(d.ended()[0].Outcome, ShouldEqual, "lost")
		Convey("and gets nothing new until it hears again", func() {
			d.shifts(false, 2, shift(2, 1, 0, queue.Ready, "", one))
			So(d.picks(), ShouldBeEmpty)
			d.announce("w", nil)
			d.step(eventloop.Tick{})
			So(d.picks(), ShouldHaveLength, 1)
		})
	})
}
