package scheduler

// Sums of the resources that tenants use.

import (
	"maps"

	"sparnotch/internal/schema"
)

// tenantUse sums the resources in use by tenant, for one worker, a pool or all workers.
type tenantUse struct {
	byTenant   map[string]resources // resources by tenant; nil: none
	unassigned resources            // resources of runs whose tenant isn't known
}

// add adds resources to the use of a tenant; "" is no tenant and isn't counted.
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

// addRun adds a run that isn't checked out to the worker. If tenant is "", it may belong to any tenant.
func (u *tenantUse) addRun(tenant string, size resources) {
	if tenant == "" {
		u.unassigned.add(size)
		return
	}
	u.add(tenant, size)
}

// tenantOfRun returns the tenant of a run, as the worker reported it or, failing that, as it is known
// from another attempt at the same task. It returns an empty string if the tenant is unknown.
func (s *Scheduler) tenantOfRun(key attemptKey, status *schema.TaskStatus) string {
	if status.Tenant != "" {
		return status.Tenant
	}
	if q := s.queues[key.queue]; q != nil && q.tasks[key.taskKey] != nil {
		return q.tasks[key.taskKey].tenant
	}
	return ""
}

// hasOpenCheckouts reports whether any queue has tasks in queueView.openCheckouts.
func (s *Scheduler) hasOpenCheckouts() bool {
	for _, q := range s.queues {
		if len(q.openCheckouts) > 0 {
			return true
		}
	}
	return false
}

// usedBy returns the resources that a tenant uses.
func (u *tenantUse) usedBy(tenant string) resources {
	if u == nil {
		return resources{}
	}
	return u.byTenant[tenant]
}

// addAll adds another use multiplied by factor.
func (u *tenantUse) addAll(other tenantUse, factor int64) {
	for tenant, size := range other.byTenant {
		u.add(tenant, size.times(factor))
		if u.byTenant[tenant] == (resources{}) {
			delete(u.byTenant, tenant)
		}
	}
	u.unassigned.add(other.unassigned.times(factor))
}

// countTenantUse adds a worker's use by tenant to the sums over its pool and over all workers.
// With a factor of -1 it subtracts that use.
func (s *Scheduler) countTenantUse(w *worker, factor int64) {
	if s.poolUse[w.summedPool] == nil {
		s.poolUse[w.summedPool] = &tenantUse{}
	}
	s.poolUse[w.summedPool].addAll(w.tenantUse, factor)
	s.tenantUse.addAll(w.tenantUse, factor)
}

// sumTenantUse returns the present use of each tenant, and the use of runs whose tenant isn't known.
func (s *Scheduler) sumTenantUse() tenantUse {
	if !s.config.HasTenants() {
		return tenantUse{}
	}
	for _, w := range s.sortedWorkers() {
		s.refreshUsage(w)
	}
	sums := tenantUse{byTenant: maps.Clone(s.tenantUse.byTenant), unassigned: s.tenantUse.unassigned}
	// Tasks that are checked out to workers whose lease another scheduler holds.
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
