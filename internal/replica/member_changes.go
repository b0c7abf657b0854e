package replica

// This file handles the member changes that the controller requests, and determines whether
// this node must still hand over leadership or a vote before it leaves.

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
)

// responseTimeout is the time since a learner's last response after which it isn't promoted.
const responseTimeout = 500 * eventloop.Millisecond

// handleChangeMembers proposes a requested change of a group's members. A request that can't
// be carried out is dropped: the controller works from the status of the groups and sends
// another request.
func (h *Host) handleChangeMembers(now eventloop.Micros, m *schema.ChangeMembers) {
	r := h.groups[m.Group]
	// A stale copy of the cluster state doesn't show whether another process has acquired
	// the controller lease.
	if r == nil || !r.group.IsLeader() || !h.isClusterStateFresh(now) || !h.stateMachine.HoldsControllerLease(m.FencingToken) {
		return
	}
	// If the member set has changed since, the request was decided on outdated members.
	if m.MemberSetIndex != r.group.MemberSetIndex() {
		return
	}
	memberSet := h.changedMemberSet(now, r.group, m)
	if memberSet == nil {
		return
	}
	// The controller's view may be stale or its request late. A change is rejected if the
	// group would then tolerate fewer failures than required, and fewer than at present.
	margin := r.group.FailureTolerance(now, memberSet.Voters)
	if margin < h.toleratedLosses && margin < r.group.FailureTolerance(now, r.group.MemberSet().Voters) {
		return
	}
	// An error means that another change is in progress. The request is dropped then.
	_ = r.group.ProposeMemberSet(now, memberSet)
}

// changedMemberSet returns a group's member set after the requested change, or nil if the
// change isn't possible.
func (h *Host) changedMemberSet(now eventloop.Micros, group *raft.Group, m *schema.ChangeMembers) *schema.MemberSet {
	memberSet := proto.Clone(group.MemberSet()).(*schema.MemberSet)
	isVoter := func(id string) bool { return slices.Contains(memberSet.Voters, id) }
	isLearner := func(id string) bool { return slices.Contains(memberSet.Learners, id) }
	switch {
	case m.AddLearner != "" && !isVoter(m.AddLearner) && !isLearner(m.AddLearner):
		memberSet.Learners = append(memberSet.Learners, m.AddLearner)
	case m.Promote != "" && isLearner(m.Promote):
		if !canPromote(now, group, m.Promote) {
			return nil
		}
		memberSet.Learners = removeID(memberSet.Learners, m.Promote)
		memberSet.Voters = append(memberSet.Voters, m.Promote)
	case m.Remove == h.id:
		// This node leads the group. It must hand over the leadership before it is removed,
		// so that the group keeps a leader.
		return nil
	case m.Remove != "" && (isVoter(m.Remove) || isLearner(m.Remove)):
		memberSet.Voters, memberSet.Learners = removeID(memberSet.Voters, m.Remove), removeID(memberSet.Learners, m.Remove)
		if len(memberSet.Voters) == 0 {
			return nil
		}
	default:
		return nil
	}
	return memberSet
}

// canPromote reports whether a learner may become a voter: it must have caught up and have
// responded within responseTimeout. If an unresponsive learner became the fourth voter while
// another voter is lost, the group would have no majority.
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

// takeMembershipChange reports whether a change of members was committed or a learner has
// caught up since the previous call. Each of these is reported only once.
func (r *replica) takeMembershipChange() bool {
	g, changed := r.group, false
	if index := g.MemberSetIndex(); index <= g.CommitIndex() && index != r.notifiedMemberSetIndex {
		r.notifiedMemberSetIndex, changed = index, true
	}
	for _, id := range g.MemberSet().Learners {
		if g.IsCaughtUp(id) && r.notifiedLearner != id {
			r.notifiedLearner, changed = id, true
		}
	}
	return changed
}

// hasHandoverPending reports whether this node must not shut down yet: it leads a group that
// has other voters or, while it is draining, its vote in a group is being replaced.
func (h *Host) hasHandoverPending(now eventloop.Micros) bool {
	age := h.clusterAge(now)
	for _, r := range h.groups {
		if r.group.IsLeader() && len(r.group.MemberSet().Voters) > 1 {
			return true
		}
		if h.isDraining && h.isBeingReplaced(now, r.group, age) {
			return true
		}
	}
	return false
}

// isBeingReplaced reports whether this node's vote in a group is moving to another node: a
// change of members is in progress, or a newly joined storage node can receive the vote.
func (h *Host) isBeingReplaced(now eventloop.Micros, g *raft.Group, age eventloop.Micros) bool {
	members := g.MemberSet()
	if g.Leader() == "" || !slices.Contains(members.Voters, h.id) {
		return false
	}
	isChanging := len(members.Learners) > 0 || len(members.Voters)%2 == 0
	return isChanging || h.membership != nil && h.membership.FindNewlyJoined(now, livenessTimeout, age, members.Voters) != ""
}

// recordControllerLease records the expiry of the controller lease, and when this node first
// saw it.
func (h *Host) recordControllerLease(now eventloop.Micros) {
	if until := h.stateMachine.ControllerLeaseExpiry(); until != h.controllerLeaseUntil {
		h.controllerLeaseUntil, h.controllerLeaseSeenAt = until, now
	}
}

// clusterAge returns a lower bound of the cluster's age, or 0 if no controller lease has been
// seen yet. The bound is the cluster state's time at the last renewal of the controller
// lease, ControllerLeaseUs before its expiry, plus the time since this node first saw it.
func (h *Host) clusterAge(now eventloop.Micros) eventloop.Micros {
	if h.controllerLeaseUntil == 0 {
		return 0
	}
	return eventloop.Micros(h.controllerLeaseUntil-clusterstate.ControllerLeaseUs) + now - h.controllerLeaseSeenAt
}
