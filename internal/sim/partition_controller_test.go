package sim

import (
	"fmt"
	"slices"
	"testing"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
)

const (
	supersededTimeout = 6 * eventloop.Second // time within which a partitioned controller must have a successor
	servedTimeout     = 6 * eventloop.Second // time after the healing within which the worker on the controller's machine must have work again
)

// partitionController runs one kind of partition of the controller's machine, on which a worker's
// agent runs as well, while the fleet is under load. It returns the problems that it and the
// checker find in the whole history.
func partitionController(seed uint64, kindIndex int) (problems []string) {
	kind := partitionKinds[kindIndex]
	spec := SmallCalledFleet
	// The load is light, but has jobs for the workers of both pools.
	kinds := spec.JobKinds
	spec.JobKinds = slices.DeleteFunc(slices.Clone(kinds), func(k JobKind) bool {
		at := slices.IndexFunc(kinds, func(other JobKind) bool { return other.Name == k.Name && other.Queue == k.Queue })
		return at >= 4 && k.Queue != "far"
	})
	f := NewFleet(seed, spec, ReliableNetwork, fastSync, 30*eventloop.Second)
	f.BuffersWhilePartitioned = (uint64(kindIndex)+seed)%2 == 0
	f.Run(f.LoadStart + 3*eventloop.Second)
	r := &partitionRun{Simulation: f.Simulation, host: f.controllerHost()}
	side := []*Host{r.host, f.disklessGateways[0], r.voter("follower")}
	r.host.Seeds = nil
	for _, h := range side {
		r.host.Seeds = append(r.host.Seeds, h.Address)
	}
	worker := f.calledWorkers[r.host.machineName()]
	oldProcessID := r.host.ID
	f.RecordFault("%s cut off, %s", r.host.Name, kind.name)
	kind.apply(r, side, true)
	if kind.restarts {
		f.After(3*eventloop.Second, r.host.Kill)
		f.After(3500*eventloop.Millisecond, r.host.Start)
	}
	f.Run(f.Now + supersededTimeout)
	if view := r.voter("leader").StateView(); view.Controller == oldProcessID {
		problems = append(problems, "the partitioned controller still has the controller lease")
	}
	f.Run(f.Now + partitionPeriod - supersededTimeout)
	kind.apply(r, side, false)
	healedAt := f.Now
	for _, violation := range f.Finish() {
		problems = append(problems, violation.String())
	}
	isServed := slices.ContainsFunc(f.History, func(e checker.Event) bool {
		return e.Kind == checker.TaskStart && e.Actor == worker.Name() && e.At > healedAt && e.At < healedAt+servedTimeout
	})
	if !isServed {
		problems = append(problems, "the worker on the controller's machine got no work after the healing")
	}
	return problems
}

func TestPartitionedController(t *testing.T) {
	for kindIndex, kind := range partitionKinds {
		for k := range *seeds {
			seed := *firstSeed + uint64(k)
			t.Run(fmt.Sprintf("%s/%d", kind.name, seed), func(t *testing.T) {
				t.Parallel()
				problems := partitionController(seed, kindIndex)
				for _, problem := range problems[:min(len(problems), 12)] {
					t.Error(problem)
				}
			})
		}
	}
}
