package pollrelay

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

// sentMessage is a message that a component has sent.
type sentMessage struct {
	to   string
	body any
}

// recorder records the messages that a component sends.
type recorder struct{ sent []sentMessage }

func (r *recorder) Send(to string, body any)  { r.sent = append(r.sent, sentMessage{to, body}) }
func (r *recorder) SendToAddress(string, any) {}
func (r *recorder) Notify(string, any)        {}
func (r *recorder) Respond(uint64, any)       {}

// take returns the recorded messages and forgets them.
func (r *recorder) take() []sentMessage {
	sent := r.sent
	r.sent = nil
	return sent
}

const start = 100 * eventloop.Second

// storageNode returns the status of a live storage node that understands batches.
func storageNode(id, zone string) membership.MemberStatus {
	return membership.MemberStatus{Member: &schema.Member{Id: id, Zone: zone, HasStorage: true, RelaysPolls: true}, LastHeard: start}
}

// viewOf returns the view of a process in zone a.
func viewOf(statuses ...membership.MemberStatus) *membership.View {
	view := &membership.View{Self: &schema.Member{Id: "self", Zone: "a"}, Members: map[string]membership.MemberStatus{}}
	for _, status := range statuses {
		view.Members[status.Member.Id] = status
	}
	return view
}

func pollOf(id uint64, scheduler string) *schema.WorkerPollRequest {
	return &schema.WorkerPollRequest{Id: id, Worker: fmt.Sprint("w", id), Scheduler: scheduler, Heartbeat: &schema.WorkerHeartbeat{Seq: id}}
}

func TestRelay(t *testing.T) {
	newRelay := func(statuses ...membership.MemberStatus) (*Relay, *recorder) {
		relay, effects := New(), &recorder{}
		relay.Step(start, eventloop.Message{Body: viewOf(statuses...)}, effects)
		return relay, effects
	}
	Convey("A poll is passed on at once, and those that follow within an interval together at its end", t, func() {
		relay, effects := newRelay(storageNode("s", "b"))
		for id := uint64(1); id <= 4; id++ {
			relay.Step(start+eventloop.Micros(id), eventloop.Message{From: fmt.Sprint("agent", id), Body: pollOf(id, "s")}, effects)
		}
		So(effects.take(), ShouldHaveLength, 1)
		relay.Step(start+TickInterval/2, eventloop.Message{Body: eventloop.Tick{}}, effects)
		So(effects.take(), ShouldBeEmpty)
		relay.Step(start+TickInterval+1, eventloop.Message{Body: eventloop.Tick{}}, effects)
		sent := effects.take()
		So(sent, ShouldHaveLength, 1)
		So(sent[0].to, ShouldEqual, "s")
		batch := sent[0].body.(*schema.RelayedPolls)
		So(batch.Polls, ShouldHaveLength, 3)
		for k, relayed := range batch.Polls {
			poll, err := DecodePoll(relayed)
			So(err, ShouldBeNil)
			So(poll.Worker, ShouldEqual, fmt.Sprint("w", k+2))
			So(relayed.Agent, ShouldEqual, fmt.Sprint("agent", k+2))
		}
	})
	Convey("The responses of a scheduler reach their agents through the relay", t, func() {
		schedulersRelay, effects := newRelay(storageNode("r", "b"))
		schedulersRelay.Step(start, eventloop.Message{Body: Response{Relay: "r", Agent: "agent", Response: &schema.WorkerPollResponse{Id: 7, Code: 200, Scheduler: "s"}}}, effects)
		sent := effects.take()
		So(sent, ShouldHaveLength, 1)
		So(sent[0].to, ShouldEqual, "r")
		relay, effects := newRelay()
		relay.Step(start, eventloop.Message{From: "s", Body: sent[0].body}, effects)
		passedOn := effects.take()
		So(passedOn, ShouldHaveLength, 1)
		So(passedOn[0].to, ShouldEqual, "agent")
		So(passedOn[0].body.(*schema.WorkerPollResponse).Id, ShouldEqual, 7)
		So(passedOn[0].body.(*schema.WorkerPollResponse).Scheduler, ShouldEqual, "s")
	})
	Convey("A poll for a scheduler that is unknown, not heard of or of an older version is refused", t, func() {
		silent, older := storageNode("silent", "b"), storageNode("older", "b")
		silent.LastHeard -= livenessTimeout
		older.Member.RelaysPolls = false
		relay, effects := newRelay(silent, older)
		for id, scheduler := range []string{"silent", "older", "unknown"} {
			relay.Step(start, eventloop.Message{From: "agent", Body: pollOf(uint64(id), scheduler)}, effects)
			sent := effects.take()
			So(sent, ShouldHaveLength, 1)
			So(sent[0].to, ShouldEqual, "agent")
			So(sent[0].body.(*schema.WorkerPollResponse).Id, ShouldEqual, id)
			So(sent[0].body.(*schema.WorkerPollResponse).Scheduler, ShouldBeEmpty)
			So(sent[0].body.(*schema.WorkerPollResponse).Orders, ShouldBeNil)
		}
	})
	Convey("A full batch is sent before its interval ends", t, func() {
		relay, effects := newRelay(storageNode("s", "b"))
		for id := range uint64(1 + maxBatchedMessages) {
			relay.Step(start, eventloop.Message{From: "agent", Body: pollOf(id, "s")}, effects)
		}
		So(effects.take(), ShouldHaveLength, 2)
	})
	Convey("A message that can't be decoded affects no other one of its batch", t, func() {
		relay, effects := newRelay()
		batch := &schema.RelayedResponses{Responses: []*schema.RelayedMessage{{Agent: "x", Data: []byte{0xff}}, nil, {Agent: "agent"}}}
		relay.Step(start, eventloop.Message{From: "s", Body: batch}, effects)
		for _, sent := range effects.take() {
			So(sent.to, ShouldNotEqual, "x")
		}
		_, err := DecodePoll(batch.Responses[0])
		So(err, ShouldNotBeNil)
	})
	Convey("A node that gets no batches any more is forgotten", t, func() {
		relay, effects := newRelay(storageNode("s", "b"))
		relay.Step(start, eventloop.Message{From: "agent", Body: pollOf(1, "s")}, effects)
		relay.Step(start+batchRetention+1, eventloop.Message{Body: eventloop.Tick{}}, effects)
		So(relay.batches, ShouldBeEmpty)
	})
}

func TestSelector(t *testing.T) {
	stateOf := func(workers int, rows ...*schema.ConfigurationRow) *schema.ClusterState {
		return &schema.ClusterState{WorkerLeases: make([]*schema.WorkerLease, workers), Configuration: &schema.Configuration{Revision: 1, Rows: rows}}
	}
	newSelector := func(view *membership.View, state *schema.ClusterState) *Selector {
		selector := &Selector{}
		selector.SetMembers(view)
		selector.SetClusterState(state)
		return selector
	}
	nodes := viewOf(storageNode("s", "a"), storageNode("near", "a"), storageNode("far", "b"))
	Convey("An agent of a large fleet polls through a storage node of its zone that isn't the scheduler", t, func() {
		So(newSelector(nodes, stateOf(64)).Choose(start, "w", "s"), ShouldEqual, "near")
		So(newSelector(nodes, stateOf(64)).Choose(start, "w", "near"), ShouldEqual, "s")
	})
	Convey("A change of the members doesn't make the agent return to a relay that has failed", t, func() {
		selector := newSelector(nodes, stateOf(64))
		selector.Choose(start, "w", "s")
		selector.RecordFailure(start)
		selector.SetMembers(nodes)
		So(selector.Choose(start, "w", "s"), ShouldEqual, "far")
	})
	Convey("In a zone without another storage node, agents spread over those of other zones", t, func() {
		selector := newSelector(viewOf(storageNode("s", "a"), storageNode("x", "b"), storageNode("y", "c")), stateOf(64))
		chosen := map[string]int{}
		for k := range 100 {
			chosen[selector.Choose(start, fmt.Sprint("w", k), "s")]++
		}
		So(chosen, ShouldHaveLength, 2)
		So(chosen["x"], ShouldBeBetween, 20, 80)
		So(chosen["y"], ShouldBeBetween, 20, 80)
	})
	Convey("In a fleet of fewer workers than the setting says, agents poll the scheduler itself", t, func() {
		So(newSelector(nodes, stateOf(63)).Choose(start, "w", "s"), ShouldBeEmpty)
		row := &schema.ConfigurationRow{Kind: "fleet", Key: "relayed_workers", Value: "2"}
		So(newSelector(nodes, stateOf(2, row)).Choose(start, "w", "s"), ShouldEqual, "near")
	})
	Convey("Nodes that drain, aren't heard of or don't understand batches aren't chosen", t, func() {
		draining, silent, older := storageNode("draining", "a"), storageNode("silent", "a"), storageNode("older", "a")
		draining.Member.Draining, older.Member.RelaysPolls = true, false
		silent.LastHeard -= livenessTimeout
		So(newSelector(viewOf(storageNode("s", "a"), draining, silent, older), stateOf(64)).Choose(start, "w", "s"), ShouldBeEmpty)
		So(newSelector(viewOf(storageNode("s", "a"), older), stateOf(64)).Choose(start, "w", "older"), ShouldBeEmpty)
	})
	Convey("After failures the agent tries the other relays, those of its zone first, then the scheduler itself, and then again", t, func() {
		selector := newSelector(nodes, stateOf(64))
		for _, expected := range []string{"near", "far", "", "near", "far", ""} {
			So(selector.Choose(start, "w", "s"), ShouldEqual, expected)
			selector.RecordFailure(start)
		}
	})
	Convey("Some time after the last failure, and with another scheduler, the agent returns to its first relay", t, func() {
		selector := newSelector(nodes, stateOf(64))
		So(selector.Choose(start, "w", "s"), ShouldEqual, "near")
		selector.RecordFailure(start)
		So(selector.Choose(start+failureMemory, "w", "s"), ShouldEqual, "far")
		So(selector.Choose(start+failureMemory+1, "w", "s"), ShouldEqual, "near")
		selector.RecordFailure(start)
		So(selector.Choose(start, "w", "s"), ShouldEqual, "far")
		So(selector.Choose(start, "w", "near"), ShouldEqual, "s")
	})
	Convey("An agent that doesn't know members or the cluster state polls the scheduler itself", t, func() {
		So((&Selector{}).Choose(start, "w", "s"), ShouldBeEmpty)
		So(newSelector(nil, stateOf(64)).Choose(start, "w", "s"), ShouldBeEmpty)
	})
}
