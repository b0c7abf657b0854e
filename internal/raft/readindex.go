package raft

// This file implements linearizable reads by ReadIndex (section 6.4).

import (
	"sparnotch/internal/eventloop"
)

// readRequest is a read that waits until a quorum has confirmed that this replica leads.
type readRequest struct {
	id    uint64 // the id that the caller chose
	index uint64 // commit index when the read was requested; see serveReads
	round uint64 // the round of heartbeats that confirms the read
}

// ReadIndex requests a read of a state that is no older than now. The request's id appears
// in ConfirmedReads of a Ready once a quorum has acknowledged a round of heartbeats sent
// after this call. If this replica loses the leadership before that, the id never appears.
// The error is NotLeader on a replica that isn't the leader or hasn't committed an entry
// of its term.
func (g *Group) ReadIndex(now eventloop.Micros, id uint64) error {
	if g.role != leader || g.commit < g.noOpIndex {
		return g.notLeader()
	}
	g.pendingReads = append(g.pendingReads, readRequest{id: id, index: g.commit, round: g.round + 1})
	return nil
}

// FlushReads sends a round of heartbeats if pending reads need a new one. The caller calls
// it once after a batch of requests, so that all of them share the round.
func (g *Group) FlushReads(now eventloop.Micros) {
	if g.role != leader || len(g.pendingReads) == 0 || g.pendingReads[len(g.pendingReads)-1].round <= g.round {
		return
	}
	// While a round is in flight, the next one waits until a quorum has acknowledged it. If
	// the acknowledgements are lost, the next regular round of heartbeats serves the reads.
	if _, ok := g.roundSentAt[g.round]; ok && g.quorumRoundSentAt < g.roundSentAt[g.round] {
		return
	}
	g.broadcastHeartbeat(now)
}

// serveReads releases the reads that a round confirms. It needn't compare their indexes with
// the commit index: a read's index was already committed when the read was requested, and
// entries are queued for Ready when they are committed. The caller therefore gets the
// entries up to that index no later than the read, and must apply the entries of a Ready
// before it serves the reads of that Ready.
func (g *Group) serveReads(round uint64) {
	k := 0
	for ; k < len(g.pendingReads) && g.pendingReads[k].round <= round; k++ {
		g.ready.ConfirmedReads = append(g.ready.ConfirmedReads, g.pendingReads[k].id)
	}
	g.pendingReads = g.pendingReads[k:]
}
