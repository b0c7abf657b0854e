package replica

// What may be lost now, for operators.

import (
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
)

// Bears is how many machines, zones or regions may be lost at this moment with a
// majority of the cluster state's voters left, and what the deployment is to bear.
type Bears struct {
	Machines       int    `json:"machines"`
	Zones          int    `json:"zones"`
	Regions        int    `json:"regions"`
	WantedMachines int    `json:"wanted_machines"`
	WantedZones    int    `json:"wanted_zones"`
	WantedRegions  int    `json:"wanted_regions"`
	Short          string `json:"short,omitempty"` // why the stores that are known can't bear it
}

// bears tells what may be lost as far as this node knows; its word is as old as its copy
// of the cluster state and its book.
func (t *Table) bears(now eventloop.Micros) *Bears {
	bears := &Bears{
		WantedMachines: max(1, t.tolerance.Machines), WantedZones: t.tolerance.Zones, WantedRegions: t.tolerance.Regions,
	}
	root := t.groups[clusterstate.Group]
	if root == nil || t.roll == nil {
		return bears
	}
	var voters, live, known []string
	for id, each := range t.roll.Members {
		if !each.Member.HasStorage {
			continue
		}
		known = append(known, each.Member.Zone)
		isVoter := slices.Contains(root.group.MemberSet().Voters, id)
		if isVoter && t.roll.IsAlive(id, now, liveSpan) && !each.Member.Draining {
			live = append(live, each.Member.Zone)
		}
	}
	// Of a voter that the book has let go only the number counts.
	voters = make([]string, len(root.group.MemberSet().Voters))
	bears.Machines, bears.Zones, bears.Regions = t.tolerance.TolerableFailures(voters, live)
	bears.Short = t.tolerance.Shortfall(known)
	return bears
}
