package queue

// This file cancels, stops and ends jobs, and retains a record of each ended job.

import (
	"net/http"

	"sparnotch/internal/schema"
)

// cancel ends a job, or stops it first if any of its tasks are checked out. A job that has
// ended or is already stopping stays as it is, and a job of another tenant isn't cancelled.
// Even if there is no such job, the cancel bars later submissions of the name: one that was
// sent before the cancel may still arrive.
func (m *Machine) cancel(c *schema.Cancel) {
	if m.isOthersJob(c.Name, c.Tenant) {
		m.effects.CancelCode = http.StatusForbidden
		return
	}
	j := m.jobsByName[c.Name]
	if !m.barName(c) && j == nil {
		// Without the bar an answer would be a promise that the queue can't keep.
		m.effects.CancelCode = http.StatusServiceUnavailable
		return
	}
	if j != nil {
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

// barName bars submissions of a cancelled name for CancelledNameRetentionUs. It returns false if
// too many names are barred already. A live job is safe without the bar, as it keeps its name
// until the retention of the ended job is over.
func (m *Machine) barName(c *schema.Cancel) bool {
	if !m.remembersCancels() {
		return true
	}
	if m.cancelledNames.isFull() {
		return false
	}
	m.cancelledNames.add(&schema.CancelledNameSnapshot{Name: c.Name, Tenant: c.Tenant, CancelledUs: m.now})
	return true
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
