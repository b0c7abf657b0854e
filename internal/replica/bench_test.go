package replica

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

// BenchmarkManyQueues is a mail that changes nothing, and a tick, on the leader of
// 50 queues.
func BenchmarkManyQueues(b *testing.B) {
	Convey("Fifty queues led by one store", b, func() {
		c := newTestCluster()
		var queues []string
		places := &schema.PlaceQueues{FencingToken: c.claimController()}
		for k := 0; k < 50; k++ {
			queues = append(queues, fmt.Sprintf("l%02d", k))
			places.Queues = append(places.Queues, &schema.QueuePlacement{Queue: queues[k], InitialVoters: nodeIDs, PreferredLeader: "a"})
		}
		So(c.putConfiguration(queuesUpdate(1, "", queues...)).Code, ShouldEqual, 200)
		So(c.request("clusterstate", &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_PlaceQueues{PlaceQueues: places}}).Code, ShouldEqual, 200)
		c.run(eventloop.Second)
		So(c.leader("l49"), ShouldEqual, "a")
		for name, body := range map[string]any{"mail": &membership.View{}, "tick": eventloop.Tick{}} {
			b.Run(name, func(b *testing.B) {
				b.ReportAllocs()
				for k := 0; k < b.N; k++ {
					c.step("a", "", body)
				}
			})
		}
	})
}
