package fakeworker

import (
	"slices"

	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
)

const (
	replyTimeout         = 400 * eventloop.Millisecond // the caller times out this long after Call.Wait
	maxInspectionWait    = 2 * eventloop.Second
	maxEndsPerInspection = 500
	defaultFaultDelay    = 2 * eventloop.Second // of calls with FaultDelayed
)

// waitingInspection is an inspection call whose reply waits for the end of a run.
type waitingInspection struct {
	call     agent.Call
	deadline eventloop.Micros
	reply    func(agent.Reply)
}

// delayedAction is an action that a later Step executes once it is due.
type delayedAction struct {
	dueAt     eventloop.Micros
	apply     func(now eventloop.Micros)
	isTimeout bool // it is the caller's timeout, so a crash of the worker doesn't discard it
}

// HandleCall carries out a call, subject to the configured faults. It calls reply exactly once,
// either before it returns or in a later Step.
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

// apply checks the incarnation and fencing token of a call, extends the run deadline, and
// carries out the call.
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
	w.extendRunDeadline(now, call.RunDeadline)
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

// extendRunDeadline moves the deadline of all runs to until, but never back, and no further than
// MaxWorkerLeaseUs from now. An until of 0 leaves the deadline unchanged.
func (w *CalledWorker) extendRunDeadline(now, until eventloop.Micros) {
	if until <= 0 {
		return
	}
	if limit := eventloop.Micros(w.config.Bounds.MaxWorkerLeaseUs); limit > 0 {
		until = min(until, w.Clock(now)+limit)
	}
	w.runDeadline = max(w.runDeadline, until)
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
