package gateway

import "sparnotch/internal/eventloop"

const (
	// defaultApplyBound is when a new plan is in force everywhere, where the deployment
	// doesn't say.
	defaultApplyBound = 2 * eventloop.Second
	// Three quarters of that bound are the lease; the rest is for what the state lags
	// behind when a follower tells of it, and for the way of the answer.
	leaseNumerator, leaseDenominator = 3, 4
	queriesPerLease                  = 6  // a front asks at least so often while its lease lasts
	maxTrackedQueries                = 32 // answers to older ones count no more
)

// stateLease says how long this front may answer from its copy of the cluster state.
// It runs from when the question was sent, less the age that the answer tells, so an
// answer that lay in a buffer, ours while we were frozen or the wire's while we were
// cut off, is as old as it is.
type stateLease struct {
	applyBound  eventloop.Micros // a plan is in force everywhere so long after it was taken
	confirmedAt eventloop.Micros // our copy held all that was committed then; 0: never known
	lastQueryID uint64           // of the newest question
	queries     []stateQuery     // the newest last
}

type stateQuery struct {
	id     uint64
	sentAt eventloop.Micros
}

// newStateLease numbers questions above those of the process's former lives.
func newStateLease(incarnation uint64) stateLease {
	return stateLease{applyBound: defaultApplyBound, lastQueryID: incarnation << 32}
}

func (l *stateLease) duration() eventloop.Micros {
	return l.applyBound * leaseNumerator / leaseDenominator
}

// isValid tells whether the copy may be answered from.
func (l *stateLease) isValid(now eventloop.Micros) bool {
	return l.confirmedAt > 0 && now-l.confirmedAt <= l.duration()
}

// needsRenewal tells whether it is time to look for word wherever there may be some.
func (l *stateLease) needsRenewal(now eventloop.Micros) bool {
	return l.confirmedAt == 0 || now-l.confirmedAt > l.duration()/2
}

// isExpired tells whether requests in hand are given up: a short while after the lease,
// so that a late answer doesn't cost them.
func (l *stateLease) isExpired(now eventloop.Micros) bool {
	return l.confirmedAt == 0 || now-l.confirmedAt > l.applyBound
}

// newQuery numbers a question that is sent now.
func (l *stateLease) newQuery(now eventloop.Micros) uint64 {
	l.lastQueryID++
	l.queries = append(l.queries, stateQuery{l.lastQueryID, now})
	if len(l.queries) > maxTrackedQueries {
		l.queries = l.queries[1:]
	}
	return l.lastQueryID
}

// renew takes the answer to a question: what it tells was all that was committed
// so long before it was sent.
func (l *stateLease) renew(queryID uint64, age eventloop.Micros) {
	for _, query := range l.queries {
		if query.id == queryID {
			l.confirmedAt = max(l.confirmedAt, query.sentAt-age)
		}
	}
}
