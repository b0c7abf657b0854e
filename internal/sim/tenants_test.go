package sim

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/deployments"
)

// runByHand lists the scenarios that run only if -scenario names them or -seeds is greater than 1.
// Each of them overlaps with a scenario that always runs.
var runByHand = map[string]bool{
	"keys revoked while a gateway is cut off": true, "hot tenant": true, "a queue's leader cut off while a tenant is full": true,
	"worker lost while its tenant is full": true, "orders carried out late while a tenant is full": true, "a slow node while a tenant is full": true,
}

// playScenarios runs the scenarios that the flags select on a fleet, each as a subtest.
func playScenarios(t *testing.T, scenarios []Scenario, spec FleetSpec) {
	for _, s := range scenarios {
		if *onlyScenario != "" && s.Name != *onlyScenario || *onlyScenario == "" && *seeds == 1 && runByHand[s.Name] {
			continue
		}
		for k := range *seeds {
			seed := *firstSeed + uint64(k)
			t.Run(fmt.Sprintf("%s/%s/%d", spec.Name, s.Name, seed), func(t *testing.T) {
				t.Parallel()
				runOn(t, s, spec, seed)
			})
		}
	}
}

// TestCallsWithInvalidKeysAreServed guards against calls that are served with a key that no
// configuration held, that had been revoked, or that belongs to another tenant.
func TestCallsWithInvalidKeysAreServed(t *testing.T) { playScenarios(t, KeyScenarios, SmallKeyedFleet) }

// TestTenantRunsMoreThanItsQuota guards against a tenant whose tasks exceed its limit, both during
// faults and without them.
func TestTenantRunsMoreThanItsQuota(t *testing.T) { playScenarios(t, QuotaScenarios, SmallSharedFleet) }

// TestSharedDeployments runs the first deployment with the tenants that share it.
func TestSharedDeployments(t *testing.T) {
	for _, s := range Scenarios {
		if s.Name == "leader killed" {
			playScenarios(t, []Scenario{s}, SharedDeploymentSpec(deployments.All[0]))
		}
	}
}

func TestSharedSameSeedSameHistory(t *testing.T) {
	Convey("With tenants too, the same seed gives the same history", t, func() {
		s := KeyScenarios[0]
		one, _, _ := RunScenario(s, SmallKeyedFleet, 7)
		two, _, _ := RunScenario(s, SmallKeyedFleet, 7)
		So(len(one.History), ShouldBeGreaterThan, 500)
		So(bytes.Equal(one.EncodeHistory(), two.EncodeHistory()), ShouldBeTrue)
	})
}
