package sim

import (
	"fmt"
	"testing"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
)

// TestZonesMayBeLost replaces a machine and then loses each zone in turn, or each region where
// losses of regions must be tolerated, with 3, 4 and 6 zones in 1, 2 and 3 regions. The remaining
// machines must serve, unless the deployment has reported that it can't tolerate such a loss.
func TestZonesMayBeLost(t *testing.T) {
	for _, zones := range []int{3, 4, 6} {
		for _, regions := range []int{1, 2, 3} {
			tolerance := membership.FaultTolerance{Machines: 1, Zones: 1, RegionByZone: map[string]string{}}
			if regions > 1 {
				tolerance.Zones, tolerance.Regions = 0, 1
			}
			var list []string
			for k := range zones {
				list = append(list, fmt.Sprintf("z%d", k+1))
				tolerance.RegionByZone[list[k]] = fmt.Sprintf("r%d", k*regions/zones+1)
			}
			t.Run(fmt.Sprintf("%d zones in %d regions", zones, regions), func(t *testing.T) {
				t.Parallel()
				loseFailureDomains(t, uint64(10*zones+regions), list, tolerance)
			})
		}
	}
}

// loseFailureDomains loses each zone in turn, or each region if losses of regions are to be
// tolerated, and checks that the remaining machines serve.
func loseFailureDomains(t *testing.T, seed uint64, zones []string, tolerance membership.FaultTolerance) {
	c := newStorageFleet(seed, zones, tolerance.Machines, fastSync, false)
	c.tolerance = tolerance
	c.Run(c.LoadStart + 5*eventloop.Second)
	shortfall := c.voters()[0].StateView().FaultTolerance.Shortfall
	isTolerable := tolerance.Regions == 0 || len(zones) >= 3 && tolerance.TopologyShortfall() == ""
	if (shortfall == "") != isTolerable {
		t.Fatalf("the reported shortfall %q contradicts the zones and regions", shortfall)
	}
	// First a machine is replaced by one in another zone, so that the repair must keep the voters
	// spread over the zones.
	c.voters()[1].Wipe()
	c.addStorageNode("late", zones[0], false).Start()
	c.Run(c.Now + 12*eventloop.Second)
	for _, h := range c.StorageNodes() {
		if !h.IsUp && h.ID != "" {
			h.Start()
		}
	}
	c.Run(c.Now + catchUp)
	if !isTolerable {
		return
	}
	domain := func(zone string) string { return zone }
	if tolerance.Regions > 0 {
		domain = func(zone string) string { return tolerance.RegionByZone[zone] }
	}
	done := map[string]bool{}
	for _, zone := range zones {
		if done[domain(zone)] {
			continue
		}
		done[domain(zone)] = true
		var lost []*Host
		for _, h := range c.Hosts {
			if domain(h.Zone) == domain(zone) && h.IsUp {
				lost = append(lost, h)
				h.Kill()
			}
		}
		if took, served := c.timeUntilServed(8 * eventloop.Second); !served {
			t.Errorf("without %s no configuration was accepted for %.1f s: %s", domain(zone), float64(took)/1e6, c.intoleranceReason)
		}
		for _, h := range lost {
			h.Start()
		}
		c.Run(c.Now + catchUp)
	}
}
