package scheduler

import (
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	minStuckRun             = 2 * eventloop.Second  // shorter runs aren't stuck
	stuckFactor             = 4                     // times the expected runtime, that a stuck task has run
	similarRunWindow        = 10 * eventloop.Second // in which another worker must have finished a similar task
	minStallTime            = eventloop.Second      // minimum time without progress for a task to count as stuck
	minStallTimeBehindAgent = 3 * eventloop.Second  // the same for workers behind an agent, which samples progress only about once a second
	minFrozenTime           = 4 * eventloop.Second  // without progress, that suffices for tasks which report it
	maxCountedStuckStops    = 10                    // that count
)

// isStuck reports whether a task stands still on its worker while others finish
// similar ones.
func (s *Scheduler) isStuck(now eventloop.Micros, w *worker, t *task, status *schema.TaskStatus) bool {
	if t.spec.RunUntilCancelled || t.startedAt == 0 || status.State != runStateRunning {
		return false
	}
	// Of a worker that can't be heard it isn't known what its tasks do.
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
	// Members of a gang wait for each other to begin.
	if t.spec.Gang && slices.ContainsFunc(s.gangMembers(t), func(member *task) bool { return member.startedAt == 0 }) {
		return false
	}
	// Each strike doubles the patience: some tasks just are long.
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
