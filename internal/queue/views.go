package queue

// This file builds the views of jobs and the counts that callers and operators see.

import (
	"maps"
	"slices"

	"sparnotch/internal/schema"
)

// States of a step in a job view.
const (
	stepWaiting = "waiting"
	stepOpen    = "open"
	stepDone    = "done"
)

// stateNames maps each job state to its name in the HTTP interface.
var stateNames = map[schema.JobState]string{
	schema.JobState_JOB_SCHEDULED: "timed",
	schema.JobState_JOB_RUNNING:   "running",
	schema.JobState_JOB_STOPPING:  "stopping",
	schema.JobState_JOB_COMPLETE:  "complete",
	schema.JobState_JOB_FAILED:    "failed",
	schema.JobState_JOB_CANCELLED: "cancelled",
}

// JobView returns the view of a job for callers. It returns false if the name is unknown or the
// job is no longer retained.
func (m *Machine) JobView(name string) (*schema.JobView, bool) {
	if j := m.jobsByName[name]; j != nil {
		return m.newJobView(j), true
	}
	if ended := m.endedByName[name]; ended != nil {
		return &schema.JobView{Queue: m.name, Name: name, State: stateNames[ended.State], Reason: ended.Reason, Tasks: ended.Tasks, Done: ended.Done, Tenant: ended.Tenant}, true
	}
	return nil, false
}

// newJobView returns the view of a live job.
func (m *Machine) newJobView(j *job) *schema.JobView {
	view := &schema.JobView{Queue: m.name, Name: j.name, State: stateNames[j.state], Reason: j.reason, StartedTasks: j.startedTasks, Tenant: j.tenant}
	if j.state == schema.JobState_JOB_STOPPING {
		view.PendingOutcome = stateNames[j.finalState]
	}
	for stepInRound, step := range j.spec.Steps {
		stepView := j.stepView(stepInRound, step)
		view.Tasks += uint32(j.rounds()) * step.Tasks
		view.Done += stepView.Done
		view.Steps = append(view.Steps, stepView)
	}
	return view
}

// stepView returns the view of a step, with its tasks and failures summed over all rounds.
func (j *job) stepView(stepInRound int, step *schema.Step) *schema.StepView {
	view := &schema.StepView{Name: step.Name, State: stepDone}
	for s := stepInRound; s < len(j.unfinishedTasks); s += j.stepsPerRound() {
		view.Failures += j.failures[s]
		view.Running += uint32(j.checkedOutTasks[s])
		view.Waiting += uint32(j.unfinishedTasks[s] - j.checkedOutTasks[s])
		view.Done += step.Tasks - uint32(j.unfinishedTasks[s])
		switch {
		case j.unfinishedTasks[s] == 0:
		case j.state == schema.JobState_JOB_RUNNING && j.isStepOpen(s):
			view.State = stepOpen
		case view.State == stepDone:
			view.State = stepWaiting
		}
	}
	return view
}

// Counts returns the numbers of live jobs, of live jobs that haven't begun, of tasks that are
// ready to be checked out, and of tasks that are checked out.
func (m *Machine) Counts() *schema.QueueCounts {
	counts := &schema.QueueCounts{Live: uint32(len(m.jobs))}
	for _, j := range m.jobs {
		counts.Out += uint32(j.checkedOutCount)
		if !j.hasBegun() {
			counts.NotBegun++
		}
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

// hasBegun reports whether any task of the job is checked out or is known to have run. A task
// that was returned without a failure or a loss may never have started on its worker.
func (j *job) hasBegun() bool {
	if j.startedTasks == 0 {
		return false
	}
	if j.checkedOutCount > 0 || j.state == schema.JobState_JOB_STOPPING {
		return true
	}
	for _, step := range j.tasks {
		if slices.ContainsFunc(step, func(t task) bool { return t.hasRun() }) {
			return true
		}
	}
	return false
}

// List returns a page of live and retained jobs, sorted by name and without their steps. The
// page begins after the name `after` and has at most limit jobs. If more jobs follow, the
// page's Next is the name of its last job.
func (m *Machine) List(after string, limit int) *schema.JobList {
	names := slices.Collect(maps.Keys(m.jobsByName))
	names = slices.AppendSeq(names, maps.Keys(m.endedByName))
	names = slices.DeleteFunc(names, func(name string) bool { return name <= after })
	slices.Sort(names)
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
