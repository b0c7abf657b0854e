package queue

// This file implements the memory of cancelled names. A gateway may deliver a submission long
// after its client has given up on it and cancelled the job elsewhere. Such a submission must
// not run the job once the cancel has been answered.

import (
	"sparnotch/internal/schema"
)

// CommandVersion is the highest version of the rules by which Machine applies commands, see
// schema.ApplySettings. A queue follows the version in its settings, which its leader raises
// once all members of the group support the higher one.
const CommandVersion = commandVersionCancelledNames

// commandVersionCancelledNames is the version from which a cancel bars later submissions of its
// name.
const commandVersionCancelledNames = 1

const (
	// CancelledNameRetentionUs is the time for which a cancel bars submissions of its name, in
	// µs of queue time. It must exceed the time for which a gateway resends a submission, by
	// more than a call may wait unread in the socket of a stopped gateway.
	CancelledNameRetentionUs = 150_000_000

	maxCancelledNames = 8192
)

// cancelledNames remembers the cancels of the last CancelledNameRetentionUs. The zero value is
// empty and ready to use.
type cancelledNames struct {
	inOrder []*schema.CancelledNameSnapshot            // in the order of the cancels
	byName  map[string][]*schema.CancelledNameSnapshot // the latest cancel of each tenant, by name
}

// isFull reports whether no more cancels can be remembered for now.
func (c *cancelledNames) isFull() bool { return len(c.inOrder) >= maxCancelledNames }

// add remembers a cancel. It replaces an earlier cancel of the same name by the same tenant.
func (c *cancelledNames) add(cancelled *schema.CancelledNameSnapshot) {
	c.inOrder = append(c.inOrder, cancelled)
	if c.byName == nil {
		c.byName = map[string][]*schema.CancelledNameSnapshot{}
	}
	latest := c.byName[cancelled.Name]
	for k, earlier := range latest {
		if earlier.Tenant == cancelled.Tenant {
			latest[k] = cancelled
			return
		}
	}
	c.byName[cancelled.Name] = append(latest, cancelled)
}

// forget forgets the cancels whose retention is over at queue time now.
func (c *cancelledNames) forget(now int64) {
	for len(c.inOrder) > 0 && c.inOrder[0].CancelledUs+CancelledNameRetentionUs <= now {
		c.remove(c.inOrder[0])
		c.inOrder = c.inOrder[1:]
	}
}

// remove removes a cancel from byName, unless a later one has replaced it there.
func (c *cancelledNames) remove(cancelled *schema.CancelledNameSnapshot) {
	var kept []*schema.CancelledNameSnapshot
	for _, latest := range c.byName[cancelled.Name] {
		if latest != cancelled {
			kept = append(kept, latest)
		}
	}
	if len(kept) == 0 {
		delete(c.byName, cancelled.Name)
		return
	}
	c.byName[cancelled.Name] = kept
}

// bars reports whether a submission of a name by a tenant must be rejected. A cancel of one
// tenant doesn't bar the submissions of another.
func (c *cancelledNames) bars(name, tenant string) bool {
	for _, cancelled := range c.byName[name] {
		if !IsOtherTenant(cancelled.Tenant, tenant) {
			return true
		}
	}
	return false
}

// remembersCancels reports whether the queue follows the rules by which a cancel bars later
// submissions of its name.
func (m *Machine) remembersCancels() bool {
	return m.settings.CommandVersion >= commandVersionCancelledNames
}
