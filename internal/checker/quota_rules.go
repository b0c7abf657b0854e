package checker

// quotaOverrunPercent is how far beyond its limit a tenant may be when another task of it
// starts.
const quotaOverrunPercent = 10

// checkQuotas: no start lifts what a tenant has running on all workers above its limit and
// the overrun, and one task more. The highest limit of the configurations that may be in
// force counts. Of several starts while a tenant stays above that only the first is
// reported.
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
			a.report(ruleQuota, e.At, "%s of the tenant %s starts on %s and lifts what runs of it to %d of %d milli cores, %d of %d MB, %d of %d accelerators",
				e.taskID().describe(), tenant, e.Actor, used.cores, limit.cores, used.memory, limit.memory, used.accelerators, limit.accelerators)
		}
		isOver[tenant] = exceeds
	}
}

// exceedsQuota reports whether the start of a task has lifted what runs above a limit and
// the overrun, and that task more, in any kind of resources that it uses.
func (r resources) exceedsQuota(limit, task resources) bool {
	exceeds := func(used, limit, task int64) bool {
		return limit > 0 && task > 0 && 100*(used-task) > (100+quotaOverrunPercent)*limit
	}
	return exceeds(r.cores, limit.cores, task.cores) || exceeds(r.memory, limit.memory, task.memory) || exceeds(r.accelerators, limit.accelerators, task.accelerators)
}
