package replica

// Changes of a group's membership as the controller asks for them.

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
)

// heardSpan is how long ago whoever is counted on may have answered last.
const heardSpan = 500 * eventloop.Milli

func (t *Table) reroster(now eventloop.Micros, m *schema.Reroster) {
	r := t.groups[m.Group]
	// An old copy of the cluster state knows nothing of a lease that has gone to another.
	if r == nil || !r.group.IsLeader() || !t.isClusterStateFresh(now) || !t.clusterState.IsController(m.Lease) {
		return
	}
	memberSet := proto.Clone(r.group.MemberSet()).(*schema.MemberSet)
	switch {
	case m.Learn != "" && !slices.Contains(memberSet.Voters, m.Learn) && !slices.Contains(memberSet.Learners, m.Learn):
		memberSet.Learners = append(memberSet.Learners, m.Learn)
	case m.Promote != "" && slices.Contains(memberSet.Learners, m.Promote):
		if !mayVote(now, r.group, m.Promote) {
			return
		}
		memberSet.Learners = without(memberSet.Learners, m.Promote)
		memberSet.Voters = append(memberSet.Voters, m.Promote)
	case m.Drop != "" && (slices.Contains(memberSet.Voters, m.Drop) || slices.Contains(memberSet.Learners, m.Drop)):
		memberSet.Voters, memberSet.Learners = without(memberSet.Voters, m.Drop), without(memberSet.Learners, m.Drop)
		if len(memberSet.Voters) == 0 {
			return
		}
	default:
		return
	}
	// A refusal (a change is under way) is no matter: the controller asks again.
	_ = r.group.ProposeMemberSet(now, memberSet)
}

// mayVote tells whether a learner may be made a voter: it has caught up, and answered
// just now. Of four voters, one lost and one that doesn't answer, there is no majority.
func mayVote(now eventloop.Micros, group *raft.Group, id string) bool {
	_, heard := group.Match(id)
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
