package raft

// Leadership transfer by TimeoutNow (section 3.10).

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// TransferLeadership starts to hand the leadership to a voter: once its log is
// complete it is sent TimeoutNow. Until then, or until an election timeout has
// passed, proposals are refused. It has no effect on a replica that doesn't lead,
// for a target that isn't another voter, or while a transfer is in progress.
func (g *Group) TransferLeadership(now eventloop.Micros, to string) {
	if g.role != leader || to == g.self || !g.isVoter(to) || g.transferee != "" {
		return
	}
	g.transferee, g.transferDeadline, g.hasSentTimeoutNow = to, now+g.timeouts.ElectionMin, false
	g.trySendTimeoutNow()
}

// Transferee is the target of the leadership transfer in progress; empty if there is
// none.
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
