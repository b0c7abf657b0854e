package modelcheck

import (
	"math/rand/v2"
	"slices"
)

const (
	walkStream        = 77 // of the random generator, beside the seed
	minPartitionSteps = 40 // between two changes of the partition
	maxPartitionSteps = 300
	deliveryWindow    = 6 // one of so many of the oldest messages is next
	idleMS            = 5 // that pass when no message can be delivered
)

// Walk follows a random schedule and returns the steps that had an effect.
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

// walker draws steps that make progress: most messages are delivered and most writes synced,
// while some links are blocked for a while at a time.
type walker struct {
	world        *World
	rng          *rand.Rand
	blocked      map[[2]int]bool // links, by from and to
	partitionEnd int             // in steps drawn
	drawn        int
	planned      []Step // taken before any are drawn
}

// next draws a step; "" if there is none of the kind that was drawn.
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

// changePartition blocks other links: none, those from, to or both of one machine, or those
// between two sides.
func (k *walker) changePartition() {
	k.partitionEnd = k.drawn + minPartitionSteps + k.rng.IntN(maxPartitionSteps)
	k.blocked = map[[2]int]bool{}
	count := len(k.world.machines)
	side := k.rng.Uint64()
	one := k.rng.IntN(count)
	kind := k.rng.IntN(8)
	if kind < 3 && k.rng.IntN(2) == 0 && !k.world.limits.SharedClock {
		// Often it is a leader that is partitioned away, and the others' elections time out.
		k.onLeader(func(at int, _ *machine) Step { one = at; return "" })
		for _, other := range append(k.rng.Perm(count), k.rng.Perm(count)...) {
			if other != one {
				k.planned = append(k.planned, machineStep(stepElectionTimeout, other))
			}
		}
	}
	if k.world.limits.SharedClock && k.rng.IntN(2) == 0 {
		// Two machines are partitioned from each other, though a third reaches both.
		other := (one + 1 + k.rng.IntN(count-1)) % count
		k.blocked[[2]int{one, other}], k.blocked[[2]int{other, one}] = true, true
		return
	}
	for from := range count {
		for to := range count {
			if isLinkBlocked(kind, from, to, one, side) {
				k.blocked[[2]int{from, to}] = true
			}
		}
	}
}

// isLinkBlocked tells which links a kind of partition blocks: from a machine, to it, both, or
// across two sides given as bits; none for higher kinds.
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

// canWipe reports whether the group keeps its majority without a disk, by every machine's view
// of the members: a walk of a group without a quorum shows nothing.
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

// nextTimed draws a step of a world with a shared clock.
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

// nextWrite syncs some machine's current write.
func (k *walker) nextWrite() Step {
	for _, at := range k.rng.Perm(len(k.world.machines)) {
		if k.world.machines[at].currentWrite != nil {
			return machineStep(stepSyncWrite, at)
		}
	}
	return k.nextMessage(0)
}

// nextMessage delivers one of the oldest messages that aren't blocked; a high draw of 0 to 99
// duplicates or loses it.
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

// nextWhenIdle starts something where no message can be delivered.
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

// machineIndex is the machine that a store ID was made for; see newStoreID.
func machineIndex(id string) int { return int(id[0] - 'a') }

// onLeader draws a step of a leader: any of them, for there may be a deposed one; "" without.
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

// nextMembershipChange is the next change that a controller would propose: learners are
// promoted, lost stores removed, and the group keeps its size. Now and then it is any other
// change, since a controller may act on a stale state.
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
