package controller

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// zoneOf returns the zone of a storage node, also of one that left the view.
func (c *Controller) zoneOf(id string) string {
	if status, found := c.view.Members[id]; found {
		return status.Member.GetZone()
	}
	return c.lastLocations[id].zone
}

// excessVoters returns by how many voters a group, with one voter removed and another added,
// would exceed what its zones and regions may have for their loss to leave a majority. Empty ids
// mean none.
func (c *Controller) excessVoters(status *schema.QueueStatus, removed, added string) int {
	if !c.tolerance.RequiresSpread() {
		return 0
	}
	var zones []string
	for _, id := range status.Voters {
		if id != removed {
			zones = append(zones, c.zoneOf(id))
		}
	}
	if added != "" {
		zones = append(zones, c.zoneOf(added))
	}
	return c.tolerance.ExcessVoters(zones)
}

// canTolerateFailures reports whether the zones of all known storage nodes, unresponsive ones
// too, allow to tolerate the zone and region failures.
func (c *Controller) canTolerateFailures() bool {
	var zones []string
	for _, status := range c.view.Members {
		if status.Member.HasStorage {
			zones = append(zones, status.Member.Zone)
		}
	}
	return c.tolerance.RequiresSpread() && c.tolerance.Shortfall(zones) == ""
}

// canReplace reports whether a storage node may get the vote of a leaving voter: not if that
// leaves the voters spread worse than required. The zone of a lost voter may come back; until
// then the others tolerate what they did.
func (c *Controller) canReplace(status *schema.QueueStatus, leaving, id string) bool {
	if leaving == "" || !c.canTolerateFailures() {
		return true
	}
	after := c.excessVoters(status, leaving, id)
	return after == 0 || after < c.excessVoters(status, "", "")
}

// isBetterSpread reports whether one storage node is to be preferred to another as replacement
// of a leaving voter.
func (c *Controller) isBetterSpread(status *schema.QueueStatus, leaving, id, other string, votersByZone map[string]int) bool {
	if a, b := c.excessVoters(status, leaving, id), c.excessVoters(status, leaving, other); a != b {
		return a < b
	}
	return votersByZone[c.zoneOf(id)] < votersByZone[c.zoneOf(other)]
}

// misplacedVoter returns a voter, never the leader, whose vote another storage node should have
// because the voters don't tolerate the loss of a zone or region; empty if there is none.
func (c *Controller) misplacedVoter(now eventloop.Micros, status *schema.QueueStatus) string {
	fewest := c.excessVoters(status, "", "")
	if fewest == 0 || len(status.Voters) != c.votersPerGroup || !c.canTolerateFailures() {
		return ""
	}
	replacements := status.Learners
	if len(replacements) == 0 {
		for _, id := range c.liveStorageNodes(now) {
			if c.canLearn(now, status, id) {
				replacements = append(replacements, id)
			}
		}
	}
	best := ""
	for _, id := range status.Voters {
		if id == status.Leader {
			continue
		}
		for _, replacement := range replacements {
			if after := c.excessVoters(status, id, replacement); after < fewest {
				best, fewest = id, after
			}
		}
	}
	return best
}
