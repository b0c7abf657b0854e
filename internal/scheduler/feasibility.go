package scheduler

import (
	"math"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
)

// deadlineFeasibility classifies work by whether its job can still meet the latency target of its
// queue. Within a queue, work that can meet the target goes first: while there is more work than
// capacity, work that is late anyway would make the work behind it late, too. Work that has missed
// its target by far goes after the work of all queues.
type deadlineFeasibility int

const (
	boosted deadlineFeasibility = iota // placed first because it would starve: see starvation.go
	onTime
	late       // misses the target, but by less than lateFactor, and much of it is left
	infeasible // misses the target by far
	feasibilityClasses
)

const (
	lateFactor            = 3   // a job that takes up to this many times the target is late, beyond that infeasible
	estimateTolerance     = 1.2 // targets are multiplied by this, because estimates are rough
	nearlyDoneRatio       = 0.5 // late work with at most this part of the critical path left counts as on time
	infeasibleUtilization = 0.6 // infeasible work is placed up to this utilization of the pool
	waveFraction          = 4   // a step is assumed to get at most 1/waveFraction of all cores at a time
)

// criticalPath holds the longest path through a round of a job, and the longest path from one step
// to the end of the round, that step included.
type criticalPath struct{ roundPath, remainingPath []queue.PathStep }

// latencyTarget defines how long a round of a queue's jobs should take at most: stretch times the
// duration of its critical path, plus slack.
type latencyTarget struct {
	stretch float64
	slack   eventloop.Micros
}

func (s *Scheduler) latencyTargetOf(queueName string) latencyTarget {
	return latencyTarget{
		stretch: float64(s.config.Number("queue", queueName, "stretch_milli")) / 1000,
		slack:   eventloop.Micros(s.config.Number("queue", queueName, "target_ms")) * eventloop.Millisecond,
	}
}

// estimateDuration returns how long a path should take if each step uses at most maxCores milli
// cores at a time (0: any number); wider steps run in waves. A step takes as long as the longest of
// its tasks. Steps without an estimate count as 0.
func (s *Scheduler) estimateDuration(queueName string, path []queue.PathStep, maxCores int64) (total eventloop.Micros) {
	model := s.runtimeModels[runtimeKey{queueName, ""}]
	for _, pathStep := range path {
		total += model.estimateStep(pathStep, maxCores)
	}
	return total
}

// estimateTask returns the estimated run time of one task of a step.
func (s *Scheduler) estimateTask(queueName string, pathStep queue.PathStep) eventloop.Micros {
	pathStep.Tasks = 1
	return s.runtimeModels[runtimeKey{queueName, ""}].estimateStep(pathStep, 0)
}

// ownDuration returns the estimated run time of a task alone, without the steps that follow it. It
// returns 0 if the task has no estimate.
func (s *Scheduler) ownDuration(q *queueView, t *task) eventloop.Micros {
	if len(t.remainingPath) == 0 {
		return 0
	}
	return s.estimateTask(q.name, t.remainingPath[0])
}

// estimateStep returns the estimated duration of one step of a path. The model is nil while no runs
// are known.
func (m *runtimeModel) estimateStep(pathStep queue.PathStep, maxCores int64) eventloop.Micros {
	if pathStep.EstimateUs <= 0 {
		return 0
	}
	duration := float64(pathStep.EstimateUs)
	if m != nil && m.count >= minRuns {
		duration = math.Exp(m.predict(math.Log(duration))) * m.longestToTypicalRatio(pathStep.Tasks)
	}
	if maxCores > 0 {
		duration *= math.Ceil(math.Max(1, float64(pathStep.CoresMilli)/float64(maxCores)))
	}
	return eventloop.Micros(duration)
}

// remainingStep returns a task's own step on the critical path, reduced to the tasks that haven't
// ended.
func (q *queueView) remainingStep(t *task) queue.PathStep {
	pathStep := t.remainingPath[0]
	if progress := q.stepProgress[t.key.stepKey()]; progress != nil {
		pathStep.Tasks = int64(progress.unended)
		pathStep.CoresMilli = pathStep.CoresMilli * pathStep.Tasks / max(int64(t.spec.Tasks), 1)
	}
	return pathStep
}

// feasibilityOf returns the feasibility class of a task, without regard to boosting.
func (s *Scheduler) feasibilityOf(now eventloop.Micros, q *queueView, t *task) deadlineFeasibility {
	if t.spec.RunUntilCancelled || len(t.remainingPath) == 0 {
		return onTime
	}
	allowed := s.allowedDuration(q, t)
	if allowed == 0 {
		return onTime
	}
	model, laterDuration := s.runtimeModels[runtimeKey{q.name, ""}], s.estimateDuration(q.name, t.remainingPath[1:], 0)
	remaining := model.estimateStep(q.remainingStep(t), 0) + laterDuration
	if t.state == queue.CheckedOut && t.startedAt > 0 {
		if w := s.workers[t.worker]; w != nil {
			remaining = min(remaining, s.remainingRuntime(now, w, t)+laterDuration)
		}
	}
	switch end := float64(now + remaining - t.roundDueAt); {
	case end <= allowed:
		return onTime
	case end <= lateFactor*allowed:
		if float64(remaining) <= nearlyDoneRatio*float64(s.estimateDuration(q.name, t.roundPath, 0)) {
			return onTime
		}
		return late
	}
	return infeasible
}

// allowedDuration returns how long, in µs, the round of a task's job may take to meet the latency
// target, multiplied by estimateTolerance. It returns 0 if the round has no estimates.
func (s *Scheduler) allowedDuration(q *queueView, t *task) float64 {
	duration := s.estimateDuration(q.name, t.roundPath, s.candidateCores/waveFraction)
	if duration == 0 {
		return 0
	}
	return estimateTolerance * (q.stretch*float64(duration) + float64(q.slack))
}

// infeasibleBudget returns how many milli cores infeasible work may still take until the utilization
// of the pool reaches infeasibleUtilization.
func infeasibleBudget(candidates []*candidate) int {
	free, total := int64(0), int64(0)
	for _, c := range candidates {
		free += c.free.cores
		total += c.worker.cores
	}
	return int(free) - int((1-infeasibleUtilization)*float64(total))
}
