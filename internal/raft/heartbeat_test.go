package raft

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestLeaderLease(t *testing.T) {
	Convey("A leader's lease expires long before it steps down for want of a quorum", t, func() {
		r := newCluster(1, ids...)
		r.run(3 * eventloop.Second)
		g := r.leader()
		So(g.HoldsLeaderLease(r.now), ShouldBeTrue)
		r.isolate(g.self)
		r.run(DefaultTimeouts.ElectionMin - DefaultTimeouts.HeartbeatInterval)
		So(g.IsLeader(), ShouldBeTrue)
		So(g.HoldsLeaderLease(r.now), ShouldBeFalse)
	})
	Convey("The lease has expired when another leader is elected, however soon that is", t, func() {
		for seed := uint64(1); seed <= 50; seed++ {
			r := newCluster(seed, ids...)
			r.run(3 * eventloop.Second)
			g := r.leader()
			r.isolate(g.self)
			for k := 0; k < 200 && g.HoldsLeaderLease(r.now); k++ {
				for id, other := range r.groups {
					So(id == g.self || !other.IsLeader(), ShouldBeTrue)
				}
				r.run(10 * eventloop.Millisecond)
			}
			So(g.HoldsLeaderLease(r.now), ShouldBeFalse)
		}
	})
	Convey("A heartbeat that was delayed makes no replica fresh", t, func() {
		r := newCluster(1, ids...)
		r.run(3 * eventloop.Second)
		g := r.leader()
		other := r.groups[g.otherMembers()[0]]
		heartbeat := &schema.Heartbeat{Group: "g", Term: g.term, Commit: g.commit, Round: g.round, CommitConfirmed: true, AckedRound: g.peers[other.self].round}
		before := other.FreshAsOf()
		So(r.now-before, ShouldBeLessThan, eventloop.Second)
		// The heartbeat is delivered an hour later.
		other.Step(r.now+3600*eventloop.Second, g.self, heartbeat)
		So(other.FreshAsOf()-before, ShouldBeLessThan, eventloop.Second)
	})
}

func TestFreshnessNeedsQuorum(t *testing.T) {
	Convey("A leader in a minority partition doesn't keep its follower fresh until another may be elected", t, func() {
		for seed := uint64(1); seed <= 20; seed++ {
			r := newCluster(seed, "a", "b", "c", "d", "e")
			r.run(3 * eventloop.Second)
			g := r.leader()
			follower := r.groups[g.otherMembers()[0]]
			inMinority := func(id string) bool { return id == g.self || id == follower.self }
			r.blocked = func(from, to string) bool { return inMinority(from) != inMinority(to) }
			partitionedAt := r.now
			r.run(3 * eventloop.Second)
			So(follower.FreshAsOf(), ShouldBeGreaterThan, partitionedAt-2*DefaultTimeouts.HeartbeatInterval)
			So(follower.FreshAsOf()-partitionedAt, ShouldBeLessThan, DefaultTimeouts.ElectionMin-DefaultTimeouts.HeartbeatInterval)
			// The majority has a leader, which keeps its followers fresh.
			for _, id := range sortedIDs(r.groups) {
				if !inMinority(id) {
					So(r.now-r.groups[id].FreshAsOf(), ShouldBeLessThan, eventloop.Second)
				}
			}
		}
	})
}
