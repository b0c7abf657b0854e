package scheduler

import (
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	minStuckRun             = 2 * eventloop.Second  // a shorter run doesn't count as stuck
	stuckFactor             = 4                     // multiple of the expected run time after which a task is overdue
	similarRunWindow        = 10 * eventloop.Second // time within which another worker must have finished a similar task
	minStallTime            = eventloop.Second      // minimum time without progress for an overdue task to count as stuck
	minStallTimeBehindAgent = 3 * eventloop.Second  // the same for workers behind an agent, which samples progress only about once a second
	minFrozenTime           = 4 * eventloop.Second  // minimum time without progress for a task that isn't overdue to count as stuck, if it reports progress
	maxCountedStuckStops    = 10                    // more stops of a stuck task don't increase patienceFactor
)

// isStuck reports whether a task makes no progress on its worker while other workers
// finish similar tasks.
func (s *Scheduler) isStuck(now eventloop.Micros, w *worker, t *task, status *schema.TaskStatus) bool {
	if t.spec.RunUntilCancelled || t.startedAt == 0 || status.State != runStateRunning {
		return false
	}
	// The state of tasks on an unresponsive worker isn't known.
	if !w.isResponsive(now) {
		return false
	}
	key, _ := runtimeKeyOf(t)
	model := s.runtimeModels[key]
	if model == nil || model.count < minRuns {
		return false
	}
	expected := s.expectedRuntime(w, t)
	if !model.hasFinishedElsewhere(now, w.id, max(similarRunWindow, 2*expected)) {
		return false
	}
	// Members of a gang make no progress until all of them have begun.
	if t.spec.Gang && slices.ContainsFunc(s.gangMembers(t), func(member *task) bool { return member.startedAt == 0 }) {
		return false
	}
	// Each earlier stop doubles the allowed time, since some tasks simply are long.
	patienceFactor := eventloop.Micros(1) << min(t.stuckStops, maxCountedStuckStops)
	allowance := max(w.warmUpUntil-t.startedAt, 0) + eventloop.Micros(s.bounds.GetRestoreDelayUs())
	run := now - t.startedAt - allowance
	isOverdue := run > stuckFactor*expected*patienceFactor && run > minStuckRun
	if !w.usesTaskNames {
		stallTime := eventloop.Micros(status.IdleUs) + now - w.lastHeard
		return isOverdue && stallTime > minStallTime
	}
	stallTime := now - t.progressedAt
	isFrozen := stallTime > max(minFrozenTime, expected/4)*patienceFactor && run > max(minFrozenTime, expected)*patienceFactor
	return isFrozen || isOverdue && stallTime > minStallTimeBehindAgent
}
