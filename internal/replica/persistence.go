package replica

// This file writes changes to the storage, and sends the messages that must wait until the
// changes are durable (Raft, section 5: a server updates its persistent state before it
// responds).

import (
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
)

// pendingWrite is a batch of changes together with the messages and reports that must wait
// until it is durable.
type pendingWrite struct {
	changes    []*schema.StoreChange
	messages   []raft.Message            // sent once the batch is durable
	syncPoints map[string]raft.SyncPoint // passed to the groups once the batch is durable, by group name
	identities []*schema.StoreIdentity   // reported to the membership once the batch is durable

	bytes          int // approximate size of the groups' changes
	compactedBytes int // value of bytes when compactPending last ran
}

func newPendingWrite() pendingWrite {
	return pendingWrite{syncPoints: map[string]raft.SyncPoint{}}
}

func (w *pendingWrite) isEmpty() bool {
	return len(w.changes)+len(w.messages)+len(w.identities) == 0
}

// flush ends a step. It processes the output of the groups until they produce no more, sends
// what this step has collected, and starts the next write.
func (h *Host) flush(now eventloop.Micros, effects eventloop.Effects) {
	heartbeats := heartbeatBatches{}
	for hasMore := true; hasMore; {
		hasMore = false
		for _, name := range h.groupNames() {
			if h.processReady(now, name, heartbeats, effects) {
				hasMore = true
			}
		}
	}
	heartbeats.send(effects)
	h.sendSubmitResponses(effects)
	h.sendSchedulerAcks(effects)
	h.notifyScheduler(now, effects)
	h.boundPending(now)
	h.startWrite(now, effects)
}

// processReady processes the output of one group: it sends or stores messages, collects
// changes to write, restores a snapshot, applies committed entries and answers confirmed
// reads. It reports whether there was any output.
func (h *Host) processReady(now eventloop.Micros, name string, heartbeats heartbeatBatches, effects eventloop.Effects) bool {
	r := h.groups[name]
	r.group.FlushReads(now)
	ready, syncPoint := r.group.Ready()
	if len(ready.Messages)+len(ready.Changes)+len(ready.CommittedEntries)+len(ready.ConfirmedReads) == 0 && ready.Snapshot == nil {
		return false
	}
	for _, message := range ready.Messages {
		if message.AfterSync {
			h.nextWrite.messages = append(h.nextWrite.messages, message)
		} else {
			h.sendGroupMessage(message, heartbeats, effects)
		}
	}
	if len(ready.Changes) > 0 {
		h.nextWrite.changes = append(h.nextWrite.changes, ready.Changes...)
		h.nextWrite.bytes += changesSize(ready.Changes)
		h.nextWrite.syncPoints[name] = syncPoint
	}
	if ready.Snapshot != nil {
		h.restoreGroup(r, ready.Snapshot)
		r.notifiedTerm = 0
		if r.queue == nil {
			h.publishClusterState(now, effects)
		}
	}
	for _, entry := range ready.CommittedEntries {
		h.applyEntry(now, r, entry, effects)
	}
	for _, readID := range ready.ConfirmedReads {
		h.completeRead(now, r, readID, effects)
	}
	h.proposeWaitingUpdate(now, r)
	return true
}

// startWrite hands all pending changes to the storage as one batch, so that a single sync
// serves every group. Changes that arise during the write go into the next batch. Messages
// without changes are sent at once.
func (h *Host) startWrite(now eventloop.Micros, effects eventloop.Effects) {
	if h.currentWrite != nil || h.nextWrite.isEmpty() {
		return
	}
	write := h.nextWrite
	h.nextWrite = newPendingWrite()
	h.currentWrite = &write
	h.writeNumber++
	h.writeStartedAt = now
	if len(write.changes) == 0 {
		h.handleWritten(now, Written{Number: h.writeNumber}, effects)
		h.flush(now, effects)
		return
	}
	effects.Notify("storage", Batch{Number: h.writeNumber, Changes: write.changes})
}

// handleWritten sends the messages that waited for the batch, and reports to the membership
// and to the groups that it is durable.
func (h *Host) handleWritten(now eventloop.Micros, m Written, effects eventloop.Effects) {
	if h.currentWrite == nil || m.Number != h.writeNumber {
		return
	}
	write := h.currentWrite
	h.currentWrite = nil
	h.recordWriteSuccess()
	heartbeats := heartbeatBatches{}
	for _, message := range write.messages {
		h.sendGroupMessage(message, heartbeats, effects)
	}
	heartbeats.send(effects)
	for _, identity := range write.identities {
		effects.Notify("membership", membership.IdentityPersisted{Identity: identity})
	}
	for _, name := range slices.Sorted(maps.Keys(write.syncPoints)) {
		if r := h.groups[name]; r != nil {
			r.group.MarkSynced(now, write.syncPoints[name])
		}
	}
}
