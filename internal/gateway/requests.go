package gateway

// Requests that another process answers: asked, asked again, answered once.

import (
	"sort"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

type request struct {
	ask        Ask
	sent       eventloop.Micros
	to         string
	redirected eventloop.Micros
	isOwed     bool
}

// retryAfter is when a request that wasn't answered is sent again: not while it may
// still be on its way over the slowest link, or each would hold up the next.
func (r *request) retryAfter() eventloop.Micros {
	return retrySpan + eventloop.LinkTime(len(r.ask.Body))
}

func (t *Table) ask(now eventloop.Micros, m Ask, isConfirmed bool, out eventloop.Effects) {
	if len(t.requests) >= maxPending {
		t.refuse(m.Request, 429, "front_full", "this front has too much in hand", t.pace("").turn(now), out)
		return
	}
	if !t.lease.isValid(now) {
		// While the system is being founded an operator's call waits a little.
		if t.lease.confirmedAt > 0 || m.Group != clusterstate.Group {
			t.notReady(now, m.Request, out)
			return
		}
		m.Deadline = min(m.Deadline, now+youngSpan)
	}
	mail := m
	if m.Group == "" {
		m.Group, m.Name, _ = t.values.MatchRoute(m.Host, m.Path)
	}
	if m.Group != clusterstate.Group && clusterstate.FindQueue(t.state, m.Group) == nil {
		t.unknownQueue(now, m.Request, m.Group, mail, isConfirmed, out)
		return
	}
	each := &request{ask: m}
	t.requests[m.Request] = each
	t.carry(now, each, out)
}

func (t *Table) carry(now eventloop.Micros, each *request, out eventloop.Effects) {
	m := each.ask
	each.sent, each.to = now, t.leader(now, m.Group)
	if to := each.to; to != "" {
		out.Send(to, &schema.Request{Id: m.Request, Kind: m.Kind, Group: m.Group, Name: m.Name, PageAfter: m.After, Limit: m.Most, Body: m.Body})
	}
}

func (t *Table) replied(now eventloop.Micros, m *schema.Response, out eventloop.Effects) {
	each := t.requests[m.Id]
	if each == nil {
		return
	}
	if m.Code != 0 && m.Id == t.confirmation.number {
		t.stateConfirmed(now, m, out)
		return
	}
	if m.Code != 0 {
		delete(t.requests, m.Id)
		if m.Leader != "" {
			t.lead(m.Group, m.Leader)
		}
		whole, err := clusterstate.Decompress(m.Body)
		if err != nil {
			out.Respond(m.Id, unknown())
			return
		}
		answer := Answer{Code: m.Code, Body: whole}
		if m.Code >= 500 {
			answer.Retry = 1
		}
		out.Respond(m.Id, answer)
		return
	}
	if m.Leader != each.to && t.mayLead(now, m.Leader) {
		t.lead(m.Group, m.Leader)
		if each.isOwed = now-each.redirected <= redirectSpan; !each.isOwed {
			each.redirected = now
			t.carry(now, each, out)
		}
		return
	}
	// Whoever said so may come to lead: then it is asked again.
	each.to = ""
	t.unlead(now, m.Group)
}

func (t *Table) forget(id uint64) {
	delete(t.requests, id)
	delete(t.polls, id)
	if each := t.asked[id]; each != nil {
		// The submission itself has a number and goes on being resent: a gap
		// would hold up all that comes after it.
		each.request = 0
		delete(t.asked, id)
	}
}

func (t *Table) tickRequests(now eventloop.Micros, out eventloop.Effects) {
	var ids []uint64
	for id, each := range t.requests {
		if now-each.sent > each.retryAfter() || each.isOwed || now > each.ask.Deadline {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(a, b int) bool { return ids[a] < ids[b] })
	for _, id := range ids {
		each := t.requests[id]
		if now > each.ask.Deadline {
			delete(t.requests, id)
			out.Respond(id, unknown())
			continue
		}
		if !each.isOwed {
			t.unlead(now, each.ask.Group)
		}
		each.isOwed = false
		t.carry(now, each, out)
	}
}
