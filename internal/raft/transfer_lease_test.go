package raft

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
)

// Guards against two simultaneous leases: a leader that had transferred its leadership and
// received no messages since kept its lease, while the new leader held one as well.
func TestLeaderLeaseEndsWithATransfer(t *testing.T) {
	Convey("While a leader that was cut off hands over, at most one node holds the leader lease", t, func() {
		for seed := uint64(1); seed <= 20; seed++ {
			r := newCluster(seed, ids...)
			r.run(4 * eventloop.Second)
			r.propose("one")
			r.run(eventloop.Second)
			old := r.leader()
			old.TransferLeadership(r.now, membersExcept(old.self)[0])
			r.processReady(old.self)
			r.blocked = func(_, to string) bool { return to == old.self }
			longest, span := eventloop.Micros(0), eventloop.Micros(0)
			for range 100 {
				r.run(10 * eventloop.Millisecond)
				holders := 0
				for _, id := range ids {
					if r.groups[id].HoldsLeaderLease(r.now) {
						holders++
					}
				}
				if holders < 2 {
					span = 0
					continue
				}
				span += 10 * eventloop.Millisecond
				longest = max(longest, span)
			}
			// Both replicas may hold a lease within one step of the simulation, but no longer.
			So(longest, ShouldBeLessThanOrEqualTo, 10*eventloop.Millisecond)
		}
	})
}
