package queue

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/schema"
)

func TestCancel(t *testing.T) {
	Convey("A cancelled job checks out nothing more and ends when its running tasks have stopped", t, func() {
		h := newHarness()
		h.enqueue("c", 1, "j", simpleJob(3))
		h.checkout(key(1, 0, 0))
		effects := h.cancel("j")
		So(effects.CancelCode, ShouldEqual, 200)
		So(effects.CancelView.State, ShouldEqual, "stopping")
		h.checkout(key(1, 0, 1))
		events, _ := h.machine.ActiveTasks()
		So(len(events), ShouldEqual, 1)
		So(events[0].Status, ShouldEqual, Stopping)
		h.returnTask(key(1, 0, 0), 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		So(h.state("j"), ShouldEqual, "cancelled")
		So(h.cancel("j").CancelCode, ShouldEqual, 200)
		So(h.cancel("nobody").CancelCode, ShouldEqual, 404)
	})
}
