package modelcheck

import (
	"math/rand/v2"
	"slices"
)

const (
	walkStream        = 77 // second word of the random generator's seed
	minPartitionSteps = 40 // between two changes of the partition
	maxPartitionSteps = 300
	deliveryWindow    = 6 // how many of the oldest messages the next one is drawn from
	idleMS            = 5 // milliseconds that pass when no message can be delivered
)

// Walk draws steps from a random generator with the given seed and executes them, until a
// number of steps were drawn or an invariant is broken. It returns the steps that had an
// effect.
func Walk(w *World, seed uint64, length int) []Step {
	walker := &walker{world: w, rng: rand.New(rand.NewPCG(seed, walkStream))}
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

// walker draws random steps with weights under which the group makes progress: most messages
// are delivered and most writes synced, while changing sets of links are blocked.
type walker struct {
	world        *World
	rng          *rand.Rand
	blocked      map[[2]int]bool // blocked links, by sender and receiver
	partitionEnd int             // value of drawn at which the blocked links change
	drawn        int             // number of calls of next
	planned      []Step          // steps to take before others are drawn
}

// next returns the next step; "" if the kind of step that was drawn isn't possible.
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
		return k.nextMessage(rng.IntN(100))
	case draw < 780:
		return k.nextWrite()
	case draw < 790:
		return machineStep(stepElectionTimeout, at)
	case draw < 840:
		return k.onLeader(func(at int, _ *machine) Step { return machineStep(stepHeartbeatDue, at) })
	case draw < 844:
		return machineStep(randomCrash(rng), at)
	case draw < 845:
		if k.canWipe(w.machines[at].id) {
			return machineStep(stepWipe, at)
		}
		return k.nextMessage(0)
	case draw < 860:
		return machineStep(stepCompact, at)
	case draw < 863:
		return k.onLeader(func(at int, m *machine) Step { return memberStep(stepTransferLeadership, at, k.randomVoter(m)) })
	case draw < 866:
		return k.onLeader(func(at int, _ *machine) Step { return machineStep(stepAppendFillers, at) })
	case draw < 915:
		return k.onLeader(func(at int, _ *machine) Step { return operatorStep(stepReplace, rng.IntN(len(w.operators)), at) })
	case draw < 955:
		return k.onLeader(func(at int, _ *machine) Step { return operatorStep(stepRead, rng.IntN(len(w.operators)), at) })
	case draw < 970:
		return giveUpStep(rng.IntN(len(w.operators)))
	case w.limits.MembershipChanges:
		return k.onLeader(k.nextMembershipChange)
	}
	return k.nextMessage(0)
}

func randomCrash(rng *rand.Rand) stepKind {
	return [...]stepKind{stepCrash, stepCrashAfterSync}[rng.IntN(2)]
}

// changePartition replaces the blocked links. It blocks no links, the links from a machine, the
// links to it, both, or the links between two groups of machines. With a shared clock it may
// instead block the links between two machines.
func (k *walker) changePartition() {
	k.partitionEnd = k.drawn + minPartitionSteps + k.rng.IntN(maxPartitionSteps)
	k.blocked = map[[2]int]bool{}
	count := len(k.world.machines)
	side := k.rng.Uint64()
	target := k.rng.IntN(count)
	kind := k.rng.IntN(8)
	if kind < 3 && k.rng.IntN(2) == 0 && !k.world.limits.SharedClock {
		// In half of these cases the machine is a leader, if there is one, and the election
		// timeouts of the other machines pass.
		k.onLeader(func(at int, _ *machine) Step { target = at; return "" })
		for _, other := range append(k.rng.Perm(count), k.rng.Perm(count)...) {
			if other != target {
				k.planned = append(k.planned, machineStep(stepElectionTimeout, other))
			}
		}
	}
	if k.world.limits.SharedClock && k.rng.IntN(2) == 0 {
		// Two machines can't reach each other, but a third machine reaches both.
		other := (target + 1 + k.rng.IntN(count-1)) % count
		k.blocked[[2]int{target, other}], k.blocked[[2]int{other, target}] = true, true
		return
	}
	for from := range count {
		for to := range count {
			if isLinkBlocked(kind, from, to, target, side) {
				k.blocked[[2]int{from, to}] = true
			}
		}
	}
}

// isLinkBlocked reports whether a kind of partition blocks a link: 0 blocks the links from a
// machine, 1 the links to it, 2 both, and 3 the links between two groups of machines, given by
// the bits of side. Higher kinds block no link.
func isLinkBlocked(kind, from, to, machine int, side uint64) bool {
	switch kind {
	case 0:
		return from == machine
	case 1:
		return to == machine
	case 2:
		return from == machine || to == machine
	case 3:
		return side>>from&1 != side>>to&1
	}
	return false
}

// canWipe reports whether, in every machine's view of the membership, a majority of the voters
// would keep their disks if the store lost were wiped too. A walk of a group that has lost its
// quorum for good would find nothing.
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

// nextTimed draws a step for a world with a shared clock.
func (k *walker) nextTimed() Step {
	at := k.rng.IntN(len(k.world.machines))
	switch draw := k.rng.IntN(1000); {
	case draw < 500 && len(k.world.inFlight) > 0:
		return k.nextMessage(k.rng.IntN(100))
	case draw < 700:
		return k.nextWrite()
	case draw < 715:
		return machineStep(randomCrash(k.rng), at)
	case draw < 725:
		return k.onLeader(func(at int, _ *machine) Step {
			return operatorStep(stepReplace, k.rng.IntN(len(k.world.operators)), at)
		})
	}
	return advanceTimeStep(1 + k.rng.IntN(20))
}

// nextWrite draws the sync of one machine's current write, or a message if no write is in
// progress.
func (k *walker) nextWrite() Step {
	for _, at := range k.rng.Perm(len(k.world.machines)) {
		if k.world.machines[at].currentWrite != nil {
			return machineStep(stepSyncWrite, at)
		}
	}
	return k.nextMessage(0)
}

// nextMessage draws the delivery of one of the oldest messages whose links aren't blocked. The
// argument is a random number from 0 to 99; if it is high, the message is duplicated or lost
// instead.
func (k *walker) nextMessage(draw int) Step {
	w := k.world
	var candidates []int
	for j, message := range w.inFlight {
		from, to := machineIndex(message.from), machineIndex(message.to)
		if !k.blocked[[2]int{from, to}] {
			candidates = append(candidates, j)
			if len(candidates) == deliveryWindow {
				break
			}
		}
	}
	if len(candidates) == 0 && w.limits.SharedClock {
		return advanceTimeStep(idleMS)
	}
	if len(candidates) == 0 {
		return k.nextWhenIdle()
	}
	chosen := w.inFlight[candidates[k.rng.IntN(len(candidates))]]
	kind := stepDeliver
	switch {
	case draw > 97:
		kind = stepLose
	case draw > 94:
		kind = stepDuplicate
	}
	return messageStep(kind, chosen.key)
}

// nextWhenIdle draws a step that creates new messages, for a world in which no message can be
// delivered.
func (k *walker) nextWhenIdle() Step {
	step := k.onLeader(func(at int, _ *machine) Step {
		switch k.rng.IntN(4) {
		case 0:
			return operatorStep(stepReplace, k.rng.IntN(len(k.world.operators)), at)
		case 1:
			return operatorStep(stepRead, k.rng.IntN(len(k.world.operators)), at)
		}
		return machineStep(stepHeartbeatDue, at)
	})
	if step == "" || k.rng.IntN(16) == 0 {
		return machineStep(stepElectionTimeout, k.rng.IntN(len(k.world.machines)))
	}
	return step
}

// machineIndex returns the index of the machine that a store ID belongs to; see newStoreID.
func machineIndex(id string) int { return int(id[0] - 'a') }

// onLeader calls do with a random leader and returns the step that do returns; "" if there is no
// leader. There may be several leaders, since a deposed one may not know of its successor.
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

// nextMembershipChange draws the next membership change that a controller would propose:
// learners are promoted, lost stores are removed, and the group keeps its size. One change in
// five is a random one, since a controller may act on a stale state.
func (k *walker) nextMembershipChange(at int, m *machine) Step {
	members := m.group.MemberSet()
	if k.rng.IntN(5) == 0 {
		return k.randomMembershipChange(at, m)
	}
	if len(members.Learners) > 0 {
		return memberStep(stepPromote, at, members.Learners[0])
	}
	if len(members.Voters) > k.world.limits.Voters {
		for _, id := range members.Voters {
			if k.world.machineByID(id) == nil {
				return memberStep(stepRemove, at, id)
			}
		}
		return memberStep(stepRemove, at, k.randomVoter(m))
	}
	for _, j := range k.rng.Perm(len(k.world.machines)) {
		if id := k.world.machines[j].id; !slices.Contains(members.Voters, id) {
			return memberStep(stepAddLearner, at, id)
		}
	}
	return ""
}

func (k *walker) randomMembershipChange(at int, m *machine) Step {
	members := m.group.MemberSet()
	switch k.rng.IntN(3) {
	case 0:
		return memberStep(stepRemove, at, k.randomVoter(m))
	case 1:
		if len(members.Learners) > 0 {
			return memberStep(stepRemove, at, members.Learners[0])
		}
	}
	return memberStep(stepAddLearner, at, k.world.machines[k.rng.IntN(len(k.world.machines))].id)
}
