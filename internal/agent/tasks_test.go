package agent_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
	"sparnotch/internal/schema"
)

func TestStarts(t *testing.T) {
	orderLongTask := func(s *fakeScheduler) {
		s.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
	}
	Convey("A start whose reply was lost is found running", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{Fault: faultSequence(agent.Start, fakeworker.FaultReplyLost)}, nil)
		orderLongTask(s)
		h.run(3 * eventloop.Second)
		So(h.startCounts["j.0.0.0/1"], ShouldEqual, 1)
		So(h.worker.RunningCount(), ShouldEqual, 1)
		So(s.ends, ShouldBeEmpty)
		So(h.count(agent.Stop), ShouldEqual, 0)
	})
	Convey("A start that times out is stopped and reported, and has no effect when it is carried out later", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{Fault: faultOn(agent.Start, fakeworker.FaultDelayed), FaultDelay: 3 * eventloop.Second}, nil)
		orderLongTask(s)
		h.run(2 * eventloop.Second)
		So(s.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(h.count(agent.Stop), ShouldEqual, 1)
		h.run(5 * eventloop.Second)
		So(h.startCounts, ShouldBeEmpty)
		So(s.lastHeartbeat().Running, ShouldBeEmpty)
	})
	Convey("A start whose replies are lost is stopped, and reported only after its end", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{
			Fault:        faultOn(agent.Start, fakeworker.FaultReplyLost),
			StopDuration: func(agent.TaskName, uint32) eventloop.Micros { return 700 * eventloop.Millisecond },
		}, &schema.Bounds{StopTimeoutUs: int64(eventloop.Second)})
		orderLongTask(s)
		h.run(1300 * eventloop.Millisecond)
		So(h.count(agent.Stop), ShouldEqual, 1)
		So(s.ends, ShouldBeEmpty)
		So(s.lastHeartbeat().Running, ShouldHaveLength, 1)
		h.run(eventloop.Second)
		So(h.startCounts["j.0.0.0/1"], ShouldEqual, 1)
		So(s.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(h.worker.RunningCount(), ShouldEqual, 0)
	})
	Convey("A start without capacity is reported as stopped", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{EnforcesCapacity: true}, nil)
		s.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "cores=1001")}
		h.run(eventloop.Second)
		So(s.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(h.startCounts, ShouldBeEmpty)
	})
	Convey("A start without capacity after one that timed out is stopped first", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{EnforcesCapacity: true, Fault: faultSequence(agent.Start, fakeworker.FaultDelayed)}, nil)
		h.run(12 * eventloop.Second)
		So(h.count(agent.Stop), ShouldEqual, 0)
		s.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "cores=1001")}
		h.run(2 * eventloop.Second)
		So(s.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(h.count(agent.Stop), ShouldEqual, 1)
	})
	Convey("A start at a busy worker is retried, and given up after 0.9 s", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{Fault: faultSequence(agent.Start, fakeworker.FaultBusy, fakeworker.FaultBusy, fakeworker.FaultBusy)}, nil)
		orderLongTask(s)
		h.run(eventloop.Second)
		So(h.worker.RunningCount(), ShouldEqual, 1)
		So(h.count(agent.Start), ShouldEqual, 4)
		h, s = newDefaultHarness(fakeworker.Config{Fault: faultOn(agent.Start, fakeworker.FaultBusy)}, nil)
		h.run(12 * eventloop.Second)
		orderLongTask(s)
		h.run(1200 * eventloop.Millisecond)
		So(s.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(h.count(agent.Stop), ShouldEqual, 0)
		So(h.count(agent.Start), ShouldBeBetweenOrEqual, 9, 18)
	})
	Convey("An abandoned attempt is never retried, even when it is ordered again", t, func() {
		busy := true
		h, s := newDefaultHarness(fakeworker.Config{Fault: func(_ eventloop.Micros, call agent.Call) fakeworker.Fault {
			if call.Action == agent.Start && busy {
				return fakeworker.FaultBusy
			}
			return fakeworker.NoFault
		}}, nil)
		h.run(12 * eventloop.Second)
		s.repeatsOrders = true
		orderLongTask(s)
		h.run(1500 * eventloop.Millisecond)
		busy = false
		h.run(3 * eventloop.Second)
		So(s.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(h.count(agent.Start), ShouldBeLessThan, 20)
		So(h.startCounts, ShouldBeEmpty)
		s.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 2, "run_us=60000000")}
		h.run(2 * eventloop.Second)
		So(h.startCounts["j.0.0.0/2"], ShouldEqual, 1)
	})
	Convey("When a start is rejected because the attempt is over, the next inspection decides whether it ended", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{}, nil)
		h.run(100 * eventloop.Millisecond)
		h.worker.HandleCall(h.now, agent.Call{Action: agent.Stop, Worker: "w1", Task: agent.TaskName{Job: "j"}, Attempt: 1, FencingToken: 5}, func(agent.Reply) {})
		orderLongTask(s)
		h.run(eventloop.Second)
		So(s.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(h.startCounts, ShouldBeEmpty)
	})
}

func TestStops(t *testing.T) {
	bounds := &schema.Bounds{StopTimeoutUs: int64(2 * eventloop.Second), CheckpointIntervalUs: int64(eventloop.Second)}
	Convey("A stopped run is reported when the worker lists its end, with its checkpoint", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{StopDuration: func(agent.TaskName, uint32) eventloop.Micros { return 600 * eventloop.Millisecond }}, bounds)
		s.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000 saves=1")}
		h.run(2500 * eventloop.Millisecond)
		So(s.lastHeartbeat().Running[0].Checkpoint, ShouldStartWith, "work=")
		s.starts, s.stops = nil, []*schema.TaskOrder{newOrder("stop", "j", 0, 1, "")}
		h.run(500 * eventloop.Millisecond)
		So(s.ends, ShouldBeEmpty)
		h.run(300 * eventloop.Millisecond)
		So(s.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(h.count(agent.Stop), ShouldEqual, 1)
	})
	Convey("A stop is retried until it succeeds", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{Fault: faultSequence(agent.Stop, fakeworker.FaultRequestLost, fakeworker.FaultBusy, fakeworker.FaultRequestLost)}, bounds)
		s.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		h.run(eventloop.Second)
		s.starts, s.stops = nil, []*schema.TaskOrder{newOrder("stop", "j", 0, 1, "")}
		h.run(3 * eventloop.Second)
		So(s.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(h.count(agent.Stop), ShouldEqual, 4)
	})
	Convey("A stop of an unknown attempt is reported as stopped, and the attempt can't start any more", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{}, bounds)
		h.run(eventloop.Second)
		s.stops = []*schema.TaskOrder{newOrder("stop", "j", 0, 1, "")}
		h.run(100 * eventloop.Millisecond)
		So(s.ends, ShouldResemble, []string{"j.0.0.0/1 stopped"})
		So(h.count(agent.Stop), ShouldEqual, 1)
	})
}
