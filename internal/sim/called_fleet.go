package sim

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/deployments"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Fleets with called workers have two pools. Workers of the main pool accept every task;
// workers of the far pool reject tasks that exceed their capacity.
const (
	mainPool = "main"
	farPool  = "far"
)

// checkpointedRunTime is the estimated run time above which the tasks of a deployment save
// checkpoints.
const checkpointedRunTime = 3 * eventloop.Second

// SmallCalledFleet is the small fleet with called workers.
var SmallCalledFleet = FleetSpec{
	Name: "small-called", Gateways: 5, AgentNodes: 6, Workers: 6, WorkersPerRack: 2, Cores: 8000, Memory: 16000,
	JobKinds: CalledJobKinds(), ConfigurationRows: CalledConfigurationRows,
	Bounds: &schema.Bounds{
		MaxWorkerLeaseUs: int64(6 * eventloop.Second), StopTimeoutUs: int64(400 * eventloop.Millisecond), GangTimeoutUs: int64(3 * eventloop.Second), JobRetentionUs: int64(120 * eventloop.Second),
		ConfigApplyUs: int64(2 * eventloop.Second), RemoteSlowdownMilli: 1500, CheckpointIntervalUs: int64(300 * eventloop.Millisecond), RestoreDelayUs: int64(50 * eventloop.Millisecond),
		HeartbeatIntervalUs: int64(1500 * eventloop.Millisecond), DrainTimeoutUs: int64(2 * eventloop.Second),
	},
}

// CalledDeploymentSpec returns the fleet of a deployment with called workers and the load of
// its own clients. CalledJobKinds, which exercise the rules that this load doesn't, are added
// at a low rate.
func CalledDeploymentSpec(d *deployments.Deployment) FleetSpec {
	spec := DeploymentSpec(d)
	spec.Name, spec.JobKinds, spec.Bounds = d.Name+"-called", nil, d.Bounds
	for _, k := range d.CalledJobTypes {
		steps := make([]*schema.Step, len(k.Steps))
		for n, step := range k.Steps {
			steps[n] = proto.Clone(step).(*schema.Step)
			steps[n].Checkpoints = step.EstimatedRunUs > int64(checkpointedRunTime)
		}
		spec.JobKinds = append(spec.JobKinds, JobKind{
			Name: k.Name, Queue: k.Queue, Interval: eventloop.Micros(k.MeanInterval * float64(eventloop.Second)), Attempts: d.MaxAttempts, Job: newJob(k.Text, steps...),
		})
	}
	spec.JobKinds = append(spec.JobKinds, makeRarer(CalledJobKinds())...)
	spec.ConfigurationRows = func(urgency int) []*schema.ConfigurationRow {
		rows := append(d.ConfigRows(), CalledConfigurationRows(urgency)...)
		for _, k := range d.JobTypes {
			rows = append(rows, &schema.ConfigurationRow{Kind: "queue", Name: k.Queue, Key: "attempts", Value: fmt.Sprint(d.MaxAttempts)})
		}
		return rows
	}
	return spec
}

// SharedDeploymentSpec returns the fleet of a deployment with called workers that several
// tenants share.
func SharedDeploymentSpec(d *deployments.Deployment) FleetSpec {
	return sharedFleet(CalledDeploymentSpec(d), d.Tenants)
}

// addCalledWorkers adds a worker to each of the first agent nodes, as many as the spec has. If
// there are more than four workers, the last two belong to the far pool.
func (f *Fleet) addCalledWorkers() {
	f.bounds, f.usesVersions = f.Spec.Bounds, true
	for k := range f.Spec.Workers {
		h := f.agentNodes[k]
		worker := &CalledWorker{
			machine: h.Name, zone: h.Zone, rack: fmt.Sprintf("r%d", k/f.Spec.WorkersPerRack),
			cores: f.Spec.Cores, memory: f.Spec.Memory, accelerators: 1, pool: mainPool,
		}
		worker.labels = []string{"a", worker.rack}
		if k%4 == 3 {
			worker.labels[0] = "b"
		}
		if f.Spec.Workers > 4 && k >= f.Spec.Workers-2 {
			worker.pool = farPool
		}
		f.Workers = append(f.Workers, f.AddCalledWorker(worker))
		f.After(eventloop.Second, worker.Start)
	}
}
