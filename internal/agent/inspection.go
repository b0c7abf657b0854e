package agent

import (
	"sparnotch/internal/eventloop"
)

const (
	inspectWait     = eventloop.Second     // how long an inspection waits for an end while something runs
	idleInspectWait = 2 * eventloop.Second // and while nothing does
	// lossyInspectWait replaces inspectWait for callLossPeriod after a lost call: a
	// lost inspection is noticed only after its wait.
	lossyInspectWait = 80 * eventloop.Millisecond
	callLossPeriod   = 5 * eventloop.Second
	// conveyDelay is how long an idle worker isn't told which ends are acknowledged: the
	// inspections of its next runs will say so.
	conveyDelay = 500 * eventloop.Millisecond
	// idleInspectionInterval is how long an idle worker is left alone at most: it stays known
	// that it can be called.
	idleInspectionInterval = 5 * eventloop.Second
	// defaultHeartbeatTimeout is the heartbeatTimeout where the interval isn't known.
	defaultHeartbeatTimeout = 3 * eventloop.Second
	// maxEndsPerReply is how many ended tasks a worker lists in one reply.
	maxEndsPerReply = 500
)

// inspectWorker keeps one long inspection open, whose reply reports ends at once and
// renews the hold, and sends a short one when the worker's reply is needed now.
func (a *Agent) inspectWorker(now eventloop.Micros, w *workerState, effects eventloop.Effects) {
	if now < w.callsBlockedUntil || w.fencingToken == 0 {
		return
	}
	uninspected := w.inspectedToken != w.fencingToken
	open := w.shortInspection != 0 && (!uninspected || w.pendingCalls[w.shortInspection].fencingToken == w.fencingToken)
	needed := uninspected || w.needsInspection || a.isHoldExpiring(now, w) || w.missedInspections > 0
	if needed && !open && now >= w.nextShortInspection {
		w.needsInspection = false
		w.shortInspection = a.sendInspection(now, w, 0, effects)
	}
	// An unresponsive worker must reply to a short inspection first; the next long one
	// renews its hold.
	if uninspected || w.longInspection != 0 || now < max(w.nextLongInspection, w.pausedUntil) || w.missedInspections > 0 || !a.needsLongInspection(now, w) {
		return
	}
	w.longInspection = a.sendInspection(now, w, a.longInspectionWait(now, w), effects)
}

// needsLongInspection reports whether a worker may have something to tell: it runs or lists
// something, hasn't been told for a while which ends are acknowledged, its heartbeats don't
// come, or it wasn't inspected for long. Otherwise its heartbeats show that it is well.
func (a *Agent) needsLongInspection(now eventloop.Micros, w *workerState) bool {
	switch {
	case len(w.runs) > 0, w.hasUnacknowledgedEnds():
		return true
	case w.conveyedThrough < w.acknowledgedThrough:
		return now-w.lastEndAt >= conveyDelay
	}
	return now-w.lastHeard > a.heartbeatTimeout() || now-w.lastAnsweredAt >= idleInspectionInterval
}

// heartbeatTimeout is after how long without a heartbeat an idle worker is inspected.
func (a *Agent) heartbeatTimeout() eventloop.Micros {
	const missedHeartbeats = 2
	if interval := eventloop.Micros(a.bounds.HeartbeatIntervalUs); interval > 0 {
		return missedHeartbeats * interval
	}
	return defaultHeartbeatTimeout
}

func (a *Agent) sendInspection(now eventloop.Micros, w *workerState, wait eventloop.Micros, effects eventloop.Effects) uint64 {
	return a.sendCall(now, w, Call{Action: Inspect, RunDeadline: a.holdDeadline(now, w), AcknowledgedThrough: w.acknowledgedThrough, Wait: wait}, effects)
}

// isHoldExpiring reports whether the worker's confirmed hold ends soon though a call
// could extend it. The long inspection that is open may have been sent with a lease
// about to end.
func (a *Agent) isHoldExpiring(now eventloop.Micros, w *workerState) bool {
	duration := a.runExtension(w)
	minRemaining := duration / 5
	if pending := w.pendingCalls[w.longInspection]; pending != nil && pending.wait > inspectWait {
		// It was sent to wait long, when nothing ran there yet.
		minRemaining = 2 * duration / 3
	}
	return w.confirmedHoldUntil-now < minRemaining && a.maxHoldDeadline(now, w) > w.confirmedHoldUntil+duration/8 && w.hasStartedRuns()
}

// longInspectionWait is how long the next long inspection waits for an end. The hold
// is renewed long before its end, with time for a retry.
func (a *Agent) longInspectionWait(now eventloop.Micros, w *workerState) eventloop.Micros {
	wait := min(inspectWait, a.runExtension(w)/3)
	if w.lastCallLostAt > 0 && now-w.lastCallLostAt < callLossPeriod {
		wait = min(wait, lossyInspectWait)
	}
	if len(w.runs) == 0 {
		wait = min(idleInspectWait, w.runLeaseDuration/2)
	}
	return max(wait-wait%eventloop.Millisecond, minBackoff)
}

// requireInspection has the worker inspected before anything else is reported of it.
func (a *Agent) requireInspection(w *workerState) {
	w.inspectedToken, w.inspectAfterCall, w.pendingPoll = 0, a.callSequence, nil
}

// handleInspection takes the reply to an inspection, or its failure.
func (a *Agent) handleInspection(now eventloop.Micros, w *workerState, m Reply, p *pendingCall) {
	long := m.Number == w.longInspection
	if long {
		w.longInspection = 0
	}
	if m.Number == w.shortInspection {
		w.shortInspection = 0
	}
	// One that was sent before a pause of this process doesn't count against the worker.
	if m.Number > w.inspectAfterCall {
		w.missedInspections++
	}
	if m.Outcome != Succeeded {
		a.handleMissedInspection(now, w, m)
		return
	}
	w.missedInspections, w.lastAnsweredAt = 0, now
	w.conveyedThrough = max(w.conveyedThrough, p.acknowledged)
	changed := false
	for _, e := range m.Ended {
		changed = w.recordEnd(e) || changed
	}
	if m.Number > w.newestInspection {
		w.newestInspection = m.Number
		a.reconcileRuns(now, w, m, p)
	}
	if p.fencingToken == w.fencingToken && w.inspectedToken != w.fencingToken && m.Number > w.inspectAfterCall {
		w.inspectedToken, w.hasChanges, w.hasLapsed = w.fencingToken, true, false
	}
	if changed {
		w.backoff, w.lastEndAt, w.pausedUntil = minBackoff, now, now+w.inspectionPause
	}
	if long {
		w.scheduleLongInspection(now, changed, p)
	}
}

// handleMissedInspection retries a single lost inspection at once, and others with
// a growing delay.
func (a *Agent) handleMissedInspection(now eventloop.Micros, w *workerState, m Reply) {
	if m.Outcome == TimedOut && w.missedInspections <= 1 {
		w.nextLongInspection, w.nextShortInspection, w.needsInspection = now, now, true
		return
	}
	w.backoff = min(max(w.backoff, minBackoff), maxBackoff)
	w.nextLongInspection, w.nextShortInspection = now+w.backoff, now+w.backoff
	w.backoff = min(2*w.backoff, maxBackoff)
	// Nothing is reported of an unresponsive worker, nor is its hold renewed, so the
	// scheduler may give its tasks to others when the lease is over.
	a.requireInspection(w)
}

// scheduleLongInspection sets when the next long inspection is sent.
func (w *workerState) scheduleLongInspection(now eventloop.Micros, changed bool, p *pendingCall) {
	switch {
	case w.hasUnacknowledgedEnds():
		// The worker would list the same ends again at once: the scheduler's
		// acknowledgement is awaited for a while.
		w.nextLongInspection = now + w.backoff
		w.backoff = min(2*w.backoff, maxBackoff)
	case !changed && now-p.sentAt < p.wait/2:
		w.nextLongInspection = now + w.backoff
	default:
		w.nextLongInspection, w.backoff = now, minBackoff
	}
}

// reconcileRuns compares the worker's list of running tasks with the agent's. An
// inspection says nothing about calls that were sent, or replied to, after it.
func (a *Agent) reconcileRuns(now eventloop.Micros, w *workerState, m Reply, p *pendingCall) {
	listed := map[attemptKey]bool{}
	for _, task := range m.Running {
		key := attemptKey{task.Task, task.Attempt}
		listed[key] = true
		a.reconcileListed(now, w, key, task)
	}
	isComplete := len(m.Ended) < maxEndsPerReply
	for _, key := range sortedKeys(w.runs) {
		r := w.runs[key]
		switch {
		case listed[key]:
		case r.state == starting && r.fencingToken != 0 && r.fencingToken < p.fencingToken:
			// A start of it that is still in flight will be rejected, and the new
			// lease's holder orders what it wants.
			delete(w.runs, key)
			w.hasChanges = true
		case r.lastCall >= m.Number || !isComplete:
		case r.state == running, r.state == unresolved:
			a.markStopped(w, r)
		}
	}
}

// reconcileListed takes over a task that the worker lists as running.
func (a *Agent) reconcileListed(now eventloop.Micros, w *workerState, key attemptKey, task RunningTask) {
	r := w.runs[key]
	switch e := w.unacknowledged[key]; {
	case e != nil && e.number != 0:
		return
	case e != nil:
		// The agent reported it as ended, but the worker still runs it: stop it.
		delete(w.unacknowledged, key)
		r = &run{key: key, state: stopping, firstSeenAt: now}
		w.runs[key] = r
	case r == nil:
		r = &run{key: key, state: running, firstSeenAt: now}
		w.runs[key], w.hasChanges = r, true
	}
	r.checkpoint, r.percent, r.usesCapacity, r.isConfirmed = task.Checkpoint, task.Percent, true, true
	switch {
	case r.state == starting:
		r.state, r.openCall = running, 0
	case r.state == unresolved && !r.isStopConfirmed:
		r.state = running
	case r.state == unresolved && now-r.stoppedAt > a.maxStopDuration()+eventloop.Second:
		r.state, r.retryAt = stopping, now
	}
}
