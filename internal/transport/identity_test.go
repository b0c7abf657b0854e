package transport

import (
	"runtime"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/schema"
)

// listenAs makes the transport of one incarnation of a process, and records what
// arrives there.
func listenAs(id string, boot uint64, address string) (*Transport, chan arrival) {
	arrivals := make(chan arrival, 4096)
	n, err := Listen(Identity{ID: id, Boot: boot}, address, func(from string, body any) { arrivals <- arrival{from, body} })
	So(err, ShouldBeNil)
	return n, arrivals
}

// sendUntil sends again and again until isDone.
func sendUntil(isDone func() bool, send func()) {
	for end := time.Now().Add(30 * time.Second); !isDone(); runtime.Gosched() {
		So(time.Now(), ShouldHappenBefore, end)
		send()
	}
}

func newReply(number uint64) *schema.Response { return &schema.Response{Id: number, Code: 200} }

// countByNumber drains what has arrived and counts it by number.
func countByNumber(arrivals chan arrival) map[uint64]int {
	counts := map[uint64]int{}
	for {
		select {
		case each := <-arrivals:
			counts[each.body.(*schema.Response).Id]++
		default:
			return counts
		}
	}
}

func TestReusedAddresses(t *testing.T) {
	Convey("A message to a process that is gone isn't delivered to the next one at its address", t, func() {
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
	Convey("A message to an address alone reaches whichever process is there", t, func() {
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
		// Its connection is closed, and another isn't admitted.
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
	Convey("A connection without an id in its introduction is closed", t, func() {
		b, atB := listenAs("b", 1, "127.0.0.1:0")
		nobody, _ := listenAs("", 1, "127.0.0.1:0")
		Reset(func() { nobody.Close(); b.Close() })
		sendUntil(func() bool { return b.Counts().Malformed+uint64(len(atB)) > 0 }, func() { nobody.SendTo("b", b.Address(), newReply(1)) })
		So(countByNumber(atB), ShouldBeEmpty)
	})
}
