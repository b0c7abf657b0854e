package raft

// Elections: deadlines, votes, and taking up the lead.

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func (g *Group) resetDeadline(now eventloop.Micros) {
	spread := int64(g.times.ElectionMost - g.times.ElectionLeast)
	g.deadline = now + g.times.ElectionLeast + eventloop.Micros(g.rng.Int64N(spread+1))
}

func (g *Group) setHard(term uint64, vote string) {
	if term == g.term && vote == g.vote {
		return
	}
	g.term, g.vote = term, vote
	g.hardSeq++
	g.out.Changes = append(g.out.Changes, &schema.StoreChange{Group: g.name, HardState: &schema.HardState{Term: term, Vote: vote}})
}

func (g *Group) follow(now eventloop.Micros, term uint64, lead string) {
	if term > g.term {
		g.setHard(term, "")
		g.matched = 0
	}
	if g.role != follower {
		g.matched = 0
	}
	g.role, g.lead = follower, lead
	g.isYoung = g.isYoung && lead == ""
	g.peers, g.votes, g.reads, g.rounds, g.passTo, g.replies, g.calls = nil, nil, nil, nil, "", nil, 0
	g.resetDeadline(now)
}

func (g *Group) ask(now eventloop.Micros) {
	g.asks++
	g.role = asking
	g.votes = map[string]bool{g.self: true}
	g.requestVotes(g.term+1, true, false)
	g.countVotes(now)
}

func (g *Group) campaign(now eventloop.Micros, asked bool) {
	g.role = candidate
	g.lead = ""
	g.setHard(g.term+1, g.self)
	g.votes = map[string]bool{g.self: true}
	g.requestVotes(g.term, false, asked)
	g.resetDeadline(now)
	g.countVotes(now)
}

// Stand makes a voter campaign in a group that is just being founded, so that it
// needn't wait for an election's time. Nobody can lead before the first term, so
// no pre-vote is needed; whoever has lived through any term stays as it is.
// Others may found the group a little later and drop the first calls, so they
// are made again for a while.
func (g *Group) Stand(now eventloop.Micros) {
	if g.term > 0 || g.lastIndex() > 0 || g.role != follower || !g.isVoter(g.self) || g.isReadOnly {
		return
	}
	g.calls, g.callAt = mostCalls, now+callRest
	g.campaign(now, false)
}

// Found gives the first voters to a replica that was opened by a leader's word
// before it heard that it is one of them itself.
func (g *Group) Found(voters []string) {
	if g.base.Index > 0 || len(g.base.MemberSet.GetVoters()) > 0 || len(voters) == 0 {
		return
	}
	g.base = &schema.Snapshot{MemberSet: &schema.MemberSet{Voters: voters}}
	g.findMemberSet()
	g.out.Changes = append(g.out.Changes, &schema.StoreChange{Group: g.name, Snapshot: g.base})
}

func (g *Group) requestVotes(term uint64, pre, asked bool) {
	for _, id := range g.memberSet.Voters {
		if id != g.self {
			g.post(id, &schema.VoteRequest{Group: g.name, Term: term, LastIndex: g.lastIndex(), LastTerm: g.lastTerm(), PreVote: pre, LeaderTransfer: asked})
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
	case g.role == asking && !g.isReadOnly:
		g.campaign(now, false)
	case g.role == candidate && !g.dirty():
		g.becomeLeader(now)
	}
}

func (g *Group) becomeLeader(now eventloop.Micros) {
	g.role, g.lead, g.isYoung = leader, g.self, false
	g.peers = map[string]*progress{}
	g.rounds = map[uint64]eventloop.Micros{}
	g.reads = nil
	g.quorumAt = now
	g.timeBase, g.timeMono, g.steppedAt = g.lastAt(), now, 0
	g.syncPeers(now, g.lastIndex()+1)
	g.first = g.lastIndex() + 1
	// A leader knows what is committed only through a record of its own term.
	g.add(now, &schema.Entry{Kind: schema.EntryKind_ENTRY_NO_OP})
	g.beat(now)
}

// Pass hands the leadership to a voter that has the whole log.
func (g *Group) Pass(now eventloop.Micros, to string) {
	if g.role != leader || to == g.self || !g.isVoter(to) || g.passTo != "" {
		return
	}
	g.passTo, g.passUntil = to, now+g.times.ElectionLeast
	g.tryPass()
}

// Passing is whom the leadership is being handed to, if it is.
func (g *Group) Passing() string { return g.passTo }

func (g *Group) tryPass() {
	if p := g.peers[g.passTo]; g.passTo != "" && p != nil && p.match == g.lastIndex() {
		g.post(g.passTo, &schema.TimeoutNow{Group: g.name, Term: g.term})
	}
}

func (g *Group) onVote(now eventloop.Micros, from string, m *schema.VoteRequest) {
	// Who hears a leader keeps it: a replica that was cut off and comes back
	// disturbs nobody. A leader's own wish to pass goes through.
	isLed := g.lead != "" && (g.role == leader || now-g.heard < g.times.ElectionLeast)
	// Who has just started may have answered a leader the moment before, and that one
	// acts on the answer.
	if (isLed || now < g.boundUntil) && !m.LeaderTransfer {
		if m.PreVote {
			g.post(from, &schema.VoteResponse{Group: g.name, Term: g.term, PreVote: true})
		}
		return
	}
	isFresh := m.LastTerm > g.lastTerm() || m.LastTerm == g.lastTerm() && m.LastIndex >= g.lastIndex()
	if m.PreVote {
		// Of two that ask at once with equal logs one goes first, or the two of
		// three that are left would split the vote.
		isFirst := g.role == asking && g.self < from && m.LastTerm == g.lastTerm() && m.LastIndex == g.lastIndex()
		if m.Term > g.term && isFresh && !isFirst && !g.isReadOnly {
			g.post(from, &schema.VoteResponse{Group: g.name, Term: m.Term, Granted: true, PreVote: true})
		} else {
			g.post(from, &schema.VoteResponse{Group: g.name, Term: g.term, PreVote: true})
		}
		return
	}
	if m.Term > g.term {
		g.follow(now, m.Term, "")
	}
	isGranted := m.Term == g.term && isFresh && (g.vote == "" || g.vote == from)
	if isGranted {
		g.setHard(g.term, from)
		g.resetDeadline(now)
	}
	g.post(from, &schema.VoteResponse{Group: g.name, Term: g.term, Granted: isGranted})
}

func (g *Group) onVoteReply(now eventloop.Micros, from string, m *schema.VoteResponse) {
	if !m.Granted {
		if m.Term > g.term {
			g.follow(now, m.Term, "")
		}
		return
	}
	isMine := m.PreVote && g.role == asking && m.Term == g.term+1 || !m.PreVote && g.role == candidate && m.Term == g.term
	if isMine {
		g.votes[from] = true
		g.countVotes(now)
	}
}
