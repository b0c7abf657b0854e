package gateway

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestCopiesOfTheClusterState(t *testing.T) {
	queue := []*schema.ConfigurationRow{{Kind: "queue", Name: "l", Key: "urgency", Value: "1"}}
	tell := func(version, generation uint64, isHeld bool) *schema.ClusterStateResponse {
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
		d := newDesk()
		d.step(tell(5, 3, false))
		d.step(tell(4, 2, false))
		So(d.t.state.Version, ShouldEqual, 5)
		So(d.t.state.Configuration.Revision, ShouldEqual, 3)
		d.step(tell(6, 3, true))
		So(d.t.state.Version, ShouldEqual, 6)
		So(d.t.state.Configuration.Rows, ShouldHaveLength, 1)
		So(d.t.stateAsk().HeldRevision, ShouldEqual, 3)
	})
	Convey("A copy whose plan isn't held here is no copy, and no word by which to serve", t, func() {
		d := newDesk()
		heard := d.t.lease.confirmedAt
		d.now += 2 * eventloop.Second
		d.step(tell(9, 8, true))
		So(d.t.state.Version, ShouldEqual, 1)
		So(d.t.state.Configuration.Rows, ShouldNotBeEmpty)
		So(d.t.lease.confirmedAt, ShouldEqual, heard)
	})
}

func TestLargeRequestsAreSentAgainLater(t *testing.T) {
	Convey("A request that may still be on its way over the slowest link isn't sent again", t, func() {
		d := newDesk()
		d.t.leaders["clusterstate"] = "a"
		d.step(Ask{Request: 1, Kind: "clusterstate", Group: "clusterstate", Body: make([]byte, 250_000), Deadline: d.now + 4*eventloop.Second})
		began := d.now
		// Whoever doesn't answer is held for gone when it is sent again.
		for d.t.requests[1].sent == began && d.now < began+3*eventloop.Second {
			d.now += Pace
			d.step(eventloop.Tick{})
		}
		So(d.now-began, ShouldBeBetween, eventloop.LinkTime(250_000), eventloop.LinkTime(250_000)+2*retrySpan)
	})
}
