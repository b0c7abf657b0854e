package replica

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// routeUpdate returns an update to a configuration with one route, which has a name and leads any
// path to a queue.
func routeUpdate(version uint64, name string) *schema.ConfigurationUpdate {
	return &schema.ConfigurationUpdate{
		Version: version, BaseVersion: version - 1, Document: []byte(name), NamesAreLabels: proto.Bool(true),
		Rows: []*schema.ConfigurationRow{{Kind: "queue", Name: name, Key: "prefix", Value: "/"}},
	}
}

// TestUpdatesWaitForTheirBase guards against a leader that assigns queues to the routes of an
// update before it has applied the updates that precede it in the log.
func TestUpdatesWaitForTheirBase(t *testing.T) {
	Convey("Given a route that has another name than its queue", t, func() {
		c := newTestCluster()
		So(c.putConfiguration(routeUpdate(1, "first")).Code, ShouldEqual, 200)
		leader := c.leader("")
		send := func(id uint64, update *schema.ConfigurationUpdate) {
			c.step(leader, "h", &schema.Request{Id: id, Kind: "clusterstate", Group: clusterstate.GroupName, Body: EncodeClusterStateCommand(updateCommand(update))})
		}
		c.received["h"] = nil
		Convey("updates that arrive before their base is applied are accepted and keep the queue", func() {
			for version := uint64(2); version <= 9; version++ {
				send(version, routeUpdate(version, fmt.Sprint("name", version)))
				send(version, routeUpdate(version, fmt.Sprint("name", version))) // a retry while the update waits
			}
			c.run(200 * eventloop.Millisecond)
			So(c.received["h"], ShouldNotBeEmpty)
			for _, body := range c.received["h"] {
				if reply, isReply := body.(*schema.Response); isReply {
					So(reply.Code, ShouldEqual, 200)
				}
			}
			for _, id := range nodeIDs {
				So(c.hosts[id].sharedState.Configuration.Version, ShouldEqual, 9)
				So(c.hosts[id].values.Queues(), ShouldResemble, []string{"first"})
			}
		})
		Convey("an update that waits at a leader which is deposed isn't answered by it", func() {
			c.isPartitioned = func(from, to string) bool { return from != "" && (from == leader || to == leader) }
			send(2, routeUpdate(2, "cut"))
			send(3, routeUpdate(3, "off"))
			c.run(3 * eventloop.Second)
			So(c.hosts[leader].groups[clusterstate.GroupName].waitingUpdates, ShouldBeEmpty)
			c.isPartitioned = nil
			c.run(2 * eventloop.Second)
			So(c.received["h"], ShouldBeEmpty)
			So(c.putConfiguration(routeUpdate(2, "second")).Code, ShouldEqual, 200)
			So(c.hosts[leader].values.Queues(), ShouldResemble, []string{"first"})
		})
		Convey("a leader that hasn't applied the log of its predecessors assigns nothing", func() {
			r := c.hosts[leader].groups[clusterstate.GroupName]
			So(r.hasAppliedUpdates(), ShouldBeTrue)
			r.updateIndex, r.appliedIndex = 0, r.group.NoOpIndex()-1
			So(r.hasAppliedUpdates(), ShouldBeFalse)
		})
	})
}
