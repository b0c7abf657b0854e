// Package deployments describes the deployments that the simulator and the benchmarks
// run: their nodes, disks, workers and jobs.
package deployments

import (
	"fmt"
	"strings"

	"sparnotch/internal/schema"
)

// JobType is a kind of job that a deployment's clients submit.
type JobType struct {
	Name         string
	Queue        string
	Urgency      int     // of the queue, 0 to 100
	MeanInterval float64 // seconds between two submissions
	Text         string
	Steps        []*schema.Step
}

// Deployment describes one deployment.
type Deployment struct {
	Name             string
	JobTypes         []JobType
	SyncUs           int64   // duration of a disk sync
	WorkerCoresMilli int64   // of a worker, thousandths
	WorkerMemoryMB   int64   // of a worker, MB
	Gateways         int     // including the storage nodes
	Agents           int     // agent nodes
	Workers          int     // three to a rack
	StorageNodeCores float64 // of one node, cores
	GatewayCores     float64 // of one node without a disk
	AgentCores       float64

	// For workers that take calls: the jobs, how often a failing task is attempted, and
	// the bounds that the deployment promises.
	CalledJobTypes []JobType
	MaxAttempts    uint32
	Bounds         *schema.Bounds

	Tenants []Tenant // that may share the deployment; it is run with them only where that is asked for
}

// newStep is a step of tasks with resources in thousandths of a core and MB.
func newStep(name string, tasks uint32, cores, memory int64, after ...string) *schema.Step {
	return &schema.Step{Name: name, Tasks: tasks, CoresMilli: cores, MemoryMb: memory, Dependencies: after, AllowedFailures: 2}
}

// newCalledStep is a step for called workers, with the estimated run time of a task in µs.
func newCalledStep(name string, tasks uint32, cores, memory, runUs int64, after ...string) *schema.Step {
	return &schema.Step{Name: name, Tasks: tasks, CoresMilli: cores, MemoryMb: memory, Dependencies: after, EstimatedRunUs: runUs}
}

// newBounds takes the worker lease, the stop timeout, the checkpoint interval and the
// restore delay in milliseconds.
func newBounds(lease, stop, checkpoint, restore int64) *schema.Bounds {
	return &schema.Bounds{
		MaxWorkerLeaseUs: lease * 1000, StopTimeoutUs: stop * 1000, GangTimeoutUs: 3_000_000, JobRetentionUs: 120_000_000, ConfigApplyUs: 2_000_000, RemoteSlowdownMilli: 1500,
		CheckpointIntervalUs: checkpoint * 1000, RestoreDelayUs: restore * 1000, HeartbeatIntervalUs: 1_500_000, DrainTimeoutUs: 2_000_000,
	}
}

// All are the known deployments. They must not be changed.
var All = []*Deployment{
	{
		Name: "bank", SyncUs: 500, WorkerCoresMilli: 64_000, WorkerMemoryMB: 128_000, Gateways: 7, Agents: 11, Workers: 11, StorageNodeCores: 1, GatewayCores: 0.45, AgentCores: 0.25,
		JobTypes: []JobType{
			{"quote", "quotes", 80, 1 / 4.5, "run_us=30000", []*schema.Step{newStep("rates", 4, 500, 256), newStep("sum", 1, 500, 256, "rates")}},
			{"penalty", "penalties", 70, 1 / 3.0, "run_us=40000", []*schema.Step{newStep("terms", 3, 500, 256)}},
			{"schedule", "schedules", 20, 6, "run_us=250000", []*schema.Step{newStep("load", 8, 1000, 1024), newStep("months", 48, 1000, 1024, "load"), newStep("print", 1, 1000, 2048, "months")}},
		},
		MaxAttempts: 4, Bounds: newBounds(10_000, 900, 1000, 250), Tenants: newTenants(11*64_000, 11*128_000),
		// Half of the quotes have a second step, as have three in ten of the schedules.
		CalledJobTypes: []JobType{
			{"quote", "quotes", 80, 2 / 4.51, "quote", []*schema.Step{newCalledStep("rates", 14, 6000, 512, 380_000)}},
			{"quotes", "quotes", 80, 2 / 4.51, "quotes", []*schema.Step{newCalledStep("rates", 14, 6000, 512, 380_000), newCalledStep("sums", 14, 6000, 512, 380_000, "rates")}},
			{"penalty", "penalties", 70, 1 / 2.71, "penalty", []*schema.Step{newCalledStep("terms", 2, 9700, 512, 720_000)}},
			{"schedule", "schedules", 20, 1 / 0.238 / 0.7, "schedule", []*schema.Step{newCalledStep("months", 5, 19_000, 2048, 6_000_000)}},
			{"schedules", "schedules", 20, 1 / 0.238 / 0.3, "schedules", []*schema.Step{newCalledStep("months", 5, 19_000, 2048, 6_000_000), newCalledStep("print", 5, 19_000, 2048, 6_000_000, "months")}},
		},
	},
	{
		Name: "skema", SyncUs: 5000, WorkerCoresMilli: 16_000, WorkerMemoryMB: 32_000, Gateways: 7, Agents: 11, Workers: 11, StorageNodeCores: 1, GatewayCores: 0.16, AgentCores: 0.25,
		JobTypes: []JobType{
			{"submission", "submissions", 60, 1 / 7.0, "run_us=30000", []*schema.Step{newStep("parse", 2, 250, 128), newStep("store", 1, 250, 128, "parse")}},
			{"draft", "drafts", 80, 1, "run_us=40000", []*schema.Step{newStep("check", 3, 250, 128)}},
			{"export", "exports", 10, 6, "run_us=300000", []*schema.Step{newStep("read", 6, 1000, 1024), newStep("rows", 36, 1000, 1024, "read"), newStep("pack", 1, 1000, 2048, "rows")}},
		},
		MaxAttempts: 4, Bounds: newBounds(6_000, 400, 2000, 600), Tenants: newTenants(11*16_000, 11*32_000),
		CalledJobTypes: []JobType{
			{"submission", "submissions", 60, 2 / 7.05, "submission", []*schema.Step{newCalledStep("parse", 14, 1500, 256, 240_000)}},
			{"submissions", "submissions", 60, 2 / 7.05, "submissions", []*schema.Step{newCalledStep("parse", 14, 1500, 256, 240_000), newCalledStep("store", 14, 1500, 256, 240_000, "parse")}},
			{"draft", "drafts", 80, 1 / 1.33, "draft", []*schema.Step{newCalledStep("check", 2, 2400, 256, 900_000)}},
			{"export", "exports", 10, 1 / 0.238 / 0.7, "export", []*schema.Step{newCalledStep("rows", 5, 4800, 1024, 6_000_000)}},
			{"exports", "exports", 10, 1 / 0.238 / 0.3, "exports", []*schema.Step{newCalledStep("rows", 5, 4800, 1024, 6_000_000), newCalledStep("pack", 5, 4800, 1024, 6_000_000, "rows")}},
		},
	},
}

// Find returns the deployment of a name. The error lists the names.
func Find(name string) (*Deployment, error) {
	var names []string
	for _, d := range All {
		if d.Name == name {
			return d, nil
		}
		names = append(names, d.Name)
	}
	return nil, fmt.Errorf("profile: %q is none of %s", name, strings.Join(names, ", "))
}

// ConfigRows is the configuration of the deployment's workers and queues.
func (d *Deployment) ConfigRows() []*schema.ConfigurationRow {
	rows := []*schema.ConfigurationRow{
		{Kind: "fleet", Key: "worker_cores_milli", Value: fmt.Sprint(d.WorkerCoresMilli)},
		{Kind: "fleet", Key: "worker_memory_mb", Value: fmt.Sprint(d.WorkerMemoryMB)},
	}
	for _, k := range d.JobTypes {
		rows = append(rows, &schema.ConfigurationRow{Kind: "queue", Name: k.Queue, Key: "urgency", Value: fmt.Sprint(k.Urgency)})
	}
	return rows
}
