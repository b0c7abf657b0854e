// Package agent connects one worker to the cluster. The worker accepts calls; it
// doesn't poll a scheduler itself.
//
// The worker sends heartbeats to the agent on its machine. The agent reports the
// worker's capacity, running tasks and ended tasks to the scheduler that holds the
// worker lease (WorkerPollRequest), and turns the scheduler's orders into calls to the
// worker: Start, Stop and Inspect. Calls carry the lease's fencing token, so that a
// worker rejects the calls of a scheduler whose lease has passed to another one.
//
// Calls also extend the worker's hold: the period for which the worker keeps its tasks
// running. A worker whose hold isn't extended in time kills its tasks (see
// Call.RunDeadline).
//
// Agent is the component (see package eventloop). It alone owns the state of this
// package, and it never blocks. A WorkerClient makes the calls on separate goroutines.
// The agent stores nothing durably: after a restart it rebuilds its state from what the
// worker lists in an inspection.
package agent

import "sparnotch/internal/eventloop"

// Heartbeat is the report that a worker sends about itself to the agent on its machine.
type Heartbeat struct {
	Worker          string // ID of one incarnation of the worker; it changes when the worker restarts after a crash
	Pool            string
	Zone            string
	Rack            string
	Labels          []string
	Cores           int64 // thousandths of a core
	Memory          int64 // MB
	Accelerators    int64
	IsDraining      bool
	DrainRemaining  eventloop.Micros // while draining: the minimum time until the worker departs
	WarmUpRemaining eventloop.Micros // how much longer the worker runs slowly after its start
	Clock           eventloop.Micros // the worker's monotonic clock
	Number          uint64           // increases with each heartbeat of an incarnation
	Address         string           // where the worker accepts calls
}

// Departed reports that a worker departs. A worker that has drained runs nothing any
// more; for one that hasn't, see handleDeparture.
type Departed struct{ Worker string }

// Action is the kind of a call to a worker.
type Action int

const (
	// Start begins a task.
	Start Action = iota + 1
	// Stop ends a task.
	Stop
	// Inspect extends the deadline until which the worker may run its tasks, and lists
	// running and ended tasks.
	Inspect
)

// TaskName identifies a task to its worker.
type TaskName struct {
	Job         string
	Round       uint32
	StepInRound uint32
	Task        uint32
}

// Call is one call to a worker. A worker rejects calls whose fencing token is lower
// than the highest that it has seen.
type Call struct {
	Number     uint64
	Action     Action
	Worker     string
	Address    string
	Task       TaskName
	Attempt    uint32
	Text       string
	Checkpoint string
	// RunDeadline is the time, by the worker's clock, at which the worker kills all its
	// tasks unless a later call extends the deadline; 0 leaves the deadline unchanged.
	RunDeadline  eventloop.Micros
	FencingToken uint64
	// AcknowledgedThrough is the EndedTask.Number up to which the worker may forget
	// ended tasks.
	AcknowledgedThrough uint64
	// Wait is the maximum time that an Inspect waits for a task to end before it
	// replies.
	Wait eventloop.Micros
	// ReplyTimeout is how long the caller waits for the reply, in addition to Wait. It
	// is short because the worker is on the same machine and every call may be retried.
	ReplyTimeout eventloop.Micros
}

// Outcome is the result of a call.
type Outcome int

const (
	// Succeeded means that the worker has carried out the call, now or earlier.
	Succeeded Outcome = iota + 1
	// Rejected means that the worker refuses the call; the RejectionReason tells why.
	Rejected
	// Busy means that the worker has done nothing; a retry may succeed.
	Busy
	// IncarnationMismatch means that the reply came from another incarnation of the
	// worker than the one called.
	IncarnationMismatch
	// TimedOut means that no reply came: the worker may have carried out the call, or
	// may still do so.
	TimedOut
)

// RejectionReason tells why a worker rejected a start or stop.
type RejectionReason int

const (
	// NotRejected is the reason in the reply to a call that wasn't rejected.
	NotRejected RejectionReason = iota
	// StaleToken means that the worker has seen a higher fencing token.
	StaleToken
	// AttemptOver means that the attempt has ended or was stopped on this worker, or
	// that the worker has seen a later attempt.
	AttemptOver
	// DeadlinePassed means that the call's RunDeadline had already passed.
	DeadlinePassed
	// NoCapacity means that the worker's free capacity is too small for the task.
	NoCapacity
	// Malformed means that the worker couldn't parse the call.
	Malformed
)

// RunningTask is a task that the worker listed as running in its reply to an Inspect.
type RunningTask struct {
	Task       TaskName
	Attempt    uint32
	Checkpoint string
	Percent    int64 // share of the work that is done, as far as the worker knows
}

// EndedTask is a task that has ended. The worker lists it until the agent acknowledges
// it with AcknowledgedThrough.
type EndedTask struct {
	Number     uint64 // increases from 1 in each incarnation
	Task       TaskName
	Attempt    uint32
	State      string // done, failed, stopped, lapsed (run deadline passed), broken (another gang member ended), alone (gang incomplete)
	Checkpoint string
}

// Reply is a worker's reply to a call, or a report that no reply came.
type Reply struct {
	Number  uint64 // number of the call
	Outcome Outcome
	Reason  RejectionReason
	Clock   eventloop.Micros // the worker's clock; 0 when the reply doesn't contain it
	Running []RunningTask    // in the reply to an Inspect
	Ended   []EndedTask      // in the reply to an Inspect
}

// WorkerClient sends calls to a worker and returns the replies. Call may block.
// Implementations must be safe for concurrent use.
type WorkerClient interface {
	Call(call Call) Reply
}
