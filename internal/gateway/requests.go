package gateway

// Requests that the leader of a group answers: forwarded, retried until a deadline, and
// answered once.

import (
	"maps"
	"net/http"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// request is a forwarded request that has no response yet.
type request struct {
	message      LeaderRequest
	tenant       string // whose key the call carries; empty: none
	sentAt       eventloop.Micros
	sentTo       string // empty: nobody, or one that has denied to be the leader
	redirectedAt eventloop.Micros
	isResendDue  bool // at the next tick
}

// retryDelay is the time from sending to retrying. A large request isn't retried while
// it may be in transit on the slowest link, or each retry would delay the next.
func (r *request) retryDelay() eventloop.Micros {
	return requestRetryDelay + eventloop.SlowestLinkTransferTime(len(r.message.Body))
}

// handleRequest forwards a request. With isConfirmed, a queue or key that our copy
// of the cluster state lacks doesn't exist.
func (g *Gateway) handleRequest(now eventloop.Micros, m LeaderRequest, isConfirmed bool, effects eventloop.Effects) {
	if len(g.requests) >= maxPending {
		effects.Respond(m.RequestID, Overloaded(g.throughputOf(gatewayThroughput).nextRetryAfter(now)))
		return
	}
	if !g.lease.isValid(now) {
		// While the cluster is being bootstrapped, operators' requests wait a moment.
		if g.lease.confirmedAt > 0 || m.Group != clusterstate.GroupName {
			g.rejectNotReady(now, m.RequestID, effects)
			return
		}
		m.Deadline = min(m.Deadline, now+bootstrapRequestTimeout)
	}
	unrouted := m // routed anew when it is resumed
	if m.Group == "" {
		m.Group, m.Name, _ = g.values.MatchRoute(m.Host, m.Path)
	}
	if g.isForUnknownQueue(m) {
		g.handleUnknownQueue(now, m.Group, unrouted, isConfirmed, effects)
		return
	}
	tenant, isAllowed := g.authorizeRequest(m)
	if !isAllowed {
		g.handleUnauthorized(now, refusedCall{m.Group, m.KeyHash}, unrouted, isConfirmed, effects)
		return
	}
	pending := &request{message: m, tenant: tenant}
	g.requests[m.RequestID] = pending
	g.sendRequest(now, pending, effects)
}

// isForUnknownQueue reports whether our copy of the cluster state lacks a request's queue.
// The group of the cluster state is none.
func (g *Gateway) isForUnknownQueue(m LeaderRequest) bool {
	if m.Group == clusterstate.GroupName {
		return isClientKind(m.Kind)
	}
	return clusterstate.FindQueue(g.state, m.Group) == nil
}

func (g *Gateway) sendRequest(now eventloop.Micros, pending *request, effects eventloop.Effects) {
	m := pending.message
	pending.sentAt, pending.sentTo = now, g.target(now, m.Group)
	if pending.sentTo == "" {
		return
	}
	effects.Send(pending.sentTo, &schema.Request{
		Id: m.RequestID, Kind: m.Kind, Group: m.Group, Name: m.Name, PageAfter: m.After, Limit: m.Limit, Body: m.Body,
		Tenant: pending.tenant,
	})
}

// handleResponse takes a response; one without a code is a redirect to the leader that it
// names.
func (g *Gateway) handleResponse(now eventloop.Micros, m *schema.Response, effects eventloop.Effects) {
	pending := g.requests[m.Id]
	switch {
	case pending == nil:
	case m.Code == 0:
		g.redirectRequest(now, pending, m, effects)
	case m.Id == g.confirmation.requestID:
		g.finishConfirmation(now, m, effects)
	default:
		g.finishRequest(m, effects)
	}
}

func (g *Gateway) finishRequest(m *schema.Response, effects eventloop.Effects) {
	delete(g.requests, m.Id)
	if m.Leader != "" {
		g.setLeader(m.Group, m.Leader)
	}
	body, err := clusterstate.Decompress(m.Body)
	if err != nil {
		effects.Respond(m.Id, outcomeUnknown())
		return
	}
	response := Response{Code: m.Code, Body: body}
	if m.Code >= http.StatusInternalServerError {
		response.RetryAfter = 1
	}
	effects.Respond(m.Id, response)
}

func (g *Gateway) redirectRequest(now eventloop.Micros, pending *request, m *schema.Response, effects eventloop.Effects) {
	if m.Leader == pending.sentTo || !g.isPlausibleLeader(now, m.Leader) {
		// The node that denied may come to lead: then it is sent there again.
		pending.sentTo = ""
		g.clearLeader(now, m.Group)
		return
	}
	g.setLeader(m.Group, m.Leader)
	pending.isResendDue = now-pending.redirectedAt <= minRedirectInterval
	if !pending.isResendDue {
		pending.redirectedAt = now
		g.sendRequest(now, pending, effects)
	}
}

func (g *Gateway) forgetRequest(id uint64) {
	delete(g.requests, id)
	delete(g.pendingHeartbeats, id)
	if pending := g.submissionsByRequest[id]; pending != nil {
		// The submission itself is numbered and goes on being resent: a gap would
		// hold up all later ones of its session.
		pending.requestID = 0
		delete(g.submissionsByRequest, id)
	}
}

// retryRequests fails requests past their deadline, and sends those again whose
// response is overdue or that are to be redirected.
func (g *Gateway) retryRequests(now eventloop.Micros, effects eventloop.Effects) {
	for _, id := range slices.Sorted(maps.Keys(g.requests)) {
		pending := g.requests[id]
		isOverdue := now-pending.sentAt > pending.retryDelay()
		switch {
		case now > pending.message.Deadline:
			delete(g.requests, id)
			effects.Respond(id, outcomeUnknown())
			continue
		case pending.isResendDue:
		case isOverdue:
			g.clearLeader(now, pending.message.Group) // it may be gone
		default:
			continue
		}
		pending.isResendDue = false
		g.sendRequest(now, pending, effects)
	}
}
