package raft

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
)

func TestFreshnessNeedsQuorum(t *testing.T) {
	Convey("A leader that is cut off with a follower keeps that follower's copy fresh not as long as nobody else can lead", t, func() {
		for seed := uint64(1); seed <= 20; seed++ {
			r := newCluster(seed, "a", "b", "c", "d", "e")
			r.run(3 * eventloop.Second)
			g := r.leader()
			near := r.groups[g.otherMembers()[0]]
			isInside := func(id string) bool { return id == g.self || id == near.self }
			r.blocked = func(from, to string) bool { return isInside(from) != isInside(to) }
			cutAt := r.now
			r.run(3 * eventloop.Second)
			So(near.FreshAsOf(), ShouldBeGreaterThan, cutAt-2*DefaultTimeouts.HeartbeatInterval)
			So(near.FreshAsOf()-cutAt, ShouldBeLessThan, DefaultTimeouts.ElectionMin-DefaultTimeouts.HeartbeatInterval)
			// Those outside have a leader, and it lends them its own.
			for _, id := range sortedIDs(r.groups) {
				if !isInside(id) {
					So(r.now-r.groups[id].FreshAsOf(), ShouldBeLessThan, eventloop.Second)
				}
			}
		}
	})
}
