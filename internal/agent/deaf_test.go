package agent_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
)

func TestAnAgentThatHearsNothing(t *testing.T) {
	Convey("An agent says when its announces aren't answered, and no more once one was", t, func() {
		b, w := usual(fakeworker.Setup{}, nil)
		b.run(2 * eventloop.Second)
		for _, a := range w.announces {
			So(a.Unanswered, ShouldBeFalse)
		}
		isCut := true
		w.loses = func() bool { return isCut }
		w.announces = nil
		b.run(6 * eventloop.Second)
		So(w.announces[0].Unanswered, ShouldBeFalse)
		So(w.announces[len(w.announces)-1].Unanswered, ShouldBeTrue)
		isCut = false
		b.run(eventloop.Second)
		So(w.announces[len(w.announces)-1].Unanswered, ShouldBeFalse)
	})
}
