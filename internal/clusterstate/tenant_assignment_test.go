package clusterstate

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/schema"
)

// tenantRows returns the rows of a tenant in the form NAME=KEY,KEY.
func tenantRows(definition string) []*schema.ConfigurationRow {
	name, keys, _ := strings.Cut(definition, "=")
	rows := []*schema.ConfigurationRow{row("tenant", name, "max_cores_milli", "1000")}
	if keys != "" {
		var hashes []string
		for _, key := range strings.Split(keys, ",") {
			hashes = append(hashes, HashKey(key))
		}
		rows = append(rows, row("tenant", name, keyHashesKey, strings.Join(hashes, " ")))
	}
	return rows
}

// putTenants makes the given tenants the whole configuration.
func (s *operatorState) putTenants(tenants ...string) {
	update := s.whole()
	update.Document = []byte(fmt.Sprintf(`{"content":%q}`, strings.Join(tenants, " ")))
	for _, definition := range tenants {
		update.Rows = append(update.Rows, tenantRows(definition)...)
	}
	So(s.submit(update), ShouldEqual, 200)
}

// owner returns the tenant that holds a key, or "" if none does.
func (s *operatorState) owner(key string) string {
	tenant, _ := s.Values().TenantOfKey(HashKey(key))
	return tenant
}

// TestTenantsAreKnownByTheirKeys guards against a tenant that loses its jobs, or whose limit
// counts twice, when the operator gives it another name.
func TestTenantsAreKnownByTheirKeys(t *testing.T) {
	Convey("Given two tenants", t, func() {
		s := newOperatorState()
		s.putTenants("a=k1", "b=k2")
		So(s.owner("k1"), ShouldEqual, "a")
		So(s.owner("k2"), ShouldEqual, "b")
		Convey("another name for the same keys keeps the tenant and its limit", func() {
			s.putTenants("c=k1", "b=k2")
			So(s.owner("k1"), ShouldEqual, "a")
			So(s.Values().Tenants(), ShouldResemble, []string{"a", "b"})
			So(s.Values().Tenant("a").Limit.CoresMilli, ShouldEqual, 1000)
			So(s.Configuration().FormerTenants, ShouldBeEmpty)
			Convey("and the former name for other keys is another tenant", func() {
				s.putTenants("c=k1", "b=k2", "a=k3")
				So(s.owner("k1"), ShouldEqual, "a")
				So(s.owner("k3"), ShouldNotBeIn, "", "a", "b")
			})
			Convey("also when all its keys are replaced under the new name", func() {
				s.putTenants("c=k9", "b=k2")
				So(s.owner("k9"), ShouldEqual, "a")
			})
			Convey("and a patch removes it by its new name alone", func() {
				patch := s.patch(nil)
				patch.Removed = []*schema.ConfigurationItem{item("tenant", "a"), item("tenant", "c")}
				So(s.submit(patch), ShouldEqual, 200)
				So(s.Values().Tenants(), ShouldResemble, []string{"b"})
			})
		})
		Convey("so do another name and a new key beside an old one, also in a patch", func() {
			patch := s.patch(nil)
			patch.Removed = []*schema.ConfigurationItem{item("tenant", "a"), item("tenant", "c")}
			patch.Rows = tenantRows("c=k1,k3")
			So(s.submit(patch), ShouldEqual, 200)
			So(s.owner("k1"), ShouldEqual, "a")
			So(s.owner("k3"), ShouldEqual, "a")
			So(s.owner("k2"), ShouldEqual, "b")
		})
		Convey("tenants that exchange their names keep their keys", func() {
			s.putTenants("b=k1", "a=k2")
			So(s.owner("k1"), ShouldEqual, "a")
			So(s.owner("k2"), ShouldEqual, "b")
		})
		Convey("a tenant that was gone for a version is the same under another name", func() {
			s.putTenants("b=k2")
			So(s.owner("k1"), ShouldEqual, "")
			So(s.Values().FormerTenant("a").Limit.CoresMilli, ShouldEqual, 1000)
			s.putTenants("b=k2", "c=k1")
			So(s.owner("k1"), ShouldEqual, "a")
			So(s.Values().FormerTenant("a"), ShouldBeNil)
		})
		Convey("a key that passes to a tenant with keys of its own is that tenant's", func() {
			s.putTenants("a=k3", "b=k2,k1")
			So(s.owner("k3"), ShouldEqual, "a")
			So(s.owner("k1"), ShouldEqual, "b")
			So(s.owner("k2"), ShouldEqual, "b")
		})
		Convey("new keys under the same name keep the tenant", func() {
			s.putTenants("a=k8", "b=k9")
			So(s.owner("k8"), ShouldEqual, "a")
			So(s.owner("k9"), ShouldEqual, "b")
			s.putTenants("a", "b=k9")
			So(slices.Contains(s.Values().Tenants(), "a"), ShouldBeTrue)
		})
		Convey("tenants that share a key are invalid", func() {
			update := s.whole()
			update.Rows = slices.Concat(tenantRows("a=k1"), tenantRows("b=k2,k1"))
			So(s.submit(update), ShouldEqual, 422)
		})
	})
}
