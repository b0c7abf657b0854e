package deployments

import (
	"fmt"
	"strings"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/schema"
)

// Tenant is a customer of a shared deployment.
type Tenant struct {
	Name            string
	WeightMilli     int64    // weight of the tenant's share, thousandths
	MaxCoresMilli   int64    // most cores that its tasks may use at once, thousandths; 0: no limit
	MaxMemoryMB     int64    // most memory that its tasks may use at once; 0: no limit
	MaxAccelerators int64    // most accelerators that its tasks may use at once; 0: no limit
	Keys            []string // API keys of its clients, not hashed
	CallShare       float64  // weight of its share in the clients' requests
}

const (
	tenantCount      = 20
	largeTenants     = 3
	largeWeightMilli = 8000
	smallWeightMilli = 1000
	keysPerTenant    = 2
	quotaFactorMilli = 2600 // limit of a tenant in relation to its share of the deployment, thousandths
)

// newTenants returns a few large and many small tenants for a deployment. The parameters are
// the total cores, in thousandths, and the total memory, in MB, of the deployment's workers.
func newTenants(totalCoresMilli, totalMemoryMB int64) []Tenant {
	const weightSum = largeTenants*largeWeightMilli + (tenantCount-largeTenants)*smallWeightMilli
	var list []Tenant
	for k := range tenantCount {
		weight := int64(smallWeightMilli)
		if k < largeTenants {
			weight = largeWeightMilli
		}
		limitOf := func(capacity int64) int64 { return capacity * weight / weightSum * quotaFactorMilli / 1000 }
		name := fmt.Sprintf("tenant-%02d", k+1)
		list = append(list, Tenant{
			Name: name, WeightMilli: weight, MaxCoresMilli: limitOf(totalCoresMilli), MaxMemoryMB: limitOf(totalMemoryMB),
			Keys: NewKeys(name, keysPerTenant), CallShare: float64(weight),
		})
	}
	return list
}

// NewKeys returns a number of distinct API keys for a tenant.
func NewKeys(tenant string, count int) []string {
	keys := make([]string, count)
	for k := range keys {
		keys[k] = fmt.Sprintf("%s-key-%d", tenant, k+1)
	}
	return keys
}

// TenantRows returns the configuration rows of tenants. They include the requirement that
// requests carry an API key.
func TenantRows(tenants []Tenant) []*schema.ConfigurationRow {
	rows := []*schema.ConfigurationRow{{Kind: "fleet", Key: "require_keys", Value: "1"}}
	for _, tenant := range tenants {
		addNumber := func(key string, value int64) {
			if value > 0 {
				rows = append(rows, &schema.ConfigurationRow{Kind: "tenant", Name: tenant.Name, Key: key, Value: fmt.Sprint(value)})
			}
		}
		addNumber("weight_milli", tenant.WeightMilli)
		addNumber("max_cores_milli", tenant.MaxCoresMilli)
		addNumber("max_memory_mb", tenant.MaxMemoryMB)
		addNumber("max_accelerators", tenant.MaxAccelerators)
		if len(tenant.Keys) > 0 {
			hashes := make([]string, len(tenant.Keys))
			for k, key := range tenant.Keys {
				hashes[k] = clusterstate.HashKey(key)
			}
			rows = append(rows, &schema.ConfigurationRow{Kind: "tenant", Name: tenant.Name, Key: "key_hashes", Value: strings.Join(hashes, " ")})
		}
	}
	return rows
}
