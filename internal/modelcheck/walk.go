package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Walk makes a random schedule and follows it; it gives the steps taken.
func Walk(w *World, seed uint64, length int) []Step {
	walker := &walker{world: w, rng: rand.New(rand.NewPCG(seed, 77))}
	var taken []Step
	for range length {
		step := walker.next()
		if step == "" || !w.Execute(step) {
			continue
		}
		taken = append(taken, step)
		if w.Violation() != "" {
			break
		}
	}
	return taken
}

// walker draws steps that get somewhere: most messages arrive, most writes
// last; for a while at a time some links are cut and some machines are quiet.
type walker struct {
	world        *World
	rng          *rand.Rand
	blocked      map[[2]int]bool // from, to
	partitionEnd int
	drawn        int
	planned      []Step // come first
}

const (
	maxPartitionSteps = 300 // at most, between two changes of what is cut
	deliveryWindow    = 6   // one of so many of the oldest messages is next
)

func (k *walker) next() Step {
	k.drawn++
	if k.drawn >= k.partitionEnd {
		k.changePartition()
	}
	if len(k.planned) > 0 {
		step := k.planned[0]
		k.planned = k.planned[1:]
		return step
	}
	w, rng := k.world, k.rng
	if w.limits.SharedClock {
		return k.nextTimed()
	}
	at := rng.IntN(len(w.machines))
	switch draw := rng.IntN(1000); {
	case draw < 560:
		return k.messageStep(rng.IntN(100))
	case draw < 780:
		return k.writeStep()
	case draw < 790:
		return Step(fmt.Sprintf("t%d", at))
	case draw < 840:
		return k.onLeader(func(at int, _ *machine) Step { return Step(fmt.Sprintf("b%d", at)) })
	case draw < 844:
		return Step(fmt.Sprintf("%c%d", "ck"[rng.IntN(2)], at))
	case draw < 845:
		if k.canWipe(w.machines[at].id) {
			return Step(fmt.Sprintf("w%d", at))
		}
		return k.messageStep(0)
	case draw < 860:
		return Step(fmt.Sprintf("f%d", at))
	case draw < 863:
		return k.onLeader(func(at int, m *machine) Step { return Step(fmt.Sprintf("h%d%s", at, k.randomVoter(m))) })
	case draw < 866:
		return k.onLeader(func(at int, _ *machine) Step { return Step(fmt.Sprintf("n%d", at)) })
	case draw < 915:
		return k.onLeader(func(at int, _ *machine) Step { return Step(fmt.Sprintf("p%d%d", rng.IntN(len(w.operators)), at)) })
	case draw < 955:
		return k.onLeader(func(at int, _ *machine) Step { return Step(fmt.Sprintf("r%d%d", rng.IntN(len(w.operators)), at)) })
	case draw < 970:
		return Step(fmt.Sprintf("g%d", rng.IntN(len(w.operators))))
	case w.limits.MembershipChanges:
		return k.onLeader(k.membershipStep)
	}
	return k.messageStep(0)
}

// changePartition cuts other links: none, one machine's in either direction or both,
// or between two sides.
func (k *walker) changePartition() {
	k.partitionEnd = k.drawn + 40 + k.rng.IntN(maxPartitionSteps)
	k.blocked = map[[2]int]bool{}
	count := len(k.world.machines)
	side := k.rng.Uint64()
	one := k.rng.IntN(count)
	kind := k.rng.IntN(8)
	if kind < 3 && k.rng.IntN(2) == 0 && !k.world.limits.SharedClock {
		// Often it is a leader that is cut off, and the others miss it.
		k.onLeader(func(at int, _ *machine) Step { one = at; return "" })
		for _, other := range append(k.rng.Perm(count), k.rng.Perm(count)...) {
			if other != one {
				k.planned = append(k.planned, Step(fmt.Sprintf("t%d", other)))
			}
		}
	}
	if k.world.limits.SharedClock && k.rng.IntN(2) == 0 {
		// Two that don't hear each other, though a third hears both.
		other := (one + 1 + k.rng.IntN(count-1)) % count
		k.blocked[[2]int{one, other}], k.blocked[[2]int{other, one}] = true, true
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
				k.blocked[[2]int{a, b}] = true
			}
		}
	}
}

// canWipe tells whether the group goes on without a disk, as far as any machine
// knows its members; a walk over a group that can't be saved shows nothing.
func (k *walker) canWipe(lost string) bool {
	for _, m := range k.world.machines {
		if m.group == nil || m.id == lost {
			continue
		}
		voters, living := m.group.MemberSet().Voters, 0
		for _, id := range voters {
			if id != lost && k.world.machineByID(id) != nil {
				living++
			}
		}
		if living < majority(voters) {
			return false
		}
	}
	return true
}

// nextTimed is a step of a world with one clock.
func (k *walker) nextTimed() Step {
	at := k.rng.IntN(len(k.world.machines))
	switch draw := k.rng.IntN(1000); {
	case draw < 500 && len(k.world.inFlight) > 0:
		return k.messageStep(k.rng.IntN(100))
	case draw < 700:
		return k.writeStep()
	case draw < 715:
		return Step(fmt.Sprintf("%c%d", "ck"[k.rng.IntN(2)], at))
	case draw < 725:
		return k.onLeader(func(at int, _ *machine) Step {
			return Step(fmt.Sprintf("p%d%d", k.rng.IntN(len(k.world.operators)), at))
		})
	}
	return Step(fmt.Sprintf("z%d", 1+k.rng.IntN(20)))
}

// writeStep lets some write last.
func (k *walker) writeStep() Step {
	for _, at := range k.rng.Perm(len(k.world.machines)) {
		if k.world.machines[at].currentWrite != nil {
			return Step(fmt.Sprintf("s%d", at))
		}
	}
	return k.messageStep(0)
}

func (k *walker) messageStep(luck int) Step {
	w := k.world
	var open []int
	for j, p := range w.inFlight {
		from, to := machineIndex(p.from), machineIndex(p.to)
		if !k.blocked[[2]int{from, to}] {
			open = append(open, j)
			if len(open) == deliveryWindow {
				break
			}
		}
	}
	if len(open) == 0 && w.limits.SharedClock {
		return "z5"
	}
	if len(open) == 0 {
		return k.idleStep()
	}
	p := w.inFlight[open[k.rng.IntN(len(open))]]
	kind := 'd'
	switch {
	case luck > 97:
		kind = 'x'
	case luck > 94:
		kind = 'u'
	}
	return Step(fmt.Sprintf("%c%x", kind, p.key))
}

// idleStep brings something about where nothing is under way.
func (k *walker) idleStep() Step {
	step := k.onLeader(func(at int, _ *machine) Step {
		switch k.rng.IntN(4) {
		case 0:
			return Step(fmt.Sprintf("p%d%d", k.rng.IntN(len(k.world.operators)), at))
		case 1:
			return Step(fmt.Sprintf("r%d%d", k.rng.IntN(len(k.world.operators)), at))
		}
		return Step(fmt.Sprintf("b%d", at))
	})
	if step == "" || k.rng.IntN(16) == 0 {
		return Step(fmt.Sprintf("t%d", k.rng.IntN(len(k.world.machines))))
	}
	return step
}

// machineIndex is the machine an id was made on.
func machineIndex(id string) int { return int(id[0] - 'a') }

// onLeader lets a leader do something: any of them, for there may be an old one.
func (k *walker) onLeader(do func(at int, m *machine) Step) Step {
	var leaders []int
	for at, m := range k.world.machines {
		if m.group != nil && m.group.IsLeader() {
			leaders = append(leaders, at)
		}
	}
	if len(leaders) == 0 {
		return ""
	}
	at := leaders[k.rng.IntN(len(leaders))]
	return do(at, k.world.machines[at])
}

func (k *walker) randomVoter(m *machine) string {
	voters := m.group.MemberSet().Voters
	if len(voters) == 0 {
		return "--"
	}
	return voters[k.rng.IntN(len(voters))]
}

// membershipStep is the next step of the members, as a controller proposes them: who
// learns is seen through, lost stores go, and the group keeps its size; now and
// then it is another step, for a controller may act on old word.
func (k *walker) membershipStep(at int, m *machine) Step {
	members := m.group.MemberSet()
	if k.rng.IntN(5) == 0 {
		return k.randomMembershipStep(at, m)
	}
	if len(members.Learners) > 0 {
		return Step(fmt.Sprintf("v%d%s", at, members.Learners[0]))
	}
	if len(members.Voters) > k.world.limits.Voters {
		for _, id := range members.Voters {
			if k.world.machineByID(id) == nil {
				return Step(fmt.Sprintf("o%d%s", at, id))
			}
		}
		return Step(fmt.Sprintf("o%d%s", at, k.randomVoter(m)))
	}
	for _, j := range k.rng.Perm(len(k.world.machines)) {
		if id := k.world.machines[j].id; !slices.Contains(members.Voters, id) {
			return Step(fmt.Sprintf("l%d%s", at, id))
		}
	}
	return ""
}

func (k *walker) randomMembershipStep(at int, m *machine) Step {
	members := m.group.MemberSet()
	switch k.rng.IntN(3) {
	case 0:
		return Step(fmt.Sprintf("o%d%s", at, k.randomVoter(m)))
	case 1:
		if len(members.Learners) > 0 {
			return Step(fmt.Sprintf("o%d%s", at, members.Learners[0]))
		}
	}
	return Step(fmt.Sprintf("l%d%s", at, k.world.machines[k.rng.IntN(len(k.world.machines))].id))
}

// Replay follows a schedule.
func Replay(limits Limits, seed uint64, steps []Step) *World {
	w := NewWorld(limits, seed)
	for _, step := range steps {
		if w.Execute(step); w.Violation() != "" {
			break
		}
	}
	return w
}

// shrinkTimeout is how long shorter schedules are looked for.
const shrinkTimeout = 3 * time.Second

// Shrink takes steps out of a schedule as long as something still doesn't hold.
func Shrink(found *Violation, isBroken func(*World) string) *Violation {
	steps := found.Schedule
	until := time.Now().Add(shrinkTimeout)
	for size := len(steps) / 2; size > 0 && time.Now().Before(until); {
		isShorter := false
		for at := 0; at+size <= len(steps) && time.Now().Before(until); {
			shorter := slices.Concat(steps[:at], steps[at+size:])
			if isBroken(Replay(found.Limits, found.Seed, shorter)) != "" {
				steps, isShorter = shorter, true
			} else {
				at += size
			}
		}
		if !isShorter || size > len(steps) {
			size /= 2
		}
	}
	return &Violation{isBroken(Replay(found.Limits, found.Seed, steps)), found.Limits, found.Seed, steps}
}
