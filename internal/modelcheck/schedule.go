package modelcheck

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Step is one decision of the scheduler. Its text is a letter and what it is
// about: machines and operators are digits, messages are named by their
// content and stores by their ids, so that a schedule from which steps were taken
// still says the same.
//
//	dKEY  a message arrives           uKEY  it arrives, and will again
//	xKEY  it is lost
//	tM    M hears nothing for longer than an election waits
//	bM    M's next heartbeat is due   sM    the write under way on M lasts
//	cM    M starts again, unsynced writes lost or torn
//	kM    M starts again, the write under way lasted but wasn't told
//	wM    M loses its disk            fM    M's log is let go up to a snapshot
//	pOM   operator O asks M for a replace, or for the one under way once more
//	rOM   operator O reads at M       gO    operator O gives up waiting
//	lMID  leader M takes store ID as a learner
//	vMID  M makes it a voter          oMID  M drops it
//	hMID  M hands the leadership to it
//	zNN   so many ms pass, everywhere
//	nM    M proposes more records than a promotion allows to be behind
//	qMN.. everything lasts and arrives among these machines (q alone: all) until
//	      nothing is left; what else is under way is lost
type Step string

// ParseSchedule reads a line of steps.
func ParseSchedule(line string) []Step {
	var steps []Step
	for _, word := range strings.Fields(line) {
		steps = append(steps, Step(word))
	}
	return steps
}

// FormatSchedule is a schedule's text.
func FormatSchedule(steps []Step) string {
	words := make([]string, len(steps))
	for k, step := range steps {
		words[k] = string(step)
	}
	return strings.Join(words, " ")
}

func messageKey(from, to string, body proto.Message) uint32 {
	hash := fnv.New32a()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(body)
	if err != nil {
		panic("modelcheck: " + err.Error())
	}
	fmt.Fprintf(hash, "%s>%s %T ", from, to, body)
	hash.Write(data)
	return hash.Sum32()
}

// Execute makes a step, and tells whether there was anything to do.
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
	rest := string(step[1:])
	switch step[0] {
	case 'd', 'u', 'x':
		return w.executeMessageStep(step[0], rest)
	case 'q':
		w.runUntilQuiet(rest)
		return true
	case 'z':
		return w.advanceTime(rest)
	case 'g':
		k, isFound := digit(rest, 0, len(w.operators))
		return isFound && w.abandon(k)
	case 'p', 'r':
		operator, isOperator := digit(rest, 0, len(w.operators))
		at, isMachine := digit(rest, 1, len(w.machines))
		return isOperator && isMachine && w.executeOperatorStep(step[0], operator, at)
	}
	at, isMachine := digit(rest, 0, len(w.machines))
	if !isMachine {
		return false
	}
	m := w.mutableMachine(at)
	if len(rest) > 1 {
		return w.executeMemberStep(step[0], m, rest[1:])
	}
	return w.executeMachineStep(step[0], m)
}

func digit(text string, at, below int) (int, bool) {
	if at >= len(text) {
		return 0, false
	}
	value := int(text[at] - '0')
	return value, value >= 0 && value < below
}

// advanceTime lets time pass by the clock that all share.
func (w *World) advanceTime(span string) bool {
	millis, err := strconv.Atoi(span)
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

func (w *World) executeMessageStep(kind byte, key string) bool {
	number, err := strconv.ParseUint(key, 16, 32)
	if err != nil {
		return false
	}
	at := slices.IndexFunc(w.inFlight, func(p message) bool { return p.key == uint32(number) })
	if at < 0 {
		return false
	}
	p := w.inFlight[at]
	if kind == 'u' {
		if w.duplicates >= w.limits.Duplicates {
			return false
		}
		w.duplicates++
	} else {
		w.inFlight = slices.Delete(w.inFlight, at, at+1)
	}
	if kind != 'x' {
		w.deliver(p)
	}
	return true
}

func (w *World) executeOperatorStep(kind byte, operator, at int) bool {
	isDone := false
	if kind == 'r' {
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

func (w *World) executeMachineStep(kind byte, m *machine) bool {
	switch kind {
	case 'c':
		return w.crash(m, false)
	case 'k':
		return w.crash(m, true)
	case 'w':
		return w.wipe(m)
	}
	if m.group == nil {
		return false
	}
	switch kind {
	case 't':
		m.clock += raftTimes.ElectionMax + 1
		m.group.Tick(m.clock)
	case 'b':
		if !m.group.IsLeader() {
			return false
		}
		m.clock += raftTimes.HeartbeatInterval
		m.group.Tick(m.clock)
	case 's':
		if m.currentWrite == nil {
			return false
		}
		w.completeWrite(m)
	case 'f':
		if m.applied <= m.log.Snapshot.Index {
			return false
		}
		m.group.Compact(m.applied, m.state.Snapshot())
	case 'n':
		if !m.group.IsLeader() || m.group.LastIndex()-m.group.AppliedIndex() > maxPromotionLag {
			return false
		}
		for range maxPromotionLag + 8 {
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

func (w *World) executeMemberStep(kind byte, m *machine, other string) bool {
	if m.group == nil || !m.group.IsLeader() || len(other) < 2 {
		return false
	}
	if kind == 'h' {
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

// nextMembership is a membership after one step, whether or not that is wise: the group
// itself must know what it can't bear. Nil where the step means nothing.
func nextMembership(old *schema.MemberSet, kind byte, id string) *schema.MemberSet {
	isVoter, isLearner := slices.Contains(old.Voters, id), slices.Contains(old.Learners, id)
	next := &schema.MemberSet{Voters: slices.Clone(old.Voters), Learners: slices.Clone(old.Learners)}
	switch {
	case kind == 'l' && !isVoter && !isLearner:
		next.Learners = append(next.Learners, id)
	case kind == 'v' && !isVoter:
		next.Learners = withoutID(next.Learners, id)
		next.Voters = append(next.Voters, id)
	case kind == 'o' && (isVoter || isLearner):
		next.Voters, next.Learners = withoutID(next.Voters, id), withoutID(next.Learners, id)
	default:
		return nil
	}
	return next
}

func withoutID(list []string, id string) []string {
	return slices.DeleteFunc(list, func(each string) bool { return each == id })
}

// maxQuietRounds bounds a quiet time: two leaders could beat each other for ever.
const maxQuietRounds = 10_000

func (w *World) runUntilQuiet(among string) {
	isIn := func(id string) bool {
		m := w.machineByID(id)
		return m != nil && (among == "" || strings.ContainsRune(among, rune('0'+m.index)))
	}
	for range maxQuietRounds {
		progressed := false
		for k := range w.machines {
			if m := w.mutableMachine(k); isIn(m.id) && m.currentWrite != nil {
				w.completeWrite(m)
				w.drainEffects(m)
				progressed = true
			}
		}
		if len(w.inFlight) > 0 {
			p := w.inFlight[0]
			w.inFlight = slices.Delete(w.inFlight, 0, 1)
			if isIn(p.from) && isIn(p.to) {
				w.deliver(p)
			}
			progressed = true
		}
		if !progressed || w.violation != "" {
			return
		}
	}
}
