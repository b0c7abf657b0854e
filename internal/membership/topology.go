package membership

// Where voters stand, so that what may be lost at once leaves a majority: machines,
// whole zones, or whole regions.

import (
	"fmt"
	"maps"
	"slices"
)

// FaultTolerance is what may be lost at once, each alone; the regions are given by zone.
type FaultTolerance struct {
	Machines, Zones, Regions int
	RegionByZone             map[string]string
}

// Voters is how many voters each group is to have: a majority outlives the losses.
func (t FaultTolerance) Voters() int { return 2*max(1, t.Machines, t.Zones, t.Regions) + 1 }

// RequiresSpread tells whether it matters in which zones voters stand.
func (t FaultTolerance) RequiresSpread() bool { return t.Zones > 0 || t.Regions > 0 }

// region is that of a zone; a zone that none is known for is one by itself.
func (t FaultTolerance) region(zone string) string {
	if region := t.RegionByZone[zone]; region != "" {
		return region
	}
	return zone
}

func (t FaultTolerance) regions(zones []string) []string {
	list := make([]string, 0, len(zones))
	for _, zone := range zones {
		list = append(list, t.region(zone))
	}
	return list
}

// sumOfLargest is how many of the places the most crowded few hold.
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

// ExcessVoters is by how many voters in these zones the loss of the zones or regions that
// are to be borne would take too many; 0: a majority is left.
func (t FaultTolerance) ExcessVoters(zones []string) int {
	tolerable := (len(zones) - 1) / 2
	return max(0, sumOfLargest(zones, t.Zones)-tolerable) + max(0, sumOfLargest(t.regions(zones), t.Regions)-tolerable)
}

// TolerableFailures is how many machines, zones and regions may go, of voters in these zones of
// which those that are live stand in the second list.
func (t FaultTolerance) TolerableFailures(voters, live []string) (machines, zones, regions int) {
	headroom := len(live) - (len(voters)/2 + 1)
	maxDomains := func(occupied []string) int {
		domains := 0
		for domains < len(occupied) && sumOfLargest(occupied, domains+1) <= headroom {
			domains++
		}
		return domains
	}
	if headroom < 0 {
		return 0, 0, 0
	}
	return headroom, maxDomains(live), maxDomains(t.regions(live))
}

// SelectVoters chooses so many of the processes, whose zones are given by id, as the voters
// of a group. All choose alike.
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
	var chosen []string
	for region, members := range byRegion {
		chosen = append(chosen, SpreadOverZones(members, share[region])...)
	}
	slices.Sort(chosen)
	return chosen
}

// Shortfall says why stores in these zones can't bear what is to be borne; empty: they can.
func (t FaultTolerance) Shortfall(zones []string) string {
	zoneByID := map[string]string{}
	for k, zone := range zones {
		zoneByID[fmt.Sprintf("%06d", k)] = zone
	}
	var best []string
	for _, id := range t.SelectVoters(zoneByID, t.Voters()) {
		best = append(best, zoneByID[id])
	}
	switch {
	case len(best) < t.Voters():
		return fmt.Sprintf("%d stores are needed, there are %d", t.Voters(), len(best))
	case t.ExcessVoters(best) == 0:
		return ""
	case sumOfLargest(best, t.Zones) > (len(best)-1)/2:
		return fmt.Sprintf("the loss of %d of %d zones with stores would leave no majority of %d", t.Zones, countDistinct(zones), len(best))
	}
	return fmt.Sprintf("the loss of %d of %d regions with stores would leave no majority of %d", t.Regions, countDistinct(t.regions(zones)), len(best))
}

// TopologyShortfall says why the zones of the settings can't bear the loss of as many of them
// or of their regions as are to be borne, wherever the stores stand; empty: they can, or
// no zones are told.
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

func countDistinct(domains []string) int {
	set := map[string]bool{}
	for _, domain := range domains {
		set[domain] = true
	}
	return len(set)
}
