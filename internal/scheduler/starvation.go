package scheduler

import (
	"cmp"
	"slices"

	"sparnotch/internal/eventloop"
)

// While there is more work than capacity, what comes last by class, urgency or size would
// wait for as long as that lasts. So a share of each pool's cores goes to steps that would
// starve, before all others and whatever their class (aging): first those with tasks that
// were lost with a worker, whose jobs are otherwise nearly done, then those whose jobs
// have missed their targets by far, the oldest of each first.
//
// A lost task of a pool with W equal workers thus starts again within the sum of the time
// in which the loss is noticed (lease and margin), claimDelay, and the longest run on the
// worker that is claimed for it, as long as the tasks that were lost take no more than
// lostShare of the pool. Any other task of age A waits for what is older, at a rate of at
// least agedShare of the pool.

const (
	lostShare  = 0.25   // of a pool's cores, that boosted tasks may use while lost ones wait
	agedShare  = 0.0625 // of a pool's cores, that boosted tasks may use while aged ones wait
	agedFactor = 10     // times the target, from which on a job is aged
)

// starvingStep is a step that waits for boosted capacity.
type starvingStep struct {
	*stepQueue
	budget *boostBudget     // of its pool
	dueAt  eventloop.Micros // its job's round
}

// boostBudget is how many milli cores of a pool boosted steps may still take.
type boostBudget struct{ lost, aged int64 }

// boostSteps chooses which steps of a pass are boosted.
func (s *Scheduler) boostSteps(now eventloop.Micros, queues []*queueView, pass *passState) {
	budgets := map[string]*boostBudget{}
	for pool, candidates := range pass.byPool {
		total, used := totalCores(candidates), s.boostedCores(pool)
		pass.boostedLeft[pool] = int64(lostShare*total) - used
		budgets[pool] = &boostBudget{pass.boostedLeft[pool], int64(agedShare*total) - used}
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

// boostedCores is how many milli cores of a pool boosted tasks use.
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

// agedSteps lists the oldest steps of a queue whose jobs are aged, of each shape as many
// as the budget takes. What waits for its tenant's limit isn't starving.
func (s *Scheduler) agedSteps(now eventloop.Micros, q *queueView, budget *boostBudget, pass *passState) (aged []starvingStep) {
	for _, group := range q.byShape {
		left := budget.aged
		group.steps.Ascend(func(step *stepQueue) bool {
			first := step.first()
			if left <= 0 || !s.isAged(now, q, first) {
				return false
			}
			if !pass.allowsAnyTask(s, step) {
				return true
			}
			aged = append(aged, starvingStep{step, budget, first.roundDueAt})
			left -= step.cores()
			return true
		})
	}
	return aged
}

// isAged reports whether a task's job has missed its target by far more than makes it
// infeasible.
func (s *Scheduler) isAged(now eventloop.Micros, q *queueView, t *task) bool {
	if t.spec.RunUntilCancelled || len(t.remaining) == 0 {
		return false
	}
	allowed := s.allowedDuration(q, t)
	return allowed > 0 && float64(now-t.roundDueAt) > agedFactor*allowed
}

// boost takes steps, the oldest first, while their budgets last.
func (p *passState) boost(steps []starvingStep, left func(*boostBudget) int64) {
	slices.SortFunc(steps, func(a, b starvingStep) int {
		return cmp.Or(cmp.Compare(a.dueAt, b.dueAt), cmp.Compare(a.key.queue, b.key.queue), cmp.Compare(a.key.job, b.key.job), cmp.Compare(a.key.step, b.key.step))
	})
	for _, step := range steps {
		if left(step.budget) <= 0 || p.boosted[step.key] {
			continue
		}
		p.boosted[step.key] = true
		step.budget.lost -= step.cores()
		step.budget.aged -= step.cores()
	}
}

// cores is how many milli cores the ready tasks of a step take.
func (q *stepQueue) cores() int64 { return q.spec.CoresMilli * int64(q.ready.Len()) }
