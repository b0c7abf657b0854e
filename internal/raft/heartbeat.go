package raft

// Rounds of heartbeats: quorum contact for the leader lease, the commit index for
// followers, and how fresh a replica's state is.

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// maxHeartbeatResponses is how many of the last heartbeats a follower remembers
// having acknowledged.
const maxHeartbeatResponses = 16

// heartbeatResponse is a heartbeat that this follower acknowledged.
type heartbeatResponse struct {
	round      uint64
	receivedAt eventloop.Micros
}

// HoldsLeaderLease tells whether this leader may act outside the group: it has applied
// its no-op, and a quorum acknowledged a round sent within the lease. It gives the lease
// up when it tells another to campaign, whose votes don't wait for the lease. A process that
// was suspended finds its lease expired when it resumes, before it learns of its
// successor.
func (g *Group) HoldsLeaderLease(now eventloop.Micros) bool {
	return g.role == leader && !g.hasSentTimeoutNow && g.commit >= g.noOpIndex && now-g.quorumRoundSentAt <= g.timeouts.leaderLease()
}

// FreshAsOf is a time at which this replica's applied state held all that was
// committed; 0 if none is known.
func (g *Group) FreshAsOf() eventloop.Micros {
	if g.role == leader {
		// A new leader may hold committed entries that it doesn't know to be committed.
		if g.commit < g.noOpIndex {
			return 0
		}
		return g.quorumRoundSentAt
	}
	return g.freshAsOf
}

// BroadcastCommit sends a round of heartbeats at once, so that followers needn't wait
// for the next one or the next entry to learn the commit index.
func (g *Group) BroadcastCommit(now eventloop.Micros) {
	if g.role == leader {
		g.broadcastHeartbeat(now)
	}
}

func (g *Group) broadcastHeartbeat(now eventloop.Micros) {
	g.nextHeartbeat = now + g.timeouts.HeartbeatInterval
	g.round++
	g.roundSentAt[g.round] = now
	for _, id := range g.otherMembers() {
		g.send(id, &schema.Heartbeat{
			Group: g.name, Term: g.term, Round: g.round, AckedRound: g.peers[id].round,
			Commit: g.commit, CommitTerm: g.termAt(g.commit), CommitConfirmed: g.commit >= g.noOpIndex,
			WallOffsetUs: g.wallOffset,
		})
	}
	g.confirmRounds(now)
}

func (g *Group) handleHeartbeat(now eventloop.Micros, from string, m *schema.Heartbeat) {
	if !g.acceptLeader(now, from, m.Term) {
		return
	}
	// After a restart it isn't known how far this log agrees with the leader's, and in
	// an idle group no Append comes to find out.
	if m.CommitTerm > 0 && m.Commit <= g.LastIndex() && g.termAt(m.Commit) == m.CommitTerm {
		g.matchIndex = max(g.matchIndex, m.Commit)
	}
	g.commitTo(min(m.Commit, g.matchIndex))
	if m.WallOffsetUs != 0 {
		g.wallOffset = m.WallOffsetUs
	}
	g.updateFreshness(m)
	g.heartbeatResponses = append(g.heartbeatResponses, heartbeatResponse{m.Round, now})
	if len(g.heartbeatResponses) > maxHeartbeatResponses {
		g.heartbeatResponses = g.heartbeatResponses[1:]
	}
	g.send(from, &schema.HeartbeatResponse{Group: g.name, Term: g.term, Round: m.Round, Match: min(g.matchIndex, g.stable)})
}

// updateFreshness advances freshAsOf if this replica has applied all that a heartbeat
// says is committed. The heartbeat may have been delayed for any time, by the network
// or because this process was suspended. What is certain is that it was sent after
// the leader received the acknowledgement that it names.
func (g *Group) updateFreshness(m *schema.Heartbeat) {
	for _, response := range g.heartbeatResponses {
		if m.CommitConfirmed && g.commit >= m.Commit && response.round == m.AckedRound {
			g.freshAsOf = max(g.freshAsOf, response.receivedAt)
		}
	}
}

func (g *Group) handleHeartbeatResponse(now eventloop.Micros, from string, m *schema.HeartbeatResponse) {
	p := g.acceptResponse(now, from, m.Term)
	if p == nil {
		return
	}
	p.round = max(p.round, m.Round)
	if sent, open := g.roundSentAt[m.Round]; open && (p.minRoundTrip == 0 || now-sent < p.minRoundTrip) {
		p.minRoundTrip = max(now-sent, 1)
	}
	p.clockOffset = m.WallUs - int64(now)
	g.advanceMatch(now, from, p, m.Match)
	g.retransmitIfStalled(now, from, p)
	g.confirmRounds(now)
}

// confirmRounds notes the last round that a quorum has acknowledged, and serves the
// reads that waited for it.
func (g *Group) confirmRounds(now eventloop.Micros) {
	round := g.quorumValue(func(id string) uint64 {
		if id == g.self {
			return g.round
		}
		return g.peers[id].round
	})
	if sent, open := g.roundSentAt[round]; open {
		g.quorumRoundSentAt = max(g.quorumRoundSentAt, sent)
		for former := range g.roundSentAt {
			if former < round {
				delete(g.roundSentAt, former)
			}
		}
	}
	g.serveReads(round)
}
