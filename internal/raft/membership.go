package raft

// Membership of a group: voters and learners, changed one at a time through the log.

import (
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// CaughtUp is how many records a learner may lack to be given a vote.
const CaughtUp = 64

func (g *Group) findMemberSet() {
	g.memberSet, g.memberSetAt = g.base.MemberSet, g.base.Index
	if g.memberSet == nil {
		g.memberSet = &schema.MemberSet{}
	}
	for _, record := range g.log {
		if record.Kind == schema.EntryKind_ENTRY_MEMBER_SET {
			g.memberSet, g.memberSetAt = record.MemberSet, record.Index
		}
	}
}

func (g *Group) memberSetUnder(index uint64) *schema.MemberSet {
	memberSet := g.base.MemberSet
	for _, record := range g.log {
		if record.Index <= index && record.Kind == schema.EntryKind_ENTRY_MEMBER_SET {
			memberSet = record.MemberSet
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
	if g.memberSetAt > g.commit || g.commit < g.first {
		return Busy.New("%s: the last change of members isn't committed", g.name)
	}
	if err := g.checkStep(memberSet); err != nil {
		return err
	}
	g.add(now, &schema.Entry{Kind: schema.EntryKind_ENTRY_MEMBER_SET, MemberSet: memberSet})
	return nil
}

// IsCaughtUp tells whether a learner may be given a vote: it holds the latest change of
// members, so all that was committed before it, and lacks few of the records since. The
// lag alone says nothing in a young group, whose whole log is that short.
func (g *Group) IsCaughtUp(id string) bool {
	p := g.peers[id]
	return p != nil && p.match >= g.memberSetAt && g.lastIndex()-p.match <= CaughtUp
}

// Margin is how many of these voters may be lost before no quorum of them is left:
// those that answer this leader and lack little, less a quorum.
func (g *Group) Margin(now eventloop.Micros, voters []string) int {
	live := 0
	for _, id := range voters {
		p := g.peers[id]
		isNear := p != nil && p.heard > 0 && now-p.heard <= g.times.ElectionLeast && g.lastIndex()-p.match <= maxFlight
		if id == g.self || isNear {
			live++
		}
	}
	return live - (len(voters)/2 + 1)
}

// MemberSetAt is the index of the latest change of members, committed or not.
func (g *Group) MemberSetAt() uint64 { return g.memberSetAt }

// dismiss sends the record that drops them to those who are no members any more: they
// would go on asking for votes, and one that leaves waits for it.
func (g *Group) dismiss(now eventloop.Micros) {
	for _, id := range slices.Sorted(maps.Keys(g.peers)) {
		if !g.isVoter(id) && !slices.Contains(g.memberSet.Learners, id) {
			g.feed(now, id)
		}
	}
}
