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
		place := &schema.PlaceQueues{Lease: c.lease(), Queues: []*schema.QueuePlace{{Queue: "l", Founders: stores, Leader: "a"}}}
		So(c.ask("clusterstate", &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_Queues{Queues: place}}).Code, ShouldEqual, 200)
		c.run(2 * eventloop.Second)
		leader := c.leader("l")
		So(leader, ShouldNotBeEmpty)
		confirmed := func(number uint64) (codes []int32) {
			job := &schema.Job{Steps: []*schema.Step{{Name: "s", Tasks: 1, CoresMilli: 1}}}
			c.heard["f"] = nil
			c.step(leader, "f", &schema.Submit{Queue: "l", Enqueues: []*schema.Enqueue{{
				Session: &schema.Session{Gateway: "f", Boot: 1, Client: "c"}, Number: number, Lowest: number, Name: "j" + string(rune('0'+number)), Job: job,
			}}})
			c.run(200 * eventloop.Milli)
			for _, each := range c.heard["f"] {
				if applied, isIt := each.(*schema.Applied); isIt {
					for _, outcome := range applied.Outcomes {
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
