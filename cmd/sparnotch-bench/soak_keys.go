package main

import (
	"slices"
	"sync"
)

// keyBook knows the keys that a soak's operator has given the tenants.
type keyBook struct {
	mu   sync.Mutex
	keys map[string][]string // of the newest accepted configuration, by tenant, oldest first
}

// accept records the keys of a configuration that was accepted.
func (b *keyBook) accept(keys map[string][]string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keys = map[string][]string{}
	for tenant, list := range keys {
		b.keys[tenant] = slices.Clone(list)
	}
}

// newest returns the key that a tenant was given last; empty: it has none.
func (b *keyBook) newest(tenant string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if list := b.keys[tenant]; len(list) > 0 {
		return list[len(list)-1]
	}
	return ""
}
