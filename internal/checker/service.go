package checker

// The rules on service after a loss.

import (
	"sparnotch/internal/eventloop"
)

// checkSubmissionsRecover: 12, after a major fault a hand-in is confirmed soon.
func (a *analysis) checkSubmissionsRecover(history []Event) {
	for k, e := range history {
		if e.Kind != Fault {
			continue
		}
		confirmed, submitted, elapsed := false, false, false
		sent := map[jobKey]bool{}
		for _, later := range history[k:] {
			if later.At > e.At+a.bounds.Recovery {
				elapsed = true
				break
			}
			switch later.Kind {
			case Submit:
				submitted = true
				sent[jobKey{later.Queue, later.Name}] = true
			case SubmitReply:
				if sent[jobKey{later.Queue, later.Name}] && (later.Code == 200 || later.Code == 201) {
					confirmed = true
				}
			}
		}
		if elapsed && submitted && !confirmed {
			a.report(12, e.At, "no hand-in was confirmed within %d us after: %s", a.bounds.Recovery, e.State)
		}
	}
}

// service names one kind of service in one place.
type service struct{ kind, queue string }

// checkServiceRecovers: 12 in full. After a fault every kind of service, of every queue, is
// back within the span, unless another fault followed in it; and away from
// faults every request through a front that can serve is served.
func (a *analysis) checkServiceRecovers(history []Event) {
	requests := requestsOf(history)
	var closedAt eventloop.Micros
	if len(history) > 0 {
		closedAt = history[len(history)-1].At
	}
	lastReported := eventloop.Micros(0)
	for k, at := range a.faults {
		until := at + a.bounds.Recovery
		if until > closedAt || k+1 < len(a.faults) && a.faults[k+1] < until {
			continue
		}
		asked, back := map[service]bool{}, map[service]bool{}
		for _, each := range requests {
			// Who asks shortly before the span is over may be answered after it.
			if each.sentAt >= at && each.sentAt < until-3*eventloop.Second {
				asked[each.service] = true
			}
			if each.sentAt >= at && each.answeredAt <= until && each.isServed {
				back[each.service] = true
			}
		}
		for what := range asked {
			if !back[what] {
				a.report(12, at, "%s %s are not back %d us after a fault", what.kind, what.queue, a.bounds.Recovery)
			}
		}
		a.checkWaitingWorkStarts(history, at, until)
	}
	// Which fronts could serve when.
	type transition struct {
		at     eventloop.Micros
		isAway bool
	}
	transitions := map[string][]transition{}
	for k := range history {
		if e := &history[k]; e.Kind == GatewayUnavailable || e.Kind == GatewayAvailable {
			transitions[e.Gateway] = append(transitions[e.Gateway], transition{e.At, e.Kind == GatewayUnavailable})
		}
	}
	canServe := func(front string, from, to eventloop.Micros) bool {
		available := false
		for _, each := range transitions[front] {
			switch {
			case each.at > to:
			case each.isAway && each.at >= from:
				return false
			case each.isAway:
				available = false
			default:
				available = each.at+a.bounds.GatewayReady <= from
			}
		}
		return available
	}
	for _, each := range requests {
		if each.isServed || !canServe(each.gateway, each.sentAt, each.answeredAt) {
			continue
		}
		undisturbed := true
		for _, at := range a.faults {
			undisturbed = undisturbed && (at > each.answeredAt || at+a.bounds.Recovery <= each.sentAt)
		}
		if undisturbed && each.sentAt > lastReported {
			lastReported = each.answeredAt
			a.report(12, each.sentAt, "%s %s: %s answers nothing or that it can't, and no fault is near", each.kind, each.queue, each.gateway)
		}
	}
}

// checkWaitingWorkStarts: work that waits after a fault is begun again in the span, in every
// queue where some waits, unless the fleet is at work elsewhere all the while.
func (a *analysis) checkWaitingWorkStarts(history []Event, at, until eventloop.Micros) {
	waits, isBegun, since := map[string]string{}, map[string]bool{}, map[string]eventloop.Micros{}
	for key, job := range a.jobs {
		first := eventloop.Micros(0)
		for _, list := range job.runs {
			for _, run := range list {
				if first == 0 || run.start < first {
					first = run.start
				}
				if run.start > at && run.start <= until && !run.isResumed {
					isBegun[key.queue] = true
				}
			}
		}
		isPlain := job.spec != nil && job.spec.DelayUs == 0 && job.spec.StartUnixUs == 0 && job.cancelRequestedAt == 0
		if isPlain && job.isAccepted && job.acceptedAt > at && job.acceptedAt < until-3*eventloop.Second && (first == 0 || first > at) {
			waits[key.queue] = key.name
			if since[key.queue] == 0 || job.acceptedAt < since[key.queue] {
				since[key.queue] = job.acceptedAt
			}
		}
	}
	for queue, name := range waits {
		if !isBegun[queue] && !isBusy(history, queue, since[queue], until) {
			a.report(12, at, "nothing of the queue %s is begun within %d us after a fault, though %s waits", queue, a.bounds.Recovery, name)
		}
	}
}

// checkWorkersAnswered: 12 for workers: whoever is up and not cut off is answered.
func (a *analysis) checkWorkersAnswered(history []Event) {
	lastAnswer := map[string]eventloop.Micros{}
	unreachable := map[string]bool{}
	checkGap := func(who string, now eventloop.Micros) {
		if at, isUp := lastAnswer[who]; isUp && !unreachable[who] && now > at+a.bounds.Recovery {
			a.report(12, at, "the worker %s has no answer for %d us", who, now-at)
		}
		lastAnswer[who] = now
	}
	for k := range history {
		e := &history[k]
		switch e.Kind {
		case WorkerUp:
			lastAnswer[e.Actor], unreachable[e.Actor] = e.At, false
		case WorkerAnswered:
			checkGap(e.Actor, e.At)
		case WorkerGone:
			checkGap(e.Actor, e.At)
			delete(lastAnswer, e.Actor)
		case WorkerPaused:
			checkGap(e.Actor, e.At)
			unreachable[e.Actor] = true
		case WorkerResumed:
			unreachable[e.Actor], lastAnswer[e.Actor] = false, e.At
		case WorkerPartitioned:
			if !unreachable[e.Actor] {
				checkGap(e.Actor, e.At)
			}
			unreachable[e.Actor], lastAnswer[e.Actor] = e.State != Healed, e.At
		case Close:
			for who := range lastAnswer {
				if !unreachable[who] && hasAnswers(history, who) {
					checkGap(who, e.At)
				}
			}
		}
	}
}

// hasAnswers tells whether a worker's answers are in the history at all.
func hasAnswers(history []Event, who string) bool {
	for k := range history {
		if history[k].Kind == WorkerAnswered && history[k].Actor == who {
			return true
		}
	}
	return false
}
