package transport

import (
	"bufio"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	// preambleTimeout is the time from accepting a connection until the preamble and the
	// introduction must have been received.
	preambleTimeout = 2 * time.Second
	// receiverIdleTimeout is the time after which a connection without messages is closed. It
	// is longer than senderIdleTimeout.
	receiverIdleTimeout = 60 * time.Second
	readBufferBytes     = 16 << 10
)

// acceptLoop starts a receiveLoop for each inbound connection until the listener is closed.
func (t *Transport) acceptLoop() {
	defer t.goroutines.Done()
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.inbound[conn] = &sender{}
		t.mu.Unlock()
		t.goroutines.Add(1)
		go t.receiveLoop(conn)
	}
}

// receiveLoop delivers the messages of an inbound connection until the connection is closed.
func (t *Transport) receiveLoop(conn net.Conn) {
	defer t.goroutines.Done()
	defer func() {
		// gob may panic on malicious input. Such a panic closes this connection only.
		if recover() != nil {
			t.malformed.Add(1)
		}
		conn.Close()
		t.mu.Lock()
		delete(t.inbound, conn)
		t.mu.Unlock()
	}()
	source := &limitedReader{conn: conn, remaining: maxMessageBytes, bytesRead: &t.bytesIn}
	decoder, peer, err := readIntroduction(conn, source)
	if err != nil {
		t.malformed.Add(1)
		return
	}
	from, admitted := t.admit(conn, peer)
	if !admitted {
		return
	}
	for t.receive(conn, source, decoder, from) {
	}
}

// readIntroduction reads the preamble and the introduction of a connection. It returns a decoder
// for the messages that follow and the identity of their sender.
func readIntroduction(conn net.Conn, source io.Reader) (*gob.Decoder, Identity, error) {
	reader := bufio.NewReaderSize(source, readBufferBytes)
	conn.SetReadDeadline(time.Now().Add(preambleTimeout))
	receivedPreamble := make([]byte, len(preamble))
	if _, err := io.ReadFull(reader, receivedPreamble); err != nil {
		return nil, Identity{}, connectionFailed.Wrap(err, "reading the preamble")
	}
	if string(receivedPreamble) != preamble {
		return nil, Identity{}, connectionFailed.New("the connection began with an unknown preamble: %q", receivedPreamble)
	}
	decoder := gob.NewDecoder(reader)
	var first introduction
	if err := decoder.Decode(&first); err != nil {
		return nil, Identity{}, connectionFailed.Wrap(err, "reading the introduction")
	}
	if first.From.ID == "" {
		return nil, Identity{}, connectionFailed.New("the introduction contains no id")
	}
	return decoder, first.From, nil
}

// receive reads one message from a connection and delivers it. It returns false if the
// connection must be closed.
func (t *Transport) receive(conn net.Conn, source *limitedReader, decoder *gob.Decoder, from *sender) bool {
	source.remaining = maxMessageBytes
	conn.SetReadDeadline(time.Now().Add(receiverIdleTimeout))
	var envelope Envelope
	err := decoder.Decode(&envelope)
	if from.isSuperseded.Load() {
		return false
	}
	if err != nil {
		// A connection that failed or was idle too long doesn't count as malformed input.
		var networkErr *net.OpError
		if !errors.Is(err, io.EOF) && !errors.As(err, &networkErr) {
			t.malformed.Add(1)
		}
		return false
	}
	if envelope.Body == nil {
		t.malformed.Add(1)
		return false
	}
	t.received.Add(1)
	if !t.isAddressee(envelope) {
		t.misdelivered.Add(1)
		return true
	}
	t.deliver(from.ID, envelope.Body)
	return true
}

// limitedReader reads from a connection and returns an error for a message that is larger than
// maxMessageBytes, and so larger than any message that a process sends. The error comes before
// memory is allocated for the whole message.
type limitedReader struct {
	conn      net.Conn
	remaining int            // bytes that may still be read for the current message
	bytesRead *atomic.Uint64 // total number of bytes read, over all connections
}

func (l *limitedReader) Read(data []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, messageTooLarge.New("a message is larger than %d bytes", maxMessageBytes)
	}
	if len(data) > l.remaining {
		data = data[:l.remaining]
	}
	count, err := l.conn.Read(data)
	l.remaining -= count
	l.bytesRead.Add(uint64(count))
	return count, err
}
