package gateway

// Load shedding: which submissions are rejected, and when their clients should retry.

import (
	"net/http"

	"sparnotch/internal/eventloop"
)

const (
	minRateWindow        = eventloop.Second // over which a rate is measured
	minRate              = 0.2              // per second; a lower one predicts nothing
	unknownRateWait      = 5 * eventloop.Second
	maxRetryAfterSeconds = 30

	// gatewayThroughput is the key of all submissions of this gateway.
	gatewayThroughput = ""
)

// endedJobsKey is the key of the throughput of jobs that a queue ends. That of its
// confirmed submissions is the queue's name.
func endedJobsKey(queue string) string { return "live/" + queue }

// overload is the reason to reject a submission for now.
type overload struct {
	code, message string
	throughputKey string // of what must make progress before a retry can succeed
}

// overloadOf returns why a submission can't be accepted now; nil: it can.
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

// rejectOverloaded rejects a submission with a time to retry. Each rejected client is
// given a time of its own, one after another at the measured rate, so that they don't
// come back all at once.
func (g *Gateway) rejectOverloaded(now eventloop.Micros, requestID uint64, reason *overload, effects eventloop.Effects) {
	retryAfter := g.throughputOf(reason.throughputKey).nextRetryAfter(now)
	g.reject(requestID, http.StatusTooManyRequests, reason.code, reason.message, retryAfter, effects)
}

// throughput measures how fast something gets done, and schedules retries by it.
type throughput struct {
	done         uint64 // in all
	previousDone uint64 // when the rate was last measured
	measuredAt   eventloop.Micros
	rate         float64          // per second, exponentially smoothed
	nextRetryAt  eventloop.Micros // the latest that was given to a client
}

func (g *Gateway) throughputOf(key string) *throughput {
	if g.throughputs[key] == nil {
		g.throughputs[key] = &throughput{}
	}
	return g.throughputs[key]
}

// record takes the total that is done by now, and measures the rate once a window.
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

// nextRetryAfter schedules one more retry, and returns the seconds until then.
func (t *throughput) nextRetryAfter(now eventloop.Micros) int {
	wait := unknownRateWait
	if t.rate > minRate {
		wait = eventloop.Micros(float64(eventloop.Second) / t.rate)
	}
	t.nextRetryAt = min(max(t.nextRetryAt, now)+wait, now+maxRetryAfterSeconds*eventloop.Second)
	return max(1, int((t.nextRetryAt-now+eventloop.Second-1)/eventloop.Second))
}
