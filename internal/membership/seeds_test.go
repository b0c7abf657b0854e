package membership

import (
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// fullGossipCounter implements eventloop.Effects and counts, by address, the sent messages that
// contain a full member. Such a message requests full members.
type fullGossipCounter struct{ fullGossips map[string]int }

func (c *fullGossipCounter) Send(string, any)    {}
func (c *fullGossipCounter) Notify(string, any)  {}
func (c *fullGossipCounter) Respond(uint64, any) {}
func (c *fullGossipCounter) SendToAddress(address string, body any) {
	for _, member := range body.(*schema.Gossip).Members {
		if member.InternalAddress != "" {
			c.fullGossips[address]++
			return
		}
	}
}

// stopSeeds stops all seeds, and returns the addresses of the remaining storage nodes.
func (n *network) stopSeeds() []string {
	seeds := n.hosts[0].config.Seeds
	var storageNodes []string
	for _, h := range n.hosts {
		if slices.Contains(seeds, h.address) {
			h.stop()
		} else if h.hasDisk {
			storageNodes = append(storageNodes, h.address)
		}
	}
	return storageNodes
}

// TestReplacedSeeds covers processes that outlive their seeds, for example because all storage
// nodes are replaced, one after the other, by nodes at other addresses.
func TestReplacedSeeds(t *testing.T) {
	Convey("When no seed is left, processes that have run since the first start learn of a new storage node", t, func() {
		for seed := range uint64(10) {
			n := newRunningCluster(seed)
			currentSeeds := n.stopSeeds() // the seeds in newly written settings
			n.runTo(n.now + 5*eventloop.Second)
			joining := &host{net: n, address: "10.0.1.1:1", zone: "c0", hasDisk: true, config: Config{Seeds: currentSeeds, MachineFailures: 1}}
			n.hosts = append(n.hosts, joining)
			joining.start()
			n.runTo(n.now + 3*eventloop.Second)
			for _, observer := range n.hosts {
				if observer.incarnation == 0 || observer == joining {
					continue
				}
				So(observer.view.Members, ShouldContainKey, joining.id)
				So(observer.addresses.Address(joining.id), ShouldEqual, joining.address)
			}
		}
	})
}

// TestUnknownMemberWithoutSeeds covers an agent node whose seeds don't reply. It receives heartbeats
// of a member that it doesn't know, always just after it has contacted a seed.
func TestUnknownMemberWithoutSeeds(t *testing.T) {
	Convey("A process that receives the heartbeat of an unknown member asks a storage node for full members if its seeds don't answer", t, func() {
		self := &schema.Member{Id: "agent", Incarnation: 1, Role: schema.Role_ROLE_CONTROLLER, InternalAddress: "10.0.0.9:1"}
		config := Config{Seeds: []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}, MachineFailures: 1, IsAgentNode: true}
		component := New(self, config, nil, &AddressBook{}, nil, rand.New(rand.NewPCG(1, 1)))
		effects := &fullGossipCounter{fullGossips: map[string]int{}}
		store := &schema.Member{Id: "store", Incarnation: 1, HasStorage: true, InternalAddress: "10.0.1.1:1"}
		now := eventloop.Second
		hasUnknown, asked := false, 0
		for range 200 {
			now += TickInterval
			clear(effects.fullGossips)
			component.Step(now, eventloop.Message{Body: eventloop.Tick{}}, effects)
			asked += effects.fullGossips[store.InternalAddress]
			if !hasUnknown {
				// The heartbeats of the unknown member begin just after a seed was contacted.
				hasUnknown, asked = now > 20*eventloop.Second && component.fullSyncAt == now, 0
			}
			store.Heartbeat++
			reply := &schema.Gossip{Self: proto.Clone(store).(*schema.Member), Joined: true, IsReply: true}
			if hasUnknown {
				reply.Members = []*schema.Member{{Id: "new", Incarnation: 1, Heartbeat: store.Heartbeat}}
			}
			component.Step(now+eventloop.Millisecond, eventloop.Message{From: store.Id, Body: reply}, effects)
		}
		So(hasUnknown, ShouldBeTrue)
		So(asked, ShouldBeGreaterThan, 0)
	})
}

// setSeeds makes the given addresses the seeds of a host, also of its process if one runs, as a
// changed settings file does.
func (h *host) setSeeds(seeds []string) {
	h.config.Seeds = seeds
	if h.incarnation != 0 {
		h.step(eventloop.Message{Body: SeedsChanged{Seeds: seeds}})
	}
}

// isConnected reports whether a host and all other running storage nodes know one another.
func (n *network) isConnected(h *host) bool {
	for _, other := range n.hosts {
		if other == h || other.incarnation == 0 || !other.hasDisk {
			continue
		}
		_, isKnown := h.membership.members[other.id]
		_, knows := other.membership.members[h.id]
		if !isKnown || !knows {
			return false
		}
	}
	return true
}

// TestChangedSeedsAreContacted guards against a process that never finds the cluster because the
// seeds with which it started are gone, though its settings have named other ones since.
func TestChangedSeedsAreContacted(t *testing.T) {
	for _, test := range []struct {
		description string
		hasDisk     bool
		isAgentNode bool
	}{
		{"A gateway node that knows nobody finds the cluster through changed seeds", false, false},
		{"An agent node that knows nobody finds the cluster through changed seeds", false, true},
		{"A storage node that knows nobody finds the cluster through changed seeds", true, false},
	} {
		Convey(test.description, t, func() {
			for seed := range uint64(10) {
				n := newRunningCluster(seed)
				goneSeeds := n.hosts[0].config.Seeds
				currentSeeds := n.stopSeeds()
				joining := &host{net: n, address: "10.0.1.1:1", zone: "c0", hasDisk: test.hasDisk, config: Config{
					Seeds: goneSeeds, MachineFailures: 1, IsAgentNode: test.isAgentNode,
				}}
				n.hosts = append(n.hosts, joining)
				joining.start()
				n.runTo(n.now + 3*eventloop.Second)
				So(joining.membership.members, ShouldBeEmpty)
				joining.setSeeds(currentSeeds[:3])
				n.runTo(n.now + 3*eventloop.Second)
				So(n.isConnected(joining), ShouldBeTrue)
			}
		})
	}
}

// TestRestartedSeedsRejoin guards against an island: processes without storage that are one
// another's only seeds restart together and know nobody else, while the rest of the cluster keeps
// the seeds with which it started.
func TestRestartedSeedsRejoin(t *testing.T) {
	Convey("Processes that became the seeds of all rejoin the cluster when they restart together", t, func() {
		for seed := range uint64(20) {
			n := newNetwork(seed)
			n.addHosts("sssSSfffhhhhhhhh", true, 1)
			n.startAll(200 * eventloop.Millisecond)
			n.runTo(12 * eventloop.Second)
			var seeds []string
			var restarting []*host
			for _, h := range n.hosts {
				if !h.hasDisk && !h.config.IsAgentNode {
					seeds, restarting = append(seeds, h.address), append(restarting, h)
				}
			}
			So(restarting, ShouldHaveLength, 3)
			for _, h := range n.hosts {
				h.setSeeds(seeds)
			}
			n.runTo(n.now + 15*eventloop.Second)
			for _, h := range restarting {
				h.stop()
			}
			n.runTo(n.now + eventloop.Second)
			for _, h := range restarting {
				h.start()
			}
			n.runTo(n.now + 6*eventloop.Second)
			for _, h := range restarting {
				So(n.isConnected(h), ShouldBeTrue)
			}
		}
	})
}

// TestSeedsOfTheBootstrap guards against two clusters when the settings name other seeds while the
// cluster is bootstrapped: no vote may be cast before all seeds of the first start have agreed.
func TestSeedsOfTheBootstrap(t *testing.T) {
	Convey("A cluster isn't bootstrapped before the last seed of the first start has started, whatever the seeds are then", t, func() {
		for seed := range uint64(10) {
			n := newNetwork(seed)
			n.addHosts("FsFSSSSSfhhh", true, 1)
			n.hosts[0].startDelay = 8 * eventloop.Second
			n.startAll(200 * eventloop.Millisecond)
			n.runTo(n.now + eventloop.Second)
			for _, h := range n.hosts[1:] {
				h.setSeeds([]string{n.hosts[1].address, n.hosts[3].address, n.hosts[4].address})
			}
			n.runTo(n.now + 6*eventloop.Second)
			So(n.bootstrapped, ShouldBeEmpty)
			n.runTo(n.now + 10*eventloop.Second)
			So(n.isBootstrapped(), ShouldBeTrue)
		}
	})
}
