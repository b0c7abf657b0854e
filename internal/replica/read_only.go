package replica

// What a node does while its storage takes no writes, or none in time: it hands over
// leadership, rejects changes, and bounds what waits for the storage.

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
)

// readOnlyState is since when the storage has taken no writes, and why; since 0: it does.
type readOnlyState struct {
	since  eventloop.Micros
	reason string
}

const (
	stallTimeout       = 600 * eventloop.Millisecond // for one write; a leader whose storage takes longer hands over
	maxPendingBytes    = 8 << 20                     // of entries and snapshots that wait for a stalled storage
	maxPendingMessages = 4096                        // that wait for a stalled storage
)

// isReadOnly reports whether the last write failed.
func (h *Host) isReadOnly() bool { return h.readOnly.since > 0 }

// readOnlyReason is why the storage takes no writes; empty: it does.
func (h *Host) readOnlyReason(now eventloop.Micros) string {
	if !h.isReadOnly() && h.isStalled(now) {
		return fmt.Sprintf("no answer for %v", (now - h.writeStartedAt).Duration().Round(time.Millisecond))
	}
	return h.readOnly.reason
}

// handleWriteFailed makes every replica read-only, so that none campaigns, and hands
// over the groups that this node leads.
func (h *Host) handleWriteFailed(now eventloop.Micros, m WriteFailed) {
	if h.currentWrite == nil || m.Number != h.writeNumber || h.isReadOnly() {
		return
	}
	h.readOnly = readOnlyState{since: now, reason: m.Reason}
	h.setWritable(false)
	for _, name := range h.groupNames() {
		if r := h.groups[name]; r.group.IsLeader() {
			h.transferIfNeeded(now, r)
		}
	}
}

// recordWriteSuccess ends the read-only state after a write and its sync.
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

// isStalled reports whether the storage takes no writes, or hasn't finished one in time.
func (h *Host) isStalled(now eventloop.Micros) bool {
	return h.isReadOnly() || h.currentWrite != nil && now-h.writeStartedAt > stallTimeout
}

// isNodeReadOnly reports whether a storage node is known to take no writes.
func (h *Host) isNodeReadOnly(id string) bool {
	if id == h.id {
		return h.isReadOnly()
	}
	return h.membership != nil && h.membership.RefusesWrites(id)
}

// canCommit reports whether a majority of a group's voters take writes, as far as this
// node knows.
func (h *Host) canCommit(now eventloop.Micros, r *replica) bool {
	return h.membership == nil || h.membership.HasWritableQuorum(now, r.group.MemberSet().Voters, h.isNodeReadOnly)
}

// canElectAnother reports whether the other voters are a majority without this node,
// whose own vote can't become durable. If they aren't, a handover would leave the group
// without a leader and with it without reads.
func (h *Host) canElectAnother(now eventloop.Micros, r *replica) bool {
	voters, able := r.group.MemberSet().Voters, 0
	for _, id := range voters {
		if id != h.id && h.canTakeOver(now, r, id) && !h.isNodeReadOnly(id) {
			able++
		}
	}
	return able > len(voters)/2
}

// chooseSuccessor is a voter that can take over a group, if possible one whose storage
// takes writes; empty: there is none.
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

// boundPending limits what waits for a stalled storage: the changes of a group are
// replaced by its whole state, and the oldest messages are dropped, which Raft tolerates
// as loss on the network.
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

// compactPending replaces the waiting changes by fewer with the same result.
func (h *Host) compactPending() {
	groups := map[string]bool{}
	var compacted []*schema.StoreChange
	for _, change := range h.nextWrite.changes {
		if change.Identity != nil {
			compacted = []*schema.StoreChange{{Identity: change.Identity}}
		}
		if change.Group != "" {
			groups[change.Group] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		if r := h.groups[name]; r != nil {
			compacted = append(compacted, r.group.FullState())
		} else {
			compacted = append(compacted, &schema.StoreChange{Group: name, Removed: true})
		}
	}
	h.nextWrite.changes = compacted
	h.nextWrite.bytes = changesSize(compacted)
	h.nextWrite.compactedBytes = h.nextWrite.bytes
}

// changesSize is the approximate size in bytes of changes: of the data of their entries
// and snapshots, with an overhead for each.
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
