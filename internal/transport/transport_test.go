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

// arrival is a message that a transport has delivered.
type arrival struct {
	from string
	body any
}

// listen returns the transport of a process, and a channel with the messages that it receives.
func listen(id string) (*Transport, chan arrival) {
	arrivals := make(chan arrival, 4096)
	transport, err := Listen(Identity{ID: id}, "127.0.0.1:0", func(from string, body any) { arrivals <- arrival{from, body} })
	So(err, ShouldBeNil)
	return transport, arrivals
}

// next returns the next message from a channel, or an empty arrival after 30 seconds.
func next(arrivals chan arrival) arrival {
	select {
	case received := <-arrivals:
		return received
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
		Convey("They also arrive after the receiver has restarted", func() {
			address := b.Address()
			b.Close()
			arrivals := make(chan arrival, 4096)
			restarted, err := Listen(Identity{ID: "b"}, address, func(from string, body any) { arrivals <- arrival{from, body} })
			So(err, ShouldBeNil)
			Reset(restarted.Close)
			// The transport doesn't resend messages that were lost on the failed connection,
			// so the test sends until one arrives.
			timeout := time.After(30 * time.Second)
			for {
				a.Send(address, &schema.TimeoutNow{Group: "g"})
				select {
				case received := <-arrivals:
					So(received.from, ShouldEqual, "a")
					return
				case <-timeout:
					So("nothing arrived", ShouldEqual, "")
					return
				case <-time.After(20 * time.Millisecond):
				}
			}
		})
	})
	Convey("Malformed input closes only the connection that it came on", t, func() {
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
			networkErr, isNetworkErr := err.(net.Error)
			So(isNetworkErr && networkErr.Timeout(), ShouldBeFalse)
			conn.Close()
		}
		a.Send(b.Address(), &schema.TimeoutNow{Group: "g"})
		So(next(atB).from, ShouldEqual, "a")
		So(b.Counts().Malformed, ShouldBeGreaterThan, 0)
	})
	Convey("No message is sent to a partitioned address", t, func() {
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
	Convey("A peer that doesn't read doesn't delay messages to other peers", t, func() {
		a, _ := listen("a")
		b, atB := listen("b")
		stalledPeer, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		Reset(func() { stalledPeer.Close(); a.Close(); b.Close() })
		large := &schema.AppendRequest{Entries: []*schema.Entry{{Data: make([]byte, 1<<20)}}}
		for range 2 * queueLength {
			a.Send(stalledPeer.Addr().String(), large)
		}
		So(a.Counts().Lost, ShouldBeGreaterThan, 0)
		a.Send(b.Address(), &schema.TimeoutNow{Group: "g"})
		So(next(atB).from, ShouldEqual, "a")
	})
	Convey("Queued messages are sent in one write, and stale messages aren't sent", t, func() {
		a, _ := listen("a")
		b, atB := listen("b")
		start := time.Now()
		var clockOffset atomic.Int64
		a.now = func() time.Time { return start.Add(time.Duration(clockOffset.Load())) }
		// The first message is held up in IsPartitioned until all others are queued and the
		// clock was advanced, which makes the first ones stale.
		held, release := make(chan bool), make(chan bool)
		var holdsNext atomic.Bool
		holdsNext.Store(true)
		a.IsPartitioned = func(string) bool {
			if holdsNext.CompareAndSwap(true, false) {
				held <- true
				<-release
			}
			return false
		}
		Reset(func() { a.Close(); b.Close() })
		a.Send(b.Address(), &schema.TimeoutNow{Group: "held"})
		<-held
		for range 5 {
			a.Send(b.Address(), &schema.TimeoutNow{Group: "stale"})
		}
		clockOffset.Store(int64(maxQueueTime + time.Millisecond))
		for range 50 {
			a.Send(b.Address(), &schema.TimeoutNow{Group: "fresh"})
		}
		close(release)
		for range 50 {
			So(next(atB).body.(*schema.TimeoutNow).Group, ShouldEqual, "fresh")
		}
		// Messages are counted as sent after the write, so they may arrive before they are counted.
		for a.Counts().Sent < 50 {
			runtime.Gosched()
		}
		So(a.Counts().Lost, ShouldEqual, 6)
		So(a.Counts().Writes, ShouldEqual, 1)
	})
	Convey("A connection whose peer acknowledges no data fails after 3 seconds", t, func() {
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
