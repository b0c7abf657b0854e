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
	Name = "hand"
	Pace = 50 * eventloop.Millisecond
)

const (
	pollSpan = 1200 * eventloop.Millisecond
	openMost = 2
)

// Watch is told what the worker does; any of it may be nil.
type Watch struct {
	Began func(now eventloop.Micros, job string, step, task uint32)
	Ended func()
	Plan  func(now eventloop.Micros, generation uint64) // a newer plan has come to this process
}

// Hand announces to the ward's scheduler and takes the answers.
type Hand struct {
	watch  Watch
	worker *fakeworker.Worker
	state  *schema.ClusterState
	leader string
	next   uint64
	open   map[uint64]openPoll
	metAt  eventloop.Micros
}

type openPoll struct {
	seq  uint64
	sent eventloop.Micros
}

// Room is what a worker has: thousandths of a core, and MB.
type Room struct{ Cores, Memory int64 }

// New makes a side's table with a worker of this name. The incarnation grows
// with each start of it.
func New(now eventloop.Micros, name, rack string, room Room, incarnation uint64, rng *rand.Rand, watch Watch) *Hand {
	h := &Hand{watch: watch, open: map[uint64]openPoll{}}
	h.worker = fakeworker.New(now, name, rack, room.Cores, room.Memory, incarnation, rng, func(e checker.Event) {
		switch {
		case e.Kind == checker.Begin && watch.Began != nil:
			watch.Began(e.At, e.Name, e.Step, e.Task)
		case e.Kind == checker.End && watch.Ended != nil:
			watch.Ended()
		}
	})
	return h
}

// Step implements eventloop.Table.
func (h *Hand) Step(now eventloop.Micros, mail eventloop.Message, out eventloop.Effects) {
	switch body := mail.Body.(type) {
	case eventloop.Tick:
		h.worker.Tick(now)
		for id, poll := range h.open {
			if now-poll.sent > pollSpan {
				delete(h.open, id)
				h.worker.HandleUnanswered(now)
			}
		}
	case *schema.ClusterStateResponse:
		h.hear(now, body)
	case *schema.WorkerPollResponse:
		poll, isOpen := h.open[body.Id]
		delete(h.open, body.Id)
		switch {
		case !isOpen:
		case body.Orders == nil:
			h.worker.HandleUnanswered(now)
		default:
			h.worker.HandleOrders(now, poll.sent, poll.seq, body.Orders)
		}
	}
	h.announce(now, out)
}

func (h *Hand) hear(now eventloop.Micros, m *schema.ClusterStateResponse) {
	if m.State != nil && m.State.Version > h.state.GetVersion() {
		if h.watch.Plan != nil && h.state.GetConfiguration().GetRevision() < m.State.Configuration.GetRevision() {
			h.watch.Plan(now, m.State.Configuration.Revision)
		}
		h.state = m.State
	}
	if leader := m.Leaders[clusterstate.Group]; leader != "" {
		h.leader = leader
	}
}

func (h *Hand) announce(now eventloop.Micros, out eventloop.Effects) {
	if !h.worker.IsHeartbeatDue(now) || len(h.open) >= openMost || h.state == nil {
		return
	}
	ward := clusterstate.FindWorkerLease(h.state, h.worker.Name)
	if ward == nil || ward.Scheduler == "" {
		if now-h.metAt > eventloop.Second && h.leader != "" {
			h.metAt = now
			out.Send(h.leader, &schema.Request{Kind: "clusterstate", Group: clusterstate.Group, Body: replica.EncodeClusterStateCommand(
				&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_RegisterWorker{RegisterWorker: &schema.RegisterWorker{Worker: h.worker.Name}}})})
		}
		return
	}
	a := h.worker.NewHeartbeat(now)
	h.next++
	h.open[h.next] = openPoll{a.Seq, now}
	out.Send(ward.Scheduler, &schema.WorkerPollRequest{Id: h.next, Worker: h.worker.Name, Heartbeat: a})
}

// Routes names the tables of a side that a message is for.
func Routes(body any) []string {
	switch body.(type) {
	case *schema.WorkerPollResponse:
		return []string{Name}
	case *schema.ClusterStateResponse:
		return []string{Name, "controller"}
	}
	return []string{process.ComponentFor(schema.Role_ROLE_CONTROLLER, body)}
}

// Onlooker stands where the controller's table would on a side that is none: it
// asks one store for the cluster state, and does nothing with it.
type Onlooker struct {
	roll    *membership.View
	version uint64
	store   string
}

// OnlookerPace is how often it asks.
const OnlookerPace = 250 * eventloop.Millisecond

const deadSpan = 1500 * eventloop.Millisecond

// Step implements eventloop.Table.
func (o *Onlooker) Step(now eventloop.Micros, mail eventloop.Message, out eventloop.Effects) {
	switch body := mail.Body.(type) {
	case *membership.View:
		o.roll = body
	case *schema.ClusterStateResponse:
		if body.State != nil {
			o.version = max(o.version, body.State.Version)
		}
	case eventloop.Tick:
		if o.roll == nil {
			return
		}
		if o.store == "" || !o.roll.IsAlive(o.store, now, deadSpan) {
			o.store = o.pick(now)
		}
		if o.store != "" {
			out.Send(o.store, &schema.ClusterStateRequest{Version: o.version})
		}
	}
}

// pick takes one of the live stores by its own id, so that sides spread over
// them.
func (o *Onlooker) pick(now eventloop.Micros) string {
	var stores []string
	for id, known := range o.roll.Members {
		if known.Member.HasStorage && o.roll.IsAlive(id, now, deadSpan) {
			stores = append(stores, id)
		}
	}
	if len(stores) == 0 {
		return ""
	}
	slices.Sort(stores)
	hash := fnv.New32a()
	hash.Write([]byte(o.roll.Self.Id))
	return stores[int(hash.Sum32()%uint32(len(stores)))]
}
