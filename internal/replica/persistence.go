package replica

// What goes to storage and, once it is durable, to other processes.

import (
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
)

type pendingWrite struct {
	changes    []*schema.StoreChange
	messages   []raft.Message
	syncPoints map[string]raft.SyncPoint
	identities []*schema.StoreIdentity

	bytes, compactedBytes int // of the changes: now, and when they last were whole states
}

func (h *Host) handleHeartbeats(now eventloop.Micros, from string, m *schema.HeartbeatBatch) {
	for _, heartbeat := range m.Heartbeats {
		r := h.groups[heartbeat.GetGroup()]
		if r == nil {
			// The Append that was to count us in may have been lost, and its leader
			// waits for an answer before it sends another.
			r = h.joinGroup(now, heartbeat.GetGroup())
		}
		if r != nil {
			r.group.Step(now, from, heartbeat)
		}
	}
	for _, reply := range m.Responses {
		if r := h.groups[reply.GetGroup()]; r != nil {
			r.group.Step(now, from, reply)
		}
	}
}

// flush carries out what the groups have left, until nothing is left.
func (h *Host) flush(now eventloop.Micros, effects eventloop.Effects) {
	heartbeats := map[string]*schema.HeartbeatBatch{}
	for hasMore := true; hasMore; {
		hasMore = false
		for _, name := range h.groupNamesInOrder() {
			r := h.groups[name]
			r.group.FlushReads(now)
			ready, syncPoint := r.group.Ready()
			if len(ready.Messages)+len(ready.Changes)+len(ready.CommittedEntries)+len(ready.ReadRequests) == 0 && ready.Snapshot == nil {
				continue
			}
			hasMore = true
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
			for _, readID := range ready.ReadRequests {
				h.completeRead(now, r, readID, effects)
			}
		}
	}
	h.sendHeartbeats(heartbeats, effects)
	h.sendApplied(effects)
	h.notifyScheduler(now, effects)
	h.boundPending(now)
	h.startWrite(now, effects)
}

func (h *Host) sendGroupMessage(message raft.Message, heartbeats map[string]*schema.HeartbeatBatch, effects eventloop.Effects) {
	if heartbeats[message.To] == nil {
		heartbeats[message.To] = &schema.HeartbeatBatch{}
	}
	switch body := message.Body.(type) {
	case *schema.Heartbeat:
		heartbeats[message.To].Heartbeats = append(heartbeats[message.To].Heartbeats, body)
	case *schema.HeartbeatResponse:
		body.WallUs = h.wallClock()
		heartbeats[message.To].Responses = append(heartbeats[message.To].Responses, body)
	default:
		effects.Send(message.To, body)
	}
}

func (h *Host) sendHeartbeats(heartbeats map[string]*schema.HeartbeatBatch, effects eventloop.Effects) {
	ids := slices.Sorted(maps.Keys(heartbeats))
	for _, id := range ids {
		if len(heartbeats[id].Heartbeats)+len(heartbeats[id].Responses) > 0 {
			effects.Send(id, heartbeats[id])
		}
	}
}

func (h *Host) sendApplied(effects eventloop.Effects) {
	ids := slices.Sorted(maps.Keys(h.applied))
	for _, id := range ids {
		applied := h.applied[id]
		delete(h.applied, id)
		effects.Send(applied.Results[0].Session.Gateway, applied)
	}
}

// startWrite hands everything that has gathered to the storage as one batch, so that
// one sync serves every group; the next gathers meanwhile.
func (h *Host) startWrite(now eventloop.Micros, effects eventloop.Effects) {
	if h.currentWrite != nil || len(h.nextWrite.changes)+len(h.nextWrite.messages)+len(h.nextWrite.identities) == 0 {
		return
	}
	write := h.nextWrite
	h.nextWrite = pendingWrite{syncPoints: map[string]raft.SyncPoint{}}
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

func (h *Host) handleWritten(now eventloop.Micros, m Written, effects eventloop.Effects) {
	if h.currentWrite == nil || m.Number != h.writeNumber {
		return
	}
	write := h.currentWrite
	h.currentWrite = nil
	h.recordWriteSuccess()
	heartbeats := map[string]*schema.HeartbeatBatch{}
	for _, message := range write.messages {
		h.sendGroupMessage(message, heartbeats, effects)
	}
	h.sendHeartbeats(heartbeats, effects)
	for _, self := range write.identities {
		effects.Notify("membership", membership.IdentityPersisted{Identity: self})
	}
	names := slices.Sorted(maps.Keys(write.syncPoints))
	for _, name := range names {
		if r := h.groups[name]; r != nil {
			r.group.MarkSynced(now, write.syncPoints[name])
		}
	}
}
