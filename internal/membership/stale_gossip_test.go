package membership

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// dialCounter implements eventloop.Effects and counts the messages sent to each address.
type dialCounter map[string]int

func (c dialCounter) Send(string, any)                    {}
func (c dialCounter) SendToAddress(address string, _ any) { c[address]++ }
func (c dialCounter) Notify(string, any)                  {}
func (c dialCounter) Respond(uint64, any)                 {}

func TestStaleGossip(t *testing.T) {
	Convey("Given a storage node in its second incarnation", t, func() {
		self := &schema.Member{Id: "me", Incarnation: 1, InternalAddress: "10.0.0.1:1", HasStorage: true}
		component := New(self, Config{Seeds: []string{"10.0.0.2:1"}, Bootstrap: true}, &schema.StoreIdentity{Id: "me"}, &AddressBook{}, nil, rand.New(rand.NewPCG(1, 1)))
		effects, now := dialCounter{}, 10*eventloop.Second
		receive := func(incarnation, heartbeat uint64, address string, knownStores ...string) {
			now += eventloop.Millisecond
			component.Step(now, eventloop.Message{From: "other", Body: &schema.Gossip{
				Self: &schema.Member{Id: "other", Incarnation: incarnation, Heartbeat: heartbeat, InternalAddress: address, HasStorage: true}, Empty: true, KnownStores: knownStores,
			}}, effects)
		}
		receive(2, 7, "10.0.0.2:1", "me", "other")
		Convey("a message of its first incarnation is ignored and not answered", func() {
			receive(1, 90, "10.0.0.3:1", "previous")
			So(component.reports["other"].gossip.KnownStores, ShouldResemble, []string{"me", "other"})
			So(component.members["other"].Member.InternalAddress, ShouldEqual, "10.0.0.2:1")
			So(effects["10.0.0.3:1"], ShouldEqual, 0)
		})
		Convey("an older message of the same incarnation doesn't replace the report of a newer one", func() {
			receive(2, 6, "10.0.0.2:1", "other")
			So(component.reports["other"].gossip.KnownStores, ShouldResemble, []string{"me", "other"})
			So(component.reports["other"].receivedAt, ShouldEqual, now-eventloop.Millisecond)
			receive(2, 8, "10.0.0.2:1", "other")
			So(component.reports["other"].gossip.KnownStores, ShouldResemble, []string{"other"})
		})
	})
}
