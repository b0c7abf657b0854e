package replica

// The failures that the cluster can tolerate at this moment, for operators.

import (
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
)

// FaultToleranceView is how many machines, zones or regions may fail at this moment with a
// majority of the cluster state's voters left, and how many the deployment wants to
// tolerate.
type FaultToleranceView struct {
	Machines       int    `json:"machines"`
	Zones          int    `json:"zones"`
	Regions        int    `json:"regions"`
	WantedMachines int    `json:"wanted_machines"`
	WantedZones    int    `json:"wanted_zones"`
	WantedRegions  int    `json:"wanted_regions"`
	Shortfall      string `json:"short,omitempty"` // why the known storage nodes don't suffice for that
}

// faultTolerance is the fault tolerance as far as this node knows: the result is as old
// as its member set and its view of the membership.
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
	for id, known := range h.membership.Members {
		if !known.Member.HasStorage {
			continue
		}
		zones = append(zones, known.Member.Zone)
		if slices.Contains(voters, id) && h.membership.IsAlive(id, now, livenessTimeout) && !known.Member.Draining {
			liveZones = append(liveZones, known.Member.Zone)
		}
	}
	// The zones of all voters aren't known: the membership forgets a voter that is gone
	// for long. TolerableFailures needs only their number.
	tolerance.Machines, tolerance.Zones, tolerance.Regions = h.tolerance.TolerableFailures(make([]string, len(voters)), liveZones)
	tolerance.Shortfall = h.tolerance.Shortfall(zones)
	return tolerance
}
