package queue

// Numbered hand-overs to the scheduler.

import (
	"sort"

	"sparnotch/internal/schema"
)

// TaskEvent tells the scheduler's side what became of one task. Shifts are numbered
// without gaps; whoever sees one asks for the whole list.
type TaskEvent struct {
	Sequence      uint64
	Key           schema.TaskKey
	Status        Status
	Attempt       uint32
	Worker        string
	Incarnation   uint64
	Name          string
	JobOrder      uint64 // of the job's admission to the queue
	Round         uint32
	StepInRound   uint32 // the step's number within its round
	Spec          *schema.Step
	Text          string
	Progress      string // progress that the next start carries
	Failures      uint32 // counted so far, of the task or its whole group
	IsGangStarted bool
	RoundAgeUs    int64      // since its round was due
	CriticalPath  []PathStep // the steps on the longest way through the round
	RemainingPath []PathStep // the same from this step on, itself first
}

// PathStep is one step on a way through a round.
type PathStep struct {
	EstimateUs int64 // of one task; 0: none
	CoresMilli int64 // of all its tasks
}

func (m *Machine) emitEvent(j *job, s, t int) {
	m.lastSequence++
	task := &j.tasks[s][t]
	status := j.status(s, t)
	if status == CheckedOut && task.checkoutSequence == 0 {
		task.checkoutSequence = m.lastSequence
	}
	m.effects.Events = append(m.effects.Events, m.newEvent(j, s, t, m.lastSequence))
}

func (m *Machine) newEvent(j *job, s, t int, sequence uint64) *TaskEvent {
	task, account, perRound := &j.tasks[s][t], j.accountingTask(s, t), j.stepsPerRound()
	return &TaskEvent{
		Sequence: sequence, Key: schema.TaskKey{Job: j.id, Step: uint32(s), Task: uint32(t)}, Status: j.status(s, t),
		Attempt: task.attempt, Worker: task.worker, Incarnation: task.incarnation,
		Name: j.name, JobOrder: j.id, Round: uint32(s / perRound), StepInRound: uint32(s % perRound), Spec: j.step(s), Text: j.spec.Text,
		Progress: account.progress, Failures: account.failures, IsGangStarted: task.isGangStarted,
		RoundAgeUs: j.roundAgeUs(s/perRound, m.now), CriticalPath: j.criticalPath, RemainingPath: j.remainingPaths[s%perRound],
	}
}

func (m *Machine) emitStepEvents(j *job, s int) {
	for t := range j.tasks[s] {
		m.emitEvent(j, s, t)
	}
}

// ActiveTasks lists every task the scheduler must know of: the read-only query
// that fills a gap in the numbers.
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

func (m *Machine) jobsInOrder() []*job {
	jobs := make([]*job, 0, len(m.jobs))
	for _, j := range m.jobs {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].id < jobs[b].id })
	return jobs
}
