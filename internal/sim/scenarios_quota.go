package sim

import (
	"cmp"
	"fmt"
	"slices"

	"sparnotch/internal/checker"
	"sparnotch/internal/deployments"
	"sparnotch/internal/eventloop"
)

// The tenants of the small shared fleet that scenarios speak of. The full one is kept at its
// limit by a load of its own; the hot one sends many times its usual.
const (
	fullTenant = "full"
	hotTenant  = "small-1"

	fullTenantCores = 6000
	fillTaskCores   = 1000
	firstFillJobs   = 4
	hotFactor       = 20

	fullFrom       = 5 * eventloop.Second // after the load's start the full tenant is at its limit
	fillUntilEnd   = 5 * eventloop.Second // before the load's end its load ends
	maxOthersDelay = 8 * eventloop.Second // from a submission to the first start, beside a hot tenant
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

// sharedFleet is a fleet shared by tenants.
func sharedFleet(spec FleetSpec, tenants []deployments.Tenant) FleetSpec {
	spec.Name, spec.Tenants = spec.Name+"-shared", tenants
	return spec
}

// QuotaScenarios are the faults that the small shared fleet is put through while a tenant is
// at its limit.
var QuotaScenarios = []Scenario{
	quotaScenario("hot tenant", 20*eventloop.Second, (*Fleet).heatTenant, verifyOthersStart),
	quotaScenario("quota lowered and raised while full", 25*eventloop.Second, (*Fleet).moveQuota, verifyFullAgain),
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

// quotaScenario is a fault while a tenant is at its limit, and calls come that no key
// allows.
func quotaScenario(name string, duration eventloop.Micros, fault func(f *Fleet), verify func(f *Fleet) []string) Scenario {
	return Scenario{Name: name, Network: ReliableNetwork, SyncDelay: fastSync, Duration: duration, Inject: func(f *Fleet) {
		f.atLoad(0, func() {
			f.fillTenant()
			f.intrudePeriodically(f.LoadEnd)
		})
		f.atLoad(fullFrom, func() {
			f.faultAt = f.Now
			fault(f)
		})
	}, Verify: verify}
}

// fillTenant submits half as much again for the full tenant as it may run, and at first as
// much as it may run until the fault.
func (f *Fleet) fillTenant() {
	kind := JobKind{
		Name: "fill", Queue: "slow", Tenant: fullTenant, Interval: eventloop.Second, Attempts: 4,
		Job: newJob("fill", newTimedStep("fill", 6, fillTaskCores, 1500*eventloop.Millisecond)),
	}
	for k := range firstFillJobs {
		f.Submit(kind, fmt.Sprint("first-fill-", k))
	}
	f.GenerateLoad(kind, f.LoadEnd-fillUntilEnd)
}

// heatTenant has a tenant submit many times its usual for a while.
func (f *Fleet) heatTenant() {
	sum := 0.0
	for _, tenant := range f.tenants.configured {
		sum += tenant.CallShare
	}
	usual := f.tenants.tenant(hotTenant).CallShare / sum
	for n, kind := range f.Spec.JobKinds {
		if kind.CancelDelay > 0 {
			continue // these run until they are cancelled
		}
		kind.Name, kind.Tenant = fmt.Sprint("hot-", n), hotTenant
		kind.Interval = eventloop.Micros(float64(kind.Interval) / usual / hotFactor)
		f.GenerateLoad(kind, f.Now+6*eventloop.Second)
	}
}

// moveQuota lowers the full tenant's limit to a third, and raises it above what it was.
func (f *Fleet) moveQuota() {
	set := func(cores int64) {
		f.changeTenant(fullTenant, func(tenant *deployments.Tenant) { tenant.MaxCoresMilli = cores }, func() {})
	}
	set(fullTenantCores / 3)
	f.After(6*eventloop.Second, func() { set(fullTenantCores * 4 / 3) })
}

// loseBusiestWorkers crashes the worker on which most runs, and cuts another off.
func (f *Fleet) loseBusiestWorkers() {
	lost := f.busiestWorker()
	lost.Crash()
	f.After(8*eventloop.Second, lost.Start)
	f.After(3*eventloop.Second, func() { f.partitionWorker(f.busiestWorker(), 9*eventloop.Second) })
}

// delayOrders has all workers leave many calls unanswered for a while, which they carry out
// all the same, or later.
func (f *Fleet) delayOrders() {
	for _, worker := range f.Workers {
		worker.(*CalledWorker).SetUnhealthy(0, 0.4)
		f.After(8*eventloop.Second, func() { worker.(*CalledWorker).SetUnhealthy(0, 0) })
	}
}

// loseAgentsInTurn kills, freezes and isolates agents, whose workers run on until their
// leases end.
func (f *Fleet) loseAgentsInTurn() {
	f.kill(f.agentNodes[0], 3*eventloop.Second)
	f.After(eventloop.Second, func() { f.freeze(f.agentNodes[1], 4*eventloop.Second) })
	f.After(2*eventloop.Second, func() { f.isolate(f.agentNodes[2], 9*eventloop.Second) })
	f.After(3*eventloop.Second, func() { f.kill(f.agentNodes[3], 8*eventloop.Second) })
}

// generateGangs submits gangs that take two thirds of the full tenant's limit, beside its
// other load.
func (f *Fleet) generateGangs() {
	gang := newTimedStep("gang", 4, fillTaskCores, 600*eventloop.Millisecond)
	gang.Gang = true
	f.GenerateLoad(JobKind{
		Name: "fill-gang", Queue: "group", Tenant: fullTenant, Interval: 2 * eventloop.Second, Attempts: 4, Job: newJob("gang", gang),
	}, f.LoadEnd-fillUntilEnd)
}

// leaderOf is the storage node that leads a queue; the first one where none does.
func (f *Fleet) leaderOf(queue string) *Host {
	for _, h := range f.StorageNodes() {
		if leads(h.StateView(), queue) {
			return h
		}
	}
	return f.Hosts[0]
}

// schedulerHost is the node whose scheduler holds most leases of workers; the first one
// where none does.
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

// --- what scenarios verify ---

// fillCores is the most that ran of the full tenant's load, in thousandths of a core,
// between two moments.
func (f *Fleet) fillCores(from, to eventloop.Micros) int64 {
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

// verifyFull: the tenant was at its limit when the fault struck.
func verifyFull(f *Fleet) []string {
	if cores := f.fillCores(f.faultAt-eventloop.Second, f.faultAt); cores < fullTenantCores-fillTaskCores {
		return []string{fmt.Sprintf("only %d milli cores of the full tenant ran at the fault", cores)}
	}
	return nil
}

// verifyFullAgain: it is at its limit again after the fault.
func verifyFullAgain(f *Fleet) []string {
	problems := verifyFull(f)
	if cores := f.fillCores(f.faultAt+checker.DefaultTolerances.Recovery, f.LoadEnd+drainAfterLoad); cores < fullTenantCores-fillTaskCores {
		problems = append(problems, fmt.Sprintf("only %d milli cores of the full tenant ran after the fault", cores))
	}
	return problems
}

// verifyOthersStart: the jobs of other tenants don't wait for those of the hot one.
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
