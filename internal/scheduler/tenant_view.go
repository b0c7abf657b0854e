package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"sparnotch/internal/eventloop"
)

// TenantView shows the use, limit and tasks of a tenant, as this node's scheduler counts them over
// the queues that the node leads.
type TenantView struct {
	Tenant       string         `json:"tenant"`
	WeightMilli  int64          `json:"weight_milli"` // 0: the tenant was removed from the configuration
	Used         *ResourcesView `json:"used"`
	Limit        *ResourcesView `json:"limit"`         // 0: no limit
	TasksRunning int            `json:"tasks_running"` // tasks that are checked out
	TasksReady   int            `json:"tasks_ready"`
	WaitingUs    int64          `json:"waiting_us"` // longest waiting time of a ready task
	WaitsFor     string         `json:"waits_for"`  // reason for the waiting; empty: no task is ready
}

// ResourcesView is an amount of each kind of resource.
type ResourcesView struct {
	CoresMilli   int64 `json:"cores_milli"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators"`
}

// view returns the resources in the form of the state view.
func (r resources) view() *ResourcesView { return &ResourcesView{r.cores, r.memory, r.accelerators} }

// Reasons for which a tenant's ready tasks wait, other than its quota.
const (
	waitsForWorkers    = "room on the workers"
	waitsForLeadership = "a node that leads every queue: this one doesn't, and its limit needs that"
)

// tenantViews builds the views of all tenants.
type tenantViews struct {
	scheduler *Scheduler
	now       eventloop.Micros
	pass      *passState
	byName    map[string]*TenantView
}

// viewTenants returns the views of all tenants, sorted by name: the configured ones, and removed
// ones that still have tasks.
func (s *Scheduler) viewTenants(now eventloop.Micros) []*TenantView {
	views := &tenantViews{scheduler: s, now: now, byName: map[string]*TenantView{}, pass: &passState{
		tenantUse: s.sumTenantUse(), knowsAllRuns: s.knowsAllRuns(now), accounts: map[string]*tenantAccount{},
	}}
	for _, name := range s.config.Tenants() {
		views.viewOf(name).WeightMilli = s.config.Tenant(name).WeightMilli
	}
	for _, tasks := range s.tasksByWorker {
		for _, t := range tasks {
			if t.tenant != "" {
				views.viewOf(t.tenant).TasksRunning++
			}
		}
	}
	for _, q := range s.queues {
		views.addReady(q)
	}
	list := make([]*TenantView, 0, len(views.byName))
	for _, name := range slices.Sorted(maps.Keys(views.byName)) {
		list = append(list, views.byName[name])
	}
	return list
}

// viewOf returns the view of a tenant. It creates the view on first use.
func (v *tenantViews) viewOf(name string) *TenantView {
	if v.byName[name] == nil {
		account := v.pass.accountOf(v.scheduler, name)
		v.byName[name] = &TenantView{Tenant: name, Used: account.used.view(), Limit: account.limit.view()}
	}
	return v.byName[name]
}

// addReady adds the ready tasks of a queue to the views of their tenants.
func (v *tenantViews) addReady(q *queueView) {
	for _, t := range q.reserved {
		if t.tenant != "" {
			v.viewOf(t.tenant).TasksReady++
		}
	}
	for _, group := range q.byShape {
		group.steps.Ascend(func(step *stepQueue) bool {
			if step.first().tenant != "" {
				v.addReadyStep(step)
			}
			return true
		})
	}
}

// addReadyStep adds the ready tasks of a step to the view of their tenant. As the reason for
// waiting, the tenant's quota takes precedence over the lack of room on the workers.
func (v *tenantViews) addReadyStep(step *stepQueue) {
	first := step.first()
	view := v.viewOf(first.tenant)
	view.TasksReady += step.ready.Len()
	view.WaitingUs = max(view.WaitingUs, int64(v.now-first.stateSince))
	account := v.pass.accountOf(v.scheduler, first.tenant)
	switch {
	case account.isUncertain && account.hasLimit():
		view.WaitsFor = waitsForLeadership
	case !v.pass.allowsAnyTask(v.scheduler, step):
		// The greatest text wins, so that the result doesn't depend on the order of the steps.
		if reason := account.describeQuota(resourcesOf(step.spec), v.pass.tenantUse.unassigned); reason > view.WaitsFor || view.WaitsFor == waitsForWorkers {
			view.WaitsFor = reason
		}
	case view.WaitsFor == "":
		view.WaitsFor = waitsForWorkers
	}
}

// describeQuota returns a text that names the kinds of resource in which a tenant's limit leaves no
// room for a task, and how much of the use comes from runs whose tenant isn't known.
func (a *tenantAccount) describeQuota(need, unassigned resources) string {
	var full, kinds []string
	for _, kind := range a.limitedAmounts(need, unassigned) {
		text := kind.describe()
		kinds = append(kinds, text)
		if kind.used+kind.need > kind.limit {
			full = append(full, text)
		}
	}
	// A single member of a gang may fit the limit while the whole gang doesn't.
	if len(full) == 0 {
		full = kinds
	}
	return "its tenant's quota: " + strings.Join(full, ", ")
}

// limitedAmount is a limited and needed kind of resource with its unit for texts.
type limitedAmount struct {
	limitedKind
	unassigned int64
	divisor    float64 // divides an amount to convert it to the unit of the text
	unit       string
}

// limitedAmounts returns the kinds of resource that are limited and of which a task needs some.
func (a *tenantAccount) limitedAmounts(need, unassigned resources) []limitedAmount {
	return slices.DeleteFunc([]limitedAmount{
		{limitedKind{a.limit.cores, a.used.cores, need.cores}, unassigned.cores, 1000, "cores"},
		{limitedKind{a.limit.memory, a.used.memory, need.memory}, unassigned.memory, 1, "MB of memory"},
		{limitedKind{a.limit.accelerators, a.used.accelerators, need.accelerators}, unassigned.accelerators, 1, "accelerators"},
	}, func(amount limitedAmount) bool { return amount.limit == 0 || amount.need == 0 })
}

// describe returns a text such as "0.8 of 1 cores".
func (a limitedAmount) describe() string {
	text := fmt.Sprintf("%g of %g %s", float64(a.used)/a.divisor, float64(a.limit)/a.divisor, a.unit)
	if a.unassigned > 0 {
		text += fmt.Sprintf(" (%g by runs of unknown tenants)", float64(a.unassigned)/a.divisor)
	}
	return text
}
