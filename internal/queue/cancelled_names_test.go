package queue

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/schema"
)

// newCancelHarness returns a harness whose queue follows the newest rules.
func newCancelHarness() *harness {
	h := newHarness()
	h.applyCommandVersion(CommandVersion)
	return h
}

// applyCommandVersion applies default settings with a command version.
func (h *harness) applyCommandVersion(version uint32) {
	h.apply(&schema.QueueCommand{Body: &schema.QueueCommand_ApplySettings{ApplySettings: &schema.ApplySettings{
		JobRetentionUs: DefaultRetentionUs, SnapshotInterval: DefaultSnapshotInterval, MaxRequeues: DefaultMaxRequeues, CommandVersion: version,
	}}})
}

// enqueueAs submits a job for a tenant and returns the only result.
func (h *harness) enqueueAs(tenant string, number uint64, name string) *schema.SubmitResult {
	effects := h.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Enqueue{Enqueue: &schema.Enqueue{
		Session: sessionOf("c"), Number: number, Name: name, Digest: []byte("text"), Job: simpleJob(1), Tenant: tenant,
	}}})
	So(len(effects.SubmitResults), ShouldEqual, 1)
	return effects.SubmitResults[0]
}

func (h *harness) cancelAs(tenant, name string) *Effects {
	return h.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Cancel{Cancel: &schema.Cancel{Name: name, Tenant: tenant}}})
}

// TestCancelBarsLaterSubmissions guards against a job that runs although its cancel was answered
// before its submission arrived.
func TestCancelBarsLaterSubmissions(t *testing.T) {
	Convey("Given a cancel of a name that no job has", t, func() {
		h := newCancelHarness()
		So(h.cancel("j").CancelCode, ShouldEqual, 404)
		isBarred := func(number uint64) {
			result := h.enqueueAs("", number, "j")
			So(result.Code, ShouldEqual, 409)
			So(result.Error.Code, ShouldEqual, "cancelled")
			So(result.View, ShouldBeNil)
			So(h.machine.LiveJobs(), ShouldEqual, 0)
			So(h.state("j"), ShouldEqual, "unknown")
		}
		Convey("a submission that arrives later is rejected, however often it is sent", func() {
			isBarred(1)
			isBarred(1)
			isBarred(2)
			So(h.enqueueAs("", 3, "other").Code, ShouldEqual, 201)
		})
		Convey("so it is after a restart from a snapshot, and on every replica", func() {
			h.restart()
			isBarred(1)
		})
		Convey("the bar lasts for the retention time after the latest cancel, and no longer", func() {
			h.now += CancelledNameRetentionUs - 1
			isBarred(1)
			So(h.cancel("j").CancelCode, ShouldEqual, 404)
			h.now += CancelledNameRetentionUs - 1
			isBarred(2)
			h.restart()
			h.now++
			h.tick()
			So(h.machine.CancelledNames(), ShouldEqual, 0)
			So(h.enqueueAs("", 3, "j").Code, ShouldEqual, 201)
		})
	})
	Convey("A submission that is held for a gap is rejected when the gap is filled after the cancel", t, func() {
		h := newCancelHarness()
		So(len(h.enqueue("c", 2, "j", simpleJob(1)).SubmitResults), ShouldEqual, 0)
		So(h.cancel("j").CancelCode, ShouldEqual, 404)
		effects := h.enqueue("c", 1, "one", simpleJob(1))
		So(len(effects.SubmitResults), ShouldEqual, 2)
		So([]int32{effects.SubmitResults[0].Code, effects.SubmitResults[1].Code}, ShouldResemble, []int32{201, 409})
		So(h.state("j"), ShouldEqual, "unknown")
	})
	Convey("The name of an accepted job stays barred after the cancelled job is forgotten", t, func() {
		h := newHarness()
		h.apply(&schema.QueueCommand{Body: &schema.QueueCommand_ApplySettings{ApplySettings: &schema.ApplySettings{
			JobRetentionUs: 1_000_000, SnapshotInterval: 64, MaxRequeues: 3, CommandVersion: CommandVersion,
		}}})
		So(h.enqueueAs("", 1, "j").Code, ShouldEqual, 201)
		So(h.cancel("j").CancelCode, ShouldEqual, 200)
		So(h.enqueueAs("", 2, "j").View.State, ShouldEqual, "cancelled")
		h.now += 1_000_000
		h.tick()
		So(h.state("j"), ShouldEqual, "unknown")
		So(h.enqueueAs("", 3, "j").Code, ShouldEqual, 409)
	})
	Convey("A cancel of one tenant doesn't bar the submission of another", t, func() {
		h := newCancelHarness()
		So(h.cancelAs("t", "j").CancelCode, ShouldEqual, 404)
		So(h.cancelAs("t", "k").CancelCode, ShouldEqual, 404)
		So(h.cancelAs("u", "k").CancelCode, ShouldEqual, 404)
		So(h.enqueueAs("t", 1, "j").Code, ShouldEqual, 409)
		So(h.enqueueAs("", 2, "j").Code, ShouldEqual, 409)
		So(h.enqueueAs("u", 3, "j").Code, ShouldEqual, 201)
		So(h.enqueueAs("t", 4, "k").Code, ShouldEqual, 409)
		So(h.enqueueAs("u", 5, "k").Code, ShouldEqual, 409)
	})
}

// TestCancelledNamesAreBounded guards against a queue whose state grows without bound, and
// against one that answers a cancel which it can't remember.
func TestCancelledNamesAreBounded(t *testing.T) {
	Convey("Given a queue that remembers as many cancels as it can", t, func() {
		h := newCancelHarness()
		So(h.enqueueAs("", 1, "live").Code, ShouldEqual, 201)
		for k := range maxCancelledNames {
			h.machine.cancelledNames.add(&schema.CancelledNameSnapshot{Name: fmt.Sprint("n", k), CancelledUs: h.now})
		}
		So(h.cancel("one more").CancelCode, ShouldEqual, 503)
		So(h.machine.CancelledNames(), ShouldEqual, maxCancelledNames)
		So(h.cancel("live").CancelCode, ShouldEqual, 200)
		Convey("it takes cancels again when the retention of others is over", func() {
			h.now += CancelledNameRetentionUs
			So(h.cancel("one more").CancelCode, ShouldEqual, 404)
			So(h.machine.CancelledNames(), ShouldEqual, 1)
		})
	})
}

// TestCommandVersion guards against replicas of different program versions that apply the same
// cancel differently.
func TestCommandVersion(t *testing.T) {
	Convey("Below the version that bars names, a cancel leaves the state as a former program does", t, func() {
		h := newHarness()
		h.applyCommandVersion(0)
		before := h.machine.Snapshot(false)
		So(h.cancel("j").CancelCode, ShouldEqual, 404)
		So(h.machine.Snapshot(false), ShouldResemble, before)
		So(h.enqueueAs("", 1, "j").Code, ShouldEqual, 201)
	})
	Convey("The version never falls", t, func() {
		h := newCancelHarness()
		h.applyCommandVersion(0)
		So(h.machine.Settings().CommandVersion, ShouldEqual, CommandVersion)
		h.restart()
		So(h.cancel("j").CancelCode, ShouldEqual, 404)
		So(h.enqueueAs("", 1, "j").Code, ShouldEqual, 409)
	})
}
