// Package agent speaks for one worker that takes calls instead of polling a
// scheduler itself.
//
// The worker sends heartbeats to the agent on its machine. The agent carries the
// worker's capacity, running tasks and ended tasks to the scheduler that holds the
// worker's lease (WorkerPollRequest), and turns the scheduler's orders into calls of
// the worker: Start, Stop and Inspect. Calls carry the lease's fencing token, so a
// worker does nothing for a scheduler whose lease has been given to another.
//
// Agent is the component (see eventloop); it alone owns the state of this package
// and blocks on nothing. A WorkerClient carries calls out on goroutines of their
// own. Nothing is durable: what an agent loses in a restart, the worker lists again.
package agent

import "sparnotch/internal/eventloop"

// Heartbeat is the worker's report of itself to the agent on its machine.
type Heartbeat struct {
	Worker          string // names one incarnation: after a crash it is another
	Pool            string
	Zone            string
	Rack            string
	Labels          []string
	Cores           int64 // thousandths of a core
	Memory          int64 // MB
	Accelerators    int64
	IsDraining      bool
	DrainRemaining  eventloop.Micros // while draining: the time that is left at least
	WarmUpRemaining eventloop.Micros // how much longer it is slow from its start
	Clock           eventloop.Micros // of the worker, monotonic
	Number          uint64           // rises with each heartbeat of an incarnation
	Address         string           // where the worker takes calls
}

// Departed reports that a worker has ended in order and runs nothing any more.
type Departed struct{ Worker string }

// Action is what a worker is called for.
type Action int

const (
	// Start begins a task.
	Start Action = iota + 1
	// Stop ends a task.
	Stop
	// Inspect extends the deadline up to which the worker may run its tasks, and lists
	// running and ended tasks.
	Inspect
)

// TaskName is a task as its worker knows it.
type TaskName struct {
	Job         string
	Round       uint32
	StepInRound uint32
	Task        uint32
}

// Call is one call of a worker. A worker rejects a fencing token that is lower than
// the highest it has seen.
type Call struct {
	Number     uint64
	Action     Action
	Worker     string
	Address    string
	Task       TaskName
	Attempt    uint32
	Text       string
	Checkpoint string
	// RunDeadline is when the worker kills all that runs, by its own clock; 0 leaves
	// the hold as it is.
	RunDeadline  eventloop.Micros
	FencingToken uint64
	// AcknowledgedThrough is the number up to which the worker may forget ended tasks.
	AcknowledgedThrough uint64
	// Wait is how long an Inspect waits for a task to end before it replies.
	Wait eventloop.Micros
	// ReplyTimeout is how long the reply is waited for, besides Wait. It is short, as
	// the worker is on the same machine and every call may be retried.
	ReplyTimeout eventloop.Micros
}

// Outcome is how a call ended.
type Outcome int

const (
	// Succeeded means that it was done, or had been done before.
	Succeeded Outcome = iota + 1
	// Rejected means that the worker refuses; the RejectionReason says why.
	Rejected
	// Busy means that the worker has done nothing; a retry may succeed.
	Busy
	// IncarnationMismatch means that another incarnation than the one called has replied.
	IncarnationMismatch
	// TimedOut means no reply: the call may have been carried out, or may be later.
	TimedOut
)

// RejectionReason is why a start or stop was rejected.
type RejectionReason int

const (
	// NotRejected is the reason of a call that wasn't rejected.
	NotRejected RejectionReason = iota
	// StaleToken means that a higher fencing token has been seen.
	StaleToken
	// AttemptOver means that the attempt has ended or was stopped there, or that a later one was seen.
	AttemptOver
	// DeadlinePassed means that the call's RunDeadline was over.
	DeadlinePassed
	// NoCapacity means that the worker's free capacity is too small for the task.
	NoCapacity
	// Malformed means that the worker couldn't parse the call.
	Malformed
)

// RunningTask is a task that an Inspect has listed as running.
type RunningTask struct {
	Task       TaskName
	Attempt    uint32
	Checkpoint string
	Percent    int64 // of its work, as far as the worker knows
}

// EndedTask is a task that has ended. The worker lists it until it is acknowledged.
type EndedTask struct {
	Number     uint64 // from 1 in each incarnation, rising
	Task       TaskName
	Attempt    uint32
	State      string // done, failed, stopped, lapsed (run deadline passed), broken (another gang member ended), alone (gang incomplete)
	Checkpoint string
}

// Reply is the result of a call.
type Reply struct {
	Number  uint64 // of the call
	Outcome Outcome
	Reason  RejectionReason
	Clock   eventloop.Micros // of the worker; 0 when it gave none
	Running []RunningTask    // of an Inspect
	Ended   []EndedTask      // of an Inspect
}

// WorkerClient carries calls out and returns their results; Call may block. It
// must be safe for concurrent use.
type WorkerClient interface {
	Call(call Call) Reply
}
