package gateway

import "sparnotch/internal/eventloop"

const (
	// defaultApplyBound is the deadline for a new configuration to be in force on
	// each gateway, where the deployment gives none.
	defaultApplyBound = 2 * eventloop.Second
	// The lease lasts three quarters of that bound. The rest is for the lag of the
	// follower that answers a query, and for the response's way.
	leaseNumerator, leaseDenominator = 3, 4
	queriesPerLease                  = 6  // at least
	maxTrackedQueries                = 32 // responses to older ones renew nothing
)

// stateLease is the read lease on the gateway's copy of the cluster state: it says how
// long the copy may be served (a bounded-staleness read). It runs from when the query
// was sent, less the age that the response states, so a response that was delayed, in
// a buffer of ours or by the network, is worth no more than it was.
type stateLease struct {
	maxStaleness eventloop.Micros // after a configuration is committed, until it must be in force
	confirmedAt  eventloop.Micros // the copy held all that was committed by then; 0: never
	lastQueryID  uint64
	queries      []stateQuery // the newest last
}

type stateQuery struct {
	id     uint64
	sentAt eventloop.Micros
}

// newStateLease numbers queries above those of the process's former incarnations.
func newStateLease(incarnation uint64) stateLease {
	return stateLease{maxStaleness: defaultApplyBound, lastQueryID: incarnation << 32}
}

func (l *stateLease) duration() eventloop.Micros {
	return l.maxStaleness * leaseNumerator / leaseDenominator
}

// isValid says whether the copy may be served.
func (l *stateLease) isValid(now eventloop.Micros) bool {
	return l.confirmedAt > 0 && now-l.confirmedAt <= l.duration()
}

// needsRenewal says whether half of the lease is over, so that several storage nodes
// are to be polled.
func (l *stateLease) needsRenewal(now eventloop.Micros) bool {
	return l.confirmedAt == 0 || now-l.confirmedAt > l.duration()/2
}

// isGracePeriodOver says whether pending requests are to be failed: a while after the lease has
// ended, so that a late response doesn't cost them.
func (l *stateLease) isGracePeriodOver(now eventloop.Micros) bool {
	return l.confirmedAt == 0 || now-l.confirmedAt > l.maxStaleness
}

// newQuery returns the number of a query that is sent now.
func (l *stateLease) newQuery(now eventloop.Micros) uint64 {
	l.lastQueryID++
	l.queries = append(l.queries, stateQuery{l.lastQueryID, now})
	if len(l.queries) > maxTrackedQueries {
		l.queries = l.queries[1:]
	}
	return l.lastQueryID
}

// renew takes the response to a query: it held all that was committed that long before
// the query was sent.
func (l *stateLease) renew(queryID uint64, age eventloop.Micros) {
	for _, query := range l.queries {
		if query.id == queryID {
			l.confirmedAt = max(l.confirmedAt, query.sentAt-age)
		}
	}
}
