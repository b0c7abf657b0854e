package gateway

import (
	"strconv"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	confirmationTimeout     = 500 * eventloop.Millisecond // a call for an unknown queue waits so long for the leader's word
	maxAwaitingConfirmation = 256
	// Confirmations are requests of our own, numbered above those of callers.
	firstConfirmationID = 1 << 63
)

// confirmation holds calls for queues that our copy of the plan lacks until the
// cluster state's leader has told, with a majority's word given after the call came,
// what the plan is. Whoever has just put a plan may use it at once, and nobody is told
// that there is no such queue by a copy that may be old.
type confirmation struct {
	requestID  uint64 // of the request that is out; 0: none
	sentAt     eventloop.Micros
	inFlight   []any // calls that came before it was sent: its answer decides them
	queued     []any // calls that came since
	lastNumber uint64
}

// awaitConfirmation holds a call until its queue is found, or confirmed not to be there.
func (g *Gateway) awaitConfirmation(now eventloop.Micros, call any, effects eventloop.Effects) bool {
	c := &g.confirmation
	if len(c.inFlight)+len(c.queued) >= maxAwaitingConfirmation {
		return false
	}
	c.queued = append(c.queued, call)
	if c.requestID == 0 {
		g.sendConfirmation(now, effects)
	}
	return true
}

// sendConfirmation asks for all calls that wait for an answer to a question sent since.
func (g *Gateway) sendConfirmation(now eventloop.Micros, effects eventloop.Effects) {
	c := &g.confirmation
	if len(c.queued) == 0 {
		return
	}
	c.lastNumber++
	c.requestID, c.sentAt, c.inFlight, c.queued = firstConfirmationID+c.lastNumber, now, c.queued, nil
	body, err := proto.Marshal(g.newStateQuery())
	if err != nil {
		panic("gateway: " + err.Error())
	}
	confirmationRequest := &request{message: LeaderRequest{RequestID: c.requestID, Kind: "state", Group: clusterstate.Group, Body: body, Deadline: now + confirmationTimeout}}
	g.requests[c.requestID] = confirmationRequest
	g.sendRequest(now, confirmationRequest, effects)
}

// finishConfirmation takes the leader's answer and decides the calls that rode on it.
func (g *Gateway) finishConfirmation(now eventloop.Micros, m *schema.Response, effects eventloop.Effects) {
	update := &schema.ClusterStateResponse{}
	if m.Code != 200 || proto.Unmarshal(m.Body, update) != nil {
		g.failConfirmation(now, effects)
		return
	}
	g.handleClusterState(now, update, effects)
	if g.state.Version < update.Version {
		// What is newer is still on its way here.
		g.failConfirmation(now, effects)
		return
	}
	g.lease.confirmedAt = max(g.lease.confirmedAt, g.confirmation.sentAt)
	for _, call := range g.takeInFlight() {
		switch m := call.(type) {
		case SubmitJob:
			g.handleSubmit(now, m, true, effects)
		case LeaderRequest:
			g.handleRequest(now, m, true, effects)
		}
	}
	g.sendConfirmation(now, effects)
}

// failConfirmation turns away what rode on the question: nobody knows whether there is
// such a queue.
func (g *Gateway) failConfirmation(now eventloop.Micros, effects eventloop.Effects) {
	for _, call := range g.takeInFlight() {
		switch m := call.(type) {
		case SubmitJob:
			g.rejectNotReady(now, m.RequestID, effects)
		case LeaderRequest:
			g.rejectNotReady(now, m.RequestID, effects)
		}
	}
	g.sendConfirmation(now, effects)
}

func (g *Gateway) takeInFlight() []any {
	c := &g.confirmation
	calls := c.inFlight
	delete(g.requests, c.requestID)
	c.requestID, c.inFlight = 0, nil
	return calls
}

// expireConfirmation gives up on a leader that doesn't answer.
func (g *Gateway) expireConfirmation(now eventloop.Micros, effects eventloop.Effects) {
	if g.confirmation.requestID != 0 && now-g.confirmation.sentAt > confirmationTimeout {
		g.failConfirmation(now, effects)
	}
}

// handleUnknownQueue answers for a queue that isn't placed, or parks the call first. The
// queue is empty where host and path lead to none.
func (g *Gateway) handleUnknownQueue(now eventloop.Micros, requestID uint64, queue string, call any, isConfirmed bool, effects eventloop.Effects) {
	switch {
	case !g.lease.isValid(now):
		g.rejectNotReady(now, requestID, effects)
	case !isConfirmed:
		if !g.awaitConfirmation(now, call, effects) {
			g.reject(requestID, 503, "not_ready", "too many calls wait to hear what queues there are", 1, effects)
		}
	// Before the first plan nobody knows what queues there are to be.
	case g.state.Configuration.GetRevision() == 0 || g.values.HasQueue(queue):
		g.reject(requestID, 503, "not_ready", "there is no plan yet, or the queue is being made", 1, effects)
	case queue == "":
		effects.Respond(requestID, Response{Code: 404, Body: FaultBody("unknown_queue", "the plan has no queue for this host and path", "path")})
	default:
		effects.Respond(requestID, Response{Code: 404, Body: FaultBody("unknown_queue", "the plan has no queue "+strconv.Quote(queue), "queue")})
	}
}
