// Package membership knows which processes belong to the cluster, where they listen and
// whether they are alive. It is a gossip protocol in the manner of SWIM: each process counts
// up a heartbeat of its own, and a member's status is superseded by one of a later
// incarnation or a higher heartbeat. From the seeds of its settings a process finds all
// others. The package also bootstraps the cluster: it agrees, once, on the storage nodes
// that create the cluster state's group.
//
// A Membership is the component of one process and owns all of its state. Its subscribers,
// the other components of the process, get a View at each tick; transports resolve addresses
// by the AddressBook. What must survive a restart, the StoreIdentity, is persisted by the
// component "replica" on PersistIdentity.
package membership

import (
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// TickInterval is the period of the component's ticks, and of a process's heartbeats.
const TickInterval = 250 * eventloop.Millisecond

const (
	forgetTimeout  = 60 * eventloop.Second // a member that isn't heard from for so long is removed
	pauseThreshold = 4 * TickInterval      // a longer time between two ticks means that this process was paused

	persistPeersInterval = 5 * eventloop.Second
	persistedPeersMaxAge = 2 * eventloop.Second // members heard from within it are persisted
	maxPersistedPeers    = 12
)

// Membership is the component of one process. It isn't safe for concurrent use.
type Membership struct {
	self            *schema.Member
	config          Config
	identity        *schema.StoreIdentity // as it is on disk; nil without a data directory
	pendingIdentity *schema.StoreIdentity // being persisted; nil: nothing is
	addresses       *AddressBook
	subscribers     []string // components that get the View
	rng             *rand.Rand

	members            map[string]MemberStatus     // all other processes, by id
	reports            map[string]peerReport       // the last gossip received from each process itself, by id
	requesters         map[string]eventloop.Micros // when each process last requested gossip here; only without storage
	seenStorageNodes   map[string]eventloop.Micros // when each storage node was last heard of, by id
	frozenStorageNodes []string                    // what is reported while a bootstrap vote is being persisted
	clusterExists      bool
	knownAddresses     []string // peers persisted by the previous incarnation
	peersPersistedAt   eventloop.Micros

	ticks             uint64
	lastTick          eventloop.Micros
	pollTurn          uint64           // selects the storage node to poll next
	awaitingResponse  bool             // nobody has replied since the last poll
	hasUnsentChanges  bool             // the storage nodes may not know yet what is known here
	hasUnknownMember  bool             // a heartbeat was received of a member that isn't known otherwise
	fullSyncAt        eventloop.Micros // when full members were last requested
	lastExtraGossipAt eventloop.Micros // when gossip was last sent between two ticks
	agreementKey      string           // what all storage nodes and seeds agree on; empty: they don't
	agreedSince       eventloop.Micros
}

// New returns the component of a process. The identity is nil without a data directory. The
// subscribers are the components of this process that get the View.
func New(self *schema.Member, config Config, identity *schema.StoreIdentity, addresses *AddressBook, subscribers []string, rng *rand.Rand) *Membership {
	m := &Membership{
		self: self, config: config, identity: identity, addresses: addresses, subscribers: subscribers, rng: rng,
		members: map[string]MemberStatus{}, reports: map[string]peerReport{},
		requesters: map[string]eventloop.Micros{}, seenStorageNodes: map[string]eventloop.Micros{},
	}
	if identity != nil {
		m.clusterExists = identity.Joined
		m.knownAddresses = identity.KnownAddresses
	}
	return m
}

// Step implements eventloop.Component.
func (m *Membership) Step(now eventloop.Micros, message eventloop.Message, effects eventloop.Effects) {
	switch body := message.Body.(type) {
	case eventloop.Tick:
		m.handleTick(now, effects)
	case *schema.Gossip:
		m.handleGossip(now, message.From, body, effects)
	case IdentityPersisted:
		m.identity, m.pendingIdentity = body.Identity, nil
		m.clusterExists = m.clusterExists || body.Identity.Joined
		m.sendGossip(now, effects)
		m.bootstrap(now, effects)
	case ClusterStateObserved:
		m.clusterExists = m.clusterExists || body.Version > 0
	case LatencyReport:
		refusalChanged := (body.Max >= WritesRefusedLatency) != (m.self.LatencyUs >= int64(WritesRefusedLatency))
		m.self.LatencyUs = int64(body.Max)
		if refusalChanged {
			// Leaders and voters are chosen by it, so it doesn't wait for the next tick.
			m.broadcastChange(now, effects)
		}
	case Draining:
		m.self.Draining = true
		m.broadcastChange(now, effects)
	}
}

func (m *Membership) handleTick(now eventloop.Micros, effects eventloop.Effects) {
	m.compensatePause(now)
	m.lastTick = now
	m.removeExpired(now)
	m.ticks++
	m.sendGossip(now, effects)
	m.bootstrap(now, effects)
	m.persistPeers(now, effects)
	m.publish(now, effects)
}

// compensatePause gives all members time to be heard from after this process was paused:
// they look unresponsive, though it was this process that didn't receive.
func (m *Membership) compensatePause(now eventloop.Micros) {
	if m.lastTick == 0 || now-m.lastTick <= pauseThreshold {
		return
	}
	for id, status := range m.members {
		status.LastHeard += now - m.lastTick
		m.members[id] = status
	}
	clear(m.reports)
	m.agreementKey = ""
}

func (m *Membership) removeExpired(now eventloop.Micros) {
	for id, status := range m.members {
		if now-status.LastHeard > forgetTimeout {
			m.removeMember(id)
		}
	}
	for id, lastHeard := range m.seenStorageNodes {
		if now-lastHeard > forgetTimeout {
			delete(m.seenStorageNodes, id)
		}
	}
	for id, requestedAt := range m.requesters {
		if now-requestedAt > reportMaxAge {
			delete(m.requesters, id)
		}
	}
}

func (m *Membership) removeMember(id string) {
	delete(m.members, id)
	delete(m.reports, id)
}

// persistPeers persists the addresses of some live members, storage nodes first: after a
// restart they are contacted besides the seeds, which may have been replaced by then.
func (m *Membership) persistPeers(now eventloop.Micros, effects eventloop.Effects) {
	if m.identity == nil || !m.identity.Joined || m.pendingIdentity != nil || now-m.peersPersistedAt < persistPeersInterval {
		return
	}
	m.peersPersistedAt = now
	var storageNodes, others []string
	for _, id := range m.memberIDs() {
		switch status := m.members[id]; {
		case now-status.LastHeard > persistedPeersMaxAge:
		case status.Member.HasStorage:
			storageNodes = append(storageNodes, status.Member.InternalAddress)
		default:
			others = append(others, status.Member.InternalAddress)
		}
	}
	peers := append(storageNodes, others...)
	peers = peers[:min(len(peers), maxPersistedPeers)]
	if len(peers) == 0 || slices.Equal(peers, m.identity.KnownAddresses) {
		return
	}
	next := proto.Clone(m.identity).(*schema.StoreIdentity)
	next.KnownAddresses = peers
	m.persist(PersistIdentity{Identity: next}, effects)
}

// persist requests a change of the identity. It takes effect on IdentityPersisted; until
// then no other is requested.
func (m *Membership) persist(request PersistIdentity, effects eventloop.Effects) {
	m.pendingIdentity = request.Identity
	effects.Notify("replica", request)
}

// publish sends a snapshot of all members, this process included, to the subscribers and
// the address book.
func (m *Membership) publish(now eventloop.Micros, effects eventloop.Effects) {
	addresses := map[string]string{m.self.Id: m.self.InternalAddress}
	view := &View{Self: proto.Clone(m.self).(*schema.Member), Members: map[string]MemberStatus{}}
	for id, status := range m.members {
		addresses[id] = status.Member.InternalAddress
		view.Members[id] = status
	}
	view.Members[m.self.Id] = MemberStatus{Member: view.Self, LastHeard: now}
	m.addresses.addresses.Store(&addresses)
	for _, subscriber := range m.subscribers {
		effects.Notify(subscriber, view)
	}
}
