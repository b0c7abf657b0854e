package agent_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
)

func TestUnansweredPolls(t *testing.T) {
	Convey("Polls say when earlier ones weren't answered, until one is", t, func() {
		h, s := newDefaultHarness(fakeworker.Config{}, nil)
		h.run(2 * eventloop.Second)
		for _, heartbeat := range s.heartbeats {
			So(heartbeat.Unanswered, ShouldBeFalse)
		}
		partitioned := true
		s.losesReply = func() bool { return partitioned }
		s.heartbeats = nil
		h.run(6 * eventloop.Second)
		So(s.heartbeats[0].Unanswered, ShouldBeFalse)
		So(s.heartbeats[len(s.heartbeats)-1].Unanswered, ShouldBeTrue)
		partitioned = false
		h.run(eventloop.Second)
		So(s.heartbeats[len(s.heartbeats)-1].Unanswered, ShouldBeFalse)
	})
}
