package membership

import (
	"cmp"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	minGossipInterval  = 20 * eventloop.Millisecond // minimum time between two gossip rounds outside of ticks
	addressReuseMinAge = eventloop.Second           // a member heard of within this time isn't replaced at its address
)

// peerReport is the last gossip received directly from a process.
type peerReport struct {
	receivedAt eventloop.Micros
	gossip     *schema.Gossip // nil if none was received
}

func (m *Membership) handleGossip(now eventloop.Micros, from string, gossip *schema.Gossip, effects eventloop.Effects) {
	if gossip.Self == nil || gossip.Self.Id != from || from == m.self.Id {
		return
	}
	// Ignore a delayed message from a previous incarnation.
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
	// Send gossip before the next tick when a storage node is discovered, to speed up a bootstrap.
	discovered := len(m.seenStorageNodes) != seenBefore || m.clusterExists != clusterExisted
	if discovered && now-m.lastExtraGossipAt >= minGossipInterval {
		m.lastExtraGossipAt = now
		m.sendGossip(now, effects)
	}
	if len(m.members) > knownBefore {
		// Other components can send to the new members from now on.
		m.publish(now, effects)
	}
	m.bootstrap(now, effects)
}

// gossipContent records which kinds of members a gossip message contained.
type gossipContent struct {
	hasFullMember    bool
	hasUnknownMember bool // a heartbeat of a member whose other fields aren't known
}

// mergeGossip updates the members and the sender's report from a message. It returns which kinds
// of members the message contained.
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

// replyTo replies to a request. The reply has full members if the request contains a full member,
// or if this process or the requester hasn't learned yet that a cluster exists.
func (m *Membership) replyTo(now eventloop.Micros, request *schema.Gossip, content gossipContent, effects eventloop.Effects) {
	detail := heartbeatsOnly
	if content.hasFullMember || !m.clusterExists || !request.Joined {
		detail = fullMembers
	}
	if m.identity == nil {
		// A process that polls a process without storage may reach no storage node, so this
		// process forwards the sender's status to the storage nodes.
		m.hasUnsentChanges = m.hasUnsentChanges || m.clusterExists
		m.requesters[request.Self.Id] = now
	}
	effects.SendToAddress(request.Self.InternalAddress, m.newGossipReply(now, detail, request))
}

// requestUnknownMember requests full members from the process that sent an unknown member's
// heartbeat. If full members were already requested within the last tick interval, the next
// gossip round requests them instead.
func (m *Membership) requestUnknownMember(now eventloop.Micros, address string, effects eventloop.Effects) {
	if now-m.fullSyncAt < TickInterval {
		m.hasUnknownMember = true
		return
	}
	m.fullSyncAt = now
	effects.SendToAddress(address, m.newGossipToStorageNode(now, fullMembers))
}

// isOlder reports whether status a of a member is older than status b of the same member.
func isOlder(a, b *schema.Member) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Heartbeat, b.Heartbeat)) < 0
}

// mergeMember stores a member's status if it is newer than the known one. It returns false if the
// status contains only a heartbeat and the member's other fields aren't known.
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
	if !known {
		m.idsForOthers = nil
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

// removePredecessors removes other members at the address of a member that has just been heard
// of, unless they were heard of within addressReuseMinAge.
func (m *Membership) removePredecessors(now eventloop.Micros, member *schema.Member) {
	for id, other := range m.members {
		if id != member.Id && other.Member.InternalAddress == member.InternalAddress && now-other.LastHeard > addressReuseMinAge {
			m.removeMember(id)
		}
	}
}
