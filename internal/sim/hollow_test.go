package sim

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
)

// valueOf returns the value of a role's metric, or -1 if the results don't have it.
func valueOf(list []Result, role, metric string) float64 {
	for _, result := range list {
		if result.Role == role && result.Metric == metric {
			return result.Value
		}
	}
	return -1
}

func TestHollow(t *testing.T) {
	setup := HollowSetup{
		Workers: 9, Gateways: 2, Queues: 2, StartsPerSecond: 20, RunUs: 200_000, TasksPerJob: 1, ChangesPerMinute: 12, Zones: 3, Regions: 1, WorkersPerRack: 3,
		Seed: 1, WarmUp: 2 * eventloop.Second, Duration: 15 * eventloop.Second,
	}
	Convey("A hollow deployment runs its tasks, takes its configurations, and recovers from losing the leader", t, func() {
		setup.LossScope = "node"
		list := RunHollow(setup)
		So(valueOf(list, roleWhole, "starts_s"), ShouldBeBetween, 14, 26)
		So(valueOf(list, roleWhole, "plan_missed"), ShouldEqual, 0)
		So(valueOf(list, roleWhole, "plan_max_ms"), ShouldBeBetween, 1, 2000)
		So(valueOf(list, roleAgent, "sent_s"), ShouldBeGreaterThan, 2)
		// By design a recovery in which work is lost takes at most 9.0 s in total.
		So(valueOf(list, roleWhole, "first_ms"), ShouldBeBetween, 1, 9000)
		So(RunHollow(setup), ShouldResemble, list)
	})
	Convey("What ran on a lost rack runs again elsewhere", t, func() {
		// With this seed the rack runs tasks when it is lost.
		setup.LossScope, setup.RunUs, setup.Seed = "rack", 3_000_000, 2
		list := RunHollow(setup)
		So(valueOf(list, roleWhole, "lost_tasks"), ShouldBeGreaterThan, 0)
		So(valueOf(list, roleWhole, "not_again"), ShouldEqual, 0)
	})
}
