package main

import (
	"slices"
	"sync"
)

// keyBook stores the keys that the operator of a soak has given to the tenants.
type keyBook struct {
	mu   sync.Mutex          // guards keys
	keys map[string][]string // of the latest accepted configuration, by tenant, oldest key first
}

// accept replaces the keys by those of a configuration that was accepted.
func (b *keyBook) accept(keys map[string][]string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keys = map[string][]string{}
	for tenant, list := range keys {
		b.keys[tenant] = slices.Clone(list)
	}
}

// newest returns the latest key of a tenant, or an empty string if it has none.
func (b *keyBook) newest(tenant string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if list := b.keys[tenant]; len(list) > 0 {
		return list[len(list)-1]
	}
	return ""
}
