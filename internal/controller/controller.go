// Package controller owns control: it compares what is wanted with what is, and acts
// once at a time, under a controller's lease that the cluster state gives and checks.
// It holds nothing durable; with every side machine gone the rest goes on as
// the cluster state last said.
package controller

import (
	"sort"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
	"sparnotch/internal/timing"
)

// Pace is the tick of the table.
const Pace = 50 * eventloop.Millisecond

const (
	askSpan     = 250 * eventloop.Millisecond
	renewSpan   = 800 * eventloop.Millisecond
	claimSpan   = 500 * eventloop.Millisecond
	guardSpan   = 300 * eventloop.Millisecond // a lease is let go this long before it ends
	missSpan    = 600 * eventloop.Millisecond // one that doesn't answer for so long, while others lead what it led, is passed over
	actSpan     = 200 * eventloop.Millisecond // between two acts on one thing
	latencyMost = int64(300 * eventloop.Millisecond)
	latencyRest = 15 * eventloop.Second // between two moves for latency alone
)

// told is the last word of one store.
type told struct {
	at   eventloop.Micros
	tell *schema.ClusterStateResponse
}

// home is where a store lived, in which zone, and when it was last heard there.
type home struct {
	inner, cell string
	heard       eventloop.Micros
}

// Table is the controller's table; every side machine has one, one of them acts.
type Table struct {
	id        string
	state     *schema.ClusterState
	values    *clusterstate.Values
	roll      *membership.View
	told      map[string]told
	until     int64 // the lease's end as last seen, in the cluster state's time
	untilAt   eventloop.Micros
	askedAt   eventloop.Micros
	claimAt   eventloop.Micros
	claims    map[uint64]eventloop.Micros
	answered  uint64 // newest claim that was answered
	lease     uint64
	mine      eventloop.Micros // my lease ends, by my clock
	acted     map[string]eventloop.Micros
	queuesIn  string // the queues of the last act on queues
	movedAt   eventloop.Micros
	gone      map[string]eventloop.Micros
	homes     map[string]home // where each store lived, as last heard
	number    uint64
	turn      int // whose turn it is to be asked
	voters    int // how many each group is to have
	spans     timing.Timeouts
	tolerance membership.FaultTolerance // what may be lost at once
	readers   []string
}

// New makes the table of a side machine. Losses are the stores that may be lost
// at once (0: one). Readers are the tables of this process that want the cluster state.
func New(id string, losses uint32, readers ...string) *Table {
	return &Table{
		id: id, spans: timing.FromBounds(nil), voters: membership.Config{MachineFailures: losses}.VoterCount(), readers: readers, state: &schema.ClusterState{}, values: clusterstate.ParseValues(nil), told: map[string]told{}, claims: map[uint64]eventloop.Micros{},
		acted: map[string]eventloop.Micros{}, gone: map[string]eventloop.Micros{}, homes: map[string]home{},
	}
}

// Bind sets what the deployment promises and asks; nil or zero: the defaults.
func (t *Table) Bind(bounds *schema.Bounds) *Table {
	t.spans = timing.FromBounds(bounds)
	return t
}

// Tolerate sets what may be lost at once: voters are spread so that a majority is left.
func (t *Table) Tolerate(tolerance membership.FaultTolerance) *Table {
	t.tolerance, t.voters = tolerance, tolerance.Voters()
	return t
}

// Belief asks what this side machine believes.
type Belief struct{ Request uint64 }

// SideBelief is what a side machine believes.
type SideBelief struct {
	Node       string           `json:"node"`
	Version    uint64           `json:"cluster_state_version"`
	Controller string           `json:"controller"`
	Lease      uint64           `json:"controller_lease"`
	IsMine     bool             `json:"controller_here"`
	Members    []*schema.Member `json:"members"`
}

// Step implements eventloop.Table.
func (t *Table) Step(now eventloop.Micros, mail eventloop.Message, out eventloop.Effects) {
	switch body := mail.Body.(type) {
	case eventloop.Tick:
		t.tick(now, out)
	case *membership.View:
		t.roll = body
	case *schema.ClusterStateResponse:
		t.hear(now, mail.From, body, out)
	case *schema.Response:
		t.replied(now, body)
	case Belief:
		b := &SideBelief{Node: t.id, Version: t.state.Version, Controller: t.state.ControllerLease.GetHolder(), Lease: t.state.ControllerLease.GetFencingToken(), IsMine: t.isController(now)}
		for _, id := range t.memberIDs() {
			b.Members = append(b.Members, t.roll.Members[id].Member)
		}
		out.Respond(body.Request, b)
	}
}

func (t *Table) hear(now eventloop.Micros, from string, m *schema.ClusterStateResponse, out eventloop.Effects) {
	state, err := clusterstate.DecodeUpdate(m, t.state.Configuration)
	if err != nil {
		return // it is asked for again
	}
	isNew := state != nil && state.Version > t.state.Version
	if state != nil && state.Version >= t.state.Version {
		t.state, t.values = state, t.values.Refresh(state.Configuration)
		out.Notify("membership", membership.ClusterStateObserved{Version: state.Version})
	}
	if m.ControllerLeaseExpiresUs > t.until {
		t.until, t.untilAt = m.ControllerLeaseExpiresUs, now
	}
	// An answer from before a change must not undo what we know.
	if m.Version >= t.state.Version {
		t.told[from] = told{at: now, tell: m}
		// The whole each time: a reader that missed one isn't told of it again.
		for _, reader := range t.readers {
			out.Notify(reader, &schema.ClusterStateResponse{State: t.state, Version: t.state.Version, Leaders: m.Leaders})
		}
	}
	// A step of a repair waits for the word that the one before is done.
	if len(m.QueueStatuses) > 0 && t.roll != nil && t.isController(now) {
		t.members(now, out)
	}
	// Queues that a table has just added are waited for.
	if isNew && t.roll != nil && t.isController(now) {
		t.queues(now, out)
	}
}

func (t *Table) memberIDs() []string {
	var ids []string
	if t.roll != nil {
		for id := range t.roll.Members {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

func (t *Table) stores(now eventloop.Micros) []string {
	var ids []string
	for _, id := range t.memberIDs() {
		if known := t.roll.Members[id]; known.Member.HasStorage && t.roll.IsAlive(id, now, t.spans.SuspectTimeout) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (t *Table) tick(now eventloop.Micros, out eventloop.Effects) {
	if t.roll == nil {
		return
	}
	if now-t.askedAt >= askSpan {
		t.askedAt = now
		t.ask(now, out)
		t.watch(now)
	}
	t.seek(now, out)
	if !t.isController(now) {
		return
	}
	t.queues(now, out)
	t.leaders(now, out)
	t.members(now, out)
	t.sessions(now, out)
}
