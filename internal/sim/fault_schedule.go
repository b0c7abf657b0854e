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
	loadAfterFaults  = 15 * eventloop.Second // how long a schedule's load goes on after its last fault
	randomCandidates = 100                   // faults that are drawn, at most, until one is possible
)

// ScheduledFault is one fault of a schedule.
type ScheduledFault struct {
	Kind     string // of FaultNames
	Target   string // leader, controller, all, or the name of a machine, worker or zone
	Duration eventloop.Micros
	At       eventloop.Micros // after the load's start
}

// String is the form that ParseSchedule takes.
func (s ScheduledFault) String() string {
	return fmt.Sprintf("%s/%s:%v@%v", s.Kind, s.Target, s.Duration.Duration(), s.At.Duration())
}

// isStorageLoss reports whether the fault may take a storage node away.
func (s ScheduledFault) isStorageLoss() bool {
	return faultActions[s.Kind].isLoss && isStorageTarget(s.Target)
}

// recoveredAt is when what the fault took away has been back for long enough.
func (s ScheduledFault) recoveredAt(spacing lossSpacing) eventloop.Micros {
	switch s.Kind {
	case "replace":
		return s.At + spacing.afterReplacement
	case "succeed":
		return s.At + spacing.afterPlannedLeave
	}
	return s.At + s.Duration + spacing.afterReturn
}

// overlaps reports whether the fault strikes when another still lasts, or the other way
// round, with less than a second between them.
func (s ScheduledFault) overlaps(other ScheduledFault) bool {
	return s.At < other.At+other.Duration+eventloop.Second && other.At < s.At+s.Duration+eventloop.Second
}

// lossSpacing is how long after one loss of a storage node the next may come.
type lossSpacing struct {
	afterReturn       eventloop.Micros // of a node that was down
	afterReplacement  eventloop.Micros // of a node that is lost for good, from its loss on
	afterPlannedLeave eventloop.Micros // of a node that is told to leave for a successor, from then on
}

// catchUpPeriod is what the users' platform grants a storage node that is back, or a
// successor that has started, before the next may be lost.
const catchUpPeriod = 4 * eventloop.Second

var (
	// minSpacing is the closest that must be survived. Each includes a second for an
	// acknowledgement to come and a draining process to end; a successor starts 3 s after a
	// loss, and a node that leaves for one is gone after 7 s.
	minSpacing = lossSpacing{
		afterReturn:       catchUpPeriod + eventloop.Second,
		afterReplacement:  replacementDelay + catchUpPeriod,
		afterPlannedLeave: 7*eventloop.Second + catchUpPeriod,
	}
	// wideSpacing is that of schedules that are drawn at random.
	wideSpacing = lossSpacing{
		afterReturn:       12 * eventloop.Second,
		afterReplacement:  30 * eventloop.Second,
		afterPlannedLeave: 30 * eventloop.Second,
	}
)

// Schedule is faults that may overlap.
type Schedule []ScheduledFault

// String is the form that ParseSchedule takes.
func (s Schedule) String() string {
	parts := make([]string, len(s))
	for k, fault := range s {
		parts[k] = fault.String()
	}
	return strings.Join(parts, ",")
}

// ParseSchedule reads faults as KIND/TARGET:DURATION@TIME, joined by commas, and checks
// them for a fleet. Errors name the fault by its index.
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
			return nil, fmt.Errorf("faults[%d]: %q is not KIND/TARGET:DURATION@TIME, as kill/leader:3s@5s", k, part)
		}
		list = append(list, ScheduledFault{kind, target, eventloop.Micros(length.Microseconds()), eventloop.Micros(moment.Microseconds())})
	}
	return list, nil
}

// Check returns what makes a schedule impossible for a fleet: unknown kinds or targets, or
// more losses at once than can be survived.
func (s Schedule) Check(spec FleetSpec) error { return s.check(spec, minSpacing) }

func (s Schedule) check(spec FleetSpec, spacing lossSpacing) error {
	for k, fault := range s {
		if err := fault.check(spec); err != nil {
			return fmt.Errorf("faults[%d]: %w", k, err)
		}
		for n, other := range s[:k] {
			if fault.isStorageLoss() && other.isStorageLoss() && fault.At < other.recoveredAt(spacing) && other.At < fault.recoveredAt(spacing) {
				return fmt.Errorf("faults[%d]: %v and %v (faults[%d]) may take two of three disk machines away at once, which nothing can survive", k, fault, other, n)
			}
			if fault.Target == other.Target && fault.Target != "all" && fault.overlaps(other) {
				return fmt.Errorf("faults[%d]: %v strikes what %v (faults[%d]) has struck already", k, fault, other, n)
			}
		}
	}
	return nil
}

// check returns what makes a fault impossible for a fleet by itself.
func (s ScheduledFault) check(spec FleetSpec) error {
	action, known := faultActions[s.Kind]
	if !known {
		return fmt.Errorf("there is no fault %q", s.Kind)
	}
	if !slices.Contains(action.targetNames(spec), s.Target) {
		return fmt.Errorf("%s can't strike %q", s.Kind, s.Target)
	}
	if s.Duration < 0 || s.At < 0 || s.Duration > maxFaultDuration {
		return fmt.Errorf("%v: spans lie between 0 and 60 s, times at 0 or later", s)
	}
	return nil
}

// Scenario makes a scenario of a schedule.
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

// Shrink leaves faults out as long as the same rule is still broken.
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

// RandomSchedule draws faults that may overlap but can be survived.
func RandomSchedule(seed uint64, spec FleetSpec) Schedule {
	rng := rand.New(rand.NewPCG(seed, 0xfa17))
	// Only the basic kinds, so that a seed goes on standing for the same schedule.
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

// possibleKinds are the kinds of faults that have a target on a fleet.
func possibleKinds(kinds []string, spec FleetSpec) []string {
	return slices.DeleteFunc(kinds, func(kind string) bool { return len(faultActions[kind].targetNames(spec)) == 0 })
}

// closingFaults are the kinds of faults that an overlapping schedule ends with.
var closingFaults = []string{"closepower", "closekill", "closewipe"}

const (
	overlapRounds = 2
	overlapFaults = 3                    // of a round
	firstRoundAt  = 3 * eventloop.Second // after the load's start
	roundInterval = 20 * eventloop.Second
	roundSpread   = 2 * eventloop.Second // in which the faults of a round begin
)

// OverlappingSchedule draws three faults of any kinds that overlap, twice, and one that
// ends everything right after an acknowledgement. No kind comes twice.
func OverlappingSchedule(seed uint64, spec FleetSpec) Schedule {
	d := &overlapDraw{spec: spec, rng: rand.New(rand.NewPCG(seed, 0x3a7)), check: Schedule.Check, spread: roundSpread}
	kinds := possibleKinds(FaultNames(), spec)
	kinds = slices.DeleteFunc(kinds, func(kind string) bool { return slices.Contains(closingFaults, kind) })
	for round := range eventloop.Micros(overlapRounds) {
		for range overlapFaults {
			d.add(kinds, firstRoundAt+round*roundInterval)
		}
	}
	// The last fault takes everything, so all must be back by then.
	end := firstRoundAt + overlapRounds*roundInterval
	for _, fault := range d.list {
		if fault.isStorageLoss() {
			end = max(end, fault.recoveredAt(minSpacing))
		}
	}
	d.add(closingFaults, end)
	return d.list
}

// overlapDraw draws an overlapping schedule.
type overlapDraw struct {
	spec         FleetSpec
	rng          *rand.Rand
	check        func(Schedule, FleetSpec) error
	spread       eventloop.Micros // in which the faults of a round begin
	repeatsKinds bool
	list         Schedule
}

// add draws faults until one is possible beside those that the schedule has.
func (d *overlapDraw) add(kinds []string, from eventloop.Micros) {
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
