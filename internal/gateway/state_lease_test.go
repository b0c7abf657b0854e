package gateway

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func (h *harness) isReady() bool {
	h.lastRequestID++
	h.step(CheckReadiness{RequestID: h.lastRequestID})
	return h.responses[h.lastRequestID].Code == 200
}

func TestStateLease(t *testing.T) {
	update := func(number uint64, age eventloop.Micros) *schema.ClusterStateResponse {
		return &schema.ClusterStateResponse{Version: 1, Sequence: number, AgeUs: int64(age), Leaders: map[string]string{"l": "a"}}
	}
	Convey("The lease runs from the question, not from when its answer is read", t, func() {
		h := newHarness()
		number := h.gateway.lease.newQuery(h.now)
		// As for a process that was frozen, or an answer that lay in a buffer.
		h.now += h.gateway.lease.duration() + eventloop.Millisecond
		h.step(update(number, 0))
		So(h.isReady(), ShouldBeFalse)
		Convey("and a new answer starts it anew", func() {
			h.step(update(h.gateway.lease.newQuery(h.now), 0))
			So(h.isReady(), ShouldBeTrue)
			h.now += h.gateway.lease.duration()
			So(h.isReady(), ShouldBeTrue)
			h.now++
			So(h.isReady(), ShouldBeFalse)
		})
	})
	Convey("What the answer was worth when it was sent counts against it", t, func() {
		h := newHarness()
		h.now += 10 * eventloop.Second
		h.step(update(h.gateway.lease.newQuery(h.now), 900*eventloop.Millisecond))
		h.now += h.gateway.lease.duration() - 900*eventloop.Millisecond
		So(h.isReady(), ShouldBeTrue)
		h.now++
		So(h.isReady(), ShouldBeFalse)
	})
	Convey("What nobody asked for, or a former life did, is no word", t, func() {
		h := newHarness()
		h.now += 10 * eventloop.Second
		h.step(update(1<<40, 0))
		h.step(&schema.ClusterStateResponse{Version: 1, State: h.gateway.state})
		So(h.isReady(), ShouldBeFalse)
	})
	Convey("An older state than ours is no word", t, func() {
		h := newHarness()
		h.now += 10 * eventloop.Second
		h.gateway.state.Version = 2
		h.step(update(h.gateway.lease.newQuery(h.now), 0))
		So(h.isReady(), ShouldBeFalse)
	})
	Convey("The lease follows from when a plan must be in force", t, func() {
		h := newHarness()
		h.gateway.WithBounds(&schema.Bounds{ApplyUs: int64(800 * eventloop.Millisecond)})
		So(h.gateway.lease.duration(), ShouldEqual, 600*eventloop.Millisecond)
		So(h.gateway.stateQueryInterval(h.now), ShouldEqual, 100*eventloop.Millisecond)
		So(New("me", 1, false, nil).WithBounds(nil).lease.duration(), ShouldEqual, 1500*eventloop.Millisecond)
	})
	Convey("A front without word asks every store in turn, not those alone that it heard of lately", t, func() {
		h := newHarness()
		h.setStorageNodes("a", "b", "c")
		h.gateway.membership.Members["b"].Member.Draining = true
		h.now += 10 * eventloop.Second
		asked := map[string]int{}
		for range 6 {
			h.sent = nil
			h.now += 2 * TickInterval
			h.step(eventloop.Tick{})
			for _, each := range h.sent {
				if _, isAsk := each.body.(*schema.ClusterStateRequest); isAsk {
					asked[each.to]++
				}
			}
		}
		So(asked, ShouldResemble, map[string]int{"a": 4, "b": 4, "c": 4})
	})
}

func TestRequestsBeforeFirstState(t *testing.T) {
	Convey("Who never had word carries a call for the cluster state for a moment, and says then that nothing is known", t, func() {
		h := newDisconnectedHarness()
		h.step(LeaderRequest{RequestID: 1, Kind: "plan", Group: clusterstate.Group, Deadline: h.now + 60*eventloop.Second})
		h.step(LeaderRequest{RequestID: 2, Kind: "clusterstate", Group: clusterstate.Group, Deadline: h.now + 60*eventloop.Second})
		h.step(LeaderRequest{RequestID: 3, Kind: "status", Group: "l", Deadline: h.now + 60*eventloop.Second})
		h.step(ForwardAnnouncement{RequestID: 4, Worker: "w", Deadline: h.now + 60*eventloop.Second})
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

func TestPendingWorkOfRemovedQueue(t *testing.T) {
	Convey("What waits for a queue that is there no more is answered at once, and takes no room any longer", t, func() {
		h := newHarness()
		id := h.submit("c", "one")
		h.step(LeaderRequest{RequestID: 100, Kind: "status", Group: "l", Name: "one", Deadline: h.now + 9*eventloop.Second})
		h.step(LeaderRequest{RequestID: 101, Kind: "cancel", Group: "l", Name: "one", Deadline: h.now + 9*eventloop.Second})
		gone := &schema.ClusterState{Version: 2, Configuration: &schema.Configuration{Revision: 2}}
		h.step(&schema.ClusterStateResponse{Version: 2, State: gone, Leaders: map[string]string{clusterstate.Group: "a"}})
		// It may have been taken before.
		So([]int32{h.responses[id].Code, h.responses[101].Code}, ShouldResemble, []int32{504, 504})
		So(h.responses, ShouldNotContainKey, uint64(100))
		h.confirmState(nil)
		So(h.responses[100].Code, ShouldEqual, 404)
		So([]int{h.gateway.unconfirmedCount, h.gateway.unconfirmedByQueue["l"], len(h.gateway.sessions), len(h.gateway.sessionsByID), len(h.gateway.submissionsByRequest)}, ShouldResemble, make([]int, 5))
	})
}
