package gateway

// This file ends the work that is pending for queues that were removed from the
// configuration.

import (
	"cmp"
	"maps"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
)

// endRemovedQueues answers what is pending for queues that were removed, as they no longer
// have a leader that would answer.
func (g *Gateway) endRemovedQueues(now eventloop.Micros, effects eventloop.Effects) {
	byName := func(a, b queueClient) int {
		return cmp.Or(cmp.Compare(a.queue, b.queue), cmp.Compare(a.client, b.client))
	}
	for _, key := range slices.SortedFunc(maps.Keys(g.sessions), byName) {
		if clusterstate.FindQueue(g.state, key.queue) == nil {
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

// endSession drops a session whose queue was removed. It reports an unknown outcome to the
// waiting clients, as the queue may have applied their submissions before its removal.
func (g *Gateway) endSession(key queueClient, effects eventloop.Effects) {
	s := g.sessions[key]
	for _, pending := range s.unconfirmed {
		if pending.requestID != 0 {
			delete(g.submissionsByRequest, pending.requestID)
			effects.Respond(pending.requestID, outcomeUnknown())
		}
	}
	g.unconfirmedCount -= len(s.unconfirmed)
	g.unconfirmedByQueue[key.queue] -= len(s.unconfirmed)
	g.dropSession(key, s)
}
