package gateway

// Turning away: at what pace a queue takes work, and when to come back.

import (
	"encoding/json"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// FaultBody encodes an error for callers.
func FaultBody(code, message, field string) []byte {
	data, err := json.Marshal(&schema.Error{Code: code, Message: message, Field: field})
	if err != nil {
		return nil
	}
	return data
}

func (g *Gateway) reject(requestID uint64, code int32, name, message string, retryAfter int, effects eventloop.Effects) {
	effects.Respond(requestID, Response{Code: code, Body: FaultBody(name, message, ""), RetryAfter: retryAfter})
}

// rejectOverloaded says no before the submission has a number, and when there should be
// room: each who is told so is given the next turn, at the pace at which room
// has been coming of late.
func (g *Gateway) rejectOverloaded(now eventloop.Micros, m SubmitJob, code, message, throughputKey string, effects eventloop.Effects) {
	g.reject(m.RequestID, 429, code, message, g.throughputOf(throughputKey).nextRetryAfter(now), effects)
}

// throughput is how fast something gets done, and who is expected back.
type throughput struct {
	done         uint64 // so far
	previousDone uint64 // at the last look
	measuredAt   eventloop.Micros
	rate         float64          // a second
	nextRetryAt  eventloop.Micros // when the last who was told to come back may
}

func (g *Gateway) throughputOf(key string) *throughput {
	if g.throughputs[key] == nil {
		g.throughputs[key] = &throughput{}
	}
	return g.throughputs[key]
}

// record takes in how much has been done, in all, by now.
func (p *throughput) record(now eventloop.Micros, done uint64) {
	p.done = max(p.done, done)
	if p.measuredAt == 0 {
		p.measuredAt, p.previousDone = now, p.done
		return
	}
	if elapsed := now - p.measuredAt; elapsed >= minRateWindow {
		rate := float64(p.done-p.previousDone) * float64(eventloop.Second) / float64(elapsed)
		p.rate = (p.rate + rate) / 2
		p.measuredAt, p.previousDone = now, p.done
	}
}

// nextStorageNode gives the next turn, in whole seconds from now.
func (p *throughput) nextRetryAfter(now eventloop.Micros) int {
	// Where nothing gets done, nobody knows; a few seconds are worth a try.
	wait := 5 * eventloop.Second
	if p.rate > 0.2 {
		wait = eventloop.Micros(float64(eventloop.Second) / p.rate)
	}
	p.nextRetryAt = min(max(p.nextRetryAt, now)+wait, now+maxRetryAfterSeconds*eventloop.Second)
	return max(1, int((p.nextRetryAt-now+eventloop.Second-1)/eventloop.Second))
}

// rejectNotReady is the answer of a front that has no word of the cluster state: the longer
// it lasts, the less soon it is worth asking here again.
func (g *Gateway) rejectNotReady(now eventloop.Micros, requestID uint64, effects eventloop.Effects) {
	retryAfter := 1
	if since := g.lease.confirmedAt; since > 0 {
		retryAfter = min(max(int((now-since)/(2*eventloop.Second)), 1), 10)
	}
	g.reject(requestID, 503, "not_ready", "this front has no fresh word of the cluster state: ask another", retryAfter, effects)
}
