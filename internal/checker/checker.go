// Package checker judges a run by the brief's rules. It reads only the history
// of what callers, workers and operators saw; it knows nothing of the system.
package checker

import (
	"fmt"
	"sort"

	"sparnotch/internal/eventloop"
)

func isTerminal(state string) bool {
	return state == "complete" || state == "failed" || state == "cancelled"
}

// Violation is one broken rule.
type Violation struct {
	Rule    int
	At      eventloop.Micros
	Message string
}

func (b Violation) String() string {
	return fmt.Sprintf("rule %d at %d us: %s", b.Rule, b.At, b.Message)
}

// Bounds are the brief's spans.
type Bounds struct {
	Retention     eventloop.Micros // an ended job is known at least so long
	EarlyStart    eventloop.Micros // a timed job may start so much early
	Drain         eventloop.Micros // work reaches a leaving worker at most so late
	Cancel        eventloop.Micros
	Stop          eventloop.Micros // a task told to stop has ended by then
	Propagation   eventloop.Micros
	Recovery      eventloop.Micros
	GangStart     eventloop.Micros // members of a group begin within this
	LossDetection eventloop.Micros // before a group's first start: a worker lost then wasn't missed yet
	GatewayReady  eventloop.Micros // a front that is back serves by then
	MaxIdle       eventloop.Micros // a job with nothing running begins something where there is room; 0: not judged
}

// DefaultBounds are the brief's bounds.
var DefaultBounds = Bounds{
	Retention: 120 * eventloop.Second, EarlyStart: 100 * eventloop.Millisecond, Drain: 2 * eventloop.Second, Cancel: 3 * eventloop.Second,
	Stop: eventloop.Second, Propagation: 2 * eventloop.Second, Recovery: 12 * eventloop.Second, GangStart: 5 * eventloop.Second, LossDetection: eventloop.Second, GatewayReady: 5 * eventloop.Second,
}

type analysis struct {
	bounds        Bounds
	jobs          map[jobKey]*jobRecord
	byTask        map[taskID]*jobRecord // names are missing in stops
	violations    []Violation
	workerFaults  map[string][]eventloop.Micros // when a worker crashed, froze or was cut off
	faults        []eventloop.Micros
	drains        map[string][]eventloop.Micros
	clockReadings []Event            // right clocks
	disturbances  []eventloop.Micros // when any worker had trouble or left
}

// Check finds every broken rule in a history, which must be in order of time.
func Check(history []Event, bounds Bounds) []Violation {
	analysis := &analysis{
		bounds: bounds, jobs: map[jobKey]*jobRecord{}, byTask: map[taskID]*jobRecord{}, workerFaults: map[string][]eventloop.Micros{},
		drains: map[string][]eventloop.Micros{},
	}
	analysis.readHistory(history)
	keys := make([]jobKey, 0, len(analysis.jobs))
	for key := range analysis.jobs {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(a, b int) bool { return keys[a].queue+"/"+keys[a].name < keys[b].queue+"/"+keys[b].name })
	closedAt := eventloop.Micros(0)
	if len(history) > 0 {
		closedAt = history[len(history)-1].At
	}
	for _, key := range keys {
		analysis.checkJob(analysis.jobs[key], closedAt)
	}
	analysis.checkCapacity(history)
	analysis.checkDraining(history)
	analysis.checkConfigurations(history)
	analysis.checkConfigurationEffects(history)
	analysis.checkPlacement(history)
	if bounds.MaxIdle > 0 {
		analysis.checkIdleJobs(history)
	}
	analysis.checkSubmissionsRecover(history)
	analysis.checkServiceRecovers(history)
	analysis.checkWorkersAnswered(history)
	sort.SliceStable(analysis.violations, func(a, b int) bool {
		x, y := analysis.violations[a], analysis.violations[b]
		return x.At < y.At || x.At == y.At && (x.Rule < y.Rule || x.Rule == y.Rule && x.Message < y.Message)
	})
	return analysis.violations
}

func (a *analysis) report(rule int, at eventloop.Micros, form string, args ...any) {
	a.violations = append(a.violations, Violation{rule, at, fmt.Sprintf(form, args...)})
}

// recordStatus takes in an answer that shows a job's state.
func (a *analysis) recordStatus(job *jobRecord, e *Event) {
	job.statuses = append(job.statuses, *e)
	if e.Code < 300 && isTerminal(e.State) && !job.isTerminal {
		job.isTerminal, job.terminalAt = true, e.At
	}
}
