package gateway

// This file decides which submissions are rejected because of overload, and when their
// clients should retry.

import (
	"net/http"

	"sparnotch/internal/eventloop"
)

const (
	minRateWindow        = eventloop.Second     // shortest time over which a rate is measured
	minRate              = 0.2                  // per second; a lower rate can't predict the next completion
	unknownRateWait      = 5 * eventloop.Second // between two retries if the rate is at most minRate
	maxRetryAfterSeconds = 30

	// gatewayThroughput is the key, in Gateway.throughputs, of the rate at which all
	// submissions through this gateway are confirmed.
	gatewayThroughput = ""
)

// endedJobsKey returns the key, in Gateway.throughputs, of the rate at which a queue's
// jobs end. The rate at which its submissions are confirmed has the queue's name as key.
func endedJobsKey(queue string) string { return "live/" + queue }

// overload describes why a submission is rejected for now.
type overload struct {
	code, message string
	throughputKey string // key of the throughput that determines when a retry can succeed
}

// overloadOf returns the reason why a submission in session s can't be accepted now, or nil
// if it can. s is nil if the client has no session with the queue yet.
func (g *Gateway) overloadOf(queue string, s *session) *overload {
	status := g.queueStatus[queue]
	switch {
	case g.unconfirmedCount >= maxPending:
		return &overload{codeGatewayFull, gatewayFullMessage, gatewayThroughput}
	case s != nil && len(s.unconfirmed) >= int(g.values.Fleet("window")):
		return &overload{codeWindowFull, "this client has too many unconfirmed submissions", queue}
	case g.unconfirmedByQueue[queue] >= maxPending/2:
		return &overload{codeQueueFull, "the queue has too many unconfirmed submissions", queue}
	case status != nil && status.StorageExhausted:
		return &overload{codeStorageFull, "the storage is full: the remaining space is reserved for accepted jobs", endedJobsKey(queue)}
	case status != nil && int64(status.LiveJobs) >= g.values.Fleet("live_jobs"):
		return &overload{codeQueueFull, "the queue has as many live jobs as the configuration allows", endedJobsKey(queue)}
	}
	return nil
}

// rejectOverloaded rejects a submission and tells the client when to retry. Rejected
// clients get successive retry times, spaced at the measured rate, so that they don't all
// retry at the same time.
func (g *Gateway) rejectOverloaded(now eventloop.Micros, requestID uint64, reason *overload, effects eventloop.Effects) {
	retryAfter := g.throughputOf(reason.throughputKey).nextRetryAfter(now)
	g.reject(requestID, http.StatusTooManyRequests, reason.code, reason.message, retryAfter, effects)
}

// throughput measures the rate of confirmed submissions or ended jobs, and schedules the
// retries of rejected clients at this rate.
type throughput struct {
	done         uint64           // number of confirmed submissions or ended jobs so far
	previousDone uint64           // value of done when the rate was last measured
	measuredAt   eventloop.Micros // when the rate was last measured
	rate         float64          // per second, exponentially smoothed
	nextRetryAt  eventloop.Micros // the latest retry time that was given to a client
}

func (g *Gateway) throughputOf(key string) *throughput {
	if g.throughputs[key] == nil {
		g.throughputs[key] = &throughput{}
	}
	return g.throughputs[key]
}

// record updates the total count, and measures the rate again if at least minRateWindow has
// passed since the last measurement.
func (t *throughput) record(now eventloop.Micros, done uint64) {
	t.done = max(t.done, done)
	if t.measuredAt == 0 {
		t.measuredAt, t.previousDone = now, t.done
		return
	}
	if elapsed := now - t.measuredAt; elapsed >= minRateWindow {
		rate := float64(t.done-t.previousDone) * float64(eventloop.Second) / float64(elapsed)
		t.rate = (t.rate + rate) / 2
		t.measuredAt, t.previousDone = now, t.done
	}
}

// nextRetryAfter schedules one more retry, and returns the number of seconds until it, at
// least 1 and at most maxRetryAfterSeconds.
func (t *throughput) nextRetryAfter(now eventloop.Micros) int {
	wait := unknownRateWait
	if t.rate > minRate {
		wait = eventloop.Micros(float64(eventloop.Second) / t.rate)
	}
	t.nextRetryAt = min(max(t.nextRetryAt, now)+wait, now+maxRetryAfterSeconds*eventloop.Second)
	return max(1, int((t.nextRetryAt-now+eventloop.Second-1)/eventloop.Second))
}
