package raft

// Installing a leader's snapshot.

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func (g *Group) onInstall(now eventloop.Micros, from string, m *schema.InstallSnapshot) {
	if !g.led(now, from, m.Term) {
		g.post(from, &schema.AppendResponse{Group: g.name, Term: g.term, Rejected: true})
		return
	}
	point := m.Snapshot
	if point.Index == 0 {
		g.Found(point.MemberSet.GetVoters())
		return
	}
	g.matched = max(g.matched, point.Index)
	if point.Index <= g.commit {
		g.acknowledge(from)
		return
	}
	isKept := g.termAt(point.Index) == point.Term && point.Index <= g.lastIndex()
	if isKept {
		g.log = append([]*schema.Entry(nil), g.log[point.Index-g.base.Index:]...)
	} else {
		g.log = nil
	}
	g.base = point
	g.commit, g.applied = point.Index, point.Index
	g.stable = min(g.stable, point.Index-1)
	g.findMemberSet()
	g.out.Changes = append(g.out.Changes, &schema.StoreChange{Group: g.name, Snapshot: point, ReplacesLog: !isKept})
	g.out.Restore, g.out.Commits = point, nil
}
