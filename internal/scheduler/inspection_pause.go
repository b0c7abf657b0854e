package scheduler

import "sparnotch/internal/eventloop"

// An inspection of a worker by its agent costs time on both sides. Tasks that run at the same
// time end one by one, so an inspection right after each end would mean one inspection for
// nearly every task. So the scheduler tells the agent how long to pause after it has seen ends.
// The pause is a small part of the time that the jobs' latency targets leave beyond the jobs' own
// duration, and it is 0 where work waits for the capacity that the ends free.

const (
	spareTimeRatio     = 0.2                         // fraction of the time left by a latency target that all pauses of a job may take together
	maxInspectionPause = 400 * eventloop.Millisecond // upper limit of every pause
)

// inspectionPause returns how long the agent may wait, after an inspection that listed newly ended tasks,
// before it inspects the worker again.
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

// spareTime returns the share of one step in the time that its job may spend waiting for inspections.
func (s *Scheduler) spareTime(q *queueView, t *task) eventloop.Micros {
	duration := eventloop.Micros(0)
	for _, step := range t.roundPath {
		duration += s.estimateTask(q.name, step)
	}
	if duration == 0 {
		return maxInspectionPause
	}
	spare := (q.stretch-1)*float64(duration) + float64(q.slack)
	return eventloop.Micros(max(0, spareTimeRatio*spare/float64(len(t.roundPath))))
}
