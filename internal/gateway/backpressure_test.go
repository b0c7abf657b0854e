package gateway

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

func TestRejection(t *testing.T) {
	code := func(h *harness, requestID uint64) (int32, string) {
		fault := &schema.Error{}
		So(json.Unmarshal(h.responses[requestID].Body, fault), ShouldBeNil)
		return h.responses[requestID].Code, fault.Code
	}
	Convey("Overload is rejected with a time to retry, before a number is assigned", t, func() {
		h := newHarness(&schema.ConfigurationRow{Kind: "fleet", Key: "window", Value: "2"})
		h.submit("c", "one")
		h.submit("c", "two")
		count := len(h.sent)
		third := h.submit("c", "three")
		status, name := code(h, third)
		So(status, ShouldEqual, 429)
		So(name, ShouldEqual, "window_full")
		So(h.responses[third].RetryAfter, ShouldBeGreaterThan, 0)
		So(len(h.sent), ShouldEqual, count)
		Convey("another client isn't affected", func() {
			requestID := h.submit("d", "four")
			_, isAnswered := h.responses[requestID]
			So(isAnswered, ShouldBeFalse)
		})
		Convey("the window opens again after a confirmation", func() {
			h.deliverApplied("a", 1)
			So(len(h.responses), ShouldEqual, 2)
			h.submit("c", "three")
			_, submit := h.lastSubmit()
			So(submit.Enqueues[0].Number, ShouldEqual, 3)
		})
	})
	Convey("A queue that its leader reports as full accepts nothing", t, func() {
		h := newHarness(&schema.ConfigurationRow{Kind: "fleet", Key: "live_jobs", Value: "5"})
		h.step(&schema.ClusterStateResponse{Version: 1, Leaders: map[string]string{}, QueueStatuses: []*schema.QueueStatus{{Queue: "l", LiveJobs: 5}}})
		status, name := code(h, h.submit("c", "one"))
		So(status, ShouldEqual, 429)
		So(name, ShouldEqual, "queue_full")
	})
	Convey("A gateway without a valid lease isn't ready, and calls no queue unknown", t, func() {
		h := newHarness()
		h.step(CheckReadiness{RequestID: 900})
		So(h.responses[900].Code, ShouldEqual, 200)
		h.now += defaultApplyBound + eventloop.Second
		h.step(CheckReadiness{RequestID: 901})
		So(h.responses[901].Code, ShouldEqual, 503)
		h.step(SubmitJob{RequestID: 902, Queue: "new", Client: "c", Name: "x", Job: &schema.Job{}})
		So(h.responses[902].Code, ShouldEqual, 503)
		Convey("neither is a draining one", func() {
			h := newHarness()
			h.step(StartDraining{})
			h.step(CheckReadiness{RequestID: 903})
			So(h.responses[903].Code, ShouldEqual, 503)
		})
	})
}

// submitTimes submits a job count times as the same client.
func (h *harness) submitTimes(count int, name string) {
	for range count {
		h.submit("c", name)
	}
}

// rejectedRetryAfters submits a job count times, checks that each submission is rejected,
// and returns the seconds after which each rejection tells the client to retry.
func (h *harness) rejectedRetryAfters(count int, name string) []int {
	var seconds []int
	for range count {
		response := h.responses[h.submit("c", name)]
		So(response.Code, ShouldEqual, 429)
		seconds = append(seconds, response.RetryAfter)
	}
	return seconds
}

// polledNodes returns the nodes to which queries of the cluster state were sent.
func (h *harness) polledNodes() map[string]bool {
	nodes := map[string]bool{}
	for _, message := range h.sent {
		if _, isQuery := message.body.(*schema.ClusterStateRequest); isQuery {
			nodes[message.to] = true
		}
	}
	return nodes
}

func TestRetryAfter(t *testing.T) {
	window := &schema.ConfigurationRow{Kind: "fleet", Key: "window", Value: "8"}
	Convey("Each rejected client is given a retry time of its own, at the queue's throughput", t, func() {
		h := newHarness(window)
		// Four submissions are confirmed per second.
		for k := 0; k < 12; k++ {
			h.submit("c", "n")
			_, submit := h.lastSubmit()
			h.deliverApplied("a", submit.Enqueues[0].Number)
			h.now += 250 * eventloop.Millisecond
			h.step(eventloop.Tick{})
			h.step(&schema.ClusterStateResponse{Version: 1, Leaders: map[string]string{"l": "a"}})
		}
		h.submitTimes(8, "held")
		retryAfters := h.rejectedRetryAfters(12, "more")
		So(retryAfters[0], ShouldEqual, 1)
		So(retryAfters[11], ShouldBeBetweenOrEqual, 3, 4)
		// Scheduled retry times that have passed no longer delay the next one.
		h.now += 4 * eventloop.Second
		h.step(&schema.ClusterStateResponse{Version: 1, Leaders: map[string]string{"l": "a"}})
		So(h.responses[h.submit("c", "more")].RetryAfter, ShouldEqual, 1)
	})
	Convey("Without throughput the retry time grows up to a bound", t, func() {
		h := newHarness(window)
		h.submitTimes(8, "held")
		So(h.responses[h.submit("c", "more")].RetryAfter, ShouldEqual, 5)
		h.submitTimes(20, "more")
		So(h.responses[h.submit("c", "more")].RetryAfter, ShouldEqual, maxRetryAfterSeconds)
	})
	Convey("For a full queue the retry time follows from the rate of ended jobs", t, func() {
		h := newHarness(&schema.ConfigurationRow{Kind: "fleet", Key: "live_jobs", Value: "100"})
		for k := uint64(0); k < 8; k++ {
			h.step(&schema.ClusterStateResponse{Version: 1, Leaders: map[string]string{"l": "a"}, QueueStatuses: []*schema.QueueStatus{{Queue: "l", LiveJobs: 100, EndedJobs: 2 * k}}})
			h.now += eventloop.Second
		}
		So(h.rejectedRetryAfters(10, "n")[9], ShouldBeBetweenOrEqual, 5, 6)
	})
	Convey("A gateway with an ended lease rejects requests, and keeps pending ones for a while", t, func() {
		h := newHarness()
		h.step(eventloop.Tick{})
		id := h.submit("c", "one")
		h.now += h.gateway.lease.duration() + eventloop.Millisecond
		h.step(eventloop.Tick{})
		h.step(CheckReadiness{RequestID: 900})
		So(h.responses[900].Code, ShouldEqual, 503)
		So(h.responses[h.submit("c", "two")].Code, ShouldEqual, 503)
		h.step(LeaderRequest{RequestID: 901, Kind: KindStatus, Group: "l", Name: "one", Deadline: h.now + 60*eventloop.Second})
		So(h.responses[901].Code, ShouldEqual, 503)
		_, isAnswered := h.responses[id]
		So(isAnswered, ShouldBeFalse)
		for id, kind := range map[uint64]string{902: KindConfiguration, 904: KindProposeClusterState} {
			h.step(LeaderRequest{RequestID: id, Kind: kind, Group: clusterstate.GroupName, Deadline: h.now + 60*eventloop.Second})
			So(h.responses[id].Code, ShouldEqual, 503)
			So(h.responses[id].RetryAfter, ShouldBeGreaterThan, 0)
		}
		Convey("with a renewed lease it is ready again", func() {
			h.step(&schema.ClusterStateResponse{Version: h.gateway.state.Version, Leaders: map[string]string{"l": "a"}})
			h.step(CheckReadiness{RequestID: 903})
			So(h.responses[903].Code, ShouldEqual, 200)
		})
	})
	Convey("A gateway whose local replica isn't fresh polls other storage nodes", t, func() {
		h := newHarness()
		h.gateway.hasLocalReplica = true
		members := map[string]membership.MemberStatus{}
		for _, id := range []string{"me", "a", "b"} {
			members[id] = membership.MemberStatus{Member: &schema.Member{Id: id, HasStorage: true}, LastHeard: h.now}
		}
		h.step(&membership.View{Members: members})
		h.step(&schema.ClusterStateResponse{Version: h.gateway.state.Version, Leaders: map[string]string{"l": "a"}})
		h.sent = nil
		h.now += maxStateQueryInterval
		h.step(eventloop.Tick{})
		So(h.polledNodes(), ShouldResemble, map[string]bool{"me": true})
		h.sent = nil
		for k := 0; k < 20; k++ {
			h.now += TickInterval
			h.step(eventloop.Tick{})
		}
		So(h.polledNodes()["a"] || h.polledNodes()["b"], ShouldBeTrue)
	})
	Convey("A gateway with an expired lease answers pending and new requests at once, with a time to retry", t, func() {
		h := newHarness()
		h.step(eventloop.Tick{})
		id := h.submit("c", "one")
		h.step(LeaderRequest{RequestID: 900, Kind: KindStatus, Group: "l", Name: "one", Deadline: h.now + 60*eventloop.Second})
		h.step(LeaderRequest{RequestID: 901, Kind: KindCancel, Group: "l", Name: "one", Deadline: h.now + 60*eventloop.Second})
		h.now += defaultApplyBound + eventloop.Millisecond
		h.step(eventloop.Tick{})
		// The submission is already numbered, so its outcome is reported as unknown and it
		// continues to be resent.
		So(h.responses[id].Code, ShouldEqual, 504)
		So(h.responses[900].Code, ShouldEqual, 503)
		So(h.responses[901].Code, ShouldEqual, 504)
		So(h.gateway.sessions[queueClient{"l", "c"}].unconfirmed, ShouldHaveLength, 1)
		late := h.responses[h.submit("c", "two")]
		So(late.Code, ShouldEqual, 503)
		h.now += 12 * eventloop.Second
		So(h.responses[h.submit("c", "two")].RetryAfter, ShouldBeGreaterThan, late.RetryAfter)
	})
}
