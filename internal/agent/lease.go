package agent

import (
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
)

const (
	// defaultRunLeaseDuration is the assumed duration of the run lease until a scheduler has
	// granted one.
	defaultRunLeaseDuration = 4 * eventloop.Second
	// maxHoldDuration is how long the worker keeps its runs alive after a call that
	// extends their deadline. When the worker stops answering, its tasks can be given to others after that time.
	maxHoldDuration = 3 * eventloop.Second
	// holdMargin covers rounding in the conversion between the two clocks.
	holdMargin = 20 * eventloop.Millisecond
	// The worker's clock may run slow by a fiftieth: while that clock advances by
	// clockRateNumerator, true time advances by clockRateDenominator at most.
	clockRateNumerator   = 49
	clockRateDenominator = 50
)

// adoptLease takes over the worker's lease from the cluster state.
func (a *Agent) adoptLease(w *workerState) {
	lease := clusterstate.FindWorkerLease(a.clusterState, w.id)
	if lease == nil || lease.FencingToken < w.fencingToken {
		return
	}
	w.raiseToken(lease.FencingToken)
	if lease.Scheduler != w.scheduler {
		w.scheduler, w.pendingPoll, w.hasChanges, w.unansweredSince = lease.Scheduler, nil, true, 0
	}
}

// raiseToken takes a newer lease's fencing token. The worker is inspected with it
// first; after that no order under an older lease can be carried out any more.
func (w *workerState) raiseToken(token uint64) {
	if token > w.fencingToken {
		w.fencingToken, w.callsBlockedUntil, w.pendingPoll, w.hasChanges, w.nextShortInspection = token, 0, nil, true, 0
	}
}

// sampleClock keeps a lower bound of the worker's clock. The clock showed that much
// when the worker replied, so it shows no less now; it may run slow from here on
// (see minClockAt), so a newer sample replaces an older one where it gives more.
func (a *Agent) sampleClock(now eventloop.Micros, w *workerState, clock eventloop.Micros) {
	if clock > 0 && clock >= w.minClockAt(now) {
		w.sampledClock, w.clockSampledAt = clock, now
	}
}

// minClockAt is the least that the worker's clock shows; 0 when it isn't known.
func (w *workerState) minClockAt(now eventloop.Micros) eventloop.Micros {
	if w.clockSampledAt == 0 {
		return 0
	}
	return w.sampledClock + (now-w.clockSampledAt)*clockRateNumerator/clockRateDenominator
}

// runExtension is how long the worker holds its runs after a call.
func (a *Agent) runExtension(w *workerState) eventloop.Micros {
	duration := min(w.runLeaseDuration, maxHoldDuration)
	if limit := eventloop.Micros(a.bounds.MaxWorkerLeaseUs); limit > 0 {
		return min(duration, limit)
	}
	return duration
}

// maxHoldDeadline is until when a call that is sent now may hold the worker's runs,
// by the agent's clock.
func (a *Agent) maxHoldDeadline(now eventloop.Micros, w *workerState) eventloop.Micros {
	return min(w.runLeaseExpiresAt, now+a.runExtension(w))
}

// holdDeadline is the RunDeadline of a call, by the worker's clock: never later than
// the end of the lease, except for what that clock may run slow from here on. It is
// 0 when a call mustn't extend the hold.
func (a *Agent) holdDeadline(now eventloop.Micros, w *workerState) eventloop.Micros {
	// An unresponsive worker's hold isn't extended, so that its end is known.
	if w.clockSampledAt == 0 || now >= w.runLeaseExpiresAt || w.missedInspections > 0 {
		return 0
	}
	return w.minClockAt(now) + a.maxHoldDeadline(now, w) - now
}

// extendMaxHold records that a call may hold the worker's runs until a time of the
// worker's clock, which may run slow until then.
func (w *workerState) extendMaxHold(until eventloop.Micros) {
	w.maxHoldUntil = max(w.maxHoldUntil, w.clockSampledAt+(until-w.sampledClock)*clockRateDenominator/clockRateNumerator+holdMargin)
}

// endLapsedRuns gives up the runs of an unresponsive worker once its hold is over by
// its own clock: the worker has killed them, and rejects starts that are still in
// flight as too late.
func (a *Agent) endLapsedRuns(now eventloop.Micros, w *workerState) {
	if w.inspectedToken == w.fencingToken || w.missedInspections < 2 || now <= w.maxHoldUntil || len(w.runs) == 0 {
		return
	}
	for _, key := range sortedKeys(w.runs) {
		a.markEnded(w, w.runs[key], "lapsed")
	}
	w.hasLapsed = true
}
