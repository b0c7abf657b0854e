package replica

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
	"sparnotch/internal/timing"
)

func TestVoterPromotion(t *testing.T) {
	Convey("A learner that was never reached is made no voter, however short the log is", t, func() {
		c := newTestCluster()
		lease := c.claimController()
		leader := c.leader("")
		changeMembers := func(m *schema.ChangeMembers) []string {
			m.Group, m.FencingToken = clusterstate.Group, lease
			c.step(leader, "h", m)
			c.run(50 * eventloop.Millisecond)
			return c.hosts[leader].groups[clusterstate.Group].group.MemberSet().Voters
		}
		changeMembers(&schema.ChangeMembers{AddLearner: "d"})
		group := c.hosts[leader].groups[clusterstate.Group].group
		So(group.MemberSet().Learners, ShouldResemble, []string{"d"})
		So(group.LastIndex(), ShouldBeLessThan, uint64(raft.MaxLearnerLag))
		So(changeMembers(&schema.ChangeMembers{Promote: "d"}), ShouldResemble, nodeIDs)
		answer := func(match uint64) {
			c.step(leader, "d", &schema.AppendResponse{Group: clusterstate.Group, Term: group.Term(), Match: match})
		}
		Convey("nor one that has taken nothing, though it answers", func() {
			answer(0)
			So(changeMembers(&schema.ChangeMembers{Promote: "d"}), ShouldResemble, nodeIDs)
		})
		Convey("nor one that answered long ago", func() {
			answer(group.LastIndex())
			c.run(responseTimeout)
			lease = c.claimController()
			So(changeMembers(&schema.ChangeMembers{Promote: "d"}), ShouldResemble, nodeIDs)
		})
		Convey("but one that holds the log and answers is", func() {
			answer(group.LastIndex())
			So(changeMembers(&schema.ChangeMembers{Promote: "d"}), ShouldResemble, append(nodeIDs[:3:3], "d"))
		})
	})
}

func TestStaleClusterStateRejectsMemberChange(t *testing.T) {
	Convey("A queue's leader whose copy of the cluster state is old changes no members for a controller", t, func() {
		c := newTestCluster()
		So(c.putConfiguration(queuesUpdate(1, "", "l")).Code, ShouldEqual, 200)
		clusterStateLeader := c.leader("")
		leader := removeID(nodeIDs, clusterStateLeader)[0]
		placement := &schema.PlaceQueues{FencingToken: c.claimController(), Queues: []*schema.QueuePlacement{{Queue: "l", InitialVoters: nodeIDs, PreferredLeader: leader}}}
		So(c.request("clusterstate", &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_PlaceQueues{PlaceQueues: placement}}).Code, ShouldEqual, 200)
		c.run(eventloop.Second)
		So(c.leader("l"), ShouldEqual, leader)
		lease := c.claimController()
		c.run(200 * eventloop.Millisecond)
		group := c.hosts[leader].groups["l#"+c.generationOf("l")].group
		learners := func(id string) []string {
			c.step(leader, "h", &schema.ChangeMembers{Group: group.Name(), AddLearner: id, FencingToken: lease})
			c.run(100 * eventloop.Millisecond)
			return group.MemberSet().Learners
		}
		So(learners("d"), ShouldResemble, []string{"d"})
		// It still leads the queue with the third store, but hears nothing of the cluster state.
		c.isPartitioned = func(from, to string) bool {
			return from == clusterStateLeader && to == leader || from == leader && to == clusterStateLeader
		}
		c.run(timing.FromBounds(nil).MaxStateAge + 100*eventloop.Millisecond)
		So(c.leader("l"), ShouldEqual, leader)
		So(c.hosts[leader].clusterState.HoldsControllerLease(lease), ShouldBeTrue)
		So(learners("e"), ShouldResemble, []string{"d"})
	})
}
