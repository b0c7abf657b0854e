package checker

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestSizes(t *testing.T) {
	target := LatencyTarget{Stretch: 1.5, Slack: 500 * eventloop.Millisecond}
	// historyOf returns a history of 20 jobs of increasing size. Each job has one task that runs
	// for a second and ends endOf(job) after the submission.
	historyOf := func(endOf func(job int) eventloop.Micros) (history []Event) {
		for k := range 20 {
			at, name := eventloop.Micros(k+1)*eventloop.Second, fmt.Sprintf("job-%02d", k)
			spec := &schema.Job{Steps: []*schema.Step{{Tasks: 1, CoresMilli: int64(100 * (k + 1)), EstimatedRunUs: int64(eventloop.Second)}}}
			end := at + endOf(k)
			history = append(history,
				Event{At: at, Kind: Submit, Queue: "q", Name: name, Spec: spec},
				Event{At: at, Kind: SubmitReply, Queue: "q", Name: name, Code: 201, State: "running"},
				Event{At: end - eventloop.Second, Kind: TaskStart, Actor: "w", Queue: "q", Name: name, Attempt: 1},
				Event{At: end, Kind: TaskEnd, Actor: "w", Queue: "q", Name: name, Attempt: 1, State: outcomeDone},
			)
		}
		return history
	}
	const until = 100 * eventloop.Second
	Convey("Jobs that end within three times their target are served, whatever their size", t, func() {
		classes, violations := CheckSizes(historyOf(func(int) eventloop.Micros { return 6 * eventloop.Second }), "q", target, until)
		So(violations, ShouldBeEmpty)
		So(classes[0], ShouldResemble, SizeClass{"all", 20, 20})
		So(classes[1], ShouldResemble, SizeClass{"the largest tenth", 2, 2})
		So(classes[2], ShouldResemble, SizeClass{"the fifth beneath it", 4, 4})
	})
	Convey("The rule is broken where none of the largest tenth is", t, func() {
		classes, violations := CheckSizes(historyOf(func(job int) eventloop.Micros {
			if job >= 18 {
				return 7 * eventloop.Second
			}
			return 2 * eventloop.Second
		}), "q", target, until)
		So(len(violations), ShouldEqual, 1)
		So(violations[0].Rule, ShouldEqual, ruleSizes)
		So(classes[0].Served, ShouldEqual, 18)
		So(classes[1].Served, ShouldEqual, 0)
	})
	Convey("and kept where all sizes are served alike, however seldom", t, func() {
		_, violations := CheckSizes(historyOf(func(job int) eventloop.Micros { return eventloop.Micros(2+10*(job%2)) * eventloop.Second }), "q", target, until)
		So(violations, ShouldBeEmpty)
	})
	Convey("Other queues, and jobs submitted later, don't count", t, func() {
		classes, _ := CheckSizes(historyOf(func(int) eventloop.Micros { return eventloop.Second }), "q", target, 11*eventloop.Second)
		So(classes[0].Jobs, ShouldEqual, 10)
		classes, _ = CheckSizes(historyOf(func(int) eventloop.Micros { return eventloop.Second }), "other", target, until)
		So(classes[0].Jobs, ShouldEqual, 0)
	})
}
