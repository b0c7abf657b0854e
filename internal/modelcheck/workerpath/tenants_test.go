package workerpath

import (
	"testing"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
)

// limitedTenants have limits that the two workers together could exceed.
var limitedTenants = []clusterstate.Tenant{
	{Name: "of-cores", Limit: clusterstate.Resources{CoresMilli: 700}},
	{Name: "of-memory", Limit: clusterstate.Resources{MemoryMB: 100}},
	{Name: "of-accelerators", Limit: clusterstate.Resources{Accelerators: 1}},
}

// tenantJobs are in two queues, which may have different nodes as leaders.
var tenantJobs = []jobSpec{
	{name: "c1", tenant: "of-cores", cores: 300, work: 700 * eventloop.Millisecond, allowedFailures: 1},
	{name: "c2", tenant: "of-cores", queue: "m", cores: 300, work: 2 * eventloop.Second, allowedFailures: 1},
	{name: "c3", tenant: "of-cores", cores: 300, work: 500 * eventloop.Millisecond, failures: 1, allowedFailures: 2},
	{name: "c4", tenant: "of-cores", queue: "m", cores: 300, work: 400 * eventloop.Millisecond, allowedFailures: 1},
	{name: "c-wide", tenant: "of-cores", cores: 900, work: 400 * eventloop.Millisecond, allowedFailures: 1},
	{name: "c-gang", tenant: "of-cores", queue: "m", members: 2, cores: 300, work: 600 * eventloop.Millisecond, allowedFailures: 1},
	{name: "m1", tenant: "of-memory", cores: 100, memory: 60, work: 900 * eventloop.Millisecond, allowedFailures: 1},
	{name: "m2", tenant: "of-memory", queue: "m", cores: 100, memory: 60, work: 900 * eventloop.Millisecond, allowedFailures: 1},
	{name: "a1", tenant: "of-accelerators", cores: 100, accelerators: 1, work: 3 * eventloop.Second, allowedFailures: 1},
	{name: "a2", tenant: "of-accelerators", queue: "m", cores: 100, accelerators: 1, work: 300 * eventloop.Millisecond, allowedFailures: 1},
	{name: "nobodys", cores: 100, work: 500 * eventloop.Millisecond, allowedFailures: 1},
}

var tenantScenarios = []Scenario{
	{Name: "tenants: workers just known", Jobs: tenantJobs, Prefix: []Step{"calm 200ms"}, Tenants: limitedTenants},
	{Name: "tenants: another node leads one queue", Jobs: tenantJobs, Prefix: []Step{"calm 300ms", "elect m"}, Tenants: limitedTenants},
	{Name: "tenants: all leads move, the leases later", Jobs: tenantJobs, Prefix: []Step{"calm 1s", "elect l", "elect m", "calm 300ms"}, Tenants: limitedTenants},
	{Name: "tenants: a worker is lost and an agent restarted", Jobs: tenantJobs, Prefix: []Step{"calm 700ms", "crash m1", "restart m2"}, Tenants: limitedTenants},
}

// queueScenarios have a queue that is created or removed during the schedule.
var queueScenarios = []Scenario{
	{Name: "tenants: a queue is created", Jobs: tenantJobs, Prefix: []Step{"calm 300ms"}, Tenants: limitedTenants, LaterQueue: "m"},
	{Name: "tenants: a queue is removed", Jobs: tenantJobs, Prefix: []Step{"create m a", "calm 500ms", "remove m"}, Tenants: limitedTenants, LaterQueue: "m"},
}

// Guards against the loss of the end of a task whose queue was removed: a node that didn't lead
// the queue acknowledged the end, and the queue never recorded it.
func TestEndsOfARemovedQueueReachIt(t *testing.T) {
	s := queueScenarios[1]
	w := s.play([]Step{"move b", "elect l", "calm 800ms", settle})
	if w.observer.violation != "" || w.unsettled() != "" {
		t.Fatal(w.observer.violation, w.unsettled())
	}
}

// Guards against exceeding a tenant's limit while queues are created and removed: a node that
// didn't know all of the tenant's running tasks started more.
func TestWalksOfTenantsWhoseQueuesComeAndGo(t *testing.T) { walkAll(t, queueScenarios) }

// Guards against exceeding a tenant's limit by its runs on all workers together.
func TestWalksOfTenants(t *testing.T) { walkAll(t, tenantScenarios) }

func TestEveryScheduleOfTenants(t *testing.T) { exploreAll(t, tenantScenarios, 1+*deeper) }

// Without failures all tasks of tenants with a limit must run, including gangs and a job that
// exceeds the limit by itself.
func TestCalmOfTenants(t *testing.T) {
	s := Scenario{Name: "calm", Jobs: tenantJobs, Tenants: limitedTenants}
	w := s.play([]Step{settle})
	if w.observer.violation != "" || w.unsettled() != "" {
		t.Fatal(w.observer.violation, w.unsettled())
	}
}
