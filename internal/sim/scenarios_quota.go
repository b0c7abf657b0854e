package sim

import (
	"cmp"
	"fmt"
	"slices"

	"sparnotch/internal/checker"
	"sparnotch/internal/deployments"
	"sparnotch/internal/eventloop"
)

// Two tenants of the small shared fleet and their loads. An additional load keeps the full
// tenant at its limit. The hot tenant submits hotFactor times its usual load for a while.
const (
	fullTenant = "full"
	hotTenant  = "small-1"

	fullTenantCores = 6000
	fillTaskCores   = 1000
	firstFillJobs   = 4
	hotFactor       = 20

	quotaFaultAt   = 5 * eventloop.Second // time after the load's start at which the full tenant is at its limit and the fault is injected
	fillEndMargin  = 5 * eventloop.Second // the full tenant's additional load stops this long before the end of the fleet's load
	maxOthersDelay = 8 * eventloop.Second // limit from another tenant's submission to its first task start, beside a hot tenant
)

// SmallSharedFleet is the small fleet with called workers, shared by tenants.
var SmallSharedFleet = sharedFleet(SmallCalledFleet, []deployments.Tenant{
	{Name: "large-1", WeightMilli: 6000, MaxCoresMilli: 16_000, Keys: deployments.NewKeys("large-1", 2), CallShare: 6},
	{Name: "large-2", WeightMilli: 4000, MaxCoresMilli: 14_000, MaxMemoryMB: 8000, Keys: deployments.NewKeys("large-2", 2), CallShare: 4},
	{Name: "small-1", WeightMilli: 1000, MaxCoresMilli: 6000, Keys: deployments.NewKeys("small-1", 2), CallShare: 1},
	{Name: "small-2", WeightMilli: 1000, MaxMemoryMB: 2048, MaxAccelerators: 2, Keys: deployments.NewKeys("small-2", 2), CallShare: 1},
	{Name: "small-3", WeightMilli: 1000, Keys: deployments.NewKeys("small-3", 2), CallShare: 1},
	{Name: fullTenant, WeightMilli: 1000, MaxCoresMilli: fullTenantCores, Keys: deployments.NewKeys(fullTenant, 2)},
})

// sharedFleet returns the spec of a fleet that the given tenants share.
func sharedFleet(spec FleetSpec, tenants []deployments.Tenant) FleetSpec {
	spec.Name, spec.Tenants = spec.Name+"-shared", tenants
	return spec
}

// QuotaScenarios lists scenarios for the small shared fleet in which a fault occurs while a
// tenant is at its limit.
var QuotaScenarios = []Scenario{
	quotaScenario("hot tenant", 20*eventloop.Second, (*Fleet).submitHotLoad, verifyOthersStart),
	quotaScenario("quota lowered and raised while full", 25*eventloop.Second, (*Fleet).lowerAndRaiseQuota, verifyFullAgain),
	quotaScenario("storage nodes killed while a tenant is full", 25*eventloop.Second, func(f *Fleet) { f.powerCycleStorageNodes(800 * eventloop.Millisecond) }, verifyFullAgain),
	quotaScenario("a queue's leader cut off while a tenant is full", 30*eventloop.Second, func(f *Fleet) { f.isolate(f.leaderOf("slow"), 10*eventloop.Second) }, verifyFullAgain),
	quotaScenario("leader frozen and thawed while a tenant is full", 30*eventloop.Second, func(f *Fleet) { f.freeze(f.leaderOrFirst(), 5*eventloop.Second) }, verifyFullAgain),
	quotaScenario("scheduler's node killed while a tenant is full", 30*eventloop.Second, func(f *Fleet) { f.kill(f.schedulerHost(), 4*eventloop.Second) }, verifyFullAgain),
	quotaScenario("worker lost while its tenant is full", 30*eventloop.Second, (*Fleet).loseBusiestWorkers, verifyFullAgain),
	quotaScenario("orders carried out late while a tenant is full", 25*eventloop.Second, (*Fleet).delayOrders, verifyFullAgain),
	quotaScenario("agents lost while a tenant is full", 30*eventloop.Second, (*Fleet).loseAgentsInTurn, verifyFullAgain),
	quotaScenario("gangs of a full tenant, leader killed", 25*eventloop.Second, func(f *Fleet) {
		f.generateGangs()
		f.After(4*eventloop.Second, func() { f.kill(f.leaderOrFirst(), 3*eventloop.Second) })
	}, verifyFullAgain),
	quotaScenario("a slow node while a tenant is full", 30*eventloop.Second, func(f *Fleet) { f.slowDown(f.schedulerHost(), 8*eventloop.Second) }, verifyFullAgain),
}

// quotaScenario returns a scenario that injects a fault while a tenant is at its limit and
// unauthorized calls are sent, which must be refused.
func quotaScenario(name string, duration eventloop.Micros, fault func(f *Fleet), verify func(f *Fleet) []string) Scenario {
	return Scenario{Name: name, Network: ReliableNetwork, SyncDelay: fastSync, Duration: duration, Inject: func(f *Fleet) {
		f.atLoad(0, func() {
			f.fillTenant()
			f.intrudePeriodically(f.LoadEnd)
		})
		f.atLoad(quotaFaultAt, func() {
			f.faultAt = f.Now
			fault(f)
		})
	}, Verify: verify}
}

// fillTenant generates a load for the full tenant that needs 1.5 times the cores of its limit,
// and first submits jobs that take it to its limit until the fault.
func (f *Fleet) fillTenant() {
	kind := JobKind{
		Name: "fill", Queue: "slow", Tenant: fullTenant, Interval: eventloop.Second, Attempts: 4,
		Job: newJob("fill", newTimedStep("fill", 6, fillTaskCores, 1500*eventloop.Millisecond)),
	}
	for k := range firstFillJobs {
		f.Submit(kind, fmt.Sprint("first-fill-", k))
	}
	f.GenerateLoad(kind, f.LoadEnd-fillEndMargin)
}

// submitHotLoad makes the hot tenant submit hotFactor times its usual load for 6 s.
func (f *Fleet) submitHotLoad() {
	sum := 0.0
	for _, tenant := range f.tenants.configured {
		sum += tenant.CallShare
	}
	usual := f.tenants.tenant(hotTenant).CallShare / sum
	for n, kind := range f.Spec.JobKinds {
		if kind.CancelDelay > 0 {
			continue // jobs of this kind run until they are cancelled
		}
		kind.Name, kind.Tenant = fmt.Sprint("hot-", n), hotTenant
		kind.Interval = eventloop.Micros(float64(kind.Interval) / usual / hotFactor)
		f.GenerateLoad(kind, f.Now+6*eventloop.Second)
	}
}

// lowerAndRaiseQuota lowers the full tenant's limit to a third, and 6 s later raises it to 4/3 of the
// original limit.
func (f *Fleet) lowerAndRaiseQuota() {
	set := func(cores int64) {
		f.changeTenant(fullTenant, func(tenant *deployments.Tenant) { tenant.MaxCoresMilli = cores }, func() {})
	}
	set(fullTenantCores / 3)
	f.After(6*eventloop.Second, func() { set(fullTenantCores * 4 / 3) })
}

// loseBusiestWorkers crashes the worker that runs the most tasks, and three seconds later
// partitions the one that is busiest then.
func (f *Fleet) loseBusiestWorkers() {
	lost := f.busiestWorker()
	lost.Crash()
	f.After(8*eventloop.Second, lost.Start)
	f.After(3*eventloop.Second, func() { f.partitionWorker(f.busiestWorker(), 9*eventloop.Second) })
}

// delayOrders makes all workers leave 40% of the calls unanswered for 8 s. They still carry out
// the orders in these calls, at once or late.
func (f *Fleet) delayOrders() {
	for _, worker := range f.Workers {
		worker.(*CalledWorker).SetUnhealthy(0, 0.4)
		f.After(8*eventloop.Second, func() { worker.(*CalledWorker).SetUnhealthy(0, 0) })
	}
}

// loseAgentsInTurn kills, freezes and isolates agent nodes one after another. Their workers
// keep running tasks until their leases expire.
func (f *Fleet) loseAgentsInTurn() {
	f.kill(f.agentNodes[0], 3*eventloop.Second)
	f.After(eventloop.Second, func() { f.freeze(f.agentNodes[1], 4*eventloop.Second) })
	f.After(2*eventloop.Second, func() { f.isolate(f.agentNodes[2], 9*eventloop.Second) })
	f.After(3*eventloop.Second, func() { f.kill(f.agentNodes[3], 8*eventloop.Second) })
}

// generateGangs submits gangs that each need two thirds of the full tenant's limit, in addition
// to its other load.
func (f *Fleet) generateGangs() {
	gang := newTimedStep("gang", 4, fillTaskCores, 600*eventloop.Millisecond)
	gang.Gang = true
	f.GenerateLoad(JobKind{
		Name: "fill-gang", Queue: "group", Tenant: fullTenant, Interval: 2 * eventloop.Second, Attempts: 4, Job: newJob("gang", gang),
	}, f.LoadEnd-fillEndMargin)
}

// leaderOf returns the storage node that leads a queue, or the first storage node if none does.
func (f *Fleet) leaderOf(queue string) *Host {
	for _, h := range f.StorageNodes() {
		if leads(h.StateView(), queue) {
			return h
		}
	}
	return f.Hosts[0]
}

// schedulerHost returns the storage node whose scheduler holds the most worker leases, or the
// first storage node if no scheduler holds any.
func (f *Fleet) schedulerHost() *Host {
	leases := map[string]int{} // by the id of the scheduler's process
	for _, h := range f.StorageNodes() {
		if view := h.StateView(); view != nil && view.IsClusterStateFresh {
			for _, lease := range view.WorkerLeases {
				leases[lease.Scheduler]++
			}
		}
	}
	nodes := f.StorageNodes()
	return slices.MaxFunc(nodes, func(a, b *Host) int { return cmp.Compare(leases[a.ID], leases[b.ID]) })
}

// --- verification ---

// peakFillCores returns the largest number of cores, in thousandths of a core, that the full
// tenant's tasks used at once between two times.
func (f *Fleet) peakFillCores(from, to eventloop.Micros) int64 {
	type run struct {
		worker, name string
		task         uint32
	}
	running, highest := map[run]bool{}, 0
	for _, e := range f.History {
		if e.At > to {
			break
		}
		key := run{e.Actor, e.Name, e.Task}
		switch {
		case e.Kind == checker.TaskStart && f.submittedJobs[e.Name].tenant == fullTenant:
			running[key] = true
		case e.Kind == checker.TaskEnd:
			delete(running, key)
		case e.Kind == checker.WorkerGone:
			for other := range running {
				if other.worker == e.Actor {
					delete(running, other)
				}
			}
		}
		if e.At >= from {
			highest = max(highest, len(running))
		}
	}
	return int64(highest) * fillTaskCores
}

// verifyFull checks that the full tenant was at its limit when the fault was injected.
func verifyFull(f *Fleet) []string {
	if cores := f.peakFillCores(f.faultAt-eventloop.Second, f.faultAt); cores < fullTenantCores-fillTaskCores {
		return []string{fmt.Sprintf("the full tenant used only %d milli cores when the fault was injected", cores)}
	}
	return nil
}

// verifyFullAgain checks that the full tenant was at its limit when the fault was injected, and
// is at its limit again after the recovery.
func verifyFullAgain(f *Fleet) []string {
	problems := verifyFull(f)
	if cores := f.peakFillCores(f.faultAt+checker.DefaultTolerances.Recovery, f.LoadEnd+drainAfterLoad); cores < fullTenantCores-fillTaskCores {
		problems = append(problems, fmt.Sprintf("the full tenant used only %d milli cores after the recovery from the fault", cores))
	}
	return problems
}

// verifyOthersStart checks that the jobs of other tenants don't wait for those of the hot
// tenant.
func verifyOthersStart(f *Fleet) []string {
	problems := verifyFull(f)
	submittedAt, hot := map[string]eventloop.Micros{}, 0
	for _, e := range f.History {
		tenant := f.submittedJobs[e.Name].tenant
		switch {
		case e.Kind == checker.Submit && tenant == hotTenant:
			hot++
		case e.Kind == checker.Submit && e.Queue == "quick" && tenant != "" && submittedAt[e.Name] == 0:
			submittedAt[e.Name] = e.At
		case e.Kind == checker.TaskStart && submittedAt[e.Name] != 0 && e.Step == 0 && e.At-submittedAt[e.Name] > maxOthersDelay:
			problems = append(problems, fmt.Sprintf("%s of %s started after %d us", e.Name, tenant, e.At-submittedAt[e.Name]))
		}
	}
	if hot < 50 {
		problems = append(problems, fmt.Sprintf("the hot tenant submitted only %d jobs", hot))
	}
	return problems
}
