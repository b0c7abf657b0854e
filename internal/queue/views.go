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

// View is a job as callers see it.
func (m *Machine) View(name string) (*schema.JobView, bool) {
	if j := m.names[name]; j != nil {
		return m.viewOf(j), true
	}
	if ended := m.ended[name]; ended != nil {
		return &schema.JobView{Queue: m.name, Name: name, State: stateName(ended.State), Reason: ended.Reason, Tasks: ended.Tasks, Done: ended.Done}, true
	}
	return nil, false
}

func (m *Machine) viewOf(j *job) *schema.JobView {
	view := &schema.JobView{Queue: m.name, Name: j.name, State: stateName(j.state), Reason: j.why, StartedTasks: j.started}
	if j.state == schema.JobState_JOB_STOPPING {
		view.PendingOutcome = stateName(j.verdict)
	}
	for part, step := range j.spec.Steps {
		sv := &schema.StepView{Name: step.Name, State: "done"}
		for s := part; s < len(j.left); s += j.parts() {
			sv.Failures += j.failures[s]
			sv.Running += uint32(j.out[s])
			sv.Waiting += uint32(j.left[s] - j.out[s])
			sv.Done += step.Tasks - uint32(j.left[s])
			switch {
			case j.left[s] == 0:
			case j.state == schema.JobState_JOB_RUNNING && j.isOpen(s):
				sv.State = "open"
			case sv.State == "done":
				sv.State = "waiting"
			}
		}
		view.Tasks += uint32(j.rounds()) * step.Tasks
		view.Done += sv.Done
		view.Steps = append(view.Steps, sv)
	}
	return view
}

// Counts are what the queue holds: live jobs, tasks that could be checked out,
// and tasks that are out.
func (m *Machine) Counts() *schema.QueueCounts {
	counts := &schema.QueueCounts{Live: uint32(len(m.jobs))}
	for _, j := range m.jobs {
		counts.Out += uint32(j.outs)
		if j.state != schema.JobState_JOB_RUNNING {
			continue
		}
		for s := range j.left[:j.first(j.opened)] {
			if j.left[s] > 0 && j.isOpen(s) && (!j.step(s).Gang || j.out[s] == 0) {
				counts.Waiting += uint32(j.left[s] - j.out[s])
			}
		}
	}
	return counts
}

// List pages over live and kept jobs in order of their names.
func (m *Machine) List(after string, most int) *schema.JobList {
	var names []string
	for name := range m.names {
		if name > after {
			names = append(names, name)
		}
	}
	for name := range m.ended {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	list := &schema.JobList{}
	for k, name := range names {
		if k == most {
			list.Next = names[k-1]
			break
		}
		view, _ := m.View(name)
		view.Steps = nil
		list.Jobs = append(list.Jobs, view)
	}
	return list
}
