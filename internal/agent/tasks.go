package agent

import (
	"maps"

	"sparnotch/internal/eventloop"
)

const (
	startTimeout     = 900 * eventloop.Millisecond // a start is retried for so long
	startRetryDelay  = 50 * eventloop.Millisecond  // between two attempts of it, at least
	minLeaseForStart = 50 * eventloop.Millisecond  // nothing is started when the lease ends sooner
	// predecessorCallPeriod is how long calls of an earlier run of this process may
	// still be carried out.
	predecessorCallPeriod = 10 * eventloop.Second
	defaultStopTimeout    = 2 * eventloop.Second
	// Attempts that the agent alone has declared over are remembered for
	// abandonedRetention at least, and all of them up to maxAbandoned.
	abandonedRetention = 60 * eventloop.Second
	maxAbandoned       = 4096
)

// sendDueOrders sends the starts and stops that are due.
func (a *Agent) sendDueOrders(now eventloop.Micros, w *workerState, effects eventloop.Effects) {
	if now < w.callsBlockedUntil || w.fencingToken == 0 {
		return
	}
	for _, key := range sortedKeys(w.runs) {
		r := w.runs[key]
		if r.openCall != 0 || now < r.retryAt {
			continue
		}
		switch r.state {
		case starting:
			a.sendStart(now, w, r, effects)
		case stopping:
			a.sendStop(now, w, r, effects)
		}
	}
}

func (a *Agent) sendStart(now eventloop.Micros, w *workerState, r *run, effects eventloop.Effects) {
	// Whether a start under an older lease was carried out is for an inspection to show.
	if w.inspectedToken != w.fencingToken || r.fencingToken != 0 && r.fencingToken != w.fencingToken {
		return
	}
	// An unresponsive worker's hold isn't extended, so it can't take a new run.
	if w.missedInspections > 0 {
		return
	}
	timedOut := r.callAttempts > 0 && now-r.firstCallAt >= startTimeout
	if timedOut || w.isDraining || now+minLeaseForStart >= w.runLeaseExpiresAt || w.clockSampledAt == 0 {
		a.abandonAttempt(now, w, r)
		if r.state == stopping {
			a.sendStop(now, w, r, effects)
		}
		return
	}
	if r.callAttempts == 0 {
		r.firstCallAt = now
	}
	r.callAttempts++
	r.fencingToken = w.fencingToken
	r.openCall = a.sendCall(now, w, Call{
		Action: Start, Task: r.key.task, Attempt: r.key.attempt, Text: r.text, Checkpoint: r.checkpoint, RunDeadline: a.holdDeadline(now, w),
	}, effects)
	r.lastCall = r.openCall
}

func (a *Agent) sendStop(now eventloop.Micros, w *workerState, r *run, effects eventloop.Effects) {
	r.openCall = a.sendCall(now, w, Call{Action: Stop, Task: r.key.task, Attempt: r.key.attempt}, effects)
	r.lastCall = r.openCall
}

// busyRetryAt is when a call that the worker was too busy for is retried: spread by
// the call's number, so that calls rejected together don't come back together.
func busyRetryAt(now eventloop.Micros, number uint64) eventloop.Micros {
	const spread, prime = 50, 7919
	return now + startRetryDelay + eventloop.Micros(number*prime%spread)*eventloop.Millisecond
}

func (a *Agent) handleStartReply(now eventloop.Micros, w *workerState, r *run, m Reply) {
	if r.state != starting {
		return
	}
	switch m.Outcome {
	case Succeeded:
		r.state, r.isConfirmed = running, true
	case TimedOut:
		// A single call was lost, most likely, and starts are idempotent: the first
		// retry goes at once.
		r.mayStillStart = true
		if r.retryAt = now; r.callAttempts > 1 {
			r.retryAt += 2 * startRetryDelay
		}
	case Busy:
		r.retryAt = busyRetryAt(now, m.Number)
	case Rejected:
		switch m.Reason {
		case StaleToken:
			// A newer lease exists, and its holder decides about the task.
			delete(w.runs, r.key)
			w.hasChanges = true
		case AttemptOver:
			a.markUnresolved(w, r)
		default:
			a.abandonAttempt(now, w, r)
		}
	}
}

func (a *Agent) handleStopReply(now eventloop.Micros, w *workerState, r *run, m Reply) {
	if r.state != stopping {
		return
	}
	r.callAttempts++
	switch {
	case m.Outcome == Succeeded, m.Outcome == Rejected && m.Reason == AttemptOver:
		// The capacity is free once the worker lists the end.
		r.isStopConfirmed, r.stoppedAt, r.callAttempts = true, now, 0
		a.markUnresolved(w, r)
	case m.Outcome == Busy:
		r.retryAt = busyRetryAt(now, m.Number)
	default:
		const maxDoublings = 4
		r.retryAt = now + min(minBackoff<<min(r.callAttempts-1, maxDoublings), maxBackoff)
	}
}

// abandonAttempt ends an attempt that isn't to start here. Where a start may yet be
// carried out, the worker must first promise that it won't be.
func (a *Agent) abandonAttempt(now eventloop.Micros, w *workerState, r *run) {
	if r.mayStillStart || now-a.startedAt < predecessorCallPeriod {
		r.state, r.callAttempts, r.retryAt = stopping, 0, now
		return
	}
	a.markStopped(w, r)
}

// markUnresolved leaves it to an inspection that is sent from now on whether the
// run is there, has ended, or never started.
func (a *Agent) markUnresolved(w *workerState, r *run) {
	r.state = unresolved
	if !r.isConfirmed {
		w.needsInspection = true
	}
}

// markStopped reports a run as stopped that the worker doesn't run, though it lists
// no end of it.
func (a *Agent) markStopped(w *workerState, r *run) { a.markEnded(w, r, "stopped") }

// markEnded reports a run as ended that the worker hasn't listed as ended.
func (a *Agent) markEnded(w *workerState, r *run, state string) {
	w.unacknowledged[r.key] = &endedAttempt{status: w.taskStatus(r.key, state, r.checkpoint)}
	delete(w.runs, r.key)
	w.hasChanges = true
	if len(w.declaredEnded) >= maxAbandoned {
		maps.DeleteFunc(w.declaredEnded, func(_ attemptKey, at eventloop.Micros) bool { return a.lastStepAt-at > abandonedRetention })
	}
	w.declaredEnded[r.key] = a.lastStepAt
}

// maxStopDuration is how long a stop takes at most.
func (a *Agent) maxStopDuration() eventloop.Micros {
	if a.bounds.StopTimeoutUs > 0 {
		return eventloop.Micros(a.bounds.StopTimeoutUs)
	}
	return defaultStopTimeout
}
