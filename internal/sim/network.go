package sim

import "sparnotch/internal/eventloop"

// resetDuration is how long messages of a host are lost whose connections are reset: what
// was on the wire, and what is sent until new ones are open.
const resetDuration = 30 * eventloop.Millisecond

// NetworkProfile is how the network treats messages. Delays are in µs, one way; rates are
// shares of the messages.
type NetworkProfile struct {
	IntraZoneDelay, InterZoneDelay eventloop.Micros
	Jitter                         eventloop.Micros // at most this is added
	LossRate                       float64
	DuplicateRate                  float64
}

// ReliableNetwork is the network of a data center.
var ReliableNetwork = NetworkProfile{IntraZoneDelay: 200, InterZoneDelay: eventloop.Millisecond, Jitter: 300}

// LossyNetwork loses, duplicates and reorders messages.
var LossyNetwork = NetworkProfile{
	IntraZoneDelay: 200, InterZoneDelay: eventloop.Millisecond, Jitter: 20 * eventloop.Millisecond, LossRate: 0.03, DuplicateRate: 0.02,
}

// network is the state of the links between hosts.
type network struct {
	Network NetworkProfile
	// BuffersWhilePartitioned: what is sent over a blocked link arrives when it heals, as
	// from a full send buffer.
	BuffersWhilePartitioned bool
	ZoneDelay               func(from, to string) eventloop.Micros // in place of the profile's; nil: none
	OnSend                  func(from, to *Host, body any)         // sees each message; nil: nobody

	blockedLinks     map[link]bool
	bufferedMessages map[link][]func()
}

// link is the way from one address to another.
type link struct{ from, to string }

func newNetwork(profile NetworkProfile) network {
	return network{Network: profile, blockedLinks: map[link]bool{}, bufferedMessages: map[link][]func(){}}
}

// isBlocked reports whether the link between two hosts is blocked in either direction.
func (n *network) isBlocked(a, b *Host) bool {
	return n.blockedLinks[link{a.Address, b.Address}] || n.blockedLinks[link{b.Address, a.Address}]
}

// hostAt finds the host that is up at an address.
func (s *Simulation) hostAt(address string) *Host {
	for _, h := range s.Hosts {
		if h.Address == address && h.IsUp {
			return h
		}
	}
	return nil
}

// drawDelay draws how long a message takes from zone to zone.
func (s *Simulation) drawDelay(from, to string) eventloop.Micros {
	base := s.Network.InterZoneDelay
	if from == to {
		base = s.Network.IntraZoneDelay
	}
	if s.ZoneDelay != nil {
		base = s.ZoneDelay(from, to)
	}
	return base + eventloop.Micros(s.Rng.Int64N(int64(s.Network.Jitter)+1))
}

// drawReset draws whether a message is lost to a reset of a host's connections.
func (s *Simulation) drawReset(h *Host) bool {
	return s.Now < h.resetUntil && s.Rng.IntN(2) == 0
}

// send sends a message to the process at an address; where an id is given, to no other
// process that may be there when it arrives.
func (s *Simulation) send(from *Host, id, address string, body any) {
	way := link{from.Address, address}
	if s.blockedLinks[way] && s.BuffersWhilePartitioned {
		s.bufferedMessages[way] = append(s.bufferedMessages[way], func() { s.send(from, id, address, body) })
	}
	if address == "" || s.blockedLinks[way] || s.Rng.Float64() < s.Network.LossRate {
		return
	}
	if other := s.hostAt(address); s.drawReset(from) || other != nil && s.drawReset(other) {
		return
	}
	copies := 1
	if s.Rng.Float64() < s.Network.DuplicateRate {
		copies = 2
	}
	for range copies {
		s.transmit(from, id, address, body)
	}
}

// transmit takes one copy of a message over the links of both hosts.
func (s *Simulation) transmit(from *Host, id, address string, body any) {
	sender, zone := from.ID, ""
	to := s.hostAt(address)
	if to != nil {
		zone = to.Zone
	}
	if s.OnSend != nil {
		s.OnSend(from, to, body)
	}
	transfer, isSent := s.transferTime(from, to, body)
	if !isSent {
		return
	}
	s.After(transfer+s.drawDelay(from.Zone, zone), func() {
		if to := s.hostAt(address); to != nil && (id == "" || id == to.ID) {
			to.receive(sender, body)
		}
	})
}

// BlockLink blocks the link from one host to another, or heals it.
func (s *Simulation) BlockLink(from, to *Host, blocked bool) {
	way := link{from.Address, to.Address}
	s.blockedLinks[way] = blocked
	if !blocked {
		buffered := s.bufferedMessages[way]
		delete(s.bufferedMessages, way)
		for _, arrive := range buffered {
			arrive()
		}
	}
	s.updateAvailability()
}

// Partition blocks every link between the hosts of one side and the others, or heals them.
func (s *Simulation) Partition(blocked bool, isOnSide func(*Host) bool) {
	for _, a := range s.Hosts {
		for _, b := range s.Hosts {
			if isOnSide(a) != isOnSide(b) {
				s.BlockLink(a, b, blocked)
			}
		}
	}
}

// Isolate partitions one host from all others, or heals that.
func (s *Simulation) Isolate(h *Host, blocked bool) {
	s.Partition(blocked, func(other *Host) bool { return other == h })
}
