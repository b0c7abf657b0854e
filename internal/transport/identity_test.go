package transport

import (
	"runtime"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/schema"
)

// listenAs returns the transport of one incarnation of a process, and a channel with the
// messages that it receives.
func listenAs(id string, boot uint64, address string) (*Transport, chan arrival) {
	arrivals := make(chan arrival, 4096)
	transport, err := Listen(Identity{ID: id, Boot: boot}, address, func(from string, body any) { arrivals <- arrival{from, body} })
	So(err, ShouldBeNil)
	return transport, arrivals
}

// sendUntil calls send repeatedly until isDone returns true, and fails the test after 30 seconds.
func sendUntil(isDone func() bool, send func()) {
	for end := time.Now().Add(30 * time.Second); !isDone(); runtime.Gosched() {
		So(time.Now(), ShouldHappenBefore, end)
		send()
	}
}

func newReply(number uint64) *schema.Response { return &schema.Response{Id: number, Code: 200} }

// countByNumber removes the responses that have arrived from a channel and counts them by their
// number.
func countByNumber(arrivals chan arrival) map[uint64]int {
	counts := map[uint64]int{}
	for {
		select {
		case received := <-arrivals:
			counts[received.body.(*schema.Response).Id]++
		default:
			return counts
		}
	}
}

func TestReusedAddresses(t *testing.T) {
	Convey("A message to a process that has stopped isn't delivered to the next process at its address", t, func() {
		a, _ := listenAs("a", 1, "127.0.0.1:0")
		former, atFormer := listenAs("former", 1, "127.0.0.1:0")
		address := former.Address()
		a.SendTo("former", address, newReply(1))
		So(next(atFormer).body.(*schema.Response).Id, ShouldEqual, 1)
		former.Close()
		later, atLater := listenAs("later", 1, address)
		Reset(func() { a.Close(); later.Close() })
		sendUntil(func() bool { return later.Counts().Misdelivered+uint64(len(atLater)) > 0 }, func() { a.SendTo("former", address, newReply(2)) })
		So(countByNumber(atLater), ShouldBeEmpty)
		a.SendTo("later", address, newReply(3))
		So(next(atLater).body.(*schema.Response).Id, ShouldEqual, 3)
		So(countByNumber(atLater), ShouldBeEmpty)
	})
	Convey("A message without an id is delivered to whichever process listens at the address", t, func() {
		a, _ := listenAs("a", 1, "127.0.0.1:0")
		b, atB := listenAs("b", 1, "127.0.0.1:0")
		Reset(func() { a.Close(); b.Close() })
		a.Send(b.Address(), newReply(1))
		So(next(atB), ShouldResemble, arrival{"a", newReply(1)})
	})
}

func TestFormerIncarnations(t *testing.T) {
	Convey("Messages of a former incarnation are dropped once a later one has connected", t, func() {
		b, atB := listenAs("b", 1, "127.0.0.1:0")
		former, _ := listenAs("a", 4, "127.0.0.1:0")
		later, _ := listenAs("a", 5, "127.0.0.1:0")
		Reset(func() { former.Close(); later.Close(); b.Close() })
		former.SendTo("b", b.Address(), newReply(4))
		So(next(atB), ShouldResemble, arrival{"a", newReply(4)})
		later.SendTo("b", b.Address(), newReply(5))
		So(next(atB), ShouldResemble, arrival{"a", newReply(5)})
		So(b.Counts().Superseded, ShouldEqual, 1)
		// The first connection of the former incarnation was closed, and its next connections
		// are rejected.
		sendUntil(func() bool { return b.Counts().Superseded >= 3 }, func() { former.SendTo("b", b.Address(), newReply(4)) })
		later.SendTo("b", b.Address(), newReply(6))
		So(next(atB), ShouldResemble, arrival{"a", newReply(6)})
		So(countByNumber(atB), ShouldBeEmpty)
	})
	Convey("One incarnation may have several connections", t, func() {
		b, atB := listenAs("b", 1, "127.0.0.1:0")
		a, _ := listenAs("a", 4, "127.0.0.1:0")
		other, _ := listenAs("a", 4, "127.0.0.1:0")
		Reset(func() { a.Close(); other.Close(); b.Close() })
		for number := uint64(1); number <= 10; number++ {
			a.SendTo("b", b.Address(), newReply(number))
			So(next(atB).body.(*schema.Response).Id, ShouldEqual, number)
			other.SendTo("b", b.Address(), newReply(100+number))
			So(next(atB).body.(*schema.Response).Id, ShouldEqual, 100+number)
		}
		So(b.Counts().Superseded, ShouldEqual, 0)
	})
	Convey("A connection whose introduction contains no id is closed", t, func() {
		b, atB := listenAs("b", 1, "127.0.0.1:0")
		nobody, _ := listenAs("", 1, "127.0.0.1:0")
		Reset(func() { nobody.Close(); b.Close() })
		sendUntil(func() bool { return b.Counts().Malformed+uint64(len(atB)) > 0 }, func() { nobody.SendTo("b", b.Address(), newReply(1)) })
		So(countByNumber(atB), ShouldBeEmpty)
	})
}
