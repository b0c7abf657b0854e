package replica

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
	"sparnotch/internal/timing"
)

func TestStaleClusterStateIsNotServed(t *testing.T) {
	Convey("Whose copy of the cluster state may be behind tells nobody of it, and gives its scheduler no leave to act", t, func() {
		c := newTestCluster()
		// The last word of a store to its scheduler, and what it answers who asks.
		statusOf := func(id string) (isFresh, isServed bool) {
			c.received["h"] = nil
			c.step(id, "h", &schema.ClusterStateRequest{})
			c.run(200 * eventloop.Millisecond)
			for _, body := range c.received[id+"/scheduler"] {
				if status, ok := body.(LeadershipStatus); ok {
					isFresh = status.IsClusterStateFresh
				}
			}
			for _, body := range c.received["h"] {
				if _, ok := body.(*schema.ClusterStateResponse); ok {
					isServed = true
				}
			}
			return isFresh, isServed
		}
		for _, id := range nodeIDs {
			isFresh, isServed := statusOf(id)
			So(isFresh, ShouldBeTrue)
			So(isServed, ShouldBeTrue)
		}
		c.isDown["a"], c.isDown["b"] = true, true
		c.run(timing.FromBounds(nil).MaxStateAge + 2*eventloop.Second)
		isFresh, isServed := statusOf("c")
		So(isFresh, ShouldBeFalse)
		So(isServed, ShouldBeFalse)
	})
}
