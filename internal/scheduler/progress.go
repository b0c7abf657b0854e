package scheduler

import (
	"math"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

// A worker that has turned slow, or on which nothing moves, ends nothing for a
// while, so its ends say so too late. What its tasks tell of their progress
// says it sooner, set against what alike tasks make elsewhere.

const (
	progressDecayPeriod = 700 * eventloop.Millisecond  // within which what was seen is mostly forgotten
	minExpectedProgress = 2.0                          // tasks' worth of progress to be expected before a worker is judged
	minComparableRuns   = 20                           // runs that alike tasks' pace must be known from
	slowProgressRatio   = 0.35                         // of the progress expected: less is slow
	frozenTimeout       = 2200 * eventloop.Millisecond // without any progress on a worker; an agent looks about each second
	minFrozenProgress   = 0.1                          // tasks' worth of progress to be expected in that time
	minProgressRatio    = 0.05                         // of the usual pace, that a worker is taken to keep at least
)

// progressMeter is the progress that a worker's tasks have made lately, and that which
// was to be expected of them; in whole tasks.
type progressMeter struct {
	actual, expected float64
	lastProgressAt   eventloop.Micros // something last moved
}

// sample is the progress of a task when something on its worker last moved.
type progressSample struct {
	at      eventloop.Micros
	percent int64
}

// isProgressComparable tells whether a task's progress says something of its worker.
func (s *Scheduler) isProgressComparable(now eventloop.Micros, w *worker, t *task) bool {
	if t.spec.RunUntilCancelled || t.spec.Gang || t.startedAt == 0 || now < w.warmUpUntil {
		return false
	}
	key, _ := runtimeKeyOf(t)
	model := s.runtimeModels[key]
	return model != nil && model.count >= minComparableRuns && (t.initialCheckpoint == "" || now-t.startedAt > 2*eventloop.Micros(s.bounds.GetRestoreUs()))
}

// measureProgress reads the progress that an announce tells.
func (s *Scheduler) measureProgress(now eventloop.Micros, w *worker) {
	progressed := false
	for key, note := range w.running {
		if t := w.tasks[key.taskKey]; t != nil && t.attempt == key.attempt && t.sample.at > 0 && note.Percent != t.sample.percent {
			progressed = true
		}
	}
	if progressed || w.progress.lastProgressAt == 0 {
		decay := math.Exp(-float64(now-w.progress.lastProgressAt) / float64(progressDecayPeriod))
		w.progress.actual, w.progress.expected, w.progress.lastProgressAt = w.progress.actual*decay, w.progress.expected*decay, now
	}
	for key, note := range w.running {
		t := w.tasks[key.taskKey]
		if t == nil || t.attempt != key.attempt || note.State != "running" || !s.isProgressComparable(now, w, t) {
			continue
		}
		if t.sample.at == 0 {
			t.sample = progressSample{now, note.Percent}
		} else if progressed {
			s.recordProgress(now, w, t, note.Percent)
		}
	}
	if w.progress.expected >= minExpectedProgress && w.progress.actual < slowProgressRatio*w.progress.expected {
		s.ejectSlowWorker(now, w, math.Max(minProgressRatio, w.progress.actual/w.progress.expected))
	}
}

func (s *Scheduler) recordProgress(now eventloop.Micros, w *worker, t *task, percent int64) {
	w.progress.expected += float64(now-t.sample.at) / float64(s.expectedRuntime(w, t))
	w.progress.actual += float64(percent-t.sample.percent) / 100
	t.sample = progressSample{now, percent}
}

// recordFinalProgress reads the progress up to a task's end.
func (s *Scheduler) recordFinalProgress(now eventloop.Micros, w *worker, t *task, note *schema.TaskStatus) {
	if note.State == "done" && t.sample.at > 0 && s.isProgressComparable(now, w, t) {
		s.recordProgress(now, w, t, 100)
		w.progress.lastProgressAt = now
	}
}

// isFrozen tells whether nothing moves on a worker that is heard of.
func (s *Scheduler) isFrozen(now eventloop.Micros, w *worker) bool {
	if w.progress.lastProgressAt == 0 || now-w.progress.lastProgressAt < frozenTimeout || now-w.lastHeard > maxPollWait {
		return false
	}
	want := 0.0
	for key, note := range w.running {
		t := w.tasks[key.taskKey]
		if t == nil || t.attempt != key.attempt || t.sample.at == 0 || note.State != "running" || !s.isProgressComparable(now, w, t) {
			continue
		}
		if from := max(t.sample.at, w.progress.lastProgressAt); now-from >= frozenTimeout {
			want += float64(now-from) / float64(s.expectedRuntime(w, t))
		}
	}
	return want > minFrozenProgress
}

// ejectSlowWorker sets a worker aside that keeps only this share of the usual pace, and
// has those of its tasks stopped that would end sooner elsewhere, where that
// throws away no more than it is worth.
func (s *Scheduler) ejectSlowWorker(now eventloop.Micros, w *worker, share float64) {
	w.progress = progressMeter{lastProgressAt: now}
	if now < w.ejectedUntil {
		return
	}
	if s.eject(now, w, slowEjectionPeriod, slowProbationTasks); now >= w.ejectedUntil {
		return
	}
	for _, t := range s.sortedTasks(w) {
		if t.state != queue.CheckedOut || t.evictOutcome != "" || !s.isProgressComparable(now, w, t) {
			continue
		}
		expected := float64(s.expectedRuntime(w, t))
		runtimeHere := expected * float64(100-t.percent) / 100 / share
		runtimeElsewhere := expected + float64(s.bounds.GetStopUs())
		if runtimeHere > runtimeElsewhere && lostWork(now, t) <= maxLossFactor*coresOf(t.spec)*expected {
			s.evict(t, "stopped")
		}
	}
}
