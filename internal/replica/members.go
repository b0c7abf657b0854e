package replica

// Changes of a group's membership as the controller asks for them.

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
)

const (
	heardSpan    = 500 * eventloop.Milli // who answered that lately may be counted on
	promotionLag = 64                    // records that a learner may lack when it becomes a voter
)

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
		if !isCaughtUp(now, r.group, m.Promote) {
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

// isCaughtUp tells whether a learner may be made a voter: it has taken records, lacks
// few, and answered just now. The log of a young group is shorter than what it may
// lack, so one that was never reached would else be counted too; and of four voters,
// one lost and one without a replica, there is no majority, nor will there ever be.
func isCaughtUp(now eventloop.Micros, group *raft.Group, id string) bool {
	match, heard := group.Match(id)
	return match > 0 && now-heard < heardSpan && group.Last()-match <= promotionLag
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
