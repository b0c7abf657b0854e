package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/schema"
)

func TestSupersededAnnounces(t *testing.T) {
	// replies are the answers to two announces of which the second follows at once.
	replies := func(change func(*schema.WorkerHeartbeat)) int {
		h := newHarness("w")
		h.announce("w", change)
		So(h.replies, ShouldHaveLength, 1)
		h.announce("w", change)
		h.announce("w", change)
		return len(h.replies) - 1
	}
	Convey("An announce that an agent has overtaken isn't answered, for it takes none but the newest's", t, func() {
		So(replies(withNames(nil)), ShouldEqual, 0)
	})
	Convey("Of a worker behind a front each is, for its call is open", t, func() {
		So(replies(nil), ShouldEqual, 1)
	})
}
