package replica

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestCommandForEnd(t *testing.T) {
	key := &schema.TaskKey{Job: 1, Step: 2, Task: 3}
	end := func(outcome string) *schema.QueueCommand {
		return CommandForEnd(&schema.TaskEndReport{Queue: "l", Key: key, Attempt: 4, Outcome: outcome, Checkpoint: "text", WholeGang: true})
	}
	Convey("Done settles the task, or its whole gang if the worker says so", t, func() {
		wanted := &schema.Settle{Key: key, Attempt: 4, WholeGang: true}
		So(proto.Equal(end("done").GetSettle(), wanted), ShouldBeTrue)
	})
	Convey("Every other outcome returns the task with its checkpoint, and only failures count", t, func() {
		for outcome, cause := range map[string]schema.ReturnCause{
			"failed": schema.ReturnCause_RETURN_CAUSE_FAILED, "stopped": schema.ReturnCause_RETURN_CAUSE_PREEMPTED,
			"lost": schema.ReturnCause_RETURN_CAUSE_WORKER_LOST, "lapsed": schema.ReturnCause_RETURN_CAUSE_WORKER_LOST,
			"broken": schema.ReturnCause_RETURN_CAUSE_PREEMPTED, "alone": schema.ReturnCause_RETURN_CAUSE_PREEMPTED,
		} {
			wanted := &schema.Return{Key: key, Attempt: 4, Cause: cause, Checkpoint: "text"}
			So(proto.Equal(end(outcome).GetReturn(), wanted), ShouldBeTrue)
		}
	})
}

func TestConfirmAfterApply(t *testing.T) {
	Convey("A submission is confirmed when a quorum has it, and not before", t, func() {
		c := newTestCluster()
		So(c.putConfiguration(queuesUpdate(1, "one", "l")).Code, ShouldEqual, 200)
		c.placeQueue("l", "a")
		c.run(2 * eventloop.Second)
		leader := c.leader("l")
		So(leader, ShouldNotBeEmpty)
		confirmed := func(number uint64) (codes []int32) {
			job := &schema.Job{Steps: []*schema.Step{{Name: "s", Tasks: 1, CoresMilli: 1}}}
			c.received["f"] = nil
			c.step(leader, "f", &schema.SubmitRequest{Queue: "l", Enqueues: []*schema.Enqueue{{
				Session: &schema.Session{Gateway: "f", Incarnation: 1, Client: "c"}, Number: number, LowestUnconfirmed: number, Name: "j" + string(rune('0'+number)), Job: job,
			}}})
			c.run(200 * eventloop.Millisecond)
			for _, body := range c.received["f"] {
				if applied, ok := body.(*schema.SubmitResponse); ok {
					for _, outcome := range applied.Results {
						codes = append(codes, outcome.Code)
					}
				}
			}
			return codes
		}
		So(confirmed(1), ShouldResemble, []int32{201})
		for _, id := range nodeIDs {
			c.isDown[id] = id != leader
		}
		So(confirmed(2), ShouldBeEmpty)
	})
}
