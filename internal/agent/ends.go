package agent

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// recordEnd takes over an ended task that the worker lists, and reports whether it
// is new. An end holds whenever the inspection was sent.
func (w *workerState) recordEnd(m EndedTask) bool {
	if m.Number <= w.acknowledgedThrough || w.listedEnds[m.Number] != nil {
		return false
	}
	key := attemptKey{m.Task, m.Attempt}
	e := &endedAttempt{number: m.Number, status: w.taskStatus(key, m.State, m.Checkpoint)}
	w.listedEnds[m.Number] = e
	w.highestEnd = max(w.highestEnd, m.Number)
	if known := w.unacknowledged[key]; known != nil && known.number != 0 {
		e.isAcknowledged = true
		w.advanceAcknowledged()
		return true
	}
	w.unacknowledged[key] = e
	delete(w.runs, key)
	w.hasChanges = true
	return true
}

// handleAcknowledgements drops the ends that the scheduler has recorded, and reports
// whether there were any.
func (w *workerState) handleAcknowledgements(now eventloop.Micros, acknowledged []*schema.TaskStatus) bool {
	changed := false
	for _, status := range acknowledged {
		key := attemptKey{TaskName{status.Name, status.Round, status.StepInRound, status.Task}, status.Attempt}
		// An attempt that was declared over may have turned out since to have ended otherwise.
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

// advanceAcknowledged moves acknowledgedThrough up to the first listed end that isn't
// acknowledged, and drops the ends below.
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
