package checker

// The rules on service after a loss.

import (
	"sparnotch/internal/eventloop"
)

// away: 12, after a major fault a hand-in is confirmed soon.
func (j *judge) away(history []Event) {
	for k, e := range history {
		if e.Kind != Fault {
			continue
		}
		isBack, isAsked, isOver := false, false, false
		sent := map[jobKey]bool{}
		for _, later := range history[k:] {
			if later.At > e.At+j.bounds.Away {
				isOver = true
				break
			}
			switch later.Kind {
			case HandIn:
				isAsked = true
				sent[jobKey{later.Queue, later.Name}] = true
			case HandInReply:
				if sent[jobKey{later.Queue, later.Name}] && (later.Code == 200 || later.Code == 201) {
					isBack = true
				}
			}
		}
		if isOver && isAsked && !isBack {
			j.breach(12, e.At, "no hand-in was confirmed within %d us after: %s", j.bounds.Away, e.State)
		}
	}
}

// service names one kind of service in one place.
type service struct{ what, queue string }

// served: 12 in full. After a fault every kind of service, of every queue, is
// back within the span, unless another fault followed in it; and away from
// faults every request through a front that can serve is served.
func (j *judge) served(history []Event) {
	list := attempts(history)
	var closed eventloop.Micros
	if len(history) > 0 {
		closed = history[len(history)-1].At
	}
	last := eventloop.Micros(0)
	for k, at := range j.faults {
		until := at + j.bounds.Away
		if until > closed || k+1 < len(j.faults) && j.faults[k+1] < until {
			continue
		}
		asked, back := map[service]bool{}, map[service]bool{}
		for _, each := range list {
			// Who asks shortly before the span is over may be answered after it.
			if each.sent >= at && each.sent < until-3*eventloop.Second {
				asked[each.service] = true
			}
			if each.sent >= at && each.at <= until && each.isServed {
				back[each.service] = true
			}
		}
		for what := range asked {
			if !back[what] {
				j.breach(12, at, "%s %s are not back %d us after a fault", what.what, what.queue, j.bounds.Away)
			}
		}
		j.begun(history, at, until)
	}
	// Which fronts could serve when.
	type turn struct {
		at     eventloop.Micros
		isAway bool
	}
	turns := map[string][]turn{}
	for k := range history {
		if e := &history[k]; e.Kind == Away || e.Kind == Back {
			turns[e.Front] = append(turns[e.Front], turn{e.At, e.Kind == Away})
		}
	}
	canServe := func(front string, from, to eventloop.Micros) bool {
		isHere := false
		for _, each := range turns[front] {
			switch {
			case each.at > to:
			case each.isAway && each.at >= from:
				return false
			case each.isAway:
				isHere = false
			default:
				isHere = each.at+j.bounds.Settle <= from
			}
		}
		return isHere
	}
	for _, each := range list {
		if each.isServed || !canServe(each.front, each.sent, each.at) {
			continue
		}
		isCalm := true
		for _, at := range j.faults {
			isCalm = isCalm && (at > each.at || at+j.bounds.Away <= each.sent)
		}
		if isCalm && each.sent > last {
			last = each.at
			j.breach(12, each.sent, "%s %s: %s answers nothing or that it can't, and no fault is near", each.what, each.queue, each.front)
		}
	}
}

// begun: work that waits after a fault is begun again in the span, in every
// queue where some waits, unless the fleet is at work elsewhere all the while.
func (j *judge) begun(history []Event, at, until eventloop.Micros) {
	waits, isBegun, since := map[string]string{}, map[string]bool{}, map[string]eventloop.Micros{}
	for key, a := range j.accounts {
		first := eventloop.Micros(0)
		for _, list := range a.stints {
			for _, s := range list {
				if first == 0 || s.begin < first {
					first = s.begin
				}
				if s.begin > at && s.begin <= until && !s.isResumed {
					isBegun[key.queue] = true
				}
			}
		}
		isPlain := a.spec != nil && a.spec.DelayUs == 0 && a.spec.StartUnixUs == 0 && a.askedEnd == 0
		if isPlain && a.isTaken && a.accepted > at && a.accepted < until-3*eventloop.Second && (first == 0 || first > at) {
			waits[key.queue] = key.name
			if since[key.queue] == 0 || a.accepted < since[key.queue] {
				since[key.queue] = a.accepted
			}
		}
	}
	for queue, name := range waits {
		if !isBegun[queue] && !isBusy(history, queue, since[queue], until) {
			j.breach(12, at, "nothing of the queue %s is begun within %d us after a fault, though %s waits", queue, j.bounds.Away, name)
		}
	}
}

// answered: 12 for workers: whoever is up and not cut off is answered.
func (j *judge) answered(history []Event) {
	heard := map[string]eventloop.Micros{}
	isOff := map[string]bool{}
	look := func(who string, now eventloop.Micros) {
		if at, isUp := heard[who]; isUp && !isOff[who] && now > at+j.bounds.Away {
			j.breach(12, at, "the worker %s has no answer for %d us", who, now-at)
		}
		heard[who] = now
	}
	for k := range history {
		e := &history[k]
		switch e.Kind {
		case Up:
			heard[e.Who], isOff[e.Who] = e.At, false
		case Heard:
			look(e.Who, e.At)
		case Gone:
			look(e.Who, e.At)
			delete(heard, e.Who)
		case Pause:
			look(e.Who, e.At)
			isOff[e.Who] = true
		case Resume:
			isOff[e.Who], heard[e.Who] = false, e.At
		case Cut:
			if !isOff[e.Who] {
				look(e.Who, e.At)
			}
			isOff[e.Who], heard[e.Who] = e.State != Mended, e.At
		case Close:
			for who := range heard {
				if !isOff[who] && wasHeard(history, who) {
					look(who, e.At)
				}
			}
		}
	}
}

// wasHeard tells whether a worker's answers are in the history at all.
func wasHeard(history []Event, who string) bool {
	for k := range history {
		if history[k].Kind == Heard && history[k].Who == who {
			return true
		}
	}
	return false
}
