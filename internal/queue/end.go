package queue

// The end of jobs: cancelling, stopping, and retaining what has ended.

import (
	"net/http"

	"sparnotch/internal/schema"
)

// cancel ends a job, or stops it if tasks of it run. It changes nothing for one that has
// ended or is stopping, or is another tenant's.
func (m *Machine) cancel(c *schema.Cancel) {
	if m.isOthersJob(c.Name, c.Tenant) {
		m.effects.CancelCode = http.StatusForbidden
		return
	}
	if j := m.jobsByName[c.Name]; j != nil {
		switch j.state {
		case schema.JobState_JOB_SCHEDULED:
			m.byStart.Delete(j)
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

// stopJob opens nothing more of a job; it ends in finalState when none of its tasks is
// checked out.
func (m *Machine) stopJob(j *job, finalState schema.JobState, reason string) {
	if j.openedRounds < j.rounds() {
		m.byStart.Delete(j)
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

func (m *Machine) endIfIdle(j *job) {
	if j.checkedOut == 0 {
		m.endJob(j, j.finalState)
	}
}

// endJob removes a job from the live ones and retains what can be asked of it.
func (m *Machine) endJob(j *job, state schema.JobState) {
	ended := &schema.EndedJobSnapshot{Name: j.name, Digest: j.digest, State: state, EndedUs: m.now, Reason: j.reason, Id: j.id, Tenant: j.tenant}
	for s := range j.unfinishedTasks {
		ended.Tasks += j.step(s).Tasks
		ended.Done += j.step(s).Tasks - uint32(j.unfinishedTasks[s])
	}
	m.byIndex.Delete(j)
	delete(m.jobs, j.id)
	delete(m.jobsByName, j.name)
	m.endedByName[j.name] = ended
	m.endedInOrder = append(m.endedInOrder, ended)
}
