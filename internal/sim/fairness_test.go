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
	shareWindow           = 5 * eventloop.Second
	shareStep             = 500 * eventloop.Millisecond
	shareMeasurementStart = 5 * eventloop.Second  // the measurement begins this long after the load's start
	shareMeasurementEnd   = 25 * eventloop.Second // the measurement ends this long after the load's start
	shareTolerance        = 0.05                  // largest deviation from a tenant's share by weight, as a fraction of that share
	minUtilization        = 0.85                  // of the pool's cores; with less in use the shares are meaningless
	backlogJobs           = 40                    // jobs of each tenant; one tenant's jobs alone can fill the pool during the whole run
	backlogTasks          = 60                    // tasks of a job

	mainPoolWorkers = 4
	// shareWorkerCores is the size of a worker, in thousandths of a core. With it each tenant's
	// share of the pool is a whole number of tasks.
	shareWorkerCores = 10_000
)

// backlogStep returns the only step of each job in the measurement.
func backlogStep() *schema.Step {
	return newTimedStep("backlog", backlogTasks, 500, 800*eventloop.Millisecond)
}

// weightedTenants returns tenants that have different weights and no limits.
func weightedTenants() []deployments.Tenant {
	var list []deployments.Tenant
	for _, weight := range []int64{4, 3, 2, 1} {
		name := fmt.Sprint("weight-", weight)
		list = append(list, deployments.Tenant{Name: name, WeightMilli: 1000 * weight, Keys: deployments.NewKeys(name, 1), CallShare: 1})
	}
	return list
}

// coreTime holds the core time that each tenant used, in thousandths of a core times µs.
type coreTime map[string]float64

func (c coreTime) sum() float64 {
	sum := 0.0
	for _, amount := range c {
		sum += amount
	}
	return sum
}

// usedWithin returns the core time that the tenants used between two times.
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

// shareDeviation measures each tenant's share of the used core time in every window. It returns
// the largest deviation from the tenant's share by weight, as a fraction of that share, and the
// pool's lowest utilization in any window.
func (f *Fleet) shareDeviation(poolCores int64) (deviation, utilization float64) {
	utilization = math.Inf(1)
	weights := 0.0
	for _, tenant := range f.Spec.Tenants {
		weights += float64(tenant.WeightMilli)
	}
	for from := f.LoadStart + shareMeasurementStart; from+shareWindow <= f.LoadStart+shareMeasurementEnd; from += shareStep {
		used := f.usedWithin(from, from+shareWindow)
		utilization = min(utilization, used.sum()/float64(poolCores)/float64(shareWindow))
		for _, tenant := range f.Spec.Tenants {
			wanted := float64(tenant.WeightMilli) / weights
			deviation = max(deviation, math.Abs(used[tenant.Name]/used.sum()-wanted)/wanted)
		}
	}
	return deviation, utilization
}

// playBacklogs submits for each of several tenants with different weights more work than fits the
// main pool, and checks the tenants' shares. Workers beyond the first mainPoolWorkers belong to
// the other pool.
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
			f := NewFleet(seed, spec, ReliableNetwork, fastSync, shareMeasurementEnd)
			f.atLoad(0, f.submitBacklogs)
			f.Run(f.LoadEnd)
			deviation, utilization := f.shareDeviation(mainPoolWorkers * shareWorkerCores)
			t.Logf("seed %d: shares differ by up to %.1f%% of the weights, at least %.0f%% of the pool in use", seed, 100*deviation, 100*utilization)
			if utilization < minUtilization {
				t.Errorf("only %.0f%% of the pool's cores are in use", 100*utilization)
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

// TestSharesDifferFromWeights guards against shares that ignore weights: in a full pool all
// tenants got the same share whatever their weights were.
func TestSharesDifferFromWeights(t *testing.T) { playBacklogs(t, mainPoolWorkers) }

// TestSharesOfOnePoolDifferFromWeights guards against a fair share that is computed over all
// pools together: within one pool tenants of low weight got more than their share.
func TestSharesOfOnePoolDifferFromWeights(t *testing.T) { playBacklogs(t, mainPoolWorkers+2) }
