package agent

import (
	"slices"

	"sparnotch/internal/eventloop"
)

// callerComponent is the component that carries calls out.
const callerComponent = "caller"

const (
	// callTimeout is when a call whose Reply never came counts as timed out.
	callTimeout = 3 * eventloop.Second
	// The reply timeout is minReplyTimeout plus replyTimeoutFactor times the slowest recent
	// reply, at most maxReplyTimeout.
	minReplyTimeout    = 40 * eventloop.Millisecond
	maxReplyTimeout    = 400 * eventloop.Millisecond
	replyTimeoutFactor = 4
	// fencedDelay is how long a worker that has seen a higher token isn't called.
	fencedDelay = 300 * eventloop.Millisecond
	// minBackoff and maxBackoff bound the delay after a failed inspection or stop.
	minBackoff = 100 * eventloop.Millisecond
	maxBackoff = 400 * eventloop.Millisecond
)

// pendingCall is a call whose reply is awaited.
type pendingCall struct {
	action       Action
	key          attemptKey
	sentAt       eventloop.Micros
	fencingToken uint64
	wait         eventloop.Micros // as in Call
	holdUntil    eventloop.Micros // by the agent's clock; 0: the hold isn't extended
	acknowledged uint64           // as AcknowledgedThrough in Call
}

// sendCall sends a call and returns its number.
func (a *Agent) sendCall(now eventloop.Micros, w *workerState, call Call, effects eventloop.Effects) uint64 {
	a.callSequence++
	call.Number, call.Worker, call.Address, call.FencingToken = a.callSequence, w.id, w.heartbeat.Address, w.fencingToken
	p := &pendingCall{action: call.Action, key: attemptKey{call.Task, call.Attempt}, sentAt: now, fencingToken: w.fencingToken, wait: call.Wait, acknowledged: call.AcknowledgedThrough}
	if call.RunDeadline > 0 {
		p.holdUntil = a.maxHoldDeadline(now, w)
		w.extendMaxHold(call.RunDeadline)
	}
	// A lost call or reply costs as long as it is waited for, and a second call of
	// the same does no harm.
	call.ReplyTimeout = min(minReplyTimeout+replyTimeoutFactor*w.slowestReply, maxReplyTimeout)
	w.pendingCalls[call.Number] = p
	effects.Notify(callerComponent, call)
	return call.Number
}

// expireCalls treats calls whose replies never came as timed out.
func (a *Agent) expireCalls(now eventloop.Micros) {
	if a.worker == nil {
		return
	}
	var expired []uint64
	for number, p := range a.worker.pendingCalls {
		if now-p.sentAt > p.wait+callTimeout {
			expired = append(expired, number)
		}
	}
	slices.Sort(expired)
	for _, number := range expired {
		a.handleReply(now, Reply{Number: number, Outcome: TimedOut})
	}
}

// handleReply takes the reply to a pending call.
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
	w.recordOutcome(now, m, p)
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

// recordOutcome keeps what a reply of any kind says of the worker.
func (w *workerState) recordOutcome(now eventloop.Micros, m Reply, p *pendingCall) {
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
		w.callsBlockedUntil = now + fencedDelay
	}
}
