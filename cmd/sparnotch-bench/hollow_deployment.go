package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"sparnotch/internal/replica"
)

const (
	readyTimeout     = 90 * time.Second
	readyInterval    = 300 * time.Millisecond // between two checks whether a deployment is ready
	recoveryDuration = 15 * time.Second       // from the kill of the leader to its restart
)

// Requests to the processes of a hollow deployment.
const (
	requestRead  = "read"  // report
	requestReset = "reset" // report, then clear the histograms and start a new profile
)

// hollowDeployment is a running hollow deployment, which hollowConfig explains.
type hollowDeployment struct {
	config    *hollowConfig
	processes []*childProcess
}

// startHollow starts the processes of a deployment: one for each storage and gateway node,
// a few that share the agent nodes, and one for the clients.
func startHollow(config *hollowConfig) (*hollowDeployment, error) {
	d := &hollowDeployment{config: config}
	for k := range storageNodeCount {
		d.processes = append(d.processes, &childProcess{role: roleStorage, first: k, count: 1})
	}
	for k := range config.Gateways {
		d.processes = append(d.processes, &childProcess{role: roleGateway, first: storageNodeCount + k, count: 1})
	}
	count := min(config.AgentProcesses, config.Workers)
	for k := range count {
		first, next := config.Workers*k/count, config.Workers*(k+1)/count
		d.processes = append(d.processes, &childProcess{role: roleAgent, first: first, count: next - first})
	}
	d.processes = append(d.processes, &childProcess{role: roleClient, count: 1})
	for _, p := range d.processes {
		if err := p.start(config); err != nil {
			d.stop()
			return nil, err
		}
	}
	return d, nil
}

// stop kills all processes.
func (d *hollowDeployment) stop() {
	for _, p := range d.processes {
		p.kill()
	}
}

// requestAll sends a request to all processes, one after another, and returns their reports
// in the order of the processes.
func (d *hollowDeployment) requestAll(request string) ([]*processReport, error) {
	reports := make([]*processReport, len(d.processes))
	for k, p := range d.processes {
		report, err := p.request(request)
		if err != nil {
			return nil, err
		}
		reports[k] = report
	}
	return reports, nil
}

// waitUntilReady waits until each queue has a leader, each worker has a lease, and a job
// has been accepted (unless no jobs are submitted). It returns an error after the timeout.
func (d *hollowDeployment) waitUntilReady(ctx context.Context, timeout time.Duration) error {
	last := ""
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline) && ctx.Err() == nil; sleep(ctx, readyInterval) {
		reports, err := d.requestAll(requestRead)
		if err != nil {
			return err
		}
		leaders, leases, accepted := 0, 0, uint64(0)
		for _, report := range reports {
			accepted += report.Accepted
			if report.State != nil {
				leaders += ledQueues(report.State)
				leases = max(leases, leasedWorkers(report.State))
			}
		}
		last = fmt.Sprintf("%d of %d queues have a leader, %d of %d workers have a lease, %d jobs were accepted", leaders, d.config.Queues, leases, d.config.Workers, accepted)
		if leaders >= d.config.Queues && leases >= d.config.Workers && (accepted > 0 || d.config.StartsPerSecond == 0) {
			return nil
		}
	}
	return errors.New("the deployment did not start in time: " + last)
}

// leasedWorkers returns the number of workers whose lease names a scheduler.
func leasedWorkers(state *replica.NodeStateView) int {
	count := 0
	for _, lease := range state.WorkerLeases {
		if lease.Scheduler != "" {
			count++
		}
	}
	return count
}

// measureRecovery kills the node that leads the most queues. It returns the time from the
// kill to the first task start of a job that was submitted after the kill. It starts the
// node again.
func (d *hollowDeployment) measureRecovery(ctx context.Context) (time.Duration, error) {
	reports, err := d.requestAll(requestRead)
	if err != nil {
		return 0, err
	}
	var leader *childProcess
	most := 0
	for k, report := range reports {
		if report.State != nil && ledQueues(report.State) > most {
			leader, most = d.processes[k], ledQueues(report.State)
		}
	}
	if leader == nil {
		return 0, errors.New("the recovery could not be measured: no node leads a queue")
	}
	leader.kill()
	killedAt := time.Now().UnixMicro()
	sleep(ctx, recoveryDuration)
	if err := leader.start(d.config); err != nil {
		return 0, err
	}
	if reports, err = d.requestAll(requestRead); err != nil {
		return 0, err
	}
	first := int64(0)
	for _, report := range reports {
		for _, start := range report.RecentStarts {
			if start.SubmittedAt > killedAt && (first == 0 || start.StartedAt < first) {
				first = start.StartedAt
			}
		}
	}
	if first == 0 {
		return 0, fmt.Errorf("no job that was submitted after the kill had a task start within %v", recoveryDuration)
	}
	return time.Duration(first-killedAt) * time.Microsecond, nil
}

// measurePlan describes how to measure a hollow deployment.
type measurePlan struct {
	warm, span time.Duration // how long it runs before the measurement, and during it
	killLeader bool          // whether to measure the recovery too
}

// runHollow starts a hollow deployment, measures it, stops it and returns the measurements.
func runHollow(ctx context.Context, config hollowConfig, plan measurePlan) ([]measurement, error) {
	folder, err := os.MkdirTemp("", "sparnotch-bench-hollow-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	config.Folder = folder
	deployment, err := startHollow(&config)
	if err != nil {
		return nil, err
	}
	defer deployment.stop()
	startedAt := time.Now()
	if err := deployment.waitUntilReady(ctx, readyTimeout); err != nil {
		return nil, err
	}
	startupTime := time.Since(startedAt)
	sleep(ctx, plan.warm)
	list, err := deployment.measure(ctx, plan.span)
	if err != nil {
		return nil, err
	}
	list = append(list, measurement{roleWhole, "up_ms", float64(startupTime.Milliseconds())})
	if plan.killLeader {
		recovery, err := deployment.measureRecovery(ctx)
		if err != nil {
			return nil, err
		}
		list = append(list, measurement{roleWhole, "recovery_ms", float64(recovery.Milliseconds())})
	}
	return list, nil
}
