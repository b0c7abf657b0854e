package sim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// The load of SizeScenarios consists of urgent jobs and of less urgent jobs. The sizes of the
// urgent jobs have a heavy tail, and the run times of their tasks vary. The less urgent jobs
// have long tasks, which alone would fill the fleet.
const (
	sizesQueue       = "quick"
	sizesRunTime     = 240 * eventloop.Millisecond
	sizesTaskCores   = 2000
	sizesTaskSpread  = 0.9 // standard deviation of the logarithm of a task's run time
	sizesWidth       = 14  // median number of tasks of a step
	sizesWidthSpread = 0.7 // standard deviation of the logarithm of the number of tasks
	sizesMaxWidth    = 90
	sizesInterval    = 20 * eventloop.Millisecond // mean time between two jobs
	sizesBurst       = 4 * eventloop.Second       // how long a burst doubles the rate of urgent jobs
	sizesStretch     = 1.5
	sizesSlack       = 250 * eventloop.Millisecond
)

// WideJobsFleet is a fleet of large workers under a load of jobs of very different sizes.
var WideJobsFleet = FleetSpec{
	Name: "wide-jobs", Gateways: 5, AgentNodes: 14, Workers: 14, WorkersPerRack: 4, Cores: 64_000, Memory: 128_000,
	Bounds: SmallCalledFleet.Bounds,
	JobKinds: []JobKind{
		{Queue: sizesQueue, Interval: sizesInterval, Attempts: 3, Draw: drawWideJob},
		{Queue: "slow", Interval: 1500 * eventloop.Millisecond, Attempts: 3,
			Job: newJob("long uneven=0.9", newTimedStep("rows", 30, 16_000, 2*eventloop.Second))},
	},
	ConfigurationRows: func(urgency int) []*schema.ConfigurationRow {
		rows := queueRows(urgency)
		add := func(kind, name, key, value string) {
			rows = append(rows, &schema.ConfigurationRow{Kind: kind, Name: name, Key: key, Value: value})
		}
		add("pool", mainPool, "guards", "1")
		for _, queue := range []string{sizesQueue, "slow"} {
			add("queue", queue, "pool", mainPool)
			add("queue", queue, "attempts", "3")
		}
		add("queue", sizesQueue, "stretch_milli", fmt.Sprint(1000*sizesStretch))
		add("queue", sizesQueue, "target_ms", fmt.Sprint(int64(sizesSlack/eventloop.Millisecond)))
		add("queue", "slow", "stretch_milli", "3200")
		add("queue", "slow", "target_ms", "3000")
		return rows
	},
}

// drawWideJob draws a job of one step, or of two steps in sequence, with random numbers of
// tasks.
func drawWideJob(rng *rand.Rand) *schema.Job {
	width := func() uint32 {
		return uint32(math.Min(sizesMaxWidth, math.Max(1, sizesWidth*math.Exp(sizesWidthSpread*rng.NormFloat64()))))
	}
	steps := []*schema.Step{newTimedStep("rates", width(), sizesTaskCores, sizesRunTime)}
	if rng.IntN(2) == 0 {
		steps = append(steps, newTimedStep("sums", width(), sizesTaskCores, sizesRunTime, "rates"))
	}
	return newJob(fmt.Sprint("fail=0.02 uneven=", sizesTaskSpread), steps...)
}

// SizeScenarios lists scenarios with jobs of very different sizes.
var SizeScenarios = []Scenario{
	{Name: "wide jobs under load", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 16 * eventloop.Second, Verify: verifySizes},
	{Name: "wide jobs in a burst", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 16 * eventloop.Second, Inject: func(f *Fleet) {
		f.atLoad(4*eventloop.Second, func() {
			burst := f.Spec.JobKinds[0]
			burst.Name = "burst"
			f.GenerateLoad(burst, f.Now+sizesBurst)
		})
	}, Verify: verifySizes},
}

// verifySizes checks that the largest urgent jobs meet their latency target nearly as often as
// all urgent jobs do.
func verifySizes(f *Fleet) []string {
	target := checker.LatencyTarget{Stretch: sizesStretch, Slack: sizesSlack}
	_, violations := checker.CheckSizes(f.History, sizesQueue, target, f.LoadEnd)
	var problems []string
	for _, violation := range violations {
		problems = append(problems, violation.String())
	}
	return problems
}

// describeSizes reports for each size class how many urgent jobs met their latency target.
func describeSizes(f *Fleet) string {
	target := checker.LatencyTarget{Stretch: sizesStretch, Slack: sizesSlack}
	classes, _ := checker.CheckSizes(f.History, sizesQueue, target, f.LoadEnd)
	var parts []string
	for _, class := range classes {
		parts = append(parts, class.String())
	}
	return strings.Join(parts, "; ")
}
