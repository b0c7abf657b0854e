package membership

import (
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Founding. Nobody tells how many stores there are, and the seeds may have no
// disk. So every process tells which stores it sees, and a store promises, on
// disk and once for all, only on a set S that every store of S and every seed
// has told of, itself and lately. When all who were promised have told the same
// promise, the group exists.
//
// Why no two different promises can both be kept: what a process sees only
// grows until it promises (a store is let go only after a minute without a beat
// from anybody, while a word older than two seconds counts for nothing), and
// from then on it tells of its promise alone. Say P promised on S and Q on T.
//   - If each is in the other's set, each has told the other's set before its own
//     promise: so T is within S and S within T.
//   - If P isn't in T, some seed told P of S, which holds P, and told Q of T,
//     which doesn't, so T came first and T is within S. Then Q is in S and has
//     told P of S before it promised on T, and what it sees has shrunk.
//
// A process that starts again sees nothing, so it may see less than before. It
// takes all the seeds at once to forget P for Q to promise without it; even
// then P's set can't be founded, for its stores have promised another.
//
// Whoever hears a promise that names it joins in: it was made by this rule.

// visibleStorageNodes are the ids this process tells it sees.
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

// mayBootstrap tells whether this store may found: it is empty, and was told that
// all begins now.
func (m *Membership) mayBootstrap() bool {
	return m.identity != nil && !m.identity.Joined && (m.config.Bootstrap || m.isImplicitBootstrap() && m.isSeed())
}

// isImplicitBootstrap: settings that say neither which start is the first nor what may be
// lost leave it to the stores that are each other's seeds. Settings that do say
// so mean it: a store that comes back empty to a seed's address never founds.
func (m *Membership) isImplicitBootstrap() bool {
	return !m.config.Bootstrap && m.config.MachineFailures == 0
}

func (m *Membership) bootstrap(now eventloop.Micros, effects eventloop.Effects) {
	if m.identity == nil || m.identity.Joined || m.pendingIdentity != nil {
		return
	}
	vote := m.identity.BootstrapVote
	if len(vote) == 0 {
		if vote = m.adoptedVote(); vote == nil {
			vote = m.settledVoters(now)
		}
		if vote != nil {
			next := proto.Clone(m.identity).(*schema.StoreIdentity)
			next.BootstrapVote = vote
			m.frozenStorageNodes = m.visibleStorageNodes()
			m.pendingIdentity = next
			effects.Notify("replica", PersistIdentity{Identity: next})
		}
		return
	}
	for _, id := range vote {
		if id != m.self.Id && !slices.Equal(m.reports[id].gossip.GetBootstrapVote(), vote) {
			return
		}
	}
	next := proto.Clone(m.identity).(*schema.StoreIdentity)
	next.Joined = true
	m.pendingIdentity = next
	effects.Notify("replica", PersistIdentity{Identity: next, BootstrapVoters: next.BootstrapVote})
}

// adoptedVote is the promise of another store that names this one.
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

// settledVoters is the set to promise once all have agreed for long enough.
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

// evaluateAgreement is the founders if all who must have told of the same stores, and
// how many founders are wished for.
func (m *Membership) evaluateAgreement(now eventloop.Micros) ([]string, int) {
	if m.clusterExists || !m.mayBootstrap() {
		return nil, 0
	}
	visible := m.visibleStorageNodes()
	agrees := func(report peerReport, received bool) bool {
		return received && now-report.receivedAt < reportMaxAge && !report.gossip.Joined && slices.Equal(report.gossip.KnownStores, visible)
	}
	zones := map[string]string{}
	for _, id := range visible {
		if id == m.self.Id {
			zones[id] = m.self.Zone
			continue
		}
		report, received := m.reports[id]
		if !agrees(report, received) {
			return nil, 0
		}
		// One that isn't to found is seen all the same: it will join later.
		if report.gossip.Empty {
			zones[id] = report.gossip.Self.Zone
		}
	}
	desired := m.config.VoterCount()
	if !m.config.Bootstrap {
		desired = min(desired, len(m.config.Seeds))
	}
	for _, seed := range m.config.Seeds {
		if seed == m.self.InternalAddress {
			continue
		}
		report, received := m.reportFrom(seed)
		if !agrees(report, received) {
			return nil, 0
		}
		// Nobody said that all begins now, so only the seeds together may.
		if !m.config.Bootstrap && !report.gossip.Empty {
			return nil, 0
		}
	}
	return m.config.Tolerance().SelectVoters(zones, m.config.VoterCount()), desired
}

// reportFrom is the last word heard from an address.
func (m *Membership) reportFrom(address string) (peerReport, bool) {
	var last peerReport
	for _, report := range m.reports {
		if report.gossip.Self.InternalAddress == address && report.receivedAt > last.receivedAt {
			last = report
		}
	}
	return last, last.gossip != nil
}

// SelectVoters chooses so many of the processes, whose cells are given by id: spread
// over the cells, lowest ids first. All choose alike.
func SpreadOverZones(zones map[string]string, count int) []string {
	byZone := map[string][]string{}
	for _, id := range slices.Sorted(maps.Keys(zones)) {
		byZone[zones[id]] = append(byZone[zones[id]], id)
	}
	var chosen []string
	for len(chosen) < min(count, len(zones)) {
		for _, zone := range slices.Sorted(maps.Keys(byZone)) {
			if ids := byZone[zone]; len(ids) > 0 && len(chosen) < count {
				chosen = append(chosen, ids[0])
				byZone[zone] = ids[1:]
			}
		}
	}
	slices.Sort(chosen)
	return chosen
}
