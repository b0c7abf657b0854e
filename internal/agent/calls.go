package agent

import (
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func (a *Agent) sendCall(now eventloop.Micros, w *workerState, call Call, effects eventloop.Effects) uint64 {
	a.callSequence++
	call.Number, call.Worker, call.Address, call.FencingToken = a.callSequence, w.id, w.heartbeat.Address, w.fencingToken
	p := &pendingCall{action: call.Action, key: attemptKey{call.Task, call.Attempt}, sentAt: now, fencingToken: w.fencingToken, wait: call.Wait}
	if call.HoldUntil > 0 {
		p.holdUntil = a.maxHoldDeadline(now, w)
		w.maxHoldUntil = max(w.maxHoldUntil, w.clockSampledAt+(call.HoldUntil-w.sampledClock)*50/49+holdMargin)
	}
	// An order or its answer that is lost costs as long as it is waited for, and
	// a second one does no harm.
	call.ReplyTimeout = min(minReplyTimeout+replyTimeoutFactor*w.slowestReply, maxReplyTimeout)
	w.pendingCalls[call.Number] = p
	effects.Notify("caller", call)
	return call.Number
}

// expireCalls takes calls as silent whose replies never came.
func (a *Agent) expireCalls(now eventloop.Micros) {
	if a.worker == nil {
		return
	}
	var lost []uint64
	for number, p := range a.worker.pendingCalls {
		if now-p.sentAt > p.wait+callTimeout {
			lost = append(lost, number)
		}
	}
	slices.Sort(lost)
	for _, number := range lost {
		a.handleReply(now, Reply{Number: number, Outcome: TimedOut})
	}
}

func (a *Agent) handleReply(now eventloop.Micros, m Reply) {
	w := a.worker
	if w == nil || w.isReplaced || w.pendingCalls[m.Number] == nil {
		return
	}
	p := w.pendingCalls[m.Number]
	delete(w.pendingCalls, m.Number)
	a.callSequence++
	if m.Outcome == IncarnationMismatch {
		a.markReplaced(w)
		return
	}
	a.sampleClock(now, w, m.Clock)
	switch {
	case m.Outcome == TimedOut:
		w.lastCallLostAt = now
	case p.wait == 0:
		w.slowestReply = max(now-p.sentAt, w.slowestReply*15/16)
	}
	w.hasReplied = w.hasReplied || m.Outcome == Succeeded || m.Outcome == Rejected
	if m.Outcome == Succeeded {
		w.confirmedHoldUntil = max(w.confirmedHoldUntil, p.holdUntil)
	}
	if m.Outcome == Rejected && m.Reason == StaleToken && p.fencingToken == w.fencingToken {
		w.fencedUntil = now + fencedDelay
	}
	if p.action == Inspect {
		a.handleInspection(now, w, m, p)
		return
	}
	r := w.runs[p.key]
	if r == nil || r.openCall != m.Number {
		return
	}
	r.openCall, r.lastCall = 0, a.callSequence
	if p.action == Start {
		a.handleStartReply(now, w, r, m)
	} else {
		a.handleStopReply(now, w, r, m)
	}
}

// sendDueOrders issues the starts and stops that are due.
func (a *Agent) sendDueOrders(now eventloop.Micros, w *workerState, effects eventloop.Effects) {
	if now < w.fencedUntil || w.fencingToken == 0 {
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
			r.openCall = a.sendCall(now, w, Call{Action: Stop, Task: key.task, Attempt: key.attempt}, effects)
			r.lastCall = r.openCall
		}
	}
}

func (a *Agent) sendStart(now eventloop.Micros, w *workerState, r *run, effects eventloop.Effects) {
	// What an older ward ordered is for the survey to decide.
	if w.inspectedToken != w.fencingToken || r.fencingToken != 0 && r.fencingToken != w.fencingToken {
		return
	}
	// Of a worker that seems deaf nothing can be said to be held.
	if w.missedInspections > 0 {
		return
	}
	timedOut := r.callAttempts > 0 && now-r.firstCallAt >= startTimeout
	if timedOut || w.isDraining || now+minLeaseForStart >= w.leaseExpiresAt || w.clockSampledAt == 0 {
		a.abandonAttempt(now, w, r)
		if r.state == stopping {
			r.openCall = a.sendCall(now, w, Call{Action: Stop, Task: r.key.task, Attempt: r.key.attempt}, effects)
			r.lastCall = r.openCall
		}
		return
	}
	if r.callAttempts == 0 {
		r.firstCallAt = now
	}
	r.callAttempts++
	r.fencingToken = w.fencingToken
	r.openCall = a.sendCall(now, w, Call{
		Action: Start, Task: r.key.task, Attempt: r.key.attempt, Text: r.text, Checkpoint: r.checkpoint, HoldUntil: a.holdDeadline(now, w),
	}, effects)
	r.lastCall = r.openCall
}

func (a *Agent) handleStartReply(now eventloop.Micros, w *workerState, r *run, m Reply) {
	if r.state != starting {
		return
	}
	switch m.Outcome {
	case Succeeded:
		r.state, r.isConfirmed = running, true
	case TimedOut:
		// Lost on its way, most likely: the worker takes a second one as the same.
		r.mayStillStart = true
		if r.retryAt = now; r.callAttempts > 1 {
			r.retryAt += 2 * startRetryDelay
		}
	case Busy:
		// Spread, so that all that was turned away together doesn't come back so.
		r.retryAt = now + startRetryDelay + eventloop.Micros(m.Number*7919%50)*eventloop.Millisecond
	case Rejected:
		switch m.Reason {
		case StaleToken:
			// A newer ward exists: it is for that one to say.
			delete(w.runs, r.key)
			w.hasChanges = true
		case AttemptOver:
			a.markUnresolved(w, r)
		default:
			a.abandonAttempt(now, w, r)
		}
	}
}

// abandonAttempt ends an attempt that isn't to begin here. Where a start may yet be
// carried out, the worker must first be told that it is not to.
func (a *Agent) abandonAttempt(now eventloop.Micros, w *workerState, r *run) {
	if r.mayStillStart || now-a.startedAt < predecessorCallPeriod {
		r.state, r.callAttempts, r.retryAt = stopping, 0, now
		return
	}
	a.markStopped(w, r)
}

// markUnresolved leaves it to a look, sent from now on, whether the run is there, has
// ended, or never was.
func (a *Agent) markUnresolved(w *workerState, r *run) {
	r.state = unresolved
	if !r.isConfirmed {
		w.needsInspection = true
	}
}

func (a *Agent) handleStopReply(now eventloop.Micros, w *workerState, r *run, m Reply) {
	if r.state != stopping {
		return
	}
	r.callAttempts++
	backoff := min(minBackoff<<min(r.callAttempts-1, 4), maxBackoff)
	switch {
	case m.Outcome == Succeeded, m.Outcome == Rejected && m.Reason == AttemptOver:
		// The end, and with it the room, comes when the worker lists it.
		r.isStopped, r.stoppedAt, r.callAttempts = true, now, 0
		a.markUnresolved(w, r)
	case m.Outcome == Busy:
		r.retryAt = now + startRetryDelay + eventloop.Micros(m.Number*7919%50)*eventloop.Millisecond
	default:
		r.retryAt = now + backoff
	}
}

// inspectWorker keeps one long look open, by which ends come at once and what runs
// is held; and sends a short one where something waits for the worker's word.
func (a *Agent) inspectWorker(now eventloop.Micros, w *workerState, effects eventloop.Effects) {
	if now < w.fencedUntil || w.fencingToken == 0 {
		return
	}
	uninspected := w.inspectedToken != w.fencingToken
	open := w.shortInspection != 0 && (!uninspected || w.pendingCalls[w.shortInspection].fencingToken == w.fencingToken)
	duration := a.holdDuration(w)
	// The long look that is open may have been sent with a lease about to end.
	minRemaining := duration / 5
	if pending := w.pendingCalls[w.longInspection]; pending != nil && pending.wait > inspectWait {
		// And it may have been sent to wait long, when nothing ran there yet.
		minRemaining = 2 * duration / 3
	}
	expiring := w.confirmedHoldUntil-now < minRemaining && a.maxHoldDeadline(now, w) > w.confirmedHoldUntil+duration/8 && w.hasStartedRuns()
	if (uninspected || w.needsInspection || expiring || w.missedInspections > 0) && !open && now >= w.nextShortInspection {
		w.needsInspection = false
		w.shortInspection = a.sendCall(now, w, Call{Action: Inspect, HoldUntil: a.holdDeadline(now, w), AcknowledgedThrough: w.acknowledgedThrough}, effects)
	}
	// Of one that seems deaf a short look must be answered first: the next renews
	// what it holds.
	if uninspected || w.longInspection != 0 || now < w.nextLongInspection || w.missedInspections > 0 {
		return
	}
	// Renewed long before the hold's end, with time for a second try.
	wait := min(inspectWait, duration/3)
	if w.lastCallLostAt > 0 && now-w.lastCallLostAt < callLossPeriod {
		wait = min(wait, lossyInspectWait)
	}
	if len(w.runs) == 0 {
		wait = min(idleInspectWait, w.leaseDuration/2)
	}
	wait = max(wait-wait%eventloop.Millisecond, minBackoff)
	w.longInspection = a.sendCall(now, w, Call{Action: Inspect, HoldUntil: a.holdDeadline(now, w), AcknowledgedThrough: w.acknowledgedThrough, Wait: wait}, effects)
}

// hasStartedRuns tells whether anything may run there that no start of ours, still
// open, is about to hold.
func (w *workerState) hasStartedRuns() bool {
	for _, r := range w.runs {
		if r.state != starting {
			return true
		}
	}
	return false
}

// holdDuration is how long the worker holds its work when told now.
func (a *Agent) holdDuration(w *workerState) eventloop.Micros {
	duration := min(w.leaseDuration, maxHoldDuration)
	if limit := eventloop.Micros(a.bounds.HoldMostUs); limit > 0 {
		return min(duration, limit)
	}
	return duration
}

// maxHoldDeadline is until when it would hold it.
func (a *Agent) maxHoldDeadline(now eventloop.Micros, w *workerState) eventloop.Micros {
	return min(w.leaseExpiresAt, now+a.holdDuration(w))
}

func (a *Agent) handleInspection(now eventloop.Micros, w *workerState, m Reply, p *pendingCall) {
	long := m.Number == w.longInspection
	if long {
		w.longInspection = 0
	}
	if m.Number == w.shortInspection {
		w.shortInspection = 0
	}
	// One sent before a pause of ours says nothing of the worker.
	if m.Number > w.inspectAfterCall {
		w.missedInspections++
	}
	if m.Outcome == TimedOut && w.missedInspections <= 1 {
		// One may have been lost on its way: a second is sent at once.
		w.nextLongInspection, w.nextShortInspection, w.needsInspection = now, now, true
		return
	}
	if m.Outcome != Succeeded {
		w.backoff = min(max(w.backoff, minBackoff), maxBackoff)
		w.nextLongInspection, w.nextShortInspection = now+w.backoff, now+w.backoff
		w.backoff = min(2*w.backoff, maxBackoff)
		// Whoever doesn't answer isn't spoken for: what it holds isn't renewed
		// either, so the scheduler may give it to others when the lease is over.
		a.requireInspection(w)
		return
	}
	w.missedInspections = 0
	changed := false
	for _, e := range m.Ended {
		changed = a.recordEnd(w, e) || changed
	}
	if m.Number > w.newestInspection {
		w.newestInspection = m.Number
		a.reconcileRuns(now, w, m, p)
	}
	if p.fencingToken == w.fencingToken && w.inspectedToken != w.fencingToken && m.Number > w.inspectAfterCall {
		w.inspectedToken, w.hasChanges, w.isHoldExpired = w.fencingToken, true, false
	}
	if changed {
		w.backoff = minBackoff
	}
	if !long {
		return
	}
	switch {
	case w.hasUnacknowledgedEnds():
		// It would list the same again at once: the scheduler's word is awaited,
		// and for a while only.
		w.nextLongInspection = now + w.backoff
		w.backoff = min(2*w.backoff, maxBackoff)
	case !changed && now-p.sentAt < p.wait/2:
		w.nextLongInspection = now + w.backoff
	default:
		w.nextLongInspection, w.backoff = now, minBackoff
	}
}

func (w *workerState) hasUnacknowledgedEnds() bool {
	for _, e := range w.listedEnds {
		if !e.isAcknowledged {
			return true
		}
	}
	return false
}

// listedEnds takes in an end that the worker lists, and tells whether it is new.
// Whenever the look was sent, an end is an end.
func (a *Agent) recordEnd(w *workerState, m EndedTask) bool {
	if m.Number <= w.acknowledgedThrough || w.listedEnds[m.Number] != nil {
		return false
	}
	key := attemptKey{m.Task, m.Attempt}
	e := &endedAttempt{number: m.Number, status: w.taskStatus(key, m.State, m.Checkpoint)}
	w.listedEnds[m.Number] = e
	w.highestEnd = max(w.highestEnd, m.Number)
	if former := w.unacknowledged[key]; former != nil && former.number != 0 {
		e.isAcknowledged = true
		w.advanceAcknowledged()
		return true
	}
	w.unacknowledged[key] = e
	delete(w.runs, key)
	w.hasChanges = true
	return true
}

func (w *workerState) taskStatus(key attemptKey, state, saved string) *schema.TaskStatus {
	status := &schema.TaskStatus{
		Name: key.task.Job, Round: key.task.Round, StepInRound: key.task.StepInRound, Task: key.task.Task, Attempt: key.attempt,
		State: state, Checkpoint: saved,
	}
	if r := w.runs[key]; r != nil {
		status.CoresMilli, status.MemoryMb, status.Percent = r.cores, r.memory, r.percent
	}
	return status
}

// markStopped reports an attempt that runs here no more though the worker lists no
// end of it.
func (a *Agent) markStopped(w *workerState, r *run) { a.markEnded(w, r, "stopped") }

func (a *Agent) markEnded(w *workerState, r *run, state string) {
	w.unacknowledged[r.key] = &endedAttempt{status: w.taskStatus(r.key, state, r.checkpoint)}
	delete(w.runs, r.key)
	w.hasChanges = true
	if len(w.abandoned) >= maxAbandoned {
		maps.DeleteFunc(w.abandoned, func(_ attemptKey, at eventloop.Micros) bool { return a.lastStepAt-at > abandonedRetention })
	}
	w.abandoned[r.key] = a.lastStepAt
}

// reconcileRuns compares the worker's list of what runs with ours. A look says
// nothing about what was ordered, or answered, after it was sent.
func (a *Agent) reconcileRuns(now eventloop.Micros, w *workerState, m Reply, p *pendingCall) {
	listed := map[attemptKey]bool{}
	for _, task := range m.Running {
		key := attemptKey{task.Task, task.Attempt}
		listed[key] = true
		r := w.runs[key]
		switch e := w.unacknowledged[key]; {
		case e != nil && e.number != 0:
			continue
		case e != nil:
			// We gave it up, and it runs: that must not be.
			delete(w.unacknowledged, key)
			r = &run{key: key, state: stopping, startedAt: now}
			w.runs[key] = r
		case r == nil:
			r = &run{key: key, state: running, startedAt: now}
			w.runs[key], w.hasChanges = r, true
		}
		r.checkpoint, r.percent, r.usesCapacity, r.isConfirmed = task.Checkpoint, task.Percent, true, true
		switch {
		case r.state == starting:
			r.state, r.openCall = running, 0
		case r.state == unresolved && !r.isStopped:
			r.state = running
		case r.state == unresolved && now-r.stoppedAt > a.maxStopDuration()+eventloop.Second:
			r.state, r.retryAt = stopping, now
		}
	}
	complete := len(m.Ended) < maxEndsPerReply
	for _, key := range sortedKeys(w.runs) {
		r := w.runs[key]
		switch {
		case listed[key]:
		case r.state == starting && r.fencingToken != 0 && r.fencingToken < p.fencingToken:
			// Whatever of it is still on its way will be turned away, and the
			// new ward orders what it wants.
			delete(w.runs, key)
			w.hasChanges = true
		case r.lastCall >= m.Number || !complete:
		case r.state == running, r.state == unresolved:
			a.markStopped(w, r)
		}
	}
}

func (a *Agent) maxStopDuration() eventloop.Micros {
	if a.bounds.StopUs > 0 {
		return eventloop.Micros(a.bounds.StopUs)
	}
	return defaultStopTimeout
}

// advanceAcknowledged reckons up to where all ends are noted.
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
