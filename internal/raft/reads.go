package raft

// Reads that a quorum confirms (ReadIndex).

import (
	"sparnotch/internal/eventloop"
)

type read struct {
	request, index, round uint64
}

// Read asks that a request be answered from a state no older than now.
func (g *Group) Read(now eventloop.Micros, request uint64) error {
	if g.role != leader || g.commit < g.first {
		return NotLeader.New("%s is led by %q", g.name, g.lead)
	}
	g.reads = append(g.reads, read{request: request, index: g.commit, round: g.round + 1})
	return nil
}

// FlushReads starts a round for the reads that wait for one: all those of a
// pass share it.
func (g *Group) FlushReads(now eventloop.Micros) {
	if g.role != leader || len(g.reads) == 0 || g.reads[len(g.reads)-1].round <= g.round {
		return
	}
	// While a round is on its way the next waits for its answer, so that many
	// reads cost one round; a lost answer holds it up until the next beat.
	if _, isOpen := g.rounds[g.round]; isOpen && g.quorumAt < g.rounds[g.round] {
		return
	}
	g.beat(now)
}
