package replica

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestPreferredLeaderTakesOver(t *testing.T) {
	Convey("A queue goes to its new preferred leader even just after a handover", t, func() {
		c := newTestCluster()
		So(c.putConfiguration(queuesUpdate(1, "", "l")).Code, ShouldEqual, 200)
		c.placeQueue("l", "a")
		c.runWithMembership(eventloop.Second)
		So(c.leader("l"), ShouldEqual, "a")
		c.placeQueue("l", "b")
		c.runWithMembership(1500 * eventloop.Millisecond)
		So(c.leader("l"), ShouldEqual, "b")
		c.placeQueue("l", "c")
		c.runWithMembership(1500 * eventloop.Millisecond)
		So(c.leader("l"), ShouldEqual, "c")
	})
}

func TestTimedJobsAfterLeaderLoss(t *testing.T) {
	Convey("Timed jobs keep to the time of day although their queue had no leader for a while", t, func() {
		c := newTestCluster()
		c.wallOffset = 1_800_000_000_000_000
		So(c.putConfiguration(queuesUpdate(1, "", "l")).Code, ShouldEqual, 200)
		c.placeQueue("l", "a")
		c.run(eventloop.Second)
		due := c.now + 8*eventloop.Second
		job := &schema.Job{StartUnixUs: c.wallOffset + int64(due), Rounds: 1, Steps: []*schema.Step{{Name: "s", Tasks: 1}}}
		c.step("a", "f", &schema.SubmitRequest{Queue: "l", Enqueues: []*schema.Enqueue{{
			Session: &schema.Session{Gateway: "f", Incarnation: 1, Client: "c"}, Number: 1, Name: "j", Digest: []byte("d"), Job: job,
		}}})
		c.run(500 * eventloop.Millisecond)
		// One node of three is no majority.
		c.isDown["a"], c.isDown["b"] = true, true
		c.run(4 * eventloop.Second)
		c.isDown["b"] = false
		c.run(due - c.now - 200*eventloop.Millisecond)
		queue := c.hosts[c.leader("l")].groups[c.queueGroupName("l")].queue
		So(queue.Counts().Waiting, ShouldEqual, 0)
		c.run(400 * eventloop.Millisecond)
		So(queue.Counts().Waiting, ShouldEqual, 1)
	})
}
