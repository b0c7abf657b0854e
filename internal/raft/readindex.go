package raft

// Linearizable reads by ReadIndex (section 6.4).

import (
	"sparnotch/internal/eventloop"
)

// readRequest is a read that waits for a quorum to confirm this leader.
type readRequest struct {
	id    uint64 // the caller's id
	index uint64 // commit index when it was asked; see serveReads
	round uint64 // round of heartbeats that confirms it
}

// ReadIndex asks for a read of a state no older than now. Its id is in a Ready's
// ConfirmedReads once a quorum has acknowledged a round sent after this call; if
// leadership is lost before, it never is. It returns NotLeader for a replica that
// doesn't lead or hasn't committed an entry of its term.
func (g *Group) ReadIndex(now eventloop.Micros, id uint64) error {
	if g.role != leader || g.commit < g.noOpIndex {
		return g.notLeader()
	}
	g.pendingReads = append(g.pendingReads, readRequest{id: id, index: g.commit, round: g.round + 1})
	return nil
}

// FlushReads starts a round of heartbeats for the reads that wait for one. It is
// called once after a batch of requests, so that all of them share the round.
func (g *Group) FlushReads(now eventloop.Micros) {
	if g.role != leader || len(g.pendingReads) == 0 || g.pendingReads[len(g.pendingReads)-1].round <= g.round {
		return
	}
	// While a round is in flight the next waits for its acknowledgement; if that is
	// lost, for the next regular heartbeat.
	if _, open := g.roundSentAt[g.round]; open && g.quorumRoundSentAt < g.roundSentAt[g.round] {
		return
	}
	g.broadcastHeartbeat(now)
}

// serveReads releases the reads that a round confirms. It needn't compare their indexes: an
// entry is queued for Ready when it is committed, and a read's index was committed when the
// read was asked. So the entries up to it are handed out no later than the read, and the
// caller must apply a Ready's entries before it serves the Ready's reads.
func (g *Group) serveReads(round uint64) {
	k := 0
	for ; k < len(g.pendingReads) && g.pendingReads[k].round <= round; k++ {
		g.ready.ConfirmedReads = append(g.ready.ConfirmedReads, g.pendingReads[k].id)
	}
	g.pendingReads = g.pendingReads[k:]
}
