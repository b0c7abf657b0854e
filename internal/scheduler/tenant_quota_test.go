package scheduler

import (
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// eachKind runs a test for every kind of resource that may be limited.
func eachKind(t *testing.T, what string, test func(kind quotaKind)) {
	for _, kind := range quotaKinds {
		Convey(what+" ("+kind.name+")", t, func() { test(kind) })
	}
}

// Ready tasks of a tenant were placed as far as workers had room, whatever its limit.
func TestTenantRunsNoMoreThanItsLimit(t *testing.T) {
	eachKind(t, "What a tenant has ready beyond its limit isn't placed, what others have is", func(kind quotaKind) {
		h := newQuotaHarness(kind)
		var list []*queue.TaskEvent
		for job := uint64(1); job <= 5; job++ {
			list = append(list, readyOf("limited", job, kind.step), readyOf("free", 10+job, kind.step), readyOf("", 20+job, kind.step))
		}
		h.syncQueue("l", 10, list...)
		So(h.placedOf(1, 5), ShouldEqual, 2)
		So(h.placedOf(11, 15), ShouldEqual, 5)
		So(h.placedOf(21, 25), ShouldEqual, 5)
	})
	eachKind(t, "Nor where its tasks are of one step, or of several queues", func(kind quotaKind) {
		h := newQuotaHarness(kind)
		h.configure(kind.rows("l", "m"), "w")
		many := &schema.Step{Name: "s", Tasks: 4, CoresMilli: kind.step.CoresMilli, MemoryMb: kind.step.MemoryMb, Accelerators: kind.step.Accelerators}
		var list []*queue.TaskEvent
		for task := range many.Tasks {
			list = append(list, of("limited", newEvent(0, 1, task, queue.Ready, "", many)))
		}
		h.syncQueue("m", 10, readyOf("limited", 2, kind.step))
		h.syncQueue("l", 10, list...)
		So(len(h.placements()), ShouldEqual, 2)
	})
}

// What runs or may start counts, also if it is no longer, or not yet, checked out.
func TestAllThatMayRunCountsForItsTenant(t *testing.T) {
	eachKind(t, "Beside one task that has the limit's half, one more is placed", func(kind quotaKind) {
		for what, occupy := range map[string]func(h *harness) []*queue.TaskEvent{
			"that is checked out": func(*harness) []*queue.TaskEvent {
				return []*queue.TaskEvent{outOf("limited", 9, "w", kind.step)}
			},
			"that is checked out to a worker whose lease another scheduler holds": func(*harness) []*queue.TaskEvent {
				return []*queue.TaskEvent{outOf("limited", 9, "elsewhere", kind.step)}
			},
			"that is being stopped": func(*harness) []*queue.TaskEvent {
				return []*queue.TaskEvent{of("limited", newEvent(0, 9, 0, queue.Stopping, "w", kind.step))}
			},
			"whose checkout is on its way": func(h *harness) []*queue.TaskEvent {
				h.deliverNext(readyOf("limited", 9, kind.step))
				So(h.placedJobs(), ShouldResemble, []uint64{9})
				h.notified = nil
				return []*queue.TaskEvent{readyOf("limited", 9, kind.step)}
			},
			"that a worker lists though no queue knows it": func(h *harness) []*queue.TaskEvent {
				h.sendHeartbeat("w", lists(runOf(9, "limited", kind.step)))
				return nil
			},
			"that a worker lists without saying whose it is": func(h *harness) []*queue.TaskEvent {
				h.sendHeartbeat("w", lists(runOf(9, "", kind.step)))
				return nil
			},
		} {
			Convey(what, func() {
				h := newQuotaHarness(kind)
				list := append(occupy(h), readyOf("limited", 1, kind.step), readyOf("limited", 2, kind.step), readyOf("free", 3, kind.step))
				h.syncQueue("l", 10, list...)
				So(h.placedOf(1, 2), ShouldEqual, 1)
				So(h.placedOf(3, 3), ShouldEqual, 1)
			})
		}
	})
	eachKind(t, "An attempt that still runs counts beside the one that has followed it", func(kind quotaKind) {
		h := newQuotaHarness(kind)
		again := outOf("limited", 9, "elsewhere", kind.step)
		again.Attempt = 2
		h.syncQueue("l", 10, again)
		h.sendHeartbeat("w", lists(runOf(9, "limited", kind.step)))
		h.deliverNext(readyOf("limited", 1, kind.step), readyOf("free", 3, kind.step))
		So(h.placedJobs(), ShouldResemble, []uint64{3})
	})
	eachKind(t, "A run that may be anybody's counts for every tenant", func(kind quotaKind) {
		h := newQuotaHarness(kind)
		h.sendHeartbeat("w", lists(runOf(9, "", kind.step)))
		h.syncQueue("l", 10, readyOf("limited", 1, kind.step), readyOf("limited", 2, kind.step), readyOf("equal", 11, kind.step), readyOf("equal", 12, kind.step))
		So(h.placedOf(1, 2), ShouldEqual, 1)
		So(h.placedOf(11, 12), ShouldEqual, 1)
	})
}

// A checkout that was given up was committed after all, and a third task ran beside.
func TestCheckoutThatWasGivenUpCounts(t *testing.T) {
	eachKind(t, "A checkout that may yet be committed counts", func(kind quotaKind) {
		h := newHarness("v", "w")
		h.configure(kind.rows("l"), "v", "w")
		h.syncQueue("l", 10, readyOf("limited", 11, kind.step), readyOf("limited", 12, kind.step))
		h.sendHeartbeat("w", wide(nil))
		So(h.placedJobs(), ShouldResemble, []uint64{11, 12})
		h.notified = nil
		// The older job comes first wherever it may run.
		h.deliverNext(readyOf("limited", 3, kind.step))
		for end := h.now + 2*reservationTimeout; h.now < end; {
			h.advance(eventloop.Second / 2)
			h.sendHeartbeat("w", wide(nil))
		}
		So(h.placedOf(3, 3), ShouldEqual, 0)
	})
}

// The checkouts of a former term are lost, but their tasks were placed again whatever the limit
// was by then.
func TestCheckoutOfAFormerTermIsNoReasonToExceedTheLimit(t *testing.T) {
	eachKind(t, "Of three checkouts that were lost two are proposed again where the limit fits two now", func(kind quotaKind) {
		h := newHarness("w")
		h.configure(kind.rowsWith(2*kind.limit, "l"), "w")
		tasks := []*queue.TaskEvent{readyOf("limited", 1, kind.step), readyOf("limited", 2, kind.step), readyOf("limited", 3, kind.step)}
		h.syncQueue("l", 10, tasks...)
		h.sendHeartbeat("w", wide(nil))
		So(h.placedOf(1, 3), ShouldEqual, 3)
		h.notified = nil
		h.configure(kind.rows("l"), "w")
		inNewTerm := replica.LeadershipStatus{Terms: map[string]uint64{"l#1": 2}, IsClusterStateFresh: true}
		h.deliver(inNewTerm)
		h.deliver(replica.TaskEvents{Queue: "l", Group: "l#1", Term: 2, LastSequence: 1, Events: tasks, IsSnapshot: true, MaxRunning: 1000, Urgency: 10})
		for end := h.now + reservationTimeout + eventloop.Second; h.now < end; h.now += eventloop.Second / 2 {
			h.deliver(inNewTerm)
			h.sendHeartbeat("w", wide(nil))
			h.deliver(eventloop.Tick{})
		}
		jobs := h.placedJobs()
		slices.Sort(jobs)
		So(slices.Compact(jobs), ShouldResemble, []uint64{1, 2})
	})
}

// The jobs of a queue that the configuration removes go on, but its leader wasn't asked for.
func TestRemovedQueueCountsWhileItsJobsGoOn(t *testing.T) {
	eachKind(t, "While another node leads a queue that was removed", func(kind quotaKind) {
		h := newHarness("w")
		h.configure(kind.rows("l", "m"), "w")
		h.syncQueue("m", 10, outOf("limited", 8, "w", kind.step), outOf("limited", 9, "w", kind.step))
		h.syncQueue("l", 10)
		h.sendHeartbeat("w", wide(nil))
		state := &schema.ClusterState{
			Version: 3, Configuration: &schema.Configuration{Rows: kind.rows("l")}, WorkerLeases: []*schema.WorkerLease{{Worker: "w", Scheduler: "me", FencingToken: 1}},
			Queues: []*schema.QueuePlacement{{Queue: "l", Generation: 1}, {Queue: "m", Generation: 1}},
		}
		h.deliver(&schema.ClusterStateResponse{State: state, Version: 3})
		h.deliver(replica.LeadershipLost{Queue: "m"})
		h.deliverNext(readyOf("limited", 1, kind.step), readyOf("free", 2, kind.step))
		h.advance(2 * TickInterval)
		So(h.placedJobs(), ShouldResemble, []uint64{2})
	})
}

// Two schedulers that each led one queue placed up to the whole limit each.
func TestNothingIsPlacedForLimitedTenantsUnlessAllQueuesAreLed(t *testing.T) {
	eachKind(t, "Without the lead of every queue", func(kind quotaKind) {
		h := newHarness("w")
		h.configure(kind.rows("l", "m"), "w")
		h.sendHeartbeat("w", wide(nil))
		tasks := []*queue.TaskEvent{readyOf("limited", 1, kind.step), readyOf("free", 2, kind.step), readyOf("", 3, kind.step), readyOf("unknown", 4, kind.step)}
		Convey("tasks of tenants with a limit aren't placed, others are", func() {
			h.syncQueue("l", 10, tasks...)
			So(h.placedOf(1, 1), ShouldEqual, 0)
			So(h.placedOf(2, 4), ShouldEqual, 3)
			h.syncQueue("m", 10)
			h.advance(2 * TickInterval)
			So(h.placedOf(1, 1), ShouldEqual, 1)
		})
		Convey("nor once the lead of one is lost", func() {
			h.syncQueue("m", 10)
			h.deliver(replica.LeadershipLost{Queue: "m"})
			h.syncQueue("l", 10, tasks...)
			So(h.placedOf(1, 1), ShouldEqual, 0)
			So(h.placedOf(2, 4), ShouldEqual, 3)
		})
		Convey("nor while the lead of one isn't confirmed", func() {
			h.syncQueue("m", 10)
			h.syncQueue("l", 10)
			h.deliver(replica.LeadershipStatus{Terms: map[string]uint64{"l#1": 1}, IsClusterStateFresh: true})
			h.deliverNext(tasks...)
			So(h.placedOf(1, 1), ShouldEqual, 0)
			So(h.placedOf(2, 4), ShouldEqual, 3)
		})
	})
}

// A quota that is changed while tasks run.
func TestChangedLimitHoldsForTheNextPlacement(t *testing.T) {
	eachKind(t, "Under a lowered limit nothing is placed until use is below it, under a raised one at once", func(kind quotaKind) {
		h := newHarness("w")
		h.configure(kind.rowsWith(2*kind.limit, "l"), "w")
		h.syncQueue("l", 10)
		h.sendHeartbeat("w", wide(nil))
		for job := uint64(1); job <= 4; job++ {
			h.deliverNext(outOf("limited", job, "w", kind.step))
		}
		h.configure(kind.rows("l"), "w")
		h.deliverNext(readyOf("limited", 11, kind.step), readyOf("limited", 12, kind.step), readyOf("free", 13, kind.step))
		So(h.placedJobs(), ShouldResemble, []uint64{13})
		Convey("lowered", func() {
			h.deliverNext(newEvent(0, 1, 0, queue.Inactive, "", kind.step), newEvent(0, 2, 0, queue.Inactive, "", kind.step))
			h.advance(2 * TickInterval)
			So(h.placedOf(11, 12), ShouldEqual, 0)
			h.deliverNext(newEvent(0, 3, 0, queue.Inactive, "", kind.step))
			h.advance(2 * TickInterval)
			So(h.placedOf(11, 12), ShouldEqual, 1)
		})
		Convey("raised", func() {
			h.configure(kind.rowsWith(3*kind.limit, "l"), "w")
			So(h.placedOf(11, 12), ShouldEqual, 2)
		})
	})
}

// A gang's members were counted one by one, and wide tasks against what was left.
func TestGangsAndWideTasksKeepToTheLimit(t *testing.T) {
	eachKind(t, "A gang is placed whole within the limit", func(kind quotaKind) {
		h := newQuotaHarness(kind, outOf("limited", 9, "w", kind.step))
		h.deliverNext(readyGang("limited", 1, kind.withMembers(2))...)
		h.advance(2 * TickInterval)
		So(h.placements(), ShouldBeEmpty)
		h.deliverNext(newEvent(0, 9, 0, queue.Inactive, "", kind.step))
		h.advance(2 * TickInterval)
		So(h.placedOf(1, 1), ShouldEqual, 2)
	})
	eachKind(t, "or not at all", func(kind quotaKind) {
		h := newQuotaHarness(kind, readyGang("limited", 1, kind.withMembers(5))...)
		So(h.placements(), ShouldBeEmpty)
		h.deliverNext(readyGang("free", 2, kind.withMembers(5))...)
		So(h.placedOf(2, 2), ShouldEqual, 5)
	})
	eachKind(t, "A task that is wider than the limit runs while nothing else of its tenant does", func(kind quotaKind) {
		vast := &schema.Step{Name: "v", Tasks: 1, CoresMilli: 4 * kind.step.CoresMilli, MemoryMb: 4 * kind.step.MemoryMb, Accelerators: 4 * kind.step.Accelerators}
		h := newQuotaHarness(kind, outOf("limited", 9, "w", kind.step))
		h.deliverNext(readyOf("limited", 1, vast))
		So(h.placements(), ShouldBeEmpty)
		h.deliverNext(newEvent(0, 9, 0, queue.Inactive, "", kind.step))
		h.advance(2 * TickInterval)
		So(h.placedJobs(), ShouldResemble, []uint64{1})
		h.deliverNext(readyOf("limited", 2, vast), readyOf("limited", 3, kind.step))
		h.advance(2 * TickInterval)
		So(h.placedJobs(), ShouldResemble, []uint64{1})
	})
}

// An end that a worker lists frees the worker at once, so it frees the tenant's use as well.
func TestListedEndFreesTheTenantsUse(t *testing.T) {
	eachKind(t, "An end that a worker lists makes room for the tenant's next task", func(kind quotaKind) {
		h := newQuotaHarness(kind, outOf("limited", 8, "w", kind.step), outOf("limited", 9, "w", kind.step))
		h.deliverNext(readyOf("limited", 1, kind.step), readyOf("limited", 2, kind.step))
		So(h.placements(), ShouldBeEmpty)
		h.sendHeartbeat("w", listsEnded(endOf(9)))
		So(h.placedJobs(), ShouldResemble, []uint64{1})
		h.deliverNext(newEvent(0, 9, 0, queue.Inactive, "", kind.step))
		h.advance(2 * TickInterval)
		So(h.placedJobs(), ShouldResemble, []uint64{1})
	})
}
