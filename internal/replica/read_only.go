package replica

// This file defines what a node does while its storage takes no writes, or takes too long for
// one: it hands over leadership, rejects changes, and bounds the changes and messages that
// wait for the storage.

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
)

// readOnlyState records since when the storage has taken no writes, and why. If since is 0,
// the storage takes writes.
type readOnlyState struct {
	since  eventloop.Micros
	reason string
}

const (
	stallTimeout       = 600 * eventloop.Millisecond // longest time for one write; a leader whose storage takes longer hands over
	maxPendingBytes    = 8 << 20                     // bytes of new changes that wait for a stalled storage before they are compacted
	maxPendingMessages = 4096                        // messages that wait for a stalled storage before the oldest are dropped
)

// isReadOnly reports whether the last write failed.
func (h *Host) isReadOnly() bool { return h.readOnly.since > 0 }

// readOnlyReason returns why the storage takes no writes. It returns an empty string if the
// storage does take writes.
func (h *Host) readOnlyReason(now eventloop.Micros) string {
	if !h.isReadOnly() && h.isStalled(now) {
		return fmt.Sprintf("no answer from the storage for %v", (now - h.writeStartedAt).Duration().Round(time.Millisecond))
	}
	return h.readOnly.reason
}

// handleWriteFailed makes every replica on this node read-only, so that none campaigns, and
// hands over the groups that this node leads.
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

// recordWriteSuccess ends the read-only state after a successful write and sync.
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

// isStalled reports whether the storage takes no writes, or hasn't finished the current one
// within stallTimeout.
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

// canCommit reports whether enough of a group's voters take writes to commit an entry, as far
// as this node knows.
func (h *Host) canCommit(now eventloop.Micros, r *replica) bool {
	return h.membership == nil || h.membership.HasWritableQuorum(now, r.group.MemberSet().Voters, h.isNodeReadOnly)
}

// canElectAnother reports whether a majority of the group's voters can take over and accept
// writes, without counting this node, whose own vote can't become durable. If there is no such
// majority, a handover would leave the group without a leader, and so without reads.
func (h *Host) canElectAnother(now eventloop.Micros, r *replica) bool {
	voters, eligible := r.group.MemberSet().Voters, 0
	for _, id := range voters {
		if id != h.id && h.canTakeOver(now, r, id) && !h.isNodeReadOnly(id) {
			eligible++
		}
	}
	return eligible > len(voters)/2
}

// chooseSuccessor returns a voter that can take over a group, if possible one whose storage
// takes writes. It returns an empty string if there is none.
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

// boundPending limits the changes and messages that wait for a stalled storage. It replaces
// the changes of each group with the group's whole state, and drops the oldest messages,
// which Raft tolerates like messages that the network loses.
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

// compactPending replaces the waiting changes with fewer changes that have the same result:
// the last identity, and the whole state of each group that has changed.
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

// changesSize returns the approximate size of changes in bytes: the data of their entries and
// snapshots, and an overhead for each change and entry.
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
