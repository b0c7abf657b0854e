package membership

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// dialCounter takes what a table sends and counts it by address.
type dialCounter map[string]int

func (s dialCounter) Send(string, any)           {}
func (s dialCounter) Dial(address string, _ any) { s[address]++ }
func (s dialCounter) Notify(string, any)         {}
func (s dialCounter) Respond(uint64, any)        {}

func TestLateHellos(t *testing.T) {
	Convey("Given a store that has started a second time", t, func() {
		self := &schema.Member{Id: "me", Incarnation: 1, InternalAddress: "10.0.0.1:1", HasStorage: true}
		table := New(self, Config{Seeds: []string{"10.0.0.2:1"}, Bootstrap: true}, &schema.StoreIdentity{Id: "me"}, &AddressBook{}, nil, rand.New(rand.NewPCG(1, 1)))
		effects, now := dialCounter{}, 10*eventloop.Second
		gossip := func(boot, beat uint64, address string, stores ...string) {
			now += eventloop.Millisecond
			table.Step(now, eventloop.Message{From: "other", Body: &schema.Gossip{
				Self: &schema.Member{Id: "other", Incarnation: boot, Heartbeat: beat, InternalAddress: address, HasStorage: true}, Empty: true, KnownStores: stores,
			}}, effects)
		}
		gossip(2, 7, "10.0.0.2:1", "me", "other")
		Convey("the word of its former life counts no more and isn't answered", func() {
			gossip(1, 90, "10.0.0.3:1", "former")
			So(table.reports["other"].gossip.KnownStores, ShouldResemble, []string{"me", "other"})
			So(table.members["other"].Member.InternalAddress, ShouldEqual, "10.0.0.2:1")
			So(effects["10.0.0.3:1"], ShouldEqual, 0)
		})
		Convey("what it said before doesn't take the place of what it said since", func() {
			gossip(2, 6, "10.0.0.2:1", "other")
			So(table.reports["other"].gossip.KnownStores, ShouldResemble, []string{"me", "other"})
			So(table.reports["other"].receivedAt, ShouldEqual, now-eventloop.Millisecond)
			gossip(2, 8, "10.0.0.2:1", "other")
			So(table.reports["other"].gossip.KnownStores, ShouldResemble, []string{"other"})
		})
	})
}
