package replica

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

func TestALearnerWhoseAppendWasLost(t *testing.T) {
	Convey("A heartbeat counts an empty store in as well: its leader sends no second Append unasked", t, func() {
		c := newCore()
		content := &storage.Content{Self: &schema.Self{Id: "d"}, Groups: map[string]*storage.Image{}}
		c.tables["d"] = New("d", content, func() int64 { return 0 }, raft.UsualTimes, 4, c.now)
		beat := func(group string) {
			c.step("d", "a", &schema.Beats{Beats: []*schema.Beat{{Group: group, Term: 1, Round: 1}}})
		}
		beat(clusterstate.Group)
		So(c.tables["d"].groups[clusterstate.Group], ShouldNotBeNil)
		So(c.tables["d"].self.Belongs, ShouldBeTrue)
		Convey("but not into a queue that has ended", func() {
			c.tables["d"].state.Next = 4
			beat("l#3")
			So(c.tables["d"].groups["l#3"], ShouldBeNil)
			beat("l#4")
			So(c.tables["d"].groups["l#4"], ShouldNotBeNil)
		})
	})
}
