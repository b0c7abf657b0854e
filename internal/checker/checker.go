// Package checker decides whether a run kept the rules of the service. A run leaves a
// history: the events that clients, operators and workers saw, in order of time. Check
// reads it afterwards and reports a Violation for each rule that was broken, as Jepsen's
// checkers do. It knows nothing of the implementation, so that no shared code can hide
// a fault.
//
// An analysis owns everything that is derived from the history: a jobRecord for each job
// and a taskRun for each time a worker ran a task. Each rule is a method of its own.
package checker

import (
	"fmt"
	"sort"

	"sparnotch/internal/eventloop"
)

// The numbers of the rules, as docs/proof.md lists them.
const (
	ruleJobsKept      = 1 // an accepted job ends, and is known until well after its end
	ruleRunsOnce      = 2 // one job per name, at most one concurrent run of a task
	ruleRequested     = 3 // what runs is what was submitted
	ruleOrder         = 4 // steps after their dependencies, timed jobs after their time
	ruleFailures      = 5 // no retry after the last allowed failure
	ruleCapacity      = 6 // what runs on a worker fits it
	ruleDraining      = 7 // no work for a worker that drains
	ruleCancel        = 8 // cancelled jobs and stopped tasks stop
	ruleStatus        = 9 // what is shown of a job is true
	ruleGangs         = 10
	ruleConfiguration = 11
	ruleRecovery      = 12
	ruleQuota         = 13 // what a tenant runs stays within its limit
	ruleKeys          = 14 // calls are answered as their keys allow
	ruleTenants       = 15 // a job is one tenant's and is shown to no other
	ruleSizes         = 16 // large jobs are served nearly as often as others
)

// Violation is one broken rule. At is in µs since the start of the run.
type Violation struct {
	Rule    int
	At      eventloop.Micros
	Message string
}

func (v Violation) String() string {
	return fmt.Sprintf("rule %d at %d us: %s", v.Rule, v.At, v.Message)
}

// Tolerances are the delays, in µs, that the rules allow.
type Tolerances struct {
	Retention     eventloop.Micros // an ended job is known at least this long
	EarlyStart    eventloop.Micros // a timed job may start at most this early
	Drain         eventloop.Micros // work reaches a draining worker at most this late
	Cancel        eventloop.Micros // a cancelled job's tasks are told to stop by then
	Stop          eventloop.Micros // a task that was told to stop has ended by then
	Propagation   eventloop.Micros // an accepted configuration is in force by then
	Recovery      eventloop.Micros // service is back this long after a fault
	GangStart     eventloop.Micros // the members of a gang start within this
	LossDetection eventloop.Micros // a loss this close to a gang's first start can't be known to the scheduler
	GatewayReady  eventloop.Micros // a gateway that is back serves by then
	MaxIdle       eventloop.Micros // a job starts a task by then if there is capacity; 0: not checked
}

// DefaultTolerances are the bounds of a deployment whose workers poll for their orders.
var DefaultTolerances = Tolerances{
	Retention: 120 * eventloop.Second, EarlyStart: 100 * eventloop.Millisecond, Drain: 2 * eventloop.Second,
	Cancel: 3 * eventloop.Second, Stop: eventloop.Second, Propagation: 2 * eventloop.Second, Recovery: 12 * eventloop.Second,
	GangStart: 5 * eventloop.Second, LossDetection: eventloop.Second, GatewayReady: 5 * eventloop.Second,
}

// CalledWorkerTolerances are the bounds of a deployment whose workers are called by agents.
var CalledWorkerTolerances = Tolerances{
	Retention: 120 * eventloop.Second, EarlyStart: 250 * eventloop.Millisecond, Drain: 2 * eventloop.Second,
	Cancel: 3 * eventloop.Second, Stop: eventloop.Second, Propagation: 2 * eventloop.Second, Recovery: 12 * eventloop.Second,
	GangStart: 5 * eventloop.Second, LossDetection: eventloop.Second, GatewayReady: 5 * eventloop.Second,
	MaxIdle: 3 * eventloop.Second,
}

// analysis is one history under examination.
type analysis struct {
	bounds   Tolerances
	history  []Event
	closedAt eventloop.Micros // the last event's time

	jobs          map[jobKey]*jobRecord
	sortedJobs    []*jobRecord                  // by key
	jobOfTask     map[taskID]*jobRecord         // by taskWithoutName: stop orders don't name the job
	workerFaults  map[string][]eventloop.Micros // crashes, pauses and partitions, by worker
	faults        []eventloop.Micros            // faults of the system
	disturbances  []eventloop.Micros            // faults and drains of any worker
	clockReadings []Event                       // of correct wall clocks
	outages       []outage

	tenantConfigurations []*tenantConfiguration // in the order in which they were sent
	tenantOfJob          map[jobKey]string      // that submitted it, where that is known

	violations []Violation
}

// Check returns every violation in a history, whose events must be in order of time.
// The violations are in order of time, then of rule. The history isn't changed.
func Check(history []Event, bounds Tolerances) []Violation {
	a := &analysis{
		bounds: bounds, history: history,
		jobs: map[jobKey]*jobRecord{}, jobOfTask: map[taskID]*jobRecord{}, workerFaults: map[string][]eventloop.Micros{},
		tenantOfJob: map[jobKey]string{},
	}
	if len(history) > 0 {
		a.closedAt = history[len(history)-1].At
	}
	a.readHistory()
	a.markOutages()
	a.readTenantConfigurations()
	a.readTenantsOfJobs()
	for _, job := range a.sortedJobs {
		a.checkJob(job)
	}
	a.checkCapacity()
	a.checkPlacement()
	a.checkDraining()
	a.checkConfigurations()
	a.checkConfigurationEffects()
	a.checkQuotas()
	a.checkKeys()
	a.checkTenantsOfJobs()
	a.checkIdleJobs()
	a.checkSubmissionsRecover()
	a.checkServicesRecover()
	a.checkUndisturbedRequests()
	a.checkWorkersAnswered()
	sort.SliceStable(a.violations, func(i, j int) bool {
		x, y := a.violations[i], a.violations[j]
		return x.At < y.At || x.At == y.At && (x.Rule < y.Rule || x.Rule == y.Rule && x.Message < y.Message)
	})
	return a.violations
}

// checkJob checks the rules that concern one job alone.
func (a *analysis) checkJob(job *jobRecord) {
	a.checkAcceptedJobEnds(job)
	a.checkAcceptedJobIsKnown(job)
	a.checkCreatedOnce(job)
	a.checkStateNeverOlder(job)
	a.checkOneJobPerName(job)
	a.checkRunWasRequested(job)
	for _, id := range job.tasks() {
		a.checkTask(job, id)
	}
	if job.spec == nil {
		return
	}
	a.checkStartTimes(job)
	a.checkDependencies(job)
	a.checkTerminalStatus(job)
	if job.isCalled {
		a.checkCalledJob(job)
	} else {
		a.checkGangStarts(job)
	}
}

func (a *analysis) report(rule int, at eventloop.Micros, format string, args ...any) {
	a.violations = append(a.violations, Violation{rule, at, fmt.Sprintf(format, args...)})
}

// isRecovering reports whether a fault of the system or of the worker lies so near that
// what is asked of the system may take a whole recovery.
func (a *analysis) isRecovering(worker string, from, to eventloop.Micros) bool {
	return anyWithin(a.faults, from-a.bounds.Recovery, to-1) || anyWithin(a.workerFaults[worker], from-a.bounds.Recovery, to-1)
}

// isDisturbed reports whether a fault of the system, or a fault or drain of any worker,
// lies near.
func (a *analysis) isDisturbed(from, to eventloop.Micros) bool {
	return anyWithin(a.faults, from-a.bounds.Recovery, to) || anyWithin(a.disturbances, from-a.bounds.Recovery, to)
}

// anyWithin reports whether any of the times lies after one moment and not after another.
func anyWithin(times []eventloop.Micros, after, until eventloop.Micros) bool {
	for _, at := range times {
		if at > after && at <= until {
			return true
		}
	}
	return false
}

// wallAt is what a correct wall clock showed at a moment, in µs since 1970; false if the
// history has no reading.
func (a *analysis) wallAt(at eventloop.Micros) (int64, bool) {
	if len(a.clockReadings) == 0 {
		return 0, false
	}
	first := a.clockReadings[0]
	return first.WallTime + int64(at-first.At), true
}
