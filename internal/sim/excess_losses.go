package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
)

// Losses of storage nodes may also overlap beyond what is tolerated, as long as no more
// disks are lost: service may rest until a recovery after all are back, and nothing that was
// acknowledged may be lost or shown in an older state. Schedules with such losses are played
// apart from the others, since their runs are judged by the outages that they cause.

const (
	outageCheckInterval = 20 * eventloop.Millisecond
	excessRounds        = 2
	excessLosses        = 3                     // of storage nodes, in a round
	excessOthers        = 1                     // faults of other kinds, in a round
	excessRoundInterval = 25 * eventloop.Second // a round's outage and its recovery
	excessRoundSpread   = 3 * eventloop.Second  // in which the faults of a round begin
)

// diskLosses are the faults by which a storage node's disk is lost; no schedule has two.
var diskLosses = []string{"wipe", "ackwipe", "replace", "succeed", "closewipe"}

// excludedFromExcess are faults that aren't drawn for excessive schedules: a start by the
// wall clock may come early while two of three clocks are wrong, or one is and another
// storage node is away (docs/limits.md).
var excludedFromExcess = []string{"clock", "clocks"}

// CheckExcess returns what makes a schedule impossible for a fleet even if losses may exceed
// what is tolerated: unknown kinds or targets, or two lost disks.
func (s Schedule) CheckExcess(spec FleetSpec) error {
	disk := -1
	for k, fault := range s {
		if err := fault.check(spec); err != nil {
			return fmt.Errorf("faults[%d]: %w", k, err)
		}
		if slices.Contains(diskLosses, fault.Kind) {
			if disk >= 0 {
				return fmt.Errorf("faults[%d]: %v is the second lost disk after %v (faults[%d])", k, fault, s[disk], disk)
			}
			disk = k
		}
		for n, other := range s[:k] {
			if fault.Target == other.Target && fault.Target != "all" && fault.overlaps(other) {
				return fmt.Errorf("faults[%d]: %v strikes what %v (faults[%d]) has struck already", k, fault, other, n)
			}
		}
	}
	return nil
}

// ParseExcessiveSchedule is ParseSchedule with CheckExcess in place of Check.
func ParseExcessiveSchedule(text string, spec FleetSpec) (Schedule, error) {
	list, err := parseFaults(text)
	if err != nil {
		return nil, err
	}
	return list, list.CheckExcess(spec)
}

// ExcessScenario makes a scenario of a schedule whose losses may exceed what is tolerated.
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

// ExcessiveSchedule draws losses of storage nodes that overlap, with a fault of another kind
// among them, twice, and a last one that ends everything.
func ExcessiveSchedule(seed uint64, spec FleetSpec) Schedule {
	d := &overlapDraw{spec: spec, rng: rand.New(rand.NewPCG(seed, 0xe8ce)), check: Schedule.CheckExcess, spread: excessRoundSpread, repeatsKinds: true}
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

// trackOutages records when more storage nodes are away than may be lost, and when all are
// back.
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

// unavailableStorageNodes counts the storage nodes that aren't among the largest set of
// those that serve, write, and reach each other both ways.
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

// presentStorageNodes are the storage nodes, of a machine and its successors the last one.
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
