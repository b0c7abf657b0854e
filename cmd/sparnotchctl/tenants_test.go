package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/scheduler"
)

// servePlacements starts a server that responds with a scheduler's state, or with 404 if the
// state is nil, and returns the server's address.
func servePlacements(t *testing.T, view *scheduler.StateView) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if view == nil || r.URL.Path != "/v1/placements" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(view)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestTenantsCommand(t *testing.T) {
	tenant := func(name string, running int) *scheduler.TenantView {
		return &scheduler.TenantView{
			Tenant: name, WeightMilli: 2500, Used: &scheduler.ResourcesView{CoresMilli: 600_000, MemoryMB: 70, Accelerators: 1},
			Limit: &scheduler.ResourcesView{CoresMilli: 600_000}, TasksRunning: running, TasksReady: 7, WaitingUs: 12_340_000,
			WaitsFor: "its tenant's quota: 600 of 600 cores",
		}
	}
	follower := &scheduler.StateView{Tenants: []*scheduler.TenantView{tenant("acme", 0)}}
	leader := &scheduler.StateView{Tenants: []*scheduler.TenantView{
		tenant("acme", 31), {Tenant: "umbra", Used: &scheduler.ResourcesView{}, Limit: &scheduler.ResourcesView{}},
	}, LeadsAllQueues: true}
	Convey("The tenants are printed as the node has them that leads every queue", t, func() {
		nodes := servePlacements(t, follower) + "," + servePlacements(t, nil) + "," + servePlacements(t, leader)
		code, text := runCommand(&tenantsCommand{}, "-nodes", nodes)
		So(code, ShouldEqual, 0)
		So(text, ShouldContainSubstring, "the node is not a storage node")
		So(text, ShouldEndWith, `TENANT  WEIGHT  CORES    MEMORY_MB  ACCELERATORS  RUNNING  READY  WAITING  WAITS FOR
acme    2.5     600/600  70         1             31       7      12.3s    its tenant's quota: 600 of 600 cores
umbra   0       0        0          0             0        0      -        
`)
	})
	Convey("Where none leads every queue, that is said, and each node's view is printed", t, func() {
		address := servePlacements(t, follower)
		code, text := runCommand(&tenantsCommand{}, "-nodes", address)
		So(code, ShouldEqual, 0)
		So(text, ShouldContainSubstring, "leads every queue")
		So(text, ShouldContainSubstring, address+":\nTENANT")
		So(text, ShouldContainSubstring, "acme")
	})
	Convey("No node given, and no answer, are failures", t, func() {
		code, _ := runCommand(&tenantsCommand{}, "-nodes", "")
		So(code, ShouldEqual, exitUsage)
		code, _ = runCommand(&tenantsCommand{}, "-nodes", servePlacements(t, nil))
		So(code, ShouldEqual, exitFailed)
	})
}
