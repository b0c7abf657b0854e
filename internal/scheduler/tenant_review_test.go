package scheduler

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// confirmLeadershipOf confirms that this node leads these Raft groups, each in term 1, and no others.
func (h *harness) confirmLeadershipOf(groups ...string) {
	terms := map[string]uint64{}
	for _, group := range groups {
		terms[group] = 1
	}
	h.deliver(replica.LeadershipStatus{Terms: terms, IsClusterStateFresh: true})
}

// Guards against the removal of one queue making this node forget that another queue is new, so that limited tenants wait.
func TestRemovedQueueDoesNotHoldUpLimitedTenants(t *testing.T) {
	forEachKind(t, "A configuration that adds a queue and removes another one stops nothing", func(kind quotaKind) {
		h := newHarness("w")
		h.configure(kind.rows("l", "m"), "w")
		h.syncQueue("m", 10)
		h.syncQueue("l", 10)
		h.advance(2 * eventloop.Second) // longer than FormerLeaseTimeout
		h.sendHeartbeat("w", withAmpleCapacity(nil))
		h.confirmLeadershipOf("l#1", "m#1")
		h.configure(kind.rows("l", "k"), "w") // k is new and led by another node so far
		h.confirmLeadershipOf("l#1")
		h.deliverNext(readyTask("limited", 1, kind.step))
		So(h.placedJobs(), ShouldResemble, []uint64{1})
		h.deliver(replica.LeadershipLost{Queue: "m"})
		h.deliverNext(readyTask("limited", 2, kind.step))
		So(h.placedJobs(), ShouldResemble, []uint64{1, 2})
	})
}

// Guards against a new leader with an old copy of the cluster state counting a queue as new although its
// predecessor has placed tasks of that queue.
func TestQueueThatAPredecessorMayHaveUsedIsNotNew(t *testing.T) {
	forEachKind(t, "A queue that appears soon after this node came to lead the others isn't counted as empty", func(kind quotaKind) {
		h := newHarness("w")
		h.configure(kind.rows("l"), "w")
		h.syncQueue("l", 10)
		h.advance(eventloop.Second)
		h.sendHeartbeat("w", withAmpleCapacity(nil))
		h.confirmLeadershipOf("l#1")
		h.configure(kind.rows("l", "k"), "w")
		h.confirmLeadershipOf("l#1")
		h.deliverNext(readyTask("limited", 1, kind.step))
		So(h.placedJobs(), ShouldBeEmpty)
	})
}

// Guards against placing tasks a second time after their checkout was lost, although their tenant's limit has been
// lowered in the meantime.
func TestLostCheckoutsKeepToALoweredLimit(t *testing.T) {
	forEachKind(t, "What isn't checked out is placed within the limit of now", func(kind quotaKind) {
		h := newHarness("w")
		h.configure(kind.rowsWith(4*kind.limit, "l"), "w")
		var list []*queue.TaskEvent
		for job := uint64(1); job <= 8; job++ {
			list = append(list, readyTask("limited", job, kind.step))
		}
		h.syncQueue("l", 10, list...)
		h.sendHeartbeat("w", withAmpleCapacity(nil))
		So(len(h.placements()), ShouldEqual, 8)
		h.notified = nil // the proposals are lost: the replica drops them during a handover of the queue, which then fails
		h.configure(kind.rows("l"), "w")
		running := map[uint64]bool{}
		for end := h.now + 2*reservationTimeout; h.now < end; {
			h.advance(eventloop.Second / 4)
			h.sendHeartbeat("w", withAmpleCapacity(nil))
			for _, job := range h.placedJobs() {
				running[job] = true
			}
		}
		So(len(running), ShouldBeLessThanOrEqualTo, 3) // two tasks of the limit, and one more
	})
}

// Guards against a new leader not knowing the limit of a removed tenant, and so starting all its jobs.
func TestRemovedTenantsLimitOutlivesALeader(t *testing.T) {
	forEachKind(t, "A scheduler that never saw a removed tenant's limit keeps to it", func(kind quotaKind) {
		machine := clusterstate.New()
		update := func(revision uint64, rows []*schema.ConfigurationRow) {
			command := &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{
				UpdateConfiguration: &schema.UpdateConfiguration{Update: &schema.ConfigurationUpdate{BaseRevision: &revision, Rows: rows}},
			}}
			result, err := machine.Apply(1, replica.EncodeClusterStateCommand(command))
			So(err, ShouldBeNil)
			So(result.Code, ShouldEqual, 200)
		}
		update(0, kind.rows("l"))
		update(1, []*schema.ConfigurationRow{queueRow("l", "urgency", "10"), tenantRow("free", "weight_milli", 1000)})
		h := newHarness("w")
		state := machine.SharedState()
		state.Queues = []*schema.QueuePlacement{{Queue: "l", Generation: 1}}
		state.WorkerLeases = []*schema.WorkerLease{{Worker: "w", Scheduler: "me", FencingToken: 1}}
		h.deliver(&schema.ClusterStateResponse{State: state, Version: state.Version})
		var list []*queue.TaskEvent
		for job := uint64(1); job <= 5; job++ {
			list = append(list, readyTask("limited", job, kind.step))
		}
		h.syncQueue("l", 10, list...)
		h.sendHeartbeat("w", withAmpleCapacity(nil))
		So(h.countPlaced(1, 5), ShouldEqual, 2)
	})
}

// Guards against tasks with a lost checkout filling their tenant's limit and waiting behind a task that doesn't fit it.
func TestLostCheckoutsDoNotBlockTheirTenantForEver(t *testing.T) {
	forEachKind(t, "A step whose first ready task has no room places those that have theirs already", func(kind quotaKind) {
		many := &schema.Step{Name: "s", Tasks: 2, CoresMilli: kind.step.CoresMilli, MemoryMb: kind.step.MemoryMb, Accelerators: kind.step.Accelerators}
		task := func(number uint32, status queue.Status, worker string) *queue.TaskEvent {
			return forTenant("limited", newEvent(0, 1, number, status, worker, many))
		}
		h := newHarness("w")
		h.configure(kind.rows("l"), "w")
		h.syncQueue("l", 10, task(0, queue.CheckedOut, "w"), task(1, queue.Ready, ""))
		run := &schema.TaskStatus{Name: "j1", Attempt: 1, State: "running", Tenant: "limited", CoresMilli: many.CoresMilli, MemoryMb: many.MemoryMb, Accelerators: many.Accelerators}
		h.sendHeartbeat("w", withAmpleCapacityRunning(run))
		So(len(h.placements()), ShouldEqual, 1)
		// The checkout is lost, and the scheduler gives it up while the worker has no room.
		for end := h.now + reservationTimeout + eventloop.Second; h.now < end; {
			h.advance(eventloop.Second / 4)
			h.sendHeartbeat("w", withNames(func(a *schema.WorkerHeartbeat) { a.Running = []*schema.TaskStatus{run} }))
		}
		h.configure(kind.rowsWith(kind.limit/2, "l"), "w")
		again := task(0, queue.Ready, "")
		again.Attempt = 1
		h.deliverNext(again)
		h.notified = nil
		for range 20 {
			h.sendHeartbeat("w", withAmpleCapacity(nil))
			h.advance(eventloop.Second / 2)
		}
		So(len(h.placements()), ShouldBeGreaterThan, 0)
	})
}

// Guards against a gang that waits forever because single tasks take all room that becomes free in their tenant's limit.
func TestGangIsNotStarvedByItsOwnTenant(t *testing.T) {
	forEachKind(t, "A gang that fits its tenant's limit starts although single tasks keep coming", func(kind quotaKind) {
		h := newQuotaHarness(kind, checkedOutTask("limited", 101, "w", kind.step), checkedOutTask("limited", 102, "w", kind.step))
		h.deliverNext(readyGang("limited", 1, kind.withMembers(2))...)
		running := []uint64{101, 102}
		for job := uint64(103); job < 163 && h.countPlaced(1, 1) == 0; job++ {
			h.deliverNext(readyTask("limited", job, kind.step))
			if len(running) > 0 {
				h.deliverNext(newEvent(0, running[0], 0, queue.Inactive, "", kind.step))
				running = running[1:]
			}
			h.advance(eventloop.Second / 2)
			h.sendHeartbeat("w", withAmpleCapacity(nil))
			for _, placed := range h.placedJobs() {
				if placed > 1 {
					h.deliverNext(checkedOutTask("limited", placed, "w", kind.step))
					running = append(running, placed)
				}
			}
			if h.countPlaced(1, 1) == 0 {
				h.notified = nil
			}
		}
		So(h.countPlaced(1, 1), ShouldEqual, 2)
	})
}

// Guards against a pass counting a shape that finds no capacity once for each tenant that has tasks of this shape.
func TestOneShapeOfManyTenantsIsLookedAtOnce(t *testing.T) {
	Convey("A step behind a shape that finds no worker is placed, however many tenants have that shape", t, func() {
		placedWith := func(tenants int) []uint64 {
			h := newHarness("w")
			rows := []*schema.ConfigurationRow{queueRow("l", "urgency", "10")}
			h.configure(rows, "w")
			h.syncQueue("l", 10)
			h.sendHeartbeat("w", withCapacity(1000))
			large := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 900, MemoryMb: 10}
			small := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 100, MemoryMb: 10}
			h.deliverNext(newEvent(0, 1000, 0, queue.CheckedOut, "w", &schema.Step{Name: "s", Tasks: 1, CoresMilli: 500, MemoryMb: 10}))
			var list []*queue.TaskEvent
			for job := uint64(1); job <= 60; job++ {
				list = append(list, forTenant(fmt.Sprint("t", int(job)%tenants), newEvent(0, job, 0, queue.Ready, "", large)))
			}
			list = append(list, forTenant("t0", newEvent(0, 2000, 0, queue.Ready, "", small)))
			h.advance(TickInterval)
			h.deliverNext(list...)
			h.advance(3 * TickInterval)
			return h.placedJobs()
		}
		So(placedWith(1), ShouldResemble, []uint64{2000})
		So(placedWith(maxUnplaced+1), ShouldResemble, []uint64{2000})
	})
}

// Guards against a tenant with a small weight and no running tasks waiting as long as another tenant, which uses all workers, has a backlog.
func TestTenantWithASmallWeightHasItsTurn(t *testing.T) {
	Convey("A task larger than its tenant's fair share starts once the others had theirs", t, func() {
		h := newHarness("w")
		h.configure([]*schema.ConfigurationRow{tenantRow("light", "weight_milli", 1000), tenantRow("heavy", "weight_milli", 19_000), queueRow("l", "urgency", "10")}, "w")
		step := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 1000, MemoryMb: 10}
		list := []*queue.TaskEvent{readyTask("light", 1, step)}
		for job := uint64(2); job <= 300; job++ {
			list = append(list, readyTask("heavy", job, step))
		}
		h.syncQueue("l", 10, list...)
		const turns = 100 // 100 tasks end in these turns; the light tenant's share of them is five
		var running []uint64
		hasStarted := false
		for turn := 0; turn < turns && !hasStarted; turn++ {
			h.notified = nil
			h.advance(2 * TickInterval)
			h.sendHeartbeat("w", withCapacity(8000))
			h.advance(TickInterval)
			for _, job := range h.placedJobs() {
				hasStarted = hasStarted || job == 1
				running = append(running, job)
				h.deliverNext(checkedOutTask("heavy", job, "w", step))
			}
			h.deliverNext(newEvent(0, running[0], 0, queue.Inactive, "", step))
			running = running[1:]
		}
		So(hasStarted, ShouldBeTrue)
	})
}
