package replica

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
)

// WriteFailed comes from the storage when the batch that is out couldn't be written.
// It is tried again until it lasts; nothing that waits for it is told before.
type WriteFailed struct {
	Number uint64
	Reason string
}

// readOnlyState is since when the store has taken no writes, and why.
type readOnlyState struct {
	since  eventloop.Micros
	reason string
}

const (
	maxPendingBytes    = 8 << 20 // of records and checkpoints that may gather while the store takes nothing
	maxPendingMessages = 4096    // messages that may wait for it
)

// isReadOnly tells whether the store takes no writes.
func (h *Host) isReadOnly() bool { return h.readOnly.since > 0 }

// readOnlyReason is why the store takes no writes, empty if it does.
func (h *Host) readOnlyReason(now eventloop.Micros) string {
	if !h.isReadOnly() && h.isStalled(now) {
		return fmt.Sprintf("no answer for %v", (now - h.writeStartedAt).Duration().Round(time.Millisecond))
	}
	return h.readOnly.reason
}

// handleWriteFailed takes note that the store takes no writes: no replica here stands, and
// every group led here goes to another at once.
func (h *Host) handleWriteFailed(now eventloop.Micros, m WriteFailed) {
	if h.currentWrite == nil || m.Number != h.writeNumber || h.isReadOnly() {
		return
	}
	h.readOnly = readOnlyState{since: now, reason: m.Reason}
	h.setWritable(false)
	for _, name := range h.groupNamesInOrder() {
		if r := h.groups[name]; r.group.IsLeader() {
			h.transferIfNeeded(now, r)
		}
	}
}

// recordWriteSuccess takes note that a write and its sync have succeeded.
func (h *Host) recordWriteSuccess() {
	if h.isReadOnly() {
		h.readOnly = readOnlyState{}
		h.setWritable(true)
	}
}

func (h *Host) setWritable(isWritable bool) {
	for _, r := range h.groups {
		r.group.SetWritable(isWritable)
	}
}

// isStalled tells whether the store takes no writes, or has one out for too long.
func (h *Host) isStalled(now eventloop.Micros) bool {
	return h.isReadOnly() || h.currentWrite != nil && now-h.writeStartedAt > stallTimeout
}

// isNodeReadOnly tells whether a store is known to take no writes.
func (h *Host) isNodeReadOnly(id string) bool {
	if id == h.id {
		return h.isReadOnly()
	}
	return h.membership != nil && h.membership.RefusesWrites(id)
}

// canCommit tells whether enough of a group's voters take writes, as far as is
// known here.
func (h *Host) canCommit(now eventloop.Micros, r *replica) bool {
	return h.membership == nil || h.membership.HasWritableQuorum(now, r.group.MemberSet().Voters, h.isNodeReadOnly)
}

// canElectAnother tells whether the other voters at hand can elect one of them
// without us: our own vote can't last. Were they too few, handing over would
// only cost the reads that are still answered here.
func (h *Host) canElectAnother(now eventloop.Micros, r *replica) bool {
	voters, able := r.group.MemberSet().Voters, 0
	for _, id := range voters {
		if id != h.id && h.canTakeOver(now, r, id) && !h.isNodeReadOnly(id) {
			able++
		}
	}
	return able > len(voters)/2
}

// chooseSuccessor is a voter that can take a group over, one whose store takes writes if
// there is one.
func (h *Host) chooseSuccessor(now eventloop.Micros, r *replica) string {
	successor := ""
	for _, id := range r.group.MemberSet().Voters {
		if id == h.id || !h.canTakeOver(now, r, id) {
			continue
		}
		if successor == "" || h.isNodeReadOnly(successor) || !h.isNodeReadOnly(id) {
			successor = id
		}
	}
	return successor
}

// boundPending keeps what gathers for a store that takes nothing within limits: groups'
// changes become their whole state, and the oldest messages go, as on a network
// that loses some.
func (h *Host) boundPending(now eventloop.Micros) {
	if h.currentWrite == nil || !h.isStalled(now) {
		return
	}
	if excess := len(h.nextWrite.messages) - maxPendingMessages; excess > 0 {
		h.nextWrite.messages = append([]raft.Message(nil), h.nextWrite.messages[excess:]...)
	}
	if h.nextWrite.bytes-h.nextWrite.compactedBytes > maxPendingBytes {
		h.compactPending()
	}
}

// compactPending replaces the changes that wait by fewer with the same outcome.
func (h *Host) compactPending() {
	groups := map[string]bool{}
	var changes []*schema.StoreChange
	for _, change := range h.nextWrite.changes {
		if change.Identity != nil {
			changes = []*schema.StoreChange{{Identity: change.Identity}}
		}
		if change.Group != "" {
			groups[change.Group] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		if r := h.groups[name]; r != nil {
			changes = append(changes, r.group.FullState())
		} else {
			changes = append(changes, &schema.StoreChange{Group: name, Removed: true})
		}
	}
	h.nextWrite.changes = changes
	h.nextWrite.bytes = changesSize(changes)
	h.nextWrite.compactedBytes = h.nextWrite.bytes
}

// changesSize is how much records and checkpoints hold, each counted a little more
// than its data.
func changesSize(changes []*schema.StoreChange) int {
	const overhead = 64
	size := 0
	for _, change := range changes {
		size += overhead + len(change.Snapshot.GetData())
		for _, entry := range change.Entries {
			size += overhead + len(entry.Data)
		}
	}
	return size
}
