package scheduler

import (
	"math"

	"sparnotch/internal/eventloop"
)

// A worker that has turned slow or is frozen finishes nothing for a while, so the
// ends of its tasks show it too late. The progress that its tasks report shows it
// sooner, measured against what similar tasks make elsewhere.

const (
	progressDecayPeriod = 700 * eventloop.Millisecond  // in which observed progress decays to 1/e
	minExpectedProgress = 2.0                          // expected progress, in completed tasks, needed before a worker is judged
	minComparableRuns   = 20                           // of similar tasks, that the expectation is made from
	slowProgressRatio   = 0.35                         // of the expected progress: less is slow
	slowSuspicion       = 7                            // sum of log likelihood ratios from which a worker is slow
	minRunVariance      = 0.05                         // that run times, relative to their mean, are taken to have
	minProgressRatio    = 0.05                         // that a worker is reckoned to make at least
	frozenTimeout       = 2200 * eventloop.Millisecond // without any progress; agents look about each second
	minFrozenProgress   = 0.1                          // tasks' worth that must be expected in that time
)

// progressMeter compares the progress that a worker's tasks made lately with what
// was to be expected, in tasks' worth. Where the run times of similar tasks differ, a few long
// ones make little progress on a sound worker too, so a CUSUM test decides whether what was
// seen says anything: it adds the logarithm of how much likelier it is on a slow worker.
type progressMeter struct {
	actual, expected float64          // decayed
	suspicion        float64          // sum of log likelihood ratios; never below 0
	lastProgressAt   eventloop.Micros // any task's progress last changed
}

func (m *progressMeter) decay(now eventloop.Micros) {
	factor := math.Exp(-float64(now-m.lastProgressAt) / float64(progressDecayPeriod))
	m.actual, m.expected, m.lastProgressAt = m.actual*factor, m.expected*factor, now
}

// add takes in progress of a task whose run time has this variance, relative to the square of
// its mean. Progress is taken as normally distributed, with its mean at slowProgressRatio of
// the expected on a slow worker.
func (m *progressMeter) add(actual, expected, variance float64) {
	m.actual += actual
	m.expected += expected
	const halfway = (1 + slowProgressRatio) / 2
	logRatio := (1 - slowProgressRatio) * (halfway*expected - actual) / math.Max(variance, minRunVariance)
	m.suspicion = math.Max(0, m.suspicion+logRatio)
}

// isSlow reports whether enough progress was to be expected, far less was made, and that isn't
// by chance.
func (m *progressMeter) isSlow() bool {
	return m.expected >= minExpectedProgress && m.actual < slowProgressRatio*m.expected && m.suspicion >= slowSuspicion
}

// progressSample is a task's progress when any task of its worker last moved.
type progressSample struct {
	takenAt eventloop.Micros
	percent int64
}

// isProgressComparable reports whether a task's progress says something of its worker.
func (s *Scheduler) isProgressComparable(now eventloop.Micros, w *worker, t *task) bool {
	if t.spec.RunUntilCancelled || t.spec.Gang || t.startedAt == 0 || now < w.warmUpUntil {
		return false
	}
	key, _ := runtimeKeyOf(t)
	model := s.runtimeModels[key]
	return model != nil && model.count >= minComparableRuns && (t.initialCheckpoint == "" || now-t.startedAt > 2*eventloop.Micros(s.bounds.GetRestoreDelayUs()))
}

// measureProgress takes in the progress that a heartbeat reports, and ejects
// the worker if it turns out slow.
func (s *Scheduler) measureProgress(now eventloop.Micros, w *worker) {
	hasProgressed := w.hasProgressed()
	if hasProgressed || w.progress.lastProgressAt == 0 {
		w.progress.decay(now)
	}
	// In order: sums of fractions depend on it in their last digit.
	for _, t := range w.sortedTasks() {
		status := w.running[attemptKey{t.key, t.attempt}]
		if status == nil || status.State != runStateRunning || !s.isProgressComparable(now, w, t) {
			continue
		}
		if t.lastSample.takenAt == 0 {
			t.lastSample = progressSample{now, status.Percent}
		} else if hasProgressed {
			s.recordProgress(now, w, t, status.Percent)
		}
	}
	if w.progress.isSlow() {
		s.ejectSlowWorker(now, w, math.Max(minProgressRatio, w.progress.actual/w.progress.expected))
	}
}

// hasProgressed reports whether the latest heartbeat shows progress of any task.
func (w *worker) hasProgressed() bool {
	for key, status := range w.running {
		if t := w.taskForAttempt(key); t != nil && t.lastSample.takenAt > 0 && status.Percent != t.lastSample.percent {
			return true
		}
	}
	return false
}

func (s *Scheduler) recordProgress(now eventloop.Micros, w *worker, t *task, percent int64) {
	key, _ := runtimeKeyOf(t)
	mean, variance := s.runtimeModels[key].meanToTypicalRatio()
	w.progress.add(float64(percent-t.lastSample.percent)/100, float64(now-t.lastSample.takenAt)/(mean*float64(s.expectedRuntime(w, t))), variance)
	t.lastSample = progressSample{now, percent}
}

// recordFinalProgress takes in the progress up to a task's successful end.
func (s *Scheduler) recordFinalProgress(now eventloop.Micros, w *worker, t *task) {
	if t.lastSample.takenAt > 0 && s.isProgressComparable(now, w, t) {
		s.recordProgress(now, w, t, 100)
		w.progress.lastProgressAt = now
	}
}

// isFrozen reports whether nothing moves on a worker though it sends heartbeats.
func (s *Scheduler) isFrozen(now eventloop.Micros, w *worker) bool {
	if w.progress.lastProgressAt == 0 || now-w.progress.lastProgressAt < frozenTimeout || now-w.lastHeard > maxPollWait {
		return false
	}
	expected := 0.0
	for _, t := range w.sortedTasks() {
		status := w.running[attemptKey{t.key, t.attempt}]
		if status == nil || t.lastSample.takenAt == 0 || status.State != runStateRunning || !s.isProgressComparable(now, w, t) {
			continue
		}
		if from := max(t.lastSample.takenAt, w.progress.lastProgressAt); now-from >= frozenTimeout {
			expected += float64(now-from) / float64(s.expectedRuntime(w, t))
		}
	}
	return expected > minFrozenProgress
}

// ejectSlowWorker ejects a worker that makes only this ratio of the expected
// progress, and stops those of its tasks that would finish sooner elsewhere, where
// the work that is lost is worth it.
func (s *Scheduler) ejectSlowWorker(now eventloop.Micros, w *worker, progressRatio float64) {
	w.progress = progressMeter{lastProgressAt: now}
	if now < w.ejectedUntil {
		return
	}
	if s.eject(now, w, slowEjectionPeriod, slowProbationTasks); now >= w.ejectedUntil {
		return
	}
	for _, t := range w.sortedTasks() {
		if !t.isActive() || !s.isProgressComparable(now, w, t) {
			continue
		}
		expected := float64(s.expectedRuntime(w, t))
		remainingHere := expected * float64(100-t.percent) / 100 / progressRatio
		runtimeElsewhere := expected + float64(s.bounds.GetStopTimeoutUs())
		if remainingHere > runtimeElsewhere && lostWork(now, t) <= maxLossFactor*coresOf(t.spec)*expected {
			s.evict(t, outcomeStopped)
			s.countEviction(t, countSlowEvicted)
		}
	}
}
