package scheduler

import (
	"sparnotch/internal/eventloop"
)

// Where the workers have a barrier, at which the members of a gang wait for each
// other, a gang isn't held first: all members are ordered to start once they are
// checked out. When one can't begin, the others are stopped before they have
// waited in vain.

// defaultBarrierTimeout is the barrierTimeout unless the bounds say more.
const defaultBarrierTimeout = 2 * eventloop.Second

// barrierTimeout is how long a member may take to begin. It is shorter than the
// workers have the other members wait.
func (s *Scheduler) barrierTimeout() eventloop.Micros {
	if s.bounds.GetGangTimeoutUs() > 0 {
		return eventloop.Micros(s.bounds.GangTimeoutUs) * 3 / 4
	}
	return defaultBarrierTimeout
}

// breakUpGang stops the members of a task's gang when one of them can't begin any
// more.
func (s *Scheduler) breakUpGang(now eventloop.Micros, t *task) {
	if !t.isActive() {
		return
	}
	members := s.gangMembers(t)
	isBroken := len(members) != int(t.spec.Tasks)
	for _, member := range members {
		if report := s.endReportOf(member); report != nil && report.status.State == outcomeDone {
			// One member's success is the gang's.
			return
		}
		isBroken = isBroken || s.cannotBegin(now, member)
	}
	if isBroken {
		s.evictAll(members, outcomeStopped)
	}
}

// cannotBegin reports whether a member of a gang neither runs nor will begin in time.
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

// endReportOf is what a task's worker reports of the end of its attempt, or nil.
func (s *Scheduler) endReportOf(t *task) *endReport {
	w := s.workers[t.worker]
	if w == nil {
		return nil
	}
	return w.ended[attemptKey{t.key, t.attempt}]
}

// canStartGang reports whether a task may be started as far as its gang, if it has
// one, is concerned: no member has ended, and each can begin as well.
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
