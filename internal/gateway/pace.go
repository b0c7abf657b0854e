package gateway

// Turning away: at what pace a queue takes work, and when to come back.

import (
	"encoding/json"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Fault encodes an error for callers.
func Fault(code, message, field string) []byte {
	data, err := json.Marshal(&schema.Error{Code: code, Message: message, Field: field})
	if err != nil {
		return nil
	}
	return data
}

func (t *Table) refuse(request uint64, code int32, name, message string, retry int, out eventloop.Effects) {
	out.Respond(request, Answer{Code: code, Body: Fault(name, message, ""), Retry: retry})
}

// turnAway says no before the submission has a number, and when there should be
// room: each who is told so is given the next turn, at the pace at which room
// has been coming of late.
func (t *Table) turnAway(now eventloop.Micros, m HandIn, code, message, what string, out eventloop.Effects) {
	t.refuse(m.Request, 429, code, message, t.pace(what).turn(now), out)
}

// pace is how fast something gets done, and who is expected back.
type pace struct {
	done   uint64 // so far
	before uint64 // at the last look
	at     eventloop.Micros
	rate   float64          // a second
	next   eventloop.Micros // when the last who was told to come back may
}

func (t *Table) pace(what string) *pace {
	if t.paces[what] == nil {
		t.paces[what] = &pace{}
	}
	return t.paces[what]
}

// count takes in how much has been done, in all, by now.
func (p *pace) count(now eventloop.Micros, done uint64) {
	p.done = max(p.done, done)
	if p.at == 0 {
		p.at, p.before = now, p.done
		return
	}
	if span := now - p.at; span >= rateSpan {
		rate := float64(p.done-p.before) * float64(eventloop.Second) / float64(span)
		p.rate = (p.rate + rate) / 2
		p.at, p.before = now, p.done
	}
}

// turn gives the next turn, in whole seconds from now.
func (p *pace) turn(now eventloop.Micros) int {
	// Where nothing gets done, nobody knows; a few seconds are worth a try.
	wait := 5 * eventloop.Second
	if p.rate > 0.2 {
		wait = eventloop.Micros(float64(eventloop.Second) / p.rate)
	}
	p.next = min(max(p.next, now)+wait, now+longestRetry*eventloop.Second)
	return max(1, int((p.next-now+eventloop.Second-1)/eventloop.Second))
}

// notReady is the answer of a front that has no word of the cluster state: the longer
// it lasts, the less soon it is worth asking here again.
func (t *Table) notReady(now eventloop.Micros, request uint64, out eventloop.Effects) {
	retry := 1
	if since := t.lease.confirmedAt; since > 0 {
		retry = min(max(int((now-since)/(2*eventloop.Second)), 1), 10)
	}
	t.refuse(request, 503, "not_ready", "this front has no fresh word of the cluster state: ask another", retry, out)
}
