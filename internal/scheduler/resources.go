package scheduler

import (
	"math"
	"slices"

	"sparnotch/internal/schema"
)

// resources is an amount of each kind: milli cores, MB of memory, accelerators.
type resources struct{ cores, memory, accelerators int64 }

// resourcesOf is what one task of a step needs.
func resourcesOf(step *schema.Step) resources {
	return resources{step.CoresMilli, step.MemoryMb, step.Accelerators}
}

// covers reports whether r is at least need in every kind.
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

// times is r multiplied by a factor.
func (r resources) times(factor int64) resources {
	return resources{r.cores * factor, r.memory * factor, r.accelerators * factor}
}

// multipleOf is how many times need goes into r.
func (r resources) multipleOf(need resources) int64 {
	count := int64(math.MaxInt32)
	for _, kind := range [][2]int64{{r.cores, need.cores}, {r.memory, need.memory}, {r.accelerators, need.accelerators}} {
		if kind[1] > 0 {
			count = min(count, max(kind[0], 0)/kind[1])
		}
	}
	return count
}

// usageSummary are sums over what a worker runs or is about to run.
type usageSummary struct {
	isUsageStale    bool      // the sums are to be made again
	used            resources // by all that is there or on its way
	releasing       resources // of that, by what is being stopped
	usedByServices  resources // of that, by tasks that run until cancelled
	taskCount       int
	hasUnknownUsage bool   // it runs something of unknown size, so it may be full
	summedPool      string // the worker's pool when the sums were made
	tenantUse
}

// capacitySummary is what decides whether a worker can take more work.
type capacitySummary struct {
	used, total                 resources
	isDraining, hasUnknownUsage bool
}

func (w *worker) capacity() capacitySummary {
	return capacitySummary{w.used, w.total(), w.isDraining, w.hasUnknownUsage}
}

// refreshUsage makes a worker's sums again if they are stale: over what is checked
// out to it, what is reserved on it, and what it says it runs besides. A task that
// is being stopped uses its resources until its end is reported.
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

// usageOf is what a run uses: as the worker reports it, else as its step states it.
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

// reportedUsage is what a worker says that a run uses; zero: it doesn't say.
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

// runsUnknownUsage reports whether a worker runs something whose size neither it
// nor any known task states.
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
