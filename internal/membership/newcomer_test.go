package membership

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestNewcomers(t *testing.T) {
	store := func(boot uint64, ran eventloop.Micros) *schema.Member {
		return &schema.Member{Id: "d", HasStorage: true, Incarnation: boot, Heartbeat: uint64(ran / Pace)}
	}
	minute := 60 * eventloop.Second
	Convey("A store that has never run before and started of late, in a cluster that is older, is a newcomer", t, func() {
		So(IsNewcomer(store(1, eventloop.Second), minute), ShouldBeTrue)
		So(IsNewcomer(store(1, eventloop.Second), 10*eventloop.Second), ShouldBeTrue)
	})
	Convey("It is none when it was there from the beginning, ran before, has run for long, leaves, or stores nothing", t, func() {
		So(IsNewcomer(store(1, 20*eventloop.Second), 20*eventloop.Second), ShouldBeFalse)
		So(IsNewcomer(store(2, eventloop.Second), minute), ShouldBeFalse)
		So(IsNewcomer(store(1, 40*eventloop.Second), minute), ShouldBeFalse)
		leaving, front := store(1, eventloop.Second), store(1, eventloop.Second)
		leaving.Draining, front.HasStorage = true, false
		So(IsNewcomer(leaving, minute), ShouldBeFalse)
		So(IsNewcomer(front, minute), ShouldBeFalse)
	})
	Convey("Of the live ones that don't vote yet one is named", t, func() {
		roll := &Roll{Known: map[string]Known{"d": {Member: store(1, eventloop.Second), Heard: minute}}}
		So(roll.Newcomer(minute, eventloop.Second, minute, nil), ShouldEqual, "d")
		So(roll.Newcomer(minute, eventloop.Second, minute, []string{"d"}), ShouldBeEmpty)
		So(roll.Newcomer(minute+eventloop.Second, eventloop.Second, minute, nil), ShouldBeEmpty)
	})
}
