package membership

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestNewlyJoined(t *testing.T) {
	storageNode := func(incarnation uint64, uptime eventloop.Micros) *schema.Member {
		return &schema.Member{Id: "d", HasStorage: true, Incarnation: incarnation, Heartbeat: uint64(uptime / TickInterval)}
	}
	minute := 60 * eventloop.Second
	Convey("A storage node that never ran before and started recently, in an older cluster, has newly joined", t, func() {
		So(IsNewlyJoined(storageNode(1, eventloop.Second), minute), ShouldBeTrue)
		So(IsNewlyJoined(storageNode(1, eventloop.Second), 10*eventloop.Second), ShouldBeTrue)
	})
	Convey("It hasn't if it was there from the first start, ran before, has run for long, drains, or has no storage", t, func() {
		So(IsNewlyJoined(storageNode(1, 20*eventloop.Second), 20*eventloop.Second), ShouldBeFalse)
		So(IsNewlyJoined(storageNode(2, eventloop.Second), minute), ShouldBeFalse)
		So(IsNewlyJoined(storageNode(1, 40*eventloop.Second), minute), ShouldBeFalse)
		draining, gateway := storageNode(1, eventloop.Second), storageNode(1, eventloop.Second)
		draining.Draining, gateway.HasStorage = true, false
		So(IsNewlyJoined(draining, minute), ShouldBeFalse)
		So(IsNewlyJoined(gateway, minute), ShouldBeFalse)
	})
	Convey("One of the live ones that aren't voters is found", t, func() {
		view := &View{Members: map[string]MemberStatus{"d": {Member: storageNode(1, eventloop.Second), LastHeard: minute}}}
		So(view.FindNewlyJoined(minute, eventloop.Second, minute, nil), ShouldEqual, "d")
		So(view.FindNewlyJoined(minute, eventloop.Second, minute, []string{"d"}), ShouldBeEmpty)
		So(view.FindNewlyJoined(minute+eventloop.Second, eventloop.Second, minute, nil), ShouldBeEmpty)
	})
}
