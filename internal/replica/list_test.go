package replica

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

func TestWholeLists(t *testing.T) {
	Convey("The scheduler gets a queue's whole list anew when the plan has changed, not for each worker that comes", t, func() {
		c := newCore()
		whole := func() (count int) {
			for _, each := range c.heard["a/scheduler"] {
				if shifts, isIt := each.(Shifts); isIt && shifts.IsWhole {
					count++
				}
			}
			return count
		}
		So(c.put(queuesSheet(1, "", "l")).Code, ShouldEqual, 200)
		lease := c.lease()
		queues := &schema.PlaceQueues{FencingToken: lease, Queues: []*schema.QueuePlacement{{Queue: "l", InitialVoters: stores, PreferredLeader: "a"}}}
		So(c.ask("clusterstate", &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_PlaceQueues{PlaceQueues: queues}}).Code, ShouldEqual, 200)
		c.run(eventloop.Second)
		So(c.leader("l"), ShouldEqual, "a")
		before := whole()
		So(before, ShouldBeGreaterThan, 0)
		wards := &schema.AssignWorkers{FencingToken: lease, WorkerLeases: []*schema.WorkerLease{{Worker: "w", Scheduler: "a"}}}
		So(c.ask("clusterstate", &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_AssignWorkers{AssignWorkers: wards}}).Code, ShouldEqual, 200)
		c.run(eventloop.Second)
		So(whole(), ShouldEqual, before)
		So(c.put(queuesSheet(2, "", "l")).Code, ShouldEqual, 200)
		c.run(eventloop.Second)
		So(whole(), ShouldEqual, before+1)
	})
}

func TestNotesOfGroups(t *testing.T) {
	Convey("Of the sides only the controller is told how the groups stand", t, func() {
		c := newCore()
		So(c.lease(), ShouldBeGreaterThan, 0)
		roll := &membership.View{Members: map[string]membership.MemberStatus{
			"h": {Member: &schema.Member{Id: "h", Role: schema.Role_ROLE_CONTROLLER}},
			"s": {Member: &schema.Member{Id: "s", Role: schema.Role_ROLE_CONTROLLER}},
			"f": {Member: &schema.Member{Id: "f", Role: schema.Role_ROLE_SERVER}},
		}}
		lead := c.leader("")
		c.step(lead, "", roll)
		for id, isTold := range map[string]bool{"h": true, "s": false, "f": true, "unknown": true} {
			c.heard[id] = nil
			c.step(lead, id, &schema.ClusterStateRequest{})
			c.run(20 * eventloop.Millisecond)
			So(c.heard[id], ShouldHaveLength, 1)
			tell := c.heard[id][0].(*schema.ClusterStateResponse)
			So(tell.Leaders[clusterstate.Group], ShouldEqual, lead)
			So(len(tell.QueueStatuses) > 0, ShouldEqual, isTold)
		}
	})
}
