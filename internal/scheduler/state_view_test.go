package scheduler

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

func TestStateViewJSON(t *testing.T) {
	Convey("The state view keeps its JSON keys, which operators read", t, func() {
		h := newHarness("w")
		h.sendHeartbeat("w", func(a *schema.WorkerHeartbeat) { a.Pool, a.Accelerators = "p", 2 })
		h.deliverEvents(true, 2, newEvent(1, 1, 0, queue.CheckedOut, "w", oneTask), newEvent(2, 2, 0, queue.Ready, "", oneTask))
		h.now += 5 * eventloop.Millisecond
		text, err := json.Marshal(h.scheduler.stateView(h.now))
		So(err, ShouldBeNil)
		So(string(text), ShouldEqual, `{"workers":[{"worker":"w","ward_generation":1,"heard_us_ago":5000,"rack":"r1","pool":"p",`+
			`"cores_milli":1000,"memory_mb":1000,"accelerators":2,"leaving":false,"over":false,"tasks_out":1,"tasks_running":0,`+
			`"tasks_unknown":0,"failure_rate":"0.00","times_slower":"1.00","set_aside":false}],`+
			`"tasks":[{"queue":"l","job":"j1","step":"s","task":0,"worker":"w","state":"out","why":""}],`+
			`"ready":{"l":1},"counts":{"Starts":0,"Stops":0,"Holds":0,"Preempted":0,"LostTasks":0,"Gaps":0},"tenants":[],"leads_all_queues":false}`)
	})
}
