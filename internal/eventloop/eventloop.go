// Package eventloop runs the components of a process. A Component consists of state and a step
// function that handles one message. A Loop gives each component a mailbox and a goroutine, so
// the state of a component needs no locks. Components share no memory: they communicate by
// Messages, and a step affects anything outside its component only through Effects. The
// package internal/sim runs the same components with simulated clocks and networks.
package eventloop

// Message is a message to a component.
type Message struct {
	From string // id of the process that sent the message; empty if it comes from this process
	Body any    // Tick, or a message type of the schema or of the receiving package
}

// Tick is the body of the message that a component gets periodically, at its tick interval.
type Tick struct{}

// Effects is the interface through which a step sends messages, notifications and responses.
// Its methods don't block and don't guarantee delivery.
type Effects interface {
	// Send sends a message to the process with the given id.
	Send(to string, body any)
	// SendToAddress sends a message to an internal address, whichever process listens there.
	SendToAddress(address string, body any)
	// Notify sends a message to the component of this process that has the given name.
	Notify(component string, body any)
	// Respond sends the response to the pending client request that has the given number.
	Respond(request uint64, body any)
}

// Component is a part of a process with its own state, which only its step function accesses.
// A step must not block. It must not read a clock, and it may draw random numbers only from a
// source that was passed to the component, so that a simulation can replay the steps.
type Component interface {
	// Step handles one message at the time now.
	Step(now Micros, message Message, effects Effects)
}
