package replica

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestConfirmAfterApply(t *testing.T) {
	Convey("A submission is confirmed when a quorum holds it, and by nothing less", t, func() {
		c := newCore()
		So(c.put(queuesSheet(1, "one", "l")).Code, ShouldEqual, 200)
		place := &schema.PlaceQueues{FencingToken: c.lease(), Queues: []*schema.QueuePlacement{{Queue: "l", InitialVoters: stores, PreferredLeader: "a"}}}
		So(c.ask("clusterstate", &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_PlaceQueues{PlaceQueues: place}}).Code, ShouldEqual, 200)
		c.run(2 * eventloop.Second)
		leader := c.leader("l")
		So(leader, ShouldNotBeEmpty)
		confirmed := func(number uint64) (codes []int32) {
			job := &schema.Job{Steps: []*schema.Step{{Name: "s", Tasks: 1, CoresMilli: 1}}}
			c.heard["f"] = nil
			c.step(leader, "f", &schema.SubmitRequest{Queue: "l", Enqueues: []*schema.Enqueue{{
				Session: &schema.Session{Gateway: "f", Incarnation: 1, Client: "c"}, Number: number, LowestUnconfirmed: number, Name: "j" + string(rune('0'+number)), Job: job,
			}}})
			c.run(200 * eventloop.Millisecond)
			for _, each := range c.heard["f"] {
				if applied, isIt := each.(*schema.SubmitResponse); isIt {
					for _, outcome := range applied.Results {
						codes = append(codes, outcome.Code)
					}
				}
			}
			return codes
		}
		So(confirmed(1), ShouldResemble, []int32{201})
		for _, id := range stores {
			c.isDown[id] = id != leader
		}
		So(confirmed(2), ShouldBeEmpty)
	})
}
