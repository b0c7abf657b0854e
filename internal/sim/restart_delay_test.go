package sim

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"

	"sparnotch/internal/eventloop"
)

var restartDelayRuns = flag.Int("spread", 0, "measure with so many seeds how long a lost worker's tasks take to start again when leader and controller go too")

// TestRestartDelay is a measurement; it is run by hand.
func TestRestartDelay(t *testing.T) {
	if *restartDelayRuns == 0 {
		t.Skip("only with -spread")
	}
	var delays []eventloop.Micros
	var mu sync.Mutex
	var running sync.WaitGroup
	slots := make(chan bool, 8)
	for _, s := range Scenarios {
		if s.Name != "leader, controller and worker lost at once" {
			continue
		}
		for k := 0; k < *restartDelayRuns; k++ {
			running.Add(1)
			slots <- true
			go func() {
				defer func() { <-slots; running.Done() }()
				f, _, _ := RunScenario(s, SmallFleet, *firstSeed+uint64(k))
				mu.Lock()
				delays = append(delays, f.RestartDelay)
				mu.Unlock()
			}()
		}
	}
	running.Wait()
	slices.Sort(delays)
	at := func(q float64) float64 { return float64(delays[int(q*float64(len(delays)-1))]) / 1e6 }
	fmt.Printf("%d runs: minimum %.2f, median %.2f, 95th %.2f, maximum %.2f s\n", len(delays), at(0), at(.5), at(.95), at(1))
}
