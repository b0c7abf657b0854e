package transport

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"sparnotch/internal/eventloop"
)

const (
	// The kernel retransmits a lost SYN after a second. Dialing anew is faster, for a
	// machine that is still down when its peers are back.
	dialTimeout       = 400 * time.Millisecond
	redialDelay       = 30 * time.Millisecond // after a failed dial
	writeTimeout      = 2 * time.Second
	ackTimeout        = 3 * time.Second // without acknowledgement by the peer's kernel, until a connection fails
	senderIdleTimeout = 20 * time.Second
	idleCheckInterval = eventloop.Second
	maxQueueTime      = 2 * time.Second // of a message; whoever still needs it has resent it by then
	maxBatch          = 256             // messages written at once
	writeBufferBytes  = 16 << 10
)

// queuedMessage is a message that waits to be sent.
type queuedMessage struct {
	envelope Envelope
	queuedAt time.Time
}

// outboundConn is the connection to one address, which is dialed when it is needed. It
// belongs to the address's sendLoop.
type outboundConn struct {
	conn        net.Conn // nil: not connected
	writer      *bufio.Writer
	encoder     *gob.Encoder
	buffered    uint64 // messages in writer
	lastUsed    time.Time
	lastFailure time.Time    // of a dial
	peerClosed  *atomic.Bool // set by watchPeerClose
}

// sendLoop sends the messages for one address until the transport is closed.
func (t *Transport) sendLoop(address string, queue *eventloop.Queue[queuedMessage]) {
	defer t.goroutines.Done()
	connection := &outboundConn{}
	defer connection.close()
	send := func(first queuedMessage) { t.sendBatch(connection, address, first, queue) }
	queue.Consume(t.ctx, idleCheckInterval, send, func() {
		if connection.conn != nil && t.now().Sub(connection.lastUsed) > senderIdleTimeout {
			connection.close()
		}
	})
}

// sendBatch sends a message together with what is queued behind it. It waits for nothing
// more to come.
func (t *Transport) sendBatch(connection *outboundConn, address string, first queuedMessage, queue *eventloop.Queue[queuedMessage]) {
	connection.closeIfPeerClosed()
	t.bufferMessage(connection, address, first)
	for range maxBatch - 1 {
		next, found := queue.TryTake()
		if !found {
			break
		}
		t.bufferMessage(connection, address, next)
	}
	if connection.buffered == 0 {
		return
	}
	if err := connection.writer.Flush(); err != nil {
		t.fail(connection)
		return
	}
	t.sent.Add(connection.buffered)
	connection.buffered = 0
}

func (t *Transport) bufferMessage(connection *outboundConn, address string, message queuedMessage) {
	if t.IsPartitioned != nil && t.IsPartitioned(address) {
		connection.buffered++
		t.fail(connection)
		return
	}
	// A peer that was unreachable isn't flooded with stale messages.
	if t.now().Sub(message.queuedAt) > maxQueueTime {
		t.lost.Add(1)
		return
	}
	connection.buffered++
	if err := t.write(connection, address, message.envelope); err != nil {
		t.fail(connection)
	}
}

// fail closes a connection, which loses what is buffered on it.
func (t *Transport) fail(connection *outboundConn) {
	connection.close()
	t.lost.Add(connection.buffered)
	connection.buffered = 0
}

// write encodes a message into the connection's buffer, and dials first if need be.
func (t *Transport) write(connection *outboundConn, address string, envelope Envelope) error {
	if connection.conn == nil {
		if err := t.connect(connection, address); err != nil {
			return err
		}
	}
	connection.lastUsed = t.now()
	if err := connection.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return connectionFailed.Wrap(err, "writing to %s", address)
	}
	if err := connection.encoder.Encode(&envelope); err != nil {
		return connectionFailed.Wrap(err, "writing to %s", address)
	}
	return nil
}

func (t *Transport) connect(connection *outboundConn, address string) error {
	// A process that is gone mustn't cost a dial for each message.
	if t.now().Sub(connection.lastFailure) < redialDelay {
		return connectionFailed.New("dialing %s failed a moment ago", address)
	}
	t.dials.Add(1)
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
	conn, err := dialer.DialContext(t.ctx, "tcp", address)
	if err != nil {
		connection.lastFailure = t.now()
		return connectionFailed.Wrap(err, "dialing %s", address)
	}
	connection.conn = conn
	connection.writer = bufio.NewWriterSize(&countingWriter{conn, &t.bytes, &t.writes}, writeBufferBytes)
	connection.encoder = gob.NewEncoder(connection.writer)
	connection.peerClosed = &atomic.Bool{}
	t.goroutines.Add(1)
	go t.watchPeerClose(conn, connection.peerClosed)
	if _, err := connection.writer.WriteString(preamble); err != nil {
		return connectionFailed.Wrap(err, "writing to %s", address)
	}
	if err := connection.encoder.Encode(&introduction{t.self}); err != nil {
		return connectionFailed.Wrap(err, "writing to %s", address)
	}
	return nil
}

// watchPeerClose notes that the peer has closed its end, as a peer that restarts does:
// otherwise the next message would be written and lost without an error.
func (t *Transport) watchPeerClose(conn net.Conn, peerClosed *atomic.Bool) {
	defer t.goroutines.Done()
	_, _ = conn.Read(make([]byte, 1))
	peerClosed.Store(true)
}

// closeIfPeerClosed closes a connection whose peer has, so that the next message dials.
func (c *outboundConn) closeIfPeerClosed() {
	if c.conn != nil && c.peerClosed.Load() {
		c.close()
	}
}

func (c *outboundConn) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// setUserTimeout has the kernel close a connection whose data stays unacknowledged
// (tcp(7), TCP_USER_TIMEOUT). Without it, failures are only detected later.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
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
