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
	// Errors holds the package's error types.
	Errors = errorx.NewNamespace("replica")
	// Unreadable is a checkpoint or record that is whole and yet can't be read: it
	// was written by something else. A replica can't go on from it.
	Unreadable = Errors.NewType("unreadable")
)

// TickInterval is the tick of the replicas.
const TickInterval = 25 * eventloop.Millisecond

const (
	stallTimeout         = 600 * eventloop.Millisecond // a sync that takes longer makes a leader pass its queues on
	livenessTimeout      = 2 * eventloop.Second        // a process heard of within it is there
	transferCooldown     = 5 * eventloop.Second        // between two attempts to pass a queue on
	launchSpan           = 200 * eventloop.Millisecond // the starts of a group that was decided on have left by then
	waitMost             = 400 * eventloop.Millisecond // how long passing on waits for that
	maxUnapplied         = 8192                        // proposals of one group not applied yet
	timedTickInterval    = eventloop.Second
	maxWallDrift         = 100 * eventloop.Millisecond // a queue's timed jobs may be away from the time of day by so much
	retainedTickInterval = 5 * eventloop.Second
)

type replica struct {
	group                  *raft.Group
	name                   string // queue name, empty for the cluster state
	queue                  *queue.Machine
	pendingCommands        map[uint64]pendingReply // by index
	pendingReads           map[uint64]pendingReply // by read number
	notifiedTerm           uint64                  // term for which the scheduler has the whole list
	tickProposedAt         eventloop.Micros
	tickIndex              uint64
	reenqueueIndex         uint64
	settingsIndex          uint64
	logBytes               int // of the cluster state's records applied since its checkpoint
	transferredAt          eventloop.Micros
	notifiedMemberSetIndex uint64 // the last change of members that the controller was told of
	notifiedLearner        string // and the last learner that had caught up
	preferredAtTransfer    string // whom the cluster state named as leader then
}

// Host is the replicas' table.
type Host struct {
	id                    string
	identity              *schema.StoreIdentity
	timeouts              timing.Timeouts
	controllerLeaseUntil  int64                     // the controller's lease as last seen, in the cluster state's time
	controllerLeaseSeenAt eventloop.Micros          // and when that was
	tolerance             membership.FaultTolerance // what may be lost at once
	toleratedLosses       int                       // how many stores that may be at most
	wallClock             func() int64
	raftTimes             raft.Timeouts
	electionJitter        *electionJitter
	groups                map[string]*replica
	sortedNames           []string // names of the groups, in order; nil: to be made anew
	clusterState          *clusterstate.StateMachine
	values                *clusterstate.Values
	queueSettings         *schema.ApplySettings // what the plan asks of every queue
	state                 *schema.ClusterState  // copy of the cluster state that others may hold
	membership            *membership.View
	nextWrite             pendingWrite
	currentWrite          *pendingWrite
	writeNumber           uint64
	writeStartedAt        eventloop.Micros // when the write that is out was handed over
	lastReadID            uint64
	isDraining            bool
	readOnly              readOnlyState
	disk                  diskCapacity
	applied               map[string]*schema.SubmitResponse // by gateway, of this step

	configurationsSent map[string]configurationSent // by process
}

// New makes the table from a store's content.
func New(id string, state *storage.State, wall func() int64, times raft.Timeouts, seed uint64, now eventloop.Micros) *Host {
	h := &Host{
		id: id, identity: state.Identity, toleratedLosses: 1, timeouts: timing.FromBounds(nil), wallClock: wall, raftTimes: times, groups: map[string]*replica{},
		clusterState: clusterstate.New(), applied: map[string]*schema.SubmitResponse{}, configurationsSent: map[string]configurationSent{},
	}
	hash := fnv.New64a()
	hash.Write([]byte(id))
	h.electionJitter = &electionJitter{rng: rand.New(rand.NewPCG(seed, hash.Sum64()))}
	h.electionJitter.redraw()
	h.setState(h.clusterState.SharedState())
	h.nextWrite.syncPoints = map[string]raft.SyncPoint{}
	for name, state := range state.Groups {
		h.openGroup(now, name, state)
	}
	return h
}

// WithBounds sets what the deployment promises and asks; nil or zero: the defaults.
func (h *Host) WithBounds(bounds *schema.Bounds) *Host {
	h.timeouts = timing.FromBounds(bounds)
	return h
}

// WithTolerance sets what may be lost at once.
func (h *Host) WithTolerance(tolerance membership.FaultTolerance) *Host {
	h.tolerance, h.toleratedLosses = tolerance, tolerance.Voters()/2
	return h
}

func (h *Host) openGroup(now eventloop.Micros, name string, state *storage.GroupState) *replica {
	r := &replica{
		group:           raft.New(name, h.id, state, h.raftTimes, h.electionJitter, now),
		pendingCommands: map[uint64]pendingReply{}, pendingReads: map[uint64]pendingReply{},
	}
	r.group.SetWritable(!h.isReadOnly())
	h.groups[name], h.sortedNames = r, nil
	h.restoreGroup(r, state.Snapshot)
	return r
}

// QueueName is the queue's name in a group's name.
func QueueName(group string) string {
	queue, _, isQueue := strings.Cut(group, "#")
	if !isQueue {
		return ""
	}
	return queue
}

// GroupName names the group of a queue's place: a queue that is made anew under an
// old name is another group.
func GroupName(place *schema.QueuePlacement) string {
	return place.Queue + "#" + strconv.FormatUint(place.Generation, 10)
}

func (h *Host) restoreGroup(r *replica, snapshot *schema.Snapshot) {
	if r.group.Name() == clusterstate.Group {
		machine, err := clusterstate.Restore(snapshot.Data)
		if err != nil {
			panic(Unreadable.Wrap(err, "checkpoint of %s", r.group.Name()))
		}
		h.clusterState, r.logBytes = machine, 0
		h.setState(machine.SharedState())
		return
	}
	r.name = QueueName(r.group.Name())
	machine, err := queue.Restore(r.name, snapshot.Index, snapshot.Data)
	if err != nil {
		panic(Unreadable.Wrap(err, "checkpoint of %s", r.group.Name()))
	}
	r.queue = machine
}

func (h *Host) setState(state *schema.ClusterState) {
	h.state, h.values = state, h.clusterState.Values()
	h.queueSettings = &schema.ApplySettings{
		JobRetentionUs:   h.values.Fleet("status_s") * 1_000_000,
		SnapshotInterval: uint32(h.values.Fleet("cache_every")),
		MaxRequeues:      uint32(h.values.Fleet("circles")),
	}
}

// groupNamesInOrder lists the groups in order; every mail asks for that, and groups seldom
// come or go.
func (h *Host) groupNamesInOrder() []string {
	if h.sortedNames == nil {
		h.sortedNames = slices.Sorted(maps.Keys(h.groups))
	}
	return h.sortedNames
}

// Step implements eventloop.Table.
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
		h.handleSessionsDown(now, body)
	case *schema.Request:
		h.handleRequest(now, message.From, body, effects)
	case *schema.TaskEndReport:
		h.handleTaskEnd(now, message.From, body, effects)
	case TaskEnded:
		h.handleTaskEnd(now, "", body.End, effects)
	case Propose:
		h.handlePropose(now, body)
	case ResyncQueue:
		if r := h.groups[body.Group]; r != nil && r.queue != nil {
			r.notifiedTerm = 0
		}
	case *schema.ChangeMembers:
		h.handleChangeMembers(now, body)
	case *schema.ClusterStateRequest:
		h.sendClusterState(now, message.From, body, effects)
	case GetStateView:
		effects.Respond(body.Request, h.stateView(now))
	case Drain:
		h.isDraining = true
	}
	h.flush(now, effects)
}

func (h *Host) stepGroup(now eventloop.Micros, from, name string, body any) {
	r := h.groups[name]
	if r == nil {
		switch body.(type) {
		case *schema.AppendRequest, *schema.InstallSnapshot, *schema.TransferChunk:
			r = h.joinGroup(now, name)
		}
	}
	if r != nil {
		r.group.Step(now, from, body)
	}
}

// isObsolete tells that the cluster state we hold knows a newer queue of that name, or
// none though it once was there.
func (h *Host) isObsolete(group string) bool {
	if place := clusterstate.FindQueue(h.state, QueueName(group)); place != nil {
		return GroupName(place) != group
	}
	return h.isDeleted(group)
}
