package replica

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestConfirmAfterApply(t *testing.T) {
	Convey("A submission is confirmed when a quorum holds it, and by nothing less", t, func() {
		c := newTestCluster()
		So(c.putConfiguration(queuesUpdate(1, "one", "l")).Code, ShouldEqual, 200)
		place := &schema.PlaceQueues{FencingToken: c.claimController(), Queues: []*schema.QueuePlacement{{Queue: "l", InitialVoters: nodeIDs, PreferredLeader: "a"}}}
		So(c.request("clusterstate", &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_PlaceQueues{PlaceQueues: place}}).Code, ShouldEqual, 200)
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
