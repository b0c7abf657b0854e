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

// Pace is the tick of the replicas.
const Pace = 25 * eventloop.Millisecond

const (
	stallSpan    = 600 * eventloop.Millisecond // a sync that takes longer makes a leader pass its queues on
	liveSpan     = 2 * eventloop.Second        // a process heard of within it is there
	passRest     = 5 * eventloop.Second        // between two attempts to pass a queue on
	launchSpan   = 200 * eventloop.Millisecond // the starts of a group that was decided on have left by then
	waitMost     = 400 * eventloop.Millisecond // how long passing on waits for that
	maxUnsettled = 8192                        // proposals of one group not applied yet
	tickTimed    = eventloop.Second
	wallMost     = 100 * eventloop.Millisecond // a queue's timed jobs may be away from the time of day by so much
	tickKept     = 5 * eventloop.Second
)

type replica struct {
	group       *raft.Group
	name        string // queue name, empty for the cluster state
	queue       *queue.Machine
	waiting     map[uint64]waiter // by index
	reading     map[uint64]waiter // by read number
	termTold    uint64            // term for which the scheduler has the whole list
	tickAt      eventloop.Micros
	tickIdx     uint64
	carryIdx    uint64
	adoptIdx    uint64
	logBytes    int // of the cluster state's records applied since its checkpoint
	passAt      eventloop.Micros
	membersTold uint64 // the last change of members that the controller was told of
	caughtTold  string // and the last learner that had caught up
	leaderAt    string // whom the cluster state named as leader then
}

// Table is the replicas' table.
type Table struct {
	id           string
	self         *schema.StoreIdentity
	spans        timing.Timeouts
	until        int64                     // the controller's lease as last seen, in the cluster state's time
	untilAt      eventloop.Micros          // and when that was
	tolerance    membership.FaultTolerance // what may be lost at once
	losses       int                       // how many stores that may be at most
	wall         func() int64
	times        raft.Timeouts
	patience     *patience
	groups       map[string]*replica
	listed       []string // names of the groups, in order; nil: to be made anew
	clusterState *clusterstate.StateMachine
	values       *clusterstate.Values
	adopt        *schema.ApplySettings // what the plan asks of every queue
	state        *schema.ClusterState  // copy of the cluster state that others may hold
	roll         *membership.View
	next         pending
	writing      *pending
	number       uint64
	began        eventloop.Micros // when the write that is out was handed over
	reads        uint64
	isWarned     bool
	refusal      refusal
	room         room
	applied      map[string]*schema.SubmitResponse // by gateway, of this step

	plansTold map[string]planTold // by process
}

// New makes the table from a store's content.
func New(id string, content *storage.State, wall func() int64, times raft.Timeouts, seed uint64, now eventloop.Micros) *Table {
	t := &Table{
		id: id, self: content.Identity, losses: 1, spans: timing.FromBounds(nil), wall: wall, times: times, groups: map[string]*replica{},
		clusterState: clusterstate.New(), applied: map[string]*schema.SubmitResponse{}, plansTold: map[string]planTold{},
	}
	hash := fnv.New64a()
	hash.Write([]byte(id))
	t.patience = &patience{rng: rand.New(rand.NewPCG(seed, hash.Sum64()))}
	t.patience.draw()
	t.setState(t.clusterState.SharedState())
	t.next.marks = map[string]raft.SyncPoint{}
	for name, image := range content.Groups {
		t.open(now, name, image)
	}
	return t
}

// Bind sets what the deployment promises and asks; nil or zero: the defaults.
func (t *Table) Bind(bounds *schema.Bounds) *Table {
	t.spans = timing.FromBounds(bounds)
	return t
}

// Tolerate sets what may be lost at once.
func (t *Table) Tolerate(tolerance membership.FaultTolerance) *Table {
	t.tolerance, t.losses = tolerance, tolerance.Voters()/2
	return t
}

func (t *Table) open(now eventloop.Micros, name string, image *storage.GroupState) *replica {
	r := &replica{
		group:   raft.New(name, t.id, image, t.times, t.patience, now),
		waiting: map[uint64]waiter{}, reading: map[uint64]waiter{},
	}
	r.group.SetWritable(!t.refuses())
	t.groups[name], t.listed = r, nil
	t.restore(r, image.Snapshot)
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
func GroupOf(place *schema.QueuePlacement) string {
	return place.Queue + "#" + strconv.FormatUint(place.Generation, 10)
}

func (t *Table) restore(r *replica, point *schema.Snapshot) {
	if r.group.Name() == clusterstate.Group {
		machine, err := clusterstate.Restore(point.Data)
		if err != nil {
			panic(Unreadable.Wrap(err, "checkpoint of %s", r.group.Name()))
		}
		t.clusterState, r.logBytes = machine, 0
		t.setState(machine.SharedState())
		return
	}
	r.name = QueueOf(r.group.Name())
	machine, err := queue.Restore(r.name, point.Index, point.Data)
	if err != nil {
		panic(Unreadable.Wrap(err, "checkpoint of %s", r.group.Name()))
	}
	r.queue = machine
}

func (t *Table) setState(state *schema.ClusterState) {
	t.state, t.values = state, t.clusterState.Values()
	t.adopt = &schema.ApplySettings{
		JobRetentionUs:   t.values.Fleet("status_s") * 1_000_000,
		SnapshotInterval: uint32(t.values.Fleet("cache_every")),
		MaxRequeues:      uint32(t.values.Fleet("circles")),
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

// Step implements eventloop.Table.
func (t *Table) Step(now eventloop.Micros, mail eventloop.Message, out eventloop.Effects) {
	switch body := mail.Body.(type) {
	case eventloop.Tick:
		t.tick(now, out)
	case Written:
		t.written(now, body, out)
	case Refused:
		t.refused(now, body)
	case membership.PersistIdentity:
		t.keepSelf(now, body)
	case *membership.View:
		t.roll = body
	case *schema.HeartbeatBatch:
		t.beats(now, mail.From, body)
	case *schema.VoteRequest:
		t.toGroup(now, mail.From, body.Group, body)
	case *schema.VoteResponse:
		t.toGroup(now, mail.From, body.Group, body)
	case *schema.AppendRequest:
		t.toGroup(now, mail.From, body.Group, body)
	case *schema.AppendResponse:
		t.toGroup(now, mail.From, body.Group, body)
	case *schema.InstallSnapshot:
		t.toGroup(now, mail.From, body.Group, body)
	case *schema.TransferChunk:
		t.toGroup(now, mail.From, body.Group, body)
	case *schema.TransferChunkResponse:
		t.toGroup(now, mail.From, body.Group, body)
	case *schema.TimeoutNow:
		t.urged(now, mail.From, body)
	case *schema.SubmitRequest:
		t.submit(now, mail.From, body, out)
	case *schema.EndSessionsRequest:
		t.quit(now, body)
	case *schema.Request:
		t.request(now, mail.From, body, out)
	case *schema.TaskEndReport:
		t.end(now, mail.From, body, out)
	case Ended:
		t.end(now, "", body.End, out)
	case Propose:
		t.propose(now, body)
	case Query:
		if r := t.groups[body.Group]; r != nil && r.queue != nil {
			r.termTold = 0
		}
	case *schema.ChangeMembers:
		t.reroster(now, body)
	case *schema.ClusterStateRequest:
		t.tellClusterState(now, mail.From, body, out)
	case Belief:
		out.Respond(body.Request, t.belief(now))
	case Warned:
		t.isWarned = true
	}
	t.flush(now, out)
}

func (t *Table) toGroup(now eventloop.Micros, from, name string, body any) {
	r := t.groups[name]
	if r == nil {
		switch body.(type) {
		case *schema.AppendRequest, *schema.InstallSnapshot, *schema.TransferChunk:
			r = t.join(now, name)
		}
	}
	if r != nil {
		r.group.Step(now, from, body)
	}
}

// isEnded tells that the cluster state we hold knows a newer queue of that name, or
// none though it once was there.
func (t *Table) isEnded(group string) bool {
	if place := clusterstate.FindQueue(t.state, QueueOf(group)); place != nil {
		return GroupOf(place) != group
	}
	return t.isOver(group)
}
