package controller

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestDeposedLeader(t *testing.T) {
	Convey("Once other nodes lead what an unresponsive one led, its queues and worker leases are moved, before it is suspected here", t, func() {
		f := newControllerFixture()
		f.putQueues("l")
		f.state.Queues = []*schema.QueuePlacement{{Queue: "l", Generation: 3, PreferredLeader: "c"}}
		f.state.WorkerLeases = []*schema.WorkerLease{{Worker: "w", Scheduler: "c"}}
		report := func(from string, leaders map[string]string) {
			var statuses []*schema.QueueStatus
			if from == "a" {
				statuses = append(statuses, &schema.QueueStatus{Group: clusterstate.GroupName, Leader: "a", Voters: []string{"a", "b", "c"}})
			}
			f.controller.Step(f.now, eventloop.Message{From: from, Body: &schema.ClusterStateResponse{
				State: proto.Clone(f.state).(*schema.ClusterState), Version: f.state.Version, Leaders: leaders, QueueStatuses: statuses,
			}}, f)
		}
		before := map[string]string{clusterstate.GroupName: "a", "l": "c"}
		for _, id := range []string{"a", "b", "c"} {
			report(id, before)
		}
		f.tick()
		So(f.commands, ShouldBeEmpty)
		Convey("as soon as that is reported", func() {
			lastReport := f.now
			for len(f.commands) == 0 && f.now-lastReport < 2*eventloop.Second {
				f.tick()
				after := before
				if f.now-lastReport > 500*eventloop.Millisecond {
					after = map[string]string{clusterstate.GroupName: "a", "l": "b"}
				}
				report("a", after)
				report("b", after)
			}
			So(f.now-lastReport, ShouldBeBetweenOrEqual, deposedTimeout, deposedTimeout+150*eventloop.Millisecond)
			So(f.commands[0].GetPlaceQueues().GetQueues()[0].PreferredLeader, ShouldEqual, "b")
			So(f.commands[1].GetAssignWorkers().GetWorkerLeases()[0].Scheduler, ShouldEqual, "b")
		})
		Convey("and also if it is back at once", func() {
			after := map[string]string{clusterstate.GroupName: "a", "l": "b"}
			for k := 0; k < 20 && len(f.commands) == 0; k++ {
				f.tick()
				report("a", after)
				report("b", after)
				report("c", map[string]string{clusterstate.GroupName: "a"})
			}
			So(f.commands[0].GetPlaceQueues().GetQueues()[0].PreferredLeader, ShouldEqual, "b")
			So(f.commands[1].GetAssignWorkers().GetWorkerLeases()[0].Scheduler, ShouldEqual, "b")
		})
		Convey("but what was moved just now isn't moved back while the leaders follow", func() {
			f.controller.leadersMovedAt = f.now
			for movedAt := f.now; f.now-movedAt < leadersSettlePeriod-200*eventloop.Millisecond; {
				f.tick()
				report("a", map[string]string{clusterstate.GroupName: "a", "l": "b"})
				report("b", map[string]string{clusterstate.GroupName: "a", "l": "b"})
				report("c", map[string]string{clusterstate.GroupName: "a"})
			}
			So(f.commands, ShouldBeEmpty)
		})
		Convey("but not while nobody else leads", func() {
			for k := 0; k < 20; k++ {
				f.tick()
				report("a", before)
				report("b", before)
			}
			So(f.commands, ShouldBeEmpty)
		})
	})
}
