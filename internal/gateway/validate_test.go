package gateway

import (
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/schema"
)

func TestJobLimits(t *testing.T) {
	Convey("A job's limits don't depend on the configuration, and the error names the field", t, func() {
		step := func() *schema.Step { return &schema.Step{Name: "s", Tasks: 20, CoresMilli: 1} }
		long := make([]*schema.Step, MaxSteps+1)
		for k := range long {
			long[k] = &schema.Step{Name: strconv.Itoa(k), Tasks: 1, CoresMilli: 1}
		}
		good := step()
		good.Labels, good.DataRack, good.MaxPerWorker, good.Accelerators, good.EstimatedRunUs, good.RunUntilCancelled = []string{"a", "r1-3"}, "r1-3", 2, 1, 900_000, true
		So(ValidateJob(&schema.Job{Rounds: MaxRounds, PeriodUs: 1, Steps: []*schema.Step{good}}), ShouldBeNil)
		So(ValidateJob(&schema.Job{Steps: long[:MaxSteps]}), ShouldBeNil)
		for field, job := range map[string]*schema.Job{
			"steps":          {Steps: long},
			"rounds":         {Rounds: MaxRounds + 1, Steps: []*schema.Step{step()}},
			"every_us":       {PeriodUs: -1, Steps: []*schema.Step{step()}},
			"steps[0].tasks": {Rounds: MaxRounds, Steps: []*schema.Step{{Name: "s", Tasks: 21, CoresMilli: 1}}},
		} {
			So(ValidateJob(job).Field, ShouldEqual, field)
		}
		for field, change := range map[string]func(s *schema.Step){
			"accelerators": func(s *schema.Step) { s.Accelerators = -1 },
			"labels":       func(s *schema.Step) { s.Labels = make([]string, maxLabels+1) },
			"labels[1]":    func(s *schema.Step) { s.Labels = []string{"a", ""} },
			"data_rack":    func(s *schema.Step) { s.DataRack = "a b" },
			"per_worker":   func(s *schema.Step) { s.MaxPerWorker = maxAmount + 1 },
			"estimate_us":  func(s *schema.Step) { s.EstimatedRunUs = -1 },
		} {
			bad := step()
			change(bad)
			So(ValidateJob(&schema.Job{Steps: []*schema.Step{bad}}).Field, ShouldEqual, "steps[0]."+field)
		}
	})
}
