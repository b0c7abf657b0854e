package controller

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

// setClusterAge lets the council's controller know that the cluster is a minute old.
func (c *groupFixture) setClusterAge() {
	c.controller.leaseExpiryUs, c.controller.leaseExpirySeenAt = int64(60*eventloop.Second)+clusterstate.ControllerLeaseUs, c.now
}

// addNewlyJoined adds an empty store that has just started.
func (c *groupFixture) addNewlyJoined(id string) {
	c.add(id, "10.0.0."+id, "")
	c.members[id].Incarnation, c.members[id].Heartbeat = 1, 4
}

func TestALeaverHandsItsVoteOver(t *testing.T) {
	Convey("Given a voter that says it leaves", t, func() {
		c := newGroupFixture(0, "a", "b", "c")
		c.run(3 * eventloop.Second)
		c.setClusterAge()
		c.members["c"].Draining = true
		Convey("it is taken to be restarting, and keeps its vote", func() {
			c.run(10 * eventloop.Second)
			So(c.steps, ShouldBeEmpty)
		})
		Convey("an old spare changes nothing", func() {
			c.add("d", "10.0.0.d", "")
			c.run(2 * eventloop.Second)
			So(c.steps, ShouldBeEmpty)
		})
		Convey("one that has come of late gets its vote before it goes", func() {
			c.addNewlyJoined("d")
			c.run(2 * eventloop.Second)
			So(c.steps, ShouldResemble, []string{"learn d", "promote d", "drop c"})
			So(c.minQuorumMargin, ShouldEqual, 1)
		})
		Convey("and not before it has caught up", func() {
			c.addNewlyJoined("d")
			c.status.ReplicaLag["d"] = 1000
			c.run(2 * eventloop.Second)
			So(c.steps, ShouldResemble, []string{"learn d"})
		})
		Convey("one that comes when it has gone needn't wait to see whether it is only silent", func() {
			c.silentSince["c"] = c.now
			c.addNewlyJoined("d")
			c.run(eventloop.Second)
			So(c.steps, ShouldResemble, []string{"learn d", "promote d", "drop c"})
			So(c.minQuorumMargin, ShouldEqual, 0)
		})
		Convey("when it is back it keeps its vote, and who was to stand for it is let go", func() {
			c.addNewlyJoined("d")
			c.status.ReplicaLag["d"] = 1000
			c.run(eventloop.Second)
			c.members["c"] = &schema.Member{Id: "c", Incarnation: 3, HasStorage: true, Role: schema.Role_ROLE_SERVER, InternalAddress: "10.0.0.c"}
			c.run(eventloop.Second)
			So(c.steps, ShouldResemble, []string{"learn d", "drop d"})
		})
	})
	Convey("Two that leave at once are replaced one after another", t, func() {
		c := newGroupFixture(2, "a", "b", "c", "d", "e")
		c.run(3 * eventloop.Second)
		c.setClusterAge()
		c.members["a"].Draining, c.members["b"].Draining = true, true
		c.status.Leader = "e"
		c.addNewlyJoined("f")
		c.addNewlyJoined("g")
		c.run(3 * eventloop.Second)
		So(c.steps, ShouldResemble, []string{"learn f", "promote f", "drop a", "learn g", "promote g", "drop b"})
		So(c.minQuorumMargin, ShouldEqual, 2)
	})
}

func TestSucceededThoughForgotten(t *testing.T) {
	Convey("A store whose successor lives at its address is replaced at once, also when the book has let it go", t, func() {
		c := newGroupFixture(0, "a", "b", "c")
		c.run(3 * eventloop.Second)
		// The book forgets a silent process as soon as another is heard at its address.
		delete(c.members, "c")
		c.add("d", "10.0.0.c", "")
		c.run(eventloop.Second)
		So(c.steps, ShouldResemble, []string{"learn d", "drop c", "promote d"})
	})
}

func TestTheAgeOfTheCluster(t *testing.T) {
	Convey("A controller that has just started knows the age of the cluster from the lease, and counts a newcomer", t, func() {
		h := New("h", 0)
		h.view = &membership.View{Members: map[string]membership.MemberStatus{
			"d": {Member: &schema.Member{Id: "d", HasStorage: true, Incarnation: 1, Heartbeat: 4}, LastHeard: eventloop.Second},
		}}
		So(h.hasNewlyJoined(eventloop.Second), ShouldBeFalse)
		h.leaseExpiryUs, h.leaseExpirySeenAt = int64(60*eventloop.Second), eventloop.Second
		So(h.hasNewlyJoined(eventloop.Second), ShouldBeTrue)
		So(h.clusterAge(eventloop.Second), ShouldEqual, 60*eventloop.Second-clusterstate.ControllerLeaseUs)
		// Also while nobody renews the lease: else who came of late would count as a founder.
		So(h.clusterAge(10*eventloop.Second), ShouldEqual, 69*eventloop.Second-clusterstate.ControllerLeaseUs)
	})
}
