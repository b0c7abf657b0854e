package scheduler

import (
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// A gang is a step whose tasks, its members, run together (gang scheduling). Workers without a
// barrier (see barrier.go) first hold the members, that is, reserve resources for them. The members
// start only once all of them are held.

const (
	// gangStartTimeout is how long the scheduler waits for a gang start to be committed before it
	// proposes the start again, and how long a start waits for all workers to have a poll open.
	gangStartTimeout = 500 * eventloop.Millisecond
	// minPollRemaining is how much longer a poll must stay open for the start order to reach it
	// after the commit.
	minPollRemaining = 50 * eventloop.Millisecond
	// gangHoldTimeout is how long the members of a gang that hasn't started stay checked out
	// before they are evicted.
	gangHoldTimeout = 3 * eventloop.Second
)

// evictWithGang evicts a task and, if it belongs to a gang, all active members of the gang.
func (s *Scheduler) evictWithGang(t *task, outcome string) {
	if !t.spec.Gang {
		s.evict(t, outcome)
		return
	}
	s.evictAll(s.gangMembers(t), outcome)
}

func (s *Scheduler) evictAll(members []*task, outcome string) {
	for _, member := range members {
		if member.isActive() {
			s.evict(member, outcome)
		}
	}
}

// gangMembers returns the members of a task's gang that the queue's view contains.
func (s *Scheduler) gangMembers(t *task) []*task {
	q := s.queues[t.key.queue]
	var members []*task
	for k := uint32(0); k < t.spec.Tasks; k++ {
		if member := q.tasks[taskKey{t.key.queue, t.key.job, t.key.step, k}]; member != nil {
			members = append(members, member)
		}
	}
	return members
}

// requestGangResponses marks the workers of all members of a task's gang as needing a response,
// because a change of one member may affect the orders for all.
func (s *Scheduler) requestGangResponses(t *task) {
	for _, member := range s.gangMembers(t) {
		if w := s.workers[member.worker]; w != nil {
			s.requestResponse(w)
		}
	}
}

// startGangs proposes the start of the gangs whose members are all held. The start is committed to
// the queue's log before any start order is sent, so that a scheduler that takes over completes the
// start instead of stopping the gang.
func (s *Scheduler) startGangs(now eventloop.Micros, effects eventloop.Effects) {
	// Few queues have a pending gang, so only the names of those are sorted.
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
			s.startGang(now, q, q.pendingGangs[key], effects)
		}
	}
}

// startGang proposes the start of the gang whose first member is given, once all members are held.
func (s *Scheduler) startGang(now eventloop.Micros, q *queueView, first *task, effects eventloop.Effects) {
	members := s.gangMembers(first)
	if len(members) != int(first.spec.Tasks) || !s.isGangHeld(members) {
		first.gangHeldAt = 0
		return
	}
	if first.gangHeldAt == 0 {
		first.gangHeldAt = now
	}
	// All start orders should leave in the same Step call, so the start waits up to
	// gangStartTimeout for every worker to have a poll open.
	if first.gangStartProposedAt > 0 && now-first.gangStartProposedAt < gangStartTimeout || !s.canRespondToAll(now, members) && now-first.gangHeldAt < gangStartTimeout {
		return
	}
	command := &schema.StartGang{Job: first.key.job, Step: first.key.step}
	for _, member := range members {
		member.gangStartProposedAt = now
		command.Attempts = append(command.Attempts, member.attempt)
	}
	q.propose(&schema.QueueCommand{Body: &schema.QueueCommand_StartGang{StartGang: command}}, effects)
}

// isGangHeld reports whether every member is held by a worker that isn't draining.
func (s *Scheduler) isGangHeld(members []*task) bool {
	for _, member := range members {
		w := s.workers[member.worker]
		if !member.isActive() || w == nil || w.isDraining || w.hasBarrier || s.runStatus(member) == nil {
			return false
		}
	}
	return true
}

// isGangStarting reports whether the start of a task's gang is committed while some members are
// still held and haven't started.
func (s *Scheduler) isGangStarting(t *task) bool {
	if !t.isGangStarted {
		return false
	}
	return slices.ContainsFunc(s.gangMembers(t), func(member *task) bool {
		status := s.runStatus(member)
		return status != nil && status.State == runStateHeld && member.evictOutcome == ""
	})
}

// canRespondToAll reports whether the workers of all members have a poll that stays open long
// enough for the start to be committed.
func (s *Scheduler) canRespondToAll(now eventloop.Micros, members []*task) bool {
	for _, member := range members {
		w := s.workers[member.worker]
		if w.poll == nil || w.poll.deadline < now+minPollRemaining {
			return false
		}
	}
	return true
}
