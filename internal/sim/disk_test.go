package sim

import (
	"fmt"
	"testing"
)

// TestDiskScenarios runs scenarios with full disks and failing syncs, on any storage node, also
// at the start of a process.
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
