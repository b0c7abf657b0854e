// Package raft is one group's agreement as a step function: it takes the time
// and a message and leaves messages, disk changes and committed records. It
// does no I/O, reads no clock, and draws only from the generator it is given.
package raft

import (
	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

var (
	// Errors is the namespace of what this package refuses.
	Errors = errorx.NewNamespace("raft")
	// NotLeader means that another replica leads, or none.
	NotLeader = Errors.NewType("not_leader")
	// Busy means that the leader takes no more at present; it may later.
	Busy = Errors.NewType("busy")
)

// Times are a group's spans; see the sum in docs/design.md.
type Times struct {
	ElectionLeast eventloop.Micros
	ElectionMost  eventloop.Micros
	Beat          eventloop.Micros
}

// UsualTimes are the defaults of the chosen design.
var UsualTimes = Times{ElectionLeast: 450 * eventloop.Millisecond, ElectionMost: 750 * eventloop.Millisecond, Beat: 100 * eventloop.Millisecond}

// acting is how long after a round that a quorum answered a leader may act
// outward: less than any of those waits before it votes for another.
func (t Times) acting() eventloop.Micros { return 3 * t.Beat }

// Source draws a number below n.
type Source interface{ Int64N(n int64) int64 }

const (
	maxBatch  = 64   // records in one Append
	maxFlight = 1024 // records sent beyond what is known matched

	keptReplies = 16 // beats whose answering is remembered

	callRest  = 50 * eventloop.Millisecond // between two calls of a founder that stands
	mostCalls = 12

	yieldSpan  = 150 * eventloop.Millisecond // how much longer others wait after a start than whoever led last
	youngSpan  = 150 * eventloop.Millisecond // spread of their waits
	youngAgain = 100 * eventloop.Millisecond // and between two pre-votes of one, until somebody leads
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
	Changes []*schema.StoreChange
	Restore *schema.Snapshot // replaces the machine before Commits
	Commits []*schema.Entry
	Reads   []uint64 // requests that may now be read
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

	base        *schema.Snapshot // what the log stands on; its data is the storage's
	log         []*schema.Entry
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
	isYoung     bool             // no leader was heard since this start
	boundUntil  eventloop.Micros // a leader that was answered before this start may act until then
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

	transfers  uint64           // how many this replica has begun
	assembly   assembly         // what our leader sends us in parts
	replies    []reply          // beats answered of this term, the latest last
	wallOffset int64            // wall less group time, when three clocks last agreed
	wallTerm   uint64           // as whose leader we found that
	steppedAt  eventloop.Micros // the middle clock has jumped, and isn't believed yet

	isReadOnly bool // the store takes no writes
}

// New makes a replica from what its store holds.
func New(name, self string, image *storage.GroupState, times Times, rng Source, now eventloop.Micros) *Group {
	g := &Group{name: name, self: self, times: times, rng: rng, base: image.Snapshot}
	g.term, g.vote = image.HardState.Term, image.HardState.Vote
	g.log = append(g.log, image.Entries...)
	g.commit, g.applied = g.base.Index, g.base.Index
	g.stable = g.lastIndex()
	g.findMemberSet()
	g.resetDeadline(now)
	// Whatever leader there was, this replica hasn't answered it since before its
	// start, so it needn't wait as long as one that has. A pre-vote harms nobody,
	// and who led last, as its own vote says, is let go first: so one machine
	// takes up again all that it led.
	if g.isYoung = g.term > 0; g.isYoung {
		g.boundUntil = now + times.acting()
		g.deadline = g.boundUntil
		if g.vote != self {
			g.deadline += yieldSpan + eventloop.Micros(rng.Int64N(int64(youngSpan)))
		}
	}
	return g
}

// Name is the group's name.
func (g *Group) Name() string { return g.name }

// Term is the current term, as far as this replica knows.
func (g *Group) Term() uint64 { return g.term }

// Leader is the id of the leader of this term; empty while none is known.
func (g *Group) Leader() string { return g.lead }

// IsLeader tells whether this replica leads; see Acting for whether it may act.
func (g *Group) IsLeader() bool { return g.role == leader }

// Role is the replica's role in words.
func (g *Group) Role() string { return g.role.String() }

// Commit is the index up to which records are known to be committed.
func (g *Group) Commit() uint64 { return g.commit }

// Applied is the index up to which committed records were handed over.
func (g *Group) Applied() uint64 { return g.applied }

// Stable is the index up to which the log is synced here.
func (g *Group) Stable() uint64 { return g.stable }

// Base is the index of the snapshot that the log stands on.
func (g *Group) Base() uint64 { return g.base.Index }

// Last is the index of the log's last record.
func (g *Group) Last() uint64 { return g.lastIndex() }

// BaseBytes is the size of the snapshot that the log stands on.
func (g *Group) BaseBytes() int { return len(g.base.Data) }

// MemberSet is the group's newest membership, committed or not; not to be changed.
func (g *Group) MemberSet() *schema.MemberSet { return g.memberSet }

// First is the index of the no-op with which this leader began its term.
func (g *Group) First() uint64 { return g.first }

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

// Take hands over what the steps since the last call have left.
func (g *Group) Take() (Effects, Mark) {
	out := g.out
	g.out = Effects{}
	return out, Mark{Index: g.lastIndex(), Term: g.lastTerm(), Hard: g.hardSeq}
}

func (g *Group) dirty() bool { return g.hardDone < g.hardSeq }

// post leaves a message; while a term or vote isn't synced nothing that tells
// of it may go out.
func (g *Group) post(to string, body proto.Message) {
	g.out.Posts = append(g.out.Posts, Post{To: to, Body: body, After: g.dirty()})
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
	if g.isVoter(g.self) && !g.isReadOnly {
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

// Step takes a message of another replica.
func (g *Group) Step(now eventloop.Micros, from string, body any) {
	switch m := body.(type) {
	case *schema.VoteRequest:
		g.onVote(now, from, m)
	case *schema.VoteResponse:
		g.onVoteReply(now, from, m)
	case *schema.AppendRequest:
		g.onAppend(now, from, m)
	case *schema.AppendResponse:
		g.onAppendReply(now, from, m)
	case *schema.InstallSnapshot:
		g.onInstall(now, from, m)
	case *schema.TransferChunk:
		g.onPart(now, from, m)
	case *schema.TransferChunkResponse:
		g.onPartReply(now, from, m)
	case *schema.Heartbeat:
		g.onBeat(now, from, m)
	case *schema.HeartbeatResponse:
		g.onBeatReply(now, from, m)
	case *schema.TimeoutNow:
		if m.Term == g.term && g.role != leader && g.isVoter(g.self) && !g.isReadOnly {
			g.campaign(now, true)
		}
	}
}
