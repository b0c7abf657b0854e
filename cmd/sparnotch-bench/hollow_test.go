package main

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestHollowSetup(t *testing.T) {
	Convey("A hollow deployment's setup names the field that can't be taken", t, func() {
		good := usualHollow()
		So(good.check(), ShouldBeNil)
		for field, spoil := range map[string]func(*hollowSetup){
			"net":         func(s *hollowSetup) { s.Net = "10.0" },
			"workers":     func(s *hollowSetup) { s.Workers = 0 },
			"fronts":      func(s *hollowSetup) { s.Fronts = -1 },
			"queues":      func(s *hollowSetup) { s.Queues = 0 },
			"starts":      func(s *hollowSetup) { s.Starts = -1 },
			"run_us":      func(s *hollowSetup) { s.RunUs = 0 },
			"width":       func(s *hollowSetup) { s.Width = 0 },
			"changes":     func(s *hollowSetup) { s.Changes = 1e6 },
			"rows":        func(s *hollowSetup) { s.Rows = 10_000 },
			"zones":       func(s *hollowSetup) { s.Zones = 0 },
			"regions":     func(s *hollowSetup) { s.Regions = 9 },
			"far_us":      func(s *hollowSetup) { s.FarUs = -1 },
			"per_rack":    func(s *hollowSetup) { s.PerRack = 0 },
			"controllers": func(s *hollowSetup) { s.Controllers = -1 },
			"shares":      func(s *hollowSetup) { s.Shares = 0 },
			"sync_us":     func(s *hollowSetup) { s.SyncUs = -1 },
		} {
			bad := usualHollow()
			spoil(&bad)
			So(bad.check(), ShouldNotBeNil)
			So(bad.check().Error(), ShouldStartWith, field)
		}
	})
	Convey("Stores, fronts and sides have addresses of their own", t, func() {
		s := usualHollow()
		seen := map[string]bool{}
		for host := range sidesFrom + 1200 {
			address := s.address(host, 7400)
			So(seen[address], ShouldBeFalse)
			seen[address] = true
		}
	})
}

func TestSweep(t *testing.T) {
	Convey("A sweep is checked at each of its values before anything starts", t, func() {
		c := &slopeCommand{setup: usualHollow(), size: "queues", over: "1,2,4000", repeats: 1, span: 1}
		_, err := c.values()
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldStartWith, "over: at 4000: queues")
		c.over = "1,2"
		list, err := c.values()
		So(err, ShouldBeNil)
		So(list, ShouldResemble, []float64{1, 2})
		c.size = "depth"
		_, err = c.values()
		So(err.Error(), ShouldStartWith, "size")
	})
	Convey("Running tasks follow from how long each lasts", t, func() {
		s := usualHollow()
		sweeps["running"](&s, 40)
		So(s.RunUs, ShouldEqual, 2_000_000)
	})
}

func TestInForce(t *testing.T) {
	Convey("A plan is in force when the last side has seen it", t, func() {
		run := &hollowRun{setup: &hollowSetup{Workers: 3}}
		readings := []*partReading{
			{Put: map[uint64]int64{1: 0, 2: 1000, 3: 5000}},
			{Seen: map[uint64]int64{2: 2000, 3: 7000}, SeenBy: map[uint64]int{2: 2, 3: 2}},
			{Seen: map[uint64]int64{2: 4000}, SeenBy: map[uint64]int{2: 1}},
		}
		spread, isAll := run.inForce(readings)
		So(spread.TotalCount(), ShouldEqual, 1)
		So(spread.Max(), ShouldAlmostEqual, 3000, 3) // a spread holds three figures
		So(isAll, ShouldBeFalse)
	})
}
