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

// Timeouts are a group's spans; see the sum in docs/design.md.
type Timeouts struct {
	ElectionMin       eventloop.Micros
	ElectionMax       eventloop.Micros
	HeartbeatInterval eventloop.Micros
}

// DefaultTimeouts are the defaults of the chosen design.
var DefaultTimeouts = Timeouts{ElectionMin: 450 * eventloop.Millisecond, ElectionMax: 750 * eventloop.Millisecond, HeartbeatInterval: 100 * eventloop.Millisecond}

// leaderLease is how long after a round that a quorum answered a leader may act
// outward: less than any of those waits before it votes for another.
func (t Timeouts) leaderLease() eventloop.Micros { return 3 * t.HeartbeatInterval }

// Rand draws a number below n.
type Rand interface{ Int64N(n int64) int64 }

const (
	maxEntriesPerAppend = 64   // records in one Append
	maxInflightEntries  = 1024 // records sent beyond what is known matched

	maxHeartbeatResponses = 16 // beats whose answering is remembered

	bootstrapVoteInterval  = 50 * eventloop.Millisecond // between two calls of a founder that stands
	maxBootstrapVoteRounds = 12

	restartYieldDelay = 150 * eventloop.Millisecond // how much longer others wait after a start than whoever led last
	restartJitter     = 150 * eventloop.Millisecond // spread of their waits
	restartRetryDelay = 100 * eventloop.Millisecond // and between two pre-votes of one, until somebody leads
)

type role int

const (
	follower     role = iota
	preCandidate      // pre-vote
	candidate
	leader
)

func (r role) String() string { return [...]string{"follower", "asking", "candidate", "leader"}[r] }

// Message is a message for another replica. One that says a term, a vote or a
// record is held must wait until that is synced.
type Message struct {
	To        string
	Body      proto.Message
	AfterSync bool
}

// SyncPoint says what a batch of changes makes durable for a group.
type SyncPoint struct {
	Index, Term  uint64 // last record
	HardStateSeq uint64 // how many hard states were written
}

// Ready are what a step leaves.
type Ready struct {
	Messages         []Message
	Changes          []*schema.StoreChange
	Snapshot         *schema.Snapshot // replaces the machine before Commits
	CommittedEntries []*schema.Entry
	ReadRequests     []uint64 // requests that may now be read
}

// Group is one replica of one group.
type Group struct {
	name, self string
	timeouts   Timeouts
	rng        Rand

	term uint64
	vote string
	role role
	lead string

	snapshot           *schema.Snapshot // what the log stands on; its data is the storage's
	log                []*schema.Entry
	stable             uint64
	commit             uint64
	applied            uint64
	memberSet          *schema.MemberSet
	memberSetIndex     uint64
	hardStateSeq       uint64 // hard states written
	syncedHardStateSeq uint64 // hard states synced
	matchIndex         uint64 // as follower: how far the log is the leader's
	electionDeadline   eventloop.Micros
	preVoteCount       int
	justRestarted      bool             // no leader was heard since this start
	formerLeaseExpiry  eventloop.Micros // a leader that was answered before this start may act until then
	lastHeard          eventloop.Micros
	freshAsOf          eventloop.Micros
	votes              map[string]bool

	peers               map[string]*progress
	round               uint64
	roundSentAt         map[uint64]eventloop.Micros
	quorumAckedAt       eventloop.Micros
	nextHeartbeat       eventloop.Micros
	noOpIndex           uint64 // index of this leader's first record
	pendingReads        []readRequest
	transferee          string
	transferDeadline    eventloop.Micros
	bootstrapRoundsLeft int              // how often a founder that stands still calls for votes
	nextBootstrapRound  eventloop.Micros // and when next
	groupTimeBase       int64
	groupTimeStart      eventloop.Micros
	ready               Ready

	chunkedSends       uint64              // how many this replica has begun
	reassembly         reassembly          // what our leader sends us in parts
	heartbeatResponses []heartbeatResponse // beats answered of this term, the latest last
	wallOffset         int64               // wall less group time, when three clocks last agreed
	wallOffsetTerm     uint64              // as whose leader we found that
	clockJumpAt        eventloop.Micros    // the middle clock has jumped, and isn't believed yet

	readOnly bool // the store takes no writes
}

// New makes a replica from what its store holds.
func New(name, self string, state *storage.GroupState, times Timeouts, rng Rand, now eventloop.Micros) *Group {
	g := &Group{name: name, self: self, timeouts: times, rng: rng, snapshot: state.Snapshot}
	g.term, g.vote = state.HardState.Term, state.HardState.Vote
	g.log = append(g.log, state.Entries...)
	g.commit, g.applied = g.snapshot.Index, g.snapshot.Index
	g.stable = g.lastIndex()
	g.refreshMemberSet()
	g.resetElectionDeadline(now)
	// Whatever leader there was, this replica hasn't answered it since before its
	// start, so it needn't wait as long as one that has. A pre-vote harms nobody,
	// and who led last, as its own vote says, is let go first: so one machine
	// takes up again all that it led.
	if g.justRestarted = g.term > 0; g.justRestarted {
		g.formerLeaseExpiry = now + times.leaderLease()
		g.electionDeadline = g.formerLeaseExpiry
		if g.vote != self {
			g.electionDeadline += restartYieldDelay + eventloop.Micros(rng.Int64N(int64(restartJitter)))
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

// CommitIndex is the index up to which records are known to be committed.
func (g *Group) CommitIndex() uint64 { return g.commit }

// AppliedIndex is the index up to which committed records were handed over.
func (g *Group) AppliedIndex() uint64 { return g.applied }

// StableIndex is the index up to which the log is synced here.
func (g *Group) StableIndex() uint64 { return g.stable }

// SnapshotIndex is the index of the snapshot that the log stands on.
func (g *Group) SnapshotIndex() uint64 { return g.snapshot.Index }

// LastIndex is the index of the log's last record.
func (g *Group) LastIndex() uint64 { return g.lastIndex() }

// SnapshotBytes is the size of the snapshot that the log stands on.
func (g *Group) SnapshotBytes() int { return len(g.snapshot.Data) }

// MemberSet is the group's newest membership, committed or not; not to be changed.
func (g *Group) MemberSet() *schema.MemberSet { return g.memberSet }

// NoOpIndex is the index of the no-op with which this leader began its term.
func (g *Group) NoOpIndex() uint64 { return g.noOpIndex }

// PreVoteCount is how often this replica has missed a leader and asked for votes.
func (g *Group) PreVoteCount() int { return g.preVoteCount }

// HoldsLeaderLease tells whether this leader may act outward: it has applied its own
// first record, and a quorum has answered it within three beats. One that was
// frozen finds itself silent on waking, before it knows of its successor.
func (g *Group) HoldsLeaderLease(now eventloop.Micros) bool {
	return g.role == leader && g.applied >= g.noOpIndex && now-g.quorumAckedAt <= g.timeouts.leaderLease()
}

// FreshAsOf is when this replica last held all that its leader had committed, or
// as leader last heard its quorum.
func (g *Group) FreshAsOf() eventloop.Micros {
	if g.role == leader {
		// A new leader may hold committed records that it doesn't know to be.
		if g.applied < g.noOpIndex {
			return 0
		}
		return g.quorumAckedAt
	}
	return g.freshAsOf
}

// PeerProgress tells how far a peer is known to hold the log, and when it last answered.
func (g *Group) PeerProgress(peer string) (uint64, eventloop.Micros) {
	if p := g.peers[peer]; p != nil {
		return p.match, p.lastHeard
	}
	return 0, 0
}

// Ready hands over what the steps since the last call have left.
func (g *Group) Ready() (Ready, SyncPoint) {
	ready := g.ready
	g.ready = Ready{}
	return ready, SyncPoint{Index: g.lastIndex(), Term: g.lastTerm(), HardStateSeq: g.hardStateSeq}
}

func (g *Group) hasUnsyncedHardState() bool { return g.syncedHardStateSeq < g.hardStateSeq }

// send leaves a message; while a term or vote isn't synced nothing that tells
// of it may go out.
func (g *Group) send(to string, body proto.Message) {
	g.ready.Messages = append(g.ready.Messages, Message{To: to, Body: body, AfterSync: g.hasUnsyncedHardState()})
}

// Tick lets time pass.
func (g *Group) Tick(now eventloop.Micros) {
	if g.role == leader {
		g.tickLeader(now)
		return
	}
	if g.role == candidate && g.bootstrapRoundsLeft > 0 && now >= g.nextBootstrapRound {
		g.bootstrapRoundsLeft--
		g.nextBootstrapRound = now + bootstrapVoteInterval
		g.requestVotes(g.term, false, false)
	}
	if now < g.electionDeadline {
		return
	}
	g.lead = ""
	g.resetElectionDeadline(now)
	if g.justRestarted {
		g.electionDeadline = now + restartRetryDelay + eventloop.Micros(g.rng.Int64N(int64(restartRetryDelay)))
	}
	if g.isVoter(g.self) && !g.readOnly {
		g.startPreVote(now)
	}
}

func (g *Group) tickLeader(now eventloop.Micros) {
	// A leader that no quorum answers can commit nothing; stepping down lets
	// callers look for its successor.
	if now-g.quorumAckedAt > g.timeouts.ElectionMin {
		g.becomeFollower(now, g.term, "")
		return
	}
	if g.transferee != "" && now > g.transferDeadline {
		g.transferee = ""
	}
	if now >= g.nextHeartbeat {
		g.broadcastHeartbeat(now)
	}
}

// Step takes a message of another replica.
func (g *Group) Step(now eventloop.Micros, from string, body any) {
	switch m := body.(type) {
	case *schema.VoteRequest:
		g.handleVoteRequest(now, from, m)
	case *schema.VoteResponse:
		g.handleVoteResponse(now, from, m)
	case *schema.AppendRequest:
		g.handleAppendRequest(now, from, m)
	case *schema.AppendResponse:
		g.handleAppendResponse(now, from, m)
	case *schema.InstallSnapshot:
		g.handleInstallSnapshot(now, from, m)
	case *schema.TransferChunk:
		g.handleTransferChunk(now, from, m)
	case *schema.TransferChunkResponse:
		g.handleTransferChunkResponse(now, from, m)
	case *schema.Heartbeat:
		g.handleHeartbeat(now, from, m)
	case *schema.HeartbeatResponse:
		g.handleHeartbeatResponse(now, from, m)
	case *schema.TimeoutNow:
		if m.Term == g.term && g.role != leader && g.isVoter(g.self) && !g.readOnly {
			g.campaign(now, true)
		}
	}
}
