// Package eventloop runs the components of a process. A Component is a step function
// with state of its own; a Process gives each one a mailbox and a goroutine, so that
// its state needs no locks. Components share nothing: they communicate by Messages, and
// what a step is to have outside the component goes through Effects. The same
// components run under simulated clocks and networks in internal/sim.
package eventloop

// Message is one message to a component.
type Message struct {
	From string // id of the process that sent it; empty for this one
	Body any    // Tick, or a message type of the schema or of the receiving package
}

// Tick is the message that comes to a component at its tick interval.
type Tick struct{}

// Effects collects the outputs of a step: messages, notifications and responses. None of
// its methods blocks; delivery isn't guaranteed.
type Effects interface {
	// Send sends a message to a process by its id.
	Send(to string, body any)
	// SendToAddress sends a message to whichever process listens at an internal address.
	SendToAddress(address string, body any)
	// Notify sends a message to another component of this process by its name.
	Notify(component string, body any)
	// Respond answers a pending request of a client by its number.
	Respond(request uint64, body any)
}

// Component is a step function with the state it owns. A step never blocks, reads no
// clock and draws no random numbers but from what the component was given, so that a
// simulation can replay it.
type Component interface {
	Step(now Micros, message Message, effects Effects)
}
