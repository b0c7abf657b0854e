package membership

import (
	"container/heap"
	"encoding/gob"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// host is a machine with one process, whose book alone is played.
type host struct {
	net        *network
	address    string
	zone       string
	config     Config
	hasDisk    bool
	identity   *schema.StoreIdentity // as it is on disk
	startDelay eventloop.Micros      // starts then

	id           string
	incarnation  int // 0: not up
	incarnations int
	membership   *Membership
	addresses    *AddressBook
	view         *View
}

type event struct {
	at     eventloop.Micros
	seq    int
	action func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	return e[i].at < e[k].at || e[i].at == e[k].at && e[i].seq < e[k].seq
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// network joins books in memory; what is lost and how late the rest comes is
// drawn from its seed.
type network struct {
	rng            *rand.Rand
	now            eventloop.Micros
	seq            int
	queue          events
	hosts          []*host
	loss           float64 // of messages, until lossEnd
	lossEnd        eventloop.Micros
	delay          eventloop.Micros // the longest
	isPartitioned  func(from, to *host) bool
	votes          map[string]bool // ever kept
	bootstrapped   map[string]bool
	bootstrappedAt eventloop.Micros // when the last store did
	messages       int
	bytes          int
	encoders       map[string]*gob.Encoder // nil: bytes aren't counted
	onGossip       func(from, to *host, hello *schema.Gossip)
}

func newNetwork(seed uint64) *network {
	return &network{
		rng: rand.New(rand.NewPCG(seed, 7)), now: eventloop.Second, delay: 20 * eventloop.Millisecond,
		votes: map[string]bool{}, bootstrapped: map[string]bool{},
	}
}

func (n *network) after(span eventloop.Micros, deed func()) {
	n.seq++
	heap.Push(&n.queue, event{n.now + span, n.seq, deed})
}

func (n *network) runTo(end eventloop.Micros) {
	for len(n.queue) > 0 && n.queue[0].at <= end {
		next := heap.Pop(&n.queue).(event)
		n.now = next.at
		next.action()
	}
	n.now = end
}

func (n *network) randomDelay(most eventloop.Micros) eventloop.Micros {
	return eventloop.Micros(n.rng.Int64N(int64(most) + 1))
}

func (h *host) start() {
	n := h.net
	h.incarnations++
	h.incarnation = h.incarnations
	member := &schema.Member{Id: fmt.Sprintf("%04x-%s", n.rng.IntN(1<<16), h.address), Incarnation: 1, Role: schema.Role_ROLE_SERVER, Zone: h.zone, InternalAddress: h.address, HttpAddress: h.address}
	if h.config.IsAgentNode {
		member.Role = schema.Role_ROLE_CONTROLLER
	}
	var identity *schema.StoreIdentity
	if h.hasDisk {
		if h.identity == nil {
			h.identity = &schema.StoreIdentity{Id: member.Id}
		}
		h.identity = proto.Clone(h.identity).(*schema.StoreIdentity)
		h.identity.Starts++
		member.Id, member.Incarnation, member.HasStorage = h.identity.Id, h.identity.Starts, true
		identity = h.identity
	}
	h.id, h.addresses, h.view = member.Id, &AddressBook{}, nil
	h.membership = New(member, h.config, identity, h.addresses, []string{"reader"}, rand.New(rand.NewPCG(n.rng.Uint64(), 1)))
	run := h.incarnation
	var tick func()
	tick = func() {
		if h.incarnation == run {
			h.step(eventloop.Message{Body: eventloop.Tick{}})
			n.after(TickInterval, tick)
		}
	}
	n.after(n.randomDelay(TickInterval), tick)
}

func (h *host) stop() { h.incarnation = 0 }

func (h *host) step(message eventloop.Message) { h.membership.Step(h.net.now, message, h) }

func (h *host) Send(string, any)    {}
func (h *host) Respond(uint64, any) {}

func (h *host) Dial(address string, body any) {
	n := h.net
	n.messages++
	if n.onGossip != nil {
		for _, to := range n.hosts {
			if to.address == address {
				n.onGossip(h, to, body.(*schema.Gossip))
			}
		}
	}
	if n.encoders != nil {
		n.countBytes(h.address+">"+address, h.id, body)
	}
	if n.now < n.lossEnd && n.rng.Float64() < n.loss {
		return
	}
	for _, to := range n.hosts {
		if to.address != address || n.isPartitioned != nil && n.isPartitioned(h, to) {
			continue
		}
		run, from, copied := to.incarnation, h.id, proto.Clone(body.(*schema.Gossip))
		n.after(eventloop.Millisecond/5+n.randomDelay(n.delay), func() {
			if run > 0 && to.incarnation == run {
				to.step(eventloop.Message{From: from, Body: copied})
			}
		})
	}
}

type byteCounter struct{ net *network }

func (w byteCounter) Write(data []byte) (int, error) {
	w.net.bytes += len(data)
	return len(data), nil
}

// countBytes counts what a message takes on the wire, which is gob.
func (n *network) countBytes(wire, from string, body any) {
	encoder := n.encoders[wire]
	if encoder == nil {
		encoder = gob.NewEncoder(byteCounter{n})
		n.encoders[wire] = encoder
	}
	envelope := struct {
		From string
		Body any
	}{from, body}
	if err := encoder.Encode(&envelope); err != nil {
		panic(err)
	}
}

func init() { gob.Register(&schema.Gossip{}) }

func (h *host) Notify(table string, body any) {
	n := h.net
	switch body := body.(type) {
	case *View:
		h.view = body
	case PersistIdentity:
		run := h.incarnation
		n.after(eventloop.Millisecond+n.randomDelay(30*eventloop.Millisecond), func() {
			if h.incarnation != run {
				return
			}
			h.identity = body.Identity
			if len(body.Identity.BootstrapVote) > 0 {
				n.votes[strings.Join(body.Identity.BootstrapVote, " ")] = true
			}
			if len(body.BootstrapVoters) > 0 {
				n.bootstrapped[strings.Join(body.BootstrapVoters, " ")] = true
				n.bootstrappedAt = n.now
			}
			// It may end between the sync and its word.
			n.after(n.randomDelay(5*eventloop.Millisecond), func() {
				if h.incarnation == run {
					h.step(eventloop.Message{Body: IdentityPersisted{Identity: body.Identity}})
				}
			})
		})
	}
}

// shape is a fleet: S a store, s a store at a seed's address, f a front, F a
// front at a seed's address, h a side machine; cells are taken in turn, three
// of them.
func (n *network) addHosts(shape string, bootstrap bool, machineFailures uint32) {
	var seeds []string
	for k, kind := range shape {
		h := &host{net: n, address: fmt.Sprintf("10.0.0.%02d:1", k), zone: fmt.Sprintf("c%d", k%3), hasDisk: kind == 'S' || kind == 's'}
		h.config = Config{Bootstrap: bootstrap, MachineFailures: machineFailures, IsAgentNode: kind == 'h'}
		if kind == 's' || kind == 'F' {
			seeds = append(seeds, h.address)
		}
		n.hosts = append(n.hosts, h)
	}
	for _, h := range n.hosts {
		h.config.Seeds = seeds
	}
}

func (n *network) startAll(within eventloop.Micros) {
	for _, h := range n.hosts {
		if h.incarnation == 0 && h.incarnations == 0 {
			n.after(h.startDelay+n.randomDelay(within), h.start)
		}
	}
}

// isBootstrapped tells whether every founder of the one system belongs.
func (n *network) isBootstrapped() bool {
	if len(n.bootstrapped) != 1 {
		return false
	}
	for set := range n.bootstrapped {
		for _, id := range strings.Split(set, " ") {
			for _, h := range n.hosts {
				if h.identity.GetId() == id && !h.identity.Joined {
					return false
				}
			}
		}
	}
	return true
}

// voterCount are how many stores founded.
func (n *network) voterCount() int {
	for set := range n.bootstrapped {
		return len(strings.Split(set, " "))
	}
	return 0
}

func TestFounding(t *testing.T) {
	const rounds = 40
	never := eventloop.Micros(-1)
	for _, each := range []struct {
		name     string
		shape    string
		first    bool
		losses   uint32
		loss     float64          // of messages in the first 4 s
		delay    eventloop.Micros // of a message, at most
		within   eventloop.Micros // all start in this span
		late     eventloop.Micros // the last store starts so much later
		restarts int              // of any process in the first 3 s
		founders int              // 0: depends on the draw
		by       eventloop.Micros // founded so long after the start; -1: never
	}{
		{"three stores, each other's seeds, nothing said", "sssfhh", false, 0, 0, 20 * eventloop.Millisecond, 100 * eventloop.Millisecond, 0, 0, 3, 2 * eventloop.Second},
		{"a spare store beside them", "sssSfhh", false, 0, 0, 20 * eventloop.Millisecond, 100 * eventloop.Millisecond, 0, 0, 3, 2 * eventloop.Second},
		{"two seeds, nothing said", "ssfh", false, 0, 0, 20 * eventloop.Millisecond, 100 * eventloop.Millisecond, 0, 0, 2, 2 * eventloop.Second},
		{"one seed, nothing said", "sfh", false, 0, 0, 20 * eventloop.Millisecond, 100 * eventloop.Millisecond, 0, 0, 1, 2 * eventloop.Second},
		{"seeds without disks", "FFFSSShhh", true, 1, 0, 20 * eventloop.Millisecond, 100 * eventloop.Millisecond, 0, 0, 3, 2 * eventloop.Second},
		{"one seed with a disk, six stores", "FsFSSSSSfhhh", true, 1, 0, 20 * eventloop.Millisecond, 100 * eventloop.Millisecond, 0, 0, 3, 2 * eventloop.Second},
		{"two losses, six stores", "sssSSShhh", true, 2, 0, 20 * eventloop.Millisecond, 100 * eventloop.Millisecond, 0, 0, 5, 2 * eventloop.Second},
		{"fewer stores than wished for", "FFsShh", true, 1, 0, 20 * eventloop.Millisecond, 100 * eventloop.Millisecond, 0, 0, 2, 8 * eventloop.Second},
		{"messages lost", "FsFSSSfhh", true, 1, 0.4, 60 * eventloop.Millisecond, eventloop.Second, 0, 0, 3, 10 * eventloop.Second},
		{"messages late", "FsFSSSfhh", true, 1, 0.1, 900 * eventloop.Millisecond, eventloop.Second, 0, 0, 3, 20 * eventloop.Second},
		{"a late store that is needed", "FFFSSSh", true, 1, 0.1, 50 * eventloop.Millisecond, 200 * eventloop.Millisecond, 3 * eventloop.Second, 0, 3, 12 * eventloop.Second},
		{"a late store that isn't", "sFFSSSSh", true, 1, 0.2, 50 * eventloop.Millisecond, eventloop.Second, 1200 * eventloop.Millisecond, 0, 3, 12 * eventloop.Second},
		{"restarts", "FsFSSSfhh", true, 1, 0.2, 50 * eventloop.Millisecond, eventloop.Second, 0, 6, 3, 14 * eventloop.Second},
		{"restarts, nothing said", "sssSfhh", false, 0, 0.2, 50 * eventloop.Millisecond, eventloop.Second, 0, 6, 3, 14 * eventloop.Second},
		{"restarts, two losses, late", "sFsSSSSh", true, 2, 0.3, 300 * eventloop.Millisecond, 2 * eventloop.Second, 2 * eventloop.Second, 8, 0, 20 * eventloop.Second},
		{"empty stores that weren't told that all begins", "sssSSh", false, 1, 0, 20 * eventloop.Millisecond, eventloop.Second, 0, 0, 0, never},
		{"a front at a seed's address, nothing said", "ssFSh", false, 0, 0, 20 * eventloop.Millisecond, eventloop.Second, 0, 0, 0, never},
	} {
		Convey(each.name, t, func() {
			var slowest eventloop.Micros
			for seed := range uint64(rounds) {
				n := newNetwork(seed)
				n.loss, n.lossEnd, n.delay = each.loss, 5*eventloop.Second, each.delay
				n.addHosts(each.shape, each.first, each.losses)
				var stores []*host
				for _, h := range n.hosts {
					if h.hasDisk {
						stores = append(stores, h)
					}
				}
				stores[len(stores)-1].startDelay = each.late
				n.startAll(each.within)
				for range each.restarts {
					h := n.hosts[n.rng.IntN(len(n.hosts))]
					n.after(n.randomDelay(3*eventloop.Second), func() {
						if h.incarnation > 0 {
							h.stop()
							n.after(n.randomDelay(500*eventloop.Millisecond), func() {
								if h.incarnation == 0 {
									h.start()
								}
							})
						}
					})
				}
				// Whatever is on the way a while after founding could still do harm.
				for end := eventloop.Second + max(each.by, 8*eventloop.Second); n.now < end && (n.bootstrappedAt == 0 || !n.isBootstrapped() || n.now < n.bootstrappedAt+3*eventloop.Second); {
					n.runTo(n.now + 250*eventloop.Millisecond)
				}
				if each.by == never {
					if len(n.votes) != 0 {
						So(fmt.Sprintf("seed %d: promised %v", seed, n.votes), ShouldEqual, "")
					}
					continue
				}
				slowest = max(slowest, n.bootstrappedAt-eventloop.Second)
				isRight := len(n.votes) == 1 && n.isBootstrapped() && (each.founders == 0 || n.voterCount() == each.founders)
				if !isRight || n.bootstrappedAt-eventloop.Second > each.by {
					So(fmt.Sprintf("seed %d: promised %v, founded %v after %d us", seed, n.votes, n.bootstrapped, n.bootstrappedAt-eventloop.Second), ShouldEqual, "")
				}
			}
			t.Logf("%s: founded after %d ms at the latest", each.name, slowest/eventloop.Millisecond)
		})
	}
}

func TestBesideASystem(t *testing.T) {
	Convey("A store beside a system promises nothing, whatever it was told", t, func() {
		for _, first := range []bool{false, true} {
			for seed := range uint64(30) {
				n := newNetwork(seed)
				n.loss, n.lossEnd = 0.3, 20*eventloop.Second
				n.addHosts("FsFSSSSfhh", true, 1)
				// The fourth to the sixth hold the system; the seed's store comes
				// back empty, and one more is new.
				for _, k := range []int{3, 4, 5} {
					n.hosts[k].identity = &schema.StoreIdentity{Id: fmt.Sprintf("old%d", k), Joined: true, BootstrapVote: []string{"old3", "old4", "old5"}}
				}
				for _, k := range []int{1, 6} {
					n.hosts[k].config.Bootstrap = first
				}
				n.startAll(2 * eventloop.Second)
				n.runTo(20 * eventloop.Second)
				So(len(n.bootstrapped), ShouldEqual, 0)
				for _, k := range []int{1, 6} {
					So(n.hosts[k].identity.Joined, ShouldBeFalse)
					So(n.hosts[k].identity.BootstrapVote, ShouldBeEmpty)
				}
			}
		}
	})
	Convey("Once the system has asked it in, it belongs", t, func() {
		n := newNetwork(1)
		n.addHosts("s", false, 1)
		n.startAll(0)
		n.runTo(2 * eventloop.Second)
		h := n.hosts[0]
		h.step(eventloop.Message{Body: IdentityPersisted{Identity: &schema.StoreIdentity{Id: h.id, Joined: true}}})
		So(h.membership.clusterExists, ShouldBeTrue)
	})
}

func TestFounders(t *testing.T) {
	Convey("Founders are spread over the cells, lowest ids first", t, func() {
		for _, each := range []struct {
			stores string // id@cell
			count  int
			want   string
		}{
			{"", 3, ""},
			{"a@x", 3, "a"},
			{"a@x b@x", 3, "a b"},
			{"a@x b@x c@x d@y e@z", 3, "a d e"},
			{"a@x b@x c@x d@y", 3, "a b d"},
			{"a@x b@x c@y d@y e@z f@z", 5, "a b c d e"},
			{"f@x e@x d@y c@y b@z a@z", 5, "a c d e f"},
		} {
			zones := map[string]string{}
			for _, store := range strings.Fields(each.stores) {
				id, zone, _ := strings.Cut(store, "@")
				zones[id] = zone
			}
			So(strings.Join(SpreadOverZones(zones, each.count), " "), ShouldEqual, each.want)
		}
	})
}

// newRunningCluster is a system at work: six stores, of them one a seed, three fronts and
// nine side machines.
func newRunningCluster(seed uint64) *network {
	n := newNetwork(seed)
	n.delay = 2 * eventloop.Millisecond
	n.addHosts("FsFSSSSSfhhhhhhhhh", true, 1)
	n.startAll(200 * eventloop.Millisecond)
	n.runTo(12 * eventloop.Second)
	return n
}

// maxSilence is how long ago, by any of the hosts, another was heard of, the worst
// over a span.
func (n *network) maxSilence(span eventloop.Micros, watches func(by, of *host) bool) eventloop.Micros {
	var worst eventloop.Micros
	for end := n.now + span; n.now < end; {
		n.runTo(n.now + 50*eventloop.Millisecond)
		for _, by := range n.hosts {
			for _, of := range n.hosts {
				if by == of || by.incarnation == 0 || !watches(by, of) {
					continue
				}
				known, isKnown := by.membership.members[of.id]
				if !isKnown {
					return span
				}
				worst = max(worst, n.now-known.LastHeard)
			}
		}
	}
	return worst
}

func TestGossip(t *testing.T) {
	// Of side machines the stores hear, and the others of those that stand for controller.
	isOwed := func(by, of *host) bool { return by.hasDisk || !of.config.IsAgentNode }
	isStore := func(_, of *host) bool { return of.hasDisk }
	each := func(name string, play func(n *network)) {
		Convey(name, t, func() {
			for seed := range uint64(10) {
				play(newRunningCluster(seed))
			}
		})
	}
	each("In a system of eighteen everybody goes on hearing of the stores and fronts, and the stores of everybody", func(n *network) {
		So(n.isBootstrapped(), ShouldBeTrue)
		So(n.maxSilence(20*eventloop.Second, isStore), ShouldBeLessThan, 1000*eventloop.Millisecond)
		So(n.maxSilence(20*eventloop.Second, isOwed), ShouldBeLessThan, 1500*eventloop.Millisecond)
	})
	each("also if one message in ten is lost", func(n *network) {
		n.loss, n.lossEnd = 0.1, n.now+eventloop.Second*60
		bySide := func(by, of *host) bool { return by.config.IsAgentNode && of.hasDisk }
		So(n.maxSilence(20*eventloop.Second, bySide), ShouldBeLessThan, 1500*eventloop.Millisecond)
	})
	each("also if a side machine is cut off from a store", func(n *network) {
		store, side := n.hosts[1], n.hosts[12]
		n.isPartitioned = func(from, to *host) bool { return from == store && to == side || from == side && to == store }
		So(n.maxSilence(20*eventloop.Second, isStore), ShouldBeLessThan, 1500*eventloop.Millisecond)
	})
	each("A store that the other stores don't hear is heard of by way of others", func(n *network) {
		store := n.hosts[4]
		n.isPartitioned = func(from, to *host) bool { return from == store && to.hasDisk || from.hasDisk && to == store }
		n.runTo(n.now + 5*eventloop.Second)
		So(n.maxSilence(20*eventloop.Second, func(by, of *host) bool { return of == store && by.config.IsAgentNode }), ShouldBeLessThan, 2500*eventloop.Millisecond)
	})
	each("A store that died is soon unheard of, and the others are not", func(n *network) {
		store := n.hosts[5]
		store.stop()
		died := n.now
		n.runTo(n.now + 3*eventloop.Second)
		for _, by := range n.hosts {
			if by.incarnation > 0 {
				So(by.membership.members[store.id].LastHeard-died, ShouldBeLessThan, 600*eventloop.Millisecond)
			}
		}
		So(n.maxSilence(20*eventloop.Second, func(_, of *host) bool { return of.hasDisk && of != store }), ShouldBeLessThan, 1500*eventloop.Millisecond)
	})
	each("A process that starts is soon known everywhere, and one that leaves too", func(n *network) {
		front := n.hosts[8]
		front.stop()
		front.start()
		n.runTo(n.now + 2500*eventloop.Millisecond)
		for _, by := range n.hosts {
			if by != front {
				So(by.view.Members, ShouldContainKey, front.id)
				So(by.addresses.Address(front.id), ShouldEqual, front.address)
			}
		}
		front.step(eventloop.Message{Body: Draining{}})
		n.runTo(n.now + 600*eventloop.Millisecond)
		for _, by := range n.hosts {
			if by != front && by.config.IsAgentNode {
				So(by.membership.members[front.id].Member.Draining, ShouldBeTrue)
			}
		}
	})
	each("A front that reaches no store is heard of by way of others", func(n *network) {
		front := n.hosts[8]
		n.isPartitioned = func(from, to *host) bool { return from == front && to.hasDisk || from.hasDisk && to == front }
		n.runTo(n.now + 5*eventloop.Second)
		So(n.maxSilence(20*eventloop.Second, func(by, of *host) bool { return of == front && by.hasDisk }), ShouldBeLessThan, 4*eventloop.Second)
	})
	each("All agree on the side machines that stand for controller, and one that dies is soon replaced", func(n *network) {
		standing := func(by *host) []string {
			zones := map[string]string{}
			for id, known := range by.view.Members {
				if known.Member.Role == schema.Role_ROLE_CONTROLLER && by.view.IsAlive(id, n.now, storageNodeTimeout) {
					zones[id] = known.Member.Zone
				}
			}
			return SpreadOverZones(zones, MaxControllerCandidates)
		}
		agreed := func() []string {
			want := standing(n.hosts[1])
			So(len(want), ShouldEqual, MaxControllerCandidates)
			for _, by := range n.hosts {
				if by.incarnation > 0 && by.config.IsAgentNode {
					has := standing(by)
					So(slices.Contains(has, by.id), ShouldEqual, slices.Contains(want, by.id))
				}
			}
			return want
		}
		first := agreed()
		for _, h := range n.hosts {
			if h.id == first[0] {
				h.stop()
			}
		}
		n.runTo(n.now + 5*eventloop.Second)
		So(agreed(), ShouldNotContain, first[0])
	})
	Convey("A system of 80 tells its side machines little", t, func() {
		n := newNetwork(2)
		n.delay = 2 * eventloop.Millisecond
		n.addHosts("FsFSSSSSffffffff"+strings.Repeat("h", 64), true, 1)
		n.startAll(200 * eventloop.Millisecond)
		n.runTo(12 * eventloop.Second)
		most, fronts := 0, 0
		n.onGossip = func(_, to *host, gossip *schema.Gossip) {
			if to.config.IsAgentNode {
				most = max(most, len(gossip.Members))
			}
			if !to.config.IsAgentNode && !to.hasDisk {
				fronts = max(fronts, len(gossip.Members))
			}
		}
		n.encoders = map[string]*gob.Encoder{}
		n.runTo(n.now + 5*eventloop.Second)
		n.messages, n.bytes = 0, 0
		n.runTo(n.now + 10*eventloop.Second)
		t.Logf("80 processes: %d messages/s, %d bytes/s; at most %d told at once to a side machine, %d to a front", n.messages/10, n.bytes/10, most, fronts)
		So(most, ShouldBeLessThanOrEqualTo, 16+MaxControllerCandidates)
		So(fronts, ShouldBeLessThanOrEqualTo, 16+MaxControllerCandidates)
	})
	Convey("What it costs", t, func() {
		n := newRunningCluster(1)
		n.messages, n.bytes, n.encoders = 0, 0, map[string]*gob.Encoder{}
		n.runTo(n.now + 5*eventloop.Second) // types go over each wire once
		n.messages, n.bytes = 0, 0
		n.runTo(n.now + 20*eventloop.Second)
		t.Logf("18 processes: %d messages/s, %d bytes/s", n.messages/20, n.bytes/20)
		So(n.messages/20, ShouldBeLessThan, 250)
		So(n.bytes/20, ShouldBeLessThan, 100_000)
	})
}

func TestFreeze(t *testing.T) {
	Convey("After a freeze nobody looks gone, and no word from before is promised on", t, func() {
		n := newNetwork(3)
		n.addHosts("sss", false, 0)
		n.startAll(100 * eventloop.Millisecond)
		n.runTo(eventloop.Second + 400*eventloop.Millisecond)
		h := n.hosts[0]
		others := slices.Sorted(maps.Keys(h.membership.members))
		So(len(others), ShouldEqual, 2)
		h.membership.Step(n.now+30*eventloop.Second, eventloop.Message{Body: eventloop.Tick{}}, h)
		for _, id := range others {
			So(h.view.IsAlive(id, n.now+30*eventloop.Second, eventloop.Second), ShouldBeTrue)
		}
		So(h.membership.reports, ShouldBeEmpty)
	})
}

func TestWholeRestart(t *testing.T) {
	Convey("After a whole restart sides behind seeds without a disk hear of a store soon, in whatever order all come up", t, func() {
		for seed := range uint64(60) {
			n := newNetwork(seed)
			n.addHosts("FFFSSShhhhhh", true, 1)
			for _, k := range []int{3, 4, 5} {
				n.hosts[k].identity = &schema.StoreIdentity{
					Id: fmt.Sprintf("old%d", k), Joined: true, BootstrapVote: []string{"old3", "old4", "old5"}, KnownAddresses: []string{"10.0.0.03:1", "10.0.0.04:1", "10.0.0.05:1"},
				}
			}
			// The stores find each other by whom they met before, the seeds come last.
			for _, h := range n.hosts[:3] {
				h.startDelay = 300*eventloop.Millisecond + n.randomDelay(300*eventloop.Millisecond)
			}
			n.startAll(100 * eventloop.Millisecond)
			n.runTo(n.now + 2*eventloop.Second)
			for _, h := range n.hosts {
				if h.config.IsAgentNode {
					So(h.membership.liveStorageNodes(n.now), ShouldNotBeEmpty)
				}
			}
		}
	})
}
