package scheduler

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
)

// stepHeap is a priority queue of a queue's ready steps. Steps of the tenant with the lowest share
// rank come first; among equals, those whose job has the least work left by order of magnitude, then
// those of the oldest job. While there is more work than capacity, this order makes the fewest jobs
// late. The heap holds one cursor per shape and tenant, so that a whole shape can be removed once it
// finds no capacity.
type stepHeap []*stepCursor

// rankedStep is a step with the order of magnitude of its job's remaining work.
type rankedStep struct {
	*stepQueue
	workRank int
}

func compareRankedSteps(a, b rankedStep) int {
	return cmp.Or(cmp.Compare(a.workRank, b.workRank), cmp.Compare(a.key.job, b.key.job), cmp.Compare(a.key.step, b.key.step))
}

// stepCursor iterates over the steps of one shape and one tenant.
type stepCursor struct {
	steps     []rankedStep // not yet returned; the first of them is current
	current   *stepQueue   // nil: none is left
	lastTaken rankedStep   // the step that stepHeap.next returned last
	share     *tenantShare // of the steps' tenant; nil: it has no influence on the order of the steps
	shape     shape
	shareRank int // of the share when the heap was last ordered
}

func newStepCursor(steps []rankedStep, share *tenantShare, stepShape shape) *stepCursor {
	slices.SortFunc(steps, compareRankedSteps)
	c := &stepCursor{steps: steps, current: steps[0].stepQueue, share: share, shape: stepShape}
	c.shareRank = c.currentShareRank()
	return c
}

// currentShareRank returns the rank of the tenant's share at this point of the pass.
func (c *stepCursor) currentShareRank() int {
	if c.share == nil {
		return 0
	}
	return c.share.rank()
}

func (c *stepCursor) advance() {
	c.lastTaken = c.steps[0]
	if c.steps, c.current = c.steps[1:], nil; len(c.steps) > 0 {
		c.current = c.steps[0].stepQueue
	}
}

// Len implements heap.Interface.
func (h stepHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h stepHeap) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(h[a].shareRank, h[b].shareRank), compareRankedSteps(h[a].steps[0], h[b].steps[0])) < 0
}

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

// next removes the first step and returns it with the cursor it came from. Share ranks only grow
// during a pass, so it is enough to update a cursor's rank when the cursor comes first.
func (h *stepHeap) next() (*stepCursor, *stepQueue) {
	cursor := (*h)[0]
	for rank := cursor.currentShareRank(); rank > cursor.shareRank; rank = cursor.currentShareRank() {
		cursor.shareRank = rank
		heap.Fix(h, 0)
		cursor = (*h)[0]
	}
	step := cursor.current
	if cursor.advance(); cursor.current == nil {
		heap.Pop(h)
	} else {
		heap.Fix(h, 0)
	}
	return cursor, step
}

// putBack puts the step that next last returned for a cursor back to the front of that cursor.
func (h *stepHeap) putBack(cursor *stepCursor) {
	wasExhausted := cursor.current == nil
	cursor.steps, cursor.current = append([]rankedStep{cursor.lastTaken}, cursor.steps...), cursor.lastTaken.stepQueue
	cursor.shareRank = cursor.currentShareRank()
	if wasExhausted {
		heap.Push(h, cursor)
	} else {
		heap.Fix(h, slices.Index(*h, cursor))
	}
}

// removeShape removes the steps of a shape, whichever tenants they belong to.
func (h *stepHeap) removeShape(removed shape) {
	before := len(*h)
	if *h = slices.DeleteFunc(*h, func(cursor *stepCursor) bool { return cursor.shape == removed }); len(*h) < before {
		heap.Init(h)
	}
}

// cursorKey identifies a cursor among those of the same shape.
type cursorKey struct {
	class  deadlineFeasibility
	tenant string
}

// stepsByFeasibility sorts a queue's ready steps into one heap per feasibility class, looking at
// each step once; boosted steps are a class of their own. It leaves out steps that their tenant's
// limit doesn't allow.
func (s *Scheduler) stepsByFeasibility(now eventloop.Micros, q *queueView, pass *passState) (heaps [feasibilityClasses]stepHeap) {
	for shape, group := range q.byShape {
		steps := map[cursorKey][]rankedStep{}
		group.steps.Ascend(func(step *stepQueue) bool {
			first := step.first()
			if !pass.allowsAnyTask(s, step) {
				return true
			}
			class, rank := boosted, 0 // equal ranks: the oldest job first
			if !pass.boosted[step.key] {
				class, rank = s.feasibilityOf(now, q, first), q.remainingWorkRank(first)
			}
			key := cursorKey{class, first.tenant}
			steps[key] = append(steps[key], rankedStep{step, rank})
			return true
		})
		for key, list := range steps {
			var share *tenantShare
			if key.class != boosted {
				share = pass.sharesOf(s, q).shareOf(s, key.tenant)
			}
			heaps[key.class] = append(heaps[key.class], newStepCursor(list, share, shape))
		}
	}
	for class := range heaps {
		heap.Init(&heaps[class])
	}
	return heaps
}

// workRank returns the order of magnitude, to base 2, of the core-seconds on a path; 0 if there are
// no estimates. Jobs of about the same size thus keep the order in which they were submitted.
func workRank(path []queue.PathStep) int { return rankOfWork(coreSeconds(path)) }

// remainingWorkRank returns the workRank of the path that remains from a task's step on.
func (q *queueView) remainingWorkRank(t *task) int {
	if len(t.remainingPath) == 0 {
		return 0
	}
	return rankOfWork(stepCoreSeconds(q.remainingStep(t)) + coreSeconds(t.remainingPath[1:]))
}

func rankOfWork(coreSeconds float64) int {
	_, exponent := math.Frexp(coreSeconds)
	return exponent
}

func coreSeconds(path []queue.PathStep) (sum float64) {
	for _, pathStep := range path {
		sum += stepCoreSeconds(pathStep)
	}
	return sum
}

func stepCoreSeconds(pathStep queue.PathStep) float64 {
	return float64(pathStep.EstimateUs) / float64(eventloop.Second) * float64(pathStep.CoresMilli) / 1000
}
