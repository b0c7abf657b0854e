// Package replica owns the replicas of a process: the cluster state's and each queue's.
// It hands messages to them, applies what they commit, lets their changes reach
// the storage together, and performs effects where this process leads.
package replica

import (
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/queue"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// Pace is the tick of the replicas.
const Pace = 25 * eventloop.Milli

const (
	freshSpan    = eventloop.Second      // how old the cluster state's word may be for a leader to order
	stallSpan    = 600 * eventloop.Milli // a sync that takes longer makes a leader pass its queues on
	passRest     = 5 * eventloop.Second  // between two attempts to pass a queue on
	launchSpan   = 200 * eventloop.Milli // the starts of a group that was decided on have left by then
	waitMost     = 400 * eventloop.Milli // how long passing on waits for that
	maxUnsettled = 8192                  // proposals of one group not applied yet
	tickTimed    = eventloop.Second
	wallMost     = 100 * eventloop.Milli // a queue's timed jobs may be away from the time of day by so much
	tickKept     = 5 * eventloop.Second
)

// Batch goes to the storage; Written comes back when it lasts.
type Batch struct {
	Number  uint64
	Changes []*schema.Change
}
type Written struct {
	Number uint64
}

// Propose is a command of the scheduler on this node, for the term it knows.
type Propose struct {
	Group   string
	Term    uint64
	Command *schema.QueueCommand
}

// Shifts tell the scheduler's table what a queue's commands did. Whole replaces
// all it knew.
type Shifts struct {
	Queue, Group string
	Term, Hand   uint64
	List         []*queue.Shift
	IsWhole      bool
	Urgency      int64
	Running      int64
}

// Query asks for the whole list: the scheduler saw a gap in the numbers.
type Query struct{ Group string }

// Lost says that this node leads a queue no more.
type Lost struct{ Queue string }

// Fresh says which queues this node may act for at this moment, and how the
// cluster state stands.
type Fresh struct {
	Groups       map[string]uint64 // group -> term
	ClusterState bool              // the cluster state's word is fresh
	At           eventloop.Micros  // when that was so, by the clock of the process; 0: now
}

// Ended is a worker's report for the queue's leader; Noted answers it.
type Ended struct{ End *schema.End }

// Warned says that this process is to leave.
type Warned struct{}

// Belief asks what this node believes.
type Belief struct{ Request uint64 }

type waiter struct {
	term    uint64
	from    string // process that asked; empty: this one
	request *schema.Request
	end     *schema.End
}

type replica struct {
	group    *raft.Group
	name     string // queue name, empty for the cluster state
	queue    *queue.Machine
	waiting  map[uint64]waiter // by index
	reading  map[uint64]waiter // by read number
	termTold uint64            // term for which the scheduler has the whole list
	tickAt   eventloop.Micros
	tickIdx  uint64
	carryIdx uint64
	adoptIdx uint64
	passAt   eventloop.Micros
	leaderAt string // whom the cluster state named as leader then
}

// patience is one draw for all groups of a process: whoever stops hearing a
// machine that led many calls for votes in all of them at once, so that one
// machine comes to lead them together.
type patience struct {
	rng   *rand.Rand
	share uint64 // of 1 << 16
}

func (p *patience) draw() { p.share = p.rng.Uint64N(1 << 16) }

func (p *patience) Int64N(n int64) int64 { return n * int64(p.share) >> 16 }

type pending struct {
	changes []*schema.Change
	posts   []raft.Post
	marks   map[string]raft.Mark
	selfs   []*schema.Self
}

// Table is the replicas' table.
type Table struct {
	id           string
	self         *schema.Self
	wall         func() int64
	times        raft.Times
	patience     *patience
	groups       map[string]*replica
	listed       []string // names of the groups, in order; nil: to be made anew
	clusterState *clusterstate.Machine
	values       *clusterstate.Values
	adopt        *schema.Adopt        // what the plan asks of every queue
	state        *schema.ClusterState // copy of the cluster state that others may hold
	roll         *membership.Roll
	next         pending
	writing      *pending
	number       uint64
	began        eventloop.Micros // when the write that is out was handed over
	reads        uint64
	isWarned     bool
	applied      map[string]*schema.Applied // by gateway, of this step
}

// New makes the table from a store's content.
func New(id string, content *storage.Content, wall func() int64, times raft.Times, seed uint64, now eventloop.Micros) *Table {
	t := &Table{
		id: id, self: content.Self, wall: wall, times: times, groups: map[string]*replica{},
		clusterState: clusterstate.New(), applied: map[string]*schema.Applied{},
	}
	hash := fnv.New64a()
	hash.Write([]byte(id))
	t.patience = &patience{rng: rand.New(rand.NewPCG(seed, hash.Sum64()))}
	t.patience.draw()
	t.setState(t.clusterState.Copy())
	t.next.marks = map[string]raft.Mark{}
	for name, image := range content.Groups {
		t.open(now, name, image)
	}
	return t
}

func (t *Table) open(now eventloop.Micros, name string, image *storage.Image) *replica {
	r := &replica{
		group:   raft.New(name, t.id, image, t.times, t.patience, now),
		waiting: map[uint64]waiter{}, reading: map[uint64]waiter{},
	}
	t.groups[name], t.listed = r, nil
	t.restore(r, image.Checkpoint)
	return r
}

// QueueOf is the queue's name in a group's name.
func QueueOf(group string) string {
	queue, _, isQueue := strings.Cut(group, "#")
	if !isQueue {
		return ""
	}
	return queue
}

// GroupOf names the group of a queue's place: a queue that is made anew under an
// old name is another group.
func GroupOf(place *schema.QueuePlace) string {
	return place.Queue + "#" + strconv.FormatUint(place.Generation, 10)
}

func (t *Table) restore(r *replica, point *schema.Checkpoint) {
	if r.group.Name() == clusterstate.Group {
		machine, err := clusterstate.Restore(point.Data)
		if err != nil {
			panic("keep: cluster state checkpoint: " + err.Error())
		}
		t.clusterState = machine
		t.setState(machine.Copy())
		return
	}
	r.name = QueueOf(r.group.Name())
	machine, err := queue.Restore(r.name, point.Index, point.Data)
	if err != nil {
		panic("keep: checkpoint of " + r.group.Name() + ": " + err.Error())
	}
	r.queue = machine
}

func (t *Table) setState(state *schema.ClusterState) {
	t.state, t.values = state, t.clusterState.Values()
	t.adopt = &schema.Adopt{
		StatusUs: t.values.Fleet("status_s") * 1_000_000,
		Every:    uint32(t.values.Fleet("cache_every")),
		Circles:  uint32(t.values.Fleet("circles")),
	}
}

// names lists the groups in order; every mail asks for that, and groups seldom
// come or go.
func (t *Table) names() []string {
	if t.listed == nil {
		t.listed = slices.Sorted(maps.Keys(t.groups))
	}
	return t.listed
}

func (t *Table) Step(now eventloop.Micros, mail eventloop.Mail, out eventloop.Out) {
	switch body := mail.Body.(type) {
	case eventloop.Tick:
		t.tick(now, out)
	case Written:
		t.written(now, body, out)
	case membership.KeepSelf:
		t.keepSelf(now, body)
	case *membership.Roll:
		t.roll = body
	case *schema.Beats:
		t.beats(now, mail.From, body)
	case *schema.Vote:
		t.toGroup(now, mail.From, body.Group, body)
	case *schema.VoteReply:
		t.toGroup(now, mail.From, body.Group, body)
	case *schema.Append:
		t.toGroup(now, mail.From, body.Group, body)
	case *schema.AppendReply:
		t.toGroup(now, mail.From, body.Group, body)
	case *schema.Install:
		t.toGroup(now, mail.From, body.Group, body)
	case *schema.Urge:
		t.urged(now, mail.From, body)
	case *schema.Submit:
		t.submit(now, mail.From, body, out)
	case *schema.Quit:
		t.quit(now, body)
	case *schema.Request:
		t.request(now, mail.From, body, out)
	case *schema.End:
		t.end(now, mail.From, body, out)
	case Ended:
		t.end(now, "", body.End, out)
	case Propose:
		t.propose(now, body)
	case Query:
		if r := t.groups[body.Group]; r != nil && r.queue != nil {
			r.termTold = 0
		}
	case *schema.Reroster:
		t.reroster(now, body)
	case *schema.ClusterStateAsk:
		t.tellClusterState(now, mail.From, body, out)
	case Belief:
		out.Answer(body.Request, t.belief(now))
	case Warned:
		t.isWarned = true
	}
	t.flush(now, out)
}

func (t *Table) toGroup(now eventloop.Micros, from, name string, body any) {
	r := t.groups[name]
	if r == nil {
		// Somebody leads a group that counts us in: a new replica starts empty
		// and learns. It never campaigns before it has learnt its member set.
		switch body.(type) {
		case *schema.Append, *schema.Install:
		default:
			return
		}
		if name != clusterstate.Group && QueueOf(name) == "" {
			return
		}
		if name != clusterstate.Group && t.isEnded(name) {
			return
		}
		r = t.open(now, name, &storage.Image{Hard: &schema.Hard{}, Checkpoint: &schema.Checkpoint{}})
		if !t.self.Belongs {
			// Counted in, so this store may found nothing any more.
			self := proto.Clone(t.self).(*schema.Self)
			self.Belongs = true
			t.self = self
			t.next.changes = append(t.next.changes, &schema.Change{Self: self})
			t.next.selfs = append(t.next.selfs, self)
		}
	}
	r.group.Step(now, from, body)
}

// isEnded tells that the cluster state we hold knows a newer queue of that name, or
// none though it once was there.
func (t *Table) isEnded(group string) bool {
	place := clusterstate.Place(t.state, QueueOf(group))
	return place != nil && GroupOf(place) != group
}

// urged: somebody hands a group to us. Who is leaving takes none; who takes one
// doesn't hand it back at once, though its copy of the cluster state or the book may
// still speak for the one it came from.
func (t *Table) urged(now eventloop.Micros, from string, m *schema.Urge) {
	if t.isWarned {
		return
	}
	if r := t.groups[m.Group]; r != nil {
		r.passAt, r.leaderAt = now, t.leaderOf(r)
	}
	t.toGroup(now, from, m.Group, m)
}

func (t *Table) beats(now eventloop.Micros, from string, m *schema.Beats) {
	for _, beat := range m.Beats {
		if r := t.groups[beat.GetGroup()]; r != nil {
			r.group.Step(now, from, beat)
		}
	}
	for _, reply := range m.Replies {
		if r := t.groups[reply.GetGroup()]; r != nil {
			r.group.Step(now, from, reply)
		}
	}
}

// --- own account and founding ---

func (t *Table) keepSelf(now eventloop.Micros, m membership.KeepSelf) {
	// We may have been counted in since the book made up its account.
	if t.self.Belongs && !m.Self.Belongs {
		m.Self.Belongs = true
	}
	t.self = m.Self
	t.next.changes = append(t.next.changes, &schema.Change{Self: m.Self})
	t.next.selfs = append(t.next.selfs, m.Self)
	if len(m.Found) > 0 && t.groups[clusterstate.Group] == nil {
		t.found(now, clusterstate.Group, m.Found)
	}
}

func (t *Table) found(now eventloop.Micros, name string, voters []string) {
	image := &storage.Image{Hard: &schema.Hard{}, Checkpoint: &schema.Checkpoint{MemberSet: &schema.MemberSet{Voters: voters}}}
	t.next.changes = append(t.next.changes, &schema.Change{Group: name, Checkpoint: image.Checkpoint})
	t.open(now, name, image)
}

// foundQueue makes the replica of a queue that this store is a founder of; who is
// to keep the queue stands at once.
func (t *Table) foundQueue(now eventloop.Micros, place *schema.QueuePlace) {
	name := GroupOf(place)
	if r := t.groups[name]; r != nil {
		// Its leader was faster than our copy of the cluster state.
		if r.group.Base() == 0 {
			r.group.Found(place.Founders)
		}
		return
	}
	t.found(now, name, place.Founders)
	if place.Leader == t.id && !t.isWarned {
		t.groups[name].group.Stand(now)
	}
}

// --- time ---

func (t *Table) tick(now eventloop.Micros, out eventloop.Out) {
	hasAsked := false
	for _, name := range t.names() {
		r := t.groups[name]
		wasAsked := r.group.Asks()
		r.group.Tick(now)
		hasAsked = hasAsked || r.group.Asks() != wasAsked
		if r.group.IsLeader() {
			r.group.AgreeWall(now, t.wall())
			t.tend(now, r)
			t.passOn(now, r)
		}
	}
	if hasAsked {
		// Two machines with the same patience shouldn't call at once again.
		t.patience.draw()
	}
	t.queues(now, out)
	fresh := Fresh{Groups: map[string]uint64{}, At: now}
	for name, r := range t.groups {
		if r.queue != nil && r.group.Acting(now) {
			fresh.Groups[name] = r.group.Term()
		}
	}
	fresh.ClusterState = t.isClusterStateFresh(now)
	out.Tell("scheduler", fresh)
}

// isClusterStateFresh tells whether our copy of the cluster state held, a moment ago, all
// that was committed.
func (t *Table) isClusterStateFresh(now eventloop.Micros) bool {
	r := t.groups[clusterstate.Group]
	return r != nil && r.group.Fresh() > 0 && now-r.group.Fresh() < freshSpan
}

// tend proposes what a queue's leader owes to time and to the plan.
func (t *Table) tend(now eventloop.Micros, r *replica) {
	g := r.group
	if !g.Acting(now) {
		return
	}
	if r.queue == nil {
		return
	}
	m, at := r.queue, g.GroupTime(now)
	if next, any := m.NextStart(); any && next <= at && r.tickIdx <= g.Applied() {
		r.tickIdx = t.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_Tick{Tick: &schema.Tick{}}})
		r.tickAt = now
	}
	// A queue that nothing happens in must still let time pass for what it
	// holds, or a new leader would start from an old time.
	rest := tickKept
	if m.Timed() > 0 {
		rest = tickTimed
	}
	if (m.Timed() > 0 || m.Kept() > 0) && at-m.Now() > int64(rest) && now-r.tickAt > rest {
		r.tickIdx = t.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_Tick{Tick: &schema.Tick{}}})
		r.tickAt = now
	}
	// Jobs that are to start at a time of day keep to it, though queue time has
	// stood still without a leader.
	if m.Timed() > 0 && r.tickIdx <= g.Applied() {
		offset, isKnown := g.WallOffset(now, t.wall())
		if away := offset - m.WallOffset(); isKnown && (away > int64(wallMost) || away < -int64(wallMost)) {
			r.tickIdx = t.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_Tick{Tick: &schema.Tick{WallOffsetUs: offset}}})
			r.tickAt = now
		}
	}
	if wanted := t.adopt; !proto.Equal(wanted, m.Adopted()) && r.adoptIdx <= g.Applied() {
		r.adoptIdx = t.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_Adopt{Adopt: wanted}})
	}
	// One old job must not pin the log for ever: it enters it anew.
	limit := uint64(t.values.Fleet("carry_records"))
	if g.Last()-g.Base() > limit && r.carryIdx <= g.Applied() {
		if id, index, payload := m.Oldest(); id != 0 && g.Last()-index > limit/2 {
			r.carryIdx = t.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_Carry{Carry: &schema.Carry{Job: id, Payload: payload}}})
		}
	}
}

// releaseClusterState lets the cluster state's log go, on every replica: it is small, so its
// whole state is the checkpoint.
func (t *Table) releaseClusterState(r *replica, index uint64) {
	if g := r.group; index-g.Base() > 512 {
		g.Release(index, t.clusterState.Rest())
	}
}

// passOn hands a group over when this process is warned, when its disk
// stalls, or when the cluster state wants the queue elsewhere.
func (t *Table) passOn(now eventloop.Micros, r *replica) {
	wanted := t.leaderOf(r)
	// A leader that was named since is given the queue at once: its workers have
	// gone to it already, and nobody else can start anything on them.
	isRested := now-r.passAt >= passRest || t.isWarned || wanted != r.leaderAt
	if r.passAt > 0 && (!isRested || now-r.passAt < eventloop.Second) {
		return
	}
	isStalled := t.writing != nil && now-t.began > stallSpan
	leader := wanted
	switch {
	case t.isWarned || isStalled:
		if wanted == t.id || !t.isFit(now, r, wanted) {
			wanted = ""
			for _, id := range r.group.MemberSet().Voters {
				if id != t.id && t.isFit(now, r, id) {
					wanted = id
				}
			}
		}
	case wanted == t.id || !t.isFit(now, r, wanted):
		return
	}
	if wanted != "" {
		r.passAt, r.leaderAt = now, leader
		r.group.Pass(now, wanted)
	}
}

// leaderOf is whom the cluster state names as leader of a queue.
func (t *Table) leaderOf(r *replica) string {
	if r.queue == nil {
		return ""
	}
	return clusterstate.Place(t.state, r.name).GetLeader()
}

// isFit tells whether a voter is near enough to take a group over.
func (t *Table) isFit(now eventloop.Micros, r *replica, id string) bool {
	match, heard := r.group.Match(id)
	isKnown := t.roll != nil && t.roll.Live(id, now, 2*eventloop.Second) && !t.roll.Known[id].Member.Leaving
	return isKnown && heard > 0 && now-heard < 500*eventloop.Milli && r.group.Last()-match < 256
}

// queues makes what the cluster state says of queues true here.
func (t *Table) queues(now eventloop.Micros, out eventloop.Out) {
	if t.groups[clusterstate.Group] == nil {
		return
	}
	wanted := map[string]bool{clusterstate.Group: true}
	for _, place := range t.state.Queues {
		name := GroupOf(place)
		wanted[name] = true
		if slices.Contains(place.Founders, t.id) {
			t.foundQueue(now, place)
		}
	}
	for _, name := range t.names() {
		// Only a queue that the cluster state has dropped or made anew goes; one it
		// doesn't know yet may be ahead of our copy.
		if !wanted[name] && t.groups[name].queue != nil && t.isOver(name) {
			delete(t.groups, name)
			t.listed = nil
			t.next.changes = append(t.next.changes, &schema.Change{Group: name, Drop: true})
			delete(t.next.marks, name)
			out.Tell("scheduler", Lost{Queue: QueueOf(name)})
		}
	}
}

// isOver: generations come from one counter, so a queue whose generation the
// cluster state has already given out, and which it doesn't list, has been ended.
func (t *Table) isOver(group string) bool {
	generation, err := strconv.ParseUint(group[len(QueueOf(group))+1:], 10, 64)
	return err == nil && generation < t.state.Next
}

// --- proposals ---

func (t *Table) proposeQueue(now eventloop.Micros, r *replica, command *schema.QueueCommand) uint64 {
	data, err := proto.Marshal(command)
	if err != nil {
		return 0
	}
	index, _, err := r.group.Propose(now, data)
	if err != nil {
		return 0
	}
	return index
}

func (t *Table) isFull(r *replica) bool {
	return r.group.Last()-r.group.Applied() > maxUnsettled
}

func (t *Table) submit(now eventloop.Micros, from string, m *schema.Submit, out eventloop.Out) {
	place := clusterstate.Place(t.state, m.Queue)
	if place == nil {
		return
	}
	r := t.groups[GroupOf(place)]
	if r == nil || !r.group.IsLeader() || r.group.Passing() != "" {
		out.Send(from, &schema.Applied{Queue: m.Queue, Leader: leaderOf(r)})
		return
	}
	// What finds no place is resent by its gateway, which has numbered it.
	if t.isFull(r) {
		return
	}
	for _, e := range m.Enqueues {
		if e.Session == nil || e.Job == nil {
			continue
		}
		entered := &schema.Enqueue{
			Session: e.Session, Number: e.Number, Name: e.Name, Digest: e.Digest, Lowest: e.Lowest,
			Job: e.Job, StartUs: t.startOf(now, r, e.Job),
		}
		t.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_Enqueue{Enqueue: entered}})
	}
}

// leaderOf names who leads a group, or is about to.
func leaderOf(r *replica) string {
	if r == nil {
		return ""
	}
	if next := r.group.Passing(); next != "" {
		return next
	}
	return r.group.Leader()
}

// startOf turns a start into queue time, once.
func (t *Table) startOf(now eventloop.Micros, r *replica, job *schema.Job) int64 {
	at := r.group.GroupTime(now)
	switch {
	case job.DelayUs > 0:
		return at + job.DelayUs
	case job.StartWallUs > 0:
		start := at + job.StartWallUs - r.group.WallTime(now, t.wall())
		// The rounds of a job are counted from its start, though that be past;
		// zero alone would mean the moment of its admission.
		if job.Rounds > 1 && start != 0 {
			return start
		}
		return max(at, start)
	}
	return 0
}

func (t *Table) quit(now eventloop.Micros, m *schema.Quit) {
	if place := clusterstate.Place(t.state, m.Queue); place != nil {
		if r := t.groups[GroupOf(place)]; r != nil && r.group.Acting(now) {
			t.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_Down{Down: &schema.Down{Sessions: m.Sessions, Boots: m.Boots}}})
		}
	}
}

func (t *Table) propose(now eventloop.Micros, m Propose) {
	r := t.groups[m.Group]
	// A scheduler that acts for an older term has an older list.
	if r == nil || r.queue == nil || r.group.Term() != m.Term || !r.group.Acting(now) || t.isFull(r) {
		return
	}
	t.proposeQueue(now, r, m.Command)
}

func (t *Table) end(now eventloop.Micros, from string, m *schema.End, out eventloop.Out) {
	place := clusterstate.Place(t.state, m.Queue)
	if place == nil {
		// The queue is over, and with it whatever the task was for. A cluster state
		// that is still catching up says nothing of the kind.
		if t.isClusterStateFresh(now) {
			t.endNoted(from, m, out)
		}
		return
	}
	r := t.groups[GroupOf(place)]
	if r == nil || !r.group.IsLeader() {
		if r != nil && from == "" && r.group.Leader() != "" {
			out.Send(r.group.Leader(), m)
		}
		return
	}
	if t.isFull(r) || m.Key == nil {
		return
	}
	if index := t.proposeQueue(now, r, commandOf(m)); index > 0 {
		r.waiting[index] = waiter{term: r.group.Term(), from: from, end: m}
	}
}

// commandOf is what a worker's report asks of the queue. Ends other than done,
// failed and lost (stopped, lapsed, broken by another member, alone without the
// others) are no fault of the task's.
func commandOf(m *schema.End) *schema.QueueCommand {
	cause := schema.Cause_CAUSE_DISPLACED
	switch m.Outcome {
	case "done":
		return &schema.QueueCommand{Body: &schema.QueueCommand_Settle{Settle: &schema.Settle{Key: m.Key, Attempt: m.Attempt, Whole: m.Whole}}}
	case "failed":
		cause = schema.Cause_CAUSE_FAILED
	case "lost":
		cause = schema.Cause_CAUSE_LOST
	}
	return &schema.QueueCommand{Body: &schema.QueueCommand_Return{Return: &schema.Return{Key: m.Key, Attempt: m.Attempt, Cause: cause, Saved: m.Saved}}}
}

func (t *Table) endNoted(from string, m *schema.End, out eventloop.Out) {
	reply := &schema.EndReply{Queue: m.Queue, Key: m.Key, Attempt: m.Attempt, Worker: m.Worker}
	if from == "" {
		out.Tell("scheduler", reply)
	} else {
		out.Send(from, reply)
	}
}

func (t *Table) reroster(now eventloop.Micros, m *schema.Reroster) {
	r := t.groups[m.Group]
	if r == nil || !r.group.IsLeader() || !t.clusterState.IsController(m.Lease) {
		return
	}
	memberSet := proto.Clone(r.group.MemberSet()).(*schema.MemberSet)
	switch {
	case m.Learn != "" && !slices.Contains(memberSet.Voters, m.Learn) && !slices.Contains(memberSet.Learners, m.Learn):
		memberSet.Learners = append(memberSet.Learners, m.Learn)
	case m.Promote != "" && slices.Contains(memberSet.Learners, m.Promote):
		match, _ := r.group.Match(m.Promote)
		if r.group.Last()-match > 64 {
			return
		}
		memberSet.Learners = without(memberSet.Learners, m.Promote)
		memberSet.Voters = append(memberSet.Voters, m.Promote)
	case m.Drop != "" && (slices.Contains(memberSet.Voters, m.Drop) || slices.Contains(memberSet.Learners, m.Drop)):
		memberSet.Voters, memberSet.Learners = without(memberSet.Voters, m.Drop), without(memberSet.Learners, m.Drop)
		if len(memberSet.Voters) == 0 {
			return
		}
	default:
		return
	}
	// A refusal (a change is under way) is no matter: the controller asks again.
	_ = r.group.ProposeMemberSet(now, memberSet)
}

func without(list []string, item string) []string {
	var kept []string
	for _, each := range list {
		if each != item {
			kept = append(kept, each)
		}
	}
	return kept
}

// --- effects ---

// flush carries out what the groups have left, until nothing is left.
func (t *Table) flush(now eventloop.Micros, out eventloop.Out) {
	beats := map[string]*schema.Beats{}
	for isMore := true; isMore; {
		isMore = false
		for _, name := range t.names() {
			r := t.groups[name]
			r.group.FlushReads(now)
			effects, mark := r.group.Take()
			if len(effects.Posts)+len(effects.Changes)+len(effects.Commits)+len(effects.Reads) == 0 && effects.Restore == nil {
				continue
			}
			isMore = true
			for _, post := range effects.Posts {
				if post.After {
					t.next.posts = append(t.next.posts, post)
				} else {
					t.post(post, beats, out)
				}
			}
			if len(effects.Changes) > 0 {
				t.next.changes = append(t.next.changes, effects.Changes...)
				t.next.marks[name] = mark
			}
			if effects.Restore != nil {
				t.restore(r, effects.Restore)
				r.termTold = 0
				if r.queue == nil {
					t.clusterStateChanged(now, out)
				}
			}
			for _, record := range effects.Commits {
				t.apply(now, r, record, out)
			}
			for _, number := range effects.Reads {
				t.read(now, r, number, out)
			}
		}
	}
	t.sendBeats(beats, out)
	t.sendApplied(out)
	t.standings(now, out)
	t.write(now, out)
}

func (t *Table) post(post raft.Post, beats map[string]*schema.Beats, out eventloop.Out) {
	if beats[post.To] == nil {
		beats[post.To] = &schema.Beats{}
	}
	switch body := post.Body.(type) {
	case *schema.Beat:
		beats[post.To].Beats = append(beats[post.To].Beats, body)
	case *schema.BeatReply:
		body.WallUs = t.wall()
		beats[post.To].Replies = append(beats[post.To].Replies, body)
	default:
		out.Send(post.To, body)
	}
}

func (t *Table) sendBeats(beats map[string]*schema.Beats, out eventloop.Out) {
	ids := slices.Sorted(maps.Keys(beats))
	for _, id := range ids {
		if len(beats[id].Beats)+len(beats[id].Replies) > 0 {
			out.Send(id, beats[id])
		}
	}
}

func (t *Table) sendApplied(out eventloop.Out) {
	ids := slices.Sorted(maps.Keys(t.applied))
	for _, id := range ids {
		applied := t.applied[id]
		delete(t.applied, id)
		out.Send(applied.Outcomes[0].Session.Gateway, applied)
	}
}

// write hands everything that has gathered to the storage as one batch, so that
// one sync serves every group; the next gathers meanwhile.
func (t *Table) write(now eventloop.Micros, out eventloop.Out) {
	if t.writing != nil || len(t.next.changes)+len(t.next.posts)+len(t.next.selfs) == 0 {
		return
	}
	batch := t.next
	t.next = pending{marks: map[string]raft.Mark{}}
	t.writing = &batch
	t.number++
	t.began = now
	if len(batch.changes) == 0 {
		t.written(now, Written{Number: t.number}, out)
		t.flush(now, out)
		return
	}
	out.Tell("storage", Batch{Number: t.number, Changes: batch.changes})
}

func (t *Table) written(now eventloop.Micros, m Written, out eventloop.Out) {
	if t.writing == nil || m.Number != t.number {
		return
	}
	batch := t.writing
	t.writing = nil
	beats := map[string]*schema.Beats{}
	for _, post := range batch.posts {
		t.post(post, beats, out)
	}
	t.sendBeats(beats, out)
	for _, self := range batch.selfs {
		out.Tell("membership", membership.SelfKept{Self: self})
	}
	names := slices.Sorted(maps.Keys(batch.marks))
	for _, name := range names {
		if r := t.groups[name]; r != nil {
			r.group.Synced(now, batch.marks[name])
		}
	}
}

func (t *Table) apply(now eventloop.Micros, r *replica, record *schema.Record, out eventloop.Out) {
	waiting, isWaited := r.waiting[record.Index]
	delete(r.waiting, record.Index)
	// What was asked for under another term was replaced in the log; its
	// asker asks again.
	isWaited = isWaited && waiting.term == record.Term
	if record.Kind != schema.RecordKind_RECORD_COMMAND {
		return
	}
	if r.queue == nil {
		result, err := t.clusterState.Apply(record.AtUs, record.Data)
		if err != nil {
			panic("keep: cluster state record: " + err.Error())
		}
		t.releaseClusterState(r, record.Index)
		t.clusterStateChanged(now, out)
		if isWaited {
			t.answerClusterState(waiting, result, r, out)
		}
		return
	}
	effects, err := r.queue.Apply(record.Index, record.AtUs, record.Data)
	if err != nil {
		panic("keep: record of " + r.group.Name() + ": " + err.Error())
	}
	if effects.Release != nil {
		r.group.Release(effects.Release.Index, effects.Release.Data)
	}
	if !r.group.IsLeader() {
		return
	}
	for _, outcome := range effects.Outcomes {
		key := outcome.Session.Gateway + "/" + r.name
		if t.applied[key] == nil {
			t.applied[key] = &schema.Applied{Queue: r.name, Leader: t.id}
		}
		t.applied[key].Outcomes = append(t.applied[key].Outcomes, outcome)
	}
	if len(effects.Shifts) > 0 && r.termTold == r.group.Term() {
		out.Tell("scheduler", t.shifts(r, effects.Shifts, false, effects.Shifts[len(effects.Shifts)-1].Hand))
	}
	if isWaited && waiting.end != nil {
		t.endNoted(waiting.from, waiting.end, out)
	}
	if isWaited && waiting.request != nil {
		t.reply(waiting, effects.Code, viewOrFault(effects.View), r.group, out)
	}
}

func (t *Table) shifts(r *replica, list []*queue.Shift, isWhole bool, hand uint64) Shifts {
	return Shifts{
		Queue: r.name, Group: r.group.Name(), Term: r.group.Term(), Hand: hand, List: list, IsWhole: isWhole,
		Urgency: t.values.Of("queue", r.name, "urgency"),
		Running: t.values.Of("queue", r.name, "running"),
	}
}

// standings tells the scheduler of queues newly led, and of those led no more.
func (t *Table) standings(now eventloop.Micros, out eventloop.Out) {
	for _, name := range t.names() {
		r := t.groups[name]
		if r.queue == nil {
			continue
		}
		if !r.group.IsLeader() {
			if r.termTold != 0 {
				r.termTold = 0
				out.Tell("scheduler", Lost{Queue: r.name})
			}
			if len(r.waiting) > 0 {
				r.waiting = map[uint64]waiter{}
			}
			if len(r.reading) > 0 {
				r.reading = map[uint64]waiter{}
			}
			continue
		}
		if r.termTold != r.group.Term() && r.group.Acting(now) {
			r.termTold = r.group.Term()
			list, hand := r.queue.Standings()
			out.Tell("scheduler", t.shifts(r, list, true, hand))
		}
	}
}

func (t *Table) clusterStateChanged(now eventloop.Micros, out eventloop.Out) {
	if t.clusterState.Version() == t.state.Version && t.state.Version != 0 {
		return
	}
	old := t.state
	t.setState(t.clusterState.Copy())
	for _, table := range []string{"gateway", "scheduler"} {
		out.Tell(table, &schema.ClusterStateTell{State: t.state, Version: t.state.Version})
	}
	out.Tell("membership", membership.ClusterState{Version: t.state.Version})
	if old.Plan != t.state.Plan {
		for _, r := range t.groups {
			// Urgency may have changed with the plan. Nothing else in the cluster state is
			// told with the list, which is long while much waits.
			r.termTold = 0
		}
	}
	// New queues are waited for: the controller places them, and their founders make
	// them, when they hear of it.
	r := t.groups[clusterstate.Group]
	if !r.group.IsLeader() {
		return
	}
	if len(old.Queues) != len(t.state.Queues) {
		r.group.Announce(now)
	}
	// Workers whose ward went elsewhere are served again as soon as their agents
	// have heard.
	if t.roll != nil && areMoved(old.Wards, t.state.Wards) {
		for _, id := range slices.Sorted(maps.Keys(t.roll.Known)) {
			if t.roll.Known[id].Member.Role == schema.Role_ROLE_CONTROLLER && t.roll.Live(id, now, 2*eventloop.Second) {
				t.tellClusterState(now, id, &schema.ClusterStateAsk{Version: old.Version}, out)
			}
		}
		return
	}
	if controller := t.state.Controller.GetId(); controller != "" && old.Plan != t.state.Plan {
		t.tellClusterState(now, controller, &schema.ClusterStateAsk{Version: old.Version}, out)
	}
}

// areMoved tells whether a ward that was there is with another scheduler now.
func areMoved(old, list []*schema.Ward) bool {
	schedulers := map[string]string{}
	for _, ward := range old {
		schedulers[ward.Worker] = ward.Scheduler
	}
	for _, ward := range list {
		if scheduler, isKnown := schedulers[ward.Worker]; isKnown && scheduler != ward.Scheduler {
			return true
		}
	}
	return false
}
