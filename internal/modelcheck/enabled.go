package modelcheck

import (
	"slices"
)

// EnabledSteps returns the steps that the scheduler may take. Losing a message isn't among
// them, since a message that is never delivered is as good as lost.
func (w *World) EnabledSteps() []Step {
	steps := w.messageSteps()
	for k, m := range w.machines {
		steps = append(steps, w.machineSteps(k, m)...)
	}
	for k, operator := range w.operators {
		if operator.operation != noOperation {
			steps = append(steps, giveUpStep(k))
		}
	}
	return steps
}

// messageSteps returns the steps that deliver or duplicate a message in flight; equal messages
// are listed once.
func (w *World) messageSteps() []Step {
	var steps []Step
	isListed := map[uint32]bool{}
	for _, message := range w.inFlight {
		if isListed[message.key] {
			continue
		}
		isListed[message.key] = true
		steps = append(steps, messageStep(stepDeliver, message.key))
		if w.duplicates < w.limits.Duplicates {
			steps = append(steps, messageStep(stepDuplicate, message.key))
		}
	}
	return steps
}

// machineSteps returns the steps that one machine may take.
func (w *World) machineSteps(k int, m *machine) []Step {
	var steps []Step
	add := func(step Step) { steps = append(steps, step) }
	if m.currentWrite != nil {
		add(machineStep(stepSyncWrite, k))
	}
	if w.crashes < w.limits.Crashes {
		add(machineStep(stepCrash, k))
		if m.currentWrite != nil {
			add(machineStep(stepCrashAfterSync, k))
		}
	}
	if w.wipes < w.limits.Wipes {
		add(machineStep(stepWipe, k))
	}
	if m.group == nil {
		return steps
	}
	add(machineStep(stepElectionTimeout, k))
	if m.appliedIndex > m.log.Snapshot.Index {
		add(machineStep(stepCompact, k))
	}
	if m.group.IsLeader() {
		steps = append(steps, w.leaderSteps(k, m)...)
	}
	return steps
}

// leaderSteps returns the steps that a machine may take only as a leader.
func (w *World) leaderSteps(k int, m *machine) []Step {
	var steps []Step
	add := func(step Step) { steps = append(steps, step) }
	add(machineStep(stepHeartbeatDue, k))
	for j, operator := range w.operators {
		isIdle := operator.operation == noOperation
		if w.proposals < w.limits.Proposals && (isIdle || !w.operations[operator.operation].isRead) {
			add(operatorStep(stepReplace, j, k))
		}
		if isIdle {
			add(operatorStep(stepRead, j, k))
		}
	}
	members := m.group.MemberSet()
	for _, other := range w.machines {
		if other.id != m.id && slices.Contains(members.Voters, other.id) {
			add(memberStep(stepTransferLeadership, k, other.id))
		}
	}
	if !w.limits.MembershipChanges {
		return steps
	}
	for _, id := range members.Learners {
		add(memberStep(stepPromote, k, id))
		add(memberStep(stepRemove, k, id))
	}
	for _, id := range members.Voters {
		if len(members.Voters) > 1 {
			add(memberStep(stepRemove, k, id))
		}
	}
	for _, other := range w.machines {
		if !slices.Contains(members.Voters, other.id) && !slices.Contains(members.Learners, other.id) {
			add(memberStep(stepAddLearner, k, other.id))
		}
	}
	return steps
}
