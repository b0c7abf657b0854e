package scheduler

import (
	"cmp"
	"math"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	minRuns             = 3                           // number of runs from which a model predicts
	minJudgedRuntime    = 500 * eventloop.Millisecond // shorter runs don't show a worker's speed
	maxRuntimeModels    = 4096                        // if there are more models, all are dropped
	runtimeDecay        = 0.99                        // decay of a model per run
	estimatePriorRuns   = 5                           // number of runs for which an estimate counts as a prior
	slopePriorVariance  = 0.05                        // prior added to both variance and covariance, as if the slope were 1
	maxDeviation        = 0.7                         // maximum distance of a run from the line, as a logarithm; larger ones are clipped
	spreadPriorRuns     = 5                           // number of runs of equal length that serve as the prior of a spread
	minTrustedPercent   = 5                           // minimum progress from which the remaining run time is extrapolated
	slowdownDecay       = 0.8                         // decay of a worker's slowdown per run
	unknownRuntime      = math.MaxInt64 / 4           // longer than any run
	defaultRemoteFactor = 2000                        // in thousandths; see remoteDataFactor
	defaultEstimate     = eventloop.Second            // run time assumed for steps without an estimate
)

// runtimeKey identifies tasks whose run times are comparable. All tasks of a queue that have
// estimates share one key, in which step is empty. Tasks without estimates share a key if the
// queue and the name of the step are the same.
type runtimeKey struct {
	queue, step string
}

// runtimeKeyOf returns the key of a task's runtime model, and the task's estimate in microseconds.
func runtimeKeyOf(t *task) (runtimeKey, float64) {
	if t.spec.EstimatedRunUs > 0 {
		return runtimeKey{t.key.queue, ""}, float64(t.spec.EstimatedRunUs)
	}
	return runtimeKey{t.key.queue, t.spec.Name}, float64(defaultEstimate)
}

// runtimeModel predicts how long tasks run. Estimates are rough, and the run times of
// other tasks tell more, so it is a linear regression of the logarithm of the run time (Y)
// on the logarithm of the estimate (X), both in microseconds. Outliers move the regression
// line little, so that one bad worker can't distort it.
type runtimeModel struct {
	meanX, meanY, varianceX, covarianceXY float64 // decayed moments
	isEstimated                           bool    // the tasks have estimates of their own
	count                                 int     // number of observed runs
	spread                                spreadModel
	lastWorker, previousWorker            string // latest two workers on which a task finished
	lastFinishAt, previousFinishAt        eventloop.Micros
}

// predict returns the logarithm of the expected run time, given the logarithm x of the estimate.
func (m *runtimeModel) predict(x float64) float64 {
	slope := math.Max(0, math.Min(1, (m.covarianceXY+slopePriorVariance)/(m.varianceX+slopePriorVariance)))
	line := m.meanY + slope*(x-m.meanX)
	if !m.isEstimated {
		return line
	}
	// The shortest tasks finish first and tell little about the others.
	return line + (x-line)*estimatePriorRuns/float64(estimatePriorRuns+m.count)
}

// observe updates the regression line by one run, given the logarithms of its estimate (x) and of
// its run time (y).
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

// longestToTypicalRatio returns the expected ratio of the longest run of a step with this many
// tasks to a typical run.
func (m *runtimeModel) longestToTypicalRatio(tasks int64) float64 {
	if tasks <= 1 || m.spread.variance == 0 {
		return 1
	}
	return math.Exp(medianLargestNormal(tasks) * math.Sqrt(m.spread.variance))
}

// medianLargestNormals caches medianLargestNormal for the usual numbers of tasks.
var medianLargestNormals = func() (medians [1024]float64) {
	for tasks := 1; tasks < len(medians); tasks++ {
		medians[tasks] = computeMedianLargestNormal(int64(tasks))
	}
	return medians
}()

// medianLargestNormal returns the median of the largest of this many draws from the standard
// normal distribution.
func medianLargestNormal(tasks int64) float64 {
	if tasks < int64(len(medianLargestNormals)) {
		return medianLargestNormals[tasks]
	}
	return computeMedianLargestNormal(tasks)
}

// computeMedianLargestNormal computes medianLargestNormal: the largest of n draws is below a value
// with the nth power of the probability that one draw is.
func computeMedianLargestNormal(tasks int64) float64 {
	return math.Sqrt2 * math.Erfinv(2*math.Pow(0.5, 1/float64(tasks))-1)
}

// meanToTypicalRatio returns the ratio of the mean run time to a typical one, and the variance of
// the run times relative to the square of their mean. Both follow from the spread within steps.
func (m *runtimeModel) meanToTypicalRatio() (mean, relativeVariance float64) {
	variance := m.spread.variance
	return math.Exp(variance / 2), math.Exp(variance) - 1
}

// spreadModel estimates how much the run times of the tasks of one step differ. It compares them
// with each other and not with the estimate, which may be wrong for all tasks alike.
type spreadModel struct {
	variance float64 // decayed variance of the logarithms of the run times within a step
	count    float64 // number of runs, without the first of each step
}

// observe updates the spread by the runs of a step that has ended.
func (m *spreadModel) observe(runs runSample) {
	degreesOfFreedom := float64(runs.count - 1)
	if degreesOfFreedom <= 0 {
		return
	}
	m.count += degreesOfFreedom
	weight := math.Max(1-math.Pow(runtimeDecay, degreesOfFreedom), degreesOfFreedom/(m.count+spreadPriorRuns))
	m.variance += weight * (runs.squares/degreesOfFreedom - m.variance)
}

// runSample accumulates the logarithms of run times by Welford's algorithm.
type runSample struct {
	count         int
	mean, squares float64 // squares is the sum of the squared distances from the mean
}

func (s *runSample) add(logRuntime float64) {
	s.count++
	distance := logRuntime - s.mean
	s.mean += distance / float64(s.count)
	s.squares += distance * (logRuntime - s.mean)
}

// recordFinish records that a task finished on a worker.
func (m *runtimeModel) recordFinish(worker string, now eventloop.Micros) {
	if m.lastWorker != worker {
		m.previousWorker, m.previousFinishAt = m.lastWorker, m.lastFinishAt
	}
	m.lastWorker, m.lastFinishAt = worker, now
}

// hasFinishedElsewhere reports whether a task finished on another worker within the window.
func (m *runtimeModel) hasFinishedElsewhere(now eventloop.Micros, worker string, window eventloop.Micros) bool {
	if m.lastWorker != worker {
		return now-m.lastFinishAt < window
	}
	return m.previousWorker != "" && now-m.previousFinishAt < window
}

// recordRuntime updates the runtime model and the worker's slowdown by a successful run.
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

// expectedRuntime returns how long a task is expected to run on a worker, or 0 if that is unknown.
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

// remainingRuntime returns how much longer a running task is expected to run, or
// unknownRuntime if that can't be predicted.
func (s *Scheduler) remainingRuntime(now eventloop.Micros, w *worker, t *task) eventloop.Micros {
	elapsed := now - t.startedAt
	if t.percent >= minTrustedPercent && elapsed > 0 {
		return elapsed * eventloop.Micros(max(100-t.percent, 0)) / eventloop.Micros(t.percent)
	}
	expected := s.expectedRuntime(w, t)
	if expected == 0 || t.spec.RunUntilCancelled {
		return unknownRuntime
	}
	// An overdue task may end at any time, but is unlikely to end at once.
	return max(expected-elapsed, elapsed/10)
}

// remoteDataFactor returns the factor by which a step's tasks run longer on a worker
// because their data is in another rack.
func (s *Scheduler) remoteDataFactor(w *worker, spec *schema.Step) float64 {
	if spec.DataRack != "" && spec.DataRack != w.rack {
		return float64(cmp.Or(s.bounds.GetRemoteSlowdownMilli(), defaultRemoteFactor)) / 1000
	}
	return 1
}
