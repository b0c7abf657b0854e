package raft

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

func TestBootstrapCampaign(t *testing.T) {
	Convey("A voter that campaigns at the bootstrap is elected within a round trip", t, func() {
		for seed := uint64(1); seed <= 20; seed++ {
			r := newCluster(seed, ids...)
			r.groups["b"].BootstrapCampaign(r.now)
			r.run(50 * eventloop.Millisecond)
			So(r.leader(), ShouldEqual, r.groups["b"])
			So(r.propose("x"), ShouldBeTrue)
			r.run(400 * eventloop.Millisecond)
			So(r.applied["a"], ShouldResemble, []string{"x"})
		}
	})
	Convey("also if the others open the group later and missed the first vote requests", t, func() {
		r := newCluster(3, ids...)
		others := map[string]*Group{"a": r.groups["a"], "c": r.groups["c"]}
		delete(r.groups, "a")
		delete(r.groups, "c")
		r.groups["b"].BootstrapCampaign(r.now)
		r.run(230 * eventloop.Millisecond)
		So(r.leader(), ShouldBeNil)
		r.groups["c"] = others["c"]
		r.run(bootstrapVoteInterval + 20*eventloop.Millisecond)
		So(r.leader(), ShouldEqual, r.groups["b"])
		So(r.groups["b"].Term(), ShouldEqual, 1)
	})
	Convey("If votes are lost, an ordinary election follows", t, func() {
		for seed := uint64(1); seed <= 20; seed++ {
			r := newCluster(seed, ids...)
			r.lossRate = 0.5
			r.groups["b"].BootstrapCampaign(r.now)
			r.run(600 * eventloop.Millisecond)
			r.lossRate = 0
			r.run(4 * eventloop.Second)
			So(r.leader(), ShouldNotBeNil)
		}
	})
	Convey("Two voters that campaign at once cause no more than a split vote", t, func() {
		r := newCluster(5, ids...)
		r.groups["a"].BootstrapCampaign(r.now)
		r.groups["b"].BootstrapCampaign(r.now)
		r.run(4 * eventloop.Second)
		So(r.leader(), ShouldNotBeNil)
		leaders := 0
		for _, g := range r.groups {
			if g.IsLeader() {
				leaders++
			}
		}
		So(leaders, ShouldEqual, 1)
	})
	Convey("A replica that has seen a term or isn't a voter doesn't campaign", t, func() {
		r := newCluster(7, ids...)
		r.run(3 * eventloop.Second)
		term := r.leader().Term()
		for _, id := range ids {
			r.groups[id].BootstrapCampaign(r.now)
		}
		r.run(2 * eventloop.Second)
		So(r.leader().Term(), ShouldEqual, term)
		nonVoter := New("g", "x", &storage.GroupState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{}}, DefaultTimeouts, r.rng, r.now)
		nonVoter.BootstrapCampaign(r.now)
		ready, _ := nonVoter.Ready()
		So(ready.Changes, ShouldBeEmpty)
	})
	Convey("A voter that its leader reached before its Bootstrap becomes a voter, and stays one", t, func() {
		r := newCluster(9, ids...)
		// Replica c was created by the leader's first message, without members.
		r.startEmpty("c")
		r.groups["a"].BootstrapCampaign(r.now)
		r.run(300 * eventloop.Millisecond)
		So(r.propose("x"), ShouldBeTrue)
		r.run(300 * eventloop.Millisecond)
		So(r.applied["c"], ShouldResemble, []string{"x"})
		r.groups["c"].Bootstrap(ids)
		r.processReady("c")
		So(r.groups["c"].MemberSet().Voters, ShouldResemble, ids)
		r.start("c")
		So(r.propose("y"), ShouldBeTrue)
		r.run(300 * eventloop.Millisecond)
		So(r.groups["c"].MemberSet().Voters, ShouldResemble, ids)
		So(r.applied["c"], ShouldResemble, []string{"x", "y"})
		r.groups["a"].TransferLeadership(r.now, "c")
		r.run(100 * eventloop.Millisecond)
		So(r.leader(), ShouldEqual, r.groups["c"])
	})
}
