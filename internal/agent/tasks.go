package agent

import (
	"maps"

	"sparnotch/internal/eventloop"
)

const (
	startTimeout     = 900 * eventloop.Millisecond // a start is retried for at most this long
	startRetryDelay  = 50 * eventloop.Millisecond  // minimum delay between two calls for the same start
	minLeaseForStart = 50 * eventloop.Millisecond  // nothing is started when the run lease ends sooner than this
	// predecessorCallPeriod is how long the worker may still carry out calls of an
	// earlier run of this process.
	predecessorCallPeriod = 10 * eventloop.Second
	defaultStopTimeout    = 2 * eventloop.Second
	// Attempts that the agent has declared ended, without a report by the worker, are
	// remembered for at least abandonedRetention. Older ones are dropped only when
	// there are maxAbandoned attempts.
	abandonedRetention = 60 * eventloop.Second
	maxAbandoned       = 4096
)

// sendDueOrders sends the start and stop calls that are due.
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
	// An inspection must first show whether the worker has carried out a start call
	// that was sent under an older lease.
	if w.inspectedToken != w.fencingToken || r.fencingToken != 0 && r.fencingToken != w.fencingToken {
		return
	}
	// The hold of an unresponsive worker isn't extended, so it can't take a new run.
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

// busyRetryAt returns when to retry a call for which the worker was too busy. The delay
// depends on the call's number, so that calls that were rejected together aren't
// retried together.
func busyRetryAt(now eventloop.Micros, number uint64) eventloop.Micros {
	const spread, prime = 50, 7919
	return now + startRetryDelay + eventloop.Micros(number*prime%spread)*eventloop.Millisecond
}

func (a *Agent) handleStartReply(now eventloop.Micros, w *workerState, r *run, reply Reply) {
	if r.state != starting {
		return
	}
	switch reply.Outcome {
	case Succeeded:
		r.state, r.isConfirmed = running, true
	case TimedOut:
		// Most likely a single call was lost, and starts are idempotent, so the first
		// retry is sent at once.
		r.mayStillStart = true
		if r.retryAt = now; r.callAttempts > 1 {
			r.retryAt += 2 * startRetryDelay
		}
	case Busy:
		r.retryAt = busyRetryAt(now, reply.Number)
	case Rejected:
		switch reply.Reason {
		case StaleToken:
			// A newer lease exists, and its holder decides what happens to the task.
			delete(w.runs, r.key)
			w.hasChanges = true
		case AttemptOver:
			a.markUnresolved(w, r)
		default:
			a.abandonAttempt(now, w, r)
		}
	}
}

func (a *Agent) handleStopReply(now eventloop.Micros, w *workerState, r *run, reply Reply) {
	if r.state != stopping {
		return
	}
	r.callAttempts++
	switch {
	case reply.Outcome == Succeeded, reply.Outcome == Rejected && reply.Reason == AttemptOver:
		// The capacity becomes free only when the worker lists the attempt as ended.
		r.isStopConfirmed, r.stoppedAt, r.callAttempts = true, now, 0
		a.markUnresolved(w, r)
	case reply.Outcome == Busy:
		r.retryAt = busyRetryAt(now, reply.Number)
	default:
		const maxDoublings = 4
		r.retryAt = now + min(minBackoff<<min(r.callAttempts-1, maxDoublings), maxBackoff)
	}
}

// abandonAttempt gives up an attempt that must not start on this worker. If the worker
// may still carry out a start call, it must confirm a stop first.
func (a *Agent) abandonAttempt(now eventloop.Micros, w *workerState, r *run) {
	if r.mayStillStart || now-a.startedAt < predecessorCallPeriod {
		r.state, r.callAttempts, r.retryAt = stopping, 0, now
		return
	}
	a.markStopped(w, r)
}

// markUnresolved marks a run whose state only an inspection that is sent from now on
// can show: it may be running, have ended, or never have started.
func (a *Agent) markUnresolved(w *workerState, r *run) {
	r.state = unresolved
	if !r.isConfirmed {
		w.needsInspection = true
	}
}

// markStopped reports a run as stopped when the worker neither runs it nor lists its
// end.
func (a *Agent) markStopped(w *workerState, r *run) { a.markEnded(w, r, "stopped") }

// markEnded reports a run as ended although the worker hasn't listed its end.
func (a *Agent) markEnded(w *workerState, r *run, state string) {
	w.unacknowledged[r.key] = &endedAttempt{status: w.taskStatus(r.key, state, r.checkpoint)}
	delete(w.runs, r.key)
	w.hasChanges = true
	if len(w.declaredEnded) >= maxAbandoned {
		maps.DeleteFunc(w.declaredEnded, func(_ attemptKey, at eventloop.Micros) bool { return a.lastStepAt-at > abandonedRetention })
	}
	w.declaredEnded[r.key] = a.lastStepAt
}

// maxStopDuration returns the maximum time that a stop takes.
func (a *Agent) maxStopDuration() eventloop.Micros {
	if a.bounds.StopTimeoutUs > 0 {
		return eventloop.Micros(a.bounds.StopTimeoutUs)
	}
	return defaultStopTimeout
}
