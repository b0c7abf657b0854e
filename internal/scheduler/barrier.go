package scheduler

import (
	"cmp"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
)

// Where workers have the members of a group wait for each other, a group needs
// no hold: it is started directly after its checkout. Who can't begin lets the
// others go before they have waited for nothing.

// breakUpGang stops the rest of a group one of whose members can't begin any more.
func (s *Scheduler) breakUpGang(now eventloop.Micros, t *task) {
	if t.state != queue.CheckedOut || t.evictOutcome != "" {
		return
	}
	members := s.gangMembers(t)
	broken := len(members) != int(t.spec.Tasks)
	for _, member := range members {
		w := s.workers[member.worker]
		if w != nil {
			if report := w.ended[attemptKey{member.key, member.attempt}]; report != nil {
				if report.note.State == "done" {
					// It stands for all of them.
					return
				}
				broken = true
				continue
			}
		}
		_, dead := s.deadWorkers[member.worker]
		switch {
		case member.state != queue.CheckedOut || member.evictOutcome != "" || dead:
			broken = true
		case member.startedAt > 0:
		case now-member.since > s.barrierTimeout():
			broken = true
		case w != nil && w.hasAnnounced && (w.isDraining || w.incarnation != member.incarnation):
			broken = true
		}
	}
	if !broken {
		return
	}
	for _, member := range members {
		if member.state == queue.CheckedOut && member.evictOutcome == "" {
			s.evict(member, "stopped")
		}
	}
}

// defaultBarrierTimeout is how long a member may take to begin: less than the others wait.
func (s *Scheduler) barrierTimeout() eventloop.Micros {
	if s.bounds.GetGatherUs() > 0 {
		return eventloop.Micros(s.bounds.GatherUs) * 3 / 4
	}
	return defaultBarrierTimeout
}

// canStartGang tells whether a task may be started: with a group, when none of it
// has ended and every other member can begin as well.
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
		if member.state != queue.CheckedOut || member.evictOutcome != "" || w == nil || w.isDead {
			return false
		}
		if w.ended[attemptKey{member.key, member.attempt}] != nil || member.startedAt == 0 && (!w.hasAnnounced || w.isDraining) {
			return false
		}
	}
	return true
}

func (s *Scheduler) remoteDataMilli() int64 { return cmp.Or(s.bounds.GetAwayMilli(), 2000) }
