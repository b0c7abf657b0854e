package membership

// Gossip: heartbeats and members told and heard.

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// peerReport is the last hello a process sent us itself.
type peerReport struct {
	receivedAt eventloop.Micros
	gossip     *schema.Gossip
}

// gossipDetail is how much of the book a hello carries.
type gossipDetail int

func (m *Membership) newGossip(now eventloop.Micros, detail gossipDetail) *schema.Gossip {
	gossip := &schema.Gossip{Self: proto.Clone(m.self).(*schema.Member), Joined: m.clusterExists}
	if m.identity != nil {
		gossip.Empty = m.mayBootstrap()
		gossip.BootstrapVote = m.identity.BootstrapVote
	}
	if !m.clusterExists {
		gossip.KnownStores = m.visibleStorageNodes()
	}
	if detail == selfOnly {
		return gossip
	}
	for _, id := range m.memberIDs() {
		known := m.members[id]
		if now-known.LastHeard >= gossipMaxAge {
			continue
		}
		gossip.Members = append(gossip.Members, gossipEntry(known.Member, detail))
	}
	return gossip
}

// gossipEntry is a member as a book tells of it.
func gossipEntry(member *schema.Member, detail gossipDetail) *schema.Member {
	if detail == fullMembers {
		return member
	}
	return &schema.Member{Id: member.Id, Incarnation: member.Incarnation, Heartbeat: member.Heartbeat, Draining: member.Draining, LatencyUs: member.LatencyUs}
}

// newGossipToStorageNode is the hello to a store or seed. Once a store is heard, what a side
// machine knows the stores know better, but for who asks it because they reach
// no store.
func (m *Membership) newGossipToStorageNode(now eventloop.Micros, detail gossipDetail) *schema.Gossip {
	if !m.clusterExists || !m.config.IsAgentNode || len(m.liveStorageNodes(now)) == 0 {
		return m.newGossip(now, detail)
	}
	gossip := m.newGossip(now, selfOnly)
	if detail == selfOnly {
		return gossip
	}
	if detail == fullMembers {
		// Who tells a whole member is answered with whole ones.
		gossip.Members = append(gossip.Members, gossip.Self)
	}
	for _, id := range slices.Sorted(maps.Keys(m.requesters)) {
		if known, isKnown := m.members[id]; isKnown && now-known.LastHeard < gossipMaxAge {
			gossip.Members = append(gossip.Members, gossipEntry(known.Member, detail))
		}
	}
	return gossip
}

// newGossipReply is the hello to one that asks. Only stores need to know of all side
// machines; whoever else asks within a system is told of the stores, the fronts
// and the candidates: what all know of all would grow with the square of them.
func (m *Membership) newGossipReply(now eventloop.Micros, detail gossipDetail, request *schema.Gossip) *schema.Gossip {
	gossip := m.newGossip(now, detail)
	gossip.IsReply = true
	if m.clusterExists && request.Joined && !request.Self.HasStorage {
		m.omitAgentNodes(now, gossip)
	}
	return gossip
}

// omitAgentNodes takes the side machines out of a hello that don't stand for controller.
func (m *Membership) omitAgentNodes(now eventloop.Micros, gossip *schema.Gossip) {
	zones := map[string]string{}
	for id, known := range m.members {
		if known.Member.Role == schema.Role_ROLE_CONTROLLER && now-known.LastHeard < storageNodeTimeout {
			zones[id] = known.Member.Zone
		}
	}
	candidates := SpreadOverZones(zones, MaxControllerCandidates)
	gossip.Members = slices.DeleteFunc(gossip.Members, func(member *schema.Member) bool {
		known, isKnown := m.members[member.Id]
		return isKnown && known.Member.Role == schema.Role_ROLE_CONTROLLER && !slices.Contains(candidates, member.Id)
	})
}

func (m *Membership) memberIDs() []string {
	return slices.Sorted(maps.Keys(m.members))
}

// liveStorageNodes are the other stores, those heard of lately. Everybody asks them in
// turn, so a beat takes two hops from anybody to anybody.
func (m *Membership) liveStorageNodes(now eventloop.Micros) []string {
	var addresses []string
	for _, id := range m.memberIDs() {
		if known := m.members[id]; known.Member.HasStorage && now-known.LastHeard < storageNodeTimeout {
			addresses = append(addresses, known.Member.InternalAddress)
		}
	}
	return addresses
}

func (m *Membership) isSeed() bool { return slices.Contains(m.config.Seeds, m.self.InternalAddress) }

// randomSeed is any seed but ourselves.
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

func (m *Membership) sendGossip(now eventloop.Micros, effects eventloop.Effects) {
	m.self.Heartbeat++
	switch {
	case len(m.members) == 0:
		// Seeds are asked all the time until somebody answers. They may all
		// have been replaced while this machine was away; whom it knew then is
		// worth a try.
		gossip := m.newGossip(now, fullMembers)
		sentTo := map[string]bool{m.self.InternalAddress: true}
		for _, address := range append(slices.Clone(m.config.Seeds), m.knownAddresses...) {
			if !sentTo[address] {
				sentTo[address] = true
				effects.Dial(address, gossip)
			}
		}
	case m.clusterExists:
		m.exchange(now, effects)
	default:
		m.discover(now, effects)
	}
}

// discover: before a system exists, seeds and stores all tell each other whom
// they see; the others ask a seed.
func (m *Membership) discover(now eventloop.Micros, effects eventloop.Effects) {
	gossip := m.newGossip(now, fullMembers)
	if m.identity == nil && !m.isSeed() {
		if seed := m.randomSeed(); seed != "" {
			effects.Dial(seed, gossip)
		}
		return
	}
	sentTo := map[string]bool{m.self.InternalAddress: true}
	for _, seed := range m.config.Seeds {
		if !sentTo[seed] {
			sentTo[seed] = true
			effects.Dial(seed, gossip)
		}
	}
	// Whoever is told here tells us too, in its own turn.
	unsolicited := proto.Clone(gossip).(*schema.Gossip)
	unsolicited.IsReply = true
	for _, id := range m.memberIDs() {
		if member := m.members[id].Member; member.HasStorage && !sentTo[member.InternalAddress] {
			sentTo[member.InternalAddress] = true
			effects.Dial(member.InternalAddress, unsolicited)
		}
	}
}

// exchange: in a system. A store tells all others at each pace; a side machine
// asks one store at each pace, the others at each second one. Whoever
// got no word asks one of all besides, for the stores may be cut off from us
// and not from others.
func (m *Membership) exchange(now eventloop.Micros, effects eventloop.Effects) {
	storageNodes := m.liveStorageNodes(now)
	// Whoever hears of no store asks at each pace: the seed asked before may have
	// known none itself, as when all have just started.
	if m.hasUnknownMember || len(storageNodes) == 0 || now-m.fullSyncAt >= fullSyncInterval {
		// A seed in turn: that is how two halves that met different seeds find
		// each other.
		m.hasUnknownMember, m.fullSyncAt = false, now
		seed := m.randomSeed()
		if seed != "" {
			report := m.newGossipToStorageNode(now, fullMembers)
			if !m.mayBeStorageNode(seed) {
				m.omitAgentNodes(now, report)
			}
			effects.Dial(seed, report)
		}
		// The seeds may all have been replaced while we ran on: beats alone don't tell
		// who somebody new is, so a store that is heard of is asked in their place.
		if len(storageNodes) > 0 && !m.isAliveAt(now, seed) {
			effects.Dial(storageNodes[m.rng.IntN(len(storageNodes))], m.newGossipToStorageNode(now, fullMembers))
		}
	}
	if m.ticks < startupTicks {
		m.contactSeeds(now, effects)
	}
	isStore, isTurn := m.identity != nil, m.ticks%2 == 0
	if !isTurn && !isStore && !m.config.IsAgentNode && !m.awaitingResponse && !m.hasUnsentChanges {
		return
	}
	detail := selfOnly
	if m.hasUnsentChanges || m.ticks%4 == 0 {
		detail = heartbeatsOnly
	}
	if m.awaitingResponse || len(storageNodes) == 0 {
		detail = heartbeatsOnly
		ids := m.memberIDs()
		effects.Dial(m.members[ids[m.rng.IntN(len(ids))]].Member.InternalAddress, m.newGossip(now, heartbeatsOnly))
	}
	if isStore {
		// Of others it tells at each second pace.
		if !isTurn {
			detail = selfOnly
		} else {
			detail = heartbeatsOnly
		}
		m.broadcast(now, detail, effects)
	} else if len(storageNodes) > 0 {
		m.pollTurn++
		effects.Dial(storageNodes[m.pollTurn%uint64(len(storageNodes))], m.newGossipToStorageNode(now, detail))
	}
	m.awaitingResponse, m.hasUnsentChanges = true, false
}

// contactSeeds: a young process calls every seed that it hasn't heard of yet. They may
// come up after it, as when all have just been restarted, and others who know only
// them hear of nobody until they do.
func (m *Membership) contactSeeds(now eventloop.Micros, effects eventloop.Effects) {
	contacted := map[string]bool{m.self.InternalAddress: true}
	for _, known := range m.members {
		if now-known.LastHeard < storageNodeTimeout {
			contacted[known.Member.InternalAddress] = true
		}
	}
	for _, seed := range m.config.Seeds {
		if !contacted[seed] {
			contacted[seed] = true
			effects.Dial(seed, m.newGossipToStorageNode(now, fullMembers))
		}
	}
}

// isAliveAt tells whether a process at an address was heard of lately.
func (m *Membership) isAliveAt(now eventloop.Micros, address string) bool {
	for _, known := range m.members {
		if known.Member.InternalAddress == address && now-known.LastHeard < storageNodeTimeout {
			return true
		}
	}
	return false
}

// mayBeStorageNode tells whether a store, or nobody we know, lives at an address.
func (m *Membership) mayBeStorageNode(address string) bool {
	for _, known := range m.members {
		if known.Member.InternalAddress == address {
			return known.Member.HasStorage
		}
	}
	return true
}

// broadcast tells every store without asking anything.
func (m *Membership) broadcast(now eventloop.Micros, detail gossipDetail, effects eventloop.Effects) {
	unsolicited := m.newGossip(now, detail)
	unsolicited.IsReply = true
	for _, address := range m.liveStorageNodes(now) {
		effects.Dial(address, unsolicited)
	}
}

// isOlder tells whether a process said one thing of itself before another.
func isOlder(a, b *schema.Member) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Heartbeat, b.Heartbeat)) < 0
}

func (m *Membership) handleGossip(now eventloop.Micros, from string, gossip *schema.Gossip, effects eventloop.Effects) {
	if gossip.Self == nil || gossip.Self.Id != from || from == m.self.Id {
		return
	}
	// What a former life said, and comes late, is nobody's word any more.
	if previous, isKnown := m.members[from]; isKnown && gossip.Self.Incarnation < previous.Member.Incarnation {
		return
	}
	clusterExisted, seenBefore, knownBefore := m.clusterExists, len(m.seenStorageNodes), len(m.members)
	m.clusterExists = m.clusterExists || gossip.Joined
	m.mergeMember(now, gossip.Self)
	if lastGossip := m.reports[from].gossip; lastGossip == nil || !isOlder(gossip.Self, lastGossip.Self) {
		m.reports[from] = peerReport{receivedAt: now, gossip: gossip}
	}
	hasFullMember, unknownMember := false, false
	for _, member := range gossip.Members {
		if member.GetId() == m.self.Id {
			continue
		}
		hasFullMember = hasFullMember || member.InternalAddress != ""
		unknownMember = !m.mergeMember(now, member) || unknownMember
	}
	if gossip.IsReply {
		m.awaitingResponse = false
	} else {
		// Somebody who asks a process that is no store may reach no other.
		m.hasUnsentChanges = m.hasUnsentChanges || m.identity == nil && m.clusterExists
		detail := heartbeatsOnly
		if hasFullMember || !m.clusterExists || !gossip.Joined {
			detail = fullMembers
		}
		if m.identity == nil {
			m.requesters[from] = now
		}
		effects.Dial(gossip.Self.InternalAddress, m.newGossipReply(now, detail, gossip))
	}
	if unknownMember && now-m.fullSyncAt >= TickInterval {
		m.fullSyncAt = now
		effects.Dial(gossip.Self.InternalAddress, m.newGossipToStorageNode(now, fullMembers))
	} else if unknownMember {
		m.hasUnknownMember = true
	}
	// Founding shouldn't wait for the pace when a store is news.
	if isChange := len(m.seenStorageNodes) != seenBefore || m.clusterExists != clusterExisted; isChange && now-m.outOfTurnAt >= minGossipInterval {
		m.outOfTurnAt = now
		m.sendGossip(now, effects)
	}
	// Whoever is new here can be reached from now on.
	if len(m.members) > knownBefore {
		m.publish(now, effects)
	}
	m.bootstrap(now, effects)
}

// mergeMember takes in what is told of a member; false if it is a mere beat of one
// whom we don't know.
func (m *Membership) mergeMember(now eventloop.Micros, member *schema.Member) bool {
	if member.GetId() == "" {
		return true
	}
	old, isKnown := m.members[member.Id]
	isNewer := !isKnown || member.Incarnation > old.Member.Incarnation || member.Incarnation == old.Member.Incarnation && member.Heartbeat > old.Member.Heartbeat
	if !isNewer {
		return true
	}
	if member.InternalAddress == "" {
		if !isKnown || member.Incarnation != old.Member.Incarnation {
			return false
		}
		next := proto.Clone(old.Member).(*schema.Member)
		next.Heartbeat, next.Draining, next.LatencyUs = member.Heartbeat, member.Draining, member.LatencyUs
		member = next
	}
	// An address belongs to whoever was heard there last.
	if !isKnown || old.Member.InternalAddress != member.InternalAddress {
		for id, other := range m.members {
			if id != member.Id && other.Member.InternalAddress == member.InternalAddress && now-other.LastHeard > eventloop.Second {
				delete(m.members, id)
				delete(m.reports, id)
			}
		}
	}
	m.members[member.Id] = MemberStatus{Member: member, LastHeard: now}
	if member.HasStorage {
		m.seenStorageNodes[member.Id] = now
	}
	return true
}
