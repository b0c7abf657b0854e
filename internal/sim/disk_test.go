package sim

import (
	"fmt"
	"testing"
)

// TestDiskScenarios: full disks and failing syncs, of any storage node and at a start.
func TestDiskScenarios(t *testing.T) {
	for _, s := range DiskScenarios {
		if *onlyScenario != "" && s.Name != *onlyScenario {
			continue
		}
		for k := 0; k < *seeds; k++ {
			seed := *firstSeed + uint64(k)
			t.Run(fmt.Sprintf("%s/%d", s.Name, seed), func(t *testing.T) {
				t.Parallel()
				runSmall(t, s, seed)
			})
		}
	}
}
