package raft

// Reads that a quorum confirms (ReadIndex).

import (
	"sparnotch/internal/eventloop"
)

type readRequest struct {
	request, index, round uint64
}

// ReadIndex asks that a request be answered from a state no older than now.
func (g *Group) ReadIndex(now eventloop.Micros, request uint64) error {
	if g.role != leader || g.commit < g.noOpIndex {
		return NotLeader.New("%s is led by %q", g.name, g.lead)
	}
	g.pendingReads = append(g.pendingReads, readRequest{request: request, index: g.commit, round: g.round + 1})
	return nil
}

// FlushReads starts a round for the reads that wait for one: all those of a
// pass share it.
func (g *Group) FlushReads(now eventloop.Micros) {
	if g.role != leader || len(g.pendingReads) == 0 || g.pendingReads[len(g.pendingReads)-1].round <= g.round {
		return
	}
	// While a round is on its way the next waits for its answer, so that many
	// reads cost one round; a lost answer holds it up until the next beat.
	if _, open := g.roundSentAt[g.round]; open && g.quorumAckedAt < g.roundSentAt[g.round] {
		return
	}
	g.broadcastHeartbeat(now)
}
