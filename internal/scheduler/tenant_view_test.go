package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

// tenantView returns the state view's entry for a tenant, or nil.
func (h *harness) tenantView(name string) *TenantView {
	for _, view := range h.scheduler.stateView(h.now).Tenants {
		if view.Tenant == name {
			return view
		}
	}
	return nil
}

func TestTenantViews(t *testing.T) {
	cores := quotaKinds[0]
	Convey("The state view shows what each tenant uses, may use and waits for", t, func() {
		h := newQuotaHarness(cores)
		h.syncQueue("l", 10,
			checkedOutTask("limited", 1, "w", cores.step), checkedOutTask("limited", 2, "w", cores.step), readyTask("limited", 3, cores.step),
			checkedOutTask("free", 4, "w", cores.step),
		)
		h.now += 5 * eventloop.Second
		h.confirmLeadership(true)
		So(h.scheduler.stateView(h.now).LeadsAllQueues, ShouldBeTrue)
		view := h.tenantView("limited")
		So(view.WaitingUs, ShouldBeGreaterThanOrEqualTo, 5_000_000)
		view.WaitingUs = 0
		So(view, ShouldResemble, &TenantView{
			Tenant: "limited", WeightMilli: 1000, Used: &ResourcesView{800, 20, 0}, Limit: &ResourcesView{1000, 0, 0},
			TasksRunning: 2, TasksReady: 1, WaitsFor: "its tenant's quota: 0.8 of 1 cores",
		})
		So(h.tenantView("free"), ShouldResemble, &TenantView{
			Tenant: "free", WeightMilli: 1000, Used: &ResourcesView{400, 10, 0}, Limit: &ResourcesView{}, TasksRunning: 1,
		})
		So(h.tenantView("equal").TasksReady, ShouldEqual, 0)
	})
	forEachKind(t, "It names the kind of resource of which the limit leaves too little", func(kind quotaKind) {
		h := newQuotaHarness(kind)
		h.syncQueue("l", 10, checkedOutTask("limited", 1, "w", kind.step), checkedOutTask("limited", 2, "w", kind.step), readyTask("limited", 3, kind.step))
		So(h.tenantView("limited").WaitsFor, ShouldEqual, map[string]string{
			"cores": "its tenant's quota: 0.8 of 1 cores", "memory": "its tenant's quota: 800 of 1000 MB of memory", "accelerators": "its tenant's quota: 2 of 2 accelerators",
		}[kind.name])
	})
	Convey("Runs of which nobody knows the tenant count, and are named", t, func() {
		h := newQuotaHarness(cores)
		h.sendHeartbeat("w", withAmpleCapacityRunning(runningStatus(9, "", cores.step)))
		h.syncQueue("l", 10, checkedOutTask("limited", 1, "w", cores.step), readyTask("limited", 3, cores.step))
		So(h.tenantView("limited").WaitsFor, ShouldEqual, "its tenant's quota: 0.8 of 1 cores (0.4 by runs of unknown tenants)")
	})
	Convey("A gang that doesn't fit as a whole waits for the quota as well", t, func() {
		h := newQuotaHarness(cores)
		h.syncQueue("l", 10, append(readyGang("limited", 1, cores.withMembers(3)), checkedOutTask("limited", 2, "w", cores.step))...)
		So(h.tenantView("limited").WaitsFor, ShouldEqual, "its tenant's quota: 0.4 of 1 cores")
	})
	Convey("Where another node leads a queue, that is what a limited tenant waits for", t, func() {
		h := newHarness("w")
		h.configure(cores.rows("l", "m"), "w")
		h.syncQueue("l", 10, readyTask("limited", 1, cores.step), readyTask("free", 2, &schema.Step{Name: "s", Tasks: 1, CoresMilli: 99_000}))
		So(h.scheduler.stateView(h.now).LeadsAllQueues, ShouldBeFalse)
		So(h.tenantView("limited").WaitsFor, ShouldEqual, waitsForLeadership)
		So(h.tenantView("free").WaitsFor, ShouldEqual, waitsForWorkers)
	})
	Convey("A tenant that was removed is shown while it has tasks", t, func() {
		h := newQuotaHarness(cores)
		h.syncQueue("l", 10, checkedOutTask("limited", 1, "w", cores.step))
		h.configure([]*schema.ConfigurationRow{queueRow("l", "urgency", "10")}, "w")
		state := proto.Clone(h.scheduler.clusterState).(*schema.ClusterState)
		state.Configuration.FormerTenants = []*schema.ConfigurationRow{tenantRow("limited", "max_cores_milli", cores.limit)}
		h.deliver(&schema.ClusterStateResponse{State: state, Version: state.Version})
		view := h.tenantView("limited")
		So(view.WeightMilli, ShouldEqual, 0)
		So(view.Limit.CoresMilli, ShouldEqual, cores.limit)
		So(view.TasksRunning, ShouldEqual, 1)
		So(h.tenantView("free"), ShouldBeNil)
	})
	Convey("A task without a tenant is nobody's", t, func() {
		h := newQuotaHarness(cores)
		h.syncQueue("l", 10, newEvent(0, 1, 0, queue.CheckedOut, "w", cores.step))
		So(h.tenantView(""), ShouldBeNil)
	})
}
