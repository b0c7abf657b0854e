package membership

import (
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Bootstrap. The number of storage nodes isn't configured, and seeds may have no disk. So
// every process reports which storage nodes it knows of, and a storage node votes, durably
// and only once, for a set S of them: every storage node in S and every seed must have
// reported exactly the same nodes as the voter, each itself and recently. Once all nodes in S
// have reported the same vote, the group of the cluster state is created.
//
// Why no two different votes can both succeed: until a process votes, the nodes it knows of
// only grow (a node is forgotten after a minute without a heartbeat from anybody, while a
// report older than two seconds doesn't count), and from then on it reports its vote alone.
// Say P voted for S and Q for T.
//   - If each is in the other's set, each has reported the other's set before its own vote:
//     so T is a subset of S and S of T.
//   - If P isn't in T, some seed reported S, with P, to P, and reported T, without P, to Q. So
//     the latter came first and T is a subset of S. Then Q is in S and has reported S to P
//     before it voted for T: the nodes it knew of shrank.
//
// A process that restarts knows of no nodes, so it may know of fewer than before. All seeds
// at once would have to forget P for Q to vote without it; even then P's set can't succeed,
// for its nodes have voted for another.
//
// A storage node that receives a vote which names it adopts that vote: it was cast by these
// rules.

const (
	agreementPeriod        = 700 * eventloop.Millisecond // all must agree for so long before a vote
	reducedAgreementPeriod = 6 * eventloop.Second        // and for so long if there are fewer nodes than desired
	reportMaxAge           = 2 * eventloop.Second        // older reports don't count
)

// visibleStorageNodes returns the ids of the storage nodes that this process reports to know
// of, sorted.
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

// mayBootstrap reports whether this process may vote: it is an empty storage node, and this
// is the first start of the cluster.
func (m *Membership) mayBootstrap() bool {
	return m.identity != nil && !m.identity.Joined && (m.config.Bootstrap || m.isImplicitBootstrap() && m.isSeed())
}

// isImplicitBootstrap reports whether the settings say neither that this is the first start
// nor which failures to tolerate: then the storage nodes that are seeds bootstrap. If they
// say either, only config.Bootstrap allows a bootstrap: without it a node that comes back
// empty at a seed's address never bootstraps another cluster.
func (m *Membership) isImplicitBootstrap() bool {
	return !m.config.Bootstrap && m.config.MachineFailures == 0
}

// bootstrap casts this node's vote, or joins once its vote has succeeded.
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

// hasVoteSucceeded reports whether all nodes in this node's vote have cast the same.
func (m *Membership) hasVoteSucceeded() bool {
	vote := m.identity.BootstrapVote
	for _, id := range vote {
		if id != m.self.Id && !slices.Equal(m.reports[id].gossip.GetBootstrapVote(), vote) {
			return false
		}
	}
	return true
}

// adoptedVote returns the vote of another storage node that names this one, or nil.
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

// settledVoters returns the set to vote for once all have agreed for long enough, else nil.
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

// evaluateAgreement returns the first voters of the group, if all processes that must agree
// report the same storage nodes, and how many voters are desired.
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

// agrees reports whether a report counts for a bootstrap on the storage nodes that are
// visible here.
func (r peerReport) agrees(now eventloop.Micros, visible []string) bool {
	return r.gossip != nil && now-r.receivedAt < reportMaxAge && !r.gossip.Joined && slices.Equal(r.gossip.KnownStores, visible)
}

// bootstrapZones returns the zones of the storage nodes that may become voters, by id, if all
// visible ones agree. Nodes that may not bootstrap must agree too; they join later.
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

// reportFrom returns the last report from an address; its gossip is nil if there is none.
func (m *Membership) reportFrom(address string) peerReport {
	var last peerReport
	for _, report := range m.reports {
		if report.gossip.Self.InternalAddress == address && report.receivedAt > last.receivedAt {
			last = report
		}
	}
	return last
}
