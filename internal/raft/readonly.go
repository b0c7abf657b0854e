package raft

import "sparnotch/internal/schema"

// SetWritable says whether this replica's store takes writes. While it doesn't,
// no term, vote or record of this replica can come to last: it goes on following
// and, as leader, answering reads, but it doesn't stand, takes over no
// leadership, and encourages nobody to stand who would need its vote.
func (g *Group) SetWritable(writable bool) { g.readOnly = !writable }

// FullState is the change that makes all this replica's store is to hold.
func (g *Group) FullState() *schema.StoreChange {
	return &schema.StoreChange{
		Group: g.name, HardState: &schema.HardState{Term: g.term, Vote: g.vote}, Snapshot: g.snapshot, ReplacesLog: true,
		Entries: append([]*schema.Entry(nil), g.log...),
	}
}

// entryOverhead is about what a record holds besides its data.
const entryOverhead = 64

// StoredBytes is how much this replica's store holds of it, about.
func (g *Group) StoredBytes() int {
	size := entryOverhead + len(g.snapshot.GetData())
	for _, entry := range g.log {
		size += entryOverhead + len(entry.Data)
	}
	return size
}
