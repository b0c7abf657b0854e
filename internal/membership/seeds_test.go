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
