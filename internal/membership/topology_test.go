package membership

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// deployment is so many stores in so many zones, these in so many regions.
func deployment(stores, zones, regions int) (map[string]string, map[string]string) {
	byId, regionOf := map[string]string{}, map[string]string{}
	for k := range zones {
		regionOf[fmt.Sprintf("z%d", k)] = fmt.Sprintf("r%d", k%regions)
	}
	for k := range stores {
		byId[fmt.Sprintf("s%02d", k)] = fmt.Sprintf("z%d", k%zones)
	}
	return byId, regionOf
}

func TestWhereVotersStand(t *testing.T) {
	for _, zones := range []int{3, 4, 6} {
		for _, regions := range []int{1, 2, 3} {
			Convey(fmt.Sprintf("With %d zones in %d regions", zones, regions), t, func() {
				byId, regionOf := deployment(12, zones, regions)
				for _, tolerance := range []FaultTolerance{
					{Machines: 1}, {Machines: 2}, {Machines: 1, Zones: 1}, {Machines: 2, Zones: 1}, {Machines: 2, Zones: 2},
					{Machines: 1, Regions: 1}, {Machines: 2, Zones: 1, Regions: 1},
				} {
					tolerance.RegionByZone = regionOf
					var all, chosen []string
					for _, zone := range byId {
						all = append(all, zone)
					}
					for _, id := range tolerance.SelectVoters(byId, tolerance.Voters()) {
						chosen = append(chosen, byId[id])
					}
					So(chosen, ShouldHaveLength, tolerance.Voters())
					canBear := zones > 2*tolerance.Zones && (tolerance.Regions == 0 || regions > 2*tolerance.Regions)
					So(tolerance.ExcessVoters(chosen) == 0, ShouldEqual, canBear)
					So(tolerance.Shortfall(all) == "", ShouldEqual, canBear)
					machines, inZones, inRegions := tolerance.TolerableFailures(chosen, chosen)
					So(machines, ShouldBeGreaterThanOrEqualTo, tolerance.Machines)
					if canBear {
						So(inZones, ShouldBeGreaterThanOrEqualTo, tolerance.Zones)
						So(inRegions, ShouldBeGreaterThanOrEqualTo, tolerance.Regions)
					}
				}
			})
		}
	}
	Convey("Too few stores are told of as well", t, func() {
		So(FaultTolerance{Machines: 2}.Shortfall([]string{"a", "b", "c"}), ShouldContainSubstring, "5 stores are needed")
		So(FaultTolerance{Machines: 1, Zones: 1}.Shortfall([]string{"a", "a", "b"}), ShouldContainSubstring, "1 of 2 zones")
	})
	Convey("What is lost already counts", t, func() {
		machines, zones, _ := FaultTolerance{}.TolerableFailures([]string{"a", "b", "c"}, []string{"a", "b"})
		So([]int{machines, zones}, ShouldResemble, []int{0, 0})
		machines, zones, _ = FaultTolerance{}.TolerableFailures([]string{"a", "a", "b", "b", "c"}, []string{"a", "a", "b", "c"})
		So([]int{machines, zones}, ShouldResemble, []int{1, 0})
	})
}
