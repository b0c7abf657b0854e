package agent

import (
	"sparnotch/internal/eventloop"
)

const (
	inspectWait     = eventloop.Second     // how long an inspection waits for a task to end while tasks are running
	idleInspectWait = 2 * eventloop.Second // the same while no task is running
	// lossyInspectWait replaces inspectWait for callLossPeriod after a lost call,
	// because the loss of an inspection is noticed only after its wait.
	lossyInspectWait = 80 * eventloop.Millisecond
	callLossPeriod   = 5 * eventloop.Second
	// acknowledgeDelay is how long the agent waits before it inspects an idle worker
	// only to tell it which ends are acknowledged. If a task starts in the meantime, the
	// next inspection tells it anyway.
	acknowledgeDelay = 500 * eventloop.Millisecond
	// idleInspectionInterval is the maximum time between two inspections of an idle
	// worker. They verify that the worker still accepts calls.
	idleInspectionInterval = 5 * eventloop.Second
	// defaultHeartbeatTimeout is the heartbeatTimeout when the heartbeat interval isn't
	// known.
	defaultHeartbeatTimeout = 3 * eventloop.Second
	// maxEndsPerReply is the maximum number of ended tasks that a worker lists in one
	// reply.
	maxEndsPerReply = 500
)

// inspectWorker keeps one long inspection open, which the worker answers as soon as a
// task ends and which renews the hold. It also sends a short inspection, which the
// worker answers at once, when the worker's reply is needed now.
func (a *Agent) inspectWorker(now eventloop.Micros, w *workerState, effects eventloop.Effects) {
	if now < w.callsBlockedUntil || w.fencingToken == 0 {
		return
	}
	uninspected := w.inspectedToken != w.fencingToken
	isShortOpen := w.shortInspection != 0 && (!uninspected || w.pendingCalls[w.shortInspection].fencingToken == w.fencingToken)
	needsShort := uninspected || w.needsInspection || a.isHoldExpiring(now, w) || w.missedInspections > 0
	if needsShort && !isShortOpen && now >= w.nextShortInspection {
		w.needsInspection = false
		w.shortInspection = a.sendInspection(now, w, 0, effects)
	}
	// An unresponsive worker must reply to a short inspection before the next long one
	// renews its hold.
	if uninspected || w.longInspection != 0 || now < max(w.nextLongInspection, w.pausedUntil) || w.missedInspections > 0 || !a.needsLongInspection(now, w) {
		return
	}
	w.longInspection = a.sendInspection(now, w, a.longInspectionWait(now, w), effects)
}

// needsLongInspection reports whether the worker must be inspected: it has runs or
// unacknowledged ends, it hasn't been told for a while which ends are acknowledged, its
// heartbeats are missing, or its last reply to an inspection is long ago. Otherwise its
// heartbeats suffice to show that it is healthy.
func (a *Agent) needsLongInspection(now eventloop.Micros, w *workerState) bool {
	switch {
	case len(w.runs) > 0, w.hasUnacknowledgedEnds():
		return true
	case w.deliveredThrough < w.acknowledgedThrough:
		return now-w.lastEndAt >= acknowledgeDelay
	}
	return now-w.lastHeard > a.heartbeatTimeout() || now-w.lastAnsweredAt >= idleInspectionInterval
}

// heartbeatTimeout returns the time without a heartbeat after which an idle worker is
// inspected.
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

// isHoldExpiring reports whether the worker's confirmed hold ends soon and a call now
// would extend it. The open long inspection isn't always enough: when it was sent, the
// lease may have been about to end, so that it extends the hold only a little.
func (a *Agent) isHoldExpiring(now eventloop.Micros, w *workerState) bool {
	duration := a.holdExtension(w)
	minRemaining := duration / 5
	if pending := w.pendingCalls[w.longInspection]; pending != nil && pending.wait > inspectWait {
		// The open inspection has the longer wait for idle workers, because nothing ran
		// there when it was sent.
		minRemaining = 2 * duration / 3
	}
	return w.confirmedHoldUntil-now < minRemaining && a.maxHoldDeadline(now, w) > w.confirmedHoldUntil+duration/8 && w.hasStartedRuns()
}

// longInspectionWait returns how long the next long inspection waits for a task to end.
// It is short enough to renew the hold long before it ends, with time for a retry.
func (a *Agent) longInspectionWait(now eventloop.Micros, w *workerState) eventloop.Micros {
	wait := min(inspectWait, a.holdExtension(w)/3)
	if w.lastCallLostAt > 0 && now-w.lastCallLostAt < callLossPeriod {
		wait = min(wait, lossyInspectWait)
	}
	if len(w.runs) == 0 {
		wait = min(idleInspectWait, w.runLeaseDuration/2)
	}
	return max(wait-wait%eventloop.Millisecond, minBackoff)
}

// requireInspection makes the agent inspect the worker before it reports anything else
// about it.
func (a *Agent) requireInspection(w *workerState) {
	w.inspectedToken, w.inspectAfterCall, w.pendingPoll = 0, a.callSequence, nil
}

// handleInspection handles the reply to an inspection, or its failure.
func (a *Agent) handleInspection(now eventloop.Micros, w *workerState, reply Reply, pending *pendingCall) {
	isLong := reply.Number == w.longInspection
	if isLong {
		w.longInspection = 0
	}
	if reply.Number == w.shortInspection {
		w.shortInspection = 0
	}
	// An inspection that was sent before a pause of this process doesn't count against
	// the worker.
	if reply.Number > w.inspectAfterCall {
		w.missedInspections++
	}
	if reply.Outcome != Succeeded {
		a.handleMissedInspection(now, w, reply)
		return
	}
	w.missedInspections, w.lastAnsweredAt = 0, now
	w.deliveredThrough = max(w.deliveredThrough, pending.acknowledged)
	changed := false
	for _, e := range reply.Ended {
		changed = w.recordEnd(e) || changed
	}
	if reply.Number > w.newestInspection {
		w.newestInspection = reply.Number
		a.reconcileRuns(now, w, reply, pending)
	}
	if pending.fencingToken == w.fencingToken && w.inspectedToken != w.fencingToken && reply.Number > w.inspectAfterCall {
		w.inspectedToken, w.hasChanges, w.hasLapsed = w.fencingToken, true, false
	}
	if changed {
		w.backoff, w.lastEndAt, w.pausedUntil = minBackoff, now, now+w.inspectionPause
	}
	if isLong {
		w.scheduleLongInspection(now, changed, pending)
	}
}

// handleMissedInspection retries a single lost inspection at once. It retries after
// other failures with an increasing delay.
func (a *Agent) handleMissedInspection(now eventloop.Micros, w *workerState, reply Reply) {
	if reply.Outcome == TimedOut && w.missedInspections <= 1 {
		w.nextLongInspection, w.nextShortInspection, w.needsInspection = now, now, true
		return
	}
	w.backoff = min(max(w.backoff, minBackoff), maxBackoff)
	w.nextLongInspection, w.nextShortInspection = now+w.backoff, now+w.backoff
	w.backoff = min(2*w.backoff, maxBackoff)
	// The agent reports nothing about an unresponsive worker and doesn't renew its
	// hold, so the scheduler may assign its tasks to other workers once the lease has
	// expired.
	a.requireInspection(w)
}

// scheduleLongInspection sets the time of the next long inspection.
func (w *workerState) scheduleLongInspection(now eventloop.Micros, changed bool, pending *pendingCall) {
	switch {
	case w.hasUnacknowledgedEnds():
		// The worker would list the same ends again at once, so the scheduler gets time
		// to acknowledge them first.
		w.nextLongInspection = now + w.backoff
		w.backoff = min(2*w.backoff, maxBackoff)
	case !changed && now-pending.sentAt < pending.wait/2:
		w.nextLongInspection = now + w.backoff
	default:
		w.nextLongInspection, w.backoff = now, minBackoff
	}
}

// reconcileRuns compares the running tasks that the worker lists with the runs that the
// agent knows. An inspection shows nothing about calls that were sent or answered after
// it was sent.
func (a *Agent) reconcileRuns(now eventloop.Micros, w *workerState, reply Reply, pending *pendingCall) {
	listed := map[attemptKey]bool{}
	for _, task := range reply.Running {
		key := attemptKey{task.Task, task.Attempt}
		listed[key] = true
		a.reconcileListed(now, w, key, task)
	}
	isComplete := len(reply.Ended) < maxEndsPerReply
	for _, key := range sortedKeys(w.runs) {
		r := w.runs[key]
		switch {
		case listed[key]:
		case r.state == starting && r.fencingToken != 0 && r.fencingToken < pending.fencingToken:
			// The worker will reject a start call that is still in flight, and the holder
			// of the new lease orders the starts that it wants.
			delete(w.runs, key)
			w.hasChanges = true
		case r.lastCall >= reply.Number || !isComplete:
		case r.state == running, r.state == unresolved:
			a.markStopped(w, r)
		}
	}
}

// reconcileListed updates the agent's state from a task that the worker lists as
// running.
func (a *Agent) reconcileListed(now eventloop.Micros, w *workerState, key attemptKey, task RunningTask) {
	r := w.runs[key]
	switch e := w.unacknowledged[key]; {
	case e != nil && e.number != 0:
		return
	case e != nil:
		// The agent has reported the attempt as ended, but the worker still runs it, so it
		// is stopped.
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
