package raft

// This file starts the first term of a new group. Its voters create their replicas
// independently of each other.

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	bootstrapVoteInterval  = 50 * eventloop.Millisecond // time between two rounds of vote requests
	maxBootstrapVoteRounds = 12                         // number of times that the vote requests are repeated
)

// Bootstrap sets the initial voters of a replica that its node created on a message from
// the leader, before the node knew the voters. It has no effect on a replica that has a
// snapshot or voters, or if voters is empty.
func (g *Group) Bootstrap(voters []string) {
	if g.snapshot.Index > 0 || len(g.snapshot.MemberSet.GetVoters()) > 0 || len(voters) == 0 {
		return
	}
	g.snapshot = &schema.Snapshot{MemberSet: &schema.MemberSet{Voters: voters}}
	g.refreshMemberSet()
	g.ready.Changes = append(g.ready.Changes, &schema.StoreChange{Group: g.name, Snapshot: g.snapshot})
}

// BootstrapCampaign makes a voter of a new group campaign at once, so that the group
// needn't wait for an election timeout. It needs no pre-vote, because there can be no
// leader before the first term, and it has no effect on a replica that has seen any term.
// Other voters may create their replicas later and miss the first vote requests, so the
// candidate repeats them for a while (see repeatBootstrapVote).
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
