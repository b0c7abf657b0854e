package raft

// Elections: deadlines, votes, and taking up the lead.

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func (g *Group) resetElectionDeadline(now eventloop.Micros) {
	spread := int64(g.timeouts.ElectionMax - g.timeouts.ElectionMin)
	g.electionDeadline = now + g.timeouts.ElectionMin + eventloop.Micros(g.rng.Int64N(spread+1))
}

func (g *Group) setHardState(term uint64, vote string) {
	if term == g.term && vote == g.vote {
		return
	}
	g.term, g.vote = term, vote
	g.hardStateSeq++
	g.ready.Changes = append(g.ready.Changes, &schema.StoreChange{Group: g.name, HardState: &schema.HardState{Term: term, Vote: vote}})
}

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
	g.peers, g.votes, g.pendingReads, g.roundSentAt, g.transferee, g.heartbeatResponses, g.bootstrapRoundsLeft = nil, nil, nil, nil, "", nil, 0
	g.resetElectionDeadline(now)
}

func (g *Group) startPreVote(now eventloop.Micros) {
	g.preVoteCount++
	g.role = preCandidate
	g.votes = map[string]bool{g.self: true}
	g.requestVotes(g.term+1, true, false)
	g.countVotes(now)
}

func (g *Group) campaign(now eventloop.Micros, isTransfer bool) {
	g.role = candidate
	g.lead = ""
	g.setHardState(g.term+1, g.self)
	g.votes = map[string]bool{g.self: true}
	g.requestVotes(g.term, false, isTransfer)
	g.resetElectionDeadline(now)
	g.countVotes(now)
}

// BootstrapCampaign makes a voter campaign in a group that is just being founded, so that it
// needn't wait for an election's time. Nobody can lead before the first term, so
// no pre-vote is needed; whoever has lived through any term stays as it is.
// Others may found the group a little later and drop the first calls, so they
// are made again for a while.
func (g *Group) BootstrapCampaign(now eventloop.Micros) {
	if g.term > 0 || g.lastIndex() > 0 || g.role != follower || !g.isVoter(g.self) || g.readOnly {
		return
	}
	g.bootstrapRoundsLeft, g.nextBootstrapRound = maxBootstrapVoteRounds, now+bootstrapVoteInterval
	g.campaign(now, false)
}

// Bootstrap gives the first voters to a replica that was opened by a leader's word
// before it heard that it is one of them itself.
func (g *Group) Bootstrap(voters []string) {
	if g.snapshot.Index > 0 || len(g.snapshot.MemberSet.GetVoters()) > 0 || len(voters) == 0 {
		return
	}
	g.snapshot = &schema.Snapshot{MemberSet: &schema.MemberSet{Voters: voters}}
	g.refreshMemberSet()
	g.ready.Changes = append(g.ready.Changes, &schema.StoreChange{Group: g.name, Snapshot: g.snapshot})
}

func (g *Group) requestVotes(term uint64, preVote, isTransfer bool) {
	for _, id := range g.memberSet.Voters {
		if id != g.self {
			g.send(id, &schema.VoteRequest{Group: g.name, Term: term, LastIndex: g.lastIndex(), LastTerm: g.lastTerm(), PreVote: preVote, LeaderTransfer: isTransfer})
		}
	}
}

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
	g.quorumAckedAt = now
	g.groupTimeBase, g.groupTimeStart, g.clockJumpAt = g.lastEntryTime(), now, 0
	g.updatePeers(now, g.lastIndex()+1)
	g.noOpIndex = g.lastIndex() + 1
	// A leader knows what is committed only through a record of its own term.
	g.appendEntry(now, &schema.Entry{Kind: schema.EntryKind_ENTRY_NO_OP})
	g.broadcastHeartbeat(now)
}

// TransferLeadership hands the leadership to a voter that has the whole log.
func (g *Group) TransferLeadership(now eventloop.Micros, to string) {
	if g.role != leader || to == g.self || !g.isVoter(to) || g.transferee != "" {
		return
	}
	g.transferee, g.transferDeadline = to, now+g.timeouts.ElectionMin
	g.trySendTimeoutNow()
}

// Transferee is whom the leadership is being handed to, if it is.
func (g *Group) Transferee() string { return g.transferee }

func (g *Group) trySendTimeoutNow() {
	if p := g.peers[g.transferee]; g.transferee != "" && p != nil && p.match == g.lastIndex() {
		g.send(g.transferee, &schema.TimeoutNow{Group: g.name, Term: g.term})
	}
}

func (g *Group) handleVoteRequest(now eventloop.Micros, from string, m *schema.VoteRequest) {
	// Who hears a leader keeps it: a replica that was cut off and comes back
	// disturbs nobody. A leader's own wish to pass goes through.
	hasLeader := g.lead != "" && (g.role == leader || now-g.lastHeard < g.timeouts.ElectionMin)
	// Who has just started may have answered a leader the moment before, and that one
	// acts on the answer.
	if (hasLeader || now < g.formerLeaseExpiry) && !m.LeaderTransfer {
		if m.PreVote {
			g.send(from, &schema.VoteResponse{Group: g.name, Term: g.term, PreVote: true})
		}
		return
	}
	upToDate := m.LastTerm > g.lastTerm() || m.LastTerm == g.lastTerm() && m.LastIndex >= g.lastIndex()
	if m.PreVote {
		// Of two that ask at once with equal logs one goes first, or the two of
		// three that are left would split the vote.
		campaignsFirst := g.role == preCandidate && g.self < from && m.LastTerm == g.lastTerm() && m.LastIndex == g.lastIndex()
		if m.Term > g.term && upToDate && !campaignsFirst && !g.readOnly {
			g.send(from, &schema.VoteResponse{Group: g.name, Term: m.Term, Granted: true, PreVote: true})
		} else {
			g.send(from, &schema.VoteResponse{Group: g.name, Term: g.term, PreVote: true})
		}
		return
	}
	if m.Term > g.term {
		g.becomeFollower(now, m.Term, "")
	}
	granted := m.Term == g.term && upToDate && (g.vote == "" || g.vote == from)
	if granted {
		g.setHardState(g.term, from)
		g.resetElectionDeadline(now)
	}
	g.send(from, &schema.VoteResponse{Group: g.name, Term: g.term, Granted: granted})
}

func (g *Group) handleVoteResponse(now eventloop.Micros, from string, m *schema.VoteResponse) {
	if !m.Granted {
		if m.Term > g.term {
			g.becomeFollower(now, m.Term, "")
		}
		return
	}
	expected := m.PreVote && g.role == preCandidate && m.Term == g.term+1 || !m.PreVote && g.role == candidate && m.Term == g.term
	if expected {
		g.votes[from] = true
		g.countVotes(now)
	}
}
