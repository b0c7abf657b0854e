package checker

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Kinds of events. Recorded histories contain these strings.
const (
	Submit      = "hand-in"       // a client submits a job
	SubmitReply = "hand-in-reply" // the answer to a submission; code 0: none came in time
	Status      = "status"        // the answer to a client's request for a job's status

	CancelRequest = "cancel-sent"  // a client asks to cancel a job
	CancelReply   = "cancel-reply" // the answer to a request to cancel

	WorkerUp          = "worker-up"      // a worker starts, with its capacity
	WorkerGone        = "worker-gone"    // the process of a worker ended, and its tasks with it
	WorkerPaused      = "worker-paused"  // a worker and its tasks are frozen
	WorkerResumed     = "worker-resumed" // a frozen worker and its tasks go on
	WorkerPartitioned = "worker-cut"     // a worker is partitioned from all nodes; with state Healed, the partition ends
	WorkerUnhealthy   = "worker-sick"    // a worker was made slow, unresponsive or faulty
	WorkerDraining    = "leave"          // a worker reports that it is draining
	WorkerAnswered    = "heard"          // a worker was in contact: a heartbeat was answered, or it replied to a call; at most once a second

	Order              = "order"    // a worker receives an order
	OrderDropped       = "let-go"   // a worker drops an order without starting a task
	TaskStart          = "begin"    // a task starts to run
	TaskEnd            = "end"      // a task ends
	FailureReported    = "reported" // a worker received the answer to its report of a failed task
	EndAcknowledged    = "noted"    // a worker learns that the end of a task is recorded; state lapsed: its lease had expired in between
	CheckpointReported = "kept"     // a worker reports the checkpoint of a run

	ConfigurationSent  = "plan-sent" // an operator sends a configuration
	ConfigurationReply = "plan-put"  // the answer to a sent configuration
	ConfigurationRead  = "plan-read" // the answer to a request to read the configuration

	Fault              = "fault"      // a major fault of the system
	GatewayUnavailable = "front-away" // a gateway goes down or loses contact with the quorum
	GatewayAvailable   = "front-back" // a gateway is up and reaches a quorum
	Clock              = "clock"      // a reading of a correct wall clock, which maps the times of events to wall time
	QuorumLost         = "core-away"  // more storage nodes are down than may be lost; service may be unavailable until QuorumRestored
	QuorumRestored     = "core-back"  // all storage nodes are available again
	Close              = "close"      // end of the run; every accepted job must have ended by then
)

// Lister is the actor of Status events that come from an operator's list of jobs. Such
// requests need no key.
const Lister = "lister"

// States of events other than a job's state.
const (
	// Healed is the state of a WorkerPartitioned event that records the end of a partition.
	Healed = "mended"
	// AcknowledgementLost is the state of a SubmitReply or ConfigurationReply event with code 0
	// that records an acknowledgement which was sent and never reached the client.
	AcknowledgementLost = "answer-lost"
	// Invalid is the state of a ConfigurationReply event for a configuration that the system
	// must reject.
	Invalid = "invalid"
)

// The states of jobs, the outcomes of runs and the actions of orders that the rules use.
const (
	stateComplete  = "complete"
	stateFailed    = "failed"
	stateCancelled = "cancelled"

	outcomeDone   = "done"
	outcomeFailed = "failed"
	outcomeAlone  = "alone"  // the run belonged to a gang of which another member never started
	outcomeGone   = "gone"   // the worker's process ended
	outcomePaused = "paused" // the worker is frozen
	outcomeFrozen = "frozen" // the worker was frozen and resumed; the run continues as another taskRun

	orderStart   = "start"
	orderStop    = "stop"
	orderReserve = "hold"

	leaseExpired = "lapsed" // state of an EndAcknowledged event
)

// isTerminal reports whether a job in this state has ended for good.
func isTerminal(state string) bool {
	return state == stateComplete || state == stateFailed || state == stateCancelled
}

// Event is one observation of a client, an operator or a worker. Times are in µs since
// the start of the run, memory in MB, cores in thousandths. Which fields are set depends
// on the kind. The JSON names are those of recorded histories.
type Event struct {
	At          eventloop.Micros `json:"at"`
	Kind        string           `json:"kind"`
	Actor       string           `json:"who,omitempty"` // name of the client, operator or worker
	Queue       string           `json:"queue,omitempty"`
	Name        string           `json:"name,omitempty"` // name of the job
	Job         uint64           `json:"job,omitempty"`
	Step        uint32           `json:"step"`
	Task        uint32           `json:"task"`
	Attempt     uint32           `json:"attempt,omitempty"`
	Code        int32            `json:"code,omitempty"`       // HTTP status; 0: no answer came
	State       string           `json:"state,omitempty"`      // state of a job, outcome of a run, or action of an order
	Version     uint64           `json:"generation,omitempty"` // version of a configuration
	Cores       int64            `json:"cores,omitempty"`
	Memory      int64            `json:"memory,omitempty"`
	Incarnation uint64           `json:"incarnation,omitempty"`
	Spec        *schema.Job      `json:"spec,omitempty"`

	Gateway     string                     `json:"front,omitempty"` // gateway that received the request
	SentAt      eventloop.Micros           `json:"sent,omitempty"`  // when the request was sent that this event answers
	Rack        string                     `json:"rack,omitempty"`
	BaseVersion uint64                     `json:"built,omitempty"` // version that the configuration was derived from
	Rows        []*schema.ConfigurationRow `json:"rows,omitempty"`  // rows of a configuration that was sent or read
	WallTime    int64                      `json:"wall,omitempty"`  // µs since 1970

	IsCalled     bool     `json:"called,omitempty"` // the worker is called by an agent: the members of a gang wait for each other, and ends are acknowledged
	IsLate       bool     `json:"late,omitempty"`   // the worker carried the order out after the call had timed out
	Accelerators int64    `json:"accelerators,omitempty"`
	Pool         string   `json:"pool,omitempty"`
	Labels       []string `json:"labels,omitempty"`
	Text         string   `json:"text,omitempty"`     // task text that came with the start
	Checkpoint   string   `json:"saved,omitempty"`    // checkpoint that came with the start, or that the ended run left
	Document     string   `json:"document,omitempty"` // document that the configuration was sent or read with
	KeyHash      string   `json:"key,omitempty"`      // hash of the key in the client's call; empty: the call has no key
	Tenant       string   `json:"tenant,omitempty"`   // tenant of the job according to the answer
}

// sentAt returns when the request was sent that the event answers, or the time of the
// event if that is unknown.
func (e *Event) sentAt() eventloop.Micros {
	if e.SentAt > 0 {
		return e.SentAt
	}
	return e.At
}

func (e *Event) jobKey() jobKey { return jobKey{e.Queue, e.Name} }

func (e *Event) taskID() taskID { return taskID{e.jobKey(), e.Job, e.Step, e.Task} }

// taskWithoutName returns the task's ID without the job's name, which some events lack.
func (e *Event) taskWithoutName() taskID {
	return taskID{jobKey{queue: e.Queue}, e.Job, e.Step, e.Task}
}

// isConfirmed reports whether the answer to a submission says that the job was accepted.
func (e *Event) isConfirmed() bool { return e.Code == 200 || e.Code == 201 }

// isRefusal reports whether the answer is a final rejection: repeating the request can't
// succeed.
func (e *Event) isRefusal() bool { return e.Code >= 400 && e.Code < 500 && e.Code != 429 }
