package membership

// The address book that all tables of a process share.

import (
	"sync/atomic"
)

// AddressBook resolves ids to inner addresses for the wires; it is written by the
// table alone and read by anyone.
type AddressBook struct {
	addresses atomic.Pointer[map[string]string]
}

// Address is where a process listens; empty where it isn't known. Safe for any goroutine.
func (b *AddressBook) Address(id string) string {
	if addresses := b.addresses.Load(); addresses != nil {
		return (*addresses)[id]
	}
	return ""
}
