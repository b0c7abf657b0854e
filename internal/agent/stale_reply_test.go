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
	Convey("Given calls that were answered long ago", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{}, nil)
		w.starts = []*schema.TaskOrder{newOrder("start", "j", 0, 1, "run_us=60000000")}
		b.run(3 * eventloop.Second)
		var over []agent.Call
		for k, call := range b.calls {
			if b.now-b.callTimes[k] > 2*eventloop.Second {
				over = append(over, call)
			}
		}
		So(over, ShouldNotBeEmpty)
		again := func(change func(reply *agent.Reply)) {
			for _, call := range over {
				reply := agent.Reply{Number: call.Number, Outcome: agent.Succeeded, Clock: eventloop.Second}
				change(&reply)
				b.deliver("", reply)
			}
			b.run(eventloop.Second)
		}
		Convey("a second answer says nothing of what runs now", func() {
			again(func(*agent.Reply) {})
			So(w.ends, ShouldBeEmpty)
			So(w.lastHeartbeat().Running, ShouldHaveLength, 1)
		})
		Convey("nor that the worker is gone", func() {
			again(func(reply *agent.Reply) { reply.Outcome = agent.IncarnationMismatch })
			announces := len(w.heartbeats)
			b.run(2 * eventloop.Second)
			So(len(w.heartbeats), ShouldBeGreaterThan, announces)
			So(w.lastHeartbeat().Running, ShouldHaveLength, 1)
		})
		Convey("nor what another life runs", func() {
			b.worker.Restart(b.now, "w2")
			b.nextHeartbeat, w.starts = 0, nil
			b.moveLease("p1", 6, "w2")
			w.fencingToken = 6
			b.run(2 * eventloop.Second)
			So(w.lastHeartbeat().FencingToken, ShouldEqual, 6)
			again(func(reply *agent.Reply) {
				reply.Running = []agent.RunningTask{{Task: agent.TaskName{Job: "j"}, Attempt: 1}}
				reply.Ended = []agent.EndedTask{{Number: 1, Task: agent.TaskName{Job: "k"}, Attempt: 1, State: "done"}}
			})
			So(w.lastHeartbeat().Running, ShouldBeEmpty)
			So(w.ends, ShouldNotContain, "k.0.0.0/1 done")
		})
	})
}

func TestStalePollResponses(t *testing.T) {
	Convey("Given an announce that is open", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{}, nil)
		b.run(2 * eventloop.Second)
		b.addScheduler("p2", 5, "another")
		w.isUnresponsive = true
		b.run(2 * eventloop.Second)
		numbers := slices.Sorted(maps.Keys(b.pollTimes))
		open := numbers[len(numbers)-1]
		answer := func(from string, number uint64, task uint32) {
			b.deliver(from, &schema.WorkerPollResponse{Id: number, Code: 200, Scheduler: from, Orders: &schema.WorkerOrders{
				FencingToken: 5, LeaseUs: int64(4 * eventloop.Second), Scheduler: from, Orders: []*schema.TaskOrder{newOrder("start", "j", task, 1, "run_us=60000000")},
			}})
			b.run(30 * eventloop.Millisecond)
		}
		Convey("the answer to an older one orders nothing", func() {
			for _, number := range numbers[:len(numbers)-1] {
				answer("p1", number, 0)
			}
			answer("p1", open+1, 0)
			So(b.count(agent.Start), ShouldEqual, 0)
		})
		Convey("nor does another scheduler's", func() {
			answer("p2", open, 0)
			So(b.count(agent.Start), ShouldEqual, 0)
		})
		Convey("its own does, once", func() {
			answer("p1", open, 0)
			So(b.count(agent.Start), ShouldEqual, 1)
			answer("p1", open, 1)
			So(b.count(agent.Start), ShouldEqual, 1)
		})
	})
}
