package membership

import "sync/atomic"

// AddressBook resolves process ids to internal addresses for the transports. A Membership
// writes it; any goroutine may read it.
type AddressBook struct {
	addresses atomic.Pointer[map[string]string]
}

// Address returns the internal address (IP:port) of a process; empty if it isn't known.
func (b *AddressBook) Address(id string) string {
	if addresses := b.addresses.Load(); addresses != nil {
		return (*addresses)[id]
	}
	return ""
}
