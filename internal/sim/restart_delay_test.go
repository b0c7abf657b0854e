package sim

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"

	"sparnotch/internal/eventloop"
)

var restartDelayRuns = flag.Int("spread", 0, "measure with so many seeds how long a lost worker's tasks take to begin again when leader and controller go too")

// TestRestartDelay is a measurement; it is run by hand.
func TestRestartDelay(t *testing.T) {
	if *restartDelayRuns == 0 {
		t.Skip("only with -spread")
	}
	var list []eventloop.Micros
	var mu sync.Mutex
	var playing sync.WaitGroup
	gate := make(chan bool, 8)
	for _, s := range Scenarios {
		if s.Name != "leader, controller and worker lost at once" {
			continue
		}
		for k := 0; k < *restartDelayRuns; k++ {
			playing.Add(1)
			gate <- true
			go func() {
				defer func() { <-gate; playing.Done() }()
				f, _, _ := RunScenario(s, SmallFleet, *firstSeed+uint64(k))
				mu.Lock()
				list = append(list, f.RestartDelay)
				mu.Unlock()
			}()
		}
	}
	playing.Wait()
	slices.Sort(list)
	at := func(q float64) float64 { return float64(list[int(q*float64(len(list)-1))]) / 1e6 }
	fmt.Printf("%d runs: least %.2f, median %.2f, 95th %.2f, most %.2f s\n", len(list), at(0), at(.5), at(.95), at(1))
}
