package scheduler

import "sparnotch/internal/eventloop"

// Each inspection of a worker by its agent costs something on both sides. Tasks that run
// beside each other end one at a time: to ask again at once after each end would take an
// inspection for nearly every task. So the scheduler tells the agent how long more ends may
// wait: little beside what the jobs' latency targets leave besides the jobs' own duration,
// and not at all where work waits for the capacity that the ends free.

const (
	spareTimeRatio     = 0.2                         // of what a latency target leaves, for all steps of a job together
	maxInspectionPause = 400 * eventloop.Millisecond // in any case
)

// inspectionPause is how long a worker needn't be inspected after ends were seen.
func (s *Scheduler) inspectionPause(w *worker) eventloop.Micros {
	if s.starvedPools[w.pool] {
		return 0
	}
	pause := maxInspectionPause
	for _, t := range w.tasks {
		if q := s.queues[t.key.queue]; q != nil && !t.spec.RunUntilCancelled {
			pause = min(pause, s.spareTime(q, t))
		}
	}
	return pause
}

// spareTime is a step's part of the time that its job may spend on waiting for inspections.
func (s *Scheduler) spareTime(q *queueView, t *task) eventloop.Micros {
	duration := eventloop.Micros(0)
	for _, step := range t.wholeRound {
		duration += s.estimateTask(q.name, step)
	}
	if duration == 0 {
		return maxInspectionPause
	}
	spare := (q.stretch-1)*float64(duration) + float64(q.slack)
	return eventloop.Micros(max(0, spareTimeRatio*spare/float64(len(t.wholeRound))))
}
