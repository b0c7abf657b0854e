package checker

// Histories: the events, and what is read of them before they are judged.

import (
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

	Front string                     `json:"front,omitempty"` // through which a request went
	Sent  eventloop.Micros           `json:"sent,omitempty"`  // when the request was sent that this answers
	Rack  string                     `json:"rack,omitempty"`
	Built uint64                     `json:"built,omitempty"` // the generation a sheet was built on
	Rows  []*schema.ConfigurationRow `json:"rows,omitempty"`  // of a table that was put or read
	Wall  int64                      `json:"wall,omitempty"`

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
	return a.isCalled && step.Gang && step.Tasks > 1
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
