package checker

// Histories: the events, and what is read of them before they are judged.

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Kinds of events.
const (
	Submit             = "hand-in"       // a caller sends a job
	SubmitReply        = "hand-in-reply" // and is answered (code 0: no answer)
	Status             = "status"        // a caller's question was answered
	CancelReply        = "cancel-reply"
	WorkerUp           = "worker-up" // a worker starts, with its room
	WorkerGone         = "worker-gone"
	WorkerPaused       = "worker-paused" // a worker and its tasks stand frozen
	WorkerResumed      = "worker-resumed"
	WorkerPartitioned  = "worker-cut" // a worker is cut off from everybody, or no longer
	WorkerDraining     = "leave"      // a worker says that it leaves
	Order              = "order"      // a worker takes an order
	TaskStart          = "begin"      // a task begins to run
	TaskEnd            = "end"        // and ends
	FailureReported    = "reported"   // the answer to a worker's word that a task failed has come
	OrderDropped       = "let-go"     // what was ordered is given up without having begun
	ConfigurationSent  = "plan-sent"  // an operator sends a table
	ConfigurationReply = "plan-put"   // and is answered
	ConfigurationRead  = "plan-read"
	Fault              = "fault"       // something major was done to the system
	GatewayUnavailable = "front-away"  // a front that can reach no quorum, or is down
	GatewayAvailable   = "front-back"  // and is up and reaches one
	WorkerAnswered     = "heard"       // a worker was answered, told once a second
	CancelRequest      = "cancel-sent" // a caller asks for a cancel
	EndAcknowledged    = "noted"       // a worker was told that an end is known; state lapsed: its hold had ended in between
	CheckpointShown    = "kept"        // a worker shows the progress of a run
	WorkerUnhealthy    = "worker-sick" // a worker was made slow, deaf or faulty
	Clock              = "clock"       // what a right wall clock shows
	Close              = "close"       // end of the run; what isn't over by now is late
)

// Healed is the state of a Cut that is over.
const Healed = "mended"

// AcknowledgementLost is the state of a SubmitReply or ConfigurationReply of code 0 that stands for
// an acknowledgement which got lost on its way to the caller. Invalid is that of
// a ConfigurationReply of a table that must be refused.
const (
	AcknowledgementLost = "answer-lost"
	Invalid             = "invalid"
)

// Event is one thing somebody saw.
type Event struct {
	At          eventloop.Micros `json:"at"`
	Kind        string           `json:"kind"`
	Actor       string           `json:"who,omitempty"`
	Queue       string           `json:"queue,omitempty"`
	Name        string           `json:"name,omitempty"`
	Job         uint64           `json:"job,omitempty"`
	Step        uint32           `json:"step"`
	Task        uint32           `json:"task"`
	Attempt     uint32           `json:"attempt,omitempty"`
	Code        int32            `json:"code,omitempty"`
	State       string           `json:"state,omitempty"` // of a job, of an end, or an order's act
	Version     uint64           `json:"generation,omitempty"`
	Cores       int64            `json:"cores,omitempty"`
	Memory      int64            `json:"memory,omitempty"`
	Incarnation uint64           `json:"incarnation,omitempty"`
	Spec        *schema.Job      `json:"spec,omitempty"`

	Gateway     string                     `json:"front,omitempty"` // through which a request went
	SentAt      eventloop.Micros           `json:"sent,omitempty"`  // when the request was sent that this answers
	Rack        string                     `json:"rack,omitempty"`
	BaseVersion uint64                     `json:"built,omitempty"` // the generation a sheet was built on
	Rows        []*schema.ConfigurationRow `json:"rows,omitempty"`  // of a table that was put or read
	WallTime    int64                      `json:"wall,omitempty"`

	IsCalled     bool     `json:"called,omitempty"` // of a worker that is called: its groups gather, its ends are noted
	IsLate       bool     `json:"late,omitempty"`   // carried out late by the worker
	Accelerators int64    `json:"accelerators,omitempty"`
	Pool         string   `json:"pool,omitempty"`
	Labels       []string `json:"labels,omitempty"`
	Text         string   `json:"text,omitempty"`     // that a start carried
	Checkpoint   string   `json:"saved,omitempty"`    // that a start carried, or an end left
	Document     string   `json:"document,omitempty"` // that came with a table
}

// submissions is when the request was sent that an event answers.
func (e *Event) sentAt() eventloop.Micros {
	if e.SentAt > 0 {
		return e.SentAt
	}
	return e.At
}

type jobKey struct{ queue, name string }

type taskID struct {
	jobKey
	job        uint64
	step, task uint32
}

type taskRun struct {
	start, end        eventloop.Micros // end 0: still running at the close
	worker            string
	incarnation       uint64
	attempt           uint32
	outcome           string
	cores, memory     int64
	stopOrderedAt     eventloop.Micros // told to stop
	failureReportedAt eventloop.Micros // its failure, and that was answered
	isResumed         bool             // goes on after its worker was frozen
	acknowledgedAt    eventloop.Micros // its end, and the worker's hold hadn't ended in between
	isLate            bool
	text, checkpoint  string
}

type jobRecord struct {
	key               jobKey
	spec              *schema.Job
	firstSubmittedAt  eventloop.Micros
	submissions       int
	rejections        int // answered with a final no
	acceptedAt        eventloop.Micros
	isAccepted        bool
	created           int // answers of 201
	isTerminal        bool
	terminalAt        eventloop.Micros
	cancelRequestedAt eventloop.Micros // when a cancel was first asked for
	cancelledAt       eventloop.Micros // and confirmed
	jobIDs            map[uint64]bool
	runs              map[taskID][]*taskRun
	statuses          []Event
	reservations      map[taskID][]Event
	isCalled          bool               // ran on called workers
	progress          map[taskID][]Event // progress that was shown or left
}

// step is the content of one of the job's steps; those of round K follow those
// of the rounds before.
func (r *jobRecord) step(number uint32) *schema.Step {
	if r.spec == nil || len(r.spec.Steps) == 0 || int(number) >= r.stepCount() {
		return nil
	}
	return r.spec.Steps[int(number)%len(r.spec.Steps)]
}

// stepCount counts them over all rounds.
func (r *jobRecord) stepCount() int { return len(r.spec.Steps) * int(max(r.spec.Rounds, 1)) }

// endsAsGang tells whether one end of a member stands for the whole group.
func (r *jobRecord) endsAsGang(step *schema.Step) bool {
	return r.isCalled && step.Gang && step.Tasks > 1
}

func (a *analysis) job(e *Event) *jobRecord {
	key := jobKey{e.Queue, e.Name}
	job := a.jobs[key]
	if job == nil {
		job = &jobRecord{key: key, jobIDs: map[uint64]bool{}, runs: map[taskID][]*taskRun{}, reservations: map[taskID][]Event{}, progress: map[taskID][]Event{}}
		a.jobs[key] = job
	}
	return job
}

// taskWithoutName is the task without its job's name.
func (e *Event) taskWithoutName() taskID {
	return taskID{jobKey{queue: e.Queue}, e.Job, e.Step, e.Task}
}

func (e *Event) taskID() taskID { return taskID{jobKey{e.Queue, e.Name}, e.Job, e.Step, e.Task} }

func (r *jobRecord) openRun(e *Event) *taskRun {
	for _, run := range r.runs[e.taskID()] {
		if run.end == 0 && run.worker == e.Actor && run.attempt == e.Attempt {
			return run
		}
	}
	return nil
}

func (a *analysis) readHistory(history []Event) {
	for k := range history {
		e := &history[k]
		switch e.Kind {
		case Submit:
			job := a.job(e)
			job.submissions++
			if job.spec == nil {
				job.spec, job.firstSubmittedAt = e.Spec, e.At
			}
		case SubmitReply:
			job := a.job(e)
			switch {
			case e.Code == 200 || e.Code == 201:
				if e.Code == 201 {
					job.created++
				}
				if !job.isAccepted {
					job.isAccepted, job.acceptedAt = true, e.At
				}
				a.recordStatus(job, e)
			case e.Code >= 400 && e.Code < 500 || e.Code == 503:
				// Either says that the request was turned away.
				job.rejections++
			}
		case Status:
			a.recordStatus(a.job(e), e)
		case CancelRequest:
			if job := a.job(e); job.cancelRequestedAt == 0 {
				job.cancelRequestedAt = e.At
			}
		case CancelReply:
			job := a.job(e)
			if e.Code == 200 && job.cancelledAt == 0 {
				job.cancelledAt = e.At
			}
			if e.Code == 200 && job.cancelRequestedAt == 0 {
				job.cancelRequestedAt = e.sentAt()
			}
			a.recordStatus(job, e)
		case Fault:
			a.faults = append(a.faults, e.At)
		case WorkerDraining:
			a.drains[e.Actor] = append(a.drains[e.Actor], e.At)
			a.disturbances = append(a.disturbances, e.At)
		case WorkerUnhealthy:
			a.recordWorkerFault(e)
		case Clock:
			a.clockReadings = append(a.clockReadings, *e)
		case TaskStart:
			job := a.job(e)
			job.jobIDs[e.Job] = true
			a.byTask[e.taskWithoutName()] = job
			job.runs[e.taskID()] = append(job.runs[e.taskID()], &taskRun{
				start: e.At, worker: e.Actor, incarnation: e.Incarnation, attempt: e.Attempt, cores: e.Cores, memory: e.Memory,
				isLate: e.IsLate, text: e.Text, checkpoint: e.Checkpoint,
			})
			job.isCalled = job.isCalled || e.IsCalled
		case CheckpointShown:
			job := a.job(e)
			job.progress[e.taskID()] = append(job.progress[e.taskID()], *e)
		case TaskEnd:
			job := a.job(e)
			if run := job.openRun(e); run != nil {
				run.end, run.outcome = e.At, e.State
			}
			if e.Checkpoint != "" {
				job.progress[e.taskID()] = append(job.progress[e.taskID()], *e)
			}
		case EndAcknowledged:
			for _, run := range a.job(e).runs[e.taskID()] {
				if run.worker == e.Actor && run.attempt == e.Attempt && run.end > 0 && run.acknowledgedAt == 0 && e.State != "lapsed" {
					run.acknowledgedAt = e.At
				}
			}
		case FailureReported:
			if job := a.byTask[e.taskWithoutName()]; job != nil {
				for _, run := range job.runs[taskID{job.key, e.Job, e.Step, e.Task}] {
					if run.worker == e.Actor && run.attempt == e.Attempt && run.failureReportedAt == 0 {
						run.failureReportedAt = e.At
					}
				}
			}
		case Order:
			if e.State == "hold" {
				job := a.job(e)
				job.reservations[e.taskID()] = append(job.reservations[e.taskID()], *e)
			}
			if e.State == "stop" {
				// A stop names the task; the job's name may be missing in it.
				if job := a.byTask[e.taskWithoutName()]; job != nil {
					id := taskID{job.key, e.Job, e.Step, e.Task}
					for _, run := range job.runs[id] {
						if run.end == 0 && run.worker == e.Actor && run.attempt == e.Attempt && run.stopOrderedAt == 0 {
							run.stopOrderedAt = e.At
						}
					}
				}
			}
		case WorkerGone:
			a.recordWorkerFault(e)
			a.forEachOpenRun(e.Actor, func(job *jobRecord, id taskID, run *taskRun) { run.end, run.outcome = e.At, "gone" })
		case WorkerPaused:
			a.recordWorkerFault(e)
			a.forEachOpenRun(e.Actor, func(job *jobRecord, id taskID, run *taskRun) { run.end, run.outcome = e.At, "paused" })
		case WorkerPartitioned:
			if e.State != Healed {
				a.recordWorkerFault(e)
			}
		case WorkerResumed:
			a.resumeRuns(e)
		}
	}
}

func (a *analysis) recordWorkerFault(e *Event) {
	a.workerFaults[e.Actor] = append(a.workerFaults[e.Actor], e.At)
	a.disturbances = append(a.disturbances, e.At)
}

func (a *analysis) forEachOpenRun(worker string, call func(job *jobRecord, id taskID, run *taskRun)) {
	for _, job := range a.jobs {
		for id, list := range job.runs {
			for _, run := range list {
				if run.end == 0 && run.worker == worker {
					call(job, id, run)
				}
			}
		}
	}
}

// resumeRuns lets what was frozen run on: a stint of its own, which is no trouble
// if the worker ends it at once.
func (a *analysis) resumeRuns(e *Event) {
	for _, job := range a.jobs {
		for id, list := range job.runs {
			for _, run := range list {
				if run.worker == e.Actor && run.outcome == "paused" {
					run.outcome = "frozen"
					again := *run
					again.start, again.end, again.outcome, again.isResumed = e.At, 0, "", true
					job.runs[id] = append(job.runs[id], &again)
				}
			}
		}
	}
}

// request is a request and how it was answered.
type request struct {
	service
	gateway            string
	sentAt, answeredAt eventloop.Micros
	isServed           bool
}

// requestsOf lists every request of the history that a running system answers.
func requestsOf(history []Event) []request {
	var list []request
	for k := range history {
		e := &history[k]
		each := request{gateway: e.Gateway, sentAt: e.sentAt(), answeredAt: e.At}
		switch e.Kind {
		case SubmitReply:
			each.service = service{"hand-ins", e.Queue}
		case Status:
			each.service = service{"status", e.Queue}
		case CancelReply:
			each.service = service{"cancels", e.Queue}
		case ConfigurationRead:
			each.service = service{"the table's reading", ""}
		case ConfigurationReply:
			each.service = service{"the table's putting", ""}
		default:
			continue
		}
		each.isServed = e.Code > 0 && e.Code < 500 || e.State == AcknowledgementLost
		list = append(list, each)
	}
	return list
}
