package checker

// quotaOverrunPercent is the percentage by which a tenant may already exceed its limit when
// another of its tasks starts.
const quotaOverrunPercent = 10

// checkQuotas checks that, when a task starts, the tenant's other running tasks use at most the
// tenant's limit plus the overrun. The highest limit among the configurations that may be in
// force applies. While a tenant stays above the limit, only the first start is reported.
func (a *analysis) checkQuotas() {
	if !a.usesTenants() {
		return
	}
	usage, isOver := a.newTenantUsage(), map[string]bool{}
	for k := range a.history {
		e := &a.history[k]
		usage.apply(e)
		tenant := a.tenantOfJob[e.jobKey()]
		if e.Kind != TaskStart || tenant == "" {
			continue
		}
		used, limit := usage.of(tenant), highestLimit(a.mayBeInForce(e.At, e.At), tenant)
		exceeds := used.exceedsQuota(limit, e.resources())
		if exceeds && !isOver[tenant] {
			a.report(ruleQuota, e.At, "%s of the tenant %s starts on %s, so the tenant uses %d of %d milli cores, %d of %d MB, %d of %d accelerators",
				e.taskID().describe(), tenant, e.Actor, used.cores, limit.cores, used.memory, limit.memory, used.accelerators, limit.accelerators)
		}
		isOver[tenant] = exceeds
	}
}

// exceedsQuota reports whether the resources in use, without those of the task that has just
// started, exceed the limit plus the overrun. Only the kinds of resources that the task uses
// and that have a limit count.
func (r resources) exceedsQuota(limit, task resources) bool {
	exceeds := func(used, limit, task int64) bool {
		return limit > 0 && task > 0 && 100*(used-task) > (100+quotaOverrunPercent)*limit
	}
	return exceeds(r.cores, limit.cores, task.cores) || exceeds(r.memory, limit.memory, task.memory) || exceeds(r.accelerators, limit.accelerators, task.accelerators)
}
