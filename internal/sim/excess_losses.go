package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
)

// This file contains schedules in which more storage nodes are lost at once than a deployment
// tolerates, though no more than one disk. Service may then be interrupted until all nodes have
// returned and recovered, but no acknowledged change may be lost or appear in an older state.
// These schedules are separate from the others, because the check of their histories takes
// the recorded outages into account.

const (
	outageCheckInterval = 20 * eventloop.Millisecond
	excessRounds        = 2
	excessLosses        = 3                     // losses of storage nodes in a round
	excessOthers        = 1                     // faults of other kinds in a round
	excessRoundInterval = 25 * eventloop.Second // covers the outage of a round and the recovery from it
	excessRoundSpread   = 3 * eventloop.Second  // period in which the faults of a round begin
)

// diskLosses lists the kinds of faults that lose a storage node's disk. An excessive schedule
// has at most one of them.
var diskLosses = []string{"wipe", "ackwipe", "replace", "succeed", "closewipe"}

// excludedFromExcess lists kinds of faults that aren't drawn for excessive schedules. A job
// with a wall time as its start may start early while two of three clocks are wrong, or while
// one clock is wrong and another storage node is unavailable (docs/limits.md).
var excludedFromExcess = []string{"clock", "clocks"}

// CheckExcess returns an error if a schedule is impossible for a fleet even though losses may
// exceed the tolerated ones: if it has unknown kinds or targets, loses two disks, or has two
// faults on the same target at the same time.
func (s Schedule) CheckExcess(spec FleetSpec) error {
	disk := -1
	for k, fault := range s {
		if err := fault.check(spec); err != nil {
			return fmt.Errorf("faults[%d]: %w", k, err)
		}
		if slices.Contains(diskLosses, fault.Kind) {
			if disk >= 0 {
				return fmt.Errorf("faults[%d]: %v loses a second disk after %v (faults[%d])", k, fault, s[disk], disk)
			}
			disk = k
		}
		for n, other := range s[:k] {
			if fault.Target == other.Target && fault.Target != "all" && fault.overlaps(other) {
				return fmt.Errorf("faults[%d]: %v strikes a target that %v (faults[%d]) has already struck", k, fault, other, n)
			}
		}
	}
	return nil
}

// ParseExcessiveSchedule parses a schedule as ParseSchedule does, but checks it with
// CheckExcess.
func ParseExcessiveSchedule(text string, spec FleetSpec) (Schedule, error) {
	list, err := parseFaults(text)
	if err != nil {
		return nil, err
	}
	return list, list.CheckExcess(spec)
}

// ExcessScenario returns a scenario that injects the faults of a schedule whose losses may
// exceed the tolerated ones, and that records the outages.
func (s Schedule) ExcessScenario() Scenario {
	scenario := s.Scenario()
	inject := scenario.Inject
	scenario.Name, scenario.Duration = "excessive schedule", scenario.Duration+checker.CalledWorkerTolerances.Recovery
	scenario.Inject = func(f *Fleet) {
		f.trackOutages(false)
		inject(f)
	}
	return scenario
}

// ExcessiveSchedule draws a schedule of two rounds, each with overlapping losses of storage
// nodes and a fault of another kind, followed by a fault that ends every process.
func ExcessiveSchedule(seed uint64, spec FleetSpec) Schedule {
	d := &overlapGenerator{spec: spec, rng: rand.New(rand.NewPCG(seed, 0xe8ce)), check: Schedule.CheckExcess, spread: excessRoundSpread, repeatsKinds: true}
	var losses, others []string
	for _, kind := range possibleKinds(FaultNames(), spec) {
		switch action := faultActions[kind]; {
		case slices.Contains(closingFaults, kind) || slices.Contains(excludedFromExcess, kind):
		case action.isLoss && slices.ContainsFunc(action.targetNames(spec), isStorageTarget):
			losses = append(losses, kind)
		default:
			others = append(others, kind)
		}
	}
	for round := range eventloop.Micros(excessRounds) {
		at := firstRoundAt + round*excessRoundInterval
		for range excessLosses {
			d.add(losses, at)
		}
		for range excessOthers {
			d.add(others, at)
		}
	}
	d.add(closingFaults, firstRoundAt+excessRounds*excessRoundInterval)
	sort.SliceStable(d.list, func(a, b int) bool { return d.list[a].At < d.list[b].At })
	return d.list
}

// trackOutages periodically checks the storage nodes. It records when more of them are
// unavailable than a deployment tolerates, and when all of them are available again.
func (f *Fleet) trackOutages(isOut bool) {
	switch away := f.unavailableStorageNodes(); {
	case !isOut && away > storageNodes-quorum:
		isOut = true
		f.Record(checker.Event{Kind: checker.QuorumLost})
	case isOut && away == 0:
		isOut = false
		f.Record(checker.Event{Kind: checker.QuorumRestored})
	}
	f.After(outageCheckInterval, func() { f.trackOutages(isOut) })
}

// unavailableStorageNodes returns the number of storage nodes outside the largest set of nodes
// that serve, write, and can reach each other in both directions.
func (f *Fleet) unavailableStorageNodes() int {
	var nodes []*Host
	present := f.presentStorageNodes()
	for _, h := range present {
		if h.isServing() && h.Disk.Fault == (DiskFault{}) && h.StallUntil <= f.Now {
			nodes = append(nodes, h)
		}
	}
	largest := min(len(nodes), 1)
	for subset := 1; subset < 1<<len(nodes); subset++ {
		var members []*Host
		for k, h := range nodes {
			if subset>>k&1 == 1 {
				members = append(members, h)
			}
		}
		if len(members) > largest && f.areConnected(members) {
			largest = len(members)
		}
	}
	return len(present) - largest
}

// presentStorageNodes returns the storage nodes without those that were replaced by a
// successor.
func (f *Fleet) presentStorageNodes() []*Host {
	byMachine := map[string]*Host{}
	for _, h := range f.StorageNodes() {
		byMachine[h.machineName()] = h
	}
	var nodes []*Host
	for _, h := range f.StorageNodes() {
		if byMachine[h.machineName()] == h {
			nodes = append(nodes, h)
		}
	}
	return nodes
}

func (f *Fleet) areConnected(nodes []*Host) bool {
	for k, a := range nodes {
		for _, b := range nodes[:k] {
			if f.isBlocked(a, b) {
				return false
			}
		}
	}
	return true
}
