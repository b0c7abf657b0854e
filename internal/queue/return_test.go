package queue

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/schema"
)

func TestAttempts(t *testing.T) {
	Convey("Late reports on an older attempt change nothing", t, func() {
		h := newHarness()
		h.enqueue("c", 1, "j", simpleJob(1))
		h.checkout(key(1, 0, 0))
		h.returnTask(key(1, 0, 0), 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		h.checkout(key(1, 0, 0))
		before := h.machine.Snapshot(false)
		h.settle(key(1, 0, 0), 1)
		h.returnTask(key(1, 0, 0), 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
		So(bytes.Equal(before, h.machine.Snapshot(false)), ShouldBeTrue)
		h.settle(key(1, 0, 0), 2)
		So(h.state("j"), ShouldEqual, "complete")
	})
	Convey("Failures count against the allowed ones, other returns don't", t, func() {
		h := newHarness()
		h.enqueue("c", 1, "j", simpleJob(1))
		for attempt := uint32(1); attempt <= 10; attempt++ {
			h.checkout(key(1, 0, 0))
			h.returnTask(key(1, 0, 0), attempt, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST)
		}
		So(h.state("j"), ShouldEqual, "running")
		h.checkout(key(1, 0, 0))
		h.returnTask(key(1, 0, 0), 11, schema.ReturnCause_RETURN_CAUSE_FAILED)
		So(h.state("j"), ShouldEqual, "running")
		h.checkout(key(1, 0, 0))
		h.returnTask(key(1, 0, 0), 12, schema.ReturnCause_RETURN_CAUSE_FAILED)
		So(h.state("j"), ShouldEqual, "failed")
	})
	Convey("A member that fails while its gang is being stopped counts as failed", t, func() {
		h := newHarness()
		h.enqueue("c", 1, "j", &schema.Job{Text: "x", Steps: []*schema.Step{{Name: "g", Tasks: 2, Gang: true, AllowedFailures: 1}}})
		for attempt := uint32(1); attempt <= 2; attempt++ {
			So(h.state("j"), ShouldEqual, "running")
			h.checkout(key(1, 0, 0), key(1, 0, 1))
			h.returnTask(key(1, 0, 0), attempt, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			h.returnTask(key(1, 0, 1), attempt, schema.ReturnCause_RETURN_CAUSE_FAILED)
		}
		So(h.state("j"), ShouldEqual, "failed")
	})
	Convey("A failure that is reported late counts once, whatever the task does by then", t, func() {
		h := newHarness()
		h.enqueue("c", 1, "j", simpleJob(1))
		k := key(1, 0, 0)
		h.checkout(k)
		h.returnTask(k, 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST)
		h.checkout(k)
		h.returnTask(k, 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
		h.returnTask(k, 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
		So(h.state("j"), ShouldEqual, "running")
		So(h.machine.jobs[1].tasks[0][0].failures, ShouldEqual, 1)
		h.returnTask(k, 2, schema.ReturnCause_RETURN_CAUSE_FAILED)
		So(h.state("j"), ShouldEqual, "failed")
		Convey("and one too many stops the job while the next attempt is checked out", func() {
			job := simpleJob(1)
			job.Steps[0].AllowedFailures = 0
			h.enqueue("c", 2, "k", job)
			k := key(2, 0, 0)
			h.checkout(k)
			h.returnTask(k, 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST)
			h.checkout(k)
			h.returnTask(k, 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
			So(h.state("k"), ShouldEqual, "stopping")
			h.returnTask(k, 2, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			So(h.state("k"), ShouldEqual, "failed")
		})
	})
	Convey("The scheduler is told which tasks were lost with a worker, of a gang all of them", t, func() {
		h := newHarness()
		h.enqueue("c", 1, "j", &schema.Job{Text: "x", Steps: []*schema.Step{{Name: "s", Tasks: 2, AllowedFailures: 1}, {Name: "g", Tasks: 2, Gang: true, AllowedFailures: 1}}})
		h.checkout(key(1, 0, 0), key(1, 0, 1), key(1, 1, 0), key(1, 1, 1))
		h.returnTask(key(1, 0, 0), 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST)
		h.returnTask(key(1, 0, 1), 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		h.returnTask(key(1, 1, 0), 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		So(h.eventOf(key(1, 0, 0)).HasLostAttempt, ShouldBeTrue)
		So(h.eventOf(key(1, 0, 1)).HasLostAttempt, ShouldBeFalse)
		h.returnTask(key(1, 1, 1), 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST)
		So(h.eventOf(key(1, 1, 0)).HasLostAttempt, ShouldBeTrue)
		So(h.eventOf(key(1, 1, 1)).HasLostAttempt, ShouldBeTrue)
		h.restart()
		So(h.eventOf(key(1, 0, 0)).HasLostAttempt, ShouldBeTrue)
		// Once the failure of the lost attempt is reported, it no longer counts as lost.
		h.returnTask(key(1, 0, 0), 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
		So(h.eventOf(key(1, 0, 0)).Failures, ShouldEqual, 1)
		So(h.eventOf(key(1, 0, 0)).HasLostAttempt, ShouldBeFalse)
	})
	Convey("A task that is returned too often fails its job", t, func() {
		h := newHarness()
		h.enqueue("c", 1, "j", simpleJob(1))
		for attempt := uint32(1); attempt <= DefaultMaxRequeues+1; attempt++ {
			So(h.state("j"), ShouldEqual, "running")
			h.checkout(key(1, 0, 0))
			h.returnTask(key(1, 0, 0), attempt, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
		}
		So(h.state("j"), ShouldEqual, "failed")
	})
}

func TestRunUntilCancelled(t *testing.T) {
	Convey("A step that runs until its job is cancelled is ready again however it ends, without limit", t, func() {
		h := newHarness()
		h.machine.settings = &schema.ApplySettings{JobRetentionUs: DefaultRetentionUs, SnapshotInterval: 64, MaxRequeues: 3}
		h.enqueue("c", 1, "j", &schema.Job{Text: "x", Steps: []*schema.Step{{Name: "s", Tasks: 1, RunUntilCancelled: true, Checkpoints: true}}})
		k := key(1, 0, 0)
		attempt := uint32(0)
		for turn := 0; turn < 30; turn++ {
			for _, cause := range []schema.ReturnCause{schema.ReturnCause_RETURN_CAUSE_NONE, schema.ReturnCause_RETURN_CAUSE_FAILED, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST, schema.ReturnCause_RETURN_CAUSE_PREEMPTED} {
				h.checkout(k)
				attempt++
				So(h.activeTasks(), ShouldEqual, "s0.0-out ")
				if cause == schema.ReturnCause_RETURN_CAUSE_NONE {
					h.settle(k, attempt)
				} else {
					h.returnWithCheckpoint(k, attempt, cause, "so far")
				}
				So(h.activeTasks(), ShouldEqual, "s0.0 ")
			}
		}
		So(h.machine.jobs[1].tasks[0][0].lostAttempts, ShouldBeEmpty)
		So(h.eventOf(k).Failures, ShouldEqual, 0)
		So(h.eventOf(k).Checkpoint, ShouldEqual, "so far")
		h.checkout(k)
		So(h.cancel("j").CancelView.PendingOutcome, ShouldEqual, "cancelled")
		h.settle(k, attempt+1)
		So(h.state("j"), ShouldEqual, "cancelled")
	})
	Convey("So is a gang, as a whole", t, func() {
		for _, isWhole := range []bool{true, false} {
			h := newHarness()
			h.enqueue("c", 1, "j", &schema.Job{Text: "x", Steps: []*schema.Step{{Name: "g", Tasks: 2, Gang: true, RunUntilCancelled: true}}})
			h.checkout(key(1, 0, 0), key(1, 0, 1))
			if isWhole {
				h.settleGang(key(1, 0, 1), 1)
			} else {
				h.settle(key(1, 0, 1), 1)
				So(h.activeTasks(), ShouldEqual, "g0.0-stop ")
				h.settle(key(1, 0, 0), 1)
			}
			So(h.activeTasks(), ShouldEqual, "g0.0 g0.1 ")
			h.checkout(key(1, 0, 0), key(1, 0, 1))
			So(h.activeTasks(), ShouldEqual, "g0.0-out g0.1-out ")
			h.returnTask(key(1, 0, 0), 2, schema.ReturnCause_RETURN_CAUSE_FAILED)
			h.returnTask(key(1, 0, 1), 2, schema.ReturnCause_RETURN_CAUSE_PREEMPTED)
			So(h.activeTasks(), ShouldEqual, "g0.0 g0.1 ")
		}
	})
}

func TestCheckpoints(t *testing.T) {
	Convey("The latest checkpoint goes with the next start, whatever ended the last one", t, func() {
		h := newHarness()
		job := simpleJob(1)
		job.Steps[0].Checkpoints = true
		job.Steps = append(job.Steps, &schema.Step{Name: "plain", Tasks: 1, CoresMilli: 1})
		h.enqueue("c", 1, "j", job)
		k := key(1, 0, 0)
		checkpoint := func() string { return h.eventOf(k).Checkpoint }
		checkoutAndReturn := func(attempt uint32, cause schema.ReturnCause, text string) {
			h.checkout(k)
			h.returnWithCheckpoint(k, attempt, cause, text)
			h.restart()
		}
		checkoutAndReturn(1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST, "one")
		So(checkpoint(), ShouldEqual, "one")
		checkoutAndReturn(2, schema.ReturnCause_RETURN_CAUSE_PREEMPTED, "two")
		So(checkpoint(), ShouldEqual, "two")
		checkoutAndReturn(3, schema.ReturnCause_RETURN_CAUSE_PREEMPTED, "")
		So(checkpoint(), ShouldEqual, "two")
		checkoutAndReturn(4, schema.ReturnCause_RETURN_CAUSE_FAILED, strings.Repeat("x", 257))
		So(checkpoint(), ShouldEqual, "two")
		h.returnWithCheckpoint(k, 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED, "stale")
		So(checkpoint(), ShouldEqual, "two")
		h.checkout(k)
		So(checkpoint(), ShouldEqual, "two")
		h.settle(k, 5)
		So(h.machine.jobs[1].tasks[0][0].checkpoint, ShouldEqual, "")
		Convey("and a step without checkpoints gets none", func() {
			k := key(1, 1, 0)
			h.checkout(k)
			h.returnWithCheckpoint(k, 1, schema.ReturnCause_RETURN_CAUSE_PREEMPTED, "text")
			So(h.eventOf(k).Checkpoint, ShouldEqual, "")
		})
	})
}
