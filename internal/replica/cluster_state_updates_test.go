package replica

import (
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
	"sparnotch/internal/timing"
)

func TestStaleClusterStateIsNotServed(t *testing.T) {
	Convey("A node whose copy of the cluster state may be stale sends it to nobody, and its scheduler may not act on it", t, func() {
		c := newTestCluster()
		// statusOf reports whether the last status sent to the node's scheduler called the copy
		// fresh, and whether the node answers a query.
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

func TestGroupStatusRecipients(t *testing.T) {
	Convey("Of the agent nodes only the controller's is sent the status of the groups", t, func() {
		c := newTestCluster()
		So(c.claimController(), ShouldBeGreaterThan, 0)
		members := &membership.View{Members: map[string]membership.MemberStatus{
			"h": {Member: &schema.Member{Id: "h", Role: schema.Role_ROLE_CONTROLLER}},
			"s": {Member: &schema.Member{Id: "s", Role: schema.Role_ROLE_CONTROLLER}},
			"f": {Member: &schema.Member{Id: "f", Role: schema.Role_ROLE_SERVER}},
		}}
		leader := c.leader("")
		c.step(leader, "", members)
		for id, getsStatus := range map[string]bool{"h": true, "s": false, "f": true, "unknown": true} {
			c.received[id] = nil
			c.step(leader, id, &schema.ClusterStateRequest{})
			c.run(20 * eventloop.Millisecond)
			So(c.received[id], ShouldHaveLength, 1)
			update := c.received[id][0].(*schema.ClusterStateResponse)
			So(update.Leaders[clusterstate.GroupName], ShouldEqual, leader)
			So(len(update.QueueStatuses) > 0, ShouldEqual, getsStatus)
		}
	})
}

func TestConfigurationRowsInFlight(t *testing.T) {
	Convey("A process that asks often is sent the rows of a large configuration once, and again when they must have been lost", t, func() {
		c := newTestCluster()
		So(c.putLargeConfiguration(largeUpdate(1)), ShouldEqual, 200)
		c.run(300 * eventloop.Millisecond)
		query := func(duration eventloop.Micros) (withRows, all int) {
			c.received["f"] = nil
			for end := c.now + duration; c.now < end; {
				c.step("a", "f", &schema.ClusterStateRequest{})
				c.run(20 * eventloop.Millisecond)
			}
			for _, body := range c.received["f"] {
				if update, isUpdate := body.(*schema.ClusterStateResponse); isUpdate {
					all++
					if len(update.State.GetConfiguration().GetPackedRows()) > 0 {
						withRows++
					}
				}
			}
			return withRows, all
		}
		withRows, all := query(200 * eventloop.Millisecond)
		So(withRows, ShouldEqual, 1)
		So(all, ShouldEqual, 1)
		withRows, _ = query(2 * eventloop.Second)
		So(withRows, ShouldBeBetween, 1, 8)
	})
}

// TestNewLeaderReportsNoStatus guards against a controller that removes a queue with jobs, because
// a leader that hasn't applied its log yet reports none.
func TestNewLeaderReportsNoStatus(t *testing.T) {
	Convey("A leader reports a group's status only once it has committed an entry of its own term", t, func() {
		c := newClusterWithQueue()
		group := c.queueGroupName("q")
		reports := func(id string) bool {
			return slices.ContainsFunc(c.hosts[id].groupStatuses(), func(status *schema.QueueStatus) bool { return status.Group == group })
		}
		So(reports("a"), ShouldBeTrue)
		c.isDown["a"] = true
		// The new leader's entries are lost, so that it commits nothing.
		c.isLost = func(_ string, body any) bool {
			request, isAppend := body.(*schema.AppendRequest)
			return isAppend && request.Group == group
		}
		leader := ""
		for range 300 {
			c.runWithMembership(50 * eventloop.Millisecond)
			if leader = c.leader("q"); leader != "" {
				break
			}
		}
		So(leader, ShouldNotBeEmpty)
		So(reports(leader), ShouldBeFalse)
		c.isLost = nil
		c.runWithMembership(2 * eventloop.Second)
		So(reports(c.leader("q")), ShouldBeTrue)
	})
}
