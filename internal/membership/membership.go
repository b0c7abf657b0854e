// Package membership owns the book of processes: who there is, where, and whether
// they were heard. From three seeds a process finds all others, keeps telling
// what it knows, and three empty stores found the system's group.
package membership

import (
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// TickInterval is how often a process counts its beat and looks at what is due.
const TickInterval = 250 * eventloop.Millisecond

const (
	forgetTimeout        = 60 * eventloop.Second
	gossipMaxAge         = 10 * eventloop.Second // what wasn't heard of for so long isn't news to anybody
	storageNodeTimeout   = 2 * eventloop.Second  // a store unheard of for longer is asked only for want of others
	fullSyncInterval     = 4 * eventloop.Second  // between two whole books
	startupTicks         = 40                    // how many a process is young
	persistPeersInterval = 5 * eventloop.Second
	maxPersistedPeers    = 12

	agreementPeriod        = 700 * eventloop.Millisecond // what stores promise on has held so long
	reducedAgreementPeriod = 6 * eventloop.Second        // and so long when there are fewer stores than wished for
	reportMaxAge           = 2 * eventloop.Second        // an older word of a process isn't promised on
	minGossipInterval      = 20 * eventloop.Millisecond  // between two greetings out of turn
)

// MaxControllerCandidates is how many side machines stand for controller, and how many of them
// those that are no stores are told of: each more would be one more that all ask after.
const MaxControllerCandidates = 7

// Membership is the book's table.
type Membership struct {
	self               *schema.Member
	config             Config
	identity           *schema.StoreIdentity // nil without a data folder
	pendingIdentity    *schema.StoreIdentity // our account as it is being kept
	addresses          *AddressBook
	members            map[string]MemberStatus
	reports            map[string]peerReport       // of each process, by id
	requesters         map[string]eventloop.Micros // who asked us, who are no store, and when last
	seenStorageNodes   map[string]eventloop.Micros // ids of the stores heard of, and when last
	frozenStorageNodes []string                    // the stores told of since we asked for our promise to be kept
	subscribers        []string
	rng                *rand.Rand
	lastTick           eventloop.Micros
	clusterExists      bool     // a system exists
	knownAddresses     []string // addresses known from before this start
	peersPersistedAt   eventloop.Micros

	ticks            uint64
	pollTurn         uint64 // whose turn it is to be asked
	awaitingResponse bool   // asked, and nobody has answered yet
	hasUnsentChanges bool   // the hubs may not know yet what we know
	hasUnknownMember bool   // a beat was heard of somebody we know nothing else about
	fullSyncAt       eventloop.Micros
	outOfTurnAt      eventloop.Micros
	agreementKey     string           // what all seem to agree on
	agreedSince      eventloop.Micros // and since when
}

// New makes the table. Readers are the tables that want the roll.
func New(self *schema.Member, config Config, identity *schema.StoreIdentity, addresses *AddressBook, subscribers []string, rng *rand.Rand) *Membership {
	t := &Membership{
		self: self, config: config, identity: identity, addresses: addresses, subscribers: subscribers, rng: rng,
		members: map[string]MemberStatus{}, reports: map[string]peerReport{}, requesters: map[string]eventloop.Micros{}, seenStorageNodes: map[string]eventloop.Micros{},
	}
	t.clusterExists = identity != nil && identity.Joined
	if identity != nil {
		t.knownAddresses = identity.KnownAddresses
	}
	return t
}

// Step implements eventloop.Table.
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
			// Others choose by it who leads and who may vote: it doesn't wait for
			// the pace.
			m.self.Heartbeat++
			m.broadcast(now, heartbeatsOnly, effects)
		}
	case Draining:
		m.self.Draining = true
		m.self.Heartbeat++
		m.broadcast(now, heartbeatsOnly, effects)
	}
}

func (m *Membership) handleTick(now eventloop.Micros, effects eventloop.Effects) {
	// After a freeze everybody looks unheard, though it was we who were gone:
	// let them be heard anew before anything is concluded.
	if m.lastTick > 0 && now-m.lastTick > 4*TickInterval {
		for id, known := range m.members {
			known.LastHeard += now - m.lastTick
			m.members[id] = known
		}
		clear(m.reports)
		m.agreementKey = ""
	}
	m.lastTick = now
	for id, known := range m.members {
		if now-known.LastHeard > forgetTimeout {
			delete(m.members, id)
			delete(m.reports, id)
		}
	}
	for id, lastHeard := range m.seenStorageNodes {
		if now-lastHeard > forgetTimeout {
			delete(m.seenStorageNodes, id)
		}
	}
	for id, at := range m.requesters {
		if now-at > reportMaxAge {
			delete(m.requesters, id)
		}
	}
	m.ticks++
	m.sendGossip(now, effects)
	m.bootstrap(now, effects)
	m.persistPeers(now, effects)
	m.publish(now, effects)
}

// persistPeers keeps the addresses of some processes durably.
func (m *Membership) persistPeers(now eventloop.Micros, effects eventloop.Effects) {
	if m.identity == nil || !m.identity.Joined || m.pendingIdentity != nil || now-m.peersPersistedAt < persistPeersInterval {
		return
	}
	m.peersPersistedAt = now
	var storageNodes, otherAddresses []string
	for _, id := range m.memberIDs() {
		switch known := m.members[id]; {
		case now-known.LastHeard > 2*eventloop.Second:
		case known.Member.HasStorage:
			storageNodes = append(storageNodes, known.Member.InternalAddress)
		default:
			otherAddresses = append(otherAddresses, known.Member.InternalAddress)
		}
	}
	peers := append(storageNodes, otherAddresses...)
	peers = peers[:min(len(peers), maxPersistedPeers)]
	if len(peers) == 0 || slices.Equal(peers, m.identity.KnownAddresses) {
		return
	}
	next := proto.Clone(m.identity).(*schema.StoreIdentity)
	next.KnownAddresses = peers
	m.pendingIdentity = next
	effects.Notify("replica", PersistIdentity{Identity: next})
}

const (
	selfOnly       gossipDetail = iota // nothing
	heartbeatsOnly                     // what changes while a process lives; who doesn't know one asks
	fullMembers
)

func (m *Membership) publish(now eventloop.Micros, effects eventloop.Effects) {
	addresses := map[string]string{m.self.Id: m.self.InternalAddress}
	view := &View{Self: proto.Clone(m.self).(*schema.Member), Members: map[string]MemberStatus{}}
	for id, known := range m.members {
		addresses[id] = known.Member.InternalAddress
		view.Members[id] = known
	}
	view.Members[m.self.Id] = MemberStatus{Member: view.Self, LastHeard: now}
	m.addresses.addresses.Store(&addresses)
	for _, subscriber := range m.subscribers {
		effects.Notify(subscriber, view)
	}
}
