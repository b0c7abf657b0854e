package transport

import (
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"

	"sparnotch/internal/schema"
)

type arrival struct {
	from string
	body any
}

func listen(id string) (*Transport, chan arrival) {
	arrivals := make(chan arrival, 4096)
	n, err := Listen(Identity{ID: id}, "127.0.0.1:0", func(from string, body any) { arrivals <- arrival{from, body} })
	So(err, ShouldBeNil)
	return n, arrivals
}

func next(arrivals chan arrival) arrival {
	select {
	case a := <-arrivals:
		return a
	case <-time.After(30 * time.Second):
		return arrival{}
	}
}

func TestConnections(t *testing.T) {
	Convey("Messages of all types arrive intact and in order", t, func() {
		a, _ := listen("a")
		b, atB := listen("b")
		Reset(func() { a.Close(); b.Close() })
		a.Send(b.Address(), &schema.AppendRequest{Group: "g", Term: 7, Entries: []*schema.Entry{{Index: 1, Data: []byte("x"), MemberSet: &schema.MemberSet{Voters: []string{"a"}}}}})
		a.Send(b.Address(), &schema.ClusterStateResponse{State: &schema.ClusterState{Configuration: &schema.Configuration{Revision: 3, Rows: []*schema.ConfigurationRow{{Kind: "queue"}}}}, Leaders: map[string]string{"l": "a"}})
		a.Send(b.Address(), &schema.WorkerPollRequest{Heartbeat: &schema.WorkerHeartbeat{Running: []*schema.TaskStatus{{Queue: "l"}}, MaxWaitUs: 5}})
		first := next(atB)
		So(first.from, ShouldEqual, "a")
		So(first.body.(*schema.AppendRequest).Entries[0].MemberSet.Voters[0], ShouldEqual, "a")
		So(next(atB).body.(*schema.ClusterStateResponse).State.Configuration.Rows[0].Kind, ShouldEqual, "queue")
		So(next(atB).body.(*schema.WorkerPollRequest).Heartbeat.Running[0].Queue, ShouldEqual, "l")
		Convey("also after the receiver has restarted", func() {
			address := b.Address()
			b.Close()
			arrived := make(chan arrival, 4096)
			again, err := Listen(Identity{ID: "b"}, address, func(from string, body any) { arrived <- arrival{from, body} })
			So(err, ShouldBeNil)
			Reset(again.Close)
			// What was lost on the failed connection isn't resent by the transport.
			stop := time.After(30 * time.Second)
			for {
				a.Send(address, &schema.TimeoutNow{Group: "g"})
				select {
				case got := <-arrived:
					So(got.from, ShouldEqual, "a")
					return
				case <-stop:
					So("nothing arrived", ShouldEqual, "")
					return
				case <-time.After(20 * time.Millisecond):
				}
			}
		})
	})
	Convey("Malformed input closes its connection and nothing else", t, func() {
		a, _ := listen("a")
		b, atB := listen("b")
		Reset(func() { a.Close(); b.Close() })
		for _, garbage := range []string{"GET / HTTP/1.1\r\n\r\n", preamble + strings.Repeat("\xff garbage", 100), preamble + "\x03\x04\x00\x01\x02\x03\x04\x00\x01\x02", "sparnotch/9\n"} {
			conn, err := net.Dial("tcp", b.Address())
			So(err, ShouldBeNil)
			_, err = conn.Write([]byte(garbage))
			So(err, ShouldBeNil)
			conn.SetReadDeadline(time.Now().Add(30 * time.Second))
			_, err = conn.Read(make([]byte, 1))
			So(err, ShouldNotBeNil)
			timeout, isNet := err.(net.Error)
			So(isNet && timeout.Timeout(), ShouldBeFalse)
			conn.Close()
		}
		a.Send(b.Address(), &schema.TimeoutNow{Group: "g"})
		So(next(atB).from, ShouldEqual, "a")
		So(b.Counts().Malformed, ShouldBeGreaterThan, 0)
	})
	Convey("A partitioned address gets nothing", t, func() {
		a, _ := listen("a")
		b, atB := listen("b")
		Reset(func() { a.Close(); b.Close() })
		var isPartitioned atomic.Bool
		isPartitioned.Store(true)
		a.IsPartitioned = func(string) bool { return isPartitioned.Load() }
		a.Send(b.Address(), &schema.TimeoutNow{Group: "partitioned"})
		for a.Counts().Lost == 0 {
			runtime.Gosched()
		}
		isPartitioned.Store(false)
		a.Send(b.Address(), &schema.TimeoutNow{Group: "healed"})
		So(next(atB).body.(*schema.TimeoutNow).Group, ShouldEqual, "healed")
	})
}

func TestUnresponsivePeers(t *testing.T) {
	Convey("A peer that doesn't read delays no others", t, func() {
		a, _ := listen("a")
		b, atB := listen("b")
		unread, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		Reset(func() { unread.Close(); a.Close(); b.Close() })
		large := &schema.AppendRequest{Entries: []*schema.Entry{{Data: make([]byte, 1<<20)}}}
		for range 2 * queueLength {
			a.Send(unread.Addr().String(), large)
		}
		So(a.Counts().Lost, ShouldBeGreaterThan, 0)
		a.Send(b.Address(), &schema.TimeoutNow{Group: "g"})
		So(next(atB).from, ShouldEqual, "a")
	})
	Convey("Queued messages are sent in one write, and stale ones not at all", t, func() {
		a, _ := listen("a")
		b, atB := listen("b")
		start := time.Now()
		var later atomic.Int64
		a.now = func() time.Time { return start.Add(time.Duration(later.Load())) }
		entered, release := make(chan bool), make(chan bool)
		var isHeld atomic.Bool
		isHeld.Store(true)
		a.IsPartitioned = func(string) bool {
			if isHeld.CompareAndSwap(true, false) {
				entered <- true
				<-release
			}
			return false
		}
		Reset(func() { a.Close(); b.Close() })
		a.Send(b.Address(), &schema.TimeoutNow{Group: "held"})
		<-entered
		for range 5 {
			a.Send(b.Address(), &schema.TimeoutNow{Group: "stale"})
		}
		later.Store(int64(maxQueueTime + time.Millisecond))
		for range 50 {
			a.Send(b.Address(), &schema.TimeoutNow{Group: "fresh"})
		}
		close(release)
		for range 50 {
			So(next(atB).body.(*schema.TimeoutNow).Group, ShouldEqual, "fresh")
		}
		// Messages are counted after the write, so they may arrive before.
		for a.Counts().Sent < 50 {
			runtime.Gosched()
		}
		So(a.Counts().Lost, ShouldEqual, 6)
		So(a.Counts().Writes, ShouldEqual, 1)
	})
	Convey("A connection whose peer acknowledges nothing fails", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		Reset(func() { listener.Close() })
		conn, err := (&net.Dialer{Control: setUserTimeout}).Dial("tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		defer conn.Close()
		raw, err := conn.(*net.TCPConn).SyscallConn()
		So(err, ShouldBeNil)
		var timeout int
		So(raw.Control(func(handle uintptr) {
			timeout, err = unix.GetsockoptInt(int(handle), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		}), ShouldBeNil)
		So(err, ShouldBeNil)
		So(timeout, ShouldEqual, 3000)
	})
}

func TestPeerRestart(t *testing.T) {
	Convey("A connection that its peer has closed is closed before the next message is written to it", t, func() {
		a, _ := listen("a")
		connection := &outboundConn{}
		Reset(func() { connection.close(); a.Close() })
		peer, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		Reset(func() { peer.Close() })
		So(a.write(connection, peer.Addr().String(), Envelope{Body: &schema.Gossip{}}), ShouldBeNil)
		conn, err := peer.Accept()
		So(err, ShouldBeNil)
		connection.closeIfPeerClosed()
		So(connection.conn, ShouldNotBeNil)
		So(conn.Close(), ShouldBeNil)
		for end := time.Now().Add(30 * time.Second); !connection.peerClosed.Load() && time.Now().Before(end); {
			runtime.Gosched()
		}
		connection.closeIfPeerClosed()
		So(connection.conn, ShouldBeNil)
		So(a.write(connection, peer.Addr().String(), Envelope{Body: &schema.Gossip{}}), ShouldBeNil)
	})
}
