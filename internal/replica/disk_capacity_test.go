package replica

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestSubmissionsStopWhenDiskIsLow(t *testing.T) {
	Convey("Submissions are rejected while the disk is low, and other commands accepted", t, func() {
		c := newClusterWithQueue()
		const disk = 1 << 20
		for _, id := range nodeIDs {
			c.hosts[id].WithDiskCapacity(disk)
		}
		text := string(make([]byte, 8<<10))
		for number := uint64(1); number <= 100; number++ {
			c.step("a", "f", &schema.SubmitRequest{Queue: "q", Enqueues: []*schema.Enqueue{{
				Session: &schema.Session{Gateway: "f", Incarnation: 1, Client: "c"}, Number: number, LowestUnconfirmed: 1, Name: fmt.Sprint("j", number), Digest: []byte("d"),
				Job: &schema.Job{Text: text, Steps: []*schema.Step{{Name: "s", Tasks: 1}}},
			}}})
			c.runWithMembership(200 * eventloop.Millisecond)
		}
		host := c.hosts["a"]
		confirmed := c.confirmedCount()
		So(confirmed, ShouldBeGreaterThan, 10)
		So(confirmed, ShouldBeLessThan, 60)
		So(host.contentBytes(), ShouldBeLessThan, disk/(diskCapacityFactor-1))
		So(host.groupStatus(host.groups[c.queueGroupName("q")]).StorageExhausted, ShouldBeTrue)
		// Other commands are still accepted.
		So(c.putConfiguration(queuesUpdate(2, "", "q", "r")).Code, ShouldEqual, 200)
		for _, id := range nodeIDs {
			c.hosts[id].WithDiskCapacity(4 * disk)
		}
		c.runWithMembership(2 * eventloop.Second)
		So(host.groupStatus(host.groups[c.queueGroupName("q")]).StorageExhausted, ShouldBeFalse)
	})
}
