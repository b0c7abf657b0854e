// Package checker judges a run by the brief's rules. It reads only the history
// of what callers, workers and operators saw; it knows nothing of the system.
package checker

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Kinds of events.
const (
	HandIn      = "hand-in"       // a caller sends a job
	HandInReply = "hand-in-reply" // and is answered (code 0: no answer)
	Status      = "status"        // a caller's question was answered
	CancelReply = "cancel-reply"
	Up          = "worker-up" // a worker starts, with its room
	Gone        = "worker-gone"
	Pause       = "worker-paused" // a worker and its tasks stand frozen
	Resume      = "worker-resumed"
	Cut         = "worker-cut" // a worker is cut off from everybody, or no longer
	Leave       = "leave"      // a worker says that it leaves
	Order       = "order"      // a worker takes an order
	Begin       = "begin"      // a task begins to run
	End         = "end"        // and ends
	Reported    = "reported"   // the answer to a worker's word that a task failed has come
	LetGo       = "let-go"     // what was ordered is given up without having begun
	PlanSent    = "plan-sent"  // an operator sends a table
	PlanPut     = "plan-put"   // and is answered
	PlanRead    = "plan-read"
	Fault       = "fault"       // something major was done to the system
	Away        = "front-away"  // a front that can reach no quorum, or is down
	Back        = "front-back"  // and is up and reaches one
	Heard       = "heard"       // a worker was answered, told once a second
	CancelSent  = "cancel-sent" // a caller asks for a cancel
	Noted       = "noted"       // a worker was told that an end is known; state lapsed: its hold had ended in between
	Kept        = "kept"        // a worker shows the progress of a run
	Sick        = "worker-sick" // a worker was made slow, deaf or faulty
	Clock       = "clock"       // what a right wall clock shows
	Close       = "close"       // end of the run; what isn't over by now is late
)

// Mended is the state of a Cut that is over.
const Mended = "mended"

// AnswerLost is the state of a HandInReply or PlanPut of code 0 that stands for
// an acknowledgement which got lost on its way to the caller. Invalid is that of
// a PlanPut of a table that must be refused.
const (
	AnswerLost = "answer-lost"
	Invalid    = "invalid"
)

// Event is one thing somebody saw.
type Event struct {
	At          eventloop.Micros `json:"at"`
	Kind        string           `json:"kind"`
	Who         string           `json:"who,omitempty"`
	Queue       string           `json:"queue,omitempty"`
	Name        string           `json:"name,omitempty"`
	Job         uint64           `json:"job,omitempty"`
	Step        uint32           `json:"step"`
	Task        uint32           `json:"task"`
	Attempt     uint32           `json:"attempt,omitempty"`
	Code        int32            `json:"code,omitempty"`
	State       string           `json:"state,omitempty"` // of a job, of an end, or an order's act
	Generation  uint64           `json:"generation,omitempty"`
	Cores       int64            `json:"cores,omitempty"`
	Memory      int64            `json:"memory,omitempty"`
	Incarnation uint64           `json:"incarnation,omitempty"`
	Spec        *schema.Job      `json:"spec,omitempty"`

	Front string           `json:"front,omitempty"` // through which a request went
	Sent  eventloop.Micros `json:"sent,omitempty"`  // when the request was sent that this answers
	Rack  string           `json:"rack,omitempty"`
	Built uint64           `json:"built,omitempty"` // the generation a sheet was built on
	Rows  []*schema.Row    `json:"rows,omitempty"`  // of a table that was put or read
	Wall  int64            `json:"wall,omitempty"`

	IsCalled     bool     `json:"called,omitempty"` // of a worker that is called: its groups gather, its ends are noted
	IsLate       bool     `json:"late,omitempty"`   // carried out late by the worker
	Accelerators int64    `json:"accelerators,omitempty"`
	Pool         string   `json:"pool,omitempty"`
	Labels       []string `json:"labels,omitempty"`
	Text         string   `json:"text,omitempty"`     // that a start carried
	Saved        string   `json:"saved,omitempty"`    // that a start carried, or an end left
	Document     string   `json:"document,omitempty"` // that came with a table
}

// sent is when the request was sent that an event answers.
func (e *Event) sent() eventloop.Micros {
	if e.Sent > 0 {
		return e.Sent
	}
	return e.At
}

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
	Kept: 120 * eventloop.Second, Early: 100 * eventloop.Milli, Leave: 2 * eventloop.Second, Cancel: 3 * eventloop.Second,
	Stop: eventloop.Second, Plan: 2 * eventloop.Second, Away: 12 * eventloop.Second, Together: 5 * eventloop.Second, Struck: eventloop.Second, Settle: 5 * eventloop.Second,
}

type jobKey struct{ queue, name string }

type taskId struct {
	jobKey
	job        uint64
	step, task uint32
}

type stint struct {
	begin, end  eventloop.Micros // end 0: still running at the close
	worker      string
	incarnation uint64
	attempt     uint32
	outcome     string
	cores, mem  int64
	told        eventloop.Micros // told to stop
	reported    eventloop.Micros // its failure, and that was answered
	isResumed   bool             // goes on after its worker was frozen
	noted       eventloop.Micros // its end, and the worker's hold hadn't ended in between
	isLate      bool
	text, saved string
}

type account struct {
	key       jobKey
	spec      *schema.Job
	firstSent eventloop.Micros
	sent      int
	refused   int // answered with a final no
	accepted  eventloop.Micros
	isTaken   bool
	created   int // answers of 201
	isOver    bool
	overAt    eventloop.Micros
	askedEnd  eventloop.Micros // when a cancel was first asked for
	cancelled eventloop.Micros // and confirmed
	ids       map[uint64]bool
	stints    map[taskId][]*stint
	statuses  []Event
	holds     map[taskId][]Event
	isCalled  bool               // ran on called workers
	kept      map[taskId][]Event // progress that was shown or left
}

// step is the content of one of the job's steps; those of round K follow those
// of the rounds before.
func (a *account) step(number uint32) *schema.Step {
	if a.spec == nil || len(a.spec.Steps) == 0 || int(number) >= a.steps() {
		return nil
	}
	return a.spec.Steps[int(number)%len(a.spec.Steps)]
}

// steps counts them over all rounds.
func (a *account) steps() int { return len(a.spec.Steps) * int(max(a.spec.Rounds, 1)) }

// isGathered tells whether one end of a member stands for the whole group.
func (a *account) isGathered(step *schema.Step) bool {
	return a.isCalled && step.Together && step.Tasks > 1
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

func (j *judge) account(e *Event) *account {
	key := jobKey{e.Queue, e.Name}
	a := j.accounts[key]
	if a == nil {
		a = &account{key: key, ids: map[uint64]bool{}, stints: map[taskId][]*stint{}, holds: map[taskId][]Event{}, kept: map[taskId][]Event{}}
		j.accounts[key] = a
	}
	return a
}

// bare is the task without its job's name.
func (e *Event) bare() taskId { return taskId{jobKey{queue: e.Queue}, e.Job, e.Step, e.Task} }

// shown takes in an answer that shows a job's state.
func (j *judge) shown(a *account, e *Event) {
	a.statuses = append(a.statuses, *e)
	if e.Code < 300 && isOver(e.State) && !a.isOver {
		a.isOver, a.overAt = true, e.At
	}
}

func (e *Event) id() taskId { return taskId{jobKey{e.Queue, e.Name}, e.Job, e.Step, e.Task} }

func (a *account) open(e *Event) *stint {
	for _, s := range a.stints[e.id()] {
		if s.end == 0 && s.worker == e.Who && s.attempt == e.Attempt {
			return s
		}
	}
	return nil
}

func (j *judge) read(history []Event) {
	for k := range history {
		e := &history[k]
		switch e.Kind {
		case HandIn:
			a := j.account(e)
			a.sent++
			if a.spec == nil {
				a.spec, a.firstSent = e.Spec, e.At
			}
		case HandInReply:
			a := j.account(e)
			switch {
			case e.Code == 200 || e.Code == 201:
				if e.Code == 201 {
					a.created++
				}
				if !a.isTaken {
					a.isTaken, a.accepted = true, e.At
				}
				j.shown(a, e)
			case e.Code >= 400 && e.Code < 500 || e.Code == 503:
				// Either says that the request was turned away.
				a.refused++
			}
		case Status:
			j.shown(j.account(e), e)
		case CancelSent:
			if a := j.account(e); a.askedEnd == 0 {
				a.askedEnd = e.At
			}
		case CancelReply:
			a := j.account(e)
			if e.Code == 200 && a.cancelled == 0 {
				a.cancelled = e.At
			}
			if e.Code == 200 && a.askedEnd == 0 {
				a.askedEnd = e.sent()
			}
			j.shown(a, e)
		case Fault:
			j.faults = append(j.faults, e.At)
		case Leave:
			j.leaves[e.Who] = append(j.leaves[e.Who], e.At)
			j.sick = append(j.sick, e.At)
		case Sick:
			j.trouble(e)
		case Clock:
			j.walls = append(j.walls, *e)
		case Begin:
			a := j.account(e)
			a.ids[e.Job] = true
			j.byTask[e.bare()] = a
			a.stints[e.id()] = append(a.stints[e.id()], &stint{
				begin: e.At, worker: e.Who, incarnation: e.Incarnation, attempt: e.Attempt, cores: e.Cores, mem: e.Memory,
				isLate: e.IsLate, text: e.Text, saved: e.Saved,
			})
			a.isCalled = a.isCalled || e.IsCalled
		case Kept:
			a := j.account(e)
			a.kept[e.id()] = append(a.kept[e.id()], *e)
		case End:
			a := j.account(e)
			if s := a.open(e); s != nil {
				s.end, s.outcome = e.At, e.State
			}
			if e.Saved != "" {
				a.kept[e.id()] = append(a.kept[e.id()], *e)
			}
		case Noted:
			for _, s := range j.account(e).stints[e.id()] {
				if s.worker == e.Who && s.attempt == e.Attempt && s.end > 0 && s.noted == 0 && e.State != "lapsed" {
					s.noted = e.At
				}
			}
		case Reported:
			if a := j.byTask[e.bare()]; a != nil {
				for _, s := range a.stints[taskId{a.key, e.Job, e.Step, e.Task}] {
					if s.worker == e.Who && s.attempt == e.Attempt && s.reported == 0 {
						s.reported = e.At
					}
				}
			}
		case Order:
			if e.State == "hold" {
				a := j.account(e)
				a.holds[e.id()] = append(a.holds[e.id()], *e)
			}
			if e.State == "stop" {
				// A stop names the task; the job's name may be missing in it.
				if a := j.byTask[e.bare()]; a != nil {
					id := taskId{a.key, e.Job, e.Step, e.Task}
					for _, s := range a.stints[id] {
						if s.end == 0 && s.worker == e.Who && s.attempt == e.Attempt && s.told == 0 {
							s.told = e.At
						}
					}
				}
			}
		case Gone:
			j.trouble(e)
			j.eachOpen(e.Who, func(a *account, id taskId, s *stint) { s.end, s.outcome = e.At, "gone" })
		case Pause:
			j.trouble(e)
			j.eachOpen(e.Who, func(a *account, id taskId, s *stint) { s.end, s.outcome = e.At, "paused" })
		case Cut:
			if e.State != Mended {
				j.trouble(e)
			}
		case Resume:
			j.resume(e)
		}
	}
}

func (j *judge) trouble(e *Event) {
	j.troubles[e.Who] = append(j.troubles[e.Who], e.At)
	j.sick = append(j.sick, e.At)
}

func (j *judge) eachOpen(worker string, call func(a *account, id taskId, s *stint)) {
	for _, a := range j.accounts {
		for id, list := range a.stints {
			for _, s := range list {
				if s.end == 0 && s.worker == worker {
					call(a, id, s)
				}
			}
		}
	}
}

// resume lets what was frozen run on: a stint of its own, which is no trouble
// if the worker ends it at once.
func (j *judge) resume(e *Event) {
	for _, a := range j.accounts {
		for id, list := range a.stints {
			for _, s := range list {
				if s.worker == e.Who && s.outcome == "paused" {
					s.outcome = "frozen"
					again := *s
					again.begin, again.end, again.outcome, again.isResumed = e.At, 0, "", true
					a.stints[id] = append(a.stints[id], &again)
				}
			}
		}
	}
}

func (j *judge) judgeJob(a *account, closed eventloop.Micros) {
	name := a.key.queue + "/" + a.key.name
	// 1: accepted, so it ends; and until well after its end it is known.
	if a.isTaken && !a.isOver {
		j.breach(1, closed, "%s was accepted at %d and had not ended at the close", name, a.accepted)
	}
	// The end counts from when the last of it was seen to end, which may be
	// before anybody asked.
	endAt := a.endAt()
	for _, s := range a.statuses {
		isKept := !a.isOver || s.At < endAt+j.bounds.Kept
		if s.Code == 404 && s.Kind != HandInReply && a.isTaken && s.sent() > a.accepted && isKept {
			j.breach(1, s.At, "%s was accepted at %d and is unknown to %s", name, a.accepted, s.Front)
			break
		}
	}
	// A job that is made a second time was forgotten in between.
	if a.created > 1 && closed < endAt+j.bounds.Kept {
		j.breach(1, closed, "%s was made %d times", name, a.created)
	}
	// 2: one name, one job; one task, one stint at a time.
	if len(a.ids) > 1 {
		j.breach(2, a.accepted, "%s ran as %d jobs", name, len(a.ids))
	}
	ids := make([]taskId, 0, len(a.stints))
	for id := range a.stints {
		ids = append(ids, id)
	}
	sortIDs(ids)
	for _, id := range ids {
		j.judgeTask(a, id, a.stints[id], closed)
	}
	// 3: nothing runs that nobody asked for, or that was only ever turned away.
	if len(ids) > 0 && a.sent == 0 && a.isCalled {
		j.breach(3, a.stints[ids[0]][0].begin, "%s runs though nobody handed it in", name)
	}
	if len(ids) > 0 && a.sent > 0 && a.refused == a.sent {
		j.breach(3, a.stints[ids[0]][0].begin, "%s ran though every hand-in was turned away", name)
	}
	if a.spec == nil {
		return
	}
	j.judgeOrder(a, name, ids)
	j.judgeComplete(a, name)
	j.judgeGroups(a, name, closed)
	if a.isCalled {
		j.judgeCalled(a, name, ids)
	}
}

// endAt is when the job's last task ended, as far as it was seen; without any,
// when somebody was first told that it is over.
func (a *account) endAt() eventloop.Micros {
	last := eventloop.Micros(0)
	for _, list := range a.stints {
		for _, s := range list {
			if s.end > last && s.end <= a.overAt {
				last = s.end
			}
		}
	}
	if last == 0 {
		return a.overAt
	}
	return last
}

// isAmid tells whether a fault, or trouble of the worker, lies so near that
// what is asked of the system may take a whole recovery.
func (j *judge) isAmid(worker string, from, to eventloop.Micros) bool {
	for _, list := range [][]eventloop.Micros{j.faults, j.troubles[worker]} {
		for _, at := range list {
			if at > from-j.bounds.Away && at < to {
				return true
			}
		}
	}
	return false
}

func (j *judge) judgeTask(a *account, id taskId, list []*stint, closed eventloop.Micros) {
	what := fmt.Sprintf("%s/%s step %d task %d", id.queue, id.name, id.step, id.task)
	sort.SliceStable(list, func(x, y int) bool { return list[x].begin < list[y].begin })
	failures := uint32(0)
	allowed := ^uint32(0)
	if step := a.step(id.step); step != nil && !step.Lasting {
		allowed = step.AllowedFailures
	}
	for k, s := range list {
		for _, other := range list[:k] {
			if s.end == s.begin && s.isResumed {
				continue
			}
			if other.end == 0 || other.end > s.begin {
				j.breach(2, s.begin, "%s runs on %s while it runs on %s since %d", what, s.worker, other.worker, other.begin)
			}
		}
		// 5: `failures` are those known before this stint began. What a worker
		// that is cut off hasn't been able to tell, nobody can count; from the
		// answer to its word on it counts.
		failures = 0
		for _, other := range list[:k] {
			if a.isCalled {
				break
			}
			if other.outcome == "failed" && other.reported > 0 && other.reported <= s.begin {
				failures++
			}
		}
		if failures > allowed && !s.isResumed {
			j.breach(5, s.begin, "%s runs again after %d failures, %d were allowed", what, failures, allowed)
		}
		// 8: nothing starts long after a cancel, nor runs on when told to stop.
		if a.cancelled > 0 && s.begin > a.cancelled+j.bounds.Cancel && !s.isResumed && !s.isLate {
			j.breach(8, s.begin, "%s starts %d us after its job was cancelled", what, s.begin-a.cancelled)
		}
		// What runs when the cancel is confirmed is told so, in the same span.
		if a.cancelled > 0 && !s.isLate && s.begin <= a.cancelled && (s.end == 0 || s.end > a.cancelled) && !s.isResumed {
			until := a.cancelled + j.bounds.Cancel + j.bounds.Stop
			if j.isAmid(s.worker, a.cancelled, until) {
				until += j.bounds.Away
			}
			if s.end > until || s.end == 0 && until < closed {
				j.breach(8, s.begin, "%s runs on %d us after its job was cancelled", what, max(s.end, until)-a.cancelled)
			}
		}
		if s.told > 0 && (s.end == 0 || s.end > s.told+j.bounds.Stop) {
			j.breach(8, s.told, "%s runs on after it was told to stop", what)
		}
	}
}

// judgeOrder: 4, steps after their dependencies, timed jobs after their time.
func (j *judge) judgeOrder(a *account, name string, ids []taskId) {
	index := map[string]int{}
	for k, step := range a.spec.Steps {
		index[step.Name] = k
	}
	for _, id := range ids {
		step := a.step(id.step)
		if step == nil {
			continue
		}
		round := int(id.step) / len(a.spec.Steps)
		for _, s := range a.stints[id] {
			due := a.firstSent + eventloop.Micros(a.spec.DelayUs+int64(round)*a.spec.EveryUs)
			if due > a.firstSent && a.spec.StartWallUs == 0 && s.begin < due-j.bounds.Early {
				j.breach(4, s.begin, "%s starts round %d %d us early", name, round, due-s.begin)
			}
			moment := a.spec.StartWallUs + int64(round)*a.spec.EveryUs
			if wall, isKnown := j.wallAt(s.begin); a.spec.StartWallUs > 0 && isKnown && wall < moment-int64(j.bounds.Early) {
				j.breach(4, s.begin, "%s starts round %d %d us before its moment", name, round, moment-wall)
			}
			for _, dependency := range step.After {
				d := index[dependency]
				for t := uint32(0); t < a.spec.Steps[d].Tasks; t++ {
					if !a.doneBy(taskId{a.key, id.job, uint32(round*len(a.spec.Steps) + d), t}, s.begin) {
						j.breach(4, s.begin, "%s step %d starts before task %d of step %q is done", name, id.step, t, dependency)
					}
				}
			}
		}
	}
}

// wallAt is what a right clock showed at a moment.
func (j *judge) wallAt(at eventloop.Micros) (int64, bool) {
	if len(j.walls) == 0 {
		return 0, false
	}
	return j.walls[0].Wall + int64(at-j.walls[0].At), true
}

func (a *account) doneBy(id taskId, at eventloop.Micros) bool {
	if step := a.step(id.step); step != nil && a.isGathered(step) {
		for t := uint32(0); t < step.Tasks; t++ {
			id.task = t
			if a.isDoneBy(id, at) {
				return true
			}
		}
		return false
	}
	return a.isDoneBy(id, at)
}

func (a *account) isDoneBy(id taskId, at eventloop.Micros) bool {
	for _, s := range a.stints[id] {
		if s.outcome == "done" && s.end <= at {
			return true
		}
	}
	return false
}

// judgeComplete: 9, shown complete only when every task is done and none runs,
// by whatever answer shows it; and what is over stays as it ended.
func (j *judge) judgeComplete(a *account, name string) {
	for _, s := range a.statuses {
		if s.Code >= 300 || !isOver(s.State) {
			continue
		}
		for _, later := range a.statuses {
			if later.Code < 300 && later.State != "" && later.sent() > s.At && later.State != s.State {
				j.breach(9, later.At, "%s was shown %s at %d and is shown %s", name, s.State, s.At, later.State)
				return
			}
		}
		break
	}
	for _, s := range a.statuses {
		if s.Code >= 300 || s.State != "complete" {
			continue
		}
		for k := range a.steps() {
			step := a.step(uint32(k))
			for t := uint32(0); t < step.Tasks; t++ {
				isDone := false
				for id := range a.ids {
					task := taskId{a.key, id, uint32(k), t}
					isDone = isDone || a.doneBy(task, s.At)
					for _, run := range a.stints[task] {
						if !run.isResumed && !a.isGathered(step) && (run.end == 0 || run.end > s.At) {
							j.breach(9, s.At, "%s is shown complete, step %d task %d runs", name, k, t)
						}
					}
				}
				if !isDone {
					j.breach(9, s.At, "%s is shown complete, step %d task %d isn't done", name, k, t)
				}
			}
		}
		return
	}
}

// judgeGroups: 10, whoever begins sees all the others begin.
func (j *judge) judgeGroups(a *account, name string, closed eventloop.Micros) {
	for k := range a.steps() {
		step := a.step(uint32(k))
		if !step.Together || step.Tasks < 2 || a.isCalled {
			continue
		}
		for job := range a.ids {
			for t := uint32(0); t < step.Tasks; t++ {
				for _, s := range a.stints[taskId{a.key, job, uint32(k), t}] {
					if s.begin+j.bounds.Together > closed || s.isResumed {
						continue
					}
					for other := uint32(0); other < step.Tasks; other++ {
						id := taskId{a.key, job, uint32(k), other}
						if a.beganNear(id, s.begin, j.bounds.Together) {
							continue
						}
						if !j.isUnavoidable(a, s, a.holds[id]) {
							j.breach(10, s.begin, "%s step %d: task %d begins and task %d doesn't", name, k, t, other)
						} else if until := s.begin + j.bounds.Away; s.end > until || s.end == 0 && until < closed {
							j.breach(10, s.begin, "%s step %d: task %d runs on though task %d never began", name, k, t, other)
						}
					}
				}
			}
		}
	}
}

// isUnavoidable tells whether no scheduler could have kept the group whole:
// the worker that held the other member was lost in the moment between the
// last word of it and its start, the job was being cancelled, or the member
// that did begin had failed by itself before the other's order could arrive.
func (j *judge) isUnavoidable(a *account, s *stint, holds []Event) bool {
	if a.askedEnd > 0 && a.askedEnd < s.begin+j.bounds.Together {
		return true
	}
	if s.outcome == "failed" && s.end < s.begin+100*eventloop.Milli {
		return true
	}
	for k := len(holds) - 1; k >= 0; k-- {
		if holds[k].At > s.begin {
			continue
		}
		for _, at := range j.troubles[holds[k].Who] {
			if at > s.begin-j.bounds.Struck && at < s.begin+j.bounds.Struck {
				return true
			}
		}
		return false
	}
	return false
}

func (a *account) beganNear(id taskId, at, span eventloop.Micros) bool {
	for _, s := range a.stints[id] {
		if s.begin > at-span && s.begin < at+span {
			return true
		}
	}
	return false
}

// rooms: 6, what runs on a worker fits it at every moment. A worker that
// starts again begins empty, with the room it then has; two processes that
// bear one name are two machines, each with its own room.
func (j *judge) rooms(history []Event) {
	type load struct {
		cores, memory, roomCores, roomMemory int64
		accelerators, roomAccelerators       int64
		running                              map[string]*Event
		isTold                               bool
	}
	type machine struct {
		who         string
		incarnation uint64
	}
	workers := map[machine]*load{}
	for k := range history {
		e := &history[k]
		who := machine{e.Who, e.Incarnation}
		w := workers[who]
		key := fmt.Sprint(e.Queue, "/", e.Job, "/", e.Step, "/", e.Task, "/", e.Attempt)
		if e.Job == 0 {
			key += "/" + e.Name
		}
		switch e.Kind {
		case Up:
			workers[who] = &load{roomCores: e.Cores, roomMemory: e.Memory, roomAccelerators: e.Accelerators, running: map[string]*Event{}}
		case Order, Begin:
			// What is given counts, whether the worker takes it or not.
			if w == nil || e.State == "stop" || w.running[key] != nil {
				continue
			}
			w.running[key] = e
			w.cores += e.Cores
			w.memory += e.Memory
			w.accelerators += e.Accelerators
			if (w.cores > w.roomCores || w.memory > w.roomMemory || w.accelerators > w.roomAccelerators) && !w.isTold {
				w.isTold = true
				j.breach(6, e.At, "%s is given %d of %d milli cores, %d of %d MB, %d of %d accelerators",
					e.Who, w.cores, w.roomCores, w.memory, w.roomMemory, w.accelerators, w.roomAccelerators)
			}
		case End, LetGo:
			if w != nil && w.running[key] != nil {
				w.cores -= w.running[key].Cores
				w.memory -= w.running[key].Memory
				w.accelerators -= w.running[key].Accelerators
				delete(w.running, key)
			}
		}
	}
}

// leaving: 7, no work reaches a worker long after it said that it leaves.
func (j *judge) leaving(history []Event) {
	said := map[string]eventloop.Micros{}
	for _, e := range history {
		switch e.Kind {
		case Up:
			delete(said, e.Who)
		case Leave:
			if _, isSaid := said[e.Who]; !isSaid {
				said[e.Who] = e.At
			}
		case Order, Begin:
			at, isSaid := said[e.Who]
			isWork := e.Kind == Begin || e.State == "start" || e.State == "hold"
			if isSaid && isWork && !e.IsLate && e.At > at+j.bounds.Leave {
				j.breach(7, e.At, "work reaches %s %d us after it said that it leaves", e.Who, e.At-at)
			}
		}
	}
}

// sheet is the content of a table that was put or read, whatever the order of its rows.
func sheet(e *Event) string {
	lines := make([]string, 0, len(e.Rows)+1)
	lines = append(lines, e.Document)
	for _, row := range e.Rows {
		lines = append(lines, fmt.Sprintf("%s/%s/%s=%s", row.Kind, row.Name, row.Key, row.Value))
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n")
}

// plans: 11, a table that was taken is seen by all soon after, is what was put,
// and stays; of two built on the same generation only one is taken.
func (j *judge) plans(history []Event) {
	type put struct {
		at         eventloop.Micros
		generation uint64
	}
	var puts []put
	taken := map[string]eventloop.Micros{} // when, by content
	won := map[uint64]string{}             // by generation
	on := map[uint64]uint64{}              // by the generation it was built on
	tried := map[string]bool{}             // every content anybody sent
	var newest *Event                      // shown so far
	last := map[string]*Event{}            // newest read of each front
	isUp := map[string]bool{}
	for k := range history {
		e := &history[k]
		switch e.Kind {
		case Away:
			isUp[e.Front] = false
		case Back:
			isUp[e.Front] = true
		case PlanSent:
			tried[sheet(e)] = true
		case PlanPut:
			content := sheet(e)
			if e.State == Invalid && e.Code < 300 {
				j.breach(11, e.At, "a table that is no successor was taken as generation %d", e.Generation)
			}
			if at, isTaken := taken[content]; isTaken && e.Document != "" && e.sent() > at && e.Code >= 400 && e.Code < 500 && e.Code != 429 {
				j.breach(11, e.At, "a table that was taken at %d is refused with %d when it comes again", at, e.Code)
			}
			if _, isTaken := taken[content]; !isTaken && (e.Code == 200 || e.State == AnswerLost) {
				taken[content] = e.At
			}
			if e.Code != 200 || e.State == Invalid {
				continue
			}
			puts = append(puts, put{e.At, e.Generation})
			if e.Rows == nil {
				continue
			}
			if other, isKnown := won[e.Generation]; isKnown && other != content {
				j.breach(11, e.At, "two tables were both taken as generation %d", e.Generation)
			}
			won[e.Generation] = content
			if other, isKnown := on[e.Built]; isKnown && e.Built > 0 && other != e.Generation {
				j.breach(11, e.At, "generations %d and %d were both taken on top of %d", other, e.Generation, e.Built)
			}
			on[e.Built] = e.Generation
		case PlanRead:
			if e.Code != 200 {
				continue
			}
			last[e.Front] = e
			for _, p := range puts {
				if e.sent() > p.at+j.bounds.Plan && e.Generation < p.generation {
					j.breach(11, e.At, "generation %d was taken at %d, %s shows %d", p.generation, p.at, e.Front, e.Generation)
					break
				}
			}
			if newest != nil && e.sent() > newest.At && e.Generation < newest.Generation {
				j.breach(11, e.At, "generation %d was shown at %d, and %s shows %d again", newest.Generation, newest.At, e.Front, e.Generation)
			}
			if newest == nil || e.Generation >= newest.Generation {
				newest = e
			}
			if e.Rows == nil {
				continue
			}
			content := sheet(e)
			if mine, isWon := won[e.Generation]; isWon && mine != content {
				j.breach(11, e.At, "generation %d is shown with other content than was taken", e.Generation)
			} else if !isWon && e.Generation > 1 && !tried[content] {
				j.breach(11, e.At, "generation %d is shown with content nobody put", e.Generation)
			} else if !isWon {
				won[e.Generation] = content
			}
		}
	}
	if len(puts) == 0 {
		return
	}
	final := puts[0]
	for _, p := range puts {
		if p.generation > final.generation {
			final = p
		}
	}
	// Read back at the end, through every front that can be asked.
	isRead := len(isUp) > 0
	for front, isHere := range isUp {
		if isHere && (last[front] == nil || last[front].sent() < final.at || last[front].Generation < final.generation) {
			j.breach(11, final.at, "generation %d was taken and never read back through %s", final.generation, front)
		}
	}
	for _, e := range last {
		isRead = isRead || e.sent() >= final.at && e.Generation >= final.generation
	}
	if !isRead {
		j.breach(11, final.at, "generation %d was taken and never read back", final.generation)
	}
}

// value finds a row's value.
func value(rows []*schema.Row, kind, name, key string) string {
	for _, row := range rows {
		if row.Kind == kind && row.Name == name && row.Key == key {
			return row.Value
		}
	}
	return ""
}

func hasQueue(rows []*schema.Row, queue string) bool {
	for _, row := range rows {
		if row.Kind == "queue" && row.Name == queue {
			return true
		}
	}
	return false
}

// effects: 11 as well, what a table says is done, everywhere, soon after it was
// taken: a queue's coming and going, a rack without weight, a queue's limit.
func (j *judge) effects(history []Event) {
	var puts []*Event // those that were taken, in their order
	for k := range history {
		if e := &history[k]; e.Kind == PlanPut && e.Code == 200 && e.Rows != nil {
			puts = append(puts, e)
		}
	}
	if len(puts) == 0 {
		return
	}
	// Who asked again may have been told late that an older one was taken.
	sort.SliceStable(puts, func(a, b int) bool { return puts[a].Generation < puts[b].Generation })
	// holds tells whether something is so in every table that may count at a
	// moment: those of the last span, and the newest before it. A table whose
	// answer was late counts from when it was sent.
	holds := func(from, to eventloop.Micros, isSo func(rows []*schema.Row) bool) bool {
		isAny := false
		for k, p := range puts {
			isStill := k+1 == len(puts) || puts[k+1].At+j.bounds.Plan > from
			if p.sent() > to || !isStill {
				continue
			}
			if p.At+j.bounds.Plan <= from {
				isAny = true
			}
			if !isSo(p.Rows) {
				return false
			}
		}
		return isAny
	}
	racks := map[string]string{}
	pools := map[string]string{}
	running := map[string]map[taskId]bool{}
	isUnclear := j.unclearPuts(history)
	for k := range history {
		e := &history[k]
		switch e.Kind {
		case Up:
			racks[e.Who], pools[e.Who] = e.Rack, e.Pool
		case HandInReply:
			if e.Code == 404 && !isUnclear && holds(e.sent(), e.At, func(rows []*schema.Row) bool { return hasQueue(rows, e.Queue) }) {
				j.breach(11, e.At, "%s doesn't know the queue %s, which the table has", e.Front, e.Queue)
			}
			if e.Code == 201 && !isUnclear && holds(e.sent(), e.At, func(rows []*schema.Row) bool { return !hasQueue(rows, e.Queue) }) {
				j.breach(11, e.At, "%s takes a job for the queue %s, which the table hasn't", e.Front, e.Queue)
			}
		case Begin:
			if running[e.Queue] == nil {
				running[e.Queue] = map[taskId]bool{}
			}
			rack := racks[e.Who]
			if holds(e.At, e.At, func(rows []*schema.Row) bool { return value(rows, "rack", rack, "weight") == "0" }) {
				j.breach(11, e.At, "work starts on %s in rack %s, whose weight is 0", e.Who, rack)
			}
			pool := pools[e.Who]
			if e.IsCalled && holds(e.At, e.At, func(rows []*schema.Row) bool { return value(rows, "queue", e.Queue, "pool") != pool }) {
				j.breach(11, e.At, "work of the queue %s starts on %s, whose pool is %q", e.Queue, e.Who, pool)
			}
			running[e.Queue][e.id()] = true
			count := len(running[e.Queue])
			isTooMany := func(rows []*schema.Row) bool {
				most, err := strconv.Atoi(value(rows, "queue", e.Queue, "running"))
				return err == nil && count > most
			}
			if holds(e.At, e.At, isTooMany) {
				j.breach(11, e.At, "%d tasks of the queue %s run, more than the table allows", count, e.Queue)
			}
		case End:
			delete(running[e.Queue], e.id())
		case Gone, Pause:
			// What ran there isn't running, though nobody said so.
			for _, list := range running {
				for id := range list {
					for _, s := range j.accounts[id.jobKey].stints[id] {
						if s.worker == e.Who && s.end <= e.At && s.end > 0 {
							delete(list, id)
						}
					}
				}
			}
		}
	}
}

// unclearPuts tells whether a table was sent of which nobody knows whether it
// was taken; queues may then come and go by its word.
func (j *judge) unclearPuts(history []Event) bool {
	for k := range history {
		if e := &history[k]; e.Kind == PlanPut && (e.Code == 0 || e.Code == 504) {
			return true
		}
	}
	return false
}

// away: 12, after a major fault a hand-in is confirmed soon.
func (j *judge) away(history []Event) {
	for k, e := range history {
		if e.Kind != Fault {
			continue
		}
		isBack, isAsked, isOver := false, false, false
		sent := map[jobKey]bool{}
		for _, later := range history[k:] {
			if later.At > e.At+j.bounds.Away {
				isOver = true
				break
			}
			switch later.Kind {
			case HandIn:
				isAsked = true
				sent[jobKey{later.Queue, later.Name}] = true
			case HandInReply:
				if sent[jobKey{later.Queue, later.Name}] && (later.Code == 200 || later.Code == 201) {
					isBack = true
				}
			}
		}
		if isOver && isAsked && !isBack {
			j.breach(12, e.At, "no hand-in was confirmed within %d us after: %s", j.bounds.Away, e.State)
		}
	}
}

// service names one kind of service in one place.
type service struct{ what, queue string }

// attempt is a request and how it was answered.
type attempt struct {
	service
	front    string
	sent, at eventloop.Micros
	isServed bool
}

// attempts lists every request of the history that a running system answers.
func attempts(history []Event) []attempt {
	var list []attempt
	for k := range history {
		e := &history[k]
		each := attempt{front: e.Front, sent: e.sent(), at: e.At}
		switch e.Kind {
		case HandInReply:
			each.service = service{"hand-ins", e.Queue}
		case Status:
			each.service = service{"status", e.Queue}
		case CancelReply:
			each.service = service{"cancels", e.Queue}
		case PlanRead:
			each.service = service{"the table's reading", ""}
		case PlanPut:
			each.service = service{"the table's putting", ""}
		default:
			continue
		}
		each.isServed = e.Code > 0 && e.Code < 500 || e.State == AnswerLost
		list = append(list, each)
	}
	return list
}

// served: 12 in full. After a fault every kind of service, of every queue, is
// back within the span, unless another fault followed in it; and away from
// faults every request through a front that can serve is served.
func (j *judge) served(history []Event) {
	list := attempts(history)
	var closed eventloop.Micros
	if len(history) > 0 {
		closed = history[len(history)-1].At
	}
	last := eventloop.Micros(0)
	for k, at := range j.faults {
		until := at + j.bounds.Away
		if until > closed || k+1 < len(j.faults) && j.faults[k+1] < until {
			continue
		}
		asked, back := map[service]bool{}, map[service]bool{}
		for _, each := range list {
			// Who asks shortly before the span is over may be answered after it.
			if each.sent >= at && each.sent < until-3*eventloop.Second {
				asked[each.service] = true
			}
			if each.sent >= at && each.at <= until && each.isServed {
				back[each.service] = true
			}
		}
		for what := range asked {
			if !back[what] {
				j.breach(12, at, "%s %s are not back %d us after a fault", what.what, what.queue, j.bounds.Away)
			}
		}
		j.begun(history, at, until)
	}
	// Which fronts could serve when.
	type turn struct {
		at     eventloop.Micros
		isAway bool
	}
	turns := map[string][]turn{}
	for k := range history {
		if e := &history[k]; e.Kind == Away || e.Kind == Back {
			turns[e.Front] = append(turns[e.Front], turn{e.At, e.Kind == Away})
		}
	}
	canServe := func(front string, from, to eventloop.Micros) bool {
		isHere := false
		for _, each := range turns[front] {
			switch {
			case each.at > to:
			case each.isAway && each.at >= from:
				return false
			case each.isAway:
				isHere = false
			default:
				isHere = each.at+j.bounds.Settle <= from
			}
		}
		return isHere
	}
	for _, each := range list {
		if each.isServed || !canServe(each.front, each.sent, each.at) {
			continue
		}
		isCalm := true
		for _, at := range j.faults {
			isCalm = isCalm && (at > each.at || at+j.bounds.Away <= each.sent)
		}
		if isCalm && each.sent > last {
			last = each.at
			j.breach(12, each.sent, "%s %s: %s answers nothing or that it can't, and no fault is near", each.what, each.queue, each.front)
		}
	}
}

// begun: work that waits after a fault is begun again in the span, in every
// queue where some waits, unless the fleet is at work elsewhere all the while.
func (j *judge) begun(history []Event, at, until eventloop.Micros) {
	waits, isBegun, since := map[string]string{}, map[string]bool{}, map[string]eventloop.Micros{}
	for key, a := range j.accounts {
		first := eventloop.Micros(0)
		for _, list := range a.stints {
			for _, s := range list {
				if first == 0 || s.begin < first {
					first = s.begin
				}
				if s.begin > at && s.begin <= until && !s.isResumed {
					isBegun[key.queue] = true
				}
			}
		}
		isPlain := a.spec != nil && a.spec.DelayUs == 0 && a.spec.StartWallUs == 0 && a.askedEnd == 0
		if isPlain && a.isTaken && a.accepted > at && a.accepted < until-3*eventloop.Second && (first == 0 || first > at) {
			waits[key.queue] = key.name
			if since[key.queue] == 0 || a.accepted < since[key.queue] {
				since[key.queue] = a.accepted
			}
		}
	}
	for queue, name := range waits {
		if !isBegun[queue] && !isBusy(history, queue, since[queue], until) {
			j.breach(12, at, "nothing of the queue %s is begun within %d us after a fault, though %s waits", queue, j.bounds.Away, name)
		}
	}
}

// answered: 12 for workers: whoever is up and not cut off is answered.
func (j *judge) answered(history []Event) {
	heard := map[string]eventloop.Micros{}
	isOff := map[string]bool{}
	look := func(who string, now eventloop.Micros) {
		if at, isUp := heard[who]; isUp && !isOff[who] && now > at+j.bounds.Away {
			j.breach(12, at, "the worker %s has no answer for %d us", who, now-at)
		}
		heard[who] = now
	}
	for k := range history {
		e := &history[k]
		switch e.Kind {
		case Up:
			heard[e.Who], isOff[e.Who] = e.At, false
		case Heard:
			look(e.Who, e.At)
		case Gone:
			look(e.Who, e.At)
			delete(heard, e.Who)
		case Pause:
			look(e.Who, e.At)
			isOff[e.Who] = true
		case Resume:
			isOff[e.Who], heard[e.Who] = false, e.At
		case Cut:
			if !isOff[e.Who] {
				look(e.Who, e.At)
			}
			isOff[e.Who], heard[e.Who] = e.State != Mended, e.At
		case Close:
			for who := range heard {
				if !isOff[who] && wasHeard(history, who) {
					look(who, e.At)
				}
			}
		}
	}
}

// wasHeard tells whether a worker's answers are in the history at all.
func wasHeard(history []Event, who string) bool {
	for k := range history {
		if history[k].Kind == Heard && history[k].Who == who {
			return true
		}
	}
	return false
}
