package raft

// The first term of a new group, whose voters open it independently.

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	bootstrapVoteInterval  = 50 * eventloop.Millisecond // between two rounds of vote requests
	maxBootstrapVoteRounds = 12
)

// Bootstrap sets the initial voters of a replica that was created by a leader's message
// before its node knew them. It has no effect on a replica that has a snapshot or voters,
// or if voters is empty.
func (g *Group) Bootstrap(voters []string) {
	if g.snapshot.Index > 0 || len(g.snapshot.MemberSet.GetVoters()) > 0 || len(voters) == 0 {
		return
	}
	g.snapshot = &schema.Snapshot{MemberSet: &schema.MemberSet{Voters: voters}}
	g.refreshMemberSet()
	g.ready.Changes = append(g.ready.Changes, &schema.StoreChange{Group: g.name, Snapshot: g.snapshot})
}

// BootstrapCampaign makes a voter of a new group campaign at once, so that the group
// needn't wait for an election timeout. Before the first term there can be no
// leader, so no pre-vote is needed; a replica that has seen any term is left as it
// is. Other voters may open the group later and miss the first vote requests, so
// these are repeated for a while.
func (g *Group) BootstrapCampaign(now eventloop.Micros) {
	if g.term > 0 || g.LastIndex() > 0 || g.role != follower || !g.isVoter(g.self) || g.readOnly {
		return
	}
	g.bootstrapRoundsLeft, g.nextBootstrapRound = maxBootstrapVoteRounds, now+bootstrapVoteInterval
	g.campaign(now, false)
}

func (g *Group) repeatBootstrapVote(now eventloop.Micros) {
	if g.role != candidate || g.bootstrapRoundsLeft == 0 || now < g.nextBootstrapRound {
		return
	}
	g.bootstrapRoundsLeft--
	g.nextBootstrapRound = now + bootstrapVoteInterval
	g.requestVotes(g.term, false, false)
}
