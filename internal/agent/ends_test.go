package agent

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestAcknowledgementsNameTheEnd(t *testing.T) {
	Convey("An end that replaced a declared one stays until it is acknowledged itself", t, func() {
		w := newWorkerState("w", 0)
		task := TaskName{Job: "j"}
		key := attemptKey{task, 1}
		w.unacknowledged[key] = &endedAttempt{status: w.taskStatus(key, "lapsed", "")}
		So(w.recordEnd(EndedTask{Number: 1, Task: task, Attempt: 1, State: "failed"}), ShouldBeTrue)
		acknowledge := func(state string) bool {
			return w.handleAcknowledgements(eventloop.Second, []*schema.TaskStatus{{Name: "j", Attempt: 1, State: state}})
		}
		So(acknowledge("lapsed"), ShouldBeFalse)
		So(w.acknowledgedThrough, ShouldEqual, 0)
		So(w.unacknowledged[key].status.State, ShouldEqual, "failed")
		So(acknowledge("failed"), ShouldBeTrue)
		So(w.acknowledgedThrough, ShouldEqual, 1)
		So(w.unacknowledged, ShouldBeEmpty)
	})
	Convey("An acknowledgement that names no end holds for any, as from a scheduler that doesn't lead the queue", t, func() {
		w := newWorkerState("w", 0)
		So(w.recordEnd(EndedTask{Number: 1, Task: TaskName{Job: "j"}, Attempt: 1, State: "done"}), ShouldBeTrue)
		So(w.handleAcknowledgements(eventloop.Second, []*schema.TaskStatus{{Name: "j", Attempt: 1}}), ShouldBeTrue)
		So(w.unacknowledged, ShouldBeEmpty)
	})
}
