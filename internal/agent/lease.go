package agent

import (
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
)

const (
	// defaultRunLeaseDuration is the assumed duration of the run lease until a
	// scheduler has granted one.
	defaultRunLeaseDuration = 4 * eventloop.Second
	// maxHoldDuration is the maximum time for which a call extends the worker's hold.
	// When the worker stops replying, its tasks can be assigned to other workers after
	// that time.
	maxHoldDuration = 3 * eventloop.Second
	// holdMargin covers rounding in the conversion between the two clocks.
	holdMargin = 20 * eventloop.Millisecond
	// The worker's clock may run slow by a fiftieth (2%): while that clock advances by
	// clockRateNumerator, true time advances by at most clockRateDenominator.
	clockRateNumerator   = 49
	clockRateDenominator = 50
)

// adoptLease adopts the worker's lease from the cluster state.
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

// raiseToken adopts the fencing token of a newer lease. The worker is inspected with
// this token first; after that it carries out no call under an older lease.
func (w *workerState) raiseToken(token uint64) {
	if token > w.fencingToken {
		w.fencingToken, w.callsBlockedUntil, w.pendingPoll, w.hasChanges, w.nextShortInspection = token, 0, nil, true, 0
	}
}

// sampleClock maintains a lower bound of the worker's clock. That clock showed the
// given time when the worker sent it, so it shows at least as much now. It may run slow
// from now on (see minClockAt), so a newer sample replaces an older one only when its
// bound is at least as high.
func (a *Agent) sampleClock(now eventloop.Micros, w *workerState, clock eventloop.Micros) {
	if clock > 0 && clock >= w.minClockAt(now) {
		w.sampledClock, w.clockSampledAt = clock, now
	}
}

// minClockAt returns the lowest time that the worker's clock can show now, or 0 when
// nothing is known about that clock.
func (w *workerState) minClockAt(now eventloop.Micros) eventloop.Micros {
	if w.clockSampledAt == 0 {
		return 0
	}
	return w.sampledClock + (now-w.clockSampledAt)*clockRateNumerator/clockRateDenominator
}

// holdExtension returns for how long a call extends the worker's hold.
func (a *Agent) holdExtension(w *workerState) eventloop.Micros {
	duration := min(w.runLeaseDuration, maxHoldDuration)
	if limit := eventloop.Micros(a.bounds.MaxWorkerLeaseUs); limit > 0 {
		return min(duration, limit)
	}
	return duration
}

// maxHoldDeadline returns the end of the hold, by the agent's clock, that a call sent
// now may ask for.
func (a *Agent) maxHoldDeadline(now eventloop.Micros, w *workerState) eventloop.Micros {
	return min(w.runLeaseExpiresAt, now+a.holdExtension(w))
}

// holdDeadline returns the RunDeadline of a call, by the worker's clock. It is never
// later than the end of the run lease, except by as much as that clock may run slow
// until then. It returns 0 when a call must not extend the hold.
func (a *Agent) holdDeadline(now eventloop.Micros, w *workerState) eventloop.Micros {
	// The hold of an unresponsive worker isn't extended, so that the time of its end is
	// known.
	if w.clockSampledAt == 0 || now >= w.runLeaseExpiresAt || w.missedInspections > 0 {
		return 0
	}
	return w.minClockAt(now) + a.maxHoldDeadline(now, w) - now
}

// extendMaxHold records that a call may extend the worker's hold to the time until, by
// the worker's clock. That clock may run slow, so maxHoldUntil is the latest time by
// the agent's clock at which the hold can end.
func (w *workerState) extendMaxHold(until eventloop.Micros) {
	w.maxHoldUntil = max(w.maxHoldUntil, w.clockSampledAt+(until-w.sampledClock)*clockRateDenominator/clockRateNumerator+holdMargin)
}

// endLapsedRuns declares the runs of an unresponsive worker ended once its hold has
// ended by the worker's own clock: the worker has killed them by then, and rejects
// starts that are still in flight because their deadline has passed.
func (a *Agent) endLapsedRuns(now eventloop.Micros, w *workerState) {
	if w.inspectedToken == w.fencingToken || w.missedInspections < 2 || now <= w.maxHoldUntil || len(w.runs) == 0 {
		return
	}
	for _, key := range sortedKeys(w.runs) {
		a.markEnded(w, w.runs[key], "lapsed")
	}
	w.hasLapsed = true
}
