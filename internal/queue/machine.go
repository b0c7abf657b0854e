// Package queue is the pure state machine of one job queue: commands in, state and
// effects out. No clock, no I/O, no random numbers, no order of map iteration:
// every replica that applies the same records holds the same state.
package queue

import (
	"slices"
	"sort"

	"github.com/google/btree"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// Defaults of what the plan may set.
const (
	DefaultStatusUs = 150_000_000
	DefaultEvery    = 64
	DefaultCircles  = 40
	maxCached       = 16
	maxSaved        = 256 // bytes of a saved text; a longer one is no text of a worker
	goneKeptUs      = 24 * 3600 * 1_000_000
)

type job struct {
	id      uint64
	name    string
	digest  []byte
	index   uint64 // of the record that holds the payload
	startUs int64
	state   schema.JobState
	verdict schema.JobState // what a stopping job ends as
	why     string
	spec    *schema.Job
	isDry   bool // restored from a checkpoint, the text is gone
	// Its steps are expanded: step e is part e%parts of round e/parts. A
	// round's tasks are made when it opens.
	tasks      [][]task
	left       []int    // unfinished tasks of each step
	out        []int    // tasks of each step that are out
	failures   []uint32 // counted failures of each step
	opened     int      // rounds that have been due so far
	unfinished int      // steps with unfinished tasks
	outs       int      // tasks that are out
	started    uint64   // tasks checked out so far
	after      [][]int  // of each part: the parts it waits for
	before     [][]int  // of each part: the parts that wait for it
	ahead      [][]Leg  // of each part: the longest way from it on
	span       []Leg    // the longest of these
}

type task struct {
	state       schema.TaskState
	attempt     uint32
	failures    uint32 // a group's stand at its first member
	failedAt    uint32 // the latest attempt counted as failed, kept like failures
	circles     uint32
	worker      string
	incarnation uint64
	hand        uint64
	isBreaking  bool     // out, and to be stopped because its group broke
	isLaunched  bool     // its group has been decided to begin
	lost        []uint32 // attempts taken back unheard: they may yet turn out to have failed
	saved       string   // progress that the next start carries; a group's stands at its first member
}

type sessionKey struct {
	gateway string
	boot    uint64
	client  string
}

type bootKey struct {
	gateway string
	boot    uint64
}

type session struct {
	next uint64
	held map[uint64]*schema.HeldRest
}

type cachedState struct {
	index uint64
	data  []byte
}

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

// Standing is a task as the scheduler sees it.
type Standing int

const (
	// Gone is a task that isn't known, or has ended.
	Gone Standing = iota
	// Ready is a task that waits for a worker.
	Ready
	// Out is a task that was checked out for a worker.
	Out
	// Stopping is a task that is out and is to end.
	Stopping
)

// Release lets the log go up to an index, with the state that stands for it.
type Release struct {
	Index uint64
	Data  []byte
}

// Effects are performed by the leader alone, except Release, which concerns
// each replica's own log.
type Effects struct {
	Outcomes []*schema.Outcome
	Shifts   []*Shift
	Release  *Release
	Code     int32 // of a cancel
	View     *schema.JobView
}

// Machine is one queue's state.
type Machine struct {
	name     string
	now      int64
	nextJob  uint64
	hand     uint64
	carries  uint64
	enqueues uint64
	adopt    *schema.Adopt
	jobs     map[uint64]*job
	byIndex  *btree.BTreeG[*job]
	byStart  *btree.BTreeG[*job] // jobs with a round that isn't due yet
	names    map[string]*job
	ended    map[string]*schema.EndedRest
	fading   []*schema.EndedRest // ended jobs, oldest first
	sessions map[sessionKey]*session
	held     int               // submissions held in sessions
	gone     map[bootKey]int64 // gateway given up, and when
	cached   []cachedState
	cachedAt uint64
	index    uint64
	effects  *Effects
	// What the latest tick told of the time of day; for the leader to know
	// whether it is to tell anew, so not part of the state at rest.
	wallOffset int64
}

// New makes an empty queue.
func New(name string) *Machine {
	return &Machine{
		name: name, adopt: &schema.Adopt{StatusUs: DefaultStatusUs, Every: DefaultEvery, Circles: DefaultCircles},
		jobs:     map[uint64]*job{},
		byIndex:  btree.NewG(16, func(a, b *job) bool { return a.index < b.index || a.index == b.index && a.id < b.id }),
		byStart:  btree.NewG(16, func(a, b *job) bool { return a.dueUs() < b.dueUs() || a.dueUs() == b.dueUs() && a.id < b.id }),
		names:    map[string]*job{},
		ended:    map[string]*schema.EndedRest{},
		sessions: map[sessionKey]*session{},
		gone:     map[bootKey]int64{},
	}
}

// Now is queue time, in microseconds.
func (m *Machine) Now() int64 { return m.now }

// Hand is the number of the last hand-over to the scheduler.
func (m *Machine) Hand() uint64 { return m.hand }

// Live is how many jobs haven't ended.
func (m *Machine) Live() int { return len(m.jobs) }

// Ended is how many jobs have ended so far.
func (m *Machine) Ended() uint64 { return m.nextJob - uint64(len(m.jobs)) }

// Kept is how many ended jobs are still remembered.
func (m *Machine) Kept() int { return len(m.fading) }

// Timed is how many jobs wait for their start time.
func (m *Machine) Timed() int { return m.byStart.Len() }

// Carries is how often a live job was appended anew, so that the log could be released.
func (m *Machine) Carries() uint64 { return m.carries }

// WallOffset is what is to be added to queue time for the time of day, in microseconds.
func (m *Machine) WallOffset() int64 { return m.wallOffset }

// Adopted are the settings that the queue goes by; not to be changed.
func (m *Machine) Adopted() *schema.Adopt { return m.adopt }

// Oldest is the job whose payload stands lowest in the log.
func (m *Machine) Oldest() (id, index uint64, payload *schema.Job) {
	if oldest, any := m.byIndex.Min(); any && !oldest.isDry {
		return oldest.id, oldest.index, oldest.spec
	}
	return 0, 0, nil
}

// NextStart is when the next round of a live job is due, in microseconds of
// queue time.
func (m *Machine) NextStart() (int64, bool) {
	next, any := m.byStart.Min()
	if !any {
		return 0, false
	}
	return next.dueUs(), true
}

// Boots lists the gateway that hold sessions here.
func (m *Machine) Boots() []*schema.Session {
	var list []*schema.Session
	for _, key := range m.sessionKeys() {
		list = append(list, &schema.Session{Gateway: key.gateway, Boot: key.boot, Client: key.client})
	}
	return list
}

func keyOf(s *schema.Session) sessionKey {
	return sessionKey{s.GetGateway(), s.GetBoot(), s.GetClient()}
}

// Apply takes one record's command. `at` is the group's time in the record.
func (m *Machine) Apply(index uint64, at int64, data []byte) (*Effects, error) {
	command := &schema.QueueCommand{}
	if err := proto.Unmarshal(data, command); err != nil {
		return nil, err
	}
	m.effects = &Effects{}
	m.index = index
	if at > m.now {
		m.now = at
	}
	m.passTime()
	switch body := command.Body.(type) {
	case *schema.QueueCommand_Enqueue:
		m.enqueue(index, body.Enqueue)
	case *schema.QueueCommand_Checkout:
		m.checkout(body.Checkout)
	case *schema.QueueCommand_Launch:
		m.launch(body.Launch)
	case *schema.QueueCommand_Settle:
		m.settle(body.Settle)
	case *schema.QueueCommand_Return:
		m.giveBack(body.Return)
	case *schema.QueueCommand_Cancel:
		m.cancel(body.Cancel.Name)
	case *schema.QueueCommand_Down:
		m.down(body.Down)
	case *schema.QueueCommand_Carry:
		m.carry(index, body.Carry)
	case *schema.QueueCommand_Tick:
		if body.Tick.WallOffsetUs != 0 {
			m.setClock(body.Tick.WallOffsetUs)
		}
	case *schema.QueueCommand_Adopt:
		m.adopt = body.Adopt
		m.passTime()
	}
	m.cache(index)
	m.release()
	effects := m.effects
	m.effects = nil
	return effects, nil
}

func (m *Machine) passTime() {
	for {
		next, any := m.byStart.Min()
		if !any || next.dueUs() > m.now {
			break
		}
		m.byStart.DeleteMin()
		m.openRounds(next)
	}
	for len(m.fading) > 0 && m.fading[0].EndedUs+m.adopt.StatusUs <= m.now {
		// The name may stand for a later job by now only if this one was
		// forgotten before, so it is ours to take away.
		delete(m.ended, m.fading[0].Name)
		m.fading = m.fading[1:]
	}
	for key, at := range m.gone {
		if at+goneKeptUs <= m.now {
			delete(m.gone, key)
		}
	}
}

// setClock takes in how the time of day stands to queue time, which stands still
// while nobody leads: rounds that are still to come keep to the time of day they
// were asked for. What has opened stays open.
func (m *Machine) setClock(offset int64) {
	m.wallOffset = offset
	var moved []*job
	m.byStart.Ascend(func(j *job) bool {
		if j.spec.GetStartWallUs() > 0 && j.spec.GetDelayUs() == 0 && j.startUs != j.spec.StartWallUs-offset {
			moved = append(moved, j)
		}
		return true
	})
	for _, j := range moved {
		m.byStart.Delete(j)
		j.startUs = j.spec.StartWallUs - offset
		m.byStart.ReplaceOrInsert(j)
	}
	m.passTime()
}

// --- enqueue ---

func (m *Machine) enqueue(index uint64, e *schema.Enqueue) {
	key := keyOf(e.Session)
	if _, isGone := m.gone[bootKey{key.gateway, key.boot}]; isGone {
		// It was given up as dead, and its callers have long gone elsewhere:
		// what it still has in hand may have run and been forgotten.
		m.effects.Outcomes = append(m.effects.Outcomes, &schema.Outcome{Session: e.Session, Number: e.Number, Code: 410})
		return
	}
	s := m.sessions[key]
	if s == nil {
		s = &session{next: max(e.Lowest, 1), held: map[uint64]*schema.HeldRest{}}
		m.sessions[key] = s
	}
	switch {
	case e.Number < s.next:
		m.outcome(e, m.answerKnown(e, 200))
		return
	case e.Number > s.next:
		if s.held[e.Number] == nil {
			s.held[e.Number] = &schema.HeldRest{Index: index, Enqueue: e}
			m.held++
		}
		return
	}
	m.admit(index, e)
	s.next++
	for {
		held := s.held[s.next]
		if held == nil {
			return
		}
		delete(s.held, s.next)
		m.held--
		m.admit(held.Index, held.Enqueue)
		s.next++
	}
}

func (m *Machine) down(c *schema.Down) {
	for _, quit := range c.Sessions {
		m.forget(keyOf(quit))
	}
	for _, boot := range c.Boots {
		m.gone[bootKey{boot.Gateway, boot.Boot}] = m.now
		for key := range m.sessions {
			// Held submissions were never confirmed, and nobody is left who
			// could fill the gap below them.
			if key.gateway == boot.Gateway && key.boot == boot.Boot {
				m.forget(key)
			}
		}
	}
}

func (m *Machine) forget(key sessionKey) {
	if s := m.sessions[key]; s != nil {
		m.held -= len(s.held)
		delete(m.sessions, key)
	}
}

// answerKnown is the code for a name that may already stand; `absent` is for
// one that doesn't.
func (m *Machine) answerKnown(e *schema.Enqueue, absent int32) int32 {
	var digest []byte
	if live := m.names[e.Name]; live != nil {
		digest = live.digest
	} else if ended := m.ended[e.Name]; ended != nil {
		digest = ended.Digest
	} else {
		return absent
	}
	if string(digest) == string(e.Digest) {
		return 200
	}
	return 409
}

func (m *Machine) outcome(e *schema.Enqueue, code int32) {
	result := &schema.Outcome{Session: e.Session, Number: e.Number, Code: code}
	if code == 409 {
		result.Fault = &schema.Fault{Code: "name_taken", Message: "this name stands for a job with other content", Field: "name"}
	} else {
		result.View, _ = m.View(e.Name)
	}
	m.effects.Outcomes = append(m.effects.Outcomes, result)
}

func (m *Machine) admit(index uint64, e *schema.Enqueue) {
	if code := m.answerKnown(e, 201); code != 201 {
		m.outcome(e, code)
		return
	}
	m.nextJob++
	m.enqueues++
	j := &job{
		id: m.nextJob, name: e.Name, digest: e.Digest, index: index, startUs: e.StartUs,
		spec: e.Job,
	}
	if j.startUs == 0 {
		j.startUs = m.now // its age and the later rounds are counted from it
	}
	j.expand()
	m.jobs[j.id], m.names[j.name] = j, j
	m.byIndex.ReplaceOrInsert(j)
	j.state = schema.JobState_JOB_TIMED
	m.openRounds(j)
	m.outcome(e, 201)
}

// openRounds opens every round that is due, never one before its time, and
// sets the job down for the next.
func (m *Machine) openRounds(j *job) {
	for j.opened < j.rounds() && j.dueUs() <= m.now {
		j.state = schema.JobState_JOB_RUNNING
		j.makeRound()
		for part := range j.spec.Steps {
			if len(j.after[part]) == 0 {
				m.shiftStep(j, j.first(j.opened-1)+part)
			}
		}
	}
	if j.opened < j.rounds() {
		m.byStart.ReplaceOrInsert(j)
	}
}

// --- the shape of a job ---

func (j *job) parts() int              { return len(j.spec.GetSteps()) }
func (j *job) rounds() int             { return max(1, int(j.spec.GetRounds())) }
func (j *job) first(round int) int     { return round * j.parts() }
func (j *job) step(s int) *schema.Step { return j.spec.Steps[s%j.parts()] }

// dueUs is when the next round that hasn't opened is due, in queue time.
func (j *job) dueUs() int64 {
	return j.startUs + int64(j.opened)*max(0, j.spec.GetEveryUs())
}

// expand counts out the steps of all rounds; none is open yet.
func (j *job) expand() {
	parts := j.parts()
	number := map[string]int{}
	for part, step := range j.spec.GetSteps() {
		number[step.Name] = part
	}
	j.after, j.before = make([][]int, parts), make([][]int, parts)
	for part, step := range j.spec.GetSteps() {
		for _, name := range step.After {
			if other, isKnown := number[name]; isKnown {
				j.after[part] = append(j.after[part], other)
				j.before[other] = append(j.before[other], part)
			}
		}
	}
	j.ahead = make([][]Leg, parts)
	for part := range j.spec.GetSteps() {
		if way := j.way(part, parts); sumOf(way) > sumOf(j.span) {
			j.span = way
		}
	}
	steps := j.rounds() * parts
	j.tasks, j.left, j.out, j.failures = make([][]task, steps), make([]int, steps), make([]int, steps), make([]uint32, steps)
	for s := range j.left {
		j.left[s] = int(j.step(s).Tasks)
		if j.left[s] > 0 {
			j.unfinished++
		}
	}
}

// way is the longest way from a part on, through at most so
// many parts.
func (j *job) way(part, most int) []Leg {
	if j.ahead[part] != nil || most == 0 {
		return j.ahead[part]
	}
	var longest []Leg
	for _, next := range j.before[part] {
		if way := j.way(next, most-1); sumOf(way) > sumOf(longest) {
			longest = way
		}
	}
	step := j.spec.Steps[part]
	j.ahead[part] = append([]Leg{{step.EstimateUs, step.CoresMilli * int64(step.Tasks)}}, longest...)
	return j.ahead[part]
}

func sumOf(list []Leg) (sum int64) {
	for _, each := range list {
		sum += each.EstimateUs
	}
	return sum
}

// ageUs is how long ago a round was due.
func (j *job) ageUs(round int, now int64) int64 {
	return now - j.startUs - int64(round)*max(0, j.spec.GetEveryUs())
}

// makeRound makes the tasks of the next round.
func (j *job) makeRound() {
	for part, step := range j.spec.GetSteps() {
		j.tasks[j.first(j.opened)+part] = make([]task, step.Tasks)
	}
	j.opened++
}

// --- tasks ---

func (j *job) isOpen(s int) bool {
	part := s % j.parts()
	first := s - part
	if first >= j.first(j.opened) {
		return false
	}
	for _, other := range j.after[part] {
		if j.left[first+other] > 0 {
			return false
		}
	}
	return true
}

func (j *job) standing(s, t int) Standing {
	each := &j.tasks[s][t]
	switch {
	case each.state == schema.TaskState_TASK_OUT:
		if each.isBreaking || j.state == schema.JobState_JOB_STOPPING {
			return Stopping
		}
		return Out
	case each.state == schema.TaskState_TASK_DONE || j.state != schema.JobState_JOB_RUNNING || !j.isOpen(s):
		return Gone
	case j.step(s).Together && j.out[s] > 0:
		return Gone // a broken group is whole again only when none of it runs
	}
	return Ready
}

// account is the task that failures and progress are kept at: a group has one
// account for all its members.
func (j *job) account(s, t int) *task {
	if j.step(s).Together {
		return &j.tasks[s][0]
	}
	return &j.tasks[s][t]
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

func (m *Machine) find(key *schema.TaskKey) (*job, int, int) {
	j := m.jobs[key.GetJob()]
	if j == nil || int(key.Step) >= len(j.tasks) || int(key.Task) >= len(j.tasks[key.Step]) {
		return nil, 0, 0
	}
	return j, int(key.Step), int(key.Task)
}

func (m *Machine) checkout(c *schema.Checkout) {
	type place struct {
		j    *job
		s, t int
		pick *schema.Pick
	}
	type group struct {
		j *job
		s int
	}
	var places []place
	chosen := map[*task]bool{}
	whole := map[group]int{}
	for _, pick := range c.Picks {
		j, s, t := m.find(pick.Key)
		if j == nil {
			continue
		}
		places = append(places, place{j, s, t, pick})
		if each := &j.tasks[s][t]; j.standing(s, t) == Ready && !chosen[each] {
			chosen[each] = true
			whole[group{j, s}]++
		}
	}
	attempts := map[group]uint32{} // members of one start share their number
	for _, p := range places {
		each, g := &p.j.tasks[p.s][p.t], group{p.j, p.s}
		// A group that must run together goes out whole in one command or
		// not at all.
		isGroup := p.j.step(p.s).Together
		isWhole := !isGroup || whole[g] == len(p.j.tasks[p.s])
		if chosen[each] && isWhole {
			delete(chosen, each)
			if isGroup && attempts[g] == 0 {
				for t := range p.j.tasks[p.s] {
					attempts[g] = max(attempts[g], p.j.tasks[p.s][t].attempt+1)
				}
			}
			each.state, each.attempt = schema.TaskState_TASK_OUT, max(each.attempt+1, attempts[g])
			each.worker, each.incarnation, each.hand = p.pick.Worker, p.pick.Incarnation, 0
			p.j.out[p.s]++
			p.j.outs++
			p.j.started++
		}
		m.shift(p.j, p.s, p.t)
	}
}

// launch decides that a group begins: whoever orders its workers from now on,
// also a successor that never saw them held, has every member begin. It takes
// hold of the whole group as it was checked out, or of nothing.
func (m *Machine) launch(c *schema.Launch) {
	j, s, _ := m.find(&schema.TaskKey{Job: c.Job, Step: c.Step})
	if j == nil || !j.step(s).Together || len(c.Attempts) != len(j.tasks[s]) {
		return
	}
	for t := range j.tasks[s] {
		if j.standing(s, t) != Out || j.tasks[s][t].attempt != c.Attempts[t] {
			return
		}
	}
	for t := range j.tasks[s] {
		j.tasks[s][t].isLaunched = true
	}
	m.shiftStep(j, s)
}

func (m *Machine) settle(c *schema.Settle) {
	j, s, t := m.find(c.Key)
	if j == nil {
		return
	}
	each, step := &j.tasks[s][t], j.step(s)
	if c.Whole && step.Together {
		// Nothing of the group has been checked out anew while one member is
		// out, so this end is the end of that start, also where a member was
		// taken for lost or told to stop meanwhile.
		if j.out[s] > 0 && each.attempt == c.Attempt {
			m.settleGroup(j, s)
		}
		return
	}
	// A report on another attempt than the one that is out changes nothing.
	if each.state != schema.TaskState_TASK_OUT || each.attempt != c.Attempt {
		return
	}
	if step.Lasting {
		j.account(s, t).saved = ""
		if step.Together && j.state == schema.JobState_JOB_RUNNING && !each.isBreaking {
			m.breakGroup(j, s)
		}
	}
	if step.Lasting || each.isBreaking {
		m.takeBack(j, s, t)
		return
	}
	each.state = schema.TaskState_TASK_DONE
	m.recall(j, s)
	j.left[s]--
	if !step.Together || j.left[s] == 0 {
		j.account(s, t).saved = ""
	}
	m.shift(j, s, t)
	m.stepOn(j, s)
}

// settleGroup: one member's end stands for all. Its members have ended
// together, and their later reports find them done.
func (m *Machine) settleGroup(j *job, s int) {
	isLasting := j.step(s).Lasting
	for t := range j.tasks[s] {
		each := &j.tasks[s][t]
		if each.state == schema.TaskState_TASK_OUT {
			m.recall(j, s)
		}
		each.state, each.isBreaking, each.saved = schema.TaskState_TASK_DONE, false, ""
		if isLasting {
			each.clear()
		}
	}
	if !isLasting {
		j.left[s] = 0
	}
	m.shiftStep(j, s)
	m.stepOn(j, s)
}

// stepOn follows the end of tasks of a step: what waited for the whole step
// opens, and a job with nothing unfinished ends.
func (m *Machine) stepOn(j *job, s int) {
	if j.left[s] == 0 {
		j.unfinished--
	}
	if j.state == schema.JobState_JOB_STOPPING {
		m.endIfStill(j)
		return
	}
	if j.left[s] > 0 {
		return
	}
	part := s % j.parts()
	for _, other := range j.before[part] {
		if next := s - part + other; j.left[next] > 0 && j.isOpen(next) {
			m.shiftStep(j, next)
		}
	}
	if j.unfinished == 0 {
		m.end(j, schema.JobState_JOB_COMPLETE)
	}
}

// recall notes that a task is out no more.
func (m *Machine) recall(j *job, s int) {
	j.out[s]--
	j.outs--
}

func (each *task) clear() {
	each.state, each.worker, each.incarnation, each.hand = schema.TaskState_TASK_WAITING, "", 0, 0
	each.isBreaking, each.isLaunched = false, false
}

func (m *Machine) giveBack(c *schema.Return) {
	j, s, t := m.find(c.Key)
	if j == nil {
		return
	}
	each := &j.tasks[s][t]
	step := j.step(s)
	isRunning := j.state == schema.JobState_JOB_RUNNING
	if each.state != schema.TaskState_TASK_OUT || each.attempt != c.Attempt {
		// A worker that had been cut off tells late that it had failed. That
		// counts, once, whatever has become of the task meanwhile.
		if k := slices.Index(each.lost, c.Attempt); k >= 0 && c.Cause == schema.Cause_CAUSE_FAILED && isRunning {
			if m.failed(j, s, t, c.Attempt); j.state == schema.JobState_JOB_STOPPING {
				m.endIfStill(j)
			}
		}
		return
	}
	account := j.account(s, t)
	// The latest text that was told is the best one known; no word of progress
	// doesn't undo what was kept before.
	if step.Saves && c.Saved != "" && len(c.Saved) <= maxSaved {
		account.saved = c.Saved
	}
	if c.Cause == schema.Cause_CAUSE_LOST && !step.Lasting && account.failedAt != c.Attempt {
		each.lost = append(each.lost, each.attempt)
	}
	// Failing counts whatever was asked of the task meanwhile; being stopped
	// counts only for whom the stop was meant. What lasts begins again however
	// it ended, so nothing of it counts.
	switch {
	case step.Lasting || !isRunning:
	case c.Cause == schema.Cause_CAUSE_FAILED:
		m.failed(j, s, t, c.Attempt)
	case !each.isBreaking:
		each.circles++
		if each.circles > m.adopt.Circles {
			m.stop(j, schema.JobState_JOB_FAILED, "step "+step.Name+": a task was taken back too often")
		}
	}
	if step.Together && j.state == schema.JobState_JOB_RUNNING && !each.isBreaking {
		m.breakGroup(j, s)
	}
	m.takeBack(j, s, t)
}

// failed counts a failure; one too many ends the job, whatever came of the task
// since. A task that has been done stays done. However many members of a group
// fail in one attempt, the group has failed once.
func (m *Machine) failed(j *job, s, t int, attempt uint32) {
	step, account := j.step(s), j.account(s, t)
	members, isDone := j.tasks[s][t:t+1], j.tasks[s][t].state == schema.TaskState_TASK_DONE
	if step.Together {
		members, isDone = j.tasks[s], j.left[s] == 0
	}
	if account.failedAt == attempt {
		return
	}
	for k := range members {
		if at := slices.Index(members[k].lost, attempt); at >= 0 {
			members[k].lost = slices.Delete(members[k].lost, at, at+1)
		}
	}
	account.failedAt = max(account.failedAt, attempt)
	account.failures++
	j.failures[s]++
	if account.failures > step.AllowedFailures && !isDone {
		m.stop(j, schema.JobState_JOB_FAILED, "step "+step.Name+": a task used up its allowed failures")
	}
}

// breakGroup stops the other members: none is retried until all have stopped.
func (m *Machine) breakGroup(j *job, s int) {
	for t := range j.tasks[s] {
		each := &j.tasks[s][t]
		switch each.state {
		case schema.TaskState_TASK_OUT:
			each.isBreaking = true
			m.shift(j, s, t)
		case schema.TaskState_TASK_DONE:
			// Members run together or not at all, so those that were done run
			// again with the rest.
			each.state, each.isLaunched = schema.TaskState_TASK_WAITING, false
			j.left[s]++
		}
	}
}

func (m *Machine) takeBack(j *job, s, t int) {
	j.tasks[s][t].clear()
	m.recall(j, s)
	m.shift(j, s, t)
	if j.state == schema.JobState_JOB_STOPPING {
		m.endIfStill(j)
		return
	}
	if j.step(s).Together && j.out[s] == 0 {
		m.shiftStep(j, s)
	}
}

// stop ends a job as soon as none of its tasks runs.
func (m *Machine) stop(j *job, verdict schema.JobState, why string) {
	if j.opened < j.rounds() {
		m.byStart.Delete(j)
	}
	j.state, j.verdict, j.why = schema.JobState_JOB_STOPPING, verdict, why
	for s := range j.tasks {
		if !j.isOpen(s) {
			continue
		}
		for t := range j.tasks[s] {
			if j.tasks[s][t].state != schema.TaskState_TASK_DONE {
				m.shift(j, s, t)
			}
		}
	}
}

func (m *Machine) endIfStill(j *job) {
	if j.outs == 0 {
		m.end(j, j.verdict)
	}
}

func (m *Machine) cancel(name string) {
	if j := m.names[name]; j != nil {
		switch j.state {
		case schema.JobState_JOB_TIMED:
			m.byStart.Delete(j)
			j.why = "cancelled before its start"
			m.end(j, schema.JobState_JOB_CANCELLED)
		case schema.JobState_JOB_RUNNING:
			m.stop(j, schema.JobState_JOB_CANCELLED, "cancelled")
			m.endIfStill(j)
		}
	}
	m.effects.Code = 404
	if view, known := m.View(name); known {
		m.effects.Code, m.effects.View = 200, view
	}
}

func (m *Machine) end(j *job, state schema.JobState) {
	ended := &schema.EndedRest{Name: j.name, Digest: j.digest, State: state, EndedUs: m.now, Why: j.why, Id: j.id}
	for s := range j.left {
		ended.Tasks += j.step(s).Tasks
		ended.Done += j.step(s).Tasks - uint32(j.left[s])
	}
	m.byIndex.Delete(j)
	delete(m.jobs, j.id)
	delete(m.names, j.name)
	m.ended[j.name] = ended
	m.fading = append(m.fading, ended)
}

func (m *Machine) carry(index uint64, c *schema.Carry) {
	j := m.jobs[c.Job]
	if j == nil {
		return
	}
	m.byIndex.Delete(j)
	j.index, j.spec, j.isDry = index, c.Payload, false
	m.byIndex.ReplaceOrInsert(j)
	m.carries++
	m.enqueues++
}

// --- views ---

func stateName(state schema.JobState) string {
	return map[schema.JobState]string{
		schema.JobState_JOB_TIMED: "timed", schema.JobState_JOB_RUNNING: "running", schema.JobState_JOB_STOPPING: "stopping",
		schema.JobState_JOB_COMPLETE: "complete", schema.JobState_JOB_FAILED: "failed", schema.JobState_JOB_CANCELLED: "cancelled",
	}[state]
}

// View is a job as callers see it.
func (m *Machine) View(name string) (*schema.JobView, bool) {
	if j := m.names[name]; j != nil {
		return m.viewOf(j), true
	}
	if ended := m.ended[name]; ended != nil {
		return &schema.JobView{Queue: m.name, Name: name, State: stateName(ended.State), Why: ended.Why, Tasks: ended.Tasks, Done: ended.Done}, true
	}
	return nil, false
}

func (m *Machine) viewOf(j *job) *schema.JobView {
	view := &schema.JobView{Queue: m.name, Name: j.name, State: stateName(j.state), Why: j.why, Started: j.started}
	if j.state == schema.JobState_JOB_STOPPING {
		view.Verdict = stateName(j.verdict)
	}
	for part, step := range j.spec.Steps {
		sv := &schema.StepView{Name: step.Name, State: "done"}
		for s := part; s < len(j.left); s += j.parts() {
			sv.Failures += j.failures[s]
			sv.Running += uint32(j.out[s])
			sv.Waiting += uint32(j.left[s] - j.out[s])
			sv.Done += step.Tasks - uint32(j.left[s])
			switch {
			case j.left[s] == 0:
			case j.state == schema.JobState_JOB_RUNNING && j.isOpen(s):
				sv.State = "open"
			case sv.State == "done":
				sv.State = "waiting"
			}
		}
		view.Tasks += uint32(j.rounds()) * step.Tasks
		view.Done += sv.Done
		view.Steps = append(view.Steps, sv)
	}
	return view
}

// Counts are what the queue holds: live jobs, tasks that could be checked out,
// and tasks that are out.
func (m *Machine) Counts() *schema.QueueCounts {
	counts := &schema.QueueCounts{Live: uint32(len(m.jobs))}
	for _, j := range m.jobs {
		counts.Out += uint32(j.outs)
		if j.state != schema.JobState_JOB_RUNNING {
			continue
		}
		for s := range j.left[:j.first(j.opened)] {
			if j.left[s] > 0 && j.isOpen(s) && (!j.step(s).Together || j.out[s] == 0) {
				counts.Waiting += uint32(j.left[s] - j.out[s])
			}
		}
	}
	return counts
}

// List pages over live and kept jobs in order of their names.
func (m *Machine) List(after string, most int) *schema.JobList {
	var names []string
	for name := range m.names {
		if name > after {
			names = append(names, name)
		}
	}
	for name := range m.ended {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	list := &schema.JobList{}
	for k, name := range names {
		if k == most {
			list.Next = names[k-1]
			break
		}
		view, _ := m.View(name)
		view.Steps = nil
		list.Jobs = append(list.Jobs, view)
	}
	return list
}
