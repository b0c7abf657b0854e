package replica

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

// BenchmarkManyQueues measures how long the leader of 50 queues takes to handle a message that
// changes nothing, and a tick.
func BenchmarkManyQueues(b *testing.B) {
	Convey("Fifty queues led by one node", b, func() {
		c := newTestCluster()
		var queues []string
		var placements []*schema.QueuePlacement
		for k := 0; k < 50; k++ {
			queues = append(queues, fmt.Sprintf("l%02d", k))
			placements = append(placements, &schema.QueuePlacement{Queue: queues[k], InitialVoters: nodeIDs, PreferredLeader: "a"})
		}
		So(c.putConfiguration(queuesUpdate(1, "", queues...)).Code, ShouldEqual, 200)
		c.placeQueues(placements...)
		c.run(eventloop.Second)
		So(c.leader("l49"), ShouldEqual, "a")
		for name, body := range map[string]any{"message": &membership.View{}, "tick": eventloop.Tick{}} {
			b.Run(name, func(b *testing.B) {
				b.ReportAllocs()
				for k := 0; k < b.N; k++ {
					c.step("a", "", body)
				}
			})
		}
	})
}
