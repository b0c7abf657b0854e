package scheduler

import (
	"cmp"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
)

// Where workers have the members of a group wait for each other, a group needs
// no hold: it is started directly after its checkout. Who can't begin lets the
// others go before they have waited for nothing.

// gather stops the rest of a group one of whose members can't begin any more.
func (t *Table) gather(now eventloop.Micros, each *task) {
	if each.standing != queue.CheckedOut || each.evict != "" {
		return
	}
	members := t.members(each)
	isBroken := len(members) != int(each.spec.Tasks)
	for _, member := range members {
		w := t.workers[member.worker]
		if w != nil {
			if e := w.ended[attemptKey{member.key, member.attempt}]; e != nil {
				if e.note.State == "done" {
					// It stands for all of them.
					return
				}
				isBroken = true
				continue
			}
		}
		_, isOver := t.over[member.worker]
		switch {
		case member.standing != queue.CheckedOut || member.evict != "" || isOver:
			isBroken = true
		case member.beganAt > 0:
		case now-member.since > t.gatherSpan():
			isBroken = true
		case w != nil && w.isKnown && (w.isLeaving || w.incarnation != member.incarnation):
			isBroken = true
		}
	}
	if !isBroken {
		return
	}
	for _, member := range members {
		if member.standing == queue.CheckedOut && member.evict == "" {
			t.evict(member, "stopped")
		}
	}
}

// gatherSpan is how long a member may take to begin: less than the others wait.
func (t *Table) gatherSpan() eventloop.Micros {
	if t.bounds.GetGatherUs() > 0 {
		return eventloop.Micros(t.bounds.GatherUs) * 3 / 4
	}
	return gatherSpan
}

// mayGather tells whether a task may be started: with a group, when none of it
// has ended and every other member can begin as well.
func (t *Table) mayGather(each *task) bool {
	if !each.spec.Gang {
		return true
	}
	members := t.members(each)
	if len(members) != int(each.spec.Tasks) {
		return false
	}
	for _, member := range members {
		w := t.workers[member.worker]
		if member.standing != queue.CheckedOut || member.evict != "" || w == nil || w.isOver {
			return false
		}
		if w.ended[attemptKey{member.key, member.attempt}] != nil || member.beganAt == 0 && (!w.isKnown || w.isLeaving) {
			return false
		}
	}
	return true
}

func (t *Table) awayMilli() int64 { return cmp.Or(t.bounds.GetAwayMilli(), 2000) }
