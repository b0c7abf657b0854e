package controller

import (
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestVoterReplacement(t *testing.T) {
	Convey("A group that tolerates two failures keeps five voters", t, func() {
		g := newGroupFixture(2, "a", "b", "c", "d", "e")
		g.run(3 * eventloop.Second)
		g.silentSince["e"] = g.now
		Convey("without a replacement the lost one isn't removed", func() {
			g.run(20 * eventloop.Second)
			So(g.steps, ShouldBeEmpty)
		})
		Convey("an unresponsive one is removed once its replacement votes", func() {
			g.add("f", "10.0.0.f", "")
			g.run(20 * eventloop.Second)
			So(g.steps, ShouldResemble, []string{"learn f", "promote f", "remove e"})
			So(g.minQuorumMargin, ShouldEqual, 1)
		})
		Convey("one whose disk is gone is removed when its replacement has caught up, and not before", func() {
			g.add("f", "10.0.0.e", "")
			g.status.ReplicaLag["f"] = 1000
			g.run(20 * eventloop.Second)
			So(g.steps, ShouldResemble, []string{"learn f"})
			g.status.ReplicaLag["f"] = 0
			g.run(5 * eventloop.Second)
			So(g.steps, ShouldResemble, []string{"learn f", "remove e", "promote f"})
			So(g.minQuorumMargin, ShouldEqual, 1)
		})
		Convey("two lost ones are replaced one after the other, with a quorum of live voters at all times", func() {
			g.silentSince["d"] = g.now
			g.add("f", "10.0.0.e", "")
			g.add("g", "10.0.0.d", "")
			g.run(20 * eventloop.Second)
			So(g.minQuorumMargin, ShouldEqual, 0)
			slices.Sort(g.status.Voters)
			So(g.status.Voters, ShouldResemble, []string{"a", "b", "c", "f", "g"})
			So(g.live(), ShouldEqual, 5)
		})
		Convey("one that comes back while its replacement learns keeps its vote", func() {
			g.add("f", "10.0.0.f", "")
			g.status.ReplicaLag["f"] = 1000
			g.run(8 * eventloop.Second)
			delete(g.silentSince, "e")
			g.run(2 * eventloop.Second)
			So(g.steps, ShouldResemble, []string{"learn f", "remove f"})
		})
	})
	Convey("A group that tolerates one failure gets back to three voters", t, func() {
		g := newGroupFixture(0, "a", "b", "c")
		g.run(3 * eventloop.Second)
		g.silentSince["c"] = g.now
		g.add("d", "10.0.0.c", "")
		g.run(5 * eventloop.Second)
		So(g.steps, ShouldResemble, []string{"learn d", "remove c", "promote d"})
		So(g.minQuorumMargin, ShouldEqual, 0)
	})
	Convey("A group created with too few voters grows, in the zones that have the fewest", t, func() {
		g := newGroupFixture(2, "a", "b", "c")
		for id, zone := range map[string]string{"a": "x", "b": "y", "c": "y", "d": "y", "e": "x", "f": "z", "g": "z"} {
			g.add(id, "10.0.0."+id, zone)
		}
		g.run(5 * eventloop.Second)
		So(g.steps, ShouldResemble, []string{"learn f", "promote f", "learn e", "promote e"})
	})
	Convey("Of too many live voters one is removed: one of the zone that has the most, not the leader", t, func() {
		g := newGroupFixture(0, "a", "b", "c", "d")
		for id, zone := range map[string]string{"a": "x", "b": "y", "c": "x", "d": "z"} {
			g.add(id, "10.0.0."+id, zone)
		}
		g.run(5 * eventloop.Second)
		So(g.steps, ShouldResemble, []string{"remove c"})
	})
}

func TestDepartingVoter(t *testing.T) {
	Convey("Given a voter that drains", t, func() {
		g := newGroupFixture(0, "a", "b", "c")
		g.run(3 * eventloop.Second)
		g.setClusterAge()
		g.members["c"].Draining = true
		Convey("it is assumed to restart and keeps its vote", func() {
			g.run(10 * eventloop.Second)
			So(g.steps, ShouldBeEmpty)
		})
		Convey("a storage node that ran before changes nothing", func() {
			g.add("d", "10.0.0.d", "")
			g.run(2 * eventloop.Second)
			So(g.steps, ShouldBeEmpty)
		})
		Convey("a newly joined one gets its vote before it leaves", func() {
			g.addNewlyJoined("d")
			g.run(2 * eventloop.Second)
			So(g.steps, ShouldResemble, []string{"learn d", "promote d", "remove c"})
			So(g.minQuorumMargin, ShouldEqual, 1)
		})
		Convey("and not before it has caught up", func() {
			g.addNewlyJoined("d")
			g.status.ReplicaLag["d"] = 1000
			g.run(2 * eventloop.Second)
			So(g.steps, ShouldResemble, []string{"learn d"})
		})
		Convey("one that joins after it has left needn't wait for a timeout", func() {
			g.silentSince["c"] = g.now
			g.addNewlyJoined("d")
			g.run(eventloop.Second)
			So(g.steps, ShouldResemble, []string{"learn d", "promote d", "remove c"})
			So(g.minQuorumMargin, ShouldEqual, 0)
		})
		Convey("when it is back it keeps its vote, and the learner is removed", func() {
			g.addNewlyJoined("d")
			g.status.ReplicaLag["d"] = 1000
			g.run(eventloop.Second)
			g.members["c"] = &schema.Member{Id: "c", Incarnation: 3, HasStorage: true, Role: schema.Role_ROLE_SERVER, InternalAddress: "10.0.0.c"}
			g.run(eventloop.Second)
			So(g.steps, ShouldResemble, []string{"learn d", "remove d"})
		})
	})
	Convey("Two that drain at once are replaced one after the other", t, func() {
		g := newGroupFixture(2, "a", "b", "c", "d", "e")
		g.run(3 * eventloop.Second)
		g.setClusterAge()
		g.members["a"].Draining, g.members["b"].Draining = true, true
		g.status.Leader = "e"
		g.addNewlyJoined("f")
		g.addNewlyJoined("g")
		g.run(3 * eventloop.Second)
		So(g.steps, ShouldResemble, []string{"learn f", "promote f", "remove a", "learn g", "promote g", "remove b"})
		So(g.minQuorumMargin, ShouldEqual, 2)
	})
}
