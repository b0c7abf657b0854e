package scheduler

import (
	"cmp"
	"math"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	maxPlacements    = 64                         // of one checkout, gangs apart
	maxUnplaced      = 32                         // steps without capacity, of one queue and pass
	fullPassInterval = eventloop.Second / 2       // between passes without that limit
	passCooldown     = 10 * eventloop.Millisecond // after a pass that has left a backlog
)

// passState is what the queues of one pass share.
type passState struct {
	allCandidates     []*candidate
	byPool            map[string][]*candidate
	maxUnplaced       int                 // of one queue, after which the steps behind aren't looked at
	minRunningUrgency int64               // the lowest of the queues that have tasks out
	claimedPools      map[string]bool     // in which workers are kept free
	gangVictims       map[stepKey]*victim // gangs may be preempted only as a whole
	starvedPools      map[string]bool     // in which a step found no capacity
	boosted           map[stepKey]bool    // steps that go before all others
	boostedLeft       map[string]int64    // milli cores that these may still take, by pool
	preemptionFailed  bool                // something that may preempt found no victim
	tenantUse         tenantUse           // when the pass began
	knowsAllRuns      bool                // see Scheduler.knowsAllRuns
	accounts          map[string]*tenantAccount
	poolShares        map[string]*poolShares
}

// runPass goes over the ready tasks of all queues, most urgent queue first, and
// proposes the checkout of those that find a worker.
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
	for _, turn := range turnsOf(len(queues)) {
		s.scheduleQueue(now, queues[turn.queue], turn.class, &heaps[turn.queue][turn.class], pass, effects)
	}
	s.starvedPools = pass.starvedPools
	if pass.preemptionFailed {
		s.preemptionFailedAt = now
	}
}

// passTurn is the turn of one class of one queue in a pass.
type passTurn struct {
	queue int // in the order of urgency
	class deadlineFeasibility
}

// turnsOf is the order of a pass: what would starve, then by urgency what can still be of use,
// on time before late, and last what has missed its target by far. Less urgent work that went
// before urgent late work would be preempted by the next urgent job.
func turnsOf(queues int) (turns []passTurn) {
	for _, classes := range [][]deadlineFeasibility{{boosted}, {onTime, late}, {infeasible}} {
		for k := range queues {
			for _, class := range classes {
				turns = append(turns, passTurn{k, class})
			}
		}
	}
	return turns
}

// queuesToServe lists the queues with ready tasks, most urgent first; among equals
// the one that has waited longest.
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
		allCandidates:     s.candidates(now),
		byPool:            map[string][]*candidate{},
		maxUnplaced:       maxUnplaced,
		minRunningUrgency: math.MaxInt64,
		claimedPools:      map[string]bool{},
		starvedPools:      map[string]bool{},
		gangVictims:       map[stepKey]*victim{},
		boosted:           map[stepKey]bool{},
		boostedLeft:       map[string]int64{},
		tenantUse:         s.sumTenantUse(),
		knowsAllRuns:      s.knowsAllRuns(now),
		poolShares:        map[string]*poolShares{},
		accounts:          map[string]*tenantAccount{},
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
	candidates     []*candidate // of the queue's pool
	headroom       resources    // that tasks which aren't short may still take
	slots          int          // tasks that may still go out by the queue's limit
	remainingCores int          // milli cores that steps of this class may still take
	placements     []*schema.Placement
}

// scheduleQueue places what it can of a queue's steps and proposes their checkout.
// For steps that find no capacity it reserves capacity that is being freed.
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
		p.remainingCores = int(pass.boostedLeft[s.poolOf(q)])
		defer func() { pass.boostedLeft[s.poolOf(q)] = int64(p.remainingCores) }()
	case infeasible:
		p.remainingCores = infeasibleBudget(candidates)
	}
	for unplaced := 0; steps.Len() > 0 && p.mayPlace() && unplaced < pass.maxUnplaced; {
		cursor, step := steps.next()
		// What waits for its tenant's limit holds nobody up.
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
		// A long backlog must not be looked through at every pass.
		unplaced++
		if req.couldRunOnAny(candidates) {
			pass.starvedPools[s.poolOf(q)] = true
		}
		p.awaitCapacity(steps, cursor, step, req)
	}
	q.proposeCheckout(p.placements, effects)
}

// newRequest is the request for a step of the turn's class. What is boosted keeps its own
// class where it is compared with other work.
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

// place places the ready tasks of a step as far as the limits of the turn allow. It
// reports false where one of them found no worker.
func (p *queuePass) place(step *stepQueue, req *placementRequest) bool {
	members := 1
	if step.spec.Gang {
		members = step.ready.Len()
		if !step.isComplete() || p.slots < members {
			return true
		}
	}
	// Headroom is kept neither from boosted steps nor from short tasks, nor from steps that
	// have waited long while the pool is underutilized.
	mayUseHeadroom := p.class == boosted || req.isShort || !req.isRecent && isUnderutilized(p.candidates)
	if !mayUseHeadroom && p.headroom.multipleOf(req.need) < int64(members) {
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

// isBeyondShare reports whether a step has tasks left that its tenant's limit takes, but that
// come after those of other tenants.
func (p *queuePass) isBeyondShare(cursor *stepCursor, step *stepQueue) bool {
	return step.ready.Len() > 0 && cursor.currentShareRank() > cursor.shareRank && p.allowsAnyTask(p.scheduler, step)
}

// placeTogether chooses a worker for each of the tasks and reserves it; false: not
// all of them found one, and none is placed.
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

// awaitCapacity reserves future capacity for a step that found none, and for the
// steps of its shape, which would find none either.
func (p *queuePass) awaitCapacity(steps *stepHeap, cursor *stepCursor, step *stepQueue, req *placementRequest) {
	awaited := p.reserveFutureCapacity(step, req)
	steps.removeShape(cursor.shape)
	for k := 1; awaited > 0 && cursor.current != nil && k < maxUnplaced && p.canGainCapacity(); k++ {
		if next := cursor.current; !next.spec.Gang || next.isComplete() {
			awaited = p.reserveFutureCapacity(next, p.newRequest(next))
		}
		cursor.advance()
	}
}
