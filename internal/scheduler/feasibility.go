package scheduler

import (
	"math"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
)

// feasibility is what a job can still be ended by. Work that comes in time goes
// first, whatever its queue: while there is more to do than room, what is late
// anyhow would else make late what follows it.
type deadlineFeasibility int

const (
	onTime     deadlineFeasibility = iota
	late                           // it misses its aim, but not by far
	infeasible                     // by far
)

const (
	lateFactor            = 3   // so many times its aim a job is worth having at all
	estimateTolerance     = 1.2 // estimates are rough
	infeasibleUtilization = 0.6 // what is lost is begun while less of the room than this is in use
)

// criticalPath is the longest way through a round, and that from a step on, itself
// first.
type criticalPath struct{ wholeRound, remaining []queue.PathStep }

// latencyTarget is how long a queue's jobs should take at most: so many times their
// longest way, and so much besides.
type latencyTarget struct {
	stretch float64
	slack   eventloop.Micros
}

func (s *Scheduler) latencyTargetOf(name string) latencyTarget {
	return latencyTarget{
		stretch: float64(s.config.Number("queue", name, "stretch_milli")) / 1000,
		slack:   eventloop.Micros(s.config.Number("queue", name, "target_ms")) * eventloop.Millisecond,
	}
}

// estimateDuration is how long a way should take, where no step may have more cores at
// once than so many (0: any number); what is wider goes in waves.
func (s *Scheduler) estimateDuration(name string, path []queue.PathStep, cores int64) (total eventloop.Micros) {
	model := s.runtimeModels[runtimeKey{name, ""}]
	for _, each := range path {
		if each.EstimateUs <= 0 {
			continue
		}
		duration := float64(each.EstimateUs)
		if model != nil && model.count >= minRuns {
			duration = math.Exp(model.predict(math.Log(duration)))
		}
		if cores > 0 {
			duration *= math.Ceil(math.Max(1, float64(each.CoresMilli)/float64(cores)))
		}
		total += eventloop.Micros(duration)
	}
	return total
}

// feasibilityOf tells what a task's job can still come to.
func (s *Scheduler) feasibilityOf(now eventloop.Micros, q *queueView, t *task) deadlineFeasibility {
	if t.spec.RunUntilCancelled || len(t.remaining) == 0 {
		return onTime
	}
	duration := s.estimateDuration(q.name, t.wholeRound, s.candidateCores/wideFraction)
	if duration == 0 {
		return onTime
	}
	remaining := s.estimateDuration(q.name, t.remaining, 0)
	if t.state == queue.CheckedOut && t.startedAt > 0 {
		if w := s.workers[t.worker]; w != nil {
			remaining = min(remaining, s.remainingRuntime(now, w, t)+s.estimateDuration(q.name, t.remaining[1:], 0))
		}
	}
	allowed := estimateTolerance * (q.stretch*float64(duration) + float64(q.slack))
	switch end := float64(now + remaining - t.roundDueAt); {
	case end <= allowed:
		return onTime
	case end <= lateFactor*allowed:
		return late
	}
	return infeasible
}
