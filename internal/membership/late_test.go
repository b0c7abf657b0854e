package membership

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// sink takes what a table sends and counts it by address.
type sink map[string]int

func (s sink) Send(string, any)           {}
func (s sink) Dial(address string, _ any) { s[address]++ }
func (s sink) Notify(string, any)         {}
func (s sink) Respond(uint64, any)        {}

func TestLateHellos(t *testing.T) {
	Convey("Given a store that has started a second time", t, func() {
		self := &schema.Member{Id: "me", Incarnation: 1, InternalAddress: "10.0.0.1:1", HasStorage: true}
		table := New(self, Terms{Seeds: []string{"10.0.0.2:1"}, First: true}, &schema.StoreIdentity{Id: "me"}, &Book{}, nil, rand.New(rand.NewPCG(1, 1)))
		out, now := sink{}, 10*eventloop.Second
		hello := func(boot, beat uint64, address string, stores ...string) {
			now += eventloop.Millisecond
			table.Step(now, eventloop.Message{From: "other", Body: &schema.Gossip{
				Self: &schema.Member{Id: "other", Incarnation: boot, Heartbeat: beat, InternalAddress: address, HasStorage: true}, Empty: true, KnownStores: stores,
			}}, out)
		}
		hello(2, 7, "10.0.0.2:1", "me", "other")
		Convey("the word of its former life counts no more and isn't answered", func() {
			hello(1, 90, "10.0.0.3:1", "former")
			So(table.told["other"].hello.KnownStores, ShouldResemble, []string{"me", "other"})
			So(table.known["other"].Member.InternalAddress, ShouldEqual, "10.0.0.2:1")
			So(out["10.0.0.3:1"], ShouldEqual, 0)
		})
		Convey("what it said before doesn't take the place of what it said since", func() {
			hello(2, 6, "10.0.0.2:1", "other")
			So(table.told["other"].hello.KnownStores, ShouldResemble, []string{"me", "other"})
			So(table.told["other"].at, ShouldEqual, now-eventloop.Millisecond)
			hello(2, 8, "10.0.0.2:1", "other")
			So(table.told["other"].hello.KnownStores, ShouldResemble, []string{"other"})
		})
	})
}
