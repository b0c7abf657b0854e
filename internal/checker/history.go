package checker

import (
	"fmt"
	"sort"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// jobKey identifies a job by its queue and name.
type jobKey struct{ queue, name string }

func (k jobKey) String() string { return k.queue + "/" + k.name }

// taskID identifies a task by its job, step and number. job is 0 for tasks of called
// workers, which name tasks by the job's name alone.
type taskID struct {
	jobKey
	job        uint64
	step, task uint32
}

// describe returns the task's name for the message of a violation.
func (id taskID) describe() string {
	return fmt.Sprintf("%s step %d task %d", id.jobKey, id.step, id.task)
}

// member returns the ID of another task of the same step.
func (id taskID) member(task uint32) taskID {
	id.task = task
	return id
}

// taskRun represents one run of a task on one worker.
type taskRun struct {
	start, end        eventloop.Micros // end is 0 if the run was still going on at the end of the history
	worker            string
	attempt           uint32
	outcome           string
	text, checkpoint  string           // text and checkpoint that the run started with
	stopOrderedAt     eventloop.Micros // when the worker first received an order to stop; 0: never
	failureReportedAt eventloop.Micros // when the worker received the answer to its report of the failure; 0: never
	acknowledgedAt    eventloop.Micros // when the worker learned that the end is recorded; 0: never, or its lease had expired in between
	isResumed         bool             // the run continues one that was frozen with its worker
	isLate            bool             // the worker started it after the call had timed out
}

// isRunningAt reports whether the run hasn't ended at a time that is after its start.
func (r *taskRun) isRunningAt(at eventloop.Micros) bool { return r.end == 0 || r.end > at }

// jobRecord holds what the history contains about one job.
type jobRecord struct {
	key               jobKey
	spec              *schema.Job // nil if the job was never submitted
	firstSubmittedAt  eventloop.Micros
	submissions       int
	rejections        int // submissions that had no effect according to their answers
	isAccepted        bool
	acceptedAt        eventloop.Micros
	created           int // number of answers with status 201
	isTerminal        bool
	terminalAt        eventloop.Micros // when an answer first reported the job as ended
	cancelRequestedAt eventloop.Micros // when a client first asked to cancel the job; 0: never
	cancelledAt       eventloop.Micros // when a cancel was first confirmed; 0: never
	isCalled          bool             // a task of the job ran on a called worker
	jobIDs            map[uint64]bool
	runs              map[taskID][]*taskRun
	reservations      map[taskID][]Event
	checkpoints       map[taskID][]Event // events that contain a checkpoint of the task
	statuses          []Event
}

func newJobRecord(key jobKey) *jobRecord {
	return &jobRecord{
		key: key, jobIDs: map[uint64]bool{}, runs: map[taskID][]*taskRun{},
		reservations: map[taskID][]Event{}, checkpoints: map[taskID][]Event{},
	}
}

// step returns the job's step with this number, or nil if the job has none. Numbers
// continue from round to round: those of the first round come first.
func (r *jobRecord) step(number uint32) *schema.Step {
	if r.spec == nil || len(r.spec.Steps) == 0 || int(number) >= r.stepCount() {
		return nil
	}
	return r.spec.Steps[int(number)%len(r.spec.Steps)]
}

// stepCount returns the number of steps of all rounds together.
func (r *jobRecord) stepCount() int { return len(r.spec.Steps) * int(max(r.spec.Rounds, 1)) }

// stepIndexes maps the names of steps to their numbers within a round.
func (r *jobRecord) stepIndexes() map[string]int {
	index := map[string]int{}
	for k, step := range r.spec.Steps {
		index[step.Name] = k
	}
	return index
}

// stepOfRound returns the number of a step from its round and its index within the round.
func (r *jobRecord) stepOfRound(round, index int) uint32 {
	return uint32(round*len(r.spec.Steps) + index)
}

// endsAsGang reports whether the end of one member counts as the end of the whole gang.
func (r *jobRecord) endsAsGang(step *schema.Step) bool {
	return r.isCalled && step.Gang && step.Tasks > 1
}

// tasks returns the IDs of all tasks that ever ran, ordered by step and task.
func (r *jobRecord) tasks() []taskID {
	ids := make([]taskID, 0, len(r.runs))
	for id := range r.runs {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(x, y int) bool {
		if ids[x].step != ids[y].step {
			return ids[x].step < ids[y].step
		}
		return ids[x].task < ids[y].task
	})
	return ids
}

func (r *jobRecord) openRun(e *Event) *taskRun {
	for _, run := range r.runs[e.taskID()] {
		if run.end == 0 && run.worker == e.Actor && run.attempt == e.Attempt {
			return run
		}
	}
	return nil
}

// isDoneBy reports whether the task had completed successfully at the given time. For a
// gang that ends as a whole, the success of any member counts.
func (r *jobRecord) isDoneBy(id taskID, at eventloop.Micros) bool {
	step := r.step(id.step)
	if step == nil || !r.endsAsGang(step) {
		return r.isTaskDoneBy(id, at)
	}
	for t := uint32(0); t < step.Tasks; t++ {
		if r.isTaskDoneBy(id.member(t), at) {
			return true
		}
	}
	return false
}

func (r *jobRecord) isTaskDoneBy(id taskID, at eventloop.Micros) bool {
	for _, run := range r.runs[id] {
		if run.outcome == outcomeDone && run.end <= at {
			return true
		}
	}
	return false
}

// lastEnd returns the last end of a task that the history contains up to terminalAt, or
// terminalAt if it contains none.
func (r *jobRecord) lastEnd() eventloop.Micros {
	last := eventloop.Micros(0)
	for _, runs := range r.runs {
		for _, run := range runs {
			if run.end > last && run.end <= r.terminalAt {
				last = run.end
			}
		}
	}
	if last == 0 {
		return r.terminalAt
	}
	return last
}

// --- Building the records from the history ---

// readHistory builds the records of the jobs and collects the times of faults.
func (a *analysis) readHistory() {
	for k := range a.history {
		e := &a.history[k]
		a.recordRequest(e)
		a.recordRun(e)
		a.recordAcknowledgement(e)
		a.recordDisturbance(e)
	}
	for _, job := range a.jobs {
		a.sortedJobs = append(a.sortedJobs, job)
	}
	sort.Slice(a.sortedJobs, func(i, j int) bool { return a.sortedJobs[i].key.String() < a.sortedJobs[j].key.String() })
}

func (a *analysis) job(e *Event) *jobRecord {
	job := a.jobs[e.jobKey()]
	if job == nil {
		job = newJobRecord(e.jobKey())
		a.jobs[job.key] = job
	}
	return job
}

// recordRequest records clients' requests about jobs and their answers.
func (a *analysis) recordRequest(e *Event) {
	switch e.Kind {
	case Submit:
		job := a.job(e)
		job.submissions++
		if job.spec == nil {
			job.spec, job.firstSubmittedAt = e.Spec, e.At
		}
	case SubmitReply:
		a.job(e).recordSubmitReply(e)
	case Status:
		a.job(e).recordStatus(e)
	case CancelRequest:
		if job := a.job(e); job.cancelRequestedAt == 0 {
			job.cancelRequestedAt = e.At
		}
	case CancelReply:
		a.job(e).recordCancelReply(e)
	}
}

// recordSubmitReply records the answer to a submission.
func (r *jobRecord) recordSubmitReply(e *Event) {
	switch {
	case e.isConfirmed():
		if e.Code == 201 {
			r.created++
		}
		if !r.isAccepted {
			r.isAccepted, r.acceptedAt = true, e.At
		}
		r.recordStatus(e)
	case e.Code >= 400 && e.Code < 500 || e.Code == 503:
		// Both kinds of answer state that the submission had no effect.
		r.rejections++
	}
}

// recordCancelReply records the answer to a cancellation. The answer that there is no such job
// confirms it too: the client needn't fear that the job still runs.
func (r *jobRecord) recordCancelReply(e *Event) {
	if (e.Code == 200 || e.Code == 404) && r.cancelledAt == 0 {
		r.cancelledAt = e.At
	}
	if e.Code == 200 && r.cancelRequestedAt == 0 {
		r.cancelRequestedAt = e.sentAt()
	}
	r.recordStatus(e)
}

// recordStatus records an answer that contains the job's state.
func (r *jobRecord) recordStatus(e *Event) {
	r.statuses = append(r.statuses, *e)
	if e.Code < 300 && isTerminal(e.State) && !r.isTerminal {
		r.isTerminal, r.terminalAt = true, e.At
	}
}

// recordRun records the starts, checkpoints and ends of tasks on workers, and reservations.
func (a *analysis) recordRun(e *Event) {
	switch e.Kind {
	case TaskStart:
		job := a.job(e)
		job.jobIDs[e.Job] = true
		a.jobOfTask[e.taskWithoutName()] = job
		job.runs[e.taskID()] = append(job.runs[e.taskID()], &taskRun{
			start: e.At, worker: e.Actor, attempt: e.Attempt, isLate: e.IsLate, text: e.Text, checkpoint: e.Checkpoint,
		})
		job.isCalled = job.isCalled || e.IsCalled
	case CheckpointReported:
		job := a.job(e)
		job.checkpoints[e.taskID()] = append(job.checkpoints[e.taskID()], *e)
	case TaskEnd:
		job := a.job(e)
		if run := job.openRun(e); run != nil {
			run.end, run.outcome = e.At, e.State
		}
		if e.Checkpoint != "" {
			job.checkpoints[e.taskID()] = append(job.checkpoints[e.taskID()], *e)
		}
	case Order:
		if e.State == orderReserve {
			job := a.job(e)
			job.reservations[e.taskID()] = append(job.reservations[e.taskID()], *e)
		}
	}
}

// recordAcknowledgement records the messages that a worker receives about its runs: the
// acknowledgement of an end or of a failure, and orders to stop.
func (a *analysis) recordAcknowledgement(e *Event) {
	switch {
	case e.Kind == EndAcknowledged:
		for _, run := range a.job(e).runs[e.taskID()] {
			if run.isOf(e) && run.end > 0 && run.acknowledgedAt == 0 && e.State != leaseExpired {
				run.acknowledgedAt = e.At
			}
		}
	case e.Kind == FailureReported:
		for _, run := range a.runsWithoutName(e) {
			if run.isOf(e) && run.failureReportedAt == 0 {
				run.failureReportedAt = e.At
			}
		}
	case e.Kind == Order && e.State == orderStop:
		for _, run := range a.runsWithoutName(e) {
			if run.isOf(e) && run.end == 0 && run.stopOrderedAt == 0 {
				run.stopOrderedAt = e.At
			}
		}
	}
}

// isOf reports whether the event has the worker and the attempt of this run.
func (r *taskRun) isOf(e *Event) bool { return r.worker == e.Actor && r.attempt == e.Attempt }

// runsWithoutName returns the runs of the event's task. The event may lack the job's name.
func (a *analysis) runsWithoutName(e *Event) []*taskRun {
	job := a.jobOfTask[e.taskWithoutName()]
	if job == nil {
		return nil
	}
	return job.runs[taskID{job.key, e.Job, e.Step, e.Task}]
}

// recordDisturbance records faults, drains and clock readings, and applies the faults of a
// worker to its runs.
func (a *analysis) recordDisturbance(e *Event) {
	switch e.Kind {
	case Fault:
		a.faults = append(a.faults, e.At)
	case QuorumLost, QuorumRestored:
		a.recordOutage(e)
	case Clock:
		a.clockReadings = append(a.clockReadings, *e)
	case WorkerDraining:
		a.disturbances = append(a.disturbances, e.At)
	case WorkerUnhealthy:
		a.recordWorkerFault(e)
	case WorkerGone:
		a.recordWorkerFault(e)
		a.endRuns(e, outcomeGone)
	case WorkerPaused:
		a.recordWorkerFault(e)
		a.endRuns(e, outcomePaused)
	case WorkerPartitioned:
		if e.State != Healed {
			a.recordWorkerFault(e)
		}
	case WorkerResumed:
		a.resumeRuns(e)
	}
}

func (a *analysis) recordWorkerFault(e *Event) {
	a.workerFaults[e.Actor] = append(a.workerFaults[e.Actor], e.At)
	a.disturbances = append(a.disturbances, e.At)
}

// endRuns ends all open runs of the event's worker with this outcome.
func (a *analysis) endRuns(e *Event, outcome string) {
	for _, job := range a.jobs {
		for _, runs := range job.runs {
			for _, run := range runs {
				if run.end == 0 && run.worker == e.Actor {
					run.end, run.outcome = e.At, outcome
				}
			}
		}
	}
}

// resumeRuns continues each frozen run of the worker as a new taskRun with isResumed set.
// A resumed run that the worker ends at once breaks no rule.
func (a *analysis) resumeRuns(e *Event) {
	for _, job := range a.jobs {
		for id, runs := range job.runs {
			for _, run := range runs {
				if run.worker == e.Actor && run.outcome == outcomePaused {
					run.outcome = outcomeFrozen
					resumed := *run
					resumed.start, resumed.end, resumed.outcome, resumed.isResumed = e.At, 0, "", true
					job.runs[id] = append(job.runs[id], &resumed)
				}
			}
		}
	}
}
