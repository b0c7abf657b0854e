package sim

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
)

const (
	maxFaultDuration = 60 * eventloop.Second
	loadAfterFaults  = 15 * eventloop.Second // how long the load continues after the last fault of a schedule
	randomCandidates = 100                   // largest number of draws until a fault is possible
)

// ScheduledFault is one fault of a schedule.
type ScheduledFault struct {
	Kind     string // one of FaultNames
	Target   string // leader, controller, all, or the name of a machine, worker or zone
	Duration eventloop.Micros
	At       eventloop.Micros // time since the start of the load
}

// String returns the fault in the format that ParseSchedule reads.
func (s ScheduledFault) String() string {
	return fmt.Sprintf("%s/%s:%v@%v", s.Kind, s.Target, s.Duration.Duration(), s.At.Duration())
}

// isStorageLoss reports whether a storage node may be lost while the fault lasts.
func (s ScheduledFault) isStorageLoss() bool {
	return faultActions[s.Kind].isLoss && isStorageTarget(s.Target)
}

// recoveredAt returns the time, since the start of the load, from which another storage node
// may be lost according to the given spacing.
func (s ScheduledFault) recoveredAt(spacing lossSpacing) eventloop.Micros {
	switch s.Kind {
	case "replace":
		return s.At + spacing.afterReplacement
	case "succeed":
		return s.At + spacing.afterPlannedLeave
	}
	return s.At + s.Duration + spacing.afterReturn
}

// overlaps reports whether two faults last at the same time, or less than a second lies
// between them.
func (s ScheduledFault) overlaps(other ScheduledFault) bool {
	return s.At < other.At+other.Duration+eventloop.Second && other.At < s.At+s.Duration+eventloop.Second
}

// lossSpacing holds the shortest times between the loss of one storage node and the loss of
// the next.
type lossSpacing struct {
	afterReturn       eventloop.Micros // from the end of a fault after which the node returns
	afterReplacement  eventloop.Micros // from the loss of a node that is lost for good
	afterPlannedLeave eventloop.Micros // from the start of a planned replacement by a successor
}

// catchUpPeriod is the time that the users' platform grants a storage node that has returned,
// or a successor that has started, to catch up before the next node may be lost.
const catchUpPeriod = 4 * eventloop.Second

var (
	// minSpacing is the shortest spacing that a deployment must survive. The value after a
	// return includes a second for an acknowledgement to arrive and for a draining process to
	// end. A successor starts 3 s after a loss, and a node that is replaced as planned is gone
	// after 7 s.
	minSpacing = lossSpacing{
		afterReturn:       catchUpPeriod + eventloop.Second,
		afterReplacement:  replacementDelay + catchUpPeriod,
		afterPlannedLeave: 7*eventloop.Second + catchUpPeriod,
	}
	// wideSpacing is the spacing in the schedules that RandomSchedule draws.
	wideSpacing = lossSpacing{
		afterReturn:       12 * eventloop.Second,
		afterReplacement:  30 * eventloop.Second,
		afterPlannedLeave: 30 * eventloop.Second,
	}
)

// Schedule is a list of timed faults that may overlap.
type Schedule []ScheduledFault

// String returns the schedule in the format that ParseSchedule reads.
func (s Schedule) String() string {
	parts := make([]string, len(s))
	for k, fault := range s {
		parts[k] = fault.String()
	}
	return strings.Join(parts, ",")
}

// ParseSchedule parses faults in the format KIND/TARGET:DURATION@TIME, separated by commas,
// and checks that they are possible for a fleet. Errors name the fault by its index.
func ParseSchedule(text string, spec FleetSpec) (Schedule, error) {
	list, err := parseFaults(text)
	if err != nil {
		return nil, err
	}
	return list, list.Check(spec)
}

func parseFaults(text string) (Schedule, error) {
	var list Schedule
	for k, part := range strings.Split(text, ",") {
		kind, rest, hasTarget := strings.Cut(part, "/")
		target, rest, hasDuration := strings.Cut(rest, ":")
		duration, at, hasTime := strings.Cut(rest, "@")
		length, err1 := time.ParseDuration(duration)
		moment, err2 := time.ParseDuration(at)
		if !hasTarget || !hasDuration || !hasTime || err1 != nil || err2 != nil {
			return nil, fmt.Errorf("faults[%d]: %q is not in the format KIND/TARGET:DURATION@TIME, for example kill/leader:3s@5s", k, part)
		}
		list = append(list, ScheduledFault{kind, target, eventloop.Micros(length.Microseconds()), eventloop.Micros(moment.Microseconds())})
	}
	return list, nil
}

// Check returns an error if a schedule is impossible for a fleet: if it has unknown kinds or
// targets, loses more storage nodes at once than a deployment can survive, or has two faults
// on the same target at the same time.
func (s Schedule) Check(spec FleetSpec) error { return s.check(spec, minSpacing) }

func (s Schedule) check(spec FleetSpec, spacing lossSpacing) error {
	for k, fault := range s {
		if err := fault.check(spec); err != nil {
			return fmt.Errorf("faults[%d]: %w", k, err)
		}
		for n, other := range s[:k] {
			if fault.isStorageLoss() && other.isStorageLoss() && fault.At < other.recoveredAt(spacing) && other.At < fault.recoveredAt(spacing) {
				return fmt.Errorf("faults[%d]: %v and %v (faults[%d]) may take two of three disk machines away at once, which no deployment can survive", k, fault, other, n)
			}
			if fault.Target == other.Target && fault.Target != "all" && fault.overlaps(other) {
				return fmt.Errorf("faults[%d]: %v strikes a target that %v (faults[%d]) has already struck", k, fault, other, n)
			}
		}
	}
	return nil
}

// check returns an error if the fault is impossible for a fleet, without regard to other
// faults.
func (s ScheduledFault) check(spec FleetSpec) error {
	action, known := faultActions[s.Kind]
	if !known {
		return fmt.Errorf("there is no fault %q", s.Kind)
	}
	if !slices.Contains(action.targetNames(spec), s.Target) {
		return fmt.Errorf("%s can't strike %q", s.Kind, s.Target)
	}
	if s.Duration < 0 || s.At < 0 || s.Duration > maxFaultDuration {
		return fmt.Errorf("%v: the duration must be between 0 and 60 s, and the time must not be negative", s)
	}
	return nil
}

// Scenario returns a scenario that injects the faults of the schedule.
func (s Schedule) Scenario() Scenario {
	last := eventloop.Micros(0)
	for _, fault := range s {
		last = max(last, fault.At+fault.Duration)
	}
	return Scenario{Name: "schedule", Network: ReliableNetwork, SyncDelay: fastSync, Duration: last + loadAfterFaults, Inject: func(f *Fleet) {
		for _, fault := range s {
			f.atLoad(fault.At, func() { faultActions[fault.Kind].inject(f, fault.Target, fault.Duration) })
		}
	}}
}

// Shrink removes faults from a schedule for as long as the shorter schedule still breaks the
// same rule, and returns the result.
func (s Schedule) Shrink(spec FleetSpec, seed uint64, rule int, scenarioOf func(Schedule) Scenario) Schedule {
	breaksRule := func(trial Schedule) bool {
		_, violations, _ := RunScenario(scenarioOf(trial), spec, seed)
		return slices.ContainsFunc(violations, func(v checker.Violation) bool { return v.Rule == rule })
	}
	for shrunk := true; shrunk; {
		shrunk = false
		for k := range s {
			if trial := slices.Delete(slices.Clone(s), k, k+1); breaksRule(trial) {
				s, shrunk = trial, true
				break
			}
		}
	}
	return s
}

// RandomSchedule draws a schedule of faults that may overlap but that a deployment can
// survive.
func RandomSchedule(seed uint64, spec FleetSpec) Schedule {
	rng := rand.New(rand.NewPCG(seed, 0xfa17))
	// Only basic kinds are drawn, so that new kinds of faults don't change a seed's schedule.
	kinds := possibleKinds(slices.Sorted(maps.Keys(basicFaultActions)), spec)
	var list Schedule
	for count := 3 + rng.IntN(6); len(list) < count; {
		kind := kinds[rng.IntN(len(kinds))]
		targets := faultActions[kind].targetNames(spec)
		fault := ScheduledFault{
			Kind: kind, Target: targets[rng.IntN(len(targets))],
			Duration: eventloop.Micros(1+rng.IntN(12)) * eventloop.Second / 2, At: eventloop.Micros(2+rng.IntN(80)) * eventloop.Second / 2,
		}
		if next := append(slices.Clone(list), fault); next.check(spec, wideSpacing) == nil {
			list = next
		} else if rng.IntN(30) == 0 {
			break
		}
	}
	sort.SliceStable(list, func(a, b int) bool { return list[a].At < list[b].At })
	return list
}

// possibleKinds returns those of the kinds of faults that have a target in a fleet. It
// modifies the given slice.
func possibleKinds(kinds []string, spec FleetSpec) []string {
	return slices.DeleteFunc(kinds, func(kind string) bool { return len(faultActions[kind].targetNames(spec)) == 0 })
}

// closingFaults lists the kinds of faults that may end an overlapping schedule.
var closingFaults = []string{"closepower", "closekill", "closewipe"}

const (
	overlapRounds = 2
	overlapFaults = 3                    // faults of a round
	firstRoundAt  = 3 * eventloop.Second // time since the start of the load
	roundInterval = 20 * eventloop.Second
	roundSpread   = 2 * eventloop.Second // period in which the faults of a round begin
)

// OverlappingSchedule draws a schedule of two rounds of three overlapping faults of any kinds,
// followed by a fault that ends every process right after an acknowledgement. No kind occurs
// twice.
func OverlappingSchedule(seed uint64, spec FleetSpec) Schedule {
	d := &overlapGenerator{spec: spec, rng: rand.New(rand.NewPCG(seed, 0x3a7)), check: Schedule.Check, spread: roundSpread}
	kinds := possibleKinds(FaultNames(), spec)
	kinds = slices.DeleteFunc(kinds, func(kind string) bool { return slices.Contains(closingFaults, kind) })
	for round := range eventloop.Micros(overlapRounds) {
		for range overlapFaults {
			d.add(kinds, firstRoundAt+round*roundInterval)
		}
	}
	// The last fault ends every process, so all lost nodes must have recovered by then.
	end := firstRoundAt + overlapRounds*roundInterval
	for _, fault := range d.list {
		if fault.isStorageLoss() {
			end = max(end, fault.recoveredAt(minSpacing))
		}
	}
	d.add(closingFaults, end)
	return d.list
}

// overlapGenerator generates a schedule of overlapping faults.
type overlapGenerator struct {
	spec         FleetSpec
	rng          *rand.Rand
	check        func(Schedule, FleetSpec) error
	spread       eventloop.Micros // period in which the faults of a round begin
	repeatsKinds bool             // whether a kind of fault may occur more than once
	list         Schedule         // faults drawn so far
}

// add draws faults until one is possible together with those that the schedule already has,
// and appends that one. It gives up after randomCandidates draws.
func (d *overlapGenerator) add(kinds []string, from eventloop.Micros) {
	for range randomCandidates {
		kind := kinds[d.rng.IntN(len(kinds))]
		targets := faultActions[kind].targetNames(d.spec)
		fault := ScheduledFault{
			Kind: kind, Target: targets[d.rng.IntN(len(targets))],
			Duration: eventloop.Micros(2+d.rng.IntN(11)) * eventloop.Second / 2,
			At:       from + eventloop.Micros(d.rng.Int64N(int64(d.spread/eventloop.Millisecond)))*eventloop.Millisecond,
		}
		isKnown := slices.ContainsFunc(d.list, func(other ScheduledFault) bool { return other.Kind == kind })
		if next := append(slices.Clone(d.list), fault); (!isKnown || d.repeatsKinds) && d.check(next, d.spec) == nil {
			d.list = next
			return
		}
	}
}
