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

type sent struct {
	to   string
	body any
}

// outlet keeps what a step sends.
type outlet struct{ list []sent }

func (o *outlet) Send(to string, body any)         { o.list = append(o.list, sent{to, body}) }
func (o *outlet) Dial(address string, body any)    {}
func (o *outlet) Notify(table string, body any)    {}
func (o *outlet) Respond(request uint64, body any) {}

func TestHand(t *testing.T) {
	Convey("A hollow side makes its worker known, announces to its ward, and runs what it is told", t, func() {
		var begun []string
		ended, plans := 0, []uint64{}
		now := 2 * eventloop.Second
		h := New(now, "w1", "r1", Room{4000, 4000}, 1, rand.New(rand.NewPCG(1, 1)), Watch{
			Began: func(_ eventloop.Micros, job string, _, _ uint32) { begun = append(begun, job) },
			Ended: func() { ended++ },
			Plan:  func(_ eventloop.Micros, generation uint64) { plans = append(plans, generation) },
		})
		step := func(from string, body any) []sent {
			out := &outlet{}
			h.Step(now, eventloop.Message{From: from, Body: body}, out)
			return out.list
		}
		So(step("", eventloop.Tick{}), ShouldBeEmpty)
		state := &schema.ClusterState{Version: 3, Configuration: &schema.Configuration{Revision: 2}}
		list := step("s1", &schema.ClusterStateResponse{State: state, Leaders: map[string]string{"clusterstate": "s2"}})
		So(list, ShouldHaveLength, 1)
		So(list[0].to, ShouldEqual, "s2")
		So(list[0].body.(*schema.Request).Kind, ShouldEqual, "clusterstate")
		So(plans, ShouldResemble, []uint64{2})

		warded := &schema.ClusterState{Version: 4, Configuration: state.Configuration, WorkerLeases: []*schema.WorkerLease{{Worker: "w1", Scheduler: "s3", FencingToken: 7}}}
		list = step("s1", &schema.ClusterStateResponse{State: warded})
		So(list, ShouldHaveLength, 1)
		So(list[0].to, ShouldEqual, "s3")
		poll := list[0].body.(*schema.WorkerPollRequest)
		So(poll.Worker, ShouldEqual, "w1")
		So(plans, ShouldHaveLength, 1)

		order := &schema.TaskOrder{Action: "start", Queue: "l", Name: "job-1", Job: 1, Attempt: 1, Text: "run_us=10000", CoresMilli: 10, MemoryMb: 1}
		step("s3", &schema.WorkerPollResponse{Id: poll.Id, Orders: &schema.WorkerOrders{FencingToken: 7, LeaseUs: 4_000_000, Orders: []*schema.TaskOrder{order}}})
		So(begun, ShouldResemble, []string{"job-1"})
		now += 50 * eventloop.Millisecond
		step("", eventloop.Tick{})
		So(ended, ShouldEqual, 1)
	})
}

func TestOnlooker(t *testing.T) {
	Convey("Sides that are no controllers spread over the stores", t, func() {
		asked := map[string]int{}
		for k := range 30 {
			roll := &membership.View{Self: &schema.Member{Id: fmt.Sprintf("p%03d", k)}, Members: map[string]membership.MemberStatus{}}
			for _, id := range []string{"a", "b", "c"} {
				roll.Members[id] = membership.MemberStatus{Member: &schema.Member{Id: id, HasStorage: true}, LastHeard: eventloop.Second}
			}
			o, out := &Onlooker{}, &outlet{}
			o.Step(eventloop.Second, eventloop.Message{Body: roll}, out)
			o.Step(eventloop.Second, eventloop.Message{Body: eventloop.Tick{}}, out)
			So(out.list, ShouldHaveLength, 1)
			asked[out.list[0].to]++
		}
		So(asked, ShouldHaveLength, 3)
	})
}
