package membership

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// deployment assigns storage nodes to zones, and zones to regions, each in turn. It returns the
// zone of each storage node by id, and the region of each zone.
func deployment(storageNodes, zones, regions int) (zoneByID, regionByZone map[string]string) {
	zoneByID, regionByZone = map[string]string{}, map[string]string{}
	for k := range zones {
		regionByZone[fmt.Sprintf("z%d", k)] = fmt.Sprintf("r%d", k%regions)
	}
	for k := range storageNodes {
		zoneByID[fmt.Sprintf("s%02d", k)] = fmt.Sprintf("z%d", k%zones)
	}
	return zoneByID, regionByZone
}

// checkSelectedVoters selects voters from storage nodes, whose zones are keyed by id, and checks
// that the voters tolerate the failures if and only if isTolerable.
func checkSelectedVoters(tolerance FaultTolerance, zoneByID map[string]string, isTolerable bool) {
	var all, chosen []string
	for _, zone := range zoneByID {
		all = append(all, zone)
	}
	for _, id := range tolerance.SelectVoters(zoneByID, tolerance.VoterCount()) {
		chosen = append(chosen, zoneByID[id])
	}
	So(chosen, ShouldHaveLength, tolerance.VoterCount())
	So(tolerance.ExcessVoters(chosen) == 0, ShouldEqual, isTolerable)
	So(tolerance.Shortfall(all) == "", ShouldEqual, isTolerable)
	machines, inZones, inRegions := tolerance.TolerableFailures(chosen, chosen)
	So(machines, ShouldBeGreaterThanOrEqualTo, tolerance.Machines)
	if isTolerable {
		So(inZones, ShouldBeGreaterThanOrEqualTo, tolerance.Zones)
		So(inRegions, ShouldBeGreaterThanOrEqualTo, tolerance.Regions)
	}
}

func TestVoterSpread(t *testing.T) {
	for _, zones := range []int{3, 4, 6} {
		for _, regions := range []int{1, 2, 3} {
			Convey(fmt.Sprintf("With %d zones in %d regions", zones, regions), t, func() {
				zoneByID, regionByZone := deployment(12, zones, regions)
				for _, tolerance := range []FaultTolerance{
					{Machines: 1}, {Machines: 2}, {Machines: 1, Zones: 1}, {Machines: 2, Zones: 1}, {Machines: 2, Zones: 2},
					{Machines: 1, Regions: 1}, {Machines: 2, Zones: 1, Regions: 1},
				} {
					tolerance.RegionByZone = regionByZone
					isTolerable := zones > 2*tolerance.Zones && (tolerance.Regions == 0 || regions > 2*tolerance.Regions)
					checkSelectedVoters(tolerance, zoneByID, isTolerable)
				}
			})
		}
	}
	Convey("Too few storage nodes are a shortfall as well", t, func() {
		So(FaultTolerance{Machines: 2}.Shortfall([]string{"a", "b", "c"}), ShouldContainSubstring, "5 stores are needed")
		So(FaultTolerance{Machines: 1, Zones: 1}.Shortfall([]string{"a", "a", "b"}), ShouldContainSubstring, "1 of 2 zones")
	})
	Convey("Failures that have happened count", t, func() {
		machines, zones, _ := FaultTolerance{}.TolerableFailures([]string{"a", "b", "c"}, []string{"a", "b"})
		So([]int{machines, zones}, ShouldResemble, []int{0, 0})
		machines, zones, _ = FaultTolerance{}.TolerableFailures([]string{"a", "a", "b", "b", "c"}, []string{"a", "a", "b", "c"})
		So([]int{machines, zones}, ShouldResemble, []int{1, 0})
	})
}

func TestSpreadOverZones(t *testing.T) {
	Convey("Processes are selected from the zones in turn, the lowest ids first", t, func() {
		for _, test := range []struct {
			processes string // id@zone
			count     int
			want      string
		}{
			{"", 3, ""},
			{"a@x", 3, "a"},
			{"a@x b@x", 3, "a b"},
			{"a@x b@x c@x d@y e@z", 3, "a d e"},
			{"a@x b@x c@x d@y", 3, "a b d"},
			{"a@x b@x c@y d@y e@z f@z", 5, "a b c d e"},
			{"f@x e@x d@y c@y b@z a@z", 5, "a c d e f"},
		} {
			zones := map[string]string{}
			for _, process := range strings.Fields(test.processes) {
				id, zone, _ := strings.Cut(process, "@")
				zones[id] = zone
			}
			So(strings.Join(SpreadOverZones(zones, test.count), " "), ShouldEqual, test.want)
		}
	})
}
