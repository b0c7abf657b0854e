package main

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestHollowConfig(t *testing.T) {
	Convey("The error of a hollow deployment's configuration names the field", t, func() {
		valid := defaultHollowConfig()
		So(valid.check(), ShouldBeNil)
		for field, invalidate := range map[string]func(*hollowConfig){
			"net":         func(s *hollowConfig) { s.Net = "10.0" },
			"workers":     func(s *hollowConfig) { s.Workers = 0 },
			"fronts":      func(s *hollowConfig) { s.Gateways = -1 },
			"queues":      func(s *hollowConfig) { s.Queues = 0 },
			"starts":      func(s *hollowConfig) { s.StartsPerSecond = -1 },
			"run_us":      func(s *hollowConfig) { s.RunUs = 0 },
			"width":       func(s *hollowConfig) { s.Width = 0 },
			"changes":     func(s *hollowConfig) { s.ChangesPerMinute = 1e6 },
			"rows":        func(s *hollowConfig) { s.Rows = 10_000 },
			"zones":       func(s *hollowConfig) { s.Zones = 0 },
			"regions":     func(s *hollowConfig) { s.Regions = 9 },
			"far_us":      func(s *hollowConfig) { s.RegionDelayUs = -1 },
			"per_rack":    func(s *hollowConfig) { s.PerRack = 0 },
			"controllers": func(s *hollowConfig) { s.Controllers = -1 },
			"shares":      func(s *hollowConfig) { s.AgentProcesses = 0 },
			"sync_us":     func(s *hollowConfig) { s.SyncUs = -1 },
		} {
			invalid := defaultHollowConfig()
			invalidate(&invalid)
			So(invalid.check(), ShouldNotBeNil)
			So(invalid.check().Error(), ShouldStartWith, field)
		}
	})
	Convey("All nodes have different addresses", t, func() {
		s := defaultHollowConfig()
		seen := map[string]bool{}
		for host := range firstAgentHost + 1200 {
			address := s.address(host, 7400)
			So(seen[address], ShouldBeFalse)
			seen[address] = true
		}
	})
}

func TestSweep(t *testing.T) {
	Convey("A sweep's configuration is checked at each value before anything starts", t, func() {
		c := &sweepCommand{config: defaultHollowConfig(), dimension: "queues", levels: "1,2,4000", repeats: 1, span: 1}
		_, err := c.values()
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldStartWith, "over: at 4000: queues")
		c.levels = "1,2"
		list, err := c.values()
		So(err, ShouldBeNil)
		So(list, ShouldResemble, []float64{1, 2})
		c.dimension = "depth"
		_, err = c.values()
		So(err.Error(), ShouldStartWith, "size")
	})
	Convey("The number of running tasks sets their run time", t, func() {
		s := defaultHollowConfig()
		sweeps["running"](&s, 40)
		So(s.RunUs, ShouldEqual, 2_000_000)
	})
}

func TestConfigLatency(t *testing.T) {
	Convey("A configuration's latency ends when the last agent node has it", t, func() {
		deployment := &hollowDeployment{config: &hollowConfig{Workers: 3}}
		reports := []*processReport{
			{ConfigApplied: map[uint64]int64{1: 0, 2: 1000, 3: 5000}},
			{ConfigSeen: map[uint64]int64{2: 2000, 3: 7000}, ConfigSeenBy: map[uint64]int{2: 2, 3: 2}},
			{ConfigSeen: map[uint64]int64{2: 4000}, ConfigSeenBy: map[uint64]int{2: 1}},
		}
		latency, complete := deployment.configLatency(reports)
		So(latency.TotalCount(), ShouldEqual, 1)
		So(latency.Max(), ShouldAlmostEqual, 3000, 3) // the histogram keeps three significant figures
		So(complete, ShouldBeFalse)
	})
}
