package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"sparnotch/internal/eventloop"
)

// TenantView is a tenant as this node's scheduler counts it, over the queues that the node
// leads.
type TenantView struct {
	Tenant       string         `json:"tenant"`
	WeightMilli  int64          `json:"weight_milli"` // 0: it isn't configured any more
	Used         *ResourcesView `json:"used"`
	Limit        *ResourcesView `json:"limit"`         // 0: no limit
	TasksRunning int            `json:"tasks_running"` // checked out
	TasksReady   int            `json:"tasks_ready"`
	WaitingUs    int64          `json:"waiting_us"` // how long the longest of these has waited
	WaitsFor     string         `json:"waits_for"`  // empty: nothing is ready
}

// ResourcesView is an amount of each kind of resource.
type ResourcesView struct {
	CoresMilli   int64 `json:"cores_milli"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators"`
}

func (r resources) view() *ResourcesView { return &ResourcesView{r.cores, r.memory, r.accelerators} }

// What a tenant's ready tasks wait for, beside its quota.
const (
	waitsForWorkers    = "room on the workers"
	waitsForLeadership = "a node that leads every queue: this one doesn't, and its limit needs that"
)

// tenantViews collects the views of all tenants.
type tenantViews struct {
	scheduler *Scheduler
	now       eventloop.Micros
	pass      *passState
	byName    map[string]*TenantView
}

// viewTenants returns the tenants by name: those that are configured, and those that are not
// any more and still have tasks.
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

// of returns the view of a tenant, and makes it if there is none yet.
func (v *tenantViews) viewOf(name string) *TenantView {
	if v.byName[name] == nil {
		account := v.pass.accountOf(v.scheduler, name)
		v.byName[name] = &TenantView{Tenant: name, Used: account.used.view(), Limit: account.limit.view()}
	}
	return v.byName[name]
}

// addReady counts the ready tasks of a queue.
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

// addReadyStep counts the ready tasks of a step. What waits for the tenant's quota tells more
// than what waits for workers.
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
		// Of several the same one each time, in whatever order the steps are looked at.
		if reason := account.describeQuota(resourcesOf(step.spec), v.pass.tenantUse.unassigned); reason > view.WaitsFor || view.WaitsFor == waitsForWorkers {
			view.WaitsFor = reason
		}
	case view.WaitsFor == "":
		view.WaitsFor = waitsForWorkers
	}
}

// describeQuota says which kinds of a tenant's limit leave no room for a task, and how much of
// what counts as used is that of runs whose tenant isn't known.
func (a *tenantAccount) describeQuota(need, unassigned resources) string {
	var full, kinds []string
	for _, kind := range a.limitedAmounts(need, unassigned) {
		text := kind.describe()
		kinds = append(kinds, text)
		if kind.used+kind.need > kind.limit {
			full = append(full, text)
		}
	}
	// A gang's first member may have room, and the whole gang not.
	if len(full) == 0 {
		full = kinds
	}
	return "its tenant's quota: " + strings.Join(full, ", ")
}

// limitedAmount is one kind of resource that is limited and needed, for a text.
type limitedAmount struct {
	limitedKind
	unassigned int64
	divisor    float64 // of the unit in texts
	unit       string
}

func (a *tenantAccount) limitedAmounts(need, unassigned resources) []limitedAmount {
	return slices.DeleteFunc([]limitedAmount{
		{limitedKind{a.limit.cores, a.used.cores, need.cores}, unassigned.cores, 1000, "cores"},
		{limitedKind{a.limit.memory, a.used.memory, need.memory}, unassigned.memory, 1, "MB of memory"},
		{limitedKind{a.limit.accelerators, a.used.accelerators, need.accelerators}, unassigned.accelerators, 1, "accelerators"},
	}, func(amount limitedAmount) bool { return amount.limit == 0 || amount.need == 0 })
}

func (a limitedAmount) describe() string {
	text := fmt.Sprintf("%g of %g %s", float64(a.used)/a.divisor, float64(a.limit)/a.divisor, a.unit)
	if a.unassigned > 0 {
		text += fmt.Sprintf(" (%g by runs of unknown tenants)", float64(a.unassigned)/a.divisor)
	}
	return text
}
