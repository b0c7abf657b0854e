package agent_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
	"sparnotch/internal/schema"
)

func TestWorkerRestart(t *testing.T) {
	Convey("A new incarnation's polls name the replaced one until a scheduler has acknowledged that", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{}, nil)
		s.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		h.run(2 * eventloop.Second)
		delayed := h.worker.Heartbeat(h.now)
		delayed.Number += 100
		h.worker.Restart(h.now, "w2")
		h.withholdsHeartbeats = true
		sent := len(s.heartbeats)
		h.run(2 * eventloop.Second)
		// Another incarnation replies to calls, so the agent stops reporting the old one.
		So(len(s.heartbeats)-sent, ShouldBeLessThanOrEqualTo, 3)
		s.starts, s.losesReply = nil, func() bool { return true }
		h.withholdsHeartbeats = false
		h.moveLease("p1", 6, "w2")
		s.fencingToken, s.heartbeats = 6, nil
		h.run(2 * eventloop.Second)
		So(len(s.heartbeats), ShouldBeGreaterThan, 1)
		for _, heartbeat := range s.heartbeats {
			So(heartbeat.ReplacedWorkers, ShouldResemble, []string{"w1"})
			So(heartbeat.Running, ShouldBeEmpty)
		}
		s.losesReply = nil
		h.run(2 * eventloop.Second)
		So(s.lastHeartbeat().ReplacedWorkers, ShouldBeEmpty)
		// A delayed heartbeat of the former incarnation changes nothing.
		h.deliver("", delayed)
		inspections, calls := h.count(agent.Inspect), len(h.calls)
		s.starts = []*schema.TaskOrder{newOrder("start", "k", 0, 1, "run_us=60000000")}
		h.run(2 * eventloop.Second)
		So(s.lastHeartbeat().ReplacedWorkers, ShouldBeEmpty)
		So(h.count(agent.Inspect)-inspections, ShouldEqual, 2)
		So(len(h.calls)-calls, ShouldBeGreaterThanOrEqualTo, 2)
		for _, call := range h.calls[calls:] {
			So(call.Worker, ShouldEqual, "w2")
		}
	})
	Convey("An unresponsive worker isn't reported until it replies again", t, func() {
		unresponsive := false
		h, s := newDefaultHarness(fakeworker.Config{Fault: faultWhile(&unresponsive)}, nil)
		s.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		h.run(2 * eventloop.Second)
		unresponsive = true
		// Once the worker's hold is over, whatever the rate of its clock, the agent reports
		// only its ended runs, and no free capacity.
		for k := 0; k < 4000 && len(s.ends) == 0; k++ {
			h.run(eventloop.Millisecond)
		}
		So(s.ends, ShouldResemble, []string{"j.0.0.0/1 lapsed"})
		So(h.worker.RunningCount(), ShouldEqual, 0)
		So(s.lastHeartbeat().CoresMilli+s.lastHeartbeat().MemoryMb, ShouldEqual, 0)
		h.run(200 * eventloop.Millisecond)
		polls, inspections := len(s.heartbeats), h.count(agent.Inspect)
		h.run(5 * eventloop.Second)
		So(len(s.heartbeats), ShouldEqual, polls)
		So(h.count(agent.Inspect)-inspections, ShouldBeLessThanOrEqualTo, 8)
		unresponsive, s.starts = false, nil
		h.run(2 * eventloop.Second)
		So(s.ends, ShouldResemble, []string{"j.0.0.0/1 lapsed"})
	})
	Convey("A worker that was unresponsive for a while has its hold renewed in time when it replies again", t, func() {
		unresponsive := false
		h, s := newDefaultHarness(fakeworker.Config{Fault: faultWhile(&unresponsive)}, nil)
		s.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		for k := eventloop.Micros(0); k < 10; k++ {
			unresponsive = false
			h.run(3*eventloop.Second + k*100*eventloop.Millisecond)
			unresponsive = true
			h.run(1700 * eventloop.Millisecond)
		}
		So(s.ends, ShouldBeEmpty)
		So(h.worker.RunningCount(), ShouldEqual, 1)
	})
	Convey("A delayed heartbeat of an incarnation that was replaced by a heartbeat alone changes nothing", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{}, nil)
		h.run(2 * eventloop.Second)
		delayed := h.worker.Heartbeat(h.now)
		delayed.Number += 100
		h.worker.Restart(h.now, "w2")
		h.nextHeartbeat, s.fencingToken = 0, 6
		h.moveLease("p1", 6, "w2")
		h.run(eventloop.Second)
		So(s.lastHeartbeat().FencingToken, ShouldEqual, 6)
		from, calls := len(s.heartbeats), len(h.calls)
		h.deliver("", delayed)
		h.run(3 * eventloop.Second)
		for _, heartbeat := range s.heartbeats[from:] {
			So(heartbeat.ReplacedWorkers, ShouldBeEmpty)
		}
		for _, call := range h.calls[calls:] {
			So(call.Worker, ShouldEqual, "w2")
		}
	})
	Convey("A delayed heartbeat of a former incarnation doesn't replace the live one for good", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{}, nil)
		s.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		h.run(2 * eventloop.Second)
		for _, address := range []string{"side:1", "nowhere"} {
			h.deliver("", agent.Heartbeat{Worker: "w0-" + address, Number: 99, Clock: eventloop.Second, Address: address})
			h.run(3 * eventloop.Second)
			So(s.lastHeartbeat().ReplacedWorkers, ShouldNotContain, "w1")
			So(s.lastHeartbeat().Running, ShouldHaveLength, 1)
			So(h.calls[len(h.calls)-1].Worker, ShouldEqual, "w1")
		}
		So(h.worker.RunningCount(), ShouldEqual, 1)
	})
	Convey("Heartbeats out of order are dropped", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{WarmUp: 10 * eventloop.Second}, nil)
		old := h.worker.Heartbeat(h.now)
		old.Cores = 7
		h.run(2 * eventloop.Second)
		h.deliver("", old)
		h.run(eventloop.Second)
		So(s.lastHeartbeat().CoresMilli, ShouldEqual, 1000)
		So(s.lastHeartbeat().WarmUpUs, ShouldBeBetween, int64(6*eventloop.Second), int64(8*eventloop.Second))
	})
}
