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

// forEachKind runs a test for every kind of resource that may be limited.
func forEachKind(t *testing.T, description string, test func(kind quotaKind)) {
	for _, kind := range quotaKinds {
		Convey(description+" ("+kind.name+")", t, func() { test(kind) })
	}
}

// Guards against placing a tenant's ready tasks wherever workers have room, regardless of its limit.
func TestTenantRunsNoMoreThanItsLimit(t *testing.T) {
	forEachKind(t, "What a tenant has ready beyond its limit isn't placed, what others have is", func(kind quotaKind) {
		h := newQuotaHarness(kind)
		var list []*queue.TaskEvent
		for job := uint64(1); job <= 5; job++ {
			list = append(list, readyTask("limited", job, kind.step), readyTask("free", 10+job, kind.step), readyTask("", 20+job, kind.step))
		}
		h.syncQueue("l", 10, list...)
		So(h.countPlaced(1, 5), ShouldEqual, 2)
		So(h.countPlaced(11, 15), ShouldEqual, 5)
		So(h.countPlaced(21, 25), ShouldEqual, 5)
	})
	forEachKind(t, "Nor where its tasks are of one step, or of several queues", func(kind quotaKind) {
		h := newQuotaHarness(kind)
		h.configure(kind.rows("l", "m"), "w")
		many := &schema.Step{Name: "s", Tasks: 4, CoresMilli: kind.step.CoresMilli, MemoryMb: kind.step.MemoryMb, Accelerators: kind.step.Accelerators}
		var list []*queue.TaskEvent
		for task := range many.Tasks {
			list = append(list, forTenant("limited", newEvent(0, 1, task, queue.Ready, "", many)))
		}
		h.syncQueue("m", 10, readyTask("limited", 2, kind.step))
		h.syncQueue("l", 10, list...)
		So(len(h.placements()), ShouldEqual, 2)
	})
}

// Checks that all tasks that run or may start count, including those that are no longer or not yet checked out.
func TestAllThatMayRunCountsForItsTenant(t *testing.T) {
	forEachKind(t, "Beside one task that has the limit's half, one more is placed", func(kind quotaKind) {
		for what, occupy := range map[string]func(h *harness) []*queue.TaskEvent{
			"that is checked out": func(*harness) []*queue.TaskEvent {
				return []*queue.TaskEvent{checkedOutTask("limited", 9, "w", kind.step)}
			},
			"that is checked out to a worker whose lease another scheduler holds": func(*harness) []*queue.TaskEvent {
				return []*queue.TaskEvent{checkedOutTask("limited", 9, "elsewhere", kind.step)}
			},
			"that is being stopped": func(*harness) []*queue.TaskEvent {
				return []*queue.TaskEvent{forTenant("limited", newEvent(0, 9, 0, queue.Stopping, "w", kind.step))}
			},
			"whose checkout is on its way": func(h *harness) []*queue.TaskEvent {
				h.deliverNext(readyTask("limited", 9, kind.step))
				So(h.placedJobs(), ShouldResemble, []uint64{9})
				h.notified = nil
				return []*queue.TaskEvent{readyTask("limited", 9, kind.step)}
			},
			"that a worker lists though no queue knows it": func(h *harness) []*queue.TaskEvent {
				h.sendHeartbeat("w", withAmpleCapacityRunning(runningStatus(9, "limited", kind.step)))
				return nil
			},
			"that a worker lists without saying whose it is": func(h *harness) []*queue.TaskEvent {
				h.sendHeartbeat("w", withAmpleCapacityRunning(runningStatus(9, "", kind.step)))
				return nil
			},
		} {
			Convey(what, func() {
				h := newQuotaHarness(kind)
				list := append(occupy(h), readyTask("limited", 1, kind.step), readyTask("limited", 2, kind.step), readyTask("free", 3, kind.step))
				h.syncQueue("l", 10, list...)
				So(h.countPlaced(1, 2), ShouldEqual, 1)
				So(h.countPlaced(3, 3), ShouldEqual, 1)
			})
		}
	})
	forEachKind(t, "An attempt that still runs counts beside the one that has followed it", func(kind quotaKind) {
		h := newQuotaHarness(kind)
		again := checkedOutTask("limited", 9, "elsewhere", kind.step)
		again.Attempt = 2
		h.syncQueue("l", 10, again)
		h.sendHeartbeat("w", withAmpleCapacityRunning(runningStatus(9, "limited", kind.step)))
		h.deliverNext(readyTask("limited", 1, kind.step), readyTask("free", 3, kind.step))
		So(h.placedJobs(), ShouldResemble, []uint64{3})
	})
	forEachKind(t, "A run that may be anybody's counts for every tenant", func(kind quotaKind) {
		h := newQuotaHarness(kind)
		h.sendHeartbeat("w", withAmpleCapacityRunning(runningStatus(9, "", kind.step)))
		h.syncQueue("l", 10, readyTask("limited", 1, kind.step), readyTask("limited", 2, kind.step), readyTask("equal", 11, kind.step), readyTask("equal", 12, kind.step))
		So(h.countPlaced(1, 2), ShouldEqual, 1)
		So(h.countPlaced(11, 12), ShouldEqual, 1)
	})
}

// Guards against placing one task too many because a checkout that was given up, but may still be committed, isn't counted.
func TestCheckoutThatWasGivenUpCounts(t *testing.T) {
	forEachKind(t, "A checkout that may yet be committed counts", func(kind quotaKind) {
		h := newHarness("v", "w")
		h.configure(kind.rows("l"), "v", "w")
		h.syncQueue("l", 10, readyTask("limited", 11, kind.step), readyTask("limited", 12, kind.step))
		h.sendHeartbeat("w", withAmpleCapacity(nil))
		So(h.placedJobs(), ShouldResemble, []uint64{11, 12})
		h.notified = nil
		// Job 3 is older and would be placed first if the limit had room.
		h.deliverNext(readyTask("limited", 3, kind.step))
		for end := h.now + 2*reservationTimeout; h.now < end; {
			h.advance(eventloop.Second / 2)
			h.sendHeartbeat("w", withAmpleCapacity(nil))
		}
		So(h.countPlaced(3, 3), ShouldEqual, 0)
	})
}

// Guards against exceeding a lowered limit after a new term: the checkouts of the former term are
// lost, and their tasks were placed again regardless of the present limit.
func TestCheckoutOfAFormerTermIsNoReasonToExceedTheLimit(t *testing.T) {
	forEachKind(t, "Of three checkouts that were lost two are proposed again where the limit fits two now", func(kind quotaKind) {
		h := newHarness("w")
		h.configure(kind.rowsWith(2*kind.limit, "l"), "w")
		tasks := []*queue.TaskEvent{readyTask("limited", 1, kind.step), readyTask("limited", 2, kind.step), readyTask("limited", 3, kind.step)}
		h.syncQueue("l", 10, tasks...)
		h.sendHeartbeat("w", withAmpleCapacity(nil))
		So(h.countPlaced(1, 3), ShouldEqual, 3)
		h.notified = nil
		h.configure(kind.rows("l"), "w")
		inNewTerm := replica.LeadershipStatus{Terms: map[string]uint64{"l#1": 2}, IsClusterStateFresh: true}
		h.deliver(inNewTerm)
		h.deliver(replica.TaskEvents{Queue: "l", Group: "l#1", Term: 2, LastSequence: 1, Events: tasks, IsSnapshot: true, MaxRunning: 1000, Urgency: 10})
		for end := h.now + reservationTimeout + eventloop.Second; h.now < end; h.now += eventloop.Second / 2 {
			h.deliver(inNewTerm)
			h.sendHeartbeat("w", withAmpleCapacity(nil))
			h.deliver(eventloop.Tick{})
		}
		jobs := h.placedJobs()
		slices.Sort(jobs)
		So(slices.Compact(jobs), ShouldResemble, []uint64{1, 2})
	})
}

// Guards against ignoring the tasks of a queue that was removed from the configuration. Its jobs continue, and another
// node leads it.
func TestRemovedQueueCountsWhileItsJobsGoOn(t *testing.T) {
	forEachKind(t, "While another node leads a queue that was removed", func(kind quotaKind) {
		h := newHarness("w")
		h.configure(kind.rows("l", "m"), "w")
		h.syncQueue("m", 10, checkedOutTask("limited", 8, "w", kind.step), checkedOutTask("limited", 9, "w", kind.step))
		h.syncQueue("l", 10)
		h.sendHeartbeat("w", withAmpleCapacity(nil))
		state := &schema.ClusterState{
			Version: 3, Configuration: &schema.Configuration{Rows: kind.rows("l")}, WorkerLeases: []*schema.WorkerLease{{Worker: "w", Scheduler: "me", FencingToken: 1}},
			Queues: []*schema.QueuePlacement{{Queue: "l", Generation: 1}, {Queue: "m", Generation: 1}},
		}
		h.deliver(&schema.ClusterStateResponse{State: state, Version: 3})
		h.deliver(replica.LeadershipLost{Queue: "m"})
		h.deliverNext(readyTask("limited", 1, kind.step), readyTask("free", 2, kind.step))
		h.advance(2 * TickInterval)
		So(h.placedJobs(), ShouldResemble, []uint64{2})
	})
}

// Guards against two schedulers that lead one queue each and place tasks up to the whole limit each.
func TestNothingIsPlacedForLimitedTenantsUnlessAllQueuesAreLed(t *testing.T) {
	forEachKind(t, "Without the lead of every queue", func(kind quotaKind) {
		h := newHarness("w")
		h.configure(kind.rows("l", "m"), "w")
		h.sendHeartbeat("w", withAmpleCapacity(nil))
		tasks := []*queue.TaskEvent{readyTask("limited", 1, kind.step), readyTask("free", 2, kind.step), readyTask("", 3, kind.step), readyTask("unknown", 4, kind.step)}
		Convey("tasks of tenants with a limit aren't placed, others are", func() {
			h.syncQueue("l", 10, tasks...)
			So(h.countPlaced(1, 1), ShouldEqual, 0)
			So(h.countPlaced(2, 4), ShouldEqual, 3)
			h.syncQueue("m", 10)
			h.advance(2 * TickInterval)
			So(h.countPlaced(1, 1), ShouldEqual, 1)
		})
		Convey("nor once the lead of one is lost", func() {
			h.syncQueue("m", 10)
			h.deliver(replica.LeadershipLost{Queue: "m"})
			h.syncQueue("l", 10, tasks...)
			So(h.countPlaced(1, 1), ShouldEqual, 0)
			So(h.countPlaced(2, 4), ShouldEqual, 3)
		})
		Convey("nor while the lead of one isn't confirmed", func() {
			h.syncQueue("m", 10)
			h.syncQueue("l", 10)
			h.deliver(replica.LeadershipStatus{Terms: map[string]uint64{"l#1": 1}, IsClusterStateFresh: true})
			h.deliverNext(tasks...)
			So(h.countPlaced(1, 1), ShouldEqual, 0)
			So(h.countPlaced(2, 4), ShouldEqual, 3)
		})
	})
}

// Checks that a limit that changes while tasks run applies to the next placement.
func TestChangedLimitHoldsForTheNextPlacement(t *testing.T) {
	forEachKind(t, "Under a lowered limit nothing is placed until use is below it, under a raised one at once", func(kind quotaKind) {
		h := newHarness("w")
		h.configure(kind.rowsWith(2*kind.limit, "l"), "w")
		h.syncQueue("l", 10)
		h.sendHeartbeat("w", withAmpleCapacity(nil))
		for job := uint64(1); job <= 4; job++ {
			h.deliverNext(checkedOutTask("limited", job, "w", kind.step))
		}
		h.configure(kind.rows("l"), "w")
		h.deliverNext(readyTask("limited", 11, kind.step), readyTask("limited", 12, kind.step), readyTask("free", 13, kind.step))
		So(h.placedJobs(), ShouldResemble, []uint64{13})
		Convey("lowered", func() {
			h.deliverNext(newEvent(0, 1, 0, queue.Inactive, "", kind.step), newEvent(0, 2, 0, queue.Inactive, "", kind.step))
			h.advance(2 * TickInterval)
			So(h.countPlaced(11, 12), ShouldEqual, 0)
			h.deliverNext(newEvent(0, 3, 0, queue.Inactive, "", kind.step))
			h.advance(2 * TickInterval)
			So(h.countPlaced(11, 12), ShouldEqual, 1)
		})
		Convey("raised", func() {
			h.configure(kind.rowsWith(3*kind.limit, "l"), "w")
			So(h.countPlaced(11, 12), ShouldEqual, 2)
		})
	})
}

// Guards against counting the members of a gang one by one, and against comparing a task wider than the limit
// with the remaining room, which it never fits.
func TestGangsAndWideTasksKeepToTheLimit(t *testing.T) {
	forEachKind(t, "A gang is placed whole within the limit", func(kind quotaKind) {
		h := newQuotaHarness(kind, checkedOutTask("limited", 9, "w", kind.step))
		h.deliverNext(readyGang("limited", 1, kind.withMembers(2))...)
		h.advance(2 * TickInterval)
		So(h.placements(), ShouldBeEmpty)
		h.deliverNext(newEvent(0, 9, 0, queue.Inactive, "", kind.step))
		h.advance(2 * TickInterval)
		So(h.countPlaced(1, 1), ShouldEqual, 2)
	})
	forEachKind(t, "or not at all", func(kind quotaKind) {
		h := newQuotaHarness(kind, readyGang("limited", 1, kind.withMembers(5))...)
		So(h.placements(), ShouldBeEmpty)
		h.deliverNext(readyGang("free", 2, kind.withMembers(5))...)
		So(h.countPlaced(2, 2), ShouldEqual, 5)
	})
	forEachKind(t, "A task that is wider than the limit runs while nothing else of its tenant does", func(kind quotaKind) {
		oversized := &schema.Step{Name: "v", Tasks: 1, CoresMilli: 4 * kind.step.CoresMilli, MemoryMb: 4 * kind.step.MemoryMb, Accelerators: 4 * kind.step.Accelerators}
		h := newQuotaHarness(kind, checkedOutTask("limited", 9, "w", kind.step))
		h.deliverNext(readyTask("limited", 1, oversized))
		So(h.placements(), ShouldBeEmpty)
		h.deliverNext(newEvent(0, 9, 0, queue.Inactive, "", kind.step))
		h.advance(2 * TickInterval)
		So(h.placedJobs(), ShouldResemble, []uint64{1})
		h.deliverNext(readyTask("limited", 2, oversized), readyTask("limited", 3, kind.step))
		h.advance(2 * TickInterval)
		So(h.placedJobs(), ShouldResemble, []uint64{1})
	})
}

// Checks that an end that a worker lists frees the tenant's use at once, as it frees the worker.
func TestListedEndFreesTheTenantsUse(t *testing.T) {
	forEachKind(t, "An end that a worker lists makes room for the tenant's next task", func(kind quotaKind) {
		h := newQuotaHarness(kind, checkedOutTask("limited", 8, "w", kind.step), checkedOutTask("limited", 9, "w", kind.step))
		h.deliverNext(readyTask("limited", 1, kind.step), readyTask("limited", 2, kind.step))
		So(h.placements(), ShouldBeEmpty)
		h.sendHeartbeat("w", withAmpleCapacityEnded(doneStatus(9)))
		So(h.placedJobs(), ShouldResemble, []uint64{1})
		h.deliverNext(newEvent(0, 9, 0, queue.Inactive, "", kind.step))
		h.advance(2 * TickInterval)
		So(h.placedJobs(), ShouldResemble, []uint64{1})
	})
}
