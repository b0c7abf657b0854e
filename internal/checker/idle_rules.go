package checker

import (
	"slices"
	"sort"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// idleCheckInterval is the interval at which open jobs are checked for having no running task.
const idleCheckInterval = 250 * eventloop.Millisecond

// maxFittingTasks limits the number of tasks that count as fitting a worker, which has no other
// limit if the tasks need no resources.
const maxFittingTasks = 1 << 20

// workerState is the state of a worker at one point of the history.
type workerState struct {
	capacity, used resources
	pool, rack     string
	labels         []string
	isUnavailable  bool // partitioned or draining
}

// fittingTasks returns how many more tasks of a step the worker can run.
func (w *workerState) fittingTasks(step *schema.Step) int64 {
	if w.isUnavailable {
		return 0
	}
	for _, label := range step.Labels {
		if !slices.Contains(w.labels, label) {
			return 0
		}
	}
	free := w.capacity.minus(w.used)
	count := int64(maxFittingTasks)
	limit := func(free, need int64) {
		if need > 0 {
			count = min(count, max(0, free/need))
		}
	}
	limit(free.cores, step.CoresMilli)
	limit(free.memory, step.MemoryMb)
	limit(free.accelerators, step.Accelerators)
	if step.MaxPerWorker > 0 {
		count = min(count, int64(step.MaxPerWorker))
	}
	return count
}

// idleCheck replays the history and checks every open job at intervals.
type idleCheck struct {
	*analysis
	workers     map[string]*workerState // called workers by name
	running     map[jobKey]int          // number of running tasks
	usage       *tenantUsage
	open        []jobKey // accepted jobs that haven't ended
	idleSince   map[jobKey]eventloop.Micros
	isReported  map[jobKey]bool
	nextCheckAt eventloop.Micros

	// Values of the newest accepted configuration:
	changedAt       eventloop.Micros
	pools           map[string]string // by queue
	hasRunningLimit map[string]bool   // by queue
	isRackDrained   map[string]bool   // by rack; a rack of weight 0 is drained
}

// checkIdleJobs checks that no job is without a running task for MaxIdle while one of its
// tasks is ready, its pool has free capacity for two such tasks (or gangs), and less than half
// of the pool's cores are in use. Times shortly after a fault don't count.
func (a *analysis) checkIdleJobs() {
	if a.tolerances.MaxIdle == 0 {
		return
	}
	c := &idleCheck{
		analysis: a, workers: map[string]*workerState{}, running: map[jobKey]int{}, usage: a.newTenantUsage(),
		idleSince: map[jobKey]eventloop.Micros{}, isReported: map[jobKey]bool{},
	}
	for k := range a.history {
		e := &a.history[k]
		for ; c.nextCheckAt <= e.At && len(c.workers) > 0; c.nextCheckAt += idleCheckInterval {
			c.checkOpenJobs(c.nextCheckAt)
		}
		if len(c.workers) == 0 {
			c.nextCheckAt = e.At
		}
		c.apply(e)
	}
}

// checkOpenJobs checks every open job at one point in time.
func (c *idleCheck) checkOpenJobs(now eventloop.Micros) {
	c.open = slices.DeleteFunc(c.open, func(key jobKey) bool { return c.jobs[key].isOver(now) })
	for _, key := range c.open {
		if !c.isIdle(c.jobs[key], now) {
			delete(c.idleSince, key)
			continue
		}
		if c.idleSince[key] == 0 {
			c.idleSince[key] = now
		}
		if now-c.idleSince[key] >= c.tolerances.MaxIdle {
			c.isReported[key] = true
			c.report(ruleJobsKept, now, "%s has had no running task since %d although there is free capacity", key, c.idleSince[key])
		}
	}
}

// isOver reports whether the job had ended, or its cancel had been requested, by the given
// time. No task of it has to start from then on.
func (r *jobRecord) isOver(at eventloop.Micros) bool {
	return r.isTerminal && r.terminalAt <= at || r.cancelRequestedAt > 0 && r.cancelRequestedAt <= at
}

// isIdle reports whether no task of the job is running although one could be.
func (c *idleCheck) isIdle(job *jobRecord, now eventloop.Micros) bool {
	if c.running[job.key] != 0 || c.hasRunningLimit[job.key.queue] || c.isReported[job.key] {
		return false
	}
	if now <= c.changedAt+c.tolerances.Propagation || c.isDisturbed(now, now) {
		return false
	}
	if c.isTenantBusy(job, now) {
		return false
	}
	return !job.hasExhaustedFailures(now) && !c.isPoolBusy(job) && c.hasReadyStep(job, now)
}

// isTenantBusy reports whether the job's tenant uses at least half of one of its limits in any
// configuration that may be in force.
func (c *idleCheck) isTenantBusy(job *jobRecord, now eventloop.Micros) bool {
	tenant := c.tenantOfJob[job.key]
	if tenant == "" {
		return false
	}
	used := c.usage.of(tenant)
	return slices.ContainsFunc(c.mayBeInForce(now, now), func(configuration *tenantConfiguration) bool {
		return used.isHalfUsed(configuration.limits[tenant])
	})
}

// poolOf returns the workers that the job's queue may use.
func (c *idleCheck) poolOf(job *jobRecord) []*workerState {
	var list []*workerState
	for _, worker := range c.workers {
		if worker.pool == c.pools[job.key.queue] && !c.isRackDrained[worker.rack] {
			list = append(list, worker)
		}
	}
	return list
}

// isPoolBusy reports whether at least half of the pool's cores are in use.
func (c *idleCheck) isPoolBusy(job *jobRecord) bool {
	total, used := coresOf(c.poolOf(job))
	return 2*used >= total
}

// coresOf returns the sum of the workers' cores and of those in use, in thousandths of a core.
func coresOf(workers []*workerState) (total, used int64) {
	for _, worker := range workers {
		total, used = total+worker.capacity.cores, used+worker.used.cores
	}
	return total, used
}

// hasReadyStep reports whether any step has a task that is ready, and the pool has free
// capacity for two such tasks, or for two such gangs.
func (c *idleCheck) hasReadyStep(job *jobRecord, now eventloop.Micros) bool {
	pool, index := c.poolOf(job), job.stepIndexes()
	for number := range job.stepCount() {
		step := job.step(uint32(number))
		round := number / len(job.spec.Steps)
		if !c.isDue(job, round, now) || !job.areDependenciesDone(step, round, index, now) || !job.hasUnfinishedTask(uint32(number), now) {
			continue
		}
		need, fitting := int64(2), int64(0)
		if step.Gang {
			need *= int64(step.Tasks)
		}
		for _, worker := range pool {
			fitting += worker.fittingTasks(step)
		}
		if fitting >= need {
			return true
		}
	}
	return false
}

// isDue reports whether the start time of a round has certainly passed.
func (a *analysis) isDue(job *jobRecord, round int, at eventloop.Micros) bool {
	offset := int64(round) * job.spec.PeriodUs
	if job.spec.StartUnixUs > 0 {
		wall, known := a.wallAt(at)
		return known && wall >= job.spec.StartUnixUs+offset
	}
	return at >= job.acceptedAt+eventloop.Micros(job.spec.DelayUs+offset)
}

func (r *jobRecord) areDependenciesDone(step *schema.Step, round int, index map[string]int, at eventloop.Micros) bool {
	for _, dependency := range step.Dependencies {
		on := index[dependency]
		for t := uint32(0); t < r.spec.Steps[on].Tasks; t++ {
			if !r.isDoneBy(taskID{jobKey: r.key, step: r.stepOfRound(round, on), task: t}, at) {
				return false
			}
		}
	}
	return true
}

func (r *jobRecord) hasUnfinishedTask(number uint32, at eventloop.Micros) bool {
	step := r.step(number)
	for t := uint32(0); t < step.Tasks; t++ {
		if step.RunUntilCancelled || !r.isDoneBy(taskID{jobKey: r.key, step: number, task: t}, at) {
			return true
		}
	}
	return false
}

// apply updates the state with the next event of the history.
func (c *idleCheck) apply(e *Event) {
	c.usage.apply(e)
	switch e.Kind {
	case SubmitReply:
		if e.isConfirmed() && !slices.Contains(c.open, e.jobKey()) && c.jobs[e.jobKey()].spec != nil {
			c.open = append(c.open, e.jobKey())
			sort.Slice(c.open, func(i, j int) bool { return c.open[i].String() < c.open[j].String() })
		}
	case ConfigurationReply:
		if e.Code == 200 {
			c.applyConfiguration(e)
		}
	case WorkerUp:
		if e.IsCalled {
			c.workers[e.Actor] = &workerState{capacity: e.resources(), pool: e.Pool, rack: e.Rack, labels: e.Labels}
		}
	case WorkerGone:
		delete(c.workers, e.Actor)
	case WorkerDraining, WorkerPartitioned:
		if worker := c.workers[e.Actor]; worker != nil {
			worker.isUnavailable = e.State != Healed
		}
	case TaskStart:
		c.running[e.jobKey()]++
		if worker := c.workers[e.Actor]; worker != nil {
			worker.used = worker.used.plus(e.resources())
		}
	case TaskEnd:
		c.running[e.jobKey()]--
		if worker := c.workers[e.Actor]; worker != nil {
			worker.used = worker.used.minus(e.resources())
		}
	}
}

func (c *idleCheck) applyConfiguration(e *Event) {
	c.changedAt = e.At
	c.pools, c.hasRunningLimit, c.isRackDrained = map[string]string{}, map[string]bool{}, map[string]bool{}
	for _, row := range e.Rows {
		switch {
		case row.Kind == "queue" && row.Key == "pool":
			c.pools[row.Name] = row.Value
		case row.Kind == "queue" && row.Key == "running":
			c.hasRunningLimit[row.Name] = true
		case row.Kind == "rack" && row.Key == "weight" && row.Value == "0":
			c.isRackDrained[row.Name] = true
		}
	}
}
