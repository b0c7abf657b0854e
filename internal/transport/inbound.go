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
	preambleTimeout     = 2 * time.Second  // from accepting a connection
	receiverIdleTimeout = 60 * time.Second // longer than the sender's
)

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

// receiveLoop delivers the messages that come on a connection until it is closed.
func (t *Transport) receiveLoop(conn net.Conn) {
	defer t.goroutines.Done()
	defer func() {
		// gob may panic on malicious input: only this connection is closed for it.
		if recover() != nil {
			t.malformed.Add(1)
		}
		conn.Close()
		t.mu.Lock()
		delete(t.inbound, conn)
		t.mu.Unlock()
	}()
	source := &limitedReader{conn: conn, remaining: maxMessageBytes, bytesRead: &t.bytesIn}
	decoder, self, err := readIntroduction(conn, source)
	if err != nil {
		t.malformed.Add(1)
		return
	}
	from, admitted := t.admit(conn, self)
	if !admitted {
		return
	}
	for t.receive(conn, source, decoder, from) {
	}
}

// readIntroduction reads what comes first on a connection: the preamble, and whose
// messages will follow.
func readIntroduction(conn net.Conn, source io.Reader) (*gob.Decoder, Identity, error) {
	reader := bufio.NewReader(source)
	conn.SetReadDeadline(time.Now().Add(preambleTimeout))
	opening := make([]byte, len(preamble))
	if _, err := io.ReadFull(reader, opening); err != nil {
		return nil, Identity{}, connectionFailed.Wrap(err, "reading the preamble")
	}
	if string(opening) != preamble {
		return nil, Identity{}, connectionFailed.New("unknown preamble %q", opening)
	}
	decoder := gob.NewDecoder(reader)
	var first introduction
	if err := decoder.Decode(&first); err != nil {
		return nil, Identity{}, connectionFailed.Wrap(err, "reading the introduction")
	}
	if first.From.ID == "" {
		return nil, Identity{}, connectionFailed.New("the introduction has no id")
	}
	return decoder, first.From, nil
}

// receive reads one message and delivers it. It returns false where the connection is to
// be closed.
func (t *Transport) receive(conn net.Conn, source *limitedReader, decoder *gob.Decoder, from *sender) bool {
	source.remaining = maxMessageBytes
	conn.SetReadDeadline(time.Now().Add(receiverIdleTimeout))
	var envelope Envelope
	err := decoder.Decode(&envelope)
	if from.isSuperseded.Load() {
		return false
	}
	if err != nil {
		// A connection that failed or was idle doesn't mean that its data was bad.
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

// limitedReader fails a message that is larger than any that is sent, before memory is
// allocated for it.
type limitedReader struct {
	conn      net.Conn
	remaining int // of the current message
	bytesRead *atomic.Uint64
}

func (l *limitedReader) Read(data []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, messageTooLarge.New("over %d bytes", maxMessageBytes)
	}
	if len(data) > l.remaining {
		data = data[:l.remaining]
	}
	count, err := l.conn.Read(data)
	l.remaining -= count
	l.bytesRead.Add(uint64(count))
	return count, err
}
