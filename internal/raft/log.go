package raft

// The log of a replica: what it holds, appends and releases.

import (
	"sparnotch/internal/schema"
)

func (g *Group) lastIndex() uint64 { return g.snapshot.Index + uint64(len(g.log)) }

func (g *Group) lastTerm() uint64 { return g.termAt(g.lastIndex()) }

func (g *Group) lastEntryTime() int64 {
	return g.entryTime(g.lastIndex())
}

func (g *Group) entryTime(index uint64) int64 {
	if index == g.snapshot.Index {
		return g.snapshot.TimeUs
	}
	return g.log[index-g.snapshot.Index-1].TimeUs
}

func (g *Group) termAt(index uint64) uint64 {
	switch {
	case index == g.snapshot.Index:
		return g.snapshot.Term
	case index < g.snapshot.Index || index > g.lastIndex():
		return 0
	}
	return g.log[index-g.snapshot.Index-1].Term
}

func (g *Group) entriesBetween(low, high uint64) []*schema.Entry {
	return g.log[low-g.snapshot.Index : high-g.snapshot.Index]
}

// truncateAndAppend appends records, replacing whatever stood from the first one on.
func (g *Group) truncateAndAppend(entries []*schema.Entry) {
	first := entries[0].Index
	if first <= g.commit {
		panic("raft: a committed record would be replaced in " + g.name)
	}
	// The log is long and member sets are rare: it is looked through only when one
	// may have come or gone.
	memberSetChanged := first <= g.memberSetIndex
	for _, entry := range entries {
		memberSetChanged = memberSetChanged || entry.Kind == schema.EntryKind_ENTRY_MEMBER_SET
	}
	if first <= g.lastIndex() {
		g.log = g.log[: first-g.snapshot.Index-1 : first-g.snapshot.Index-1]
		if g.stable >= first {
			g.stable = first - 1
		}
	}
	g.log = append(g.log, entries...)
	g.ready.Changes = append(g.ready.Changes, &schema.StoreChange{Group: g.name, Entries: entries})
	if memberSetChanged {
		g.refreshMemberSet()
	}
}

// Compact lets the log go up to a checkpoint of the machine.
func (g *Group) Compact(index uint64, data []byte) {
	if index <= g.snapshot.Index || index > g.applied {
		return
	}
	snapshot := &schema.Snapshot{Index: index, Term: g.termAt(index), MemberSet: g.memberSetAsOf(index), Data: data, TimeUs: g.entryTime(index)}
	g.log = append([]*schema.Entry(nil), g.log[index-g.snapshot.Index:]...)
	g.snapshot = snapshot
	g.ready.Changes = append(g.ready.Changes, &schema.StoreChange{Group: g.name, Snapshot: snapshot})
}
