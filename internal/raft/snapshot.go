package raft

// This file implements the installation of a snapshot sent by the leader (section 5.1).

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func (g *Group) sendSnapshot(now eventloop.Micros, id string, p *progress) {
	body := &schema.InstallSnapshot{Group: g.name, Term: g.term, Snapshot: g.snapshot}
	if len(g.snapshot.Data) > g.inflightWindow(p) {
		g.startChunkedSend(now, id, p, body, g.snapshot.Index)
		return
	}
	g.send(id, body)
}

func (g *Group) handleInstallSnapshot(now eventloop.Micros, from string, m *schema.InstallSnapshot) {
	if !g.acceptLeader(now, from, m.Term) {
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
	g.restore(snapshot)
}

// restore replaces the state machine by a snapshot. It keeps the entries after the
// snapshot's index if the log's entry at that index has the snapshot's term.
func (g *Group) restore(snapshot *schema.Snapshot) {
	keepsTail := g.termAt(snapshot.Index) == snapshot.Term && snapshot.Index <= g.LastIndex()
	if keepsTail {
		g.log = append([]*schema.Entry(nil), g.log[snapshot.Index-g.snapshot.Index:]...)
	} else {
		g.log = nil
	}
	g.snapshot = snapshot
	g.commit = snapshot.Index
	// The snapshot isn't synced yet, so it must not be acknowledged.
	g.stable = min(g.stable, snapshot.Index-1)
	g.refreshMemberSet()
	g.ready.Changes = append(g.ready.Changes, &schema.StoreChange{Group: g.name, Snapshot: snapshot, ReplacesLog: !keepsTail})
	g.ready.Snapshot, g.ready.CommittedEntries = snapshot, nil
}
