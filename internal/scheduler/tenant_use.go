package scheduler

// What tenants use, summed over the workers.

import (
	"maps"

	"sparnotch/internal/schema"
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

// hasOpenCheckouts reports whether the checkout of any task was given up but may yet be committed.
func (s *Scheduler) hasOpenCheckouts() bool {
	for _, q := range s.queues {
		if len(q.openCheckouts) > 0 {
			return true
		}
	}
	return false
}

// of returns what a tenant uses.
func (u *tenantUse) usedBy(tenant string) resources {
	if u == nil {
		return resources{}
	}
	return u.byTenant[tenant]
}

// addAll adds a use so many times.
func (u *tenantUse) addAll(other tenantUse, factor int64) {
	for tenant, size := range other.byTenant {
		u.add(tenant, size.times(factor))
		if u.byTenant[tenant] == (resources{}) {
			delete(u.byTenant, tenant)
		}
	}
	u.unassigned.add(other.unassigned.times(factor))
}

// countTenantUse adds what was last summed up for a worker to the sums by tenant, or with -1
// takes it out.
func (s *Scheduler) countTenantUse(w *worker, factor int64) {
	if s.poolUse[w.summedPool] == nil {
		s.poolUse[w.summedPool] = &tenantUse{}
	}
	s.poolUse[w.summedPool].addAll(w.tenantUse, factor)
	s.tenantUse.addAll(w.tenantUse, factor)
}

// sumTenantUse returns what each tenant uses now, beside the use of runs that may be anybody's.
func (s *Scheduler) sumTenantUse() tenantUse {
	if !s.config.HasTenants() {
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
