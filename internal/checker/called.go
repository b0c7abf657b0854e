package checker

import (
	"slices"
	"sort"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// CalledWorkerBounds are the bounds where workers are called.
var CalledWorkerBounds = Bounds{
	Retention: 120 * eventloop.Second, EarlyStart: 250 * eventloop.Millisecond, Drain: 2 * eventloop.Second, Cancel: 3 * eventloop.Second,
	Stop: eventloop.Second, Propagation: 2 * eventloop.Second, Recovery: 12 * eventloop.Second, GangStart: 5 * eventloop.Second, LossDetection: eventloop.Second, GatewayReady: 5 * eventloop.Second,
	MaxIdle: 3 * eventloop.Second,
}

// checkCalledJob is what holds of a job whose workers are called: they name tasks
// by their job, list each end until it is noted, and have the members of a
// group wait for each other.
func (a *analysis) checkCalledJob(job *jobRecord, name string, ids []taskID) {
	for _, id := range ids {
		step := job.step(id.step)
		if step == nil || id.task >= step.Tasks {
			a.report(3, job.runs[id][0].start, "%s step %d task %d runs, which it hasn't", name, id.step, id.task)
			continue
		}
		for _, run := range job.runs[id] {
			a.checkStart(job, name, id, step, run)
			if run.outcome == "alone" && !(job.cancelRequestedAt > 0 && job.cancelRequestedAt <= run.end) && !a.isDisturbed(run.start, run.end) {
				a.report(10, run.end, "%s step %d: task %d ends alone on %s, and no trouble is near", name, id.step, id.task, run.worker)
			}
		}
	}
	a.checkShownCause(job, name, ids)
}

func (a *analysis) checkStart(job *jobRecord, name string, id taskID, step *schema.Step, run *taskRun) {
	// 3: what is started is what was handed in, from progress of its own.
	if run.text != job.spec.Text {
		a.report(3, run.start, "%s step %d task %d starts with the text %q", name, id.step, id.task, run.text)
	}
	if run.checkpoint != "" && !job.hasCheckpoint(id, step, run.checkpoint, run.start) {
		a.report(3, run.start, "%s step %d task %d starts from %q, which isn't its progress", name, id.step, id.task, run.checkpoint)
	}
	if step.Gang {
		for t := uint32(0); t < id.task; t++ {
			for _, other := range job.runs[taskID{id.jobKey, id.job, id.step, t}] {
				if other.attempt == run.attempt && other.checkpoint != run.checkpoint {
					a.report(3, run.start, "%s step %d: tasks %d and %d start from other progress in attempt %d", name, id.step, t, id.task, run.attempt)
				}
			}
		}
	}
	if step.RunUntilCancelled {
		return
	}
	// 2: an end that was noted, or is later, holds for good.
	members := []uint32{id.task}
	if job.endsAsGang(step) {
		members = nil
		for t := uint32(0); t < step.Tasks; t++ {
			members = append(members, t)
		}
	}
	failed := map[uint32]bool{}
	for _, t := range members {
		for _, other := range job.runs[taskID{id.jobKey, id.job, id.step, t}] {
			// Members of one start are told one by one.
			if other.acknowledgedAt == 0 || other.end > run.start || other.attempt == run.attempt {
				continue
			}
			switch other.outcome {
			case "done":
				a.report(2, run.start, "%s step %d task %d starts after task %d was done at %d, noted at %d", name, id.step, id.task, t, other.end, other.acknowledgedAt)
			case "failed":
				failed[other.attempt] = true
			}
		}
	}
	// 5: one run of a group fails once.
	if len(failed) > int(step.AllowedFailures) {
		a.report(5, run.start, "%s step %d task %d starts after %d failures, %d were allowed", name, id.step, id.task, len(failed), step.AllowedFailures)
	}
}

// hasCheckpoint tells whether a text was left by a run of the task, or of its group.
func (r *jobRecord) hasCheckpoint(id taskID, step *schema.Step, saved string, at eventloop.Micros) bool {
	for t := uint32(0); t < step.Tasks; t++ {
		if t != id.task && !r.endsAsGang(step) {
			continue
		}
		for _, e := range r.progress[taskID{id.jobKey, id.job, id.step, t}] {
			if e.Checkpoint == saved && e.At <= at {
				return true
			}
		}
	}
	return false
}

// isDisturbed tells whether a fault or the trouble of any worker lies near.
func (a *analysis) isDisturbed(from, to eventloop.Micros) bool {
	for _, list := range [][]eventloop.Micros{a.faults, a.disturbances} {
		for _, at := range list {
			if at > from-a.bounds.Recovery && at <= to {
				return true
			}
		}
	}
	return false
}

// checkShownCause: 1, a job is shown failed or cancelled only with a cause.
func (a *analysis) checkShownCause(job *jobRecord, name string, ids []taskID) {
	for _, status := range job.statuses {
		switch {
		case status.Code >= 300:
		case status.State == "cancelled" && (job.cancelRequestedAt == 0 || job.cancelRequestedAt > status.At):
			a.report(1, status.At, "%s is shown cancelled, and nobody asked for that", name)
			return
		case status.State == "failed" && !job.hasExhaustedFailures(ids, status.At):
			a.report(1, status.At, "%s is shown failed, and no task failed as often as allowed", name)
			return
		}
	}
}

func (r *jobRecord) hasExhaustedFailures(ids []taskID, at eventloop.Micros) bool {
	failed := map[taskID]map[uint32]bool{}
	for _, id := range ids {
		step := r.step(id.step)
		if step == nil {
			continue
		}
		key := id
		if r.endsAsGang(step) {
			key.task = 0
		}
		if failed[key] == nil {
			failed[key] = map[uint32]bool{}
		}
		for _, run := range r.runs[id] {
			if run.outcome == "failed" && run.end <= at {
				failed[key][run.attempt] = true
			}
		}
		if len(failed[key]) > int(step.AllowedFailures) {
			return true
		}
	}
	return false
}

// checkPlacement: 6 as well, where a task may stand: on a worker with its labels, and
// with no more of its step than allowed.
func (a *analysis) checkPlacement(history []Event) {
	labels := map[string][]string{}
	count := map[string]map[taskID]int{} // by worker and step
	for k := range history {
		e := &history[k]
		if !e.IsCalled {
			continue
		}
		id := e.taskID()
		id.task = 0
		switch e.Kind {
		case WorkerUp:
			labels[e.Actor], count[e.Actor] = e.Labels, map[taskID]int{}
		case TaskStart:
			job := a.jobs[id.jobKey]
			step := job.step(e.Step)
			if step == nil || count[e.Actor] == nil {
				continue
			}
			for _, label := range step.Labels {
				if !slices.Contains(labels[e.Actor], label) {
					a.report(6, e.At, "%s/%s step %d starts on %s, which lacks the label %s", e.Queue, e.Name, e.Step, e.Actor, label)
				}
			}
			count[e.Actor][id]++
			if step.MaxPerWorker > 0 && count[e.Actor][id] > int(step.MaxPerWorker) {
				a.report(6, e.At, "%s/%s step %d: %d tasks run on %s, %d may", e.Queue, e.Name, e.Step, count[e.Actor][id], e.Actor, step.MaxPerWorker)
			}
		case TaskEnd:
			if count[e.Actor] != nil {
				count[e.Actor][id]--
			}
		}
	}
}

// sortTaskIDs puts tasks in their order.
func sortTaskIDs(ids []taskID) {
	sort.Slice(ids, func(x, y int) bool {
		if ids[x].step != ids[y].step {
			return ids[x].step < ids[y].step
		}
		return ids[x].task < ids[y].task
	})
}
