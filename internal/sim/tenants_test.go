package sim

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/deployments"
)

// runByHand are the scenarios that run only where -scenario names them or -seeds asks for
// several seeds: each has a part in common with one that always runs.
var runByHand = map[string]bool{
	"keys revoked while a gateway is cut off": true, "hot tenant": true, "a queue's leader cut off while a tenant is full": true,
	"worker lost while its tenant is full": true, "orders carried out late while a tenant is full": true, "a slow node while a tenant is full": true,
}

// playScenarios runs scenarios on a fleet.
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

// Calls were served with keys that no configuration held, or that had been taken away, and
// with those of other tenants.
func TestCallsWithInvalidKeysAreServed(t *testing.T) { playScenarios(t, KeyScenarios, SmallKeyedFleet) }

// A tenant ran more than its limit, at all times and near faults.
func TestTenantRunsMoreThanItsQuota(t *testing.T) { playScenarios(t, QuotaScenarios, SmallSharedFleet) }

// TestSharedDeployments: a deployment as its users share it.
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
