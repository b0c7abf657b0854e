package sim

import (
	"math"
	"strconv"
	"strings"

	"sparnotch/internal/agent"
	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
	"sparnotch/internal/schema"
)

const (
	stallFactor    = 30     // factor by which a stalled task takes longer
	warmUpFactor   = 2      // factor by which a task takes longer while its worker warms up
	defaultRunTime = 20_000 // run time in µs of a task that specifies none
)

// jobAndStep returns the job and the step of a task. The step is nil if the job or the step
// is unknown.
func (w *CalledWorker) jobAndStep(task agent.TaskName) (submittedJob, *schema.Step) {
	job, known := w.sim.submittedJobs[task.Job]
	if !known || int(task.StepInRound) >= len(job.job.Steps) {
		return job, nil
	}
	return job, job.job.Steps[task.StepInRound]
}

// --- random properties of a run ---

// requirements returns the requirements of a task, with a randomly drawn amount of work.
func (w *CalledWorker) requirements(task agent.TaskName, text string) fakeworker.Requirements {
	_, step := w.jobAndStep(task)
	if step == nil {
		return fakeworker.Requirements{}
	}
	requirements := fakeworker.Requirements{
		Cores: step.CoresMilli, Memory: step.MemoryMb, Accelerators: step.Accelerators, Rack: step.DataRack, NeedsOneRack: step.OneRack,
		HasCheckpoints: step.Checkpoints, Work: eventloop.Micros(step.EstimatedRunUs),
	}
	if step.Gang {
		requirements.GangSize = int(step.Tasks)
	}
	if requirements.Work == 0 {
		requirements.Work = eventloop.Micros(textParameter(text, "run_us", defaultRunTime))
	}
	requirements.Work = max(1, requirements.Work*eventloop.Micros(80+w.rng.Int64N(40))/100)
	if spread := textParameter(text, "uneven", 0); spread > 0 {
		requirements.Work = max(1, eventloop.Micros(float64(requirements.Work)*math.Exp(spread*w.rng.NormFloat64())))
	}
	if step.RunUntilCancelled {
		requirements.Work = 0
	}
	return requirements
}

// textParameter returns the number in a word NAME=NUMBER of a text, or byDefault if there is no
// such word.
func textParameter(text, name string, byDefault float64) float64 {
	for _, word := range strings.Fields(text) {
		if value, found := strings.CutPrefix(word, name+"="); found {
			if number, err := strconv.ParseFloat(value, 64); err == nil {
				return number
			}
		}
	}
	return byDefault
}

func (w *CalledWorker) drawFailure(task agent.TaskName, _ uint32) bool {
	rate := w.behaviour.FailureRate
	if job, _ := w.jobAndStep(task); job.job != nil {
		rate = max(rate, textParameter(job.job.Text, "fail", 0))
	}
	return rate > 0 && w.rng.Float64() < rate
}

func (w *CalledWorker) drawSlowdown(now eventloop.Micros) float64 {
	factor := max(1, w.behaviour.Slowdown)
	if now < w.slowStartUntil {
		factor *= warmUpFactor
	}
	if w.behaviour.StallRate > 0 && w.rng.Float64() < w.behaviour.StallRate {
		factor *= stallFactor
	}
	return factor
}

func (w *CalledWorker) drawCallFault(eventloop.Micros, agent.Call) fakeworker.Fault {
	switch {
	case w.rejectShare > 0 && w.rng.Float64() < w.rejectShare:
		return fakeworker.FaultBusy
	case w.unresponsiveShare > 0 && w.rng.Float64() < w.unresponsiveShare:
		return []fakeworker.Fault{fakeworker.FaultRequestLost, fakeworker.FaultReplyLost, fakeworker.FaultDelayed}[w.rng.IntN(3)]
	}
	return fakeworker.NoFault
}

func (w *CalledWorker) drawStopDelay(agent.TaskName, uint32) eventloop.Micros {
	return eventloop.Micros(w.rng.Int64N(max(w.sim.bounds.StopTimeoutUs, 1)))
}

// --- events of a run in the history ---

// event returns an event of a run that identifies the run by the job, step and task numbers
// that clients use.
func (w *CalledWorker) event(kind string, run fakeworker.RunID) checker.Event {
	job, step := w.jobAndStep(run.Task)
	e := checker.Event{
		Kind: kind, Actor: w.Name(), Queue: job.queue, Name: run.Task.Job, Step: run.Task.StepInRound, Task: run.Task.Task, Attempt: run.Attempt, IsCalled: true,
	}
	if step != nil {
		e.Step += run.Task.Round * uint32(len(job.job.Steps))
		e.Cores, e.Memory, e.Accelerators = step.CoresMilli, step.MemoryMb, step.Accelerators
	}
	return e
}

func (w *CalledWorker) recordStart(now eventloop.Micros, call agent.Call, isLate bool) {
	e := w.event(checker.TaskStart, fakeworker.RunID{Task: call.Task, Attempt: call.Attempt})
	e.At, e.Text, e.Checkpoint, e.IsLate = now, call.Text, call.Checkpoint, isLate
	w.sim.Record(e)
}

// recordEnd records a worker's event if it is the end of a run, and ignores other kinds.
func (w *CalledWorker) recordEnd(now eventloop.Micros, kind string, run fakeworker.RunID, outcome string) {
	if kind != "end" {
		return
	}
	w.endedAt[run] = now
	e := w.event(checker.TaskEnd, run)
	e.At, e.State = now, outcome
	w.sim.Record(e)
}

// recordAcknowledgement records that the worker has received the acknowledgement of a run's
// end. The state is "lapsed" if the worker's lease has expired since the end: the task may
// then have been started elsewhere.
func (w *CalledWorker) recordAcknowledgement(now eventloop.Micros, ended agent.EndedTask) {
	run := fakeworker.RunID{Task: ended.Task, Attempt: ended.Attempt}
	e := w.event(checker.EndAcknowledged, run)
	e.At = now
	if endedAt, known := w.endedAt[run]; !known || w.leaseExpiredAt >= endedAt {
		e.State = "lapsed"
	}
	w.sim.Record(e)
}

// recordAnswer records that the worker answered a call successfully, at most once per
// answeredInterval, and the checkpoints in its reply.
func (w *CalledWorker) recordAnswer(reply agent.Reply) {
	sim := w.sim
	if w.isUp && sim.Now >= w.lastAnsweredAt+answeredInterval {
		w.lastAnsweredAt = sim.Now
		sim.Record(checker.Event{Kind: checker.WorkerAnswered, Actor: w.Name()})
	}
	for _, running := range reply.Running {
		w.recordCheckpoint(running.Task, running.Attempt, running.Checkpoint)
	}
	for _, ended := range reply.Ended {
		w.recordCheckpoint(ended.Task, ended.Attempt, ended.Checkpoint)
	}
}

func (w *CalledWorker) recordCheckpoint(task agent.TaskName, attempt uint32, checkpoint string) {
	run := fakeworker.RunID{Task: task, Attempt: attempt}
	if checkpoint == "" || w.checkpoints[run] == checkpoint {
		return
	}
	w.checkpoints[run] = checkpoint
	e := w.event(checker.CheckpointReported, run)
	e.Checkpoint = checkpoint
	w.sim.Record(e)
}
