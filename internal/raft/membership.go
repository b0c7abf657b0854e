package raft

// This file implements membership, which consists of voters and learners. It is changed by
// one server at a time (chapter 4).

import (
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// MaxLearnerLag is the maximum number of entries that a learner may lack when it is promoted
// to voter.
const MaxLearnerLag = 64

// NotSingleServerChange means that a proposed member set differs from the current one by
// more than one voter, or has no voters. Error messages contain the name in quotes.
var NotSingleServerChange = Errors.NewType("not_one_step")

// MemberSet returns the group's newest membership, committed or not. The caller must not
// modify it.
func (g *Group) MemberSet() *schema.MemberSet { return g.memberSet }

// MemberSetIndex returns the index of the newest membership change, committed or not.
func (g *Group) MemberSetIndex() uint64 { return g.memberSetIndex }

// refreshMemberSet sets memberSet to the newest membership in the log. A replica uses a
// membership as soon as it is in the log, without waiting until it is committed (section
// 4.1).
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

// memberSetAsOf returns the membership in effect at an index.
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

// otherMembers returns the ids of all voters and learners except this replica.
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

// ProposeMemberSet appends a membership change to the leader's log. The error is NotLeader
// on a replica that isn't the leader; Busy while the last membership change or every entry
// of this term is uncommitted, or if a new voter hasn't caught up as a learner; and
// NotSingleServerChange if more than one voter changes or no voter remains.
func (g *Group) ProposeMemberSet(now eventloop.Micros, memberSet *schema.MemberSet) error {
	if g.role != leader {
		return g.notLeader()
	}
	// Until an entry of its own term is committed, a new leader may not know of a change
	// that an earlier leader made. Without this check the two changes could overlap: that is
	// the known safety bug in the algorithm of the dissertation's section 4.1.
	if g.memberSetIndex > g.commit || g.commit < g.noOpIndex {
		return Busy.New("group %s accepts no membership change until the last one and an entry of the current term are committed", g.name)
	}
	if err := g.checkSingleServerChange(memberSet); err != nil {
		return err
	}
	g.appendEntry(now, &schema.Entry{Kind: schema.EntryKind_ENTRY_MEMBER_SET, MemberSet: memberSet})
	return nil
}

// checkSingleServerChange refuses a change after which a majority of the old voters and a
// majority of the new voters might have no voter in common, even if the request is based on
// an outdated membership. Therefore at most one voter may be added or removed. An added
// voter must have caught up as a learner, so that the group can tolerate as many failures
// as its size allows as soon as the change takes effect.
func (g *Group) checkSingleServerChange(next *schema.MemberSet) error {
	old := g.memberSet
	added, removed := difference(next.Voters, old.Voters), difference(old.Voters, next.Voters)
	if len(next.Voters) == 0 || len(added)+len(removed) > 1 {
		return NotSingleServerChange.New("group %s: changing the voters from %v to %v adds or removes more than one voter or leaves none", g.name, old.Voters, next.Voters)
	}
	for _, id := range added {
		if !slices.Contains(old.Learners, id) || !g.IsCaughtUp(id) {
			return Busy.New("group %s: %s can't become a voter before it has caught up as a learner", g.name, id)
		}
	}
	return nil
}

// difference returns the ids that aren't in other.
func difference(ids, other []string) []string {
	var missing []string
	for _, id := range ids {
		if !slices.Contains(other, id) {
			missing = append(missing, id)
		}
	}
	return missing
}

// IsCaughtUp reports whether a learner may be promoted to voter. It must hold the newest
// membership change, and thereby every entry that was committed before that change, and
// must lack at most MaxLearnerLag entries. The lag alone isn't enough in a new group, whose
// whole log may be shorter than MaxLearnerLag.
func (g *Group) IsCaughtUp(id string) bool {
	p := g.peers[id]
	return p != nil && p.match >= g.memberSetIndex && g.LastIndex()-p.match <= MaxLearnerLag
}

// FailureTolerance returns how many of the given voters may fail while a quorum of them
// remains: the number of healthy voters minus the quorum. A voter is healthy if it
// responded to this leader within the shortest election timeout and lacks few entries of
// the log. The result is negative if there is no healthy quorum.
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

// notifyRemoved replicates a membership change to the peers that it removes. Otherwise they
// would continue to start elections. A node that is being drained also waits for the change
// that removes it.
func (g *Group) notifyRemoved(now eventloop.Micros) {
	for _, id := range slices.Sorted(maps.Keys(g.peers)) {
		if !g.isMember(id) {
			g.replicateTo(now, id)
		}
	}
}
