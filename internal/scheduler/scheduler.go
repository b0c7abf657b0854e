// Package scheduler owns which worker runs which task. It holds a copy of what
// the queues led here have ready and out, and of what its workers say of
// themselves; the answer to a worker's announce is the difference.
package scheduler

import (
	"cmp"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
	"sparnotch/internal/timing"
)

// TickInterval is the tick of the table.
const TickInterval = 20 * eventloop.Millisecond

const (
	unresponsiveTimeout    = eventloop.Second             // no order to a worker not heard for this long
	maxLeadershipAge       = timing.MaxLeaderStatusAge    // how old a leader's word may be for an order to leave
	maxPollWait            = 400 * eventloop.Millisecond  // how long an announce is held back at most
	reportRetryInterval    = 300 * eventloop.Millisecond  // a report that isn't settled is passed on again
	reservationTimeout     = 3 * eventloop.Second         // a checkout that was never heard of is given up
	gangStartTimeout       = 500 * eventloop.Millisecond  // a decision to begin a group that isn't heard of is proposed again
	minPollRemaining       = 50 * eventloop.Millisecond   // an announce that is to be answered sooner may be gone by the decision
	gangFailureGrace       = eventloop.Second             // how long a failure in a group waits for the others to begin
	drainStartGrace        = 500 * eventloop.Millisecond  // a decided start may still reach a worker that has just said it leaves
	gangHoldTimeout        = 3 * eventloop.Second         // a group that isn't held by then is let go
	defaultBarrierTimeout  = 2 * eventloop.Second         // a member that hasn't begun by then lets the others go, unless the bounds say more
	preemptionDelay        = 500 * eventloop.Millisecond  // how long urgent work waits before it displaces
	claimDelay             = 1500 * eventloop.Millisecond // how long wide work waits before workers are kept free for it
	ejectedFallbackDelay   = 2500 * eventloop.Millisecond // how long work that nobody else could run waits before it goes to workers that are set aside
	ejectedLastResortDelay = 12 * eventloop.Second        // the same for other work
	minStopTimeout         = 3 * eventloop.Second         // a stop that takes longer is waited for no more, unless the bounds say more
	departureStopLead      = 500 * eventloop.Millisecond  // how long before its worker goes a task is stopped to keep its progress
	deadWorkerRetention    = 60 * eventloop.Second        // how long a worker stays known as dead after the last word of it
	maxPlacements          = 64                           // of one checkout, groups apart
	maxUnplaced            = 32                           // steps that find no room, of one queue and pass
	fullPassInterval       = eventloop.Second / 2         // between two passes that look at every step
	passCooldown           = 10 * eventloop.Millisecond   // after a pass that has left much waiting
)

// Scheduler is the scheduler's table.
type Scheduler struct {
	id                 string
	clusterState       *schema.ClusterState
	config             *clusterstate.Values
	queues             map[string]*queueView
	workers            map[string]*worker
	leadership         replica.LeadershipStatus
	leadershipAt       eventloop.Micros
	needsPass          bool
	needsGangStart     bool             // a group may have come to be held
	candidateBuffer    []*candidate     // of the latest pass, used again
	preemptionFailedAt eventloop.Micros // nothing was found to displace
	fullPassAt         eventloop.Micros // the latest pass over every step
	nextPassAt         eventloop.Micros // no pass before
	counts             Counts
	bounds             *schema.Bounds
	tasksByWorker      map[string]map[taskKey]*task // by worker, whoever wards it
	tasksByName        map[taskName][]*task
	deadWorkers        map[string]eventloop.Micros // dead workers, and when that was last told
	runtimeModels      map[runtimeKey]*runtimeModel
	candidateCores     int64     // milli cores of all workers that may be given work
	workerOrder        []*worker // by name; nil: to be made anew
}

// Counts says what the scheduler has done.
type Counts struct {
	Starts, Stops, Holds, Preempted, LostTasks, Gaps uint64
}

// New makes the table of the scheduler with this process id.
func New(id string) *Scheduler {
	return &Scheduler{
		id: id, clusterState: &schema.ClusterState{}, config: clusterstate.ParseValues(nil), queues: map[string]*queueView{}, workers: map[string]*worker{},
		tasksByWorker: map[string]map[taskKey]*task{}, tasksByName: map[taskName][]*task{}, deadWorkers: map[string]eventloop.Micros{}, runtimeModels: map[runtimeKey]*runtimeModel{},
	}
}

// WithBounds sets what the deployment promises and asks; nil or zero: the defaults.
func (s *Scheduler) WithBounds(bounds *schema.Bounds) *Scheduler {
	s.bounds = bounds
	return s
}

// StateViewRequest asks for the reason of a task's placement.
type StateViewRequest struct {
	Request uint64
}

// Step implements eventloop.Table.
func (s *Scheduler) Step(now eventloop.Micros, message eventloop.Message, effects eventloop.Effects) {
	switch body := message.Body.(type) {
	case eventloop.Tick:
		s.handleTick(now, effects)
	case *schema.ClusterStateResponse:
		s.applyClusterState(now, body, effects)
	case replica.LeadershipStatus:
		// A process that was frozen finds word from before in its mail.
		s.leadership, s.leadershipAt = body, cmp.Or(body.At, now)
	case replica.TaskEvents:
		s.applyEvents(now, body, effects)
	case replica.LeadershipLost:
		s.dropQueue(body.Queue)
	case *schema.WorkerPollRequest:
		s.handlePoll(now, message.From, body, effects)
	case *schema.TaskEndAck:
		s.handleEndReply(body)
	case StateViewRequest:
		effects.Respond(body.Request, s.stateView(now))
	}
	if s.needsPass && now >= s.nextPassAt {
		s.needsPass = false
		s.pass(now, effects)
		// What stands in a row loses nothing by a moment more, and a pass over a
		// long row costs far more than the mail that asks for it.
		if s.hasBacklog() {
			s.nextPassAt = now + passCooldown
		}
	}
	if s.needsGangStart {
		s.needsGangStart = false
		s.startGangs(now, effects)
	}
	s.respondToPolls(now, effects)
}

func (s *Scheduler) fleetSetting(key string) int64 { return s.config.Fleet(key) }

func (s *Scheduler) applyClusterState(now eventloop.Micros, m *schema.ClusterStateResponse, effects eventloop.Effects) {
	if m.State == nil {
		return
	}
	s.clusterState, s.config = m.State, clusterstate.ParseValues(m.State.Configuration)
	leases := map[string]*schema.WorkerLease{}
	for _, lease := range s.clusterState.WorkerLeases {
		if lease.Scheduler == s.id {
			leases[lease.Worker] = lease
		}
	}
	for _, w := range s.sortedWorkers() {
		id := w.id
		if lease := leases[id]; lease == nil || lease.FencingToken != w.fencingToken {
			s.closePoll(w, effects)
			delete(s.workers, id)
			s.workerOrder = nil
			if len(w.tasks) == 0 {
				delete(s.tasksByWorker, id)
			}
		}
	}
	for id, lease := range leases {
		if s.workers[id] != nil {
			continue
		}
		w := &worker{
			id: id, fencingToken: lease.FencingToken, leaseSince: now, running: map[attemptKey]*schema.TaskStatus{},
			ended: map[attemptKey]*endReport{}, tasks: s.tasksOn(id), resolved: map[namedAttempt]attemptKey{},
			reserved: map[taskKey]*task{}, isUsageStale: true,
		}
		s.workers[id], s.workerOrder = w, nil
		for _, q := range s.queues {
			for key, t := range q.reserved {
				if t.reservedWorker == id {
					w.reserved[key] = t
				}
			}
		}
		_, w.isDead = s.deadWorkers[id]
	}
	for _, q := range s.queues {
		q.latencyTarget = s.latencyTargetOf(q.name)
	}
	s.needsPass = true
}

func (s *Scheduler) handleTick(now eventloop.Micros, effects eventloop.Effects) {
	lease := eventloop.Micros(s.fleetSetting("lease_ms")+s.fleetSetting("margin_ms")) * eventloop.Millisecond
	for _, w := range s.sortedWorkers() {
		w.needsResponse = true
		s.forwardEndReports(now, w, effects)
		// Whoever warded it before us may have answered it a little longer
		// than we know.
		last := max(w.lastResponse, w.leaseSince+timing.FromBounds(s.bounds).FormerLeaseTimeout)
		// Who isn't sure of being the ward may have a successor that the worker
		// answers to.
		if now-w.lastHeard > unresponsiveTimeout && now-last > lease && s.isClusterStateCurrent(now) {
			for _, t := range s.sortedTasks(w) {
				s.returnTask(now, t, "lost", effects)
			}
		}
		s.enforceLimits(now, w)
		if s.isFrozen(now, w) {
			s.ejectSlowWorker(now, w, minProgressRatio)
		}
	}
	s.removeDeadWorkers(now, effects)
	for _, q := range s.queues {
		q.peak.update(q.usage)
		for _, t := range q.reserved {
			if now-t.reservedAt > reservationTimeout {
				s.unreserve(q, t)
				q.addReady(t)
			}
		}
	}
	s.needsPass, s.needsGangStart = true, true
}

// reserve takes a ready task for a worker while its checkout is on its way.
func (s *Scheduler) reserve(q *queueView, t *task, worker string, now eventloop.Micros) {
	q.removeReady(t)
	t.reservedWorker, t.reservedAt = worker, now
	q.reserved[t.key] = t
	q.countOnWorker(t, worker, 1)
	if w := s.workers[worker]; w != nil {
		w.reserved[t.key], w.isUsageStale = t, true
	}
}

func (s *Scheduler) unreserve(q *queueView, t *task) {
	delete(q.reserved, t.key)
	q.countOnWorker(t, t.reservedWorker, -1)
	if w := s.workers[t.reservedWorker]; w != nil {
		delete(w.reserved, t.key)
		w.isUsageStale = true
	}
	t.reservedWorker = ""
}

// enforceLimits marks tasks that have run too long, stood still, or wait in a group
// that doesn't come together.
func (s *Scheduler) enforceLimits(now eventloop.Micros, w *worker) {
	for key, note := range w.running {
		t := w.tasks[key.taskKey]
		if t == nil || t.attempt != key.attempt || t.evictOutcome != "" {
			continue
		}
		age := int64(now - w.lastHeard)
		limitOf := func(own int64, usual string) int64 {
			if own > 0 {
				return own
			}
			return s.config.Number("queue", key.queue, usual) * int64(eventloop.Millisecond)
		}
		if limit := limitOf(t.spec.TimeLimitUs, "limit_ms"); limit > 0 && note.State == "running" && note.RunUs+age > limit {
			s.evict(t, "failed")
		}
		if limit := limitOf(t.spec.StallTimeoutUs, "still_ms"); limit > 0 && note.State == "running" && note.IdleUs+age > limit {
			s.evict(t, "failed")
		}
		if t.evictOutcome != "" || t.state != queue.CheckedOut {
			continue
		}
		if s.isStuck(now, w, t, note) {
			t.strikes++
			if t.spec.Gang {
				for _, member := range s.gangMembers(t) {
					member.strikes = max(member.strikes, t.strikes)
				}
			}
			s.evictWithGang(t, "stopped")
			s.eject(now, w, baseEjectionPeriod, 1)
			continue
		}
		// What can't end in time keeps its progress; what keeps none may as well
		// try.
		if w.isDraining && w.departsAt > 0 && t.spec.Checkpoints && now+departureStopLead >= w.departsAt && now+s.remainingRuntime(now, w, t) > w.departsAt {
			s.evictWithGang(t, "stopped")
		}
	}
	for _, t := range w.tasks {
		if t.state == queue.Stopping || t.evictOutcome != "" {
			if t.stopRequestedAt == 0 {
				t.stopRequestedAt = now
			}
			if !t.isStopOverdue && now-t.stopRequestedAt > s.stopTimeout() {
				t.isStopOverdue, w.isUsageStale = true, true
			}
		}
		if t.spec.Gang && w.hasBarrier {
			s.breakUpGang(now, t)
			continue
		}
		isWaiting := t.spec.Gang && t.state == queue.CheckedOut && !t.isGangStarted && t.evictOutcome == ""
		// Once its start has been proposed, only the log knows what becomes of it.
		if isWaiting && now-t.since > gangHoldTimeout && (t.gangStartProposedAt == 0 || now-t.gangStartProposedAt > gangHoldTimeout) {
			s.evict(t, "stopped")
		}
	}
}
