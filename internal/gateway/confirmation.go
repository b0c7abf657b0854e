package gateway

// Linearizable reads of which queues and keys there are, for requests to a queue or with a
// key that the gateway's copy of the configuration lacks.

import (
	"net/http"
	"strconv"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	confirmationTimeout     = 500 * eventloop.Millisecond
	maxAwaitingConfirmation = 256
	maxAwaitingForKey       = maxAwaitingConfirmation / 2 // the rest is left to calls to new queues
	// Confirmations are requests of the gateway's own, numbered above those of the
	// process.
	firstConfirmationID = 1 << 63
)

// deferredCall is a client's request that waits until its queue and key are confirmed to
// exist or not.
type deferredCall interface {
	id() uint64
	resume(g *Gateway, now eventloop.Micros, effects eventloop.Effects)
}

// keyCall is a deferred call that waits because of its key.
type keyCall struct{ deferredCall }

func (m SubmitJob) id() uint64     { return m.RequestID }
func (m LeaderRequest) id() uint64 { return m.RequestID }

func (m SubmitJob) resume(g *Gateway, now eventloop.Micros, effects eventloop.Effects) {
	g.handleSubmit(now, m, true, effects)
}

func (m LeaderRequest) resume(g *Gateway, now eventloop.Micros, effects eventloop.Effects) {
	g.handleRequest(now, m, true, effects)
}

// confirmation holds requests to queues that our copy of the configuration lacks, until
// the leader of the cluster state has confirmed, after they came, what the newest
// configuration is. So a new configuration can be used at once, and no client is
// answered from a stale copy that a queue doesn't exist. One confirmation is in flight
// at a time; it decides the calls that came before it was sent.
type confirmation struct {
	requestID  uint64 // of the one in flight; 0: none
	sentAt     eventloop.Micros
	inFlight   []deferredCall // that it decides
	queued     []deferredCall // for the next one
	lastNumber uint64
}

// awaitConfirmation holds a call until its queue and key are confirmed to exist or not. It
// returns false where too many calls are waiting already.
func (g *Gateway) awaitConfirmation(now eventloop.Micros, call deferredCall, effects eventloop.Effects) bool {
	c := &g.confirmation
	if !c.hasRoomFor(call) {
		return false
	}
	c.queued = append(c.queued, call)
	if c.requestID == 0 {
		g.sendConfirmation(now, effects)
	}
	return true
}

// hasRoomFor reports whether few enough calls wait for another one to wait.
func (c *confirmation) hasRoomFor(call deferredCall) bool {
	if _, isForKey := call.(keyCall); isForKey && c.keyCallCount() >= maxAwaitingForKey {
		return false
	}
	return len(c.inFlight)+len(c.queued) < maxAwaitingConfirmation
}

func (c *confirmation) keyCallCount() int {
	count := 0
	for _, calls := range [][]deferredCall{c.inFlight, c.queued} {
		for _, call := range calls {
			if _, isForKey := call.(keyCall); isForKey {
				count++
			}
		}
	}
	return count
}

// sendConfirmation sends the next confirmation if calls wait for one.
func (g *Gateway) sendConfirmation(now eventloop.Micros, effects eventloop.Effects) {
	c := &g.confirmation
	if len(c.queued) == 0 {
		return
	}
	c.lastNumber++
	c.requestID, c.sentAt, c.inFlight, c.queued = firstConfirmationID+c.lastNumber, now, c.queued, nil
	pending := &request{message: LeaderRequest{
		RequestID: c.requestID, Kind: KindReadClusterState, Group: clusterstate.GroupName, Body: marshal(g.newStateQuery()), Deadline: now + confirmationTimeout,
	}}
	g.requests[c.requestID] = pending
	g.sendRequest(now, pending, effects)
}

// finishConfirmation takes the leader's response, and resumes the calls that it decides.
func (g *Gateway) finishConfirmation(now eventloop.Micros, m *schema.Response, effects eventloop.Effects) {
	update := &schema.ClusterStateResponse{}
	if m.Code != http.StatusOK || proto.Unmarshal(m.Body, update) != nil {
		g.failConfirmation(now, effects)
		return
	}
	g.handleClusterState(now, update, effects)
	if g.state.Version < update.Version {
		// The response omitted a newer state, as it is being sent already.
		g.failConfirmation(now, effects)
		return
	}
	g.lease.confirmedAt = max(g.lease.confirmedAt, g.confirmation.sentAt)
	for _, call := range g.takeInFlight() {
		call.resume(g, now, effects)
	}
	g.sendConfirmation(now, effects)
}

// failConfirmation rejects the calls in flight: whether their queues and keys exist is unknown.
func (g *Gateway) failConfirmation(now eventloop.Micros, effects eventloop.Effects) {
	for _, call := range g.takeInFlight() {
		g.rejectNotReady(now, call.id(), effects)
	}
	g.sendConfirmation(now, effects)
}

func (g *Gateway) takeInFlight() []deferredCall {
	c := &g.confirmation
	calls := c.inFlight
	delete(g.requests, c.requestID)
	c.requestID, c.inFlight = 0, nil
	return calls
}

// expireConfirmation fails a confirmation that the leader doesn't answer in time.
func (g *Gateway) expireConfirmation(now eventloop.Micros, effects eventloop.Effects) {
	if g.confirmation.requestID != 0 && now-g.confirmation.sentAt > confirmationTimeout {
		g.failConfirmation(now, effects)
	}
}

// handleUnknownQueue rejects a call to a queue that our copy of the cluster state
// lacks, once that is confirmed. The queue is empty where no route matched.
func (g *Gateway) handleUnknownQueue(now eventloop.Micros, queue string, call deferredCall, isConfirmed bool, effects eventloop.Effects) {
	switch {
	case !g.lease.isValid(now):
		g.rejectNotReady(now, call.id(), effects)
	case !isConfirmed:
		if !g.awaitConfirmation(now, call, effects) {
			g.rejectUnavailable(call.id(), "too many requests are waiting for the list of queues", effects)
		}
	// Before the first configuration nobody knows which queues there will be.
	case g.state.Configuration.GetRevision() == 0 || g.values.HasQueue(queue):
		g.rejectUnavailable(call.id(), "there is no configuration yet, or the queue is being created", effects)
	case queue == "":
		effects.Respond(call.id(), Response{
			Code: http.StatusNotFound, Body: ErrorBody(codeUnknownQueue, "the configuration has no queue for this host and path", "path"),
		})
	default:
		effects.Respond(call.id(), Response{
			Code: http.StatusNotFound, Body: ErrorBody(codeUnknownQueue, "the configuration has no queue "+strconv.Quote(queue), "queue"),
		})
	}
}
