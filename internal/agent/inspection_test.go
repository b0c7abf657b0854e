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

func TestInspectionRate(t *testing.T) {
	Convey("One long inspection is open at a time", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{}, nil)
		h.run(eventloop.Second)
		before := h.count(agent.Inspect)
		h.run(10 * eventloop.Second)
		So(h.count(agent.Inspect)-before, ShouldBeLessThanOrEqualTo, 2)
		s.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		h.run(2 * eventloop.Second)
		before = h.count(agent.Inspect)
		h.run(10 * eventloop.Second)
		So(h.count(agent.Inspect)-before, ShouldBeBetweenOrEqual, 9, 11)
	})
	Convey("Starts on an idle worker need no inspections of their own", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{}, nil)
		h.run(20 * eventloop.Second)
		before := h.count(agent.Inspect)
		for k := uint32(0); k < 10; k++ {
			s.starts = append(s.starts, newOrder("start", "j", k, 1, "run_us=60000000"))
			h.run(20 * eventloop.Millisecond)
		}
		So(h.worker.RunningCount(), ShouldEqual, 10)
		So(h.count(agent.Inspect)-before, ShouldBeLessThanOrEqualTo, 1)
	})
	Convey("An idle worker is inspected often only when its heartbeats don't come", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{}, nil)
		h.run(5 * eventloop.Second)
		before := h.count(agent.Inspect)
		h.withholdsHeartbeats = true
		h.run(10 * eventloop.Second)
		So(h.count(agent.Inspect)-before, ShouldBeBetweenOrEqual, 3, 5)
		h.withholdsHeartbeats = false
		h.run(3 * eventloop.Second)
		before = h.count(agent.Inspect)
		h.run(30 * eventloop.Second)
		So(h.count(agent.Inspect)-before, ShouldBeBetweenOrEqual, 4, 6)
		So(len(s.heartbeats), ShouldBeGreaterThan, 20)
	})
	Convey("Ends that may wait are seen together, within the pause that the scheduler allows", t, func() {
		inspections := func(pause eventloop.Micros) int {
			h, s := newDefaultHarness(fakeworker.Config{Cores: 1 << 40}, nil)
			s.inspectionPause = pause
			h.run(eventloop.Second)
			before := h.count(agent.Inspect)
			for k := uint32(0); k < 40; k++ {
				s.starts = append(s.starts, newOrder("start", "j", k, 1, fmt.Sprintf("run_us=%d", 500_000+25_000*k)))
			}
			h.run(1700 * eventloop.Millisecond)
			So(s.ends, ShouldHaveLength, 40)
			for k := uint32(0); k < 40; k++ {
				name := attemptName("j", 0, 0, k, 1)
				ended := h.startTimes[name] + eventloop.Micros(500_000+25_000*k)
				So(s.firstReported[name]-ended, ShouldBeLessThanOrEqualTo, pause+40*eventloop.Millisecond)
			}
			h.run(eventloop.Second)
			So(h.worker.UnacknowledgedCount(), ShouldEqual, 0)
			return h.count(agent.Inspect) - before
		}
		So(inspections(0), ShouldBeGreaterThan, 20)
		So(inspections(200*eventloop.Millisecond), ShouldBeLessThanOrEqualTo, 9)
	})
	Convey("While an end isn't acknowledged, the worker is inspected with a backoff", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{}, nil)
		s.acknowledgeAfter = -1
		s.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=100000"), newOrder("start", "j", 1, 1, "run_us=60000000")}
		h.run(eventloop.Second)
		before, polls := h.count(agent.Inspect), len(s.heartbeats)
		h.run(10 * eventloop.Second)
		So(h.count(agent.Inspect)-before, ShouldBeLessThanOrEqualTo, 26)
		So(len(s.heartbeats)-polls, ShouldBeLessThanOrEqualTo, 26)
		So(h.worker.RunningCount(), ShouldEqual, 1)
		s.acknowledgeAfter = 0
		h.run(eventloop.Second)
		So(h.worker.UnacknowledgedCount(), ShouldEqual, 0)
	})
	Convey("Many ends come in pages, and all are acknowledged", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{Cores: 1 << 40}, nil)
		for k := uint32(0); k < 1200; k++ {
			s.starts = append(s.starts, newOrder("start", "j", k, 1, "run_us=50000"))
		}
		h.run(3 * eventloop.Second)
		So(s.ends, ShouldHaveLength, 1200)
		So(h.worker.UnacknowledgedCount(), ShouldEqual, 0)
		So(h.count(agent.Start), ShouldEqual, 1200)
		So(h.count(agent.Stop), ShouldEqual, 0)
		for _, end := range s.ends {
			So(end, ShouldEndWith, "done")
		}
	})
}

func TestInspectionsOutOfOrder(t *testing.T) {
	Convey("The reply to an inspection from before a start doesn't undo the start", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{}, nil)
		h.run(eventloop.Second)
		// The reply to the open inspection is delayed, so that its list of running tasks is
		// out of date when it arrives.
		inspection := h.calls[len(h.calls)-1]
		h.messageDelay = func(body any) eventloop.Micros {
			if reply, found := body.(agent.Reply); found && reply.Number == inspection.Number {
				return 300 * eventloop.Millisecond
			}
			return messageDelay
		}
		repliesAt := h.callTimes[len(h.callTimes)-1] + inspection.Wait + messageDelay
		h.run(repliesAt + 10*eventloop.Millisecond - h.now)
		s.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		h.run(eventloop.Second)
		So(s.ends, ShouldBeEmpty)
		So(s.lastHeartbeat().Running, ShouldHaveLength, 1)
	})
	Convey("An inspection's reply that comes after a newer one's doesn't bring back what has ended", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{}, nil)
		s.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=1400000")}
		h.run(200 * eventloop.Millisecond)
		// The first reply that lists the run is delayed until after the end of the run is
		// acknowledged.
		delayed := false
		h.messageDelay = func(body any) eventloop.Micros {
			if reply, found := body.(agent.Reply); found && !delayed && len(reply.Running) > 0 {
				delayed = true
				return 2500 * eventloop.Millisecond
			}
			return messageDelay
		}
		s.stops = []*schema.TaskOrder{newOrder("stop", "x", 9, 1, "")} // makes the agent send another inspection
		h.run(1600 * eventloop.Millisecond)
		s.stops = []*schema.TaskOrder{newOrder("stop", "y", 9, 1, "")}
		h.run(400 * eventloop.Millisecond)
		So(delayed, ShouldBeTrue)
		So(s.ends, ShouldContain, "j.0.0.0/1 done")
		before := len(s.heartbeats)
		h.run(2 * eventloop.Second)
		for _, heartbeat := range s.heartbeats[before:] {
			So(heartbeat.Running, ShouldBeEmpty)
		}
		So(s.ends, ShouldHaveLength, 3)
	})
	Convey("After a pause, a reply from before it doesn't count as the inspection that is due", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{}, nil)
		s.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		h.run(2 * eventloop.Second)
		h.isPaused = true
		h.run(8 * eventloop.Second)
		h.isPaused = false
		before := len(s.heartbeats)
		h.run(eventloop.Second)
		So(s.heartbeats[before].Running, ShouldBeEmpty)
		So(s.heartbeats[before].Ended, ShouldHaveLength, 1)
	})
}
