package scheduler

import (
	"math"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Workers that fail far more often than others, or that are slow, are ejected for a while
// (outlier ejection, as in Envoy): they get only work that has waited long. Then they are on
// probation, with few tasks at a time, until some of these succeed.
//
// Page's CUSUM test decides whether a worker fails too often. Each run adds the logarithm of
// the likelihood ratio of its outcome on a bad worker to that on a sound one. The sum never
// falls below 0, and the worker is ejected when it reaches a threshold. A run that hasn't ended
// counts as a partial success: of runs that began together, the failed ones end first, and
// sound workers would look bad if the others weren't counted.

const (
	baseEjectionPeriod    = 5 * eventloop.Second         // the first ejection; each further one lasts twice as long
	maxEjectionPeriod     = 60 * eventloop.Second        // upper limit of any ejection
	slowEjectionPeriod    = 1500 * eventloop.Millisecond // first ejection of a slow worker; short because it soon shows whether the worker is still slow
	slowProbationTasks    = 3                            // tasks at a time on a slow worker on probation
	minProbationSuccesses = 2                            // number of successes that ends a probation

	outcomeDecay          = 0.98 // decay of the counts of outcomes per run
	badFailureRatio       = 0.5  // fraction of runs that are assumed to fail on a bad worker
	minFailureRatio       = 0.01 // minimum fraction of a queue's runs that are assumed to fail on sound workers
	failureRatioPriorRuns = 20   // number of runs for which minFailureRatio counts as a prior
	ejectionSuspicion     = 7.5  // CUSUM sum at which a worker is ejected
	probationSuspicion    = 3.5  // like ejectionSuspicion, for a worker on probation
)

// quality holds what a worker's runs so far show about its reliability and speed.
type quality struct {
	counts             outcomeCounts
	slowdown           float64 // decayed mean of the logarithms of actual to expected run times
	suspicion          float64 // CUSUM sum of log likelihood ratios of a bad worker to a sound one; never below 0
	lastFailedTask     taskKey // latest task that failed on this worker
	outcomesByQueue    map[string]*outcomeCounts
	progress           progressMeter
	ejectedUntil       eventloop.Micros
	ejectionPeriod     eventloop.Micros // length of the latest ejection
	isOnProbation      bool             // from the ejection until enough successes
	probationTasks     int              // maximum number of tasks at a time during the probation
	probationSuccesses int
}

// outcomeCounts holds decayed counts of ended runs.
type outcomeCounts struct{ succeeded, failed float64 }

func (c *outcomeCounts) add(isFailure bool) {
	c.succeeded *= outcomeDecay
	c.failed *= outcomeDecay
	if isFailure {
		c.failed++
	} else {
		c.succeeded++
	}
}

// addAll adds other counts multiplied by factor. Rounding never makes a count negative.
func (c *outcomeCounts) addAll(other *outcomeCounts, factor float64) {
	c.succeeded = math.Max(0, c.succeeded+factor*other.succeeded)
	c.failed = math.Max(0, c.failed+factor*other.failed)
}

// failureTotalsOf returns the sums of a queue's outcomes over all workers.
func (s *Scheduler) failureTotalsOf(queue string) *outcomeCounts {
	if s.failureTotals[queue] == nil {
		s.failureTotals[queue] = &outcomeCounts{}
	}
	return s.failureTotals[queue]
}

// forgetOutcomes takes a worker's outcomes out of the sums over all workers.
func (s *Scheduler) forgetOutcomes(w *worker) {
	for queue, counts := range w.outcomesByQueue {
		s.failureTotalsOf(queue).addAll(counts, -1)
	}
	w.outcomesByQueue = nil
}

// failureRate returns the fraction of the worker's runs that failed. The estimate tends
// to 0 while the runs are few.
func (w *worker) failureRate() float64 {
	return w.counts.failed / (w.counts.succeeded + w.counts.failed + 2)
}

// isSuspicious reports whether the worker fails far more often than others.
func (w *worker) isSuspicious() bool {
	if w.isOnProbation {
		return w.suspicion >= probationSuspicion
	}
	return w.suspicion >= ejectionSuspicion
}

// recordEnd updates the quality of a worker by the end of a run.
func (s *Scheduler) recordEnd(now eventloop.Micros, w *worker, key attemptKey, status *schema.TaskStatus) {
	switch status.State {
	case outcomeDone:
		s.recordSuccess(now, w, key, status)
	case outcomeFailed:
		s.creditRunning(now, w)
		s.recordFailure(w, key)
	}
}

// recordSuccess counts a success for the worker, which may end its probation, and learns from
// the run time.
func (s *Scheduler) recordSuccess(now eventloop.Micros, w *worker, key attemptKey, status *schema.TaskStatus) {
	w.counts.add(false)
	s.recordOutcome(w, key.queue, false)
	s.credit(w, key.queue, w.taskForAttempt(key), 1)
	t := w.tasks[key.taskKey]
	switch {
	case !w.isOnProbation:
		w.ejectionPeriod = w.ejectionPeriod * 9 / 10
	case t == nil || t.startedAt >= w.ejectedUntil:
		if w.probationSuccesses++; w.probationSuccesses >= minProbationSuccesses {
			w.isOnProbation, w.probationSuccesses = false, 0
		}
	}
	if t != nil && t.attempt == key.attempt {
		s.recordRuntime(now, w, t, status)
		s.recordFinalProgress(now, w, t)
	}
}

// recordFailure counts a failure against the worker, unless the task is probably the
// cause because it has failed before, on this worker or another one.
func (s *Scheduler) recordFailure(w *worker, key attemptKey) {
	w.counts.add(true)
	t := w.tasks[key.taskKey]
	if hasFailedBefore := t != nil && t.failures > 0; !hasFailedBefore && w.lastFailedTask != key.taskKey {
		s.recordOutcome(w, key.queue, true)
	}
	w.lastFailedTask = key.taskKey
}

// recordOutcome counts the outcome of a run of a queue. The more often the queue's tasks
// fail on other workers, the less a failure raises the suspicion of this worker, since faulty
// tasks fail everywhere.
func (s *Scheduler) recordOutcome(w *worker, queue string, isFailure bool) {
	ratio := s.peerFailureRatio(w, queue)
	if w.outcomesByQueue == nil {
		w.outcomesByQueue = map[string]*outcomeCounts{}
	}
	if w.outcomesByQueue[queue] == nil {
		w.outcomesByQueue[queue] = &outcomeCounts{}
	}
	total := s.failureTotalsOf(queue)
	total.addAll(w.outcomesByQueue[queue], -1)
	w.outcomesByQueue[queue].add(isFailure)
	total.addAll(w.outcomesByQueue[queue], 1)
	if isFailure {
		w.suspicion += math.Log(badFailureRatio / ratio)
	}
}

// creditRunning credits the worker with each running task, for the fraction of the expected
// run time that the task has run without a failure.
func (s *Scheduler) creditRunning(now eventloop.Micros, w *worker) {
	for _, t := range w.sortedTasks() {
		if t.startedAt == 0 || t.spec.RunUntilCancelled {
			continue
		}
		if expected := s.expectedRuntime(w, t); expected > 0 {
			s.credit(w, t.key.queue, t, math.Min(1, float64(now-t.startedAt)/float64(expected)))
		}
	}
}

// credit lowers the suspicion of a worker for a fraction of a successful run. What was already
// credited for the run doesn't count again; t is nil if the task isn't known.
func (s *Scheduler) credit(w *worker, queue string, t *task, fraction float64) {
	credited := fraction
	if t != nil {
		credited = math.Max(0, fraction-t.creditedFraction)
		t.creditedFraction += credited
	}
	ratio := s.peerFailureRatio(w, queue)
	w.suspicion = math.Max(0, w.suspicion+credited*math.Log((1-badFailureRatio)/(1-ratio)))
}

// peerFailureRatio returns the fraction of a queue's runs that fail on other workers.
func (s *Scheduler) peerFailureRatio(w *worker, queue string) float64 {
	others := *s.failureTotalsOf(queue)
	if own := w.outcomesByQueue[queue]; own != nil {
		others.addAll(own, -1)
	}
	ratio := (others.failed + minFailureRatio*failureRatioPriorRuns) / (others.succeeded + others.failed + failureRatioPriorRuns)
	return math.Min(math.Max(ratio, minFailureRatio), badFailureRatio)
}

// eject ejects a worker for twice its previous period, but at least for minPeriod. Then
// the worker is on probation with probationTasks tasks at a time. A worker that is ejected
// already stays so for at least minPeriod more. Nothing happens while too many workers are
// on probation.
func (s *Scheduler) eject(now eventloop.Micros, w *worker, minPeriod eventloop.Micros, probationTasks int) {
	if now < w.ejectedUntil {
		w.ejectedUntil = max(w.ejectedUntil, now+minPeriod)
		return
	}
	if s.wouldExceedProbationLimit(now, w) {
		return
	}
	w.ejectionPeriod = min(max(2*w.ejectionPeriod, minPeriod), maxEjectionPeriod)
	w.ejectedUntil, w.isOnProbation = now+w.ejectionPeriod, true
	w.probationTasks, w.probationSuccesses, w.suspicion = probationTasks, 0, 0
}

// wouldExceedProbationLimit reports whether more than half of the responsive workers
// would be on probation together with this one. The cause is then not in the workers.
func (s *Scheduler) wouldExceedProbationLimit(now eventloop.Micros, w *worker) bool {
	onProbation, all := 1, 1
	for _, other := range s.workers {
		if other == w || !other.isResponsive(now) {
			continue
		}
		all++
		if other.isOnProbation {
			onProbation++
		}
	}
	return 2*onProbation > all
}
