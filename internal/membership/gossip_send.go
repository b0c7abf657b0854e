package membership

import (
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	livenessTimeout  = 2 * eventloop.Second // a member not heard from for longer isn't considered live here
	fullSyncInterval = 4 * eventloop.Second // between two requests for full members
	startupTicks     = 40                   // ticks after the start in which all seeds are contacted
)

// sendGossip counts up the heartbeat and sends gossip to the processes whose turn it is.
func (m *Membership) sendGossip(now eventloop.Micros, effects eventloop.Effects) {
	m.self.Heartbeat++
	switch {
	case len(m.members) == 0:
		// All seeds may have been replaced while this machine was down, so the peers
		// of the previous incarnation are contacted too.
		contacts := append(slices.Clone(m.config.Seeds), m.knownAddresses...)
		m.dialOnce(contacts, map[string]bool{m.self.InternalAddress: true}, m.newGossip(now, fullMembers), effects)
	case m.clusterExists:
		m.exchange(now, effects)
	default:
		m.discover(now, effects)
	}
}

// dialOnce sends a message to each address that isn't among the contacted ones yet.
func (m *Membership) dialOnce(addresses []string, contacted map[string]bool, gossip *schema.Gossip, effects eventloop.Effects) {
	for _, address := range addresses {
		if !contacted[address] {
			contacted[address] = true
			effects.SendToAddress(address, gossip)
		}
	}
}

// discover sends gossip before a cluster exists: seeds and storage nodes send to each other,
// other processes to a seed.
func (m *Membership) discover(now eventloop.Micros, effects eventloop.Effects) {
	if m.identity == nil && !m.isSeed() {
		if seed := m.randomSeed(); seed != "" {
			effects.SendToAddress(seed, m.newGossip(now, fullMembers))
		}
		return
	}
	contacted := map[string]bool{m.self.InternalAddress: true}
	m.dialOnce(m.config.Seeds, contacted, m.newGossip(now, fullMembers), effects)
	var storageNodes []string
	for _, id := range m.memberIDs() {
		if member := m.members[id].Member; member.HasStorage {
			storageNodes = append(storageNodes, member.InternalAddress)
		}
	}
	m.dialOnce(storageNodes, contacted, m.newUnsolicitedGossip(now, fullMembers), effects)
}

// exchange sends gossip within a cluster. At each tick a storage node sends to all others and
// an agent node polls one of them; at every second tick so do the other processes. A process
// that got no reply also polls a random member, for it may be partitioned from the storage
// nodes alone.
func (m *Membership) exchange(now eventloop.Micros, effects eventloop.Effects) {
	storageNodes := m.liveStorageNodes(now)
	// Without a live storage node full members are requested at each tick: the seed that was
	// asked before may have known none itself, as when all have just started.
	if m.hasUnknownMember || len(storageNodes) == 0 || now-m.fullSyncAt >= fullSyncInterval {
		m.requestFullMembers(now, storageNodes, effects)
	}
	if m.ticks < startupTicks {
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
		effects.SendToAddress(storageNodes[m.pollTurn%uint64(len(storageNodes))], m.newGossipToStorageNode(now, detail))
	}
	m.awaitingResponse, m.hasUnsentChanges = true, false
}

// requestFullMembers asks a random seed for full members. By that, two parts of a cluster
// that started from different seeds find each other.
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
	// All seeds may have been replaced while this process ran on, and heartbeats alone don't
	// say who a new member is, so a live storage node is asked as well.
	if len(storageNodes) > 0 && !m.isAliveAt(now, seed) {
		effects.SendToAddress(storageNodes[m.rng.IntN(len(storageNodes))], m.newGossipToStorageNode(now, fullMembers))
	}
}

// contactSeeds sends to the seeds that aren't live members, for some time after the start.
// They may start after this process, as in a restart of the whole cluster, and processes that
// know them alone learn of no others until they are contacted.
func (m *Membership) contactSeeds(now eventloop.Micros, effects eventloop.Effects) {
	contacted := map[string]bool{m.self.InternalAddress: true}
	for _, status := range m.members {
		if now-status.LastHeard < livenessTimeout {
			contacted[status.Member.InternalAddress] = true
		}
	}
	m.dialOnce(m.config.Seeds, contacted, m.newGossipToStorageNode(now, fullMembers), effects)
}

func (m *Membership) pollRandomMember(now eventloop.Micros, effects eventloop.Effects) {
	ids := m.memberIDs()
	address := m.members[ids[m.rng.IntN(len(ids))]].Member.InternalAddress
	effects.SendToAddress(address, m.newGossip(now, heartbeatsOnly))
}

// broadcast sends to all live storage nodes without requesting replies.
func (m *Membership) broadcast(now eventloop.Micros, detail gossipDetail, effects eventloop.Effects) {
	gossip := m.newUnsolicitedGossip(now, detail)
	for _, address := range m.liveStorageNodes(now) {
		effects.SendToAddress(address, gossip)
	}
}

// broadcastChange sends a change of this process's own status out of turn. The heartbeat
// counts up, or receivers would take it for the status they have.
func (m *Membership) broadcastChange(now eventloop.Micros, effects eventloop.Effects) {
	m.self.Heartbeat++
	m.broadcast(now, heartbeatsOnly, effects)
}

func (m *Membership) memberIDs() []string {
	return slices.Sorted(maps.Keys(m.members))
}

// liveStorageNodes returns the addresses of the other storage nodes that are alive. All
// processes exchange gossip with them, so a heartbeat takes two hops between any two.
func (m *Membership) liveStorageNodes(now eventloop.Micros) []string {
	var addresses []string
	for _, id := range m.memberIDs() {
		if status := m.members[id]; status.Member.HasStorage && now-status.LastHeard < livenessTimeout {
			addresses = append(addresses, status.Member.InternalAddress)
		}
	}
	return addresses
}

func (m *Membership) isSeed() bool { return slices.Contains(m.config.Seeds, m.self.InternalAddress) }

// randomSeed returns the address of a seed other than this process; empty if there is none.
func (m *Membership) randomSeed() string {
	var others []string
	for _, seed := range m.config.Seeds {
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

// mayBeStorageNode reports whether a storage node, or an unknown process, listens at an
// address.
func (m *Membership) mayBeStorageNode(address string) bool {
	for _, status := range m.members {
		if status.Member.InternalAddress == address {
			return status.Member.HasStorage
		}
	}
	return true
}
