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
	quorum                 = 2 // of the storage nodes that vote
)

// Gateways lists the hosts that serve clients over HTTP.
func (s *Simulation) Gateways() []*Host {
	var list []*Host
	for _, h := range s.Hosts {
		if h.Role == schema.Role_ROLE_SERVER {
			list = append(list, h)
		}
	}
	return list
}

// StorageNodes lists the hosts that have a disk.
func (s *Simulation) StorageNodes() []*Host {
	var list []*Host
	for _, h := range s.Hosts {
		if h.Disk != nil {
			list = append(list, h)
		}
	}
	return list
}

// Leader is the storage node that leads most queues; nil where none leads any.
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

// updateAvailability records when a gateway starts or stops being able to serve: it is up,
// and can exchange messages with two storage nodes that can do so with each other.
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

// reachesPair reports whether a host reaches two nodes that reach each other.
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

// reachesQuorum reports whether a host is serving and reaches a quorum of the storage
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

// probeReadiness asks a gateway at intervals whether it is ready, as the users' platform
// does to direct clients.
func (s *Simulation) probeReadiness(h *Host) {
	s.Request(h, readinessProbeInterval, func(id uint64, _ eventloop.Micros) any { return gateway.CheckReadiness{RequestID: id} }, func(answer any) {
		response, _ := answer.(gateway.Response)
		h.isReady = response.Code == 200
	})
	s.After(readinessProbeInterval, func() { s.probeReadiness(h) })
}

// pickGateway draws a ready gateway of a zone, else any ready one, else any: since the
// platform probes at intervals it may be wrong.
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

// anyGateway draws a gateway as a client in any zone finds it.
func (s *Simulation) anyGateway() *Host { return s.pickGateway(s.randomZone()) }

// randomZone draws where a client is.
func (s *Simulation) randomZone() string { return s.Hosts[s.Rng.IntN(min(3, len(s.Hosts)))].Zone }
