package gateway

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestStateLease(t *testing.T) {
	update := func(number uint64, age eventloop.Micros) *schema.ClusterStateResponse {
		return &schema.ClusterStateResponse{Version: 1, Sequence: number, AgeUs: int64(age), Leaders: map[string]string{"l": "a"}}
	}
	Convey("The lease runs from the query, not from its response", t, func() {
		h := newHarness()
		number := h.gateway.lease.newQuery(h.now)
		// The response is delivered late, for example because the process was paused or the
		// response was buffered.
		h.now += h.gateway.lease.duration() + eventloop.Millisecond
		h.step(update(number, 0))
		So(h.isReady(), ShouldBeFalse)
		Convey("a new response renews it", func() {
			h.step(update(h.gateway.lease.newQuery(h.now), 0))
			So(h.isReady(), ShouldBeTrue)
			h.now += h.gateway.lease.duration()
			So(h.isReady(), ShouldBeTrue)
			h.now++
			So(h.isReady(), ShouldBeFalse)
		})
	})
	Convey("The age that the response states counts against the lease", t, func() {
		h := newHarness()
		h.now += 10 * eventloop.Second
		h.step(update(h.gateway.lease.newQuery(h.now), 900*eventloop.Millisecond))
		h.now += h.gateway.lease.duration() - 900*eventloop.Millisecond
		So(h.isReady(), ShouldBeTrue)
		h.now++
		So(h.isReady(), ShouldBeFalse)
	})
	Convey("Responses to no query, or to a former incarnation's, don't renew the lease", t, func() {
		h := newHarness()
		h.now += 10 * eventloop.Second
		h.step(update(1<<40, 0))
		h.step(&schema.ClusterStateResponse{Version: 1, State: h.gateway.state})
		So(h.isReady(), ShouldBeFalse)
	})
	Convey("An older state than the copy doesn't renew the lease", t, func() {
		h := newHarness()
		h.now += 10 * eventloop.Second
		h.gateway.state.Version = 2
		h.step(update(h.gateway.lease.newQuery(h.now), 0))
		So(h.isReady(), ShouldBeFalse)
	})
	Convey("The lease's duration follows from the bound for applying a configuration", t, func() {
		h := newHarness()
		h.gateway.WithBounds(&schema.Bounds{ConfigApplyUs: int64(800 * eventloop.Millisecond)})
		So(h.gateway.lease.duration(), ShouldEqual, 600*eventloop.Millisecond)
		So(h.gateway.stateQueryInterval(h.now), ShouldEqual, 100*eventloop.Millisecond)
		So(New("me", 1, false, nil).WithBounds(nil).lease.duration(), ShouldEqual, 1500*eventloop.Millisecond)
	})
	Convey("A gateway without a valid lease polls every storage node in turn, not only live ones", t, func() {
		h := newHarness()
		h.setStorageNodes("a", "b", "c")
		h.gateway.membership.Members["b"].Member.Draining = true
		h.now += 10 * eventloop.Second
		polled := map[string]int{}
		for range 6 {
			h.sent = nil
			h.now += 2 * TickInterval
			h.step(eventloop.Tick{})
			for _, message := range h.sent {
				if _, isQuery := message.body.(*schema.ClusterStateRequest); isQuery {
					polled[message.to]++
				}
			}
		}
		So(polled, ShouldResemble, map[string]int{"a": 4, "b": 4, "c": 4})
	})
}
