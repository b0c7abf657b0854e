package replica

// Changes of a group's membership as the controller asks for them.

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
)

// heardSpan is how long ago whoever is counted on may have answered last.
const heardSpan = 500 * eventloop.Millisecond

func (t *Table) reroster(now eventloop.Micros, m *schema.ChangeMembers) {
	r := t.groups[m.Group]
	// An old copy of the cluster state knows nothing of a lease that has gone to another.
	if r == nil || !r.group.IsLeader() || !t.isClusterStateFresh(now) || !t.clusterState.HoldsControllerLease(m.FencingToken) {
		return
	}
	memberSet := proto.Clone(r.group.MemberSet()).(*schema.MemberSet)
	switch {
	case m.AddLearner != "" && !slices.Contains(memberSet.Voters, m.AddLearner) && !slices.Contains(memberSet.Learners, m.AddLearner):
		memberSet.Learners = append(memberSet.Learners, m.AddLearner)
	case m.Promote != "" && slices.Contains(memberSet.Learners, m.Promote):
		if !mayVote(now, r.group, m.Promote) {
			return
		}
		memberSet.Learners = without(memberSet.Learners, m.Promote)
		memberSet.Voters = append(memberSet.Voters, m.Promote)
	case m.Remove == t.id:
		// Who leads hands that over first, so that the group isn't left without.
		return
	case m.Remove != "" && (slices.Contains(memberSet.Voters, m.Remove) || slices.Contains(memberSet.Learners, m.Remove)):
		memberSet.Voters, memberSet.Learners = without(memberSet.Voters, m.Remove), without(memberSet.Learners, m.Remove)
		if len(memberSet.Voters) == 0 {
			return
		}
	default:
		return
	}
	// The controller's view may be old, or its order late: whatever it believes, no step
	// leaves a quorum that the losses to be borne could break, unless it was so before.
	margin := r.group.FailureTolerance(now, memberSet.Voters)
	if margin < t.losses && margin < r.group.FailureTolerance(now, r.group.MemberSet().Voters) {
		return
	}
	// A refusal (a change is under way) is no matter: the controller asks again.
	_ = r.group.ProposeMemberSet(now, memberSet)
}

// mayVote tells whether a learner may be made a voter: it has caught up, and answered
// just now. Of four voters, one lost and one that doesn't answer, there is no majority.
func mayVote(now eventloop.Micros, group *raft.Group, id string) bool {
	_, heard := group.PeerProgress(id)
	return now-heard < heardSpan && group.IsCaughtUp(id)
}

func without(list []string, item string) []string {
	var kept []string
	for _, each := range list {
		if each != item {
			kept = append(kept, each)
		}
	}
	return kept
}

// hasNewMembers tells once of each change of members that is committed, and of each
// learner that has caught up.
func (r *replica) hasNewMembers() bool {
	g, isNews := r.group, false
	if at := g.MemberSetIndex(); at <= g.CommitIndex() && at != r.membersTold {
		r.membersTold, isNews = at, true
	}
	for _, id := range g.MemberSet().Learners {
		if g.IsCaughtUp(id) && r.caughtTold != id {
			r.caughtTold, isNews = id, true
		}
	}
	return isNews
}

// isNeeded tells whether a process that was warned has something left to hand over: a
// group that it leads, or a vote that a store which has come of late is to get.
func (t *Table) isNeeded(now eventloop.Micros) bool {
	age := t.age(now)
	for _, r := range t.groups {
		if r.group.IsLeader() && len(r.group.MemberSet().Voters) > 1 || t.isWarned && t.isReplaced(now, r.group, age) {
			return true
		}
	}
	return false
}

// isReplaced tells whether our vote in a group is being given to another.
func (t *Table) isReplaced(now eventloop.Micros, g *raft.Group, age eventloop.Micros) bool {
	members := g.MemberSet()
	if g.Leader() == "" || !slices.Contains(members.Voters, t.id) {
		return false
	}
	isUnderWay := len(members.Learners) > 0 || len(members.Voters)%2 == 0
	return isUnderWay || t.roll != nil && t.roll.FindNewlyJoined(now, liveSpan, age, members.Voters) != ""
}

// noteLease keeps when the lease was last seen renewed, which tells the cluster's age.
func (t *Table) noteLease(now eventloop.Micros) {
	if until := t.clusterState.ControllerLeaseExpiry(); until != t.until {
		t.until, t.untilAt = until, now
	}
}

// age is for how long the cluster has been there, at least; 0: no lease was seen yet.
func (t *Table) age(now eventloop.Micros) eventloop.Micros {
	if t.until == 0 {
		return 0
	}
	return eventloop.Micros(t.until-clusterstate.ControllerLeaseUs) + now - t.untilAt
}
