package fakeworker

import (
	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Requirements is what a called worker reads from a task's text.
type Requirements struct {
	Cores, Memory, Accelerators int64            // thousandths of a core, MB, whole ones
	Work                        eventloop.Micros // without slowdown; 0: the task runs until it is stopped
	GangSize                    int              // members of its gang; 0 and 1: it has none
	Rack                        string           // that holds its data
	NeedsOneRack                bool             // its gang is slowed down when it spans racks
	HasCheckpoints              bool
}

// Fault is what goes wrong with one call.
type Fault int

const (
	// NoFault means that the call is carried out and answered.
	NoFault Fault = iota
	// FaultBusy means that the worker replies agent.Busy and does nothing.
	FaultBusy
	// FaultRequestLost means that the call never arrives.
	FaultRequestLost
	// FaultReplyLost means that the call is carried out and its reply is lost.
	FaultReplyLost
	// FaultDelayed means that the call is carried out after its caller has given up.
	FaultDelayed
)

// Config describes a called worker. The hooks decide what happens to it, so that
// the caller can make a run deterministic; each may be nil.
type Config struct {
	Pool, Zone, Rack string
	Address          string
	Labels           []string
	Cores            int64 // thousandths of a core
	Memory           int64 // MB
	Accelerators     int64
	Bounds           *schema.Bounds
	EnforcesCapacity bool             // rejects what doesn't fit
	ClockDrift       float64          // rate of its clock; 0: 1
	WarmUp           eventloop.Micros // it is warming up for so long after its start
	FaultDelay       eventloop.Micros // when calls with FaultDelayed are carried out; 0: after 2 s

	// ParseTask reads a task's text; nil: fields such as run_us=30000.
	ParseTask func(task agent.TaskName, text string) Requirements
	// Fails reports whether a run is to fail, halfway through its work.
	Fails func(task agent.TaskName, attempt uint32) bool
	// Slowdown is the factor on the work of a run that starts now.
	Slowdown func(now eventloop.Micros) float64
	// Fault is what goes wrong with a call.
	Fault func(now eventloop.Micros, call agent.Call) Fault
	// StopDuration is how long a stop takes; nil: a quarter of the bound.
	StopDuration func(task agent.TaskName, attempt uint32) eventloop.Micros
	// OnEvent is called with the kind EventBegin or EventEnd; state says how a run ended.
	OnEvent func(now eventloop.Micros, kind string, run RunID, state string)
	// OnStart is called when a start was carried out, which may be long after the call.
	OnStart func(now eventloop.Micros, call agent.Call, delayed bool)
	// OnAcknowledged is called when an end isn't listed any more.
	OnAcknowledged func(now eventloop.Micros, ended agent.EndedTask)
}

// Kinds of Config.OnEvent.
const (
	EventBegin = "begin"
	EventEnd   = "end"
)

// How a run ends, as in agent.EndedTask.State.
const (
	stateDone    = "done"
	stateFailed  = "failed"
	stateStopped = "stopped"
	stateLapsed  = "lapsed" // the hold was over
	stateBroken  = "broken" // another member of its gang ended otherwise
	stateAlone   = "alone"  // its gang wasn't complete in time
	stateGone    = "gone"   // the worker crashed; for OnEvent only
)
