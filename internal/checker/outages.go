package checker

import (
	"math"
	"slices"

	"sparnotch/internal/eventloop"
)

// outage is a time in which more storage nodes were away than may be lost at once, up to
// when all of them were back. Service may rest meanwhile and for a recovery more; nothing
// that was acknowledged may be lost by it, or shown in an older state.
type outage struct{ from, until eventloop.Micros }

// recordOutage records that the quorum is lost, or that all storage nodes are back.
func (a *analysis) recordOutage(e *Event) {
	switch last := len(a.outages) - 1; {
	case e.Kind == QuorumLost:
		a.outages = append(a.outages, outage{e.At, math.MaxInt64})
	case e.Kind == QuorumRestored && last >= 0:
		a.outages[last].until = e.At
	}
}

// markOutages makes an outage as good as a fault at each of its moments: what a rule allows
// near a fault it allows up to a recovery after the outage.
func (a *analysis) markOutages() {
	for _, o := range a.outages {
		until := min(o.until, a.closedAt)
		for at := o.from; at < until; at += a.bounds.Recovery / 2 {
			a.faults = append(a.faults, at)
		}
		a.faults = append(a.faults, until)
	}
	slices.Sort(a.faults)
}

// recoveryDeadline is when service must be back that was disturbed at a moment: a recovery
// later, or a recovery after the outages that follow before then.
func (a *analysis) recoveryDeadline(at eventloop.Micros) eventloop.Micros {
	deadline := at + a.bounds.Recovery
	for _, o := range a.outages {
		if o.until == math.MaxInt64 && o.from <= deadline {
			return math.MaxInt64
		}
		if o.from <= deadline && o.until > at {
			deadline = max(deadline, o.until+a.bounds.Recovery)
		}
	}
	return deadline
}
