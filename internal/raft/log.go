package raft

// This file implements the replicated log, which consists of a snapshot and the entries
// after it.

import (
	"sparnotch/internal/schema"
)

// LastIndex returns the index of the log's last entry, or the snapshot's index if no entry
// follows the snapshot.
func (g *Group) LastIndex() uint64 { return g.snapshot.Index + uint64(len(g.log)) }

func (g *Group) lastTerm() uint64 { return g.termAt(g.LastIndex()) }

// termAt returns the term of the entry at an index, which may be the snapshot's. It returns
// 0 if the log doesn't hold the entry.
func (g *Group) termAt(index uint64) uint64 {
	switch {
	case index == g.snapshot.Index:
		return g.snapshot.Term
	case index < g.snapshot.Index || index > g.LastIndex():
		return 0
	}
	return g.log[index-g.snapshot.Index-1].Term
}

// entryTime returns the group time of the entry at an index, in µs. The index must be the
// snapshot's or that of an entry in the log.
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

// truncateAndAppend removes all entries of the log from the index of the first new entry
// on, and then appends the new entries. It panics if this would remove a committed entry.
func (g *Group) truncateAndAppend(entries []*schema.Entry) {
	first := entries[0].Index
	if first <= g.commit {
		panic("raft: an append would replace a committed entry of group " + g.name)
	}
	// The log may be long and member sets are rare, so the log is searched only if a member
	// set is appended or may have been removed.
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

// Compact replaces the log up to an index by a snapshot of the state machine at that
// index; the caller must not modify the data afterwards. The call has no effect if the
// index isn't committed or if the current snapshot covers it.
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
