package process

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// blockingClient is a WorkerClient whose calls block until its open channel is closed.
type blockingClient struct{ open, entered chan agent.Call }

func (c blockingClient) Call(call agent.Call) agent.Reply {
	c.entered <- call
	<-c.open
	return agent.Reply{Outcome: agent.Succeeded}
}

func TestCaller(t *testing.T) {
	Convey("Inspections don't use up the slots of other calls, and a call without a slot is busy", t, func() {
		client := blockingClient{make(chan agent.Call), make(chan agent.Call, maxConcurrentCalls+maxConcurrentInspections)}
		replies := make(chan agent.Reply, 2*maxConcurrentCalls)
		caller := newWorkerCaller(client, func(reply agent.Reply) { replies <- reply })
		number := uint64(0)
		call := func(action agent.Action) {
			number++
			caller.Step(0, eventloop.Message{Body: agent.Call{Number: number, Action: action}}, nil)
		}
		for k := 0; k < maxConcurrentInspections; k++ {
			call(agent.Inspect)
			<-client.entered
		}
		call(agent.Inspect)
		So(<-replies, ShouldResemble, agent.Reply{Number: number, Outcome: agent.Busy})
		call(agent.Start)
		So((<-client.entered).Number, ShouldEqual, number)
		for k := 1; k < maxConcurrentCalls; k++ {
			call(agent.Stop)
			<-client.entered
		}
		call(agent.Start)
		So((<-replies).Outcome, ShouldEqual, agent.Busy)
		close(client.open)
		seen := map[uint64]bool{}
		for k := 0; k < maxConcurrentCalls+maxConcurrentInspections; k++ {
			reply := <-replies
			So(reply.Outcome, ShouldEqual, agent.Succeeded)
			seen[reply.Number] = true
		}
		So(seen, ShouldHaveLength, maxConcurrentCalls+maxConcurrentInspections)
	})
	Convey("An agent node has an agent only with a worker client", t, func() {
		options := &schema.Settings{Zone: "c", InternalAddress: freePort(t), HttpAddress: "127.0.0.1:1", Seeds: []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}}
		without, err := Start(options, schema.Role_ROLE_CONTROLLER, zap.NewNop())
		So(err, ShouldBeNil)
		So(without.ReportHeartbeat(agent.Heartbeat{Worker: "w", Number: 1}), ShouldBeFalse)
		without.Stop()
		with, err := Start(options, schema.Role_ROLE_CONTROLLER, zap.NewNop(), blockingClient{})
		So(err, ShouldBeNil)
		So(with.ReportHeartbeat(agent.Heartbeat{Worker: "w", Number: 1}), ShouldBeTrue)
		So(with.ReportDeparture(agent.Departed{Worker: "w"}), ShouldBeTrue)
		with.Stop()
	})
	Convey("Responses of schedulers go to the agent of an agent node, and to the gateway of a gateway node", t, func() {
		So(ComponentFor(schema.Role_ROLE_CONTROLLER, &schema.WorkerPollResponse{}), ShouldEqual, "agent")
		So(ComponentFor(schema.Role_ROLE_SERVER, &schema.WorkerPollResponse{}), ShouldEqual, "gateway")
	})
}
