package gateway

// This file reads the newest configuration from the leader of the cluster state, with a
// linearizable read, for requests to a queue or with a key that the gateway's copy lacks.

import (
	"net/http"
	"slices"
	"strconv"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	confirmationTimeout     = 500 * eventloop.Millisecond
	maxAwaitingConfirmation = 256
	maxAwaitingForKey       = maxAwaitingConfirmation / 2 // the other half is reserved for calls to new queues
	// The gateway itself, not a client, requests confirmations. Their request IDs are above
	// those that the process assigns to calls.
	firstConfirmationID = 1 << 63
)

// deferredCall is a client's request that waits until the newest configuration has been
// read, which shows whether its queue and key exist.
type deferredCall interface {
	// id returns the request ID.
	id() uint64
	// resume handles the call again, with the newest configuration.
	resume(g *Gateway, now eventloop.Micros, effects eventloop.Effects)
}

// keyCall is a deferred call whose key the gateway's copy of the configuration lacks.
type keyCall struct{ deferredCall }

func (m SubmitJob) id() uint64     { return m.RequestID }
func (m LeaderRequest) id() uint64 { return m.RequestID }

func (m SubmitJob) resume(g *Gateway, now eventloop.Micros, effects eventloop.Effects) {
	g.handleSubmit(now, m, true, effects)
}

func (m LeaderRequest) resume(g *Gateway, now eventloop.Micros, effects eventloop.Effects) {
	g.handleRequest(now, m, true, effects)
}

// confirmation holds requests with a queue or key that the gateway's copy of the
// configuration lacks, until the leader of the cluster state has returned the newest
// configuration. Clients can therefore use a new configuration immediately, and are never
// told because of a stale copy that a queue doesn't exist. Only one confirmation is in
// flight at a time; it decides the calls that arrived before it was sent.
type confirmation struct {
	requestID  uint64 // of the confirmation in flight; 0 if there is none
	sentAt     eventloop.Micros
	inFlight   []deferredCall // decided by the confirmation in flight
	queued     []deferredCall // decided by the next confirmation
	lastNumber uint64         // of the newest confirmation
}

// awaitConfirmation holds a call until the newest configuration shows whether its queue and
// key exist. It returns false if too many calls are already waiting.
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

// hasRoomFor reports whether another call may wait without exceeding the limits on waiting
// calls.
func (c *confirmation) hasRoomFor(call deferredCall) bool {
	if _, isForKey := call.(keyCall); isForKey && c.keyCallCount() >= maxAwaitingForKey {
		return false
	}
	return len(c.inFlight)+len(c.queued) < maxAwaitingConfirmation
}

// keyCallCount returns the number of waiting calls that are a keyCall.
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

// forget drops a call whose client no longer waits, so that it takes no effect later.
func (c *confirmation) forget(id uint64) {
	isForgotten := func(call deferredCall) bool { return call.id() == id }
	c.inFlight = slices.DeleteFunc(c.inFlight, isForgotten)
	c.queued = slices.DeleteFunc(c.queued, isForgotten)
}

// sendConfirmation sends the next confirmation if any calls are queued for it.
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

// finishConfirmation handles the leader's response to the confirmation in flight, and
// resumes the calls that it decides.
func (g *Gateway) finishConfirmation(now eventloop.Micros, m *schema.Response, effects eventloop.Effects) {
	update := &schema.ClusterStateResponse{}
	if m.Code != http.StatusOK || proto.Unmarshal(m.Body, update) != nil {
		g.failConfirmation(now, effects)
		return
	}
	g.handleClusterState(now, update, effects)
	if g.state.Version < update.Version {
		// The leader omitted the newer state from its response because it is already
		// sending that state to this gateway.
		g.failConfirmation(now, effects)
		return
	}
	g.lease.confirmedAt = max(g.lease.confirmedAt, g.confirmation.sentAt)
	for _, call := range g.takeInFlight() {
		call.resume(g, now, effects)
	}
	g.sendConfirmation(now, effects)
}

// failConfirmation rejects the calls that wait for the confirmation in flight, as it is
// unknown whether their queues and keys exist.
func (g *Gateway) failConfirmation(now eventloop.Micros, effects eventloop.Effects) {
	for _, call := range g.takeInFlight() {
		g.rejectNotReady(now, call.id(), effects)
	}
	g.sendConfirmation(now, effects)
}

// takeInFlight ends the confirmation in flight and returns the calls that it decides.
func (g *Gateway) takeInFlight() []deferredCall {
	c := &g.confirmation
	calls := c.inFlight
	delete(g.requests, c.requestID)
	c.requestID, c.inFlight = 0, nil
	return calls
}

// expireConfirmation fails the confirmation in flight if the leader hasn't answered it
// within confirmationTimeout.
func (g *Gateway) expireConfirmation(now eventloop.Micros, effects eventloop.Effects) {
	if g.confirmation.requestID != 0 && now-g.confirmation.sentAt > confirmationTimeout {
		g.failConfirmation(now, effects)
	}
}

// handleUnknownQueue rejects a call to a queue that the gateway's copy of the cluster state
// lacks, after a confirmation that the newest state lacks it too. The queue is empty if no
// route matched.
func (g *Gateway) handleUnknownQueue(now eventloop.Micros, queue string, call deferredCall, isConfirmed bool, effects eventloop.Effects) {
	switch {
	case !g.lease.isValid(now):
		g.rejectNotReady(now, call.id(), effects)
	case !isConfirmed:
		if !g.awaitConfirmation(now, call, effects) {
			g.rejectUnavailable(call.id(), "too many requests are waiting for the list of queues", effects)
		}
	// Without a first configuration it is unknown which queues there will be.
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
