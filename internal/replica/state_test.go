package replica

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestStateIsToldWithAMajoritysWord(t *testing.T) {
	Convey("A leader that nobody answers tells no front what queues there are", t, func() {
		c := newCore()
		So(c.put(queuesSheet(1, "", "l")).Code, ShouldEqual, 200)
		So(c.ask("state", nil).Code, ShouldEqual, 200)
		lead := c.leader("")
		for _, id := range stores {
			c.isDown[id] = id != lead
		}
		// It still leads, and its copy counts as fresh.
		So(c.tables[lead].isClusterStateFresh(c.now), ShouldBeTrue)
		c.heard["h"] = nil
		c.step(lead, "h", &schema.Request{Id: 1, Kind: "state", Group: clusterstate.Group})
		c.run(3 * eventloop.Second)
		So(c.heard["h"], ShouldBeEmpty)
	})
}
