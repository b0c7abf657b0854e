// Package gateway implements the component through which clients, workers and operators
// reach the cluster.
//
// Gateway numbers the submissions of each client session and resends those that aren't
// confirmed, so that each submission takes effect exactly once. It forwards other
// requests to the leader of a group (a queue or the cluster state) and retries them
// until their deadline. It forwards worker heartbeats to the scheduler that holds the
// worker's lease.
//
// A Gateway stores nothing on disk. It polls the cluster state from storage nodes and
// serves requests from its copy while its read lease on the copy is valid (stateLease).
// Routes, rejections and retry times are all derived from this copy.
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

// TickInterval is the interval at which Gateway expects an eventloop.Tick.
const TickInterval = 50 * eventloop.Millisecond

const (
	// Resending and redirecting.
	resendInterval      = 700 * eventloop.Millisecond // after which an unconfirmed submission is resent
	minRedirectInterval = 40 * eventloop.Millisecond  // between two redirects of one queue or one request
	requestRetryDelay   = 400 * eventloop.Millisecond // after which a request without a response is retried
	maxResendBatch      = 64                          // submissions resent per queue and tick

	// Polling the cluster state.
	maxStateQueryInterval = 250 * eventloop.Millisecond
	storageNodeTimeout    = 1200 * eventloop.Millisecond // without gossip from a storage node, until other nodes are preferred
	storageNodesPerQuery  = 2                            // nodes polled at the same time while the read lease needs renewal
	fastPollPeriod        = 2 * eventloop.Second         // polling is faster for this long after a queue loses its leader
	leaderlessGracePeriod = 300 * eventloop.Millisecond  // without a known leader, until submissions to a queue are rejected

	// Sessions.
	sessionIdleTimeout      = 30 * eventloop.Second
	endedSessionInterval    = 10 * eventloop.Second // between two reports of ended sessions to a queue
	maxUnconfirmedAge       = 60 * eventloop.Second // a session with an older unconfirmed submission is abandoned
	maxEndedSessions        = 64                    // ended sessions of a queue that are reported without waiting for endedSessionInterval
	maxTickGap              = 20 * eventloop.Second // a longer gap between two ticks restarts all sessions
	incarnationRestartShift = 32                    // the upper 32 bits of the incarnation count the restarts of all sessions

	// Limits and timeouts of pending work.
	maxPending              = 4096                        // limit of pending submissions, and likewise of other requests and of heartbeats
	listedGatewayTimeout    = 5 * eventloop.Second        // ListGateways omits gateways that sent no gossip for this long
	bootstrapRequestTimeout = 900 * eventloop.Millisecond // less than the second that clients wait
	registrationInterval    = eventloop.Second            // between two registrations of one worker
	registrationMemory      = 10 * eventloop.Second       // after which the registration of a worker is forgotten
)

// Gateway is an eventloop.Component that serves clients, workers and operators. It acts
// only in calls of Step, and isn't safe for concurrent use.
type Gateway struct {
	id          string
	incarnation uint64
	rng         *rand.Rand
	lastTick    eventloop.Micros
	isDraining  bool

	// The copy of the cluster state.
	state             *schema.ClusterState
	values            *clusterstate.Values // parsed from the configuration in state
	lease             stateLease           // read lease on state
	hasLocalReplica   bool                 // whether this node stores a replica of the cluster state
	stateQueriedAt    eventloop.Micros     // when the cluster state was last polled
	storageNodeCursor int                  // round-robin position among the storage nodes
	wasInContact      bool                 // whether the lease or its grace period still ran at the last tick

	// Nodes and queues.
	membership         *membership.View               // nil until the first view arrives
	leaders            map[string]string              // node ID by group
	leaderlessSince    map[string]eventloop.Micros    // by queue
	queueStatus        map[string]*schema.QueueStatus // by queue
	redirectedAt       map[string]eventloop.Micros    // by queue
	redirectDue        map[string]bool                // queues whose submissions are redirected at the next tick
	leadershipDeniedAt map[queueNode]eventloop.Micros // when a node last reported that it doesn't lead a queue
	throughputs        map[string]*throughput         // by gatewayThroughput, queue or endedJobsKey

	// Submissions.
	sessions             map[queueClient]*session
	sessionsByID         map[string]*session          // by sessionKey
	lastSession          uint64                       // number of the newest session; makes session names unique within an incarnation
	endedSessions        map[string][]*schema.Session // by queue; not reported to it yet
	submissionsByRequest map[uint64]*submission       // by request ID; only submissions whose client still waits
	unconfirmedCount     int                          // submissions to all queues
	unconfirmedByQueue   map[string]int

	// Requests of other kinds.
	requests           map[uint64]*request // by request ID
	confirmation       confirmation
	refusedKeys        refusedKeys
	pendingHeartbeats  map[uint64]ForwardHeartbeat // by request ID
	registrationSentAt map[string]eventloop.Micros // by worker
}

// queueNode identifies a queue and a node that may lead it.
type queueNode struct{ queue, node string }

// New returns the gateway of the node with the given ID. The incarnation must be higher
// than that of every former process with the same ID. The gateway takes ownership of rng.
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

// WithBounds sets how soon after its commit a new configuration must be in force. If
// bounds don't state this, the default (defaultApplyBound) stays. It returns g.
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
		// During a gap this long the queues may have declared this gateway dead, and
		// its clients have stopped waiting.
		g.restartSessions(now, effects)
	}
	g.lastTick = now
	g.refreshClusterState(now, effects)
	g.abandonStaleSessions(now, effects)
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

// checkContact fails all pending calls once the read lease and its grace period have
// ended.
func (g *Gateway) checkContact(now eventloop.Micros, effects eventloop.Effects) {
	isInContact := !g.lease.isGracePeriodOver(now)
	if g.wasInContact && !isInContact {
		g.failPending(now, effects)
	}
	g.wasInContact = isInContact
}

// failPending answers all waiting clients because this gateway can no longer reach a
// leader. It answers submissions and commands with an unknown outcome: submissions are
// already numbered and continue to be resent, and commands may have been forwarded.
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

// dropExpired removes heartbeats past their deadline, and denials of leadership and
// worker registrations that are too old to matter. It sends no responses: the process
// itself answers clients whose deadline has passed.
func (g *Gateway) dropExpired(now eventloop.Micros) {
	maps.DeleteFunc(g.pendingHeartbeats, func(_ uint64, heartbeat ForwardHeartbeat) bool {
		return now > heartbeat.Deadline
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

// listGateways responds with the gateways that were heard from recently, so that a client
// that knows one gateway finds the others.
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

// checkReadiness tells the client whether this gateway accepts requests and can forward them.
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
