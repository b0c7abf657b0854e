package raft

// This file tracks the leader's state for each of its peers.

import (
	"sparnotch/internal/eventloop"
)

// progress holds the leader's state for one peer.
type progress struct {
	next, match     uint64           // index of the next entry to send; index of the last entry that the peer is known to have synced
	round           uint64           // last round of heartbeats that the peer acknowledged
	lastAdvance     eventloop.Micros // when match or next last advanced
	lastHeard       eventloop.Micros // when the last response of any kind arrived
	snapshotPending bool             // a snapshot was sent and isn't acknowledged yet
	probing         bool             // the last index at which the logs agree is unknown, so one Append at a time is sent until the peer accepts one
	probeSent       bool             // the Append that serves as a probe is in flight
	clockOffset     int64            // the peer's wall clock minus this node's monotonic clock, in µs; 0 if unknown

	// Flow control.
	chunked      *chunkedSend     // a large message in flight; no other part of the log is sent meanwhile; nil if there is none
	inflight     []inflightAppend // unacknowledged Appends
	lastAppendAt eventloop.Micros // when the last Append was sent; 0: never
	windowBytes  int              // bytes that may be in flight; 0 or less than minWindow means minWindow
	minRoundTrip eventloop.Micros // shortest time from a heartbeat to its response; 0 if there was no response yet
}

// updatePeers adds progress for new members and removes it for replicas that are no longer
// members. The entry at the index next is the first one sent to a new peer. It must exist
// already or be appended immediately: in an idle group no other entry may follow, and the
// peer would never learn of the group.
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

// PeerProgress returns the index up to which a peer is known to have synced the log, and
// the time of its last response. It returns zeros if nothing is known of the peer.
func (g *Group) PeerProgress(peer string) (match uint64, lastHeard eventloop.Micros) {
	if p := g.peers[peer]; p != nil {
		return p.match, p.lastHeard
	}
	return 0, 0
}

// acceptResponse returns the progress of the peer that sent a response. It returns nil if
// this replica isn't the leader of the response's term or if the sender isn't a peer. A
// response with a later term makes this replica a follower.
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

// advanceMatch records that a peer has synced the log up to the index match, and sends it
// the following entries.
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
	// This replica has stepped down if maybeCommit committed its own removal.
	if g.role == leader {
		g.replicateTo(now, from)
	}
}

// probe discards the state of the messages in flight to a peer, and sends it one Append
// that starts at the index next.
func (g *Group) probe(now eventloop.Micros, id string, p *progress, next uint64) {
	p.next, p.probing, p.probeSent = next, true, false
	p.chunked, p.inflight = nil, nil
	g.replicateTo(now, id)
}

// retransmitIfStalled sends entries again if a peer lacks some and hasn't advanced for two
// heartbeat intervals, because the messages in flight were then lost. It starts after the
// last entry that the peer is known to hold, or at the index of the last probe.
func (g *Group) retransmitIfStalled(now eventloop.Micros, id string, p *progress) {
	stalled := p.match < g.LastIndex() && now-p.lastAdvance > 2*g.timeouts.HeartbeatInterval
	if !stalled || g.resumeChunkedSend(now, id, p) {
		return
	}
	if now-p.lastAdvance > g.timeouts.ElectionMin {
		p.snapshotPending = false
	}
	// A lost probe is repeated from its own index. If it started after the last entry known
	// to match, the whole of a long log would be sent again while none is known.
	next := p.match + 1
	if p.probing {
		next = max(next, min(p.next, g.LastIndex()))
	}
	g.probe(now, id, p, next)
}
