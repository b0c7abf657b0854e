package queue

// Numbered hand-overs to the scheduler.

import (
	"sort"

	"sparnotch/internal/schema"
)

// Shift tells the scheduler's side what became of one task. Shifts are numbered
// without gaps; whoever sees one asks for the whole list.
type Shift struct {
	Hand        uint64
	Key         schema.TaskKey
	State       Standing
	Attempt     uint32
	Worker      string
	Incarnation uint64
	Name        string
	Order       uint64 // of the job's admission to the queue
	Round       uint32
	Part        uint32 // the step's number within its round
	Spec        *schema.Step
	Text        string
	Saved       string // progress that the next start carries
	Failures    uint32 // counted so far, of the task or its whole group
	IsLaunched  bool
	AgeUs       int64 // since its round was due
	Span        []Leg // the steps on the longest way through the round
	Ahead       []Leg // the same from this step on, itself first
}

// Leg is one step on a way through a round.
type Leg struct {
	EstimateUs int64 // of one task; 0: none
	CoresMilli int64 // of all its tasks
}

func (m *Machine) shift(j *job, s, t int) {
	m.hand++
	each := &j.tasks[s][t]
	standing := j.standing(s, t)
	if standing == Out && each.hand == 0 {
		each.hand = m.hand
	}
	m.effects.Shifts = append(m.effects.Shifts, m.shiftOf(j, s, t, m.hand))
}

func (m *Machine) shiftOf(j *job, s, t int, hand uint64) *Shift {
	each, account, parts := &j.tasks[s][t], j.account(s, t), j.parts()
	return &Shift{
		Hand: hand, Key: schema.TaskKey{Job: j.id, Step: uint32(s), Task: uint32(t)}, State: j.standing(s, t),
		Attempt: each.attempt, Worker: each.worker, Incarnation: each.incarnation,
		Name: j.name, Order: j.id, Round: uint32(s / parts), Part: uint32(s % parts), Spec: j.step(s), Text: j.spec.Text,
		Saved: account.saved, Failures: account.failures, IsLaunched: each.isLaunched,
		AgeUs: j.ageUs(s/parts, m.now), Span: j.span, Ahead: j.ahead[s%parts],
	}
}

func (m *Machine) shiftStep(j *job, s int) {
	for t := range j.tasks[s] {
		m.shift(j, s, t)
	}
}

// Standings lists every task the scheduler must know of: the read-only query
// that fills a gap in the numbers.
func (m *Machine) Standings() (list []*Shift, hand uint64) {
	for _, j := range m.ordered() {
		for s := range j.tasks {
			for t := range j.tasks[s] {
				if j.standing(s, t) != Gone {
					list = append(list, m.shiftOf(j, s, t, m.hand))
				}
			}
		}
	}
	return list, m.hand
}

func (m *Machine) ordered() []*job {
	list := make([]*job, 0, len(m.jobs))
	for _, j := range m.jobs {
		list = append(list, j)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].id < list[b].id })
	return list
}
