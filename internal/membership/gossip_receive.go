package membership

import (
	"cmp"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	minGossipInterval  = 20 * eventloop.Millisecond // minimum time between two gossip rounds sent between ticks
	addressReuseMinAge = eventloop.Second           // a member heard from within it isn't replaced by another at its address
)

// peerReport is the last gossip received from a process itself.
type peerReport struct {
	receivedAt eventloop.Micros
	gossip     *schema.Gossip // nil: none was received
}

func (m *Membership) handleGossip(now eventloop.Micros, from string, gossip *schema.Gossip, effects eventloop.Effects) {
	if gossip.Self == nil || gossip.Self.Id != from || from == m.self.Id {
		return
	}
	// A delayed message of a previous incarnation doesn't count any more.
	if previous, known := m.members[from]; known && gossip.Self.Incarnation < previous.Member.Incarnation {
		return
	}
	clusterExisted, seenBefore, knownBefore := m.clusterExists, len(m.seenStorageNodes), len(m.members)
	content := m.mergeGossip(now, from, gossip)
	if gossip.IsReply {
		m.awaitingResponse = false
	} else {
		m.replyTo(now, gossip, content, effects)
	}
	if content.hasUnknownMember {
		m.requestUnknownMember(now, gossip.Self.InternalAddress, effects)
	}
	// A bootstrap shouldn't wait for the next tick when a storage node is discovered.
	discovered := len(m.seenStorageNodes) != seenBefore || m.clusterExists != clusterExisted
	if discovered && now-m.lastExtraGossipAt >= minGossipInterval {
		m.lastExtraGossipAt = now
		m.sendGossip(now, effects)
	}
	if len(m.members) > knownBefore {
		// New members can be addressed from now on.
		m.publish(now, effects)
	}
	m.bootstrap(now, effects)
}

// gossipContent is what the members in a gossip message were.
type gossipContent struct {
	hasFullMember    bool
	hasUnknownMember bool // the heartbeat of a member that isn't known otherwise
}

// mergeGossip merges a message into this process's state.
func (m *Membership) mergeGossip(now eventloop.Micros, from string, gossip *schema.Gossip) gossipContent {
	m.clusterExists = m.clusterExists || gossip.Joined
	m.mergeMember(now, gossip.Self)
	if last := m.reports[from].gossip; last == nil || !isOlder(gossip.Self, last.Self) {
		m.reports[from] = peerReport{receivedAt: now, gossip: gossip}
	}
	var content gossipContent
	for _, member := range gossip.Members {
		if member.GetId() == m.self.Id {
			continue
		}
		content.hasFullMember = content.hasFullMember || member.InternalAddress != ""
		if !m.mergeMember(now, member) {
			content.hasUnknownMember = true
		}
	}
	return content
}

// replyTo replies to a request, with full members if it has any or the requester may not
// know the cluster.
func (m *Membership) replyTo(now eventloop.Micros, request *schema.Gossip, content gossipContent, effects eventloop.Effects) {
	detail := heartbeatsOnly
	if content.hasFullMember || !m.clusterExists || !request.Joined {
		detail = fullMembers
	}
	if m.identity == nil {
		// A process that polls one without storage may reach no storage node, so its status
		// is passed on.
		m.hasUnsentChanges = m.hasUnsentChanges || m.clusterExists
		m.requesters[request.Self.Id] = now
	}
	effects.SendToAddress(request.Self.InternalAddress, m.newGossipReply(now, detail, request))
}

// requestUnknownMember requests full members from the sender of an unknown member's
// heartbeat, at most once a tick; else it is left to the next gossip round.
func (m *Membership) requestUnknownMember(now eventloop.Micros, address string, effects eventloop.Effects) {
	if now-m.fullSyncAt < TickInterval {
		m.hasUnknownMember = true
		return
	}
	m.fullSyncAt = now
	effects.SendToAddress(address, m.newGossipToStorageNode(now, fullMembers))
}

// isOlder reports whether one status of a member is older than another.
func isOlder(a, b *schema.Member) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Heartbeat, b.Heartbeat)) < 0
}

// mergeMember takes a member's status unless a newer one is known. It returns false if the
// status is a mere heartbeat and the member isn't known.
func (m *Membership) mergeMember(now eventloop.Micros, member *schema.Member) bool {
	if member.GetId() == "" {
		return true
	}
	old, known := m.members[member.Id]
	if known && !isOlder(old.Member, member) {
		return true
	}
	if member.InternalAddress == "" {
		if !known || member.Incarnation != old.Member.Incarnation {
			return false
		}
		next := proto.Clone(old.Member).(*schema.Member)
		next.Heartbeat, next.Draining, next.LatencyUs = member.Heartbeat, member.Draining, member.LatencyUs
		member = next
	}
	if !known || old.Member.InternalAddress != member.InternalAddress {
		m.removePredecessors(now, member)
	}
	m.members[member.Id] = MemberStatus{Member: member, LastHeard: now}
	if member.HasStorage {
		m.seenStorageNodes[member.Id] = now
	}
	return true
}

// removePredecessors removes members at the address of another that was heard from since.
func (m *Membership) removePredecessors(now eventloop.Micros, member *schema.Member) {
	for id, other := range m.members {
		if id != member.Id && other.Member.InternalAddress == member.InternalAddress && now-other.LastHeard > addressReuseMinAge {
			m.removeMember(id)
		}
	}
}
