package membership

import (
	"fmt"
	"maps"
	"slices"
)

// FaultTolerance are the failures that a group must survive: so many machines, or zones, or
// regions lost at once. Voters are spread over these failure domains so that a majority of
// them is left.
type FaultTolerance struct {
	Machines, Zones, Regions int
	RegionByZone             map[string]string
}

// VoterCount returns how many voters each group is to have.
func (t FaultTolerance) VoterCount() int { return 2*max(1, t.Machines, t.Zones, t.Regions) + 1 }

// RequiresSpread reports whether it matters in which zones the voters are.
func (t FaultTolerance) RequiresSpread() bool { return t.Zones > 0 || t.Regions > 0 }

// region returns the region of a zone; a zone without one is its own region.
func (t FaultTolerance) region(zone string) string {
	if region := t.RegionByZone[zone]; region != "" {
		return region
	}
	return zone
}

func (t FaultTolerance) regions(zones []string) []string {
	regions := make([]string, 0, len(zones))
	for _, zone := range zones {
		regions = append(regions, t.region(zone))
	}
	return regions
}

// ExcessVoters returns by how many voters, of a group with voters in these zones, the tolerated
// zone or region failures would take more than a majority can spare; 0: a majority survives.
func (t FaultTolerance) ExcessVoters(zones []string) int {
	tolerable := (len(zones) - 1) / 2
	return max(0, sumOfLargest(zones, t.Zones)-tolerable) + max(0, sumOfLargest(t.regions(zones), t.Regions)-tolerable)
}

// TolerableFailures returns how many machines, or zones, or regions a group may lose, given
// the zones of all its voters and of the live ones.
func (t FaultTolerance) TolerableFailures(voters, live []string) (machines, zones, regions int) {
	headroom := len(live) - (len(voters)/2 + 1)
	if headroom < 0 {
		return 0, 0, 0
	}
	return headroom, maxLostDomains(live, headroom), maxLostDomains(t.regions(live), headroom)
}

// maxLostDomains returns how many of the failure domains, whichever they are, may be lost
// without losing more than so many voters.
func maxLostDomains(domains []string, headroom int) int {
	lost := 0
	for lost < len(domains) && sumOfLargest(domains, lost+1) <= headroom {
		lost++
	}
	return lost
}

// SelectVoters selects so many of the processes, whose zones are given by id, as the voters of
// a group. All processes select alike.
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
	share := map[string]int{}
	for assigned := 0; assigned < min(count, len(zones)); {
		for _, region := range slices.Sorted(maps.Keys(byRegion)) {
			if share[region] < len(byRegion[region]) && assigned < count {
				share[region]++
				assigned++
			}
		}
	}
	var selected []string
	for region, members := range byRegion {
		selected = append(selected, SpreadOverZones(members, share[region])...)
	}
	slices.Sort(selected)
	return selected
}

// SpreadOverZones selects so many of the processes, whose zones are given by id: from the
// zones in turn, the lowest ids first. All processes select alike.
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

// Shortfall says why storage nodes in these zones can't tolerate the failures; empty if they
// can.
func (t FaultTolerance) Shortfall(zones []string) string {
	zoneByID := map[string]string{}
	for k, zone := range zones {
		zoneByID[fmt.Sprintf("%06d", k)] = zone
	}
	var best []string
	for _, id := range t.SelectVoters(zoneByID, t.VoterCount()) {
		best = append(best, zoneByID[id])
	}
	switch {
	case len(best) < t.VoterCount():
		return fmt.Sprintf("%d stores are needed, there are %d", t.VoterCount(), len(best))
	case t.ExcessVoters(best) == 0:
		return ""
	case sumOfLargest(best, t.Zones) > (len(best)-1)/2:
		return fmt.Sprintf("the loss of %d of %d zones with stores would leave no majority of %d", t.Zones, countDistinct(zones), len(best))
	}
	return fmt.Sprintf("the loss of %d of %d regions with stores would leave no majority of %d", t.Regions, countDistinct(t.regions(zones)), len(best))
}

// TopologyShortfall says why the configured zones can't tolerate the zone and region failures,
// wherever the storage nodes are; empty if they can, or no zones are configured.
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

// sumOfLargest returns how many of the entries the most frequent domains have, up to a limit
// of domains.
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
