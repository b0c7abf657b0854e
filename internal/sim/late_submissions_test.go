package sim

import (
	"fmt"
	"testing"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	lateJobs     = 12 // jobs that are submitted at the moment of the fault, through two gateways in turn
	lateJobPause = 50 * eventloop.Millisecond
	lateJobSteps = 8
)

// lateSubmissionScenarios lists what makes a gateway deliver a submission after its client has
// given up on it and has cancelled the job through another gateway.
var lateSubmissionScenarios = []Scenario{
	lateSubmissionScenario("gateway cut off from the queue's leader", 0, func(f *Fleet) {
		f.blockLinks(f.disklessGateways[0], f.StorageNodes, 5*eventloop.Second, true, true)
	}),
	lateSubmissionScenario("call read late from a socket", 5*eventloop.Second, func(*Fleet) {}),
	lateSubmissionScenario("all storage nodes silent, then restarted", 0, func(f *Fleet) {
		for _, node := range f.StorageNodes() {
			f.freeze(node, 10*eventloop.Second)
			f.After(4*eventloop.Second, func() { f.kill(node, 10*eventloop.Millisecond) })
		}
	}),
}

// lateSubmissionScenario returns a scenario in which clients submit jobs through one gateway at
// the moment of a fault, and cancel them through another one. The first gateway reads their
// calls after a delay.
func lateSubmissionScenario(name string, readDelay eventloop.Micros, fault func(f *Fleet)) Scenario {
	return Scenario{Name: name, Network: ReliableNetwork, SyncDelay: fastSync, Duration: 25 * eventloop.Second, Inject: func(f *Fleet) {
		f.atLoad(4*eventloop.Second, func() {
			for k := range lateJobs {
				// The first jobs are already on their way when the fault strikes.
				f.After(eventloop.Micros(k)*lateJobPause, func() { f.submitAndCancel(fmt.Sprintf("late-%d", k), readDelay) })
			}
			f.After(2*lateJobPause, func() { fault(f) })
		})
	}}
}

// submitAndCancel submits a job through one gateway without a disk, which reads the call after a
// delay. If no answer has accepted the job after a second, it cancels the job through the other
// gateway without a disk until that is answered.
func (f *Fleet) submitAndCancel(name string, readDelay eventloop.Micros) {
	kind := JobKind{Queue: "quick", Job: chainJob(lateJobSteps)}
	f.submittedJobs[name] = submittedJob{kind.Queue, kind.Job, ""}
	f.Record(checker.Event{Kind: checker.Submit, Actor: "caller", Queue: kind.Queue, Name: name, Spec: kind.Job})
	isConfirmedInTime := false
	f.After(readDelay, func() {
		f.Request(f.disklessGateways[0], clientTimeout, submitRequest(kind.Queue, "late", name, kind.Job), func(answer any) {
			isConfirmedInTime = readDelay == 0 && isConfirmed(responseOf(answer))
		})
	})
	f.After(eventloop.Second, func() {
		if !isConfirmedInTime {
			f.cancelThrough(f.disklessGateways[1], kind.Queue, name)
		}
	})
}

// chainJob returns a job of steps that run one after the other, for a second each. If it runs
// although it was cancelled, some of its tasks start long after the cancel.
func chainJob(steps int) *schema.Job {
	job := &schema.Job{Text: "run_us=1000000"}
	for k := range steps {
		step := &schema.Step{Name: fmt.Sprint("s", k), Tasks: 1, CoresMilli: 100, MemoryMb: 10}
		if k > 0 {
			step.Dependencies = []string{fmt.Sprint("s", k-1)}
		}
		job.Steps = append(job.Steps, step)
	}
	return job
}

// cancelThrough cancels a job through a gateway until there is a final answer.
func (f *Fleet) cancelThrough(node *Host, queue, name string) {
	f.Record(checker.Event{Kind: checker.CancelRequest, Actor: "caller", Queue: queue, Name: name})
	f.askThrough(node, queue, "cancel", name, "", func(code int32, _ *schema.JobView) {
		if code == 0 || code >= 500 {
			f.After(cancelRetryDelay, func() { f.cancelThrough(node, queue, name) })
		}
	})
}

// TestNoStartAfterCancelOfUnknownJob guards against a job that runs after its cancel was answered
// with "no such job", because a gateway delivered its submission only after the cancel.
func TestNoStartAfterCancelOfUnknownJob(t *testing.T) {
	for _, s := range lateSubmissionScenarios {
		for seed := *firstSeed; seed < *firstSeed+uint64(max(*seeds, 3)); seed++ {
			t.Run(fmt.Sprintf("%s/%d", s.Name, seed), func(t *testing.T) {
				t.Parallel()
				f := runSmall(t, s, seed)
				unknown := 0
				for _, e := range f.History {
					if e.Kind == checker.CancelReply && e.Code == 404 {
						unknown++
					}
				}
				t.Logf("%d cancels of unknown jobs", unknown)
			})
		}
	}
}
