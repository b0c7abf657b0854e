// Package raft implements the Raft consensus algorithm for one replica of one
// group, as a deterministic state machine in the manner of etcd's raft: a caller
// feeds it time (Tick), messages (Step), proposals and sync confirmations
// (MarkSynced), and takes from Ready what is to be sent, written and applied. The
// package does no I/O, reads no clock, starts no goroutines and draws random
// numbers only from the Rand it is given. A Group isn't safe for concurrent use;
// the component that hosts it owns it.
//
// Implemented are leader election with pre-vote, check quorum and a leader lease,
// log replication, single-server membership changes with learners, snapshots,
// leadership transfer (TimeoutNow) and linearizable reads (ReadIndex). Sections
// named in comments are those of D. Ongaro's dissertation, "Consensus: Bridging
// Theory and Practice" (2014).
//
// Files by concern: election.go (terms and votes), bootstrap.go (the first term),
// leadership_transfer.go, replication.go (appends and commit), heartbeat.go
// (rounds, quorum contact and freshness), readindex.go, progress.go (what the
// leader knows of each peer), flowcontrol.go and chunks.go (bounds on what is in
// flight, large messages), log.go and snapshot.go, membership.go, durability.go
// (what waits for a sync), grouptime.go (the group's clock), clone.go and
// fingerprint.go (for the model checker).
package raft

import (
	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("raft")
	// NotLeader means that this replica isn't the leader, or not yet able to serve as
	// one; the message names the leader where it is known.
	NotLeader = Errors.NewType("not_leader")
	// Busy means that the leader can't accept the request now; a retry may succeed.
	Busy = Errors.NewType("busy")
)

// Timeouts are the timing parameters of a group; docs/design.md derives the defaults.
type Timeouts struct {
	ElectionMin       eventloop.Micros // least election timeout
	ElectionMax       eventloop.Micros // greatest election timeout
	HeartbeatInterval eventloop.Micros
}

// DefaultTimeouts are the values used in production.
var DefaultTimeouts = Timeouts{
	ElectionMin:       450 * eventloop.Millisecond,
	ElectionMax:       750 * eventloop.Millisecond,
	HeartbeatInterval: 100 * eventloop.Millisecond,
}

// leaderLease is how long a leader may act outside the group after it sent a round
// of heartbeats that a quorum acknowledged (section 6.4.1). It is less than the
// least time that a voter which acknowledged waits before it votes for another.
func (t Timeouts) leaderLease() eventloop.Micros { return 3 * t.HeartbeatInterval }

// Rand is the source of randomness for election timeouts.
type Rand interface {
	// Int64N returns a number in [0, n).
	Int64N(n int64) int64
}

type role int

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// String implements fmt.Stringer. The state view's JSON calls a pre-candidate "asking"; that
// name can't change.
func (r role) String() string { return [...]string{"follower", "asking", "candidate", "leader"}[r] }

// Message is a message for another replica of the group.
type Message struct {
	To   string
	Body proto.Message
	// AfterSync tells that the message reports a term or vote that isn't durable
	// yet: it may leave only after the changes of its Ready have been synced.
	AfterSync bool
}

// Ready is the outcome of the steps since the last call of Group.Ready. Order of
// use: Changes are written, Messages without AfterSync may be sent at once, the
// others after the sync; Snapshot is restored before CommittedEntries are applied.
type Ready struct {
	Messages         []Message
	Changes          []*schema.StoreChange
	Snapshot         *schema.Snapshot // a leader's snapshot to restore; nil if none was installed
	CommittedEntries []*schema.Entry
	ConfirmedReads   []uint64 // ids of ReadIndex requests that may now be served
}

// Group is this process's replica of one Raft group.
type Group struct {
	name, self string
	timeouts   Timeouts
	rng        Rand

	// HardState and role.
	term               uint64
	vote               string
	role               role
	lead               string // leader of this term; empty if unknown
	hardStateSeq       uint64 // hard states written
	syncedHardStateSeq uint64 // hard states synced
	readOnly           bool   // the store takes no writes

	// Log.
	snapshot       *schema.Snapshot // what the log follows; immutable
	log            []*schema.Entry  // entries after the snapshot
	stable         uint64           // last index that is synced here
	commit         uint64
	memberSet      *schema.MemberSet // newest in the log, committed or not
	memberSetIndex uint64
	ready          Ready

	// Elections.
	electionDeadline    eventloop.Micros
	preVoteCount        int
	votes               map[string]bool  // as candidate or pre-candidate
	justRestarted       bool             // no leader was known since this start
	formerLeaseExpiry   eventloop.Micros // a leader acknowledged before this start may hold its lease until then
	bootstrapRoundsLeft int              // vote requests still to be repeated in the first term
	nextBootstrapRound  eventloop.Micros

	// Follower.
	matchIndex         uint64 // how far the log is known to agree with the leader's
	lastHeard          eventloop.Micros
	freshAsOf          eventloop.Micros
	reassembly         reassembly          // a large message being received in chunks
	heartbeatResponses []heartbeatResponse // heartbeats acknowledged in this term, the latest last

	// Leader.
	peers             map[string]*progress
	noOpIndex         uint64                      // the no-op entry that began this leader's term
	round             uint64                      // last round of heartbeats sent
	roundSentAt       map[uint64]eventloop.Micros // send times of the last round that a quorum acknowledged and of all later ones
	quorumRoundSentAt eventloop.Micros            // when the last round that a quorum acknowledged was sent
	nextHeartbeat     eventloop.Micros
	pendingReads      []readRequest
	transferee        string // target of the leadership transfer in progress
	hasSentTimeoutNow bool   // to the transferee, which may lead from then on
	transferDeadline  eventloop.Micros
	lastChunkedSend   uint64 // chunked sends begun so far

	// Group time.
	groupTimeBase  int64            // µs of group time at groupTimeStart
	groupTimeStart eventloop.Micros // when this replica became leader
	wallOffset     int64            // wall time less group time in µs; 0: never agreed on
	wallOffsetTerm uint64           // term in which this replica, as leader, set clockOffset
	clockJumpAt    eventloop.Micros // since when the median wall clock has been off; 0: it isn't
}

// New makes a replica from its durable state, which it shares and doesn't change.
// The id `self` is this storage node's.
func New(name, self string, state *storage.GroupState, timeouts Timeouts, rng Rand, now eventloop.Micros) *Group {
	g := &Group{name: name, self: self, timeouts: timeouts, rng: rng, snapshot: state.Snapshot}
	g.term, g.vote = state.HardState.Term, state.HardState.Vote
	g.log = append(g.log, state.Entries...)
	g.commit = g.snapshot.Index
	g.stable = g.LastIndex()
	g.refreshMemberSet()
	g.resetElectionDeadline(now)
	g.justRestarted = g.term > 0
	if g.justRestarted {
		g.shortenElectionDeadline(now)
	}
	return g
}

// Name is the group's name.
func (g *Group) Name() string { return g.name }

// Term is the current term, as far as this replica knows.
func (g *Group) Term() uint64 { return g.term }

// Leader is the id of the leader of this term; empty while none is known.
func (g *Group) Leader() string { return g.lead }

// IsLeader tells whether this replica is the leader of its term; another may lead a
// later one. See HoldsLeaderLease for whether it may act as the leader.
func (g *Group) IsLeader() bool { return g.role == leader }

// Role is the name of the replica's role, for operators.
func (g *Group) Role() string { return g.role.String() }

// CommitIndex is the index up to which entries are known to be committed. All of them are in
// Ready, so whoever has taken that has applied them.
func (g *Group) CommitIndex() uint64 { return g.commit }

// StableIndex is the index up to which this replica's log is synced.
func (g *Group) StableIndex() uint64 { return g.stable }

// SnapshotIndex is the index of the last entry that the snapshot covers.
func (g *Group) SnapshotIndex() uint64 { return g.snapshot.Index }

// SnapshotBytes is the size of the snapshot's data in bytes.
func (g *Group) SnapshotBytes() int { return len(g.snapshot.Data) }

// NoOpIndex is the index of the no-op entry with which this leader began its term.
func (g *Group) NoOpIndex() uint64 { return g.noOpIndex }

// PreVoteCount is how many pre-votes this replica has started since it was made,
// each because an election timeout passed.
func (g *Group) PreVoteCount() int { return g.preVoteCount }

// Ready takes what the steps since the last call have left. Once its changes are
// synced, the SyncPoint goes to MarkSynced.
func (g *Group) Ready() (Ready, SyncPoint) {
	ready := g.ready
	g.ready = Ready{}
	return ready, SyncPoint{Index: g.LastIndex(), Term: g.lastTerm(), HardStateSeq: g.hardStateSeq}
}

// send queues a message. While the current term or vote isn't synced, nothing that
// reveals it may go out.
func (g *Group) send(to string, body proto.Message) {
	g.ready.Messages = append(g.ready.Messages, Message{To: to, Body: body, AfterSync: g.hasUnsyncedHardState()})
}

// Tick advances time. It is to be called several times in a heartbeat interval.
func (g *Group) Tick(now eventloop.Micros) {
	if g.role == leader {
		g.tickLeader(now)
		return
	}
	g.repeatBootstrapVote(now)
	if now >= g.electionDeadline {
		g.electionTimeout(now)
	}
}

func (g *Group) tickLeader(now eventloop.Micros) {
	// Check quorum: a leader without one can commit nothing, and callers that see it
	// step down look for its successor.
	if now-g.quorumRoundSentAt > g.timeouts.ElectionMin {
		g.becomeFollower(now, g.term, "")
		return
	}
	g.expireTransfer(now)
	if now >= g.nextHeartbeat {
		g.broadcastHeartbeat(now)
	}
}

// Step handles a message of another replica; bodies of other types are ignored.
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
		g.handleTimeoutNow(now, m)
	}
}
