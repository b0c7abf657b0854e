package controller

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
)

// newZonedFixture is a council whose voters a, b, ... stand in these zones, and which is to bear
// the loss of a zone.
func newZonedFixture(tolerance membership.FaultTolerance, zones ...string) *groupFixture {
	ids := []string{"a", "b", "c", "d", "e"}[:len(zones)]
	c := newGroupFixture(0, ids...)
	c.controller.WithTolerance(tolerance)
	for k, id := range ids {
		c.add(id, "10.0.0."+id, zones[k])
	}
	return c
}

func TestVotersAreSpreadOverZones(t *testing.T) {
	oneZone := membership.FaultTolerance{Machines: 1, Zones: 1}
	Convey("Where a zone may be lost, a lost voter's vote stays in its zone", t, func() {
		c := newZonedFixture(oneZone, "x", "y", "z")
		c.run(3 * eventloop.Second)
		c.silentSince["c"] = c.now
		c.add("d", "10.0.0.d", "x")
		Convey("though another zone has a spare", func() {
			c.run(20 * eventloop.Second)
			So(c.steps, ShouldBeEmpty)
		})
		Convey("and goes to a successor there", func() {
			c.add("e", "10.0.0.e", "z")
			c.run(20 * eventloop.Second)
			So(c.steps, ShouldResemble, []string{"learn e", "promote e", "drop c"})
		})
		Convey("or to a zone without a voter", func() {
			c.add("f", "10.0.0.f", "w")
			c.run(20 * eventloop.Second)
			So(c.steps, ShouldResemble, []string{"learn f", "promote f", "drop c"})
		})
	})
	Convey("Voters that stand badly are moved when a zone comes to have a store, never the leader", t, func() {
		c := newZonedFixture(oneZone, "x", "x", "y")
		c.run(5 * eventloop.Second)
		So(c.steps, ShouldBeEmpty)
		c.add("d", "10.0.0.d", "z")
		c.run(5 * eventloop.Second)
		So(c.steps, ShouldResemble, []string{"learn d", "promote d", "drop b"})
		So(c.minQuorumMargin, ShouldEqual, 1)
		c.run(10 * eventloop.Second)
		So(c.steps, ShouldHaveLength, 3)
	})
	Convey("Regions likewise", t, func() {
		c := newZonedFixture(membership.FaultTolerance{Machines: 1, Regions: 1, RegionByZone: map[string]string{"x": "r", "y": "r", "z": "s", "w": "q"}}, "x", "y", "z")
		c.run(5 * eventloop.Second)
		So(c.steps, ShouldBeEmpty)
		c.add("d", "10.0.0.d", "w")
		c.run(5 * eventloop.Second)
		So(c.steps, ShouldResemble, []string{"learn d", "promote d", "drop b"})
	})
	Convey("A deployment that can't bear the loss of a zone repairs what it can: the loss of a machine", t, func() {
		c := newZonedFixture(oneZone, "x", "y", "x")
		c.run(3 * eventloop.Second)
		c.silentSince["b"] = c.now
		c.add("d", "10.0.0.d", "x")
		c.run(20 * eventloop.Second)
		So(c.steps, ShouldResemble, []string{"learn d", "promote d", "drop b"})
	})
	Convey("Where zones needn't be borne, a spare is taken wherever it stands", t, func() {
		c := newZonedFixture(membership.FaultTolerance{Machines: 1}, "x", "y", "z")
		c.run(3 * eventloop.Second)
		c.silentSince["c"] = c.now
		c.add("d", "10.0.0.d", "x")
		c.run(20 * eventloop.Second)
		So(c.steps, ShouldResemble, []string{"learn d", "promote d", "drop c"})
	})
}
