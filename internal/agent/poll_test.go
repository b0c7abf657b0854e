package agent_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
)

func TestLostAnswers(t *testing.T) {
	Convey("When answers of the scheduler are lost, every run starts once and every end is acknowledged", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{}, nil)
		number := 0
		s.losesReply = func() bool { number++; return number%3 != 0 }
		for k := uint32(0); k < 6; k++ {
			s.starts = append(s.starts, newOrder("start", "j", k, 1, "run_us=200000"))
		}
		h.run(10 * eventloop.Second)
		So(s.ends, ShouldHaveLength, 6)
		So(h.worker.UnacknowledgedCount(), ShouldEqual, 0)
		So(s.lastHeartbeat().Ended, ShouldBeEmpty)
		So(h.count(agent.Start), ShouldEqual, 6)
		for previous, heartbeat := range s.heartbeats[1:] {
			So(heartbeat.Seq, ShouldBeGreaterThan, s.heartbeats[previous].Seq)
		}
	})
	Convey("A poll without an answer is superseded after 0.7 s", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{}, nil)
		h.run(eventloop.Second)
		s.losesReply = func() bool { return true }
		before := len(s.heartbeats)
		h.run(7 * eventloop.Second)
		So(len(s.heartbeats)-before, ShouldBeBetweenOrEqual, 9, 11)
	})
	Convey("When replies of the worker are lost, nothing starts twice and no end is missed", t, func() {
		number := 0
		lossy := func(_ eventloop.Micros, call agent.Call) fakeworker.Fault {
			number++
			return []fakeworker.Fault{fakeworker.FaultReplyLost, fakeworker.NoFault, fakeworker.FaultRequestLost, fakeworker.NoFault, fakeworker.FaultBusy, fakeworker.NoFault}[number%6]
		}
		h, s := newDefaultHarness(fakeworker.Config{Fault: lossy}, nil)
		for k := uint32(0); k < 6; k++ {
			s.starts = append(s.starts, newOrder("start", "j", k, 1, "run_us=200000"))
		}
		h.run(12 * eventloop.Second)
		So(s.ends, ShouldHaveLength, 6)
		So(h.worker.UnacknowledgedCount(), ShouldEqual, 0)
		for _, count := range h.startCounts {
			So(count, ShouldEqual, 1)
		}
	})
}
