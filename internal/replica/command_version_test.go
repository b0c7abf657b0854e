package replica

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

// cancel sends a node a request to cancel a job of queue "q" and returns the reply's code, or 0
// if none arrives within 20 ms.
func (c *testCluster) cancel(id, name string) int32 {
	c.received["g"] = nil
	c.step(id, "g", &schema.Request{Id: 7, Kind: requestCancel, Group: "q", Name: name})
	c.run(20 * eventloop.Millisecond)
	for _, body := range c.received["g"] {
		if reply, isReply := body.(*schema.Response); isReply {
			return reply.Code
		}
	}
	return 0
}

// lastSubmitCode returns the code of the latest submission result that the gateway "f" received.
func (c *testCluster) lastSubmitCode() (code int32) {
	for _, body := range c.received["f"] {
		if applied, isApplied := body.(*schema.SubmitResponse); isApplied {
			for _, result := range applied.Results {
				code = result.Code
			}
		}
	}
	return code
}

// commandVersions returns the command version that each node's replica of queue "q" follows.
func (c *testCluster) commandVersions() (versions []uint32) {
	for _, id := range nodeIDs {
		versions = append(versions, c.hosts[id].queueReplica("q").queue.Settings().CommandVersion)
	}
	return versions
}

// TestCancelRulesWaitForAllMembers guards against replicas whose states differ because one of
// them runs a program that doesn't know that a cancel bars its name.
func TestCancelRulesWaitForAllMembers(t *testing.T) {
	Convey("Given a queue one of whose members runs a former program version", t, func() {
		c := newClusterWithQueue()
		c.versions["a"], c.versions["b"] = queue.CommandVersion, queue.CommandVersion
		c.runWithMembership(eventloop.Second)
		So(c.commandVersions(), ShouldResemble, []uint32{0, 0, 0})
		So(c.cancel("a", "j"), ShouldEqual, 404)
		c.submitJob("a", "j", 1)
		c.runWithMembership(100 * eventloop.Millisecond)
		So(c.lastSubmitCode(), ShouldEqual, 201)
		Convey("a cancel bars its name once that member is upgraded", func() {
			c.versions["c"] = queue.CommandVersion
			c.runWithMembership(eventloop.Second)
			So(c.commandVersions(), ShouldResemble, []uint32{1, 1, 1})
			So(c.cancel("a", "k"), ShouldEqual, 404)
			c.submitJob("a", "k", 2)
			c.runWithMembership(100 * eventloop.Millisecond)
			So(c.lastSubmitCode(), ShouldEqual, 409)
			Convey("and the version stays, without further commands, while a member isn't known", func() {
				c.versions["c"] = 0
				last := c.queueGroup("a", "q").LastIndex()
				c.runWithMembership(eventloop.Second)
				So(c.commandVersions(), ShouldResemble, []uint32{1, 1, 1})
				So(c.queueGroup("a", "q").LastIndex(), ShouldEqual, last)
			})
		})
	})
}
