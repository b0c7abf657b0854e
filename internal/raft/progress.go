package raft

// What the leader knows of its peers.

import (
	"sparnotch/internal/eventloop"
)

// progress is the leader's view of one peer.
type progress struct {
	next, match     uint64           // next entry to send; last one known to be synced there
	round           uint64           // last round of heartbeats acknowledged
	lastAdvance     eventloop.Micros // when match or next last advanced
	lastHeard       eventloop.Micros // last response of any kind
	snapshotPending bool             // a snapshot was sent and isn't acknowledged
	probing         bool             // where the logs agree isn't known: one Append at a time until one is accepted
	probeSent       bool             // that Append is in flight
	clockOffset     int64            // the peer's wall clock less this node's monotonic one, in µs; 0: unknown

	// Flow control.
	chunked      *chunkedSend     // a large message in flight; nothing else is sent meanwhile
	inflight     []inflightAppend // Appends after match
	windowBytes  int              // bytes that may be in flight, where more than the least window
	minRoundTrip eventloop.Micros // shortest time to a heartbeat's response; 0: none yet
}

// updatePeers makes the peers those of the member set. The entry at next is the first
// that is sent to a new one. It must be there now or be appended at once: in an idle
// group no other entry may follow, and the peer would never learn of the group.
func (g *Group) updatePeers(now eventloop.Micros, next uint64) {
	for _, id := range g.otherMembers() {
		if g.peers[id] == nil {
			g.peers[id] = &progress{next: next, lastAdvance: now, probing: true}
		}
	}
	for id := range g.peers {
		if !g.isMember(id) {
			delete(g.peers, id)
		}
	}
}

// PeerProgress is the index up to which a peer is known to have synced the log, and
// when it last responded; zeros for a peer of which nothing is known.
func (g *Group) PeerProgress(peer string) (match uint64, lastHeard eventloop.Micros) {
	if p := g.peers[peer]; p != nil {
		return p.match, p.lastHeard
	}
	return 0, 0
}

// acceptResponse gives the progress of the peer that a response is from; nil if the
// response isn't to this term's leader.
func (g *Group) acceptResponse(now eventloop.Micros, from string, term uint64) *progress {
	if term > g.term {
		g.becomeFollower(now, term, "")
		return nil
	}
	if g.role != leader || term < g.term {
		return nil
	}
	p := g.peers[from]
	if p != nil {
		p.lastHeard = now
	}
	return p
}

// advanceMatch notes that a peer has synced the log up to an index, and sends it what
// follows.
func (g *Group) advanceMatch(now eventloop.Micros, from string, p *progress, match uint64) {
	if match > p.match {
		p.match, p.lastAdvance = match, now
		p.next = max(p.next, match+1)
		p.probing = false
		if p.snapshotPending && match >= g.snapshot.Index {
			p.snapshotPending = false
		}
		g.ackInflight(now, p, match)
		g.maybeCommit(now)
		g.trySendTimeoutNow()
	}
	// The commit may have removed this leader.
	if g.role == leader {
		g.replicateTo(now, from)
	}
}

// probe drops what is in flight to a peer and sends one Append from an index on.
func (g *Group) probe(now eventloop.Micros, id string, p *progress, next uint64) {
	p.next, p.probing, p.probeSent = next, true, false
	p.chunked, p.inflight = nil, nil
	g.replicateTo(now, id)
}

// retransmitIfStalled goes back to what a peer is known to hold if nothing has
// advanced for two heartbeats though entries are outstanding: they were lost.
func (g *Group) retransmitIfStalled(now eventloop.Micros, id string, p *progress) {
	stalled := p.match < g.LastIndex() && now-p.lastAdvance > 2*g.timeouts.HeartbeatInterval
	if !stalled || g.resumeChunkedSend(now, id, p) {
		return
	}
	if now-p.lastAdvance > g.timeouts.ElectionMin {
		p.snapshotPending = false
	}
	// A lost probe is repeated from its own index: from what is known to match, which
	// may be nothing, all of a long log would be sent again.
	next := p.match + 1
	if p.probing {
		next = max(next, min(p.next, g.LastIndex()))
	}
	g.probe(now, id, p, next)
}
