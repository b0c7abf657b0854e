package replica

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

// BenchmarkManyLanes is a mail that changes nothing, and a tick, on the leader of
// 50 lanes.
func BenchmarkManyLanes(b *testing.B) {
	Convey("Fifty lanes led by one store", b, func() {
		c := newCore()
		var lanes []string
		places := &schema.PlaceLanes{Lease: c.lease()}
		for k := 0; k < 50; k++ {
			lanes = append(lanes, fmt.Sprintf("l%02d", k))
			places.Lanes = append(places.Lanes, &schema.LanePlace{Lane: lanes[k], Founders: stores, Leader: "a"})
		}
		So(c.put(lanesSheet(1, "", lanes...)).Code, ShouldEqual, 200)
		So(c.ask("charter", &schema.CharterCommand{Body: &schema.CharterCommand_Lanes{Lanes: places}}).Code, ShouldEqual, 200)
		c.run(eventloop.Second)
		So(c.leader("l49"), ShouldEqual, "a")
		for name, body := range map[string]any{"mail": &membership.Roll{}, "tick": eventloop.Tick{}} {
			b.Run(name, func(b *testing.B) {
				b.ReportAllocs()
				for k := 0; k < b.N; k++ {
					c.step("a", "", body)
				}
			})
		}
	})
}
