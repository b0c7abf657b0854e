// Package agent owns one worker that is called: it hears the worker's beats,
// carries its inventory and ends to the scheduler in announces, and turns the
// answers into calls (start, stop, look). It holds nothing durable: what it has
// forgotten, the worker lists again.
package agent

import "sparnotch/internal/eventloop"

// Beat is a worker's own word, told now and then to the agent on its machine.
type Beat struct {
	Worker       string // names one life: after a crash it is another
	Pool         string
	Cell         string
	Rack         string
	Labels       []string
	Cores        int64 // thousandths
	Memory       int64 // MB
	Accelerators int64
	IsLeaving    bool
	Departure    eventloop.Micros // while leaving: the time that is left at least
	Cold         eventloop.Micros // how much longer it is slow from its start
	Clock        eventloop.Micros // of the worker, steady
	Number       uint64           // rises with each beat of a life
	Address      string           // where the worker takes calls
}

// Departed says that a worker has ended in order.
type Departed struct{ Worker string }

// Act is what a worker is called for.
type Act int

const (
	// Start begins a task.
	Start Act = iota + 1
	// Stop ends a task.
	Stop
	// Look holds what runs until a time, and lists what runs and what ended.
	Look
)

// TaskName is a task as its worker knows it.
type TaskName struct {
	Job   string
	Round uint32
	Part  uint32 // the step's number within its round
	Task  uint32
}

// Call is one call of a worker. The fence is the ward's generation: a worker
// does nothing for one lower than the highest it has seen.
type Call struct {
	Number  uint64
	Act     Act
	Worker  string
	Address string
	Task    TaskName
	Attempt uint32
	Text    string
	Saved   string
	Until   eventloop.Micros // of the worker's clock; everything is killed then; 0: left as it is
	Fence   uint64
	Noted   uint64           // ends up to this number may be forgotten
	Wait    eventloop.Micros // how long a look waits for an end
	// Patience is how long the answer is waited for, besides Wait. The worker
	// stands on the same machine, and every call may be made again.
	Patience eventloop.Micros
}

// Verdict is how a call ended.
type Verdict int

const (
	// Answered means that it was done, or was so already.
	Answered Verdict = iota + 1
	// TurnedAway means that the worker won't; the reason says why.
	TurnedAway
	// Busy means that the worker has done nothing now; it may later.
	Busy
	// OtherLife means that another life than the one that was meant has answered.
	OtherLife
	// Silent means no answer: it may be done already, or later.
	Silent
)

// Reason is why a start or stop was turned away.
type Reason int

const (
	// NoReason is that of a call which wasn't turned away.
	NoReason Reason = iota
	// Fenced means that a higher fence has been seen.
	Fenced
	// Past means that the attempt has ended or was stopped there, or a later one was seen.
	Past
	// Late means that its time was over.
	Late
	// NoRoom means that the worker has too little room for it.
	NoRoom
	// Bad means that it can't be read.
	Bad
)

// Running is one line of a look.
type Running struct {
	Task    TaskName
	Attempt uint32
	Saved   string
	Percent int64
}

// Ending is an end that the worker lists until it is noted.
type Ending struct {
	Number  uint64 // from 1 in each life, rising
	Task    TaskName
	Attempt uint32
	How     string // done, failed, stopped, lapsed, broken, alone
	Saved   string
}

// Reply is what came of a call.
type Reply struct {
	Number  uint64 // of the call
	Verdict Verdict
	Reason  Reason
	Clock   eventloop.Micros // of the worker, 0 when not told
	Running []Running        // of a look
	Ended   []Ending         // of a look
}

// Caller carries a call out and returns what came of it; it may block.
type Caller interface {
	Call(call Call) Reply
}
