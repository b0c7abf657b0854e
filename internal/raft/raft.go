// Package raft implements the Raft consensus algorithm for one replica of one
// group, as a deterministic state machine similar to etcd's raft package. The caller
// passes in time (Tick), messages (Step), proposals and sync confirmations
// (MarkSynced), and gets from Ready the messages to send, the changes to write and
// the entries to apply. The package does no I/O, reads no clock, starts no goroutines
// and draws random numbers only from the Rand passed to New. A Group isn't safe for
// concurrent use; the component that hosts it owns it.
//
// The package implements leader election with pre-vote, check quorum and a leader
// lease, log replication, single-server membership changes with learners, snapshots,
// leadership transfer (TimeoutNow) and linearizable reads (ReadIndex). Section numbers
// in comments refer to D. Ongaro's dissertation, "Consensus: Bridging Theory and
// Practice" (2014).
//
// The files are divided by concern:
//   - election.go: terms and votes
//   - bootstrap.go: the first term of a new group
//   - leadership_transfer.go: leadership transfer
//   - replication.go: appending entries and committing them
//   - heartbeat.go: rounds of heartbeats, contact with a quorum, and freshness
//   - readindex.go: linearizable reads
//   - progress.go: the leader's state for each peer
//   - flowcontrol.go and chunks.go: limits on the bytes in flight, and large messages
//   - log.go and snapshot.go: the log and its snapshot
//   - membership.go: voters and learners
//   - durability.go: the state that waits for a sync
//   - grouptime.go: the group's clock
//   - clone.go and fingerprint.go: support for the model checker
package raft

import (
	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

var (
	// Errors is the namespace that holds this package's error types.
	Errors = errorx.NewNamespace("raft")
	// NotLeader means that this replica isn't the leader, or that it is a new leader
	// that hasn't committed an entry of its term yet. The message names the leader if it
	// is known.
	NotLeader = Errors.NewType("not_leader")
	// Busy means that the leader can't accept the request now, but may accept it later.
	Busy = Errors.NewType("busy")
)

// Timeouts holds the timing parameters of a group; docs/design.md derives the defaults.
type Timeouts struct {
	ElectionMin       eventloop.Micros // shortest election timeout
	ElectionMax       eventloop.Micros // longest election timeout
	HeartbeatInterval eventloop.Micros
}

// DefaultTimeouts holds the values used in production.
var DefaultTimeouts = Timeouts{
	ElectionMin:       450 * eventloop.Millisecond,
	ElectionMax:       750 * eventloop.Millisecond,
	HeartbeatInterval: 100 * eventloop.Millisecond,
}

// leaderLease returns how long a leader may act outside the group after it sent a round
// of heartbeats that a quorum acknowledged (section 6.4.1). The lease is shorter than
// the minimum time that a voter waits, after it acknowledged a heartbeat, before it
// votes for another candidate.
func (t Timeouts) leaderLease() eventloop.Micros { return 3 * t.HeartbeatInterval }

// Rand is the source of random numbers for election timeouts.
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

// String returns the role's name. For a pre-candidate that is "asking", which can't change
// because the JSON of the state view contains it.
func (r role) String() string { return [...]string{"follower", "asking", "candidate", "leader"}[r] }

// Message is a message for another replica of the group.
type Message struct {
	To   string
	Body proto.Message
	// AfterSync is set if the message reveals a term or vote that isn't durable yet.
	// The message may be sent only after the changes of the same Ready have been synced.
	AfterSync bool
}

// Ready holds the work that the group has produced since the last call of Group.Ready.
// The caller writes Changes. It may send messages without AfterSync at once, and must
// sync the changes before it sends the others. It restores Snapshot before it applies
// CommittedEntries.
type Ready struct {
	Messages         []Message
	Changes          []*schema.StoreChange
	Snapshot         *schema.Snapshot // a snapshot received from the leader, to be restored; nil if there is none
	CommittedEntries []*schema.Entry
	ConfirmedReads   []uint64 // ids of the ReadIndex requests that may now be served
}

// Group is this process's replica of one Raft group.
type Group struct {
	name, self string // name of the group; id of this storage node
	timeouts   Timeouts
	rng        Rand

	// Term, vote and role.
	term               uint64
	vote               string
	role               role
	lead               string // leader of this term; empty if unknown
	hardStateSeq       uint64 // number of hard states written
	syncedHardStateSeq uint64 // number of hard states synced
	readOnly           bool   // the store accepts no writes

	// Log.
	snapshot       *schema.Snapshot  // state before the first entry of the log; never modified
	log            []*schema.Entry   // entries after the snapshot
	stable         uint64            // last index that this replica has synced
	commit         uint64            // last index known to be committed
	memberSet      *schema.MemberSet // newest member set in the log, committed or not
	memberSetIndex uint64            // index of the entry, or of the snapshot, that holds memberSet
	ready          Ready

	// Elections.
	electionDeadline    eventloop.Micros
	preVoteCount        int
	votes               map[string]bool  // votes or pre-votes granted to this replica
	justRestarted       bool             // no leader has been known since this replica started
	formerLeaseExpiry   eventloop.Micros // time until which a leader that this replica acknowledged before its restart may hold its lease
	bootstrapRoundsLeft int              // rounds of vote requests that may still be sent in the first term
	nextBootstrapRound  eventloop.Micros

	// Follower.
	matchIndex         uint64              // last index up to which the log is known to agree with the leader's
	lastHeard          eventloop.Micros    // when the last message of the leader arrived
	freshAsOf          eventloop.Micros    // see FreshAsOf
	reassembly         reassembly          // a large message being received in chunks
	heartbeatResponses []heartbeatResponse // the last heartbeats acknowledged in this term, oldest first

	// Leader.
	peers             map[string]*progress
	noOpIndex         uint64                      // index of the no-op entry that this leader appended at the start of its term
	round             uint64                      // number of the last round of heartbeats sent
	roundSentAt       map[uint64]eventloop.Micros // when each round was sent, from the last one that a quorum acknowledged on
	quorumRoundSentAt eventloop.Micros            // when the last round that a quorum acknowledged was sent
	nextHeartbeat     eventloop.Micros
	pendingReads      []readRequest
	transferee        string           // target of the leadership transfer in progress; empty if there is none
	appendInterval    eventloop.Micros // see SetAppendInterval
	hasWaitingEntries bool             // FlushAppends may have entries to send
	unsentSince       eventloop.Micros // when the newest entry was appended that Ready hasn't sent yet; 0: there is none
	hasSentTimeoutNow bool             // TimeoutNow was sent to the transferee, which may lead from then on
	transferDeadline  eventloop.Micros // when the leadership transfer is given up
	lastChunkedSend   uint64           // number of the last message sent in chunks

	// Group time.
	groupTimeBase  int64            // group time at groupTimeStart, in µs
	groupTimeStart eventloop.Micros // when this replica became leader
	wallOffset     int64            // wall time minus group time in µs; 0 if the clocks never agreed on it
	wallOffsetTerm uint64           // term in which this replica, as leader, last set wallOffset
	clockJumpAt    eventloop.Micros // when a jump of the median wall clock was noticed; 0 if there is none
}

// New creates a replica from its durable state, which the replica shares with the caller
// and doesn't modify. The parameter self is the id of this storage node.
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

// Name returns the group's name.
func (g *Group) Name() string { return g.name }

// Term returns the latest term that this replica knows of.
func (g *Group) Term() uint64 { return g.term }

// Leader returns the id of the leader of this term, or "" while none is known.
func (g *Group) Leader() string { return g.lead }

// IsLeader reports whether this replica is the leader of its term. Another replica may
// already lead a later term; HoldsLeaderLease reports whether this one may still act as
// the leader.
func (g *Group) IsLeader() bool { return g.role == leader }

// Role returns the name of the replica's role, for display to operators.
func (g *Group) Role() string { return g.role.String() }

// CommitIndex returns the index up to which entries are known to be committed. Ready returns
// all of these entries, so a caller that applies each Ready has applied them.
func (g *Group) CommitIndex() uint64 { return g.commit }

// StableIndex returns the index up to which this replica's log is synced.
func (g *Group) StableIndex() uint64 { return g.stable }

// SnapshotIndex returns the index of the last entry that the snapshot covers.
func (g *Group) SnapshotIndex() uint64 { return g.snapshot.Index }

// SnapshotBytes returns the size of the snapshot's data in bytes.
func (g *Group) SnapshotBytes() int { return len(g.snapshot.Data) }

// NoOpIndex returns the index of the no-op entry that this leader appended at the start
// of its term.
func (g *Group) NoOpIndex() uint64 { return g.noOpIndex }

// PreVoteCount returns how many pre-votes this replica has started since it was created.
// Each of them followed the expiry of an election timeout.
func (g *Group) PreVoteCount() int { return g.preVoteCount }

// Ready returns and clears the work that the group has produced since the last call.
// Once the changes are synced, the caller passes the SyncPoint to MarkSynced.
func (g *Group) Ready() (Ready, SyncPoint) {
	g.replicateAppended()
	ready := g.ready
	g.ready = Ready{}
	return ready, SyncPoint{Index: g.LastIndex(), Term: g.lastTerm(), HardStateSeq: g.hardStateSeq}
}

// send queues a message for the next Ready. While the current term or vote isn't synced,
// no message that reveals it may be sent, so the message is marked AfterSync.
func (g *Group) send(to string, body proto.Message) {
	g.ready.Messages = append(g.ready.Messages, Message{To: to, Body: body, AfterSync: g.hasUnsyncedHardState()})
}

// Tick advances time. The caller calls it several times in each heartbeat interval.
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
	// Check quorum: a leader that has lost contact with a quorum can't commit anything.
	// It steps down, which makes its callers look for its successor.
	if now-g.quorumRoundSentAt > g.timeouts.ElectionMin {
		g.becomeFollower(now, g.term, "")
		return
	}
	g.expireTransfer(now)
	g.FlushAppends(now)
	if now >= g.nextHeartbeat {
		g.broadcastHeartbeat(now)
	}
}

// Step handles a message from another replica. It ignores a body that isn't a Raft message.
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
