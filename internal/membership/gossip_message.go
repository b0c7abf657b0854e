package membership

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// MaxControllerCandidates is the maximum number of agent nodes that compete for the controller
// lease. Processes without storage are told of no other agent nodes: each candidate is polled
// by all of them.
const MaxControllerCandidates = 7

// gossipMaxAge limits which members a gossip message includes: those last heard of longer ago
// are left out.
const gossipMaxAge = 10 * eventloop.Second

// gossipDetail selects how much a gossip message contains about other members.
type gossipDetail int

const (
	selfOnly       gossipDetail = iota // no other members
	heartbeatsOnly                     // fields that change during an incarnation; a receiver that lacks the rest requests it
	fullMembers                        // all fields
)

// newGossip returns a message about this process and the members that it has recently heard of.
func (m *Membership) newGossip(now eventloop.Micros, detail gossipDetail) *schema.Gossip {
	if detail == selfOnly {
		return m.newGossipAbout(now, detail, nil)
	}
	return m.newGossipAbout(now, detail, m.memberIDs())
}

// newGossipAbout returns a message about this process and those of the given members that it has
// recently heard of.
func (m *Membership) newGossipAbout(now eventloop.Micros, detail gossipDetail, ids []string) *schema.Gossip {
	gossip := &schema.Gossip{Self: proto.Clone(m.self).(*schema.Member), Joined: m.clusterExists}
	if m.identity != nil {
		gossip.Empty = m.mayBootstrap()
		gossip.BootstrapVote = m.identity.BootstrapVote
	}
	if !m.clusterExists {
		gossip.KnownStores = m.visibleStorageNodes()
	}
	for _, id := range ids {
		if status := m.members[id]; now-status.LastHeard < gossipMaxAge {
			gossip.Members = append(gossip.Members, gossipEntry(status.Member, detail))
		}
	}
	return gossip
}

// gossipEntry returns a member as a message contains it: with all fields if detail is fullMembers,
// and otherwise only with its id and the fields that change often.
func gossipEntry(member *schema.Member, detail gossipDetail) *schema.Member {
	if detail == fullMembers {
		return member
	}
	return &schema.Member{
		Id: member.Id, Incarnation: member.Incarnation,
		Heartbeat: member.Heartbeat, Draining: member.Draining, LatencyUs: member.LatencyUs,
	}
}

// newGossipToStorageNode returns a message to a storage node or seed. An agent node that knows
// a live storage node includes only the members that requested gossip from it, because they may
// reach no storage node. The storage nodes have more recent information about all others.
func (m *Membership) newGossipToStorageNode(now eventloop.Micros, detail gossipDetail) *schema.Gossip {
	if !m.clusterExists || !m.config.IsAgentNode || len(m.liveStorageNodes(now)) == 0 {
		return m.newGossip(now, detail)
	}
	gossip := m.newGossip(now, selfOnly)
	if detail == selfOnly {
		return gossip
	}
	if detail == fullMembers {
		// A receiver replies with full members if the request contains a full member.
		gossip.Members = append(gossip.Members, gossip.Self)
	}
	for _, id := range slices.Sorted(maps.Keys(m.requesters)) {
		if status, found := m.members[id]; found && now-status.LastHeard < gossipMaxAge {
			gossip.Members = append(gossip.Members, gossipEntry(status.Member, detail))
		}
	}
	return gossip
}

// newGossipReply returns the reply to a request. Only storage nodes are sent all agent nodes: if
// every process were, the traffic would grow with the square of the number of processes.
func (m *Membership) newGossipReply(now eventloop.Micros, detail gossipDetail, request *schema.Gossip) *schema.Gossip {
	ids := m.memberIDsForOthers
	if !m.clusterExists || !request.Joined || request.Self.HasStorage {
		ids = func(eventloop.Micros) []string { return m.memberIDs() }
	}
	gossip := m.newGossipAbout(now, detail, ids(now))
	gossip.IsReply = true
	return gossip
}

// memberIDsForOthers returns the sorted ids of the members that processes without storage are told
// of. All agent nodes request them several times a second, so they are collected once a tick.
func (m *Membership) memberIDsForOthers(now eventloop.Micros) []string {
	if m.idsForOthers == nil {
		candidates := m.controllerCandidates(now)
		m.idsForOthers = slices.DeleteFunc(m.memberIDs(), func(id string) bool {
			return m.members[id].Member.Role == schema.Role_ROLE_CONTROLLER && !slices.Contains(candidates, id)
		})
	}
	return m.idsForOthers
}

// newUnsolicitedGossip returns a message that requests no reply. It is for receivers that send
// their own gossip to this process anyway.
func (m *Membership) newUnsolicitedGossip(now eventloop.Micros, detail gossipDetail) *schema.Gossip {
	gossip := m.newGossip(now, detail)
	gossip.IsReply = true
	return gossip
}

// omitAgentNodes removes from a message the agent nodes that aren't candidates for the controller
// lease.
func (m *Membership) omitAgentNodes(now eventloop.Micros, gossip *schema.Gossip) {
	candidates := m.controllerCandidates(now)
	gossip.Members = slices.DeleteFunc(gossip.Members, func(member *schema.Member) bool {
		status, found := m.members[member.Id]
		return found && status.Member.Role == schema.Role_ROLE_CONTROLLER && !slices.Contains(candidates, member.Id)
	})
}

// controllerCandidates returns the ids of the agent nodes that compete for the controller lease.
func (m *Membership) controllerCandidates(now eventloop.Micros) []string {
	zones := map[string]string{}
	for id, status := range m.members {
		if status.Member.Role == schema.Role_ROLE_CONTROLLER && now-status.LastHeard < livenessTimeout {
			zones[id] = status.Member.Zone
		}
	}
	return SpreadOverZones(zones, MaxControllerCandidates)
}
