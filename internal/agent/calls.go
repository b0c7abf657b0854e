package agent

import (
	"slices"

	"sparnotch/internal/eventloop"
)

// callerComponent is the name of the component that carries out calls.
const callerComponent = "caller"

const (
	// callTimeout is the time, in addition to the call's wait, after which a call
	// without a Reply counts as timed out.
	callTimeout = 3 * eventloop.Second
	// The timeout of a reply is minReplyTimeout plus replyTimeoutFactor times the
	// slowest recent reply, at most maxReplyTimeout.
	minReplyTimeout    = 40 * eventloop.Millisecond
	maxReplyTimeout    = 400 * eventloop.Millisecond
	replyTimeoutFactor = 4
	// fencedDelay is how long the agent sends no calls to a worker that has seen a
	// higher fencing token.
	fencedDelay = 300 * eventloop.Millisecond
	// minBackoff and maxBackoff bound the delay after a failed inspection or stop.
	minBackoff = 100 * eventloop.Millisecond
	maxBackoff = 400 * eventloop.Millisecond
)

// pendingCall is a call that awaits its reply.
type pendingCall struct {
	action       Action
	key          attemptKey
	sentAt       eventloop.Micros
	fencingToken uint64
	wait         eventloop.Micros // Call.Wait
	holdUntil    eventloop.Micros // end of the hold that the call asks for, by the agent's clock; 0: the call doesn't extend the hold
	acknowledged uint64           // Call.AcknowledgedThrough
}

// sendCall sends a call to the worker and returns the call's number.
func (a *Agent) sendCall(now eventloop.Micros, w *workerState, call Call, effects eventloop.Effects) uint64 {
	a.callSequence++
	call.Number, call.Worker, call.Address, call.FencingToken = a.callSequence, w.id, w.heartbeat.Address, w.fencingToken
	pending := &pendingCall{action: call.Action, key: attemptKey{call.Task, call.Attempt}, sentAt: now, fencingToken: w.fencingToken, wait: call.Wait, acknowledged: call.AcknowledgedThrough}
	if call.RunDeadline > 0 {
		pending.holdUntil = a.maxHoldDeadline(now, w)
		w.extendMaxHold(call.RunDeadline)
	}
	// A lost call or reply costs the whole timeout, and sending the same call twice
	// does no harm, so the timeout is short.
	call.ReplyTimeout = min(minReplyTimeout+replyTimeoutFactor*w.slowestReply, maxReplyTimeout)
	w.pendingCalls[call.Number] = pending
	effects.Notify(callerComponent, call)
	return call.Number
}

// expireCalls treats calls that got no reply in time as timed out.
func (a *Agent) expireCalls(now eventloop.Micros) {
	if a.worker == nil {
		return
	}
	var expired []uint64
	for number, pending := range a.worker.pendingCalls {
		if now-pending.sentAt > pending.wait+callTimeout {
			expired = append(expired, number)
		}
	}
	slices.Sort(expired)
	for _, number := range expired {
		a.handleReply(now, Reply{Number: number, Outcome: TimedOut})
	}
}

// handleReply handles the reply to a pending call.
func (a *Agent) handleReply(now eventloop.Micros, reply Reply) {
	w := a.worker
	if w == nil || w.isReplaced || w.pendingCalls[reply.Number] == nil {
		return
	}
	pending := w.pendingCalls[reply.Number]
	delete(w.pendingCalls, reply.Number)
	a.callSequence++
	if reply.Outcome == IncarnationMismatch {
		a.markReplaced(w)
		return
	}
	a.sampleClock(now, w, reply.Clock)
	w.recordOutcome(now, reply, pending)
	if pending.action == Inspect {
		a.handleInspection(now, w, reply, pending)
		return
	}
	r := w.runs[pending.key]
	if r == nil || r.openCall != reply.Number {
		return
	}
	r.openCall, r.lastCall = 0, a.callSequence
	if pending.action == Start {
		a.handleStartReply(now, w, r, reply)
	} else {
		a.handleStopReply(now, w, r, reply)
	}
}

// recordOutcome updates the worker's state from the reply to a call of any kind.
func (w *workerState) recordOutcome(now eventloop.Micros, reply Reply, pending *pendingCall) {
	switch {
	case reply.Outcome == TimedOut:
		w.lastCallLostAt = now
	case pending.wait == 0:
		w.slowestReply = max(now-pending.sentAt, w.slowestReply*15/16)
	}
	w.hasReplied = w.hasReplied || reply.Outcome == Succeeded || reply.Outcome == Rejected
	if reply.Outcome == Succeeded {
		w.confirmedHoldUntil = max(w.confirmedHoldUntil, pending.holdUntil)
	}
	if reply.Outcome == Rejected && reply.Reason == StaleToken && pending.fencingToken == w.fencingToken {
		w.callsBlockedUntil = now + fencedDelay
	}
}
