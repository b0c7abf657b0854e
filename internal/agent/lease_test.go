package agent_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
	"sparnotch/internal/schema"
)

func TestHoldDuration(t *testing.T) {
	for _, drift := range []float64{1, 0.98} {
		Convey(fmt.Sprintf("The hold ends with the lease, whatever the worker's clock rate, %v", drift), t, func() {
			h, s := newDefaultHarness(fakeworker.Config{ClockDrift: drift}, nil)
			s.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
			h.run(5 * eventloop.Second)
			So(h.worker.RunningCount(), ShouldEqual, 1)
			for k := 0; k < 1000; k++ {
				h.run(7 * eventloop.Millisecond)
				// With a slow clock, the hold ends later, by the error of the clock over the
				// duration of a lease.
				remaining := eventloop.Micros(float64(h.worker.RunDeadline()-h.worker.Clock(h.now)) / drift)
				So(h.now+remaining, ShouldBeLessThanOrEqualTo, s.leaseEndsAt+eventloop.Micros(float64(s.lease)*(1/drift-1))+2)
				So(remaining, ShouldBeGreaterThan, s.lease/3)
			}
			s.isUnresponsive = true
			h.run(s.lease + s.lease/40)
			So(h.worker.RunningCount(), ShouldEqual, 0)
		})
	}
	Convey("Without an answered poll no hold is renewed: the worker ends all runs, which is reported later", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{}, nil)
		s.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		h.run(2 * eventloop.Second)
		s.isUnresponsive, s.starts = true, nil
		silentAt := h.now
		h.run(s.lease)
		So(h.worker.RunningCount(), ShouldEqual, 0)
		So(h.now, ShouldBeLessThanOrEqualTo, silentAt+s.lease)
		s.isUnresponsive = false
		h.run(eventloop.Second)
		So(s.ends, ShouldResemble, []string{"j.0.0.0/1 lapsed"})
		So(h.worker.UnacknowledgedCount(), ShouldEqual, 0)
	})
	Convey("A hold that the worker shortens is renewed in time", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{}, &schema.Bounds{MaxWorkerLeaseUs: int64(1500 * eventloop.Millisecond)})
		s.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		h.run(10 * eventloop.Second)
		So(h.worker.RunningCount(), ShouldEqual, 1)
	})
}

func TestLeaseChange(t *testing.T) {
	Convey("A new lease holder gets the result of an inspection under its token, and runs go on", t, func() {
		h, first := newDefaultHarness(fakeworker.Config{}, nil)
		first.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		h.run(2 * eventloop.Second)
		second := h.addScheduler("p2", 9, "w1")
		h.run(100 * eventloop.Millisecond)
		So(h.worker.FencingToken(), ShouldEqual, 9)
		So(h.logIndex("call 3 token 9"), ShouldBeBetween, -1, h.logIndex("poll p2 token 9"))
		So(second.heartbeats[0].Running, ShouldHaveLength, 1)
		// Orders under the former lease's token are ignored.
		orders := &schema.WorkerOrders{FencingToken: 5, LeaseUs: int64(9 * eventloop.Second), Orders: []*schema.TaskOrder{newOrder("start", "x", 0, 1, "")}}
		for id := uint64(1000); id < 1100; id++ {
			h.deliver("p1", &schema.WorkerPollResponse{Id: id, Code: 200, Orders: orders})
			h.deliver("p2", &schema.WorkerPollResponse{Id: id, Code: 200, Orders: orders})
		}
		h.run(2 * eventloop.Second)
		So(h.startCounts, ShouldHaveLength, 1)
		So(h.worker.RunningCount(), ShouldEqual, 1)
	})
	Convey("A delayed start under the old lease has no effect, and the new holder's order starts the task once", t, func() {
		h, first := newDefaultHarness(fakeworker.Config{Fault: faultSequence(agent.Start, fakeworker.FaultDelayed), FaultDelay: 700 * eventloop.Millisecond}, nil)
		first.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		h.run(100 * eventloop.Millisecond)
		So(h.count(agent.Start), ShouldEqual, 1)
		first.isUnresponsive = true
		second := h.addScheduler("p2", 9, "w1")
		h.run(100 * eventloop.Millisecond)
		So(second.heartbeats[0].Running, ShouldBeEmpty)
		So(second.heartbeats[0].Ended, ShouldBeEmpty)
		h.run(900 * eventloop.Millisecond)
		So(h.startCounts, ShouldBeEmpty)
		second.starts = first.starts
		h.run(eventloop.Second)
		So(h.startCounts, ShouldResemble, map[string]int{"j.0.0.0/1": 1})
		So(second.ends, ShouldBeEmpty)
	})
	Convey("Orders with a newer token than the cluster state's copy holds make the agent inspect the worker first", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{}, nil)
		h.run(eventloop.Second)
		s.fencingToken = 7
		s.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		h.run(eventloop.Second)
		So(h.logIndex("call 3 token 7"), ShouldBeBetween, -1, h.logIndex("call 1 token 7"))
		So(h.logIndex("call 1 token 5"), ShouldEqual, -1)
		So(h.worker.RunningCount(), ShouldEqual, 1)
	})
}
