package gateway

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

func TestForeignOutcomes(t *testing.T) {
	Convey("A submission isn't confirmed by outcomes of another gateway, incarnation or session", t, func() {
		h := newHarness()
		requestID := h.submit("c", "one")
		for _, code := range []int32{201, 410} {
			for _, change := range []func(*schema.Session){
				func(session *schema.Session) { session.Gateway = "former" },
				func(session *schema.Session) { session.Incarnation-- },
				func(session *schema.Session) { session.Incarnation += 1 << 32 },
				func(session *schema.Session) { session.Client += "0" },
			} {
				h.deliverOutcome(code, change)
				So(h.responses, ShouldBeEmpty)
			}
		}
		h.deliverOutcome(201, func(*schema.Session) {})
		So(h.responses[requestID].Code, ShouldEqual, 201)
	})
}

func TestLateReplies(t *testing.T) {
	requestConfiguration := func(h *harness, number uint64) {
		h.step(LeaderRequest{RequestID: number, Kind: KindConfiguration, Group: clusterstate.GroupName, Deadline: h.now + eventloop.Second})
	}
	reply := func(h *harness, number uint64, body string) {
		h.step(&schema.Response{Id: number, Code: 200, Body: []byte(body), Group: clusterstate.GroupName, Leader: "a"})
	}
	Convey("Given two requests", t, func() {
		h := newHarness()
		requestConfiguration(h, 1)
		requestConfiguration(h, 2)
		Convey("each gets its own response, and the first of duplicates", func() {
			reply(h, 2, "two")
			reply(h, 2, "two again")
			reply(h, 1, "one")
			So(string(h.responses[2].Body), ShouldEqual, "two")
			So(string(h.responses[1].Body), ShouldEqual, "one")
		})
		Convey("the response to a forgotten request is dropped", func() {
			h.step(ForgetRequest{RequestID: 1})
			reply(h, 1, "one")
			So(h.responses, ShouldBeEmpty)
			reply(h, 2, "two")
			So(string(h.responses[2].Body), ShouldEqual, "two")
		})
		Convey("so is a response that comes after the deadline", func() {
			h.now += 2 * eventloop.Second
			h.step(eventloop.Tick{})
			So(h.responses[1].Code, ShouldBeIn, int32(503), int32(504))
			delete(h.responses, 1)
			reply(h, 1, "one")
			_, isAnswered := h.responses[1]
			So(isAnswered, ShouldBeFalse)
		})
	})
}

func TestResendsKeepTheirNumber(t *testing.T) {
	Convey("What an unresponsive leader is sent again keeps its number, and ends with the response", t, func() {
		h := newHarness()
		document := []byte("a configuration")
		h.step(LeaderRequest{RequestID: 900, Kind: KindProposeClusterState, Group: clusterstate.GroupName, Body: document, Deadline: h.now + eventloop.Second})
		submitted := h.submit("c", "one")
		// takeSent counts the sent requests by request ID, and the sent submissions by number,
		// since its last call.
		takeSent := func() (requests, submissions map[uint64]int) {
			requests, submissions = map[uint64]int{}, map[uint64]int{}
			for _, message := range h.sent {
				switch body := message.body.(type) {
				case *schema.Request:
					So(string(body.Body), ShouldEqual, string(document))
					requests[body.Id]++
				case *schema.SubmitRequest:
					for _, enqueue := range body.Enqueues {
						So([]any{enqueue.Name, enqueue.Session.Gateway, enqueue.Session.Incarnation}, ShouldResemble, []any{"one", "me", uint64(1)})
						submissions[enqueue.Number]++
					}
				}
			}
			h.sent = nil
			return requests, submissions
		}
		// passTicks lets enough time pass for several resends.
		passTicks := func() {
			for range 18 {
				h.now += TickInterval
				h.step(eventloop.Tick{})
			}
		}
		h.step(&membership.View{Members: map[string]membership.MemberStatus{"a": {Member: &schema.Member{Id: "a", HasStorage: true}, LastHeard: h.now}}})
		passTicks()
		requests, submissions := takeSent()
		So(requests, ShouldHaveLength, 1)
		So(requests[900], ShouldBeGreaterThan, 1)
		So(submissions, ShouldHaveLength, 1)
		So(submissions[1], ShouldBeGreaterThan, 1)
		h.step(&schema.Response{Id: 900, Code: 200, Group: clusterstate.GroupName, Leader: "a"})
		So(h.responses[900].Code, ShouldEqual, 200)
		h.step(&schema.SubmitResponse{Queue: "l", Leader: "a", Results: []*schema.SubmitResult{{
			Session: &schema.Session{Gateway: "me", Incarnation: 1, Client: "c~1"}, Number: 1, Code: 201, View: &schema.JobView{Name: "one"}}}})
		So(h.responses[submitted].Code, ShouldEqual, 201)
		passTicks()
		requests, submissions = takeSent()
		So(requests, ShouldBeEmpty)
		So(submissions, ShouldBeEmpty)
	})
}
