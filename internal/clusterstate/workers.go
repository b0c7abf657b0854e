package clusterstate

import (
	"slices"
	"strings"

	"sparnotch/internal/schema"
)

// FindWorkerLease returns the lease of a worker, or nil if it has none. It relies on the
// worker leases of a state being sorted by worker.
func FindWorkerLease(state *schema.ClusterState, worker string) *schema.WorkerLease {
	leases := state.GetWorkerLeases()
	if at, found := searchWorkerLease(leases, worker); found {
		return leases[at]
	}
	return nil
}

// searchWorkerLease returns the index of a worker's lease, or the index to insert it at if it
// isn't found.
func searchWorkerLease(leases []*schema.WorkerLease, worker string) (at int, found bool) {
	return slices.BinarySearchFunc(leases, worker, func(l *schema.WorkerLease, name string) int { return strings.Compare(l.Worker, name) })
}

// assignWorkers applies the controller's decision to give worker leases to schedulers. A
// lease that moves to another scheduler gets a new fencing token.
func (m *StateMachine) assignWorkers(command *schema.AssignWorkers) *Result {
	if !m.HoldsControllerLease(command.FencingToken) {
		return staleTokenResult()
	}
	for _, wanted := range command.WorkerLeases {
		lease := FindWorkerLease(m.state, wanted.Worker)
		switch {
		case lease == nil:
			m.insertWorkerLease(wanted.Worker, wanted.Scheduler)
		case lease.Scheduler != wanted.Scheduler:
			m.changed = true
			lease.Scheduler, lease.FencingToken = wanted.Scheduler, m.nextToken()
		}
	}
	return succeeded()
}

// registerWorker gives the lease of a new worker to the scheduler that holds the most worker
// leases, so that the worker can be used before a controller assigns it.
func (m *StateMachine) registerWorker(worker string) *Result {
	if FindWorkerLease(m.state, worker) != nil {
		return succeeded()
	}
	counts := map[string]int{}
	scheduler := ""
	for _, lease := range m.state.WorkerLeases {
		counts[lease.Scheduler]++
		if lease.Scheduler != "" && (scheduler == "" || counts[lease.Scheduler] > counts[scheduler]) {
			scheduler = lease.Scheduler
		}
	}
	m.insertWorkerLease(worker, scheduler)
	return succeeded()
}

// insertWorkerLease adds a lease with a new fencing token at its place in the sorted list.
func (m *StateMachine) insertWorkerLease(worker, scheduler string) {
	m.changed = true
	lease := &schema.WorkerLease{Worker: worker, Scheduler: scheduler, FencingToken: m.nextToken()}
	at, _ := searchWorkerLease(m.state.WorkerLeases, worker)
	m.state.WorkerLeases = slices.Insert(m.state.WorkerLeases, at, lease)
}
