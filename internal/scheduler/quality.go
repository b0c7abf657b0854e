package scheduler

import (
	"math"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Workers that fail far more than others, or turn out slow, are ejected for a while
// (outlier ejection, as in Envoy): they get only work that has waited long. After
// that they are on probation, with few tasks at a time, until some succeed.
//
// Whether a worker fails too much is decided by Page's CUSUM test: each run adds the
// logarithm of how much likelier its outcome is on a bad worker than on a sound one,
// and the sum, which never falls below 0, ejects the worker at a threshold. A run that goes
// on counts in part: of runs that began together the failed ones end first, and without the
// others sound workers would look bad.

const (
	baseEjectionPeriod    = 5 * eventloop.Second         // the first; each following one is twice as long
	maxEjectionPeriod     = 60 * eventloop.Second        // in any case
	slowEjectionPeriod    = 1500 * eventloop.Millisecond // the first of a slow worker: whether it still is shows soon
	slowProbationTasks    = 3                            // at a time, of a slow worker on probation
	minProbationSuccesses = 2                            // successes that end a probation

	outcomeDecay          = 0.98 // of counts of outcomes, per run
	badFailureRatio       = 0.5  // of its runs, that a bad worker is taken to fail
	minFailureRatio       = 0.01 // of the runs of a queue, that sound workers are taken to fail at least
	failureRatioPriorRuns = 20   // runs that minFailureRatio counts as
	ejectionSuspicion     = 7.5  // sum at which a worker is ejected
	probationSuspicion    = 3.5  // the same while it is on probation
)

// quality is what a worker's runs so far say of it.
type quality struct {
	counts             outcomeCounts
	slowdown           float64 // decayed mean of the log ratio of its runtimes to those expected
	suspicion          float64 // sum of log likelihood ratios that it is bad rather than sound; never below 0
	lastFailedTask     taskKey // the task that failed here last
	outcomesByQueue    map[string]*outcomeCounts
	progress           progressMeter
	ejectedUntil       eventloop.Micros
	ejectionPeriod     eventloop.Micros // the latest
	isOnProbation      bool             // since its ejection
	probationTasks     int              // at a time
	probationSuccesses int
}

// outcomeCounts are decayed counts of ended runs.
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

// failureRate is the share of the worker's runs that failed, towards 0 while there
// are few.
func (w *worker) failureRate() float64 {
	return w.counts.failed / (w.counts.succeeded + w.counts.failed + 2)
}

// isSuspicious reports whether the worker fails far more than others.
func (w *worker) isSuspicious() bool {
	if w.isOnProbation {
		return w.suspicion >= probationSuspicion
	}
	return w.suspicion >= ejectionSuspicion
}

// recordEnd learns from the end of a run.
func (s *Scheduler) recordEnd(now eventloop.Micros, w *worker, key attemptKey, status *schema.TaskStatus) {
	switch status.State {
	case outcomeDone:
		s.recordSuccess(now, w, key, status)
	case outcomeFailed:
		s.creditRunning(now, w)
		s.recordFailure(w, key)
	}
}

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

// recordFailure counts a failure against the worker, unless the task is to blame: it
// has failed before, here or elsewhere.
func (s *Scheduler) recordFailure(w *worker, key attemptKey) {
	w.counts.add(true)
	t := w.tasks[key.taskKey]
	if hasFailedBefore := t != nil && t.failures > 0; !hasFailedBefore && w.lastFailedTask != key.taskKey {
		s.recordOutcome(w, key.queue, true)
	}
	w.lastFailedTask = key.taskKey
}

// recordOutcome weighs an end against how often the queue's tasks fail on other
// workers: tasks that fail by their own fault do so everywhere.
func (s *Scheduler) recordOutcome(w *worker, queue string, isFailure bool) {
	ratio := s.peerFailureRatio(w, queue)
	if w.outcomesByQueue == nil {
		w.outcomesByQueue = map[string]*outcomeCounts{}
	}
	if w.outcomesByQueue[queue] == nil {
		w.outcomesByQueue[queue] = &outcomeCounts{}
	}
	w.outcomesByQueue[queue].add(isFailure)
	if isFailure {
		w.suspicion += math.Log(badFailureRatio / ratio)
	}
}

// creditRunning counts the part of their expected runtime that the worker's tasks have run
// so far without a failure.
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

// credit counts a run, known or not, as successful up to a part of it. What was counted
// before isn't counted again.
func (s *Scheduler) credit(w *worker, queue string, t *task, fraction float64) {
	credited := fraction
	if t != nil {
		credited = math.Max(0, fraction-t.creditedFraction)
		t.creditedFraction += credited
	}
	ratio := s.peerFailureRatio(w, queue)
	w.suspicion = math.Max(0, w.suspicion+credited*math.Log((1-badFailureRatio)/(1-ratio)))
}

// peerFailureRatio is the share of a queue's runs that fail on other workers.
func (s *Scheduler) peerFailureRatio(w *worker, queue string) float64 {
	succeeded, failed := 0.0, 0.0
	for _, other := range s.sortedWorkers() {
		if counts := other.outcomesByQueue[queue]; other != w && counts != nil {
			succeeded += counts.succeeded
			failed += counts.failed
		}
	}
	ratio := (failed + minFailureRatio*failureRatioPriorRuns) / (succeeded + failed + failureRatioPriorRuns)
	return math.Min(math.Max(ratio, minFailureRatio), badFailureRatio)
}

// eject ejects a worker for twice the period before, and at least for first. After
// that it is on probation with probationTasks tasks at a time. Nothing happens while
// too many workers are on probation.
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

// wouldExceedProbationLimit reports whether with this one over half of the responsive
// workers would be on probation: then the cause is none of the workers.
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
