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
	// Milli is a millisecond.
	Milli Micros = 1000
	// Second is a second.
	Second Micros = 1000 * Milli
)

// Span turns it into the library's span.
func (m Micros) Span() time.Duration { return time.Duration(m) * time.Microsecond }

// Mail is one message to a table; From is the process that sent it, empty for
// this one.
type Mail struct {
	From string
	Body any
}

// Tick comes to each table at a steady pace.
type Tick struct{}

// Out is where a table's step leaves its effects.
type Out interface {
	Send(to string, body any)        // to a process by id
	Dial(address string, body any)   // to a process by its inner address
	Tell(table string, body any)     // to another table of this process
	Answer(request uint64, body any) // to whoever waits for that request
}

// Table is a step function with the state it owns. It never blocks, reads no
// clock and draws no random numbers but from what it was given.
type Table interface {
	Step(now Micros, mail Mail, out Out)
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

// Ring is a bounded queue between two goroutines.
type Ring[T any] struct {
	items chan T
	lost  atomic.Uint64
}

// NewRing makes a ring that holds so many items.
func NewRing[T any](size int) *Ring[T] { return &Ring[T]{items: make(chan T, size)} }

// Offer puts an item in unless the ring is full, in which case the item is
// lost and counted. Whatever is offered is resent by those who need it.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.lost.Add(1)
		return false
	}
}

// Put waits for room: only for duties that no table ever waits on in turn.
func (r *Ring[T]) Put(ctx context.Context, item T) bool {
	select {
	case r.items <- item:
		return true
	case <-ctx.Done():
		return false
	}
}

// Take takes an item out if one is there.
func (r *Ring[T]) Take() (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	default:
		var none T
		return none, false
	}
}

// Lost is how many items found the ring full.
func (r *Ring[T]) Lost() uint64 { return r.lost.Load() }

// Drain is the select loop, written once: it hands each item to `handle`, and
// calls `pace` every span if one is given, until the context ends.
func (r *Ring[T]) Drain(ctx context.Context, every Micros, handle func(T), pace func()) {
	var ticks <-chan time.Time
	if every > 0 {
		ticker := time.NewTicker(every.Span())
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
			pace()
		}
	}
}

// Process runs a set of tables, each on its own goroutine.
type Process struct {
	Clock   Clock
	Out     Out // where sends, dials and answers go; Tell stays here
	rings   map[string]*Ring[Mail]
	tables  map[string]Table
	paces   map[string]Micros
	latency atomic.Int64
	running sync.WaitGroup
	ctx     context.Context
	// Broken is told of a table that panicked, which ends that table alone;
	// whoever is told ends the process.
	Broken func(table string, cause any, stack []byte)
}

// NewProcess makes a process without tables; Add them, then Run.
func NewProcess(clock Clock) *Process {
	return &Process{Clock: clock, rings: map[string]*Ring[Mail]{}, tables: map[string]Table{}, paces: map[string]Micros{}}
}

// Add names a table before Run.
func (p *Process) Add(name string, table Table, every Micros) {
	p.tables[name], p.paces[name] = table, every
	p.rings[name] = NewRing[Mail](4096)
}

// Run starts every table and returns; Wait waits for their end.
func (p *Process) Run(ctx context.Context) {
	p.ctx = ctx
	for name, table := range p.tables {
		p.running.Add(1)
		go func() {
			defer p.running.Done()
			defer func() {
				if cause := recover(); cause != nil {
					if p.Broken == nil {
						panic(cause)
					}
					p.Broken(name, cause, debug.Stack())
				}
			}()
			pace := p.paces[name]
			var last Micros
			step := func(mail Mail) { table.Step(p.Clock.Now(), mail, p) }
			p.rings[name].Drain(ctx, pace, step, func() {
				now := p.Clock.Now()
				// A tick that comes late says that this process is short of
				// processor or was frozen; the leaders' loop wants to know.
				if last > 0 {
					p.noteLatency(now - last - pace)
				}
				last = now
				step(Mail{Body: Tick{}})
			})
		}()
	}
}

// Wait returns when all tables have stopped.
func (p *Process) Wait() { p.running.Wait() }

func (p *Process) noteLatency(late Micros) {
	if late < 0 {
		late = 0
	}
	// Decays, so that the worst of the last seconds is seen and then forgotten.
	old := Micros(p.latency.Load())
	if decayed := old - old/32; decayed > late {
		late = decayed
	}
	p.latency.Store(int64(late))
}

// Latency is the worst recent lateness of a tick.
func (p *Process) Latency() Micros { return Micros(p.latency.Load()) }

// Post puts a mail from outside into a table's mailbox.
func (p *Process) Post(table string, mail Mail) bool {
	ring, known := p.rings[table]
	return known && ring.Offer(mail)
}

// PostWait is Post for duties whose word may not be lost.
func (p *Process) PostWait(table string, mail Mail) bool {
	ring, known := p.rings[table]
	return known && ring.Put(p.ctx, mail)
}

// Lost counts the mails that found a full mailbox.
func (p *Process) Lost() map[string]uint64 {
	counts := map[string]uint64{}
	for name, ring := range p.rings {
		counts[name] = ring.Lost()
	}
	return counts
}

// Tell implements Out: a message for another table of this process.
func (p *Process) Tell(table string, body any) { p.Post(table, Mail{Body: body}) }

// Send implements Out: a message for another process, by its id.
func (p *Process) Send(to string, body any) { p.Out.Send(to, body) }

// Dial implements Out: a message for whoever listens at an address.
func (p *Process) Dial(address string, body any) { p.Out.Dial(address, body) }

// Answer implements Out: the answer to a request from outside.
func (p *Process) Answer(request uint64, body any) { p.Out.Answer(request, body) }
