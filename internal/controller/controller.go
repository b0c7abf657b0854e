// Package controller implements the cluster's control plane. It reconciles the cluster state with
// the configuration and with the processes that are alive: it places and removes queues, chooses
// the storage node that leads the queues and holds the worker leases, replaces lost voters, and
// ends the sessions of gateway nodes that are gone.
//
// Each agent node runs a Controller, but only the holder of the controller lease acts. The
// cluster state grants the lease. It checks the lease's fencing token on commands that place
// queues or assign workers; the leaders of Raft groups check the token on membership changes and
// on requests to end sessions.
//
// A Controller owns no durable state: it works on copies of the cluster state that it polls
// from the storage nodes. While no controller acts, the cluster continues to operate as the
// cluster state last specified.
package controller

import (
	"maps"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
	"sparnotch/internal/timing"
)

// TickInterval is the time between two ticks of a Controller.
const TickInterval = 50 * eventloop.Millisecond

// actionInterval is the minimum time before an action is repeated, because its effect may not be
// visible earlier.
const actionInterval = 200 * eventloop.Millisecond

// Controller is the event-loop component that runs the control plane on an agent node. It isn't
// safe for concurrent use.
type Controller struct {
	id          string
	subscribers []string // names of the components that receive the cluster state
	timeouts    timing.Timeouts
	tolerance   membership.FaultTolerance

	votersPerGroup int

	// Knowledge of the cluster.
	state         *schema.ClusterState
	values        *clusterstate.Values
	view          *membership.View             // nil until the first view arrives
	reports       map[string]storageNodeReport // the last report of each storage node, by id
	missingSince  map[string]eventloop.Micros  // when each node was first missed, by storage node id or "gateway/" + gateway node id
	lastLocations map[string]lastLocation      // where each storage node was last heard of, by id, even if it left the view
	firstReportAt eventloop.Micros             // when the first report arrived; 0 if none has
	polledAt      eventloop.Micros             // when the cluster state was last polled
	pollTurn      int                          // selects the storage node to poll next

	// The controller lease.
	leaseExpiryUs       int64                       // the latest expiry seen, in the cluster state's time; 0 if none was seen
	leaseExpirySeenAt   eventloop.Micros            // when leaseExpiryUs was first seen, by this node's clock
	pendingClaims       map[uint64]eventloop.Micros // when each unanswered claim was sent, by request id
	claimedAt           eventloop.Micros            // when the last claim was sent
	newestAnsweredClaim uint64                      // the highest request id of a claim with a reply
	fencingToken        uint64                      // 0 if the lease isn't held
	leaseValidUntil     eventloop.Micros            // by this node's clock

	// Previous actions.
	lastRequestID   uint64
	lastActions     map[string]eventloop.Micros // when each action was last taken
	lastQueueAction string                      // placementKey of the last command sent by reconcileQueues
	leadersMovedAt  eventloop.Micros            // when queue leaders or worker leases were last moved

	unconfiguredSince    map[string]eventloop.Micros // when each group's queue was first missing from the configuration
	unconfiguredRevision uint64                      // configuration revision of the last update of unconfiguredSince
}

// lastLocation records where and when a storage node was last heard of.
type lastLocation struct {
	address, zone string
	lastHeard     eventloop.Micros
}

// New returns the controller of an agent node with the given id. machineFailures is the number of
// storage nodes that may be lost at once; 0 means 1. The subscribers are the components of this
// process that receive the cluster state.
func New(id string, machineFailures uint32, subscribers ...string) *Controller {
	return &Controller{
		id:             id,
		subscribers:    subscribers,
		timeouts:       timing.FromBounds(nil),
		votersPerGroup: membership.Config{MachineFailures: machineFailures}.VoterCount(),
		state:          &schema.ClusterState{},
		values:         clusterstate.ParseValues(nil),
		reports:        map[string]storageNodeReport{},
		missingSince:   map[string]eventloop.Micros{},
		lastLocations:  map[string]lastLocation{},
		pendingClaims:  map[uint64]eventloop.Micros{},
		lastActions:    map[string]eventloop.Micros{},

		unconfiguredSince: map[string]eventloop.Micros{},
	}
}

// WithBounds derives the timeouts from the bounds of the deployment. A bound that is zero has its
// default value; nil stands for bounds that are all zero.
func (c *Controller) WithBounds(bounds *schema.Bounds) *Controller {
	c.timeouts = timing.FromBounds(bounds)
	return c
}

// WithTolerance sets the failures that each group must survive, and the number of voters that this
// requires.
func (c *Controller) WithTolerance(tolerance membership.FaultTolerance) *Controller {
	c.tolerance, c.votersPerGroup = tolerance, tolerance.VoterCount()
	return c
}

// StateViewRequest requests a StateView. Request is the id of the request to respond to.
type StateViewRequest struct{ Request uint64 }

// StateView shows operators an agent node's knowledge of the cluster.
type StateView struct {
	Node         string           `json:"node"`
	Version      uint64           `json:"cluster_state_version"`
	Controller   string           `json:"controller"`
	FencingToken uint64           `json:"controller_lease"`
	IsController bool             `json:"controller_here"`
	Members      []*schema.Member `json:"members"`
}

// Step implements eventloop.Component.
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
		effects.Respond(body.Request, c.stateView(now))
	}
}

func (c *Controller) stateView(now eventloop.Micros) *StateView {
	lease := c.state.ControllerLease
	view := &StateView{
		Node: c.id, Version: c.state.Version,
		Controller: lease.GetHolder(), FencingToken: lease.GetFencingToken(), IsController: c.holdsLease(now),
	}
	for _, id := range c.memberIDs() {
		view.Members = append(view.Members, c.view.Members[id].Member)
	}
	return view
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

func (c *Controller) memberIDs() []string {
	if c.view == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(c.view.Members))
}

// liveStorageNodes returns the sorted ids of the live storage nodes.
func (c *Controller) liveStorageNodes(now eventloop.Micros) []string {
	var ids []string
	for _, id := range c.memberIDs() {
		if c.view.Members[id].Member.HasStorage && c.isAlive(now, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (c *Controller) isAlive(now eventloop.Micros, id string) bool {
	return c.view.IsAlive(id, now, c.timeouts.SuspectTimeout)
}

// allowAction reports whether an action may be taken now. It allows an action at most once per
// interval, and records the time when it allows one.
func (c *Controller) allowAction(now eventloop.Micros, action string, interval eventloop.Micros) bool {
	if last, found := c.lastActions[action]; found && now-last < interval {
		return false
	}
	c.lastActions[action] = now
	return true
}
