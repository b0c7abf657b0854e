package transport

import (
	"net"
	"sync/atomic"
)

// Identity names one life of a process: its id, and which start under that id
// this is.
type Identity struct {
	ID   string
	Boot uint64 // rises with each start under the same id
}

// introduction comes first on each connection: whose messages these are.
type introduction struct{ From Identity }

// sender is whose messages come on a connection.
type sender struct {
	Identity
	isSuperseded atomic.Bool // a later life of the same process has introduced itself
}

// admit takes in whose messages come on a connection. A process has one life at a
// time: what an earlier one sent and is still on its way is dropped, and its
// connections are closed.
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

// isAddressee tells whether a message is for this process: an address may be
// another's by the time that a message gets there.
func (t *Transport) isAddressee(envelope Envelope) bool {
	return envelope.To == "" || envelope.To == t.self.ID
}
