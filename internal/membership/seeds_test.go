package membership

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// fullGossipCounter notes whom a table dials, and whether it tells a whole member, which is
// answered with whole ones.
type fullGossipCounter struct{ fullGossips map[string]int }

func (d *fullGossipCounter) Send(string, any)    {}
func (d *fullGossipCounter) Notify(string, any)  {}
func (d *fullGossipCounter) Respond(uint64, any) {}
func (d *fullGossipCounter) Dial(address string, body any) {
	for _, member := range body.(*schema.Gossip).Members {
		if member.InternalAddress != "" {
			d.fullGossips[address]++
			return
		}
	}
}

// TestSeedsThatAreGone: processes outlive their seeds, as when each core machine in
// turn is replaced by one at another address.
func TestSeedsThatAreGone(t *testing.T) {
	Convey("When no seed is left, who has run since the first start hears of a store that comes then", t, func() {
		for seed := range uint64(10) {
			n := newRunningCluster(seed)
			seeds := n.hosts[0].config.Seeds
			var today []string // whom settings that are written now name
			for _, h := range n.hosts {
				isSeed := false
				for _, address := range seeds {
					isSeed = isSeed || h.address == address
				}
				if isSeed {
					h.stop()
				} else if h.hasDisk {
					today = append(today, h.address)
				}
			}
			n.runTo(n.now + 5*eventloop.Second)
			fresh := &host{net: n, address: "10.0.1.1:1", zone: "c0", hasDisk: true, config: Config{Seeds: today, MachineFailures: 1}}
			n.hosts = append(n.hosts, fresh)
			fresh.start()
			n.runTo(n.now + 3*eventloop.Second)
			for _, by := range n.hosts {
				if by.incarnation == 0 || by == fresh {
					continue
				}
				So(by.view.Members, ShouldContainKey, fresh.id)
				So(by.addresses.Address(fresh.id), ShouldEqual, fresh.address)
			}
		}
	})
}

// TestWhoIsNewWithoutSeeds: a side machine whose seeds are gone hears beats of a store
// that it doesn't know, always just after it has called a seed.
func TestWhoIsNewWithoutSeeds(t *testing.T) {
	Convey("Whoever hears a beat of somebody unknown asks a store that it knows, when its seeds don't answer", t, func() {
		self := &schema.Member{Id: "side", Incarnation: 1, Role: schema.Role_ROLE_CONTROLLER, InternalAddress: "10.0.0.9:1"}
		config := Config{Seeds: []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}, MachineFailures: 1, IsAgentNode: true}
		table := New(self, config, nil, &AddressBook{}, nil, rand.New(rand.NewPCG(1, 1)))
		effects := &fullGossipCounter{fullGossips: map[string]int{}}
		store := &schema.Member{Id: "store", Incarnation: 1, HasStorage: true, InternalAddress: "10.0.1.1:1"}
		now := eventloop.Second
		isToldOf, asked := false, 0
		for range 200 {
			now += TickInterval
			clear(effects.fullGossips)
			table.Step(now, eventloop.Message{Body: eventloop.Tick{}}, effects)
			asked += effects.fullGossips[store.InternalAddress]
			if !isToldOf {
				// It begins when a seed has just been called.
				isToldOf, asked = now > 20*eventloop.Second && table.fullSyncAt == now, 0
			}
			store.Heartbeat++
			answer := &schema.Gossip{Self: proto.Clone(store).(*schema.Member), Joined: true, IsReply: true}
			if isToldOf {
				answer.Members = []*schema.Member{{Id: "new", Incarnation: 1, Heartbeat: store.Heartbeat}}
			}
			table.Step(now+eventloop.Millisecond, eventloop.Message{From: store.Id, Body: answer}, effects)
		}
		So(isToldOf, ShouldBeTrue)
		So(asked, ShouldBeGreaterThan, 0)
	})
}
