package controller

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestQueueReconciliation(t *testing.T) {
	Convey("Newly configured queues are placed on receipt of the update, all in one command", t, func() {
		f := newControllerFixture()
		var queues []string
		for k := 0; k < 8; k++ {
			queues = append(queues, fmt.Sprintf("l%d", k))
		}
		f.putQueues(queues...)
		f.sendUpdate()
		So(f.placed(), ShouldResemble, [][]string{queues})
		first := f.commands[0].GetPlaceQueues()
		So(first.FencingToken, ShouldEqual, 7)
		So(first.Queues[7].InitialVoters, ShouldResemble, []string{"a", "b", "c"})
		So(first.Queues[7].PreferredLeader, ShouldEqual, "a")
		Convey("The same placement isn't repeated before its effect can be visible", func() {
			f.tick()
			f.sendUpdate()
			f.tick()
			So(f.placed(), ShouldHaveLength, 1)
			for k := 0; k < 4; k++ {
				f.tick()
			}
			So(f.placed(), ShouldHaveLength, 2)
		})
		Convey("but the queues of a later configuration don't wait for that", func() {
			f.putQueues(append(queues, "m")...)
			f.sendUpdate()
			So(f.placed(), ShouldResemble, [][]string{queues, append(queues, "m")})
		})
	})
	Convey("A queue that isn't configured any more is removed when it has no live or retained jobs", t, func() {
		f := newControllerFixture()
		f.putQueues()
		f.state.Queues = []*schema.QueuePlacement{{Queue: "l", Generation: 3, PreferredLeader: "a"}}
		status := &schema.QueueStatus{Group: "l#3", Queue: "l", Leader: "a", Voters: []string{"a", "b", "c"}, LiveJobs: 1}
		f.sendUpdate(status)
		So(f.placed(), ShouldBeEmpty)
		status.LiveJobs, status.RetainedJobs = 0, 1
		f.sendUpdate(status)
		f.tick()
		So(f.placed(), ShouldBeEmpty)
		status.RetainedJobs = 0
		f.sendUpdate(status)
		f.tick()
		So(f.placed(), ShouldBeEmpty)
		for range 400 {
			f.tick()
			f.sendUpdate(status)
			if len(f.placed()) > 0 {
				break
			}
		}
		So(f.placed(), ShouldResemble, [][]string{{"l#3"}})
	})
	Convey("Without the lease nothing is placed", t, func() {
		f := newControllerFixture()
		f.now += 3 * eventloop.Second
		f.putQueues("l")
		f.sendUpdate()
		So(f.placed(), ShouldBeEmpty)
	})
}

// TestQueueIsRemovedOnlyOnceNoGatewayTakesItsJobs guards against the loss of an accepted job. A job
// was accepted and its queue was removed from the configuration 20 ms later. The job was lost
// because the controller removed the queue's group based on a status from before the job.
func TestQueueIsRemovedOnlyOnceNoGatewayTakesItsJobs(t *testing.T) {
	Convey("A queue without jobs is removed on a status from when no gateway takes jobs for it any more", t, func() {
		f := newControllerFixture()
		f.putQueues("l")
		f.state.Queues = []*schema.QueuePlacement{{Queue: "l", Generation: 3, PreferredLeader: "a"}}
		status := &schema.QueueStatus{Group: "l#3", Queue: "l", Leader: "a", Voters: []string{"a", "b", "c"}}
		f.sendUpdate(status)
		f.putQueues()
		f.sendUpdate(status)
		f.tick()
		So(f.placed(), ShouldBeEmpty)
		// In the meantime a gateway that didn't know of the removal has accepted a job.
		status.LiveJobs = 1
		f.sendUpdate(status)
		for range 400 {
			f.tick()
			f.sendUpdate(status)
		}
		So(f.placed(), ShouldBeEmpty)
		status.LiveJobs = 0
		f.sendUpdate(status)
		f.tick()
		So(f.placed(), ShouldResemble, [][]string{{"l#3"}})
	})
	Convey("A queue that is configured again before that stays, and the time starts anew with its next removal", t, func() {
		f := newControllerFixture()
		f.state.Queues = []*schema.QueuePlacement{{Queue: "l", Generation: 3, PreferredLeader: "a"}}
		status := &schema.QueueStatus{Group: "l#3", Queue: "l", Leader: "a", Voters: []string{"a", "b", "c"}}
		f.putQueues()
		f.sendUpdate(status)
		f.tick()
		f.putQueues("l")
		f.sendUpdate(status)
		for range 400 {
			f.tick()
			f.sendUpdate(status)
		}
		f.putQueues()
		f.sendUpdate(status)
		f.tick()
		So(f.placed(), ShouldBeEmpty)
	})
	Convey("So it does where a revision that may have had the queue was followed by another before it was seen", t, func() {
		f := newControllerFixture()
		f.state.Queues = []*schema.QueuePlacement{{Queue: "l", Generation: 3, PreferredLeader: "a"}}
		status := &schema.QueueStatus{Group: "l#3", Queue: "l", Leader: "a", Voters: []string{"a", "b", "c"}, LiveJobs: 1}
		f.putQueues()
		for range 400 {
			f.sendUpdate(status)
			f.tick()
		}
		f.putQueues("l")
		f.putQueues()
		status.LiveJobs = 0
		f.sendUpdate(status)
		f.tick()
		So(f.placed(), ShouldBeEmpty)
	})
}
