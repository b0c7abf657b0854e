package workerpath

import (
	"fmt"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/schema"
)

// queueNames lists the queues that the scenario's jobs name, the first one in any case.
func (s *Scenario) queueNames() []string {
	names := []string{firstQueue}
	for k := range s.Jobs {
		if name := s.Jobs[k].queueName(); !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// rows is the configuration.
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

// jobsOf lists the jobs of a queue.
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

// checkLimit checks what the tenant of a job that has just started has running, on all workers.
// A job that is wider than the limit by itself may run while nothing else of its tenant does.
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
		o.report("tenant %s runs %+v with %s, its limit is %+v", started.tenant, used, started.name, limit)
	}
}

// exceeds reports whether an amount is above a limit in some kind; 0 is no limit.
func exceeds(used, limit clusterstate.Resources) bool {
	return limit.CoresMilli > 0 && used.CoresMilli > limit.CoresMilli ||
		limit.MemoryMB > 0 && used.MemoryMB > limit.MemoryMB ||
		limit.Accelerators > 0 && used.Accelerators > limit.Accelerators
}
