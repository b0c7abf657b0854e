package gateway

// This file ends the work that is pending for queues that were removed from the
// configuration.

import (
	"maps"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
)

// endRemovedQueues answers what is pending for queues that were removed, as they no longer
// have a leader that would answer. A queue that was created again under the same name is
// another queue: it knows nothing of the jobs that the removed one accepted or cancelled.
func (g *Gateway) endRemovedQueues(now eventloop.Micros, effects eventloop.Effects) {
	for _, key := range sortedClients(g.sessions) {
		if placement := clusterstate.FindQueue(g.state, key.queue); placement.GetGeneration() != g.sessions[key].generation {
			g.endSession(key, effects)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(g.requests)) {
		message := g.requests[id].message
		if message.Group == clusterstate.GroupName || clusterstate.FindQueue(g.state, message.Group) != nil {
			continue
		}
		delete(g.requests, id)
		if message.Kind == KindCancel {
			effects.Respond(id, outcomeUnknown())
			continue
		}
		g.handleUnknownQueue(now, message.Group, message, false, effects)
	}
}
