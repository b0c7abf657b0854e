package scheduler

import (
	"cmp"
	"math"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	baseEjectionPeriod = 5 * eventloop.Second
	slowEjectionPeriod = 1500 * eventloop.Millisecond // of a worker that is slow: whether it still is shows soon
	slowProbationTasks = 3                            // at a time, that it is tried with
	maxEjectionPeriod  = 60 * eventloop.Second
	minStuckRun        = 2 * eventloop.Second
	stuckFactor        = 4
	similarRunWindow   = 10 * eventloop.Second
	minStillTime       = 3 * eventloop.Second        // without progress; an agent looks only now and then
	minFrozenTime      = 4 * eventloop.Second        // without progress, for tasks that tell it
	minJudgedRun       = 500 * eventloop.Millisecond // shorter runs say nothing of a worker's pace

	badFailureRatio       = 0.5  // of its runs a bad worker fails about so many
	minFailureRatio       = 0.01 // of the runs that sound workers fail is at least taken for granted
	failureRatioPriorRuns = 20   // runs that the least share counts as until there are more
	ejectionSuspicion     = 7.5  // evidence, as a logarithm, by which a worker is bad
	probationSuspicion    = 3.5  // the same for one that has been bad before
)

// quality is what a worker's runs so far say of it.
type quality struct {
	slowdown           float64 // decayed mean of how much longer its runs took, as a logarithm
	suspicion          float64 // evidence that it fails more than others, as a logarithm; never below 0
	lastFailed         taskKey // the task that failed here last
	outcomes           map[string]*outcomeCounts
	ejectedUntil       eventloop.Micros
	ejectionPeriod     eventloop.Micros // its latest rest
	isOnProbation      bool             // it has been set aside and hasn't shown itself sound since
	progress           progressMeter
	probationTasks     int // that it is tried with at a time
	probationSuccesses int // sound runs since
}

// outcomeCounts is decayed counts of a queue's tasks that ended on one worker.
type outcomeCounts struct{ succeeded, failed float64 }

// peerFailureRatio is the share of a queue's runs that fail on other workers.
func (s *Scheduler) peerFailureRatio(w *worker, queue string) float64 {
	good, bad := 0.0, 0.0
	for _, other := range s.sortedWorkers() {
		if other != w && other.outcomes[queue] != nil {
			good += other.outcomes[queue].succeeded
			bad += other.outcomes[queue].failed
		}
	}
	share := (bad + minFailureRatio*failureRatioPriorRuns) / (good + bad + failureRatioPriorRuns)
	return math.Min(math.Max(share, minFailureRatio), badFailureRatio)
}

// recordOutcome sets an end against how often the queue's tasks fail elsewhere: what
// fails by its own fault does so everywhere.
func (s *Scheduler) recordOutcome(w *worker, queue string, isFailed bool) {
	share := s.peerFailureRatio(w, queue)
	if w.outcomes == nil {
		w.outcomes = map[string]*outcomeCounts{}
	}
	own := w.outcomes[queue]
	if own == nil {
		own = &outcomeCounts{}
		w.outcomes[queue] = own
	}
	own.succeeded *= 0.98
	own.failed *= 0.98
	if isFailed {
		own.failed++
		w.suspicion += math.Log(badFailureRatio / share)
	} else {
		own.succeeded++
		w.suspicion = math.Max(0, w.suspicion+math.Log((1-badFailureRatio)/(1-share)))
	}
}

// runtimeKey names tasks whose runs can be compared: those of a queue by their
// estimates, others by their step.
type runtimeKey struct {
	queue, step string
}

// runtimeModel is how long such tasks take, as a line through the logarithms of their
// estimates (a second, where there is none) and of their runs, both in
// microseconds: rough estimates say less than what others took. What lies far
// off moves it little, so that one bad worker doesn't.
type runtimeModel struct {
	meanX, meanY, varianceX, covarianceXY float64 // decayed means, variance and covariance
	isEstimated                           bool
	count                                 int
	lastWorker, previousWorker            string // the latest two workers one ended on
	lastAt, previousAt                    eventloop.Micros
}

const (
	runtimeDecay       = 0.99
	minRuns            = 3
	estimatePriorRuns  = 5    // runs that the estimates themselves count as
	slopePriorVariance = 0.05 // the variance of estimates that goes with that
	maxDeviation       = 0.7  // how far off a run may move the line, as a logarithm
)

// receivedAt is where the line stands, for the logarithm of an estimate.
func (model *runtimeModel) predict(x float64) float64 {
	slope := math.Max(0, math.Min(1, (model.covarianceXY+slopePriorVariance)/(model.varianceX+slopePriorVariance)))
	line := model.meanY + slope*(x-model.meanX)
	if !model.isEstimated {
		return line
	}
	// The first to end are the short ones: they don't say much of the others.
	return line + (x-line)*estimatePriorRuns/float64(estimatePriorRuns+model.count)
}

// observe moves the line by one run.
func (model *runtimeModel) observe(x, y float64) {
	if model.count > 0 {
		y = math.Max(model.predict(x)-maxDeviation, math.Min(model.predict(x)+maxDeviation, y))
	}
	model.count++
	part := math.Max(1-runtimeDecay, 1/float64(model.count))
	dx, dy := x-model.meanX, y-model.meanY
	model.meanX += part * dx
	model.meanY += part * dy
	model.varianceX += part * (dx*(x-model.meanX) - model.varianceX)
	model.covarianceXY += part * (dx*(y-model.meanY) - model.covarianceXY)
}

func runtimeKeyOf(t *task) (runtimeKey, float64) {
	if t.spec.EstimatedRunUs > 0 {
		return runtimeKey{t.key.queue, ""}, float64(t.spec.EstimatedRunUs)
	}
	return runtimeKey{t.key.queue, t.spec.Name}, float64(eventloop.Second)
}

// expectedRuntime is how long a task should run on a worker; 0: unknown.
func (s *Scheduler) expectedRuntime(w *worker, t *task) eventloop.Micros {
	key, estimate := runtimeKeyOf(t)
	duration := estimate
	if model := s.runtimeModels[key]; model != nil && model.count >= minRuns {
		duration = math.Exp(model.predict(math.Log(estimate)))
	} else if t.spec.EstimatedRunUs == 0 {
		return 0
	}
	return eventloop.Micros(duration * s.remoteDataFactor(w, t.spec))
}

// remoteDataFactor is how many times as long a step's tasks take on this worker for want of
// their data.
func (s *Scheduler) remoteDataFactor(w *worker, spec *schema.Step) float64 {
	if spec.DataRack != "" && spec.DataRack != w.rack {
		return float64(s.remoteDataMilli()) / 1000
	}
	return 1
}

// remainingRuntime is how much longer a running task should take; what isn't known is
// taken to be long.
func (s *Scheduler) remainingRuntime(now eventloop.Micros, w *worker, t *task) eventloop.Micros {
	run := now - t.startedAt
	if t.percent >= 5 && run > 0 {
		return run * eventloop.Micros(max(100-t.percent, 0)) / eventloop.Micros(t.percent)
	}
	expected := s.expectedRuntime(w, t)
	if expected == 0 || t.spec.RunUntilCancelled {
		return math.MaxInt64 / 4
	}
	// What is overdue ends at any time, but not surely at once.
	return max(expected-run, run/10)
}

// recordEnd learns from a task's end.
func (s *Scheduler) recordEnd(now eventloop.Micros, w *worker, key attemptKey, note *schema.TaskStatus) {
	switch note.State {
	case "done":
		w.succeeded = w.succeeded*0.98 + 1
		w.failed *= 0.98
		s.recordOutcome(w, key.queue, false)
		t := w.tasks[key.taskKey]
		if w.isOnProbation && (t == nil || t.startedAt >= w.ejectedUntil) {
			if w.probationSuccesses++; w.probationSuccesses >= 2 {
				w.isOnProbation, w.probationSuccesses = false, 0
			}
		} else if !w.isOnProbation && w.ejectionPeriod > 0 {
			w.ejectionPeriod = w.ejectionPeriod * 9 / 10
		}
		if t != nil && t.attempt == key.attempt {
			s.recordRuntime(now, w, t, note)
			s.recordFinalProgress(now, w, t, note)
		}
	case "failed":
		w.failed = w.failed*0.98 + 1
		w.succeeded *= 0.98
		// A task that fails by its own fault does so again and again, here and
		// elsewhere, which says nothing of the worker.
		t := w.tasks[key.taskKey]
		if known := t != nil && t.failures > 0; !known && w.lastFailed != key.taskKey {
			s.recordOutcome(w, key.queue, true)
		}
		w.lastFailed = key.taskKey
	}
}

// recordRuntime sets a run against those of others.
func (s *Scheduler) recordRuntime(now eventloop.Micros, w *worker, t *task, note *schema.TaskStatus) {
	run := eventloop.Micros(note.RunUs)
	if from := cmp.Or(t.startedAt, t.orderedAt); run == 0 && from > 0 {
		run = now - from
	}
	if run <= 0 || t.spec.RunUntilCancelled || w.warmUpUntil > now-run {
		return
	}
	key, estimate := runtimeKeyOf(t)
	x, y := math.Log(estimate), math.Log(float64(run)/s.remoteDataFactor(w, t.spec))
	model := s.runtimeModels[key]
	if model == nil {
		if len(s.runtimeModels) > 4096 {
			s.runtimeModels = map[runtimeKey]*runtimeModel{}
		}
		model = &runtimeModel{isEstimated: key.step == ""}
		s.runtimeModels[key] = model
	}
	if run >= minJudgedRun && model.count >= minRuns {
		w.slowdown = 0.8*w.slowdown + 0.2*(y-model.predict(x))
	}
	model.observe(x, y)
	if model.lastWorker != w.id {
		model.previousWorker, model.previousAt = model.lastWorker, model.lastAt
	}
	model.lastWorker, model.lastAt = w.id, now
}

// hasFinishedElsewhere tells whether another worker has ended tasks like this one lately.
func (model *runtimeModel) hasFinishedElsewhere(now eventloop.Micros, worker string, duration eventloop.Micros) bool {
	if model.lastWorker != worker {
		return now-model.lastAt < duration
	}
	return model.previousWorker != "" && now-model.previousAt < duration
}

// isStuck tells whether a task stands still on its worker while others end what
// is like it.
func (s *Scheduler) isStuck(now eventloop.Micros, w *worker, t *task, note *schema.TaskStatus) bool {
	if t.spec.RunUntilCancelled || t.startedAt == 0 || note.State != "running" {
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
	if t.spec.Gang {
		for _, member := range s.gangMembers(t) {
			if member.startedAt == 0 {
				return false
			}
		}
	}
	// Each strike doubles the patience: some tasks just are long.
	patience := eventloop.Micros(1) << min(t.strikes, 10)
	allowance := max(w.warmUpUntil-t.startedAt, 0) + eventloop.Micros(s.bounds.GetRestoreUs())
	run := now - t.startedAt - allowance
	stillTime := eventloop.Micros(note.IdleUs) + now - w.lastHeard
	if w.usesNames {
		stillTime = now - t.progressedAt
		if stillTime > max(minFrozenTime, expected/4)*patience && run > max(minFrozenTime, expected)*patience {
			return true
		}
		return run > stuckFactor*expected*patience && run > minStuckRun && stillTime > minStillTime
	}
	return run > stuckFactor*expected*patience && run > minStuckRun && stillTime > eventloop.Second
}

// eject gives a worker a rest, twice as long as the one before, and at least
// so long; then it is tried with so many tasks at a time.
func (s *Scheduler) eject(now eventloop.Micros, w *worker, first eventloop.Micros, tasks int) {
	if now < w.ejectedUntil {
		w.ejectedUntil = max(w.ejectedUntil, now+first)
		return
	}
	// Where half of the workers look bad, it isn't the workers. Those that are
	// gone say nothing of it, though the cluster state still knows them.
	others, all := 0, 1
	for _, other := range s.workers {
		if other == w || !other.isResponsive(now) {
			continue
		}
		all++
		if other.isOnProbation {
			others++
		}
	}
	if 2*(others+1) > all {
		return
	}
	w.ejectionPeriod = min(max(2*w.ejectionPeriod, first), maxEjectionPeriod)
	w.ejectedUntil, w.isOnProbation, w.probationSuccesses, w.suspicion, w.probationTasks = now+w.ejectionPeriod, true, 0, 0, tasks
}

func failureRate(w *worker) float64 { return w.failed / (w.succeeded + w.failed + 2) }

// isResponsive tells whether a worker lives and has been heard lately.
func (w *worker) isResponsive(now eventloop.Micros) bool {
	return w.hasAnnounced && !w.isDead && now-w.lastHeard <= unresponsiveTimeout
}

// isSuspicious tells whether a worker fails far more than others.
func (w *worker) isSuspicious() bool {
	if w.isOnProbation {
		return w.suspicion >= probationSuspicion
	}
	return w.suspicion >= ejectionSuspicion
}
