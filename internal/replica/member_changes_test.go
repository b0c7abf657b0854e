package replica

import (
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
	"sparnotch/internal/timing"
)

func TestPromotionRequiresCaughtUpLearner(t *testing.T) {
	Convey("A learner becomes a voter when it has caught up, and not before", t, func() {
		c := newTestCluster()
		So(c.changeMembers(&schema.ChangeMembers{AddLearner: "d"}).Learners, ShouldResemble, []string{"d"})
		// The learner responds without having any entry.
		leader := c.leader("")
		term := c.clusterStateGroup(leader).Term()
		c.step(leader, "d", &schema.HeartbeatBatch{Responses: []*schema.HeartbeatResponse{{Group: clusterstate.GroupName, Term: term}}})
		So(c.changeMembers(&schema.ChangeMembers{Promote: "d"}).Voters, ShouldResemble, nodeIDs)
		c.addEmptyNode("d")
		c.run(eventloop.Second)
		So(c.changeMembers(&schema.ChangeMembers{Promote: "d"}).Voters, ShouldResemble, []string{"a", "b", "c", "d"})
	})
}

func TestLateMemberChanges(t *testing.T) {
	Convey("A request that was decided on other members than the present ones changes nothing", t, func() {
		c := newTestCluster()
		leader := c.leader("")
		token, before := c.claimController(), c.clusterStateGroup(leader).MemberSetIndex()
		So(c.changeMembers(&schema.ChangeMembers{AddLearner: "d"}).Learners, ShouldResemble, []string{"d"})
		removeLearner := func(index uint64) *schema.MemberSet {
			c.step(leader, "h", &schema.ChangeMembers{Group: clusterstate.GroupName, FencingToken: token, Remove: "d", MemberSetIndex: index})
			c.run(200 * eventloop.Millisecond)
			return c.clusterStateGroup(leader).MemberSet()
		}
		So(removeLearner(before).Learners, ShouldResemble, []string{"d"})
		So(removeLearner(c.clusterStateGroup(leader).MemberSetIndex()).Learners, ShouldBeEmpty)
	})
}

func TestMemberChangesKeepFaultTolerance(t *testing.T) {
	Convey("None of three voters that all answer is removed, whatever the controller requests", t, func() {
		c := newTestCluster()
		lost := c.follower()
		So(c.changeMembers(&schema.ChangeMembers{Remove: lost}).Voters, ShouldResemble, nodeIDs)
		Convey("one that no longer answers is", func() {
			c.isDown[lost] = true
			c.run(eventloop.Second)
			So(c.changeMembers(&schema.ChangeMembers{Remove: lost}).Voters, ShouldHaveLength, 2)
		})
		Convey("and of four that all answer one is", func() {
			c.addEmptyNode("d")
			c.changeMembers(&schema.ChangeMembers{AddLearner: "d"})
			So(c.changeMembers(&schema.ChangeMembers{Promote: "d"}).Voters, ShouldHaveLength, 4)
			So(c.changeMembers(&schema.ChangeMembers{Remove: lost}).Voters, ShouldHaveLength, 3)
		})
		Convey("but never the leader", func() {
			c.addEmptyNode("d")
			c.changeMembers(&schema.ChangeMembers{AddLearner: "d"})
			So(c.changeMembers(&schema.ChangeMembers{Promote: "d"}).Voters, ShouldHaveLength, 4)
			So(c.changeMembers(&schema.ChangeMembers{Remove: c.leader("")}).Voters, ShouldHaveLength, 4)
		})
	})
}

func TestDrainingNodeStaysUntilReplaced(t *testing.T) {
	Convey("Given a draining node", t, func() {
		c := newTestCluster()
		// The nodes derive the cluster's age from the renewals of the controller lease.
		for range 20 {
			c.claimController()
			c.run(eventloop.Second)
		}
		draining := c.follower()
		hasHandoverPending := func() bool { return c.hosts[draining].stateView(c.now).HasHandoverPending }
		updateMembers := func(list ...*schema.Member) {
			members := &membership.View{Members: map[string]membership.MemberStatus{}}
			for _, member := range list {
				members.Members[member.Id] = membership.MemberStatus{Member: member, LastHeard: c.now}
			}
			c.step(draining, "", members)
		}
		c.step(draining, "", Drain{})
		Convey("it has nothing to hand over if no storage node has joined", func() {
			updateMembers(&schema.Member{Id: "d", HasStorage: true, Incarnation: 2, Heartbeat: 4})
			So(hasHandoverPending(), ShouldBeFalse)
		})
		Convey("it stays if one has joined, even while no controller renews the lease", func() {
			for heartbeat := range uint64(80) {
				c.run(250 * eventloop.Millisecond)
				updateMembers(&schema.Member{Id: "d", HasStorage: true, Incarnation: 1, Heartbeat: heartbeat})
				So(hasHandoverPending(), ShouldBeTrue)
			}
		})
		Convey("it stays until the one that has joined is a voter in its place", func() {
			c.addEmptyNode("d")
			updateMembers(&schema.Member{Id: "d", HasStorage: true, Incarnation: 1, Heartbeat: 4})
			So(hasHandoverPending(), ShouldBeTrue)
			c.changeMembers(&schema.ChangeMembers{AddLearner: "d"})
			c.changeMembers(&schema.ChangeMembers{Promote: "d"})
			So(hasHandoverPending(), ShouldBeTrue)
			So(slices.Contains(c.changeMembers(&schema.ChangeMembers{Remove: draining}).Voters, draining), ShouldBeFalse)
			So(hasHandoverPending(), ShouldBeFalse)
		})
	})
}

func TestHeartbeatCreatesMissingReplica(t *testing.T) {
	Convey("A heartbeat creates the replica of an empty node as an append does, which may have been lost", t, func() {
		c := newTestCluster()
		c.addEmptyNode("d")
		sendHeartbeat := func(group string) {
			c.step("d", "a", &schema.HeartbeatBatch{Heartbeats: []*schema.Heartbeat{{Group: group, Term: 1, Round: 1}}})
		}
		sendHeartbeat(clusterstate.GroupName)
		So(c.hosts["d"].groups[clusterstate.GroupName], ShouldNotBeNil)
		So(c.hosts["d"].identity.Joined, ShouldBeTrue)
		Convey("but not that of a deleted queue", func() {
			c.hosts["d"].sharedState.NextToken = 4
			sendHeartbeat("l#3")
			So(c.hosts["d"].groups["l#3"], ShouldBeNil)
			sendHeartbeat("l#4")
			So(c.hosts["d"].groups["l#4"], ShouldNotBeNil)
		})
	})
}

func TestVoterPromotion(t *testing.T) {
	Convey("A learner that has never answered isn't promoted, however short the log is", t, func() {
		c := newTestCluster()
		lease := c.claimController()
		leader := c.leader("")
		changeMembers := func(m *schema.ChangeMembers) []string {
			m.Group, m.FencingToken, m.MemberSetIndex = clusterstate.GroupName, lease, c.clusterStateGroup(leader).MemberSetIndex()
			c.step(leader, "h", m)
			c.run(50 * eventloop.Millisecond)
			return c.clusterStateGroup(leader).MemberSet().Voters
		}
		changeMembers(&schema.ChangeMembers{AddLearner: "d"})
		group := c.clusterStateGroup(leader)
		So(group.MemberSet().Learners, ShouldResemble, []string{"d"})
		So(group.LastIndex(), ShouldBeLessThan, uint64(raft.MaxLearnerLag))
		So(changeMembers(&schema.ChangeMembers{Promote: "d"}), ShouldResemble, nodeIDs)
		answer := func(match uint64) {
			c.step(leader, "d", &schema.AppendResponse{Group: clusterstate.GroupName, Term: group.Term(), Match: match})
		}
		Convey("nor is one that answers without having any entry", func() {
			answer(0)
			So(changeMembers(&schema.ChangeMembers{Promote: "d"}), ShouldResemble, nodeIDs)
		})
		Convey("nor is one that answered too long ago", func() {
			answer(group.LastIndex())
			c.run(responseTimeout)
			lease = c.claimController()
			So(changeMembers(&schema.ChangeMembers{Promote: "d"}), ShouldResemble, nodeIDs)
		})
		Convey("one that has the log and answers is", func() {
			answer(group.LastIndex())
			So(changeMembers(&schema.ChangeMembers{Promote: "d"}), ShouldResemble, append(nodeIDs[:3:3], "d"))
		})
	})
}

func TestStaleClusterStateRejectsMemberChange(t *testing.T) {
	Convey("A queue's leader with a stale copy of the cluster state changes no members", t, func() {
		c := newTestCluster()
		So(c.putConfiguration(queuesUpdate(1, "", "l")).Code, ShouldEqual, 200)
		clusterStateLeader := c.leader("")
		leader := removeID(nodeIDs, clusterStateLeader)[0]
		c.placeQueue("l", leader)
		c.run(eventloop.Second)
		So(c.leader("l"), ShouldEqual, leader)
		lease := c.claimController()
		c.run(200 * eventloop.Millisecond)
		group := c.queueGroup(leader, "l")
		learners := func(id string) []string {
			c.step(leader, "h", &schema.ChangeMembers{Group: group.Name(), AddLearner: id, FencingToken: lease, MemberSetIndex: group.MemberSetIndex()})
			c.run(100 * eventloop.Millisecond)
			return group.MemberSet().Learners
		}
		So(learners("d"), ShouldResemble, []string{"d"})
		// The queue's leader still reaches the third node and so keeps leading the queue, but
		// it receives no entries or heartbeats of the cluster state's group.
		c.isPartitioned = func(from, to string) bool {
			return from == clusterStateLeader && to == leader || from == leader && to == clusterStateLeader
		}
		c.run(timing.FromBounds(nil).MaxStateAge + 100*eventloop.Millisecond)
		So(c.leader("l"), ShouldEqual, leader)
		So(c.hosts[leader].stateMachine.HoldsControllerLease(lease), ShouldBeTrue)
		So(learners("e"), ShouldResemble, []string{"d"})
	})
}
