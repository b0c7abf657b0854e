package scheduler

import (
	"math"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
	"sparnotch/internal/timing"
)

// A tenant's limit bounds what its tasks use at once over all workers. It is spent where a
// task is checked out: a queue's log is the only record of what was checked out of that
// queue, so a scheduler that leads every queue knows all that may run, also what its
// predecessors ordered and what is carried out late. Only such a scheduler places tasks of
// tenants with a limit. Leadership is thus the lease on a tenant's whole share, fenced by the
// terms of the queues' Raft groups, and a new holder begins with the exact count.
//
// What a tenant uses is the sum of
//   - what is checked out, until its worker has listed the end or the queue has committed it;
//   - what is reserved for checkouts on their way, and what may yet be committed of those
//     that were given up;
//   - runs that workers list beside that, as of a queue that was removed. Where the worker
//     doesn't say whose they are, they count for every tenant.

// tenantAccount is what one tenant uses and may use, during one pass.
type tenantAccount struct {
	limit       resources // 0 in a kind: no limit
	overrun     float64   // that the deployment allows, as a part of the limit
	used        resources
	isUncertain bool // more may be in use than is known

	claim            *limitClaim // nil: none
	hasOpenCheckouts bool        // some task, of this tenant or another, has one: see queueView.openCheckouts
}

// hasLimit reports whether the tenant's use is limited in any kind.
func (a *tenantAccount) hasLimit() bool { return a.limit != resources{} }

// takes reports whether the tenant may have these tasks, which are one task or a whole gang.
// Those whose checkout may yet be committed are in use already.
func (a *tenantAccount) takes(tasks []*task, need resources) bool {
	switch {
	case !a.hasLimit():
		return true
	case a.isUncertain:
		return false
	case tasks[0].hasOpenCheckout:
		return a.isWithinLimit()
	case tasks[0].spec.Gang:
		return a.takesGang(need, len(tasks))
	}
	return a.room(need) > 0
}

// isWithinLimit reports whether what is in use keeps to the limit.
func (a *tenantAccount) isWithinLimit() bool {
	within := func(used, limit int64) bool { return limit == 0 || used <= limit }
	return within(a.used.cores, a.limit.cores) && within(a.used.memory, a.limit.memory) && within(a.used.accelerators, a.limit.accelerators)
}

// charge counts tasks that are placed.
func (a *tenantAccount) charge(tasks []*task, need resources) {
	for _, t := range tasks {
		if !t.hasOpenCheckout {
			a.used.add(need)
		}
	}
}

// room is how many more tasks of a size the tenant may have. A task that is wider than the
// limit by itself may run alone.
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

// takesGang reports whether the tenant may have all members of a gang of this size. One that
// is wider than the limit may run alone, if the deployment's overrun and one member more cover it.
func (a *tenantAccount) takesGang(need resources, members int) bool {
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

// limitedKind is one kind of resource that is limited and needed.
type limitedKind struct{ limit, used, need int64 }

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

// accountOf returns a tenant's account in this pass. A task without a tenant has no limit.
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

// takeable returns the ready tasks of a step that its tenant may have next: one, or all members
// of a gang; nil: none. Of tasks without room those are taken that have theirs already.
func (a *tenantAccount) takeable(step *stepQueue, urgency int64) []*task {
	if a.claim != nil && a.claim.step != step.key && urgency <= a.claim.urgency {
		return nil
	}
	members := 1
	if step.spec.Gang {
		members = step.ready.Len()
	}
	need := resourcesOf(step.spec)
	if tasks := step.firstReady(members); a.takes(tasks, need) {
		return tasks
	}
	if !a.hasOpenCheckouts || step.spec.Gang {
		return nil
	}
	var open []*task
	step.ready.Ascend(func(t *task) bool {
		if t.hasOpenCheckout && a.takes([]*task{t}, need) {
			open = []*task{t}
		}
		return open == nil
	})
	return open
}

// mayTakeAny reports whether a step's tenant may have any more of its tasks.
func (p *passState) mayTakeAny(s *Scheduler, step *stepQueue) bool {
	account := p.accountOf(s, step.first().tenant)
	return !account.hasLimit() || account.takeable(step, s.queues[step.key.queue].urgency) != nil
}

// tenantOf returns what is configured of a tenant, or was last, if it has been removed; nil:
// no limit is known.
func (s *Scheduler) tenantOf(name string) *clusterstate.Tenant {
	if tenant := s.config.Tenant(name); tenant != nil {
		return tenant
	}
	return s.config.FormerTenant(name)
}

// knowsAllRuns reports whether this node knows everything that may run: it leads every queue,
// one at least, also those that the configuration no longer has, but for those that were added
// while it led all others. Nothing of these was placed by another scheduler, since that would
// have had to lead all queues.
func (s *Scheduler) knowsAllRuns(now eventloop.Micros) bool {
	if !s.isClusterStateCurrent(now) {
		return false
	}
	ledCount := 0
	for _, place := range s.clusterState.Queues {
		q := s.queues[place.Queue]
		switch {
		case q != nil && s.mayActFor(now, q):
			ledCount++
		case q != nil || s.addedQueues[place.Queue] != place.Generation:
			return false
		}
	}
	return ledCount > 0
}

// noteAddedQueues notes the queues of a new cluster state that the one before didn't have, if
// this node has known all that runs for longer than a copy of the cluster state may be old: then
// they were added while it led all others, and no predecessor could place anything of theirs.
func (s *Scheduler) noteAddedQueues(now eventloop.Micros, state *schema.ClusterState) {
	if !s.knowsAllRuns(now) || s.knowsAllSince == 0 || now-s.knowsAllSince <= timing.FromBounds(s.bounds).FormerLeaseTimeout {
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

// trackKnowledge keeps since when this node has known all that runs.
func (s *Scheduler) trackKnowledge(now eventloop.Micros) {
	switch {
	case !s.knowsAllRuns(now):
		s.knowsAllSince = 0
	case s.knowsAllSince == 0:
		s.knowsAllSince = now
	}
}

// forgetAddedQueues is called when this node has stopped leading a queue in some term: another
// scheduler may have come to lead all.
func (s *Scheduler) forgetAddedQueues() {
	clear(s.addedQueues)
	s.knowsAllSince = 0
}
