package queue

// What operators and callers are shown.

import (
	"sort"

	"sparnotch/internal/schema"
)

func stateName(state schema.JobState) string {
	return map[schema.JobState]string{
		schema.JobState_JOB_SCHEDULED: "timed", schema.JobState_JOB_RUNNING: "running", schema.JobState_JOB_STOPPING: "stopping",
		schema.JobState_JOB_COMPLETE: "complete", schema.JobState_JOB_FAILED: "failed", schema.JobState_JOB_CANCELLED: "cancelled",
	}[state]
}

// CancelView is a job as callers see it.
func (m *Machine) JobView(name string) (*schema.JobView, bool) {
	if j := m.jobsByName[name]; j != nil {
		return m.newJobView(j), true
	}
	if ended := m.endedByName[name]; ended != nil {
		return &schema.JobView{Queue: m.name, Name: name, State: stateName(ended.State), Reason: ended.Reason, Tasks: ended.Tasks, Done: ended.Done}, true
	}
	return nil, false
}

func (m *Machine) newJobView(j *job) *schema.JobView {
	view := &schema.JobView{Queue: m.name, Name: j.name, State: stateName(j.state), Reason: j.reason, StartedTasks: j.startedTasks}
	if j.state == schema.JobState_JOB_STOPPING {
		view.PendingOutcome = stateName(j.finalState)
	}
	for part, step := range j.spec.Steps {
		stepView := &schema.StepView{Name: step.Name, State: "done"}
		for s := part; s < len(j.unfinishedTasks); s += j.stepsPerRound() {
			stepView.Failures += j.failures[s]
			stepView.Running += uint32(j.checkedOutTasks[s])
			stepView.Waiting += uint32(j.unfinishedTasks[s] - j.checkedOutTasks[s])
			stepView.Done += step.Tasks - uint32(j.unfinishedTasks[s])
			switch {
			case j.unfinishedTasks[s] == 0:
			case j.state == schema.JobState_JOB_RUNNING && j.isStepOpen(s):
				stepView.State = "open"
			case stepView.State == "done":
				stepView.State = "waiting"
			}
		}
		view.Tasks += uint32(j.rounds()) * step.Tasks
		view.Done += stepView.Done
		view.Steps = append(view.Steps, stepView)
	}
	return view
}

// Counts are what the queue holds: live jobs, tasks that could be checked out,
// and tasks that are out.
func (m *Machine) Counts() *schema.QueueCounts {
	counts := &schema.QueueCounts{Live: uint32(len(m.jobs))}
	for _, j := range m.jobs {
		counts.Out += uint32(j.checkedOut)
		if j.state != schema.JobState_JOB_RUNNING {
			continue
		}
		for s := range j.unfinishedTasks[:j.firstStep(j.openedRounds)] {
			if j.unfinishedTasks[s] > 0 && j.isStepOpen(s) && (!j.step(s).Gang || j.checkedOutTasks[s] == 0) {
				counts.Waiting += uint32(j.unfinishedTasks[s] - j.checkedOutTasks[s])
			}
		}
	}
	return counts
}

// List pages over live and kept jobs in order of their names.
func (m *Machine) List(after string, limit int) *schema.JobList {
	var names []string
	for name := range m.jobsByName {
		if name > after {
			names = append(names, name)
		}
	}
	for name := range m.endedByName {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	page := &schema.JobList{}
	for k, name := range names {
		if k == limit {
			page.Next = names[k-1]
			break
		}
		view, _ := m.JobView(name)
		view.Steps = nil
		page.Jobs = append(page.Jobs, view)
	}
	return page
}
