package checker

// tenantRun identifies a run on a worker.
type tenantRun struct {
	worker string
	attemptKey
}

// tenantUsage tracks the resources of each tenant's running tasks on all workers.
type tenantUsage struct {
	tenantOfJob map[jobKey]string
	running     map[string]map[tenantRun]resources // by tenant
	isPaused    map[string]bool                    // workers that are frozen, whose runs don't count
}

func (a *analysis) newTenantUsage() *tenantUsage {
	return &tenantUsage{tenantOfJob: a.tenantOfJob, running: map[string]map[tenantRun]resources{}, isPaused: map[string]bool{}}
}

// apply updates the usage with the next event of the history.
func (u *tenantUsage) apply(e *Event) {
	switch e.Kind {
	case TaskStart:
		tenant := u.tenantOfJob[e.jobKey()]
		if tenant == "" {
			return
		}
		if u.running[tenant] == nil {
			u.running[tenant] = map[tenantRun]resources{}
		}
		u.running[tenant][tenantRun{e.Actor, e.attemptKey()}] = e.resources()
	case TaskEnd:
		delete(u.running[u.tenantOfJob[e.jobKey()]], tenantRun{e.Actor, e.attemptKey()})
	case WorkerGone:
		delete(u.isPaused, e.Actor)
		for _, runs := range u.running {
			for run := range runs {
				if run.worker == e.Actor {
					delete(runs, run)
				}
			}
		}
	case WorkerPaused, WorkerResumed:
		u.isPaused[e.Actor] = e.Kind == WorkerPaused
	}
}

// of returns the resources that the tenant's running tasks use.
func (u *tenantUsage) of(tenant string) resources {
	var sum resources
	for run, amount := range u.running[tenant] {
		if !u.isPaused[run.worker] {
			sum = sum.plus(amount)
		}
	}
	return sum
}

// isHalfUsed reports whether these resources are at least half of the limit of any kind.
func (r resources) isHalfUsed(limit resources) bool {
	isHalf := func(used, limit int64) bool { return limit > 0 && 2*used >= limit }
	return isHalf(r.cores, limit.cores) || isHalf(r.memory, limit.memory) || isHalf(r.accelerators, limit.accelerators)
}
