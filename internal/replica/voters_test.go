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

func TestWhoIsMadeAVoter(t *testing.T) {
	Convey("A learner that was never reached is made no voter, however short the log is", t, func() {
		c := newCore()
		lease := c.lease()
		lead := c.leader("")
		reroster := func(m *schema.ChangeMembers) []string {
			m.Group, m.FencingToken = clusterstate.Group, lease
			c.step(lead, "h", m)
			c.run(50 * eventloop.Millisecond)
			return c.tables[lead].groups[clusterstate.Group].group.MemberSet().Voters
		}
		reroster(&schema.ChangeMembers{AddLearner: "d"})
		group := c.tables[lead].groups[clusterstate.Group].group
		So(group.MemberSet().Learners, ShouldResemble, []string{"d"})
		So(group.LastIndex(), ShouldBeLessThan, uint64(raft.MaxLearnerLag))
		So(reroster(&schema.ChangeMembers{Promote: "d"}), ShouldResemble, stores)
		answer := func(match uint64) {
			c.step(lead, "d", &schema.AppendResponse{Group: clusterstate.Group, Term: group.Term(), Match: match})
		}
		Convey("nor one that has taken nothing, though it answers", func() {
			answer(0)
			So(reroster(&schema.ChangeMembers{Promote: "d"}), ShouldResemble, stores)
		})
		Convey("nor one that answered long ago", func() {
			answer(group.LastIndex())
			c.run(heardSpan)
			lease = c.lease()
			So(reroster(&schema.ChangeMembers{Promote: "d"}), ShouldResemble, stores)
		})
		Convey("but one that holds the log and answers is", func() {
			answer(group.LastIndex())
			So(reroster(&schema.ChangeMembers{Promote: "d"}), ShouldResemble, append(stores[:3:3], "d"))
		})
	})
}

func TestAControllerIsFencedByAFreshClusterState(t *testing.T) {
	Convey("A queue's leader whose copy of the cluster state is old changes no members for a controller", t, func() {
		c := newCore()
		So(c.put(queuesSheet(1, "", "l")).Code, ShouldEqual, 200)
		lead := c.leader("")
		leader := without(stores, lead)[0]
		place := &schema.PlaceQueues{FencingToken: c.lease(), Queues: []*schema.QueuePlacement{{Queue: "l", InitialVoters: stores, PreferredLeader: leader}}}
		So(c.ask("clusterstate", &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_PlaceQueues{PlaceQueues: place}}).Code, ShouldEqual, 200)
		c.run(eventloop.Second)
		So(c.leader("l"), ShouldEqual, leader)
		lease := c.lease()
		c.run(200 * eventloop.Millisecond)
		group := c.tables[leader].groups["l#"+c.generation("l")].group
		learners := func(id string) []string {
			c.step(leader, "h", &schema.ChangeMembers{Group: group.Name(), AddLearner: id, FencingToken: lease})
			c.run(100 * eventloop.Millisecond)
			return group.MemberSet().Learners
		}
		So(learners("d"), ShouldResemble, []string{"d"})
		// It still leads the queue with the third store, but hears nothing of the cluster state.
		c.isCut = func(from, to string) bool { return from == lead && to == leader || from == leader && to == lead }
		c.run(timing.FromBounds(nil).MaxStateAge + 100*eventloop.Millisecond)
		So(c.leader("l"), ShouldEqual, leader)
		So(c.tables[leader].clusterState.HoldsControllerLease(lease), ShouldBeTrue)
		So(learners("e"), ShouldResemble, []string{"d"})
	})
}
