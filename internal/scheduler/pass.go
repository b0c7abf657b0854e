package scheduler

import (
	"cmp"
	"math"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	maxPlacements    = 64                         // tasks of one checkout; the last gang may exceed it
	maxUnplaced      = 32                         // a queue's turn ends after this many steps found no capacity
	fullPassInterval = eventloop.Second / 2       // between passes that ignore maxUnplaced
	passCooldown     = 10 * eventloop.Millisecond // minimum delay after a pass that left a backlog
)

// passState holds the state that all queues share during one scheduling pass.
type passState struct {
	allCandidates         []*candidate
	byPool                map[string][]*candidate
	maxUnplaced           int                 // the constant maxUnplaced, or a number that is never reached in a full pass
	minRunningUrgency     int64               // lowest urgency of the queues that have tasks checked out
	claimedPools          map[string]bool     // pools in which workers are kept free for a wide step
	gangVictims           map[stepKey]*victim // one victim per gang, which can be preempted only as a whole
	starvedPools          map[string]bool     // pools in which a step found no capacity, though a worker is large enough
	boosted               map[stepKey]bool    // steps that are placed before all others
	remainingBoostedCores map[string]int64    // milli cores that boosted steps may still take, by pool
	preemptionFailed      bool                // a step that was allowed to preempt found too little capacity
	tenantUse             tenantUse           // at the start of the pass
	knowsAllRuns          bool                // see Scheduler.knowsAllRuns
	accounts              map[string]*tenantAccount
	poolShares            map[string]*poolShares
}

// runPass goes through the ready tasks of all queues in the order of passTurns and proposes the
// checkout of those that find a worker.
func (s *Scheduler) runPass(now eventloop.Micros, effects eventloop.Effects) {
	queues := s.queuesToServe(now)
	s.starvedPools = nil
	if len(queues) == 0 {
		return
	}
	pass := s.newPass(now)
	s.claimLimits(now, queues, pass)
	s.boostSteps(now, queues, pass)
	heaps := make([][feasibilityClasses]stepHeap, len(queues))
	for k, q := range queues {
		heaps[k] = s.stepsByFeasibility(now, q, pass)
	}
	for _, turn := range passTurns(len(queues)) {
		s.scheduleQueue(now, queues[turn.queue], turn.class, &heaps[turn.queue][turn.class], pass, effects)
	}
	s.starvedPools = pass.starvedPools
	if pass.preemptionFailed {
		s.preemptionFailedAt = now
	}
}

// passTurn is one turn of a pass: the steps of one feasibility class of one queue.
type passTurn struct {
	queue int // index into the queues, which are sorted by urgency
	class deadlineFeasibility
}

// passTurns returns the turns of a pass in order: first the steps that would starve; then, for
// each queue in order of urgency, the steps that are on time and after them those that are late;
// last the steps that have missed their target by far. If less urgent work that is on time went
// before urgent work that is late, the next urgent job would preempt it.
func passTurns(queueCount int) (turns []passTurn) {
	for _, classes := range [][]deadlineFeasibility{{boosted}, {onTime, late}, {infeasible}} {
		for k := range queueCount {
			for _, class := range classes {
				turns = append(turns, passTurn{k, class})
			}
		}
	}
	return turns
}

// queuesToServe returns the queues with ready tasks that this node may act for, most urgent
// first; among queues of equal urgency, the one whose tasks have waited longest comes first.
func (s *Scheduler) queuesToServe(now eventloop.Micros) []*queueView {
	var queues []*queueView
	oldest := map[*queueView]eventloop.Micros{}
	for _, q := range s.queues {
		if q.readyCount > 0 && s.mayActFor(now, q) {
			queues = append(queues, q)
			oldest[q] = q.oldestReady()
		}
	}
	slices.SortFunc(queues, func(a, b *queueView) int {
		return cmp.Or(cmp.Compare(b.urgency, a.urgency), cmp.Compare(oldest[a], oldest[b]), cmp.Compare(a.name, b.name))
	})
	return queues
}

func (s *Scheduler) newPass(now eventloop.Micros) *passState {
	pass := &passState{
		allCandidates:         s.candidates(now),
		byPool:                map[string][]*candidate{},
		maxUnplaced:           maxUnplaced,
		minRunningUrgency:     math.MaxInt64,
		claimedPools:          map[string]bool{},
		starvedPools:          map[string]bool{},
		gangVictims:           map[stepKey]*victim{},
		boosted:               map[stepKey]bool{},
		remainingBoostedCores: map[string]int64{},
		tenantUse:             s.sumTenantUse(),
		knowsAllRuns:          s.knowsAllRuns(now),
		poolShares:            map[string]*poolShares{},
		accounts:              map[string]*tenantAccount{},
	}
	if now-s.lastFullPassAt >= fullPassInterval {
		s.lastFullPassAt, pass.maxUnplaced = now, math.MaxInt
	}
	for _, c := range pass.allCandidates {
		pass.byPool[c.worker.pool] = append(pass.byPool[c.worker.pool], c)
	}
	for _, q := range s.queues {
		if q.checkedOutCount > 0 {
			pass.minRunningUrgency = min(pass.minRunningUrgency, q.urgency)
		}
	}
	return pass
}

// queuePass is one queue's turn in a pass, for steps of one feasibility class.
type queuePass struct {
	*passState
	scheduler      *Scheduler
	now            eventloop.Micros
	queue          *queueView
	class          deadlineFeasibility
	candidates     []*candidate // workers of the queue's pool
	headroom       resources    // capacity that tasks that aren't short may still take
	slots          int          // number of tasks that may still be checked out under the queue's limit
	remainingCores int          // milli cores that steps of this class may still take
	placements     []*schema.Placement
}

// scheduleQueue places as many as it can of a queue's steps of one class and proposes their
// checkout. For steps that find no capacity it reserves future capacity.
func (s *Scheduler) scheduleQueue(now eventloop.Micros, q *queueView, class deadlineFeasibility, steps *stepHeap, pass *passState, effects eventloop.Effects) {
	if steps.Len() == 0 {
		return
	}
	candidates := pass.byPool[s.poolOf(q)]
	p := &queuePass{
		passState: pass, scheduler: s, now: now, queue: q, class: class, candidates: candidates,
		headroom:       s.headroom(q, candidates),
		slots:          int(q.maxRunning) - q.checkedOutCount - len(q.reserved),
		remainingCores: math.MaxInt64,
	}
	switch class {
	case boosted:
		p.remainingCores = int(pass.remainingBoostedCores[s.poolOf(q)])
		defer func() { pass.remainingBoostedCores[s.poolOf(q)] = int64(p.remainingCores) }()
	case infeasible:
		p.remainingCores = infeasibleBudget(candidates)
	}
	for unplaced := 0; steps.Len() > 0 && p.mayPlace() && unplaced < pass.maxUnplaced; {
		cursor, step := steps.next()
		// A step that waits for its tenant's limit doesn't hold up other steps.
		if !p.allowsAnyTask(s, step) {
			continue
		}
		req := p.newRequest(step)
		if p.place(step, req) {
			if p.isBeyondShare(cursor, step) {
				steps.putBack(cursor)
			}
			continue
		}
		// The turn ends after too many steps without capacity, because a pass must not go through
		// all of a long backlog.
		unplaced++
		if req.couldRunOnAny(candidates) {
			pass.starvedPools[s.poolOf(q)] = true
		}
		p.reserveForShape(steps, cursor, step, req)
	}
	q.proposeCheckout(p.placements, effects)
}

// newRequest returns the placement request for a step of the turn. A boosted step is compared with
// other work by the feasibility class that it would have without the boost.
func (p *queuePass) newRequest(step *stepQueue) *placementRequest {
	class := p.class
	if class == boosted {
		class = p.scheduler.feasibilityOf(p.now, p.queue, step.first())
	}
	return p.scheduler.newRequest(p.now, p.queue, step, class, p.candidates)
}

// mayPlace reports whether the limits of the turn allow one more task.
func (p *queuePass) mayPlace() bool {
	return p.slots > 0 && len(p.placements) < maxPlacements && p.remainingCores > 0
}

// place places the ready tasks of a step as far as the limits of the turn allow. It returns
// false only if a task found no worker.
func (p *queuePass) place(step *stepQueue, req *placementRequest) bool {
	members := 1
	if step.spec.Gang {
		members = step.ready.Len()
		if !step.isComplete() || p.slots < members {
			return true
		}
	}
	// The headroom for more urgent queues may be used by boosted steps, by short tasks, and by
	// steps that have waited long while the pool is underutilized.
	mayUseHeadroom := p.class == boosted || req.isShort || !req.isRecent && isUnderutilized(p.candidates)
	if !mayUseHeadroom && p.headroom.fitCount(req.need) < int64(members) {
		return true
	}
	account := p.accountOf(p.scheduler, step.first().tenant)
	share := p.sharesOf(p.scheduler, p.queue).shareOf(p.scheduler, step.first().tenant)
	rank := share.rank()
	for p.mayPlace() && step.ready.Len() > 0 && (mayUseHeadroom || p.headroom.covers(req.need)) {
		tasks := account.nextAllowedTasks(step, p.queue.urgency)
		if tasks == nil || p.class != boosted && share.rank() > rank {
			return true
		}
		if !p.placeTogether(tasks, req) {
			return false
		}
		account.charge(tasks, req.need)
		share.used.add(req.need.times(int64(len(tasks))))
	}
	return true
}

// isBeyondShare reports whether a step still has ready tasks that its tenant's limit allows, but
// that must wait for other tenants' steps because the tenant's share rank has risen.
func (p *queuePass) isBeyondShare(cursor *stepCursor, step *stepQueue) bool {
	return step.ready.Len() > 0 && cursor.currentShareRank() > cursor.shareRank && p.allowsAnyTask(p.scheduler, step)
}

// placeTogether chooses a worker for each of the tasks and reserves the tasks there. If one of
// them finds no worker, it places none and returns false.
func (p *queuePass) placeTogether(tasks []*task, req *placementRequest) bool {
	chosen := p.scheduler.chooseWorkers(tasks, p.candidates, req)
	if chosen == nil {
		return false
	}
	for k, t := range tasks {
		w := chosen[k].worker
		p.scheduler.reserve(p.queue, t, w.id, p.now)
		t.isBoosted = p.class == boosted
		p.placements = append(p.placements, newPlacement(t, w))
		p.slots--
		p.remainingCores -= int(req.need.cores)
		p.headroom.sub(req.need)
	}
	return true
}

// reserveForShape reserves future capacity for a step that found none now, and for the next steps
// of its shape, which would find none either. It removes the shape from the turn's steps.
func (p *queuePass) reserveForShape(steps *stepHeap, cursor *stepCursor, step *stepQueue, req *placementRequest) {
	reserved := p.reserveFutureCapacity(step, req)
	steps.removeShape(cursor.shape)
	for k := 1; reserved > 0 && cursor.current != nil && k < maxUnplaced && p.canGainCapacity(); k++ {
		if next := cursor.current; !next.spec.Gang || next.isComplete() {
			reserved = p.reserveFutureCapacity(next, p.newRequest(next))
		}
		cursor.advance()
	}
}
