package raft

import "sparnotch/internal/schema"

// SetWritable says whether this replica's store takes writes. While it doesn't,
// no term, vote or record of this replica can come to last: it goes on following
// and, as leader, answering reads, but it doesn't stand, takes over no
// leadership, and encourages nobody to stand who would need its vote.
func (g *Group) SetWritable(isWritable bool) { g.isReadOnly = !isWritable }

// Whole is the change that makes all this replica's store is to hold.
func (g *Group) Whole() *schema.StoreChange {
	return &schema.StoreChange{
		Group: g.name, HardState: &schema.HardState{Term: g.term, Vote: g.vote}, Snapshot: g.base, ReplacesLog: true,
		Entries: append([]*schema.Entry(nil), g.log...),
	}
}

// recordOverhead is about what a record holds besides its data.
const recordOverhead = 64

// Bytes is how much this replica's store holds of it, about.
func (g *Group) Bytes() int {
	size := recordOverhead + len(g.base.GetData())
	for _, record := range g.log {
		size += recordOverhead + len(record.Data)
	}
	return size
}
