package scheduler

import (
	"math"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
	"sparnotch/internal/timing"
)

// A tenant's limit bounds the resources that its tasks use at the same time on all workers.
// A task is counted from its checkout. A queue's log is the only record of the checkouts of
// that queue, so a scheduler that leads every queue knows all tasks that may run, including
// those that its predecessors ordered and those that start late. Only such a scheduler places
// tasks of tenants with a limit. The leadership of all queues thus acts as the lease on every
// tenant's limit, fenced by the terms of the queues' Raft groups, and a new holder begins with
// the exact count.
//
// The use of a tenant is the sum of
//   - tasks that are checked out, until their worker has listed the end or the queue has
//     committed it;
//   - tasks that are reserved for proposed checkouts, and tasks whose checkout was given up
//     but may still be committed;
//   - other runs that workers list, for example of a queue that was removed. They count for
//     every tenant if the worker doesn't report their tenant.

// tenantAccount tracks the use and the limit of one tenant during one pass.
type tenantAccount struct {
	limit       resources // 0 in a kind: no limit
	overrun     float64   // overrun of the limit that the deployment allows, as a fraction of the limit
	used        resources
	isUncertain bool // more may be in use than this scheduler knows

	claim            *limitClaim // claim on the limit by a wide step; nil: none
	hasOpenCheckouts bool        // whether queueView.openCheckouts contains tasks of any tenant in any queue
}

// hasLimit reports whether any kind of resource is limited for the tenant.
func (a *tenantAccount) hasLimit() bool { return a.limit != resources{} }

// allows reports whether the limit allows the tenant to run these tasks, which are one task or
// a whole gang, each with this need. Tasks with an open checkout (queueView.openCheckouts) already
// count as used, so they are allowed as long as the use is within the limit.
func (a *tenantAccount) allows(tasks []*task, need resources) bool {
	switch {
	case !a.hasLimit():
		return true
	case a.isUncertain:
		return false
	case tasks[0].hasOpenCheckout:
		return a.isWithinLimit()
	case tasks[0].spec.Gang:
		return a.allowsGang(need, len(tasks))
	}
	return a.room(need) > 0
}

// isWithinLimit reports whether the present use is within the limit.
func (a *tenantAccount) isWithinLimit() bool {
	within := func(used, limit int64) bool { return limit == 0 || used <= limit }
	return within(a.used.cores, a.limit.cores) && within(a.used.memory, a.limit.memory) && within(a.used.accelerators, a.limit.accelerators)
}

// charge adds placed tasks to the use, except those with an open checkout, which count already.
func (a *tenantAccount) charge(tasks []*task, need resources) {
	for _, t := range tasks {
		if !t.hasOpenCheckout {
			a.used.add(need)
		}
	}
}

// room returns how many more tasks of this size the limit allows. A single task that exceeds
// the limit by itself is allowed while the tenant uses nothing else.
func (a *tenantAccount) room(need resources) int64 {
	switch {
	case !a.hasLimit():
		return math.MaxInt32
	case a.isUncertain:
		return 0
	}
	count := int64(math.MaxInt32)
	for _, kind := range a.limitedKinds(need) {
		count = min(count, max(kind.limit-kind.used, 0)/kind.need)
	}
	if count == 0 && a.used == (resources{}) {
		return 1
	}
	return count
}

// allowsGang reports whether the limit allows all members of a gang of this size. A gang that
// exceeds the limit is allowed while the tenant uses nothing else, if without one of its members
// it is within the limit plus the overrun that the deployment allows.
func (a *tenantAccount) allowsGang(need resources, members int) bool {
	if a.room(need) >= int64(members) {
		return true
	}
	if a.isUncertain || a.used != (resources{}) {
		return false
	}
	for _, kind := range a.limitedKinds(need) {
		if float64(kind.need)*float64(members-1) > (1+a.overrun)*float64(kind.limit) {
			return false
		}
	}
	return true
}

// limitedKind is a kind of resource that has a limit and is needed by a task.
type limitedKind struct{ limit, used, need int64 }

// limitedKinds returns the kinds of resource that are limited and of which a task needs some.
func (a *tenantAccount) limitedKinds(need resources) []limitedKind {
	kinds := make([]limitedKind, 0, 3)
	for _, kind := range [...]limitedKind{
		{a.limit.cores, a.used.cores, need.cores},
		{a.limit.memory, a.used.memory, need.memory},
		{a.limit.accelerators, a.used.accelerators, need.accelerators},
	} {
		if kind.limit > 0 && kind.need > 0 {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

// accountOf returns a tenant's account in this pass. Tasks without a tenant share an account without a limit.
func (p *passState) accountOf(s *Scheduler, name string) *tenantAccount {
	if account := p.accounts[name]; account != nil {
		return account
	}
	account := &tenantAccount{used: p.tenantUse.byTenant[name], isUncertain: !p.knowsAllRuns, hasOpenCheckouts: s.hasOpenCheckouts()}
	account.used.add(p.tenantUse.unassigned)
	if tenant := s.tenantOf(name); tenant != nil {
		account.limit = resources{tenant.Limit.CoresMilli, tenant.Limit.MemoryMB, tenant.Limit.Accelerators}
		account.overrun = float64(s.bounds.GetQuotaOverrunMilli()) / 1000
	}
	p.accounts[name] = account
	return account
}

// nextAllowedTasks returns the ready tasks of a step that the tenant's limit allows next: one task,
// all members of a gang, or nil. If the limit has no room for another task, a task with an open
// checkout is still allowed, since it already counts as used.
func (a *tenantAccount) nextAllowedTasks(step *stepQueue, urgency int64) []*task {
	if a.claim != nil && a.claim.step != step.key && urgency <= a.claim.urgency {
		return nil
	}
	members := 1
	if step.spec.Gang {
		members = step.ready.Len()
	}
	need := resourcesOf(step.spec)
	if tasks := step.firstReady(members); a.allows(tasks, need) {
		return tasks
	}
	if !a.hasOpenCheckouts || step.spec.Gang {
		return nil
	}
	var open []*task
	step.ready.Ascend(func(t *task) bool {
		if t.hasOpenCheckout && a.allows([]*task{t}, need) {
			open = []*task{t}
		}
		return open == nil
	})
	return open
}

// allowsAnyTask reports whether the limit of a step's tenant allows any more of the step's tasks.
func (p *passState) allowsAnyTask(s *Scheduler, step *stepQueue) bool {
	account := p.accountOf(s, step.first().tenant)
	return !account.hasLimit() || account.nextAllowedTasks(step, s.queues[step.key.queue].urgency) != nil
}

// tenantOf returns the configuration of a tenant, or its last configuration if the tenant was
// removed. It returns nil if neither is known.
func (s *Scheduler) tenantOf(name string) *clusterstate.Tenant {
	if tenant := s.config.Tenant(name); tenant != nil {
		return tenant
	}
	return s.config.FormerTenant(name)
}

// knowsAllRuns reports whether this node knows every task that may run. This holds if its cluster
// state is current and it leads at least one queue and every queue of the cluster state, including
// those that the configuration no longer has. Queues that were added while it led all others need
// not be led: no other scheduler has placed their tasks, since it would have had to lead all queues.
func (s *Scheduler) knowsAllRuns(now eventloop.Micros) bool {
	if !s.isClusterStateCurrent(now) {
		return false
	}
	ledQueues := 0
	for _, place := range s.clusterState.Queues {
		q := s.queues[place.Queue]
		switch {
		case q != nil && s.mayActFor(now, q):
			ledQueues++
		case q != nil || s.addedQueues[place.Queue] != place.Generation:
			return false
		}
	}
	return ledQueues > 0
}

// noteAddedQueues records the queues that a new cluster state has added. It does so only if
// knowsAllRuns has held for longer than FormerLeaseTimeout. Then the queues were added while this
// node led all others, so no predecessor can have placed any of their tasks.
func (s *Scheduler) noteAddedQueues(now eventloop.Micros, state *schema.ClusterState) {
	if !s.knowsAllRuns(now) || s.knowsAllRunsSince == 0 || now-s.knowsAllRunsSince <= timing.FromBounds(s.bounds).FormerLeaseTimeout {
		return
	}
	known := map[string]uint64{}
	for _, place := range s.clusterState.Queues {
		known[place.Queue] = place.Generation
	}
	for _, place := range state.Queues {
		if known[place.Queue] != place.Generation {
			s.addedQueues[place.Queue] = place.Generation
		}
	}
}

// updateKnowsAllRunsSince updates the time since which knowsAllRuns has held.
func (s *Scheduler) updateKnowsAllRunsSince(now eventloop.Micros) {
	switch {
	case !s.knowsAllRuns(now):
		s.knowsAllRunsSince = 0
	case s.knowsAllRunsSince == 0:
		s.knowsAllRunsSince = now
	}
}

// forgetAddedQueues drops the recorded queues. It is called when this node has stopped leading a
// queue in some term, since another scheduler may lead all queues from then on.
func (s *Scheduler) forgetAddedQueues() {
	clear(s.addedQueues)
	s.knowsAllRunsSince = 0
}
