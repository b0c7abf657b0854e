package keep

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/loop"
	"sparnotch/schema"
)

func TestWholeLists(t *testing.T) {
	Convey("The placer gets a lane's whole list anew when the plan has changed, not for each worker that comes", t, func() {
		c := newCore()
		whole := func() (count int) {
			for _, each := range c.heard["a/placer"] {
				if shifts, isIt := each.(Shifts); isIt && shifts.IsWhole {
					count++
				}
			}
			return count
		}
		So(c.put(lanesSheet(1, "", "l")).Code, ShouldEqual, 200)
		licence := c.licence()
		lanes := &schema.PlaceLanes{Licence: licence, Lanes: []*schema.LanePlace{{Lane: "l", Founders: stores, Keeper: "a"}}}
		So(c.ask("charter", &schema.CharterCommand{Body: &schema.CharterCommand_Lanes{Lanes: lanes}}).Code, ShouldEqual, 200)
		c.run(loop.Second)
		So(c.leader("l"), ShouldEqual, "a")
		before := whole()
		So(before, ShouldBeGreaterThan, 0)
		wards := &schema.MoveWards{Licence: licence, Wards: []*schema.Ward{{Worker: "w", Placer: "a"}}}
		So(c.ask("charter", &schema.CharterCommand{Body: &schema.CharterCommand_Wards{Wards: wards}}).Code, ShouldEqual, 200)
		c.run(loop.Second)
		So(whole(), ShouldEqual, before)
		So(c.put(lanesSheet(2, "", "l")).Code, ShouldEqual, 200)
		c.run(loop.Second)
		So(whole(), ShouldEqual, before+1)
	})
}
