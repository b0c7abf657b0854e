package replica

// This file sends and receives the messages between the replicas of a group. The heartbeats
// of all groups to one node are sent as one message.

import (
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
)

// heartbeatBatches collects heartbeats and their responses by the ID of the receiving node.
type heartbeatBatches map[string]*schema.HeartbeatBatch

// to returns the batch for a node and creates it if necessary.
func (b heartbeatBatches) to(id string) *schema.HeartbeatBatch {
	if b[id] == nil {
		b[id] = &schema.HeartbeatBatch{}
	}
	return b[id]
}

func (b heartbeatBatches) send(effects eventloop.Effects) {
	for _, id := range slices.Sorted(maps.Keys(b)) {
		effects.Send(id, b[id])
	}
}

// sendGroupMessage sends a message of a group to another replica. It adds heartbeats and
// their responses to the receiver's batch instead.
func (h *Host) sendGroupMessage(message raft.Message, heartbeats heartbeatBatches, effects eventloop.Effects) {
	switch body := message.Body.(type) {
	case *schema.Heartbeat:
		batch := heartbeats.to(message.To)
		batch.Heartbeats = append(batch.Heartbeats, body)
	case *schema.HeartbeatResponse:
		body.WallUs = h.wallClock()
		batch := heartbeats.to(message.To)
		batch.Responses = append(batch.Responses, body)
	default:
		effects.Send(message.To, body)
	}
}

// handleHeartbeats passes the heartbeats and responses in a batch to the replicas of their
// groups.
func (h *Host) handleHeartbeats(now eventloop.Micros, from string, m *schema.HeartbeatBatch) {
	for _, heartbeat := range m.Heartbeats {
		r := h.groups[heartbeat.GetGroup()]
		if r == nil {
			// The first append to a new member may have been lost, and the leader sends no
			// second one before it gets a response. So a heartbeat creates the replica too.
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
