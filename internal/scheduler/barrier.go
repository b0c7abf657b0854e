package scheduler

import (
	"sparnotch/internal/eventloop"
)

// Some workers have a barrier, at which the members of a gang wait for each other before they begin.
// A gang on such workers isn't held first: all members are ordered to start once they are checked
// out. If one member can't begin, the scheduler stops the others before their wait times out.

// defaultBarrierTimeout is the barrier timeout if the bounds set no gang timeout.
const defaultBarrierTimeout = 2 * eventloop.Second

// barrierTimeout returns how long a member of a gang may take to begin. It is shorter than the gang
// timeout, for which the workers let the other members wait.
func (s *Scheduler) barrierTimeout() eventloop.Micros {
	if s.bounds.GetGangTimeoutUs() > 0 {
		return eventloop.Micros(s.bounds.GangTimeoutUs) * 3 / 4
	}
	return defaultBarrierTimeout
}

// stopBrokenGang stops all members of a task's gang if one of them can't begin any more, unless a
// member has already succeeded.
func (s *Scheduler) stopBrokenGang(now eventloop.Micros, t *task) {
	if !t.isActive() {
		return
	}
	members := s.gangMembers(t)
	isBroken := len(members) != int(t.spec.Tasks)
	for _, member := range members {
		if report := s.endReportOf(member); report != nil && report.status.State == outcomeDone {
			// The success of one member is the success of the gang.
			return
		}
		isBroken = isBroken || s.cannotBegin(now, member)
	}
	if isBroken {
		s.evictAll(members, outcomeStopped)
	}
}

// cannotBegin reports whether a member of a gang has ended, is being stopped, or won't begin in time.
func (s *Scheduler) cannotBegin(now eventloop.Micros, member *task) bool {
	_, isWorkerDead := s.deadWorkers[member.worker]
	if s.endReportOf(member) != nil || !member.isActive() || isWorkerDead {
		return true
	}
	if member.startedAt > 0 {
		return false
	}
	w := s.workers[member.worker]
	return now-member.stateSince > s.barrierTimeout() ||
		w != nil && w.hasHeartbeat && (w.isDraining || w.incarnation != member.incarnation)
}

// endReportOf returns the end that a task's worker has reported for the current attempt, or nil.
func (s *Scheduler) endReportOf(t *task) *endReport {
	w := s.workers[t.worker]
	if w == nil {
		return nil
	}
	return w.ended[attemptKey{t.key, t.attempt}]
}

// canStartGang reports whether a task's gang, if it has one, allows the task to start: every member
// is checked out, none has ended, and those that haven't begun still can.
func (s *Scheduler) canStartGang(t *task) bool {
	if !t.spec.Gang {
		return true
	}
	members := s.gangMembers(t)
	if len(members) != int(t.spec.Tasks) {
		return false
	}
	for _, member := range members {
		w := s.workers[member.worker]
		if !member.isActive() || w == nil || w.isDead || w.hasEnded(member) {
			return false
		}
		if member.startedAt == 0 && (!w.hasHeartbeat || w.isDraining) {
			return false
		}
	}
	return true
}
