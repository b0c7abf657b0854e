package sim

import (
	"fmt"
	"testing"
)

// TestLargestJobsAreServed guards against a scheduler that neglects large jobs: the largest tenth
// of the jobs met their latency target far less often than all jobs together.
func TestLargestJobsAreServed(t *testing.T) {
	for _, s := range SizeScenarios {
		for k := range *seeds {
			seed := *firstSeed + uint64(k)
			t.Run(fmt.Sprintf("%s/%d", s.Name, seed), func(t *testing.T) {
				t.Parallel()
				t.Log(describeSizes(runOn(t, s, WideJobsFleet, seed)))
			})
		}
	}
}
