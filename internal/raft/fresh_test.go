package raft

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
)

func TestFreshnessIsLentByAMajority(t *testing.T) {
	Convey("A leader that is cut off with a follower keeps that follower's copy fresh not as long as nobody else can lead", t, func() {
		for seed := uint64(1); seed <= 20; seed++ {
			r := newRig(seed, "a", "b", "c", "d", "e")
			r.run(3 * eventloop.Second)
			g := r.leader()
			near := r.groups[g.others()[0]]
			isInside := func(id string) bool { return id == g.self || id == near.self }
			r.cut = func(from, to string) bool { return isInside(from) != isInside(to) }
			cutAt := r.now
			r.run(3 * eventloop.Second)
			So(near.Fresh(), ShouldBeGreaterThan, cutAt-2*UsualTimes.Beat)
			So(near.Fresh()-cutAt, ShouldBeLessThan, UsualTimes.ElectionLeast-UsualTimes.Beat)
			// Those outside have a leader, and it lends them its own.
			for _, id := range sortedIDs(r.groups) {
				if !isInside(id) {
					So(r.now-r.groups[id].Fresh(), ShouldBeLessThan, eventloop.Second)
				}
			}
		}
	})
}
