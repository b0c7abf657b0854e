package scheduler

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
)

// stepHeap yields the ready steps of a queue: those of tenants that are furthest below their
// fair shares first, among equals those with least work left, then the oldest job. While there
// is more work than capacity that makes the fewest jobs late. It holds one cursor per shape and
// tenant, so that a whole shape can be taken out once it finds no capacity.
type stepHeap []*stepCursor

// rankedStep is a step with the order of magnitude of the work that its job has left.
type rankedStep struct {
	*stepQueue
	workRank int
}

func compareRankedSteps(a, b rankedStep) int {
	return cmp.Or(cmp.Compare(a.workRank, b.workRank), cmp.Compare(a.key.job, b.key.job), cmp.Compare(a.key.step, b.key.step))
}

// stepCursor goes over the steps of one shape and one tenant.
type stepCursor struct {
	steps     []rankedStep // that are left; the first of them is current
	current   *stepQueue   // nil: none is left
	taken     rankedStep   // that next returned last
	share     *tenantShare // of their tenant; nil: the steps' order has nothing to do with it
	shape     shape
	shareRank int // of the share when the heap was last put in order
}

func newStepCursor(steps []rankedStep, share *tenantShare, of shape) *stepCursor {
	slices.SortFunc(steps, compareRankedSteps)
	c := &stepCursor{steps: steps, current: steps[0].stepQueue, share: share, shape: of}
	c.shareRank = c.currentShareRank()
	return c
}

// currentShareRank is the rank of the tenant's share at this point of the pass.
func (c *stepCursor) currentShareRank() int {
	if c.share == nil {
		return 0
	}
	return c.share.rank()
}

func (c *stepCursor) advance() {
	c.taken = c.steps[0]
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

// next takes out the first step and returns it with the cursor it came from. Shares only grow
// during a pass, so a cursor's rank is looked at again when it comes first.
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

// putBack returns the step that next took last from a cursor.
func (h *stepHeap) putBack(cursor *stepCursor) {
	wasExhausted := cursor.current == nil
	cursor.steps, cursor.current = append([]rankedStep{cursor.taken}, cursor.steps...), cursor.taken.stepQueue
	cursor.shareRank = cursor.currentShareRank()
	if wasExhausted {
		heap.Push(h, cursor)
	} else {
		heap.Fix(h, slices.Index(*h, cursor))
	}
}

// removeShape takes out the steps of a shape, whosoever they are.
func (h *stepHeap) removeShape(of shape) {
	before := len(*h)
	if *h = slices.DeleteFunc(*h, func(cursor *stepCursor) bool { return cursor.shape == of }); len(*h) < before {
		heap.Init(h)
	}
}

// cursorKey is what the steps of one cursor have in common beside their shape.
type cursorKey struct {
	class  deadlineFeasibility
	tenant string
}

// stepsByFeasibility sorts a queue's ready steps by whether their jobs can meet the
// latency target, in one look at each; boosted ones are a class of their own. What its tenant's
// limit doesn't take is left out.
func (s *Scheduler) stepsByFeasibility(now eventloop.Micros, q *queueView, pass *passState) (heaps [feasibilityClasses]stepHeap) {
	for shape, group := range q.byShape {
		steps := map[cursorKey][]rankedStep{}
		group.steps.Ascend(func(step *stepQueue) bool {
			first := step.first()
			if !pass.allowsAnyTask(s, step) {
				return true
			}
			class, rank := boosted, 0 // the oldest job first
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

// workRank is the order of magnitude, to base 2, of the core-seconds on a path; 0 where
// there are no estimates. Jobs of about the same size keep the order in which they came.
func workRank(path []queue.PathStep) int { return rankOfWork(coreSeconds(path)) }

// remainingWorkRank is workRank of what is left from a task's step on.
func (q *queueView) remainingWorkRank(t *task) int {
	if len(t.remaining) == 0 {
		return 0
	}
	return rankOfWork(legCoreSeconds(q.remainingLeg(t)) + coreSeconds(t.remaining[1:]))
}

func rankOfWork(coreSeconds float64) int {
	_, exponent := math.Frexp(coreSeconds)
	return exponent
}

func coreSeconds(path []queue.PathStep) (sum float64) {
	for _, leg := range path {
		sum += legCoreSeconds(leg)
	}
	return sum
}

func legCoreSeconds(leg queue.PathStep) float64 {
	return float64(leg.EstimateUs) / float64(eventloop.Second) * float64(leg.CoresMilli) / 1000
}
