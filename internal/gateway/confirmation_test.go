package gateway

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestUnknownQueueConfirmation(t *testing.T) {
	Convey("A queue that the copy lacks is confirmed, and the response decides", t, func() {
		h := newHarness()
		version := uint64(1)
		state := func(queues ...string) *schema.ClusterState {
			version++
			state := &schema.ClusterState{Version: version, Configuration: &schema.Configuration{Revision: version}}
			for _, queue := range queues {
				state.Configuration.Rows = append(state.Configuration.Rows, &schema.ConfigurationRow{Kind: "queue", Name: queue, Key: "urgency", Value: "1"})
				state.Queues = append(state.Queues, &schema.QueuePlacement{Queue: queue, Generation: 2})
			}
			return state
		}
		h.step(LeaderRequest{RequestID: 5, Kind: KindStatus, Group: "new", Name: "j"})
		So(h.sent[len(h.sent)-1].body.(*schema.Request).Kind, ShouldEqual, "state")
		_, isAnswered := h.responses[5]
		So(isAnswered, ShouldBeFalse)
		Convey("there now: it goes on", func() {
			h.confirmState(state("l", "new"))
			_, isAnswered := h.responses[5]
			So(isAnswered, ShouldBeFalse)
			So(h.sent[len(h.sent)-1].body.(*schema.Request).Group, ShouldEqual, "new")
		})
		Convey("not there: 404, but only by the leader's response to this confirmation", func() {
			for _, from := range []string{"b", "a"} {
				h.deliver(from, &schema.ClusterStateResponse{State: state("l"), Version: version, Leaders: map[string]string{"clusterstate": "a"}})
				h.deliver(from, &schema.Response{Id: h.gateway.confirmation.requestID, Group: clusterstate.GroupName, Leader: from})
			}
			So(h.responses, ShouldNotContainKey, uint64(5))
			h.confirmState(state("l"))
			So(h.responses[5].Code, ShouldEqual, 404)
		})
		Convey("no response: not ready, whatever the copy says", func() {
			h.now += confirmationTimeout + eventloop.Millisecond
			h.step(eventloop.Tick{})
			So(h.responses[5].Code, ShouldEqual, 503)
			So(h.responses[5].RetryAfter, ShouldEqual, 1)
		})
		Convey("a request during a confirmation waits for the next one, as the configuration may have changed since", func() {
			h.step(SubmitJob{RequestID: 6, Queue: "new", Client: "c", Name: "j", Job: &schema.Job{}})
			h.confirmState(state("l"))
			So(h.responses[5].Code, ShouldEqual, 404)
			So(h.responses, ShouldNotContainKey, uint64(6))
			h.confirmState(state("l", "new"))
			So(h.responses, ShouldNotContainKey, uint64(6))
			_, submit := h.lastSubmit()
			So(submit.Queue, ShouldEqual, "new")
		})
		Convey("where too many wait already: not ready", func() {
			for id := uint64(100); id < 100+maxAwaitingConfirmation; id++ {
				h.step(LeaderRequest{RequestID: id, Kind: KindStatus, Group: "new", Name: "j"})
			}
			So(h.responses[100+maxAwaitingConfirmation-1].Code, ShouldEqual, 503)
			So(h.responses, ShouldHaveLength, 1)
		})
	})
}

func TestRoutes(t *testing.T) {
	rows := func(rows ...*schema.ConfigurationRow) []*schema.ConfigurationRow {
		return append(rows,
			&schema.ConfigurationRow{Kind: "queue", Name: "l", Key: "host", Value: "one.example"},
			&schema.ConfigurationRow{Kind: "queue", Name: "l", Key: "prefix", Value: "/p/"},
		)
	}
	job := func() *schema.Job {
		return &schema.Job{Text: "t", Steps: []*schema.Step{{Name: "s", Tasks: 1, CoresMilli: 1}, {Name: "u", Tasks: 1, CoresMilli: 1, AllowedFailures: 9}}}
	}
	Convey("Host and path are routed to a queue, and the rest of the path is the name", t, func() {
		h := newHarness(rows()...)
		submitted := job()
		h.step(SubmitJob{RequestID: 1, Host: "ONE.example:80", Path: "/p/j1", Client: "c", Digest: Digest(submitted), Job: submitted})
		_, submit := h.lastSubmit()
		So(submit.Queue, ShouldEqual, "l")
		So(submit.Enqueues[0].Name, ShouldEqual, "j1")
		So(proto.Equal(submit.Enqueues[0].Job, submitted), ShouldBeTrue)
		for kind, path := range map[string]string{"status": "/p/j1", "cancel": "/p/j1", "counts": "/p/"} {
			h.lastRequestID = 100
			h.step(LeaderRequest{RequestID: h.lastRequestID, Kind: kind, Host: "one.example", Path: path})
			sent := h.sent[len(h.sent)-1].body.(*schema.Request)
			So([]string{sent.Kind, sent.Group, "/p/" + sent.Name}, ShouldResemble, []string{kind, "l", path})
		}
		h.step(SubmitJob{RequestID: 2, Host: "one.example", Path: "/p/", Client: "c", Job: submitted})
		So(h.responses[2].Code, ShouldEqual, 422)
	})
	Convey("A route that the copy lacks is confirmed, and matched again", t, func() {
		h := newHarness()
		// confirmRows lets the leader respond with a configuration of these rows to the
		// confirmation in flight, and confirm the same state to any further confirmation.
		confirmRows := func(rows []*schema.ConfigurationRow) {
			h.confirmState(&schema.ClusterState{Version: 2, Configuration: &schema.Configuration{Revision: 2, Rows: rows}, Queues: []*schema.QueuePlacement{{Queue: "l", Generation: 1}}})
			for h.gateway.confirmation.requestID != 0 {
				h.confirmState(nil)
			}
		}
		h.step(SubmitJob{RequestID: 1, Host: "one.example", Path: "/p/j1", Client: "c", Job: job()})
		h.step(LeaderRequest{RequestID: 2, Kind: KindStatus, Host: "one.example", Path: "/p/j1"})
		So(h.responses, ShouldBeEmpty)
		Convey("there now: it goes on", func() {
			confirmRows(rows())
			So(h.responses, ShouldBeEmpty)
			_, submit := h.lastSubmit()
			So(submit.Enqueues[0].Name, ShouldEqual, "j1")
			So(h.sent[len(h.sent)-1].body.(*schema.Request).Name, ShouldEqual, "j1")
		})
		Convey("not there: 404", func() {
			confirmRows([]*schema.ConfigurationRow{{Kind: "queue", Name: "l", Key: "urgency", Value: "1"}})
			So(h.responses[1].Code, ShouldEqual, 404)
			So(h.responses[2].Code, ShouldEqual, 404)
			So(string(h.responses[1].Body), ShouldContainSubstring, "unknown_queue")
		})
		Convey("a removed queue accepts nothing, once its removal is confirmed", func() {
			confirmRows([]*schema.ConfigurationRow{})
			So(h.responses[1].Code, ShouldEqual, 404)
			h.step(SubmitJob{RequestID: 3, Queue: "l", Client: "c", Name: "j", Job: job()})
			So(h.responses, ShouldNotContainKey, uint64(3))
			h.confirmState(nil)
			So(h.responses[3].Code, ShouldEqual, 404)
		})
	})
	Convey("Before the first configuration, and without a valid lease, no queue is called unknown", t, func() {
		h := newDisconnectedHarness()
		h.step(SubmitJob{RequestID: 1, Host: "one.example", Path: "/p/j1", Client: "c", Job: job()})
		h.step(LeaderRequest{RequestID: 2, Kind: KindStatus, Host: "one.example", Path: "/p/j1"})
		So([]int32{h.responses[1].Code, h.responses[2].Code}, ShouldResemble, []int32{503, 503})
		update := &schema.ClusterStateResponse{Version: 1, State: &schema.ClusterState{Version: 1, Configuration: &schema.Configuration{}}, Leaders: map[string]string{"clusterstate": "a"}}
		h.deliver("a", update)
		h.step(SubmitJob{RequestID: 3, Host: "one.example", Path: "/p/j1", Client: "c", Job: job()})
		h.confirmState(nil)
		So(h.responses[3].Code, ShouldEqual, 503)
		So(h.responses[3].RetryAfter, ShouldEqual, 1)
	})
	Convey("The queue's attempts are the default of a step, and the digest stays the client's", t, func() {
		h := newHarness(rows(&schema.ConfigurationRow{Kind: "queue", Name: "l", Key: "attempts", Value: "4"})...)
		submitted := job()
		digest := Digest(submitted)
		h.step(SubmitJob{RequestID: 1, Host: "one.example", Path: "/p/j1", Client: "c", Digest: digest, Job: submitted})
		_, submit := h.lastSubmit()
		enqueue := submit.Enqueues[0]
		So([]uint32{enqueue.Job.Steps[0].AllowedFailures, enqueue.Job.Steps[1].AllowedFailures}, ShouldResemble, []uint32{3, 9})
		So(enqueue.Digest, ShouldResemble, digest)
		So(submitted.Steps[0].AllowedFailures, ShouldEqual, 0)
	})
	Convey("Jobs for a pool's queue aren't checked against the configured workers", t, func() {
		large := job()
		large.Steps[0].CoresMilli = 1_000_000
		h := newHarness(rows()...)
		h.step(SubmitJob{RequestID: 1, Queue: "l", Name: "j", Client: "c", Job: large})
		So(h.responses[1].Code, ShouldEqual, 422)
		h = newHarness(rows(&schema.ConfigurationRow{Kind: "queue", Name: "l", Key: "pool", Value: "p"}, &schema.ConfigurationRow{Kind: "pool", Name: "p", Key: "guards", Value: "1"})...)
		h.step(SubmitJob{RequestID: 1, Queue: "l", Name: "j", Client: "c", Job: large})
		So(h.responses, ShouldBeEmpty)
	})
}
