// Package hollow provides the components of hollow nodes: agent nodes without real workers
// that put the same load on a cluster as real agent nodes, for scalability measurements.
//
// Agent replaces the agent component. Its worker is a fakeworker.PollingWorker, whose tasks
// take time but execute nothing. StatePoller replaces the controller component on nodes that
// aren't controller candidates. Both run in real processes (sparnotch-bench) and in the
// simulator.
package hollow

import (
	"math/rand/v2"

	"sparnotch/internal/checker"
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
	"sparnotch/internal/membership"
	"sparnotch/internal/pollrelay"
	"sparnotch/internal/process"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

const (
	// AgentName is the name of the Agent among the components of a node.
	AgentName = "hollow-agent"
	// AgentTickInterval is the interval of the Agent's ticks.
	AgentTickInterval = 50 * eventloop.Millisecond
)

const (
	pollTimeout  = 1200 * eventloop.Millisecond // after which a poll counts as unanswered
	maxOpenPolls = 2                            // unanswered polls at the same time
	// registrationInterval is the minimum time between two requests to register the worker.
	registrationInterval = eventloop.Second
)

// Hooks holds functions that an Agent calls when its worker starts or ends a task, or when a
// configuration arrives. Each may be nil.
type Hooks struct {
	OnStart  func(now eventloop.Micros, job string, step, task uint32)
	OnEnd    func()
	OnConfig func(now eventloop.Micros, revision uint64) // a newer configuration revision has arrived
}

// Agent polls the scheduler that holds the lease of its worker, and passes the received orders
// to the worker.
type Agent struct {
	hooks        Hooks
	worker       *fakeworker.PollingWorker
	state        *schema.ClusterState // newest that has arrived; nil: none yet
	leader       string               // node that leads the group of the cluster state; empty: unknown
	lastPoll     uint64               // ID of the last poll
	openPolls    map[uint64]openPoll  // by ID
	registeredAt eventloop.Micros     // when the last registration was sent
	relays       pollrelay.Selector
}

// openPoll is a poll that hasn't been answered. sequence is the number of its heartbeat.
type openPoll struct {
	sequence uint64
	sentAt   eventloop.Micros
}

// Resources holds the capacity of a worker, in thousandths of a core and in MB.
type Resources struct{ Cores, Memory int64 }

// New returns an agent with a worker of this name. The incarnation must be higher at each start
// of the worker than at the start before.
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
				a.relays.RecordFailure(now)
				delete(a.openPolls, id)
				a.worker.HandleUnanswered(now)
			}
		}
	case *membership.View:
		a.relays.SetMembers(body)
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

// handleClusterState stores the received cluster state if it is newer than the current one, and
// the leader of the group of the cluster state if the response contains one.
func (a *Agent) handleClusterState(now eventloop.Micros, m *schema.ClusterStateResponse) {
	if m.State != nil && m.State.Version > a.state.GetVersion() {
		if a.hooks.OnConfig != nil && a.state.GetConfiguration().GetRevision() < m.State.Configuration.GetRevision() {
			a.hooks.OnConfig(now, m.State.Configuration.Revision)
		}
		a.state = m.State
		a.relays.SetClusterState(m.State)
	}
	if leader := m.Leaders[clusterstate.GroupName]; leader != "" {
		a.leader = leader
	}
}

// sendPoll polls the scheduler if a heartbeat is due, or registers the worker if no scheduler
// holds its lease.
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
	poll := &schema.WorkerPollRequest{Id: a.lastPoll, Worker: a.worker.Name, Heartbeat: heartbeat}
	to := lease.Scheduler
	if relay := a.relays.Choose(now, a.worker.Name, lease.Scheduler); relay != "" {
		to, poll.Scheduler = relay, lease.Scheduler
	}
	effects.Send(to, poll)
}

// register asks the leader of the group of the cluster state to create a lease of the worker.
func (a *Agent) register(now eventloop.Micros, effects eventloop.Effects) {
	if now-a.registeredAt <= registrationInterval || a.leader == "" {
		return
	}
	a.registeredAt = now
	command := &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_RegisterWorker{RegisterWorker: &schema.RegisterWorker{Worker: a.worker.Name}}}
	effects.Send(a.leader, &schema.Request{Kind: "clusterstate", Group: clusterstate.GroupName, Body: replica.EncodeClusterStateCommand(command)})
}

// ComponentsFor returns the names of the components of a hollow node that receive a message.
func ComponentsFor(body any) []string {
	switch body.(type) {
	case *schema.WorkerPollResponse:
		return []string{AgentName}
	case *schema.ClusterStateResponse:
		return []string{AgentName, "controller"}
	}
	return []string{process.ComponentFor(schema.Role_ROLE_CONTROLLER, body)}
}
