package eventloop

import (
	"context"
	"sync/atomic"
	"time"
)

// Queue is a bounded first-in, first-out queue. It may be used by several goroutines
// concurrently.
type Queue[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// NewQueue returns an empty queue for up to size items.
func NewQueue[T any](size int) *Queue[T] { return &Queue[T]{items: make(chan T, size)} }

// TryPut adds an item without blocking. If the queue is full, it drops and counts the item and
// returns false; a caller that needs the item to be delivered must send it again later.
func (q *Queue[T]) TryPut(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		q.dropped.Add(1)
		return false
	}
}

// Put adds an item and blocks while the queue is full. It returns false if the context ends
// first. A goroutine that a component waits for must not call it, as this may cause a
// deadlock.
func (q *Queue[T]) Put(ctx context.Context, item T) bool {
	select {
	case q.items <- item:
		return true
	case <-ctx.Done():
		return false
	}
}

// TryTake removes and returns the first item. It returns false if the queue is empty.
func (q *Queue[T]) TryTake() (T, bool) {
	select {
	case item := <-q.items:
		return item, true
	default:
		var none T
		return none, false
	}
}

// Length returns the number of items in the queue.
func (q *Queue[T]) Length() int { return len(q.items) }

// Dropped returns the number of items that were dropped because the queue was full.
func (q *Queue[T]) Dropped() uint64 { return q.dropped.Load() }

// Consume passes each item to handle until the context ends. If the tick interval isn't 0, it
// also calls onTick at this interval, on the same goroutine.
func (q *Queue[T]) Consume(ctx context.Context, tickInterval Micros, handle func(T), onTick func()) {
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
		case item := <-q.items:
			handle(item)
		case <-ticks:
			onTick()
		}
	}
}
