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
	// dialTimeout is shorter than the second after which the kernel retransmits a lost SYN, as
	// dialing again is faster. This matters for a machine that is still down when its peers
	// are back.
	dialTimeout       = 400 * time.Millisecond
	redialDelay       = 30 * time.Millisecond // minimum time from a failed dial to the next one
	writeTimeout      = 2 * time.Second
	ackTimeout        = 3 * time.Second  // a connection fails if the peer's kernel acknowledges no data for this long
	senderIdleTimeout = 20 * time.Second // a connection that sent nothing for longer is closed
	idleCheckInterval = eventloop.Second
	maxQueueTime      = 2 * time.Second // messages that waited longer are dropped; a sender that still needs one has resent it by then
	maxBatch          = 256             // maximum number of messages that are flushed together
	writeBufferBytes  = 16 << 10
)

// queuedMessage is a message in the queue for an address.
type queuedMessage struct {
	envelope Envelope
	queuedAt time.Time
}

// outboundConn is the connection to one address, which is dialed on demand. Only the sendLoop
// of the address uses it.
type outboundConn struct {
	conn        net.Conn // nil if there is no connection
	writer      *bufio.Writer
	encoder     *gob.Encoder
	buffered    uint64       // number of messages that were accepted but not yet flushed
	lastUsed    time.Time    // time of the last write of a message
	lastFailure time.Time    // time of the last failed dial
	peerClosed  *atomic.Bool // whether the peer has closed the connection; set by watchPeerClose
}

// sendLoop sends the messages that are queued for one address until the transport is closed. It
// closes the connection when it is idle for too long.
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

// sendBatch sends a message together with the messages that are queued behind it, up to
// maxBatch. It doesn't wait for further messages.
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
		t.closeFailed(connection)
		return
	}
	t.sent.Add(connection.buffered)
	connection.buffered = 0
}

// bufferMessage writes a message into the buffer of the connection. It drops the message if the
// address is partitioned, the message is stale or the connection fails.
func (t *Transport) bufferMessage(connection *outboundConn, address string, message queuedMessage) {
	if t.IsPartitioned != nil && t.IsPartitioned(address) {
		connection.buffered++
		t.closeFailed(connection)
		return
	}
	// Stale messages are dropped, so that a peer that was unreachable isn't flooded with them.
	if t.now().Sub(message.queuedAt) > maxQueueTime {
		t.lost.Add(1)
		return
	}
	connection.buffered++
	if err := t.write(connection, address, message.envelope); err != nil {
		t.closeFailed(connection)
	}
}

// closeFailed closes a connection that has failed, and counts the messages in its buffer as lost.
func (t *Transport) closeFailed(connection *outboundConn) {
	connection.close()
	t.lost.Add(connection.buffered)
	connection.buffered = 0
}

// write encodes a message into the buffer of the connection. It dials first if there is no
// connection.
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

// connect dials the address, and writes the preamble and the introduction into the buffer of the
// connection.
func (t *Transport) connect(connection *outboundConn, address string) error {
	// The delay avoids a dial for each message to a process that is no longer there.
	if t.now().Sub(connection.lastFailure) < redialDelay {
		return connectionFailed.New("not dialing %s again so soon after a failed attempt", address)
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

// watchPeerClose waits until the peer closes the connection, for example because it restarts,
// and sets peerClosed. Without this, the next message would be written to the closed connection
// and lost without an error.
func (t *Transport) watchPeerClose(conn net.Conn, peerClosed *atomic.Bool) {
	defer t.goroutines.Done()
	_, _ = conn.Read(make([]byte, 1))
	peerClosed.Store(true)
}

// closeIfPeerClosed closes the connection if the peer has closed it, so that the next message is
// sent on a new connection.
func (c *outboundConn) closeIfPeerClosed() {
	if c.conn != nil && c.peerClosed.Load() {
		c.close()
	}
}

// close closes the connection, if there is one; the next message dials again.
func (c *outboundConn) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// setUserTimeout makes the kernel close a connection whose data isn't acknowledged within
// ackTimeout (TCP_USER_TIMEOUT in tcp(7)). Without this option, failures are detected later.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	return nil
}

// countingWriter counts the calls of Write and the bytes that were written.
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
