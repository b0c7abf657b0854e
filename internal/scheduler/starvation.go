package scheduler

import (
	"cmp"
	"slices"

	"sparnotch/internal/eventloop"
)

// While there is more work than capacity, steps that come last by class, urgency or size would
// wait until that ends. So a share of each pool's cores goes to steps that would starve. These are
// boosted: they are placed before all others, whatever their class (aging). Steps with tasks that
// were lost with a worker come first, because their jobs are otherwise nearly done. Then come steps
// whose jobs have missed their targets by far. Within both groups the oldest job comes first.
//
// In a pool of equal workers, a lost task thus starts again within the sum of three times: until
// the loss is noticed (lease and margin), claimDelay, and the longest run on the worker that is
// claimed for the task. This holds as long as the lost tasks take no more than lostShare of the
// pool. Any other task, once it is aged, waits for older ones, which get at least agedShare of the
// pool.

const (
	lostShare  = 0.25   // part of a pool's cores that boosted tasks may use while lost ones wait
	agedShare  = 0.0625 // part of a pool's cores that boosted tasks may use while aged ones wait
	agedFactor = 10     // a job that has taken more than this many times its target is aged
)

// starvingStep is a step that would starve unless it is boosted.
type starvingStep struct {
	*stepQueue
	budget *boostBudget     // budget of the step's pool
	dueAt  eventloop.Micros // when its job's round was due to begin
}

// boostBudget holds how many milli cores of a pool may still go to boosted steps: to those with lost
// tasks, and to those of aged jobs.
type boostBudget struct{ lost, aged int64 }

// boostSteps chooses the steps that are boosted in a pass.
func (s *Scheduler) boostSteps(now eventloop.Micros, queues []*queueView, pass *passState) {
	budgets := map[string]*boostBudget{}
	for pool, candidates := range pass.byPool {
		total, used := totalCores(candidates), s.boostedCores(pool)
		pass.remainingBoostedCores[pool] = int64(lostShare*total) - used
		budgets[pool] = &boostBudget{pass.remainingBoostedCores[pool], int64(agedShare*total) - used}
	}
	var lost, aged []starvingStep
	for _, q := range queues {
		pool := s.poolOf(q)
		budget := budgets[pool]
		if budget == nil {
			continue
		}
		for _, step := range q.lostSteps {
			if !pass.allowsAnyTask(s, step) {
				continue
			}
			lost = append(lost, starvingStep{step, budget, step.first().roundDueAt})
		}
		aged = append(aged, s.agedSteps(now, q, budget, pass)...)
	}
	pass.boost(lost, func(budget *boostBudget) int64 { return budget.lost })
	pass.boost(aged, func(budget *boostBudget) int64 { return budget.aged })
}

func totalCores(candidates []*candidate) float64 {
	total := int64(0)
	for _, c := range candidates {
		total += c.worker.cores
	}
	return float64(total)
}

// boostedCores returns how many milli cores of a pool boosted tasks use.
func (s *Scheduler) boostedCores(pool string) (used int64) {
	for _, q := range s.queues {
		if s.poolOf(q) != pool {
			continue
		}
		used += q.boostedCores
		for _, t := range q.reserved {
			if t.isBoosted {
				used += t.spec.CoresMilli
			}
		}
	}
	return used
}

// agedSteps returns the oldest steps of a queue whose jobs are aged, for each shape as many as the
// budget allows. A step that waits for its tenant's limit isn't starving.
func (s *Scheduler) agedSteps(now eventloop.Micros, q *queueView, budget *boostBudget, pass *passState) (aged []starvingStep) {
	for _, group := range q.byShape {
		remaining := budget.aged
		group.steps.Ascend(func(step *stepQueue) bool {
			first := step.first()
			if remaining <= 0 || !s.isAged(now, q, first) {
				return false
			}
			if !pass.allowsAnyTask(s, step) {
				return true
			}
			aged = append(aged, starvingStep{step, budget, first.roundDueAt})
			remaining -= step.cores()
			return true
		})
	}
	return aged
}

// isAged reports whether a task's job has taken more than agedFactor times its target, which is far
// beyond where it becomes infeasible.
func (s *Scheduler) isAged(now eventloop.Micros, q *queueView, t *task) bool {
	if t.spec.RunUntilCancelled || len(t.remainingPath) == 0 {
		return false
	}
	allowed := s.allowedDuration(q, t)
	return allowed > 0 && float64(now-t.roundDueAt) > agedFactor*allowed
}

// boost boosts steps, the oldest first, while the budget of their pool lasts; remaining returns the
// part of a budget that applies to the steps.
func (p *passState) boost(steps []starvingStep, remaining func(*boostBudget) int64) {
	slices.SortFunc(steps, func(a, b starvingStep) int {
		return cmp.Or(cmp.Compare(a.dueAt, b.dueAt), cmp.Compare(a.key.queue, b.key.queue), cmp.Compare(a.key.job, b.key.job), cmp.Compare(a.key.step, b.key.step))
	})
	for _, step := range steps {
		if remaining(step.budget) <= 0 || p.boosted[step.key] {
			continue
		}
		p.boosted[step.key] = true
		step.budget.lost -= step.cores()
		step.budget.aged -= step.cores()
	}
}

// cores returns how many milli cores the ready tasks of a step take.
func (q *stepQueue) cores() int64 { return q.spec.CoresMilli * int64(q.ready.Len()) }
