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

// Pace is how often a process counts its beat and looks at what is due.
const Pace = 250 * eventloop.Millisecond

const (
	forgotten  = 60 * eventloop.Second
	freshSpan  = 10 * eventloop.Second // what wasn't heard of for so long isn't news to anybody
	hubSpan    = 2 * eventloop.Second  // a store unheard of for longer is asked only for want of others
	wholeSpan  = 4 * eventloop.Second  // between two whole books
	youngPaces = 40                    // how many a process is young
	metSpan    = 5 * eventloop.Second
	maxMet     = 12

	settleSpan = 700 * eventloop.Millisecond // what stores promise on has held so long
	fewSpan    = 6 * eventloop.Second        // and so long when there are fewer stores than wished for
	toldSpan   = 2 * eventloop.Second        // an older word of a process isn't promised on
	rushSpan   = 20 * eventloop.Millisecond  // between two greetings out of turn
)

// Candidates is how many side machines stand for controller, and how many of them
// those that are no stores are told of: each more would be one more that all ask after.
const Candidates = 7

// Table is the book's table.
type Table struct {
	self     *schema.Member
	terms    Terms
	account  *schema.StoreIdentity // nil without a data folder
	asked    *schema.StoreIdentity // our account as it is being kept
	book     *Book
	known    map[string]Known
	told     map[string]word             // of each process, by id
	askers   map[string]eventloop.Micros // who asked us, who are no store, and when last
	seen     map[string]eventloop.Micros // ids of the stores heard of, and when last
	frozen   []string                    // the stores told of since we asked for our promise to be kept
	readers  []string
	rng      *rand.Rand
	last     eventloop.Micros
	isSystem bool     // a system exists
	met      []string // addresses known from before this start
	metAt    eventloop.Micros

	ticks     uint64
	turn      uint64 // whose turn it is to be asked
	isWaiting bool   // asked, and nobody has answered yet
	isNews    bool   // the hubs may not know yet what we know
	isMissing bool   // a beat was heard of somebody we know nothing else about
	wholeAt   eventloop.Micros
	rushedAt  eventloop.Micros
	agreed    string           // what all seem to agree on
	agreedAt  eventloop.Micros // and since when
}

// New makes the table. Readers are the tables that want the roll.
func New(self *schema.Member, terms Terms, account *schema.StoreIdentity, book *Book, readers []string, rng *rand.Rand) *Table {
	t := &Table{
		self: self, terms: terms, account: account, book: book, readers: readers, rng: rng,
		known: map[string]Known{}, told: map[string]word{}, askers: map[string]eventloop.Micros{}, seen: map[string]eventloop.Micros{},
	}
	t.isSystem = account != nil && account.Joined
	if account != nil {
		t.met = account.KnownAddresses
	}
	return t
}

// Step implements eventloop.Table.
func (t *Table) Step(now eventloop.Micros, mail eventloop.Message, out eventloop.Effects) {
	switch body := mail.Body.(type) {
	case eventloop.Tick:
		t.tick(now, out)
	case *schema.Gossip:
		t.hear(now, mail.From, body, out)
	case SelfKept:
		t.account, t.asked = body.Self, nil
		t.isSystem = t.isSystem || body.Self.Joined
		t.greet(now, out)
		t.found(now, out)
	case ClusterState:
		t.isSystem = t.isSystem || body.Version > 0
	case Latency:
		hasTurned := (body.Worst >= RefusedLatency) != (t.self.LatencyUs >= int64(RefusedLatency))
		t.self.LatencyUs = int64(body.Worst)
		if hasTurned {
			// Others choose by it who leads and who may vote: it doesn't wait for
			// the pace.
			t.self.Heartbeat++
			t.spread(now, beats, out)
		}
	case Leaving:
		t.self.Draining = true
		t.self.Heartbeat++
		t.spread(now, beats, out)
	}
}

func (t *Table) tick(now eventloop.Micros, out eventloop.Effects) {
	// After a freeze everybody looks unheard, though it was we who were gone:
	// let them be heard anew before anything is concluded.
	if t.last > 0 && now-t.last > 4*Pace {
		for id, known := range t.known {
			known.Heard += now - t.last
			t.known[id] = known
		}
		clear(t.told)
		t.agreed = ""
	}
	t.last = now
	for id, known := range t.known {
		if now-known.Heard > forgotten {
			delete(t.known, id)
			delete(t.told, id)
		}
	}
	for id, heard := range t.seen {
		if now-heard > forgotten {
			delete(t.seen, id)
		}
	}
	for id, at := range t.askers {
		if now-at > toldSpan {
			delete(t.askers, id)
		}
	}
	t.ticks++
	t.greet(now, out)
	t.found(now, out)
	t.remember(now, out)
	t.publish(now, out)
}

// remember keeps the addresses of some processes durably.
func (t *Table) remember(now eventloop.Micros, out eventloop.Effects) {
	if t.account == nil || !t.account.Joined || t.asked != nil || now-t.metAt < metSpan {
		return
	}
	t.metAt = now
	var stores, others []string
	for _, id := range t.ids() {
		switch known := t.known[id]; {
		case now-known.Heard > 2*eventloop.Second:
		case known.Member.HasStorage:
			stores = append(stores, known.Member.InternalAddress)
		default:
			others = append(others, known.Member.InternalAddress)
		}
	}
	met := append(stores, others...)
	met = met[:min(len(met), maxMet)]
	if len(met) == 0 || slices.Equal(met, t.account.KnownAddresses) {
		return
	}
	next := proto.Clone(t.account).(*schema.StoreIdentity)
	next.KnownAddresses = met
	t.asked = next
	out.Notify("replica", KeepSelf{Self: next})
}

const (
	alone detail = iota // nothing
	beats               // what changes while a process lives; who doesn't know one asks
	whole
)

func (t *Table) publish(now eventloop.Micros, out eventloop.Effects) {
	addresses := map[string]string{t.self.Id: t.self.InternalAddress}
	roll := &Roll{Self: proto.Clone(t.self).(*schema.Member), Known: map[string]Known{}}
	for id, known := range t.known {
		addresses[id] = known.Member.InternalAddress
		roll.Known[id] = known
	}
	roll.Known[t.self.Id] = Known{Member: roll.Self, Heard: now}
	t.book.addresses.Store(&addresses)
	for _, reader := range t.readers {
		out.Notify(reader, roll)
	}
}
