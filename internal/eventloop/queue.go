package eventloop

import (
	"context"
	"sync/atomic"
	"time"
)

// Queue is a bounded first-in, first-out queue between goroutines.
type Queue[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// NewQueue makes a queue that holds so many items.
func NewQueue[T any](size int) *Queue[T] { return &Queue[T]{items: make(chan T, size)} }

// TryPut adds an item and returns true. If the queue is full the item is dropped and
// counted; whoever needs it delivered must resend it.
func (q *Queue[T]) TryPut(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		q.dropped.Add(1)
		return false
	}
}

// Put adds an item, and waits while the queue is full; it returns false if the context
// ends before. It is only for goroutines that no component waits for in turn.
func (q *Queue[T]) Put(ctx context.Context, item T) bool {
	select {
	case q.items <- item:
		return true
	case <-ctx.Done():
		return false
	}
}

// TryTake removes the first item; false if there is none.
func (q *Queue[T]) TryTake() (T, bool) {
	select {
	case item := <-q.items:
		return item, true
	default:
		var none T
		return none, false
	}
}

// Dropped is how many items were dropped because the queue was full.
func (q *Queue[T]) Dropped() uint64 { return q.dropped.Load() }

// Consume passes each item to handle, and calls onTick at the tick interval unless that
// is 0, until the context ends.
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
