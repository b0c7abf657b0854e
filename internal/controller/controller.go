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

// TickInterval is the tick of the table.
const TickInterval = 50 * eventloop.Millisecond

const (
	pollInterval        = 250 * eventloop.Millisecond
	leaseRenewInterval  = 800 * eventloop.Millisecond
	leaseRetryInterval  = 500 * eventloop.Millisecond
	leaseSafetyMargin   = 300 * eventloop.Millisecond // a lease is let go this long before it ends
	deposedTimeout      = 600 * eventloop.Millisecond // one that doesn't answer for so long, while others lead what it led, is passed over
	actionInterval      = 200 * eventloop.Millisecond // between two acts on one thing
	maxLatencyUs        = int64(300 * eventloop.Millisecond)
	latencyMoveCooldown = 15 * eventloop.Second // between two moves for latency alone
)

// storageNodeReport is the last word of one store.
type storageNodeReport struct {
	receivedAt eventloop.Micros
	update     *schema.ClusterStateResponse
}

// lastLocation is where a store lived, in which zone, and when it was last heard there.
type lastLocation struct {
	address, zone string
	lastHeard     eventloop.Micros
}

// Controller is the controller's table; every side machine has one, one of them acts.
type Controller struct {
	id                  string
	state               *schema.ClusterState
	values              *clusterstate.Values
	view                *membership.View
	reports             map[string]storageNodeReport
	leaseExpiryUs       int64 // the lease's end as last seen, in the cluster state's time
	leaseExpirySeenAt   eventloop.Micros
	polledAt            eventloop.Micros
	claimedAt           eventloop.Micros
	pendingClaims       map[uint64]eventloop.Micros
	newestAnsweredClaim uint64 // newest claim that was answered
	fencingToken        uint64
	leaseValidUntil     eventloop.Micros // my lease ends, by my clock
	lastActions         map[string]eventloop.Micros
	lastQueueAction     string // the queues of the last act on queues
	leadersMovedAt      eventloop.Micros
	missingSince        map[string]eventloop.Micros
	lastLocations       map[string]lastLocation // where each store lived, as last heard
	lastRequestID       uint64
	pollTurn            int // whose turn it is to be asked
	votersPerGroup      int // how many each group is to have
	timeouts            timing.Timeouts
	tolerance           membership.FaultTolerance // what may be lost at once
	subscribers         []string
}

// New makes the table of a side machine. Losses are the stores that may be lost
// at once (0: one). Readers are the tables of this process that want the cluster state.
func New(id string, machineFailures uint32, subscribers ...string) *Controller {
	return &Controller{
		id: id, timeouts: timing.FromBounds(nil), votersPerGroup: membership.Config{MachineFailures: machineFailures}.VoterCount(), subscribers: subscribers, state: &schema.ClusterState{}, values: clusterstate.ParseValues(nil), reports: map[string]storageNodeReport{}, pendingClaims: map[uint64]eventloop.Micros{},
		lastActions: map[string]eventloop.Micros{}, missingSince: map[string]eventloop.Micros{}, lastLocations: map[string]lastLocation{},
	}
}

// WithBounds sets what the deployment promises and asks; nil or zero: the defaults.
func (c *Controller) WithBounds(bounds *schema.Bounds) *Controller {
	c.timeouts = timing.FromBounds(bounds)
	return c
}

// WithTolerance sets what may be lost at once: voters are spread so that a majority is left.
func (c *Controller) WithTolerance(tolerance membership.FaultTolerance) *Controller {
	c.tolerance, c.votersPerGroup = tolerance, tolerance.Voters()
	return c
}

// StateViewRequest asks what this side machine believes.
type StateViewRequest struct{ Request uint64 }

// StateView is what a side machine believes.
type StateView struct {
	Node         string           `json:"node"`
	Version      uint64           `json:"cluster_state_version"`
	Controller   string           `json:"controller"`
	FencingToken uint64           `json:"controller_lease"`
	IsController bool             `json:"controller_here"`
	Members      []*schema.Member `json:"members"`
}

// Step implements eventloop.Table.
func (c *Controller) Step(now eventloop.Micros, message eventloop.Message, effects eventloop.Effects) {
	switch body := message.Body.(type) {
	case eventloop.Tick:
		c.handleTick(now, effects)
	case *membership.View:
		c.view = body
	case *schema.ClusterStateResponse:
		c.handleClusterState(now, message.From, body, effects)
	case *schema.Response:
		c.handleClaimReply(now, body)
	case StateViewRequest:
		view := &StateView{Node: c.id, Version: c.state.Version, Controller: c.state.ControllerLease.GetHolder(), FencingToken: c.state.ControllerLease.GetFencingToken(), IsController: c.holdsLease(now)}
		for _, id := range c.memberIDs() {
			view.Members = append(view.Members, c.view.Members[id].Member)
		}
		effects.Respond(body.Request, view)
	}
}

func (c *Controller) handleClusterState(now eventloop.Micros, from string, update *schema.ClusterStateResponse, effects eventloop.Effects) {
	state, err := clusterstate.DecodeUpdate(update, c.state.Configuration)
	if err != nil {
		return // it is asked for again
	}
	changed := state != nil && state.Version > c.state.Version
	if state != nil && state.Version >= c.state.Version {
		c.state, c.values = state, c.values.Refresh(state.Configuration)
		effects.Notify("membership", membership.ClusterStateObserved{Version: state.Version})
	}
	if update.ControllerLeaseExpiresUs > c.leaseExpiryUs {
		c.leaseExpiryUs, c.leaseExpirySeenAt = update.ControllerLeaseExpiresUs, now
	}
	// An answer from before a change must not undo what we know.
	if update.Version >= c.state.Version {
		c.reports[from] = storageNodeReport{receivedAt: now, update: update}
		// The whole each time: a reader that missed one isn't told of it again.
		for _, subscriber := range c.subscribers {
			effects.Notify(subscriber, &schema.ClusterStateResponse{State: c.state, Version: c.state.Version, Leaders: update.Leaders})
		}
	}
	// A step of a repair waits for the word that the one before is done.
	if len(update.QueueStatuses) > 0 && c.view != nil && c.holdsLease(now) {
		c.reconcileMembers(now, effects)
	}
	// Queues that a table has just added are waited for.
	if changed && c.view != nil && c.holdsLease(now) {
		c.reconcileQueues(now, effects)
	}
}

func (c *Controller) memberIDs() []string {
	var ids []string
	if c.view != nil {
		for id := range c.view.Members {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

func (c *Controller) liveStorageNodes(now eventloop.Micros) []string {
	var ids []string
	for _, id := range c.memberIDs() {
		if known := c.view.Members[id]; known.Member.HasStorage && c.view.IsAlive(id, now, c.timeouts.SuspectTimeout) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (c *Controller) handleTick(now eventloop.Micros, effects eventloop.Effects) {
	if c.view == nil {
		return
	}
	if now-c.polledAt >= pollInterval {
		c.polledAt = now
		c.pollClusterState(now, effects)
		c.observeStorageNodes(now)
	}
	c.acquireOrRenewLease(now, effects)
	if !c.holdsLease(now) {
		return
	}
	c.reconcileQueues(now, effects)
	c.reconcileLeaders(now, effects)
	c.reconcileMembers(now, effects)
	c.reconcileSessions(now, effects)
}
