package gateway

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestClusterStateUpdates(t *testing.T) {
	queue := []*schema.ConfigurationRow{{Kind: "queue", Name: "l", Key: "urgency", Value: "1"}}
	update := func(version, generation uint64, isHeld bool) *schema.ClusterStateResponse {
		plan := &schema.Configuration{Revision: generation}
		if !isHeld {
			plan.Rows = queue
		}
		return &schema.ClusterStateResponse{
			Version: version, Leaders: map[string]string{"l": "a"}, ConfigurationOmitted: isHeld,
			State: &schema.ClusterState{Version: version, Configuration: plan, Queues: []*schema.QueuePlacement{{Queue: "l", Generation: 1}}},
		}
	}
	Convey("A life of a process never goes back to an older copy", t, func() {
		h := newHarness()
		h.step(update(5, 3, false))
		h.step(update(4, 2, false))
		So(h.gateway.state.Version, ShouldEqual, 5)
		So(h.gateway.state.Configuration.Revision, ShouldEqual, 3)
		h.step(update(6, 3, true))
		So(h.gateway.state.Version, ShouldEqual, 6)
		So(h.gateway.state.Configuration.Rows, ShouldHaveLength, 1)
		So(h.gateway.newStateQuery().HeldRevision, ShouldEqual, 3)
	})
	Convey("A copy whose plan isn't held here is no copy, and no word by which to serve", t, func() {
		h := newHarness()
		heard := h.gateway.lease.confirmedAt
		h.now += 2 * eventloop.Second
		h.step(update(9, 8, true))
		So(h.gateway.state.Version, ShouldEqual, 1)
		So(h.gateway.state.Configuration.Rows, ShouldNotBeEmpty)
		So(h.gateway.lease.confirmedAt, ShouldEqual, heard)
	})
}

func TestLargeRequestRetryDelay(t *testing.T) {
	Convey("A request that may still be on its way over the slowest link isn't sent again", t, func() {
		h := newHarness()
		h.gateway.leaders["clusterstate"] = "a"
		h.step(LeaderRequest{RequestID: 1, Kind: "clusterstate", Group: "clusterstate", Body: make([]byte, 250_000), Deadline: h.now + 4*eventloop.Second})
		began := h.now
		// Whoever doesn't answer is held for gone when it is sent again.
		for h.gateway.requests[1].sentAt == began && h.now < began+3*eventloop.Second {
			h.now += TickInterval
			h.step(eventloop.Tick{})
		}
		So(h.now-began, ShouldBeBetween, eventloop.LinkTime(250_000), eventloop.LinkTime(250_000)+2*requestRetryDelay)
	})
}
