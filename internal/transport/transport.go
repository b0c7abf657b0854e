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
	preamble        = "sparnotch/3\n"
	maxMessageBytes = 64 << 20
	queueLength     = 2048
	// The kernel sends a lost opening packet again after a second; a new dial is
	// sooner, for a machine that has no power yet when its peers are back.
	dialTimeout         = 400 * time.Millisecond
	writeTimeout        = 2 * time.Second
	maxQueueTime        = 2 * time.Second // what has waited longer is resent by whoever still needs it
	ackTimeout          = 3 * time.Second // a peer that acknowledges nothing for so long is gone
	maxBatch            = 256             // messages written in one go
	writeBufferBytes    = 16 << 10
	redialDelay         = 30 * time.Millisecond // between two dials of an address that doesn't answer
	senderIdleTimeout   = 20 * time.Second      // a wire unused this long is closed by its sender
	receiverIdleTimeout = 60 * time.Second      // and later by its receiver
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

// queuedMessage is a message that waits for its wire.
type queuedMessage struct {
	envelope Envelope
	queuedAt time.Time
}

// Transport is a process's wires.
type Transport struct {
	self    Identity
	deliver func(from string, body any)
	// IsPartitioned, where a test asks for it, tells that nothing may go to an address.
	IsPartitioned func(address string) bool

	now        func() time.Time
	ctx        context.Context
	stop       context.CancelFunc
	listener   net.Listener
	mu         sync.Mutex
	queues     map[string]*eventloop.Queue[queuedMessage]
	inbound    map[net.Conn]*sender
	goroutines sync.WaitGroup

	sent, received, bytes, writes, bytesIn, lost, dials, malformed, misdelivered, superseded atomic.Uint64
}

// Listen opens the inner port. Every message that comes in goes to deliver.
func Listen(self Identity, address string, deliver func(from string, body any)) (*Transport, error) {
	listening := net.ListenConfig{KeepAliveConfig: keepAlive}
	listener, err := listening.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, Errors.NewType("listen").Wrap(err, "inner address")
	}
	t := &Transport{self: self, deliver: deliver, listener: listener, now: time.Now, queues: map[string]*eventloop.Queue[queuedMessage]{}, inbound: map[net.Conn]*sender{}}
	t.ctx, t.stop = context.WithCancel(context.Background())
	t.goroutines.Add(1)
	go t.acceptLoop()
	return t, nil
}

// Address is where this process listens, IP:PORT.
func (t *Transport) Address() string { return t.listener.Addr().String() }

// Counts are what was sent and received so far.
func (t *Transport) Counts() Counts {
	return Counts{t.sent.Load(), t.received.Load(), t.bytes.Load(), t.writes.Load(), t.lost.Load(), t.dials.Load(), t.malformed.Load(), t.bytesIn.Load(), t.misdelivered.Load(), t.superseded.Load()}
}

// Close ends every wire.
func (t *Transport) Close() {
	t.stop()
	t.listener.Close()
	t.mu.Lock()
	for conn := range t.inbound {
		conn.Close()
	}
	t.mu.Unlock()
	t.goroutines.Wait()
}

// Send puts a message on the wire to whoever is at an address; when that wire is
// full it is lost.
func (t *Transport) Send(address string, body any) { t.SendTo("", address, body) }

// SendTo is Send to the process of an id, and to no other that may have come to
// the address.
func (t *Transport) SendTo(id, address string, body any) {
	if address == "" || t.ctx.Err() != nil {
		return
	}
	t.mu.Lock()
	queue := t.queues[address]
	if queue == nil {
		queue = eventloop.NewQueue[queuedMessage](queueLength)
		t.queues[address] = queue
		t.goroutines.Add(1)
		go t.sendLoop(address, queue)
	}
	t.mu.Unlock()
	if !queue.TryPut(queuedMessage{Envelope{To: id, Body: body}, t.now()}) {
		t.lost.Add(1)
	}
}

// keepAlive: a machine without power or behind a cut says nothing, so it is asked.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// setUserTimeout has the kernel give a connection up when what was sent stays
// unacknowledged (tcp(7), TCP_USER_TIMEOUT). A kernel that won't only makes us
// slower to notice.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	return nil
}

// outboundConn is one wire's sending side.
type outboundConn struct {
	conn        net.Conn
	writer      *bufio.Writer
	encoder     *gob.Encoder
	lastUsed    time.Time
	lastFailure time.Time
	peerClosed  *atomic.Bool // the peer has closed the connection
}

func (t *Transport) sendLoop(address string, queue *eventloop.Queue[queuedMessage]) {
	defer t.goroutines.Done()
	connection := &outboundConn{}
	defer connection.close()
	buffered := uint64(0)
	fail := func() {
		connection.close()
		t.lost.Add(buffered)
		buffered = 0
	}
	write := func(item queuedMessage) {
		buffered++
		switch {
		case t.IsPartitioned != nil && t.IsPartitioned(address):
			fail()
		case t.now().Sub(item.queuedAt) > maxQueueTime:
			// A peer that was away isn't flooded with what is long past.
			buffered--
			t.lost.Add(1)
		default:
			if err := t.write(connection, address, item.envelope); err != nil {
				fail()
			}
		}
	}
	// Whatever waits is written in one go; nothing waits for more to come.
	queue.Consume(t.ctx, eventloop.Second, func(item queuedMessage) {
		connection.closeIfPeerClosed()
		write(item)
		for k := 1; k < maxBatch; k++ {
			next, found := queue.TryTake()
			if !found {
				break
			}
			write(next)
		}
		if buffered == 0 {
			return
		}
		if err := connection.writer.Flush(); err != nil {
			fail()
			return
		}
		t.sent.Add(buffered)
		buffered = 0
	}, func() {
		if connection.conn != nil && t.now().Sub(connection.lastUsed) > senderIdleTimeout {
			connection.close()
		}
	})
}

// closeIfPeerClosed closes a connection that the peer has closed; the next message dials.
func (o *outboundConn) closeIfPeerClosed() {
	if o.conn != nil && o.peerClosed.Load() {
		o.close()
	}
}

func (o *outboundConn) close() {
	if o.conn != nil {
		o.conn.Close()
		o.conn = nil
	}
}

// watchPeerClose notes that a peer has closed its end, as one does that starts anew: the
// next message would else be written into nothing, without an error.
func (t *Transport) watchPeerClose(conn net.Conn, peerClosed *atomic.Bool) {
	defer t.goroutines.Done()
	_, _ = conn.Read(make([]byte, 1))
	peerClosed.Store(true)
}

func (t *Transport) write(connection *outboundConn, address string, envelope Envelope) error {
	if connection.conn == nil {
		// A process that is gone must not cost a dial for each message.
		if t.now().Sub(connection.lastFailure) < redialDelay {
			return Closed.New("%s failed a moment ago", address)
		}
		t.dials.Add(1)
		dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
		conn, err := dialer.DialContext(t.ctx, "tcp", address)
		if err != nil {
			connection.lastFailure = t.now()
			return Closed.Wrap(err, "dialling")
		}
		connection.conn, connection.writer = conn, bufio.NewWriterSize(&countingWriter{conn, &t.bytes, &t.writes}, writeBufferBytes)
		connection.encoder = gob.NewEncoder(connection.writer)
		connection.peerClosed = &atomic.Bool{}
		t.goroutines.Add(1)
		go t.watchPeerClose(conn, connection.peerClosed)
		if _, err := connection.writer.WriteString(preamble); err != nil {
			return Closed.Wrap(err, "writing")
		}
		if err := connection.encoder.Encode(&introduction{t.self}); err != nil {
			return Closed.Wrap(err, "writing")
		}
	}
	connection.lastUsed = t.now()
	if err := connection.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return Closed.Wrap(err, "writing")
	}
	if err := connection.encoder.Encode(&envelope); err != nil {
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

func (t *Transport) acceptLoop() {
	defer t.goroutines.Done()
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			if t.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			// Out of file handles, say: wait a little, the wires that close
			// give some back.
			select {
			case <-t.ctx.Done():
				return
			case <-time.After(50 * time.Millisecond):
			}
			continue
		}
		t.mu.Lock()
		t.inbound[conn] = &sender{}
		t.mu.Unlock()
		t.goroutines.Add(1)
		go t.receiveLoop(conn)
	}
}

// limitedReader turns away a message larger than any we send, before memory is
// given to it.
type limitedReader struct {
	conn      net.Conn
	remaining int
	bytesRead *atomic.Uint64
}

func (l *limitedReader) Read(data []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, Closed.New("message too large")
	}
	if len(data) > l.remaining {
		data = data[:l.remaining]
	}
	count, err := l.conn.Read(data)
	l.remaining -= count
	l.bytesRead.Add(uint64(count))
	return count, err
}

func (t *Transport) receiveLoop(conn net.Conn) {
	defer t.goroutines.Done()
	defer func() {
		// gob can panic on hostile input; that costs this wire and no more.
		if recover() != nil {
			t.malformed.Add(1)
		}
		conn.Close()
		t.mu.Lock()
		delete(t.inbound, conn)
		t.mu.Unlock()
	}()
	source := &limitedReader{conn: conn, remaining: maxMessageBytes, bytesRead: &t.bytesIn}
	reader := bufio.NewReader(source)
	conn.SetReadDeadline(time.Now().Add(writeTimeout))
	opening := make([]byte, len(preamble))
	if _, err := io.ReadFull(reader, opening); err != nil || string(opening) != preamble {
		t.malformed.Add(1)
		return
	}
	decoder := gob.NewDecoder(reader)
	var first introduction
	if err := decoder.Decode(&first); err != nil || first.From.ID == "" {
		t.malformed.Add(1)
		return
	}
	from, admitted := t.admit(conn, first.From)
	if !admitted {
		return
	}
	for {
		source.remaining = maxMessageBytes
		conn.SetReadDeadline(time.Now().Add(receiverIdleTimeout))
		var envelope Envelope
		err := decoder.Decode(&envelope)
		if from.isSuperseded.Load() {
			return
		}
		if err != nil {
			// A wire that broke or went quiet says nothing of what it carried.
			var broken *net.OpError
			if !errors.Is(err, io.EOF) && !errors.As(err, &broken) {
				t.malformed.Add(1)
			}
			return
		}
		if envelope.Body == nil {
			t.malformed.Add(1)
			return
		}
		t.received.Add(1)
		if !t.isAddressee(envelope) {
			t.misdelivered.Add(1)
			continue
		}
		t.deliver(from.ID, envelope.Body)
	}
}
