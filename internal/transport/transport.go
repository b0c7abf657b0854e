// Package transport carries messages between the system's own processes: gob over
// TCP, one wire a direction, nothing promised. Whatever matters is resent by
// whoever needs it.
package transport

import (
	"bufio"
	"context"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

var (
	// Errors is the namespace of what this package refuses.
	Errors = errorx.NewNamespace("transport")
	// Closed means that this process no longer listens.
	Closed = Errors.NewType("closed")
)

// Envelope is what travels; an introduction has said from whom. Where To is given,
// only the process of that id may have it.
type Envelope struct {
	To   string
	Body any
}

const (
	preamble   = "sparnotch/3\n"
	maxMessage = 64 << 20
	ringSize   = 2048
	// The kernel sends a lost opening packet again after a second; a new dial is
	// sooner, for a machine that has no power yet when its peers are back.
	dialSpan   = 400 * time.Millisecond
	writeSpan  = 2 * time.Second
	staleSpan  = 2 * time.Second // what has waited longer is resent by whoever still needs it
	ackSpan    = 3 * time.Second // a peer that acknowledges nothing for so long is gone
	batchMost  = 256             // messages written in one go
	bufferSize = 16 << 10
	failedSpan = 30 * time.Millisecond // between two dials of an address that doesn't answer
	quietSpan  = 20 * time.Second      // a wire unused this long is closed by its sender
	deafSpan   = 60 * time.Second      // and later by its receiver
)

func init() {
	for _, body := range []any{
		&schema.Gossip{}, &schema.VoteRequest{}, &schema.VoteResponse{}, &schema.AppendRequest{}, &schema.AppendResponse{}, &schema.InstallSnapshot{}, &schema.TransferChunk{}, &schema.TransferChunkResponse{},
		&schema.HeartbeatBatch{}, &schema.TimeoutNow{}, &schema.SubmitRequest{}, &schema.SubmitResponse{}, &schema.Request{}, &schema.Response{},
		&schema.WorkerPollRequest{}, &schema.WorkerPollResponse{}, &schema.TaskEndReport{}, &schema.TaskEndAck{}, &schema.ClusterStateRequest{}, &schema.ClusterStateResponse{},
		&schema.ChangeMembers{}, &schema.EndSessionsRequest{},
	} {
		gob.Register(body)
	}
}

// Counts says what the wires have carried. Writes are system calls, each of
// which may carry several messages; Lost counts also what was given up as stale.
type Counts struct {
	Sent, Received, Bytes, Writes, Lost, Dials, Garbage uint64
	BytesIn                                             uint64 // read from other processes; Bytes is what was written
	Strayed                                             uint64 // came here and were for another process
	Former                                              uint64 // connections closed, or not taken, of a life that had a later one
}

// queued is a message that waits for its wire.
type queued struct {
	envelope Envelope
	at       time.Time
}

// Net is a process's wires.
type Net struct {
	self    Identity
	deliver func(from string, body any)
	// IsCut, where a test asks for it, tells that nothing may go to an address.
	IsCut func(address string) bool

	now      func() time.Time
	ctx      context.Context
	stop     context.CancelFunc
	listener net.Listener
	mu       sync.Mutex
	wires    map[string]*eventloop.Queue[queued]
	inbound  map[net.Conn]*sender
	running  sync.WaitGroup

	sent, received, bytes, writes, bytesIn, lost, dials, garbage, strayed, former atomic.Uint64
}

// Listen opens the inner port. Every message that comes in goes to deliver.
func Listen(self Identity, address string, deliver func(from string, body any)) (*Net, error) {
	listening := net.ListenConfig{KeepAliveConfig: probes}
	listener, err := listening.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, Errors.NewType("listen").Wrap(err, "inner address")
	}
	n := &Net{self: self, deliver: deliver, listener: listener, now: time.Now, wires: map[string]*eventloop.Queue[queued]{}, inbound: map[net.Conn]*sender{}}
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.running.Add(1)
	go n.accept()
	return n, nil
}

// Address is where this process listens, IP:PORT.
func (n *Net) Address() string { return n.listener.Addr().String() }

// Counts are what was sent and received so far.
func (n *Net) Counts() Counts {
	return Counts{n.sent.Load(), n.received.Load(), n.bytes.Load(), n.writes.Load(), n.lost.Load(), n.dials.Load(), n.garbage.Load(), n.bytesIn.Load(), n.strayed.Load(), n.former.Load()}
}

// Close ends every wire.
func (n *Net) Close() {
	n.stop()
	n.listener.Close()
	n.mu.Lock()
	for conn := range n.inbound {
		conn.Close()
	}
	n.mu.Unlock()
	n.running.Wait()
}

// Send puts a message on the wire to whoever is at an address; when that wire is
// full it is lost.
func (n *Net) Send(address string, body any) { n.SendTo("", address, body) }

// SendTo is Send to the process of an id, and to no other that may have come to
// the address.
func (n *Net) SendTo(id, address string, body any) {
	if address == "" || n.ctx.Err() != nil {
		return
	}
	n.mu.Lock()
	ring := n.wires[address]
	if ring == nil {
		ring = eventloop.NewQueue[queued](ringSize)
		n.wires[address] = ring
		n.running.Add(1)
		go n.carry(address, ring)
	}
	n.mu.Unlock()
	if !ring.TryPut(queued{Envelope{To: id, Body: body}, n.now()}) {
		n.lost.Add(1)
	}
}

// probes: a machine without power or behind a cut says nothing, so it is asked.
var probes = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// tune has the kernel give a connection up when what was sent stays
// unacknowledged (tcp(7), TCP_USER_TIMEOUT). A kernel that won't only makes us
// slower to notice.
func tune(_, _ string, raw syscall.RawConn) error {
	_ = raw.Control(func(handle uintptr) {
		_ = unix.SetsockoptInt(int(handle), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackSpan.Milliseconds()))
	})
	return nil
}

// outgoing is one wire's sending side.
type outgoing struct {
	conn    net.Conn
	writer  *bufio.Writer
	encoder *gob.Encoder
	used    time.Time
	failed  time.Time
	isOver  *atomic.Bool // the peer has closed the connection
}

func (n *Net) carry(address string, ring *eventloop.Queue[queued]) {
	defer n.running.Done()
	out := &outgoing{}
	defer out.close()
	buffered := uint64(0)
	fail := func() {
		out.close()
		n.lost.Add(buffered)
		buffered = 0
	}
	put := func(item queued) {
		buffered++
		switch {
		case n.IsCut != nil && n.IsCut(address):
			fail()
		case n.now().Sub(item.at) > staleSpan:
			// A peer that was away isn't flooded with what is long past.
			buffered--
			n.lost.Add(1)
		default:
			if err := n.write(out, address, item.envelope); err != nil {
				fail()
			}
		}
	}
	// Whatever waits is written in one go; nothing waits for more to come.
	ring.Consume(n.ctx, eventloop.Second, func(item queued) {
		out.letGo()
		put(item)
		for k := 1; k < batchMost; k++ {
			next, isThere := ring.TryTake()
			if !isThere {
				break
			}
			put(next)
		}
		if buffered == 0 {
			return
		}
		if err := out.writer.Flush(); err != nil {
			fail()
			return
		}
		n.sent.Add(buffered)
		buffered = 0
	}, func() {
		if out.conn != nil && n.now().Sub(out.used) > quietSpan {
			out.close()
		}
	})
}

// letGo closes a connection that the peer has closed; the next message dials.
func (o *outgoing) letGo() {
	if o.conn != nil && o.isOver.Load() {
		o.close()
	}
}

func (o *outgoing) close() {
	if o.conn != nil {
		o.conn.Close()
		o.conn = nil
	}
}

// watch notes that a peer has closed its end, as one does that starts anew: the
// next message would else be written into nothing, without an error.
func (n *Net) watch(conn net.Conn, isOver *atomic.Bool) {
	defer n.running.Done()
	_, _ = conn.Read(make([]byte, 1))
	isOver.Store(true)
}

func (n *Net) write(out *outgoing, address string, envelope Envelope) error {
	if out.conn == nil {
		// A process that is gone must not cost a dial for each message.
		if n.now().Sub(out.failed) < failedSpan {
			return Closed.New("%s failed a moment ago", address)
		}
		n.dials.Add(1)
		dialer := net.Dialer{Timeout: dialSpan, KeepAliveConfig: probes, Control: tune}
		conn, err := dialer.DialContext(n.ctx, "tcp", address)
		if err != nil {
			out.failed = n.now()
			return Closed.Wrap(err, "dialling")
		}
		out.conn, out.writer = conn, bufio.NewWriterSize(&countingWriter{conn, &n.bytes, &n.writes}, bufferSize)
		out.encoder = gob.NewEncoder(out.writer)
		out.isOver = &atomic.Bool{}
		n.running.Add(1)
		go n.watch(conn, out.isOver)
		if _, err := out.writer.WriteString(preamble); err != nil {
			return Closed.Wrap(err, "writing")
		}
		if err := out.encoder.Encode(&introduction{n.self}); err != nil {
			return Closed.Wrap(err, "writing")
		}
	}
	out.used = n.now()
	if err := out.conn.SetWriteDeadline(time.Now().Add(writeSpan)); err != nil {
		return Closed.Wrap(err, "writing")
	}
	if err := out.encoder.Encode(&envelope); err != nil {
		return Closed.Wrap(err, "writing")
	}
	return nil
}

type countingWriter struct {
	io.Writer
	bytes, writes *atomic.Uint64
}

func (c *countingWriter) Write(data []byte) (int, error) {
	written, err := c.Writer.Write(data)
	c.bytes.Add(uint64(written))
	c.writes.Add(1)
	return written, err
}

func (n *Net) accept() {
	defer n.running.Done()
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			if n.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			// Out of file handles, say: wait a little, the wires that close
			// give some back.
			select {
			case <-n.ctx.Done():
				return
			case <-time.After(50 * time.Millisecond):
			}
			continue
		}
		n.mu.Lock()
		n.inbound[conn] = &sender{}
		n.mu.Unlock()
		n.running.Add(1)
		go n.receive(conn)
	}
}

// limited turns away a message larger than any we send, before memory is
// given to it.
type limited struct {
	conn  net.Conn
	left  int
	count *atomic.Uint64
}

func (l *limited) Read(data []byte) (int, error) {
	if l.left <= 0 {
		return 0, Closed.New("message too large")
	}
	if len(data) > l.left {
		data = data[:l.left]
	}
	count, err := l.conn.Read(data)
	l.left -= count
	l.count.Add(uint64(count))
	return count, err
}

func (n *Net) receive(conn net.Conn) {
	defer n.running.Done()
	defer func() {
		// gob can panic on hostile input; that costs this wire and no more.
		if recover() != nil {
			n.garbage.Add(1)
		}
		conn.Close()
		n.mu.Lock()
		delete(n.inbound, conn)
		n.mu.Unlock()
	}()
	source := &limited{conn: conn, left: maxMessage, count: &n.bytesIn}
	reader := bufio.NewReader(source)
	conn.SetReadDeadline(time.Now().Add(writeSpan))
	hello := make([]byte, len(preamble))
	if _, err := io.ReadFull(reader, hello); err != nil || string(hello) != preamble {
		n.garbage.Add(1)
		return
	}
	decoder := gob.NewDecoder(reader)
	var first introduction
	if err := decoder.Decode(&first); err != nil || first.From.ID == "" {
		n.garbage.Add(1)
		return
	}
	from, isAdmitted := n.admit(conn, first.From)
	if !isAdmitted {
		return
	}
	for {
		source.left = maxMessage
		conn.SetReadDeadline(time.Now().Add(deafSpan))
		var envelope Envelope
		err := decoder.Decode(&envelope)
		if from.isFormer.Load() {
			return
		}
		if err != nil {
			// A wire that broke or went quiet says nothing of what it carried.
			var broken *net.OpError
			if !errors.Is(err, io.EOF) && !errors.As(err, &broken) {
				n.garbage.Add(1)
			}
			return
		}
		if envelope.Body == nil {
			n.garbage.Add(1)
			return
		}
		n.received.Add(1)
		if !n.isForUs(envelope) {
			n.strayed.Add(1)
			continue
		}
		n.deliver(from.ID, envelope.Body)
	}
}
