package membership

import (
	"fmt"
	"maps"
	"slices"
)

// FaultTolerance specifies the failures that a group must survive: the loss of Machines machines,
// of Zones zones or of Regions regions at once. Voters are spread over these failure domains so
// that a majority of the voters survives.
type FaultTolerance struct {
	Machines, Zones, Regions int
	RegionByZone             map[string]string // maps each configured zone to its region
}

// VoterCount returns how many voters each group should have.
func (t FaultTolerance) VoterCount() int { return 2*max(1, t.Machines, t.Zones, t.Regions) + 1 }

// RequiresSpread reports whether the voters must be spread over zones or regions.
func (t FaultTolerance) RequiresSpread() bool { return t.Zones > 0 || t.Regions > 0 }

// region returns the region of a zone. A zone without a configured region is its own region.
func (t FaultTolerance) region(zone string) string {
	if region := t.RegionByZone[zone]; region != "" {
		return region
	}
	return zone
}

// regions returns the region of each zone, in the same order and with duplicates.
func (t FaultTolerance) regions(zones []string) []string {
	regions := make([]string, 0, len(zones))
	for _, zone := range zones {
		regions = append(regions, t.region(zone))
	}
	return regions
}

// ExcessVoters returns how many more voters a group may lose to the tolerated zone and region
// failures than it can lose without losing its majority, given the zone of each of its voters. It
// returns the sum for zone and region failures; if it is 0, a majority survives either.
func (t FaultTolerance) ExcessVoters(zones []string) int {
	maxLostVoters := (len(zones) - 1) / 2
	return max(0, sumOfLargest(zones, t.Zones)-maxLostVoters) + max(0, sumOfLargest(t.regions(zones), t.Regions)-maxLostVoters)
}

// TolerableFailures returns how many more machines, or zones, or regions a group may lose without
// losing its majority, given the zones of all its voters and of the live ones. Of voters only the
// length matters.
func (t FaultTolerance) TolerableFailures(voters, live []string) (machines, zones, regions int) {
	headroom := len(live) - (len(voters)/2 + 1)
	if headroom < 0 {
		return 0, 0, 0
	}
	return headroom, maxLostDomains(live, headroom), maxLostDomains(t.regions(live), headroom)
}

// maxLostDomains returns how many failure domains may be lost, whichever they are, without losing
// more than headroom voters. Each entry of domains is the failure domain of one voter.
func maxLostDomains(domains []string, headroom int) int {
	lost := 0
	for lost < len(domains) && sumOfLargest(domains, lost+1) <= headroom {
		lost++
	}
	return lost
}

// SelectVoters selects count of the processes, or all if there are fewer, as the voters of a
// group, and returns their sorted ids. It spreads the voters over the regions, if region failures
// must be tolerated, and then over the zones. The zones are keyed by process id. The result is
// deterministic, so all processes select the same voters.
func (t FaultTolerance) SelectVoters(zones map[string]string, count int) []string {
	if t.Regions == 0 {
		return SpreadOverZones(zones, count)
	}
	byRegion := map[string]map[string]string{}
	for id, zone := range zones {
		region := t.region(zone)
		if byRegion[region] == nil {
			byRegion[region] = map[string]string{}
		}
		byRegion[region][id] = zone
	}
	voterCountByRegion := map[string]int{}
	for assigned := 0; assigned < min(count, len(zones)); {
		for _, region := range slices.Sorted(maps.Keys(byRegion)) {
			if voterCountByRegion[region] < len(byRegion[region]) && assigned < count {
				voterCountByRegion[region]++
				assigned++
			}
		}
	}
	var selected []string
	for region, members := range byRegion {
		selected = append(selected, SpreadOverZones(members, voterCountByRegion[region])...)
	}
	slices.Sort(selected)
	return selected
}

// SpreadOverZones selects count of the processes, or all if there are fewer, and returns their
// sorted ids. It selects from the zones in turn, the lowest id of a zone first. The zones are
// keyed by process id. The result is deterministic, so all processes select the same ones.
func SpreadOverZones(zones map[string]string, count int) []string {
	byZone := map[string][]string{}
	for _, id := range slices.Sorted(maps.Keys(zones)) {
		byZone[zones[id]] = append(byZone[zones[id]], id)
	}
	var selected []string
	for len(selected) < min(count, len(zones)) {
		for _, zone := range slices.Sorted(maps.Keys(byZone)) {
			if ids := byZone[zone]; len(ids) > 0 && len(selected) < count {
				selected = append(selected, ids[0])
				byZone[zone] = ids[1:]
			}
		}
	}
	slices.Sort(selected)
	return selected
}

// Shortfall explains why storage nodes in these zones, one entry for each node, can't tolerate the
// failures. It returns an empty string if they can.
func (t FaultTolerance) Shortfall(zones []string) string {
	zoneByID := map[string]string{}
	for k, zone := range zones {
		zoneByID[fmt.Sprintf("%06d", k)] = zone
	}
	var voterZones []string
	for _, id := range t.SelectVoters(zoneByID, t.VoterCount()) {
		voterZones = append(voterZones, zoneByID[id])
	}
	switch {
	case len(voterZones) < t.VoterCount():
		return fmt.Sprintf("%d stores are needed, there are %d", t.VoterCount(), len(voterZones))
	case t.ExcessVoters(voterZones) == 0:
		return ""
	case sumOfLargest(voterZones, t.Zones) > (len(voterZones)-1)/2:
		return fmt.Sprintf("the loss of %d of %d zones with stores would leave no majority of %d", t.Zones, countDistinct(zones), len(voterZones))
	}
	return fmt.Sprintf("the loss of %d of %d regions with stores would leave no majority of %d", t.Regions, countDistinct(t.regions(zones)), len(voterZones))
}

// TopologyShortfall explains why the configured zones can't tolerate the zone and region failures,
// wherever the storage nodes are. It returns an empty string if they can, or if no zones are
// configured.
func (t FaultTolerance) TopologyShortfall() string {
	zones := slices.Collect(maps.Keys(t.RegionByZone))
	regions := countDistinct(t.regions(zones))
	switch {
	case len(zones) == 0:
		return ""
	case len(zones) <= 2*t.Zones:
		return fmt.Sprintf("the loss of %d of %d zones leaves no majority: %d zones are needed", t.Zones, len(zones), 2*t.Zones+1)
	case regions <= 2*t.Regions:
		return fmt.Sprintf("the loss of %d of %d regions leaves no majority: %d regions are needed", t.Regions, regions, 2*t.Regions+1)
	}
	return ""
}

// sumOfLargest returns how many entries belong to the most frequent failure domains, counting at
// most limit domains.
func sumOfLargest(domains []string, limit int) int {
	counts := map[string]int{}
	for _, domain := range domains {
		counts[domain]++
	}
	sizes := slices.Sorted(maps.Values(counts))
	slices.Reverse(sizes)
	sum := 0
	for _, size := range sizes[:min(limit, len(sizes))] {
		sum += size
	}
	return sum
}

func countDistinct(domains []string) int {
	set := map[string]bool{}
	for _, domain := range domains {
		set[domain] = true
	}
	return len(set)
}
