package transport

import (
	"runtime"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/schema"
)

// node is a stand-in for another process: one life of an id.
func node(id string, boot uint64, address string) (*Net, chan arrival) {
	arrivals := make(chan arrival, 4096)
	n, err := Listen(Identity{ID: id, Boot: boot}, address, func(from string, body any) { arrivals <- arrival{from, body} })
	So(err, ShouldBeNil)
	return n, arrivals
}

// until sends again and again until a count has been reached.
func until(hasCome func() bool, send func()) {
	for end := time.Now().Add(30 * time.Second); !hasCome(); runtime.Gosched() {
		So(time.Now(), ShouldHappenBefore, end)
		send()
	}
}

func numbered(number uint64) *schema.Response { return &schema.Response{Id: number, Code: 200} }

// numbers empties what has arrived and counts it by number.
func numbers(arrivals chan arrival) map[uint64]int {
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

func TestAddressesThatChangeHands(t *testing.T) {
	Convey("An answer to a process that is gone isn't given to the next at its address", t, func() {
		a, _ := node("a", 1, "127.0.0.1:0")
		former, atFormer := node("former", 1, "127.0.0.1:0")
		address := former.Address()
		a.SendTo("former", address, numbered(1))
		So(next(atFormer).body.(*schema.Response).Id, ShouldEqual, 1)
		former.Close()
		later, atLater := node("later", 1, address)
		Reset(func() { a.Close(); later.Close() })
		until(func() bool { return later.Counts().Strayed+uint64(len(atLater)) > 0 }, func() { a.SendTo("former", address, numbered(2)) })
		So(numbers(atLater), ShouldBeEmpty)
		a.SendTo("later", address, numbered(3))
		So(next(atLater).body.(*schema.Response).Id, ShouldEqual, 3)
		So(numbers(atLater), ShouldBeEmpty)
	})
	Convey("What is for whoever is at an address reaches anybody", t, func() {
		a, _ := node("a", 1, "127.0.0.1:0")
		b, atB := node("b", 1, "127.0.0.1:0")
		Reset(func() { a.Close(); b.Close() })
		a.Send(b.Address(), numbered(1))
		So(next(atB), ShouldResemble, arrival{"a", numbered(1)})
	})
}

func TestFormerLives(t *testing.T) {
	Convey("What an earlier life of a process has sent counts no more once a later one has been heard", t, func() {
		b, atB := node("b", 1, "127.0.0.1:0")
		former, _ := node("a", 4, "127.0.0.1:0")
		later, _ := node("a", 5, "127.0.0.1:0")
		Reset(func() { former.Close(); later.Close(); b.Close() })
		former.SendTo("b", b.Address(), numbered(4))
		So(next(atB), ShouldResemble, arrival{"a", numbered(4)})
		later.SendTo("b", b.Address(), numbered(5))
		So(next(atB), ShouldResemble, arrival{"a", numbered(5)})
		So(b.Counts().Former, ShouldEqual, 1)
		// Its connection is closed, and another isn't taken.
		until(func() bool { return b.Counts().Former >= 3 }, func() { former.SendTo("b", b.Address(), numbered(4)) })
		later.SendTo("b", b.Address(), numbered(6))
		So(next(atB), ShouldResemble, arrival{"a", numbered(6)})
		So(numbers(atB), ShouldBeEmpty)
	})
	Convey("The same life may have several connections", t, func() {
		b, atB := node("b", 1, "127.0.0.1:0")
		a, _ := node("a", 4, "127.0.0.1:0")
		other, _ := node("a", 4, "127.0.0.1:0")
		Reset(func() { a.Close(); other.Close(); b.Close() })
		for number := uint64(1); number <= 10; number++ {
			a.SendTo("b", b.Address(), numbered(number))
			So(next(atB).body.(*schema.Response).Id, ShouldEqual, number)
			other.SendTo("b", b.Address(), numbered(100+number))
			So(next(atB).body.(*schema.Response).Id, ShouldEqual, 100+number)
		}
		So(b.Counts().Former, ShouldEqual, 0)
	})
	Convey("Who doesn't say who it is isn't listened to", t, func() {
		b, atB := node("b", 1, "127.0.0.1:0")
		nobody, _ := node("", 1, "127.0.0.1:0")
		Reset(func() { nobody.Close(); b.Close() })
		until(func() bool { return b.Counts().Garbage+uint64(len(atB)) > 0 }, func() { nobody.SendTo("b", b.Address(), numbered(1)) })
		So(numbers(atB), ShouldBeEmpty)
	})
}
