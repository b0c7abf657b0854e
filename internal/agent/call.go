// Package agent owns one worker that is called: it hears the worker's beats,
// carries its inventory and ends to the scheduler in announces, and turns the
// answers into calls (start, stop, look). It holds nothing durable: what it has
// forgotten, the worker lists again.
package agent

import "sparnotch/internal/eventloop"

// Heartbeat is a worker's own word, told now and then to the agent on its machine.
type Heartbeat struct {
	Worker          string // names one life: after a crash it is another
	Pool            string
	Cell            string
	Rack            string
	Labels          []string
	Cores           int64 // thousandths
	Memory          int64 // MB
	Accelerators    int64
	IsDraining      bool
	DrainRemaining  eventloop.Micros // while leaving: the time that is left at least
	WarmUpRemaining eventloop.Micros // how much longer it is slow from its start
	Clock           eventloop.Micros // of the worker, steady
	Number          uint64           // rises with each beat of a life
	Address         string           // where the worker takes calls
}

// Departed says that a worker has ended in order.
type Departed struct{ Worker string }

// Action is what a worker is called for.
type Action int

const (
	// Start begins a task.
	Start Action = iota + 1
	// Stop ends a task.
	Stop
	// Inspect holds what runs until a time, and lists what runs and what ended.
	Inspect
)

// TaskName is a task as its worker knows it.
type TaskName struct {
	Job         string
	Round       uint32
	StepInRound uint32 // the step's number within its round
	Task        uint32
}

// Call is one call of a worker. The fence is the ward's generation: a worker
// does nothing for one lower than the highest it has seen.
type Call struct {
	Number              uint64
	Action              Action
	Worker              string
	Address             string
	Task                TaskName
	Attempt             uint32
	Text                string
	Checkpoint          string
	HoldUntil           eventloop.Micros // of the worker's clock; everything is killed then; 0: left as it is
	FencingToken        uint64
	AcknowledgedThrough uint64           // ends up to this number may be forgotten
	Wait                eventloop.Micros // how long a look waits for an end
	// Patience is how long the answer is waited for, besides Wait. The worker
	// stands on the same machine, and every call may be made again.
	ReplyTimeout eventloop.Micros
}

// Outcome is how a call ended.
type Outcome int

const (
	// Succeeded means that it was done, or was so already.
	Succeeded Outcome = iota + 1
	// Rejected means that the worker won't; the reason says why.
	Rejected
	// Busy means that the worker has done nothing now; it may later.
	Busy
	// IncarnationMismatch means that another life than the one that was meant has answered.
	IncarnationMismatch
	// TimedOut means no answer: it may be done already, or later.
	TimedOut
)

// RejectionReason is why a start or stop was turned away.
type RejectionReason int

const (
	// NotRejected is that of a call which wasn't turned away.
	NotRejected RejectionReason = iota
	// StaleToken means that a higher fence has been seen.
	StaleToken
	// AttemptOver means that the attempt has ended or was stopped there, or a later one was seen.
	AttemptOver
	// DeadlinePassed means that its time was over.
	DeadlinePassed
	// NoCapacity means that the worker has too little room for it.
	NoCapacity
	// Malformed means that it can't be read.
	Malformed
)

// RunningTask is one line of a look.
type RunningTask struct {
	Task       TaskName
	Attempt    uint32
	Checkpoint string
	Percent    int64
}

// EndedTask is an end that the worker lists until it is noted.
type EndedTask struct {
	Number     uint64 // from 1 in each life, rising
	Task       TaskName
	Attempt    uint32
	State      string // done, failed, stopped, lapsed, broken, alone
	Checkpoint string
}

// Reply is what came of a call.
type Reply struct {
	Number  uint64 // of the call
	Outcome Outcome
	Reason  RejectionReason
	Clock   eventloop.Micros // of the worker, 0 when not told
	Running []RunningTask    // of a look
	Ended   []EndedTask      // of a look
}

// WorkerClient carries a call out and returns what came of it; it may block.
type WorkerClient interface {
	Call(call Call) Reply
}
