// Package scheduler places the tasks of the queues that this node leads on the
// workers whose leases it holds. The controller gives the leases of all workers, and the
// preferred leadership of all queues, to one storage node (internal/controller/leaders.go).
//
// The central type is Scheduler, a component of the event loop: a step function
// that owns its state, never blocks and reads no clock. The queues' state
// machines decide which tasks are ready or checked out. The scheduler keeps a view of
// each queue (queueView), which it rebuilds from numbered events, and a view of each
// worker, which it updates from the worker's heartbeats.
//
// A scheduling pass (pass.go) takes the ready tasks through the stages known from
// Nomad and Kubernetes: filter the candidate workers (filter.go), score the remaining
// ones (score.go), and bind the task to the best one by proposing a checkout to
// the queue's Raft group (bind.go). Tasks that find no capacity may preempt tasks
// of less urgent queues (preempt.go). Once the checkout is committed, the
// response to the worker's next poll carries the order: reconcile.go compares
// the tasks checked out to a worker with the tasks that the worker reports as running.
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

// TickInterval is the time between two ticks that the event loop sends the scheduler.
const TickInterval = 20 * eventloop.Millisecond

const (
	minCheckedPerTick = 64 // workers that a tick checks, if there are as many
	ticksPerCheck     = 5  // ticks in which each worker is checked at least once
)

// Scheduler decides which worker runs which task. Once it runs in an event loop, only
// its Step method may be called.
type Scheduler struct {
	id                    string
	bounds                *schema.Bounds // limits of the deployment, such as the stop timeout
	clusterState          *schema.ClusterState
	config                *clusterstate.Values     // the settings of clusterState
	weights               scoreWeights             // score weights, read from config
	rackWeights           map[string]int64         // weights by rack, read from config on first use; 0: the rack's workers get no work
	leadership            replica.LeadershipStatus // queues that this node leads, by the latest status
	leadershipConfirmedAt eventloop.Micros         // time at which leadership was confirmed

	queues            map[string]*queueView
	workers           map[string]*worker // workers whose lease this scheduler holds, by id
	workerOrder       []*worker          // the same workers sorted by id; nil: must be sorted again
	tasksByWorker     map[string]map[taskKey]*task
	tasksByName       map[taskName][]*task
	tenantUse         tenantUse                   // resources that tenants use, summed over the workers
	poolUse           map[string]*tenantUse       // the same sums by pool
	addedQueues       map[string]uint64           // generations of queues added while this node led all others; see knowsAllRuns
	knowsAllRunsSince eventloop.Micros            // start of the current period in which knowsAllRuns returns true; 0 while it returns false
	checkCursor       int                         // index in workerOrder of the next worker to check, see nextWorkersToCheck
	endReports        []*schema.TaskEndReport     // reports of ended tasks for the queues, sent at the end of this step
	responseRequests  []*worker                   // workers whose polls the end of this step checks, see requestResponse
	failureTotals     map[string]*outcomeCounts   // sums of outcomesByQueue over all workers, by queue
	deadWorkers       map[string]eventloop.Micros // time of the last report of each worker's death
	runtimeModels     map[runtimeKey]*runtimeModel

	needsPass          bool
	needsGangCheck     bool             // some gang may now be held by all its workers and ready to start
	nextPassAt         eventloop.Micros // earliest time of the next pass
	lastReportAt       eventloop.Micros // time of the latest pool reports
	lastFullPassAt     eventloop.Micros // time of the latest pass without a limit on unplaced steps
	starvedPools       map[string]bool  // pools in which the latest pass found no capacity for some step
	preemptionFailedAt eventloop.Micros // time of the latest pass that found nothing to preempt
	candidateBuffer    []*candidate     // candidates of the latest pass; the next pass reuses the slice
	candidateCores     int64            // milli cores of all candidates of the latest pass

	counts Counts
}

// Counts holds totals since the process started. The names of its fields are part of the
// JSON of /v1/placements. Starts, Stops and Holds count orders that were sent to workers,
// LostTasks counts attempts that were reported as lost, and Gaps counts breaks in the
// sequence of a queue's events.
type Counts struct {
	Starts, Stops, Holds, Preempted, LostTasks, Gaps uint64
}

// New returns the scheduler of the node with this process id.
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
		failureTotals: map[string]*outcomeCounts{},
		deadWorkers:   map[string]eventloop.Micros{},
		runtimeModels: map[runtimeKey]*runtimeModel{},
	}
	s.adoptConfiguration(s.config)
	return s
}

// adoptConfiguration makes a configuration's settings those of the scheduler and its queues.
func (s *Scheduler) adoptConfiguration(config *clusterstate.Values) {
	s.config = config
	s.weights, s.rackWeights = s.readScoreWeights(), map[string]int64{}
	for _, q := range s.queues {
		s.configureQueue(q)
	}
}

// configureQueue updates a queue's latency target and pool from the configuration.
func (s *Scheduler) configureQueue(q *queueView) {
	q.latencyTarget = s.latencyTargetOf(q.name)
	q.pool = s.config.Text("queue", q.name, "pool")
}

// WithBounds sets the limits of the deployment and returns the scheduler. The defaults apply
// where bounds or one of its fields is nil or zero.
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
		// A process that was frozen finds old statuses in its mailbox, so the age of a
		// status counts from the time at which it was true, not from its arrival.
		s.leadership, s.leadershipConfirmedAt = body, cmp.Or(body.TakenAt, now)
	case replica.TaskEvents:
		s.applyEvents(now, body, effects)
	case replica.ProposalDropped:
		s.releaseDropped(body)
	case replica.LeadershipLost:
		// The loss of a removed queue doesn't count, since no other node leads it.
		if clusterstate.FindQueue(s.clusterState, body.Queue) != nil {
			s.forgetAddedQueues()
		}
		s.dropQueue(body.Queue)
	case *schema.WorkerPollRequest:
		s.handlePoll(now, pollSource{process: message.From}, body, effects)
	case *schema.RelayedPolls:
		s.handleRelayedPolls(now, message.From, body, effects)
	case *schema.TaskEndAck:
		s.handleEndAck(body)
	case replica.TaskEndAcks:
		for _, ack := range body.Acks {
			s.handleEndAck(ack)
		}
	case StateViewRequest:
		effects.Respond(body.Request, s.stateView(now))
	}
	if s.needsPass && now >= s.nextPassAt {
		s.needsPass = false
		s.runPass(now, effects)
		// A pass over a backlog or over many workers costs far more than the message that
		// requests it, and a short delay does little harm.
		if s.hasBacklog() || len(s.workers) > minCheckedPerTick {
			s.nextPassAt = now + passCooldown
		}
	}
	if s.needsGangCheck {
		s.needsGangCheck = false
		s.startGangs(now, effects)
	}
	s.respondToPolls(now, effects)
	if len(s.endReports) > 0 {
		effects.Notify("replica", replica.TasksEnded{Reports: s.endReports})
		s.endReports = nil
	}
}

// handleTick does the periodic work: it forwards ends, enforces time limits, returns the tasks
// of lost workers, requests a pass and sends reports.
func (s *Scheduler) handleTick(now eventloop.Micros, effects eventloop.Effects) {
	for _, w := range s.sortedWorkers() {
		if w.poll != nil && now >= w.poll.deadline {
			s.requestResponse(w)
		}
	}
	for _, w := range s.nextWorkersToCheck() {
		s.requestResponse(w)
		s.forwardEndReports(now, w, effects)
		s.returnTasksOfUnresponsiveWorker(now, w, effects)
		s.enforceLimits(now, w)
		if s.isFrozen(now, w) {
			s.ejectSlowWorker(now, w, minProgressRatio)
		}
	}
	s.removeDeadWorkers(now, effects)
	s.updateKnowsAllRunsSince(now)
	for _, q := range s.queues {
		q.peakUsage.update(q.usage)
		s.expireReservations(now, q)
	}
	s.needsPass, s.needsGangCheck = true, true
	s.sendReports(now, effects)
}

// nextWorkersToCheck returns the workers that a tick checks. Few workers are all checked at each tick,
// and many in turn, so that each is checked at least once in ticksPerCheck ticks.
func (s *Scheduler) nextWorkersToCheck() []*worker {
	all := s.sortedWorkers()
	count := min(len(all), max(minCheckedPerTick, (len(all)+ticksPerCheck-1)/ticksPerCheck))
	if count == len(all) {
		return all
	}
	checked := make([]*worker, 0, count)
	for range count {
		s.checkCursor %= len(all)
		checked = append(checked, all[s.checkCursor])
		s.checkCursor++
	}
	return checked
}

// applyClusterState adopts the configuration of a newer cluster state, and adds and drops
// workers by its worker leases.
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

// sortedWorkers returns the workers sorted by id. Every step iterates over them, so the
// sorted list is kept until the leases change.
func (s *Scheduler) sortedWorkers() []*worker {
	if s.workerOrder == nil {
		for _, id := range slices.Sorted(maps.Keys(s.workers)) {
			s.workerOrder = append(s.workerOrder, s.workers[id])
		}
	}
	return s.workerOrder
}

// fleetSetting returns a setting that applies to the whole fleet.
func (s *Scheduler) fleetSetting(key string) int64 { return s.config.Fleet(key) }

// poolOf returns the worker pool in which a queue's tasks run. An empty string means that they run on
// workers without a pool.
func (s *Scheduler) poolOf(q *queueView) string { return q.pool }
