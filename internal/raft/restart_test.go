package raft

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestRestartedReplicaHonoursLeaderLease(t *testing.T) {
	Convey("Given a leader that acts on the answer of a replica which then starts again", t, func() {
		r := newCluster(14, ids...)
		r.run(4 * eventloop.Second)
		lead := r.leader()
		r.propose("one")
		r.run(eventloop.Second)
		others := membersExcept(lead.self)
		answered, missing := others[0], others[1]
		So(lead.HoldsLeaderLease(r.now), ShouldBeTrue)
		r.start(answered)
		g := r.groups[answered]
		ask := func(pre, asked bool) []Message {
			g.Step(r.now, missing, &schema.VoteRequest{Group: "g", Term: g.Term() + 1, LastIndex: g.LastIndex(), LastTerm: g.lastTerm(), PreVote: pre, LeaderTransfer: asked})
			effects, _ := g.Ready()
			return effects.Messages
		}
		Convey("It promises and gives no vote as long as that leader may act", func() {
			So(ask(true, false)[0].Body.(*schema.VoteResponse).Granted, ShouldBeFalse)
			So(ask(false, false), ShouldBeEmpty)
			r.now += DefaultTimeouts.leaderLease() - 1
			So(ask(true, false)[0].Body.(*schema.VoteResponse).Granted, ShouldBeFalse)
			r.now++
			So(ask(true, false)[0].Body.(*schema.VoteResponse).Granted, ShouldBeTrue)
			So(ask(false, false)[0].Body.(*schema.VoteResponse).Granted, ShouldBeTrue)
		})
		Convey("It votes at once for whom the leader hands over to", func() {
			So(ask(false, true)[0].Body.(*schema.VoteResponse).Granted, ShouldBeTrue)
		})
	})
}
