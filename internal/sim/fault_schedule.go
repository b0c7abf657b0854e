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
	"sparnotch/internal/schema"
)

// ScheduledFault is one fault of a schedule: what, to whom, for how long, when.
type ScheduledFault struct {
	Kind     string
	Target   string // leader, controller, or a machine's name
	Duration eventloop.Micros
	At       eventloop.Micros // after the load began
}

// String is the form that ParseSchedule takes.
func (s ScheduledFault) String() string {
	return fmt.Sprintf("%s/%s:%v@%v", s.Kind, s.Target, s.Duration.Duration(), s.At.Duration())
}

// Schedule is faults that may overlap.
type Schedule []ScheduledFault

func (s Schedule) String() string {
	parts := make([]string, len(s))
	for k, fault := range s {
		parts[k] = fault.String()
	}
	return strings.Join(parts, ",")
}

// faultAction is a kind of fault: whom it may strike, whether a disk machine that it
// strikes counts as away meanwhile, and what is done.
type faultAction struct {
	targets string // leader, store, lean, side, worker, called, all
	isLoss  bool
	inject  func(f *Fleet, name string, span eventloop.Micros)
}

// lossSpacing is how long after one loss of a disk machine the next may come.
type lossSpacing struct {
	afterReturn       eventloop.Micros // after it is back
	afterReplacement  eventloop.Micros // after it is lost for good
	afterPlannedLeave eventloop.Micros // after it is told to leave for a successor
}

// catchUpPeriod is what the platform grants a machine that is back, or a successor that
// has started, before the next may be lost: the catch-up's bound.
const catchUpPeriod = 4 * eventloop.Second

// Of the closest spacing that is owed, each has a second for an acknowledgement
// to come and a warned process to end; a successor starts 3 s after a loss, and
// who leaves for one is gone after 7 s. Schedules drawn at large keep more apart.
var (
	minSpacing  = lossSpacing{afterReturn: catchUpPeriod + eventloop.Second, afterReplacement: 3*eventloop.Second + catchUpPeriod, afterPlannedLeave: 7*eventloop.Second + catchUpPeriod}
	wideSpacing = lossSpacing{afterReturn: 12 * eventloop.Second, afterReplacement: 30 * eventloop.Second, afterPlannedLeave: 30 * eventloop.Second}
)

// faultActions are all kinds of faults by name.
var faultActions = allFaultActions()

func allFaultActions() map[string]faultAction {
	list := maps.Clone(basicFaultActions)
	maps.Copy(list, platformFaultActions)
	return list
}

var basicFaultActions = map[string]faultAction{
	"kill":    {"leader store lean side", true, func(f *Fleet, n string, duration eventloop.Micros) { f.kill(f.host(n), duration) }},
	"freeze":  {"leader store lean side", true, func(f *Fleet, n string, duration eventloop.Micros) { f.freeze(f.host(n), duration) }},
	"isolate": {"leader store lean side", true, func(f *Fleet, n string, duration eventloop.Micros) { f.isolate(f.host(n), duration) }},
	"mute":    {"leader store lean side", true, func(f *Fleet, n string, duration eventloop.Micros) { f.isolateOneWay(f.host(n), duration, true) }},
	"deaf":    {"leader store lean side", true, func(f *Fleet, n string, duration eventloop.Micros) { f.isolateOneWay(f.host(n), duration, false) }},
	"replace": {"leader store", true, func(f *Fleet, n string, _ eventloop.Micros) { f.replace(f.host(n)) }},
	"warn": {"leader store lean", true, func(f *Fleet, n string, duration eventloop.Micros) {
		h := f.host(n)
		f.RecordFault("%s warned", h.Name)
		h.Drain(duration)
		f.After(duration+eventloop.Second, h.Start)
	}},
	"stall": {"leader store", true, func(f *Fleet, n string, duration eventloop.Micros) {
		h := f.host(n)
		f.RecordFault("the disk of %s stalls", h.Name)
		h.StallUntil = f.Now + duration
	}},
	"slow": {"leader store", false, func(f *Fleet, n string, duration eventloop.Micros) {
		h := f.host(n)
		f.RecordFault("the disk of %s is slow", h.Name)
		usual := h.SyncDelay
		h.SyncDelay = 200 * eventloop.Millisecond
		f.After(duration, func() { h.SyncDelay = usual })
	}},
	"clock": {"store", false, func(f *Fleet, n string, duration eventloop.Micros) {
		for _, other := range f.StorageNodes() {
			other.WallClockOffset = 0
		}
		h := f.host(n)
		h.WallClockOffset = (f.Rng.Int64N(2*6*3600) - 6*3600) * int64(eventloop.Second)
		f.After(duration, func() { h.WallClockOffset = 0 })
	}},
	"split": {"cell", true, func(f *Fleet, n string, duration eventloop.Micros) {
		f.RecordFault("cell %s split off", n)
		side := func(h *Host) bool { return h.Zone == n }
		f.Partition(true, side)
		f.After(duration, func() { f.Partition(false, side) })
	}},
	"crash": {"worker", false, func(f *Fleet, n string, duration eventloop.Micros) {
		w := f.worker(n)
		w.Crash()
		f.After(duration, w.Start)
	}},
	"cut": {"worker", false, func(f *Fleet, n string, duration eventloop.Micros) {
		w := f.worker(n)
		w.SetPartitioned(true)
		f.After(duration, func() { w.SetPartitioned(false) })
	}},
	"sleep": {"worker", false, func(f *Fleet, n string, duration eventloop.Micros) { f.worker(n).Freeze(duration) }},
	"leave": {"worker", false, func(f *Fleet, n string, duration eventloop.Micros) {
		w := f.worker(n)
		w.Drain()
		f.After(duration, func() { w.Crash(); w.Start() })
	}},
	"shrink": {"worker", false, func(f *Fleet, n string, duration eventloop.Micros) {
		// It comes back with a quarter of its room.
		w := f.worker(n)
		w.Crash()
		w.SetCapacity(f.Spec.Cores/4, f.Spec.Memory/4)
		w.Start()
		f.After(duration, func() { w.Crash(); w.SetCapacity(f.Spec.Cores, f.Spec.Memory); w.Start() })
	}},
	"fail": {"worker", false, func(f *Fleet, n string, duration eventloop.Micros) {
		w := f.worker(n)
		if called, isCalled := w.(*CalledWorker); isCalled {
			called.recordUnhealthy()
		}
		w.Habits().FailureRate = 0.6
		f.After(duration, func() { w.Habits().FailureRate = 0 })
	}},
	"late": {"called", false, func(f *Fleet, n string, duration eventloop.Micros) {
		w := f.worker(n).(*CalledWorker)
		w.SetUnhealthy(0, 0.4)
		f.After(duration, func() { w.SetUnhealthy(0, 0) })
	}},
	"refuse": {"called", false, func(f *Fleet, n string, duration eventloop.Micros) {
		w := f.worker(n).(*CalledWorker)
		w.SetUnhealthy(0.5, 0)
		f.After(duration, func() { w.SetUnhealthy(0, 0) })
	}},
	"still": {"called", false, func(f *Fleet, n string, duration eventloop.Micros) {
		w := f.worker(n).(*CalledWorker)
		w.recordUnhealthy()
		w.habits.StallRate = 0.3
		f.After(duration, func() { w.habits.StallRate = 0 })
	}},
	"creep": {"called", false, func(f *Fleet, n string, duration eventloop.Micros) {
		w := f.worker(n).(*CalledWorker)
		w.recordUnhealthy()
		w.habits.Slowdown = 6
		f.After(duration, func() { w.habits.Slowdown = 0 })
	}},
	"hurry": {"called", false, func(f *Fleet, n string, duration eventloop.Micros) {
		w := f.worker(n).(*CalledWorker)
		w.drain(700*eventloop.Millisecond, false)
		f.After(max(duration, eventloop.Second), w.Start)
	}},
	"table": {"all", false, func(f *Fleet, _ string, _ eventloop.Micros) {
		f.PutConfiguration("one", f.ConfigurationRows(20+f.Rng.IntN(60)))
	}},
	"race": {"all", false, func(f *Fleet, _ string, _ eventloop.Micros) {
		f.PutConfiguration("one", f.ConfigurationRows(20+f.Rng.IntN(30)))
		f.PutConfiguration("two", f.ConfigurationRows(60+f.Rng.IntN(30)))
	}},
	"rush": {"all", false, func(f *Fleet, _ string, duration eventloop.Micros) {
		for n, kind := range f.Spec.JobKinds {
			kind.Name, kind.Interval = fmt.Sprintf("rush%d-%d", f.Now/eventloop.Second, n), kind.Interval/20
			if f.Spec.Bounds != nil {
				// Their jobs are larger.
				kind.Interval *= 8
			}
			if kind.CancelDelay == 0 {
				// What lasts ends only so.
				kind.CancelShare = 0
			}
			f.GenerateLoad(kind, f.Now+min(duration, 5*eventloop.Second))
		}
	}},
	"flood": {"all", false, func(f *Fleet, _ string, duration eventloop.Micros) {
		huge := &schema.Job{Text: "run_us=1000", Steps: []*schema.Step{newStep("huge", 1, 65_000+f.Spec.Cores)}}
		kind := JobKind{Name: fmt.Sprintf("huge%d", f.Now/eventloop.Second), Queue: "timed", Interval: 10 * eventloop.Millisecond, Job: huge}
		if f.Spec.Bounds != nil {
			// Nobody knows how large the workers of a pool may become, so these wait.
			kind.CancelShare, kind.CancelDelay = 1, 8*eventloop.Second
		}
		f.GenerateLoad(kind, f.Now+min(duration, 5*eventloop.Second))
	}},
	"power": {"all", true, func(f *Fleet, _ string, duration eventloop.Micros) {
		f.RecordFault("every process killed")
		for _, h := range f.Hosts {
			if h.IsUp {
				h.Kill()
				f.After(min(duration, 2*eventloop.Second), h.Start)
			}
		}
	}},
}

// freeze stops a machine's process for a span.
func (f *Fleet) freeze(h *Host, duration eventloop.Micros) {
	f.RecordFault("%s frozen", h.Name)
	h.Freeze(duration)
}

// isolateOneWay cuts what a machine says, or what it hears.
func (f *Fleet) isolateOneWay(h *Host, duration eventloop.Micros, isMute bool) {
	f.RecordFault("%s can't be heard, or can't hear", h.Name)
	cut := func(blocked bool) {
		for _, other := range f.Hosts {
			if other != h && isMute {
				f.BlockLink(h, other, blocked)
			} else if other != h {
				f.BlockLink(other, h, blocked)
			}
		}
	}
	cut(true)
	f.After(duration, func() { cut(false) })
}

func (f *Fleet) host(name string) *Host {
	switch name {
	case "leader":
		if leader := f.Leader(); leader != nil {
			return leader
		}
		return f.Hosts[0]
	case "controller":
		return f.controllerHost()
	}
	// A machine that was replaced has a successor of nearly its name.
	for _, h := range slices.Backward(f.Hosts) {
		if strings.TrimRight(h.Name, "'") == name {
			return h
		}
	}
	return f.Hosts[0]
}

func (f *Fleet) worker(name string) Worker {
	for _, w := range f.Workers {
		if w.Machine() == name {
			return w
		}
	}
	return f.Workers[0]
}

// targetNames lists whom a deed may strike on a fleet of a size.
func (d faultAction) targetNames(size FleetSpec) []string {
	var list []string
	for _, target := range strings.Fields(d.targets) {
		switch target {
		case "leader":
			list = append(list, "leader")
		case "store":
			list = append(list, "server1", "server2", "server3")
		case "lean":
			for k := 3; k < size.Gateways; k++ {
				list = append(list, fmt.Sprintf("server%d", k+1))
			}
		case "side":
			list = append(list, "controller")
			for k := 0; k < size.AgentNodes; k++ {
				list = append(list, fmt.Sprintf("controller%d", k+1))
			}
		case "cell":
			list = append(list, "c1", "c2", "c3")
		case "numbered":
			if size.Bounds != nil {
				list = append(list, "all")
			}
		case "worker", "called":
			for k := 0; k < size.Workers; k++ {
				if size.Bounds != nil {
					list = append(list, fmt.Sprintf("controller%d", k+1))
				} else if target == "worker" {
					list = append(list, fmt.Sprintf("w%d", k))
				}
			}
		default:
			list = append(list, target)
		}
	}
	return list
}

// isStorageLoss tells whether a stroke takes a disk machine away.
func (s ScheduledFault) isStorageLoss() bool {
	isOther := strings.HasPrefix(s.Target, "controller") || s.Target == "controller" || strings.HasPrefix(s.Target, "server") && s.Target > "server3" && s.Target != "leader"
	return faultActions[s.Kind].isLoss && !isOther
}

// recoveredAt is when what a stroke took away has been back for long enough.
func (s ScheduledFault) recoveredAt(apart lossSpacing) eventloop.Micros {
	switch s.Kind {
	case "replace":
		return s.At + apart.afterReplacement
	case "succeed":
		return s.At + apart.afterPlannedLeave
	}
	return s.At + s.Duration + apart.afterReturn
}

// Check tells what makes a schedule impossible: more loss at once than can be
// survived.
func (s Schedule) Check(size FleetSpec) error { return s.check(size, minSpacing) }

func (s Schedule) check(size FleetSpec, apart lossSpacing) error {
	for k, fault := range s {
		kind, known := faultActions[fault.Kind]
		if !known {
			return fmt.Errorf("faults[%d]: there is no fault %q", k, fault.Kind)
		}
		isTarget := false
		for _, name := range kind.targetNames(size) {
			isTarget = isTarget || name == fault.Target
		}
		if !isTarget {
			return fmt.Errorf("faults[%d]: %s can't strike %q", k, fault.Kind, fault.Target)
		}
		if fault.Duration < 0 || fault.At < 0 || fault.Duration > 60*eventloop.Second {
			return fmt.Errorf("faults[%d]: %v: spans lie between 0 and 60 s, times at 0 or later", k, fault)
		}
		for n, other := range s[:k] {
			if fault.isStorageLoss() && other.isStorageLoss() && fault.At < other.recoveredAt(apart) && other.At < fault.recoveredAt(apart) {
				return fmt.Errorf("faults[%d]: %v and %v (faults[%d]) may take two of three disk machines away at once, which nothing can survive", k, fault, other, n)
			}
			if fault.Target == other.Target && fault.Target != "all" && fault.At < other.At+other.Duration+eventloop.Second && other.At < fault.At+fault.Duration+eventloop.Second {
				return fmt.Errorf("faults[%d]: %v strikes what %v (faults[%d]) has struck already", k, fault, other, n)
			}
		}
	}
	return nil
}

// ParseSchedule takes WHAT/WHOM:SPAN@AT, joined by commas.
func ParseSchedule(text string, size FleetSpec) (Schedule, error) {
	var list Schedule
	for k, each := range strings.Split(text, ",") {
		what, rest, hasTarget := strings.Cut(each, "/")
		whom, rest, hasDuration := strings.Cut(rest, ":")
		duration, at, hasTime := strings.Cut(rest, "@")
		length, err1 := time.ParseDuration(duration)
		moment, err2 := time.ParseDuration(at)
		if !hasTarget || !hasDuration || !hasTime || err1 != nil || err2 != nil {
			return nil, fmt.Errorf("faults[%d]: %q is not WHAT/WHOM:SPAN@AT, as kill/leader:3s@5s", k, each)
		}
		list = append(list, ScheduledFault{what, whom, eventloop.Micros(length.Microseconds()), eventloop.Micros(moment.Microseconds())})
	}
	return list, list.Check(size)
}

// FaultNames lists the faults there are.
func FaultNames() []string {
	var names []string
	for name := range faultActions {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// RandomSchedule draws faults that may overlap but can be survived.
func RandomSchedule(seed uint64, size FleetSpec) Schedule {
	rng := rand.New(rand.NewPCG(seed, 0xfa17))
	// Only these, so that a seed goes on standing for the same schedule.
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(basicFaultActions)), func(name string) bool { return len(faultActions[name].targetNames(size)) == 0 })
	var list Schedule
	for count := 3 + rng.IntN(6); len(list) < count; {
		what := names[rng.IntN(len(names))]
		targets := faultActions[what].targetNames(size)
		fault := ScheduledFault{
			Kind: what, Target: targets[rng.IntN(len(targets))],
			Duration: eventloop.Micros(1+rng.IntN(12)) * eventloop.Second / 2, At: eventloop.Micros(2+rng.IntN(80)) * eventloop.Second / 2,
		}
		if next := append(append(Schedule(nil), list...), fault); next.check(size, wideSpacing) == nil {
			list = next
		} else if rng.IntN(30) == 0 {
			break
		}
	}
	sort.SliceStable(list, func(a, b int) bool { return list[a].At < list[b].At })
	return list
}

// Scenario brings a schedule about.
func (s Schedule) Scenario() Scenario {
	last := eventloop.Micros(0)
	for _, fault := range s {
		last = max(last, fault.At+fault.Duration)
	}
	return Scenario{Name: "schedule", Network: ReliableNetwork, SyncDelay: 500, Duration: last + 15*eventloop.Second, Inject: func(f *Fleet) {
		for _, fault := range s {
			f.At(f.LoadStart+fault.At, func() { faultActions[fault.Kind].inject(f, fault.Target, fault.Duration) })
		}
	}}
}

// Shrink leaves faults out as long as the same rule still breaks.
func (s Schedule) Shrink(size FleetSpec, seed uint64, rule int) Schedule {
	breaks := func(trial Schedule) bool {
		_, violations, _ := RunScenario(trial.Scenario(), size, seed)
		return hasRule(violations, rule)
	}
	for isLess := true; isLess; {
		isLess = false
		for k := range s {
			trial := append(append(Schedule(nil), s[:k]...), s[k+1:]...)
			if breaks(trial) {
				s, isLess = trial, true
				break
			}
		}
	}
	return s
}

func hasRule(violations []checker.Violation, rule int) bool {
	for _, b := range violations {
		if b.Rule == rule {
			return true
		}
	}
	return false
}
