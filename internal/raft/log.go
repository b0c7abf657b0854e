package raft

// The replicated log: the snapshot and the entries after it.

import (
	"sparnotch/internal/schema"
)

// LastIndex is the index of the log's last entry, or of the snapshot if there is none
// after it.
func (g *Group) LastIndex() uint64 { return g.snapshot.Index + uint64(len(g.log)) }

func (g *Group) lastTerm() uint64 { return g.termAt(g.LastIndex()) }

// termAt is the term of an entry, 0 if the log doesn't hold it.
func (g *Group) termAt(index uint64) uint64 {
	switch {
	case index == g.snapshot.Index:
		return g.snapshot.Term
	case index < g.snapshot.Index || index > g.LastIndex():
		return 0
	}
	return g.log[index-g.snapshot.Index-1].Term
}

// entryTime is the group time of an entry in µs; the index must be the snapshot's or in
// the log.
func (g *Group) entryTime(index uint64) int64 {
	if index == g.snapshot.Index {
		return g.snapshot.TimeUs
	}
	return g.log[index-g.snapshot.Index-1].TimeUs
}

func (g *Group) lastEntryTime() int64 { return g.entryTime(g.LastIndex()) }

// entriesBetween returns the entries with indexes in (low, high].
func (g *Group) entriesBetween(low, high uint64) []*schema.Entry {
	return g.log[low-g.snapshot.Index : high-g.snapshot.Index]
}

// truncateAndAppend appends entries, which replace all from the first one's index on.
// It panics if a committed entry would be replaced.
func (g *Group) truncateAndAppend(entries []*schema.Entry) {
	first := entries[0].Index
	if first <= g.commit {
		panic("raft: a committed entry would be replaced in " + g.name)
	}
	// The log is long and member sets are rare: it is searched only when one may have
	// come or gone.
	memberSetChanged := first <= g.memberSetIndex
	for _, entry := range entries {
		memberSetChanged = memberSetChanged || entry.Kind == schema.EntryKind_ENTRY_MEMBER_SET
	}
	if first <= g.LastIndex() {
		kept := first - g.snapshot.Index - 1
		g.log = g.log[:kept:kept]
		g.stable = min(g.stable, first-1)
	}
	g.log = append(g.log, entries...)
	g.ready.Changes = append(g.ready.Changes, &schema.StoreChange{Group: g.name, Entries: entries})
	if memberSetChanged {
		g.refreshMemberSet()
	}
}

// Compact replaces the log up to an applied index by a snapshot of the state machine
// at that index, whose data the group takes over. An index that isn't applied, or
// that the present snapshot covers, has no effect.
func (g *Group) Compact(index uint64, data []byte) {
	if index <= g.snapshot.Index || index > g.commit {
		return
	}
	snapshot := &schema.Snapshot{
		Index: index, Term: g.termAt(index), MemberSet: g.memberSetAsOf(index),
		Data: data, TimeUs: g.entryTime(index),
	}
	g.log = append([]*schema.Entry(nil), g.log[index-g.snapshot.Index:]...)
	g.snapshot = snapshot
	g.ready.Changes = append(g.ready.Changes, &schema.StoreChange{Group: g.name, Snapshot: snapshot})
}
