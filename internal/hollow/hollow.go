// Package hollow has the components of hollow nodes: agent nodes that load a cluster
// like real ones without real workers behind them, for scalability measurements.
//
// Agent takes the place of the agent component; its worker is a fakeworker.Worker
// whose tasks only take time. StatePoller takes the place of the controller component
// on nodes that are no controller candidates. They run in real processes
// (sparnotch-bench) and in the simulator alike.
package hollow

import (
	"math/rand/v2"

	"sparnotch/internal/checker"
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
	"sparnotch/internal/process"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// The name of the Agent among a node's components, and its tick.
const (
	AgentName         = "hollow-agent"
	AgentTickInterval = 50 * eventloop.Millisecond
)

const (
	pollTimeout  = 1200 * eventloop.Millisecond
	maxOpenPolls = 2
	// registrationInterval is the least time between two requests to register the worker.
	registrationInterval = eventloop.Second
)

// Hooks are called when something happens at the node; each may be nil.
type Hooks struct {
	OnStart  func(now eventloop.Micros, job string, step, task uint32)
	OnEnd    func()
	OnConfig func(now eventloop.Micros, revision uint64) // a newer configuration revision has arrived
}

// Agent polls the scheduler that holds its worker's lease, and passes the orders to
// the worker.
type Agent struct {
	hooks        Hooks
	worker       *fakeworker.PollingWorker
	state        *schema.ClusterState
	leader       string
	lastPoll     uint64
	openPolls    map[uint64]openPoll
	registeredAt eventloop.Micros
}

// openPoll is a poll that hasn't been answered.
type openPoll struct {
	sequence uint64
	sentAt   eventloop.Micros
}

// Resources of a worker: thousandths of a core, and MB.
type Resources struct{ Cores, Memory int64 }

// New makes an agent with a worker of this name. The incarnation must grow with each
// start of it.
func New(now eventloop.Micros, name, rack string, capacity Resources, incarnation uint64, rng *rand.Rand, hooks Hooks) *Agent {
	a := &Agent{hooks: hooks, openPolls: map[uint64]openPoll{}}
	a.worker = fakeworker.NewPollingWorker(now, name, rack, capacity.Cores, capacity.Memory, incarnation, rng, func(e checker.Event) {
		switch {
		case e.Kind == checker.TaskStart && hooks.OnStart != nil:
			hooks.OnStart(e.At, e.Name, e.Step, e.Task)
		case e.Kind == checker.TaskEnd && hooks.OnEnd != nil:
			hooks.OnEnd()
		}
	})
	return a
}

// Step implements eventloop.Component.
func (a *Agent) Step(now eventloop.Micros, message eventloop.Message, effects eventloop.Effects) {
	switch body := message.Body.(type) {
	case eventloop.Tick:
		a.worker.Tick(now)
		for id, poll := range a.openPolls {
			if now-poll.sentAt > pollTimeout {
				delete(a.openPolls, id)
				a.worker.HandleUnanswered(now)
			}
		}
	case *schema.ClusterStateResponse:
		a.handleClusterState(now, body)
	case *schema.WorkerPollResponse:
		poll, open := a.openPolls[body.Id]
		delete(a.openPolls, body.Id)
		switch {
		case !open:
		case body.Orders == nil:
			a.worker.HandleUnanswered(now)
		default:
			a.worker.HandleOrders(now, poll.sentAt, poll.sequence, body.Orders)
		}
	}
	a.sendPoll(now, effects)
}

// handleClusterState takes over a newer cluster state.
func (a *Agent) handleClusterState(now eventloop.Micros, m *schema.ClusterStateResponse) {
	if m.State != nil && m.State.Version > a.state.GetVersion() {
		if a.hooks.OnConfig != nil && a.state.GetConfiguration().GetRevision() < m.State.Configuration.GetRevision() {
			a.hooks.OnConfig(now, m.State.Configuration.Revision)
		}
		a.state = m.State
	}
	if leader := m.Leaders[clusterstate.GroupName]; leader != "" {
		a.leader = leader
	}
}

// sendPoll polls the scheduler if a heartbeat is due, or registers a worker that has no
// lease yet.
func (a *Agent) sendPoll(now eventloop.Micros, effects eventloop.Effects) {
	if !a.worker.IsHeartbeatDue(now) || len(a.openPolls) >= maxOpenPolls || a.state == nil {
		return
	}
	lease := clusterstate.FindWorkerLease(a.state, a.worker.Name)
	if lease == nil || lease.Scheduler == "" {
		a.register(now, effects)
		return
	}
	heartbeat := a.worker.NewHeartbeat(now)
	a.lastPoll++
	a.openPolls[a.lastPoll] = openPoll{heartbeat.Seq, now}
	effects.Send(lease.Scheduler, &schema.WorkerPollRequest{Id: a.lastPoll, Worker: a.worker.Name, Heartbeat: heartbeat})
}

// register asks the cluster state for a lease of the worker.
func (a *Agent) register(now eventloop.Micros, effects eventloop.Effects) {
	if now-a.registeredAt <= registrationInterval || a.leader == "" {
		return
	}
	a.registeredAt = now
	command := &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_RegisterWorker{RegisterWorker: &schema.RegisterWorker{Worker: a.worker.Name}}}
	effects.Send(a.leader, &schema.Request{Kind: "clusterstate", Group: clusterstate.GroupName, Body: replica.EncodeClusterStateCommand(command)})
}

// ComponentsFor names the components of a hollow node that a message is for.
func ComponentsFor(body any) []string {
	switch body.(type) {
	case *schema.WorkerPollResponse:
		return []string{AgentName}
	case *schema.ClusterStateResponse:
		return []string{AgentName, "controller"}
	}
	return []string{process.ComponentFor(schema.Role_ROLE_CONTROLLER, body)}
}
