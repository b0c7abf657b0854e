package controller

// Who belongs to each group: lost members are replaced, one change at a time.

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
)

// members gives a lost voter's place to a spare store, which learns, catches up
// and votes.
func (t *Table) members(now eventloop.Micros, out eventloop.Effects) {
	notes := t.notes(now)
	root := notes[clusterstate.Group]
	if root == nil {
		return
	}
	for _, group := range slices.Sorted(maps.Keys(notes)) {
		act := t.nextMember(now, notes[group], root)
		// The same act again waits for its effect to be heard of; the next one doesn't.
		if act != nil && t.may(now, strings.Join([]string{"members", group, act.AddLearner, act.Promote, act.Remove}, "/"), actSpan) {
			act.Group, act.FencingToken = group, t.lease
			out.Send(notes[group].Leader, act)
		}
	}
}

// isLost tells whether a store has been silent for so long that its place may be
// given to another. Where an empty store has come of late, it is the other.
func (t *Table) isLost(now eventloop.Micros, id string) bool {
	known, isKnown := t.roll.Members[id]
	if isKnown && now-known.LastHeard < t.spans.SuspectTimeout {
		delete(t.gone, id)
		return false
	}
	silent := t.lostFor(now, id)
	if isKnown {
		// Its last word is older than our notice of that.
		silent += t.spans.SuspectTimeout
	}
	return t.isSucceeded(now, id) || silent > t.spans.ReplaceTimeout || silent > t.spans.ReplaceByNewTimeout && t.hasCome(now)
}

// isSucceeded tells whether another store lives at a silent one's address: its
// disk is gone, so it won't come back, and waiting for it would only leave its
// groups a voter short when the next machine goes.
//
// The book lets a silent process go as soon as another is heard at its address, so
// where it lived is kept here.
func (t *Table) isSucceeded(now eventloop.Micros, id string) bool {
	old, isKnown := t.homes[id]
	if !isKnown || old.inner == "" {
		return false
	}
	for other, known := range t.roll.Members {
		if other != id && known.Member.HasStorage && known.Member.InternalAddress == old.inner && known.LastHeard > old.heard && t.roll.IsAlive(other, now, t.spans.SuspectTimeout) {
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

// hasCome tells whether a store that has never run before has come of late.
func (t *Table) hasCome(now eventloop.Micros) bool {
	return t.roll.FindNewlyJoined(now, t.spans.ReplaceTimeout, t.age(now), nil) != ""
}

// age is for how long the cluster has been there, at least: until the last grant of the
// lease by the cluster state's time, which stands still without a leader, and since then
// by our own clock.
func (t *Table) age(now eventloop.Micros) eventloop.Micros {
	if t.until == 0 {
		return 0
	}
	return eventloop.Micros(t.until-clusterstate.ControllerLeaseUs) + now - t.untilAt
}

// watch keeps in mind who is silent, and where the stores live, also before this
// machine becomes the controller.
func (t *Table) watch(now eventloop.Micros) {
	for id, known := range t.roll.Members {
		if known.Member.HasStorage {
			t.homes[id] = home{inner: known.Member.InternalAddress, cell: known.Member.Zone, heard: known.LastHeard}
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
func (t *Table) nextMember(now eventloop.Micros, note, root *schema.QueueStatus) *schema.ChangeMembers {
	var lost []string
	succeeded := ""
	for _, id := range note.Voters {
		if !t.isLost(now, id) {
			continue
		}
		lost = append(lost, id)
		if t.isSucceeded(now, id) {
			succeeded = id
		}
	}
	leaver := t.leaver(now, note)
	isWhole := len(lost) == 0 && leaver == ""
	if len(note.Learners) > 0 {
		// One change at a time: whoever learns is seen through first.
		id := note.Learners[0]
		switch {
		case t.isLost(now, id):
			return &schema.ChangeMembers{Remove: id}
		case isWhole && len(note.Voters) >= t.voters:
			// Whoever it was to stand for is back.
			return &schema.ChangeMembers{Remove: id}
		case note.ReplicaLag[id] > raft.MaxLearnerLag:
			return nil
		case succeeded != "" && len(note.Voters) >= t.voters:
			return &schema.ChangeMembers{Remove: succeeded}
		}
		return &schema.ChangeMembers{Promote: id}
	}
	if len(note.Voters) > t.voters {
		if succeeded != "" {
			return &schema.ChangeMembers{Remove: succeeded}
		}
		if len(lost) > 0 {
			return &schema.ChangeMembers{Remove: lost[0]}
		}
		if leaver != "" {
			return &schema.ChangeMembers{Remove: leaver}
		}
		// All are back, and an even group bears no more than one less.
		if id := t.surplus(note, root); id != "" {
			return &schema.ChangeMembers{Remove: id}
		}
		return nil
	}
	if isWhole && len(note.Voters) >= t.voters {
		return nil
	}
	if id := t.spare(now, note, root, cmp.Or(succeeded, first(lost), leaver)); id != "" {
		return &schema.ChangeMembers{AddLearner: id}
	}
	return nil
}

// leaver is a voter that is to give its vote to another while it is still there, so that
// the group never does with one voter less: one that has said it leaves while a store
// that has come of late can take its place (without such a store it is taken to be
// restarting), or one that stands in the wrong zone.
func (t *Table) leaver(now eventloop.Micros, note *schema.QueueStatus) string {
	// Once promoted the new one is no newcomer any more, and the leaver still to go.
	isUnderWay := len(note.Learners) > 0 || len(note.Voters) > t.voters
	if isUnderWay || t.roll.FindNewlyJoined(now, t.spans.SuspectTimeout, t.age(now), note.Voters) != "" {
		for _, id := range note.Voters {
			if known, isKnown := t.roll.Members[id]; isKnown && known.Member.Draining {
				return id
			}
		}
	}
	return t.misplaced(now, note)
}

// mayLearn tells whether a store can be made a learner of a group.
func (t *Table) mayLearn(now eventloop.Micros, note *schema.QueueStatus, id string) bool {
	return !slices.Contains(note.Voters, id) && !slices.Contains(note.Learners, id) &&
		t.roll.IsAlive(id, now, t.spans.SuspectTimeout) && !t.roll.Members[id].Member.Draining && !t.roll.RefusesWrites(id)
}

// spare is a store to learn next, in the place of another if one is to go. Queues follow
// the cluster state's voters, so that a few machines hold all; the cluster state's are
// spread over the zones.
func (t *Table) spare(now eventloop.Micros, note, root *schema.QueueStatus, goer string) string {
	for _, id := range root.Voters {
		if t.mayLearn(now, note, id) && t.mayReplace(note, goer, id) {
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
		if t.mayLearn(now, note, id) && t.mayReplace(note, goer, id) && (best == "" || t.isBetterSpread(note, goer, id, best, inCell)) {
			best = id
		}
	}
	return best
}

// surplus is the voter to do without: the one whose going leaves the others best
// spread, one that doesn't vote on the cluster state, else one of the fullest zone;
// never the leader.
func (t *Table) surplus(note, root *schema.QueueStatus) string {
	inCell := map[string]int{}
	for _, id := range note.Voters {
		inCell[t.cellOf(id)]++
	}
	rank := func(id string) [3]int {
		isFollowing := 0
		if slices.Contains(root.Voters, id) {
			isFollowing = 1
		}
		return [3]int{t.excess(note, id, ""), isFollowing, -inCell[t.cellOf(id)]}
	}
	best := ""
	for _, id := range note.Voters {
		if id == note.Leader {
			continue
		}
		if a := rank(id); best == "" || isLess(a, rank(best)) {
			best = id
		}
	}
	return best
}

func isLess(a, b [3]int) bool { return slices.Compare(a[:], b[:]) < 0 }

func first(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[0]
}
