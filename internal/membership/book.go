package membership

// The address book that all tables of a process share.

import (
	"sync/atomic"
)

// Book resolves ids to inner addresses for the wires; it is written by the
// table alone and read by anyone.
type Book struct {
	addresses atomic.Pointer[map[string]string]
}

// Address is where a process listens; empty where it isn't known. Safe for any goroutine.
func (b *Book) Address(id string) string {
	if m := b.addresses.Load(); m != nil {
		return (*m)[id]
	}
	return ""
}
