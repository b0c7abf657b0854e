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
	isFormer atomic.Bool // a later life of the same process has introduced itself
}

// admit takes in whose messages come on a connection. A process has one life at a
// time: what an earlier one sent and is still on its way is dropped, and its
// connections are closed.
func (n *Net) admit(conn net.Conn, from Identity) (*sender, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other, known := range n.inbound {
		switch {
		case known.ID != from.ID || known.Boot == from.Boot:
		case known.Boot > from.Boot:
			n.former.Add(1)
			return nil, false
		default:
			known.isFormer.Store(true)
			other.Close()
			n.former.Add(1)
		}
	}
	admitted := &sender{Identity: from}
	n.inbound[conn] = admitted
	return admitted, true
}

// isForUs tells whether a message is for this process: an address may be
// another's by the time that a message gets there.
func (n *Net) isForUs(envelope Envelope) bool { return envelope.To == "" || envelope.To == n.self.ID }
