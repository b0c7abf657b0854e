package controller

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
)

func TestVoterSpreadOverZones(t *testing.T) {
	oneZone := membership.FaultTolerance{Machines: 1, Zones: 1}
	Convey("If a zone failure is to be tolerated, a lost voter's vote stays in its zone", t, func() {
		g := newZonedFixture(oneZone, "x", "y", "z")
		g.run(3 * eventloop.Second)
		g.silentSince["c"] = g.now
		g.add("d", "10.0.0.d", "x")
		Convey("though another zone has a storage node", func() {
			g.run(20 * eventloop.Second)
			So(g.steps, ShouldBeEmpty)
		})
		Convey("and goes to another storage node there", func() {
			g.add("e", "10.0.0.e", "z")
			g.run(20 * eventloop.Second)
			So(g.steps, ShouldResemble, []string{"learn e", "promote e", "remove c"})
		})
		Convey("or to a zone without a voter", func() {
			g.add("f", "10.0.0.f", "w")
			g.run(20 * eventloop.Second)
			So(g.steps, ShouldResemble, []string{"learn f", "promote f", "remove c"})
		})
	})
	Convey("Misplaced voters, never the leader, are replaced when a zone gets a storage node", t, func() {
		g := newZonedFixture(oneZone, "x", "x", "y")
		g.run(5 * eventloop.Second)
		So(g.steps, ShouldBeEmpty)
		g.add("d", "10.0.0.d", "z")
		g.run(5 * eventloop.Second)
		So(g.steps, ShouldResemble, []string{"learn d", "promote d", "remove b"})
		So(g.minQuorumMargin, ShouldEqual, 1)
		g.run(10 * eventloop.Second)
		So(g.steps, ShouldHaveLength, 3)
	})
	Convey("So they are over regions", t, func() {
		g := newZonedFixture(membership.FaultTolerance{Machines: 1, Regions: 1, RegionByZone: map[string]string{"x": "r", "y": "r", "z": "s", "w": "q"}}, "x", "y", "z")
		g.run(5 * eventloop.Second)
		So(g.steps, ShouldBeEmpty)
		g.add("d", "10.0.0.d", "w")
		g.run(5 * eventloop.Second)
		So(g.steps, ShouldResemble, []string{"learn d", "promote d", "remove b"})
	})
	Convey("A deployment that can't tolerate a zone failure still replaces a lost machine", t, func() {
		g := newZonedFixture(oneZone, "x", "y", "x")
		g.run(3 * eventloop.Second)
		g.silentSince["b"] = g.now
		g.add("d", "10.0.0.d", "x")
		g.run(20 * eventloop.Second)
		So(g.steps, ShouldResemble, []string{"learn d", "promote d", "remove b"})
	})
	Convey("If no zone failure is to be tolerated, any storage node is taken", t, func() {
		g := newZonedFixture(membership.FaultTolerance{Machines: 1}, "x", "y", "z")
		g.run(3 * eventloop.Second)
		g.silentSince["c"] = g.now
		g.add("d", "10.0.0.d", "x")
		g.run(20 * eventloop.Second)
		So(g.steps, ShouldResemble, []string{"learn d", "promote d", "remove c"})
	})
}
