package membership

import "sync/atomic"

// AddressBook maps process ids to internal addresses. A Membership updates it, and transports
// look addresses up. It is safe for concurrent use.
type AddressBook struct {
	addresses atomic.Pointer[map[string]string]
}

// Address returns the internal address (IP:port) of a process, or an empty string if the
// process isn't known.
func (b *AddressBook) Address(id string) string {
	if addresses := b.addresses.Load(); addresses != nil {
		return (*addresses)[id]
	}
	return ""
}
