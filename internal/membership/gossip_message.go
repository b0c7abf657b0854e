package membership

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// MaxControllerCandidates is how many agent nodes compete for the controller lease. Processes
// without storage are told of no other agent nodes: each candidate is polled by all of them.
const MaxControllerCandidates = 7

// gossipMaxAge is the age from which a member's status isn't passed on.
const gossipMaxAge = 10 * eventloop.Second

// gossipDetail is how much a gossip message says of other members.
type gossipDetail int

const (
	selfOnly       gossipDetail = iota
	heartbeatsOnly              // what changes during an incarnation; a receiver requests the rest if it lacks it
	fullMembers
)

// newGossip returns a message about this process and the members it has heard of.
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
		if status := m.members[id]; now-status.LastHeard < gossipMaxAge {
			gossip.Members = append(gossip.Members, gossipEntry(status.Member, detail))
		}
	}
	return gossip
}

func gossipEntry(member *schema.Member, detail gossipDetail) *schema.Member {
	if detail == fullMembers {
		return member
	}
	return &schema.Member{
		Id: member.Id, Incarnation: member.Incarnation,
		Heartbeat: member.Heartbeat, Draining: member.Draining, LatencyUs: member.LatencyUs,
	}
}

// newGossipToStorageNode returns a message to a storage node or seed. An agent node that
// reaches a storage node passes on only the members that requested gossip from it, because
// they may reach no storage node; the others the storage nodes know better.
func (m *Membership) newGossipToStorageNode(now eventloop.Micros, detail gossipDetail) *schema.Gossip {
	if !m.clusterExists || !m.config.IsAgentNode || len(m.liveStorageNodes(now)) == 0 {
		return m.newGossip(now, detail)
	}
	gossip := m.newGossip(now, selfOnly)
	if detail == selfOnly {
		return gossip
	}
	if detail == fullMembers {
		// A message with a full member is answered with full members.
		gossip.Members = append(gossip.Members, gossip.Self)
	}
	for _, id := range slices.Sorted(maps.Keys(m.requesters)) {
		if status, found := m.members[id]; found && now-status.LastHeard < gossipMaxAge {
			gossip.Members = append(gossip.Members, gossipEntry(status.Member, detail))
		}
	}
	return gossip
}

// newGossipReply returns the reply to a request. Only storage nodes need to know of all agent
// nodes; if every process did, the traffic would grow with the square of their number.
func (m *Membership) newGossipReply(now eventloop.Micros, detail gossipDetail, request *schema.Gossip) *schema.Gossip {
	gossip := m.newGossip(now, detail)
	gossip.IsReply = true
	if m.clusterExists && request.Joined && !request.Self.HasStorage {
		m.omitAgentNodes(now, gossip)
	}
	return gossip
}

// newUnsolicitedGossip returns a message that requests no reply: to receivers that report on
// their own.
func (m *Membership) newUnsolicitedGossip(now eventloop.Micros, detail gossipDetail) *schema.Gossip {
	gossip := m.newGossip(now, detail)
	gossip.IsReply = true
	return gossip
}

// omitAgentNodes removes the agent nodes that aren't candidates for the controller lease from
// a message.
func (m *Membership) omitAgentNodes(now eventloop.Micros, gossip *schema.Gossip) {
	zones := map[string]string{}
	for id, status := range m.members {
		if status.Member.Role == schema.Role_ROLE_CONTROLLER && now-status.LastHeard < livenessTimeout {
			zones[id] = status.Member.Zone
		}
	}
	candidates := SpreadOverZones(zones, MaxControllerCandidates)
	gossip.Members = slices.DeleteFunc(gossip.Members, func(member *schema.Member) bool {
		status, found := m.members[member.Id]
		return found && status.Member.Role == schema.Role_ROLE_CONTROLLER && !slices.Contains(candidates, member.Id)
	})
}
