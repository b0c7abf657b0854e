// Package membership tracks which processes belong to the cluster, where they listen and
// whether they are alive. It implements a gossip protocol similar to SWIM: each process
// increments its own heartbeat counter, and a member's status is replaced by one with a later
// incarnation, or with the same incarnation and a higher heartbeat. A process starts from the
// seed addresses in its settings and discovers all other processes through them. The package
// also bootstraps the cluster: the storage nodes agree, once, on which of them create the Raft
// group that replicates the cluster state.
//
// A Membership is an event-loop component. Each process runs one, which owns all membership
// state of the process. At each tick it sends a View to its subscribers, which are other
// components of the process; transports look up addresses in the AddressBook. The
// StoreIdentity must survive a restart, so the component "replica" writes it to disk when it
// receives PersistIdentity.
package membership

import (
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// TickInterval is the time between two ticks of a Membership. A process increments its
// heartbeat at every tick, and also when it sends gossip between ticks.
const TickInterval = 250 * eventloop.Millisecond

const (
	forgetTimeout  = 60 * eventloop.Second // a member is removed when nothing was heard of it for longer
	pauseThreshold = 4 * TickInterval      // if more time passes between two ticks, this process was paused

	persistPeersInterval = 5 * eventloop.Second
	persistedPeersMaxAge = 2 * eventloop.Second // members not heard of for longer aren't persisted
	maxPersistedPeers    = 12
)

// Membership is the event-loop component that tracks the cluster's members for one process. It
// isn't safe for concurrent use.
type Membership struct {
	self            *schema.Member
	config          Config
	seeds           []string              // internal addresses through which to find the cluster; config.Seeds are those of the start
	identity        *schema.StoreIdentity // the identity on disk; nil without a data directory
	pendingIdentity *schema.StoreIdentity // the identity being written to disk; nil if none is
	addresses       *AddressBook
	subscribers     []string // names of the components that receive the View
	rng             *rand.Rand

	members            map[string]MemberStatus     // all other processes, by id
	reports            map[string]peerReport       // the last gossip received directly from each process, by id
	requesters         map[string]eventloop.Micros // when each process last requested gossip here; empty on a storage node
	idsForOthers       []string                    // see memberIDsForOthers; nil: must be collected
	seenStorageNodes   map[string]eventloop.Micros // when each storage node was last heard of, by id
	frozenStorageNodes []string                    // ids to report while a bootstrap vote is being persisted
	clusterExists      bool
	scheduler          string   // see ClusterStateObserved
	seedContactEnd     uint64   // number of the tick until which all seeds are contacted
	knownAddresses     []string // addresses of peers that the previous incarnation persisted
	peersPersistedAt   eventloop.Micros

	ticks             uint64
	lastTick          eventloop.Micros
	pollTurn          uint64           // selects the storage node to poll next
	awaitingResponse  bool             // no reply has arrived since the last poll
	hasUnsentChanges  bool             // this process may know changes that the storage nodes don't know yet
	hasUnknownMember  bool             // a heartbeat has arrived of a member whose other fields aren't known
	fullSyncAt        eventloop.Micros // when full members were last requested
	lastExtraGossipAt eventloop.Micros // when gossip was last sent between two ticks
	agreementKey      string           // the voters and visible storage nodes that all agree on; empty if they don't agree
	agreedSince       eventloop.Micros // when agreementKey was set to its current value
}

// New returns the Membership of a process. The identity is nil if the process has no data
// directory. The subscribers are the components of this process that receive the View.
func New(self *schema.Member, config Config, identity *schema.StoreIdentity, addresses *AddressBook, subscribers []string, rng *rand.Rand) *Membership {
	m := &Membership{
		self: self, config: config, seeds: config.Seeds, seedContactEnd: startupTicks, identity: identity, addresses: addresses, subscribers: subscribers, rng: rng,
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
		m.clusterExists, m.scheduler = m.clusterExists || body.Version > 0, body.Scheduler
	case LatencyReport:
		refusalChanged := (body.Max >= WritesRefusedLatency) != (m.self.LatencyUs >= int64(WritesRefusedLatency))
		m.self.LatencyUs = int64(body.Max)
		if refusalChanged {
			// The choice of leaders and voters depends on whether a node refuses writes, so
			// the change is sent before the next tick.
			m.broadcastChange(now, effects)
		}
	case SeedsChanged:
		m.setSeeds(now, body.Seeds, effects)
	case Draining:
		m.self.Draining = true
		m.broadcastChange(now, effects)
	}
}

// setSeeds replaces the seeds and contacts the new ones at once. Only the seeds of the start have
// a part in the bootstrap of the cluster, because all processes must have the same ones there.
func (m *Membership) setSeeds(now eventloop.Micros, seeds []string, effects eventloop.Effects) {
	m.seeds, m.seedContactEnd = seeds, m.ticks+startupTicks
	m.sendGossip(now, effects)
}

func (m *Membership) handleTick(now eventloop.Micros, effects eventloop.Effects) {
	m.compensatePause(now)
	m.lastTick, m.idsForOthers = now, nil
	m.removeExpired(now)
	m.ticks++
	m.sendGossip(now, effects)
	m.bootstrap(now, effects)
	m.persistPeers(now, effects)
	m.publish(now, effects)
}

// compensatePause corrects the state after a pause of this process. The members look
// unresponsive only because this process received nothing, so their LastHeard times are moved
// forward by the length of the pause. Reports from before the pause are discarded.
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
	m.idsForOthers = nil
}

// persistPeers persists the addresses of some live members, storage nodes first. After a
// restart the process contacts them as well as the seeds, because the seeds may have been
// replaced by then.
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

// persist asks the component "replica" to persist a changed identity. The change takes effect
// when IdentityPersisted arrives; no other change is requested until then.
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
