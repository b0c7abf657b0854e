package agent_test

import (
	"maps"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
	"sparnotch/internal/schema"
)

func TestStaleCallReplies(t *testing.T) {
	Convey("Given calls whose replies came long ago", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{}, nil)
		s.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		h.run(3 * eventloop.Second)
		var answered []agent.Call
		for k, call := range h.calls {
			if h.now-h.callTimes[k] > 2*eventloop.Second {
				answered = append(answered, call)
			}
		}
		So(answered, ShouldNotBeEmpty)
		redeliver := func(change func(reply *agent.Reply)) {
			for _, call := range answered {
				reply := agent.Reply{Number: call.Number, Outcome: agent.Succeeded, Clock: eventloop.Second}
				change(&reply)
				h.deliver("", reply)
			}
			h.run(eventloop.Second)
		}
		Convey("a duplicate reply doesn't change what runs", func() {
			redeliver(func(*agent.Reply) {})
			So(s.ends, ShouldBeEmpty)
			So(s.lastHeartbeat().Running, ShouldHaveLength, 1)
		})
		Convey("nor does it show that the worker was replaced", func() {
			redeliver(func(reply *agent.Reply) { reply.Outcome = agent.IncarnationMismatch })
			polls := len(s.heartbeats)
			h.run(2 * eventloop.Second)
			So(len(s.heartbeats), ShouldBeGreaterThan, polls)
			So(s.lastHeartbeat().Running, ShouldHaveLength, 1)
		})
		Convey("nor does it change another incarnation's runs", func() {
			h.worker.Restart(h.now, "w2")
			h.nextHeartbeat, s.starts = 0, nil
			h.moveLease("p1", 6, "w2")
			s.fencingToken = 6
			h.run(2 * eventloop.Second)
			So(s.lastHeartbeat().FencingToken, ShouldEqual, 6)
			redeliver(func(reply *agent.Reply) {
				reply.Running = []agent.RunningTask{{Task: agent.TaskName{Job: "j"}, Attempt: 1}}
				reply.Ended = []agent.EndedTask{{Number: 1, Task: agent.TaskName{Job: "k"}, Attempt: 1, State: "done"}}
			})
			So(s.lastHeartbeat().Running, ShouldBeEmpty)
			So(s.ends, ShouldNotContain, "k.0.0.0/1 done")
		})
	})
}

func TestStalePollResponses(t *testing.T) {
	Convey("Given an open poll", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{}, nil)
		h.run(2 * eventloop.Second)
		h.addScheduler("p2", 5, "another")
		s.isUnresponsive = true
		h.run(2 * eventloop.Second)
		numbers := slices.Sorted(maps.Keys(h.pollTimes))
		open := numbers[len(numbers)-1]
		answer := func(from string, number uint64, task uint32) {
			h.deliver(from, &schema.WorkerPollResponse{Id: number, Code: 200, Scheduler: from, Orders: &schema.WorkerOrders{
				FencingToken: 5, LeaseUs: int64(4 * eventloop.Second), Scheduler: from, Orders: []*schema.TaskOrder{newOrder("start", "j", task, 1, "run_us=60000000")},
			}})
			h.run(30 * eventloop.Millisecond)
		}
		Convey("the answer to an older one has no effect", func() {
			for _, number := range numbers[:len(numbers)-1] {
				answer("p1", number, 0)
			}
			answer("p1", open+1, 0)
			So(h.count(agent.Start), ShouldEqual, 0)
		})
		Convey("nor has another scheduler's", func() {
			answer("p2", open, 0)
			So(h.count(agent.Start), ShouldEqual, 0)
		})
		Convey("its own has, once", func() {
			answer("p1", open, 0)
			So(h.count(agent.Start), ShouldEqual, 1)
			answer("p1", open, 1)
			So(h.count(agent.Start), ShouldEqual, 1)
		})
	})
}
