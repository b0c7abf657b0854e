package fakeworker

import (
	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Requirements holds the properties of a task that a called worker parses from its text.
type Requirements struct {
	Cores, Memory, Accelerators int64            // in thousandths of a core, MB, and whole accelerators
	Work                        eventloop.Micros // run time without slowdown; 0: the task runs until it is stopped
	GangSize                    int              // number of members of its gang; 0 or 1: it isn't in a gang
	Rack                        string           // rack that stores the task's data
	NeedsOneRack                bool             // the gang is slowed down if its members are in different racks
	HasCheckpoints              bool
}

// Fault is a failure that is simulated for one call.
type Fault int

const (
	// NoFault means that the worker carries out the call and the reply arrives.
	NoFault Fault = iota
	// FaultBusy means that the worker replies agent.Busy and doesn't carry out the call.
	FaultBusy
	// FaultRequestLost means that the call never arrives.
	FaultRequestLost
	// FaultReplyLost means that the worker carries out the call and the reply is lost.
	FaultReplyLost
	// FaultDelayed means that the worker carries out the call after the caller has timed out.
	FaultDelayed
)

// Config configures a called worker. The hooks determine what happens to it, which lets the
// caller make a run deterministic. Each hook may be nil.
type Config struct {
	Pool, Zone, Rack string
	Address          string
	Labels           []string
	Cores            int64 // thousandths of a core
	Memory           int64 // MB
	Accelerators     int64
	Bounds           *schema.Bounds
	EnforcesCapacity bool             // reject starts that exceed the free capacity
	ClockDrift       float64          // rate of its clock relative to true time; 0 means 1
	WarmUp           eventloop.Micros // how long it is warming up after its start
	FaultDelay       eventloop.Micros // delay of calls with FaultDelayed; 0 means 2 s

	// ParseTask parses the text of a task. If it is nil, fields such as run_us=30000 are parsed.
	ParseTask func(task agent.TaskName, text string) Requirements
	// Fails reports whether a run should fail, which it does halfway through its work.
	Fails func(task agent.TaskName, attempt uint32) bool
	// Slowdown returns the factor by which the run time of a run that starts now is multiplied.
	Slowdown func(now eventloop.Micros) float64
	// Fault returns the fault to simulate for a call.
	Fault func(now eventloop.Micros, call agent.Call) Fault
	// StopDuration returns how long a run takes to stop. If it is nil, that is a quarter of
	// StopTimeoutUs.
	StopDuration func(task agent.TaskName, attempt uint32) eventloop.Micros
	// OnEvent is called when a run begins (EventBegin) or ends (EventEnd). state is the state
	// in which it ended.
	OnEvent func(now eventloop.Micros, kind string, run RunID, state string)
	// OnStart is called when a start was carried out. With delayed set, this is after the
	// caller has timed out.
	OnStart func(now eventloop.Micros, call agent.Call, delayed bool)
	// OnAcknowledged is called when the agent has acknowledged an end, which the worker then
	// no longer lists.
	OnAcknowledged func(now eventloop.Micros, ended agent.EndedTask)
}

// Kinds of events that are passed to Config.OnEvent.
const (
	EventBegin = "begin"
	EventEnd   = "end"
)

// States of ended runs, as in agent.EndedTask.State.
const (
	stateDone    = "done"
	stateFailed  = "failed"
	stateStopped = "stopped"
	stateLapsed  = "lapsed" // the run deadline passed
	stateBroken  = "broken" // another member of its gang ended without completing
	stateAlone   = "alone"  // some member of its gang didn't start in time
	stateGone    = "gone"   // the worker crashed or departed; passed to OnEvent only
)
