package queue

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/schema"
)

func TestGangCheckout(t *testing.T) {
	gang := &schema.Job{Text: "x", Steps: []*schema.Step{{Name: "g", Tasks: 3, Gang: true, AllowedFailures: 2}}}
	all := []*schema.TaskKey{key(1, 0, 0), key(1, 0, 1), key(1, 0, 2)}
	checkedOut := func(h *harness) int {
		count := 0
		events, _ := h.machine.ActiveTasks()
		for _, event := range events {
			if event.Status == CheckedOut {
				count++
			}
		}
		return count
	}
	started := func(h *harness) int {
		count := 0
		events, _ := h.machine.ActiveTasks()
		for _, event := range events {
			if event.IsGangStarted {
				count++
			}
		}
		return count
	}
	Convey("A gang starts with the attempts that were checked out, or not at all, and a restored queue knows it", t, func() {
		h := newHarness()
		h.enqueue("c", 1, "j", gang)
		h.startGang(1, 0, 1, 1, 1)
		So(started(h), ShouldEqual, 0)
		h.checkout(all...)
		h.startGang(1, 0, 1, 1, 2)
		h.startGang(1, 0, 1, 1)
		So(started(h), ShouldEqual, 0)
		h.startGang(1, 0, 1, 1, 1)
		So(started(h), ShouldEqual, 3)
		next, err := Restore("l", h.index, h.machine.Snapshot(true))
		So(err, ShouldBeNil)
		h.machine = next
		So(started(h), ShouldEqual, 3)
		// After a member ended, the gang has to be started again.
		h.returnTask(all[0], 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST)
		h.returnTask(all[1], 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		h.returnTask(all[2], 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		So(started(h), ShouldEqual, 0)
		h.checkout(all...)
		So(started(h), ShouldEqual, 0)
	})
	Convey("A gang is checked out as a whole or not at all", t, func() {
		h := newHarness()
		h.enqueue("c", 1, "j", gang)
		h.checkout(all[:2]...)
		So(checkedOut(h), ShouldEqual, 0)
		h.checkout(all...)
		So(checkedOut(h), ShouldEqual, 3)
		Convey("and when a member fails, none is ready before all have stopped", func() {
			h.settle(all[2], 1)
			h.returnTask(all[0], 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
			events, _ := h.machine.ActiveTasks()
			So(len(events), ShouldEqual, 1)
			So(events[0].Status, ShouldEqual, Stopping)
			h.checkout(all...)
			So(checkedOut(h), ShouldEqual, 0)
			h.returnTask(all[1], 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			events, _ = h.machine.ActiveTasks()
			So(len(events), ShouldEqual, 3)
			h.checkout(all...)
			So(checkedOut(h), ShouldEqual, 3)
			for _, k := range all {
				So(h.state("j"), ShouldEqual, "running")
				h.settle(k, h.machine.jobs[1].tasks[0][k.Task].attempt)
			}
			So(h.state("j"), ShouldEqual, "complete")
		})
	})
}

func TestGangSettle(t *testing.T) {
	gang := func(allowed uint32) *schema.Job {
		return &schema.Job{Text: "x", Steps: []*schema.Step{
			{Name: "g", Tasks: 3, Gang: true, Checkpoints: true, AllowedFailures: allowed}, {Name: "z", Tasks: 1, Dependencies: []string{"g"}},
		}}
	}
	all := []*schema.TaskKey{key(1, 0, 0), key(1, 0, 1), key(1, 0, 2)}
	begin := func(job *schema.Job) *harness {
		h := newHarness()
		h.enqueue("c", 1, "j", job)
		h.checkout(all...)
		return h
	}
	Convey("One member's report settles all, and later reports change nothing", t, func() {
		h := begin(gang(0))
		h.settleGang(all[1], 1)
		So(h.activeTasks(), ShouldEqual, "z0.0 ")
		before := h.machine.Snapshot(false)
		h.settleGang(all[0], 1)
		h.settle(all[0], 1)
		h.returnTask(all[2], 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
		So(bytes.Equal(before, h.machine.Snapshot(false)), ShouldBeTrue)
	})
	Convey("So it does if members were returned as lost meanwhile", t, func() {
		h := begin(gang(0))
		h.returnTask(all[0], 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST)
		So(h.activeTasks(), ShouldEqual, "g0.1-stop g0.2-stop ")
		h.settleGang(all[2], 1)
		So(h.activeTasks(), ShouldEqual, "z0.0 ")
	})
	Convey("The report of an older attempt doesn't settle the present one", t, func() {
		h := begin(gang(0))
		for _, k := range all {
			h.returnTask(k, 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		}
		h.checkout(all...)
		h.settleGang(all[0], 1)
		So(h.activeTasks(), ShouldEqual, "g0.0-out g0.1-out g0.2-out ")
	})
	Convey("A report for one member settles that member alone", t, func() {
		h := begin(gang(0))
		h.settle(all[0], 1)
		So(h.activeTasks(), ShouldEqual, "g0.1-out g0.2-out ")
	})
	Convey("However many members fail in one attempt, the gang has failed once", t, func() {
		h := begin(gang(1))
		h.returnTask(all[0], 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST)
		h.returnTask(all[1], 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
		h.returnTask(all[2], 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
		h.restart()
		So(h.activeTasks(), ShouldEqual, "g0.0 g0.1 g0.2 ")
		So(h.eventOf(all[2]).Failures, ShouldEqual, 1)
		h.checkout(all...)
		h.returnTask(all[0], 1, schema.ReturnCause_RETURN_CAUSE_FAILED) // of the attempt that was counted already
		So(h.state("j"), ShouldEqual, "running")
		view, _ := h.machine.JobView("j")
		So(view.Steps[0].Failures, ShouldEqual, 1)
		So(view.StartedTasks, ShouldEqual, 6)
		Convey("and one failed attempt too many fails the job, which its view shows at once", func() {
			h.returnTask(all[1], 2, schema.ReturnCause_RETURN_CAUSE_FAILED)
			view, _ := h.machine.JobView("j")
			So(view.State, ShouldEqual, "stopping")
			So(view.PendingOutcome, ShouldEqual, "failed")
			h.returnTask(all[0], 2, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			h.returnTask(all[2], 2, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			view, _ = h.machine.JobView("j")
			So(view.State, ShouldEqual, "failed")
			So(view.Reason, ShouldContainSubstring, "allowed failures")
		})
	})
	Convey("A lost member's failure counts when it is reported late", t, func() {
		h := begin(gang(0))
		h.returnTask(all[0], 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST)
		h.returnTask(all[1], 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		h.returnTask(all[2], 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		h.checkout(all...)
		h.restart()
		h.returnTask(all[0], 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
		view, _ := h.machine.JobView("j")
		So(view.PendingOutcome, ShouldEqual, "failed")
	})
	Convey("Only the first member that ends counts a return, not those that are stopped because of it", t, func() {
		h := begin(gang(0))
		for attempt := uint32(1); attempt <= 5; attempt++ {
			h.returnTask(all[2], attempt, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			h.returnTask(all[1], attempt, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			h.returnTask(all[0], attempt, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			h.checkout(all...)
		}
		So(h.state("j"), ShouldEqual, "running")
		So(h.machine.jobs[1].tasks[0][2].requeues, ShouldEqual, 5)
		So(h.machine.jobs[1].tasks[0][0].requeues, ShouldEqual, 0)
		for _, k := range all {
			So(h.eventOf(k).Attempt, ShouldEqual, 6)
		}
	})
	Convey("A member that is named twice doesn't complete the gang", t, func() {
		h := newHarness()
		h.enqueue("c", 1, "j", gang(0))
		h.checkout(all[0], all[0], all[1])
		So(h.activeTasks(), ShouldEqual, "g0.0 g0.1 g0.2 ")
	})
	Convey("All members start with the latest checkpoint of any of them", t, func() {
		h := begin(gang(3))
		h.returnWithCheckpoint(all[0], 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST, "early")
		h.returnWithCheckpoint(all[1], 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED, "late")
		h.returnWithCheckpoint(all[2], 1, schema.ReturnCause_RETURN_CAUSE_FAILED, "")
		h.restart()
		h.checkout(all...)
		for _, k := range all {
			So(h.eventOf(k).Checkpoint, ShouldEqual, "late")
		}
		h.settleGang(all[2], 2)
		So(h.machine.jobs[1].tasks[0][0].checkpoint, ShouldEqual, "")
	})
}
