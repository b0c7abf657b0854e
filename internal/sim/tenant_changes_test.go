package sim

import (
	"fmt"
	"strings"
	"testing"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	slowLinkBytesPerSecond = 250_000 // 2 Mbit/s
	tenantApplyTimeout     = 2500 * eventloop.Millisecond
	tenantCount            = 20
	keysPerTenant          = 5
	tenantChanges          = 12
)

// tenantOperator replaces a configuration with many tenants repeatedly, and checks that each
// process holds every acknowledged revision in time.
type tenantOperator struct {
	*changeOperator
	acknowledgementTimes map[uint64]eventloop.Micros // when each version was acknowledged
	checkCounts          map[string]int              // number of checks by role of the process
}

// configuration returns an update to a version with many tenants, whose keys no other version
// has.
func (o *tenantOperator) configuration(version uint64) *schema.ConfigurationUpdate {
	update := &schema.ConfigurationUpdate{Version: version, BaseVersion: version - 1, Rows: o.ConfigurationRows(operatorUrgency)}
	if version == 2 {
		update.BaseVersion = 0
	}
	addRow := func(kind, name, key, value string) {
		update.Rows = append(update.Rows, &schema.ConfigurationRow{Kind: kind, Name: name, Key: key, Value: value})
	}
	var document strings.Builder
	for tenant := range tenantCount {
		name, hashes := fmt.Sprintf("tenant-%d", tenant), []string{}
		for key := range keysPerTenant {
			text := fmt.Sprintf("key-%d-%d-%d", version, tenant, key)
			hashes = append(hashes, clusterstate.HashKey(text))
			document.WriteString(text)
		}
		addRow("tenant", name, "weight_milli", "14000")
		addRow("tenant", name, "max_cores_milli", "346087")
		addRow("tenant", name, "key_hashes", strings.Join(hashes, " "))
	}
	addRow("fleet", "", "require_keys", "1")
	update.Document = []byte(document.String())
	return update
}

func (o *tenantOperator) publishNext(version uint64) {
	if version >= 2+tenantChanges {
		return
	}
	o.send(o.configuration(version), func() {
		o.acknowledgementTimes[version] = o.Now
		o.After(eventloop.Second, func() { o.publishNext(version + 1) })
	})
}

// checkHeld reports a process that doesn't hold an acknowledged revision after
// tenantApplyTimeout.
func (o *tenantOperator) checkHeld(from *Host, request *schema.ClusterStateRequest) {
	for version, at := range o.acknowledgementTimes {
		if o.Now-at < tenantApplyTimeout {
			continue
		}
		o.checkCounts[roleName(from)]++
		// Each version is one revision. The first version is 2 because the fleet's own
		// configuration is revision 1.
		if request.HeldRevision < version {
			o.report("%s holds revision %d, and %d was acknowledged %.1f s ago", from.Name, request.HeldRevision, version, float64(o.Now-at)/1e6)
		}
	}
}

// TestTenantsAreInForceInTimeOverSlowLinks guards against a gateway on a slow link that learns the
// keys of an acknowledged configuration too late.
func TestTenantsAreInForceInTimeOverSlowLinks(t *testing.T) {
	spec := SmallFleet
	spec.JobKinds, spec.Workers = nil, 2
	f := NewFleet(*firstSeed, spec, ReliableNetwork, fastSync, 25*eventloop.Second)
	for _, h := range f.Hosts {
		if h.Disk == nil {
			h.Uplink.BytesPerSecond = slowLinkBytesPerSecond
		}
	}
	o := &tenantOperator{&changeOperator{Fleet: f}, map[uint64]eventloop.Micros{}, map[string]int{}}
	f.OnSend = func(from, _ *Host, body any) {
		if request, isRequest := body.(*schema.ClusterStateRequest); isRequest {
			o.checkHeld(from, request)
		}
	}
	f.atLoad(0, func() { o.publishNext(2) })
	f.Run(f.LoadEnd)
	for _, problem := range o.problems {
		t.Error(problem)
	}
	t.Logf("%d versions were acknowledged; checks by role: %v", len(o.acknowledgementTimes), o.checkCounts)
	if len(o.acknowledgementTimes) < tenantChanges || o.checkCounts[roleGateway] < 100 || o.checkCounts[roleAgent] < 50 {
		t.Errorf("only %d versions were acknowledged, with the checks %v by role", len(o.acknowledgementTimes), o.checkCounts)
	}
}
