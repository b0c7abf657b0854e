package scheduler

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
)

// stepHeap yields the ready steps of a queue, those with least work left first, among
// equals the oldest job. While there is more work than capacity that makes the fewest jobs
// late. It holds one cursor per shape, so that a whole shape can be taken out once it finds
// no capacity.
type stepHeap []*stepCursor

// rankedStep is a step with the order of magnitude of the work that its job has left.
type rankedStep struct {
	*stepQueue
	workRank int
}

func compareRankedSteps(a, b rankedStep) int {
	return cmp.Or(cmp.Compare(a.workRank, b.workRank), cmp.Compare(a.key.job, b.key.job), cmp.Compare(a.key.step, b.key.step))
}

// stepCursor goes over the steps of one shape.
type stepCursor struct {
	steps   []rankedStep
	current *stepQueue // the first of steps; nil: none is left
}

func newStepCursor(steps []rankedStep) *stepCursor {
	slices.SortFunc(steps, compareRankedSteps)
	return &stepCursor{steps, steps[0].stepQueue}
}

func (c *stepCursor) advance() {
	if c.steps, c.current = c.steps[1:], nil; len(c.steps) > 0 {
		c.current = c.steps[0].stepQueue
	}
}

// Len implements heap.Interface.
func (h stepHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h stepHeap) Less(a, b int) bool { return compareRankedSteps(h[a].steps[0], h[b].steps[0]) < 0 }

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
// latency target, in one look at each; boosted ones are a class of their own.
func (s *Scheduler) stepsByFeasibility(now eventloop.Micros, q *queueView, isBoosted map[stepKey]bool) (heaps [feasibilityClasses]stepHeap) {
	for _, group := range q.byShape {
		var steps [feasibilityClasses][]rankedStep
		group.steps.Ascend(func(step *stepQueue) bool {
			first := step.first()
			class, rank := boosted, 0 // the oldest job first
			if !isBoosted[step.key] {
				class, rank = s.feasibilityOf(now, q, first), workRank(first.remaining)
			}
			steps[class] = append(steps[class], rankedStep{step, rank})
			return true
		})
		for class, list := range steps {
			if len(list) > 0 {
				heaps[class] = append(heaps[class], newStepCursor(list))
			}
		}
	}
	for class := range heaps {
		heap.Init(&heaps[class])
	}
	return heaps
}

// workRank is the order of magnitude, to base 2, of the core-seconds on a path; 0 where
// there are no estimates. Jobs of about the same size keep the order in which they came.
func workRank(path []queue.PathStep) int {
	coreSeconds := 0.0
	for _, leg := range path {
		coreSeconds += float64(leg.EstimateUs) / float64(eventloop.Second) * float64(leg.CoresMilli) / 1000
	}
	_, exponent := math.Frexp(coreSeconds)
	return exponent
}
