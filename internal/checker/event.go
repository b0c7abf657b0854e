package checker

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Kinds of events. The strings are those of recorded histories.
const (
	Submit      = "hand-in"       // a client submits a job
	SubmitReply = "hand-in-reply" // and is answered; code 0: not in time
	Status      = "status"        // a client's request for a job's status was answered

	CancelRequest = "cancel-sent"  // a client asks for a cancel
	CancelReply   = "cancel-reply" // and is answered

	WorkerUp          = "worker-up"     // a worker starts, with its capacity
	WorkerGone        = "worker-gone"   // its process ended, and its tasks with it
	WorkerPaused      = "worker-paused" // a worker and its tasks are frozen
	WorkerResumed     = "worker-resumed"
	WorkerPartitioned = "worker-cut"  // a worker is partitioned from everybody, or (state Healed) no longer
	WorkerUnhealthy   = "worker-sick" // a worker was made slow, unresponsive or faulty
	WorkerDraining    = "leave"       // a worker says that it drains
	WorkerAnswered    = "heard"       // a worker was answered; recorded once a second

	Order              = "order"    // a worker takes an order
	OrderDropped       = "let-go"   // an order is given up without having started
	TaskStart          = "begin"    // a task starts to run
	TaskEnd            = "end"      // and ends
	FailureReported    = "reported" // the answer to a worker's report of a failed task has come
	EndAcknowledged    = "noted"    // a worker learns that an end is known; state lapsed: its lease had ended in between
	CheckpointReported = "kept"     // a worker shows the checkpoint of a run

	ConfigurationSent  = "plan-sent" // an operator sends a configuration
	ConfigurationReply = "plan-put"  // and is answered
	ConfigurationRead  = "plan-read"

	Fault              = "fault"      // a major fault of the system
	GatewayUnavailable = "front-away" // a gateway that reaches no quorum, or is down
	GatewayAvailable   = "front-back" // and is up and reaches one
	Clock              = "clock"      // a reading of a correct wall clock, which ties virtual time to it
	QuorumLost         = "core-away"  // more storage nodes are away than may be lost; until QuorumRestored service may rest
	QuorumRestored     = "core-back"  // all storage nodes are back
	Close              = "close"      // end of the run; what isn't over by now is late
)

// Lister is the actor of pages of jobs, which operators read and which need no key.
const Lister = "lister"

// States of events other than a job's state.
const (
	// Healed is the state of a WorkerPartitioned that is over.
	Healed = "mended"
	// AcknowledgementLost is the state of a SubmitReply or ConfigurationReply of code 0 that
	// stands for an acknowledgement which was lost on its way to the client.
	AcknowledgementLost = "answer-lost"
	// Invalid is the state of a ConfigurationReply to a configuration that must be refused.
	Invalid = "invalid"
)

// The states of jobs, the outcomes of runs and the acts of orders that the rules speak of.
const (
	stateComplete  = "complete"
	stateFailed    = "failed"
	stateCancelled = "cancelled"

	outcomeDone   = "done"
	outcomeFailed = "failed"
	outcomeAlone  = "alone"  // a gang's member whose peers never started
	outcomeGone   = "gone"   // its worker's process ended
	outcomePaused = "paused" // its worker is frozen
	outcomeFrozen = "frozen" // its worker was frozen and resumed: the run goes on as a further taskRun

	orderStart   = "start"
	orderStop    = "stop"
	orderReserve = "hold"

	leaseExpired = "lapsed" // of an EndAcknowledged
)

// isTerminal reports whether a job in a state has ended for good.
func isTerminal(state string) bool {
	return state == stateComplete || state == stateFailed || state == stateCancelled
}

// Event is one thing that a client, an operator or a worker saw. Times are in µs since
// the start of the run, memory in MB, cores in thousandths. Which fields are set depends
// on the kind. The JSON names are those of recorded histories.
type Event struct {
	At          eventloop.Micros `json:"at"`
	Kind        string           `json:"kind"`
	Actor       string           `json:"who,omitempty"`
	Queue       string           `json:"queue,omitempty"`
	Name        string           `json:"name,omitempty"` // of the job
	Job         uint64           `json:"job,omitempty"`
	Step        uint32           `json:"step"`
	Task        uint32           `json:"task"`
	Attempt     uint32           `json:"attempt,omitempty"`
	Code        int32            `json:"code,omitempty"`       // HTTP status; 0: no answer
	State       string           `json:"state,omitempty"`      // of a job, the outcome of a run, or an order's act
	Version     uint64           `json:"generation,omitempty"` // of a configuration
	Cores       int64            `json:"cores,omitempty"`
	Memory      int64            `json:"memory,omitempty"`
	Incarnation uint64           `json:"incarnation,omitempty"`
	Spec        *schema.Job      `json:"spec,omitempty"`

	Gateway     string                     `json:"front,omitempty"` // through which a request went
	SentAt      eventloop.Micros           `json:"sent,omitempty"`  // of the request that this answers
	Rack        string                     `json:"rack,omitempty"`
	BaseVersion uint64                     `json:"built,omitempty"` // the version that a configuration was built on
	Rows        []*schema.ConfigurationRow `json:"rows,omitempty"`  // of a configuration that was sent or read
	WallTime    int64                      `json:"wall,omitempty"`  // µs since 1970

	IsCalled     bool     `json:"called,omitempty"` // of a worker that is called: its gangs gather, its ends are acknowledged
	IsLate       bool     `json:"late,omitempty"`   // carried out late by the worker
	Accelerators int64    `json:"accelerators,omitempty"`
	Pool         string   `json:"pool,omitempty"`
	Labels       []string `json:"labels,omitempty"`
	Text         string   `json:"text,omitempty"`     // that a start carried
	Checkpoint   string   `json:"saved,omitempty"`    // that a start carried, or an end left
	Document     string   `json:"document,omitempty"` // that came with a configuration
	KeyHash      string   `json:"key,omitempty"`      // of the key that a client's call carries; empty: it carries none
	Tenant       string   `json:"tenant,omitempty"`   // that an answer shows as the job's
}

// sentAt is when the request was sent that an event answers.
func (e *Event) sentAt() eventloop.Micros {
	if e.SentAt > 0 {
		return e.SentAt
	}
	return e.At
}

func (e *Event) jobKey() jobKey { return jobKey{e.Queue, e.Name} }

func (e *Event) taskID() taskID { return taskID{e.jobKey(), e.Job, e.Step, e.Task} }

// taskWithoutName is the task without its job's name, which some events lack.
func (e *Event) taskWithoutName() taskID {
	return taskID{jobKey{queue: e.Queue}, e.Job, e.Step, e.Task}
}

// isConfirmed reports whether a submission's answer says that the job is accepted.
func (e *Event) isConfirmed() bool { return e.Code == 200 || e.Code == 201 }

// isRefusal reports whether an answer is final: repeating the request can't help.
func (e *Event) isRefusal() bool { return e.Code >= 400 && e.Code < 500 && e.Code != 429 }
