package gateway

import "sparnotch/internal/eventloop"

const (
	// defaultApplyBound is how soon after its commit a new configuration must be in
	// force on each gateway, unless the deployment sets Bounds.ConfigApplyUs.
	defaultApplyBound = 2 * eventloop.Second
	// The lease lasts three quarters of the bound. The rest covers the lag of the
	// follower that answers a query, and the transmission of its response.
	leaseNumerator, leaseDenominator = 3, 4
	queriesPerLease                  = 6  // minimum number of queries sent while a lease lasts
	maxTrackedQueries                = 32 // responses to older queries don't renew the lease
)

// stateLease is the read lease on the gateway's copy of the cluster state. It determines
// how long requests may be served from the copy (bounded staleness). The lease starts at the
// time the query was sent, minus the age that the response states for its data. A delay of
// the response, by the network or in a local buffer, therefore doesn't prolong the lease.
type stateLease struct {
	maxStaleness eventloop.Micros // how soon after its commit a configuration must be in force
	confirmedAt  eventloop.Micros // time up to which the copy holds everything committed; 0 before the first confirmation
	lastQueryID  uint64
	queries      []stateQuery // in ascending order of ID; at most maxTrackedQueries
}

// stateQuery is a query for the cluster state whose response may renew the lease.
type stateQuery struct {
	id     uint64
	sentAt eventloop.Micros
}

// newStateLease returns an invalid lease. Its query IDs are above those of the process's
// former incarnations.
func newStateLease(incarnation uint64) stateLease {
	return stateLease{maxStaleness: defaultApplyBound, lastQueryID: incarnation << 32}
}

// duration returns how long the lease lasts after confirmedAt.
func (l *stateLease) duration() eventloop.Micros {
	return l.maxStaleness * leaseNumerator / leaseDenominator
}

// isValid reports whether requests may be served from the copy.
func (l *stateLease) isValid(now eventloop.Micros) bool {
	return l.confirmedAt > 0 && now-l.confirmedAt <= l.duration()
}

// needsRenewal reports whether more than half of the lease is over, or there was none yet.
// Several storage nodes are then polled at the same time.
func (l *stateLease) needsRenewal(now eventloop.Micros) bool {
	return l.confirmedAt == 0 || now-l.confirmedAt > l.duration()/2
}

// isGracePeriodOver reports whether pending requests must be failed. They aren't failed as
// soon as the lease ends, since a late response may still renew it, but only when
// maxStaleness is over.
func (l *stateLease) isGracePeriodOver(now eventloop.Micros) bool {
	return l.confirmedAt == 0 || now-l.confirmedAt > l.maxStaleness
}

// newQuery returns the ID of a new query, and records that it is sent now.
func (l *stateLease) newQuery(now eventloop.Micros) uint64 {
	l.lastQueryID++
	l.queries = append(l.queries, stateQuery{l.lastQueryID, now})
	if len(l.queries) > maxTrackedQueries {
		l.queries = l.queries[1:]
	}
	return l.lastQueryID
}

// renew extends the lease when a query is answered. age is the age of the response's data,
// so the response holds at least everything that was committed by the time sentAt-age.
func (l *stateLease) renew(queryID uint64, age eventloop.Micros) {
	for _, query := range l.queries {
		if query.id == queryID {
			l.confirmedAt = max(l.confirmedAt, query.sentAt-age)
		}
	}
}
