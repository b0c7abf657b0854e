package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

func TestReportedDeadWorker(t *testing.T) {
	Convey("The tasks of a worker that an agent reports dead are returned at once, and it gets nothing more", t, func() {
		h := newHarness("old", "new")
		saving := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 600, Checkpoints: true}
		h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "old", saving))
		h.sendHeartbeat("old", withRunning(&schema.TaskStatus{Name: "j1", Attempt: 1, State: "running", Checkpoint: "half"}))
		h.sendHeartbeat("old", withRunning(&schema.TaskStatus{Name: "j1", Attempt: 1, State: "running", Checkpoint: "half"}))
		h.sendHeartbeat("new", withNames(func(a *schema.WorkerHeartbeat) { a.ReplacedWorkers = []string{"old"} }))
		So(h.endReports()[0].Outcome, ShouldEqual, "lost")
		So(h.endReports()[0].Checkpoint, ShouldEqual, "half")
		h.sendHeartbeat("old", withNames(nil))
		So(h.lastReply().Orders, ShouldBeNil)
		Convey("and so are tasks that turn out later to be checked out to it", func() {
			h.notified = nil
			h.deliverEvents(false, 2, newEvent(2, 2, 0, queue.CheckedOut, "old", saving))
			h.deliver(eventloop.Tick{})
			So(h.endReports()[0].Key.Job, ShouldEqual, 2)
		})
	})
}

func TestUnansweredWorkerIsUnresponsive(t *testing.T) {
	Convey("A worker that sends heartbeats but hears no responses counts as unresponsive", t, func() {
		h := newHarness("w")
		h.sendHeartbeat("w", nil)
		h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "w", oneTask))
		h.now += 2 * eventloop.Second
		h.confirmLeadership(true)
		h.sendHeartbeat("w", nil)
		So(h.lastReply().Orders.Orders, ShouldHaveLength, 1)
		answered := h.now
		unanswered := func(a *schema.WorkerHeartbeat) { a.Unanswered = true }
		for h.now < answered+5*eventloop.Second {
			h.now += 100 * eventloop.Millisecond
			h.confirmLeadership(true)
			h.sendHeartbeat("w", unanswered)
			// The empty response grants nothing, so the lease ends by the previous response.
			So(h.lastReply().Orders, ShouldBeNil)
			h.deliver(eventloop.Tick{})
			So(h.endReports(), ShouldBeEmpty)
		}
		h.now += 100 * eventloop.Millisecond
		h.confirmLeadership(true)
		h.sendHeartbeat("w", unanswered)
		h.deliver(eventloop.Tick{})
		So(h.endReports(), ShouldHaveLength, 1)
		So(h.endReports()[0].Outcome, ShouldEqual, "lost")
		Convey("and gets nothing new until it hears again", func() {
			h.deliverEvents(false, 2, newEvent(2, 1, 0, queue.Ready, "", oneTask))
			So(h.placements(), ShouldBeEmpty)
			h.sendHeartbeat("w", nil)
			h.deliver(eventloop.Tick{})
			So(h.placements(), ShouldHaveLength, 1)
		})
	})
}
