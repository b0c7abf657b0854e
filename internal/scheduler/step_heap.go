package scheduler

import (
	"container/heap"
	"slices"

	"sparnotch/internal/eventloop"
)

// stepHeap yields the ready steps of a queue, oldest job first. It holds one cursor
// per shape, so that a whole shape can be taken out once it finds no capacity.
type stepHeap []*stepCursor

// stepCursor goes over the steps of one shape.
type stepCursor struct {
	steps   []*stepQueue
	current *stepQueue // the first of steps; nil: none is left
}

func (c *stepCursor) advance() {
	if c.steps, c.current = c.steps[1:], nil; len(c.steps) > 0 {
		c.current = c.steps[0]
	}
}

// Len implements heap.Interface.
func (h stepHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h stepHeap) Less(a, b int) bool { return stepQueueLess(h[a].current, h[b].current) }

// Swap implements heap.Interface.
func (h stepHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *stepHeap) Push(x any) { *h = append(*h, x.(*stepCursor)) }

// Pop implements heap.Interface.
func (h *stepHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// next takes out the first step and returns it with the cursor it came from.
func (h *stepHeap) next() (*stepCursor, *stepQueue) {
	cursor := (*h)[0]
	step := cursor.current
	if cursor.advance(); cursor.current == nil {
		heap.Pop(h)
	} else {
		heap.Fix(h, 0)
	}
	return cursor, step
}

// removeShape takes out a cursor that isn't exhausted.
func (h *stepHeap) removeShape(cursor *stepCursor) { heap.Remove(h, slices.Index(*h, cursor)) }

// stepsByFeasibility sorts a queue's ready steps by whether their jobs can meet the
// latency target, in one look at each.
func (s *Scheduler) stepsByFeasibility(now eventloop.Micros, q *queueView) (heaps [feasibilityClasses]stepHeap) {
	for _, group := range q.byShape {
		var steps [feasibilityClasses][]*stepQueue
		group.steps.Ascend(func(step *stepQueue) bool {
			class := s.feasibilityOf(now, q, step.first())
			steps[class] = append(steps[class], step)
			return true
		})
		for class, list := range steps {
			if len(list) > 0 {
				heaps[class] = append(heaps[class], &stepCursor{list, list[0]})
			}
		}
	}
	for class := range heaps {
		heap.Init(&heaps[class])
	}
	return heaps
}
