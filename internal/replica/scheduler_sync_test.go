package replica

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

func TestSchedulerResyncOnConfigurationChange(t *testing.T) {
	Convey("The scheduler gets a queue's whole list anew when the plan has changed, not for each worker that comes", t, func() {
		c := newTestCluster()
		snapshots := func() (count int) {
			for _, body := range c.received["a/scheduler"] {
				if events, ok := body.(TaskEvents); ok && events.IsSnapshot {
					count++
				}
			}
			return count
		}
		So(c.putConfiguration(queuesUpdate(1, "", "l")).Code, ShouldEqual, 200)
		lease := c.claimController()
		queues := &schema.PlaceQueues{FencingToken: lease, Queues: []*schema.QueuePlacement{{Queue: "l", InitialVoters: nodeIDs, PreferredLeader: "a"}}}
		So(c.request("clusterstate", &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_PlaceQueues{PlaceQueues: queues}}).Code, ShouldEqual, 200)
		c.run(eventloop.Second)
		So(c.leader("l"), ShouldEqual, "a")
		before := snapshots()
		So(before, ShouldBeGreaterThan, 0)
		leases := &schema.AssignWorkers{FencingToken: lease, WorkerLeases: []*schema.WorkerLease{{Worker: "w", Scheduler: "a"}}}
		So(c.request("clusterstate", &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_AssignWorkers{AssignWorkers: leases}}).Code, ShouldEqual, 200)
		c.run(eventloop.Second)
		So(snapshots(), ShouldEqual, before)
		So(c.putConfiguration(queuesUpdate(2, "", "l")).Code, ShouldEqual, 200)
		c.run(eventloop.Second)
		So(snapshots(), ShouldEqual, before+1)
	})
}

func TestGroupStatusRecipients(t *testing.T) {
	Convey("Of the sides only the controller is told how the groups stand", t, func() {
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
			So(update.Leaders[clusterstate.Group], ShouldEqual, leader)
			So(len(update.QueueStatuses) > 0, ShouldEqual, getsStatus)
		}
	})
}
