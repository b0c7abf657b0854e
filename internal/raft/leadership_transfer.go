package raft

// This file implements leadership transfer by TimeoutNow (section 3.10).

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// TransferLeadership starts a transfer of the leadership to another voter. Once the
// target's log is complete, the leader sends it a TimeoutNow. The leader refuses
// proposals until it steps down or until the shortest election timeout has passed. The
// call has no effect on a replica that isn't the leader, if the target isn't another
// voter, or while a transfer is in progress.
func (g *Group) TransferLeadership(now eventloop.Micros, to string) {
	if g.role != leader || to == g.self || !g.isVoter(to) || g.transferee != "" {
		return
	}
	g.transferee, g.transferDeadline, g.hasSentTimeoutNow = to, now+g.timeouts.ElectionMin, false
	g.trySendTimeoutNow()
}

// Transferee returns the id of the target of the leadership transfer in progress, or "" if
// there is none.
func (g *Group) Transferee() string { return g.transferee }

func (g *Group) expireTransfer(now eventloop.Micros) {
	if g.transferee != "" && now > g.transferDeadline {
		g.transferee, g.hasSentTimeoutNow = "", false
	}
}

func (g *Group) trySendTimeoutNow() {
	if p := g.peers[g.transferee]; g.transferee != "" && p != nil && p.match == g.LastIndex() {
		g.hasSentTimeoutNow = true
		g.send(g.transferee, &schema.TimeoutNow{Group: g.name, Term: g.term})
	}
}

func (g *Group) handleTimeoutNow(now eventloop.Micros, m *schema.TimeoutNow) {
	if m.Term == g.term && g.role != leader && g.isVoter(g.self) && !g.readOnly {
		g.campaign(now, true)
	}
}
