package agent

import (
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// TickInterval is how often the agent's component gets a Tick.
const TickInterval = 20 * eventloop.Millisecond

const (
	// registrationInterval is the least time between two requests to the cluster
	// state to register the worker.
	registrationInterval = 500 * eventloop.Millisecond
	// pauseThreshold is a time between two steps that shows that this process was
	// paused: the worker is inspected before anything is reported of it.
	pauseThreshold = eventloop.Second
)

// Agent is the component that speaks for one worker.
type Agent struct {
	bounds          *schema.Bounds
	clusterState    *schema.ClusterState
	leader          string // of the cluster state's group
	worker          *workerState
	former          []formerIncarnation // newest last
	replacedWorkers []string            // former incarnations that no scheduler has acknowledged yet
	pollSequence    uint64              // of the last poll; above those of earlier runs of this process
	callSequence    uint64              // of calls and of their replies, in the order they were seen
	startedAt       eventloop.Micros
	lastStepAt      eventloop.Micros
}

// New makes an agent. Bounds are what the deployment promises; nil sets none.
// firstSequence must be above the sequence number of any poll that an earlier run
// of this process has sent; the wall clock in microseconds will do.
func New(bounds *schema.Bounds, firstSequence uint64) *Agent {
	if bounds == nil {
		bounds = &schema.Bounds{}
	}
	return &Agent{bounds: bounds, clusterState: &schema.ClusterState{}, pollSequence: firstSequence}
}

// Step implements eventloop.Component.
func (a *Agent) Step(now eventloop.Micros, message eventloop.Message, effects eventloop.Effects) {
	if a.startedAt == 0 {
		a.startedAt = now
	}
	if a.lastStepAt > 0 && now-a.lastStepAt > pauseThreshold && a.worker != nil {
		// Tasks may have ended during the pause, and the scheduler may have given them
		// to others. The missed replies were this process's fault, not the worker's.
		a.requireInspection(a.worker)
		a.worker.missedInspections, a.worker.unansweredSince = 0, 0
	}
	a.lastStepAt = now
	switch body := message.Body.(type) {
	case eventloop.Tick:
		a.expireCalls(now)
	case Heartbeat:
		a.handleHeartbeat(now, body)
	case Departed:
		a.handleDeparture(now, body)
	case Reply:
		a.handleReply(now, body)
	case *schema.ClusterStateResponse:
		a.handleClusterState(now, body)
	case *schema.WorkerPollResponse:
		a.handlePollResponse(now, message.From, body)
	}
	a.runDueActions(now, effects)
}

// runDueActions does what is due. The order matters: nothing is reported to a
// scheduler before the worker was inspected under the current fencing token.
func (a *Agent) runDueActions(now eventloop.Micros, effects eventloop.Effects) {
	w := a.worker
	if w == nil || w.isReplaced {
		return
	}
	a.register(now, w, effects)
	if w.departedAt == 0 {
		a.endLapsedRuns(now, w)
		a.inspectWorker(now, w, effects)
		a.sendDueOrders(now, w, effects)
	}
	a.sendPoll(now, w, effects)
}

// handleClusterState takes over a newer cluster state, and with it the worker's lease.
func (a *Agent) handleClusterState(now eventloop.Micros, m *schema.ClusterStateResponse) {
	if leader := m.Leaders[clusterstate.GroupName]; leader != "" {
		a.leader = leader
	}
	if m.State == nil || m.State.Version <= a.clusterState.Version {
		return
	}
	a.clusterState = m.State
	if a.worker != nil {
		a.adoptLease(a.worker)
	}
}

// register asks the cluster state for a lease of a worker that it doesn't know.
func (a *Agent) register(now eventloop.Micros, w *workerState, effects eventloop.Effects) {
	if a.clusterState.Version == 0 || a.leader == "" || w.registeredAt > 0 && now-w.registeredAt < registrationInterval || clusterstate.FindWorkerLease(a.clusterState, w.id) != nil {
		return
	}
	w.registeredAt = now
	command := &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_RegisterWorker{RegisterWorker: &schema.RegisterWorker{Worker: w.id}}}
	effects.Send(a.leader, &schema.Request{Kind: "clusterstate", Group: clusterstate.GroupName, Body: replica.EncodeClusterStateCommand(command)})
}
