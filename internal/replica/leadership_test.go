package replica

import (
	"encoding/json"
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

func TestCommandForEnd(t *testing.T) {
	key := &schema.TaskKey{Job: 1, Step: 2, Task: 3}
	end := func(outcome string) *schema.QueueCommand {
		return commandForEnd(&schema.TaskEndReport{Queue: "l", Key: key, Attempt: 4, Outcome: outcome, Checkpoint: "text", WholeGang: true})
	}
	Convey("Done settles, for the whole group where the worker says so", t, func() {
		wanted := &schema.Settle{Key: key, Attempt: 4, WholeGang: true}
		So(proto.Equal(end("done").GetSettle(), wanted), ShouldBeTrue)
	})
	Convey("Every other end gives the task back with its progress, and only failures count", t, func() {
		for outcome, cause := range map[string]schema.ReturnCause{
			"failed": schema.ReturnCause_RETURN_CAUSE_FAILED, "lost": schema.ReturnCause_RETURN_CAUSE_WORKER_LOST, "stopped": schema.ReturnCause_RETURN_CAUSE_PREEMPTED,
			"lapsed": schema.ReturnCause_RETURN_CAUSE_PREEMPTED, "broken": schema.ReturnCause_RETURN_CAUSE_PREEMPTED, "alone": schema.ReturnCause_RETURN_CAUSE_PREEMPTED,
		} {
			wanted := &schema.Return{Key: key, Attempt: 4, Cause: cause, Checkpoint: "text"}
			So(proto.Equal(end(outcome).GetReturn(), wanted), ShouldBeTrue)
		}
	})
}

func TestPreferredLeaderTakesOver(t *testing.T) {
	Convey("A queue goes to a leader that is named while it has only just been taken over", t, func() {
		c := newTestCluster()
		placeQueue := func(leader string) {
			queues := []*schema.QueuePlacement{{Queue: "l", InitialVoters: nodeIDs, PreferredLeader: leader}}
			command := &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_PlaceQueues{PlaceQueues: &schema.PlaceQueues{FencingToken: c.claimController(), Queues: queues}}}
			So(c.request("clusterstate", command).Code, ShouldEqual, 200)
		}
		run := func(duration eventloop.Micros) {
			for end := c.now + duration; c.now < end; {
				members := &membership.View{Members: map[string]membership.MemberStatus{}}
				for _, id := range nodeIDs {
					members.Members[id] = membership.MemberStatus{Member: &schema.Member{Id: id, HasStorage: true}, LastHeard: c.now}
				}
				for _, id := range nodeIDs {
					c.step(id, "", members)
				}
				c.run(100 * eventloop.Millisecond)
			}
		}
		So(c.putConfiguration(queuesUpdate(1, "", "l")).Code, ShouldEqual, 200)
		placeQueue("a")
		run(eventloop.Second)
		So(c.leader("l"), ShouldEqual, "a")
		placeQueue("b")
		run(1500 * eventloop.Millisecond)
		So(c.leader("l"), ShouldEqual, "b")
		placeQueue("c")
		run(1500 * eventloop.Millisecond)
		So(c.leader("l"), ShouldEqual, "c")
	})
}

// claimController makes the controller "h" and gives its lease.
func (c *testCluster) claimController() uint64 {
	reply := c.request("clusterstate", &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_ClaimControllerLease{ClaimControllerLease: &schema.ClaimControllerLease{Holder: "h"}}})
	var claimed struct{ Lease uint64 }
	So(json.Unmarshal(reply.Body, &claimed), ShouldBeNil)
	return claimed.Lease
}

func TestTimedJobsAfterLeaderLoss(t *testing.T) {
	Convey("A queue that had no leader for a while keeps its timed jobs to the time of day", t, func() {
		c := newTestCluster()
		c.wallOffset = 1_800_000_000_000_000
		So(c.putConfiguration(queuesUpdate(1, "", "l")).Code, ShouldEqual, 200)
		queues := &schema.PlaceQueues{FencingToken: c.claimController(), Queues: []*schema.QueuePlacement{{Queue: "l", InitialVoters: nodeIDs, PreferredLeader: "a"}}}
		So(c.request("clusterstate", &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_PlaceQueues{PlaceQueues: queues}}).Code, ShouldEqual, 200)
		c.run(eventloop.Second)
		due := c.now + 8*eventloop.Second
		job := &schema.Job{StartUnixUs: c.wallOffset + int64(due), Rounds: 1, Steps: []*schema.Step{{Name: "s", Tasks: 1}}}
		c.step("a", "f", &schema.SubmitRequest{Queue: "l", Enqueues: []*schema.Enqueue{{
			Session: &schema.Session{Gateway: "f", Incarnation: 1, Client: "c"}, Number: 1, Name: "j", Digest: []byte("d"), Job: job,
		}}})
		c.run(500 * eventloop.Millisecond)
		// Nobody is left who could lead.
		c.isDown["a"], c.isDown["b"] = true, true
		c.run(4 * eventloop.Second)
		c.isDown["b"] = false
		c.run(due - c.now - 200*eventloop.Millisecond)
		queue := c.hosts[c.leader("l")].groups["l#"+c.generationOf("l")].queue
		So(queue.Counts().Waiting, ShouldEqual, 0)
		c.run(400 * eventloop.Millisecond)
		So(queue.Counts().Waiting, ShouldEqual, 1)
	})
}

// revision is that of a queue's place.
func (c *testCluster) generationOf(queue string) string {
	return strconv.FormatUint(clusterstate.FindQueue(c.hosts["c"].state, queue).GetGeneration(), 10)
}
