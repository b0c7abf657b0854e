package checker

import (
	"strconv"
	"strings"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// tenantConfiguration is what one configuration says of tenants and their keys.
type tenantConfiguration struct {
	sentAt       eventloop.Micros // first
	acceptedAt   eventloop.Micros // first acknowledged
	isAccepted   bool             // as its operator knows; otherwise it may or may not be
	version      uint64
	baseVersion  uint64
	requiresKeys bool
	isPublic     map[string]bool      // by queue
	tenantOfKey  map[string]string    // by the key's hash
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

// addTenantRow reads a row of a tenant, whose value may be a number.
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

// allows reports whether a call for a queue may carry a key, or none.
func (c *tenantConfiguration) allows(queue, keyHash string) bool {
	if !c.requiresKeys {
		return true
	}
	if keyHash == "" {
		return c.isPublic[queue]
	}
	return c.tenantOfKey[keyHash] != ""
}

// readTenantConfigurations lists the configurations that were or may have been accepted,
// after the empty one that every deployment starts with.
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

// mayBeInForce lists the configurations that any process may act on at some moment of an
// interval: those that were sent by its end, and weren't followed by another that was
// accepted a propagation before its beginning.
func (a *analysis) mayBeInForce(from, to eventloop.Micros) []*tenantConfiguration {
	var list []*tenantConfiguration
	for _, c := range a.tenantConfigurations {
		if c.sentAt <= to && !a.isSuperseded(c, from) {
			list = append(list, c)
		}
	}
	return list
}

func (a *analysis) isSuperseded(c *tenantConfiguration, at eventloop.Micros) bool {
	version := c.version
	if !c.isAccepted {
		// It can't be accepted any more once another stands on top of its base.
		version = c.baseVersion
	}
	for _, other := range a.tenantConfigurations {
		if other != c && other.isAccepted && other.version > version && other.acceptedAt+a.bounds.Propagation <= at {
			return true
		}
	}
	return false
}

// usesTenants reports whether any configuration speaks of tenants or requires keys.
func (a *analysis) usesTenants() bool {
	for _, c := range a.tenantConfigurations {
		if c.requiresKeys || len(c.limits) > 0 {
			return true
		}
	}
	return false
}

// tenantEverOfKey is the tenant that held a key in any configuration that was sent; empty:
// none did.
func (a *analysis) tenantEverOfKey(keyHash string) string {
	for _, c := range a.tenantConfigurations {
		if tenant := c.tenantOfKey[keyHash]; tenant != "" {
			return tenant
		}
	}
	return ""
}

// highestLimit is the highest limit of a tenant, of each kind, among configurations; 0: one
// of them sets none.
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

// higherLimit is the higher of two limits; 0: no limit.
func higherLimit(a, b int64) int64 {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}
