package agent

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// recordEnd records an ended task that the worker lists, and reports whether it is new.
// Ends are final, so they count even when a later inspection was answered first.
func (w *workerState) recordEnd(task EndedTask) bool {
	if task.Number <= w.acknowledgedThrough || w.listedEnds[task.Number] != nil {
		return false
	}
	key := attemptKey{task.Task, task.Attempt}
	end := &endedAttempt{number: task.Number, status: w.taskStatus(key, task.State, task.Checkpoint)}
	w.listedEnds[task.Number] = end
	w.highestEnd = max(w.highestEnd, task.Number)
	if known := w.unacknowledged[key]; known != nil && known.number != 0 {
		end.isAcknowledged = true
		w.advanceAcknowledged()
		return true
	}
	w.unacknowledged[key] = end
	delete(w.runs, key)
	w.hasChanges = true
	return true
}

// handleAcknowledgements drops the ends that the scheduler acknowledges as recorded,
// and reports whether it dropped any.
func (w *workerState) handleAcknowledgements(now eventloop.Micros, acknowledged []*schema.TaskStatus) bool {
	changed := false
	for _, status := range acknowledged {
		key := attemptKey{TaskName{status.Name, status.Round, status.StepInRound, status.Task}, status.Attempt}
		// The agent may have declared the attempt ended and learned later that it ended
		// in another state. An acknowledgement of the declared end doesn't cover the
		// actual one.
		if e := w.unacknowledged[key]; e != nil && (status.State == "" || status.State == e.status.State) {
			e.isAcknowledged, changed = true, true
			delete(w.unacknowledged, key)
		}
	}
	if changed {
		w.advanceAcknowledged()
		if !w.hasUnacknowledgedEnds() {
			w.nextLongInspection, w.backoff = min(w.nextLongInspection, now), minBackoff
		}
	}
	return changed
}

// hasUnacknowledgedEnds reports whether the worker lists an end that the scheduler
// hasn't acknowledged.
func (w *workerState) hasUnacknowledgedEnds() bool {
	for _, e := range w.listedEnds {
		if !e.isAcknowledged {
			return true
		}
	}
	return false
}

// advanceAcknowledged moves acknowledgedThrough up to the last listed end before the
// first one that isn't acknowledged, and drops the ends up to there.
func (w *workerState) advanceAcknowledged() {
	w.acknowledgedThrough = max(w.acknowledgedThrough, w.highestEnd)
	for number, e := range w.listedEnds {
		if !e.isAcknowledged {
			w.acknowledgedThrough = min(w.acknowledgedThrough, number-1)
		}
	}
	for number := range w.listedEnds {
		if number <= w.acknowledgedThrough {
			delete(w.listedEnds, number)
		}
	}
}
