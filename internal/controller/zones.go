package controller

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// zoneOf returns the zone of a storage node. It also knows the zones of nodes that left the view.
func (c *Controller) zoneOf(id string) string {
	if status, found := c.view.Members[id]; found {
		return status.Member.GetZone()
	}
	return c.lastLocations[id].zone
}

// excessVoters returns FaultTolerance.ExcessVoters for the voters of a group after one voter is
// removed and another added. An empty id means that no voter is removed or added. If the voters
// don't have to be spread, it returns 0.
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

// canTolerateFailures reports whether voters must be spread and the zones of all known storage
// nodes, including unresponsive ones, make it possible to tolerate the zone and region failures.
func (c *Controller) canTolerateFailures() bool {
	var zones []string
	for _, status := range c.view.Members {
		if status.Member.HasStorage {
			zones = append(zones, status.Member.Zone)
		}
	}
	return c.tolerance.RequiresSpread() && c.tolerance.Shortfall(zones) == ""
}

// canReplace reports whether a storage node may get the vote of a leaving voter. It may if the
// voters are then spread as required, or at least better than now. Otherwise the vote isn't moved:
// the zone of a lost voter may come back, and until then the other voters tolerate the failures
// that they tolerated before. If the known zones can't tolerate the failures, any node may.
func (c *Controller) canReplace(status *schema.QueueStatus, leaving, id string) bool {
	if leaving == "" || !c.canTolerateFailures() {
		return true
	}
	excessAfter := c.excessVoters(status, leaving, id)
	return excessAfter == 0 || excessAfter < c.excessVoters(status, "", "")
}

// isBetterSpread reports whether storage node id is a better replacement of a leaving voter than
// storage node other: it leaves fewer excess voters or, if these are equal, its zone has fewer
// voters.
func (c *Controller) isBetterSpread(status *schema.QueueStatus, leaving, id, other string, votersByZone map[string]int) bool {
	if a, b := c.excessVoters(status, leaving, id), c.excessVoters(status, leaving, other); a != b {
		return a < b
	}
	return votersByZone[c.zoneOf(id)] < votersByZone[c.zoneOf(other)]
}

// misplacedVoter returns a voter, never the leader, whose vote should move to another storage node
// because the voters don't tolerate the zone and region failures. It returns an empty string if
// there is none or no move would improve the spread.
func (c *Controller) misplacedVoter(now eventloop.Micros, status *schema.QueueStatus) string {
	fewestExcess := c.excessVoters(status, "", "")
	if fewestExcess == 0 || len(status.Voters) != c.votersPerGroup || !c.canTolerateFailures() {
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
	misplaced := ""
	for _, id := range status.Voters {
		if id == status.Leader {
			continue
		}
		for _, replacement := range replacements {
			if excessAfter := c.excessVoters(status, id, replacement); excessAfter < fewestExcess {
				misplaced, fewestExcess = id, excessAfter
			}
		}
	}
	return misplaced
}
