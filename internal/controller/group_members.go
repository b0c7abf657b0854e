package controller

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
)

// reconcileMembers requests the next membership change of each group that needs one. It replaces
// lost and departing voters: another storage node is added as a learner, catches up and is
// promoted. It also adds voters to a group with too few and removes them from one with too many.
func (c *Controller) reconcileMembers(now eventloop.Micros, effects eventloop.Effects) {
	statuses := c.groupStatuses(now)
	clusterStateStatus := statuses[clusterstate.GroupName]
	if clusterStateStatus == nil {
		return
	}
	for _, group := range slices.Sorted(maps.Keys(statuses)) {
		change := c.nextMembershipChange(now, statuses[group], clusterStateStatus)
		if change == nil {
			continue
		}
		// An identical change waits until the effect of the previous one can be visible; a
		// different change doesn't.
		action := strings.Join([]string{"members", group, change.AddLearner, change.Promote, change.Remove}, "/")
		if c.allowAction(now, action, actionInterval) {
			change.Group, change.FencingToken, change.MemberSetIndex = group, c.fencingToken, statuses[group].MemberSetIndex
			effects.Send(statuses[group].Leader, change)
		}
	}
}

// voterCondition describes the problems of a group's voters.
type voterCondition struct {
	lost          []string // ids of the lost voters
	withSuccessor string   // a lost voter that won't come back because it has a successor; empty if there is none
	departing     string   // a live voter whose vote another node should get; empty if there is none
}

func (v *voterCondition) isHealthy() bool { return len(v.lost) == 0 && v.departing == "" }

// voterCondition returns the condition of a group's voters.
func (c *Controller) voterCondition(now eventloop.Micros, status *schema.QueueStatus) *voterCondition {
	condition := &voterCondition{}
	for _, id := range status.Voters {
		if !c.isLost(now, id) {
			continue
		}
		condition.lost = append(condition.lost, id)
		if c.hasSuccessor(now, id) {
			condition.withSuccessor = id
		}
	}
	condition.departing = c.departingVoter(now, status)
	return condition
}

// nextMembershipChange returns the next change of a group's members, or nil if none is needed or
// possible. Only one node is added, promoted or removed at a time, as in section 4.1 of the Raft
// dissertation.
//
// A group with an odd number of voters needs a quorum of the same size after one of them is
// removed. Therefore a lost voter may be removed before or after its replacement is promoted:
// neither order endangers the quorum or leaves an entry with fewer copies. A lost voter that may
// come back and vote again is removed after the promotion. A voter that has a successor won't
// come back, so it is removed as soon as the replacement has caught up, and the group tolerates
// its failures again from the promotion on. Two voters are never removed before a promotion.
func (c *Controller) nextMembershipChange(now eventloop.Micros, status, clusterStateStatus *schema.QueueStatus) *schema.ChangeMembers {
	condition := c.voterCondition(now, status)
	switch {
	case len(status.Learners) > 0:
		return c.nextLearnerChange(now, status, condition)
	case len(status.Voters) > c.votersPerGroup:
		return c.nextVoterRemoval(status, clusterStateStatus, condition)
	case len(status.Voters) == c.votersPerGroup && condition.isHealthy():
		return nil
	}
	leaving := cmp.Or(condition.withSuccessor, firstOrEmpty(condition.lost), condition.departing)
	if id := c.selectLearner(now, status, clusterStateStatus, leaving); id != "" {
		return &schema.ChangeMembers{AddLearner: id}
	}
	return nil
}

// nextLearnerChange returns the next change of a group that has a learner. It removes a learner
// that is lost or no longer needed, and promotes a learner that has caught up. It returns nil while
// the learner is catching up.
func (c *Controller) nextLearnerChange(now eventloop.Micros, status *schema.QueueStatus, condition *voterCondition) *schema.ChangeMembers {
	id := status.Learners[0]
	hasAllVoters := len(status.Voters) >= c.votersPerGroup
	switch {
	case c.isLost(now, id):
		return &schema.ChangeMembers{Remove: id}
	case condition.isHealthy() && hasAllVoters:
		return &schema.ChangeMembers{Remove: id} // the voter that it was meant to replace is back
	case status.ReplicaLag[id] > raft.MaxLearnerLag:
		return nil
	case condition.withSuccessor != "" && hasAllVoters:
		return &schema.ChangeMembers{Remove: condition.withSuccessor}
	}
	return &schema.ChangeMembers{Promote: id}
}

// nextVoterRemoval returns the removal of a voter from a group with too many. If all voters are
// live it removes a surplus one, because an even number of voters tolerates no more failures than
// one voter fewer.
func (c *Controller) nextVoterRemoval(status, clusterStateStatus *schema.QueueStatus, condition *voterCondition) *schema.ChangeMembers {
	id := cmp.Or(condition.withSuccessor, firstOrEmpty(condition.lost), condition.departing)
	if id == "" {
		id = c.surplusVoter(status, clusterStateStatus)
	}
	if id == "" {
		return nil
	}
	return &schema.ChangeMembers{Remove: id}
}

// departingVoter returns a voter that should hand its vote over while it is still live, so that the
// group never has one voter fewer, or an empty string if there is none. It returns a draining voter
// if a newly joined storage node can replace it; otherwise the draining voter is assumed to
// restart. Failing that it returns a voter in the wrong zone.
func (c *Controller) departingVoter(now eventloop.Micros, status *schema.QueueStatus) string {
	// During a replacement the newly joined node may already be a voter, and FindNewlyJoined leaves
	// out voters.
	isChanging := len(status.Learners) > 0 || len(status.Voters) > c.votersPerGroup
	replacement := c.view.FindNewlyJoined(now, c.timeouts.SuspectTimeout, c.clusterAge(now), status.Voters)
	if isChanging || replacement != "" {
		for _, id := range status.Voters {
			if voter, found := c.view.Members[id]; found && voter.Member.Draining {
				return id
			}
		}
	}
	return c.misplacedVoter(now, status)
}

// canLearn reports whether a storage node can become a learner of a group.
func (c *Controller) canLearn(now eventloop.Micros, status *schema.QueueStatus, id string) bool {
	return !slices.Contains(status.Voters, id) && !slices.Contains(status.Learners, id) &&
		c.isAlive(now, id) && !c.view.Members[id].Member.Draining && !c.view.RefusesWrites(id)
}

// selectLearner returns the storage node to add next as a learner, or an empty string if there is
// none. If leaving isn't empty, the learner is meant to replace that voter. Voters of the cluster
// state's group are preferred, so that few machines hold the replicas of all groups; they are
// spread over the zones.
func (c *Controller) selectLearner(now eventloop.Micros, status, clusterStateStatus *schema.QueueStatus, leaving string) string {
	canJoin := func(id string) bool { return c.canLearn(now, status, id) && c.canReplace(status, leaving, id) }
	for _, id := range clusterStateStatus.Voters {
		if canJoin(id) {
			return id
		}
	}
	votersByZone := map[string]int{}
	for _, id := range status.Voters {
		if !c.isLost(now, id) {
			votersByZone[c.zoneOf(id)]++
		}
	}
	best := ""
	for _, id := range c.liveStorageNodes(now) {
		if canJoin(id) && (best == "" || c.isBetterSpread(status, leaving, id, best, votersByZone)) {
			best = id
		}
	}
	return best
}

// surplusVoter returns the voter to remove from a group with too many, never the leader. It prefers
// a voter whose removal leaves the others best spread over zones and regions, then one that isn't a
// voter of the cluster state, then one in the zone with the most voters.
func (c *Controller) surplusVoter(status, clusterStateStatus *schema.QueueStatus) string {
	votersByZone := map[string]int{}
	for _, id := range status.Voters {
		votersByZone[c.zoneOf(id)]++
	}
	cost := func(id string) []int {
		isClusterStateVoter := 0
		if slices.Contains(clusterStateStatus.Voters, id) {
			isClusterStateVoter = 1
		}
		return []int{c.excessVoters(status, id, ""), isClusterStateVoter, -votersByZone[c.zoneOf(id)]}
	}
	best := ""
	for _, id := range status.Voters {
		if id == status.Leader {
			continue
		}
		if best == "" || slices.Compare(cost(id), cost(best)) < 0 {
			best = id
		}
	}
	return best
}

// firstOrEmpty returns the first id, or an empty string if there is none.
func firstOrEmpty(ids []string) string {
	if len(ids) == 0 {
		return ""
	}
	return ids[0]
}
