// Package gateway owns what a front does for callers, workers and operators:
// it numbers each client session's submissions, resends what isn't confirmed,
// and carries other requests to whoever leads.
package gateway

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

// TickInterval is the tick of the table.
const TickInterval = 50 * eventloop.Millisecond

const (
	resendInterval          = 700 * eventloop.Millisecond  // an unconfirmed submission is sent again after this
	minRedirectInterval     = 40 * eventloop.Millisecond   // between two redirects of one thing
	requestRetryDelay       = 400 * eventloop.Millisecond  // another request is sent again after this
	storageNodeTimeout      = 1200 * eventloop.Millisecond // a store unheard for longer is asked only for want of others
	maxStateQueryInterval   = 250 * eventloop.Millisecond  // between looks at the cluster state, at most
	storageNodesPerQuery    = 2                            // stores that a front without word asks at once
	leaderLossPeriod        = 2 * eventloop.Second         // after a queue lost its leader the cluster state is looked at more often
	sessionIdleTimeout      = 30 * eventloop.Second        // a client session that rests this long is ended
	maxTickGap              = 20 * eventloop.Second        // after a longer pause this front starts afresh
	listedGatewayTimeout    = 5 * eventloop.Second         // fronts that weren't heard of for longer aren't listed
	bootstrapRequestTimeout = 900 * eventloop.Millisecond  // a process that never had word carries an operator's call so long; who calls waits a second
	maxPending              = 4096                         // requests of all kinds at once
	minRateWindow           = eventloop.Second             // over which what a queue gets done is counted
	maxRetryAfterSeconds    = 30                           // seconds
	maxResendBatch          = 64                           // submissions resent a queue and tick
	maxEndedSessions        = 64
	leaderlessGracePeriod   = 300 * eventloop.Millisecond // a queue without a leader for so long takes no new hand-ins here
)

// Gateway is the gateway's table.
type Gateway struct {
	id                   string
	incarnation          uint64
	lastSession          uint64 // of sessions made here, so that none is ever taken up again
	rng                  *rand.Rand
	state                *schema.ClusterState
	values               *clusterstate.Values
	lease                stateLease
	leaders              map[string]string
	leaderlessSince      map[string]eventloop.Micros // queues that nobody is known to lead, and since when
	queueStatus          map[string]*schema.QueueStatus
	membership           *membership.View
	sessions             map[queueClient]*session
	sessionsByID         map[string]*session
	requests             map[uint64]*request
	announcements        map[uint64]ForwardAnnouncement
	registrationSentAt   map[string]eventloop.Micros
	endedSessions        map[string][]*schema.Session
	confirmation         confirmation // of queues that our copy of the plan lacks
	unconfirmedCount     int
	unconfirmedByQueue   map[string]int         // unconfirmed by queue
	submissionsByRequest map[uint64]*submission // by request
	stateQueriedAt       eventloop.Micros
	redirectedAt         map[string]eventloop.Micros    // by queue
	redirectDue          map[string]bool                // queues whose redirect waits for the next tick
	leadershipDeniedAt   map[queueNode]eventloop.Micros // when a store last said that it doesn't lead a queue
	lastTick             eventloop.Micros
	throughputs          map[string]*throughput
	wasInContact         bool // requests in hand could be carried at the last tick
	nextStorageNode      int  // of stores that are asked without word
	isDraining           bool
	hasLocalReplica      bool // the cluster state is in this process
}

// New makes the table of the front with this id and boot.
func New(id string, incarnation uint64, hasLocalReplica bool, rng *rand.Rand) *Gateway {
	return &Gateway{
		id: id, incarnation: incarnation, rng: rng, hasLocalReplica: hasLocalReplica, state: &schema.ClusterState{}, values: clusterstate.ParseValues(nil),
		leaders: map[string]string{}, leaderlessSince: map[string]eventloop.Micros{}, queueStatus: map[string]*schema.QueueStatus{}, sessions: map[queueClient]*session{}, sessionsByID: map[string]*session{},
		requests: map[uint64]*request{}, announcements: map[uint64]ForwardAnnouncement{}, registrationSentAt: map[string]eventloop.Micros{}, endedSessions: map[string][]*schema.Session{},
		unconfirmedByQueue: map[string]int{}, submissionsByRequest: map[uint64]*submission{}, redirectedAt: map[string]eventloop.Micros{}, redirectDue: map[string]bool{}, leadershipDeniedAt: map[queueNode]eventloop.Micros{},
		throughputs: map[string]*throughput{}, lease: newStateLease(incarnation),
	}
}

// WithBounds takes what the deployment promises.
func (g *Gateway) WithBounds(bounds *schema.Bounds) *Gateway {
	if apply := eventloop.Micros(bounds.GetApplyUs()); apply > 0 {
		g.lease.applyBound = apply
	}
	return g
}

// Step implements eventloop.Table.
func (g *Gateway) Step(now eventloop.Micros, message eventloop.Message, effects eventloop.Effects) {
	switch body := message.Body.(type) {
	case eventloop.Tick:
		g.handleTick(now, effects)
	case SubmitJob:
		g.handleSubmit(now, body, false, effects)
	case LeaderRequest:
		g.handleRequest(now, body, false, effects)
	case ForwardAnnouncement:
		g.handleAnnouncement(now, body, effects)
	case CheckReadiness:
		g.checkReadiness(now, body, effects)
	case ListGateways:
		g.listGateways(now, body, effects)
	case ForgetRequest:
		g.forgetRequest(body.RequestID)
	case *schema.SubmitResponse:
		g.handleApplied(now, message.From, body, effects)
	case *schema.Response:
		g.handleReply(now, body, effects)
	case *schema.WorkerPollResponse:
		g.handlePollReply(body, effects)
	case *schema.ClusterStateResponse:
		g.handleClusterState(now, body, effects)
	case *membership.View:
		g.membership = body
		for group, id := range g.leaders {
			if known, isKnown := body.Members[id]; isKnown && known.Member.Draining {
				g.clearLeader(now, group)
			}
		}
	case StartDraining:
		g.isDraining = true
	}
}

func (g *Gateway) handleTick(now eventloop.Micros, effects eventloop.Effects) {
	if g.lastTick > 0 && now-g.lastTick > maxTickGap {
		// Others may have given us up meanwhile, and our callers have.
		g.restartSessions(now, effects)
	}
	g.lastTick = now
	// A replica of our own may not be one of the voters, as after its disk was
	// lost, or may be cut off from them: then others are asked.
	if !g.hasLocalReplica || g.lease.needsRenewal(now) || g.state.Version == 0 || len(g.leaders) == 0 {
		g.queryClusterState(now, effects)
	} else if now-g.stateQueriedAt >= g.stateQueryInterval(now) {
		g.stateQueriedAt = now
		g.sendStateQuery(now, g.id, effects)
	}
	resendQueues := map[string]bool{}
	for key, s := range g.sessions {
		if len(s.unconfirmed) > 0 {
			resendQueues[key.queue] = true
		}
	}
	for _, queue := range sortedKeys(g.redirectDue) {
		delete(g.redirectDue, queue)
		g.redirectedAt[queue] = now
		if submissions := g.misrouted(queue); len(submissions) > 0 {
			g.sendSubmissions(now, queue, submissions, effects)
		}
	}
	for _, queue := range sortedKeys(resendQueues) {
		isOverdue := func(each *submission) bool { return now-each.sentAt >= resendInterval }
		if submissions := g.selectUnconfirmed(queue, isOverdue); len(submissions) > 0 {
			// Whoever doesn't answer may be gone: ask around.
			g.clearLeader(now, queue)
			g.sendSubmissions(now, queue, submissions, effects)
		}
	}
	g.expireConfirmation(now, effects)
	for _, throughput := range g.throughputs {
		throughput.record(now, throughput.done)
	}
	isInContact := !g.lease.isExpired(now)
	if g.wasInContact && !isInContact {
		g.failPending(now, effects)
	}
	g.wasInContact = isInContact
	g.retryRequests(now, effects)
	g.endIdleSessions(now, effects)
	for id, announcement := range g.announcements {
		if now > announcement.Deadline {
			delete(g.announcements, id)
		}
	}
	for key, at := range g.leadershipDeniedAt {
		if now-at > resendInterval {
			delete(g.leadershipDeniedAt, key)
		}
	}
	for worker, at := range g.registrationSentAt {
		if now-at > 10*eventloop.Second {
			delete(g.registrationSentAt, worker)
		}
	}
}

func sortedKeys(keys map[string]bool) []string {
	return slices.Sorted(maps.Keys(keys))
}

// listGateways lists the fronts heard of lately, so that whoever knows one of them
// finds the others.
func (g *Gateway) listGateways(now eventloop.Micros, m ListGateways, effects eventloop.Effects) {
	gateways := &schema.GatewayList{Gateways: []*schema.GatewayEndpoint{}}
	if g.membership != nil {
		ids := slices.Sorted(maps.Keys(g.membership.Members))
		for _, id := range ids {
			if member := g.membership.Members[id].Member; member.Role == schema.Role_ROLE_SERVER && g.membership.IsAlive(id, now, listedGatewayTimeout) {
				gateways.Gateways = append(gateways.Gateways, &schema.GatewayEndpoint{Address: member.HttpAddress, Zone: member.Zone, Draining: member.Draining})
			}
		}
	}
	data, err := json.Marshal(gateways)
	if err != nil {
		g.reject(m.RequestID, 500, "internal", err.Error(), 0, effects)
		return
	}
	effects.Respond(m.RequestID, Response{Code: 200, Body: data})
}

// checkReadiness tells whether this front can take requests and carry them.
func (g *Gateway) checkReadiness(now eventloop.Micros, m CheckReadiness, effects eventloop.Effects) {
	switch {
	case g.isDraining:
		g.reject(m.RequestID, 503, "leaving", "this process is leaving", 0, effects)
	case !g.lease.isValid(now):
		g.reject(m.RequestID, 503, "not_ready", "no fresh word of the cluster state", 1, effects)
	default:
		effects.Respond(m.RequestID, Response{Code: 200, Body: []byte(`{"ready":true}`)})
	}
}
