package queue

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

func TestCounts(t *testing.T) {
	Convey("The waiting tasks are those that could be checked out now", t, func() {
		h := newHarness()
		h.enqueue("c", 1, "j", &schema.Job{Text: "x", Steps: []*schema.Step{
			{Name: "a", Tasks: 3}, {Name: "b", Tasks: 5, Dependencies: []string{"a"}}, {Name: "g", Tasks: 2, Gang: true},
		}})
		later := simpleJob(7)
		later.DelayUs = 1_000_000
		h.enqueue("c", 2, "k", later)
		So(proto.Equal(h.machine.Counts(), &schema.QueueCounts{Live: 2, Waiting: 5, NotBegun: 2}), ShouldBeTrue)
		h.checkout(key(1, 0, 0), key(1, 2, 0), key(1, 2, 1))
		So(proto.Equal(h.machine.Counts(), &schema.QueueCounts{Live: 2, Waiting: 2, Out: 3, NotBegun: 1}), ShouldBeTrue)
		h.cancel("j")
		So(proto.Equal(h.machine.Counts(), &schema.QueueCounts{Live: 2, Out: 3, NotBegun: 1}), ShouldBeTrue)
		view, _ := h.machine.JobView("j")
		So(view.StartedTasks, ShouldEqual, 3)
		So(view.PendingOutcome, ShouldEqual, "cancelled")
	})
}

func TestJobsThatHaveNotBegun(t *testing.T) {
	for cause, hasBegun := range map[schema.ReturnCause]bool{
		schema.ReturnCause_RETURN_CAUSE_PREEMPTED: false, schema.ReturnCause_RETURN_CAUSE_FAILED: true, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST: true,
	} {
		Convey("A job whose only attempt was returned as "+cause.String(), t, func() {
			h := newHarness()
			job := simpleJob(2)
			job.Steps[0].AllowedFailures = 1
			h.enqueue("c", 1, "j", job)
			So(h.machine.Counts().NotBegun, ShouldEqual, 1)
			h.checkout(key(1, 0, 0))
			So(h.machine.Counts().NotBegun, ShouldEqual, 0)
			h.returnTask(key(1, 0, 0), 1, cause)
			So(h.machine.Counts().NotBegun == 0, ShouldEqual, hasBegun)
			h.restart()
			So(h.machine.Counts().NotBegun == 0, ShouldEqual, hasBegun)
			h.checkout(key(1, 0, 1))
			h.settle(key(1, 0, 1), 1)
			So(h.machine.Counts().NotBegun, ShouldEqual, 0)
		})
	}
}

func TestJobViewJSON(t *testing.T) {
	Convey("The keys of a job view's JSON stay", t, func() {
		h := newHarness()
		h.enqueue("c", 1, "j", simpleJob(3))
		h.checkout(key(1, 0, 0), key(1, 0, 1))
		h.settle(key(1, 0, 0), 1)
		h.returnTask(key(1, 0, 1), 1, schema.ReturnCause_RETURN_CAUSE_FAILED)
		h.checkout(key(1, 0, 1))
		data, err := json.Marshal(h.cancel("j").CancelView)
		So(err, ShouldBeNil)
		So(string(data), ShouldEqual, `{"queue":"l","name":"j","state":"stopping","why":"cancelled","tasks":3,"done":1,`+
			`"steps":[{"name":"s","state":"waiting","waiting":1,"running":1,"done":1,"failures":1}],"started":3,"verdict":"cancelled"}`)
		data, err = json.Marshal(h.machine.Counts())
		So(err, ShouldBeNil)
		So(string(data), ShouldEqual, `{"live":1,"out":1}`)
		data, err = json.Marshal(h.machine.List("", 1))
		So(err, ShouldBeNil)
		So(string(data), ShouldEqual, `{"jobs":[{"queue":"l","name":"j","state":"stopping","why":"cancelled","tasks":3,"done":1,"started":3,"verdict":"cancelled"}]}`)
	})
}
