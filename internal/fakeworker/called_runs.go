package fakeworker

import (
	"fmt"

	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
)

// calledRun is a run of a called worker.
type calledRun struct {
	id           RunID
	requirements Requirements
	acceptedAt   eventloop.Micros // when the start was carried out
	startedAt    eventloop.Micros // when its work began; 0: its gang is incomplete
	endsAt       eventloop.Micros // when its work is done; 0: never, or not known yet
	slowdown     float64
	priorWork    eventloop.Micros // restored from its checkpoint
	willFail     bool
	gang         *gang
	stopAt       eventloop.Micros // when the stop is complete; 0: none was ordered
}

// startRun starts a run, or says why it is rejected. Starts are idempotent.
func (w *CalledWorker) startRun(now eventloop.Micros, call agent.Call) agent.RejectionReason {
	key := RunID{call.Task, call.Attempt}
	if call.Attempt == 0 || call.Task.Job == "" {
		return agent.Malformed
	}
	if w.runs[key] != nil {
		return agent.NotRejected
	}
	if over, found := w.overAttempts[call.Task]; found && call.Attempt <= over || call.Attempt <= w.startedAttempts[call.Task] {
		return agent.AttemptOver
	}
	if w.Clock(now) >= w.holdUntil || call.RunDeadline > 0 && w.Clock(now) >= call.RunDeadline {
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

// slowdown is the factor on the work of a run that starts now.
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

// remoteFactor is the slowdown of a task whose data or gang is in another rack.
func (w *CalledWorker) remoteFactor() float64 {
	if milli := w.config.Bounds.RemoteSlowdownMilli; milli > 0 {
		return float64(milli) / 1000
	}
	return 1
}

// startWork begins a run's work, and sets when it is done.
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

// hasCapacity reports whether the free capacity suffices.
func (w *CalledWorker) hasCapacity(requirements Requirements) bool {
	cores, memory, accelerators := w.config.Cores-requirements.Cores, w.config.Memory-requirements.Memory, w.config.Accelerators-requirements.Accelerators
	for _, r := range w.runs {
		cores, memory, accelerators = cores-r.requirements.Cores, memory-r.requirements.Memory, accelerators-r.requirements.Accelerators
	}
	return cores >= 0 && memory >= 0 && accelerators >= 0
}

// stopRun makes a run end soon. One that isn't there can't start any more.
func (w *CalledWorker) stopRun(now eventloop.Micros, key RunID) {
	r := w.runs[key]
	if r == nil {
		w.overAttempts[key.Task] = max(w.overAttempts[key.Task], key.Attempt)
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

// workDone is how much of its work a run has done.
func (w *CalledWorker) workDone(now eventloop.Micros, r *calledRun) eventloop.Micros {
	if r.startedAt == 0 || now <= r.startedAt {
		return r.priorWork
	}
	return r.priorWork + eventloop.Micros(float64(now-r.startedAt)/max(r.slowdown, 0.001))
}

// checkpoint is what is saved of a run's work: whole checkpoint intervals, or all of
// it when the run is stopped.
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

// endRun ends a run and lists its end.
func (w *CalledWorker) endRun(now eventloop.Micros, r *calledRun, state string) {
	delete(w.runs, r.id)
	checkpoint := ""
	if state != stateDone {
		w.breakGang(r)
		checkpoint = w.checkpoint(now, r, state == stateStopped)
	}
	w.overAttempts[r.id.Task] = max(w.overAttempts[r.id.Task], r.id.Attempt)
	w.endCount++
	w.ended = append(w.ended, agent.EndedTask{Number: w.endCount, Task: r.id.Task, Attempt: r.id.Attempt, State: state, Checkpoint: checkpoint})
	w.emit(now, EventEnd, r.id, state)
}
