package sim

import (
	"strings"

	"sparnotch/internal/checker"
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/gateway"
	"sparnotch/internal/schema"
)

const (
	readinessProbeInterval = eventloop.Second
	quorum                 = 2 // majority of the three storage nodes
)

// Gateways returns the hosts that serve clients over HTTP, whether they are up or not.
func (s *Simulation) Gateways() []*Host {
	var list []*Host
	for _, h := range s.Hosts {
		if h.Role == schema.Role_ROLE_SERVER {
			list = append(list, h)
		}
	}
	return list
}

// StorageNodes returns the hosts that have a disk, whether they are up or not.
func (s *Simulation) StorageNodes() []*Host {
	var list []*Host
	for _, h := range s.Hosts {
		if h.Disk != nil {
			list = append(list, h)
		}
	}
	return list
}

// Leader returns the storage node that leads most queues, or nil if none leads a queue.
func (s *Simulation) Leader() *Host {
	var leader *Host
	maxLed := 0
	for _, h := range s.StorageNodes() {
		view := h.StateView()
		if view == nil || h.isFrozen {
			continue
		}
		led := 0
		for _, group := range view.Groups {
			if group.Role == "leader" && !strings.HasPrefix(group.Group, clusterstate.GroupName) {
				led++
			}
		}
		if led > maxLed {
			leader, maxLed = h, led
		}
	}
	return leader
}

// updateAvailability records when a gateway becomes able or unable to serve. A gateway can
// serve if it is up and can exchange messages with two working storage nodes that can also
// exchange messages with each other.
func (s *Simulation) updateAvailability() {
	var nodes []*Host
	for _, h := range s.StorageNodes() {
		if h.isServing() && h.Disk.Fault == (DiskFault{}) {
			nodes = append(nodes, h)
		}
	}
	for _, h := range s.Gateways() {
		canServe := h.isServing() && s.reachesPair(h, nodes)
		if canServe == h.canServe {
			continue
		}
		h.canServe = canServe
		kind := checker.GatewayUnavailable
		if canServe {
			kind = checker.GatewayAvailable
		}
		s.Record(checker.Event{Kind: kind, Gateway: h.Name})
	}
}

// reachesPair reports whether a host can reach two of the nodes that can reach each other.
func (s *Simulation) reachesPair(h *Host, nodes []*Host) bool {
	for k, a := range nodes {
		for _, b := range nodes[:k] {
			if !s.isBlocked(a, b) && !s.isBlocked(h, a) && !s.isBlocked(h, b) {
				return true
			}
		}
	}
	return false
}

// reachesQuorum reports whether a host is serving and can reach a quorum of the storage
// nodes.
func (s *Simulation) reachesQuorum(h *Host) bool {
	if !h.isServing() {
		return false
	}
	count := 0
	for _, node := range s.StorageNodes() {
		if node.isServing() && !s.isBlocked(h, node) {
			count++
		}
	}
	return count >= quorum
}

// probeReadiness periodically asks a gateway whether it is ready. The users' platform does
// this to route clients to ready gateways.
func (s *Simulation) probeReadiness(h *Host) {
	s.Request(h, readinessProbeInterval, func(id uint64, _ eventloop.Micros) any { return gateway.CheckReadiness{RequestID: id} }, func(answer any) {
		response, _ := answer.(gateway.Response)
		h.isReady = response.Code == 200
	})
	s.After(readinessProbeInterval, func() { s.probeReadiness(h) })
}

// pickGateway draws a ready gateway in a zone, or in any zone if that zone has none, or any
// gateway if none is ready. Readiness is the result of the last probe and may be out of date.
func (s *Simulation) pickGateway(zone string) *Host {
	var near, ready []*Host
	gateways := s.Gateways()
	for _, h := range gateways {
		if h.isReady {
			ready = append(ready, h)
			if h.Zone == zone {
				near = append(near, h)
			}
		}
	}
	for _, list := range [][]*Host{near, ready, gateways} {
		if len(list) > 0 {
			return list[s.Rng.IntN(len(list))]
		}
	}
	return nil
}

// anyGateway draws a gateway as pickGateway does for a client in a random zone.
func (s *Simulation) anyGateway() *Host { return s.pickGateway(s.randomZone()) }

// randomZone draws the zone of a client.
func (s *Simulation) randomZone() string { return s.Hosts[s.Rng.IntN(min(3, len(s.Hosts)))].Zone }
