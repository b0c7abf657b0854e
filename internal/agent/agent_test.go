package agent_test

import (
	"slices"
	"sort"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
	"sparnotch/internal/schema"
)

func TestTaskLifecycle(t *testing.T) {
	Convey("A worker is registered, inspected under its lease's fencing token, reported, and given a task whose end is acknowledged", t, func() {
		h := newHarness(fakeworker.Config{Pool: "pool", Rack: "r1", Labels: []string{"a"}}, nil)
		h.publishClusterState()
		h.run(1200 * eventloop.Millisecond)
		So(h.registrations, ShouldBeBetweenOrEqual, 2, 3)
		So(h.calls, ShouldBeEmpty)
		s := h.addScheduler("p1", 5, "w1")
		s.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=300000")}
		s.starts[0].Round, s.starts[0].StepInRound, s.starts[0].MemoryMb, s.starts[0].Accelerators = 2, 1, 7, 3
		h.run(100 * eventloop.Millisecond)
		So(h.logIndex("call 3 token 5"), ShouldEqual, 0)
		heartbeat := s.heartbeats[0]
		So(heartbeat.TasksByName && heartbeat.GangBarrier, ShouldBeTrue)
		So([]any{heartbeat.Pool, heartbeat.Rack, heartbeat.Labels[0], heartbeat.CoresMilli, heartbeat.Incarnation, heartbeat.FencingToken}, ShouldResemble, []any{"pool", "r1", "a", int64(1000), uint64(1), uint64(5)})
		So(h.worker.RunningCount(), ShouldEqual, 1)
		reported := s.lastHeartbeat().Running[0]
		So(statusName(reported), ShouldEqual, "j.2.1.0/1")
		So([]int64{reported.CoresMilli, reported.MemoryMb, reported.Accelerators}, ShouldResemble, []int64{100, 7, 3})
		start := h.calls[slices.IndexFunc(h.calls, func(c agent.Call) bool { return c.Action == agent.Start })]
		So(start.FencingToken, ShouldEqual, 5)
		So(start.Address, ShouldEqual, "side:1")
		h.run(400 * eventloop.Millisecond)
		So(s.ends, ShouldResemble, []string{"j.2.1.0/1 done"})
		h.run(200 * eventloop.Millisecond)
		So(s.lastHeartbeat().Ended, ShouldBeEmpty)
		// The agent waits for a while before it tells an idle worker that its ends are
		// acknowledged.
		h.run(400 * eventloop.Millisecond)
		So(h.worker.UnacknowledgedCount(), ShouldEqual, 0)
		So(h.count(agent.Start), ShouldEqual, 1)
		So(h.count(agent.Stop), ShouldEqual, 0)
	})
	Convey("An end is reported within a few message delays", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{}, nil)
		s.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=700000")}
		h.run(300 * eventloop.Millisecond)
		h.run(h.startTimes["j.0.0.0/1"] + 700*eventloop.Millisecond + 8*messageDelay - h.now)
		So(s.ends, ShouldResemble, []string{"j.0.0.0/1 done"})
	})
}

func TestAgentRestart(t *testing.T) {
	Convey("A restarted agent rebuilds its state from the worker", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{}, nil)
		s.acknowledgeAfter = -1
		s.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000"), newOrder("start", "j", 1, 1, "run_us=100000")}
		h.run(eventloop.Second)
		So(s.ends, ShouldHaveLength, 1)
		h.agent = agent.New(nil, 2000)
		h.publishClusterState()
		s.heartbeats, s.ends, s.firstReported = nil, nil, map[string]eventloop.Micros{}
		h.run(eventloop.Second)
		So(s.heartbeats[0].Running, ShouldHaveLength, 1)
		So(s.heartbeats[0].Ended, ShouldHaveLength, 1)
		So(s.rejected, ShouldEqual, 0)
		s.acknowledgeAfter = 0
		h.run(eventloop.Second)
		So(h.worker.UnacknowledgedCount(), ShouldEqual, 0)
		So(h.startCounts, ShouldHaveLength, 2)
		So(h.worker.RunningCount(), ShouldEqual, 1)
	})
}

func TestDraining(t *testing.T) {
	Convey("A draining worker is reported at once and gets no new tasks; its runs go on until it departs", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{}, nil)
		s.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		h.run(2 * eventloop.Second)
		h.worker.Drain(h.now, 5*eventloop.Second)
		heartbeat := h.worker.Heartbeat(h.now)
		h.deliver("", heartbeat)
		h.run(4 * messageDelay)
		So(s.lastHeartbeat().Draining, ShouldBeTrue)
		So(s.lastHeartbeat().DepartsInUs, ShouldBeBetween, int64(4900*eventloop.Millisecond), int64(5000*eventloop.Millisecond)+1)
		s.starts = append(s.starts, newOrder("start", "j", 1, 1, "run_us=60000000"))
		h.run(2 * eventloop.Second)
		So(h.count(agent.Start), ShouldEqual, 1)
		So(s.ends, ShouldResemble, []string{"j.0.0.1/1 stopped"})
		So(h.worker.RunningCount(), ShouldEqual, 1)
		// The last poll may have been sent as long ago as the scheduler may delay its answer.
		So(s.lastHeartbeat().DepartsInUs, ShouldBeBetween, int64(3*eventloop.Second), int64(3450*eventloop.Millisecond))
		s.starts = nil
		h.run(3 * eventloop.Second)
		h.deliver("", agent.Departed{Worker: "w1"})
		h.run(4 * messageDelay)
		So(s.ends, ShouldResemble, []string{"j.0.0.1/1 stopped", "j.0.0.0/1 stopped"})
		h.deliver("", heartbeat)
		calls := len(h.calls)
		h.run(eventloop.Second)
		So(h.calls, ShouldHaveLength, calls)
	})
}

// A worker may depart without having drained. It then keeps running its tasks for as long
// as a draining worker does, so they can't be returned yet.
func TestDepartureWithoutDraining(t *testing.T) {
	Convey("A departure that no draining came before starts the drain; the runs go on", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{}, nil)
		s.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=3000000")}
		h.run(2 * eventloop.Second)
		So(h.worker.RunningCount(), ShouldEqual, 1)
		h.deliver("", agent.Departed{Worker: "w1"})
		h.run(4 * messageDelay)
		So(s.lastHeartbeat().Draining, ShouldBeTrue)
		So(s.ends, ShouldBeEmpty)
		Convey("no task starts any more, and a repeated departure changes nothing", func() {
			s.starts = append(s.starts, newOrder("start", "j", 1, 1, "run_us=60000000"))
			h.deliver("", agent.Departed{Worker: "w1"})
			h.run(500 * eventloop.Millisecond)
			So(h.count(agent.Start), ShouldEqual, 1)
			So(s.ends, ShouldResemble, []string{"j.0.0.1/1 stopped"})
		})
		Convey("an end during the drain is reported as it was", func() {
			s.starts = nil
			h.run(3 * eventloop.Second)
			So(s.ends, ShouldResemble, []string{"j.0.0.0/1 done"})
		})
	})
}

func TestPausedAgent(t *testing.T) {
	Convey("After a pause shorter than the hold, the hold is renewed before it ends", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{}, nil)
		s.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=600000000")}
		h.run(eventloop.Second)
		for k := eventloop.Micros(0); k < 20; k++ {
			h.run(3*eventloop.Second + k*70*eventloop.Millisecond)
			h.isPaused = true
			// The pause leaves just enough time for an inspection, a poll and another inspection.
			remaining := h.worker.RunDeadline() - h.worker.Clock(h.now)
			h.run(remaining - 10*messageDelay - agent.TickInterval)
			h.isPaused = false
		}
		So(s.ends, ShouldBeEmpty)
		So(h.worker.RunningCount(), ShouldEqual, 1)
	})
	Convey("After a pause the worker is inspected before anything is reported or started", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{}, nil)
		s.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000"), newOrder("start", "j", 1, 1, "run_us=3000000")}
		h.run(2 * eventloop.Second)
		h.isPaused = true
		s.starts = append(s.starts, newOrder("start", "j", 2, 1, "run_us=60000000"))
		h.run(6 * eventloop.Second)
		h.isPaused = false
		sent := len(h.log)
		h.run(eventloop.Second)
		So(h.log[sent], ShouldEqual, "call 3 token 5")
		sort.Strings(s.ends)
		So(s.ends, ShouldResemble, []string{"j.0.0.0/1 lapsed", "j.0.0.1/1 done"})
		So(h.worker.RunningCount(), ShouldEqual, 1)
		So(h.startCounts["j.0.0.2/1"], ShouldEqual, 1)
	})
}
