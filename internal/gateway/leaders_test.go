package gateway

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

// setQueues delivers a cluster state that has only these queues, without leaders.
func (h *harness) setQueues(version uint64, queues ...string) {
	state := &schema.ClusterState{Version: version, Configuration: &schema.Configuration{Revision: version}}
	for _, queue := range queues {
		state.Configuration.Rows = append(state.Configuration.Rows, &schema.ConfigurationRow{Kind: "queue", Name: queue, Key: "urgency", Value: "1"})
		state.Queues = append(state.Queues, &schema.QueuePlacement{Queue: queue, Generation: version})
	}
	h.step(&schema.ClusterStateResponse{Version: version, State: state, Leaders: map[string]string{"clusterstate": "a"}})
}

func TestLeaderlessQueues(t *testing.T) {
	Convey("Submissions to a leaderless queue are rejected before they have a number", t, func() {
		h := newHarness()
		first := h.submit("c", "one")
		// The leader has stepped down and knows no successor.
		h.step(&schema.SubmitResponse{Queue: "l"})
		second := h.submit("c", "two")
		h.now += leaderlessGracePeriod + eventloop.Millisecond
		third := h.submit("c", "three")
		So(h.responses[third].Code, ShouldEqual, 503)
		So(h.responses[third].RetryAfter, ShouldEqual, 1)
		So(string(h.responses[third].Body), ShouldContainSubstring, "not_ready")
		// Submissions that have a number are never rejected.
		So(h.responses, ShouldNotContainKey, first)
		So(h.responses, ShouldNotContainKey, second)
		So(h.gateway.sessions[queueClient{"l", "c"}].unconfirmed, ShouldHaveLength, 2)
		Convey("they are accepted again once a leader is known", func() {
			h.step(&schema.ClusterStateResponse{Version: 1, Leaders: map[string]string{"l": "b"}})
			fourth := h.submit("c", "four")
			So(h.responses, ShouldNotContainKey, fourth)
			to, submit := h.lastSubmit()
			So(to, ShouldEqual, "b")
			So(submit.Enqueues[0].Number, ShouldEqual, 3)
		})
	})
	Convey("The cluster state is polled faster then, and pending requests go to the new leader", t, func() {
		h := newHarness()
		aliveNode := func(id string) membership.MemberStatus {
			return membership.MemberStatus{Member: &schema.Member{Id: id, HasStorage: true}, LastHeard: h.now}
		}
		h.step(&membership.View{Members: map[string]membership.MemberStatus{"b": aliveNode("b")}})
		h.step(LeaderRequest{RequestID: 1, Kind: KindStatus, Group: "l", Name: "j", Deadline: h.now + 9*eventloop.Second})
		requests, polls := 0, 0
		// passTick lets one tick pass, in which "b" stays alive, and counts the requests and the
		// polls of the cluster state that the gateway sends.
		passTick := func() {
			before := len(h.sent)
			h.now += TickInterval
			h.step(&membership.View{Members: map[string]membership.MemberStatus{"b": aliveNode("b")}})
			h.step(eventloop.Tick{})
			requests, polls = 0, 0
			for _, message := range h.sent[before:] {
				switch message.body.(type) {
				case *schema.Request:
					requests++
					So(message.to, ShouldEqual, "b")
				case *schema.ClusterStateRequest:
					polls++
				}
			}
		}
		passTick()
		// The leader has stepped down and knows no successor.
		h.step(&schema.Response{Id: 1, Group: "l"})
		passTick()
		So(polls, ShouldEqual, 1)
		passTick()
		So([]int{polls, requests}, ShouldResemble, []int{1, 0})
		h.step(&schema.ClusterStateResponse{Version: 1, Leaders: map[string]string{"l": "b"}})
		passTick()
		So([]int{polls, requests}, ShouldResemble, []int{0, 1})
	})
	Convey("A submission that a node denied before it came to lead is sent there again at once", t, func() {
		h := newHarness()
		h.submit("c", "one")
		h.now += 5 * eventloop.Millisecond
		h.gateway.Step(h.now, eventloop.Message{From: "a", Body: &schema.SubmitResponse{Queue: "l"}}, h)
		h.now += 100 * eventloop.Millisecond
		h.step(&schema.ClusterStateResponse{Version: 1, Leaders: map[string]string{"l": "a"}})
		before := len(h.sent)
		for k := 0; k < 3; k++ {
			h.now += TickInterval
			h.step(eventloop.Tick{})
		}
		count := 0
		for _, message := range h.sent[before:] {
			if submit, isSubmit := message.body.(*schema.SubmitRequest); isSubmit {
				So([]string{message.to, submit.Enqueues[0].Name}, ShouldResemble, []string{"a", "one"})
				count++
			}
		}
		So(count, ShouldEqual, 1)
	})
	Convey("A new queue has the grace period to elect a leader, and a removed one is forgotten", t, func() {
		h := newHarness()
		h.setQueues(2, "l", "new")
		job := &schema.Job{Steps: []*schema.Step{{Name: "s", Tasks: 1, CoresMilli: 1}}}
		h.step(SubmitJob{RequestID: 1, Queue: "new", Client: "c", Name: "j", Job: job})
		h.now += leaderlessGracePeriod + eventloop.Millisecond
		h.step(SubmitJob{RequestID: 2, Queue: "new", Client: "c", Name: "j", Job: job})
		So(h.responses, ShouldNotContainKey, uint64(1))
		So(h.responses[2].Code, ShouldEqual, 503)
		h.setQueues(3, "l")
		So(h.gateway.leaderlessSince, ShouldBeEmpty)
	})
}
