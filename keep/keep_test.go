package keep

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/schema"
)

func TestCommandOf(t *testing.T) {
	key := &schema.TaskKey{Job: 1, Step: 2, Task: 3}
	end := func(outcome string) *schema.LaneCommand {
		return commandOf(&schema.End{Lane: "l", Key: key, Attempt: 4, Outcome: outcome, Saved: "text", Whole: true})
	}
	Convey("Done settles, for the whole group where the worker says so", t, func() {
		wanted := &schema.Settle{Key: key, Attempt: 4, Whole: true}
		So(proto.Equal(end("done").GetSettle(), wanted), ShouldBeTrue)
	})
	Convey("Every other end gives the task back with its progress, and only failures count", t, func() {
		for outcome, cause := range map[string]schema.Cause{
			"failed": schema.Cause_CAUSE_FAILED, "lost": schema.Cause_CAUSE_LOST, "stopped": schema.Cause_CAUSE_DISPLACED,
			"lapsed": schema.Cause_CAUSE_DISPLACED, "broken": schema.Cause_CAUSE_DISPLACED, "alone": schema.Cause_CAUSE_DISPLACED,
		} {
			wanted := &schema.Return{Key: key, Attempt: 4, Cause: cause, Saved: "text"}
			So(proto.Equal(end(outcome).GetReturn(), wanted), ShouldBeTrue)
		}
	})
}
