package controller

// Voters are spread over zones and regions where those may be lost whole.

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// zoneOf is the zone of a store, also of one that the book has let go.
func (c *Controller) zoneOf(id string) string {
	if known, isKnown := c.view.Members[id]; isKnown {
		return known.Member.GetZone()
	}
	return c.lastLocations[id].zone
}

// excessVoters is by how many voters too many the zones or regions that may be lost would
// hold, were one voter gone and another there; empty: none.
func (c *Controller) excessVoters(status *schema.QueueStatus, gone, there string) int {
	if !c.tolerance.RequiresSpread() {
		return 0
	}
	var zones []string
	for _, id := range status.Voters {
		if id != gone {
			zones = append(zones, c.zoneOf(id))
		}
	}
	if there != "" {
		zones = append(zones, c.zoneOf(there))
	}
	return c.tolerance.ExcessVoters(zones)
}

// canTolerateFailures tells whether the stores that are known, the silent ones too, stand so that
// the zones and regions can be lost.
func (c *Controller) canTolerateFailures() bool {
	var zones []string
	for _, known := range c.view.Members {
		if known.Member.HasStorage {
			zones = append(zones, known.Member.Zone)
		}
	}
	return c.tolerance.RequiresSpread() && c.tolerance.Shortfall(zones) == ""
}

// canReplace tells whether the vote of one may go to another: not where that leaves the
// zones or regions worse spread than they may be. The lost one's zone may come back;
// until then the others bear what they bore.
func (c *Controller) canReplace(status *schema.QueueStatus, leaving, id string) bool {
	if leaving == "" || !c.canTolerateFailures() {
		return true
	}
	after := c.excessVoters(status, leaving, id)
	return after == 0 || after < c.excessVoters(status, "", "")
}

// isBetterSpread tells whether one store is to be preferred to another.
func (c *Controller) isBetterSpread(status *schema.QueueStatus, leaving, id, other string, votersByZone map[string]int) bool {
	if a, b := c.excessVoters(status, leaving, id), c.excessVoters(status, leaving, other); a != b {
		return a < b
	}
	return votersByZone[c.zoneOf(id)] < votersByZone[c.zoneOf(other)]
}

// misplacedVoter is a voter whose vote stands better with another store, where the zones or
// regions can't be lost as the voters are; never the leader's.
func (c *Controller) misplacedVoter(now eventloop.Micros, status *schema.QueueStatus) string {
	fewest := c.excessVoters(status, "", "")
	if fewest == 0 || len(status.Voters) != c.votersPerGroup || !c.canTolerateFailures() {
		return ""
	}
	others := status.Learners
	if len(others) == 0 {
		for _, id := range c.liveStorageNodes(now) {
			if c.canLearn(now, status, id) {
				others = append(others, id)
			}
		}
	}
	best := ""
	for _, id := range status.Voters {
		for _, other := range others {
			if after := c.excessVoters(status, id, other); id != status.Leader && after < fewest {
				best, fewest = id, after
			}
		}
	}
	return best
}
