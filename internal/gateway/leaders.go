package gateway

// Which store leads a group, and what becomes of requests while nobody does.

import (
	"maps"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
)

func (t *Table) lead(group, id string) {
	t.leaders[group] = id
	delete(t.unled, group)
}

func (t *Table) unlead(now eventloop.Micros, group string) {
	delete(t.leaders, group)
	if _, isKnown := t.unled[group]; !isKnown && clusterstate.FindQueue(t.state, group) != nil {
		t.unled[group] = now
	}
}

// askRest is how long to wait between two looks at the cluster state: less while
// somebody may just have come to lead a queue.
func (t *Table) askRest(now eventloop.Micros) eventloop.Micros {
	// Whoever has no word serves nobody.
	if t.lease.isHalfOver(now) {
		return 2 * Pace
	}
	for _, since := range t.unled {
		if now-since < newSpan {
			return Pace
		}
	}
	return min(askSpan, t.lease.duration()/questionsPerLease)
}

// countUnled starts the clock of queues that are new here, and forgets it of
// those that are gone.
func (t *Table) countUnled(now eventloop.Micros) {
	for _, place := range t.state.Queues {
		if _, isKnown := t.unled[place.Queue]; !isKnown && t.leaders[place.Queue] == "" {
			t.unled[place.Queue] = now
		}
	}
	for queue := range t.unled {
		if clusterstate.FindQueue(t.state, queue) == nil {
			delete(t.unled, queue)
		}
	}
}

// canCommit tells whether enough of a queue's voters take writes, as far as is
// known: while most refuse, nothing new could be confirmed.
func (t *Table) canCommit(now eventloop.Micros, queue string) bool {
	if t.roll == nil {
		return true
	}
	// A queue's leader tells its voters now and then; until it has, who founded it
	// stands for them.
	voters := clusterstate.FindQueue(t.state, queue).GetInitialVoters()
	if note := t.waits[queue]; note != nil {
		voters = note.Voters
	}
	return t.roll.HasWritableQuorum(now, voters, t.roll.RefusesWrites)
}

// isUnled tells whether nobody has been known to lead a queue for too long to
// take more for it: what has a number can't be turned away any more.
func (t *Table) isUnled(now eventloop.Micros, queue string) bool {
	since, isKnown := t.unled[queue]
	return isKnown && now-since > ledSpan
}

// leader is who is believed to lead a queue, or somebody who may know.
func (t *Table) leader(now eventloop.Micros, group string) string {
	if id := t.leaders[group]; id != "" {
		return id
	}
	return t.someStore(now)
}

// mayLead tells whether somebody named as leader is worth believing in: whoever
// names one that leaves, or that nobody has heard of for a while, has old word.
func (t *Table) mayLead(now eventloop.Micros, id string) bool {
	if id == "" {
		return false
	}
	if t.roll == nil {
		return true
	}
	known, isKnown := t.roll.Members[id]
	return !isKnown || !known.Member.Draining && t.roll.IsAlive(id, now, storeSpan)
}

// someStore is any store, one that was heard of lately and stays if there is.
func (t *Table) someStore(now eventloop.Micros) string {
	if t.roll == nil {
		return ""
	}
	var all, likely []string
	for _, id := range slices.Sorted(maps.Keys(t.roll.Members)) {
		known := t.roll.Members[id]
		if !known.Member.HasStorage {
			continue
		}
		all = append(all, id)
		if t.roll.IsAlive(id, now, storeSpan) && !known.Member.Draining {
			likely = append(likely, id)
		}
	}
	if len(likely) > 0 {
		all = likely
	}
	if len(all) == 0 {
		return ""
	}
	return all[t.rng.IntN(len(all))]
}

// storesInTurn are the stores whose turn it is to be asked by a front without word.
// Those it heard of lately may be cut off together with it, so all have their turns.
func (t *Table) storesInTurn() []string {
	if t.roll == nil {
		return nil
	}
	var stores []string
	for _, id := range slices.Sorted(maps.Keys(t.roll.Members)) {
		if t.roll.Members[id].Member.HasStorage {
			stores = append(stores, id)
		}
	}
	var list []string
	for range min(storesPerTurn, len(stores)) {
		list = append(list, stores[t.turn%len(stores)])
		t.turn++
	}
	return list
}

// elsewhere lists a queue's submissions that were last sent to another than who
// is now believed to lead it, or to the same before it came to.
func (t *Table) elsewhere(queue string) []*submission {
	leader := t.leaders[queue]
	denied, hasDenied := t.denied[queueStore{queue, leader}]
	return t.unconfirmed(queue, func(each *submission) bool { return each.to != leader || hasDenied && each.sent < denied })
}
