package raft

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestElection(t *testing.T) {
	Convey("Three replicas elect one leader, which replicates its entries to all", t, func() {
		r := newCluster(1, ids...)
		r.run(4 * eventloop.Second)
		So(r.leader(), ShouldNotBeNil)
		So(r.propose("one"), ShouldBeTrue)
		So(r.propose("two"), ShouldBeTrue)
		r.run(eventloop.Second)
		for _, id := range ids {
			So(r.applied[id], ShouldResemble, []string{"one", "two"})
		}
		Convey("a follower that returns from a partition doesn't depose the leader", func() {
			oldLeader := r.leader()
			lagging := membersExcept(oldLeader.self)[1]
			r.isolate(lagging)
			r.run(20 * eventloop.Second)
			term := oldLeader.Term()
			So(r.groups[lagging].Term(), ShouldEqual, term)
			r.heal()
			r.run(3 * eventloop.Second)
			So(r.leader(), ShouldEqual, oldLeader)
			So(oldLeader.Term(), ShouldEqual, term)
		})
		Convey("a leader without a quorum steps down and commits nothing", func() {
			oldLeader := r.leader()
			r.isolate(oldLeader.self)
			r.propose("lost")
			So(oldLeader.HoldsLeaderLease(r.now), ShouldBeTrue)
			r.run(500 * eventloop.Millisecond)
			So(oldLeader.HoldsLeaderLease(r.now), ShouldBeFalse)
			r.run(5 * eventloop.Second)
			So(oldLeader.IsLeader(), ShouldBeFalse)
			So(r.propose("three"), ShouldBeTrue)
			r.run(eventloop.Second)
			r.heal()
			r.run(4 * eventloop.Second)
			for _, id := range ids {
				So(r.applied[id], ShouldResemble, []string{"one", "two", "three"})
			}
		})
		Convey("leadership is transferred without an election timeout", func() {
			oldLeader := r.leader()
			to := membersExcept(oldLeader.self)[0]
			oldLeader.TransferLeadership(r.now, to)
			r.processReady(oldLeader.self)
			r.run(50 * eventloop.Millisecond)
			So(r.leader().self, ShouldEqual, to)
		})
	})
}

func TestElectionAfterRestart(t *testing.T) {
	Convey("After a restart of all the former leader is elected again, without an election timeout", t, func() {
		for seed := uint64(1); seed <= 50; seed++ {
			r := newCluster(seed, ids...)
			r.run(4 * eventloop.Second)
			r.propose("one")
			r.run(eventloop.Second)
			old := r.leader().self
			splitVote := false
			for _, id := range ids {
				// A candidate that lost the election voted for itself too, like the leader.
				splitVote = splitVote || id != old && r.durable[id].HardState.Vote == id
				r.start(id)
			}
			r.run(DefaultTimeouts.leaderLease() + 50*eventloop.Millisecond)
			if !splitVote {
				So(r.leader().self, ShouldEqual, old)
			}
			So(r.leader().HoldsLeaderLease(r.now), ShouldBeTrue)
		}
	})
	Convey("another is elected a little later if the former leader stays down", t, func() {
		for seed := uint64(1); seed <= 50; seed++ {
			r := newCluster(seed, ids...)
			r.run(4 * eventloop.Second)
			old := r.leader().self
			for _, id := range ids {
				r.start(id)
			}
			r.down[old] = true
			r.run(eventloop.Second)
			So(r.leader(), ShouldNotBeNil)
		}
	})
	Convey("A replica that restarts alone deposes nobody", t, func() {
		r := newCluster(1, ids...)
		r.run(4 * eventloop.Second)
		lead := r.leader()
		term := lead.Term()
		for _, id := range ids {
			if id != lead.self {
				r.start(id)
				r.run(3 * eventloop.Second)
			}
		}
		So(r.leader(), ShouldEqual, lead)
		So(lead.Term(), ShouldEqual, term)
	})
}

func TestRestartedReplicaHonoursLeaderLease(t *testing.T) {
	Convey("Given a leader that holds its lease by the acknowledgement of a replica which then restarts", t, func() {
		r := newCluster(14, ids...)
		r.run(4 * eventloop.Second)
		lead := r.leader()
		r.propose("one")
		r.run(eventloop.Second)
		others := membersExcept(lead.self)
		acknowledged, other := others[0], others[1]
		So(lead.HoldsLeaderLease(r.now), ShouldBeTrue)
		r.start(acknowledged)
		g := r.groups[acknowledged]
		request := func(preVote, isTransfer bool) []Message {
			g.Step(r.now, other, &schema.VoteRequest{Group: "g", Term: g.Term() + 1, LastIndex: g.LastIndex(), LastTerm: g.lastTerm(), PreVote: preVote, LeaderTransfer: isTransfer})
			ready, _ := g.Ready()
			return ready.Messages
		}
		Convey("It grants neither pre-vote nor vote until that lease has expired", func() {
			So(request(true, false)[0].Body.(*schema.VoteResponse).Granted, ShouldBeFalse)
			So(request(false, false), ShouldBeEmpty)
			r.now += DefaultTimeouts.leaderLease() - 1
			So(request(true, false)[0].Body.(*schema.VoteResponse).Granted, ShouldBeFalse)
			r.now++
			So(request(true, false)[0].Body.(*schema.VoteResponse).Granted, ShouldBeTrue)
			So(request(false, false)[0].Body.(*schema.VoteResponse).Granted, ShouldBeTrue)
		})
		Convey("It votes at once for the target of a leadership transfer", func() {
			So(request(false, true)[0].Body.(*schema.VoteResponse).Granted, ShouldBeTrue)
		})
	})
}
