package replica

// What may be lost now, for operators.

import (
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
)

// FaultTolerance is how many machines, zones or regions may be lost at this moment with a
// majority of the cluster state's voters left, and what the deployment is to bear.
type FaultTolerance struct {
	Machines       int    `json:"machines"`
	Zones          int    `json:"zones"`
	Regions        int    `json:"regions"`
	WantedMachines int    `json:"wanted_machines"`
	WantedZones    int    `json:"wanted_zones"`
	WantedRegions  int    `json:"wanted_regions"`
	Shortfall      string `json:"short,omitempty"` // why the stores that are known can't bear it
}

// faultTolerance tells what may be lost as far as this node knows; its word is as old as its copy
// of the cluster state and its book.
func (h *Host) faultTolerance(now eventloop.Micros) *FaultTolerance {
	tolerance := &FaultTolerance{
		WantedMachines: max(1, h.tolerance.Machines), WantedZones: h.tolerance.Zones, WantedRegions: h.tolerance.Regions,
	}
	group := h.groups[clusterstate.Group]
	if group == nil || h.membership == nil {
		return tolerance
	}
	var voters, liveZones, zones []string
	for id, known := range h.membership.Members {
		if !known.Member.HasStorage {
			continue
		}
		zones = append(zones, known.Member.Zone)
		isVoter := slices.Contains(group.group.MemberSet().Voters, id)
		if isVoter && h.membership.IsAlive(id, now, livenessTimeout) && !known.Member.Draining {
			liveZones = append(liveZones, known.Member.Zone)
		}
	}
	// Of a voter that the book has let go only the number counts.
	voters = make([]string, len(group.group.MemberSet().Voters))
	tolerance.Machines, tolerance.Zones, tolerance.Regions = h.tolerance.TolerableFailures(voters, liveZones)
	tolerance.Shortfall = h.tolerance.Shortfall(zones)
	return tolerance
}
