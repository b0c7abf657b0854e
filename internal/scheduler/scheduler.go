// Package scheduler places the tasks of the queues that this node leads on the
// workers whose leases it holds. The controller gives the leases of all workers, and the
// preferred leadership of all queues, to one storage node (internal/controller/leaders.go).
//
// The central type is Scheduler, a component of the event loop: a step function
// that owns its state, never blocks and reads no clock. The queues' state
// machines own which task is ready or checked out; the scheduler keeps a view of
// it (queueView) that it rebuilds from numbered events, and a view of each worker
// from the worker's heartbeats.
//
// A scheduling pass (pass.go) takes the ready tasks through the stages known from
// Nomad and Kubernetes: filter the candidate workers (filter.go), score what is
// left (score.go), and bind the task to the best one by proposing a checkout to
// the queue's Raft group (bind.go). Tasks that find no capacity may preempt tasks
// of less urgent queues (preempt.go). Once the checkout is committed, the
// response to the worker's next poll carries the order: reconcile.go compares
// what the queues want on a worker with what it says it runs.
//
// All times are in microseconds, cores in milli cores, memory in MB.
package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// TickInterval is how often the event loop sends the scheduler a tick.
const TickInterval = 20 * eventloop.Millisecond

// Scheduler decides which worker runs which task. Only its Step function may be
// called once it runs in an event loop.
type Scheduler struct {
	id           string
	bounds       *schema.Bounds // limits of the deployment, as the stop timeout
	clusterState *schema.ClusterState
	config       *clusterstate.Values     // the settings of clusterState
	weights      scoreWeights             // of config
	rackWeights  map[string]int64         // of config, of the racks looked up so far; 0: its workers get no work
	leadership   replica.LeadershipStatus // which queues this node may act for
	leadershipAt eventloop.Micros         // when that was so

	queues        map[string]*queueView
	workers       map[string]*worker // those whose lease this scheduler holds
	workerOrder   []*worker          // the same by id; nil: to be sorted again
	tasksByWorker map[string]map[taskKey]*task
	tasksByName   map[taskName][]*task
	tenantUse     tenantUse                   // sums over the workers
	poolUse       map[string]*tenantUse       // the same by pool
	addedQueues   map[string]uint64           // their generations: see knowsAllRuns
	knowsAllSince eventloop.Micros            // when this node came to know all that runs; 0: it does not
	deadWorkers   map[string]eventloop.Micros // and when each was last reported dead
	runtimeModels map[runtimeKey]*runtimeModel

	needsPass          bool
	needsGangStart     bool             // a gang may have come to be held by all its workers
	nextPassAt         eventloop.Micros // no pass before
	reportedAt         eventloop.Micros // the latest reports
	fullPassAt         eventloop.Micros // the latest pass without a limit on unplaced steps
	starvedPools       map[string]bool  // in which the latest pass found no capacity for some step
	preemptionFailedAt eventloop.Micros // the latest pass in which nothing was found to preempt
	candidateBuffer    []*candidate     // of the latest pass, for reuse
	candidateCores     int64            // of all candidates of the latest pass

	counts Counts
}

// Counts are totals since the process started. Its field names are part of the
// JSON of /v1/placements. LostTasks counts attempts that were reported as lost.
type Counts struct {
	Starts, Stops, Holds, Preempted, LostTasks, Gaps uint64
}

// New makes the scheduler of the node with this process id.
func New(id string) *Scheduler {
	s := &Scheduler{
		id:            id,
		clusterState:  &schema.ClusterState{},
		config:        clusterstate.ParseValues(nil),
		queues:        map[string]*queueView{},
		workers:       map[string]*worker{},
		tasksByWorker: map[string]map[taskKey]*task{},
		tasksByName:   map[taskName][]*task{},
		addedQueues:   map[string]uint64{},
		poolUse:       map[string]*tenantUse{},
		deadWorkers:   map[string]eventloop.Micros{},
		runtimeModels: map[runtimeKey]*runtimeModel{},
	}
	s.adoptConfiguration(s.config)
	return s
}

// adoptConfiguration takes over the settings of a configuration.
func (s *Scheduler) adoptConfiguration(config *clusterstate.Values) {
	s.config = config
	s.weights, s.rackWeights = s.readScoreWeights(), map[string]int64{}
	for _, q := range s.queues {
		s.configureQueue(q)
	}
}

// configureQueue takes over what the configuration says of a queue.
func (s *Scheduler) configureQueue(q *queueView) {
	q.latencyTarget = s.latencyTargetOf(q.name)
	q.pool = s.config.Text("queue", q.name, "pool")
}

// WithBounds sets what the deployment promises and demands; where that is nil or
// zero the defaults hold.
func (s *Scheduler) WithBounds(bounds *schema.Bounds) *Scheduler {
	s.bounds = bounds
	return s
}

// Step implements eventloop.Component.
func (s *Scheduler) Step(now eventloop.Micros, message eventloop.Message, effects eventloop.Effects) {
	switch body := message.Body.(type) {
	case eventloop.Tick:
		s.handleTick(now, effects)
	case *schema.ClusterStateResponse:
		s.applyClusterState(now, body, effects)
	case replica.LeadershipStatus:
		// A process that was frozen finds statuses from before in its mailbox, so
		// the age counts from when it was true, not from now.
		s.leadership, s.leadershipAt = body, cmp.Or(body.TakenAt, now)
	case replica.TaskEvents:
		s.applyEvents(now, body, effects)
	case replica.ProposalDropped:
		s.releaseDropped(body)
	case replica.LeadershipLost:
		// Nobody leads a queue that was removed.
		if clusterstate.FindQueue(s.clusterState, body.Queue) != nil {
			s.forgetAddedQueues()
		}
		s.dropQueue(body.Queue)
	case *schema.WorkerPollRequest:
		s.handlePoll(now, message.From, body, effects)
	case *schema.TaskEndAck:
		s.handleEndAck(body)
	case StateViewRequest:
		effects.Respond(body.Request, s.stateView(now))
	}
	if s.needsPass && now >= s.nextPassAt {
		s.needsPass = false
		s.runPass(now, effects)
		// A backlog loses nothing by a moment's delay, and a pass over it costs far
		// more than the message that asks for it.
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

func (s *Scheduler) handleTick(now eventloop.Micros, effects eventloop.Effects) {
	for _, w := range s.sortedWorkers() {
		w.needsResponse = true
		s.forwardEndReports(now, w, effects)
		s.returnTasksOfUnresponsive(now, w, effects)
		s.enforceLimits(now, w)
		if s.isFrozen(now, w) {
			s.ejectSlowWorker(now, w, minProgressRatio)
		}
	}
	s.removeDeadWorkers(now, effects)
	s.trackKnowledge(now)
	for _, q := range s.queues {
		q.peak.update(q.usage)
		s.expireReservations(now, q)
	}
	s.needsPass, s.needsGangStart = true, true
	s.sendReports(now, effects)
}

// applyClusterState takes over the settings and the worker leases of a newer
// cluster state.
func (s *Scheduler) applyClusterState(now eventloop.Micros, m *schema.ClusterStateResponse, effects eventloop.Effects) {
	if m.State == nil {
		return
	}
	s.noteAddedQueues(now, m.State)
	s.clusterState = m.State
	s.adoptConfiguration(s.config.ForConfiguration(m.State.Configuration))
	leases := map[string]*schema.WorkerLease{}
	for _, lease := range s.clusterState.WorkerLeases {
		if lease.Scheduler == s.id {
			leases[lease.Worker] = lease
		}
	}
	for _, w := range s.sortedWorkers() {
		if lease := leases[w.id]; lease == nil || lease.FencingToken != w.fencingToken {
			s.dropWorker(w, effects)
		}
	}
	for id, lease := range leases {
		if s.workers[id] == nil {
			s.addWorker(now, id, lease.FencingToken)
		}
	}
	s.needsPass = true
}

// sortedWorkers lists the workers by id. Every step goes over them, so the order
// is kept between changes of the leases.
func (s *Scheduler) sortedWorkers() []*worker {
	if s.workerOrder == nil {
		for _, id := range slices.Sorted(maps.Keys(s.workers)) {
			s.workerOrder = append(s.workerOrder, s.workers[id])
		}
	}
	return s.workerOrder
}

func (s *Scheduler) fleetSetting(key string) int64 { return s.config.Fleet(key) }

// poolOf is the pool of workers that a queue's tasks run in; empty: those without one.
func (s *Scheduler) poolOf(q *queueView) string { return q.pool }
