package membership

import (
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	livenessTimeout  = 2 * eventloop.Second // a member not heard of for longer isn't considered live here
	fullSyncInterval = 4 * eventloop.Second // time between two requests for full members
	startupTicks     = 40                   // number of ticks after the start, or after a change of the seeds, during which all seeds are contacted
)

// sendGossip increments the heartbeat and sends a round of gossip.
func (m *Membership) sendGossip(now eventloop.Micros, effects eventloop.Effects) {
	m.self.Heartbeat++
	switch {
	case len(m.members) == 0:
		// All seeds may have been replaced while this machine was down, so the process also
		// contacts the peers that its previous incarnation persisted.
		contacts := append(slices.Clone(m.seeds), m.knownAddresses...)
		m.dialOnce(contacts, map[string]bool{m.self.InternalAddress: true}, m.newGossip(now, fullMembers), effects)
	case m.clusterExists:
		m.exchange(now, effects)
	default:
		m.discover(now, effects)
	}
}

// dialOnce sends a message to each address that isn't in contacted, and adds the address to it.
func (m *Membership) dialOnce(addresses []string, contacted map[string]bool, gossip *schema.Gossip, effects eventloop.Effects) {
	for _, address := range addresses {
		if !contacted[address] {
			contacted[address] = true
			effects.SendToAddress(address, gossip)
		}
	}
}

// discover sends gossip while no cluster is known to exist. Seeds and storage nodes send to all
// seeds and storage nodes, and every other process sends to a random seed. The seeds of the start
// count as seeds too, since the bootstrap needs their reports.
func (m *Membership) discover(now eventloop.Micros, effects eventloop.Effects) {
	if m.identity == nil && !m.isSeed() {
		if seed := m.randomSeed(); seed != "" {
			effects.SendToAddress(seed, m.newGossip(now, fullMembers))
		}
		return
	}
	contacted := map[string]bool{m.self.InternalAddress: true}
	m.dialOnce(m.seeds, contacted, m.newGossip(now, fullMembers), effects)
	m.dialOnce(m.config.Seeds, contacted, m.newGossip(now, fullMembers), effects)
	var storageNodes []string
	for _, id := range m.memberIDs() {
		if member := m.members[id].Member; member.HasStorage {
			storageNodes = append(storageNodes, member.InternalAddress)
		}
	}
	m.dialOnce(storageNodes, contacted, m.newUnsolicitedGossip(now, fullMembers), effects)
}

// exchange sends gossip within a cluster. A storage node sends to all other storage nodes at each
// tick. Of the other processes, an agent node polls one storage node at each tick, and the rest
// poll one at every second tick. A process that got no reply also polls a random member, because
// it may be partitioned only from the storage nodes.
func (m *Membership) exchange(now eventloop.Micros, effects eventloop.Effects) {
	storageNodes := m.liveStorageNodes(now)
	// Without a live storage node, full members are requested at each tick. The seed asked before
	// may not have known a storage node itself, for example when all processes have just started.
	if m.hasUnknownMember || len(storageNodes) == 0 || now-m.fullSyncAt >= fullSyncInterval {
		m.requestFullMembers(now, storageNodes, effects)
	}
	if m.ticks < m.seedContactEnd {
		m.contactSeeds(now, effects)
	}
	hasStorage, isEvenTick := m.identity != nil, m.ticks%2 == 0
	if !isEvenTick && !hasStorage && !m.config.IsAgentNode && !m.awaitingResponse && !m.hasUnsentChanges {
		return
	}
	isolated := m.awaitingResponse || len(storageNodes) == 0
	if isolated {
		m.pollRandomMember(now, effects)
	}
	switch {
	case hasStorage:
		detail := selfOnly
		if isEvenTick {
			detail = heartbeatsOnly
		}
		m.broadcast(now, detail, effects)
	case len(storageNodes) > 0:
		detail := selfOnly
		if isolated || m.hasUnsentChanges || m.ticks%4 == 0 {
			detail = heartbeatsOnly
		}
		m.pollTurn++
		storageNodes = m.withoutScheduler(storageNodes)
		effects.SendToAddress(storageNodes[m.pollTurn%uint64(len(storageNodes))], m.newGossipToStorageNode(now, detail))
	}
	m.awaitingResponse, m.hasUnsentChanges = true, false
}

// withoutScheduler returns the addresses of storage nodes without that of the scheduler, which has
// most to do, or all of them if there is no other.
func (m *Membership) withoutScheduler(addresses []string) []string {
	status, known := m.members[m.scheduler]
	if !known || len(addresses) < 2 {
		return addresses
	}
	return slices.DeleteFunc(addresses, func(address string) bool { return address == status.Member.InternalAddress })
}

// requestFullMembers requests full members from a random seed. This also lets two parts of a
// cluster that started from different seeds discover each other.
func (m *Membership) requestFullMembers(now eventloop.Micros, storageNodes []string, effects eventloop.Effects) {
	m.hasUnknownMember, m.fullSyncAt = false, now
	seed := m.randomSeed()
	if seed != "" {
		gossip := m.newGossipToStorageNode(now, fullMembers)
		if !m.mayBeStorageNode(seed) {
			m.omitAgentNodes(now, gossip)
		}
		effects.SendToAddress(seed, gossip)
	}
	// All seeds may have been replaced while this process was running, and a heartbeat alone
	// doesn't identify a new member, so a live storage node is asked if no live member is known
	// at the seed's address.
	if len(storageNodes) > 0 && !m.isAliveAt(now, seed) {
		effects.SendToAddress(storageNodes[m.rng.IntN(len(storageNodes))], m.newGossipToStorageNode(now, fullMembers))
	}
}

// contactSeeds sends gossip to the seeds that aren't live members. It is called until seedContactEnd:
// seeds may start later than this process, for example when the whole cluster
// restarts, and processes that know only the seeds discover no others until someone contacts the
// seeds.
func (m *Membership) contactSeeds(now eventloop.Micros, effects eventloop.Effects) {
	contacted := map[string]bool{m.self.InternalAddress: true}
	for _, status := range m.members {
		if now-status.LastHeard < livenessTimeout {
			contacted[status.Member.InternalAddress] = true
		}
	}
	m.dialOnce(m.seeds, contacted, m.newGossipToStorageNode(now, fullMembers), effects)
}

// pollRandomMember requests gossip from a random member.
func (m *Membership) pollRandomMember(now eventloop.Micros, effects eventloop.Effects) {
	ids := m.memberIDs()
	address := m.members[ids[m.rng.IntN(len(ids))]].Member.InternalAddress
	effects.SendToAddress(address, m.newGossip(now, heartbeatsOnly))
}

// broadcast sends gossip to all other live storage nodes without requesting replies.
func (m *Membership) broadcast(now eventloop.Micros, detail gossipDetail, effects eventloop.Effects) {
	gossip := m.newUnsolicitedGossip(now, detail)
	for _, address := range m.liveStorageNodes(now) {
		effects.SendToAddress(address, gossip)
	}
}

// broadcastChange sends a change of this process's own status without waiting for the next tick.
// It increments the heartbeat, because receivers would otherwise ignore the change as a status
// that they already have.
func (m *Membership) broadcastChange(now eventloop.Micros, effects eventloop.Effects) {
	m.self.Heartbeat++
	m.broadcast(now, heartbeatsOnly, effects)
}

func (m *Membership) memberIDs() []string {
	return slices.Sorted(maps.Keys(m.members))
}

// liveStorageNodes returns the addresses of the other storage nodes that are alive. All
// processes exchange gossip with storage nodes, so a heartbeat takes two hops between any two
// processes.
func (m *Membership) liveStorageNodes(now eventloop.Micros) []string {
	var addresses []string
	for _, id := range m.memberIDs() {
		if status := m.members[id]; status.Member.HasStorage && now-status.LastHeard < livenessTimeout {
			addresses = append(addresses, status.Member.InternalAddress)
		}
	}
	return addresses
}

// isSeed reports whether this process is a seed, or was one when it started.
func (m *Membership) isSeed() bool {
	return slices.Contains(m.seeds, m.self.InternalAddress) || slices.Contains(m.config.Seeds, m.self.InternalAddress)
}

// randomSeed returns the address of a random seed other than this process, or an empty string if
// there is none.
func (m *Membership) randomSeed() string {
	var others []string
	for _, seed := range m.seeds {
		if seed != m.self.InternalAddress {
			others = append(others, seed)
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[m.rng.IntN(len(others))]
}

// isAliveAt reports whether a live member listens at an address.
func (m *Membership) isAliveAt(now eventloop.Micros, address string) bool {
	for _, status := range m.members {
		if status.Member.InternalAddress == address && now-status.LastHeard < livenessTimeout {
			return true
		}
	}
	return false
}

// mayBeStorageNode reports whether the member at an address is a storage node, or no member is
// known at that address.
func (m *Membership) mayBeStorageNode(address string) bool {
	for _, status := range m.members {
		if status.Member.InternalAddress == address {
			return status.Member.HasStorage
		}
	}
	return true
}
