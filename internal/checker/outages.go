package checker

import (
	"math"
	"slices"

	"sparnotch/internal/eventloop"
)

// outage is a period that begins when more storage nodes are down than may be lost at once,
// and ends when all of them are available again. Service may be unavailable during an outage
// and for a recovery time after it. No acknowledged data may be lost, and no job may be
// reported in an older state.
type outage struct{ from, until eventloop.Micros }

// recordOutage records that the quorum is lost, or that all storage nodes are available again.
func (a *analysis) recordOutage(e *Event) {
	switch last := len(a.outages) - 1; {
	case e.Kind == QuorumLost:
		a.outages = append(a.outages, outage{e.At, math.MaxInt64})
	case e.Kind == QuorumRestored && last >= 0:
		a.outages[last].until = e.At
	}
}

// markOutages adds fault times throughout each outage. Rules that tolerate a delay near a
// fault then tolerate it until a recovery time after the outage as well.
func (a *analysis) markOutages() {
	for _, o := range a.outages {
		until := min(o.until, a.closedAt)
		for at := o.from; at < until; at += a.tolerances.Recovery / 2 {
			a.faults = append(a.faults, at)
		}
		a.faults = append(a.faults, until)
	}
	slices.Sort(a.faults)
}

// recoveryDeadline returns when service must be available again after a disturbance at the
// given time: a recovery time later, or a recovery time after the last of the outages that
// begin before that. It returns math.MaxInt64 if such an outage doesn't end.
func (a *analysis) recoveryDeadline(at eventloop.Micros) eventloop.Micros {
	deadline := at + a.tolerances.Recovery
	for _, o := range a.outages {
		if o.until == math.MaxInt64 && o.from <= deadline {
			return math.MaxInt64
		}
		if o.from <= deadline && o.until > at {
			deadline = max(deadline, o.until+a.tolerances.Recovery)
		}
	}
	return deadline
}
