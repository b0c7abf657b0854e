package scheduler

import (
	"math"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
)

// deadlineFeasibility is whether a job can still meet its queue's latency target.
// Of a queue's work that goes first which can: while there is more to do than capacity, work that
// is late anyway would make late what follows it. What has missed its target by far goes after
// the work of all queues.
type deadlineFeasibility int

const (
	boosted deadlineFeasibility = iota // it would starve: see starvation.go
	onTime
	late       // it misses the target, but by less than lateFactor, and much of it is left
	infeasible // it misses the target by far
	feasibilityClasses
)

const (
	lateFactor            = 3   // times the target, up to which a job is merely late
	estimateTolerance     = 1.2 // estimates are rough
	nearlyDoneRatio       = 0.5 // of the critical path: late work with no more left goes with what is on time
	infeasibleUtilization = 0.6 // infeasible work is placed up to this utilization
	waveFraction          = 4   // a step is assumed to get at most 1/4 of all cores at a time
)

// criticalPath is the longest path through a round of a job, and that from one step
// on, itself first.
type criticalPath struct{ wholeRound, remaining []queue.PathStep }

// latencyTarget is how long a round of a queue's jobs should take at most: stretch
// times its critical path, and slack besides.
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

// estimateDuration is how long a path should take where no step has more milli
// cores at once than cores (0: any number); wider steps go in waves. A step takes as long
// as the longest of its tasks. Steps without an estimate count as 0.
func (s *Scheduler) estimateDuration(name string, path []queue.PathStep, cores int64) (total eventloop.Micros) {
	model := s.runtimeModels[runtimeKey{name, ""}]
	for _, leg := range path {
		total += model.estimateLeg(leg, cores)
	}
	return total
}

// estimateTask is the estimate for one task of a step.
func (s *Scheduler) estimateTask(name string, leg queue.PathStep) eventloop.Micros {
	leg.Tasks = 1
	return s.runtimeModels[runtimeKey{name, ""}].estimateLeg(leg, 0)
}

// ownDuration is how long a task should take by itself; 0: it has no estimate.
func (s *Scheduler) ownDuration(q *queueView, t *task) eventloop.Micros {
	if len(t.remaining) == 0 {
		return 0
	}
	return s.estimateTask(q.name, t.remaining[0])
}

// estimateLeg is the estimate for one step of a path; a nil model knows no runs.
func (m *runtimeModel) estimateLeg(leg queue.PathStep, cores int64) eventloop.Micros {
	if leg.EstimateUs <= 0 {
		return 0
	}
	duration := float64(leg.EstimateUs)
	if m != nil && m.count >= minRuns {
		duration = math.Exp(m.predict(math.Log(duration))) * m.longestToTypicalRatio(leg.Tasks)
	}
	if cores > 0 {
		duration *= math.Ceil(math.Max(1, float64(leg.CoresMilli)/float64(cores)))
	}
	return eventloop.Micros(duration)
}

// remainingLeg is a task's own step on the critical path, of which only unended tasks are left.
func (q *queueView) remainingLeg(t *task) queue.PathStep {
	leg := t.remaining[0]
	if progress := q.stepProgress[t.key.stepKey()]; progress != nil {
		leg.Tasks = int64(progress.unended)
		leg.CoresMilli = leg.CoresMilli * leg.Tasks / max(int64(t.spec.Tasks), 1)
	}
	return leg
}

// feasibilityOf tells whether a task's job can still meet the latency target.
func (s *Scheduler) feasibilityOf(now eventloop.Micros, q *queueView, t *task) deadlineFeasibility {
	if t.spec.RunUntilCancelled || len(t.remaining) == 0 {
		return onTime
	}
	allowed := s.allowedDuration(q, t)
	if allowed == 0 {
		return onTime
	}
	model, rest := s.runtimeModels[runtimeKey{q.name, ""}], s.estimateDuration(q.name, t.remaining[1:], 0)
	remaining := model.estimateLeg(q.remainingLeg(t), 0) + rest
	if t.state == queue.CheckedOut && t.startedAt > 0 {
		if w := s.workers[t.worker]; w != nil {
			remaining = min(remaining, s.remainingRuntime(now, w, t)+rest)
		}
	}
	switch end := float64(now + remaining - t.roundDueAt); {
	case end <= allowed:
		return onTime
	case end <= lateFactor*allowed:
		if float64(remaining) <= nearlyDoneRatio*float64(s.estimateDuration(q.name, t.wholeRound, 0)) {
			return onTime
		}
		return late
	}
	return infeasible
}

// allowedDuration is how long, in µs, the round of a task's job may take to meet the latency
// target; 0: it has no estimates.
func (s *Scheduler) allowedDuration(q *queueView, t *task) float64 {
	duration := s.estimateDuration(q.name, t.wholeRound, s.candidateCores/waveFraction)
	if duration == 0 {
		return 0
	}
	return estimateTolerance * (q.stretch*float64(duration) + float64(q.slack))
}

// infeasibleBudget is how many milli cores infeasible work may still take.
func infeasibleBudget(candidates []*candidate) int {
	free, total := int64(0), int64(0)
	for _, c := range candidates {
		free += c.free.cores
		total += c.worker.cores
	}
	return int(free) - int((1-infeasibleUtilization)*float64(total))
}
