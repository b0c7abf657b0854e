package main

import (
	"slices"
	"sync"

	"sparnotch/internal/eventloop"
)

// keyedConfiguration is what one configuration of a soak says of keys and limits. The
// moments say since when it may be in force and when it surely was accepted.
type keyedConfiguration struct {
	sentAt       eventloop.Micros // first attempt to apply it
	acceptedAt   eventloop.Micros // 0: not yet
	tenantOfKey  map[string]string
	maxCores     map[string]int64 // by tenant, thousandths; 0: no limit
	requiresKeys bool
	publicQueue  string
}

// keyBook lists the configurations of a soak in the order in which its operator applies
// them.
type keyBook struct {
	mu             sync.Mutex
	configurations []*keyedConfiguration
	newest         map[string][]string // keys that were accepted last, by tenant
}

// begin adds a configuration that is about to be applied.
func (b *keyBook) begin(c *keyedConfiguration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.configurations = append(b.configurations, c)
}

// accept records that the configuration that was begun last was accepted, with the keys of
// each tenant, oldest first.
func (b *keyBook) accept(now eventloop.Micros, keys map[string][]string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.configurations[len(b.configurations)-1].acceptedAt = now
	b.newest = map[string][]string{}
	for tenant, list := range keys {
		b.newest[tenant] = slices.Clone(list)
	}
}

// newestKey returns the key that a tenant was given last; empty: it has none.
func (b *keyBook) newestKey(tenant string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if list := b.newest[tenant]; len(list) > 0 {
		return list[len(list)-1]
	}
	return ""
}

// inForce lists the configurations that may be in force somewhere in an interval, where one
// that was accepted counts everywhere a propagation later.
func (b *keyBook) inForce(from, to, propagation eventloop.Micros) []*keyedConfiguration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*keyedConfiguration
	for k, c := range b.configurations {
		isSuperseded := false
		for _, later := range b.configurations[k+1:] {
			isSuperseded = isSuperseded || later.acceptedAt > 0 && later.acceptedAt+propagation <= from
		}
		if !isSuperseded && c.sentAt <= to {
			list = append(list, c)
		}
	}
	return list
}

// all reports whether something holds in every configuration of a list that isn't empty.
func all(list []*keyedConfiguration, condition func(c *keyedConfiguration) bool) bool {
	return len(list) > 0 && !slices.ContainsFunc(list, func(c *keyedConfiguration) bool { return !condition(c) })
}
