package agent

import (
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/pollrelay"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// TickInterval is the interval between the Ticks that the agent's component receives.
const TickInterval = 20 * eventloop.Millisecond

const (
	// registrationInterval is the minimum time between two requests that register the
	// worker with the cluster state.
	registrationInterval = 500 * eventloop.Millisecond
	// pauseThreshold is the time between two steps above which the agent assumes that
	// its process was paused. It then inspects the worker before it reports anything
	// about it.
	pauseThreshold = eventloop.Second
)

// Agent is the component that connects one worker to the cluster: it polls the worker's
// scheduler, and calls the worker.
type Agent struct {
	bounds          *schema.Bounds
	clusterState    *schema.ClusterState
	leader          string // ID of the process that leads the cluster state's group
	worker          *workerState
	former          []formerIncarnation // earlier incarnations of the worker, newest last
	replacedWorkers []string            // IDs of former incarnations whose replacement no scheduler has acknowledged yet
	pollSequence    uint64              // sequence number of the last poll; higher than those sent by earlier runs of this process
	callSequence    uint64              // numbers calls and their replies in the order in which the agent sends and receives them
	startedAt       eventloop.Micros
	lastStepAt      eventloop.Micros
	relays          pollrelay.Selector
}

// New returns an agent. bounds holds the limits that the deployment guarantees; nil
// sets none. firstSequence must be higher than the sequence number of any poll that an
// earlier run of this process sent; the wall clock in microseconds satisfies this.
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
		// Tasks may have ended during the pause, and the scheduler may have assigned
		// them to other workers. Replies that were missed because of the pause don't
		// count against the worker.
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
	case *membership.View:
		a.relays.SetMembers(body)
	case *schema.ClusterStateResponse:
		a.handleClusterState(now, body)
	case *schema.WorkerPollResponse:
		a.handlePollResponse(now, message.From, body)
	}
	a.runDueActions(now, effects)
}

// runDueActions performs the actions that are due. The order matters: the worker must
// be inspected under the current fencing token before anything is reported to a
// scheduler.
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

// handleClusterState adopts a newer cluster state, and the worker lease in it.
func (a *Agent) handleClusterState(now eventloop.Micros, response *schema.ClusterStateResponse) {
	if leader := response.Leaders[clusterstate.GroupName]; leader != "" {
		a.leader = leader
	}
	if response.State == nil || response.State.Version <= a.clusterState.Version {
		return
	}
	a.clusterState = response.State
	a.relays.SetClusterState(response.State)
	if a.worker != nil {
		a.adoptLease(a.worker)
	}
}

// register asks the cluster state's leader for a lease for a worker that has none.
func (a *Agent) register(now eventloop.Micros, w *workerState, effects eventloop.Effects) {
	if a.clusterState.Version == 0 || a.leader == "" || w.registeredAt > 0 && now-w.registeredAt < registrationInterval || clusterstate.FindWorkerLease(a.clusterState, w.id) != nil {
		return
	}
	w.registeredAt = now
	command := &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_RegisterWorker{RegisterWorker: &schema.RegisterWorker{Worker: w.id}}}
	effects.Send(a.leader, &schema.Request{Kind: "clusterstate", Group: clusterstate.GroupName, Body: replica.EncodeClusterStateCommand(command)})
}
