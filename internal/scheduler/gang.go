package scheduler

import (
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// A gang is a step whose tasks run together (gang scheduling). Where workers have
// no barrier (see barrier.go), its members are first held by their workers, which
// reserve their resources, and start only once all are held.

const (
	// gangStartTimeout is after how long a gang's start that wasn't committed is
	// proposed again, and how long it waits for all workers to have a poll open.
	gangStartTimeout = 500 * eventloop.Millisecond
	// minPollRemaining is what a poll must have left for a start to reach it after
	// the commit.
	minPollRemaining = 50 * eventloop.Millisecond
	// gangHoldTimeout is how long the members of a gang that hasn't started keep their
	// reservations before they are evicted.
	gangHoldTimeout = 3 * eventloop.Second
)

// evictWithGang evicts a task and the other members of its gang, if it has one.
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

// gangMembers lists the members of a task's gang that the queue's view has.
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

// wakeGang has the polls of all members' workers looked at: what becomes of one
// member may concern all.
func (s *Scheduler) wakeGang(t *task) {
	for _, member := range s.gangMembers(t) {
		if w := s.workers[member.worker]; w != nil {
			w.needsResponse = true
		}
	}
}

// startGangs proposes the start of the gangs whose members are all held. The start
// is committed to the queue's log before any start order leaves, so that another
// scheduler carries it out instead of breaking up the gang.
func (s *Scheduler) startGangs(now eventloop.Micros, effects eventloop.Effects) {
	// Few of many queues have a gang that is pending, so those are found first.
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

// startGang proposes the start of the gang with this first member, if it is due.
func (s *Scheduler) startGang(now eventloop.Micros, q *queueView, first *task, effects eventloop.Effects) {
	members := s.gangMembers(first)
	if len(members) != int(first.spec.Tasks) || !s.isGangHeld(members) {
		first.gangHeldAt = 0
		return
	}
	if first.gangHeldAt == 0 {
		first.gangHeldAt = now
	}
	// All start orders should leave in one step, so for a moment the start waits
	// until every worker has a poll open.
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

// isGangHeld reports whether every member is held by a worker that stays.
func (s *Scheduler) isGangHeld(members []*task) bool {
	for _, member := range members {
		w := s.workers[member.worker]
		if !member.isActive() || w == nil || w.isDraining || w.hasBarrier || s.runStatus(member) == nil {
			return false
		}
	}
	return true
}

// isGangStarting reports whether a task's gang has started, but has members that
// are still only held.
func (s *Scheduler) isGangStarting(t *task) bool {
	if !t.isGangStarted {
		return false
	}
	return slices.ContainsFunc(s.gangMembers(t), func(member *task) bool {
		status := s.runStatus(member)
		return status != nil && status.State == runStateHeld && member.evictOutcome == ""
	})
}

// canRespondToAll reports whether the workers of all members have a poll open that
// outlasts the commit of a start.
func (s *Scheduler) canRespondToAll(now eventloop.Micros, members []*task) bool {
	for _, member := range members {
		w := s.workers[member.worker]
		if w.poll == nil || w.poll.deadline < now+minPollRemaining {
			return false
		}
	}
	return true
}
