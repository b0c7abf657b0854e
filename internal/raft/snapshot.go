package raft

// Installing a leader's snapshot.

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func (g *Group) handleInstallSnapshot(now eventloop.Micros, from string, m *schema.InstallSnapshot) {
	if !g.acceptLeader(now, from, m.Term) {
		g.send(from, &schema.AppendResponse{Group: g.name, Term: g.term, Rejected: true})
		return
	}
	snapshot := m.Snapshot
	if snapshot.Index == 0 {
		g.Bootstrap(snapshot.MemberSet.GetVoters())
		return
	}
	g.matchIndex = max(g.matchIndex, snapshot.Index)
	if snapshot.Index <= g.commit {
		g.acknowledge(from)
		return
	}
	keepsTail := g.termAt(snapshot.Index) == snapshot.Term && snapshot.Index <= g.lastIndex()
	if keepsTail {
		g.log = append([]*schema.Entry(nil), g.log[snapshot.Index-g.snapshot.Index:]...)
	} else {
		g.log = nil
	}
	g.snapshot = snapshot
	g.commit, g.applied = snapshot.Index, snapshot.Index
	g.stable = min(g.stable, snapshot.Index-1)
	g.refreshMemberSet()
	g.ready.Changes = append(g.ready.Changes, &schema.StoreChange{Group: g.name, Snapshot: snapshot, ReplacesLog: !keepsTail})
	g.ready.Snapshot, g.ready.CommittedEntries = snapshot, nil
}
