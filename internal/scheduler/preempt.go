package scheduler

import (
	"cmp"
	"math"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	preemptionDelay       = 500 * eventloop.Millisecond  // how long urgent work waits before it preempts
	claimDelay            = 1500 * eventloop.Millisecond // how long wide work waits before workers are kept free for it
	maxAwaited            = 64                           // tasks of one step that future capacity is reserved for at once
	maxLossFactor         = 2                            // how many times its own work may be lost for a task
	wideFraction          = 4                            // a task of which fewer fit on any worker is wide
	acceleratorMilliCores = 8000                         // what an accelerator counts as when work is measured
	serviceLoss           = 30 * eventloop.Second        // run time that stopping a task that runs until cancelled counts as losing
)

// victim is what may be preempted: a task, or a gang as a whole.
type victim struct {
	members []*task
	urgency int64
	class   deadlineFeasibility
	loss    float64 // core-microseconds of work, lost and not done while it is being stopped
	isTaken bool
}

// reserveFutureCapacity reserves capacity for tasks that find none now: what is
// being freed, else what is freed by preempting less urgent work, else, for a wide
// step, whole workers until they are free. It returns for how many tasks.
func (p *queuePass) reserveFutureCapacity(step *stepQueue, req *placementRequest) (awaited int) {
	if !p.allowsAnyTask(p.scheduler, step) {
		return 0
	}
	waited := p.now - step.first().stateSince
	mayPreempt := req.feasibility != infeasible && p.mayPreempt() && waited >= preemptionDelay
	if p.isCapacityComing() || mayPreempt {
		awaited = p.awaitStops(step, req, mayPreempt)
	}
	pool := p.scheduler.poolOf(p.queue)
	if awaited == 0 && !p.claimedPools[pool] && waited >= claimDelay && req.isWide(p.candidates) {
		count := 1
		if req.spec.Gang {
			count = step.ready.Len()
		}
		p.claimedPools[pool] = req.claimWorkers(count, p.candidates)
	}
	return awaited
}

// awaitStops reserves what is freed by stops: of each task by itself, of a gang for
// all its members or none. It returns for how many tasks.
func (p *queuePass) awaitStops(step *stepQueue, req *placementRequest, mayPreempt bool) (awaited int) {
	account := p.accountOf(p.scheduler, step.first().tenant)
	count := min(step.ready.Len(), p.slots, maxAwaited, int(account.room(req.need)))
	if req.spec.Gang {
		count = step.ready.Len()
	}
	tx := &preemptionTx{queuePass: p}
	for awaited < count && tx.reserveOne(req, mayPreempt) {
		awaited++
		if !req.spec.Gang {
			tx.commit()
		}
	}
	if req.spec.Gang {
		if awaited == count {
			tx.commit()
		} else {
			tx.rollback()
			awaited = 0
		}
	}
	account.used.add(req.need.times(int64(awaited)))
	if mayPreempt && awaited < count {
		p.preemptionFailed = true
	}
	return awaited
}

// isCapacityComing reports whether a stop under way frees something.
func (p *queuePass) isCapacityComing() bool {
	return slices.ContainsFunc(p.candidates, func(c *candidate) bool { return c.freeAfterStops != c.free })
}

// mayPreempt reports whether the queue may preempt, and there is something to.
func (p *queuePass) mayPreempt() bool {
	s := p.scheduler
	return s.fleetSetting("preempt") != 0 && p.minRunningUrgency < p.queue.urgency && p.now-s.preemptionFailedAt >= TickInterval
}

// canGainCapacity reports whether a step that finds no capacity may come by some.
func (p *queuePass) canGainCapacity() bool { return p.isCapacityComing() || p.mayPreempt() }

// preemptionTx is a tentative reservation: its victims are evicted once it commits.
type preemptionTx struct {
	*queuePass
	undos   []func()
	victims []*victim
}

func (tx *preemptionTx) commit() {
	for _, v := range tx.victims {
		for _, member := range v.members {
			tx.scheduler.evict(member, outcomeStopped)
			tx.scheduler.counts.Preempted++
			tx.scheduler.countEviction(member, countPreempted)
		}
	}
	tx.undos, tx.victims = nil, nil
}

func (tx *preemptionTx) rollback() {
	for _, undo := range slices.Backward(tx.undos) {
		undo()
	}
	tx.undos, tx.victims = nil, nil
}

// reserveOne reserves future capacity for one task of a step.
func (tx *preemptionTx) reserveOne(req *placementRequest, mayPreempt bool) bool {
	c, victims := tx.cheapest(req, mayPreempt)
	if c == nil {
		return false
	}
	for _, v := range victims {
		tx.take(v)
	}
	c.freeAfterStops.sub(req.need)
	req.count(c, 1)
	tx.undos = append(tx.undos, func() {
		c.freeAfterStops.add(req.need)
		req.count(c, -1)
	})
	return true
}

// cheapest finds the first candidate on which the task fits after the stops under
// way, else the one where the preemption that it takes loses least work.
func (tx *preemptionTx) cheapest(req *placementRequest, mayPreempt bool) (best *candidate, victims []*victim) {
	lowest := 0.0
	for _, c := range tx.candidates {
		if !req.mayRunOn(c) {
			continue
		}
		if c.freeAfterStops.covers(req.need) {
			return c, nil
		}
		if !mayPreempt {
			continue
		}
		if found, loss := tx.selectVictims(c, req); found != nil && loss <= req.maxLoss && (best == nil || loss < lowest) {
			best, victims, lowest = c, found, loss
		}
	}
	return best, victims
}

// take marks a victim as taken and adds the resources of its members to freeAfterStops of
// the candidates that run them.
func (tx *preemptionTx) take(v *victim) {
	v.isTaken = true
	tx.victims = append(tx.victims, v)
	tx.undos = append(tx.undos, func() { v.isTaken = false })
	for _, member := range v.members {
		at := slices.IndexFunc(tx.allCandidates, func(c *candidate) bool { return c.worker.id == member.worker })
		if at < 0 {
			continue
		}
		c, size := tx.allCandidates[at], resourcesOf(member.spec)
		c.freeAfterStops.add(size)
		tx.undos = append(tx.undos, func() { c.freeAfterStops.sub(size) })
	}
}

// selectVictims finds which victims on a candidate must go for a task to fit, with
// the least work lost; nil: all of them aren't enough. It returns the loss in
// core-microseconds.
func (p *queuePass) selectVictims(c *candidate, req *placementRequest) (victims []*victim, loss float64) {
	if !c.hasVictims {
		c.hasVictims, c.victims = true, p.listVictims(c.worker)
	}
	free, id := c.freeAfterStops, c.worker.id
	for _, v := range c.victims {
		if free.covers(req.need) {
			break
		}
		if v.isTaken || v.urgency >= p.queue.urgency || v.class < req.feasibility || v.members[0].evictOutcome != "" {
			continue
		}
		free.add(v.resourcesOn(id))
		victims = append(victims, v)
	}
	if !free.covers(req.need) {
		return nil, 0
	}
	// Drop the victims that later ones have made unnecessary, the most expensive first.
	for k := len(victims) - 1; k >= 0; k-- {
		without := free
		if without.sub(victims[k].resourcesOn(id)); without.covers(req.need) {
			free = without
			victims = slices.Delete(victims, k, k+1)
		}
	}
	for _, v := range victims {
		loss += v.loss
	}
	return victims, loss
}

// resourcesOn is what a victim's end frees on one worker.
func (v *victim) resourcesOn(worker string) (size resources) {
	for _, member := range v.members {
		if member.worker == worker {
			size.add(resourcesOf(member.spec))
		}
	}
	return size
}

// listVictims lists what may be preempted on a worker, the least loss first.
func (p *queuePass) listVictims(w *worker) []*victim {
	s := p.scheduler
	var victims []*victim
	seen := map[stepKey]bool{}
	for _, t := range w.sortedTasks() {
		if !s.isPreemptible(t) {
			continue
		}
		v := &victim{members: []*task{t}, urgency: s.queues[t.key.queue].urgency}
		if t.spec.Gang {
			step := t.key.stepKey()
			if seen[step] {
				continue
			}
			seen[step] = true
			if known := p.gangVictims[step]; known != nil {
				victims = append(victims, known)
				continue
			}
			p.gangVictims[step] = v
			if v.members = s.gangMembers(t); !s.areAllPreemptible(v.members) {
				v.isTaken = true
				continue
			}
		}
		v.class = s.feasibilityOf(p.now, s.queues[t.key.queue], t)
		for _, member := range v.members {
			v.loss += lostWork(p.now, member) + s.idleWork(member)
		}
		// A task that is expected to end within half the stop timeout isn't worth preempting.
		if s.remainingRuntime(p.now, w, t) < eventloop.Micros(s.bounds.GetStopTimeoutUs())/2 && t.startedAt > 0 {
			continue
		}
		victims = append(victims, v)
	}
	slices.SortStableFunc(victims, func(a, b *victim) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.urgency, b.urgency), -cmp.Compare(a.members[0].stateSince, b.members[0].stateSince))
	})
	return victims
}

func (s *Scheduler) areAllPreemptible(tasks []*task) bool {
	return !slices.ContainsFunc(tasks, func(t *task) bool { return !s.isPreemptible(t) })
}

func (s *Scheduler) isPreemptible(t *task) bool {
	return t.isActive() && !t.isBoosted && s.endReportOf(t) == nil
}

// lostWork is the work in core-microseconds that is lost when a task is stopped
// now: since its last checkpoint, else since it started.
func lostWork(now eventloop.Micros, t *task) float64 {
	cores := coresOf(t.spec)
	if t.spec.RunUntilCancelled {
		return cores * float64(serviceLoss)
	}
	if t.startedAt == 0 {
		return 0
	}
	from := t.startedAt
	if t.spec.Checkpoints {
		from = max(from, t.checkpointedAt)
	}
	return cores * float64(now-from)
}

// idleWork is the work in core-microseconds that a task's resources don't do while it is being
// stopped, which takes half of the stop timeout on average.
func (s *Scheduler) idleWork(t *task) float64 {
	return coresOf(t.spec) * float64(s.bounds.GetStopTimeoutUs()) / 2
}

// maxLostWork is how much work, in core-microseconds, may be lost to start a task
// at once: more than about its own isn't worth it.
func (s *Scheduler) maxLostWork(q *queueView, t *task) float64 {
	duration := s.ownDuration(q, t)
	if duration == 0 || t.spec.RunUntilCancelled {
		return math.Inf(1)
	}
	return maxLossFactor * coresOf(t.spec) * float64(duration)
}

// coresOf is what a task of a step takes, in cores; accelerators count as cores.
func coresOf(spec *schema.Step) float64 {
	return float64(spec.CoresMilli+acceleratorMilliCores*spec.Accelerators) / 1000
}
