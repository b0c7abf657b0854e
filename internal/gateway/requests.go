package gateway

// This file forwards requests to the leader of a group, retries them until their deadline,
// and passes exactly one response to the client.

import (
	"maps"
	"net/http"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// request is a request to a group's leader that has no response yet.
type request struct {
	message      LeaderRequest
	tenant       string // owner of the key that the call carries; empty if it carries none
	sentAt       eventloop.Micros
	sentTo       string // node ID; empty if unsent, or if that node has denied that it leads the group
	redirectedAt eventloop.Micros
	isResendDue  bool // whether the request is resent at the next tick
}

// retryDelay returns the time after which an unanswered request is retried. It includes
// the time that the request may take on the slowest link: otherwise the retries of a large
// request would delay one another.
func (r *request) retryDelay() eventloop.Micros {
	return requestRetryDelay + eventloop.SlowestLinkTransferTime(len(r.message.Body))
}

// handleRequest forwards a request or rejects it. If isConfirmed is true, the gateway's
// copy of the cluster state was confirmed to be the newest after the request arrived, so
// a queue or key that the copy lacks doesn't exist.
func (g *Gateway) handleRequest(now eventloop.Micros, m LeaderRequest, isConfirmed bool, effects eventloop.Effects) {
	if hasPassed(now, m.Deadline) {
		g.rejectUnavailable(m.RequestID, overdueMessage, effects)
		return
	}
	if len(g.requests) >= maxPending {
		effects.Respond(m.RequestID, Overloaded(g.throughputOf(gatewayThroughput).nextRetryAfter(now)))
		return
	}
	if !g.lease.isValid(now) {
		// Before the first lease the cluster may still be bootstrapping. Operators'
		// requests then wait a moment instead of being rejected.
		if g.lease.confirmedAt > 0 || m.Group != clusterstate.GroupName {
			g.rejectNotReady(now, m.RequestID, effects)
			return
		}
		m.Deadline = min(m.Deadline, now+bootstrapRequestTimeout)
	}
	unrouted := m // the route is looked up again if the request is deferred and resumed
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

// hasPassed reports whether the deadline of a call has passed, so that its client has been
// answered already and the call must not take effect. Deadline 0 stands for none.
func hasPassed(now, deadline eventloop.Micros) bool { return deadline > 0 && now > deadline }

// isForUnknownQueue reports whether the gateway's copy of the cluster state lacks a
// request's queue. For requests of clients, the group of the cluster state counts as an
// unknown queue.
func (g *Gateway) isForUnknownQueue(m LeaderRequest) bool {
	if m.Group == clusterstate.GroupName {
		return isClientKind(m.Kind)
	}
	return clusterstate.FindQueue(g.state, m.Group) == nil
}

// sendRequest sends a request to its target. If there is no target, it sends nothing, and the
// request is retried after retryDelay.
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

// handleResponse handles a response from a storage node. A response without a code is a
// redirect to the leader that it names.
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

// finishRequest passes the response of a group's leader to the client.
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

// redirectRequest sends a request to the leader that a response names, or postpones this to
// the next tick if minRedirectInterval hasn't passed since the last redirect.
func (g *Gateway) redirectRequest(now eventloop.Micros, pending *request, m *schema.Response, effects eventloop.Effects) {
	if m.Leader == pending.sentTo || !g.isPlausibleLeader(now, m.Leader) {
		// If the node that denied its leadership becomes the leader later, the cleared
		// sentTo lets updateLeaders resend the request to it.
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
	g.confirmation.forget(id)
	if pending := g.submissionsByRequest[id]; pending != nil {
		// The submission is already numbered and continues to be resent: a gap in the
		// numbers would block all later submissions of its session.
		pending.requestID = 0
		delete(g.submissionsByRequest, id)
	}
}

// retryRequests fails requests past their deadline, and resends requests whose response
// is overdue or whose redirect was postponed.
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
			g.clearLeader(now, pending.message.Group) // the leader may have failed
		default:
			continue
		}
		pending.isResendDue = false
		g.sendRequest(now, pending, effects)
	}
}
