// Package deployments describes the deployments that the simulator and the benchmarks run:
// their nodes, disks, workers, jobs and tenants.
package deployments

import (
	"fmt"
	"strings"

	"sparnotch/internal/schema"
)

// JobType is a kind of job that the clients of a deployment submit.
type JobType struct {
	Name         string
	Queue        string
	Urgency      int     // urgency of the queue, 0 to 100
	MeanInterval float64 // mean time between two submissions, seconds
	Text         string  // text of the jobs, which is passed to the workers
	Steps        []*schema.Step
}

// Deployment describes the nodes, workers, jobs and tenants of one deployment.
type Deployment struct {
	Name             string
	JobTypes         []JobType // jobs for workers that poll the scheduler
	SyncUs           int64     // duration of a disk sync, µs
	WorkerCoresMilli int64     // cores of each worker, thousandths
	WorkerMemoryMB   int64     // memory of each worker, MB
	Gateways         int       // number of gateways, including those on storage nodes
	Agents           int       // number of agent nodes
	Workers          int       // number of workers, three to a rack
	StorageNodeCores float64   // cores of each storage node
	GatewayCores     float64   // cores of each gateway node without storage
	AgentCores       float64   // cores of each agent node

	// The following fields apply to called workers, which an agent calls instead of their
	// polling the scheduler.
	CalledJobTypes []JobType
	MaxAttempts    uint32         // number of attempts after which a failing task fails its job
	Bounds         *schema.Bounds // timeouts and intervals that the deployment guarantees

	Tenants []Tenant // tenants that may share the deployment; runs include them only on request
}

// newStep returns a step for polling workers. The tasks need cores in thousandths and memory
// in MB; the steps named by after must be done before.
func newStep(name string, tasks uint32, cores, memory int64, after ...string) *schema.Step {
	return &schema.Step{Name: name, Tasks: tasks, CoresMilli: cores, MemoryMb: memory, Dependencies: after, AllowedFailures: 2}
}

// newCalledStep is like newStep, but for called workers. The estimated run time of a task is in
// µs.
func newCalledStep(name string, tasks uint32, cores, memory, runUs int64, after ...string) *schema.Step {
	return &schema.Step{Name: name, Tasks: tasks, CoresMilli: cores, MemoryMb: memory, Dependencies: after, EstimatedRunUs: runUs}
}

// newBounds returns bounds with the given worker lease, stop timeout, checkpoint interval and
// restore delay in milliseconds. The other bounds are the same in all deployments.
func newBounds(leaseMs, stopMs, checkpointMs, restoreMs int64) *schema.Bounds {
	return &schema.Bounds{
		MaxWorkerLeaseUs: leaseMs * 1000, StopTimeoutUs: stopMs * 1000, GangTimeoutUs: 3_000_000, JobRetentionUs: 120_000_000, ConfigApplyUs: 2_000_000, RemoteSlowdownMilli: 1500,
		CheckpointIntervalUs: checkpointMs * 1000, RestoreDelayUs: restoreMs * 1000, HeartbeatIntervalUs: 1_500_000, DrainTimeoutUs: 2_000_000,
	}
}

// All lists the known deployments. They must not be modified.
var All = []*Deployment{
	{
		Name: "bank", SyncUs: 500, WorkerCoresMilli: 64_000, WorkerMemoryMB: 128_000, Gateways: 7, Agents: 11, Workers: 11, StorageNodeCores: 1, GatewayCores: 0.45, AgentCores: 0.25,
		JobTypes: []JobType{
			{"quote", "quotes", 80, 1 / 4.5, "run_us=30000", []*schema.Step{newStep("rates", 4, 500, 256), newStep("sum", 1, 500, 256, "rates")}},
			{"penalty", "penalties", 70, 1 / 3.0, "run_us=40000", []*schema.Step{newStep("terms", 3, 500, 256)}},
			{"schedule", "schedules", 20, 6, "run_us=250000", []*schema.Step{newStep("load", 8, 1000, 1024), newStep("months", 48, 1000, 1024, "load"), newStep("print", 1, 1000, 2048, "months")}},
		},
		MaxAttempts: 4, Bounds: newBounds(10_000, 900, 1000, 250), Tenants: newTenants(11*64_000, 11*128_000),
		// Half of the jobs in the queue quotes have a second step, and so do three in ten of the
		// jobs in the queue schedules.
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

// Find returns the deployment with a name. If there is none, the error lists the known names.
func Find(name string) (*Deployment, error) {
	var names []string
	for _, d := range All {
		if d.Name == name {
			return d, nil
		}
		names = append(names, d.Name)
	}
	return nil, fmt.Errorf("profile: %q is not a known deployment: use one of %s", name, strings.Join(names, ", "))
}

// ConfigRows returns the configuration rows of the deployment's workers and queues.
func (d *Deployment) ConfigRows() []*schema.ConfigurationRow {
	rows := []*schema.ConfigurationRow{
		{Kind: "fleet", Key: "worker_cores_milli", Value: fmt.Sprint(d.WorkerCoresMilli)},
		{Kind: "fleet", Key: "worker_memory_mb", Value: fmt.Sprint(d.WorkerMemoryMB)},
	}
	for _, jobType := range d.JobTypes {
		rows = append(rows, &schema.ConfigurationRow{Kind: "queue", Name: jobType.Queue, Key: "urgency", Value: fmt.Sprint(jobType.Urgency)})
	}
	return rows
}
