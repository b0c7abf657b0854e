package sim

import (
	"fmt"
	"math"
	"testing"

	"sparnotch/internal/checker"
	"sparnotch/internal/deployments"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	shareWindow    = 5 * eventloop.Second
	shareStep      = 500 * eventloop.Millisecond
	sharesSettled  = 5 * eventloop.Second // after the load's start
	sharesMeasured = 25 * eventloop.Second
	shareTolerance = 0.05 // of a tenant's share by weight
	minUtilization = 0.85 // of the pool's cores; with less in use shares say nothing
	backlogJobs    = 40   // of each tenant: enough to fill the pool alone all the while
	backlogTasks   = 60   // of a job

	mainPoolWorkers = 4
	// shareWorkerCores lets each tenant's share of the pool be a whole number of tasks.
	shareWorkerCores = 10_000
)

// backlogStep is the step of which all jobs of the measurement are.
func backlogStep() *schema.Step {
	return newTimedStep("backlog", backlogTasks, 500, 800*eventloop.Millisecond)
}

// weightedTenants are tenants without limits, of different weights.
func weightedTenants() []deployments.Tenant {
	var list []deployments.Tenant
	for _, weight := range []int64{4, 3, 2, 1} {
		name := fmt.Sprint("weight-", weight)
		list = append(list, deployments.Tenant{Name: name, WeightMilli: 1000 * weight, Keys: deployments.NewKeys(name, 1), CallShare: 1})
	}
	return list
}

// coreTime is what tenants used, in thousandths of a core times µs, by tenant.
type coreTime map[string]float64

func (c coreTime) sum() float64 {
	sum := 0.0
	for _, amount := range c {
		sum += amount
	}
	return sum
}

// usedWithin is what the tenants used between two moments.
func (f *Fleet) usedWithin(from, to eventloop.Micros) coreTime {
	type run struct {
		worker, name  string
		step, task    uint32
		attemptNumber uint32
	}
	startedAt, used := map[run]checker.Event{}, coreTime{}
	add := func(start checker.Event, end eventloop.Micros) {
		if overlap := min(end, to) - max(start.At, from); overlap > 0 {
			used[f.submittedJobs[start.Name].tenant] += float64(overlap) * float64(start.Cores)
		}
	}
	for _, e := range f.History {
		key := run{e.Actor, e.Name, e.Step, e.Task, e.Attempt}
		switch e.Kind {
		case checker.TaskStart:
			startedAt[key] = e
		case checker.TaskEnd:
			if start, isOpen := startedAt[key]; isOpen {
				add(start, e.At)
				delete(startedAt, key)
			}
		}
	}
	for _, start := range startedAt {
		add(start, to)
	}
	return used
}

// shareDeviation is the largest difference in any window between a tenant's part of what is
// used and its part of the weights, as a part of the latter; and the lowest utilization.
func (f *Fleet) shareDeviation(poolCores int64) (deviation, utilization float64) {
	utilization = math.Inf(1)
	weights := 0.0
	for _, tenant := range f.Spec.Tenants {
		weights += float64(tenant.WeightMilli)
	}
	for from := f.LoadStart + sharesSettled; from+shareWindow <= f.LoadStart+sharesMeasured; from += shareStep {
		used := f.usedWithin(from, from+shareWindow)
		utilization = min(utilization, used.sum()/float64(poolCores)/float64(shareWindow))
		for _, tenant := range f.Spec.Tenants {
			wanted := float64(tenant.WeightMilli) / weights
			deviation = max(deviation, math.Abs(used[tenant.Name]/used.sum()-wanted)/wanted)
		}
	}
	return deviation, utilization
}

// playBacklogs gives tenants of different weights more work each than fits the pool, which
// has workers of the main pool and some of the other one, and checks their shares.
func playBacklogs(t *testing.T, workers int) {
	spec := sharedFleet(SmallCalledFleet, weightedTenants())
	spec.JobKinds, spec.Workers, spec.AgentNodes, spec.Cores = nil, workers, workers, shareWorkerCores
	spec.ConfigurationRows = func(urgency int) []*schema.ConfigurationRow {
		// Jobs that have missed their targets would get only a part of the pool.
		return append(CalledConfigurationRows(urgency), &schema.ConfigurationRow{Kind: "queue", Name: "slow", Key: "target_ms", Value: "3600000"})
	}
	for k := range *seeds {
		seed := *firstSeed + uint64(k)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := NewFleet(seed, spec, ReliableNetwork, fastSync, sharesMeasured)
			f.atLoad(0, f.submitBacklogs)
			f.Run(f.LoadEnd)
			deviation, utilization := f.shareDeviation(mainPoolWorkers * shareWorkerCores)
			t.Logf("seed %d: shares differ by up to %.1f%% of the weights, at least %.0f%% of the pool in use", seed, 100*deviation, 100*utilization)
			if utilization < minUtilization {
				t.Errorf("only %.0f%% of the pool are in use", 100*utilization)
			}
			if deviation > shareTolerance {
				t.Errorf("shares differ by up to %.1f%% from the weights", 100*deviation)
			}
		})
	}
}

func (f *Fleet) submitBacklogs() {
	for n := range backlogJobs {
		for _, tenant := range f.Spec.Tenants {
			f.Submit(JobKind{Queue: "slow", Tenant: tenant.Name, Attempts: 4, Job: newJob("backlog", backlogStep())}, fmt.Sprint(tenant.Name, "-", n))
		}
	}
}

// In a full pool tenants got the same however they were weighted.
func TestSharesDifferFromWeights(t *testing.T) { playBacklogs(t, mainPoolWorkers) }

// A tenant's fair share was counted of all pools together, so in one of them tenants of low
// weight got more than theirs.
func TestSharesOfOnePoolDifferFromWeights(t *testing.T) { playBacklogs(t, mainPoolWorkers+2) }
