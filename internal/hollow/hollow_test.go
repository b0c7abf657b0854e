package hollow

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

type sentMessage struct {
	to   string
	body any
}

// recordedEffects records the messages that a step sends.
type recordedEffects struct{ sent []sentMessage }

func (r *recordedEffects) Send(to string, body any)               { r.sent = append(r.sent, sentMessage{to, body}) }
func (r *recordedEffects) SendToAddress(address string, body any) {}
func (r *recordedEffects) Notify(component string, body any)      {}
func (r *recordedEffects) Respond(request uint64, body any)       {}

func TestAgent(t *testing.T) {
	Convey("An agent registers its worker, polls its lease's scheduler, and starts what is ordered", t, func() {
		var started []string
		ended, revisions := 0, []uint64{}
		now := 2 * eventloop.Second
		agent := New(now, "w1", "r1", Resources{4000, 4000}, 1, rand.New(rand.NewPCG(1, 1)), Hooks{
			OnStart:  func(_ eventloop.Micros, job string, _, _ uint32) { started = append(started, job) },
			OnEnd:    func() { ended++ },
			OnConfig: func(_ eventloop.Micros, revision uint64) { revisions = append(revisions, revision) },
		})
		step := func(from string, body any) []sentMessage {
			effects := &recordedEffects{}
			agent.Step(now, eventloop.Message{From: from, Body: body}, effects)
			return effects.sent
		}
		So(step("", eventloop.Tick{}), ShouldBeEmpty)
		state := &schema.ClusterState{Version: 3, Configuration: &schema.Configuration{Revision: 2}}
		list := step("s1", &schema.ClusterStateResponse{State: state, Leaders: map[string]string{"clusterstate": "s2"}})
		So(list, ShouldHaveLength, 1)
		So(list[0].to, ShouldEqual, "s2")
		So(list[0].body.(*schema.Request).Kind, ShouldEqual, "clusterstate")
		So(revisions, ShouldResemble, []uint64{2})

		leased := &schema.ClusterState{Version: 4, Configuration: state.Configuration, WorkerLeases: []*schema.WorkerLease{{Worker: "w1", Scheduler: "s3", FencingToken: 7}}}
		list = step("s1", &schema.ClusterStateResponse{State: leased})
		So(list, ShouldHaveLength, 1)
		So(list[0].to, ShouldEqual, "s3")
		poll := list[0].body.(*schema.WorkerPollRequest)
		So(poll.Worker, ShouldEqual, "w1")
		So(revisions, ShouldHaveLength, 1)

		order := &schema.TaskOrder{Action: "start", Queue: "l", Name: "job-1", Job: 1, Attempt: 1, Text: "run_us=10000", CoresMilli: 10, MemoryMb: 1}
		step("s3", &schema.WorkerPollResponse{Id: poll.Id, Orders: &schema.WorkerOrders{FencingToken: 7, LeaseUs: 4_000_000, Orders: []*schema.TaskOrder{order}}})
		So(started, ShouldResemble, []string{"job-1"})
		now += 50 * eventloop.Millisecond
		step("", eventloop.Tick{})
		So(ended, ShouldEqual, 1)
	})
}

func TestStatePoller(t *testing.T) {
	Convey("Nodes that are no controllers spread over the storage nodes", t, func() {
		asked := map[string]int{}
		for k := range 30 {
			members := &membership.View{Self: &schema.Member{Id: fmt.Sprintf("p%03d", k)}, Members: map[string]membership.MemberStatus{}}
			for _, id := range []string{"a", "b", "c"} {
				members.Members[id] = membership.MemberStatus{Member: &schema.Member{Id: id, HasStorage: true}, LastHeard: eventloop.Second}
			}
			poller, effects := &StatePoller{}, &recordedEffects{}
			poller.Step(eventloop.Second, eventloop.Message{Body: members}, effects)
			poller.Step(eventloop.Second, eventloop.Message{Body: eventloop.Tick{}}, effects)
			So(effects.sent, ShouldHaveLength, 1)
			asked[effects.sent[0].to]++
		}
		So(asked, ShouldHaveLength, 3)
	})
}
