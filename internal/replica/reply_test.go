package replica

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestRepliesMatchEntryTerm(t *testing.T) {
	Convey("What a leader took while it was cut off isn't answered with what another leader put in its place", t, func() {
		c := newTestCluster()
		So(c.putConfiguration(queuesUpdate(1, "", "l")).Code, ShouldEqual, 200)
		old := c.leader("")
		group := c.hosts[old].groups[clusterstate.Group].group
		c.isPartitioned = func(from, to string) bool { return from != "" && (from == old || to == old) }
		c.run(10 * eventloop.Millisecond)
		next := group.LastIndex() + 1
		for id := uint64(71); id <= 74; id++ {
			update := queuesUpdate(2, "cut off", "cut", "off")
			command := &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: update}}}
			c.step(old, "h", &schema.Request{Id: id, Kind: "clusterstate", Group: clusterstate.Group, Body: EncodeClusterStateCommand(command)})
		}
		So(group.LastIndex(), ShouldBeGreaterThanOrEqualTo, next+3)
		c.run(3 * eventloop.Second)
		c.isDown[old] = true // it stands still meanwhile, so that its successor is asked
		for edition := uint64(2); edition <= 5; edition++ {
			So(c.putConfiguration(queuesUpdate(edition, "", "l")).Code, ShouldEqual, 200)
		}
		c.isPartitioned, c.isDown[old] = nil, false
		c.received["h"] = nil
		c.run(2 * eventloop.Second)
		So(group.AppliedIndex(), ShouldBeGreaterThan, next+3)
		So(c.hosts[old].state.Configuration.Version, ShouldEqual, 5)
		for _, body := range c.received["h"] {
			if reply, isReply := body.(*schema.Response); isReply {
				So(reply.Id, ShouldBeLessThan, 71)
			}
		}
	})
}
