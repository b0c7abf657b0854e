package sim

import (
	"fmt"
	"slices"
	"testing"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	removedQueueRestarts = 6
	removedQueuePause    = 3 * eventloop.Second // between two restarts of all storage nodes
)

// removedQueueKeepsItsJob is a scenario in which a queue is removed from the configuration while
// it has a live job, and all storage nodes are restarted again and again.
var removedQueueKeepsItsJob = Scenario{
	Name: "a removed queue's storage nodes are restarted", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 35 * eventloop.Second,
	Inject: func(f *Fleet) {
		extra := &schema.ConfigurationRow{Kind: "queue", Name: "extra", Key: "urgency", Value: "5"}
		put := func(rows ...*schema.ConfigurationRow) {
			f.PutConfiguration("operator", slices.Concat(f.ConfigurationRows(operatorUrgency), rows))
		}
		f.atLoad(0, func() { put(extra) })
		f.atLoad(4*eventloop.Second, func() {
			job := newJob("run_us=1000", newStep("s", 1, 100))
			job.DelayUs = int64(60 * eventloop.Second)
			f.Request(f.StorageNodes()[0], clientTimeout, submitRequest("extra", "c", "kept", job), func(answer any) {
				if !isConfirmed(responseOf(answer)) {
					f.problems = append(f.problems, "the job wasn't accepted")
				}
			})
		})
		f.atLoad(8*eventloop.Second, func() { put() })
		for k := range eventloop.Micros(removedQueueRestarts) {
			f.atLoad(13*eventloop.Second+k*removedQueuePause, func() { f.powerCycleStorageNodes(500 * eventloop.Millisecond) })
		}
		f.atLoad(34*eventloop.Second, func() { f.groupsAfterRemoval = f.allGroups("extra#") })
	},
	Verify: func(f *Fleet) []string {
		if len(f.groupsAfterRemoval) != storageNodes {
			f.problems = append(f.problems, fmt.Sprintf("the removed queue has a live job, but only these replicas are left: %v", f.groupsAfterRemoval))
		}
		return f.problems
	},
}

// TestRemovedQueueKeepsItsJobs guards against a controller that ends a queue with live jobs,
// because a leader that has just started reports a state to which it hasn't applied its log yet.
func TestRemovedQueueKeepsItsJobs(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(max(*seeds, 4)); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSmall(t, removedQueueKeepsItsJob, seed)
		})
	}
}
