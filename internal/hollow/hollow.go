// Package hollow owns the tables of processes with nothing behind them: the
// stead of a side's agent with a worker whose tasks only take their time, and
// that of a controller on a side that is none. Real wires and simulated ones carry
// the same.
package hollow

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"sparnotch/internal/checker"
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
	"sparnotch/internal/membership"
	"sparnotch/internal/process"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// Hand is the name of the agent's stead among a process's tables, and its tick.
const (
	AgentName         = "hand"
	AgentTickInterval = 50 * eventloop.Millisecond
)

const (
	pollTimeout  = 1200 * eventloop.Millisecond
	maxOpenPolls = 2
)

// Hooks is told what the worker does; any of it may be nil.
type Hooks struct {
	OnStart  func(now eventloop.Micros, job string, step, task uint32)
	OnEnd    func()
	OnConfig func(now eventloop.Micros, generation uint64) // a newer plan has come to this process
}

// Agent announces to the ward's scheduler and takes the answers.
type Agent struct {
	hooks        Hooks
	worker       *fakeworker.Worker
	state        *schema.ClusterState
	leader       string
	lastPoll     uint64
	openPolls    map[uint64]openPoll
	registeredAt eventloop.Micros
}

type openPoll struct {
	sequence uint64
	sentAt   eventloop.Micros
}

// Resources is what a worker has: thousandths of a core, and MB.
type Resources struct{ Cores, Memory int64 }

// New makes a side's table with a worker of this name. The incarnation grows
// with each start of it.
func New(now eventloop.Micros, name, rack string, capacity Resources, incarnation uint64, rng *rand.Rand, hooks Hooks) *Agent {
	h := &Agent{hooks: hooks, openPolls: map[uint64]openPoll{}}
	h.worker = fakeworker.New(now, name, rack, capacity.Cores, capacity.Memory, incarnation, rng, func(e checker.Event) {
		switch {
		case e.Kind == checker.TaskStart && hooks.OnStart != nil:
			hooks.OnStart(e.At, e.Name, e.Step, e.Task)
		case e.Kind == checker.TaskEnd && hooks.OnEnd != nil:
			hooks.OnEnd()
		}
	})
	return h
}

// Step implements eventloop.Table.
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

func (a *Agent) handleClusterState(now eventloop.Micros, m *schema.ClusterStateResponse) {
	if m.State != nil && m.State.Version > a.state.GetVersion() {
		if a.hooks.OnConfig != nil && a.state.GetConfiguration().GetRevision() < m.State.Configuration.GetRevision() {
			a.hooks.OnConfig(now, m.State.Configuration.Revision)
		}
		a.state = m.State
	}
	if leader := m.Leaders[clusterstate.Group]; leader != "" {
		a.leader = leader
	}
}

func (a *Agent) sendPoll(now eventloop.Micros, effects eventloop.Effects) {
	if !a.worker.IsHeartbeatDue(now) || len(a.openPolls) >= maxOpenPolls || a.state == nil {
		return
	}
	lease := clusterstate.FindWorkerLease(a.state, a.worker.Name)
	if lease == nil || lease.Scheduler == "" {
		if now-a.registeredAt > eventloop.Second && a.leader != "" {
			a.registeredAt = now
			effects.Send(a.leader, &schema.Request{Kind: "clusterstate", Group: clusterstate.Group, Body: replica.EncodeClusterStateCommand(
				&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_RegisterWorker{RegisterWorker: &schema.RegisterWorker{Worker: a.worker.Name}}})})
		}
		return
	}
	heartbeat := a.worker.NewHeartbeat(now)
	a.lastPoll++
	a.openPolls[a.lastPoll] = openPoll{heartbeat.Seq, now}
	effects.Send(lease.Scheduler, &schema.WorkerPollRequest{Id: a.lastPoll, Worker: a.worker.Name, Heartbeat: heartbeat})
}

// ComponentsFor names the tables of a side that a message is for.
func ComponentsFor(body any) []string {
	switch body.(type) {
	case *schema.WorkerPollResponse:
		return []string{AgentName}
	case *schema.ClusterStateResponse:
		return []string{AgentName, "controller"}
	}
	return []string{process.ComponentFor(schema.Role_ROLE_CONTROLLER, body)}
}

// StatePoller stands where the controller's table would on a side that is none: it
// asks one store for the cluster state, and does nothing with it.
type StatePoller struct {
	members     *membership.View
	version     uint64
	storageNode string
}

// StatePollInterval is how often it asks.
const StatePollInterval = 250 * eventloop.Millisecond

const livenessTimeout = 1500 * eventloop.Millisecond

// Step implements eventloop.Table.
func (p *StatePoller) Step(now eventloop.Micros, message eventloop.Message, effects eventloop.Effects) {
	switch body := message.Body.(type) {
	case *membership.View:
		p.members = body
	case *schema.ClusterStateResponse:
		if body.State != nil {
			p.version = max(p.version, body.State.Version)
		}
	case eventloop.Tick:
		if p.members == nil {
			return
		}
		if p.storageNode == "" || !p.members.IsAlive(p.storageNode, now, livenessTimeout) {
			p.storageNode = p.pickStorageNode(now)
		}
		if p.storageNode != "" {
			effects.Send(p.storageNode, &schema.ClusterStateRequest{Version: p.version})
		}
	}
}

// pickStorageNode takes one of the live stores by its own id, so that sides spread over
// them.
func (p *StatePoller) pickStorageNode(now eventloop.Micros) string {
	var stores []string
	for id, known := range p.members.Members {
		if known.Member.HasStorage && p.members.IsAlive(id, now, livenessTimeout) {
			stores = append(stores, id)
		}
	}
	if len(stores) == 0 {
		return ""
	}
	slices.Sort(stores)
	hash := fnv.New32a()
	hash.Write([]byte(p.members.Self.Id))
	return stores[int(hash.Sum32()%uint32(len(stores)))]
}
