package eventloop

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"
)

// mailboxSize is how many messages wait for a component before further ones are dropped.
const mailboxSize = 4096

// Loop runs a set of components, each on its own goroutine. The fields are set before
// Run.
type Loop struct {
	Clock Clock
	// Outbound takes what leaves the process: Send, Dial and Respond. Notify stays here.
	Outbound Effects
	// OnPanic is called, if given, when a component panics, which ends that component
	// alone; the caller is expected to end the process.
	OnPanic func(component string, cause any, stack []byte)

	components  map[string]*hosted
	tickLatency atomic.Int64
	running     sync.WaitGroup
	ctx         context.Context // of Run
}

// hosted is a component in its process.
type hosted struct {
	name         string
	component    Component
	mailbox      *Queue[Message]
	tickInterval Micros
}

// NewLoop makes a process without components.
func NewLoop(clock Clock) *Loop {
	return &Loop{Clock: clock, components: map[string]*hosted{}}
}

// Add adds a component under a name before Run. With a tick interval of 0 it gets no
// Tick.
func (p *Loop) Add(name string, component Component, tickInterval Micros) {
	p.components[name] = &hosted{name, component, NewQueue[Message](mailboxSize), tickInterval}
}

// Run starts the components and returns; they stop when the context ends.
func (p *Loop) Run(ctx context.Context) {
	p.ctx = ctx
	for _, h := range p.components {
		p.running.Add(1)
		go p.run(ctx, h)
	}
}

// Wait returns when all components have stopped.
func (p *Loop) Wait() { p.running.Wait() }

func (p *Loop) run(ctx context.Context, h *hosted) {
	defer p.running.Done()
	defer p.recoverPanic(h.name)
	var lastTick Micros
	step := func(message Message) { h.component.Step(p.Clock.Now(), message, p) }
	h.mailbox.Consume(ctx, h.tickInterval, step, func() {
		now := p.Clock.Now()
		if lastTick > 0 {
			p.recordTickLatency(now - lastTick - h.tickInterval)
		}
		lastTick = now
		step(Message{Body: Tick{}})
	})
}

// recoverPanic is deferred by a component's goroutine.
func (p *Loop) recoverPanic(name string) {
	cause := recover()
	if cause == nil {
		return
	}
	if p.OnPanic == nil {
		panic(cause)
	}
	p.OnPanic(name, cause, debug.Stack())
}

// recordTickLatency keeps the worst lateness, which decays so that it is forgotten some
// seconds later.
func (p *Loop) recordTickLatency(late Micros) {
	recent := Micros(p.tickLatency.Load())
	p.tickLatency.Store(int64(max(0, late, recent-recent/32)))
}

// TickLatency is by how many µs the latest recent tick came late. A process that is
// short of CPU time or was suspended shows it here, and shouldn't lead.
func (p *Loop) TickLatency() Micros { return Micros(p.tickLatency.Load()) }

// Post puts a message into a component's mailbox. It returns false if the mailbox is
// full, or there is no such component; the message is dropped then.
func (p *Loop) Post(component string, message Message) bool {
	h := p.components[component]
	return h != nil && h.mailbox.TryPut(message)
}

// PostWait is Post for messages that must not be dropped: it waits while the mailbox is
// full, and returns false if Run's context ends before. It must be called after Run, and
// not from a component.
func (p *Loop) PostWait(component string, message Message) bool {
	h := p.components[component]
	return h != nil && h.mailbox.Put(p.ctx, message)
}

// Dropped counts, by component, the messages that were dropped at a full mailbox.
func (p *Loop) Dropped() map[string]uint64 {
	counts := map[string]uint64{}
	for name, h := range p.components {
		counts[name] = h.mailbox.Dropped()
	}
	return counts
}

// Notify implements Effects.
func (p *Loop) Notify(component string, body any) { p.Post(component, Message{Body: body}) }

// Send implements Effects.
func (p *Loop) Send(to string, body any) { p.Outbound.Send(to, body) }

// SendToAddress implements Effects.
func (p *Loop) SendToAddress(address string, body any) { p.Outbound.SendToAddress(address, body) }

// Respond implements Effects.
func (p *Loop) Respond(request uint64, body any) { p.Outbound.Respond(request, body) }
