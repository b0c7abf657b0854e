// Package checker decides whether a run of the system obeyed the rules of the service. A
// run produces a history: the events that clients, operators and workers observed, ordered
// by time. After the run, Check reads the history and returns a Violation for each breach of
// a rule, as Jepsen's checkers do. The package doesn't use the scheduler's implementation,
// because shared code could hide a fault.
//
// An analysis holds everything that is derived from the history: a jobRecord for each job
// and a taskRun for each time a worker ran a task. Each rule has methods of its own.
package checker

import (
	"fmt"
	"sort"

	"sparnotch/internal/eventloop"
)

// The numbers of the rules, as docs/proof.md lists them.
const (
	ruleJobsKept      = 1  // an accepted job ends, and can be queried until its retention time is over
	ruleRunsOnce      = 2  // a name is one job, and a task never runs twice at the same time
	ruleRequested     = 3  // the tasks that run are those that were submitted
	ruleOrder         = 4  // steps start after their dependencies, and timed jobs after their start time
	ruleFailures      = 5  // a task isn't retried after its last allowed failure
	ruleCapacity      = 6  // the tasks on a worker fit its capacity, and the worker meets their constraints
	ruleDraining      = 7  // a draining worker receives no work
	ruleCancel        = 8  // tasks of cancelled jobs, and tasks that are ordered to stop, stop
	ruleStatus        = 9  // the reported state of a job is correct
	ruleGangs         = 10 // the members of a gang start together
	ruleConfiguration = 11 // accepted configurations are kept, returned and applied
	ruleRecovery      = 12 // service is available, and returns soon after a fault
	ruleQuota         = 13 // the running tasks of a tenant stay within its limit
	ruleKeys          = 14 // a call succeeds only with a key that allows it
	ruleTenants       = 15 // a job belongs to one tenant, and no other tenant can access it
	ruleSizes         = 16 // the share of large jobs that are served is at least half of that of all jobs
)

// Violation represents one breach of a rule. At is in µs since the start of the run.
type Violation struct {
	Rule    int
	At      eventloop.Micros
	Message string
}

func (v Violation) String() string {
	return fmt.Sprintf("rule %d at %d us: %s", v.Rule, v.At, v.Message)
}

// Tolerances holds the delays, in µs, that the rules allow.
type Tolerances struct {
	Retention     eventloop.Micros // minimum time for which an ended job can be queried
	EarlyStart    eventloop.Micros // maximum time by which a timed job may start early
	Drain         eventloop.Micros // maximum time after which a draining worker may still receive work
	Cancel        eventloop.Micros // maximum time from a confirmed cancel to the orders to stop the job's tasks
	Stop          eventloop.Micros // maximum time from the order to stop a task to its end
	Propagation   eventloop.Micros // maximum time from the acceptance of a configuration until all nodes apply it
	Recovery      eventloop.Micros // maximum time from a fault until service is available again
	GangStart     eventloop.Micros // maximum time between the starts of the members of a gang
	LossDetection eventloop.Micros // the scheduler can't know of the loss of a worker within this time of a gang's start
	GatewayReady  eventloop.Micros // maximum time from a gateway's return until it serves requests
	MaxIdle       eventloop.Micros // maximum time for which a ready job may run nothing despite free capacity; 0: not checked
}

// DefaultTolerances holds the tolerances for deployments whose workers poll for orders.
var DefaultTolerances = Tolerances{
	Retention: 120 * eventloop.Second, EarlyStart: 100 * eventloop.Millisecond, Drain: 2 * eventloop.Second,
	Cancel: 3 * eventloop.Second, Stop: eventloop.Second, Propagation: 2 * eventloop.Second, Recovery: 12 * eventloop.Second,
	GangStart: 5 * eventloop.Second, LossDetection: eventloop.Second, GatewayReady: 5 * eventloop.Second,
}

// CalledWorkerTolerances holds the tolerances for deployments in which agents call the
// workers.
var CalledWorkerTolerances = Tolerances{
	Retention: 120 * eventloop.Second, EarlyStart: 250 * eventloop.Millisecond, Drain: 2 * eventloop.Second,
	Cancel: 3 * eventloop.Second, Stop: eventloop.Second, Propagation: 2 * eventloop.Second, Recovery: 12 * eventloop.Second,
	GangStart: 5 * eventloop.Second, LossDetection: eventloop.Second, GatewayReady: 5 * eventloop.Second,
	MaxIdle: 3 * eventloop.Second,
}

// analysis holds a history, the data that is derived from it, and the violations found.
type analysis struct {
	tolerances Tolerances
	history    []Event
	closedAt   eventloop.Micros // time of the last event

	jobs          map[jobKey]*jobRecord
	sortedJobs    []*jobRecord                  // by key
	jobOfTask     map[taskID]*jobRecord         // by taskWithoutName, because stop orders lack the job's name
	workerFaults  map[string][]eventloop.Micros // times of crashes, pauses, partitions and other faults, by worker
	faults        []eventloop.Micros            // times of faults of the system; markOutages adds those of outages
	disturbances  []eventloop.Micros            // times of faults and drains of any worker
	clockReadings []Event                       // Clock events
	outages       []outage

	tenantConfigurations []*tenantConfiguration // in the order of the first answer to each
	tenantOfJob          map[jobKey]string      // tenant that owns the job, if known

	violations []Violation
}

// Check returns all violations in a history, whose events must be ordered by time. The
// violations are ordered by time, then by rule. Check doesn't modify the history.
func Check(history []Event, tolerances Tolerances) []Violation {
	a := &analysis{
		tolerances: tolerances, history: history,
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

// checkJob checks the rules that need the events of a single job only.
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

// isRecovering reports whether a fault of the system or of the worker occurred within the
// interval or less than a recovery time before it. An action may then take a whole recovery
// time.
func (a *analysis) isRecovering(worker string, from, to eventloop.Micros) bool {
	return anyWithin(a.faults, from-a.tolerances.Recovery, to-1) || anyWithin(a.workerFaults[worker], from-a.tolerances.Recovery, to-1)
}

// isDisturbed reports whether a fault of the system, or a fault or drain of any worker,
// occurred within the interval or less than a recovery time before it.
func (a *analysis) isDisturbed(from, to eventloop.Micros) bool {
	return anyWithin(a.faults, from-a.tolerances.Recovery, to) || anyWithin(a.disturbances, from-a.tolerances.Recovery, to)
}

// anyWithin reports whether any of the times is later than after and not later than until.
func anyWithin(times []eventloop.Micros, after, until eventloop.Micros) bool {
	for _, at := range times {
		if at > after && at <= until {
			return true
		}
	}
	return false
}

// wallAt converts the time of an event to wall time, in µs since 1970. It returns false if
// the history has no reading of a wall clock.
func (a *analysis) wallAt(at eventloop.Micros) (int64, bool) {
	if len(a.clockReadings) == 0 {
		return 0, false
	}
	first := a.clockReadings[0]
	return first.WallTime + int64(at-first.At), true
}
