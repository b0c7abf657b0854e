package queue

// This file cancels, stops and ends jobs, and retains a record of each ended job.

import (
	"net/http"

	"sparnotch/internal/schema"
)

// cancel ends a job, or stops it first if any of its tasks are checked out. It changes
// nothing if the job has ended, is already stopping or belongs to another tenant.
func (m *Machine) cancel(c *schema.Cancel) {
	if m.isOthersJob(c.Name, c.Tenant) {
		m.effects.CancelCode = http.StatusForbidden
		return
	}
	if j := m.jobsByName[c.Name]; j != nil {
		switch j.state {
		case schema.JobState_JOB_SCHEDULED:
			m.jobsByNextRound.Delete(j)
			j.reason = "cancelled before its start"
			m.endJob(j, schema.JobState_JOB_CANCELLED)
		case schema.JobState_JOB_RUNNING:
			m.stopJob(j, schema.JobState_JOB_CANCELLED, "cancelled")
			m.endIfIdle(j)
		}
	}
	m.effects.CancelCode = http.StatusNotFound
	if view, found := m.JobView(c.Name); found {
		m.effects.CancelCode, m.effects.CancelView = http.StatusOK, view
	}
}

// stopJob marks a job as stopping: no further round, step or task of it becomes ready. The
// job ends in finalState once none of its tasks is checked out (see endIfIdle).
func (m *Machine) stopJob(j *job, finalState schema.JobState, reason string) {
	if j.openedRounds < j.rounds() {
		m.jobsByNextRound.Delete(j)
	}
	j.state, j.finalState, j.reason = schema.JobState_JOB_STOPPING, finalState, reason
	for s := range j.tasks {
		if !j.isStepOpen(s) {
			continue
		}
		for t := range j.tasks[s] {
			if j.tasks[s][t].state != schema.TaskState_TASK_DONE {
				m.emitEvent(j, s, t)
			}
		}
	}
}

// endIfIdle ends a stopping job if none of its tasks is checked out.
func (m *Machine) endIfIdle(j *job) {
	if j.checkedOutCount == 0 {
		m.endJob(j, j.finalState)
	}
}

// endJob removes a job from the live jobs. It retains the data that status requests and
// resubmissions of the job's name need.
func (m *Machine) endJob(j *job, state schema.JobState) {
	ended := &schema.EndedJobSnapshot{Name: j.name, Digest: j.digest, State: state, EndedUs: m.now, Reason: j.reason, Id: j.id, Tenant: j.tenant}
	for s := range j.unfinishedTasks {
		ended.Tasks += j.step(s).Tasks
		ended.Done += j.step(s).Tasks - uint32(j.unfinishedTasks[s])
	}
	m.jobsByPayloadIndex.Delete(j)
	delete(m.jobs, j.id)
	delete(m.jobsByName, j.name)
	m.endedByName[j.name] = ended
	m.endedInOrder = append(m.endedInOrder, ended)
}
