package scheduler

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
)

// mostEndedRatio is the part of a step's tasks after whose ends the rest are its stragglers.
const mostEndedRatio = 0.95

// stepProgress is how far the tasks of one step have come, by the events of its queue. It
// exists while a task of the step is ready or checked out.
type stepProgress struct {
	unended       int // tasks that haven't ended
	isTracked     bool
	readyAt       eventloop.Micros // the first task became ready
	firstPlacedAt eventloop.Micros // 0: none was
	lastPlacedAt  eventloop.Micros
	mostEndedAt   eventloop.Micros // mostEndedRatio of the tasks had ended; 0: not yet
	rerunCounts
	runs runSample // of tasks that were done
}

// rerunCounts are attempts that were followed by another, by how they ended.
type rerunCounts struct{ Failed, Stopped, Lost int }

func (c *rerunCounts) add(other rerunCounts) {
	c.Failed += other.Failed
	c.Stopped += other.Stopped
	c.Lost += other.Lost
}

// countUnended adds to the number of a step's tasks that haven't ended.
func (q *queueView) countUnended(key stepKey, delta int) {
	progress := q.stepProgress[key]
	if progress == nil {
		progress = &stepProgress{}
		q.stepProgress[key] = progress
	}
	progress.unended += delta
}

// trackChange takes in that a task is in another state than before; before is nil for a task
// that the view didn't have.
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

// sampleRun takes in the run time, as a logarithm, of a task that is done. The members of a
// gang end together.
func (q *queueView) sampleRun(t *task, logRuntime float64) {
	if progress := q.stepProgress[t.key.stepKey()]; progress != nil && !t.spec.Gang {
		progress.runs.add(logRuntime)
	}
}

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

// trackEnd takes in that a task, which the view no longer has, has ended. With the step's last
// one the step is added to the report of its queue, and forgotten.
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
