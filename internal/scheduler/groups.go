package scheduler

// Groups whose tasks run together: held, launched and evicted whole.

import (
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// evict has a task stopped; the outcome is what its end will be told as.
func (t *Table) evict(each *task, outcome string) {
	each.evict = outcome
	if w := t.workers[each.worker]; w != nil {
		w.isDirty, w.isStale = true, true
	}
}

// evictWhole has a task stopped, and its group with it.
func (t *Table) evictWhole(each *task, outcome string) {
	if !each.spec.Gang {
		t.evict(each, outcome)
		return
	}
	for _, member := range t.members(each) {
		if member.standing == queue.CheckedOut && member.evict == "" {
			t.evict(member, outcome)
		}
	}
}

func (t *Table) members(each *task) []*task {
	v := t.views[each.key.queue]
	var list []*task
	for k := uint32(0); k < each.spec.Tasks; k++ {
		if member := v.tasks[taskKey{each.key.queue, each.key.job, each.key.step, k}]; member != nil {
			list = append(list, member)
		}
	}
	return list
}

// launch proposes that a group begins whose members are all held. The decision
// is a record of the queue before any start leaves, so that a successor carries
// it out instead of breaking it; and it waits for a moment until every worker
// has an announce open, so that all starts leave in one step.
func (t *Table) launch(now eventloop.Micros, out eventloop.Effects) {
	// Few of many queues have a group that isn't decided on.
	var names []string
	for name, v := range t.views {
		if len(v.gangs) > 0 && t.mayAct(now, v) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		v := t.views[name]
		for _, key := range slices.SortedFunc(maps.Keys(v.gangs), compareKeys) {
			first := v.gangs[key]
			members := t.members(first)
			if len(members) != int(first.spec.Tasks) || !t.isHeld(members) {
				first.heldAt = 0
				continue
			}
			if first.heldAt == 0 {
				first.heldAt = now
			}
			if first.launchAt > 0 && now-first.launchAt < launchSpan || !t.isOpen(now, members) && now-first.heldAt < launchSpan {
				continue
			}
			command := &schema.StartGang{Job: first.key.job, Step: first.key.step}
			for _, member := range members {
				member.launchAt = now
				command.Attempts = append(command.Attempts, member.attempt)
			}
			out.Notify("replica", replica.Propose{Group: v.group, Term: v.term, Command: &schema.QueueCommand{
				Body: &schema.QueueCommand_StartGang{StartGang: command},
			}})
		}
	}
}

// isHeld tells whether every member is held by a worker that stays.
func (t *Table) isHeld(members []*task) bool {
	for _, member := range members {
		w := t.workers[member.worker]
		if member.standing != queue.CheckedOut || member.evict != "" || w == nil || w.isLeaving || w.gathers {
			return false
		}
		if t.noteOf(member) == nil {
			return false
		}
	}
	return true
}

// isBeginning tells whether a group that was decided on has members that are
// still only held.
func (t *Table) isBeginning(each *task) bool {
	if !each.isLaunched {
		return false
	}
	for _, member := range t.members(each) {
		if note := t.noteOf(member); note != nil && note.State == "held" && member.evict == "" {
			return true
		}
	}
	return false
}

// isOpen tells whether every member's worker can be answered at once.
func (t *Table) isOpen(now eventloop.Micros, members []*task) bool {
	for _, member := range members {
		w := t.workers[member.worker]
		if w.poll == nil || w.poll.until < now+pollSpan {
			return false
		}
	}
	return true
}
