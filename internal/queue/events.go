package queue

// This file defines the events that a queue emits for the scheduler.

import (
	"sparnotch/internal/schema"
)

// TaskEvent describes a task after a change. The events of a queue are numbered without gaps.
// A scheduler that receives events with a gap requests all active tasks instead.
type TaskEvent struct {
	Sequence       uint64
	Key            schema.TaskKey
	Status         Status
	Attempt        uint32
	Worker         string // worker that the task is checked out for; empty if it isn't checked out
	Incarnation    uint64 // incarnation of the worker
	Name           string // name of the job
	Tenant         string // tenant of the job; empty if it has none
	JobOrder       uint64 // position of the job in the order of admission
	Round          uint32
	StepInRound    uint32
	Spec           *schema.Step
	Text           string // text of the job, which the worker receives
	Checkpoint     string // latest checkpoint, from which the next start resumes
	Failures       uint32 // failures counted so far for the task, or for its whole gang
	HasLostAttempt bool   // whether an attempt of the task, or of a member of its gang, was lost with its worker
	IsGangStarted  bool
	RoundAgeUs     int64      // time since the round was due, µs
	CriticalPath   []PathStep // longest path through the round
	RemainingPath  []PathStep // longest path from this step to the end of the round, starting with this step
}

// PathStep describes one step on a path of dependent steps through a round.
type PathStep struct {
	EstimateUs int64 // estimated run time of one task, µs; 0 if unknown
	CoresMilli int64 // cores of all tasks of the step together, in thousandths
	Tasks      int64 // number of tasks
}

// emitEvent adds an event with a task's present state to the effects.
func (m *Machine) emitEvent(j *job, s, t int) {
	m.lastSequence++
	task := &j.tasks[s][t]
	if j.status(s, t) == CheckedOut && task.checkoutSequence == 0 {
		task.checkoutSequence = m.lastSequence
	}
	m.effects.Events = append(m.effects.Events, m.newEvent(j, s, t, m.lastSequence))
}

// emitStepEvents emits an event for every task of a step.
func (m *Machine) emitStepEvents(j *job, s int) {
	for t := range j.tasks[s] {
		m.emitEvent(j, s, t)
	}
}

func (m *Machine) newEvent(j *job, s, t int, sequence uint64) *TaskEvent {
	task, shared, perRound := &j.tasks[s][t], j.sharedTask(s, t), j.stepsPerRound()
	return &TaskEvent{
		Sequence: sequence, Key: schema.TaskKey{Job: j.id, Step: uint32(s), Task: uint32(t)}, Status: j.status(s, t),
		Attempt: task.attempt, Worker: task.worker, Incarnation: task.incarnation,
		Name: j.name, Tenant: j.tenant, JobOrder: j.id, Round: uint32(s / perRound), StepInRound: uint32(s % perRound), Spec: j.step(s), Text: j.spec.Text,
		Checkpoint: shared.checkpoint, Failures: shared.failures, HasLostAttempt: j.hasLostAttempt(s, t), IsGangStarted: task.isGangStarted,
		RoundAgeUs: j.roundAgeUs(s/perRound, m.now), CriticalPath: j.criticalPath, RemainingPath: j.remainingPaths[s%perRound],
	}
}

// ActiveTasks returns an event for every task that isn't Inactive, each with the sequence
// number of the last event. A scheduler that missed events uses this read-only query to
// catch up.
func (m *Machine) ActiveTasks() (events []*TaskEvent, lastSequence uint64) {
	for _, j := range m.jobsInOrder() {
		for s := range j.tasks {
			for t := range j.tasks[s] {
				if j.status(s, t) != Inactive {
					events = append(events, m.newEvent(j, s, t, m.lastSequence))
				}
			}
		}
	}
	return events, m.lastSequence
}
