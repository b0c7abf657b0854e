package scheduler

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

// Guards against counting a tenant's work beyond its limit as work for which the pool has no capacity.
func TestTenantAtItsLimitHoldsNobodyUp(t *testing.T) {
	Convey("Its waiting work doesn't preempt", t, func() { checkNoPreemption() })
	Convey("claims no workers", t, func() { checkNoClaims() })
	Convey("doesn't use the boosted share", t, func() { checkNoBoost() })
	Convey("stops nothing behind it, nor makes its pool starved", t, func() { checkNothingBehindIsStopped() })
	Convey("and reserves nothing of what is being freed", t, func() { checkNothingIsReserved() })
}

var coresLimit = quotaKinds[0]

// checkNoPreemption checks that a task beyond its tenant's limit preempts no less urgent task.
func checkNoPreemption() {
	step := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 1000, MemoryMb: 10}
	evictedWith := func(tenant string) map[uint64]int {
		h := newHarness("w")
		h.configure(coresLimit.rows("l", "m"), "w")
		h.syncQueue("l", 10, checkedOutTask("free", 1, "w", step))
		h.syncQueue("m", 50, checkedOutTask(tenant, 8, "elsewhere", step), readyTask(tenant, 9, step))
		for range 10 {
			h.sendHeartbeat("w", withRunning(runningStatus(1, "free", step)))
			h.advance(100 * eventloop.Millisecond)
		}
		return h.evictedTasks()
	}
	So(evictedWith("free"), ShouldResemble, map[uint64]int{1: 1})
	So(evictedWith("limited"), ShouldBeEmpty)
}

// checkNoClaims checks that a large task beyond its tenant's limit keeps no worker free.
func checkNoClaims() {
	oversized := &schema.Step{Name: "v", Tasks: 1, CoresMilli: 900, MemoryMb: 10}
	small := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 300, MemoryMb: 10}
	placedWith := func(tenant string) []uint64 {
		h := newHarness("w")
		h.configure(coresLimit.rows("l", "m"), "w")
		h.syncQueue("m", 10, checkedOutTask("", 8, "w", small))
		h.syncQueue("l", 10, checkedOutTask(tenant, 1, "elsewhere", oversized), readyTask(tenant, 2, oversized))
		for range 17 {
			h.sendHeartbeat("w", withRunning(runningStatus(8, "", small)))
			h.advance(100 * eventloop.Millisecond)
		}
		h.sendHeartbeat("w", withRunning(runningStatus(8, "", small)))
		h.syncQueue("m", 10, checkedOutTask("", 8, "w", small), readyTask("free", 9, small))
		return h.placedJobs()
	}
	So(placedWith("free"), ShouldBeEmpty)
	So(placedWith("limited"), ShouldResemble, []uint64{9})
}

// checkNoBoost checks that a starving task beyond its tenant's limit takes nothing of the boosted share.
func checkNoBoost() {
	core := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 1000, MemoryMb: 10, EstimatedRunUs: int64(eventloop.Second)}
	rows := append(append(coresLimit.rows(), starvationRows...), tenantRow("limited", "max_cores_milli", 1000))
	placedWith := func(tenant string, starving func(uint64, *schema.Step, eventloop.Micros) *queue.TaskEvent) []uint64 {
		h := newHarness("w")
		h.configure(rows, "w")
		h.sendHeartbeat("w", withNames(func(a *schema.WorkerHeartbeat) { a.Draining = true }))
		var fresh []*queue.TaskEvent
		for job := uint64(101); job <= 104; job++ {
			fresh = append(fresh, readyStep(job, core, 0))
		}
		h.syncQueue("m", 50, fresh...)
		h.syncQueue("l", 10, checkedOutTask(tenant, 9, "elsewhere", core), forTenant(tenant, starving(1, core, 40*eventloop.Second)), forTenant("free", starving(2, core, 35*eventloop.Second)))
		h.sendHeartbeat("w", withCapacity(4000))
		return h.placedJobs()
	}
	for _, starving := range []func(uint64, *schema.Step, eventloop.Micros) *queue.TaskEvent{lostStep, readyStep} {
		So(placedWith("free", starving), ShouldResemble, []uint64{1, 101, 102, 103})
		So(placedWith("limited", starving), ShouldResemble, []uint64{2, 101, 102, 103})
	}
}

// checkNothingBehindIsStopped checks that steps beyond their tenant's limit don't end the pass
// before steps of other tenants, and don't count as a lack of capacity.
func checkNothingBehindIsStopped() {
	h := newQuotaHarness(coresLimit, checkedOutTask("limited", 90, "w", &schema.Step{Name: "s", Tasks: 1, CoresMilli: 1000}))
	var list []*queue.TaskEvent
	// More steps than the pass limit on unplaced steps, each of another shape.
	for job := uint64(1); job <= 2*maxUnplaced; job++ {
		list = append(list, readyTask("limited", job, &schema.Step{Name: "s", Tasks: 1, CoresMilli: 100, MemoryMb: int64(job)}))
	}
	// Two tasks of other tenants, with the shape that comes first.
	list = append(list, readyTask("free", 101, list[0].Spec), readyTask("", 102, list[0].Spec))
	h.deliverNext(list...)
	h.advance(2 * TickInterval)
	So(h.placedJobs(), ShouldResemble, []uint64{101, 102})
	So(h.scheduler.starvedPools, ShouldBeEmpty)
}

// checkNothingIsReserved checks that capacity that is being freed isn't reserved for a task beyond
// its tenant's limit.
func checkNothingIsReserved() {
	step := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 600, MemoryMb: 10}
	placedWith := func(tenant string) []uint64 {
		h := newHarness("w")
		h.configure(coresLimit.rows("l", "m"), "w")
		h.syncQueue("m", 10, forTenant("", newEvent(0, 8, 0, queue.Stopping, "w", step)))
		h.syncQueue("l", 10, checkedOutTask(tenant, 1, "elsewhere", step), readyTask(tenant, 2, step), readyTask("free", 3, &schema.Step{Name: "s", Tasks: 1, CoresMilli: 400}))
		h.sendHeartbeat("w", withRunning(runningStatus(8, "", step)))
		h.sendHeartbeat("w", withEnded(doneStatus(8)))
		return h.placedJobs()
	}
	So(placedWith("free"), ShouldContain, uint64(2))
	So(placedWith("limited"), ShouldResemble, []uint64{3})
}

// shares holds the number of running tasks of each of two tenants.
type shares struct{ light, heavy int }

// runBacklog gives two tenants with weights 1 and 3 a backlog each, which keeps a worker full.
// In each turn tasks are placed and then the oldest running task ends. It returns the tenants'
// running tasks in each turn, before that end.
func runBacklog(step *schema.Step, turns int) (history []shares) {
	h := newHarness("w")
	h.configure([]*schema.ConfigurationRow{tenantRow("light", "weight_milli", 1000), tenantRow("heavy", "weight_milli", 3000), queueRow("l", "urgency", "10")}, "w")
	var list []*queue.TaskEvent
	for job := uint64(1); job <= 80; job++ {
		tenant := "light"
		if job > 40 {
			tenant = "heavy"
		}
		for task := range step.Tasks {
			list = append(list, forTenant(tenant, newEvent(0, job, task, queue.Ready, "", step)))
		}
	}
	h.syncQueue("l", 10, list...)
	var running []*schema.TaskKey
	var count shares
	for range turns {
		h.notified = nil
		h.advance(2 * TickInterval)
		h.sendHeartbeat("w", withCapacity(8000))
		h.advance(TickInterval) // the pass over a backlog may be delayed by passCooldown
		for _, placement := range h.placements() {
			running = append(running, placement.Key)
			h.deliverNext(forTenant(tenantOfBacklog(placement.Key), newEvent(0, placement.Key.Job, placement.Key.Task, queue.CheckedOut, "w", step)))
			count.add(placement.Key, 1)
		}
		history = append(history, count)
		count.add(running[0], -1)
		h.deliverNext(newEvent(0, running[0].Job, running[0].Task, queue.Inactive, "", step))
		running = running[1:]
	}
	return history
}

// tenantOfBacklog returns the tenant of a task of runBacklog.
func tenantOfBacklog(key *schema.TaskKey) string {
	if key.Job > 40 {
		return "heavy"
	}
	return "light"
}

func (s *shares) add(key *schema.TaskKey, delta int) {
	if tenantOfBacklog(key) == "heavy" {
		s.heavy += delta
	} else {
		s.light += delta
	}
}

// Guards against giving all workers, regardless of the weights, to the tenant whose long backlog is placed first.
func TestTenantsShareAFullPoolByWeight(t *testing.T) {
	for _, tasks := range []uint32{1, 20} {
		Convey(fmt.Sprintf("Tenants with weights 1 and 3 have 2 and 6 of 8 cores, with jobs of %d tasks", tasks), t, func() {
			step := &schema.Step{Name: "s", Tasks: tasks, CoresMilli: 1000, MemoryMb: 10}
			for turn, count := range runBacklog(step, 40) {
				So(fmt.Sprint(turn, " ", count.light+count.heavy), ShouldEqual, fmt.Sprint(turn, " ", 8))
				So(count.light, ShouldBeBetweenOrEqual, 1, 3)
			}
		})
	}
	Convey("What counts is the resource of which a tenant uses the largest part", t, func() {
		h := newHarness("w")
		h.configure([]*schema.ConfigurationRow{tenantRow("much", "weight_milli", 1000), tenantRow("little", "weight_milli", 1000), queueRow("l", "urgency", "10")}, "w")
		// Tasks of "much" take 1000 MB and 0.1 cores each, tasks of "little" 1 core and 10 MB.
		large := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 100, MemoryMb: 1000}
		small := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 1000, MemoryMb: 10}
		var list []*queue.TaskEvent
		for job := uint64(1); job <= 10; job++ {
			list = append(list, readyTask("much", job, large), readyTask("little", 20+job, small))
		}
		h.syncQueue("l", 10, list...)
		h.sendHeartbeat("w", withCapacity(8000))
		jobs := h.placedJobs()
		So(len(jobs), ShouldBeGreaterThanOrEqualTo, 6)
		countByTenant := map[bool]int{}
		for _, job := range jobs[:6] {
			countByTenant[job > 20]++
		}
		So(countByTenant, ShouldResemble, map[bool]int{false: 2, true: 4})
	})
}
