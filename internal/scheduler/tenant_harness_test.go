package scheduler

import (
	"fmt"

	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

// quotaKind is a kind of resource with a limit that fits two tasks of the step, but not three.
type quotaKind struct {
	name, key string
	limit     int64
	step      *schema.Step
}

var quotaKinds = []quotaKind{
	{"cores", "max_cores_milli", 1000, &schema.Step{Name: "s", Tasks: 1, CoresMilli: 400, MemoryMb: 10}},
	{"memory", "max_memory_mb", 1000, &schema.Step{Name: "s", Tasks: 1, CoresMilli: 10, MemoryMb: 400}},
	{"accelerators", "max_accelerators", 2, &schema.Step{Name: "s", Tasks: 1, CoresMilli: 10, MemoryMb: 10, Accelerators: 1}},
}

// withMembers returns a gang with this many members, each of the size of the kind's step.
func (k quotaKind) withMembers(count uint32) *schema.Step {
	return &schema.Step{Name: "g", Tasks: count, CoresMilli: k.step.CoresMilli, MemoryMb: k.step.MemoryMb, Accelerators: k.step.Accelerators, Gang: true}
}

// rows returns configuration rows that give tenants "limited" and "equal" the kind's limit and tenant "free" none.
func (k quotaKind) rows(queues ...string) []*schema.ConfigurationRow {
	return k.rowsWith(k.limit, queues...)
}

// rowsWith is like rows, but with another limit.
func (k quotaKind) rowsWith(limit int64, queues ...string) []*schema.ConfigurationRow {
	rows := []*schema.ConfigurationRow{
		tenantRow("limited", k.key, limit), tenantRow("equal", k.key, limit), tenantRow("free", "weight_milli", 1000),
	}
	for _, name := range queues {
		rows = append(rows, queueRow(name, "urgency", "10"))
	}
	return rows
}

func tenantRow(name, key string, value int64) *schema.ConfigurationRow {
	return &schema.ConfigurationRow{Kind: "tenant", Name: name, Key: key, Value: fmt.Sprint(value)}
}

// newQuotaHarness returns a harness with one worker of ample capacity, which leads queue l with these tasks.
func newQuotaHarness(kind quotaKind, list ...*queue.TaskEvent) *harness {
	h := newHarness("w")
	h.configure(kind.rows("l"), "w")
	h.syncQueue("l", 10, list...)
	h.sendHeartbeat("w", withAmpleCapacity(nil))
	return h
}

// withAmpleCapacity makes a heartbeat one of an agent whose worker has ample capacity, and applies change.
func withAmpleCapacity(change func(*schema.WorkerHeartbeat)) func(*schema.WorkerHeartbeat) {
	return withNames(func(a *schema.WorkerHeartbeat) {
		a.CoresMilli, a.MemoryMb, a.Accelerators = 16_000, 16_000, 16
		if change != nil {
			change(a)
		}
	})
}

func withAmpleCapacityRunning(running ...*schema.TaskStatus) func(*schema.WorkerHeartbeat) {
	return withAmpleCapacity(func(a *schema.WorkerHeartbeat) { a.Running = running })
}

func withAmpleCapacityEnded(ended ...*schema.TaskStatus) func(*schema.WorkerHeartbeat) {
	return withAmpleCapacity(func(a *schema.WorkerHeartbeat) { a.Ended = ended })
}

// runningStatus returns the status with which a worker lists the running task of a job.
func runningStatus(job uint64, tenant string, step *schema.Step) *schema.TaskStatus {
	return &schema.TaskStatus{
		Name: fmt.Sprint("j", job), Attempt: 1, State: "running", Tenant: tenant,
		CoresMilli: step.CoresMilli, MemoryMb: step.MemoryMb, Accelerators: step.Accelerators,
	}
}

// doneStatus returns the status with which a worker lists the successful end of a job's task.
func doneStatus(job uint64) *schema.TaskStatus {
	return &schema.TaskStatus{Name: fmt.Sprint("j", job), Attempt: 1, State: "done"}
}

// forTenant sets the tenant of a task and returns the task.
func forTenant(tenant string, event *queue.TaskEvent) *queue.TaskEvent {
	event.Tenant = tenant
	return event
}

// readyTask returns the ready first task of a job.
func readyTask(tenant string, job uint64, step *schema.Step) *queue.TaskEvent {
	return forTenant(tenant, newEvent(0, job, 0, queue.Ready, "", step))
}

// checkedOutTask returns the first task of a job, checked out to a worker.
func checkedOutTask(tenant string, job uint64, worker string, step *schema.Step) *queue.TaskEvent {
	return forTenant(tenant, newEvent(0, job, 0, queue.CheckedOut, worker, step))
}

// readyGang returns the ready members of a gang.
func readyGang(tenant string, job uint64, step *schema.Step) (members []*queue.TaskEvent) {
	for k := range step.Tasks {
		members = append(members, forTenant(tenant, newEvent(0, job, k, queue.Ready, "", step)))
	}
	return members
}

// countPlaced counts the placed tasks of the jobs from first to last.
func (h *harness) countPlaced(first, last uint64) (count int) {
	for _, job := range h.placedJobs() {
		if first <= job && job <= last {
			count++
		}
	}
	return count
}
