package replica

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestStateReadRequiresQuorum(t *testing.T) {
	Convey("A leader that nobody answers tells no front what queues there are", t, func() {
		c := newTestCluster()
		So(c.putConfiguration(queuesUpdate(1, "", "l")).Code, ShouldEqual, 200)
		So(c.request("state", nil).Code, ShouldEqual, 200)
		leader := c.leader("")
		for _, id := range nodeIDs {
			c.isDown[id] = id != leader
		}
		// It still leads, and its copy counts as fresh.
		So(c.hosts[leader].isClusterStateFresh(c.now), ShouldBeTrue)
		c.received["h"] = nil
		c.step(leader, "h", &schema.Request{Id: 1, Kind: "state", Group: clusterstate.Group})
		c.run(3 * eventloop.Second)
		So(c.received["h"], ShouldBeEmpty)
	})
}
