package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Walk makes a random schedule and follows it; it gives the steps taken.
func Walk(w *World, seed uint64, length int) []Step {
	walker := &walker{w: w, rng: rand.New(rand.NewPCG(seed, 77))}
	var taken []Step
	for range length {
		step := walker.next()
		if step == "" || !w.Take(step) {
			continue
		}
		taken = append(taken, step)
		if w.Broken() != "" {
			break
		}
	}
	return taken
}

// walker draws steps that get somewhere: most messages arrive, most writes
// last; for a while at a time some links are cut and some machines are quiet.
type walker struct {
	w       *World
	rng     *rand.Rand
	cut     map[[2]int]bool // from, to
	moodEnd int
	made    int
	planned []Step // come first
}

const (
	moodSteps = 300 // at most, between two changes of what is cut
	newestOf  = 6   // one of so many of the oldest messages is next
)

func (k *walker) next() Step {
	k.made++
	if k.made >= k.moodEnd {
		k.changeMood()
	}
	if len(k.planned) > 0 {
		step := k.planned[0]
		k.planned = k.planned[1:]
		return step
	}
	w, rng := k.w, k.rng
	if w.limits.IsTimed {
		return k.timed()
	}
	at := rng.IntN(len(w.machines))
	switch draw := rng.IntN(1000); {
	case draw < 560:
		return k.message(rng.IntN(100))
	case draw < 780:
		return k.write()
	case draw < 790:
		return Step(fmt.Sprintf("t%d", at))
	case draw < 840:
		return k.onLeader(func(at int, _ *machine) Step { return Step(fmt.Sprintf("b%d", at)) })
	case draw < 844:
		return Step(fmt.Sprintf("%c%d", "ck"[rng.IntN(2)], at))
	case draw < 845:
		if k.mayLose(w.machines[at].id) {
			return Step(fmt.Sprintf("w%d", at))
		}
		return k.message(0)
	case draw < 860:
		return Step(fmt.Sprintf("f%d", at))
	case draw < 863:
		return k.onLeader(func(at int, m *machine) Step { return Step(fmt.Sprintf("h%d%s", at, k.someVoter(m))) })
	case draw < 866:
		return k.onLeader(func(at int, _ *machine) Step { return Step(fmt.Sprintf("n%d", at)) })
	case draw < 915:
		return k.onLeader(func(at int, _ *machine) Step { return Step(fmt.Sprintf("p%d%d", rng.IntN(len(w.operators)), at)) })
	case draw < 955:
		return k.onLeader(func(at int, _ *machine) Step { return Step(fmt.Sprintf("r%d%d", rng.IntN(len(w.operators)), at)) })
	case draw < 970:
		return Step(fmt.Sprintf("g%d", rng.IntN(len(w.operators))))
	case w.limits.IsChanging:
		return k.onLeader(k.change)
	}
	return k.message(0)
}

// changeMood cuts other links: none, one machine's in either direction or both,
// or between two sides.
func (k *walker) changeMood() {
	k.moodEnd = k.made + 40 + k.rng.IntN(moodSteps)
	k.cut = map[[2]int]bool{}
	count := len(k.w.machines)
	side := k.rng.Uint64()
	one := k.rng.IntN(count)
	kind := k.rng.IntN(8)
	if kind < 3 && k.rng.IntN(2) == 0 && !k.w.limits.IsTimed {
		// Often it is a leader that is cut off, and the others miss it.
		k.onLeader(func(at int, _ *machine) Step { one = at; return "" })
		for _, other := range append(k.rng.Perm(count), k.rng.Perm(count)...) {
			if other != one {
				k.planned = append(k.planned, Step(fmt.Sprintf("t%d", other)))
			}
		}
	}
	if k.w.limits.IsTimed && k.rng.IntN(2) == 0 {
		// Two that don't hear each other, though a third hears both.
		other := (one + 1 + k.rng.IntN(count-1)) % count
		k.cut[[2]int{one, other}], k.cut[[2]int{other, one}] = true, true
		return
	}
	for a := range count {
		for b := range count {
			isCut := false
			switch kind {
			case 0:
				isCut = a == one
			case 1:
				isCut = b == one
			case 2:
				isCut = a == one || b == one
			case 3:
				isCut = side>>a&1 != side>>b&1
			}
			if isCut {
				k.cut[[2]int{a, b}] = true
			}
		}
	}
}

// mayLose tells whether the group goes on without a disk, as far as any machine
// knows its members; a walk over a group that can't be saved shows nothing.
func (k *walker) mayLose(lost string) bool {
	for _, m := range k.w.machines {
		if m.group == nil || m.id == lost {
			continue
		}
		voters, living := m.group.MemberSet().Voters, 0
		for _, id := range voters {
			if id != lost && k.w.machineOf(id) != nil {
				living++
			}
		}
		if living < majority(voters) {
			return false
		}
	}
	return true
}

// timed is a step of a world with one clock.
func (k *walker) timed() Step {
	at := k.rng.IntN(len(k.w.machines))
	switch draw := k.rng.IntN(1000); {
	case draw < 500 && len(k.w.parcels) > 0:
		return k.message(k.rng.IntN(100))
	case draw < 700:
		return k.write()
	case draw < 715:
		return Step(fmt.Sprintf("%c%d", "ck"[k.rng.IntN(2)], at))
	case draw < 725:
		return k.onLeader(func(at int, _ *machine) Step { return Step(fmt.Sprintf("p%d%d", k.rng.IntN(len(k.w.operators)), at)) })
	}
	return Step(fmt.Sprintf("z%d", 1+k.rng.IntN(20)))
}

// write lets some write last.
func (k *walker) write() Step {
	for _, at := range k.rng.Perm(len(k.w.machines)) {
		if k.w.machines[at].writing != nil {
			return Step(fmt.Sprintf("s%d", at))
		}
	}
	return k.message(0)
}

func (k *walker) message(luck int) Step {
	w := k.w
	var open []int
	for j, p := range w.parcels {
		from, to := indexOf(p.from), indexOf(p.to)
		if !k.cut[[2]int{from, to}] {
			open = append(open, j)
			if len(open) == newestOf {
				break
			}
		}
	}
	if len(open) == 0 && w.limits.IsTimed {
		return "z5"
	}
	if len(open) == 0 {
		return k.stir()
	}
	p := w.parcels[open[k.rng.IntN(len(open))]]
	kind := 'd'
	switch {
	case luck > 97:
		kind = 'x'
	case luck > 94:
		kind = 'u'
	}
	return Step(fmt.Sprintf("%c%x", kind, p.key))
}

// stir brings something about where nothing is under way.
func (k *walker) stir() Step {
	step := k.onLeader(func(at int, _ *machine) Step {
		switch k.rng.IntN(4) {
		case 0:
			return Step(fmt.Sprintf("p%d%d", k.rng.IntN(len(k.w.operators)), at))
		case 1:
			return Step(fmt.Sprintf("r%d%d", k.rng.IntN(len(k.w.operators)), at))
		}
		return Step(fmt.Sprintf("b%d", at))
	})
	if step == "" || k.rng.IntN(16) == 0 {
		return Step(fmt.Sprintf("t%d", k.rng.IntN(len(k.w.machines))))
	}
	return step
}

// indexOf is the machine an id was made on.
func indexOf(id string) int { return int(id[0] - 'a') }

// onLeader lets a leader do something: any of them, for there may be an old one.
func (k *walker) onLeader(do func(at int, m *machine) Step) Step {
	var leaders []int
	for at, m := range k.w.machines {
		if m.group != nil && m.group.IsLeader() {
			leaders = append(leaders, at)
		}
	}
	if len(leaders) == 0 {
		return ""
	}
	at := leaders[k.rng.IntN(len(leaders))]
	return do(at, k.w.machines[at])
}

func (k *walker) someVoter(m *machine) string {
	voters := m.group.MemberSet().Voters
	if len(voters) == 0 {
		return "--"
	}
	return voters[k.rng.IntN(len(voters))]
}

// change is the next step of the members, as a controller proposes them: who
// learns is seen through, lost stores go, and the group keeps its size; now and
// then it is another step, for a controller may act on old word.
func (k *walker) change(at int, m *machine) Step {
	members := m.group.MemberSet()
	if k.rng.IntN(5) == 0 {
		return k.anyChange(at, m)
	}
	if len(members.Learners) > 0 {
		return Step(fmt.Sprintf("v%d%s", at, members.Learners[0]))
	}
	if len(members.Voters) > k.w.limits.Voters {
		for _, id := range members.Voters {
			if k.w.machineOf(id) == nil {
				return Step(fmt.Sprintf("o%d%s", at, id))
			}
		}
		return Step(fmt.Sprintf("o%d%s", at, k.someVoter(m)))
	}
	for _, j := range k.rng.Perm(len(k.w.machines)) {
		if id := k.w.machines[j].id; !slices.Contains(members.Voters, id) {
			return Step(fmt.Sprintf("l%d%s", at, id))
		}
	}
	return ""
}

func (k *walker) anyChange(at int, m *machine) Step {
	members := m.group.MemberSet()
	switch k.rng.IntN(3) {
	case 0:
		return Step(fmt.Sprintf("o%d%s", at, k.someVoter(m)))
	case 1:
		if len(members.Learners) > 0 {
			return Step(fmt.Sprintf("o%d%s", at, members.Learners[0]))
		}
	}
	return Step(fmt.Sprintf("l%d%s", at, k.w.machines[k.rng.IntN(len(k.w.machines))].id))
}

// Play follows a schedule.
func Play(limits Limits, seed uint64, steps []Step) *World {
	w := NewWorld(limits, seed)
	for _, step := range steps {
		if w.Take(step); w.Broken() != "" {
			break
		}
	}
	return w
}

// shrinkSpan is how long shorter schedules are looked for.
const shrinkSpan = 3 * time.Second

// Shrink takes steps out of a schedule as long as something still doesn't hold.
func Shrink(found *Finding, isBroken func(*World) string) *Finding {
	steps := found.Schedule
	until := time.Now().Add(shrinkSpan)
	for size := len(steps) / 2; size > 0 && time.Now().Before(until); {
		isShorter := false
		for at := 0; at+size <= len(steps) && time.Now().Before(until); {
			shorter := slices.Concat(steps[:at], steps[at+size:])
			if isBroken(Play(found.Limits, found.Seed, shorter)) != "" {
				steps, isShorter = shorter, true
			} else {
				at += size
			}
		}
		if !isShorter || size > len(steps) {
			size /= 2
		}
	}
	return &Finding{isBroken(Play(found.Limits, found.Seed, steps)), found.Limits, found.Seed, steps}
}
