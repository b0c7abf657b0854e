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

// evictOutcome has a task stopped; the outcome is what its end will be told as.
func (s *Scheduler) evict(t *task, outcome string) {
	t.evictOutcome = outcome
	if w := s.workers[t.worker]; w != nil {
		w.needsResponse, w.isUsageStale = true, true
	}
}

// evictWithGang has a task stopped, and its group with it.
func (s *Scheduler) evictWithGang(t *task, outcome string) {
	if !t.spec.Gang {
		s.evict(t, outcome)
		return
	}
	for _, member := range s.gangMembers(t) {
		if member.state == queue.CheckedOut && member.evictOutcome == "" {
			s.evict(member, outcome)
		}
	}
}

func (s *Scheduler) gangMembers(t *task) []*task {
	q := s.queues[t.key.queue]
	var list []*task
	for k := uint32(0); k < t.spec.Tasks; k++ {
		if member := q.tasks[taskKey{t.key.queue, t.key.job, t.key.step, k}]; member != nil {
			list = append(list, member)
		}
	}
	return list
}

// startGangs proposes that a group begins whose members are all held. The decision
// is a record of the queue before any start leaves, so that a successor carries
// it out instead of breaking it; and it waits for a moment until every worker
// has an announce open, so that all starts leave in one step.
func (s *Scheduler) startGangs(now eventloop.Micros, effects eventloop.Effects) {
	// Few of many queues have a group that isn't decided on.
	var names []string
	for name, q := range s.queues {
		if len(q.pendingGangs) > 0 && s.mayActFor(now, q) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		q := s.queues[name]
		for _, key := range slices.SortedFunc(maps.Keys(q.pendingGangs), compareTaskKeys) {
			first := q.pendingGangs[key]
			members := s.gangMembers(first)
			if len(members) != int(first.spec.Tasks) || !s.isGangHeld(members) {
				first.gangHeldAt = 0
				continue
			}
			if first.gangHeldAt == 0 {
				first.gangHeldAt = now
			}
			if first.gangStartProposedAt > 0 && now-first.gangStartProposedAt < gangStartTimeout || !s.canRespondToAll(now, members) && now-first.gangHeldAt < gangStartTimeout {
				continue
			}
			command := &schema.StartGang{Job: first.key.job, Step: first.key.step}
			for _, member := range members {
				member.gangStartProposedAt = now
				command.Attempts = append(command.Attempts, member.attempt)
			}
			effects.Notify("replica", replica.Propose{Group: q.raftGroup, Term: q.term, Command: &schema.QueueCommand{
				Body: &schema.QueueCommand_StartGang{StartGang: command},
			}})
		}
	}
}

// isGangHeld tells whether every member is held by a worker that stays.
func (s *Scheduler) isGangHeld(members []*task) bool {
	for _, member := range members {
		w := s.workers[member.worker]
		if member.state != queue.CheckedOut || member.evictOutcome != "" || w == nil || w.isDraining || w.hasBarrier {
			return false
		}
		if s.runningNote(member) == nil {
			return false
		}
	}
	return true
}

// isGangStarting tells whether a group that was decided on has members that are
// still only held.
func (s *Scheduler) isGangStarting(t *task) bool {
	if !t.isGangStarted {
		return false
	}
	for _, member := range s.gangMembers(t) {
		if note := s.runningNote(member); note != nil && note.State == "held" && member.evictOutcome == "" {
			return true
		}
	}
	return false
}

// acceptsMore tells whether every member's worker can be answered at once.
func (s *Scheduler) canRespondToAll(now eventloop.Micros, members []*task) bool {
	for _, member := range members {
		w := s.workers[member.worker]
		if w.poll == nil || w.poll.deadline < now+minPollRemaining {
			return false
		}
	}
	return true
}
