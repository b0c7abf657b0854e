package controller

// Who belongs to each group: lost members are replaced, one change at a time.

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

// reconcileMembers gives a lost voter's place to a spare store, which learns, catches up
// and votes.
func (c *Controller) reconcileMembers(now eventloop.Micros, effects eventloop.Effects) {
	statuses := c.groupStatuses(now)
	root := statuses[clusterstate.Group]
	if root == nil {
		return
	}
	for _, group := range slices.Sorted(maps.Keys(statuses)) {
		change := c.nextMembershipChange(now, statuses[group], root)
		// The same act again waits for its effect to be heard of; the next one doesn't.
		if change != nil && c.allowAction(now, strings.Join([]string{"members", group, change.AddLearner, change.Promote, change.Remove}, "/"), actionInterval) {
			change.Group, change.FencingToken = group, c.fencingToken
			effects.Send(statuses[group].Leader, change)
		}
	}
}

// isLost tells whether a store has been silent for so long that its place may be
// given to another. Where an empty store has come of late, it is the other.
func (c *Controller) isLost(now eventloop.Micros, id string) bool {
	known, isKnown := c.view.Members[id]
	if isKnown && now-known.LastHeard < c.timeouts.SuspectTimeout {
		delete(c.missingSince, id)
		return false
	}
	missing := c.missingFor(now, id)
	if isKnown {
		// Its last word is older than our notice of that.
		missing += c.timeouts.SuspectTimeout
	}
	return c.hasSuccessor(now, id) || missing > c.timeouts.ReplaceTimeout || missing > c.timeouts.ReplaceByNewTimeout && c.hasNewlyJoined(now)
}

// hasSuccessor tells whether another store lives at a silent one's address: its
// disk is gone, so it won't come back, and waiting for it would only leave its
// groups a voter short when the next machine goes.
//
// The book lets a silent process go as soon as another is heard at its address, so
// where it lived is kept here.
func (c *Controller) hasSuccessor(now eventloop.Micros, id string) bool {
	previous, isKnown := c.lastLocations[id]
	if !isKnown || previous.address == "" {
		return false
	}
	for other, known := range c.view.Members {
		if other != id && known.Member.HasStorage && known.Member.InternalAddress == previous.address && known.LastHeard > previous.lastHeard && c.view.IsAlive(other, now, c.timeouts.SuspectTimeout) {
			return true
		}
	}
	return false
}

func (c *Controller) missingFor(now eventloop.Micros, id string) eventloop.Micros {
	since, isKnown := c.missingSince[id]
	if !isKnown {
		c.missingSince[id] = now
		return 0
	}
	return now - since
}

// hasNewlyJoined tells whether a store that has never run before has come of late.
func (c *Controller) hasNewlyJoined(now eventloop.Micros) bool {
	return c.view.FindNewlyJoined(now, c.timeouts.ReplaceTimeout, c.clusterAge(now), nil) != ""
}

// clusterAge is for how long the cluster has been there, at least: until the last grant of the
// lease by the cluster state's time, which stands still without a leader, and since then
// by our own clock.
func (c *Controller) clusterAge(now eventloop.Micros) eventloop.Micros {
	if c.leaseExpiryUs == 0 {
		return 0
	}
	return eventloop.Micros(c.leaseExpiryUs-clusterstate.ControllerLeaseUs) + now - c.leaseExpirySeenAt
}

// observeStorageNodes keeps in mind who is silent, and where the stores live, also before this
// machine becomes the controller.
func (c *Controller) observeStorageNodes(now eventloop.Micros) {
	for id, known := range c.view.Members {
		if known.Member.HasStorage {
			c.lastLocations[id] = lastLocation{address: known.Member.InternalAddress, zone: known.Member.Zone, lastHeard: known.LastHeard}
			c.isLost(now, id)
		}
	}
}

// nextMembershipChange is the next change of a group's members, one server at a time.
//
// An odd group's quorum is as large without one of its voters, so neither order
// of dropping the lost one and promoting the spare puts a quorum at risk, nor has
// a record fewer copies. Who is only silent may come back and count, so it is
// dropped last. Whose disk is gone won't, so it is dropped as soon as the spare
// has caught up: then the group bears its losses from the promotion on. Two are
// never dropped before a promotion.
func (c *Controller) nextMembershipChange(now eventloop.Micros, status, root *schema.QueueStatus) *schema.ChangeMembers {
	var lost []string
	replaced := ""
	for _, id := range status.Voters {
		if !c.isLost(now, id) {
			continue
		}
		lost = append(lost, id)
		if c.hasSuccessor(now, id) {
			replaced = id
		}
	}
	departing := c.departingVoter(now, status)
	complete := len(lost) == 0 && departing == ""
	if len(status.Learners) > 0 {
		// One change at a time: whoever learns is seen through first.
		id := status.Learners[0]
		switch {
		case c.isLost(now, id):
			return &schema.ChangeMembers{Remove: id}
		case complete && len(status.Voters) >= c.votersPerGroup:
			// Whoever it was to stand for is back.
			return &schema.ChangeMembers{Remove: id}
		case status.ReplicaLag[id] > raft.MaxLearnerLag:
			return nil
		case replaced != "" && len(status.Voters) >= c.votersPerGroup:
			return &schema.ChangeMembers{Remove: replaced}
		}
		return &schema.ChangeMembers{Promote: id}
	}
	if len(status.Voters) > c.votersPerGroup {
		if replaced != "" {
			return &schema.ChangeMembers{Remove: replaced}
		}
		if len(lost) > 0 {
			return &schema.ChangeMembers{Remove: lost[0]}
		}
		if departing != "" {
			return &schema.ChangeMembers{Remove: departing}
		}
		// All are back, and an even group bears no more than one less.
		if id := c.surplusVoter(status, root); id != "" {
			return &schema.ChangeMembers{Remove: id}
		}
		return nil
	}
	if complete && len(status.Voters) >= c.votersPerGroup {
		return nil
	}
	if id := c.selectLearner(now, status, root, cmp.Or(replaced, firstOrEmpty(lost), departing)); id != "" {
		return &schema.ChangeMembers{AddLearner: id}
	}
	return nil
}

// departingVoter is a voter that is to give its vote to another while it is still there, so that
// the group never does with one voter less: one that has said it leaves while a store
// that has come of late can take its place (without such a store it is taken to be
// restarting), or one that stands in the wrong zone.
func (c *Controller) departingVoter(now eventloop.Micros, status *schema.QueueStatus) string {
	// Once promoted the new one is no newcomer any more, and the leaver still to go.
	isUnderWay := len(status.Learners) > 0 || len(status.Voters) > c.votersPerGroup
	if isUnderWay || c.view.FindNewlyJoined(now, c.timeouts.SuspectTimeout, c.clusterAge(now), status.Voters) != "" {
		for _, id := range status.Voters {
			if known, isKnown := c.view.Members[id]; isKnown && known.Member.Draining {
				return id
			}
		}
	}
	return c.misplacedVoter(now, status)
}

// canLearn tells whether a store can be made a learner of a group.
func (c *Controller) canLearn(now eventloop.Micros, status *schema.QueueStatus, id string) bool {
	return !slices.Contains(status.Voters, id) && !slices.Contains(status.Learners, id) &&
		c.view.IsAlive(id, now, c.timeouts.SuspectTimeout) && !c.view.Members[id].Member.Draining && !c.view.RefusesWrites(id)
}

// selectLearner is a store to learn next, in the place of another if one is to go. Queues follow
// the cluster state's voters, so that a few machines hold all; the cluster state's are
// spread over the zones.
func (c *Controller) selectLearner(now eventloop.Micros, status, root *schema.QueueStatus, leaving string) string {
	for _, id := range root.Voters {
		if c.canLearn(now, status, id) && c.canReplace(status, leaving, id) {
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
		if c.canLearn(now, status, id) && c.canReplace(status, leaving, id) && (best == "" || c.isBetterSpread(status, leaving, id, best, votersByZone)) {
			best = id
		}
	}
	return best
}

// surplusVoter is the voter to do without: the one whose going leaves the others best
// spread, one that doesn't vote on the cluster state, else one of the fullest zone;
// never the leader.
func (c *Controller) surplusVoter(status, root *schema.QueueStatus) string {
	votersByZone := map[string]int{}
	for _, id := range status.Voters {
		votersByZone[c.zoneOf(id)]++
	}
	cost := func(id string) [3]int {
		isFollowing := 0
		if slices.Contains(root.Voters, id) {
			isFollowing = 1
		}
		return [3]int{c.excessVoters(status, id, ""), isFollowing, -votersByZone[c.zoneOf(id)]}
	}
	best := ""
	for _, id := range status.Voters {
		if id == status.Leader {
			continue
		}
		if a := cost(id); best == "" || isLess(a, cost(best)) {
			best = id
		}
	}
	return best
}

func isLess(a, b [3]int) bool { return slices.Compare(a[:], b[:]) < 0 }

func firstOrEmpty(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[0]
}
