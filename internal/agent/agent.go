package agent

import (
	"cmp"
	"maps"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// Pace is the tick of the table.
const Pace = 20 * eventloop.Millisecond

const (
	meetSpan    = 500 * eventloop.Millisecond // between two words to the cluster state of a worker it doesn't know
	pollSpan    = 700 * eventloop.Millisecond // an announce not answered by then is sent anew
	deafSpan    = 3 * pollSpan                // and after so long we say that we hear nothing
	waitSpan    = 400 * eventloop.Millisecond // how long an answer may be held back
	refusedSpan = 100 * eventloop.Millisecond // an announce turned away is sent again after this
	hurrySpan   = 10 * eventloop.Millisecond  // between two announces of changes at least
	idleSpan    = 50 * eventloop.Millisecond  // rest after an early answer that said nothing new
	frozenSpan  = eventloop.Second            // after a longer pause the worker is looked at first
	retrySpan   = 100 * eventloop.Millisecond // first rest after a failed look or stop
	restMost    = 400 * eventloop.Millisecond // and the longest
	startSpan   = 900 * eventloop.Millisecond // a start is tried for so long
	againSpan   = 50 * eventloop.Millisecond  // between two tries of it, at least
	lateSpan    = 50 * eventloop.Millisecond  // no start when the lease ends sooner
	youngSpan   = 10 * eventloop.Second       // calls of this process's forerunner may still be carried out
	callSpan    = 3 * eventloop.Second        // a call whose reply never came was silent
	lookSpan    = eventloop.Second            // how long a look waits while something runs
	waryLook    = 80 * eventloop.Millisecond  // and where calls have been lost of late, for a lost one is missed so late
	warySpan    = 5 * eventloop.Second        // how long that is borne in mind
	patientMost = 400 * eventloop.Millisecond // how long an answer is waited for at most
	patientBase = 40 * eventloop.Millisecond  // and at least
	patientFold = 4                           // times the slowest of late
	quietSpan   = 2 * eventloop.Second        // and while nothing does
	listSpan    = 300 * eventloop.Millisecond // a worker that has seen a higher fence is left alone for so long
	goneSpan    = 10 * eventloop.Second       // the ends of a worker that has departed are told for so long
	stopUsual   = 2 * eventloop.Second
	holdUsual   = 4 * eventloop.Second // a lease, until one is heard of
	holdShort   = 3 * eventloop.Second // a worker holds its work for so long at a time: a deaf one's is given out again then
	holdSlack   = 20 * eventloop.Millisecond
	listMost    = 500                   // ends in one look
	deadMost    = 16                    // former lives remembered
	spentSpan   = 60 * eventloop.Second // attempts given up are remembered for so long at least
	spentMost   = 4096                  // and all of them up to so many
	refusedMost = 8                     // announces turned away in a row before their number leaps
	refusedLeap = 1 << 32
)

// runKey names one start of a task.
type runKey struct {
	task    TaskName
	attempt uint32
}

func compareKeys(a, b runKey) int {
	return cmp.Or(
		cmp.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Round, b.task.Round), cmp.Compare(a.task.Part, b.task.Part),
		cmp.Compare(a.task.Task, b.task.Task), cmp.Compare(a.attempt, b.attempt),
	)
}

func sortedKeys[V any](set map[runKey]V) []runKey {
	return slices.SortedFunc(maps.Keys(set), compareKeys)
}

// standing is what is known of a run.
type standing int

const (
	starting standing = iota + 1 // ordered; no answer yet
	running                      // by the worker's own word
	stopping                     // a stop is to be answered
	deciding                     // it can't begin any more: a look tells whether it ever did
)

type run struct {
	key       runKey
	standing  standing
	text      string
	saved     string // as a start carries it, then as the worker tells
	percent   int64
	cores     int64
	memory    int64
	began     eventloop.Micros // when we first heard of it
	fence     uint64           // of the newest try to start it
	first     eventloop.Micros // first try to start it
	call      uint64           // that is open
	tries     int
	retryAt   eventloop.Micros
	touched   uint64 // number of the last call, or reply, about it
	stoppedAt eventloop.Micros
	isCounted bool // takes room, as far as we know
	isSeen    bool // the worker has told that it runs
	isUnsure  bool // a start may yet be carried out
	isStopped bool // a stop was answered
}

// end is one that the scheduler hasn't noted.
type end struct {
	number  uint64 // 0: the worker never listed it
	note    *schema.TaskStatus
	isNoted bool
}

// pending is a call whose reply is awaited.
type pending struct {
	act   Act
	key   runKey
	sent  eventloop.Micros
	fence uint64
	wait  eventloop.Micros
	held  eventloop.Micros
}

type poll struct {
	seq       uint64
	sent      eventloop.Micros
	scheduler string
	over      []string
}

// former is a life that is over: surely by its own word or that of another life
// in its place, else because another worker's beat came.
type former struct {
	worker string
	number uint64 // of its last beat
	isSure bool
}

// life is what is known of the worker that lives now.
type life struct {
	worker      string
	beat        Beat
	heard       eventloop.Micros
	isLeaving   bool
	leftAt      eventloop.Micros // when the last word of the departure was heard
	isOver      bool             // another life answers where it was
	hasAnswered bool             // a call
	departedAt  eventloop.Micros
	clock       eventloop.Micros // of the worker, at least, as of clockAt
	clockAt     eventloop.Micros

	scheduler string
	fence     uint64 // newest generation of the ward
	surveyed  uint64 // the inventory is from a look with this one; 0: one is due
	after     uint64 // and from one later than this
	fencedTo  eventloop.Micros
	metAt     eventloop.Micros
	lease     eventloop.Micros // ends, by our clock
	span      eventloop.Micros // that a lease lasts
	held      eventloop.Micros // what runs is held so long, as far as the worker has answered
	heldOut   eventloop.Micros // by then, whatever we have sent, its hold is over
	isLapsed  bool             // it was deaf until then, so nothing runs there
	slowest   eventloop.Micros // answer of late
	mutes     int              // looks in a row that nothing answered
	lostAt    eventloop.Micros // when a call was last found lost

	runs    map[runKey]*run
	ended   map[runKey]*end // not noted
	listed  map[uint64]*end // above notedTo
	notedTo uint64
	highest uint64                      // end listed
	spent   map[runKey]eventloop.Micros // attempts that we told to be over; the worker may not know them

	calls    map[uint64]*pending
	look     uint64 // the long look that is open
	glance   uint64 // the short one
	newest   uint64 // look whose list was taken
	lookAt   eventloop.Micros
	rest     eventloop.Micros
	glanceAt eventloop.Micros
	isAsked  bool // a glance is wanted

	poll            *poll
	pollAt          eventloop.Micros
	polledAt        eventloop.Micros
	unansweredSince eventloop.Micros // first announce that its scheduler hasn't answered; 0: none
	isDirty         bool
	refusals        int
}

// Table is the agent's table.
type Table struct {
	bounds *schema.Bounds
	state  *schema.ClusterState
	leader string // of the cluster state
	life   *life
	dead   []former // newest last
	over   []string // those of them that no scheduler has heard of yet
	seq    uint64   // of announces; above those of this process's forerunners
	number uint64   // of calls and of their replies, in the order they were seen
	born   eventloop.Micros
	last   eventloop.Micros
}

// New makes the table. Bounds are what the deployment promises; first is a
// number above that of any announce a forerunner of this process sent, such as
// the wall clock in microseconds.
func New(bounds *schema.Bounds, first uint64) *Table {
	if bounds == nil {
		bounds = &schema.Bounds{}
	}
	return &Table{bounds: bounds, state: &schema.ClusterState{}, seq: first}
}

// Step implements eventloop.Table.
func (t *Table) Step(now eventloop.Micros, mail eventloop.Message, out eventloop.Effects) {
	if t.born == 0 {
		t.born = now
	}
	if t.last > 0 && now-t.last > frozenSpan && t.life != nil {
		// Much may have ended meanwhile, and others may have our orders' work. It was
		// we who were deaf.
		t.resurvey(t.life)
		t.life.mutes, t.life.unansweredSince = 0, 0
	}
	t.last = now
	switch body := mail.Body.(type) {
	case eventloop.Tick:
		t.expire(now)
	case Beat:
		t.beat(now, body)
	case Departed:
		t.departed(now, body)
	case Reply:
		t.replied(now, body)
	case *schema.ClusterStateResponse:
		t.clusterState(now, body)
	case *schema.WorkerPollResponse:
		t.answered(now, mail.From, body)
	}
	t.act(now, out)
}

// act does what is due. The order matters: nothing is announced before the
// worker was looked at under the current fence.
func (t *Table) act(now eventloop.Micros, out eventloop.Effects) {
	l := t.life
	if l == nil || l.isOver {
		return
	}
	t.meet(now, l, out)
	if l.departedAt == 0 {
		t.lapse(now, l)
		t.lookOut(now, l, out)
		t.carryOut(now, l, out)
	}
	t.announce(now, l, out)
}

func (t *Table) beat(now eventloop.Micros, m Beat) {
	l := t.life
	if k := t.buried(m.Worker); k >= 0 {
		// A late word of the dead can push the living aside in a young agent.
		// Whoever has never answered a call gives way to the one that goes on.
		former := t.dead[k]
		if former.isSure || m.Number <= former.number || l == nil || l.hasAnswered || l.departedAt > 0 {
			return
		}
		t.dead = slices.Delete(t.dead, k, k+1)
		t.over = slices.DeleteFunc(t.over, func(worker string) bool { return worker == m.Worker })
	}
	if l != nil && l.worker != m.Worker {
		// One worker stands on a machine: whoever was here before is dead, and
		// all that ran there with it.
		t.bury(l.worker, l.beat.Number, false)
		t.over = append(t.over, l.worker)
		if len(t.over) > deadMost {
			t.over = t.over[1:]
		}
		l = nil
	}
	if l == nil {
		l = &life{
			worker: m.Worker, runs: map[runKey]*run{}, ended: map[runKey]*end{}, listed: map[uint64]*end{},
			calls: map[uint64]*pending{}, span: holdUsual, rest: retrySpan, heldOut: t.born + holdUsual, spent: map[runKey]eventloop.Micros{},
		}
		t.life = l
		t.takeWard(l)
	} else if m.Number <= l.beat.Number {
		return
	}
	isOther := l.beat.Cores != m.Cores || l.beat.Memory != m.Memory || l.beat.Accelerators != m.Accelerators ||
		l.beat.Pool != m.Pool || l.beat.Rack != m.Rack || !slices.Equal(l.beat.Labels, m.Labels)
	l.beat, l.heard = m, now
	t.sample(now, l, m.Clock)
	if m.IsLeaving {
		isOther = isOther || !l.isLeaving
		l.isLeaving, l.leftAt = true, now
	}
	l.isDirty = l.isDirty || isOther
}

func (t *Table) buried(worker string) int {
	return slices.IndexFunc(t.dead, func(each former) bool { return each.worker == worker })
}

func (t *Table) bury(worker string, number uint64, isSure bool) {
	if k := t.buried(worker); k >= 0 {
		t.dead[k].isSure = t.dead[k].isSure || isSure
		return
	}
	t.dead = append(t.dead, former{worker, number, isSure})
	if len(t.dead) > deadMost {
		t.dead = t.dead[1:]
	}
}

// departed takes the word of a worker that has ended in order: nothing runs
// there any more, so its tasks can be given back at once.
func (t *Table) departed(now eventloop.Micros, m Departed) {
	t.bury(m.Worker, 0, true)
	l := t.life
	if l == nil || l.worker != m.Worker || l.departedAt > 0 {
		return
	}
	l.isLeaving, l.departedAt, l.isDirty = true, now, true
	for _, key := range sortedKeys(l.runs) {
		t.neverRan(l, l.runs[key])
	}
}

// lifeOver: another life answered where this one was. Its successor's beat
// tells who.
func (t *Table) lifeOver(l *life) {
	l.isOver = true
	t.bury(l.worker, l.beat.Number, true)
}

// sample keeps what the worker's clock shows at least. It showed that much when
// it answered, so it shows no less when the answer is here; and it may run 2%
// slow, which counts against old samples.
func (t *Table) sample(now eventloop.Micros, l *life, clock eventloop.Micros) {
	if clock > 0 && clock >= l.clockBy(now) {
		l.clock, l.clockAt = clock, now
	}
}

func (l *life) clockBy(now eventloop.Micros) eventloop.Micros {
	if l.clockAt == 0 {
		return 0
	}
	return l.clock + (now-l.clockAt)*49/50
}

// until is what a call holds the worker's work to, on the worker's clock: never
// later than our lease, but for what that clock may run slow from here on. 0:
// there is none to tell.
func (t *Table) until(now eventloop.Micros, l *life) eventloop.Micros {
	// Of a worker that seems deaf nobody knows whether it is held any longer, so
	// that the end of its hold doesn't move away.
	if l.clockAt == 0 || now >= l.lease || l.mutes > 0 {
		return 0
	}
	return l.clockBy(now) + t.couldHold(now, l) - now
}

func (t *Table) clusterState(now eventloop.Micros, m *schema.ClusterStateResponse) {
	if leader := m.Leaders[clusterstate.Group]; leader != "" {
		t.leader = leader
	}
	if m.State == nil || m.State.Version <= t.state.Version {
		return
	}
	t.state = m.State
	if t.life != nil {
		t.takeWard(t.life)
	}
}

// takeWard takes over what the cluster state says of the worker's ward.
func (t *Table) takeWard(l *life) {
	ward := clusterstate.FindWorkerLease(t.state, l.worker)
	if ward == nil || ward.FencingToken < l.fence {
		return
	}
	l.raise(ward.FencingToken)
	if ward.Scheduler != l.scheduler {
		l.scheduler, l.poll, l.isDirty, l.unansweredSince = ward.Scheduler, nil, true, 0
	}
}

// raise notes a newer ward: the worker is looked at with its fence first, after
// which no older ward's order can be carried out any more.
func (l *life) raise(fence uint64) {
	if fence > l.fence {
		l.fence, l.fencedTo, l.poll, l.isDirty, l.glanceAt = fence, 0, nil, true, 0
	}
}

// lapse gives up what a deaf worker held: no call of ours held it any longer, and
// starts that are still on their way come too late, all of them ended by its own
// clock. One that runs slow has been allowed for.
func (t *Table) lapse(now eventloop.Micros, l *life) {
	if l.surveyed == l.fence || l.mutes < 2 || now <= l.heldOut || len(l.runs) == 0 {
		return
	}
	for _, key := range sortedKeys(l.runs) {
		t.ranOut(l, l.runs[key], "lapsed")
	}
	l.isLapsed = true
}

// resurvey has the worker looked at before anything else is said of it.
func (t *Table) resurvey(l *life) {
	l.surveyed, l.after, l.poll = 0, t.number, nil
}

func (t *Table) meet(now eventloop.Micros, l *life, out eventloop.Effects) {
	if t.state.Version == 0 || t.leader == "" || l.metAt > 0 && now-l.metAt < meetSpan || clusterstate.FindWorkerLease(t.state, l.worker) != nil {
		return
	}
	l.metAt = now
	command := &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_RegisterWorker{RegisterWorker: &schema.RegisterWorker{Worker: l.worker}}}
	out.Send(t.leader, &schema.Request{Kind: "clusterstate", Group: clusterstate.Group, Body: replica.EncodeClusterStateCommand(command)})
}
