package sim

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
)

func amountOf(list []Result, role, what string) float64 {
	for _, each := range list {
		if each.Role == role && each.What == what {
			return each.Amount
		}
	}
	return -1
}

func TestHollow(t *testing.T) {
	setup := Hollow{
		Workers: 9, Fronts: 2, Queues: 2, Starts: 20, RunUs: 200_000, Width: 1, Changes: 12, Zones: 3, Regions: 1, PerRack: 3,
		Seed: 1, Warm: 2 * eventloop.Second, Span: 15 * eventloop.Second,
	}
	Convey("A hollow deployment runs its tasks, takes its plans, and comes back from losing the leader", t, func() {
		setup.Lose = "node"
		list := PlayHollow(setup)
		So(amountOf(list, "whole", "starts_s"), ShouldBeBetween, 14, 26)
		So(amountOf(list, "whole", "plan_missed"), ShouldEqual, 0)
		So(amountOf(list, "whole", "plan_max_ms"), ShouldBeBetween, 1, 2000)
		So(amountOf(list, "side", "sent_s"), ShouldBeGreaterThan, 2)
		// The design sums a recovery with work lost to 9.0 s at most.
		So(amountOf(list, "whole", "first_ms"), ShouldBeBetween, 1, 9000)
		So(PlayHollow(setup), ShouldResemble, list)
	})
	Convey("What ran on a lost rack runs again elsewhere", t, func() {
		// A run in which the rack has work out when it goes.
		setup.Lose, setup.RunUs, setup.Seed = "rack", 3_000_000, 2
		list := PlayHollow(setup)
		So(amountOf(list, "whole", "lost_tasks"), ShouldBeGreaterThan, 0)
		So(amountOf(list, "whole", "not_again"), ShouldEqual, 0)
	})
}
