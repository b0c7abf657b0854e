package raft

// Membership of a group: voters and learners, changed one at a time through the log.

import (
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// MaxLearnerLag is how many records a learner may lack to be given a vote.
const MaxLearnerLag = 64

func (g *Group) refreshMemberSet() {
	g.memberSet, g.memberSetIndex = g.snapshot.MemberSet, g.snapshot.Index
	if g.memberSet == nil {
		g.memberSet = &schema.MemberSet{}
	}
	for _, entry := range g.log {
		if entry.Kind == schema.EntryKind_ENTRY_MEMBER_SET {
			g.memberSet, g.memberSetIndex = entry.MemberSet, entry.Index
		}
	}
}

func (g *Group) memberSetAsOf(index uint64) *schema.MemberSet {
	memberSet := g.snapshot.MemberSet
	for _, entry := range g.log {
		if entry.Index <= index && entry.Kind == schema.EntryKind_ENTRY_MEMBER_SET {
			memberSet = entry.MemberSet
		}
	}
	return memberSet
}

func (g *Group) isVoter(id string) bool { return slices.Contains(g.memberSet.Voters, id) }

func (g *Group) quorum() int { return len(g.memberSet.Voters)/2 + 1 }

// ProposeMemberSet changes the members by one; the next change waits until this
// one is committed.
func (g *Group) ProposeMemberSet(now eventloop.Micros, memberSet *schema.MemberSet) error {
	if g.role != leader {
		return NotLeader.New("%s is led by %q", g.name, g.lead)
	}
	if g.memberSetIndex > g.commit || g.commit < g.noOpIndex {
		return Busy.New("%s: the last change of members isn't committed", g.name)
	}
	if err := g.checkSingleServerChange(memberSet); err != nil {
		return err
	}
	g.appendEntry(now, &schema.Entry{Kind: schema.EntryKind_ENTRY_MEMBER_SET, MemberSet: memberSet})
	return nil
}

// IsCaughtUp tells whether a learner may be given a vote: it holds the latest change of
// members, so all that was committed before it, and lacks few of the records since. The
// lag alone says nothing in a young group, whose whole log is that short.
func (g *Group) IsCaughtUp(id string) bool {
	p := g.peers[id]
	return p != nil && p.match >= g.memberSetIndex && g.lastIndex()-p.match <= MaxLearnerLag
}

// FailureTolerance is how many of these voters may be lost before no quorum of them is left:
// those that answer this leader and lack little, less a quorum.
func (g *Group) FailureTolerance(now eventloop.Micros, voters []string) int {
	alive := 0
	for _, id := range voters {
		p := g.peers[id]
		healthy := p != nil && p.lastHeard > 0 && now-p.lastHeard <= g.timeouts.ElectionMin && g.lastIndex()-p.match <= maxInflightEntries
		if id == g.self || healthy {
			alive++
		}
	}
	return alive - (len(voters)/2 + 1)
}

// MemberSetIndex is the index of the latest change of members, committed or not.
func (g *Group) MemberSetIndex() uint64 { return g.memberSetIndex }

// notifyRemoved sends the record that drops them to those who are no members any more: they
// would go on asking for votes, and one that leaves waits for it.
func (g *Group) notifyRemoved(now eventloop.Micros) {
	for _, id := range slices.Sorted(maps.Keys(g.peers)) {
		if !g.isVoter(id) && !slices.Contains(g.memberSet.Learners, id) {
			g.replicateTo(now, id)
		}
	}
}
