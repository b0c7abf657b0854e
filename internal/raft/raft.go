// Package raft is one group's agreement as a step function: it takes the time
// and a message and leaves messages, disk changes and committed records. It
// does no I/O, reads no clock, and draws only from the generator it is given.
package raft

import (
	"slices"
	"sort"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

var (
	Errors    = errorx.NewNamespace("raft")
	NotLeader = Errors.NewType("not_leader")
	Busy      = Errors.NewType("busy")
)

// Times are a group's spans; see the sum in docs/design.md.
type Times struct {
	ElectionLeast eventloop.Micros
	ElectionMost  eventloop.Micros
	Beat          eventloop.Micros
}

// UsualTimes are the defaults of the chosen design.
var UsualTimes = Times{ElectionLeast: 450 * eventloop.Milli, ElectionMost: 750 * eventloop.Milli, Beat: 100 * eventloop.Milli}

// acting is how long after a round that a quorum answered a leader may act
// outward: less than any of those waits before it votes for another.
func (t Times) acting() eventloop.Micros { return 3 * t.Beat }

// Source draws a number below n.
type Source interface{ Int64N(n int64) int64 }

const (
	maxBatch  = 64      // records in one Append
	maxBytes  = 1 << 20 // of records in one Append
	maxFlight = 1024    // records sent beyond what is known matched

	keptReplies = 16 // beats whose answering is remembered

	callRest  = 50 * eventloop.Milli // between two calls of a founder that stands
	mostCalls = 12

	yieldSpan  = 150 * eventloop.Milli // how much longer others wait after a start than whoever led last
	youngSpan  = 150 * eventloop.Milli // spread of their waits
	youngAgain = 100 * eventloop.Milli // and between two pre-votes of one, until somebody leads
)

type role int

const (
	follower role = iota
	asking        // pre-vote
	candidate
	leader
)

func (r role) String() string { return [...]string{"follower", "asking", "candidate", "leader"}[r] }

// Post is a message for another replica. One that says a term, a vote or a
// record is held must wait until that is synced.
type Post struct {
	To    string
	Body  proto.Message
	After bool
}

// Mark says what a batch of changes makes durable for a group.
type Mark struct {
	Index, Term uint64 // last record
	Hard        uint64 // how many hard states were written
}

// Effects are what a step leaves.
type Effects struct {
	Posts   []Post
	Changes []*schema.Change
	Restore *schema.Checkpoint // replaces the machine before Commits
	Commits []*schema.Record
	Reads   []uint64 // requests that may now be read
}

type progress struct {
	next, match uint64
	round       uint64
	moved       eventloop.Micros // last time match or next went on
	installing  bool
	probing     bool             // it turned records away: one Append at a time until it takes one
	probed      bool             // and that one is on its way
	wall        int64            // the replica's wall clock, less our monotonic one
	heard       eventloop.Micros // last answer of any kind
}

// reply is when a beat was answered.
type reply struct {
	round uint64
	at    eventloop.Micros
}

type read struct {
	request, index, round uint64
}

// Group is one replica of one group.
type Group struct {
	name, self string
	times      Times
	rng        Source

	term uint64
	vote string
	role role
	lead string

	base        *schema.Checkpoint // what the log stands on; its data is the storage's
	log         []*schema.Record
	stable      uint64
	commit      uint64
	applied     uint64
	memberSet   *schema.MemberSet
	memberSetAt uint64
	hardSeq     uint64 // hard states written
	hardDone    uint64 // hard states synced
	matched     uint64 // as follower: how far the log is the leader's
	deadline    eventloop.Micros
	asks        int
	isYoung     bool // no leader was heard since this start
	heard       eventloop.Micros
	caught      eventloop.Micros
	votes       map[string]bool

	peers     map[string]*progress
	round     uint64
	rounds    map[uint64]eventloop.Micros
	quorumAt  eventloop.Micros
	nextBeat  eventloop.Micros
	first     uint64 // index of this leader's first record
	reads     []read
	passTo    string
	passUntil eventloop.Micros
	calls     int              // how often a founder that stands still calls for votes
	callAt    eventloop.Micros // and when next
	timeBase  int64
	timeMono  eventloop.Micros
	out       Effects

	replies    []reply          // beats answered of this term, the latest last
	wallOffset int64            // wall less group time, when three clocks last agreed
	wallTerm   uint64           // as whose leader we found that
	steppedAt  eventloop.Micros // the middle clock has jumped, and isn't believed yet
}

// New makes a replica from what its store holds.
func New(name, self string, image *storage.Image, times Times, rng Source, now eventloop.Micros) *Group {
	g := &Group{name: name, self: self, times: times, rng: rng, base: image.Checkpoint}
	g.term, g.vote = image.Hard.Term, image.Hard.Vote
	g.log = append(g.log, image.Records...)
	g.commit, g.applied = g.base.Index, g.base.Index
	g.stable = g.lastIndex()
	g.findMemberSet()
	g.resetDeadline(now)
	// Whatever leader there was, this replica hasn't answered it since before its
	// start, so it needn't wait as long as one that has. A pre-vote harms nobody,
	// and who led last, as its own vote says, is let go first: so one machine
	// takes up again all that it led.
	if g.isYoung = g.term > 0; g.isYoung {
		g.deadline = now + times.acting()
		if g.vote != self {
			g.deadline += yieldSpan + eventloop.Micros(rng.Int64N(int64(youngSpan)))
		}
	}
	return g
}

func (g *Group) Name() string                 { return g.name }
func (g *Group) Term() uint64                 { return g.term }
func (g *Group) Leader() string               { return g.lead }
func (g *Group) IsLeader() bool               { return g.role == leader }
func (g *Group) Role() string                 { return g.role.String() }
func (g *Group) Commit() uint64               { return g.commit }
func (g *Group) Applied() uint64              { return g.applied }
func (g *Group) Stable() uint64               { return g.stable }
func (g *Group) Base() uint64                 { return g.base.Index }
func (g *Group) Last() uint64                 { return g.lastIndex() }
func (g *Group) MemberSet() *schema.MemberSet { return g.memberSet }
func (g *Group) First() uint64                { return g.first }

// Asks is how often this replica has missed a leader and asked for votes.
func (g *Group) Asks() int { return g.asks }

// Acting tells whether this leader may act outward: it has applied its own
// first record, and a quorum has answered it within three beats. One that was
// frozen finds itself silent on waking, before it knows of its successor.
func (g *Group) Acting(now eventloop.Micros) bool {
	return g.role == leader && g.applied >= g.first && now-g.quorumAt <= g.times.acting()
}

// Fresh is when this replica last held all that its leader had committed, or
// as leader last heard its quorum.
func (g *Group) Fresh() eventloop.Micros {
	if g.role == leader {
		// A new leader may hold committed records that it doesn't know to be.
		if g.applied < g.first {
			return 0
		}
		return g.quorumAt
	}
	return g.caught
}

// Match tells how far a peer is known to hold the log, and when it last answered.
func (g *Group) Match(peer string) (uint64, eventloop.Micros) {
	if p := g.peers[peer]; p != nil {
		return p.match, p.heard
	}
	return 0, 0
}

// GroupTime is the group's own time: it goes on by the leader's monotonic
// clock and never back.
func (g *Group) GroupTime(now eventloop.Micros) int64 {
	at := g.timeBase + int64(now-g.timeMono)
	if last := g.lastAt(); at < last {
		return last
	}
	return at
}

// wallSlack is how much later than by the last agreement a clock may seem to be
// right; group time stands still without a leader, so a right one is later.
const wallSlack = 50 * eventloop.Milli

const (
	stepLeast = 300 * eventloop.Milli // a jump of the middle clock that isn't believed at once
	stepSpan  = 20 * eventloop.Second // for so long
)

// WallTime is the median of the voters' wall clocks, so that one clock that
// jumped moves nothing. Our own counts as one of them. While only two are known,
// as for a new leader with a voter away, either may be the wrong one: the lower
// counts that isn't before the time last agreed on, for nothing may start early.
func (g *Group) WallTime(now eventloop.Micros, own int64) int64 {
	walls := g.walls(now, own)
	if len(walls) >= 3 {
		if wall := walls[len(walls)/2]; g.isStep(now, wall) {
			return g.GroupTime(now) + g.wallOffset
		}
		return walls[len(walls)/2]
	}
	if g.wallOffset == 0 {
		return walls[0]
	}
	least := g.GroupTime(now) + g.wallOffset
	for _, wall := range walls {
		if wall >= least-int64(wallSlack) {
			return wall
		}
	}
	return least
}

func (g *Group) walls(now eventloop.Micros, own int64) []int64 {
	walls := append(make([]int64, 0, len(g.memberSet.Voters)+1), own)
	for _, id := range g.memberSet.Voters {
		if p := g.peers[id]; p != nil && id != g.self && p.wall != 0 {
			walls = append(walls, p.wall+int64(now))
		}
	}
	slices.Sort(walls)
	return walls
}

// AgreeWall notes, while three clocks are known, how wall and group time stand
// to each other; beats carry that to whoever may lead next.
func (g *Group) AgreeWall(now eventloop.Micros, own int64) {
	walls := g.walls(now, own)
	if g.role != leader || len(walls) < 3 {
		return
	}
	wall := walls[len(walls)/2]
	if g.isStep(now, wall) {
		if g.steppedAt == 0 {
			g.steppedAt = now
		}
		return
	}
	g.wallOffset, g.wallTerm, g.steppedAt = wall-g.GroupTime(now), g.term, 0
}

// isStep tells whether the middle clock has jumped against our steady one, as
// when most clocks are set wrong at once. That isn't believed for a while: a
// clock that was set wrong comes right again. Only where group time may have
// stood still since the last agreement is a later clock no wonder.
func (g *Group) isStep(now eventloop.Micros, wall int64) bool {
	if g.wallOffset == 0 || g.steppedAt > 0 && now-g.steppedAt >= stepSpan {
		return false
	}
	jump := wall - g.GroupTime(now) - g.wallOffset
	return jump < -int64(stepLeast) || jump > int64(stepLeast) && g.wallTerm == g.term
}

// WallOffset is what is to be added to group time for the time of day; false
// while too few clocks are known.
func (g *Group) WallOffset(now eventloop.Micros, own int64) (int64, bool) {
	if g.role != leader || len(g.walls(now, own)) < min(2, len(g.memberSet.Voters)) {
		return 0, false
	}
	return g.WallTime(now, own) - g.GroupTime(now), true
}

// Take hands over what the steps since the last call have left.
func (g *Group) Take() (Effects, Mark) {
	out := g.out
	g.out = Effects{}
	return out, Mark{Index: g.lastIndex(), Term: g.lastTerm(), Hard: g.hardSeq}
}

// --- log ---

func (g *Group) lastIndex() uint64 { return g.base.Index + uint64(len(g.log)) }

func (g *Group) lastTerm() uint64 { return g.termAt(g.lastIndex()) }

func (g *Group) lastAt() int64 {
	return g.atOf(g.lastIndex())
}

func (g *Group) atOf(index uint64) int64 {
	if index == g.base.Index {
		return g.base.AtUs
	}
	return g.log[index-g.base.Index-1].AtUs
}

func (g *Group) termAt(index uint64) uint64 {
	switch {
	case index == g.base.Index:
		return g.base.Term
	case index < g.base.Index || index > g.lastIndex():
		return 0
	}
	return g.log[index-g.base.Index-1].Term
}

func (g *Group) between(low, high uint64) []*schema.Record {
	return g.log[low-g.base.Index : high-g.base.Index]
}

func (g *Group) findMemberSet() {
	g.memberSet, g.memberSetAt = g.base.MemberSet, g.base.Index
	if g.memberSet == nil {
		g.memberSet = &schema.MemberSet{}
	}
	for _, record := range g.log {
		if record.Kind == schema.RecordKind_RECORD_MEMBER_SET {
			g.memberSet, g.memberSetAt = record.MemberSet, record.Index
		}
	}
}

func (g *Group) memberSetUnder(index uint64) *schema.MemberSet {
	memberSet := g.base.MemberSet
	for _, record := range g.log {
		if record.Index <= index && record.Kind == schema.RecordKind_RECORD_MEMBER_SET {
			memberSet = record.MemberSet
		}
	}
	return memberSet
}

// put appends records, replacing whatever stood from the first one on.
func (g *Group) put(records []*schema.Record) {
	first := records[0].Index
	if first <= g.commit {
		panic("raft: a committed record would be replaced in " + g.name)
	}
	// The log is long and member sets are rare: it is looked through only when one
	// may have come or gone.
	isMemberSet := first <= g.memberSetAt
	for _, record := range records {
		isMemberSet = isMemberSet || record.Kind == schema.RecordKind_RECORD_MEMBER_SET
	}
	if first <= g.lastIndex() {
		g.log = g.log[: first-g.base.Index-1 : first-g.base.Index-1]
		if g.stable >= first {
			g.stable = first - 1
		}
	}
	g.log = append(g.log, records...)
	g.out.Changes = append(g.out.Changes, &schema.Change{Group: g.name, Records: records})
	if isMemberSet {
		g.findMemberSet()
	}
}

// Release lets the log go up to a checkpoint of the machine.
func (g *Group) Release(index uint64, data []byte) {
	if index <= g.base.Index || index > g.applied {
		return
	}
	point := &schema.Checkpoint{Index: index, Term: g.termAt(index), MemberSet: g.memberSetUnder(index), Data: data, AtUs: g.atOf(index)}
	g.log = append([]*schema.Record(nil), g.log[index-g.base.Index:]...)
	g.base = point
	g.out.Changes = append(g.out.Changes, &schema.Change{Group: g.name, Checkpoint: point})
}

// --- steps ---

func (g *Group) isVoter(id string) bool { return slices.Contains(g.memberSet.Voters, id) }

func (g *Group) quorum() int { return len(g.memberSet.Voters)/2 + 1 }

func (g *Group) resetDeadline(now eventloop.Micros) {
	spread := int64(g.times.ElectionMost - g.times.ElectionLeast)
	g.deadline = now + g.times.ElectionLeast + eventloop.Micros(g.rng.Int64N(spread+1))
}

func (g *Group) dirty() bool { return g.hardDone < g.hardSeq }

// post leaves a message; while a term or vote isn't synced nothing that tells
// of it may go out.
func (g *Group) post(to string, body proto.Message) {
	g.out.Posts = append(g.out.Posts, Post{To: to, Body: body, After: g.dirty()})
}

func (g *Group) setHard(term uint64, vote string) {
	if term == g.term && vote == g.vote {
		return
	}
	g.term, g.vote = term, vote
	g.hardSeq++
	g.out.Changes = append(g.out.Changes, &schema.Change{Group: g.name, Hard: &schema.Hard{Term: term, Vote: vote}})
}

func (g *Group) follow(now eventloop.Micros, term uint64, lead string) {
	if term > g.term {
		g.setHard(term, "")
		g.matched = 0
	}
	if g.role != follower {
		g.matched = 0
	}
	g.role, g.lead = follower, lead
	g.isYoung = g.isYoung && lead == ""
	g.peers, g.votes, g.reads, g.rounds, g.passTo, g.replies, g.calls = nil, nil, nil, nil, "", nil, 0
	g.resetDeadline(now)
}

// Tick lets time pass.
func (g *Group) Tick(now eventloop.Micros) {
	if g.role == leader {
		g.tickLeader(now)
		return
	}
	if g.role == candidate && g.calls > 0 && now >= g.callAt {
		g.calls--
		g.callAt = now + callRest
		g.requestVotes(g.term, false, false)
	}
	if now < g.deadline {
		return
	}
	g.lead = ""
	g.resetDeadline(now)
	if g.isYoung {
		g.deadline = now + youngAgain + eventloop.Micros(g.rng.Int64N(int64(youngAgain)))
	}
	if g.isVoter(g.self) {
		g.ask(now)
	}
}

func (g *Group) tickLeader(now eventloop.Micros) {
	// A leader that no quorum answers can commit nothing; stepping down lets
	// callers look for its successor.
	if now-g.quorumAt > g.times.ElectionLeast {
		g.follow(now, g.term, "")
		return
	}
	if g.passTo != "" && now > g.passUntil {
		g.passTo = ""
	}
	if now >= g.nextBeat {
		g.beat(now)
	}
}

func (g *Group) beat(now eventloop.Micros) {
	g.nextBeat = now + g.times.Beat
	g.round++
	g.rounds[g.round] = now
	g.syncPeers(now)
	for _, id := range g.others() {
		g.post(id, &schema.Beat{
			Group: g.name, Term: g.term, Commit: g.commit, Round: g.round, Sure: g.commit >= g.first, WallOffsetUs: g.wallOffset,
			Heard: g.peers[id].round,
		})
	}
	g.countRounds(now)
}

func (g *Group) others() []string {
	var list []string
	for _, id := range append(append([]string(nil), g.memberSet.Voters...), g.memberSet.Learners...) {
		if id != g.self {
			list = append(list, id)
		}
	}
	return list
}

func (g *Group) ask(now eventloop.Micros) {
	g.asks++
	g.role = asking
	g.votes = map[string]bool{g.self: true}
	g.requestVotes(g.term+1, true, false)
	g.countVotes(now)
}

func (g *Group) campaign(now eventloop.Micros, asked bool) {
	g.role = candidate
	g.lead = ""
	g.setHard(g.term+1, g.self)
	g.votes = map[string]bool{g.self: true}
	g.requestVotes(g.term, false, asked)
	g.resetDeadline(now)
	g.countVotes(now)
}

// Stand makes a voter campaign in a group that is just being founded, so that it
// needn't wait for an election's time. Nobody can lead before the first term, so
// no pre-vote is needed; whoever has lived through any term stays as it is.
// Others may found the group a little later and drop the first calls, so they
// are made again for a while.
func (g *Group) Stand(now eventloop.Micros) {
	if g.term > 0 || g.lastIndex() > 0 || g.role != follower || !g.isVoter(g.self) {
		return
	}
	g.calls, g.callAt = mostCalls, now+callRest
	g.campaign(now, false)
}

// Found gives the first voters to a replica that was opened by a leader's word
// before it heard that it is one of them itself.
func (g *Group) Found(voters []string) {
	if g.base.Index > 0 || len(g.base.MemberSet.GetVoters()) > 0 {
		return
	}
	g.base = &schema.Checkpoint{MemberSet: &schema.MemberSet{Voters: voters}}
	g.findMemberSet()
	g.out.Changes = append(g.out.Changes, &schema.Change{Group: g.name, Checkpoint: g.base})
}

func (g *Group) requestVotes(term uint64, pre, asked bool) {
	for _, id := range g.memberSet.Voters {
		if id != g.self {
			g.post(id, &schema.Vote{Group: g.name, Term: term, LastIndex: g.lastIndex(), LastTerm: g.lastTerm(), Pre: pre, Asked: asked})
		}
	}
}

func (g *Group) countVotes(now eventloop.Micros) {
	count := 0
	for _, id := range g.memberSet.Voters {
		if g.votes[id] {
			count++
		}
	}
	if count < g.quorum() {
		return
	}
	switch {
	case g.role == asking:
		g.campaign(now, false)
	case g.role == candidate && !g.dirty():
		g.becomeLeader(now)
	}
}

func (g *Group) becomeLeader(now eventloop.Micros) {
	g.role, g.lead, g.isYoung = leader, g.self, false
	g.peers = map[string]*progress{}
	g.rounds = map[uint64]eventloop.Micros{}
	g.reads = nil
	g.quorumAt = now
	g.timeBase, g.timeMono, g.steppedAt = g.lastAt(), now, 0
	g.syncPeers(now)
	g.first = g.lastIndex() + 1
	// A leader knows what is committed only through a record of its own term.
	g.add(now, &schema.Record{Kind: schema.RecordKind_RECORD_FIRST})
	g.beat(now)
}

func (g *Group) syncPeers(now eventloop.Micros) {
	for _, id := range g.others() {
		if g.peers[id] == nil {
			// Nothing is known of its log yet: one Append asks whether it is ours.
			g.peers[id] = &progress{next: g.lastIndex() + 1, moved: now, probing: true}
		}
	}
	for id := range g.peers {
		if !g.isVoter(id) && !slices.Contains(g.memberSet.Learners, id) {
			delete(g.peers, id)
		}
	}
}

func (g *Group) add(now eventloop.Micros, record *schema.Record) uint64 {
	record.Index, record.Term, record.AtUs = g.lastIndex()+1, g.term, g.GroupTime(now)
	g.put([]*schema.Record{record})
	if record.Kind == schema.RecordKind_RECORD_MEMBER_SET {
		g.syncPeers(now)
	}
	for _, id := range g.others() {
		g.feed(now, id)
	}
	g.advance(now)
	return record.Index
}

// Propose appends a command; its index and term tell it apart when applied.
func (g *Group) Propose(now eventloop.Micros, data []byte) (index, term uint64, err error) {
	if g.role != leader {
		return 0, 0, NotLeader.New("%s is led by %q", g.name, g.lead)
	}
	if g.passTo != "" {
		return 0, 0, Busy.New("%s is being handed over", g.name)
	}
	return g.add(now, &schema.Record{Kind: schema.RecordKind_RECORD_COMMAND, Data: data}), g.term, nil
}

// ProposeMemberSet changes the members by one; the next change waits until this
// one is committed.
func (g *Group) ProposeMemberSet(now eventloop.Micros, memberSet *schema.MemberSet) error {
	if g.role != leader {
		return NotLeader.New("%s is led by %q", g.name, g.lead)
	}
	if g.memberSetAt > g.commit || g.commit < g.first {
		return Busy.New("%s: the last change of members isn't committed", g.name)
	}
	g.add(now, &schema.Record{Kind: schema.RecordKind_RECORD_MEMBER_SET, MemberSet: memberSet})
	return nil
}

// Read asks that a request be answered from a state no older than now.
func (g *Group) Read(now eventloop.Micros, request uint64) error {
	if g.role != leader || g.commit < g.first {
		return NotLeader.New("%s is led by %q", g.name, g.lead)
	}
	g.reads = append(g.reads, read{request: request, index: g.commit, round: g.round + 1})
	return nil
}

// FlushReads starts a round for the reads that wait for one: all those of a
// pass share it.
func (g *Group) FlushReads(now eventloop.Micros) {
	if g.role != leader || len(g.reads) == 0 || g.reads[len(g.reads)-1].round <= g.round {
		return
	}
	// While a round is on its way the next waits for its answer, so that many
	// reads cost one round; a lost answer holds it up until the next beat.
	if _, isOpen := g.rounds[g.round]; isOpen && g.quorumAt < g.rounds[g.round] {
		return
	}
	g.beat(now)
}

// Announce tells at once what is committed, rather than with the next beat or record.
func (g *Group) Announce(now eventloop.Micros) {
	if g.role == leader {
		g.beat(now)
	}
}

// Pass hands the leadership to a voter that has the whole log.
func (g *Group) Pass(now eventloop.Micros, to string) {
	if g.role != leader || to == g.self || !g.isVoter(to) || g.passTo != "" {
		return
	}
	g.passTo, g.passUntil = to, now+g.times.ElectionLeast
	g.tryPass()
}

// Passing is whom the leadership is being handed to, if it is.
func (g *Group) Passing() string { return g.passTo }

func (g *Group) tryPass() {
	if p := g.peers[g.passTo]; g.passTo != "" && p != nil && p.match == g.lastIndex() {
		g.post(g.passTo, &schema.Urge{Group: g.name, Term: g.term})
	}
}

// Synced says that a batch with this mark lasts.
func (g *Group) Synced(now eventloop.Micros, mark Mark) {
	if mark.Hard > g.hardDone {
		g.hardDone = mark.Hard
		g.countVotes(now)
	}
	// The record may have been replaced since: the same index in another term
	// isn't the record that was synced.
	if mark.Index > g.stable && mark.Index >= g.base.Index && g.termAt(mark.Index) == mark.Term {
		g.stable = mark.Index
		if g.role == leader {
			g.advance(now)
		} else if g.lead != "" && g.matched > 0 {
			g.acknowledge(g.lead)
		}
	}
}

func (g *Group) acknowledge(to string) {
	g.post(to, &schema.AppendReply{Group: g.name, Term: g.term, Match: min(g.matched, g.stable)})
}

// Step takes a message of another replica.
func (g *Group) Step(now eventloop.Micros, from string, body any) {
	switch m := body.(type) {
	case *schema.Vote:
		g.onVote(now, from, m)
	case *schema.VoteReply:
		g.onVoteReply(now, from, m)
	case *schema.Append:
		g.onAppend(now, from, m)
	case *schema.AppendReply:
		g.onAppendReply(now, from, m)
	case *schema.Install:
		g.onInstall(now, from, m)
	case *schema.Beat:
		g.onBeat(now, from, m)
	case *schema.BeatReply:
		g.onBeatReply(now, from, m)
	case *schema.Urge:
		if m.Term == g.term && g.role != leader && g.isVoter(g.self) {
			g.campaign(now, true)
		}
	}
}

func (g *Group) onVote(now eventloop.Micros, from string, m *schema.Vote) {
	// Who hears a leader keeps it: a replica that was cut off and comes back
	// disturbs nobody. A leader's own wish to pass goes through.
	isLed := g.lead != "" && (g.role == leader || now-g.heard < g.times.ElectionLeast)
	if isLed && !m.Asked {
		if m.Pre {
			g.post(from, &schema.VoteReply{Group: g.name, Term: g.term, Pre: true})
		}
		return
	}
	isFresh := m.LastTerm > g.lastTerm() || m.LastTerm == g.lastTerm() && m.LastIndex >= g.lastIndex()
	if m.Pre {
		// Of two that ask at once with equal logs one goes first, or the two of
		// three that are left would split the vote.
		isFirst := g.role == asking && g.self < from && m.LastTerm == g.lastTerm() && m.LastIndex == g.lastIndex()
		if m.Term > g.term && isFresh && !isFirst {
			g.post(from, &schema.VoteReply{Group: g.name, Term: m.Term, Granted: true, Pre: true})
		} else {
			g.post(from, &schema.VoteReply{Group: g.name, Term: g.term, Pre: true})
		}
		return
	}
	if m.Term > g.term {
		g.follow(now, m.Term, "")
	}
	isGranted := m.Term == g.term && isFresh && (g.vote == "" || g.vote == from)
	if isGranted {
		g.setHard(g.term, from)
		g.resetDeadline(now)
	}
	g.post(from, &schema.VoteReply{Group: g.name, Term: g.term, Granted: isGranted})
}

func (g *Group) onVoteReply(now eventloop.Micros, from string, m *schema.VoteReply) {
	if !m.Granted {
		if m.Term > g.term {
			g.follow(now, m.Term, "")
		}
		return
	}
	isMine := m.Pre && g.role == asking && m.Term == g.term+1 || !m.Pre && g.role == candidate && m.Term == g.term
	if isMine {
		g.votes[from] = true
		g.countVotes(now)
	}
}

// led notes word of a term's leader and tells whether it is to be heeded.
func (g *Group) led(now eventloop.Micros, from string, term uint64) bool {
	if term < g.term {
		return false
	}
	if term > g.term || g.role != follower || g.lead != from {
		g.follow(now, term, from)
	}
	g.heard = now
	g.resetDeadline(now)
	return true
}

func (g *Group) onAppend(now eventloop.Micros, from string, m *schema.Append) {
	if !g.led(now, from, m.Term) {
		g.post(from, &schema.AppendReply{Group: g.name, Term: g.term, Rejected: true})
		return
	}
	prev, prevTerm, records := m.PrevIndex, m.PrevTerm, m.Records
	// What lies under our base is committed, so it is the leader's too.
	for prev < g.base.Index && len(records) > 0 && records[0].Index <= g.base.Index {
		prev, prevTerm, records = records[0].Index, records[0].Term, records[1:]
	}
	if prev < g.base.Index {
		g.matched = max(g.matched, g.base.Index)
		g.acknowledge(from)
		return
	}
	if prev > g.lastIndex() || g.termAt(prev) != prevTerm {
		g.post(from, &schema.AppendReply{Group: g.name, Term: g.term, Rejected: true, Hint: min(g.lastIndex(), prev-1), Prev: m.PrevIndex})
		return
	}
	isNew := false
	for k, record := range records {
		if record.Index > g.lastIndex() || g.termAt(record.Index) != record.Term {
			g.put(records[k:])
			isNew = true
			break
		}
	}
	g.matched = max(g.matched, prev+uint64(len(records)))
	g.commitTo(min(m.Commit, g.matched))
	if !isNew {
		g.acknowledge(from)
	}
}

func (g *Group) onInstall(now eventloop.Micros, from string, m *schema.Install) {
	if !g.led(now, from, m.Term) {
		g.post(from, &schema.AppendReply{Group: g.name, Term: g.term, Rejected: true})
		return
	}
	point := m.Checkpoint
	g.matched = max(g.matched, point.Index)
	if point.Index <= g.commit {
		g.acknowledge(from)
		return
	}
	isKept := g.termAt(point.Index) == point.Term && point.Index <= g.lastIndex()
	if isKept {
		g.log = append([]*schema.Record(nil), g.log[point.Index-g.base.Index:]...)
	} else {
		g.log = nil
	}
	g.base = point
	g.commit, g.applied = point.Index, point.Index
	g.stable = min(g.stable, point.Index-1)
	g.findMemberSet()
	g.out.Changes = append(g.out.Changes, &schema.Change{Group: g.name, Checkpoint: point, Reset_: !isKept})
	g.out.Restore, g.out.Commits = point, nil
}

func (g *Group) onBeat(now eventloop.Micros, from string, m *schema.Beat) {
	if !g.led(now, from, m.Term) {
		g.post(from, &schema.AppendReply{Group: g.name, Term: g.term, Rejected: true})
		return
	}
	g.commitTo(min(m.Commit, g.matched))
	if m.WallOffsetUs != 0 {
		g.wallOffset = m.WallOffsetUs
	}
	// A beat may have lain in a buffer for any time, ours while we were frozen, or
	// the wire's. It is only surely younger than the reply of ours it has heard.
	for _, each := range g.replies {
		if m.Sure && g.applied >= m.Commit && each.round == m.Heard {
			g.caught = max(g.caught, each.at)
		}
	}
	g.replies = append(g.replies, reply{m.Round, now})
	if len(g.replies) > keptReplies {
		g.replies = g.replies[1:]
	}
	g.post(from, &schema.BeatReply{Group: g.name, Term: g.term, Round: m.Round, Match: min(g.matched, g.stable)})
}

func (g *Group) commitTo(index uint64) {
	if index <= g.commit {
		return
	}
	g.commit = index
	g.out.Commits = append(g.out.Commits, g.between(g.applied, g.commit)...)
	g.applied = g.commit
}

// --- leader ---

func (g *Group) feed(now eventloop.Micros, id string) {
	p := g.peers[id]
	if p == nil || p.installing {
		return
	}
	if p.next <= g.base.Index {
		p.installing, p.moved = true, now
		g.post(id, &schema.Install{Group: g.name, Term: g.term, Checkpoint: g.base})
		return
	}
	if p.probing && p.probed {
		return
	}
	// Where nothing is known to match, the end of a long log lies further away
	// than that, and a probe is a single Append anyway.
	for p.next <= g.lastIndex() && (p.probing || p.next <= p.match+maxFlight) {
		high := min(g.lastIndex(), p.next+maxBatch-1)
		records := g.between(p.next-1, high)
		size := 0
		for k, record := range records {
			if size += len(record.Data); size > maxBytes && k > 0 {
				records = records[:k]
				break
			}
		}
		g.post(id, &schema.Append{
			Group: g.name, Term: g.term, PrevIndex: p.next - 1, PrevTerm: g.termAt(p.next - 1),
			Commit: g.commit, Records: append([]*schema.Record(nil), records...),
		})
		p.moved = now
		if p.probing {
			p.probed = true
			return
		}
		p.next += uint64(len(records))
	}
}

// probe goes back to a place and sends from there one Append alone.
func (g *Group) probe(now eventloop.Micros, id string, p *progress, next uint64) {
	p.next, p.probing, p.probed = next, true, false
	g.feed(now, id)
}

func (g *Group) heardFrom(now eventloop.Micros, from string, term uint64) *progress {
	if term > g.term {
		g.follow(now, term, "")
		return nil
	}
	if g.role != leader || term < g.term {
		return nil
	}
	p := g.peers[from]
	if p != nil {
		p.heard = now
	}
	return p
}

func (g *Group) onAppendReply(now eventloop.Micros, from string, m *schema.AppendReply) {
	p := g.heardFrom(now, from, m.Term)
	if p == nil {
		return
	}
	if m.Rejected {
		// Of all that were on their way only the first refusal counts: were each
		// answered with all that follows, every one would be refused anew, and
		// the more so the more there are.
		isStale := m.Prev <= p.match || p.probing && m.Prev != p.next-1
		if !isStale {
			p.installing = false
			g.probe(now, from, p, max(min(m.Hint+1, m.Prev), p.match+1))
		}
		return
	}
	if m.Match+1 >= p.next {
		p.probing = false
	}
	g.progressed(now, from, p, m.Match)
}

func (g *Group) progressed(now eventloop.Micros, from string, p *progress, match uint64) {
	if match > p.match {
		p.match, p.moved = match, now
		p.next = max(p.next, match+1)
		p.probing = false
		if p.installing && match >= g.base.Index {
			p.installing = false
		}
		g.advance(now)
		g.tryPass()
	}
	if g.role == leader {
		g.feed(now, from)
	}
}

func (g *Group) onBeatReply(now eventloop.Micros, from string, m *schema.BeatReply) {
	p := g.heardFrom(now, from, m.Term)
	if p == nil {
		return
	}
	p.round = max(p.round, m.Round)
	p.wall = m.WallUs - int64(now)
	g.progressed(now, from, p, m.Match)
	// Nothing moved for two beats though something is outstanding: it was lost
	// on the way, so go back to what is known.
	if p.match < g.lastIndex() && now-p.moved > 2*g.times.Beat {
		if now-p.moved > g.times.ElectionLeast {
			p.installing = false
		}
		// A probe that was lost is made again where it was: from what is known,
		// which may be nothing, all of a long log would go out once more.
		next := p.match + 1
		if p.probing {
			next = max(next, min(p.next, g.lastIndex()))
		}
		g.probe(now, from, p, next)
	}
	g.countRounds(now)
}

func (g *Group) countRounds(now eventloop.Micros) {
	round := g.nth(func(id string) uint64 {
		if id == g.self {
			return g.round
		}
		return g.peers[id].round
	})
	if sent, known := g.rounds[round]; known {
		g.quorumAt = max(g.quorumAt, sent)
		for old := range g.rounds {
			if old < round {
				delete(g.rounds, old)
			}
		}
	}
	k := 0
	for ; k < len(g.reads) && g.reads[k].round <= round; k++ {
		g.out.Reads = append(g.out.Reads, g.reads[k].request)
	}
	g.reads = g.reads[k:]
}

// nth is the greatest value that a quorum of voters has reached.
func (g *Group) nth(value func(id string) uint64) uint64 {
	var values []uint64
	for _, id := range g.memberSet.Voters {
		if id == g.self || g.peers[id] != nil {
			values = append(values, value(id))
		} else {
			values = append(values, 0)
		}
	}
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] > values[j] })
	return values[g.quorum()-1]
}

func (g *Group) advance(now eventloop.Micros) {
	if g.role != leader {
		return
	}
	index := g.nth(func(id string) uint64 {
		if id == g.self {
			return g.stable
		}
		return g.peers[id].match
	})
	// Only a record of this term proves the ones under it.
	if index > g.commit && g.termAt(index) == g.term {
		g.commitTo(index)
		// A leader that has been voted out stays until that is committed.
		if g.memberSetAt <= g.commit && !g.isVoter(g.self) {
			g.follow(now, g.term, "")
		}
	}
}
