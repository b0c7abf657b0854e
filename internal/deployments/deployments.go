// Package deployments owns the two deployments that must be served: their machines,
// their disks and their callers, as sizes for simulated and real fleets.
package deployments

import (
	"fmt"
	"strings"

	"sparnotch/internal/schema"
)

// Kind is one sort of job that a deployment's callers hand in.
type Kind struct {
	Name    string
	Queue   string
	Urgency int
	Every   float64 // seconds between two, on average
	Text    string
	Steps   []*schema.Step
}

// Deployment is one of the two.
type Deployment struct {
	Name    string
	Kinds   []Kind
	SyncUs  int64
	Cores   int64 // of a worker, thousandths
	Memory  int64
	Fronts  int // the first three have a disk
	Sides   int
	Workers int     // three to a rack
	Strong  float64 // cores a front with a disk has
	Weak    float64 // and one without
	Side    float64

	// Where its workers are called: what its callers hand in then, how often a
	// task may run failing, and what is promised.
	Called   []Kind
	Attempts uint32
	Bounds   *schema.Bounds
}

func step(name string, tasks uint32, cores, memory int64, after ...string) *schema.Step {
	return &schema.Step{Name: name, Tasks: tasks, CoresMilli: cores, MemoryMb: memory, Dependencies: after, AllowedFailures: 2}
}

func called(name string, tasks uint32, cores, memory, us int64, after ...string) *schema.Step {
	return &schema.Step{Name: name, Tasks: tasks, CoresMilli: cores, MemoryMb: memory, Dependencies: after, EstimatedRunUs: us}
}

// bounds in milliseconds.
func bounds(hold, stop, save, restore int64) *schema.Bounds {
	return &schema.Bounds{
		HoldMostUs: hold * 1000, StopUs: stop * 1000, GatherUs: 3_000_000, StatusUs: 120_000_000, ApplyUs: 2_000_000, AwayMilli: 1500,
		SaveUs: save * 1000, RestoreUs: restore * 1000, BeatUs: 1_500_000, DrainUs: 2_000_000,
	}
}

// Deployments are the bank and Skemaværket.
var Deployments = []*Deployment{
	{
		Name: "bank", SyncUs: 500, Cores: 64_000, Memory: 128_000, Fronts: 7, Sides: 11, Workers: 11, Strong: 1, Weak: 0.45, Side: 0.25,
		Kinds: []Kind{
			{"quote", "quotes", 80, 1 / 4.5, "run_us=30000", []*schema.Step{step("rates", 4, 500, 256), step("sum", 1, 500, 256, "rates")}},
			{"penalty", "penalties", 70, 1 / 3.0, "run_us=40000", []*schema.Step{step("terms", 3, 500, 256)}},
			{"schedule", "schedules", 20, 6, "run_us=250000", []*schema.Step{step("load", 8, 1000, 1024), step("months", 48, 1000, 1024, "load"), step("print", 1, 1000, 2048, "months")}},
		},
		Attempts: 4, Bounds: bounds(10_000, 900, 1000, 250),
		// Half of the quotes have a second step, and three in ten of the schedules.
		Called: []Kind{
			{"quote", "quotes", 80, 2 / 4.51, "quote", []*schema.Step{called("rates", 14, 6000, 512, 380_000)}},
			{"quotes", "quotes", 80, 2 / 4.51, "quotes", []*schema.Step{called("rates", 14, 6000, 512, 380_000), called("sums", 14, 6000, 512, 380_000, "rates")}},
			{"penalty", "penalties", 70, 1 / 2.71, "penalty", []*schema.Step{called("terms", 2, 9700, 512, 720_000)}},
			{"schedule", "schedules", 20, 1 / 0.238 / 0.7, "schedule", []*schema.Step{called("months", 5, 19_000, 2048, 6_000_000)}},
			{"schedules", "schedules", 20, 1 / 0.238 / 0.3, "schedules", []*schema.Step{called("months", 5, 19_000, 2048, 6_000_000), called("print", 5, 19_000, 2048, 6_000_000, "months")}},
		},
	},
	{
		Name: "skema", SyncUs: 5000, Cores: 16_000, Memory: 32_000, Fronts: 7, Sides: 11, Workers: 11, Strong: 1, Weak: 0.16, Side: 0.25,
		Kinds: []Kind{
			{"submission", "submissions", 60, 1 / 7.0, "run_us=30000", []*schema.Step{step("parse", 2, 250, 128), step("store", 1, 250, 128, "parse")}},
			{"draft", "drafts", 80, 1, "run_us=40000", []*schema.Step{step("check", 3, 250, 128)}},
			{"export", "exports", 10, 6, "run_us=300000", []*schema.Step{step("read", 6, 1000, 1024), step("rows", 36, 1000, 1024, "read"), step("pack", 1, 1000, 2048, "rows")}},
		},
		Attempts: 4, Bounds: bounds(6_000, 400, 2000, 600),
		Called: []Kind{
			{"submission", "submissions", 60, 2 / 7.05, "submission", []*schema.Step{called("parse", 14, 1500, 256, 240_000)}},
			{"submissions", "submissions", 60, 2 / 7.05, "submissions", []*schema.Step{called("parse", 14, 1500, 256, 240_000), called("store", 14, 1500, 256, 240_000, "parse")}},
			{"draft", "drafts", 80, 1 / 1.33, "draft", []*schema.Step{called("check", 2, 2400, 256, 900_000)}},
			{"export", "exports", 10, 1 / 0.238 / 0.7, "export", []*schema.Step{called("rows", 5, 4800, 1024, 6_000_000)}},
			{"exports", "exports", 10, 1 / 0.238 / 0.3, "exports", []*schema.Step{called("rows", 5, 4800, 1024, 6_000_000), called("pack", 5, 4800, 1024, 6_000_000, "rows")}},
		},
	},
}

// Find gives the deployment of a name.
func Find(name string) (*Deployment, error) {
	var names []string
	for _, d := range Deployments {
		if d.Name == name {
			return d, nil
		}
		names = append(names, d.Name)
	}
	return nil, fmt.Errorf("profile: %q is none of %s", name, strings.Join(names, ", "))
}

// Rows is the deployment's table.
func (d *Deployment) Rows() []*schema.ConfigurationRow {
	rows := []*schema.ConfigurationRow{
		{Kind: "fleet", Key: "worker_cores_milli", Value: fmt.Sprint(d.Cores)},
		{Kind: "fleet", Key: "worker_memory_mb", Value: fmt.Sprint(d.Memory)},
	}
	for _, k := range d.Kinds {
		rows = append(rows, &schema.ConfigurationRow{Kind: "queue", Name: k.Queue, Key: "urgency", Value: fmt.Sprint(k.Urgency)})
	}
	return rows
}
