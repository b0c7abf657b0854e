package sim

import (
	"slices"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
)

// Scenario is a fault, or several, injected into a fleet during its load.
type Scenario struct {
	Name      string
	Network   NetworkProfile
	SyncDelay eventloop.Micros        // of a disk, in µs, unless the fleet's spec has its own
	Duration  eventloop.Micros        // of the load
	Inject    func(f *Fleet)          // schedules the faults; nil: none
	Verify    func(f *Fleet) []string // finds what is wrong at the end besides the rules; nil: nothing to verify
}

// fastSync and slowSync are what a disk's sync takes in most scenarios.
const (
	fastSync = 500 * eventloop.Micros(1)
	slowSync = 5 * eventloop.Millisecond
)

// Scenarios are the faults that fleets of either kind of workers are put through.
var Scenarios = slices.Concat(leaderScenarios, storageScenarios, controlScenarios, workerScenarios, loadScenarios, logScenarios)

// everyAgentNodeGone is a scenario that no fleet with called workers can be put through:
// nobody can call a worker for so long.
//
// The names of scenarios and faults are keys of seeds, pages and commands, and stay. In
// them a side machine is an agent node, a front a gateway, and a disk machine a storage
// node.
const everyAgentNodeGone = "every side machine gone"

// ScenariosFor lists the scenarios that a fleet can be put through.
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

// RunScenario runs a scenario on a fleet, with a seed. It gives the fleet as it is at the
// end, the rules that were broken, and what the scenario's own verification found.
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

// atLoad schedules a call some time after the load's start.
func (f *Fleet) atLoad(at eventloop.Micros, call func()) { f.At(f.LoadStart+at, call) }

// atLeader calls with the leader of the moment, some time after the load's start; where
// there is none then, as soon as there is one.
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

// killLeaderAt kills the leader of the moment, some time after the load's start.
func (f *Fleet) killLeaderAt(at, downtime eventloop.Micros) {
	f.atLeader(at, func(leader *Host) { f.kill(leader, downtime) })
}

// controllerHost is the agent node whose controller holds the lease; the first one if none
// is known to.
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

// newestHost is the machine that was added last.
func (f *Fleet) newestHost() *Host { return f.Hosts[len(f.Hosts)-1] }

// busiestWorker is the worker on which most tasks run now: losing one that has none would
// show nothing.
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
