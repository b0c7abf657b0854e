package sim

import (
	"fmt"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func newStep(name string, tasks uint32, cores int64, after ...string) *schema.Step {
	return &schema.Step{Name: name, Tasks: tasks, CoresMilli: cores, MemoryMb: 256, Dependencies: after, AllowedFailures: 3}
}

// newTimedStep returns a step with an estimated run time.
func newTimedStep(name string, tasks uint32, cores int64, run eventloop.Micros, after ...string) *schema.Step {
	return &schema.Step{Name: name, Tasks: tasks, CoresMilli: cores, MemoryMb: 256, Dependencies: after, EstimatedRunUs: int64(run)}
}

func newJob(text string, steps ...*schema.Step) *schema.Job {
	return &schema.Job{Text: text, Steps: steps}
}

// DefaultJobKinds returns a load that exercises every rule: urgent and slow jobs, several
// steps, gangs, timed jobs, tasks that fail, and jobs that are cancelled.
func DefaultJobKinds() []JobKind {
	gang := newStep("gang", 4, 1000)
	gang.Gang = true
	limited := newStep("work", 3, 500)
	limited.AllowedFailures = 2
	limited.TimeLimitUs, limited.StallTimeoutUs = int64(4*eventloop.Second), int64(eventloop.Second)
	due := newStep("due", 1, 500)
	due.StallTimeoutUs = int64(eventloop.Second)
	delayed := newJob("run_us=20000 fail=0.2", limited)
	delayed.DelayUs = int64(1500 * eventloop.Millisecond)
	return []JobKind{
		{Queue: "quick", Interval: 250 * eventloop.Millisecond, Job: newJob("run_us=30000", newStep("rates", 3, 500), newStep("sum", 1, 500, "rates"))},
		{Queue: "slow", Interval: 2 * eventloop.Second, CancelShare: 0.2, Job: newJob("run_us=700000",
			newStep("load", 4, 2000), newStep("rows", 10, 2000, "load"), newStep("pack", 1, 1000, "rows"))},
		{Queue: "group", Interval: eventloop.Second, Job: newJob("run_us=200000 fail=0.05", gang, newStep("after", 1, 500, "gang"))},
		{Name: "due", Queue: "timed", Interval: 4 * eventloop.Second, StartDelay: 2 * eventloop.Second, Job: newJob("run_us=20000", due)},
		{Queue: "timed", Interval: 700 * eventloop.Millisecond, CancelShare: 0.2, Job: delayed},
	}
}

// DefaultConfigurationRows returns the configuration of the queues that DefaultJobKinds use,
// with the given urgency of the queue quick.
func DefaultConfigurationRows(urgency int) []*schema.ConfigurationRow {
	return append(queueRows(urgency),
		&schema.ConfigurationRow{Kind: "queue", Name: "quick", Key: "still_ms", Value: "1000"},
		&schema.ConfigurationRow{Kind: "queue", Name: "slow", Key: "still_ms", Value: "2000"},
		&schema.ConfigurationRow{Kind: "queue", Name: "group", Key: "still_ms", Value: "2000"},
	)
}

func queueRows(urgency int) []*schema.ConfigurationRow {
	return []*schema.ConfigurationRow{
		{Kind: "queue", Name: "quick", Key: "urgency", Value: fmt.Sprint(urgency)},
		{Kind: "queue", Name: "slow", Key: "urgency", Value: "10"},
		{Kind: "queue", Name: "group", Key: "urgency", Value: "30"},
		{Kind: "queue", Name: "timed", Key: "urgency", Value: "40"},
		{Kind: "fleet", Key: "cache_every", Value: "16"},
	}
}

// CalledJobKinds returns a load that exercises every rule about called workers.
func CalledJobKinds() []JobKind {
	rows := newTimedStep("rows", 8, 2000, 1500*eventloop.Millisecond, "load")
	rows.Checkpoints, rows.DataRack = true, "r1"
	gang := newTimedStep("gang", 4, 1000, 600*eventloop.Millisecond)
	gang.Gang, gang.OneRack, gang.Checkpoints = true, true, true
	spread := newTimedStep("spread", 3, 500, 300*eventloop.Millisecond)
	spread.MaxPerWorker, spread.Labels, spread.Accelerators = 1, []string{"a"}, 1
	lasting := newTimedStep("lasting", 2, 500, 0)
	lasting.RunUntilCancelled = true
	badGang := &schema.Step{Name: "bad", Tasks: 3, CoresMilli: 500, MemoryMb: 128, Gang: true, EstimatedRunUs: 100_000}
	rounds := newJob("rounds fail=0.05", newTimedStep("one", 2, 500, 500*eventloop.Millisecond), newTimedStep("two", 1, 500, 600*eventloop.Millisecond, "one"))
	rounds.Rounds, rounds.PeriodUs = 3, int64(900*eventloop.Millisecond)
	return []JobKind{
		{Queue: "quick", Interval: 250 * eventloop.Millisecond, Attempts: 4, Job: newJob("quick",
			newTimedStep("rates", 3, 500, 40*eventloop.Millisecond), newTimedStep("sum", 1, 500, 30*eventloop.Millisecond, "rates"))},
		{Queue: "slow", Interval: 2 * eventloop.Second, Attempts: 4, CancelShare: 0.2, Job: newJob("slow",
			newTimedStep("load", 3, 2000, 400*eventloop.Millisecond), rows, newTimedStep("pack", 1, 1000, 100*eventloop.Millisecond, "rows"))},
		{Queue: "group", Interval: eventloop.Second, Attempts: 4, CancelShare: 0.1, Job: newJob("gang fail=0.03",
			gang, newTimedStep("after", 1, 500, 50*eventloop.Millisecond, "gang"))},
		{Name: "spread", Queue: "group", Interval: 1500 * eventloop.Millisecond, Attempts: 4, Job: newJob("spread", spread)},
		{Queue: "timed", Interval: 2 * eventloop.Second, Attempts: 3, CancelShare: 0.1, StartDelay: 1500 * eventloop.Millisecond, Job: rounds},
		{Name: "lasting", Queue: "timed", Interval: 6 * eventloop.Second, Attempts: 3, CancelShare: 1, CancelDelay: 8 * eventloop.Second, Job: newJob("lasting", lasting)},
		{Name: "poison", Queue: "timed", Interval: 4 * eventloop.Second, Attempts: 3, Job: newJob("poison fail=1",
			newTimedStep("bad", 2, 500, 60*eventloop.Millisecond), newTimedStep("never", 1, 500, 60*eventloop.Millisecond, "bad"))},
		{Name: "bad-gang", Queue: "group", Interval: 9 * eventloop.Second, Attempts: 4, Job: newJob("poison fail=0.7", badGang)},
		{Queue: "far", Interval: 700 * eventloop.Millisecond, Attempts: 2, Job: newJob("far", newTimedStep("far", 2, 500, 100*eventloop.Millisecond))},
	}
}

// CalledConfigurationRows returns the configuration of the queues and pools that
// CalledJobKinds use, with the given urgency of the queue quick.
func CalledConfigurationRows(urgency int) []*schema.ConfigurationRow {
	rows := queueRows(urgency)
	add := func(kind, name, key, value string) {
		rows = append(rows, &schema.ConfigurationRow{Kind: kind, Name: name, Key: key, Value: value})
	}
	add("queue", "far", "urgency", "50")
	add("queue", "far", "pool", farPool)
	for _, queue := range []string{"quick", "slow", "group"} {
		add("queue", queue, "attempts", "4")
	}
	add("queue", "timed", "attempts", "3")
	add("queue", "far", "attempts", "2")
	add("pool", mainPool, "guards", "0")
	add("pool", farPool, "guards", "1")
	return rows
}
