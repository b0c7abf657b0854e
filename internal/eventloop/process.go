package eventloop

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"
)

// mailboxSize is the number of messages that can wait for a component; further messages are
// dropped.
const mailboxSize = 4096

// Loop runs the components of a process, each on its own goroutine. Its exported fields must
// be set before Run is called.
type Loop struct {
	Clock Clock
	// Outbound receives the calls of Send, SendToAddress and Respond by the components. The
	// Loop itself handles Notify.
	Outbound Effects
	// OnPanic is called if a component panics. The panic ends only that component; the owner
	// of the Loop is expected to end the process. If OnPanic is nil, the panic goes on and
	// ends the process itself.
	OnPanic func(component string, cause any, stack []byte)

	components  map[string]*registeredComponent // by name
	tickLatency atomic.Int64                    // see TickLatency, in µs
	running     sync.WaitGroup                  // the goroutines of the components
	ctx         context.Context                 // the context that was passed to Run
}

// registeredComponent is a component that was added to a Loop, with its mailbox.
type registeredComponent struct {
	name         string
	component    Component
	mailbox      *Queue[mail]
	tickInterval Micros // 0: the component gets no Tick
	load         loadCounters
}

// mail is a message in a mailbox.
type mail struct {
	message  Message
	postedAt Micros
}

// NewLoop returns a Loop without components.
func NewLoop(clock Clock) *Loop {
	return &Loop{Clock: clock, components: map[string]*registeredComponent{}}
}

// Add adds a component under the given name. It must be called before Run. The component gets a Tick at
// each tick interval, or none if the interval is 0.
func (l *Loop) Add(name string, component Component, tickInterval Micros) {
	l.components[name] = &registeredComponent{name: name, component: component, mailbox: NewQueue[mail](mailboxSize), tickInterval: tickInterval}
}

// Run starts the goroutines of the components and returns. They stop when the context ends.
func (l *Loop) Run(ctx context.Context) {
	l.ctx = ctx
	for _, registered := range l.components {
		l.running.Add(1)
		go l.run(ctx, registered)
	}
}

// Wait blocks until all components have stopped.
func (l *Loop) Wait() { l.running.Wait() }

// run passes the messages and ticks of a component to its step function until the context ends.
func (l *Loop) run(ctx context.Context, registered *registeredComponent) {
	defer l.running.Done()
	defer l.recoverPanic(registered.name)
	var lastTick Micros
	step := func(message Message, postedAt Micros) {
		startedAt := l.Clock.Now()
		registered.component.Step(startedAt, message, l)
		registered.load.record(startedAt-postedAt, l.Clock.Now()-startedAt)
	}
	handle := func(received mail) { step(received.message, received.postedAt) }
	registered.mailbox.Consume(ctx, registered.tickInterval, handle, func() {
		now := l.Clock.Now()
		if lastTick > 0 {
			l.recordTickLatency(now - lastTick - registered.tickInterval)
		}
		lastTick = now
		step(Message{Body: Tick{}}, now)
	})
}

// recoverPanic, which the goroutine of a component defers, reports a panic to OnPanic. If
// OnPanic is nil, it panics again.
func (l *Loop) recoverPanic(name string) {
	cause := recover()
	if cause == nil {
		return
	}
	if l.OnPanic == nil {
		panic(cause)
	}
	l.OnPanic(name, cause, debug.Stack())
}

// recordTickLatency updates the tick latency with the delay of one tick. It keeps the largest
// delay, which decays with each tick, so that an old delay has little weight after some
// seconds.
func (l *Loop) recordTickLatency(latency Micros) {
	previous := Micros(l.tickLatency.Load())
	l.tickLatency.Store(int64(max(0, latency, previous-previous/32)))
}

// TickLatency returns the largest recent delay of a tick in µs; older delays count less. The
// value is large if the process lacks CPU time or was suspended; such a process shouldn't be
// a leader.
func (l *Loop) TickLatency() Micros { return Micros(l.tickLatency.Load()) }

// Post puts a message into the mailbox of a component without blocking. If the mailbox is full
// or there is no component with this name, it drops the message and returns false.
func (l *Loop) Post(component string, message Message) bool {
	registered := l.components[component]
	return registered != nil && registered.mailbox.TryPut(mail{message, l.Clock.Now()})
}

// PostWait puts a message that must not be dropped into the mailbox of a component. It blocks
// while the mailbox is full. It returns false if the context of Run ends first or if there is
// no component with this name. It must be called after Run, and not by a component.
func (l *Loop) PostWait(component string, message Message) bool {
	registered := l.components[component]
	return registered != nil && registered.mailbox.Put(l.ctx, mail{message, l.Clock.Now()})
}

// Dropped returns for each component, by name, how many messages were dropped because its
// mailbox was full.
func (l *Loop) Dropped() map[string]uint64 {
	counts := map[string]uint64{}
	for name, registered := range l.components {
		counts[name] = registered.mailbox.Dropped()
	}
	return counts
}

// Notify implements Effects.
func (l *Loop) Notify(component string, body any) { l.Post(component, Message{Body: body}) }

// Send implements Effects.
func (l *Loop) Send(to string, body any) { l.Outbound.Send(to, body) }

// SendToAddress implements Effects.
func (l *Loop) SendToAddress(address string, body any) { l.Outbound.SendToAddress(address, body) }

// Respond implements Effects.
func (l *Loop) Respond(request uint64, body any) { l.Outbound.Respond(request, body) }
