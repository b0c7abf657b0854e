package scheduler

import (
	"cmp"
	"math"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	// preemptionDelay is how long a step waits before it may preempt less urgent work.
	preemptionDelay = 500 * eventloop.Millisecond
	// claimDelay is how long a wide step waits before workers, or parts of its tenant's limit, are
	// kept free for it.
	claimDelay = 1500 * eventloop.Millisecond
	// maxFutureReservations limits the tasks of one step for which future capacity is reserved at a
	// time.
	maxFutureReservations = 64
	// maxLossFactor limits the work that a preemption may lose, as a multiple of the work of the
	// task that it makes room for.
	maxLossFactor = 2
	// wideFraction defines which steps are wide: a task takes more than 1/wideFraction of any
	// worker, or the tasks that must start together take more than 1/wideFraction of the limit of
	// their tenant.
	wideFraction = 4
	// acceleratorMilliCores is how many milli cores an accelerator counts as when work is measured.
	acceleratorMilliCores = 8000
	// serviceLoss is the run time that counts as lost when a task that runs until cancelled is
	// stopped.
	serviceLoss = 30 * eventloop.Second
)

// victim is a task, or a gang as a whole, that may be preempted.
type victim struct {
	members       []*task
	urgency       int64
	class         deadlineFeasibility
	loss          float64 // core-microseconds: lostWork plus idleWork of all members
	isUnavailable bool    // already chosen, or a gang with a member that can't be preempted
}

// reserveFutureCapacity reserves capacity for tasks that find none now: capacity that is being
// freed, else capacity that preempting less urgent work frees. Failing both, it keeps whole workers
// free for a wide step. It returns the number of tasks that got a reservation.
func (p *queuePass) reserveFutureCapacity(step *stepQueue, req *placementRequest) (reserved int) {
	if !p.allowsAnyTask(p.scheduler, step) {
		return 0
	}
	waited := p.now - step.first().stateSince
	mayPreempt := req.feasibility != infeasible && p.mayPreempt() && waited >= preemptionDelay
	if p.isCapacityBeingFreed() || mayPreempt {
		reserved = p.reserveFromStops(step, req, mayPreempt)
	}
	pool := p.scheduler.poolOf(p.queue)
	if reserved == 0 && !p.claimedPools[pool] && waited >= claimDelay && req.isWide(p.candidates) {
		count := 1
		if req.spec.Gang {
			count = step.ready.Len()
		}
		p.claimedPools[pool] = req.claimWorkers(count, p.candidates)
	}
	return reserved
}

// reserveFromStops reserves capacity that stops in progress will free. If that isn't enough and
// mayPreempt is set, it preempts tasks. Tasks get their reservations one by one, but a gang gets
// them for all its members or for none. It returns the number of tasks that got a reservation.
func (p *queuePass) reserveFromStops(step *stepQueue, req *placementRequest, mayPreempt bool) (reserved int) {
	account := p.accountOf(p.scheduler, step.first().tenant)
	count := min(step.ready.Len(), p.slots, maxFutureReservations, int(account.room(req.need)))
	if req.spec.Gang {
		count = step.ready.Len()
	}
	tx := &preemptionTx{queuePass: p}
	for reserved < count && tx.reserveOne(req, mayPreempt) {
		reserved++
		if !req.spec.Gang {
			tx.commit()
		}
	}
	if req.spec.Gang {
		if reserved == count {
			tx.commit()
		} else {
			tx.rollback()
			reserved = 0
		}
	}
	account.used.add(req.need.times(int64(reserved)))
	if mayPreempt && reserved < count {
		p.preemptionFailed = true
	}
	return reserved
}

// isCapacityBeingFreed reports whether a stop in progress will free capacity on any candidate.
func (p *queuePass) isCapacityBeingFreed() bool {
	return slices.ContainsFunc(p.candidates, func(c *candidate) bool { return c.freeAfterStops != c.free })
}

// mayPreempt reports whether preemption is enabled, a less urgent queue has tasks checked out, and
// no attempt to preempt has failed within the last TickInterval.
func (p *queuePass) mayPreempt() bool {
	s := p.scheduler
	return s.fleetSetting("preempt") != 0 && p.minRunningUrgency < p.queue.urgency && p.now-s.preemptionFailedAt >= TickInterval
}

// canGainCapacity reports whether a stop or a preemption may free capacity for a step that finds
// none now.
func (p *queuePass) canGainCapacity() bool { return p.isCapacityBeingFreed() || p.mayPreempt() }

// preemptionTx is a tentative reservation of future capacity: commit evicts its victims, rollback
// undoes it.
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

// reserveOne reserves future capacity for one task of a step. It returns false if it finds none.
func (tx *preemptionTx) reserveOne(req *placementRequest, mayPreempt bool) bool {
	c, victims := tx.cheapestCandidate(req, mayPreempt)
	if c == nil {
		return false
	}
	for _, v := range victims {
		tx.addVictim(v)
	}
	c.freeAfterStops.sub(req.need)
	req.addTaskCount(c, 1)
	tx.undos = append(tx.undos, func() {
		c.freeAfterStops.add(req.need)
		req.addTaskCount(c, -1)
	})
	return true
}

// cheapestCandidate returns the first candidate on which the task fits after the stops in progress.
// Failing that, if the step may preempt, it returns the candidate where preemption loses the least
// work, and the victims there. It returns nil if every preemption would lose too much.
func (tx *preemptionTx) cheapestCandidate(req *placementRequest, mayPreempt bool) (best *candidate, victims []*victim) {
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

// addVictim adds a victim to the reservation and the resources of its members to freeAfterStops of
// the candidates that run them.
func (tx *preemptionTx) addVictim(v *victim) {
	v.isUnavailable = true
	tx.victims = append(tx.victims, v)
	tx.undos = append(tx.undos, func() { v.isUnavailable = false })
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

// selectVictims returns victims on a candidate whose preemption lets a task fit there, the least
// costly ones first, and the work lost in core-microseconds. It returns nil if preempting all of
// them isn't enough.
func (p *queuePass) selectVictims(c *candidate, req *placementRequest) (victims []*victim, loss float64) {
	if !c.areVictimsListed {
		c.areVictimsListed, c.victims = true, p.listVictims(c.worker)
	}
	free, id := c.freeAfterStops, c.worker.id
	for _, v := range c.victims {
		if free.covers(req.need) {
			break
		}
		if v.isUnavailable || v.urgency >= p.queue.urgency || v.class < req.feasibility || v.members[0].evictOutcome != "" {
			continue
		}
		free.add(v.resourcesOn(id))
		victims = append(victims, v)
	}
	if !free.covers(req.need) {
		return nil, 0
	}
	// Drop the victims that aren't needed any more because of victims that were added later. Those
	// that would lose most work are dropped first.
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

// resourcesOn returns the resources that stopping a victim frees on one worker.
func (v *victim) resourcesOn(worker string) (size resources) {
	for _, member := range v.members {
		if member.worker == worker {
			size.add(resourcesOf(member.spec))
		}
	}
	return size
}

// listVictims returns the tasks and gangs that may be preempted on a worker, in order of increasing
// loss.
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
				v.isUnavailable = true
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

// lostWork returns the work, in core-microseconds, that is lost when a task is stopped now: the
// work since its last checkpoint, or since its start if it has none.
func lostWork(now eventloop.Micros, t *task) float64 {
	cores := coreEquivalentsOf(t.spec)
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

// idleWork returns the work, in core-microseconds, that the resources of a task could do in the time
// in which it is being stopped. A stop takes half of the stop timeout on average.
func (s *Scheduler) idleWork(t *task) float64 {
	return coreEquivalentsOf(t.spec) * float64(s.bounds.GetStopTimeoutUs()) / 2
}

// maxLostWork returns how much work, in core-microseconds, a preemption may lose to start a task at
// once. To lose much more than the task's own work isn't worth it. There is no limit for tasks
// without an estimate and tasks that run until cancelled.
func (s *Scheduler) maxLostWork(q *queueView, t *task) float64 {
	duration := s.ownDuration(q, t)
	if duration == 0 || t.spec.RunUntilCancelled {
		return math.Inf(1)
	}
	return maxLossFactor * coreEquivalentsOf(t.spec) * float64(duration)
}

// coreEquivalentsOf returns the cores that a task of a step takes. Accelerators count as cores, see
// acceleratorMilliCores.
func coreEquivalentsOf(spec *schema.Step) float64 {
	return float64(spec.CoresMilli+acceleratorMilliCores*spec.Accelerators) / 1000
}
