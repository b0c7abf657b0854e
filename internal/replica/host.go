// Package replica hosts the Raft replicas of one storage node: the cluster state's
// and those of the job queues.
//
// Host is the component that owns them, and the only one that changes them (in
// Host.Step). It routes messages to the replicas, applies the entries that they commit
// to the state machines (packages clusterstate and queue), writes the changes of all
// groups as one batch, so that a single sync serves all of them, and carries out the
// effects of applied commands where this node leads. On the leader of a queue it also
// proposes the commands that the passage of time or the configuration requires: ticks,
// queue settings, and the re-enqueueing of old jobs that would keep the log from being
// compacted.
//
// Consensus is in package raft ("In Search of an Understandable Consensus Algorithm",
// Ongaro and Ousterhout). Compaction of a queue's log by release cursors follows
// "Quorum Queues Implementation Notes" (RabbitMQ), section "Snapshotting".
package replica

import (
	"hash/fnv"
	"math/rand/v2"

	"github.com/joomcode/errorx"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/queue"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
	"sparnotch/internal/timing"
)

var (
	// Errors is the namespace of the package's error types.
	Errors = errorx.NewNamespace("replica")
	// UndecodableState is the type of the error with which Host panics if it can't decode a
	// snapshot or committed entry whose checksum is right. Another version of the software
	// has written it, and the replica can't continue without it.
	UndecodableState = Errors.NewType("undecodable_state")
)

const (
	// TickInterval is the interval at which a Host must receive eventloop.Tick. Each tick sends the
	// entries that have waited to share an Append.
	TickInterval = 5 * eventloop.Millisecond
	// maintenanceInterval is the time between two rounds of the other periodic work. It counts in
	// time and not in ticks, because a busy process drops ticks.
	maintenanceInterval = 25 * eventloop.Millisecond
)

// Host owns the replicas of this node. It isn't safe for concurrent use: the event
// loop calls Step with one message at a time.
type Host struct {
	id              string
	identity        *schema.StoreIdentity
	timeouts        timing.Timeouts
	tolerance       membership.FaultTolerance
	toleratedLosses int          // number of storage nodes whose simultaneous loss must be tolerated
	wallClock       func() int64 // returns the time of day in µs since 1970
	raftTimeouts    raft.Timeouts
	electionJitter  *electionJitter

	groups      map[string]*replica // by group name
	sortedNames []string            // cached result of groupNames; nil after groups has changed

	stateMachine  *clusterstate.StateMachine
	values        *clusterstate.Values  // parsed configuration of stateMachine
	sharedState   *schema.ClusterState  // immutable copy of the part of stateMachine that every process holds
	published     *schema.ClusterState  // the sharedState that the other components were last notified of
	queueSettings *schema.ApplySettings // settings of every queue, from the configuration

	controllerLeaseUntil  int64            // last seen expiry of the controller lease, in µs of the cluster state's time; 0: none
	controllerLeaseSeenAt eventloop.Micros // when this expiry was first seen

	maintainedAt eventloop.Micros // time of the last round of maintain; 0: none yet
	membership   *membership.View // nil until the membership component has sent its first view
	isDraining   bool             // the node is shutting down; see Drain

	nextWrite      pendingWrite     // changes collected while currentWrite isn't durable
	currentWrite   *pendingWrite    // batch that the storage is writing; nil: none
	writeNumber    uint64           // number of the last batch
	writeStartedAt eventloop.Micros // when the last batch was handed to the storage
	readOnly       readOnlyState
	disk           diskCapacity

	lastReadID         uint64
	schedulerAcks      []*schema.TaskEndAck              // acknowledgements for this node's scheduler, sent at the end of this step
	submitResponses    map[string]*schema.SubmitResponse // responses to send at the end of this step, by gateway and queue
	sentConfigurations map[string]sentConfiguration      // by process ID
}

// New returns a Host with the replicas that are in a storage node's durable state. wallClock
// returns the time of day in µs since 1970. seed and the node's ID determine the random
// part of its election timeouts. New panics with UndecodableState if a snapshot can't be
// decoded.
func New(id string, state *storage.State, wallClock func() int64, raftTimeouts raft.Timeouts, seed uint64, now eventloop.Micros) *Host {
	hash := fnv.New64a()
	hash.Write([]byte(id))
	h := &Host{
		id: id, identity: state.Identity, toleratedLosses: 1, timeouts: timing.FromBounds(nil), wallClock: wallClock, raftTimeouts: raftTimeouts,
		electionJitter: newElectionJitter(rand.New(rand.NewPCG(seed, hash.Sum64()))),
		groups:         map[string]*replica{}, stateMachine: clusterstate.New(), nextWrite: newPendingWrite(),
		submitResponses: map[string]*schema.SubmitResponse{}, sentConfigurations: map[string]sentConfiguration{},
	}
	h.setState(h.stateMachine.SharedState())
	h.published = h.sharedState
	for name, state := range state.Groups {
		h.openGroup(now, name, state)
	}
	return h
}

// WithBounds sets the deployment's time bounds and returns h. A bound of zero stands for its
// default, and nil for all defaults.
func (h *Host) WithBounds(bounds *schema.Bounds) *Host {
	h.timeouts = timing.FromBounds(bounds)
	return h
}

// WithTolerance sets the failures that the deployment must tolerate and returns h.
func (h *Host) WithTolerance(tolerance membership.FaultTolerance) *Host {
	h.tolerance, h.toleratedLosses = tolerance, tolerance.VoterCount()/2
	return h
}

// setState replaces the shared copy of the cluster state and the values derived from it.
func (h *Host) setState(state *schema.ClusterState) {
	h.sharedState, h.values = state, h.stateMachine.Values()
	h.queueSettings = &schema.ApplySettings{
		JobRetentionUs:   h.values.Fleet("status_s") * 1_000_000,
		SnapshotInterval: uint32(h.values.Fleet("cache_every")),
		MaxRequeues:      uint32(h.values.Fleet("circles")),
		CommandVersion:   queue.CommandVersion,
	}
}

// Step handles one message and then flushes the output of the groups. It implements
// eventloop.Component.
func (h *Host) Step(now eventloop.Micros, message eventloop.Message, effects eventloop.Effects) {
	switch body := message.Body.(type) {
	case eventloop.Tick:
		h.handleTick(now, effects)
	case Written:
		h.handleWritten(now, body, effects)
	case WriteFailed:
		h.handleWriteFailed(now, body)
	case membership.PersistIdentity:
		h.handlePersistIdentity(now, body)
	case *membership.View:
		h.membership = body
	case *schema.HeartbeatBatch:
		h.handleHeartbeats(now, message.From, body)
	case *schema.VoteRequest:
		h.stepGroup(now, message.From, body.Group, body)
	case *schema.VoteResponse:
		h.stepGroup(now, message.From, body.Group, body)
	case *schema.AppendRequest:
		h.stepGroup(now, message.From, body.Group, body)
	case *schema.AppendResponse:
		h.stepGroup(now, message.From, body.Group, body)
	case *schema.InstallSnapshot:
		h.stepGroup(now, message.From, body.Group, body)
	case *schema.TransferChunk:
		h.stepGroup(now, message.From, body.Group, body)
	case *schema.TransferChunkResponse:
		h.stepGroup(now, message.From, body.Group, body)
	case *schema.TimeoutNow:
		h.handleTimeoutNow(now, message.From, body)
	case *schema.SubmitRequest:
		h.handleSubmit(now, message.From, body, effects)
	case *schema.EndSessionsRequest:
		h.handleEndSessions(now, message.From, body)
	case *schema.Request:
		h.handleRequest(now, message.From, body, effects)
	case *schema.TaskEndReport:
		h.handleTaskEnd(now, message.From, body, effects)
	case TasksEnded:
		for _, report := range body.Reports {
			h.handleTaskEnd(now, "", report, effects)
		}
	case Propose:
		h.handlePropose(now, body, effects)
	case ResyncQueue:
		h.handleResyncQueue(body)
	case *schema.ChangeMembers:
		h.handleChangeMembers(now, body)
	case *schema.ClusterStateRequest:
		h.sendClusterState(now, message.From, body, effects)
	case StateViewRequest:
		effects.Respond(body.Request, h.stateView(now))
	case Drain:
		h.isDraining = true
	}
	h.flush(now, effects)
}
