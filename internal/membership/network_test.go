package membership

import (
	"container/heap"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"strings"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// host simulates a machine that runs one process, of which only the Membership is simulated. It
// implements the Membership's eventloop.Effects.
type host struct {
	net        *network
	address    string
	zone       string
	config     Config
	hasDisk    bool
	identity   *schema.StoreIdentity // the identity on disk
	startDelay eventloop.Micros      // minimum delay between startAll and the start

	id           string // id of the running process
	incarnation  int    // incarnation of the running process; 0 if none runs
	incarnations int    // how often the process was started
	membership   *Membership
	addresses    *AddressBook
	view         *View
}

// event is an action scheduled at a simulated time.
type event struct {
	at     eventloop.Micros
	seq    int
	action func()
}

// events is a heap of events, ordered by time and then by the order in which they were scheduled.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, k int) bool {
	return e[i].at < e[k].at || e[i].at == e[k].at && e[i].seq < e[k].seq
}

func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// network is a deterministic simulation of hosts and the links between them. Its random seed
// determines which messages are lost and how long the others are delayed.
type network struct {
	rng            *rand.Rand
	now            eventloop.Micros
	seq            int
	queue          events
	hosts          []*host
	loss           float64 // fraction of messages that are lost until lossEnd
	lossEnd        eventloop.Micros
	maxDelay       eventloop.Micros // maximum delay of a message
	isPartitioned  func(from, to *host) bool
	votes          map[string]bool  // all votes that were ever persisted
	bootstrapped   map[string]bool  // all sets of voters with which the group was created
	bootstrappedAt eventloop.Micros // when a node last created the group
	messages       int
	bytes          int
	encoders       map[string]*gob.Encoder // by link; nil if bytes aren't counted
	onGossip       func(from, to *host, gossip *schema.Gossip)
}

func newNetwork(seed uint64) *network {
	return &network{
		rng: rand.New(rand.NewPCG(seed, 7)), now: eventloop.Second, maxDelay: 20 * eventloop.Millisecond,
		votes: map[string]bool{}, bootstrapped: map[string]bool{},
	}
}

// after schedules an action.
func (n *network) after(delay eventloop.Micros, action func()) {
	n.seq++
	heap.Push(&n.queue, event{n.now + delay, n.seq, action})
}

// runTo runs all events up to a time, which becomes the current time.
func (n *network) runTo(end eventloop.Micros) {
	for len(n.queue) > 0 && n.queue[0].at <= end {
		next := heap.Pop(&n.queue).(event)
		n.now = next.at
		next.action()
	}
	n.now = end
}

func (n *network) randomDelay(maxDelay eventloop.Micros) eventloop.Micros {
	return eventloop.Micros(n.rng.Int64N(int64(maxDelay) + 1))
}

// start starts a process, which keeps the identity that is on disk.
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
	h.membership = New(member, h.config, identity, h.addresses, []string{"subscriber"}, rand.New(rand.NewPCG(n.rng.Uint64(), 1)))
	incarnation := h.incarnation
	var tick func()
	tick = func() {
		if h.incarnation == incarnation {
			h.step(eventloop.Message{Body: eventloop.Tick{}})
			n.after(TickInterval, tick)
		}
	}
	n.after(n.randomDelay(TickInterval), tick)
}

func (h *host) stop() { h.incarnation = 0 }

func (h *host) step(message eventloop.Message) { h.membership.Step(h.net.now, message, h) }

func (h *host) Send(string, any) {}

func (h *host) Respond(uint64, any) {}

func (h *host) SendToAddress(address string, body any) {
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
		incarnation, from, copied := to.incarnation, h.id, proto.Clone(body.(*schema.Gossip))
		n.after(eventloop.Millisecond/5+n.randomDelay(n.maxDelay), func() {
			if incarnation > 0 && to.incarnation == incarnation {
				to.step(eventloop.Message{From: from, Body: copied})
			}
		})
	}
}

// byteCounter is a writer that counts the bytes that the network sends.
type byteCounter struct{ net *network }

func (c byteCounter) Write(data []byte) (int, error) {
	c.net.bytes += len(data)
	return len(data), nil
}

// countBytes adds the size of a message in the transport's encoding, gob.
func (n *network) countBytes(link, from string, body any) {
	encoder := n.encoders[link]
	if encoder == nil {
		encoder = gob.NewEncoder(byteCounter{n})
		n.encoders[link] = encoder
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

func (h *host) Notify(_ string, body any) {
	n := h.net
	switch body := body.(type) {
	case *View:
		h.view = body
	case PersistIdentity:
		incarnation := h.incarnation
		n.after(eventloop.Millisecond+n.randomDelay(30*eventloop.Millisecond), func() {
			if h.incarnation != incarnation {
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
			// The process may stop after the disk sync and before IdentityPersisted arrives.
			n.after(n.randomDelay(5*eventloop.Millisecond), func() {
				if h.incarnation == incarnation {
					h.step(eventloop.Message{Body: IdentityPersisted{Identity: body.Identity}})
				}
			})
		})
	}
}

// addHosts adds a host for each letter of the shape. S is a storage node, s a storage node at a
// seed's address, f a gateway node, F a gateway node at a seed's address and h an agent node. The
// hosts are assigned to three zones in turn.
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

// startAll schedules the start of all hosts that were never started: each starts after its start
// delay and a random time within the given limit.
func (n *network) startAll(within eventloop.Micros) {
	for _, h := range n.hosts {
		if h.incarnation == 0 && h.incarnations == 0 {
			n.after(h.startDelay+n.randomDelay(within), h.start)
		}
	}
}

// isBootstrapped reports whether exactly one cluster was created and each of its initial voters
// has joined.
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

// voterCount returns the number of initial voters, or 0 if no cluster was created.
func (n *network) voterCount() int {
	for set := range n.bootstrapped {
		return len(strings.Split(set, " "))
	}
	return 0
}

// newRunningCluster returns a bootstrapped cluster with six storage nodes, one of them a seed,
// three gateway nodes and nine agent nodes.
func newRunningCluster(seed uint64) *network {
	n := newNetwork(seed)
	n.maxDelay = 2 * eventloop.Millisecond
	n.addHosts("FsFSSSSSfhhhhhhhhh", true, 1)
	n.startAll(200 * eventloop.Millisecond)
	n.runTo(12 * eventloop.Second)
	return n
}

// maxSilence runs the network for a period and returns the longest time in which a host didn't
// hear of another one. It considers the pairs of hosts for which watches returns true. If an
// observer doesn't know the observed host at all, maxSilence returns the whole period.
func (n *network) maxSilence(period eventloop.Micros, watches func(observer, observed *host) bool) eventloop.Micros {
	var worst eventloop.Micros
	for end := n.now + period; n.now < end; {
		n.runTo(n.now + 50*eventloop.Millisecond)
		for _, observer := range n.hosts {
			for _, observed := range n.hosts {
				if observer == observed || observer.incarnation == 0 || !watches(observer, observed) {
					continue
				}
				status, found := observer.membership.members[observed.id]
				if !found {
					return period
				}
				worst = max(worst, n.now-status.LastHeard)
			}
		}
	}
	return worst
}
