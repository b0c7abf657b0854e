package scheduler

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
)

// mostEndedRatio is the fraction of a step's tasks after whose end the remaining tasks count as
// stragglers.
const mostEndedRatio = 0.95

// stepProgress tracks the tasks of one step by the events of its queue. It exists while a task
// of the step is ready or checked out.
type stepProgress struct {
	unended       int              // number of tasks that haven't ended
	isTracked     bool             // an event of the step was seen, so that readyAt is set
	readyAt       eventloop.Micros // when the first event of the step was seen, usually of its first ready task
	firstPlacedAt eventloop.Micros // 0: no task was placed
	lastPlacedAt  eventloop.Micros
	mostEndedAt   eventloop.Micros // when mostEndedRatio of the tasks had ended; 0: not yet
	rerunCounts
	runs runSample // run times of tasks that were done
}

// rerunCounts counts the attempts that were followed by another attempt, by how they ended.
type rerunCounts struct{ Failed, Stopped, Lost int }

func (c *rerunCounts) add(other rerunCounts) {
	c.Failed += other.Failed
	c.Stopped += other.Stopped
	c.Lost += other.Lost
}

// countUnended adds delta to the number of a step's tasks that haven't ended.
func (q *queueView) countUnended(key stepKey, delta int) {
	progress := q.stepProgress[key]
	if progress == nil {
		progress = &stepProgress{}
		q.stepProgress[key] = progress
	}
	progress.unended += delta
}

// trackChange records that a task has changed its state from before to t; before is nil for a
// task that the view didn't have.
func (q *queueView) trackChange(now eventloop.Micros, before, t *task) {
	progress := q.stepProgress[t.key.stepKey()]
	if !progress.isTracked {
		progress.isTracked, progress.readyAt = true, now
	}
	switch {
	case t.state == queue.CheckedOut && (before == nil || before.state == queue.Ready):
		if progress.firstPlacedAt == 0 {
			progress.firstPlacedAt = now
		}
		progress.lastPlacedAt = now
	case t.state == queue.Ready && before != nil && before.state != queue.Ready:
		progress.countRerun(before, t)
	}
}

// sampleRun records the logarithm of the run time of a task that is done. Members of a gang don't
// count, since they end together.
func (q *queueView) sampleRun(t *task, logRuntime float64) {
	if progress := q.stepProgress[t.key.stepKey()]; progress != nil && !t.spec.Gang {
		progress.runs.add(logRuntime)
	}
}

// countRerun counts an attempt that has ended and left its task ready again.
func (p *stepProgress) countRerun(before, t *task) {
	switch {
	case t.failures > before.failures:
		p.Failed++
	case t.isLost && !before.isLost:
		p.Lost++
	default:
		p.Stopped++
	}
}

// trackEnd records the end of a task, which the view no longer has. When it was the last task of
// its step, the step is added to the report of its queue and forgotten.
func (s *Scheduler) trackEnd(now eventloop.Micros, q *queueView, t *task) {
	progress := q.stepProgress[t.key.stepKey()]
	if progress == nil {
		return
	}
	if progress.mostEndedAt == 0 && float64(progress.unended) <= (1-mostEndedRatio)*float64(t.spec.Tasks) {
		progress.mostEndedAt = now
	}
	if progress.unended > 0 {
		return
	}
	delete(q.stepProgress, t.key.stepKey())
	key, _ := runtimeKeyOf(t)
	if model := s.runtimeModels[key]; model != nil {
		model.spread.observe(progress.runs)
	}
	if progress.isTracked {
		s.reportStep(now, q, t, progress)
	}
}
