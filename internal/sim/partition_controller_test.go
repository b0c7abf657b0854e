package sim

import (
	"fmt"
	"slices"
	"testing"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
)

const (
	supersededTimeout = 6 * eventloop.Second // a controller that is cut off has a successor by then
	servedTimeout     = 6 * eventloop.Second // and its machine's worker has work again, after the cut
)

// partitionController plays one cut of the controller's machine, where a worker's agent runs as
// well, while the fleet is at work; the judge looks at everything that ran.
func partitionController(seed uint64, kind int) (problems []string) {
	size := SmallCalledFleet
	// A light load, with work for either pool's workers.
	kinds := size.JobKinds
	size.JobKinds = slices.DeleteFunc(slices.Clone(kinds), func(k JobKind) bool {
		at := slices.IndexFunc(kinds, func(each JobKind) bool { return each.Name == k.Name && each.Queue == k.Queue })
		return at >= 4 && k.Queue != "far"
	})
	f := NewFleet(seed, size, ReliableNetwork, 500, 30*eventloop.Second)
	f.BuffersWhilePartitioned = (uint64(kind)+seed)%2 == 0
	f.Run(f.LoadStart + 3*eventloop.Second)
	r := &partitionRun{Simulation: f.Simulation, host: f.controllerHost()}
	side := []*Host{r.host, f.disklessGateways[0], r.voter("follower")}
	r.host.Seeds = nil
	for _, h := range side {
		r.host.Seeds = append(r.host.Seeds, h.Address)
	}
	worker := f.calledWorkers[r.host.machineName()]
	old := r.host.ID
	f.RecordFault("%s cut off, %s", r.host.Name, partitionKinds[kind].name)
	partitionKinds[kind].apply(r, side, true)
	if partitionKinds[kind].restarts {
		f.After(3*eventloop.Second, r.host.Kill)
		f.After(3500*eventloop.Millisecond, r.host.Start)
	}
	f.Run(f.Now + supersededTimeout)
	if view := r.voter("leader").StateView(); view.Controller == old {
		problems = append(problems, "its lease was given to nobody else")
	}
	f.Run(f.Now + partitionPeriod - supersededTimeout)
	partitionKinds[kind].apply(r, side, false)
	mended := f.Now
	for _, breach := range f.Finish() {
		problems = append(problems, fmt.Sprint(breach))
	}
	isBegun := slices.ContainsFunc(f.History, func(e checker.Event) bool {
		return e.Kind == checker.TaskStart && e.Actor == worker.Name() && e.At > mended && e.At < mended+servedTimeout
	})
	if !isBegun {
		problems = append(problems, "its worker got no work after the cut")
	}
	return problems
}

func TestPartitionedController(t *testing.T) {
	for kind := range partitionKinds {
		for k := range *seeds {
			seed := *firstSeed + uint64(k)
			t.Run(fmt.Sprintf("%s/%d", partitionKinds[kind].name, seed), func(t *testing.T) {
				t.Parallel()
				problems := partitionController(seed, kind)
				for _, each := range problems[:min(len(problems), 12)] {
					t.Error(each)
				}
			})
		}
	}
}
