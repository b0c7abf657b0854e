package sim

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
)

var restartDelaySize = flag.String("spread_size", "small", "name of the fleet on which -spread measures")

var restartDelayRuns = flag.Int("spread", 0, "number of seeds with which to measure how long a lost worker's tasks take to start again when the leader and the controller are lost too; 0: no measurement")

// TestRestartDelay measures how long the tasks of a lost worker take to start again when the leader
// and the controller are lost too. It runs only by hand, with the flag -spread.
func TestRestartDelay(t *testing.T) {
	if *restartDelayRuns == 0 {
		t.Skip("the measurement runs only with the flag -spread")
	}
	spec, s := restartDelayScenario(t)
	var delays []eventloop.Micros
	var mu sync.Mutex
	var running sync.WaitGroup
	slots := make(chan bool, 4)
	for k := 0; k < *restartDelayRuns; k++ {
		running.Add(1)
		slots <- true
		go func() {
			defer func() { <-slots; running.Done() }()
			f, _, _ := RunScenario(s, spec, *firstSeed+uint64(k))
			mu.Lock()
			delays = append(delays, f.RestartDelay)
			mu.Unlock()
		}()
	}
	running.Wait()
	slices.Sort(delays)
	quantile := func(q float64) float64 { return float64(delays[int(q*float64(len(delays)-1))]) / 1e6 }
	late := len(slices.DeleteFunc(slices.Clone(delays), func(d eventloop.Micros) bool { return d <= checker.DefaultTolerances.Recovery }))
	fmt.Printf("%d runs: minimum %.2f, median %.2f, 95th %.2f, maximum %.2f s, %d over the bound\n", len(delays), quantile(0), quantile(.5), quantile(.95), quantile(1), late)
}

// restartDelayScenario returns the fleet and the scenario of the measurement.
func restartDelayScenario(t *testing.T) (FleetSpec, Scenario) {
	for _, spec := range FleetSpecs() {
		for _, s := range ScenariosFor(spec) {
			if spec.Name == *restartDelaySize && s.Name == "leader, controller and worker lost at once" {
				return spec, s
			}
		}
	}
	t.Fatalf("there is no fleet with the name %q", *restartDelaySize)
	return FleetSpec{}, Scenario{}
}
