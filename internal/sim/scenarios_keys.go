package sim

import (
	"fmt"
	"net/http"
	"slices"

	"sparnotch/internal/checker"
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/deployments"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	keysChangeAt     = 5 * eventloop.Second // time after the load's start at which keys are added or revoked
	revokedKeyUse    = 5 * eventloop.Second // how long clients keep using a key after it was revoked
	keyProbeInterval = 200 * eventloop.Millisecond
)

// keyChange records that the addition or revocation of a tenant's key was acknowledged.
type keyChange struct {
	tenant         string
	acknowledgedAt eventloop.Micros // when the change was acknowledged
}

// SmallKeyedFleet is the small fleet with called workers, shared by tenants
// that have keys but no limits.
var SmallKeyedFleet = keyedFleet(SmallCalledFleet)

func keyedFleet(spec FleetSpec) FleetSpec {
	tenant := func(name string, share float64) deployments.Tenant {
		return deployments.Tenant{Name: name, WeightMilli: 1000, Keys: deployments.NewKeys(name, 2), CallShare: share}
	}
	spec.Name, spec.Tenants = spec.Name+"-keyed", []deployments.Tenant{tenant("large-1", 6), tenant("large-2", 4), tenant("small-1", 1), tenant("small-2", 1)}
	return spec
}

// KeyScenarios lists scenarios for the small keyed fleet in which keys are added or revoked
// while unauthorized calls are sent, which must be refused.
var KeyScenarios = []Scenario{
	keyScenario("keys revoked of connected clients", 15*eventloop.Second, (*Fleet).revokeKeys, verifyRevoked),
	keyScenario("keys added and used at once", 15*eventloop.Second, (*Fleet).addKeys, verifyAddedKeys),
	keyScenario("keys revoked while a gateway is cut off", 20*eventloop.Second, func(f *Fleet) {
		f.useThroughPartitioned(f.disklessGateways[0], 8*eventloop.Second, "large-1", f.tenants.tenant("large-1").Keys[0])
		f.After(eventloop.Second, f.revokeKeys)
	}, verifyRevoked),
	keyScenario("keys added while a gateway is cut off", 20*eventloop.Second, func(f *Fleet) {
		f.useThroughPartitioned(f.disklessGateways[0], 6*eventloop.Second, "large-2", "large-2-added")
		f.After(eventloop.Second, f.addKeys)
	}, verifyAddedKeys),
	keyScenario("keys revoked and added, all storage nodes killed right after", 25*eventloop.Second, func(f *Fleet) {
		f.afterAcknowledgedChange(func() { f.powerCycleStorageNodes(800 * eventloop.Millisecond) })
		f.revokeKeys()
		f.addKeys()
	}, func(f *Fleet) []string { return slices.Concat(verifyRevoked(f), verifyAddedKeys(f)) }),
}

// keyScenario returns a scenario that changes keys during the load while unauthorized calls are
// sent, which must be refused.
func keyScenario(name string, duration eventloop.Micros, change func(f *Fleet), verify func(f *Fleet) []string) Scenario {
	return Scenario{Name: name, Network: ReliableNetwork, SyncDelay: fastSync, Duration: duration, Inject: func(f *Fleet) {
		f.atLoad(0, func() { f.intrudePeriodically(f.LoadEnd) })
		f.atLoad(keysChangeAt, func() { change(f) })
	}, Verify: verify}
}

// revokeKeys revokes one key of each of two tenants. Their clients keep using these keys for
// revokedKeyUse.
func (f *Fleet) revokeKeys() {
	f.revokedKeys = map[string]keyChange{}
	for k, name := range []string{"large-1", "small-2"} {
		f.After(eventloop.Micros(k)*1500*eventloop.Millisecond, func() { f.revokeKey(name) })
	}
}

func (f *Fleet) revokeKey(name string) {
	revoked := f.tenants.tenant(name).Keys[0]
	f.changeTenant(name, func(tenant *deployments.Tenant) { tenant.Keys = slices.Clone(tenant.Keys[1:]) }, func() {
		f.revokedKeys[clusterstate.HashKey(revoked)] = keyChange{name, f.Now}
		f.After(revokedKeyUse, func() { f.tenants.stopUsing(name, revoked) })
	})
}

// addKeys adds one key to each of two tenants. Their clients use it as soon as the change is
// acknowledged.
func (f *Fleet) addKeys() {
	f.addedKeys = map[string]keyChange{}
	for k, name := range []string{"large-2", "small-1"} {
		f.After(eventloop.Micros(k)*3*eventloop.Second, func() { f.addKey(name) })
	}
}

func (f *Fleet) addKey(name string) {
	added := name + "-added"
	f.changeTenant(name, func(tenant *deployments.Tenant) { tenant.Keys = append(slices.Clone(tenant.Keys), added) }, func() {
		f.addedKeys[clusterstate.HashKey(added)] = keyChange{name, f.Now}
		f.tenants.keysInUse[name] = []string{added}
	})
}

// useThroughPartitioned isolates a gateway for the given duration. During the partition and
// for as long after it, it queries the status of the tenant's last accepted job through this
// gateway with the given key.
func (f *Fleet) useThroughPartitioned(node *Host, duration eventloop.Micros, tenant, key string) {
	f.isolate(node, duration)
	until := f.Now + 2*duration
	var probe func()
	probe = func() {
		if f.Now >= until {
			return
		}
		if name := f.lastAcceptedJobOf(tenant); name != "" {
			f.askThrough(node, f.submittedJobs[name].queue, "status", name, clusterstate.HashKey(key), func(int32, *schema.JobView) {})
		}
		f.After(keyProbeInterval, probe)
	}
	probe()
}

// afterAcknowledgedChange calls inject right after the next change of the configuration is
// acknowledged.
func (f *Fleet) afterAcknowledgedChange(inject func()) {
	f.observers = append(f.observers, func(e checker.Event) bool {
		if e.Kind != checker.ConfigurationReply || e.Code != 200 {
			return false
		}
		f.afterRandomDelay(inject)
		return true
	})
}

// verifyRevoked checks that each of the two revoked keys was refused at least once.
func verifyRevoked(f *Fleet) []string {
	var problems []string
	refused := map[string]int{}
	for _, e := range f.History {
		if _, isRevoked := f.revokedKeys[e.KeyHash]; isRevoked && e.Code == http.StatusUnauthorized {
			refused[e.KeyHash]++
		}
	}
	if len(refused) < 2 {
		problems = append(problems, fmt.Sprintf("only %d of the 2 revoked keys were refused", len(refused)))
	}
	return problems
}

// verifyAddedKeys checks that no call with an added key is refused if it was sent after the
// key was acknowledged, and that calls with each of the two added keys are served.
func verifyAddedKeys(f *Fleet) []string {
	var problems []string
	served := map[string]int{}
	for _, e := range f.History {
		added, isAdded := f.addedKeys[e.KeyHash]
		isOwnJob := f.submittedJobs[e.Name].tenant == added.tenant
		switch {
		case !isAdded || e.SentAt < added.acknowledgedAt:
		case e.Code == http.StatusUnauthorized || e.Code == http.StatusForbidden && isOwnJob:
			problems = append(problems, fmt.Sprintf("%s: %s refused a key with status %d in a call that was sent %d us after the key was acknowledged", e.Name, e.Gateway, e.Code, e.SentAt-added.acknowledgedAt))
		case e.Code > 0 && e.Code < 300:
			served[e.KeyHash]++
		}
	}
	if len(served) < 2 {
		problems = append(problems, fmt.Sprintf("only %d of the 2 added keys were served", len(served)))
	}
	return problems
}
