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

// empty adds a store with an empty disk.
func (c *core) empty(id string) {
	content := &storage.State{Identity: &schema.StoreIdentity{Id: id}, Groups: map[string]*storage.GroupState{}}
	c.tables[id] = New(id, content, func() int64 { return 0 }, raft.DefaultTimeouts, 4, c.now)
}

// change has the controller ask the leader for a change of members, and gives what
// the members are then.
func (c *core) change(m *schema.ChangeMembers) *schema.MemberSet {
	m.Group, m.FencingToken = clusterstate.Group, c.lease()
	lead := c.leader("")
	c.step(lead, "h", m)
	c.run(200 * eventloop.Millisecond)
	return c.tables[lead].groups[clusterstate.Group].group.MemberSet()
}

// follower is a store that doesn't lead.
func (c *core) follower() string {
	for _, id := range stores {
		if id != c.leader("") {
			return id
		}
	}
	return ""
}

func TestPromotionWaitsForTheCopy(t *testing.T) {
	Convey("A learner gets a vote when it has caught up, and not before", t, func() {
		c := newCore()
		So(c.change(&schema.ChangeMembers{AddLearner: "d"}).Learners, ShouldResemble, []string{"d"})
		// It answers, but holds nothing yet.
		lead := c.leader("")
		term := c.tables[lead].groups[clusterstate.Group].group.Term()
		c.step(lead, "d", &schema.HeartbeatBatch{Responses: []*schema.HeartbeatResponse{{Group: clusterstate.Group, Term: term}}})
		So(c.change(&schema.ChangeMembers{Promote: "d"}).Voters, ShouldResemble, stores)
		c.empty("d")
		c.run(eventloop.Second)
		So(c.change(&schema.ChangeMembers{Promote: "d"}).Voters, ShouldResemble, []string{"a", "b", "c", "d"})
	})
}

func TestNoStepLowersWhatMayBeLost(t *testing.T) {
	Convey("Of three that all answer none is dropped, whatever the controller believes", t, func() {
		c := newCore()
		lost := c.follower()
		So(c.change(&schema.ChangeMembers{Remove: lost}).Voters, ShouldResemble, stores)
		Convey("one that has fallen silent is", func() {
			c.isDown[lost] = true
			c.run(eventloop.Second)
			So(c.change(&schema.ChangeMembers{Remove: lost}).Voters, ShouldHaveLength, 2)
		})
		Convey("and of four that all answer one is", func() {
			c.empty("d")
			c.change(&schema.ChangeMembers{AddLearner: "d"})
			So(c.change(&schema.ChangeMembers{Promote: "d"}).Voters, ShouldHaveLength, 4)
			So(c.change(&schema.ChangeMembers{Remove: lost}).Voters, ShouldHaveLength, 3)
		})
		Convey("but never who leads", func() {
			c.empty("d")
			c.change(&schema.ChangeMembers{AddLearner: "d"})
			So(c.change(&schema.ChangeMembers{Promote: "d"}).Voters, ShouldHaveLength, 4)
			So(c.change(&schema.ChangeMembers{Remove: c.leader("")}).Voters, ShouldHaveLength, 4)
		})
	})
}

func TestALeaverStaysUntilItsVoteIsHandedOver(t *testing.T) {
	Convey("Given a store that was told to leave", t, func() {
		c := newCore()
		// The age of the cluster is told by the lease, which is renewed.
		for range 20 {
			c.lease()
			c.run(eventloop.Second)
		}
		leaver := c.follower()
		isNeeded := func() bool { return c.tables[leaver].belief(c.now).IsNeeded }
		hears := func(list ...*schema.Member) {
			roll := &membership.View{Members: map[string]membership.MemberStatus{}}
			for _, member := range list {
				roll.Members[member.Id] = membership.MemberStatus{Member: member, LastHeard: c.now}
			}
			c.step(leaver, "", roll)
		}
		c.step(leaver, "", Warned{})
		Convey("without another that has come it goes at once", func() {
			hears(&schema.Member{Id: "d", HasStorage: true, Incarnation: 2, Heartbeat: 4})
			So(isNeeded(), ShouldBeFalse)
		})
		Convey("with one it stays, also while no controller renews the lease", func() {
			for beat := range uint64(80) {
				c.run(250 * eventloop.Millisecond)
				hears(&schema.Member{Id: "d", HasStorage: true, Incarnation: 1, Heartbeat: beat})
				So(isNeeded(), ShouldBeTrue)
			}
		})
		Convey("with one it stays until that has its vote", func() {
			c.empty("d")
			hears(&schema.Member{Id: "d", HasStorage: true, Incarnation: 1, Heartbeat: 4})
			So(isNeeded(), ShouldBeTrue)
			c.change(&schema.ChangeMembers{AddLearner: "d"})
			c.change(&schema.ChangeMembers{Promote: "d"})
			So(isNeeded(), ShouldBeTrue)
			So(slices.Contains(c.change(&schema.ChangeMembers{Remove: leaver}).Voters, leaver), ShouldBeFalse)
			So(isNeeded(), ShouldBeFalse)
		})
	})
}

func TestALearnerWhoseAppendWasLost(t *testing.T) {
	Convey("A heartbeat counts an empty store in as well: its leader sends no second Append unasked", t, func() {
		c := newCore()
		c.empty("d")
		beat := func(group string) {
			c.step("d", "a", &schema.HeartbeatBatch{Heartbeats: []*schema.Heartbeat{{Group: group, Term: 1, Round: 1}}})
		}
		beat(clusterstate.Group)
		So(c.tables["d"].groups[clusterstate.Group], ShouldNotBeNil)
		So(c.tables["d"].self.Joined, ShouldBeTrue)
		Convey("but not into a queue that has ended", func() {
			c.tables["d"].state.NextToken = 4
			beat("l#3")
			So(c.tables["d"].groups["l#3"], ShouldBeNil)
			beat("l#4")
			So(c.tables["d"].groups["l#4"], ShouldNotBeNil)
		})
	})
}
