package modelcheck

import (
	"slices"
	"strconv"
	"strings"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// maxQuietRounds limits the rounds of runUntilQuiet, since two leaders could send each other
// heartbeats for ever.
const maxQuietRounds = 10_000

// extraFillers is how many entries beyond the allowed lag are appended, to be sure that a
// learner exceeds it.
const extraFillers = 8

// Execute takes a step and checks the invariants. It returns false if the step isn't possible
// in this world. A panic of the code under test is recorded as a violation.
func (w *World) Execute(step Step) (isDone bool) {
	defer func() {
		if reason := recover(); reason != nil {
			w.fail("panic: %v", reason)
			isDone = true
		}
	}()
	if len(step) == 0 {
		return false
	}
	kind, rest := stepKind(step[0]), string(step[1:])
	switch kind {
	case stepDeliver, stepDuplicate, stepLose:
		return w.executeMessageStep(kind, rest)
	case stepQuiesce:
		w.runUntilQuiet(rest)
		return true
	case stepAdvanceTime:
		return w.advanceTime(rest)
	case stepGiveUp:
		operator, ok := digit(rest, 0, len(w.operators))
		return ok && w.abandon(operator)
	case stepReplace, stepRead:
		operator, isOperator := digit(rest, 0, len(w.operators))
		at, isMachine := digit(rest, 1, len(w.machines))
		return isOperator && isMachine && w.executeOperatorStep(kind, operator, at)
	}
	at, isMachine := digit(rest, 0, len(w.machines))
	if !isMachine {
		return false
	}
	m := w.mutableMachine(at)
	if len(rest) > 1 {
		return w.executeMemberStep(kind, m, rest[1:])
	}
	return w.executeMachineStep(kind, m)
}

// digit parses the digit at a position of a step's text. It returns false if there is none, or
// if its value isn't below a limit.
func digit(text string, at, below int) (int, bool) {
	if at >= len(text) {
		return 0, false
	}
	value := int(text[at] - '0')
	return value, value >= 0 && value < below
}

// advanceTime advances all clocks by the same time, in milliseconds, and checks the leader
// lease.
func (w *World) advanceTime(ms string) bool {
	millis, err := strconv.Atoi(ms)
	if err != nil {
		return false
	}
	for k := range w.machines {
		m := w.mutableMachine(k)
		m.clock += eventloop.Micros(millis) * eventloop.Millisecond
		if m.group != nil {
			m.group.Tick(m.clock)
			w.drainEffects(m)
		}
	}
	w.checkLeaderLease()
	return true
}

func (w *World) executeMessageStep(kind stepKind, key string) bool {
	number, err := strconv.ParseUint(key, 16, 32)
	if err != nil {
		return false
	}
	at := slices.IndexFunc(w.inFlight, func(m message) bool { return m.key == uint32(number) })
	if at < 0 {
		return false
	}
	chosen := w.inFlight[at]
	if kind == stepDuplicate {
		if w.duplicates >= w.limits.Duplicates {
			return false
		}
		w.duplicates++
	} else {
		w.inFlight = slices.Delete(w.inFlight, at, at+1)
	}
	if kind != stepLose {
		w.deliver(chosen)
	}
	return true
}

func (w *World) executeOperatorStep(kind stepKind, operator, at int) bool {
	isDone := false
	if kind == stepRead {
		isDone = w.startRead(operator, at)
	} else if w.proposals < w.limits.Proposals {
		isDone = w.proposeReplace(operator, at)
		if isDone {
			w.proposals++
		}
	}
	if isDone {
		w.drainEffects(w.machines[at])
	}
	return isDone
}

func (w *World) executeMachineStep(kind stepKind, m *machine) bool {
	switch kind {
	case stepCrash:
		return w.crash(m, false)
	case stepCrashAfterSync:
		return w.crash(m, true)
	case stepWipe:
		return w.wipe(m)
	}
	if m.group == nil {
		return false
	}
	switch kind {
	case stepElectionTimeout:
		m.clock += raftTimeouts.ElectionMax + 1
		m.group.Tick(m.clock)
	case stepHeartbeatDue:
		if !m.group.IsLeader() {
			return false
		}
		m.clock += raftTimeouts.HeartbeatInterval
		m.group.Tick(m.clock)
	case stepSyncWrite:
		if m.currentWrite == nil {
			return false
		}
		w.completeWrite(m)
	case stepCompact:
		if m.appliedIndex <= m.log.Snapshot.Index {
			return false
		}
		m.group.Compact(m.appliedIndex, m.state.Snapshot())
	case stepAppendFillers:
		if !m.group.IsLeader() || m.group.LastIndex()-m.group.CommitIndex() > maxPromotionLag {
			return false
		}
		for range maxPromotionLag + extraFillers {
			if _, _, err := m.group.Propose(m.clock, fillerCommand()); err != nil {
				break
			}
		}
	default:
		return false
	}
	w.drainEffects(m)
	return true
}

func (w *World) executeMemberStep(kind stepKind, m *machine, other string) bool {
	if m.group == nil || !m.group.IsLeader() || len(other) < 2 {
		return false
	}
	if kind == stepTransferLeadership {
		if m.group.Transferee() != "" || other == m.id {
			return false
		}
		m.group.TransferLeadership(m.clock, other)
		w.drainEffects(m)
		return true
	}
	next := nextMembership(m.group.MemberSet(), kind, other)
	if next == nil || m.group.ProposeMemberSet(m.clock, next) != nil {
		return false
	}
	w.drainEffects(m)
	return true
}

// nextMembership returns the membership after a step; nil if the step doesn't apply. It doesn't
// check whether the change is safe, since the group must reject unsafe changes itself.
func nextMembership(old *schema.MemberSet, kind stepKind, id string) *schema.MemberSet {
	isVoter, isLearner := slices.Contains(old.Voters, id), slices.Contains(old.Learners, id)
	next := &schema.MemberSet{Voters: slices.Clone(old.Voters), Learners: slices.Clone(old.Learners)}
	switch {
	case kind == stepAddLearner && !isVoter && !isLearner:
		next.Learners = append(next.Learners, id)
	case kind == stepPromote && !isVoter:
		next.Learners = withoutID(next.Learners, id)
		next.Voters = append(next.Voters, id)
	case kind == stepRemove && (isVoter || isLearner):
		next.Voters, next.Learners = withoutID(next.Voters, id), withoutID(next.Learners, id)
	default:
		return nil
	}
	return next
}

func withoutID(list []string, id string) []string {
	return slices.DeleteFunc(list, func(member string) bool { return member == id })
}

// runUntilQuiet delivers messages and syncs writes until none are left, on the machines whose
// digits are given, or on all if there are none. Messages to and from other machines are lost.
func (w *World) runUntilQuiet(among string) {
	isIncluded := func(id string) bool {
		m := w.machineByID(id)
		return m != nil && (among == "" || strings.ContainsRune(among, rune('0'+m.index)))
	}
	for range maxQuietRounds {
		progressed := false
		for k := range w.machines {
			if m := w.mutableMachine(k); isIncluded(m.id) && m.currentWrite != nil {
				w.completeWrite(m)
				w.drainEffects(m)
				progressed = true
			}
		}
		if len(w.inFlight) > 0 {
			oldest := w.inFlight[0]
			w.inFlight = slices.Delete(w.inFlight, 0, 1)
			if isIncluded(oldest.from) && isIncluded(oldest.to) {
				w.deliver(oldest)
			}
			progressed = true
		}
		if !progressed || w.violation != "" {
			return
		}
	}
}
