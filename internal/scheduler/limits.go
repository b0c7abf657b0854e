package scheduler

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	// minStopTimeout is the minimum of stopTimeout.
	minStopTimeout = 3 * eventloop.Second
	// departureStopLead is the time before a worker's departure at which a task is
	// stopped so that it saves a checkpoint.
	departureStopLead = 500 * eventloop.Millisecond
)

// evict orders the stop of a task. Its end will be reported to its queue with the given outcome.
func (s *Scheduler) evict(t *task, outcome string) {
	t.evictOutcome = outcome
	if w := s.workers[t.worker]; w != nil {
		s.requestResponse(w)
		w.isUsageStale = true
	}
}

// enforceLimits evicts those tasks of a worker that have run too long, are stuck, can't
// finish before the worker departs, or wait too long for the other members of their gang.
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

// enforceRunLimits evicts a task if the reported status of its run exceeds a limit.
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

// enforceGangLimits evicts a member of a gang that has waited too long for the other members.
func (s *Scheduler) enforceGangLimits(now eventloop.Micros, w *worker, t *task) {
	if w.hasBarrier {
		s.stopBrokenGang(now, t)
	} else if t.isHeldTooLong(now) {
		s.evict(t, outcomeStopped)
	}
}

// exceedsLimits reports whether a run exceeds its limit on run time or its limit on time
// without progress. A limit of the step takes precedence over that of the queue.
func (s *Scheduler) exceedsLimits(now eventloop.Micros, w *worker, t *task, status *schema.TaskStatus) bool {
	limitOf := func(stepLimit int64, queueKey string) int64 {
		if stepLimit > 0 {
			return stepLimit
		}
		return s.config.Number("queue", t.key.queue, queueKey) * int64(eventloop.Millisecond)
	}
	age := int64(now - w.lastHeard) // age of the status
	runLimit, stallLimit := limitOf(t.spec.TimeLimitUs, "limit_ms"), limitOf(t.spec.StallTimeoutUs, "still_ms")
	return runLimit > 0 && status.RunUs+age > runLimit || stallLimit > 0 && status.IdleUs+age > stallLimit
}

// evictStuck stops a stuck task and ejects its worker, which may be the cause.
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
// before its worker departs. A task that saves no checkpoints gains nothing by a stop.
func (s *Scheduler) mustCheckpoint(now eventloop.Micros, w *worker, t *task) bool {
	return w.isDraining && w.departsAt > 0 && t.spec.Checkpoints &&
		now+departureStopLead >= w.departsAt && now+s.remainingRuntime(now, w, t) > w.departsAt
}

// watchStop marks a stop that takes too long, so that preemption no longer counts on the
// resources that the stop will free.
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

// stopTimeout returns the time for which preemption waits for a stop.
func (s *Scheduler) stopTimeout() eventloop.Micros {
	return max(2*eventloop.Micros(s.bounds.GetStopTimeoutUs()), minStopTimeout)
}

// isHeldTooLong reports whether a member of a gang has waited for the gang's start for
// longer than gangHoldTimeout. After a proposal of the start it waits as long again, since
// the proposal may still be committed.
func (t *task) isHeldTooLong(now eventloop.Micros) bool {
	return t.isActive() && !t.isGangStarted && now-t.stateSince > gangHoldTimeout &&
		(t.gangStartProposedAt == 0 || now-t.gangStartProposedAt > gangHoldTimeout)
}
