package workerpath

import (
	"fmt"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/schema"
)

// queueNames returns the names of firstQueue and of all other queues of the scenario's jobs.
func (s *Scenario) queueNames() []string {
	names := []string{firstQueue}
	for k := range s.Jobs {
		if name := s.Jobs[k].queueName(); !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// rows returns the rows of the initial configuration: its queues, and the limits of tenants.
func (s *Scenario) rows() []*schema.ConfigurationRow {
	var rows []*schema.ConfigurationRow
	for _, name := range s.queueNames() {
		if name != s.LaterQueue {
			rows = append(rows, queueRow(name))
		}
	}
	for _, tenant := range s.Tenants {
		rows = append(rows, limitRows(tenant.Name, tenant.Limit)...)
	}
	return rows
}

func queueRow(name string) *schema.ConfigurationRow {
	return &schema.ConfigurationRow{Kind: "queue", Name: name, Key: "urgency", Value: "5"}
}

// jobsOf returns the scenario's jobs in a queue.
func (s *Scenario) jobsOf(queue string) (jobs []jobSpec) {
	for _, job := range s.Jobs {
		if job.queueName() == queue {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

func limitRows(tenant string, limit clusterstate.Resources) []*schema.ConfigurationRow {
	row := func(key string, value int64) *schema.ConfigurationRow {
		return &schema.ConfigurationRow{Kind: "tenant", Name: tenant, Key: key, Value: fmt.Sprint(value)}
	}
	return []*schema.ConfigurationRow{
		row("max_cores_milli", limit.CoresMilli), row("max_memory_mb", limit.MemoryMB), row("max_accelerators", limit.Accelerators),
	}
}

// checkLimit checks, after a run of a job started, that the tenant's runs on all workers are
// within its limit. A job that exceeds the limit by itself may run as long as no other job of
// its tenant does.
func (o *observer) checkLimit(started *jobSpec) {
	limit, isLimited := o.limits[started.tenant]
	if !isLimited {
		return
	}
	var used clusterstate.Resources
	isAlone := true
	for r := range o.running {
		job := o.jobs[r.run.Task.Job]
		if job.tenant != started.tenant {
			continue
		}
		isAlone = isAlone && job == started
		size := job.size()
		used.CoresMilli += size.CoresMilli
		used.MemoryMB += size.MemoryMB
		used.Accelerators += size.Accelerators
	}
	if !isAlone && exceeds(used, limit) {
		o.report("tenant %s uses %+v after a start of %s, but its limit is %+v", started.tenant, used, started.name, limit)
	}
}

// exceeds reports whether the use of any resource is above its limit; a limit of 0 means that
// there is none.
func exceeds(used, limit clusterstate.Resources) bool {
	return limit.CoresMilli > 0 && used.CoresMilli > limit.CoresMilli ||
		limit.MemoryMB > 0 && used.MemoryMB > limit.MemoryMB ||
		limit.Accelerators > 0 && used.Accelerators > limit.Accelerators
}
