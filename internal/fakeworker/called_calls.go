package fakeworker

import (
	"slices"

	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
)

const (
	replyTimeout         = 400 * eventloop.Millisecond // the caller gives up then
	maxInspectionWait    = 2 * eventloop.Second
	maxEndsPerInspection = 500
	defaultFaultDelay    = 2 * eventloop.Second
)

// waitingInspection is an inspection that waits for a run to end.
type waitingInspection struct {
	call     agent.Call
	deadline eventloop.Micros
	reply    func(agent.Reply)
}

// delayedAction is carried out in a later step.
type delayedAction struct {
	dueAt     eventloop.Micros
	apply     func(now eventloop.Micros)
	isTimeout bool // of the caller, so it outlives the worker
}

// HandleCall carries a call out. It calls reply once, at once or in a later step.
func (w *CalledWorker) HandleCall(now eventloop.Micros, call agent.Call, reply func(agent.Reply)) {
	w.Step(now)
	fault := NoFault
	if w.config.Fault != nil {
		fault = w.config.Fault(now, call)
	}
	replyTimedOut := func(delay eventloop.Micros) {
		w.delayed = append(w.delayed, delayedAction{now + delay, func(eventloop.Micros) {
			reply(agent.Reply{Number: call.Number, Outcome: agent.TimedOut})
		}, true})
	}
	switch {
	case w.isDead, fault == FaultRequestLost:
		replyTimedOut(replyTimeout + call.Wait)
	case fault == FaultBusy:
		reply(agent.Reply{Number: call.Number, Outcome: agent.Busy})
	case fault == FaultReplyLost:
		w.apply(now, call, func(agent.Reply) {})
		replyTimedOut(replyTimeout + call.Wait)
	case fault == FaultDelayed:
		delay := w.config.FaultDelay
		if delay == 0 {
			delay = defaultFaultDelay
		}
		replyTimedOut(replyTimeout + call.Wait)
		w.delayed = append(w.delayed, delayedAction{now + delay, func(at eventloop.Micros) {
			w.isDelayed = true
			w.apply(at, call, func(agent.Reply) {})
			w.isDelayed = false
		}, false})
	default:
		w.apply(now, call, reply)
	}
}

// apply checks a call's incarnation and fencing token, extends the hold, and
// carries the call out.
func (w *CalledWorker) apply(now eventloop.Micros, call agent.Call, reply func(agent.Reply)) {
	result := agent.Reply{Number: call.Number, Outcome: agent.Succeeded, Clock: w.Clock(now)}
	reject := func(reason agent.RejectionReason) {
		result.Outcome, result.Reason = agent.Rejected, reason
		reply(result)
	}
	if call.Worker != w.id {
		reply(agent.Reply{Number: call.Number, Outcome: agent.IncarnationMismatch})
		return
	}
	if call.FencingToken < w.fencingToken {
		reject(agent.StaleToken)
		return
	}
	w.fencingToken = call.FencingToken
	w.extendHold(now, call.RunDeadline)
	switch call.Action {
	case agent.Start:
		if reason := w.startRun(now, call); reason != agent.NotRejected {
			reject(reason)
			return
		}
		reply(result)
	case agent.Stop:
		w.stopRun(now, RunID{call.Task, call.Attempt})
		reply(result)
	case agent.Inspect:
		w.dropAcknowledged(now, call.AcknowledgedThrough)
		if call.Wait > 0 && len(w.ended) == 0 {
			w.inspections = append(w.inspections, waitingInspection{call, now + min(call.Wait, maxInspectionWait), reply})
			return
		}
		w.replyToInspection(now, call, reply)
	}
}

// extendHold extends the hold on all runs, up to the bound; 0 leaves it as it is.
func (w *CalledWorker) extendHold(now, until eventloop.Micros) {
	if until <= 0 {
		return
	}
	if limit := eventloop.Micros(w.config.Bounds.MaxWorkerLeaseUs); limit > 0 {
		until = min(until, w.Clock(now)+limit)
	}
	w.holdUntil = max(w.holdUntil, until)
}

func (w *CalledWorker) dropAcknowledged(now eventloop.Micros, through uint64) {
	for len(w.ended) > 0 && w.ended[0].Number <= through {
		if w.config.OnAcknowledged != nil {
			w.config.OnAcknowledged(now, w.ended[0])
		}
		w.ended = w.ended[1:]
	}
}

func (w *CalledWorker) replyToInspection(now eventloop.Micros, call agent.Call, reply func(agent.Reply)) {
	result := agent.Reply{Number: call.Number, Outcome: agent.Succeeded, Clock: w.Clock(now)}
	for _, key := range w.sortedIDs() {
		r := w.runs[key]
		running := agent.RunningTask{Task: key.Task, Attempt: key.Attempt, Checkpoint: w.checkpoint(now, r, false)}
		if r.requirements.Work > 0 {
			running.Percent = int64(100 * w.workDone(now, r) / r.requirements.Work)
		}
		result.Running = append(result.Running, running)
	}
	result.Ended = slices.Clone(w.ended[:min(len(w.ended), maxEndsPerInspection)])
	reply(result)
}
