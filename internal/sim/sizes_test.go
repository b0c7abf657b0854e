package sim

import (
	"fmt"
	"testing"
)

// Of the largest tenth of the jobs far fewer were served than of all.
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
