package transport

import (
	"net"
	"sync/atomic"
)

// Identity names one incarnation of a process. gob encodes the names of the fields, so
// they can't change.
type Identity struct {
	ID   string
	Boot uint64 // the incarnation: it rises with each start under the same id
}

// introduction is sent after the preamble: it says whose messages follow.
type introduction struct{ From Identity }

// sender is the process at the other end of an inbound connection.
type sender struct {
	Identity
	isSuperseded atomic.Bool // a later incarnation has connected
}

// admit takes an inbound connection of a process. A process has one incarnation at a
// time: connections of earlier ones are closed, and what was in transit on them is
// dropped. It returns false where a later incarnation is known.
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

// isAddressee says whether a message is meant for this process: another may have used
// the address when it was sent.
func (t *Transport) isAddressee(envelope Envelope) bool {
	return envelope.To == "" || envelope.To == t.self.ID
}
