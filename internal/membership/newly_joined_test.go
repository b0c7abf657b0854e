package membership

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestNewcomers(t *testing.T) {
	store := func(boot uint64, ran eventloop.Micros) *schema.Member {
		return &schema.Member{Id: "d", HasStorage: true, Incarnation: boot, Heartbeat: uint64(ran / TickInterval)}
	}
	minute := 60 * eventloop.Second
	Convey("A store that has never run before and started of late, in a cluster that is older, is a newcomer", t, func() {
		So(IsNewlyJoined(store(1, eventloop.Second), minute), ShouldBeTrue)
		So(IsNewlyJoined(store(1, eventloop.Second), 10*eventloop.Second), ShouldBeTrue)
	})
	Convey("It is none when it was there from the beginning, ran before, has run for long, leaves, or stores nothing", t, func() {
		So(IsNewlyJoined(store(1, 20*eventloop.Second), 20*eventloop.Second), ShouldBeFalse)
		So(IsNewlyJoined(store(2, eventloop.Second), minute), ShouldBeFalse)
		So(IsNewlyJoined(store(1, 40*eventloop.Second), minute), ShouldBeFalse)
		leaving, front := store(1, eventloop.Second), store(1, eventloop.Second)
		leaving.Draining, front.HasStorage = true, false
		So(IsNewlyJoined(leaving, minute), ShouldBeFalse)
		So(IsNewlyJoined(front, minute), ShouldBeFalse)
	})
	Convey("Of the live ones that don't vote yet one is named", t, func() {
		view := &View{Members: map[string]MemberStatus{"d": {Member: store(1, eventloop.Second), LastHeard: minute}}}
		So(view.FindNewlyJoined(minute, eventloop.Second, minute, nil), ShouldEqual, "d")
		So(view.FindNewlyJoined(minute, eventloop.Second, minute, []string{"d"}), ShouldBeEmpty)
		So(view.FindNewlyJoined(minute+eventloop.Second, eventloop.Second, minute, nil), ShouldBeEmpty)
	})
}
