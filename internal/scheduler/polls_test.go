package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/schema"
)

func TestSupersededPolls(t *testing.T) {
	// replies returns the number of responses to two polls, the second of which supersedes the first.
	replies := func(change func(*schema.WorkerHeartbeat)) int {
		h := newHarness("w")
		h.sendHeartbeat("w", change)
		So(h.replies, ShouldHaveLength, 1)
		h.sendHeartbeat("w", change)
		h.sendHeartbeat("w", change)
		return len(h.replies) - 1
	}
	Convey("A poll that its agent has superseded gets no response, since the agent only takes the newest's", t, func() {
		So(replies(withNames(nil)), ShouldEqual, 0)
	})
	Convey("A worker that polls through a gateway gets a response to each, since its calls are open", t, func() {
		So(replies(nil), ShouldEqual, 1)
	})
}
