package scheduler

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	// minStopTimeout is how long preemption waits for a stop at least.
	minStopTimeout = 3 * eventloop.Second
	// departureStopLead is how long before its worker departs a task is stopped to
	// save a checkpoint.
	departureStopLead = 500 * eventloop.Millisecond
)

// evict has a task stopped; the outcome is what its end will be reported as.
func (s *Scheduler) evict(t *task, outcome string) {
	t.evictOutcome = outcome
	if w := s.workers[t.worker]; w != nil {
		w.needsResponse, w.isUsageStale = true, true
	}
}

// enforceLimits evicts those of a worker's tasks that have run too long, stand
// still, can't finish before the worker departs, or wait in a gang that doesn't
// come together.
func (s *Scheduler) enforceLimits(now eventloop.Micros, w *worker) {
	for key, status := range w.running {
		if t := w.taskForAttempt(key); t != nil && t.evictOutcome == "" {
			s.enforceRunLimits(now, w, t, status)
		}
	}
	for _, t := range w.tasks {
		s.watchStop(now, w, t)
		if t.spec.Gang {
			s.enforceGangLimits(now, w, t)
		}
	}
}

// enforceRunLimits evicts a task that its worker has, by what is reported of its run.
func (s *Scheduler) enforceRunLimits(now eventloop.Micros, w *worker, t *task, status *schema.TaskStatus) {
	if status.State == runStateRunning && s.exceedsLimits(now, w, t, status) {
		s.evict(t, outcomeFailed)
	}
	if !t.isActive() {
		return
	}
	if s.isStuck(now, w, t, status) {
		s.evictStuck(now, w, t)
	} else if s.mustCheckpoint(now, w, t) {
		s.evictWithGang(t, outcomeStopped)
	}
}

// enforceGangLimits evicts a member of a gang that doesn't come together.
func (s *Scheduler) enforceGangLimits(now eventloop.Micros, w *worker, t *task) {
	if w.hasBarrier {
		s.breakUpGang(now, t)
	} else if t.isHeldTooLong(now) {
		s.evict(t, outcomeStopped)
	}
}

// exceedsLimits reports whether a run is over the time limit, or over the limit on
// time without progress, of its step or else of its queue.
func (s *Scheduler) exceedsLimits(now eventloop.Micros, w *worker, t *task, status *schema.TaskStatus) bool {
	limitOf := func(stepLimit int64, queueKey string) int64 {
		if stepLimit > 0 {
			return stepLimit
		}
		return s.config.Number("queue", t.key.queue, queueKey) * int64(eventloop.Millisecond)
	}
	age := int64(now - w.lastHeard) // of the status
	runLimit, stallLimit := limitOf(t.spec.TimeLimitUs, "limit_ms"), limitOf(t.spec.StallTimeoutUs, "still_ms")
	return runLimit > 0 && status.RunUs+age > runLimit || stallLimit > 0 && status.IdleUs+age > stallLimit
}

// evictStuck stops a task that stands still on this worker, which may be why.
func (s *Scheduler) evictStuck(now eventloop.Micros, w *worker, t *task) {
	t.stuckStops++
	if t.spec.Gang {
		for _, member := range s.gangMembers(t) {
			member.stuckStops = max(member.stuckStops, t.stuckStops)
		}
	}
	s.evictWithGang(t, outcomeStopped)
	s.eject(now, w, baseEjectionPeriod, 1)
}

// mustCheckpoint reports whether a task must be stopped now to save a checkpoint
// before its worker departs. What saves none may as well run on.
func (s *Scheduler) mustCheckpoint(now eventloop.Micros, w *worker, t *task) bool {
	return w.isDraining && w.departsAt > 0 && t.spec.Checkpoints &&
		now+departureStopLead >= w.departsAt && now+s.remainingRuntime(now, w, t) > w.departsAt
}

// watchStop marks a stop that takes too long, so that preemption counts on its
// resources no longer.
func (s *Scheduler) watchStop(now eventloop.Micros, w *worker, t *task) {
	if !t.isStopping() {
		return
	}
	if t.stopRequestedAt == 0 {
		t.stopRequestedAt = now
	}
	if !t.isStopOverdue && now-t.stopRequestedAt > s.stopTimeout() {
		t.isStopOverdue, w.isUsageStale = true, true
	}
}

// stopTimeout is how long preemption waits for a stop.
func (s *Scheduler) stopTimeout() eventloop.Micros {
	return max(2*eventloop.Micros(s.bounds.GetStopTimeoutUs()), minStopTimeout)
}

// exceedsHold reports whether a member of a gang has been held for too long. Once
// the gang's start has been proposed, only the log knows what becomes of it.
func (t *task) isHeldTooLong(now eventloop.Micros) bool {
	return t.isActive() && !t.isGangStarted && now-t.stateSince > gangHoldTimeout &&
		(t.gangStartProposedAt == 0 || now-t.gangStartProposedAt > gangHoldTimeout)
}
