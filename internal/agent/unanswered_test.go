package agent_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
)

func TestUnansweredPolls(t *testing.T) {
	Convey("An agent says when its announces aren't answered, and no more once one was", t, func() {
		b, w := newDefaultHarness(fakeworker.Config{}, nil)
		b.run(2 * eventloop.Second)
		for _, a := range w.heartbeats {
			So(a.Unanswered, ShouldBeFalse)
		}
		partitioned := true
		w.losesReply = func() bool { return partitioned }
		w.heartbeats = nil
		b.run(6 * eventloop.Second)
		So(w.heartbeats[0].Unanswered, ShouldBeFalse)
		So(w.heartbeats[len(w.heartbeats)-1].Unanswered, ShouldBeTrue)
		partitioned = false
		b.run(eventloop.Second)
		So(w.heartbeats[len(w.heartbeats)-1].Unanswered, ShouldBeFalse)
	})
}
