package gateway

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestPendingWorkOfRemovedQueue(t *testing.T) {
	Convey("What is pending for a removed queue is answered at once and released", t, func() {
		h := newHarness()
		id := h.submit("c", "one")
		h.step(LeaderRequest{RequestID: 100, Kind: KindStatus, Group: "l", Name: "one", Deadline: h.now + 9*eventloop.Second})
		h.step(LeaderRequest{RequestID: 101, Kind: KindCancel, Group: "l", Name: "one", Deadline: h.now + 9*eventloop.Second})
		removed := &schema.ClusterState{Version: 2, Configuration: &schema.Configuration{Revision: 2}}
		h.step(&schema.ClusterStateResponse{Version: 2, State: removed, Leaders: map[string]string{clusterstate.GroupName: "a"}})
		// The submission and the cancellation may have been applied before the removal.
		So([]int32{h.responses[id].Code, h.responses[101].Code}, ShouldResemble, []int32{504, 504})
		So(h.responses, ShouldNotContainKey, uint64(100))
		h.confirmState(nil)
		So(h.responses[100].Code, ShouldEqual, 404)
		So([]int{h.gateway.unconfirmedCount, h.gateway.unconfirmedByQueue["l"], len(h.gateway.sessions), len(h.gateway.sessionsByID), len(h.gateway.submissionsByRequest)}, ShouldResemble, make([]int, 5))
	})
}

// TestSubmissionsStayWithTheirQueue guards against a submission that is delivered to a queue that
// was created after it, which doesn't know that its job was cancelled.
func TestSubmissionsStayWithTheirQueue(t *testing.T) {
	Convey("A submission to a queue that was removed and created again isn't sent to the new one", t, func() {
		h := newHarness()
		id := h.submit("c", "one")
		again := &schema.ClusterState{Version: 2, Configuration: h.gateway.state.Configuration, Queues: []*schema.QueuePlacement{{Queue: "l", Generation: 2}}}
		h.step(&schema.ClusterStateResponse{Version: 2, State: again, Leaders: map[string]string{"l": "b", clusterstate.GroupName: "a"}})
		So(h.responses[id].Code, ShouldEqual, 504)
		count := len(h.sent)
		h.now += resendInterval
		h.step(eventloop.Tick{})
		for _, message := range h.sent[count:] {
			So(message.body, ShouldNotHaveSameTypeAs, &schema.SubmitRequest{})
		}
		h.submit("c", "two")
		_, submit := h.lastSubmit()
		So([]any{len(submit.Enqueues), submit.Enqueues[0].Name, submit.Enqueues[0].Number}, ShouldResemble, []any{1, "two", uint64(1)})
	})
}
