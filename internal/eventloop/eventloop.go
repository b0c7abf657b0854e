// Package eventloop holds the one mailbox loop that every table runs in, and the
// bounded rings that join the goroutines of a process.
package eventloop

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"
)

// Micros is a time or a span in whole microseconds. Points in time are of a
// monotonic clock whose start means nothing.
type Micros int64

const (
	// Millisecond is a millisecond.
	Millisecond Micros = 1000
	// Second is a second.
	Second Micros = 1000 * Millisecond
)

// Duration turns it into the library's span.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Message is one message to a table; From is the process that sent it, empty for
// this one.
type Message struct {
	From string
	Body any
}

// Tick comes to each table at a steady pace.
type Tick struct{}

// Effects is where a table's step leaves its effects.
type Effects interface {
	Send(to string, body any)         // to a process by id
	Dial(address string, body any)    // to a process by its inner address
	Notify(table string, body any)    // to another table of this process
	Respond(request uint64, body any) // to whoever waits for that request
}

// Component is a step function with the state it owns. It never blocks, reads no
// clock and draws no random numbers but from what it was given.
type Component interface {
	Step(now Micros, mail Message, out Effects)
}

// Clock is passed in wherever time matters.
type Clock interface {
	Now() Micros
	Wall() int64 // microseconds since 1970; only for absolute start times
}

type realClock struct{ start time.Time }

// RealClock reads the machine's clocks.
func RealClock() Clock { return realClock{time.Now()} }

func (c realClock) Now() Micros { return Micros(time.Since(c.start).Microseconds()) + Second }
func (c realClock) Wall() int64 { return time.Now().UnixMicro() }

// Queue is a bounded queue between two goroutines.
type Queue[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// NewQueue makes a ring that holds so many items.
func NewQueue[T any](size int) *Queue[T] { return &Queue[T]{items: make(chan T, size)} }

// TryPut puts an item in unless the ring is full, in which case the item is
// lost and counted. Whatever is offered is resent by those who need it.
func (r *Queue[T]) TryPut(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Put waits for room: only for duties that no table ever waits on in turn.
func (r *Queue[T]) Put(ctx context.Context, item T) bool {
	select {
	case r.items <- item:
		return true
	case <-ctx.Done():
		return false
	}
}

// TryTake takes an item out if one is there.
func (r *Queue[T]) TryTake() (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	default:
		var none T
		return none, false
	}
}

// Dropped is how many items found the ring full.
func (r *Queue[T]) Dropped() uint64 { return r.dropped.Load() }

// Consume is the select loop, written once: it hands each item to `handle`, and
// calls `pace` every span if one is given, until the context ends.
func (r *Queue[T]) Consume(ctx context.Context, tickInterval Micros, handle func(T), onTick func()) {
	var ticks <-chan time.Time
	if tickInterval > 0 {
		ticker := time.NewTicker(tickInterval.Duration())
		defer ticker.Stop()
		ticks = ticker.C
	}
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-r.items:
			handle(item)
		case <-ticks:
			onTick()
		}
	}
}

// Process runs a set of tables, each on its own goroutine.
type Process struct {
	Clock         Clock
	Outbound      Effects // where sends, dials and answers go; Tell stays here
	mailboxes     map[string]*Queue[Message]
	components    map[string]Component
	tickIntervals map[string]Micros
	tickLatency   atomic.Int64
	running       sync.WaitGroup
	ctx           context.Context
	// Broken is told of a table that panicked, which ends that table alone;
	// whoever is told ends the process.
	OnPanic func(table string, cause any, stack []byte)
}

// NewProcess makes a process without tables; Add them, then Run.
func NewProcess(clock Clock) *Process {
	return &Process{Clock: clock, mailboxes: map[string]*Queue[Message]{}, components: map[string]Component{}, tickIntervals: map[string]Micros{}}
}

// Add names a table before Run.
func (p *Process) Add(name string, component Component, tickInterval Micros) {
	p.components[name], p.tickIntervals[name] = component, tickInterval
	p.mailboxes[name] = NewQueue[Message](4096)
}

// Run starts every table and returns; Wait waits for their end.
func (p *Process) Run(ctx context.Context) {
	p.ctx = ctx
	for name, component := range p.components {
		p.running.Add(1)
		go func() {
			defer p.running.Done()
			defer func() {
				if cause := recover(); cause != nil {
					if p.OnPanic == nil {
						panic(cause)
					}
					p.OnPanic(name, cause, debug.Stack())
				}
			}()
			tickInterval := p.tickIntervals[name]
			var lastTick Micros
			step := func(message Message) { component.Step(p.Clock.Now(), message, p) }
			p.mailboxes[name].Consume(ctx, tickInterval, step, func() {
				now := p.Clock.Now()
				// A tick that comes late says that this process is short of
				// processor or was frozen; the leaders' loop wants to know.
				if lastTick > 0 {
					p.recordTickLatency(now - lastTick - tickInterval)
				}
				lastTick = now
				step(Message{Body: Tick{}})
			})
		}()
	}
}

// Wait returns when all tables have stopped.
func (p *Process) Wait() { p.running.Wait() }

func (p *Process) recordTickLatency(late Micros) {
	if late < 0 {
		late = 0
	}
	// Decays, so that the worst of the last seconds is seen and then forgotten.
	old := Micros(p.tickLatency.Load())
	if decayed := old - old/32; decayed > late {
		late = decayed
	}
	p.tickLatency.Store(int64(late))
}

// TickLatency is the worst recent lateness of a tick.
func (p *Process) TickLatency() Micros { return Micros(p.tickLatency.Load()) }

// Post puts a mail from outside into a table's mailbox.
func (p *Process) Post(component string, message Message) bool {
	mailbox, known := p.mailboxes[component]
	return known && mailbox.TryPut(message)
}

// PostWait is Post for duties whose word may not be lost.
func (p *Process) PostWait(component string, message Message) bool {
	mailbox, known := p.mailboxes[component]
	return known && mailbox.Put(p.ctx, message)
}

// Dropped counts the mails that found a full mailbox.
func (p *Process) Dropped() map[string]uint64 {
	counts := map[string]uint64{}
	for name, mailbox := range p.mailboxes {
		counts[name] = mailbox.Dropped()
	}
	return counts
}

// Notify implements Out: a message for another table of this process.
func (p *Process) Notify(component string, body any) { p.Post(component, Message{Body: body}) }

// Send implements Out: a message for another process, by its id.
func (p *Process) Send(to string, body any) { p.Outbound.Send(to, body) }

// Dial implements Out: a message for whoever listens at an address.
func (p *Process) Dial(address string, body any) { p.Outbound.Dial(address, body) }

// Respond implements Out: the answer to a request from outside.
func (p *Process) Respond(request uint64, body any) { p.Outbound.Respond(request, body) }
