package sim

import (
	"fmt"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// addTestHosts adds three storage nodes, two gateways without a disk, and the given number of
// agent nodes, spread over three zones.
func addTestHosts(s *Simulation, serverName, agentName string, agents int) {
	for k := range 5 {
		s.AddHost(fmt.Sprint(serverName, k+1), zoneOf(k), schema.Role_ROLE_SERVER, k < storageNodes)
	}
	for k := range agents {
		s.AddHost(fmt.Sprint(agentName, k+1), zoneOf(k), schema.Role_ROLE_CONTROLLER, false)
	}
}

// startWithin starts each host after a random delay of up to 300 ms.
func startWithin(s *Simulation, drawDelay func(limit int64) int64) {
	for _, h := range s.Hosts {
		s.After(eventloop.Micros(drawDelay(int64(300*eventloop.Millisecond))), h.Start)
	}
}

// clusterStateReplica returns the view of a host's replica of the cluster state, or nil if it
// has none.
func clusterStateReplica(h *Host) *replica.GroupStateView {
	if view := h.StateView(); view != nil {
		for _, group := range view.Groups {
			if group.Group == clusterstate.GroupName {
				return group
			}
		}
	}
	return nil
}
