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
	WeightMilli     int64
	MaxCoresMilli   int64 // that its tasks may use at once; 0: no limit
	MaxMemoryMB     int64
	MaxAccelerators int64
	Keys            []string // that its clients hold, in clear
	CallShare       float64  // of the clients' calls, relative to the other tenants'
}

const (
	tenantCount      = 20
	largeTenants     = 3
	largeWeightMilli = 8000
	smallWeightMilli = 1000
	keysPerTenant    = 2
	quotaFactorMilli = 2600 // a limit is this many times the tenant's share of the deployment
)

// newTenants makes the tenants of a deployment whose workers have so much together: a few
// large ones and many small ones.
func newTenants(cores, memory int64) []Tenant {
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
			Name: name, WeightMilli: weight, MaxCoresMilli: limitOf(cores), MaxMemoryMB: limitOf(memory),
			Keys: NewKeys(name, keysPerTenant), CallShare: float64(weight),
		})
	}
	return list
}

// NewKeys makes keys of a tenant.
func NewKeys(tenant string, count int) []string {
	keys := make([]string, count)
	for k := range keys {
		keys[k] = fmt.Sprintf("%s-key-%d", tenant, k+1)
	}
	return keys
}

// TenantRows is the configuration of tenants, whose calls must carry their keys.
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
