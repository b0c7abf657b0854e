package sim

import (
	"slices"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
)

// Scenario describes a run of a fleet under load and the faults that are injected into it.
type Scenario struct {
	Name      string
	Network   NetworkProfile
	SyncDelay eventloop.Micros        // duration of a disk sync, in µs; FleetSpec.SyncDelay overrides it unless that is 0
	Duration  eventloop.Micros        // duration of the load, in µs
	Inject    func(f *Fleet)          // schedules the faults; nil if there are none
	Verify    func(f *Fleet) []string // returns the problems at the end of the run that the checker's rules don't cover; nil if there is nothing to verify
}

// fastSync and slowSync are the durations of a disk sync in most scenarios.
const (
	fastSync = 500 * eventloop.Micros(1)
	slowSync = 5 * eventloop.Millisecond
)

// Scenarios lists the scenarios for fleets with polling workers. They also run on fleets with
// called workers, except everyAgentNodeGone.
var Scenarios = slices.Concat(leaderScenarios, storageScenarios, controlScenarios, workerScenarios, loadScenarios, logScenarios)

// everyAgentNodeGone names the scenario that can't run on a fleet with called workers: all
// agent nodes are down for so long that no worker can be called in time.
//
// The names of scenarios and faults identify them in lists of seeds, in documentation and on
// the command line, so they don't change. In these names a side machine is an agent node, a
// front is a gateway, and a disk machine is a storage node.
const everyAgentNodeGone = "every side machine gone"

// ScenariosFor returns the scenarios that can run on a fleet with this spec.
func ScenariosFor(spec FleetSpec) []Scenario {
	if !spec.HasCalledWorkers() {
		return slices.Concat(Scenarios, DiskScenarios)
	}
	if len(spec.Tenants) > 0 {
		return slices.Concat(KeyScenarios, QuotaScenarios)
	}
	list := slices.DeleteFunc(slices.Clone(Scenarios), func(s Scenario) bool { return s.Name == everyAgentNodeGone })
	return slices.Concat(list, CalledScenarios, DiskScenarios)
}

// RunScenario runs a scenario on a new fleet with the given seed. It returns the fleet in its
// final state, the violations of the checker's rules, and the problems that the scenario's
// Verify function found.
func RunScenario(s Scenario, spec FleetSpec, seed uint64) (*Fleet, []checker.Violation, []string) {
	f := NewFleet(seed, spec, s.Network, s.SyncDelay, s.Duration)
	if s.Inject != nil {
		s.Inject(f)
	}
	violations := f.Finish()
	var problems []string
	if s.Verify != nil {
		problems = s.Verify(f)
	}
	return f, violations, problems
}

// atLoad schedules a call at the given time after the load's start.
func (f *Fleet) atLoad(at eventloop.Micros, call func()) { f.At(f.LoadStart+at, call) }

// atLeader schedules a call with the current leader at the given time after the load's start.
// If there is no leader at that time, it tries again every 200 ms.
func (f *Fleet) atLeader(at eventloop.Micros, call func(leader *Host)) {
	f.atLoad(at, func() {
		leader := f.Leader()
		if leader == nil {
			f.atLeader(f.Now-f.LoadStart+200*eventloop.Millisecond, call)
			return
		}
		call(leader)
	})
}

// killLeaderAt kills the current leader at the given time after the load's start, and starts
// it again after the downtime.
func (f *Fleet) killLeaderAt(at, downtime eventloop.Micros) {
	f.atLeader(at, func(leader *Host) { f.kill(leader, downtime) })
}

// controllerHost returns the agent node whose controller holds the controller lease, or the
// first agent node if no fresh cluster state names a holder that is up.
func (f *Fleet) controllerHost() *Host {
	for _, node := range f.StorageNodes() {
		view := node.StateView()
		if view == nil || !view.IsClusterStateFresh {
			continue
		}
		for _, h := range f.Hosts {
			if h.ID == view.Controller && h.IsUp {
				return h
			}
		}
	}
	return f.agentNodes[0]
}

// newestHost returns the machine that was added last.
func (f *Fleet) newestHost() *Host { return f.Hosts[len(f.Hosts)-1] }

// busiestWorker returns the worker that runs the most tasks now. Losing a worker that runs no
// task would test nothing.
func (f *Fleet) busiestWorker() Worker {
	running := map[string]int{}
	for _, e := range f.History {
		switch e.Kind {
		case checker.TaskStart:
			running[e.Actor]++
		case checker.TaskEnd:
			running[e.Actor]--
		}
	}
	busiest := f.Workers[0]
	for _, worker := range f.Workers[1:] {
		if running[worker.Name()] > running[busiest.Name()] {
			busiest = worker
		}
	}
	return busiest
}
