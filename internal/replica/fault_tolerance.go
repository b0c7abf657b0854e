package replica

// This file reports to operators which failures the cluster can tolerate at present.

import (
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
)

// FaultToleranceView reports how many machines, zones or regions may fail at present without
// the cluster state losing the majority of its voters, and how many such failures the
// deployment wants to tolerate.
type FaultToleranceView struct {
	Machines       int    `json:"machines"`
	Zones          int    `json:"zones"`
	Regions        int    `json:"regions"`
	WantedMachines int    `json:"wanted_machines"`
	WantedZones    int    `json:"wanted_zones"`
	WantedRegions  int    `json:"wanted_regions"`
	Shortfall      string `json:"short,omitempty"` // why the known storage nodes can't tolerate the wanted failures; empty if they can
}

// faultTolerance returns the fault tolerance as far as this node knows. The result is as old
// as this node's member set of the cluster state's group and its view of the membership.
func (h *Host) faultTolerance(now eventloop.Micros) *FaultToleranceView {
	tolerance := &FaultToleranceView{
		WantedMachines: max(1, h.tolerance.Machines), WantedZones: h.tolerance.Zones, WantedRegions: h.tolerance.Regions,
	}
	group := h.groups[clusterstate.GroupName]
	if group == nil || h.membership == nil {
		return tolerance
	}
	voters := group.group.MemberSet().Voters
	var liveZones, zones []string
	for id, status := range h.membership.Members {
		if !status.Member.HasStorage {
			continue
		}
		zones = append(zones, status.Member.Zone)
		if slices.Contains(voters, id) && h.membership.IsAlive(id, now, livenessTimeout) && !status.Member.Draining {
			liveZones = append(liveZones, status.Member.Zone)
		}
	}
	// The zones of some voters may be unknown, because the membership forgets members that
	// are long gone. TolerableFailures needs only the number of voters.
	tolerance.Machines, tolerance.Zones, tolerance.Regions = h.tolerance.TolerableFailures(make([]string, len(voters)), liveZones)
	tolerance.Shortfall = h.tolerance.Shortfall(zones)
	return tolerance
}
