package gateway

// Requests that another process answers: asked, asked again, answered once.

import (
	"sort"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

type request struct {
	message      LeaderRequest
	sentAt       eventloop.Micros
	sentTo       string
	redirectedAt eventloop.Micros
	isResendDue  bool
}

// retryDelay is when a request that wasn't answered is sent again: not while it may
// still be on its way over the slowest link, or each would hold up the next.
func (r *request) retryDelay() eventloop.Micros {
	return requestRetryDelay + eventloop.LinkTime(len(r.message.Body))
}

func (g *Gateway) handleRequest(now eventloop.Micros, m LeaderRequest, isConfirmed bool, effects eventloop.Effects) {
	if len(g.requests) >= maxPending {
		g.reject(m.RequestID, 429, "front_full", "this front has too much in hand", g.throughputOf("").nextRetryAfter(now), effects)
		return
	}
	if !g.lease.isValid(now) {
		// While the system is being founded an operator's call waits a little.
		if g.lease.confirmedAt > 0 || m.Group != clusterstate.Group {
			g.rejectNotReady(now, m.RequestID, effects)
			return
		}
		m.Deadline = min(m.Deadline, now+bootstrapRequestTimeout)
	}
	message := m
	if m.Group == "" {
		m.Group, m.Name, _ = g.values.MatchRoute(m.Host, m.Path)
	}
	if m.Group != clusterstate.Group && clusterstate.FindQueue(g.state, m.Group) == nil {
		g.handleUnknownQueue(now, m.RequestID, m.Group, message, isConfirmed, effects)
		return
	}
	pending := &request{message: m}
	g.requests[m.RequestID] = pending
	g.sendRequest(now, pending, effects)
}

func (g *Gateway) sendRequest(now eventloop.Micros, pending *request, effects eventloop.Effects) {
	m := pending.message
	pending.sentAt, pending.sentTo = now, g.target(now, m.Group)
	if to := pending.sentTo; to != "" {
		effects.Send(to, &schema.Request{Id: m.RequestID, Kind: m.Kind, Group: m.Group, Name: m.Name, PageAfter: m.After, Limit: m.Limit, Body: m.Body})
	}
}

func (g *Gateway) handleReply(now eventloop.Micros, m *schema.Response, effects eventloop.Effects) {
	pending := g.requests[m.Id]
	if pending == nil {
		return
	}
	if m.Code != 0 && m.Id == g.confirmation.requestID {
		g.finishConfirmation(now, m, effects)
		return
	}
	if m.Code != 0 {
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
		if m.Code >= 500 {
			response.RetryAfter = 1
		}
		effects.Respond(m.Id, response)
		return
	}
	if m.Leader != pending.sentTo && g.isPlausibleLeader(now, m.Leader) {
		g.setLeader(m.Group, m.Leader)
		if pending.isResendDue = now-pending.redirectedAt <= minRedirectInterval; !pending.isResendDue {
			pending.redirectedAt = now
			g.sendRequest(now, pending, effects)
		}
		return
	}
	// Whoever said so may come to lead: then it is asked again.
	pending.sentTo = ""
	g.clearLeader(now, m.Group)
}

func (g *Gateway) forgetRequest(id uint64) {
	delete(g.requests, id)
	delete(g.announcements, id)
	if pending := g.submissionsByRequest[id]; pending != nil {
		// The submission itself has a number and goes on being resent: a gap
		// would hold up all that comes after it.
		pending.requestID = 0
		delete(g.submissionsByRequest, id)
	}
}

func (g *Gateway) retryRequests(now eventloop.Micros, effects eventloop.Effects) {
	var ids []uint64
	for id, pending := range g.requests {
		if now-pending.sentAt > pending.retryDelay() || pending.isResendDue || now > pending.message.Deadline {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(a, b int) bool { return ids[a] < ids[b] })
	for _, id := range ids {
		pending := g.requests[id]
		if now > pending.message.Deadline {
			delete(g.requests, id)
			effects.Respond(id, outcomeUnknown())
			continue
		}
		if !pending.isResendDue {
			g.clearLeader(now, pending.message.Group)
		}
		pending.isResendDue = false
		g.sendRequest(now, pending, effects)
	}
}
