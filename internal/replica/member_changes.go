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

// responseTimeout is how long ago whoever is counted on may have answered last.
const responseTimeout = 500 * eventloop.Millisecond

func (h *Host) handleChangeMembers(now eventloop.Micros, m *schema.ChangeMembers) {
	r := h.groups[m.Group]
	// An old copy of the cluster state knows nothing of a lease that has gone to another.
	if r == nil || !r.group.IsLeader() || !h.isClusterStateFresh(now) || !h.clusterState.HoldsControllerLease(m.FencingToken) {
		return
	}
	memberSet := proto.Clone(r.group.MemberSet()).(*schema.MemberSet)
	switch {
	case m.AddLearner != "" && !slices.Contains(memberSet.Voters, m.AddLearner) && !slices.Contains(memberSet.Learners, m.AddLearner):
		memberSet.Learners = append(memberSet.Learners, m.AddLearner)
	case m.Promote != "" && slices.Contains(memberSet.Learners, m.Promote):
		if !canPromote(now, r.group, m.Promote) {
			return
		}
		memberSet.Learners = removeID(memberSet.Learners, m.Promote)
		memberSet.Voters = append(memberSet.Voters, m.Promote)
	case m.Remove == h.id:
		// Who leads hands that over first, so that the group isn't left without.
		return
	case m.Remove != "" && (slices.Contains(memberSet.Voters, m.Remove) || slices.Contains(memberSet.Learners, m.Remove)):
		memberSet.Voters, memberSet.Learners = removeID(memberSet.Voters, m.Remove), removeID(memberSet.Learners, m.Remove)
		if len(memberSet.Voters) == 0 {
			return
		}
	default:
		return
	}
	// The controller's view may be old, or its order late: whatever it believes, no step
	// leaves a quorum that the losses to be borne could break, unless it was so before.
	margin := r.group.FailureTolerance(now, memberSet.Voters)
	if margin < h.toleratedLosses && margin < r.group.FailureTolerance(now, r.group.MemberSet().Voters) {
		return
	}
	// A refusal (a change is under way) is no matter: the controller asks again.
	_ = r.group.ProposeMemberSet(now, memberSet)
}

// canPromote tells whether a learner may be made a voter: it has caught up, and answered
// just now. Of four voters, one lost and one that doesn't answer, there is no majority.
func canPromote(now eventloop.Micros, group *raft.Group, id string) bool {
	_, lastHeard := group.PeerProgress(id)
	return now-lastHeard < responseTimeout && group.IsCaughtUp(id)
}

func removeID(ids []string, removed string) []string {
	var kept []string
	for _, id := range ids {
		if id != removed {
			kept = append(kept, id)
		}
	}
	return kept
}

// takeMembershipChange tells once of each change of members that is committed, and of each
// learner that has caught up.
func (r *replica) takeMembershipChange() bool {
	g, changed := r.group, false
	if at := g.MemberSetIndex(); at <= g.CommitIndex() && at != r.notifiedMemberSetIndex {
		r.notifiedMemberSetIndex, changed = at, true
	}
	for _, id := range g.MemberSet().Learners {
		if g.IsCaughtUp(id) && r.notifiedLearner != id {
			r.notifiedLearner, changed = id, true
		}
	}
	return changed
}

// hasHandoverPending tells whether a process that was warned has something left to hand over: a
// group that it leads, or a vote that a store which has come of late is to get.
func (h *Host) hasHandoverPending(now eventloop.Micros) bool {
	age := h.clusterAge(now)
	for _, r := range h.groups {
		if r.group.IsLeader() && len(r.group.MemberSet().Voters) > 1 || h.isDraining && h.isBeingReplaced(now, r.group, age) {
			return true
		}
	}
	return false
}

// isBeingReplaced tells whether our vote in a group is being given to another.
func (h *Host) isBeingReplaced(now eventloop.Micros, g *raft.Group, age eventloop.Micros) bool {
	members := g.MemberSet()
	if g.Leader() == "" || !slices.Contains(members.Voters, h.id) {
		return false
	}
	isChanging := len(members.Learners) > 0 || len(members.Voters)%2 == 0
	return isChanging || h.membership != nil && h.membership.FindNewlyJoined(now, livenessTimeout, age, members.Voters) != ""
}

// recordControllerLease keeps when the lease was last seen renewed, which tells the cluster's age.
func (h *Host) recordControllerLease(now eventloop.Micros) {
	if until := h.clusterState.ControllerLeaseExpiry(); until != h.controllerLeaseUntil {
		h.controllerLeaseUntil, h.controllerLeaseSeenAt = until, now
	}
}

// clusterAge is for how long the cluster has been there, at least; 0: no lease was seen yet.
func (h *Host) clusterAge(now eventloop.Micros) eventloop.Micros {
	if h.controllerLeaseUntil == 0 {
		return 0
	}
	return eventloop.Micros(h.controllerLeaseUntil-clusterstate.ControllerLeaseUs) + now - h.controllerLeaseSeenAt
}
