package sim

import "sparnotch/internal/eventloop"

// resetDuration is the time for which messages of a host are lost after a reset of its
// connections: those on the wire, and those sent before new connections are open.
const resetDuration = 30 * eventloop.Millisecond

// NetworkProfile describes the delay and the reliability of the network. Delays are one way
// and in µs; rates are shares of the messages.
type NetworkProfile struct {
	IntraZoneDelay, InterZoneDelay eventloop.Micros
	Jitter                         eventloop.Micros // largest random delay that is added
	LossRate                       float64
	DuplicateRate                  float64
}

// ReliableNetwork is the profile of a data center's network, which loses no messages.
var ReliableNetwork = NetworkProfile{IntraZoneDelay: 200, InterZoneDelay: eventloop.Millisecond, Jitter: 300}

// LossyNetwork is the profile of a network that loses, duplicates and reorders messages.
var LossyNetwork = NetworkProfile{
	IntraZoneDelay: 200, InterZoneDelay: eventloop.Millisecond, Jitter: 20 * eventloop.Millisecond, LossRate: 0.03, DuplicateRate: 0.02,
}

// network holds the state of the links between hosts.
type network struct {
	Network NetworkProfile
	// BuffersWhilePartitioned keeps messages that are sent over a blocked link, as a full send
	// buffer does: they are sent again when the link heals. Otherwise they are lost.
	BuffersWhilePartitioned bool
	ZoneDelay               func(from, to string) eventloop.Micros // replaces the profile's delays between zones; nil: they apply
	OnSend                  func(from, to *Host, body any)         // called with each message that is sent; may be nil

	blockedLinks     map[link]bool
	bufferedMessages map[link][]func()
}

// link identifies the one-way link from one address to another.
type link struct{ from, to string }

func newNetwork(profile NetworkProfile) network {
	return network{Network: profile, blockedLinks: map[link]bool{}, bufferedMessages: map[link][]func(){}}
}

// isBlocked reports whether the link between two hosts is blocked in either direction.
func (n *network) isBlocked(a, b *Host) bool {
	return n.blockedLinks[link{a.Address, b.Address}] || n.blockedLinks[link{b.Address, a.Address}]
}

// hostAt returns the host that is up at an address, or nil.
func (s *Simulation) hostAt(address string) *Host {
	for _, h := range s.Hosts {
		if h.Address == address && h.IsUp {
			return h
		}
	}
	return nil
}

// drawDelay draws the one-way delay of a message between two zones.
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

// send sends a message to the process at an address. If an id is given, only the process
// with this id receives the message; another one that runs there on arrival doesn't.
func (s *Simulation) send(from *Host, id, address string, body any) {
	path := link{from.Address, address}
	if s.blockedLinks[path] && s.BuffersWhilePartitioned {
		s.bufferedMessages[path] = append(s.bufferedMessages[path], func() { s.send(from, id, address, body) })
	}
	if address == "" || s.blockedLinks[path] || s.Rng.Float64() < s.Network.LossRate {
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

// transmit sends one copy of a message through the uplinks of both hosts and schedules its
// arrival.
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

// BlockLink blocks the one-way link from one host to another, or heals it.
func (s *Simulation) BlockLink(from, to *Host, blocked bool) {
	path := link{from.Address, to.Address}
	s.blockedLinks[path] = blocked
	if !blocked {
		buffered := s.bufferedMessages[path]
		delete(s.bufferedMessages, path)
		for _, arrive := range buffered {
			arrive()
		}
	}
	s.updateAvailability()
}

// Partition blocks every link between the hosts of one side and all others, or heals them.
func (s *Simulation) Partition(blocked bool, isOnSide func(*Host) bool) {
	for _, a := range s.Hosts {
		for _, b := range s.Hosts {
			if isOnSide(a) != isOnSide(b) {
				s.BlockLink(a, b, blocked)
			}
		}
	}
}

// Isolate partitions one host from all others, or heals the partition.
func (s *Simulation) Isolate(h *Host, blocked bool) {
	s.Partition(blocked, func(other *Host) bool { return other == h })
}
