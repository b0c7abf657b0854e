package sim

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
)

func valueOf(list []Result, role, what string) float64 {
	for _, each := range list {
		if each.Role == role && each.Metric == what {
			return each.Value
		}
	}
	return -1
}

func TestHollow(t *testing.T) {
	setup := HollowSetup{
		Workers: 9, Gateways: 2, Queues: 2, StartsPerSecond: 20, RunUs: 200_000, TasksPerJob: 1, ChangesPerMinute: 12, Zones: 3, Regions: 1, WorkersPerRack: 3,
		Seed: 1, WarmUp: 2 * eventloop.Second, Duration: 15 * eventloop.Second,
	}
	Convey("A hollow deployment runs its tasks, takes its plans, and comes back from losing the leader", t, func() {
		setup.LossScope = "node"
		list := RunHollow(setup)
		So(valueOf(list, "whole", "starts_s"), ShouldBeBetween, 14, 26)
		So(valueOf(list, "whole", "plan_missed"), ShouldEqual, 0)
		So(valueOf(list, "whole", "plan_max_ms"), ShouldBeBetween, 1, 2000)
		So(valueOf(list, "side", "sent_s"), ShouldBeGreaterThan, 2)
		// The design sums a recovery with work lost to 9.0 s at most.
		So(valueOf(list, "whole", "first_ms"), ShouldBeBetween, 1, 9000)
		So(RunHollow(setup), ShouldResemble, list)
	})
	Convey("What ran on a lost rack runs again elsewhere", t, func() {
		// A run in which the rack has work out when it goes.
		setup.LossScope, setup.RunUs, setup.Seed = "rack", 3_000_000, 2
		list := RunHollow(setup)
		So(valueOf(list, "whole", "lost_tasks"), ShouldBeGreaterThan, 0)
		So(valueOf(list, "whole", "not_again"), ShouldEqual, 0)
	})
}
