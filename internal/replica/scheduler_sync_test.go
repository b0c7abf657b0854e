package replica

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestSchedulerResyncOnConfigurationChange(t *testing.T) {
	Convey("The scheduler gets a new snapshot of a queue when the configuration has changed, not for each worker that joins", t, func() {
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
