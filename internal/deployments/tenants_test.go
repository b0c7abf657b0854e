package deployments

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/schema"
)

func TestTenantRows(t *testing.T) {
	Convey("The tenants of each deployment form a valid configuration, in which their API keys are found by hash", t, func() {
		for _, d := range All {
			rows := append(d.ConfigRows(), TenantRows(d.Tenants)...)
			So(clusterstate.ValidateRows(rows), ShouldBeNil)
			values := clusterstate.ParseValues(&schema.Configuration{Rows: rows})
			So(values.RequiresKeys(), ShouldBeTrue)
			So(len(values.Tenants()), ShouldEqual, tenantCount)
			for _, tenant := range d.Tenants {
				for _, key := range tenant.Keys {
					name, found := values.TenantOfKey(clusterstate.HashKey(key))
					So(found, ShouldBeTrue)
					So(name, ShouldEqual, tenant.Name)
				}
			}
		}
	})
	Convey("A few tenants are large, and the limit of each tenant is a multiple of its share", t, func() {
		tenants := newTenants(41_000, 82_000)
		So(tenants[0].MaxCoresMilli, ShouldEqual, 20_800)
		So(tenants[largeTenants].MaxCoresMilli, ShouldEqual, 2600)
		So(tenants[largeTenants].MaxMemoryMB, ShouldEqual, 5200)
	})
}
