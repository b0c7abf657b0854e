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
	Limit         Resources // that its tasks may use at once over all workers; 0: no limit
}

// HasLimit reports whether any amount is limited.
func (t *Tenant) HasLimit() bool { return t.Limit != Resources{} }

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

// limitOf returns the limit of a tenant whose rows were parsed.
func (v *Values) limitOf(tenant string) Resources {
	return Resources{
		CoresMilli:   v.Number("tenant", tenant, "max_cores_milli"),
		MemoryMB:     v.Number("tenant", tenant, "max_memory_mb"),
		Accelerators: v.Number("tenant", tenant, "max_accelerators"),
	}
}

// Tenants returns the names of the configured tenants, sorted.
func (v *Values) Tenants() []string { return slices.Sorted(maps.Keys(v.tenants)) }

// HasTenants reports whether any tenant is or was configured.
func (v *Values) HasTenants() bool { return len(v.tenants)+len(v.formerLimits) > 0 }

// FormerTenant returns the limit of a tenant that isn't configured any more but was, nil if it
// isn't known; not to be changed. It has no keys, and the lowest weight.
func (v *Values) FormerTenant(name string) *Tenant { return v.formerLimits[name] }

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

// maxFormerTenants is how many removed tenants' limits are kept, the latest.
const maxFormerTenants = 256

// limitKeys are the keys of a tenant's rows that are kept when it is removed.
var limitKeys = []string{"max_cores_milli", "max_memory_mb", "max_accelerators"}

// formerTenants returns the limits of the tenants that a configuration or those before it had,
// and that the next one's rows don't have, oldest first.
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
			if row.Kind == "tenant" && !isConfigured[row.Name] && slices.Contains(limitKeys, row.Key) {
				kept = append(kept, row)
			}
		}
	}
	return kept[max(0, len(kept)-maxFormerTenants*len(limitKeys)):]
}

func (v *Values) parseFormerTenants(rows []*schema.ConfigurationRow) {
	v.formerLimits = map[string]*Tenant{}
	for _, row := range rows {
		if value, err := strconv.ParseInt(row.Value, 10, 64); err == nil {
			v.numbers[rowID{row.Kind, row.Name, row.Key}] = value
			v.formerLimits[row.Name] = &Tenant{Name: row.Name, WeightMilli: 1}
		}
	}
	for name, tenant := range v.formerLimits {
		tenant.Limit = v.limitOf(name)
	}
}
