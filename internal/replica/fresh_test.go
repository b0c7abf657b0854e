package replica

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
	"sparnotch/internal/timing"
)

func TestFreshClusterState(t *testing.T) {
	Convey("Whose copy of the cluster state may be behind tells nobody of it, and gives its scheduler no leave to act", t, func() {
		c := newCore()
		// The last word of a store to its scheduler, and what it answers who asks.
		look := func(id string) (isFresh, isTold bool) {
			c.heard["h"] = nil
			c.step(id, "h", &schema.ClusterStateRequest{})
			c.run(200 * eventloop.Millisecond)
			for _, each := range c.heard[id+"/scheduler"] {
				if fresh, isIt := each.(Fresh); isIt {
					isFresh = fresh.ClusterState
				}
			}
			for _, each := range c.heard["h"] {
				if _, isIt := each.(*schema.ClusterStateResponse); isIt {
					isTold = true
				}
			}
			return isFresh, isTold
		}
		for _, id := range stores {
			isFresh, isTold := look(id)
			So(isFresh, ShouldBeTrue)
			So(isTold, ShouldBeTrue)
		}
		c.isDown["a"], c.isDown["b"] = true, true
		c.run(timing.FromBounds(nil).MaxStateAge + 2*eventloop.Second)
		isFresh, isTold := look("c")
		So(isFresh, ShouldBeFalse)
		So(isTold, ShouldBeFalse)
	})
}
