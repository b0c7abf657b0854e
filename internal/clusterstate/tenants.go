package clusterstate

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strconv"
	"strings"

	"sparnotch/internal/schema"
)

// keyHashBytes is the number of bytes of an API key's SHA-256 that are kept. They are enough
// for no two keys to have the same hash.
const keyHashBytes = 16

// HashKey returns the hash, in hex digits, that represents a tenant's API key in rows and in
// messages. The key itself is neither stored in rows, nor sent between processes, nor logged.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:keyHashBytes])
}

// Resources holds an amount of each resource that tasks use.
type Resources struct {
	CoresMilli   int64 // thousandths of a core
	MemoryMB     int64
	Accelerators int64
}

// Tenant holds the configuration of a tenant.
type Tenant struct {
	Name        string
	WeightMilli int64     // weight of the tenant's share, in thousandths; positive
	Limit       Resources // most that its tasks may use at once on all workers together; 0: no limit
}

// HasLimit reports whether any resource of the tenant is limited.
func (t *Tenant) HasLimit() bool { return t.Limit != Resources{} }

// parseTenants reads the tenants and their API keys. The number keys must have been parsed.
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
		tenant.Limit = v.limitOf(name)
	}
}

// limitOf returns the limit that the parsed rows set for a tenant.
func (v *Values) limitOf(tenant string) Resources {
	return Resources{
		CoresMilli:   v.Number("tenant", tenant, "max_cores_milli"),
		MemoryMB:     v.Number("tenant", tenant, "max_memory_mb"),
		Accelerators: v.Number("tenant", tenant, "max_accelerators"),
	}
}

// Tenants returns the names of the configured tenants, sorted.
func (v *Values) Tenants() []string { return slices.Sorted(maps.Keys(v.tenants)) }

// HasTenants reports whether any tenant is configured, or any former tenant has a limit that
// is kept.
func (v *Values) HasTenants() bool { return len(v.tenants)+len(v.formerTenants) > 0 }

// FormerTenant returns a tenant that was configured but isn't any more, with its last limit,
// the lowest weight and no API keys. It returns nil if no limit is kept under this name. The
// caller must not modify the result.
func (v *Values) FormerTenant(name string) *Tenant { return v.formerTenants[name] }

// Tenant returns the configuration of a tenant, or nil if the tenant isn't configured. The
// caller must not modify the result.
func (v *Values) Tenant(name string) *Tenant { return v.tenants[name] }

// TenantOfKey returns the tenant that holds the API key with the given hash (see HashKey).
func (v *Values) TenantOfKey(hash string) (tenant string, found bool) {
	tenant, found = v.tenantByKey[hash]
	return tenant, found
}

// RequiresKeys reports whether requests must carry an API key, except for public queues.
func (v *Values) RequiresKeys() bool { return v.Fleet("require_keys") != 0 }

// IsPublic reports whether requests for a queue need no API key.
func (v *Values) IsPublic(queue string) bool { return v.Number("queue", queue, "public") != 0 }

// maxFormerTenants is the number of removed tenants whose limits are kept. The limits of those
// removed earlier are dropped.
const maxFormerTenants = 256

// formerTenantKeys lists the keys whose rows are kept when a tenant is removed: those of its
// limits, which its running tasks keep using, and its API keys, by which it is recognized under
// another name (AssignNames).
var formerTenantKeys = []string{"max_cores_milli", "max_memory_mb", "max_accelerators", keyHashesKey}

// formerTenants returns the rows that are kept of former tenants: tenants that previous or a
// configuration before it contains, but the rows of the next configuration don't. Tenants
// removed earlier come first.
func formerTenants(previous *schema.Configuration, next []*schema.ConfigurationRow) []*schema.ConfigurationRow {
	isConfigured := map[string]bool{}
	for _, row := range next {
		if row.Kind == "tenant" {
			isConfigured[row.Name] = true
		}
	}
	var kept []*schema.ConfigurationRow
	for _, rows := range [][]*schema.ConfigurationRow{previous.GetFormerTenants(), previous.GetRows()} {
		for _, row := range rows {
			if row.Kind == "tenant" && !isConfigured[row.Name] && slices.Contains(formerTenantKeys, row.Key) {
				kept = append(kept, row)
			}
		}
	}
	return kept[max(0, len(kept)-maxFormerTenants*len(formerTenantKeys)):]
}

// parseFormerTenants reads the limits of former tenants from the rows that formerTenants
// returned.
func (v *Values) parseFormerTenants(rows []*schema.ConfigurationRow) {
	v.formerTenants = map[string]*Tenant{}
	for _, row := range rows {
		if row.Key == keyHashesKey {
			continue
		}
		if value, err := strconv.ParseInt(row.Value, 10, 64); err == nil {
			v.numbers[rowID{row.Kind, row.Name, row.Key}] = value
			v.formerTenants[row.Name] = &Tenant{Name: row.Name, WeightMilli: 1}
		}
	}
	for name, tenant := range v.formerTenants {
		tenant.Limit = v.limitOf(name)
	}
}
