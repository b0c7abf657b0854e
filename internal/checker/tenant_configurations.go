package checker

import (
	"strconv"
	"strings"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// tenantConfiguration holds the settings of one configuration for tenants and their keys.
type tenantConfiguration struct {
	sentAt       eventloop.Micros // when it was first sent
	acceptedAt   eventloop.Micros // when its acceptance was first recorded
	isAccepted   bool             // known to be accepted; if false, it may be accepted or not
	version      uint64
	baseVersion  uint64
	requiresKeys bool
	isPublic     map[string]bool      // by queue
	tenantOfKey  map[string]string    // by the hash of the key
	limits       map[string]resources // by tenant; 0: no limit
}

func newTenantConfiguration(rows []*schema.ConfigurationRow) *tenantConfiguration {
	c := &tenantConfiguration{isPublic: map[string]bool{}, tenantOfKey: map[string]string{}, limits: map[string]resources{}}
	for _, row := range rows {
		number, _ := strconv.ParseInt(row.Value, 10, 64)
		switch {
		case row.Kind == "fleet" && row.Key == "require_keys":
			c.requiresKeys = number != 0
		case row.Kind == "queue" && row.Key == "public":
			c.isPublic[row.Name] = number != 0
		case row.Kind == "tenant":
			c.addTenantRow(row, number)
		}
	}
	return c
}

// addTenantRow adds a tenant's row. number is the row's value, or 0 if that isn't a number.
func (c *tenantConfiguration) addTenantRow(row *schema.ConfigurationRow, number int64) {
	limit := c.limits[row.Name]
	switch row.Key {
	case "max_cores_milli":
		limit.cores = number
	case "max_memory_mb":
		limit.memory = number
	case "max_accelerators":
		limit.accelerators = number
	case "key_hashes":
		for _, hash := range strings.Fields(row.Value) {
			c.tenantOfKey[hash] = row.Name
		}
	}
	c.limits[row.Name] = limit
}

// allows reports whether calls for the queue are allowed with this key, or without one if
// keyHash is empty.
func (c *tenantConfiguration) allows(queue, keyHash string) bool {
	if !c.requiresKeys {
		return true
	}
	if keyHash == "" {
		return c.isPublic[queue]
	}
	return c.tenantOfKey[keyHash] != ""
}

// readTenantConfigurations collects the configurations that were or may have been accepted. The
// first one is the empty configuration with which every deployment starts.
func (a *analysis) readTenantConfigurations() {
	initial := newTenantConfiguration(nil)
	initial.isAccepted = true
	a.tenantConfigurations = []*tenantConfiguration{initial}
	byDocument := map[string]*tenantConfiguration{}
	for k := range a.history {
		e := &a.history[k]
		if e.Kind != ConfigurationReply || e.Rows == nil || e.State == Invalid || e.isRefusal() {
			continue
		}
		c := byDocument[e.Document]
		if c == nil || e.Document == "" {
			c = newTenantConfiguration(e.Rows)
			c.sentAt, c.baseVersion = e.sentAt(), e.BaseVersion
			a.tenantConfigurations = append(a.tenantConfigurations, c)
			byDocument[e.Document] = c
		}
		if !c.isAccepted && (e.Code == 200 || e.State == AcknowledgementLost) {
			c.isAccepted, c.acceptedAt, c.version = true, e.At, e.Version
		}
	}
}

// mayBeInForce returns the configurations that any process may apply at some time in the
// interval: those that were sent by its end, unless a newer one was accepted at least the
// propagation time before its beginning.
func (a *analysis) mayBeInForce(from, to eventloop.Micros) []*tenantConfiguration {
	var list []*tenantConfiguration
	for _, c := range a.tenantConfigurations {
		if c.sentAt <= to && !a.isSuperseded(c, from) {
			list = append(list, c)
		}
	}
	return list
}

// isSuperseded reports whether every process has replaced the configuration by a newer one at
// the given time.
func (a *analysis) isSuperseded(c *tenantConfiguration, at eventloop.Micros) bool {
	version := c.version
	if !c.isAccepted {
		// It can no longer be accepted once any version newer than its base version is.
		version = c.baseVersion
	}
	for _, other := range a.tenantConfigurations {
		if other != c && other.isAccepted && other.version > version && other.acceptedAt+a.tolerances.Propagation <= at {
			return true
		}
	}
	return false
}

// usesTenants reports whether any configuration contains tenants or requires keys.
func (a *analysis) usesTenants() bool {
	for _, c := range a.tenantConfigurations {
		if c.requiresKeys || len(c.limits) > 0 {
			return true
		}
	}
	return false
}

// tenantEverOfKey returns the tenant to which any configuration assigns the key, or an empty
// string if none does.
func (a *analysis) tenantEverOfKey(keyHash string) string {
	for _, c := range a.tenantConfigurations {
		if tenant := c.tenantOfKey[keyHash]; tenant != "" {
			return tenant
		}
	}
	return ""
}

// highestLimit returns the tenant's highest limit among the configurations, for each kind of
// resource. It is 0 (no limit) if any configuration sets no limit.
func highestLimit(configurations []*tenantConfiguration, tenant string) resources {
	var highest resources
	for k, c := range configurations {
		limit := c.limits[tenant]
		if k == 0 {
			highest = limit
			continue
		}
		highest.cores = higherLimit(highest.cores, limit.cores)
		highest.memory = higherLimit(highest.memory, limit.memory)
		highest.accelerators = higherLimit(highest.accelerators, limit.accelerators)
	}
	return highest
}

// higherLimit returns the higher of two limits, where 0 means no limit.
func higherLimit(a, b int64) int64 {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}
