package replica

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestNewQueuesElectLeaders(t *testing.T) {
	Convey("A new queue has its preferred leader within 150 ms, whichever node that is", t, func() {
		c := newTestCluster()
		So(c.leader(""), ShouldNotEqual, "")
		So(c.putConfiguration(queuesUpdate(1, "", "l", "m", "n")).Code, ShouldEqual, 200)
		var placements []*schema.QueuePlacement
		for k, queue := range []string{"l", "m", "n"} {
			placements = append(placements, &schema.QueuePlacement{Queue: queue, InitialVoters: nodeIDs, PreferredLeader: nodeIDs[k]})
		}
		began := c.now
		c.placeQueues(placements...)
		for k, queue := range []string{"l", "m", "n"} {
			for c.leader(queue) == "" && c.now < began+eventloop.Second {
				c.run(eventloop.Millisecond)
			}
			So(c.leader(queue), ShouldEqual, nodeIDs[k])
		}
		So(c.now-began, ShouldBeLessThan, 150*eventloop.Millisecond)
		Convey("and every initial voter votes, even one that its leader reached first", func() {
			c.run(300 * eventloop.Millisecond)
			for _, id := range nodeIDs {
				So(c.hosts[id].groups, ShouldHaveLength, 4)
				for _, r := range c.hosts[id].groups {
					So(r.group.MemberSet().Voters, ShouldResemble, nodeIDs)
				}
			}
		})
	})
	Convey("An initial voter that the queue's leader reached before the cluster state did becomes a voter", t, func() {
		c := newTestCluster()
		placement := &schema.QueuePlacement{Queue: "l", Generation: 1, InitialVoters: nodeIDs, PreferredLeader: "a"}
		c.step("b", "a", &schema.AppendRequest{Group: "l#1", Term: 1, Entries: []*schema.Entry{{Index: 1, Term: 1, Kind: schema.EntryKind_ENTRY_NO_OP}}})
		host := c.hosts["b"]
		So(host.groups["l#1"].group.MemberSet().Voters, ShouldBeEmpty)
		host.sharedState.Queues = []*schema.QueuePlacement{placement}
		c.step("b", "", eventloop.Tick{})
		So(host.groups["l#1"].group.MemberSet().Voters, ShouldResemble, nodeIDs)
		So(host.groups["l#1"].group.LastIndex(), ShouldEqual, 1)
	})
}
