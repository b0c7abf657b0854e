package raft

// Membership: voters and learners, changed by one server at a time (chapter 4).

import (
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// MaxLearnerLag is how many entries a learner may lack to be promoted to voter.
const MaxLearnerLag = 64

// NotSingleServerChange means that a proposed member set differs from the current one
// by more than one voter, or has no voters. The name in quotes is the one that error texts
// print.
var NotSingleServerChange = Errors.NewType("not_one_step")

// MemberSet is the group's newest membership, committed or not; it must not be
// changed.
func (g *Group) MemberSet() *schema.MemberSet { return g.memberSet }

// MemberSetIndex is the index of the newest membership change, committed or not.
func (g *Group) MemberSetIndex() uint64 { return g.memberSetIndex }

// refreshMemberSet finds the newest membership. A replica uses it as soon as it is in
// the log, without waiting for the commit (section 4.1).
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

// memberSetAsOf is the membership in force at an index.
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

func (g *Group) isMember(id string) bool {
	return g.isVoter(id) || slices.Contains(g.memberSet.Learners, id)
}

// otherMembers are the voters and learners but this replica.
func (g *Group) otherMembers() []string {
	var ids []string
	for _, id := range slices.Concat(g.memberSet.Voters, g.memberSet.Learners) {
		if id != g.self {
			ids = append(ids, id)
		}
	}
	return ids
}

func (g *Group) quorum() int { return quorumOf(g.memberSet.Voters) }

func quorumOf(voters []string) int { return len(voters)/2 + 1 }

// ProposeMemberSet appends a membership change. It returns NotLeader; Busy while the
// last change isn't committed, while nothing of this term is, or for a new voter that
// hasn't caught up as a learner; NotSingleServerChange if more than one voter changes.
func (g *Group) ProposeMemberSet(now eventloop.Micros, memberSet *schema.MemberSet) error {
	if g.role != leader {
		return g.notLeader()
	}
	// Without an entry of its own term a new leader might overlap a change of a former
	// one that it doesn't know (the fault of the dissertation's section 4.1).
	if g.memberSetIndex > g.commit || g.commit < g.noOpIndex {
		return Busy.New("%s: the last membership change isn't committed", g.name)
	}
	if err := g.checkSingleServerChange(memberSet); err != nil {
		return err
	}
	g.appendEntry(now, &schema.Entry{Kind: schema.EntryKind_ENTRY_MEMBER_SET, MemberSet: memberSet})
	return nil
}

// checkSingleServerChange refuses a change after which a majority of the old voters
// and one of the new could have none in common, however stale the request may be. At
// most one voter is added or removed; one that is added must have caught up as a
// learner, so that the group tolerates as many failures at once.
func (g *Group) checkSingleServerChange(next *schema.MemberSet) error {
	old := g.memberSet
	added, removed := difference(next.Voters, old.Voters), difference(old.Voters, next.Voters)
	if len(next.Voters) == 0 || len(added)+len(removed) > 1 {
		return NotSingleServerChange.New("%s: from voters %v to %v is more than one change", g.name, old.Voters, next.Voters)
	}
	for _, id := range added {
		if !slices.Contains(old.Learners, id) || !g.IsCaughtUp(id) {
			return Busy.New("%s: %s hasn't caught up", g.name, id)
		}
	}
	return nil
}

// difference are the ids that aren't in another list.
func difference(ids, other []string) []string {
	var missing []string
	for _, id := range ids {
		if !slices.Contains(other, id) {
			missing = append(missing, id)
		}
	}
	return missing
}

// IsCaughtUp tells whether a learner may be promoted: it holds the newest membership
// change, so all that was committed before it, and lacks at most MaxLearnerLag
// entries. The lag alone says nothing in a new group, whose whole log is shorter.
func (g *Group) IsCaughtUp(id string) bool {
	p := g.peers[id]
	return p != nil && p.match >= g.memberSetIndex && g.LastIndex()-p.match <= MaxLearnerLag
}

// FailureTolerance is how many of some voters may fail before no quorum of them is
// left: those that responded to this leader within an election timeout and lack
// little of the log, less a quorum. It may be negative.
func (g *Group) FailureTolerance(now eventloop.Micros, voters []string) int {
	healthy := 0
	for _, id := range voters {
		if id == g.self || g.isHealthy(now, g.peers[id]) {
			healthy++
		}
	}
	return healthy - quorumOf(voters)
}

func (g *Group) isHealthy(now eventloop.Micros, p *progress) bool {
	return p != nil && p.lastHeard > 0 && now-p.lastHeard <= g.timeouts.ElectionMin && g.LastIndex()-p.match <= maxInflightEntries
}

// notifyRemoved replicates the change that removes them to those peers that are no
// members any more: otherwise they would go on starting elections, and a node that
// is being drained waits for it.
func (g *Group) notifyRemoved(now eventloop.Micros) {
	for _, id := range slices.Sorted(maps.Keys(g.peers)) {
		if !g.isMember(id) {
			g.replicateTo(now, id)
		}
	}
}
