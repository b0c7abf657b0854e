package clusterstate

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"

	"sparnotch/internal/schema"
)

// keyHashBytes is how much of a key's SHA-256 is kept: enough that no two keys share it.
const keyHashBytes = 16

// HashKey returns the hash that stands for a tenant's key in rows and in messages, as hex
// digits. The key itself is neither stored in rows, nor sent between processes, nor logged.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:keyHashBytes])
}

// Resources is an amount of each kind that tasks use.
type Resources struct {
	CoresMilli   int64 // thousandths of a core
	MemoryMB     int64
	Accelerators int64
}

// Tenant is what the configuration says of a tenant.
type Tenant struct {
	Name        string
	WeightMilli int64     // thousandths; above 0
	Max         Resources // that its tasks may use at once over all workers; 0: no limit
}

// HasLimit reports whether any amount is limited.
func (t *Tenant) HasLimit() bool { return t.Max != Resources{} }

func (v *Values) parseTenants(rows []*schema.ConfigurationRow) {
	v.tenants, v.tenantByKey = map[string]*Tenant{}, map[string]string{}
	for _, row := range rows {
		if row.Kind != "tenant" {
			continue
		}
		if v.tenants[row.Name] == nil {
			v.tenants[row.Name] = &Tenant{Name: row.Name}
		}
		if row.Key == keyHashesKey {
			for _, hash := range strings.Fields(row.Value) {
				v.tenantByKey[hash] = row.Name
			}
		}
	}
	for name, tenant := range v.tenants {
		tenant.WeightMilli = v.Number("tenant", name, "weight_milli")
		tenant.Max = Resources{
			CoresMilli:   v.Number("tenant", name, "max_cores_milli"),
			MemoryMB:     v.Number("tenant", name, "max_memory_mb"),
			Accelerators: v.Number("tenant", name, "max_accelerators"),
		}
	}
}

// Tenants returns the names of the configured tenants, sorted.
func (v *Values) Tenants() []string { return slices.Sorted(maps.Keys(v.tenants)) }

// HasTenants reports whether any tenant is configured.
func (v *Values) HasTenants() bool { return len(v.tenants) > 0 }

// Tenant returns what is configured of a tenant, nil if nothing is; not to be changed.
func (v *Values) Tenant(name string) *Tenant { return v.tenants[name] }

// TenantOfKey returns the tenant that holds the key with a hash (HashKey).
func (v *Values) TenantOfKey(hash string) (tenant string, found bool) {
	tenant, found = v.tenantByKey[hash]
	return tenant, found
}

// RequiresKeys reports whether calls must carry keys, those for public queues aside.
func (v *Values) RequiresKeys() bool { return v.Fleet("require_keys") != 0 }

// IsPublic reports whether the calls for a queue need no key.
func (v *Values) IsPublic(queue string) bool { return v.Number("queue", queue, "public") != 0 }
