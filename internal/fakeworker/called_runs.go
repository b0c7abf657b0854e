package fakeworker

import (
	"fmt"

	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
)

// calledRun is an attempt of a task that is running on a called worker.
type calledRun struct {
	id           RunID
	requirements Requirements
	acceptedAt   eventloop.Micros // when the start was carried out
	startedAt    eventloop.Micros // when its work began or will begin after a restore; 0: its gang is incomplete
	endsAt       eventloop.Micros // when its work is done; 0: never, or its gang is incomplete
	slowdown     float64          // factor by which its run time is multiplied
	priorWork    eventloop.Micros // work that was restored from its checkpoint
	willFail     bool
	gang         *gang
	stopAt       eventloop.Micros // when the ordered stop completes; 0: no stop was ordered
}

// startRun starts a run, and returns agent.NotRejected or the reason for which the start is
// rejected. Starts are idempotent.
func (w *CalledWorker) startRun(now eventloop.Micros, call agent.Call) agent.RejectionReason {
	key := RunID{call.Task, call.Attempt}
	if call.Attempt == 0 || call.Task.Job == "" {
		return agent.Malformed
	}
	if w.runs[key] != nil {
		return agent.NotRejected
	}
	if ended, found := w.endedAttempts[call.Task]; found && call.Attempt <= ended || call.Attempt <= w.startedAttempts[call.Task] {
		return agent.AttemptOver
	}
	if w.Clock(now) >= w.runDeadline || call.RunDeadline > 0 && w.Clock(now) >= call.RunDeadline {
		return agent.DeadlinePassed
	}
	requirements := w.config.ParseTask(call.Task, call.Text)
	if w.config.EnforcesCapacity && !w.hasCapacity(requirements) {
		return agent.NoCapacity
	}
	w.startedAttempts[call.Task] = call.Attempt
	r := &calledRun{id: key, requirements: requirements, acceptedAt: now, slowdown: w.slowdown(now, requirements)}
	if requirements.HasCheckpoints {
		fmt.Sscanf(call.Checkpoint, "work=%d", &r.priorWork)
	}
	r.willFail = w.config.Fails != nil && w.config.Fails(call.Task, call.Attempt)
	w.runs[key] = r
	w.emit(now, EventBegin, key, "")
	if w.config.OnStart != nil {
		w.config.OnStart(now, call, w.isDelayed)
	}
	if requirements.GangSize > 1 {
		w.joinGang(now, r)
		return agent.NotRejected
	}
	w.startWork(now, r)
	return agent.NotRejected
}

// slowdown returns the factor by which the run time of a run that starts now is multiplied.
func (w *CalledWorker) slowdown(now eventloop.Micros, requirements Requirements) float64 {
	slowdown := 1.0
	if w.config.Slowdown != nil {
		slowdown = w.config.Slowdown(now)
	}
	if requirements.Rack != "" && requirements.Rack != w.config.Rack {
		slowdown *= w.remoteFactor()
	}
	return slowdown
}

// remoteFactor returns the slowdown of a task whose data is in another rack, or whose gang has
// members in several racks.
func (w *CalledWorker) remoteFactor() float64 {
	if milli := w.config.Bounds.RemoteSlowdownMilli; milli > 0 {
		return float64(milli) / 1000
	}
	return 1
}

// startWork begins the work of a run, and sets when the run ends.
func (w *CalledWorker) startWork(now eventloop.Micros, r *calledRun) {
	r.startedAt = now
	if r.priorWork > 0 {
		r.startedAt += eventloop.Micros(w.config.Bounds.RestoreDelayUs)
	}
	if r.requirements.Work > 0 {
		r.endsAt = r.startedAt + eventloop.Micros(float64(r.requirements.Work-r.priorWork)*r.slowdown)
	}
	if r.willFail && r.requirements.Work > 0 {
		r.endsAt = r.startedAt + eventloop.Micros(float64(max(r.requirements.Work-r.priorWork, 2))*r.slowdown/2)
	}
}

// hasCapacity reports whether the free capacity is sufficient for the requirements.
func (w *CalledWorker) hasCapacity(requirements Requirements) bool {
	cores, memory, accelerators := w.config.Cores-requirements.Cores, w.config.Memory-requirements.Memory, w.config.Accelerators-requirements.Accelerators
	for _, r := range w.runs {
		cores, memory, accelerators = cores-r.requirements.Cores, memory-r.requirements.Memory, accelerators-r.requirements.Accelerators
	}
	return cores >= 0 && memory >= 0 && accelerators >= 0
}

// stopRun makes a run end after its stop duration. If the run doesn't exist, it records the
// attempt as ended, so that it can't start later.
func (w *CalledWorker) stopRun(now eventloop.Micros, key RunID) {
	r := w.runs[key]
	if r == nil {
		w.endedAttempts[key.Task] = max(w.endedAttempts[key.Task], key.Attempt)
		return
	}
	if r.stopAt > 0 {
		return
	}
	duration := eventloop.Micros(w.config.Bounds.StopTimeoutUs / 4)
	if w.config.StopDuration != nil {
		duration = w.config.StopDuration(key.Task, key.Attempt)
	}
	r.stopAt = now + duration
}

// workDone returns the work that a run has done, including the work restored from its checkpoint.
func (w *CalledWorker) workDone(now eventloop.Micros, r *calledRun) eventloop.Micros {
	if r.startedAt == 0 || now <= r.startedAt {
		return r.priorWork
	}
	return r.priorWork + eventloop.Micros(float64(now-r.startedAt)/max(r.slowdown, 0.001))
}

// checkpoint returns the checkpoint of a run, or an empty string if there is none. It contains
// the work of whole checkpoint intervals, or with all set, which applies to a stopped run, all
// work done.
func (w *CalledWorker) checkpoint(now eventloop.Micros, r *calledRun, all bool) string {
	if !r.requirements.HasCheckpoints {
		return ""
	}
	done := w.workDone(now, r)
	if interval := eventloop.Micros(w.config.Bounds.CheckpointIntervalUs); !all && interval > 0 {
		done = max(r.priorWork, done-done%interval)
	}
	if done == 0 {
		return ""
	}
	task := r.id.Task
	return fmt.Sprintf("work=%d of=%s.%d.%d.%d", done, task.Job, task.Round, task.StepInRound, task.Task)
}

// endRun ends a run and adds its end to the list of unacknowledged ends.
func (w *CalledWorker) endRun(now eventloop.Micros, r *calledRun, state string) {
	delete(w.runs, r.id)
	checkpoint := ""
	if state != stateDone {
		w.breakGang(r)
		checkpoint = w.checkpoint(now, r, state == stateStopped)
	}
	w.endedAttempts[r.id.Task] = max(w.endedAttempts[r.id.Task], r.id.Attempt)
	w.endCount++
	w.ended = append(w.ended, agent.EndedTask{Number: w.endCount, Task: r.id.Task, Attempt: r.id.Attempt, State: state, Checkpoint: checkpoint})
	w.emit(now, EventEnd, r.id, state)
}
