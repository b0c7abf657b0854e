// Package checker judges a run by the brief's rules. It reads only the history
// of what callers, workers and operators saw; it knows nothing of the system.
package checker

import (
	"fmt"
	"sort"

	"sparnotch/internal/eventloop"
)

func isOver(state string) bool {
	return state == "complete" || state == "failed" || state == "cancelled"
}

// Breach is one broken rule.
type Breach struct {
	Rule int
	At   eventloop.Micros
	What string
}

func (b Breach) String() string { return fmt.Sprintf("rule %d at %d us: %s", b.Rule, b.At, b.What) }

// Bounds are the brief's spans.
type Bounds struct {
	Kept     eventloop.Micros // an ended job is known at least so long
	Early    eventloop.Micros // a timed job may start so much early
	Leave    eventloop.Micros // work reaches a leaving worker at most so late
	Cancel   eventloop.Micros
	Stop     eventloop.Micros // a task told to stop has ended by then
	Plan     eventloop.Micros
	Away     eventloop.Micros
	Together eventloop.Micros // members of a group begin within this
	Struck   eventloop.Micros // before a group's first start: a worker lost then wasn't missed yet
	Settle   eventloop.Micros // a front that is back serves by then
	Idle     eventloop.Micros // a job with nothing running begins something where there is room; 0: not judged
}

// Usual are the brief's bounds.
var Usual = Bounds{
	Kept: 120 * eventloop.Second, Early: 100 * eventloop.Millisecond, Leave: 2 * eventloop.Second, Cancel: 3 * eventloop.Second,
	Stop: eventloop.Second, Plan: 2 * eventloop.Second, Away: 12 * eventloop.Second, Together: 5 * eventloop.Second, Struck: eventloop.Second, Settle: 5 * eventloop.Second,
}

type judge struct {
	bounds   Bounds
	accounts map[jobKey]*account
	byTask   map[taskId]*account // names are missing in stops
	breaches []Breach
	troubles map[string][]eventloop.Micros // when a worker crashed, froze or was cut off
	faults   []eventloop.Micros
	leaves   map[string][]eventloop.Micros
	walls    []Event            // right clocks
	sick     []eventloop.Micros // when any worker had trouble or left
}

// Judge finds every broken rule in a history, which must be in order of time.
func Judge(history []Event, bounds Bounds) []Breach {
	j := &judge{
		bounds: bounds, accounts: map[jobKey]*account{}, byTask: map[taskId]*account{}, troubles: map[string][]eventloop.Micros{},
		leaves: map[string][]eventloop.Micros{},
	}
	j.read(history)
	keys := make([]jobKey, 0, len(j.accounts))
	for key := range j.accounts {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(a, b int) bool { return keys[a].queue+"/"+keys[a].name < keys[b].queue+"/"+keys[b].name })
	closed := eventloop.Micros(0)
	if len(history) > 0 {
		closed = history[len(history)-1].At
	}
	for _, key := range keys {
		j.judgeJob(j.accounts[key], closed)
	}
	j.rooms(history)
	j.leaving(history)
	j.plans(history)
	j.effects(history)
	j.places(history)
	if bounds.Idle > 0 {
		j.idle(history)
	}
	j.away(history)
	j.served(history)
	j.answered(history)
	sort.SliceStable(j.breaches, func(a, b int) bool {
		x, y := j.breaches[a], j.breaches[b]
		return x.At < y.At || x.At == y.At && (x.Rule < y.Rule || x.Rule == y.Rule && x.What < y.What)
	})
	return j.breaches
}

func (j *judge) breach(rule int, at eventloop.Micros, form string, args ...any) {
	j.breaches = append(j.breaches, Breach{rule, at, fmt.Sprintf(form, args...)})
}

// shown takes in an answer that shows a job's state.
func (j *judge) shown(a *account, e *Event) {
	a.statuses = append(a.statuses, *e)
	if e.Code < 300 && isOver(e.State) && !a.isOver {
		a.isOver, a.overAt = true, e.At
	}
}
