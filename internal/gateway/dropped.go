package gateway

// Queues that the plan has dropped: what is under way for them.

import (
	"cmp"
	"maps"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
)

// endDropped answers what is under way for queues that are there no more: nobody
// leads them, so it would wait here in vain.
func (t *Table) endDropped(now eventloop.Micros, out eventloop.Effects) {
	byName := func(a, b queueClient) int {
		return cmp.Or(cmp.Compare(a.queue, b.queue), cmp.Compare(a.client, b.client))
	}
	for _, key := range slices.SortedFunc(maps.Keys(t.sessions), byName) {
		if clusterstate.FindQueue(t.state, key.queue) == nil {
			t.endSession(key, out)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(t.requests)) {
		ask := t.requests[id].ask
		if ask.Group == clusterstate.Group || clusterstate.FindQueue(t.state, ask.Group) != nil {
			continue
		}
		delete(t.requests, id)
		if ask.Kind == "cancel" {
			out.Respond(id, unknown())
			continue
		}
		t.unknownQueue(now, id, ask.Group, ask, false, out)
	}
}

// endSession forgets a session whose queue is over. Its numbers mean nothing any more,
// and whether what it held was taken before isn't known.
func (t *Table) endSession(key queueClient, out eventloop.Effects) {
	s := t.sessions[key]
	for _, each := range s.waiting {
		if each.request != 0 {
			delete(t.asked, each.request)
			out.Respond(each.request, unknown())
		}
	}
	t.pending -= len(s.waiting)
	t.queueHas[key.queue] -= len(s.waiting)
	delete(t.byId, s.queue+"/"+s.id.Client)
	delete(t.sessions, key)
}
