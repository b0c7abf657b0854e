package scheduler

import (
	"cmp"
	"math"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	minRuns             = 3                           // that a model predicts from
	minJudgedRuntime    = 500 * eventloop.Millisecond // shorter runs say nothing of a worker's speed
	maxRuntimeModels    = 4096                        // past which all are forgotten
	runtimeDecay        = 0.99                        // of a model, per run
	estimatePriorRuns   = 5                           // runs that the estimates themselves count as
	slopePriorVariance  = 0.05                        // the variance of estimates that goes with a slope of 1
	maxDeviation        = 0.7                         // how far off a run may move the line, as a logarithm
	spreadPriorRuns     = 5                           // runs of equal length that a spread begins with
	minTrustedPercent   = 5                           // from which a task's progress tells its remaining runtime
	slowdownDecay       = 0.8                         // of a worker's slowdown, per run
	unknownRuntime      = math.MaxInt64 / 4           // longer than anything
	defaultRemoteFactor = 2000                        // thousandths; see remoteDataFactor
	defaultEstimate     = eventloop.Second            // of steps without one
)

// runtimeKey names tasks whose runs can be compared: those of a queue that have
// estimates, and others by the name of their step.
type runtimeKey struct {
	queue, step string
}

// runtimeKeyOf also returns the task's estimate in microseconds.
func runtimeKeyOf(t *task) (runtimeKey, float64) {
	if t.spec.EstimatedRunUs > 0 {
		return runtimeKey{t.key.queue, ""}, float64(t.spec.EstimatedRunUs)
	}
	return runtimeKey{t.key.queue, t.spec.Name}, float64(defaultEstimate)
}

// runtimeModel predicts how long tasks run, by a linear regression of the logarithm
// of their runtimes on that of their estimates, both in microseconds: estimates are
// rough and say less than what other tasks took. Outliers move the line little, so
// that one bad worker doesn't.
type runtimeModel struct {
	meanX, meanY, varianceX, covarianceXY float64 // decayed
	isEstimated                           bool
	count                                 int
	spread                                spreadModel
	lastWorker, previousWorker            string // the latest two workers on which one finished
	lastFinishAt, previousFinishAt        eventloop.Micros
}

// predict returns the logarithm of the runtime for that of an estimate.
func (m *runtimeModel) predict(x float64) float64 {
	slope := math.Max(0, math.Min(1, (m.covarianceXY+slopePriorVariance)/(m.varianceX+slopePriorVariance)))
	line := m.meanY + slope*(x-m.meanX)
	if !m.isEstimated {
		return line
	}
	// The first to finish are the short ones: they say little of the others.
	return line + (x-line)*estimatePriorRuns/float64(estimatePriorRuns+m.count)
}

// observe moves the line by one run.
func (m *runtimeModel) observe(x, y float64) {
	if m.count > 0 {
		y = math.Max(m.predict(x)-maxDeviation, math.Min(m.predict(x)+maxDeviation, y))
	}
	m.count++
	weight := math.Max(1-runtimeDecay, 1/float64(m.count))
	dx, dy := x-m.meanX, y-m.meanY
	m.meanX += weight * dx
	m.meanY += weight * dy
	m.varianceX += weight * (dx*(x-m.meanX) - m.varianceX)
	m.covarianceXY += weight * (dx*(y-m.meanY) - m.covarianceXY)
}

// longestOf is how many times as long as a typical run the longest of a step's tasks should take.
func (m *runtimeModel) longestToTypicalRatio(tasks int64) float64 {
	if tasks <= 1 || m.spread.variance == 0 {
		return 1
	}
	return math.Exp(medianLargestNormal(tasks) * math.Sqrt(m.spread.variance))
}

// largestQuantiles are the values of largestQuantile for few tasks, as steps have them.
var medianLargestNormals = func() (medians [1024]float64) {
	for tasks := 1; tasks < len(medians); tasks++ {
		medians[tasks] = computeMedianLargestNormal(int64(tasks))
	}
	return medians
}()

// largestQuantile is the median of the largest of so many draws of the standard normal
// distribution.
func medianLargestNormal(tasks int64) float64 {
	if tasks < int64(len(medianLargestNormals)) {
		return medianLargestNormals[tasks]
	}
	return computeMedianLargestNormal(tasks)
}

func computeMedianLargestNormal(tasks int64) float64 {
	return math.Sqrt2 * math.Erfinv(2*math.Pow(0.5, 1/float64(tasks))-1)
}

// meanOfTypical is how many times as long as a typical run the mean one takes, and the variance
// of run times relative to the square of their mean, by the spread within steps.
func (m *runtimeModel) meanToTypicalRatio() (mean, relativeVariance float64) {
	variance := m.spread.variance
	return math.Exp(variance / 2), math.Exp(variance) - 1
}

// spreadModel is how much the run times of one step's tasks differ. The estimate of a step
// may be wrong for all its tasks alike; that says nothing of how they differ.
type spreadModel struct {
	variance float64 // of the logarithm of the run times within a step, decayed
	count    float64 // of runs beside the first of their step
}

// observe takes in the runs of a step that has ended.
func (m *spreadModel) observe(runs runSample) {
	degreesOfFreedom := float64(runs.count - 1)
	if degreesOfFreedom <= 0 {
		return
	}
	m.count += degreesOfFreedom
	weight := math.Max(1-math.Pow(runtimeDecay, degreesOfFreedom), degreesOfFreedom/(m.count+spreadPriorRuns))
	m.variance += weight * (runs.squares/degreesOfFreedom - m.variance)
}

// runSample sums up run times, as logarithms (Welford's algorithm).
type runSample struct {
	count         int
	mean, squares float64 // squares: the sum of the squared distances from the mean
}

func (s *runSample) add(logRuntime float64) {
	s.count++
	distance := logRuntime - s.mean
	s.mean += distance / float64(s.count)
	s.squares += distance * (logRuntime - s.mean)
}

// finishedOn notes the worker on which a task finished.
func (m *runtimeModel) recordFinish(worker string, now eventloop.Micros) {
	if m.lastWorker != worker {
		m.previousWorker, m.previousFinishAt = m.lastWorker, m.lastFinishAt
	}
	m.lastWorker, m.lastFinishAt = worker, now
}

// hasFinishedElsewhere reports whether a task finished lately on another worker.
func (m *runtimeModel) hasFinishedElsewhere(now eventloop.Micros, worker string, window eventloop.Micros) bool {
	if m.lastWorker != worker {
		return now-m.lastFinishAt < window
	}
	return m.previousWorker != "" && now-m.previousFinishAt < window
}

// recordRuntime learns from a successful run, for the model and for the worker's
// slowdown.
func (s *Scheduler) recordRuntime(now eventloop.Micros, w *worker, t *task, status *schema.TaskStatus) {
	runtime := eventloop.Micros(status.RunUs)
	if from := cmp.Or(t.startedAt, t.orderedAt); runtime == 0 && from > 0 {
		runtime = now - from
	}
	if runtime <= 0 || t.spec.RunUntilCancelled || w.warmUpUntil > now-runtime {
		return
	}
	key, estimate := runtimeKeyOf(t)
	x, y := math.Log(estimate), math.Log(float64(runtime)/s.remoteDataFactor(w, t.spec))
	model := s.runtimeModels[key]
	if model == nil {
		if len(s.runtimeModels) > maxRuntimeModels {
			s.runtimeModels = map[runtimeKey]*runtimeModel{}
		}
		model = &runtimeModel{isEstimated: key.step == ""}
		s.runtimeModels[key] = model
	}
	if runtime >= minJudgedRuntime && model.count >= minRuns {
		w.slowdown = slowdownDecay*w.slowdown + (1-slowdownDecay)*(y-model.predict(x))
	}
	model.observe(x, y)
	s.queues[t.key.queue].sampleRun(t, y)
	model.recordFinish(w.id, now)
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

// remainingRuntime is how much longer a running task should take; where that isn't
// known it is taken to be long.
func (s *Scheduler) remainingRuntime(now eventloop.Micros, w *worker, t *task) eventloop.Micros {
	elapsed := now - t.startedAt
	if t.percent >= minTrustedPercent && elapsed > 0 {
		return elapsed * eventloop.Micros(max(100-t.percent, 0)) / eventloop.Micros(t.percent)
	}
	expected := s.expectedRuntime(w, t)
	if expected == 0 || t.spec.RunUntilCancelled {
		return unknownRuntime
	}
	// An overdue task may end at any time, but hardly at once.
	return max(expected-elapsed, elapsed/10)
}

// remoteDataFactor is how many times as long a step's tasks run on a worker because
// their data is in another rack.
func (s *Scheduler) remoteDataFactor(w *worker, spec *schema.Step) float64 {
	if spec.DataRack != "" && spec.DataRack != w.rack {
		return float64(cmp.Or(s.bounds.GetRemoteSlowdownMilli(), defaultRemoteFactor)) / 1000
	}
	return 1
}
