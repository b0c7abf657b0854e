package sim

import (
	"fmt"
	"testing"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// relayedFleet returns the small fleet with called workers, whose agents poll through relays.
func relayedFleet() FleetSpec {
	spec := SmallCalledFleet
	spec.Name = "small-relayed"
	spec.ConfigurationRows = func(urgency int) []*schema.ConfigurationRow {
		return append(CalledConfigurationRows(urgency), &schema.ConfigurationRow{Kind: "fleet", Key: "relayed_workers", Value: "1"})
	}
	return spec
}

// TestRelayedPollsUnderFaults runs scenarios that lose relays, schedulers and the links between them.
func TestRelayedPollsUnderFaults(t *testing.T) {
	covered := map[string]bool{
		"calm": true, "rough net": true, "leader killed": true, "core split each way": true, "disk machine replaced": true,
		"side machines killed, frozen, cut": true, "orders are left unanswered and carried out late": true,
	}
	for _, s := range ScenariosFor(relayedFleet()) {
		if !covered[s.Name] {
			continue
		}
		for k := 0; k < *seeds; k++ {
			seed := *firstSeed + uint64(k)
			t.Run(fmt.Sprintf("%s/%d", s.Name, seed), func(t *testing.T) {
				t.Parallel()
				relayed := 0
				watched := s
				inject := s.Inject
				watched.Inject = func(f *Fleet) {
					f.OnSend = func(_, _ *Host, body any) {
						if batch, isBatch := body.(*schema.RelayedPolls); isBatch {
							relayed += len(batch.Polls)
						}
					}
					if inject != nil {
						inject(f)
					}
				}
				runOn(t, watched, relayedFleet(), seed)
				if relayed < 100 {
					t.Errorf("only %d polls were relayed", relayed)
				}
			})
		}
	}
}

// largeHollowSetup returns the load of some 2,000 starts a second on 240 workers, scaled to a number of workers.
func largeHollowSetup(workers int) HollowSetup {
	return HollowSetup{
		Workers: workers, Gateways: 5, Queues: 3, StartsPerSecond: 8.2 * float64(workers), RunUs: 300_000, TasksPerJob: 31, ConfigurationRows: 60,
		Zones: 5, Regions: 1, WorkersPerRack: 20, Seed: 1, WarmUp: 3 * eventloop.Second, Duration: 2 * eventloop.Second,
	}
}

// The leader's processor is full when each start costs it many messages, so that it can't serve the load of a large fleet.
func TestLeaderMessagesPerStart(t *testing.T) {
	t.Parallel()
	const maxMessagesPerStart = 2
	results := RunHollow(largeHollowSetup(240))
	starts := valueOf(results, roleWhole, "starts_s")
	if starts < 1700 {
		t.Fatalf("only %.0f starts a second", starts)
	}
	messages := valueOf(results, roleLeader, "sent_s") + valueOf(results, roleLeader, "received_s")
	if perStart := messages / starts; perStart > maxMessagesPerStart {
		t.Errorf("the leader sends and receives %.2f messages a start", perStart)
	}
}

// A leader whose processor is slower than its messages come loses ground with each of them, so that work is late long after a burst.
func TestLargeFleetRecoversFromBurst(t *testing.T) {
	t.Parallel()
	const maxUrgentStartDelayMs = 2300
	setup := largeHollowSetup(240)
	setup.StorageCPUShare, setup.BurstFactor = 0.96, 2
	setup.BurstDuration, setup.BurstRecovery = 4*eventloop.Second, 10*eventloop.Second
	results := RunHollow(setup)
	if starts := valueOf(results, roleWhole, "starts_s"); starts < 1700 {
		t.Errorf("only %.0f starts a second", starts)
	}
	if delay := valueOf(results, roleWhole, "start_p99_ms"); delay > maxUrgentStartDelayMs {
		t.Errorf("1 of 100 tasks starts later than %.0f ms after its submission", delay)
	}
}
