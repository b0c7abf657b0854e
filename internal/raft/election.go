package raft

// This file implements leader election: timeouts, pre-votes and votes (sections 3.4, 4.2.3
// and 9.6).

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// These delays replace the election timeout of a replica that has just restarted and knows
// no leader. They are shorter than the ordinary election timeout.
const (
	restartYieldDelay = 150 * eventloop.Millisecond // how much longer the other replicas wait than the former leader
	restartJitter     = 150 * eventloop.Millisecond // maximum random delay that is added for the other replicas
	restartRetryDelay = 100 * eventloop.Millisecond // minimum time between two pre-votes
)

func (g *Group) resetElectionDeadline(now eventloop.Micros) {
	spread := int64(g.timeouts.ElectionMax - g.timeouts.ElectionMin)
	g.electionDeadline = now + g.timeouts.ElectionMin + eventloop.Micros(g.rng.Int64N(spread+1))
}

// shortenElectionDeadline sets the first election deadline after a restart. The replica has
// acknowledged no leader since the restart, so it needs to wait only for a lease that it
// may have extended just before. If a leader is still running, the pre-vote doesn't
// disturb it. A replica whose last vote was for itself, like the former leader's, has the
// earliest deadline, so that each group keeps its leader when all processes restart.
func (g *Group) shortenElectionDeadline(now eventloop.Micros) {
	g.formerLeaseExpiry = now + g.timeouts.leaderLease()
	g.electionDeadline = g.formerLeaseExpiry
	if g.vote != g.self {
		g.electionDeadline += restartYieldDelay + eventloop.Micros(g.rng.Int64N(int64(restartJitter)))
	}
}

// electionTimeout handles an expired election timeout: the replica no longer follows a
// leader, and starts a pre-vote if it may be elected.
func (g *Group) electionTimeout(now eventloop.Micros) {
	g.lead = ""
	g.resetElectionDeadline(now)
	if g.justRestarted {
		g.electionDeadline = now + restartRetryDelay + eventloop.Micros(g.rng.Int64N(int64(restartRetryDelay)))
	}
	if g.isVoter(g.self) && !g.readOnly {
		g.startPreVote(now)
	}
}

// becomeFollower makes this replica a follower in a term, which must not be less than the
// current one. The parameter lead is the id of the term's leader, or empty if unknown.
func (g *Group) becomeFollower(now eventloop.Micros, term uint64, lead string) {
	if term > g.term {
		g.setHardState(term, "")
		g.matchIndex = 0
	}
	if g.role != follower {
		g.matchIndex = 0
	}
	g.role, g.lead = follower, lead
	g.justRestarted = g.justRestarted && lead == ""
	g.votes = nil
	g.bootstrapRoundsLeft = 0
	g.heartbeatResponses = nil
	g.peers = nil
	g.roundSentAt = nil
	g.pendingReads = nil
	g.transferee, g.hasSentTimeoutNow = "", false
	g.resetElectionDeadline(now)
}

func (g *Group) startPreVote(now eventloop.Micros) {
	g.preVoteCount++
	g.role = preCandidate
	g.votes = map[string]bool{g.self: true}
	g.requestVotes(g.term+1, true, false)
	g.countVotes(now)
}

// campaign starts an election in the next term. If isTransfer is set, the leader itself
// requested the election by a TimeoutNow: the vote requests say so, and the voters then
// don't refuse their votes because of the leader's lease.
func (g *Group) campaign(now eventloop.Micros, isTransfer bool) {
	g.role = candidate
	g.lead = ""
	g.setHardState(g.term+1, g.self)
	g.votes = map[string]bool{g.self: true}
	g.requestVotes(g.term, false, isTransfer)
	g.resetElectionDeadline(now)
	g.countVotes(now)
}

func (g *Group) requestVotes(term uint64, preVote, isTransfer bool) {
	for _, id := range g.memberSet.Voters {
		if id == g.self {
			continue
		}
		g.send(id, &schema.VoteRequest{
			Group: g.name, Term: term, LastIndex: g.LastIndex(), LastTerm: g.lastTerm(),
			PreVote: preVote, LeaderTransfer: isTransfer,
		})
	}
}

// countVotes checks whether a quorum has granted its votes. A pre-candidate then campaigns,
// and a candidate becomes the leader. A candidate's own vote, like any other vote, counts
// only once it is synced.
func (g *Group) countVotes(now eventloop.Micros) {
	count := 0
	for _, id := range g.memberSet.Voters {
		if g.votes[id] {
			count++
		}
	}
	if count < g.quorum() {
		return
	}
	switch {
	case g.role == preCandidate && !g.readOnly:
		g.campaign(now, false)
	case g.role == candidate && !g.hasUnsyncedHardState():
		g.becomeLeader(now)
	}
}

func (g *Group) becomeLeader(now eventloop.Micros) {
	g.role, g.lead, g.justRestarted = leader, g.self, false
	g.peers = map[string]*progress{}
	g.roundSentAt = map[uint64]eventloop.Micros{}
	g.pendingReads = nil
	g.quorumRoundSentAt = now
	g.groupTimeBase, g.groupTimeStart, g.clockJumpAt = g.lastEntryTime(), now, 0
	g.updatePeers(now, g.LastIndex()+1)
	g.noOpIndex = g.LastIndex() + 1
	// Entries of earlier terms are committed only together with a later entry of this term
	// (section 3.6.2).
	g.appendEntry(now, &schema.Entry{Kind: schema.EntryKind_ENTRY_NO_OP})
	g.broadcastHeartbeat(now)
}

func (g *Group) handleVoteRequest(now eventloop.Micros, from string, m *schema.VoteRequest) {
	if g.protectsLeader(now) && !m.LeaderTransfer {
		if m.PreVote {
			g.send(from, &schema.VoteResponse{Group: g.name, Term: g.term, PreVote: true})
		}
		return
	}
	if m.PreVote {
		g.handlePreVoteRequest(from, m)
		return
	}
	if m.Term > g.term {
		g.becomeFollower(now, m.Term, "")
	}
	granted := m.Term == g.term && g.isUpToDate(m) && (g.vote == "" || g.vote == from)
	if granted {
		g.setHardState(g.term, from)
		g.resetElectionDeadline(now)
	}
	g.send(from, &schema.VoteResponse{Group: g.name, Term: g.term, Granted: granted})
}

// protectsLeader reports whether this replica must refuse votes because a leader may hold
// its lease. That may be a leader that it has heard from lately, so that a replica that
// returns from a partition doesn't disturb the group, or a leader that it acknowledged
// just before it restarted.
func (g *Group) protectsLeader(now eventloop.Micros) bool {
	hasLeader := g.lead != "" && (g.role == leader || now-g.lastHeard < g.timeouts.ElectionMin)
	return hasLeader || now < g.formerLeaseExpiry
}

// isUpToDate reports whether a candidate's log is at least as up to date as this replica's
// (section 3.6.1).
func (g *Group) isUpToDate(m *schema.VoteRequest) bool {
	return m.LastTerm > g.lastTerm() || m.LastTerm == g.lastTerm() && m.LastIndex >= g.LastIndex()
}

func (g *Group) handlePreVoteRequest(from string, m *schema.VoteRequest) {
	// Of two pre-candidates with equal logs, the one with the smaller id campaigns first.
	// Otherwise the two remaining replicas of a group of three would split the vote.
	campaignsFirst := g.role == preCandidate && g.self < from && m.LastTerm == g.lastTerm() && m.LastIndex == g.LastIndex()
	if m.Term > g.term && g.isUpToDate(m) && !campaignsFirst && !g.readOnly {
		g.send(from, &schema.VoteResponse{Group: g.name, Term: m.Term, Granted: true, PreVote: true})
	} else {
		g.send(from, &schema.VoteResponse{Group: g.name, Term: g.term, PreVote: true})
	}
}

func (g *Group) handleVoteResponse(now eventloop.Micros, from string, m *schema.VoteResponse) {
	if !m.Granted {
		if m.Term > g.term {
			g.becomeFollower(now, m.Term, "")
		}
		return
	}
	isPreVote := m.PreVote && g.role == preCandidate && m.Term == g.term+1
	isVote := !m.PreVote && g.role == candidate && m.Term == g.term
	if isPreVote || isVote {
		g.votes[from] = true
		g.countVotes(now)
	}
}
