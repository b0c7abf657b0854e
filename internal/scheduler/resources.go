package scheduler

import (
	"math"
	"slices"

	"sparnotch/internal/schema"
)

// resources holds an amount of each kind of resource: milli cores, MB of memory, accelerators.
type resources struct{ cores, memory, accelerators int64 }

// resourcesOf returns the resources that one task of a step needs.
func resourcesOf(step *schema.Step) resources {
	return resources{step.CoresMilli, step.MemoryMb, step.Accelerators}
}

// covers reports whether r is at least as large as need in every kind.
func (r resources) covers(need resources) bool {
	return r.cores >= need.cores && r.memory >= need.memory && r.accelerators >= need.accelerators
}

func (r *resources) add(other resources) {
	r.cores += other.cores
	r.memory += other.memory
	r.accelerators += other.accelerators
}

func (r *resources) sub(other resources) {
	r.cores -= other.cores
	r.memory -= other.memory
	r.accelerators -= other.accelerators
}

// times returns r multiplied by a factor.
func (r resources) times(factor int64) resources {
	return resources{r.cores * factor, r.memory * factor, r.accelerators * factor}
}

// fitCount returns how many times need fits into r, at most math.MaxInt32.
func (r resources) fitCount(need resources) int64 {
	count := int64(math.MaxInt32)
	for _, kind := range [][2]int64{{r.cores, need.cores}, {r.memory, need.memory}, {r.accelerators, need.accelerators}} {
		if kind[1] > 0 {
			count = min(count, max(kind[0], 0)/kind[1])
		}
	}
	return count
}

// usageSummary holds sums over the tasks that a worker runs or is about to run.
type usageSummary struct {
	isUsageStale    bool      // the sums must be recomputed
	used            resources // by all tasks on the worker or on their way to it
	releasing       resources // part of used that belongs to tasks that are being stopped
	usedByServices  resources // part of used that belongs to tasks that run until cancelled
	taskCount       int
	hasUnknownUsage bool   // the worker runs something of unknown size, so it may be full
	summedPool      string // the worker's pool when the sums were computed
	tenantUse
}

// capacitySummary holds the values that decide whether a worker can take more work.
type capacitySummary struct {
	used, total                 resources
	isDraining, hasUnknownUsage bool
}

func (w *worker) capacity() capacitySummary {
	return capacitySummary{w.used, w.total(), w.isDraining, w.hasUnknownUsage}
}

// refreshUsage recomputes a worker's sums if they are stale: over the tasks that are checked out to
// it, those that are reserved on it, and the other runs that it reports. A task that is being
// stopped uses its resources until its end is reported.
func (s *Scheduler) refreshUsage(w *worker) {
	if !w.isUsageStale {
		return
	}
	s.countTenantUse(w, -1)
	w.usageSummary = usageSummary{summedPool: w.pool}
	for _, t := range w.tasks {
		if w.hasEnded(t) {
			continue
		}
		size := resourcesOf(t.spec)
		w.used.add(size)
		w.tenantUse.add(t.tenant, size)
		w.taskCount++
		switch {
		case t.isStopOverdue:
		case t.isStopping():
			w.releasing.add(size)
		case t.spec.RunUntilCancelled:
			w.usedByServices.add(size)
		}
	}
	for key, status := range w.running {
		if w.taskForAttempt(key) == nil {
			size := s.usageOf(w, key, status)
			w.used.add(size)
			w.tenantUse.addRun(s.tenantOfRun(key, status), size)
			w.taskCount++
		}
	}
	for _, status := range w.unknownRuns {
		w.used.add(reportedUsage(status))
		w.tenantUse.addRun(status.Tenant, reportedUsage(status))
		w.taskCount++
	}
	for _, t := range w.reserved {
		w.used.add(resourcesOf(t.spec))
		w.tenantUse.add(t.tenant, resourcesOf(t.spec))
		w.taskCount++
	}
	if w.hasUnknownUsage = s.runsUnknownUsage(w); w.hasUnknownUsage {
		w.tenantUse.unassigned.add(w.total())
	}
	s.countTenantUse(w, 1)
}

// usageOf returns the resources that a run uses: as the worker reports them, or else as its step
// states them.
func (s *Scheduler) usageOf(w *worker, key attemptKey, status *schema.TaskStatus) resources {
	size := reportedUsage(status)
	if spec := s.specOf(w, key); spec != nil {
		size.accelerators = spec.Accelerators
		if size.cores == 0 && size.memory == 0 {
			size = resourcesOf(spec)
		}
	}
	return size
}

// reportedUsage returns the resources that a run uses according to its worker; zero: the worker
// doesn't report them.
func reportedUsage(status *schema.TaskStatus) resources {
	return resources{status.CoresMilli, status.MemoryMb, status.Accelerators}
}

func (s *Scheduler) specOf(w *worker, key attemptKey) *schema.Step {
	if t := w.tasks[key.taskKey]; t != nil {
		return t.spec
	}
	if q := s.queues[key.queue]; q != nil {
		if t := q.tasks[key.taskKey]; t != nil {
			return t.spec
		}
	}
	return nil
}

// runsUnknownUsage reports whether a worker has a run whose size is stated neither by the worker nor
// by any known task.
func (s *Scheduler) runsUnknownUsage(w *worker) bool {
	if !w.usesTaskNames {
		return false
	}
	isUnstated := func(status *schema.TaskStatus) bool { return reportedUsage(status) == resources{} }
	for key, status := range w.running {
		if isUnstated(status) && s.specOf(w, key) == nil {
			return true
		}
	}
	return slices.ContainsFunc(w.unknownRuns, isUnstated)
}
