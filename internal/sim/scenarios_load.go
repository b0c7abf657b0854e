package sim

import (
	"fmt"
	"strings"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
)

const (
	burstSize = 30
	floodSize = 300
)

// loadScenarios lists scenarios with more work than the fleet has capacity for.
var loadScenarios = []Scenario{
	{Name: "urgent burst on a full fleet", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 25 * eventloop.Second, Inject: func(f *Fleet) {
		// The 40 tasks of each job, of two cores and 4 s each, fill the fleet for seconds.
		f.burstOnFullFleet(4, JobKind{Queue: "slow", Job: newJob("run_us=4000000", newStep("fill", 40, 2000))}, DefaultJobKinds()[0])
	}, Verify: verifyBurstStarts},
	{Name: "a flood of jobs that can never run", Network: ReliableNetwork, SyncDelay: slowSync, Duration: 20 * eventloop.Second, Inject: floodAndCancel},
}

// burstOnFullFleet fills the fleet with the given number of long jobs and then submits
// burstSize urgent jobs.
func (f *Fleet) burstOnFullFleet(fillers int, fill, urgent JobKind) {
	f.atLoad(2*eventloop.Second, func() {
		for k := range fillers {
			f.Submit(fill, fmt.Sprint("fill-", k))
		}
	})
	f.atLoad(5*eventloop.Second, func() {
		for k := range burstSize {
			f.Submit(urgent, fmt.Sprint("burst-", k))
		}
	})
}

// verifyBurstStarts checks that the first tasks of all urgent jobs start within 8 s, without
// waiting for the jobs that fill the fleet.
func verifyBurstStarts(f *Fleet) []string {
	submittedAt, longest := map[string]eventloop.Micros{}, eventloop.Micros(0)
	for _, e := range f.History {
		if e.Kind == checker.Submit && strings.HasPrefix(e.Name, "burst-") && submittedAt[e.Name] == 0 {
			submittedAt[e.Name] = e.At
		}
		if e.Kind == checker.TaskStart && submittedAt[e.Name] != 0 && e.Step == 0 {
			longest = max(longest, e.At-submittedAt[e.Name])
		}
	}
	if len(submittedAt) < burstSize || longest == 0 || longest > 8*eventloop.Second {
		return []string{fmt.Sprintf("%d urgent jobs were submitted, and the longest wait for a start was %d us", len(submittedAt), longest)}
	}
	return nil
}

// floodAndCancel submits jobs that fit no worker and cancels each of them 10 s later. The
// leader is killed while they are being submitted.
func floodAndCancel(f *Fleet) {
	huge := newJob("run_us=1000", newStep("huge", 1, max(60_000, f.Spec.Cores+1)))
	for k := range floodSize {
		f.atLoad(2*eventloop.Second+eventloop.Micros(k)*20*eventloop.Millisecond, func() {
			name := fmt.Sprint("huge-", k)
			f.Submit(JobKind{Queue: "timed", Job: huge}, name)
			f.After(10*eventloop.Second, func() { f.cancelJob(JobKind{Queue: "timed"}, name) })
		})
	}
	f.killLeaderAt(6*eventloop.Second, 2*eventloop.Second)
}
