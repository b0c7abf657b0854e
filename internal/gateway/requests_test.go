package gateway

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestRequestsBeforeFirstState(t *testing.T) {
	Convey("Before its first lease a gateway forwards requests to the cluster state, and reports an unknown outcome after a moment", t, func() {
		h := newDisconnectedHarness()
		h.step(LeaderRequest{RequestID: 1, Kind: KindConfiguration, Group: clusterstate.GroupName, Deadline: h.now + 60*eventloop.Second})
		h.step(LeaderRequest{RequestID: 2, Kind: KindProposeClusterState, Group: clusterstate.GroupName, Deadline: h.now + 60*eventloop.Second})
		h.step(LeaderRequest{RequestID: 3, Kind: KindStatus, Group: "l", Deadline: h.now + 60*eventloop.Second})
		h.step(ForwardHeartbeat{RequestID: 4, Worker: "w", Deadline: h.now + 60*eventloop.Second})
		So(h.responses, ShouldHaveLength, 2)
		So([]int32{h.responses[3].Code, h.responses[4].Code}, ShouldResemble, []int32{503, 503})
		for range 20 {
			h.now += TickInterval
			h.step(eventloop.Tick{})
		}
		So([]int32{h.responses[1].Code, h.responses[2].Code}, ShouldResemble, []int32{504, 504})
		So(min(h.responses[1].RetryAfter, h.responses[2].RetryAfter, h.responses[3].RetryAfter, h.responses[4].RetryAfter), ShouldEqual, 1)
	})
}

func TestLargeRequestRetryDelay(t *testing.T) {
	Convey("A request isn't retried while it may be in transit on the slowest link", t, func() {
		h := newHarness()
		h.gateway.leaders["clusterstate"] = "a"
		h.step(LeaderRequest{RequestID: 1, Kind: KindProposeClusterState, Group: "clusterstate", Body: make([]byte, 250_000), Deadline: h.now + 4*eventloop.Second})
		began := h.now
		// A retry clears the leader, which may have failed. As no storage node is known here,
		// nothing is sent then, and the retry shows only in sentAt.
		for h.gateway.requests[1].sentAt == began && h.now < began+3*eventloop.Second {
			h.now += TickInterval
			h.step(eventloop.Tick{})
		}
		So(h.now-began, ShouldBeBetween, eventloop.SlowestLinkTransferTime(250_000), eventloop.SlowestLinkTransferTime(250_000)+2*requestRetryDelay)
	})
}

func TestTooManyPendingHeartbeats(t *testing.T) {
	Convey("A worker is told whether its lease is missing or the gateway has no room", t, func() {
		h := newHarness()
		h.step(&schema.ClusterStateResponse{Version: 2, State: &schema.ClusterState{Version: 2, Configuration: &schema.Configuration{Revision: 1}, WorkerLeases: []*schema.WorkerLease{{Worker: "w", Scheduler: "a", FencingToken: 1}}}})
		code := func(id uint64, worker string) string {
			h.step(ForwardHeartbeat{RequestID: id, Worker: worker, Heartbeat: &schema.WorkerHeartbeat{}, Deadline: h.now + eventloop.Second})
			if _, isAnswered := h.responses[id]; !isAnswered {
				return ""
			}
			So(h.responses[id].Code, ShouldEqual, 503)
			fault := &schema.Error{}
			So(json.Unmarshal(h.responses[id].Body, fault), ShouldBeNil)
			return fault.Code
		}
		So(code(1, "other"), ShouldEqual, codeNoLease)
		for id := uint64(10); id < 10+maxPending; id++ {
			So(code(id, "w"), ShouldBeEmpty)
		}
		So(code(9999, "w"), ShouldEqual, codeGatewayFull)
		So(code(10000, "other"), ShouldEqual, codeNoLease)
	})
}

// Guards against a client's call to a queue's path that names the cluster state's group
// instead of a queue, and is forwarded to that group.
func TestClusterStateIsNoQueue(t *testing.T) {
	Convey("A client's call for the group of the cluster state is one for an unknown queue", t, func() {
		h := newHarness()
		for number, kind := range []string{KindStatus, KindCancel, KindCounts, KindList} {
			id := uint64(10 + number)
			h.step(LeaderRequest{RequestID: id, Kind: kind, Group: clusterstate.GroupName, Name: "j", Deadline: h.now + eventloop.Second})
			for _, message := range h.sent {
				So(message.body.(*schema.Request).Kind, ShouldEqual, KindReadClusterState)
			}
			h.confirmState(nil)
			So(h.responses[id].Code, ShouldEqual, 404)
		}
	})
}

// TestCallsOfAnsweredClientsTakeNoEffect guards against a gateway that starts to handle a call
// after its client was answered, as after standing still.
func TestCallsOfAnsweredClientsTakeNoEffect(t *testing.T) {
	job := &schema.Job{Steps: []*schema.Step{{Name: "s", Tasks: 1, CoresMilli: 1}}}
	Convey("A call whose deadline has passed is rejected, and nothing is sent", t, func() {
		h := newHarness()
		count := len(h.sent)
		h.step(SubmitJob{RequestID: 1, Queue: "l", Client: "c", Name: "j", Job: job, Deadline: h.now - 1})
		h.step(LeaderRequest{RequestID: 2, Kind: KindCancel, Group: "l", Name: "j", Deadline: h.now - 1})
		So(h.responses[1].Code, ShouldEqual, 503)
		So(h.responses[2].Code, ShouldEqual, 503)
		So(len(h.sent), ShouldEqual, count)
		h.step(SubmitJob{RequestID: 3, Queue: "l", Client: "c", Name: "j", Job: job, Deadline: h.now})
		So(len(h.sent), ShouldEqual, count+1)
	})
	Convey("A call that waits for the newest configuration is dropped when its client is gone", t, func() {
		h := newHarness()
		h.step(SubmitJob{RequestID: 1, Queue: "new", Client: "c", Name: "i", Job: job}) // waits for the confirmation that is sent now
		h.step(SubmitJob{RequestID: 2, Queue: "new", Client: "c", Name: "j", Job: job}) // waits for the next one
		h.step(SubmitJob{RequestID: 3, Queue: "new", Client: "c", Name: "k", Job: job})
		h.step(ForgetRequest{RequestID: 1})
		h.step(ForgetRequest{RequestID: 2})
		state := &schema.ClusterState{
			Version: 2, Queues: []*schema.QueuePlacement{{Queue: "new", Generation: 2}},
			Configuration: &schema.Configuration{Revision: 2, Rows: []*schema.ConfigurationRow{{Kind: "queue", Name: "new", Key: "urgency", Value: "1"}}},
		}
		for h.gateway.confirmation.requestID != 0 {
			h.confirmState(state)
		}
		_, submit := h.lastSubmit()
		So(submit.Enqueues[0].Name, ShouldEqual, "k")
		So(h.gateway.unconfirmedCount, ShouldEqual, 1)
		So(h.responses, ShouldBeEmpty)
	})
}
