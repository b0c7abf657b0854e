package scheduler

import (
	"maps"
	"math"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
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

const (
	// maxFormerTenants is how many removed tenants' limits are kept.
	maxFormerTenants = 1024
	// shareRanksPerDoubling is how finely the order of tenants beyond their fair shares tells
	// them apart; within a rank the jobs' order counts.
	shareRanksPerDoubling = 8
)

// tenantUse is what a worker's tasks use, by tenant.
type tenantUse struct {
	byTenant   map[string]resources // nil: nothing
	unassigned resources            // by runs of which the tenant isn't known
}

func (u *tenantUse) add(tenant string, size resources) {
	if tenant == "" {
		return
	}
	if u.byTenant == nil {
		u.byTenant = map[string]resources{}
	}
	sum := u.byTenant[tenant]
	sum.add(size)
	u.byTenant[tenant] = sum
}

// addRun adds a run that isn't checked out to the worker; without a tenant it may be anybody's.
func (u *tenantUse) addRun(tenant string, size resources) {
	if tenant == "" {
		u.unassigned.add(size)
		return
	}
	u.add(tenant, size)
}

// tenantOfRun returns whose a run is: as the worker says, else as another attempt at the task
// shows; empty: it isn't known.
func (s *Scheduler) tenantOfRun(key attemptKey, status *schema.TaskStatus) string {
	if status.Tenant != "" {
		return status.Tenant
	}
	if q := s.queues[key.queue]; q != nil && q.tasks[key.taskKey] != nil {
		return q.tasks[key.taskKey].tenant
	}
	return ""
}

// tenantAccount is what one tenant uses and may use, during one pass.
type tenantAccount struct {
	tenant      *clusterstate.Tenant // nil: none, or none that is configured
	limit       resources            // 0 in a kind: no limit
	overrun     float64              // that the deployment allows, as a part of the limit
	used        resources
	isUncertain bool      // more may be in use than is known
	fairShare   resources // of everything, by its weight among the tenants that use or want something; 0: not known
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
		return true
	case tasks[0].spec.Gang:
		return a.takesGang(need, len(tasks))
	}
	return a.room(need) > 0
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

// shareRank tells how far the tenant is beyond its fair share once it has one more task of a
// size: 0 is within, and each doubling counts shareRanksPerDoubling. What counts is the kind of
// which it has the largest part (dominant resource fairness).
func (a *tenantAccount) shareRank(need resources) int {
	if (a.fairShare == resources{}) {
		return 0
	}
	used := a.used
	used.add(need)
	ratio := 0.0
	for _, kind := range [...][2]int64{
		{used.cores, a.fairShare.cores}, {used.memory, a.fairShare.memory}, {used.accelerators, a.fairShare.accelerators},
	} {
		if kind[0] > 0 && kind[1] > 0 {
			ratio = math.Max(ratio, float64(kind[0])/float64(kind[1]))
		}
	}
	if ratio <= 1 {
		return 0
	}
	return 1 + int(shareRanksPerDoubling*math.Log2(ratio))
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
	account := &tenantAccount{used: p.tenantUse.byTenant[name], isUncertain: !p.knowsAllRuns}
	account.used.add(p.tenantUse.unassigned)
	if account.tenant = s.tenantOf(name); account.tenant != nil {
		limit := account.tenant.Max
		account.limit = resources{limit.CoresMilli, limit.MemoryMB, limit.Accelerators}
		account.overrun = float64(s.bounds.GetQuotaOverrunMilli()) / 1000
	}
	if account.tenant != nil && p.activeWeight > 0 {
		part := float64(account.tenant.WeightMilli) / p.activeWeight
		account.fairShare = resources{int64(part * float64(p.total.cores)), int64(part * float64(p.total.memory)), int64(part * float64(p.total.accelerators))}
	}
	p.accounts[name] = account
	return account
}

// mayTakeAny reports whether a step's tenant may have any more of its tasks. A gang's members
// are taken together.
func (p *passState) mayTakeAny(s *Scheduler, step *stepQueue) bool {
	members := 1
	if step.spec.Gang {
		members = step.ready.Len()
	}
	return p.accountOf(s, step.first().tenant).takes(step.firstReady(members), resourcesOf(step.spec))
}

// tenantOf returns what is configured of a tenant, or was last, if it has been removed; nil:
// no limit is known.
func (s *Scheduler) tenantOf(name string) *clusterstate.Tenant {
	if tenant := s.config.Tenant(name); tenant != nil {
		return tenant
	}
	return s.formerTenants[name]
}

// activeWeight sums the weights, in thousandths, of the tenants that use or want something.
func (s *Scheduler) activeWeight() (sum float64) {
	active := map[string]bool{}
	for name := range s.tenantUse.byTenant {
		active[name] = true
	}
	for _, q := range s.queues {
		for name := range q.byTenant {
			active[name] = true
		}
	}
	for name := range active {
		if tenant := s.tenantOf(name); tenant != nil {
			sum += float64(tenant.WeightMilli)
		}
	}
	return sum
}

// keepFormerTenants remembers the limits of tenants that a configuration removes: their jobs
// go on.
func (s *Scheduler) keepFormerTenants(before, after *clusterstate.Values) {
	if before == after {
		return
	}
	for _, name := range before.Tenants() {
		if after.Tenant(name) == nil && len(s.formerTenants) < maxFormerTenants {
			s.formerTenants[name] = before.Tenant(name)
		}
	}
	maps.DeleteFunc(s.formerTenants, func(name string, _ *clusterstate.Tenant) bool { return after.Tenant(name) != nil })
}

// addTenantUse adds what is on a worker to the sums by tenant, or takes it out.
func (s *Scheduler) addTenantUse(use tenantUse, sign int64) {
	for tenant, size := range use.byTenant {
		s.tenantUse.add(tenant, size.times(sign))
		if s.tenantUse.byTenant[tenant] == (resources{}) {
			delete(s.tenantUse.byTenant, tenant)
		}
	}
	s.tenantUse.unassigned.add(use.unassigned.times(sign))
}

// sumTenantUse returns what each tenant uses now, beside the use of runs that may be anybody's.
func (s *Scheduler) sumTenantUse() tenantUse {
	if !s.config.HasTenants() && len(s.formerTenants) == 0 {
		return tenantUse{}
	}
	for _, w := range s.sortedWorkers() {
		s.refreshUsage(w)
	}
	sums := tenantUse{byTenant: maps.Clone(s.tenantUse.byTenant), unassigned: s.tenantUse.unassigned}
	// What is checked out to workers whose lease another scheduler holds.
	for id, tasks := range s.tasksByWorker {
		if s.workers[id] != nil {
			continue
		}
		for _, t := range tasks {
			sums.add(t.tenant, resourcesOf(t.spec))
		}
	}
	for _, q := range s.queues {
		for _, t := range q.reserved {
			if s.workers[t.reservedWorker] == nil {
				sums.add(t.tenant, resourcesOf(t.spec))
			}
		}
		for _, t := range q.openCheckouts {
			if t.reservedWorker == "" {
				sums.add(t.tenant, resourcesOf(t.spec))
			}
		}
	}
	return sums
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
			delete(s.addedQueues, place.Queue)
		case q != nil || s.addedQueues[place.Queue] != place.Generation:
			s.forgetAddedQueues()
			return false
		}
	}
	return ledCount > 0
}

// noteAddedQueues notes the queues of a new cluster state that the one before didn't have, if
// this node knew all that ran under that.
func (s *Scheduler) noteAddedQueues(now eventloop.Micros, state *schema.ClusterState) {
	if !s.knowsAllRuns(now) {
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

// forgetAddedQueues is called when this node doesn't lead a queue any more: another scheduler
// may come to lead all.
func (s *Scheduler) forgetAddedQueues() { clear(s.addedQueues) }
