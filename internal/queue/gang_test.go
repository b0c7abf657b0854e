package queue

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/schema"
)

func TestGangCheckout(t *testing.T) {
	gang := &schema.Job{Text: "x", Steps: []*schema.Step{{Name: "g", Tasks: 3, Gang: true, AllowedFailures: 2}}}
	members := []*schema.TaskKey{key(1, 0, 0), key(1, 0, 1), key(1, 0, 2)}
	countCheckedOut := func(h *harness) int {
		count := 0
		events, _ := h.machine.ActiveTasks()
		for _, event := range events {
			if event.Status == CheckedOut {
				count++
			}
		}
		return count
	}
	countStarted := func(h *harness) int {
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
		So(countStarted(h), ShouldEqual, 0)
		h.checkout(members...)
		h.startGang(1, 0, 1, 1, 2)
		h.startGang(1, 0, 1, 1)
		So(countStarted(h), ShouldEqual, 0)
		h.startGang(1, 0, 1, 1, 1)
		So(countStarted(h), ShouldEqual, 3)
		restored, err := Restore("l", h.index, h.machine.Snapshot(true))
		So(err, ShouldBeNil)
		h.machine = restored
		So(countStarted(h), ShouldEqual, 3)
		// After one of its members has ended, a gang must be started again.
		h.returnTask(members[0], 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST)
		h.returnTask(members[1], 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		h.returnTask(members[2], 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		So(countStarted(h), ShouldEqual, 0)
		h.checkout(members...)
		So(countStarted(h), ShouldEqual, 0)
	})
	Convey("A gang is checked out as a whole or not at all", t, func() {
		h := newHarness()
		h.enqueue("c", 1, "j", gang)
		h.checkout(members[:2]...)
		So(countCheckedOut(h), ShouldEqual, 0)
		h.checkout(members...)
		So(countCheckedOut(h), ShouldEqual, 3)
		Convey("and when a member fails, none is ready before all have stopped", func() {
			h.settle(members[2], 1)
			h.returnTask(members[0], 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
			events, _ := h.machine.ActiveTasks()
			So(len(events), ShouldEqual, 1)
			So(events[0].Status, ShouldEqual, Stopping)
			h.checkout(members...)
			So(countCheckedOut(h), ShouldEqual, 0)
			h.returnTask(members[1], 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			events, _ = h.machine.ActiveTasks()
			So(len(events), ShouldEqual, 3)
			h.checkout(members...)
			So(countCheckedOut(h), ShouldEqual, 3)
			for _, k := range members {
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
	members := []*schema.TaskKey{key(1, 0, 0), key(1, 0, 1), key(1, 0, 2)}
	checkOutGang := func(job *schema.Job) *harness {
		h := newHarness()
		h.enqueue("c", 1, "j", job)
		h.checkout(members...)
		return h
	}
	Convey("One member's report settles all, and later reports change nothing", t, func() {
		h := checkOutGang(gang(0))
		h.settleGang(members[1], 1)
		So(h.activeTasks(), ShouldEqual, "z0.0 ")
		before := h.machine.Snapshot(false)
		h.settleGang(members[0], 1)
		h.settle(members[0], 1)
		h.returnTask(members[2], 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
		So(bytes.Equal(before, h.machine.Snapshot(false)), ShouldBeTrue)
	})
	Convey("So it does if members were returned as lost meanwhile", t, func() {
		h := checkOutGang(gang(0))
		h.returnTask(members[0], 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST)
		So(h.activeTasks(), ShouldEqual, "g0.1-stop g0.2-stop ")
		h.settleGang(members[2], 1)
		So(h.activeTasks(), ShouldEqual, "z0.0 ")
	})
	Convey("The report of an older attempt doesn't settle the present one", t, func() {
		h := checkOutGang(gang(0))
		for _, k := range members {
			h.returnTask(k, 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		}
		h.checkout(members...)
		h.settleGang(members[0], 1)
		So(h.activeTasks(), ShouldEqual, "g0.0-out g0.1-out g0.2-out ")
	})
	Convey("A report for one member settles that member alone", t, func() {
		h := checkOutGang(gang(0))
		h.settle(members[0], 1)
		So(h.activeTasks(), ShouldEqual, "g0.1-out g0.2-out ")
	})
	Convey("However many members fail in one attempt, the gang has failed once", t, func() {
		h := checkOutGang(gang(1))
		h.returnTask(members[0], 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST)
		h.returnTask(members[1], 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
		h.returnTask(members[2], 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
		h.restart()
		So(h.activeTasks(), ShouldEqual, "g0.0 g0.1 g0.2 ")
		So(h.eventOf(members[2]).Failures, ShouldEqual, 1)
		h.checkout(members...)
		h.returnTask(members[0], 1, schema.ReturnCause_RETURN_CAUSE_FAILED) // a failure of attempt 1, which was counted already
		So(h.state("j"), ShouldEqual, "running")
		view, _ := h.machine.JobView("j")
		So(view.Steps[0].Failures, ShouldEqual, 1)
		So(view.StartedTasks, ShouldEqual, 6)
		Convey("and one failed attempt too many fails the job, which its view shows at once", func() {
			h.returnTask(members[1], 2, schema.ReturnCause_RETURN_CAUSE_FAILED)
			view, _ := h.machine.JobView("j")
			So(view.State, ShouldEqual, "stopping")
			So(view.PendingOutcome, ShouldEqual, "failed")
			h.returnTask(members[0], 2, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			h.returnTask(members[2], 2, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			view, _ = h.machine.JobView("j")
			So(view.State, ShouldEqual, "failed")
			So(view.Reason, ShouldContainSubstring, "allowed failures")
		})
	})
	Convey("A lost member's failure counts when it is reported late", t, func() {
		h := checkOutGang(gang(0))
		h.returnTask(members[0], 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST)
		h.returnTask(members[1], 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		h.returnTask(members[2], 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		h.checkout(members...)
		h.restart()
		h.returnTask(members[0], 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
		view, _ := h.machine.JobView("j")
		So(view.PendingOutcome, ShouldEqual, "failed")
	})
	Convey("Only the first member that ends counts a return, not those that are stopped because of it", t, func() {
		h := checkOutGang(gang(0))
		for attempt := uint32(1); attempt <= 5; attempt++ {
			h.returnTask(members[2], attempt, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			h.returnTask(members[1], attempt, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			h.returnTask(members[0], attempt, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			h.checkout(members...)
		}
		So(h.state("j"), ShouldEqual, "running")
		So(h.machine.jobs[1].tasks[0][2].requeues, ShouldEqual, 5)
		So(h.machine.jobs[1].tasks[0][0].requeues, ShouldEqual, 0)
		for _, k := range members {
			So(h.eventOf(k).Attempt, ShouldEqual, 6)
		}
	})
	Convey("A member that is named twice doesn't complete the gang", t, func() {
		h := newHarness()
		h.enqueue("c", 1, "j", gang(0))
		h.checkout(members[0], members[0], members[1])
		So(h.activeTasks(), ShouldEqual, "g0.0 g0.1 g0.2 ")
	})
	Convey("All members start with the latest checkpoint of any of them", t, func() {
		h := checkOutGang(gang(3))
		h.returnWithCheckpoint(members[0], 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST, "early")
		h.returnWithCheckpoint(members[1], 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED, "late")
		h.returnWithCheckpoint(members[2], 1, schema.ReturnCause_RETURN_CAUSE_FAILED, "")
		h.restart()
		h.checkout(members...)
		for _, k := range members {
			So(h.eventOf(k).Checkpoint, ShouldEqual, "late")
		}
		h.settleGang(members[2], 2)
		So(h.machine.jobs[1].tasks[0][0].checkpoint, ShouldEqual, "")
	})
}
