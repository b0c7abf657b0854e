// Package controller is the cluster's control plane: it reconciles the cluster state with the
// configuration and with the processes that are alive. It places and removes queues, chooses
// the storage node that leads the queues and holds the worker leases, replaces lost voters,
// and ends the sessions of gateway nodes that are gone.
//
// Each agent node runs a Controller, but only the holder of the controller lease acts. The
// lease is granted by the cluster state, which checks its fencing token on the commands that
// place queues and assign workers; leaders check it on membership changes and on requests to
// end sessions.
// A Controller owns no durable state: it works on copies of the cluster state that it polls
// from the storage nodes. Without any controller the cluster goes on as the cluster state
// last said.
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

// TickInterval is the period of the component's ticks.
const TickInterval = 50 * eventloop.Millisecond

// actionInterval is how long an action isn't repeated: its effect may not be visible yet.
const actionInterval = 200 * eventloop.Millisecond

// Controller is the component of one agent node. It isn't safe for concurrent use.
type Controller struct {
	id          string
	subscribers []string // components that get the cluster state
	timeouts    timing.Timeouts
	tolerance   membership.FaultTolerance

	votersPerGroup int

	// What is known of the cluster.
	state         *schema.ClusterState
	values        *clusterstate.Values
	view          *membership.View // nil until the first one
	reports       map[string]storageNodeReport
	missingSince  map[string]eventloop.Micros // when a storage node, or "gateway/" and a gateway node, was first missed
	lastLocations map[string]lastLocation     // of the storage nodes, also of those that left the view
	firstReportAt eventloop.Micros            // 0: none has come
	polledAt      eventloop.Micros
	pollTurn      int // selects the storage node to poll next

	// The controller lease.
	leaseExpiryUs       int64                       // the latest expiry seen, in the cluster state's time; 0: none
	leaseExpirySeenAt   eventloop.Micros            // when it was first seen
	pendingClaims       map[uint64]eventloop.Micros // when each unanswered claim was sent, by request id
	claimedAt           eventloop.Micros            // when the last claim was sent
	newestAnsweredClaim uint64
	fencingToken        uint64           // 0: the lease isn't held
	leaseValidUntil     eventloop.Micros // by this node's clock

	// What was done last.
	lastRequestID   uint64
	lastActions     map[string]eventloop.Micros // when each action was taken
	lastQueueAction string                      // the content of the last placement of queues
	leadersMovedAt  eventloop.Micros

	unconfiguredSince    map[string]eventloop.Micros // when a queue's group was first seen without its queue being configured
	unconfiguredRevision uint64                      // of the configuration that this was seen in last
}

// lastLocation is where a storage node was last heard from.
type lastLocation struct {
	address, zone string
	lastHeard     eventloop.Micros
}

// New returns the controller of an agent node. The machine failures are the storage nodes that
// may be lost at once; 0: one. The subscribers are the components of this process that get
// the cluster state.
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

// WithBounds sets the timeouts by the bounds of the deployment; nil or zero: the defaults.
func (c *Controller) WithBounds(bounds *schema.Bounds) *Controller {
	c.timeouts = timing.FromBounds(bounds)
	return c
}

// WithTolerance sets the failures that each group must survive.
func (c *Controller) WithTolerance(tolerance membership.FaultTolerance) *Controller {
	c.tolerance, c.votersPerGroup = tolerance, tolerance.VoterCount()
	return c
}

// StateViewRequest asks for a StateView, which is the response to the request of that number.
type StateViewRequest struct{ Request uint64 }

// StateView is what an agent node knows of the cluster, for operators.
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

// liveStorageNodes returns the ids of the live storage nodes, sorted.
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

// allowAction reports whether an action may be taken, at most once in an interval, and notes
// that it is.
func (c *Controller) allowAction(now eventloop.Micros, action string, interval eventloop.Micros) bool {
	if last, found := c.lastActions[action]; found && now-last < interval {
		return false
	}
	c.lastActions[action] = now
	return true
}
