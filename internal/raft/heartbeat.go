package raft

// This file implements rounds of heartbeats. A round proves the leader's contact with a
// quorum, which extends its lease; it also tells the followers the commit index and how
// fresh their state is.

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// maxHeartbeatResponses is the number of most recently acknowledged heartbeats that a
// follower remembers.
const maxHeartbeatResponses = 16

// heartbeatResponse records a heartbeat that this follower acknowledged.
type heartbeatResponse struct {
	round      uint64
	receivedAt eventloop.Micros // when the heartbeat arrived
}

// HoldsLeaderLease reports whether this leader may act outside the group. It may if its
// no-op entry is committed and a quorum acknowledged a round that was sent no longer ago
// than the lease lasts. The leader gives up the lease when it sends a TimeoutNow, because
// the voters grant the target their votes without waiting for the lease to expire. A
// process that was suspended finds its lease expired when it resumes, even before it
// learns that another replica leads.
func (g *Group) HoldsLeaderLease(now eventloop.Micros) bool {
	return g.role == leader && !g.hasSentTimeoutNow && g.commit >= g.noOpIndex && now-g.quorumRoundSentAt <= g.timeouts.leaderLease()
}

// FreshAsOf returns a time at which this replica's applied state included every entry that
// was committed then, or 0 if no such time is known.
func (g *Group) FreshAsOf() eventloop.Micros {
	if g.role == leader {
		// A new leader's log may hold entries that are committed without its knowledge.
		if g.commit < g.noOpIndex {
			return 0
		}
		return g.quorumRoundSentAt
	}
	return g.freshAsOf
}

// BroadcastCommit sends a round of heartbeats at once, so that followers learn the commit
// index without waiting for the next round or the next entry.
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
	// After a restart this replica doesn't know how far its log agrees with the leader's,
	// and in an idle group no Append arrives to show it. A matching term at the commit
	// index proves that the logs agree up to there.
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

// updateFreshness advances freshAsOf if this replica has committed every entry that a
// heartbeat reports as committed. The time of the heartbeat's arrival can't be used: the
// heartbeat may have been delayed for any time, by the network or because this process was
// suspended. It is certain, however, that the leader sent it after it had received this
// replica's response to the round AckedRound, so freshAsOf becomes the time when the
// heartbeat of that round arrived.
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
	if sentAt, ok := g.roundSentAt[m.Round]; ok && (p.minRoundTrip == 0 || now-sentAt < p.minRoundTrip) {
		p.minRoundTrip = max(now-sentAt, 1)
	}
	p.clockOffset = m.WallUs - int64(now)
	g.advanceMatch(now, from, p, m.Match)
	g.retransmitIfStalled(now, from, p)
	g.confirmRounds(now)
}

// confirmRounds determines the last round that a quorum has acknowledged, records when it
// was sent, and releases the reads that waited for it.
func (g *Group) confirmRounds(now eventloop.Micros) {
	round := g.quorumValue(func(id string) uint64 {
		if id == g.self {
			return g.round
		}
		return g.peers[id].round
	})
	if sentAt, ok := g.roundSentAt[round]; ok {
		g.quorumRoundSentAt = max(g.quorumRoundSentAt, sentAt)
		for earlier := range g.roundSentAt {
			if earlier < round {
				delete(g.roundSentAt, earlier)
			}
		}
	}
	g.serveReads(round)
}
