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

// Stroke is one fault of a schedule: what, to whom, for how long, when.
type Stroke struct {
	What string
	Whom string // leader, controller, or a machine's name
	Span eventloop.Micros
	At   eventloop.Micros // after the load began
}

// String is the form that ReadSchedule takes.
func (s Stroke) String() string {
	return fmt.Sprintf("%s/%s:%v@%v", s.What, s.Whom, s.Span.Duration(), s.At.Duration())
}

// Schedule is faults that may overlap.
type Schedule []Stroke

func (s Schedule) String() string {
	parts := make([]string, len(s))
	for k, stroke := range s {
		parts[k] = stroke.String()
	}
	return strings.Join(parts, ",")
}

// deed is a kind of fault: whom it may strike, whether a disk machine that it
// strikes counts as away meanwhile, and what is done.
type deed struct {
	targets string // leader, store, lean, side, worker, called, all
	isLoss  bool
	strike  func(f *Fleet, name string, span eventloop.Micros)
}

// spacing is how long after one loss of a disk machine the next may come.
type spacing struct {
	back     eventloop.Micros // after it is back
	replaced eventloop.Micros // after it is lost for good
	planned  eventloop.Micros // after it is told to leave for a successor
}

// catchUpSpan is what the platform grants a machine that is back, or a successor that
// has started, before the next may be lost: the catch-up's bound.
const catchUpSpan = 4 * eventloop.Second

// Of the closest spacing that is owed, each has a second for an acknowledgement
// to come and a warned process to end; a successor starts 3 s after a loss, and
// who leaves for one is gone after 7 s. Schedules drawn at large keep more apart.
var (
	closest = spacing{back: catchUpSpan + eventloop.Second, replaced: 3*eventloop.Second + catchUpSpan, planned: 7*eventloop.Second + catchUpSpan}
	wide    = spacing{back: 12 * eventloop.Second, replaced: 30 * eventloop.Second, planned: 30 * eventloop.Second}
)

// deeds are all kinds of faults by name.
var deeds = allDeeds()

func allDeeds() map[string]deed {
	list := maps.Clone(basicDeeds)
	maps.Copy(list, platformTroubles)
	return list
}

var basicDeeds = map[string]deed{
	"kill":    {"leader store lean side", true, func(f *Fleet, n string, span eventloop.Micros) { f.killed(f.host(n), span) }},
	"freeze":  {"leader store lean side", true, func(f *Fleet, n string, span eventloop.Micros) { f.frozen(f.host(n), span) }},
	"isolate": {"leader store lean side", true, func(f *Fleet, n string, span eventloop.Micros) { f.isolated(f.host(n), span) }},
	"mute":    {"leader store lean side", true, func(f *Fleet, n string, span eventloop.Micros) { f.oneWay(f.host(n), span, true) }},
	"deaf":    {"leader store lean side", true, func(f *Fleet, n string, span eventloop.Micros) { f.oneWay(f.host(n), span, false) }},
	"replace": {"leader store", true, func(f *Fleet, n string, _ eventloop.Micros) { f.replaced(f.host(n)) }},
	"warn": {"leader store lean", true, func(f *Fleet, n string, span eventloop.Micros) {
		h := f.host(n)
		f.Fault("%s warned", h.Name)
		h.Warn(span)
		f.After(span+eventloop.Second, h.Start)
	}},
	"stall": {"leader store", true, func(f *Fleet, n string, span eventloop.Micros) {
		h := f.host(n)
		f.Fault("the disk of %s stalls", h.Name)
		h.Stall = f.Now + span
	}},
	"slow": {"leader store", false, func(f *Fleet, n string, span eventloop.Micros) {
		h := f.host(n)
		f.Fault("the disk of %s is slow", h.Name)
		usual := h.SyncUs
		h.SyncUs = 200 * eventloop.Millisecond
		f.After(span, func() { h.SyncUs = usual })
	}},
	"clock": {"store", false, func(f *Fleet, n string, span eventloop.Micros) {
		for _, other := range f.Stores() {
			other.WallOff = 0
		}
		h := f.host(n)
		h.WallOff = (f.Rng.Int64N(2*6*3600) - 6*3600) * int64(eventloop.Second)
		f.After(span, func() { h.WallOff = 0 })
	}},
	"split": {"cell", true, func(f *Fleet, n string, span eventloop.Micros) {
		f.Fault("cell %s split off", n)
		side := func(h *Host) bool { return h.Cell == n }
		f.Split(true, side)
		f.After(span, func() { f.Split(false, side) })
	}},
	"crash": {"worker", false, func(f *Fleet, n string, span eventloop.Micros) {
		w := f.worker(n)
		w.Crash()
		f.After(span, w.Start)
	}},
	"cut": {"worker", false, func(f *Fleet, n string, span eventloop.Micros) {
		w := f.worker(n)
		w.Cut(true)
		f.After(span, func() { w.Cut(false) })
	}},
	"sleep": {"worker", false, func(f *Fleet, n string, span eventloop.Micros) { f.worker(n).Freeze(span) }},
	"leave": {"worker", false, func(f *Fleet, n string, span eventloop.Micros) {
		w := f.worker(n)
		w.Leave()
		f.After(span, func() { w.Crash(); w.Start() })
	}},
	"shrink": {"worker", false, func(f *Fleet, n string, span eventloop.Micros) {
		// It comes back with a quarter of its room.
		w := f.worker(n)
		w.Crash()
		w.Room(f.Size.Cores/4, f.Size.Memory/4)
		w.Start()
		f.After(span, func() { w.Crash(); w.Room(f.Size.Cores, f.Size.Memory); w.Start() })
	}},
	"fail": {"worker", false, func(f *Fleet, n string, span eventloop.Micros) {
		w := f.worker(n)
		if called, isCalled := w.(*CalledWorker); isCalled {
			called.ail()
		}
		w.Habits().FailureRate = 0.6
		f.After(span, func() { w.Habits().FailureRate = 0 })
	}},
	"late": {"called", false, func(f *Fleet, n string, span eventloop.Micros) {
		w := f.worker(n).(*CalledWorker)
		w.Sick(0, 0.4)
		f.After(span, func() { w.Sick(0, 0) })
	}},
	"refuse": {"called", false, func(f *Fleet, n string, span eventloop.Micros) {
		w := f.worker(n).(*CalledWorker)
		w.Sick(0.5, 0)
		f.After(span, func() { w.Sick(0, 0) })
	}},
	"still": {"called", false, func(f *Fleet, n string, span eventloop.Micros) {
		w := f.worker(n).(*CalledWorker)
		w.ail()
		w.habits.StallRate = 0.3
		f.After(span, func() { w.habits.StallRate = 0 })
	}},
	"creep": {"called", false, func(f *Fleet, n string, span eventloop.Micros) {
		w := f.worker(n).(*CalledWorker)
		w.ail()
		w.habits.Slowdown = 6
		f.After(span, func() { w.habits.Slowdown = 0 })
	}},
	"hurry": {"called", false, func(f *Fleet, n string, span eventloop.Micros) {
		w := f.worker(n).(*CalledWorker)
		w.leave(700*eventloop.Millisecond, false)
		f.After(max(span, eventloop.Second), w.Start)
	}},
	"table": {"all", false, func(f *Fleet, _ string, _ eventloop.Micros) { f.Put("one", f.Rows(20+f.Rng.IntN(60))) }},
	"race": {"all", false, func(f *Fleet, _ string, _ eventloop.Micros) {
		f.Put("one", f.Rows(20+f.Rng.IntN(30)))
		f.Put("two", f.Rows(60+f.Rng.IntN(30)))
	}},
	"rush": {"all", false, func(f *Fleet, _ string, span eventloop.Micros) {
		for n, kind := range f.Size.Kinds {
			kind.Name, kind.Every = fmt.Sprintf("rush%d-%d", f.Now/eventloop.Second, n), kind.Every/20
			if f.Size.Bounds != nil {
				// Their jobs are larger.
				kind.Every *= 8
			}
			if kind.CancelAfter == 0 {
				// What lasts ends only so.
				kind.Cancel = 0
			}
			f.Load(kind, f.Now+min(span, 5*eventloop.Second))
		}
	}},
	"flood": {"all", false, func(f *Fleet, _ string, span eventloop.Micros) {
		huge := &schema.Job{Text: "run_us=1000", Steps: []*schema.Step{step("huge", 1, 65_000+f.Size.Cores)}}
		kind := Kind{Name: fmt.Sprintf("huge%d", f.Now/eventloop.Second), Queue: "timed", Every: 10 * eventloop.Millisecond, Job: huge}
		if f.Size.Bounds != nil {
			// Nobody knows how large the workers of a pool may become, so these wait.
			kind.Cancel, kind.CancelAfter = 1, 8*eventloop.Second
		}
		f.Load(kind, f.Now+min(span, 5*eventloop.Second))
	}},
	"power": {"all", true, func(f *Fleet, _ string, span eventloop.Micros) {
		f.Fault("every process killed")
		for _, h := range f.Hosts {
			if h.IsUp {
				h.Kill()
				f.After(min(span, 2*eventloop.Second), h.Start)
			}
		}
	}},
}

// frozen stops a machine's process for a span.
func (f *Fleet) frozen(h *Host, span eventloop.Micros) {
	f.Fault("%s frozen", h.Name)
	h.Freeze(span)
}

// oneWay cuts what a machine says, or what it hears.
func (f *Fleet) oneWay(h *Host, span eventloop.Micros, isMute bool) {
	f.Fault("%s can't be heard, or can't hear", h.Name)
	cut := func(isCut bool) {
		for _, other := range f.Hosts {
			if other != h && isMute {
				f.Cut(h, other, isCut)
			} else if other != h {
				f.Cut(other, h, isCut)
			}
		}
	}
	cut(true)
	f.After(span, func() { cut(false) })
}

func (f *Fleet) host(name string) *Host {
	switch name {
	case "leader":
		if leader := f.Leader(); leader != nil {
			return leader
		}
		return f.Hosts[0]
	case "controller":
		return f.controller()
	}
	// A machine that was replaced has a successor of nearly its name.
	for _, h := range slices.Backward(f.Hosts) {
		if strings.TrimRight(h.Name, "'") == name {
			return h
		}
	}
	return f.Hosts[0]
}

func (f *Fleet) worker(name string) Hand {
	for _, w := range f.Workers {
		if w.Place() == name {
			return w
		}
	}
	return f.Workers[0]
}

// names lists whom a deed may strike on a fleet of a size.
func (d deed) names(size Size) []string {
	var list []string
	for _, target := range strings.Fields(d.targets) {
		switch target {
		case "leader":
			list = append(list, "leader")
		case "store":
			list = append(list, "server1", "server2", "server3")
		case "lean":
			for k := 3; k < size.Fronts; k++ {
				list = append(list, fmt.Sprintf("server%d", k+1))
			}
		case "side":
			list = append(list, "controller")
			for k := 0; k < size.Sides; k++ {
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

// isDisk tells whether a stroke takes a disk machine away.
func (s Stroke) isDisk() bool {
	isOther := strings.HasPrefix(s.Whom, "controller") || s.Whom == "controller" || strings.HasPrefix(s.Whom, "server") && s.Whom > "server3" && s.Whom != "leader"
	return deeds[s.What].isLoss && !isOther
}

// until is when what a stroke took away has been back for long enough.
func (s Stroke) until(apart spacing) eventloop.Micros {
	switch s.What {
	case "replace":
		return s.At + apart.replaced
	case "succeed":
		return s.At + apart.planned
	}
	return s.At + s.Span + apart.back
}

// Check tells what makes a schedule impossible: more loss at once than can be
// survived.
func (s Schedule) Check(size Size) error { return s.check(size, closest) }

func (s Schedule) check(size Size, apart spacing) error {
	for k, stroke := range s {
		kind, isKnown := deeds[stroke.What]
		if !isKnown {
			return fmt.Errorf("faults[%d]: there is no fault %q", k, stroke.What)
		}
		isTarget := false
		for _, name := range kind.names(size) {
			isTarget = isTarget || name == stroke.Whom
		}
		if !isTarget {
			return fmt.Errorf("faults[%d]: %s can't strike %q", k, stroke.What, stroke.Whom)
		}
		if stroke.Span < 0 || stroke.At < 0 || stroke.Span > 60*eventloop.Second {
			return fmt.Errorf("faults[%d]: %v: spans lie between 0 and 60 s, times at 0 or later", k, stroke)
		}
		for n, other := range s[:k] {
			if stroke.isDisk() && other.isDisk() && stroke.At < other.until(apart) && other.At < stroke.until(apart) {
				return fmt.Errorf("faults[%d]: %v and %v (faults[%d]) may take two of three disk machines away at once, which nothing can survive", k, stroke, other, n)
			}
			if stroke.Whom == other.Whom && stroke.Whom != "all" && stroke.At < other.At+other.Span+eventloop.Second && other.At < stroke.At+stroke.Span+eventloop.Second {
				return fmt.Errorf("faults[%d]: %v strikes what %v (faults[%d]) has struck already", k, stroke, other, n)
			}
		}
	}
	return nil
}

// ReadSchedule takes WHAT/WHOM:SPAN@AT, joined by commas.
func ReadSchedule(text string, size Size) (Schedule, error) {
	var list Schedule
	for k, each := range strings.Split(text, ",") {
		what, rest, isTold := strings.Cut(each, "/")
		whom, rest, isSpan := strings.Cut(rest, ":")
		span, at, isAt := strings.Cut(rest, "@")
		length, err1 := time.ParseDuration(span)
		moment, err2 := time.ParseDuration(at)
		if !isTold || !isSpan || !isAt || err1 != nil || err2 != nil {
			return nil, fmt.Errorf("faults[%d]: %q is not WHAT/WHOM:SPAN@AT, as kill/leader:3s@5s", k, each)
		}
		list = append(list, Stroke{what, whom, eventloop.Micros(length.Microseconds()), eventloop.Micros(moment.Microseconds())})
	}
	return list, list.Check(size)
}

// DeedNames lists the faults there are.
func DeedNames() []string {
	var names []string
	for name := range deeds {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// RandomSchedule draws faults that may overlap but can be survived.
func RandomSchedule(seed uint64, size Size) Schedule {
	rng := rand.New(rand.NewPCG(seed, 0xfa17))
	// Only these, so that a seed goes on standing for the same schedule.
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(basicDeeds)), func(name string) bool { return len(deeds[name].names(size)) == 0 })
	var list Schedule
	for most := 3 + rng.IntN(6); len(list) < most; {
		what := names[rng.IntN(len(names))]
		targets := deeds[what].names(size)
		stroke := Stroke{
			What: what, Whom: targets[rng.IntN(len(targets))],
			Span: eventloop.Micros(1+rng.IntN(12)) * eventloop.Second / 2, At: eventloop.Micros(2+rng.IntN(80)) * eventloop.Second / 2,
		}
		if next := append(append(Schedule(nil), list...), stroke); next.check(size, wide) == nil {
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
	for _, stroke := range s {
		last = max(last, stroke.At+stroke.Span)
	}
	return Scenario{Name: "schedule", Net: CalmNet, Sync: 500, Span: last + 15*eventloop.Second, Plan: func(f *Fleet) {
		for _, stroke := range s {
			f.At(f.Began+stroke.At, func() { deeds[stroke.What].strike(f, stroke.Whom, stroke.Span) })
		}
	}}
}

// Shrink leaves faults out as long as the same rule still breaks.
func (s Schedule) Shrink(size Size, seed uint64, rule int) Schedule {
	breaks := func(trial Schedule) bool {
		_, breaches, _ := Play(trial.Scenario(), size, seed)
		return hasRule(breaches, rule)
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

func hasRule(breaches []checker.Violation, rule int) bool {
	for _, b := range breaches {
		if b.Rule == rule {
			return true
		}
	}
	return false
}
