package membership

import (
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// This file implements the bootstrap of a cluster. The number of storage nodes isn't
// configured, and a seed may have no disk. Therefore every process reports which storage nodes
// it knows of, and each storage node votes for a set S of them. It votes only once, and the
// vote is persisted. It may vote for S only if every storage node in S and every seed has
// recently and directly reported exactly the same nodes as the voter. Once all nodes in S have
// reported the same vote, the Raft group that replicates the cluster state is created.
//
// Two different votes can't both succeed. Until a process votes, the set of nodes that it knows
// of only grows: a node is forgotten after a minute without a heartbeat through any process,
// but a report counts for only two seconds. After its vote a process reports only the nodes
// in its vote. Assume that P voted for S and Q voted for T.
//   - If P is in T and Q is in S, each of them reported the other's set before its own vote.
//     Their known nodes only grew, so T is a subset of S, and S is a subset of T.
//   - If P isn't in T, some seed reported S, which contains P, to P, and reported T, which
//     doesn't contain P, to Q. The seed's known nodes only grew, so it reported T first, and T
//     is a subset of S. Then Q is in S, and Q reported S to P before it voted for T. This is a
//     contradiction, because the nodes that Q knew of would have shrunk.
//
// A process that restarts knows of no nodes at first, so its known nodes may shrink. Q can vote
// without P only if all seeds forget P at the same time. Even then P's vote can't succeed,
// because the nodes in P's set have voted for another set.
//
// A storage node that receives a vote for a set that contains it adopts the vote, because the
// vote was cast by these rules.

const (
	agreementPeriod        = 700 * eventloop.Millisecond // how long all must agree before a vote
	reducedAgreementPeriod = 6 * eventloop.Second        // how long they must agree if there are fewer nodes than desired
	reportMaxAge           = 2 * eventloop.Second        // older reports are ignored
)

// visibleStorageNodes returns the sorted ids of the storage nodes that this process reports as
// known. Once it has a vote these are the nodes in the vote.
func (m *Membership) visibleStorageNodes() []string {
	if m.identity != nil && len(m.identity.BootstrapVote) > 0 {
		return m.identity.BootstrapVote
	}
	if m.pendingIdentity != nil && len(m.frozenStorageNodes) > 0 {
		return m.frozenStorageNodes
	}
	ids := slices.Collect(maps.Keys(m.seenStorageNodes))
	if m.identity != nil {
		ids = append(ids, m.self.Id)
	}
	slices.Sort(ids)
	return ids
}

// mayBootstrap reports whether this process may vote: it must be a storage node that hasn't joined
// a cluster, and this must be the first start of the cluster.
func (m *Membership) mayBootstrap() bool {
	return m.identity != nil && !m.identity.Joined && (m.config.Bootstrap || m.isImplicitBootstrap() && slices.Contains(m.config.Seeds, m.self.InternalAddress))
}

// isImplicitBootstrap reports whether the settings specify neither that this is the first start
// nor how many machine failures to tolerate. In that case the storage nodes that are seeds
// bootstrap the cluster. Otherwise only config.Bootstrap allows a bootstrap, so that a node
// that comes back empty at a seed's address never bootstraps a second cluster.
func (m *Membership) isImplicitBootstrap() bool {
	return !m.config.Bootstrap && m.config.MachineFailures == 0
}

// bootstrap casts this node's vote if it hasn't voted yet. Once the vote has succeeded, it
// persists that the node has joined and has the cluster state's group created.
func (m *Membership) bootstrap(now eventloop.Micros, effects eventloop.Effects) {
	if m.identity == nil || m.identity.Joined || m.pendingIdentity != nil {
		return
	}
	if len(m.identity.BootstrapVote) == 0 {
		m.castVote(now, effects)
		return
	}
	if !m.hasVoteSucceeded() {
		return
	}
	next := proto.Clone(m.identity).(*schema.StoreIdentity)
	next.Joined = true
	m.persist(PersistIdentity{Identity: next, BootstrapVoters: next.BootstrapVote}, effects)
}

func (m *Membership) castVote(now eventloop.Micros, effects eventloop.Effects) {
	vote := m.adoptedVote()
	if vote == nil {
		vote = m.settledVoters(now)
	}
	if vote == nil {
		return
	}
	m.frozenStorageNodes = m.visibleStorageNodes()
	next := proto.Clone(m.identity).(*schema.StoreIdentity)
	next.BootstrapVote = vote
	m.persist(PersistIdentity{Identity: next}, effects)
}

// hasVoteSucceeded reports whether all nodes in the set that this node voted for have cast the
// same vote.
func (m *Membership) hasVoteSucceeded() bool {
	vote := m.identity.BootstrapVote
	for _, id := range vote {
		if id != m.self.Id && !slices.Equal(m.reports[id].gossip.GetBootstrapVote(), vote) {
			return false
		}
	}
	return true
}

// adoptedVote returns the vote of another storage node for a set that contains both nodes. It
// returns nil if there is no such vote or a cluster already exists.
func (m *Membership) adoptedVote() []string {
	if m.clusterExists {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(m.reports)) {
		if vote := m.reports[id].gossip.BootstrapVote; slices.Contains(vote, m.self.Id) && slices.Contains(vote, id) {
			return slices.Clone(vote)
		}
	}
	return nil
}

// settledVoters returns the set to vote for, or nil until all processes have agreed for long
// enough.
func (m *Membership) settledVoters(now eventloop.Micros) []string {
	voters, desired := m.evaluateAgreement(now)
	key := strings.Join(voters, " ") + "/" + strings.Join(m.visibleStorageNodes(), " ")
	if len(voters) == 0 {
		m.agreementKey = ""
		return nil
	}
	if key != m.agreementKey {
		m.agreementKey, m.agreedSince = key, now
	}
	period := agreementPeriod
	if len(voters) < desired {
		period = reducedAgreementPeriod
	}
	if now-m.agreedSince < period || !slices.Contains(voters, m.self.Id) {
		return nil
	}
	return voters
}

// evaluateAgreement returns the initial voters of the group and how many voters are desired. It
// returns no voters unless all processes that must agree report the same storage nodes.
func (m *Membership) evaluateAgreement(now eventloop.Micros) (voters []string, desired int) {
	if m.clusterExists || !m.mayBootstrap() {
		return nil, 0
	}
	visible := m.visibleStorageNodes()
	zones, agreed := m.bootstrapZones(now, visible)
	if !agreed || !m.seedsAgree(now, visible) {
		return nil, 0
	}
	desired = m.config.VoterCount()
	if !m.config.Bootstrap {
		desired = min(desired, len(m.config.Seeds))
	}
	return m.config.Tolerance().SelectVoters(zones, m.config.VoterCount()), desired
}

// agrees reports whether a recent report, from a process that hasn't joined a cluster, lists
// exactly the storage nodes that are visible to this process.
func (r peerReport) agrees(now eventloop.Micros, visible []string) bool {
	return r.gossip != nil && now-r.receivedAt < reportMaxAge && !r.gossip.Joined && slices.Equal(r.gossip.KnownStores, visible)
}

// bootstrapZones returns the zones, by id, of the storage nodes that may become voters, and
// whether all visible storage nodes agree. Nodes that may not bootstrap must agree too,
// although they only join later.
func (m *Membership) bootstrapZones(now eventloop.Micros, visible []string) (zones map[string]string, agreed bool) {
	zones = map[string]string{}
	for _, id := range visible {
		if id == m.self.Id {
			zones[id] = m.self.Zone
			continue
		}
		report := m.reports[id]
		if !report.agrees(now, visible) {
			return nil, false
		}
		if report.gossip.Empty {
			zones[id] = report.gossip.Self.Zone
		}
	}
	return zones, true
}

// seedsAgree reports whether all seeds report the storage nodes that are visible to this
// process.
func (m *Membership) seedsAgree(now eventloop.Micros, visible []string) bool {
	for _, seed := range m.config.Seeds {
		if seed == m.self.InternalAddress {
			continue
		}
		report := m.reportFrom(seed)
		if !report.agrees(now, visible) {
			return false
		}
		// In an implicit bootstrap all seeds must be empty storage nodes.
		if !m.config.Bootstrap && !report.gossip.Empty {
			return false
		}
	}
	return true
}

// reportFrom returns the latest report from an address. Its gossip is nil if there is no report.
func (m *Membership) reportFrom(address string) peerReport {
	var last peerReport
	for _, report := range m.reports {
		if report.gossip.Self.InternalAddress == address && report.receivedAt > last.receivedAt {
			last = report
		}
	}
	return last
}
