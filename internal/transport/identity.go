package transport

import (
	"net"
	"sync/atomic"
)

// Identity identifies one incarnation of a process, that is, the time from one start of the
// process to the next. gob encodes the names of the fields, so they must not change.
type Identity struct {
	ID   string
	Boot uint64 // number of the incarnation; it increases with each start under the same id
}

// introduction is sent after the preamble of a connection. It identifies the process that sends
// the messages that follow.
type introduction struct{ From Identity }

// sender is the process at the other end of an inbound connection. Its Identity is empty until
// the introduction was received.
type sender struct {
	Identity
	isSuperseded atomic.Bool // whether a later incarnation of the process has connected
}

// admit registers the sender of an inbound connection after its introduction. A process has
// only one incarnation at a time, so admit closes the connections of earlier incarnations, and
// messages that are still in transit on them are dropped. It returns false, without registering
// the sender, if a later incarnation has a connection.
func (t *Transport) admit(conn net.Conn, from Identity) (*sender, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for other, existing := range t.inbound {
		switch {
		case existing.ID != from.ID || existing.Boot == from.Boot:
		case existing.Boot > from.Boot:
			t.superseded.Add(1)
			return nil, false
		default:
			existing.isSuperseded.Store(true)
			other.Close()
			t.superseded.Add(1)
		}
	}
	admitted := &sender{Identity: from}
	t.inbound[conn] = admitted
	return admitted, true
}

// isAddressee reports whether a message is meant for this process. It may be meant for another
// process that used the address of this process before.
func (t *Transport) isAddressee(envelope Envelope) bool {
	return envelope.To == "" || envelope.To == t.self.ID
}
