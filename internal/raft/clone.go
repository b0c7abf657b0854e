package raft

import (
	"maps"
	"slices"
)

// Clone returns an independent copy of the replica, which draws its random numbers from rng.
// A model checker uses it to explore several continuations of one state. The copy shares
// entries, snapshots and member sets with the original, because these are never modified
// after their creation.
func (g *Group) Clone(rng Rand) *Group {
	c := *g
	c.rng = rng
	c.log = slices.Clone(g.log)
	c.votes = maps.Clone(g.votes)
	c.roundSentAt = maps.Clone(g.roundSentAt)
	c.pendingReads = slices.Clone(g.pendingReads)
	c.heartbeatResponses = slices.Clone(g.heartbeatResponses)
	if g.peers != nil {
		c.peers = make(map[string]*progress, len(g.peers))
		for id, p := range g.peers {
			c.peers[id] = p.clone()
		}
	}
	c.reassembly.data = slices.Clone(g.reassembly.data)
	c.ready.Messages = slices.Clone(g.ready.Messages)
	c.ready.Changes = slices.Clone(g.ready.Changes)
	c.ready.CommittedEntries = slices.Clone(g.ready.CommittedEntries)
	c.ready.ConfirmedReads = slices.Clone(g.ready.ConfirmedReads)
	return &c
}

func (p *progress) clone() *progress {
	copied := *p
	copied.inflight = slices.Clone(p.inflight)
	if p.chunked != nil {
		chunked := *p.chunked
		chunked.payload = slices.Clone(p.chunked.payload)
		copied.chunked = &chunked
	}
	return &copied
}
