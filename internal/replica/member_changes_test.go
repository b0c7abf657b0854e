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
	"sparnotch/internal/storage"
)

// addEmptyNode adds a store with an empty disk.
func (c *testCluster) addEmptyNode(id string) {
	content := &storage.State{Identity: &schema.StoreIdentity{Id: id}, Groups: map[string]*storage.GroupState{}}
	c.hosts[id] = New(id, content, func() int64 { return 0 }, raft.DefaultTimeouts, 4, c.now)
}

// changeMembers has the controller ask the leader for a change of members, and gives what
// the members are then.
func (c *testCluster) changeMembers(m *schema.ChangeMembers) *schema.MemberSet {
	m.Group, m.FencingToken = clusterstate.Group, c.claimController()
	leader := c.leader("")
	c.step(leader, "h", m)
	c.run(200 * eventloop.Millisecond)
	return c.hosts[leader].groups[clusterstate.Group].group.MemberSet()
}

// follower is a store that doesn't lead.
func (c *testCluster) follower() string {
	for _, id := range nodeIDs {
		if id != c.leader("") {
			return id
		}
	}
	return ""
}

func TestPromotionRequiresCaughtUpLearner(t *testing.T) {
	Convey("A learner gets a vote when it has caught up, and not before", t, func() {
		c := newTestCluster()
		So(c.changeMembers(&schema.ChangeMembers{AddLearner: "d"}).Learners, ShouldResemble, []string{"d"})
		// It answers, but holds nothing yet.
		leader := c.leader("")
		term := c.hosts[leader].groups[clusterstate.Group].group.Term()
		c.step(leader, "d", &schema.HeartbeatBatch{Responses: []*schema.HeartbeatResponse{{Group: clusterstate.Group, Term: term}}})
		So(c.changeMembers(&schema.ChangeMembers{Promote: "d"}).Voters, ShouldResemble, nodeIDs)
		c.addEmptyNode("d")
		c.run(eventloop.Second)
		So(c.changeMembers(&schema.ChangeMembers{Promote: "d"}).Voters, ShouldResemble, []string{"a", "b", "c", "d"})
	})
}

func TestMemberChangesKeepFaultTolerance(t *testing.T) {
	Convey("Of three that all answer none is dropped, whatever the controller believes", t, func() {
		c := newTestCluster()
		lost := c.follower()
		So(c.changeMembers(&schema.ChangeMembers{Remove: lost}).Voters, ShouldResemble, nodeIDs)
		Convey("one that has fallen silent is", func() {
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
		Convey("but never who leads", func() {
			c.addEmptyNode("d")
			c.changeMembers(&schema.ChangeMembers{AddLearner: "d"})
			So(c.changeMembers(&schema.ChangeMembers{Promote: "d"}).Voters, ShouldHaveLength, 4)
			So(c.changeMembers(&schema.ChangeMembers{Remove: c.leader("")}).Voters, ShouldHaveLength, 4)
		})
	})
}

func TestDrainingNodeStaysUntilReplaced(t *testing.T) {
	Convey("Given a store that was told to leave", t, func() {
		c := newTestCluster()
		// The age of the cluster is told by the lease, which is renewed.
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
		Convey("without another that has come it goes at once", func() {
			updateMembers(&schema.Member{Id: "d", HasStorage: true, Incarnation: 2, Heartbeat: 4})
			So(hasHandoverPending(), ShouldBeFalse)
		})
		Convey("with one it stays, also while no controller renews the lease", func() {
			for heartbeat := range uint64(80) {
				c.run(250 * eventloop.Millisecond)
				updateMembers(&schema.Member{Id: "d", HasStorage: true, Incarnation: 1, Heartbeat: heartbeat})
				So(hasHandoverPending(), ShouldBeTrue)
			}
		})
		Convey("with one it stays until that has its vote", func() {
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
	Convey("A heartbeat counts an empty store in as well: its leader sends no second Append unasked", t, func() {
		c := newTestCluster()
		c.addEmptyNode("d")
		sendHeartbeat := func(group string) {
			c.step("d", "a", &schema.HeartbeatBatch{Heartbeats: []*schema.Heartbeat{{Group: group, Term: 1, Round: 1}}})
		}
		sendHeartbeat(clusterstate.Group)
		So(c.hosts["d"].groups[clusterstate.Group], ShouldNotBeNil)
		So(c.hosts["d"].identity.Joined, ShouldBeTrue)
		Convey("but not into a queue that has ended", func() {
			c.hosts["d"].state.NextToken = 4
			sendHeartbeat("l#3")
			So(c.hosts["d"].groups["l#3"], ShouldBeNil)
			sendHeartbeat("l#4")
			So(c.hosts["d"].groups["l#4"], ShouldNotBeNil)
		})
	})
}
