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

func TestFailedHandoverIsRepeated(t *testing.T) {
	Convey("A handover that is lost on its way is tried again after a second, not after the cooldown", t, func() {
		c := newClusterWithQueue()
		lost := 0
		c.isLost = func(to string, body any) bool {
			if _, isHandover := body.(*schema.TimeoutNow); isHandover && to == "b" && lost == 0 {
				lost++
				return true
			}
			return false
		}
		c.placeQueue("q", "b")
		c.runWithMembership(800 * eventloop.Millisecond)
		So(lost, ShouldEqual, 1)
		So(c.leader("q"), ShouldEqual, "a")
		c.runWithMembership(1200 * eventloop.Millisecond)
		So(c.leader("q"), ShouldEqual, "b")
	})
	Convey("One that fails again and again is tried less and less often", t, func() {
		c := newClusterWithQueue()
		lost := 0
		c.isLost = func(_ string, body any) bool {
			_, isHandover := body.(*schema.TimeoutNow)
			if isHandover {
				lost++
			}
			return isHandover
		}
		c.placeQueue("q", "b")
		c.runWithMembership(20 * eventloop.Second)
		So(lost, ShouldBeBetweenOrEqual, 4, 7)
		So(c.leader("q"), ShouldEqual, "a")
	})
}

func TestDeposedLeaderIsNotHandedItsGroupAtOnce(t *testing.T) {
	Convey("A leader that comes back just after its successor was elected gets the group back only when the controller had time to name another", t, func() {
		c := newClusterWithQueue()
		c.isDown["a"] = true
		for k := 0; k < 200 && c.leader("q") == ""; k++ {
			c.runWithMembership(20 * eventloop.Millisecond)
		}
		successor := c.leader("q")
		So(successor, ShouldNotEqual, "")
		c.isDown["a"] = false
		for k := 0; k < 28; k++ {
			c.runWithMembership(50 * eventloop.Millisecond)
			So(c.leader("q"), ShouldEqual, successor)
		}
		c.runWithMembership(1500 * eventloop.Millisecond)
		So(c.leader("q"), ShouldEqual, "a")
	})
	Convey("If the controller names the successor, it stays", t, func() {
		c := newClusterWithQueue()
		c.isDown["a"] = true
		for k := 0; k < 200 && (c.leader("q") == "" || c.leader("") == ""); k++ {
			c.runWithMembership(20 * eventloop.Millisecond)
		}
		successor := c.leader("q")
		c.isDown["a"] = false
		c.runWithMembership(500 * eventloop.Millisecond)
		c.placeQueue("q", successor)
		for k := 0; k < 60; k++ {
			c.runWithMembership(50 * eventloop.Millisecond)
			So(c.leader("q"), ShouldEqual, successor)
		}
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
		// With one node of three left, the queue has no majority and so no leader.
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
