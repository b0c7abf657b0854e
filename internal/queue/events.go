package queue

// Events for the scheduler, numbered without gaps.

import (
	"sparnotch/internal/schema"
)

// TaskEvent is a task as it is after a change. Events of a queue are numbered without
// gaps; a scheduler that sees a gap asks for all active tasks.
type TaskEvent struct {
	Sequence       uint64
	Key            schema.TaskKey
	Status         Status
	Attempt        uint32
	Worker         string // that it is checked out for; empty: none
	Incarnation    uint64 // of the worker
	Name           string // of the job
	Tenant         string // whose job it is; empty: nobody's
	JobOrder       uint64 // of the job's admission
	Round          uint32
	StepInRound    uint32
	Spec           *schema.Step
	Text           string // of the job
	Checkpoint     string // the latest checkpoint, for the next start
	Failures       uint32 // counted so far, of the task or its whole gang
	HasLostAttempt bool   // an attempt of the task, or of a member of its gang, was lost with its worker
	IsGangStarted  bool
	RoundAgeUs     int64      // since the round was due
	CriticalPath   []PathStep // of the round
	RemainingPath  []PathStep // the longest path from this step on, itself first
}

// PathStep is one step of a path through a round.
type PathStep struct {
	EstimateUs int64 // of one task; 0: unknown
	CoresMilli int64 // of all its tasks
	Tasks      int64
}

func (m *Machine) emitEvent(j *job, s, t int) {
	m.lastSequence++
	task := &j.tasks[s][t]
	if j.status(s, t) == CheckedOut && task.checkoutSequence == 0 {
		task.checkoutSequence = m.lastSequence
	}
	m.effects.Events = append(m.effects.Events, m.newEvent(j, s, t, m.lastSequence))
}

func (m *Machine) emitStepEvents(j *job, s int) {
	for t := range j.tasks[s] {
		m.emitEvent(j, s, t)
	}
}

func (m *Machine) newEvent(j *job, s, t int, sequence uint64) *TaskEvent {
	task, account, perRound := &j.tasks[s][t], j.sharedTask(s, t), j.stepsPerRound()
	return &TaskEvent{
		Sequence: sequence, Key: schema.TaskKey{Job: j.id, Step: uint32(s), Task: uint32(t)}, Status: j.status(s, t),
		Attempt: task.attempt, Worker: task.worker, Incarnation: task.incarnation,
		Name: j.name, Tenant: j.tenant, JobOrder: j.id, Round: uint32(s / perRound), StepInRound: uint32(s % perRound), Spec: j.step(s), Text: j.spec.Text,
		Checkpoint: account.checkpoint, Failures: account.failures, HasLostAttempt: j.hasLostAttempt(s, t), IsGangStarted: task.isGangStarted,
		RoundAgeUs: j.roundAgeUs(s/perRound, m.now), CriticalPath: j.criticalPath, RemainingPath: j.remainingPaths[s%perRound],
	}
}

// ActiveTasks lists every task that the scheduler must know, with the sequence number of
// the last event. It is the read-only query that fills a gap in the numbers.
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
