package gateway

// Queues that the plan has dropped: what is under way for them.

import (
	"cmp"
	"maps"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
)

// endRemovedQueues answers what is under way for queues that are there no more: nobody
// leads them, so it would wait here in vain.
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
		if message.Group == clusterstate.Group || clusterstate.FindQueue(g.state, message.Group) != nil {
			continue
		}
		delete(g.requests, id)
		if message.Kind == "cancel" {
			effects.Respond(id, outcomeUnknown())
			continue
		}
		g.handleUnknownQueue(now, id, message.Group, message, false, effects)
	}
}

// endSession forgets a session whose queue is over. Its numbers mean nothing any more,
// and whether what it held was taken before isn't known.
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
	delete(g.sessionsByID, s.queue+"/"+s.id.Client)
	delete(g.sessions, key)
}
