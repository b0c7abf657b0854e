package raft

// This file tracks durability: which state this replica has written, which part of it is
// synced, and how much its store holds.

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// entryOverhead is the approximate number of bytes that a stored entry takes in addition to
// its data.
const entryOverhead = 64

// SyncPoint identifies the state of a group that is durable once all changes that Ready has
// returned so far are synced.
type SyncPoint struct {
	Index, Term  uint64 // index and term of the last entry
	HardStateSeq uint64 // number of hard states written
}

// MarkSynced tells the replica that all changes up to a sync point are durable. The replica
// may then acknowledge these entries, count its own vote and, as leader, commit entries.
func (g *Group) MarkSynced(now eventloop.Micros, point SyncPoint) {
	if point.HardStateSeq > g.syncedHardStateSeq {
		g.syncedHardStateSeq = point.HardStateSeq
		g.countVotes(now)
	}
	// The entry may have been replaced since the sync point was taken. If the entry at this
	// index has another term, it isn't the one that was synced.
	if point.Index > g.stable && point.Index >= g.snapshot.Index && g.termAt(point.Index) == point.Term {
		g.stable = point.Index
		if g.role == leader {
			g.maybeCommit(now)
		} else if g.lead != "" && g.matchIndex > 0 {
			g.acknowledge(g.lead)
		}
	}
}

func (g *Group) setHardState(term uint64, vote string) {
	if term == g.term && vote == g.vote {
		return
	}
	g.term, g.vote = term, vote
	g.hardStateSeq++
	g.ready.Changes = append(g.ready.Changes, &schema.StoreChange{Group: g.name, HardState: &schema.HardState{Term: term, Vote: vote}})
}

func (g *Group) hasUnsyncedHardState() bool { return g.syncedHardStateSeq < g.hardStateSeq }

// SetWritable sets whether this replica's store accepts writes. While it doesn't, no term,
// vote or entry of this replica becomes durable. The replica continues to follow a leader
// or, as leader, to serve reads. But it doesn't campaign, accepts no leadership transfer,
// and grants no pre-vote, because it couldn't grant the vote that would follow.
func (g *Group) SetWritable(writable bool) { g.readOnly = !writable }

// FullState returns one change that makes a store, whatever it contained, hold the whole
// state of this replica.
func (g *Group) FullState() *schema.StoreChange {
	return &schema.StoreChange{
		Group: g.name, HardState: &schema.HardState{Term: g.term, Vote: g.vote}, Snapshot: g.snapshot, ReplacesLog: true,
		Entries: append([]*schema.Entry(nil), g.log...),
	}
}

// StoredBytes returns approximately how many bytes this replica takes in its store.
func (g *Group) StoredBytes() int {
	size := entryOverhead + len(g.snapshot.GetData())
	for _, entry := range g.log {
		size += entryOverhead + len(entry.Data)
	}
	return size
}
