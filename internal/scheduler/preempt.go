package scheduler

import (
	"cmp"
	"math"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

const (
	maxAwaited            = 64                    // tasks of one step that room is kept for at once
	acceleratorMilliCores = 8000                  // milli cores that an accelerator counts as
	maxLossFactor         = 2                     // so many times its own work may be thrown away for a task
	serviceLoss           = 30 * eventloop.Second // work that stopping a lasting task counts as at least
)

// victim is what can be displaced: a task, or a group as a whole.
type victim struct {
	members     []*task
	urgency     int64
	feasibility deadlineFeasibility
	loss        float64 // core-microseconds of work that are lost
	isTaken     bool
}

// reserveFutureCapacity keeps room for tasks that find none now: room that is being freed, else
// room of less urgent work that is displaced for them, else, for what is wide,
// whole workers until they are free. It tells for how many of them.
func (s *Scheduler) reserveFutureCapacity(now eventloop.Micros, q *queueView, step *stepQueue, req *placementRequest, limit int, candidates, allCandidates []*candidate, pass *passState) (awaited int) {
	first, _ := step.ready.Min()
	mayPreempt := req.feasibility != infeasible && s.mayPreempt(now, q, pass) && now-first.since >= preemptionDelay
	count := min(step.ready.Len(), limit, maxAwaited)
	if req.spec.Gang {
		count = step.ready.Len()
	}
	if hasReleasing(candidates) || mayPreempt {
		tx := &preemptionTx{scheduler: s, now: now, pass: pass}
		for awaited < count && tx.reserveOne(q, req, candidates, allCandidates, mayPreempt) {
			awaited++
			if !req.spec.Gang {
				tx.commit()
			}
		}
		switch {
		case !req.spec.Gang:
		case awaited == count:
			tx.commit()
		default:
			tx.rollback()
			awaited = 0
		}
		if mayPreempt && awaited < count {
			pass.preemptionFailed = true
		}
	}
	pool := s.config.Text("queue", q.name, "pool")
	if awaited == 0 && !pass.claimedPools[pool] && now-first.since >= claimDelay && isWide(req, candidates) {
		count := 1
		if req.spec.Gang {
			count = step.ready.Len()
		}
		pass.claimedPools[pool] = s.claimWorkers(req, count, candidates)
	}
	return awaited
}

func hasReleasing(candidates []*candidate) bool {
	return slices.ContainsFunc(candidates, func(c *candidate) bool { return c.freeAfterStops != c.free })
}

func (s *Scheduler) mayPreempt(now eventloop.Micros, q *queueView, pass *passState) bool {
	return s.fleetSetting("preempt") != 0 && pass.minRunningUrgency < q.urgency && now-s.preemptionFailedAt >= TickInterval
}

// canGainCapacity tells whether room may come about for what finds none.
func (s *Scheduler) canGainCapacity(now eventloop.Micros, q *queueView, candidates []*candidate, pass *passState) bool {
	return hasReleasing(candidates) || s.mayPreempt(now, q, pass)
}

// preemptionTx is a trial: what it takes and displaces stands once it is committed.
type preemptionTx struct {
	scheduler *Scheduler
	now       eventloop.Micros
	pass      *passState
	undos     []func()
	victims   []*victim
}

func (tx *preemptionTx) commit() {
	for _, v := range tx.victims {
		for _, member := range v.members {
			tx.scheduler.evict(member, "stopped")
			tx.scheduler.counts.Preempted++
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

// countOnWorker keeps room for one task.
func (tx *preemptionTx) reserveOne(q *queueView, req *placementRequest, candidates, allCandidates []*candidate, mayPreempt bool) bool {
	s := tx.scheduler
	var best *candidate
	var victims []*victim
	cost := 0.0
	for _, c := range candidates {
		if !c.acceptsMore(req) || !s.isEligible(c, req) || !s.isBelowWorkerLimit(c, req) {
			continue
		}
		if c.freeAfterStops.covers(req.need) {
			best, victims = c, nil
			break
		}
		if !mayPreempt {
			continue
		}
		if found, sum := s.selectVictims(tx.now, c, q.urgency, req, tx.pass); found != nil && sum <= req.maxLoss && (best == nil || sum < cost) {
			best, victims, cost = c, found, sum
		}
	}
	if best == nil {
		return false
	}
	for _, v := range victims {
		v.isTaken = true
		tx.victims = append(tx.victims, v)
		tx.undos = append(tx.undos, func() { v.isTaken = false })
		for _, member := range v.members {
			if at := slices.IndexFunc(allCandidates, func(c *candidate) bool { return c.worker.id == member.worker }); at >= 0 {
				c, size := allCandidates[at], resourcesOf(member.spec)
				c.freeAfterStops.add(size)
				tx.undos = append(tx.undos, func() { c.freeAfterStops.sub(size) })
			}
		}
	}
	best.freeAfterStops.sub(req.need)
	req.tasksPerWorker[best.worker.id]++
	req.tasksPerRack[best.worker.rack]++
	tx.undos = append(tx.undos, func() {
		best.freeAfterStops.add(req.need)
		req.tasksPerWorker[best.worker.id]--
		req.tasksPerRack[best.worker.rack]--
	})
	return true
}

// selectVictims finds what of less urgency must go from a worker for a task to fit,
// with the least work lost; nil if even all of it isn't enough.
func (s *Scheduler) selectVictims(now eventloop.Micros, c *candidate, urgency int64, req *placementRequest, pass *passState) (victims []*victim, cost float64) {
	if !c.hasVictims {
		c.hasVictims, c.victims = true, s.listVictims(now, c.worker, pass)
	}
	free, need := c.freeAfterStops, req.need
	for _, v := range c.victims {
		if free.covers(need) {
			break
		}
		if v.isTaken || v.urgency >= urgency || v.feasibility < req.feasibility || v.members[0].evictOutcome != "" {
			continue
		}
		free.add(v.resourcesOn(c.worker.id))
		victims = append(victims, v)
	}
	if !free.covers(need) {
		return nil, 0
	}
	// What has become needless by those after it stays, the dearest first.
	for k := len(victims) - 1; k >= 0; k-- {
		remaining := free
		if remaining.sub(victims[k].resourcesOn(c.worker.id)); remaining.covers(need) {
			free = remaining
			victims = slices.Delete(victims, k, k+1)
		}
	}
	for _, v := range victims {
		cost += v.loss
	}
	return victims, cost
}

// resourcesOn is the room a unit takes on one worker.
func (v *victim) resourcesOn(worker string) (size resources) {
	for _, member := range v.members {
		if member.worker == worker {
			size.add(resourcesOf(member.spec))
		}
	}
	return size
}

// listVictims lists what may be displaced on a worker, the least loss first.
func (s *Scheduler) listVictims(now eventloop.Micros, w *worker, pass *passState) []*victim {
	var victims []*victim
	seen := map[stepKey]bool{}
	for _, t := range s.sortedTasks(w) {
		if !s.isPreemptible(t) {
			continue
		}
		v := &victim{members: []*task{t}, urgency: s.queues[t.key.queue].urgency}
		if t.spec.Gang {
			if seen[t.key.stepKey()] {
				continue
			}
			seen[t.key.stepKey()] = true
			if known := pass.gangVictims[t.key.stepKey()]; known != nil {
				victims = append(victims, known)
				continue
			}
			pass.gangVictims[t.key.stepKey()] = v
			if v.members = s.gangMembers(t); !allOf(v.members, s.isPreemptible) {
				v.isTaken = true
				continue
			}
		}
		v.feasibility = s.feasibilityOf(now, s.queues[t.key.queue], t)
		for _, member := range v.members {
			v.loss += lostWork(now, member)
		}
		// What ends about as soon as it would stop frees its room all the same.
		if s.remainingRuntime(now, w, t) < eventloop.Micros(s.bounds.GetStopUs())/2 && t.startedAt > 0 {
			continue
		}
		victims = append(victims, v)
	}
	slices.SortStableFunc(victims, func(a, b *victim) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.urgency, b.urgency), -cmp.Compare(a.members[0].since, b.members[0].since))
	})
	return victims
}

func allOf(list []*task, is func(*task) bool) bool {
	return !slices.ContainsFunc(list, func(t *task) bool { return !is(t) })
}

func (s *Scheduler) isPreemptible(t *task) bool {
	if t.state != queue.CheckedOut || t.evictOutcome != "" {
		return false
	}
	w := s.workers[t.worker]
	return w == nil || w.ended[attemptKey{t.key, t.attempt}] == nil
}

// lostWork is the work that is lost when a task is stopped now: since its progress
// was last kept, else since it began.
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

// maxLoss is how much work may be thrown away to begin a task at once: more
// than about its own isn't gained by it.
func (s *Scheduler) maxLostWork(q *queueView, t *task) float64 {
	duration := s.estimateDuration(q.name, t.remaining[:min(1, len(t.remaining))], 0)
	if duration == 0 || t.spec.RunUntilCancelled {
		return math.Inf(1)
	}
	return maxLossFactor * coresOf(t.spec) * float64(duration)
}

// loss is what a step's tasks take, in cores.
func coresOf(spec *schema.Step) float64 {
	return float64(spec.CoresMilli+acceleratorMilliCores*spec.Accelerators) / 1000
}
