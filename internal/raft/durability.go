package raft

// Durability: what this replica has written, what of it is synced, and what its store
// holds.

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// entryOverhead is about how many bytes an entry takes besides its data.
const entryOverhead = 64

// SyncPoint identifies what is durable for a group once all changes handed out so far
// are synced.
type SyncPoint struct {
	Index, Term  uint64 // of the last entry
	HardStateSeq uint64 // count of hard states written
}

// MarkSynced tells the replica that all changes up to a sync point are durable, which
// lets it acknowledge entries, grant votes and, as leader, commit.
func (g *Group) MarkSynced(now eventloop.Micros, point SyncPoint) {
	if point.HardStateSeq > g.syncedHardStateSeq {
		g.syncedHardStateSeq = point.HardStateSeq
		g.countVotes(now)
	}
	// The entry may have been replaced since: the same index with another term isn't
	// the entry that was synced.
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

// SetWritable says whether this replica's store takes writes. While it doesn't, no
// term, vote or entry of this replica becomes durable: it goes on following and, as
// leader, serving reads, but it doesn't campaign, accepts no leadership transfer, and
// grants no pre-vote, since it couldn't grant the vote.
func (g *Group) SetWritable(writable bool) { g.readOnly = !writable }

// FullState is one change that brings a store of any content to what this replica
// holds.
func (g *Group) FullState() *schema.StoreChange {
	return &schema.StoreChange{
		Group: g.name, HardState: &schema.HardState{Term: g.term, Vote: g.vote}, Snapshot: g.snapshot, ReplacesLog: true,
		Entries: append([]*schema.Entry(nil), g.log...),
	}
}

// StoredBytes is about how many bytes of this replica its store holds.
func (g *Group) StoredBytes() int {
	size := entryOverhead + len(g.snapshot.GetData())
	for _, entry := range g.log {
		size += entryOverhead + len(entry.Data)
	}
	return size
}
