// Package gateway is the entry point of a node for clients, workers and operators.
//
// Gateway is the component that serves them. It numbers the submissions of each
// client session and resends those that aren't confirmed, so that each takes effect
// exactly once; it forwards other requests to the leader of their group and retries
// them until their deadline; and it forwards worker heartbeats to the scheduler that
// holds the worker's lease.
//
// A Gateway owns no durable state. It answers from a copy of the cluster state that it
// polls from storage nodes, for as long as its read lease on that copy lasts
// (stateLease); routing, rejection and retry hints all derive from this copy.
package gateway

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

// TickInterval is how often the component expects an eventloop.Tick.
const TickInterval = 50 * eventloop.Millisecond

const (
	// Resending and redirecting.
	resendInterval      = 700 * eventloop.Millisecond // of an unconfirmed submission
	minRedirectInterval = 40 * eventloop.Millisecond  // between two redirects of a queue or request
	requestRetryDelay   = 400 * eventloop.Millisecond // of a request without a response
	maxResendBatch      = 64                          // submissions resent per queue and tick

	// Polling the cluster state.
	maxStateQueryInterval = 250 * eventloop.Millisecond
	storageNodeTimeout    = 1200 * eventloop.Millisecond // since the last gossip, until others are preferred
	storageNodesPerQuery  = 2                            // polled at once while the read lease needs renewal
	fastPollPeriod        = 2 * eventloop.Second         // of faster polling after a queue lost its leader
	leaderlessGracePeriod = 300 * eventloop.Millisecond  // until submissions to a leaderless queue are rejected

	// Sessions.
	sessionIdleTimeout      = 30 * eventloop.Second
	endedSessionInterval    = 10 * eventloop.Second // between two reports of ended sessions to a queue
	maxEndedSessions        = 64                    // per queue; more are reported at once
	maxTickGap              = 20 * eventloop.Second // after a longer pause all sessions are restarted
	incarnationRestartShift = 32                    // restarts count in the upper half of the incarnation

	// Limits of pending work, and for how long it is remembered.
	maxPending              = 4096 // of submissions, of requests and of announcements
	listedGatewayTimeout    = 5 * eventloop.Second
	bootstrapRequestTimeout = 900 * eventloop.Millisecond // clients wait a second
	registrationInterval    = eventloop.Second            // between two registrations of one worker
	registrationMemory      = 10 * eventloop.Second
)

// Gateway is the component. It is driven by Step alone and isn't safe for concurrent
// use.
type Gateway struct {
	id          string
	incarnation uint64
	rng         *rand.Rand
	lastTick    eventloop.Micros
	isDraining  bool

	// The copy of the cluster state.
	state             *schema.ClusterState
	values            *clusterstate.Values // parsed from the configuration in state
	lease             stateLease           // on state
	hasLocalReplica   bool                 // this node stores a replica of the cluster state
	stateQueriedAt    eventloop.Micros
	storageNodeCursor int  // round-robin position among the storage nodes
	wasInContact      bool // the lease hadn't expired at the last tick

	// What is known of nodes and queues.
	membership         *membership.View // nil until the first one came
	leaders            map[string]string
	leaderlessSince    map[string]eventloop.Micros // by queue
	queueStatus        map[string]*schema.QueueStatus
	redirectedAt       map[string]eventloop.Micros    // by queue
	redirectDue        map[string]bool                // queues to be redirected at the next tick
	leadershipDeniedAt map[queueNode]eventloop.Micros // when a node last rejected submissions as no leader
	throughputs        map[string]*throughput

	// Submissions.
	sessions             map[queueClient]*session
	sessionsByID         map[string]*session // by sessionKey
	lastSession          uint64              // makes the names of sessions unique within the incarnation
	endedSessions        map[string][]*schema.Session
	submissionsByRequest map[uint64]*submission // those whose client still waits
	unconfirmedCount     int
	unconfirmedByQueue   map[string]int

	// Requests of other kinds.
	requests           map[uint64]*request
	confirmation       confirmation
	refusedKeys        refusedKeys
	pendingHeartbeats  map[uint64]ForwardHeartbeat
	registrationSentAt map[string]eventloop.Micros // by worker
}

// queueNode is a queue and a node that may lead it.
type queueNode struct{ queue, node string }

// New makes the gateway of the node with this id. The incarnation must be higher than
// in each former process with the same id. The gateway owns rng.
func New(id string, incarnation uint64, hasLocalReplica bool, rng *rand.Rand) *Gateway {
	return &Gateway{
		id:          id,
		incarnation: incarnation,
		rng:         rng,

		state:           &schema.ClusterState{},
		values:          clusterstate.ParseValues(nil),
		lease:           newStateLease(incarnation),
		hasLocalReplica: hasLocalReplica,

		leaders:            map[string]string{},
		leaderlessSince:    map[string]eventloop.Micros{},
		queueStatus:        map[string]*schema.QueueStatus{},
		redirectedAt:       map[string]eventloop.Micros{},
		redirectDue:        map[string]bool{},
		leadershipDeniedAt: map[queueNode]eventloop.Micros{},
		throughputs:        map[string]*throughput{},

		sessions:             map[queueClient]*session{},
		sessionsByID:         map[string]*session{},
		endedSessions:        map[string][]*schema.Session{},
		submissionsByRequest: map[uint64]*submission{},
		unconfirmedByQueue:   map[string]int{},

		requests:           map[uint64]*request{},
		pendingHeartbeats:  map[uint64]ForwardHeartbeat{},
		registrationSentAt: map[string]eventloop.Micros{},
	}
}

// WithBounds sets the deadline by which a new configuration must be in force; without
// one the default stays. It returns the gateway itself.
func (g *Gateway) WithBounds(bounds *schema.Bounds) *Gateway {
	if apply := eventloop.Micros(bounds.GetConfigApplyUs()); apply > 0 {
		g.lease.maxStaleness = apply
	}
	return g
}

// Step implements eventloop.Component.
func (g *Gateway) Step(now eventloop.Micros, message eventloop.Message, effects eventloop.Effects) {
	switch body := message.Body.(type) {
	case eventloop.Tick:
		g.handleTick(now, effects)
	case SubmitJob:
		g.handleSubmit(now, body, false, effects)
	case LeaderRequest:
		g.handleRequest(now, body, false, effects)
	case ForwardHeartbeat:
		g.handleHeartbeat(now, body, effects)
	case CheckReadiness:
		g.checkReadiness(now, body, effects)
	case ListGateways:
		g.listGateways(now, body, effects)
	case ForgetRequest:
		g.forgetRequest(body.RequestID)
	case StartDraining:
		g.isDraining = true
	case *schema.SubmitResponse:
		g.handleSubmitResponse(now, message.From, body, effects)
	case *schema.Response:
		g.handleResponse(now, body, effects)
	case *schema.WorkerPollResponse:
		g.handlePollResponse(body, effects)
	case *schema.ClusterStateResponse:
		g.handleClusterState(now, body, effects)
	case *membership.View:
		g.handleMembership(now, body)
	}
}

func (g *Gateway) handleTick(now eventloop.Micros, effects eventloop.Effects) {
	if g.lastTick > 0 && now-g.lastTick > maxTickGap {
		// The queues may have declared this gateway dead meanwhile, and its clients
		// have stopped waiting.
		g.restartSessions(now, effects)
	}
	g.lastTick = now
	g.refreshClusterState(now, effects)
	g.sendDueRedirects(now, effects)
	g.resendOverdue(now, effects)
	g.expireConfirmation(now, effects)
	for _, measured := range g.throughputs {
		measured.record(now, measured.done)
	}
	g.checkContact(now, effects)
	g.retryRequests(now, effects)
	g.endIdleSessions(now, effects)
	g.dropExpired(now)
}

// checkContact fails what is pending once the read lease expires.
func (g *Gateway) checkContact(now eventloop.Micros, effects eventloop.Effects) {
	isInContact := !g.lease.isGracePeriodOver(now)
	if g.wasInContact && !isInContact {
		g.failPending(now, effects)
	}
	g.wasInContact = isInContact
}

// failPending answers all clients that wait, as this gateway can't reach a leader any
// more. Submissions are numbered and go on being resent, and commands may have been
// forwarded, so the outcome of these is unknown.
func (g *Gateway) failPending(now eventloop.Micros, effects eventloop.Effects) {
	for _, id := range slices.Sorted(maps.Keys(g.submissionsByRequest)) {
		g.submissionsByRequest[id].requestID = 0
		delete(g.submissionsByRequest, id)
		effects.Respond(id, outcomeUnknown())
	}
	g.failConfirmation(now, effects)
	for _, id := range slices.Sorted(maps.Keys(g.pendingHeartbeats)) {
		g.rejectNotReady(now, id, effects)
		delete(g.pendingHeartbeats, id)
	}
	for _, id := range slices.Sorted(maps.Keys(g.requests)) {
		switch g.requests[id].message.Kind {
		case KindCancel, KindProposeClusterState:
			effects.Respond(id, outcomeUnknown())
		default:
			g.rejectNotReady(now, id, effects)
		}
		delete(g.requests, id)
	}
}

// dropExpired removes announcements past their deadline, and what is remembered for a
// while only. The process answers clients whose deadline has passed by itself.
func (g *Gateway) dropExpired(now eventloop.Micros) {
	maps.DeleteFunc(g.pendingHeartbeats, func(_ uint64, announcement ForwardHeartbeat) bool {
		return now > announcement.Deadline
	})
	maps.DeleteFunc(g.leadershipDeniedAt, func(_ queueNode, at eventloop.Micros) bool {
		return now-at > resendInterval
	})
	maps.DeleteFunc(g.registrationSentAt, func(_ string, at eventloop.Micros) bool {
		return now-at > registrationMemory
	})
}

func (g *Gateway) handleMembership(now eventloop.Micros, view *membership.View) {
	g.membership = view
	for group, id := range g.leaders {
		if status, found := view.Members[id]; found && status.Member.Draining {
			g.clearLeader(now, group)
		}
	}
}

// listGateways answers with the gateways that were alive lately, so that a client that
// knows one of them finds the others.
func (g *Gateway) listGateways(now eventloop.Micros, m ListGateways, effects eventloop.Effects) {
	list := &schema.GatewayList{Gateways: []*schema.GatewayEndpoint{}}
	if g.membership != nil {
		for _, id := range slices.Sorted(maps.Keys(g.membership.Members)) {
			member := g.membership.Members[id].Member
			if member.Role != schema.Role_ROLE_SERVER || !g.membership.IsAlive(id, now, listedGatewayTimeout) {
				continue
			}
			list.Gateways = append(list.Gateways, &schema.GatewayEndpoint{
				Address: member.HttpAddress, Zone: member.Zone, Draining: member.Draining,
			})
		}
	}
	data, err := json.Marshal(list)
	if err != nil {
		g.reject(m.RequestID, http.StatusInternalServerError, codeInternal, err.Error(), 0, effects)
		return
	}
	effects.Respond(m.RequestID, Response{Code: http.StatusOK, Body: data})
}

// checkReadiness answers whether this gateway accepts and can forward requests.
func (g *Gateway) checkReadiness(now eventloop.Micros, m CheckReadiness, effects eventloop.Effects) {
	switch {
	case g.isDraining:
		g.reject(m.RequestID, http.StatusServiceUnavailable, codeDraining, "this node is shutting down", 0, effects)
	case !g.lease.isValid(now):
		g.reject(m.RequestID, http.StatusServiceUnavailable, codeNotReady, "the copy of the cluster state is stale", 1, effects)
	default:
		effects.Respond(m.RequestID, Response{Code: http.StatusOK, Body: []byte(`{"ready":true}`)})
	}
}
