package controller

// Who belongs to each group: lost members are replaced, one change at a time.

import (
	"maps"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
)

// members gives a lost voter's place to a spare store, which learns, catches up
// and votes.
func (t *Table) members(now eventloop.Micros, out eventloop.Out) {
	notes := t.notes(now)
	root := notes[clusterstate.Group]
	if root == nil {
		return
	}
	for _, group := range slices.Sorted(maps.Keys(notes)) {
		if act := t.nextMember(now, notes[group], root); act != nil && t.may(now, "members/"+group, actSpan) {
			act.Group, act.Lease = group, t.lease
			out.Send(notes[group].Leader, act)
		}
	}
}

// isLost tells whether a store has been silent for so long that its place may be
// given to another. Where an empty store has come of late, it is the other.
func (t *Table) isLost(now eventloop.Micros, id string) bool {
	known, isKnown := t.roll.Known[id]
	if isKnown && now-known.Heard < deadSpan {
		delete(t.gone, id)
		return false
	}
	silent := t.lostFor(now, id)
	if isKnown {
		// Its last word is older than our notice of that.
		silent += deadSpan
	}
	return isKnown && t.isSucceeded(now, id) || silent > lostSpan || silent > replacedSpan && t.hasCome(now)
}

// isSucceeded tells whether another store lives at a silent one's address: its
// disk is gone, so it won't come back, and waiting for it would only leave its
// groups a voter short when the next machine goes.
func (t *Table) isSucceeded(now eventloop.Micros, id string) bool {
	old := t.roll.Known[id]
	for other, known := range t.roll.Known {
		if other != id && known.Member.Stores && known.Member.Inner == old.Member.Inner && known.Member.Inner != "" && known.Heard > old.Heard && t.roll.Live(other, now, deadSpan) {
			return true
		}
	}
	return false
}

func (t *Table) lostFor(now eventloop.Micros, id string) eventloop.Micros {
	since, isKnown := t.gone[id]
	if !isKnown {
		t.gone[id] = now
		return 0
	}
	return now - since
}

// hasCome tells whether a store that has never run before was first heard of of
// late, and not when all began.
func (t *Table) hasCome(now eventloop.Micros) bool {
	for id, at := range t.came {
		known, isKnown := t.roll.Known[id]
		if isKnown && known.Member.Stores && known.Member.Boot <= 1 && at-t.first > beginSpan && now-at < newSpan {
			return true
		}
	}
	return false
}

// watch keeps in mind who has come and who is silent, also before this machine
// becomes the controller.
func (t *Table) watch(now eventloop.Micros) {
	if t.first == 0 {
		t.first = now
	}
	for id := range t.roll.Known {
		if _, isKnown := t.came[id]; !isKnown {
			t.came[id] = now
		}
	}
	for id := range t.came {
		if _, isKnown := t.roll.Known[id]; !isKnown {
			delete(t.came, id)
		}
	}
	for id, known := range t.roll.Known {
		if known.Member.Stores {
			t.isLost(now, id)
		}
	}
}

// nextMember is the next change of a group's members, one server at a time.
//
// An odd group's quorum is as large without one of its voters, so neither order
// of dropping the lost one and promoting the spare puts a quorum at risk, nor has
// a record fewer copies. Who is only silent may come back and count, so it is
// dropped last. Whose disk is gone won't, so it is dropped as soon as the spare
// has caught up: then the group bears its losses from the promotion on. Two are
// never dropped before a promotion.
func (t *Table) nextMember(now eventloop.Micros, note, root *schema.WaitNote) *schema.Reroster {
	var lost []string
	succeeded := ""
	for _, id := range note.Voters {
		if !t.isLost(now, id) {
			continue
		}
		lost = append(lost, id)
		if _, isKnown := t.roll.Known[id]; isKnown && t.isSucceeded(now, id) {
			succeeded = id
		}
	}
	if len(note.Learners) > 0 {
		// One change at a time: whoever learns is seen through first.
		id := note.Learners[0]
		switch {
		case t.isLost(now, id):
			return &schema.Reroster{Drop: id}
		case len(lost) == 0 && len(note.Voters) >= t.voters:
			// Whoever it was to stand for is back.
			return &schema.Reroster{Drop: id}
		case note.Behind[id] > raft.CaughtUp:
			return nil
		case succeeded != "" && len(note.Voters) >= t.voters:
			return &schema.Reroster{Drop: succeeded}
		}
		return &schema.Reroster{Promote: id}
	}
	if len(note.Voters) > t.voters {
		if succeeded != "" {
			return &schema.Reroster{Drop: succeeded}
		}
		if len(lost) > 0 {
			return &schema.Reroster{Drop: lost[0]}
		}
		// All are back, and an even group bears no more than one less.
		if id := t.surplus(note, root); id != "" {
			return &schema.Reroster{Drop: id}
		}
		return nil
	}
	if len(lost) == 0 && len(note.Voters) >= t.voters {
		return nil
	}
	if id := t.spare(now, note, root); id != "" {
		return &schema.Reroster{Learn: id}
	}
	return nil
}

// spare is a store to learn next. Queues follow the cluster state's voters, so that a
// few machines hold all; the cluster state's are spread over the cells.
func (t *Table) spare(now eventloop.Micros, note, root *schema.WaitNote) string {
	mayLearn := func(id string) bool {
		return !slices.Contains(note.Voters, id) && !slices.Contains(note.Learners, id) &&
			t.roll.Live(id, now, deadSpan) && !t.roll.Known[id].Member.Leaving && !t.roll.Refuses(id)
	}
	for _, id := range root.Voters {
		if mayLearn(id) {
			return id
		}
	}
	inCell := map[string]int{}
	for _, id := range note.Voters {
		if !t.isLost(now, id) {
			inCell[t.cellOf(id)]++
		}
	}
	best := ""
	for _, id := range t.stores(now) {
		if mayLearn(id) && (best == "" || inCell[t.cellOf(id)] < inCell[t.cellOf(best)]) {
			best = id
		}
	}
	return best
}

// surplus is the voter to do without: one that doesn't vote on the cluster state, else
// one of the fullest cell; never the leader.
func (t *Table) surplus(note, root *schema.WaitNote) string {
	inCell := map[string]int{}
	for _, id := range note.Voters {
		inCell[t.cellOf(id)]++
	}
	best := ""
	for _, id := range note.Voters {
		switch {
		case id == note.Leader:
		case !slices.Contains(root.Voters, id):
			return id
		case best == "" || inCell[t.cellOf(id)] > inCell[t.cellOf(best)]:
			best = id
		}
	}
	return best
}

func (t *Table) cellOf(id string) string { return t.roll.Known[id].Member.GetCell() }
