package scheduler

import (
	"math"
	"slices"

	"sparnotch/internal/eventloop"
)

// A worker that has become slow or frozen finishes no tasks for a while, so the ends of
// its tasks reveal it too late. The progress that its tasks report reveals it sooner, when
// compared with the progress of similar tasks on other workers.

const (
	progressDecayPeriod = 700 * eventloop.Millisecond  // time in which observed progress decays to 1/e
	minExpectedProgress = 2.0                          // expected progress, in completed tasks, needed before a worker is judged
	minComparableRuns   = 20                           // minimum number of runs of similar tasks to derive the expected progress from
	slowProgressRatio   = 0.35                         // a worker below this fraction of the expected progress is slow
	slowSuspicion       = 7                            // sum of log likelihood ratios at which a worker counts as slow
	minRunVariance      = 0.05                         // minimum assumed variance of run times relative to the square of their mean
	minProgressRatio    = 0.05                         // minimum assumed fraction of the expected progress for the remaining time on a slow worker
	frozenTimeout       = 2200 * eventloop.Millisecond // time without any progress after which a worker may count as frozen; agents inspect it about once a second
	minFrozenProgress   = 0.1                          // expected progress, in completed tasks, needed in that time
)

// progressMeter compares the recent progress of a worker's tasks with the expected progress,
// both in completed tasks. Where the run times of similar tasks differ, a few long tasks
// make little progress on a sound worker too. So a CUSUM test decides whether low progress is
// significant: it sums the log likelihood ratios of a slow worker to a sound one.
type progressMeter struct {
	actual, expected float64          // decayed sums
	suspicion        float64          // sum of log likelihood ratios; never below 0
	lastProgressAt   eventloop.Micros // when the progress of any task last changed
}

// decay reduces the sums by the time since the last progress.
func (m *progressMeter) decay(now eventloop.Micros) {
	factor := math.Exp(-float64(now-m.lastProgressAt) / float64(progressDecayPeriod))
	m.actual, m.expected, m.lastProgressAt = m.actual*factor, m.expected*factor, now
}

// add adds the actual and the expected progress of a task. The variance is that of the run time,
// relative to the square of its mean. The test assumes normally distributed progress, whose mean
// on a slow worker is slowProgressRatio of the expected progress.
func (m *progressMeter) add(actual, expected, variance float64) {
	m.actual += actual
	m.expected += expected
	const halfway = (1 + slowProgressRatio) / 2
	logRatio := (1 - slowProgressRatio) * (halfway*expected - actual) / math.Max(variance, minRunVariance)
	m.suspicion = math.Max(0, m.suspicion+logRatio)
}

// isSlow reports whether enough progress was expected for a judgement, the actual progress is
// far less, and the difference is significant.
func (m *progressMeter) isSlow() bool {
	return m.expected >= minExpectedProgress && m.actual < slowProgressRatio*m.expected && m.suspicion >= slowSuspicion
}

// progressSample is a task's progress at the time when any task of its worker last progressed.
type progressSample struct {
	takenAt eventloop.Micros
	percent int64
}

// isProgressComparable reports whether a task's progress can show how fast its worker is.
func (s *Scheduler) isProgressComparable(now eventloop.Micros, w *worker, t *task) bool {
	if t.spec.RunUntilCancelled || t.spec.Gang || t.startedAt == 0 || now < w.warmUpUntil {
		return false
	}
	key, _ := runtimeKeyOf(t)
	model := s.runtimeModels[key]
	return model != nil && model.count >= minComparableRuns && (t.initialCheckpoint == "" || now-t.startedAt > 2*eventloop.Micros(s.bounds.GetRestoreDelayUs()))
}

// measureProgress records the progress that a heartbeat reports, and ejects the worker if
// it is slow.
func (s *Scheduler) measureProgress(now eventloop.Micros, w *worker) {
	hasProgressed := w.hasProgressed()
	if hasProgressed || w.progress.lastProgressAt == 0 {
		w.progress.decay(now)
	}
	var progressed []*task
	for _, t := range w.tasks {
		if t.lastSample.takenAt > 0 && !hasProgressed {
			continue
		}
		status := w.running[attemptKey{t.key, t.attempt}]
		if status == nil || status.State != runStateRunning || !s.isProgressComparable(now, w, t) {
			continue
		}
		if t.lastSample.takenAt == 0 {
			t.lastSample = progressSample{now, status.Percent}
		} else {
			progressed = append(progressed, t)
		}
	}
	// The order is fixed because the last digit of a floating-point sum depends on it.
	slices.SortFunc(progressed, func(a, b *task) int { return compareTaskKeys(a.key, b.key) })
	for _, t := range progressed {
		s.recordProgress(now, w, t, w.running[attemptKey{t.key, t.attempt}].Percent)
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

// recordProgress adds a task's progress since its last sample to the meter of its worker.
func (s *Scheduler) recordProgress(now eventloop.Micros, w *worker, t *task, percent int64) {
	key, _ := runtimeKeyOf(t)
	mean, variance := s.runtimeModels[key].meanToTypicalRatio()
	w.progress.add(float64(percent-t.lastSample.percent)/100, float64(now-t.lastSample.takenAt)/(mean*float64(s.expectedRuntime(w, t))), variance)
	t.lastSample = progressSample{now, percent}
}

// recordFinalProgress records the progress of a task from its last sample to its successful end.
func (s *Scheduler) recordFinalProgress(now eventloop.Micros, w *worker, t *task) {
	if t.lastSample.takenAt > 0 && s.isProgressComparable(now, w, t) {
		s.recordProgress(now, w, t, 100)
		w.progress.lastProgressAt = now
	}
}

// isFrozen reports whether no task progresses on a worker although it sends heartbeats.
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

// ejectSlowWorker ejects a worker whose progress is only progressRatio of the expected
// progress. It also stops those tasks that would finish sooner on another worker, unless
// their stop would lose too much work.
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
		if remainingHere > runtimeElsewhere && lostWork(now, t) <= maxLossFactor*coreEquivalentsOf(t.spec)*expected {
			s.evict(t, outcomeStopped)
			s.countEviction(t, countSlowEvicted)
		}
	}
}
