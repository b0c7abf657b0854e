package membership

// Where voters stand, so that what may be lost at once leaves a majority: machines,
// whole zones, or whole regions.

import (
	"fmt"
	"maps"
	"slices"
)

// Tolerance is what may be lost at once, each alone; the regions are given by zone.
type Tolerance struct {
	Machines, Zones, Regions int
	RegionOf                 map[string]string
}

// Voters is how many voters each group is to have: a majority outlives the losses.
func (t Tolerance) Voters() int { return 2*max(1, t.Machines, t.Zones, t.Regions) + 1 }

// IsSpread tells whether it matters in which zones voters stand.
func (t Tolerance) IsSpread() bool { return t.Zones > 0 || t.Regions > 0 }

// region is that of a zone; a zone that none is known for is one by itself.
func (t Tolerance) region(zone string) string {
	if region := t.RegionOf[zone]; region != "" {
		return region
	}
	return zone
}

func (t Tolerance) regions(zones []string) []string {
	list := make([]string, 0, len(zones))
	for _, zone := range zones {
		list = append(list, t.region(zone))
	}
	return list
}

// largest is how many of the places the most crowded few hold.
func largest(places []string, few int) int {
	counts := map[string]int{}
	for _, place := range places {
		counts[place]++
	}
	sizes := slices.Sorted(maps.Values(counts))
	slices.Reverse(sizes)
	sum := 0
	for _, size := range sizes[:min(few, len(sizes))] {
		sum += size
	}
	return sum
}

// Excess is by how many voters in these zones the loss of the zones or regions that
// are to be borne would take too many; 0: a majority is left.
func (t Tolerance) Excess(zones []string) int {
	spare := (len(zones) - 1) / 2
	return max(0, largest(zones, t.Zones)-spare) + max(0, largest(t.regions(zones), t.Regions)-spare)
}

// Bears is how many machines, zones and regions may go, of voters in these zones of
// which those that are live stand in the second list.
func (t Tolerance) Bears(voters, live []string) (machines, zones, regions int) {
	spare := len(live) - (len(voters)/2 + 1)
	most := func(places []string) int {
		few := 0
		for few < len(places) && largest(places, few+1) <= spare {
			few++
		}
		return few
	}
	if spare < 0 {
		return 0, 0, 0
	}
	return spare, most(live), most(t.regions(live))
}

// Spread chooses so many of the processes, whose zones are given by id, as the voters
// of a group. All choose alike.
func (t Tolerance) Spread(zones map[string]string, count int) []string {
	if t.Regions == 0 {
		return Spread(zones, count)
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
	for given := 0; given < min(count, len(zones)); {
		for _, region := range slices.Sorted(maps.Keys(byRegion)) {
			if share[region] < len(byRegion[region]) && given < count {
				share[region]++
				given++
			}
		}
	}
	var chosen []string
	for region, part := range byRegion {
		chosen = append(chosen, Spread(part, share[region])...)
	}
	slices.Sort(chosen)
	return chosen
}

// Short says why stores in these zones can't bear what is to be borne; empty: they can.
func (t Tolerance) Short(zones []string) string {
	byId := map[string]string{}
	for k, zone := range zones {
		byId[fmt.Sprintf("%06d", k)] = zone
	}
	var best []string
	for _, id := range t.Spread(byId, t.Voters()) {
		best = append(best, byId[id])
	}
	switch {
	case len(best) < t.Voters():
		return fmt.Sprintf("%d stores are needed, there are %d", t.Voters(), len(best))
	case t.Excess(best) == 0:
		return ""
	case largest(best, t.Zones) > (len(best)-1)/2:
		return fmt.Sprintf("the loss of %d of %d zones with stores would leave no majority of %d", t.Zones, count(zones), len(best))
	}
	return fmt.Sprintf("the loss of %d of %d regions with stores would leave no majority of %d", t.Regions, count(t.regions(zones)), len(best))
}

// ShortOfPlaces says why the zones of the settings can't bear the loss of as many of them
// or of their regions as are to be borne, wherever the stores stand; empty: they can, or
// no zones are told.
func (t Tolerance) ShortOfPlaces() string {
	zones := slices.Collect(maps.Keys(t.RegionOf))
	regions := count(t.regions(zones))
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

func count(places []string) int {
	set := map[string]bool{}
	for _, place := range places {
		set[place] = true
	}
	return len(set)
}
