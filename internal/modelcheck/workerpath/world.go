package workerpath

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/scheduler"
	"sparnotch/internal/schema"
	"sparnotch/internal/timing"
)

const (
	firstQueue   = "l"                         // queue of jobs that name none
	tickInterval = 100 * eventloop.Millisecond // longer than that of real processes, as if they were paused
	startTime    = 30 * eventloop.Second       // an agent no longer expects calls of a predecessor then
	leaderLease  = 300 * eventloop.Millisecond // a new leader leads only after the former leader's lease has expired

	workerCores        = 1000
	workerMemory       = 1000
	workerAccelerators = 1
	slowClock          = 0.985 // rate of the clock of the first machine's worker

	// The polls of an agent's first process have sequence numbers above firstPollSequence, and
	// those of each later process start maxPollsPerProcess higher, which is more polls than a
	// process sends.
	maxPollsPerProcess = 1_000_000
	firstPollSequence  = 1000

	maxInFlight = 24 // if there are more items in flight, the oldest are lost
)

// node is a storage node with its scheduler.
type node struct {
	id           string
	scheduler    *scheduler.Scheduler
	stateVersion uint64 // version of the cluster state that the node's replica has applied
}

// machine is an agent node with its worker.
type machine struct {
	name          string
	agent         *agent.Agent
	worker        *fakeworker.CalledWorker
	incarnations  int             // of the worker, including the current one
	agentRestarts int             // the number of the agent's current process, from 0
	pending       map[uint64]bool // numbers of calls whose replies the agent's client still awaits
}

// proposal is an entry that a leader has appended to its queue's log and that isn't committed
// yet.
type proposal struct {
	node    *node
	term    uint64
	command *schema.QueueCommand
	report  *schema.TaskEndReport // the report that led to the command; nil: there is none
}

// raftQueue is a queue with its Raft group, whose replication isn't modelled, only its outcome.
type raftQueue struct {
	name           string
	stateMachine   *queue.Machine
	committedIndex uint64 // index of the log's last committed entry
	leader         *node
	term           uint64
	proposals      []proposal
	isCreated      bool      // the queue's Raft group exists
	isRemoved      bool      // the configuration no longer contains the queue
	jobs           []jobSpec // jobs that are submitted when the queue is created
}

func (q *raftQueue) group() string { return q.name + "#1" }

// World is one state of the model. Only steps change it.
type World struct {
	now    eventloop.Micros
	queues []*raftQueue

	clusterState *schema.ClusterState        // the latest committed cluster state
	committedAt  map[uint64]eventloop.Micros // commit times of cluster states, by version

	nodes          []*node
	machines       []*machine
	inFlight       []*item
	lastItemNumber int // number of the item that was sent last

	laterQueue string // Scenario.LaterQueue
	hasTenants bool   // enables steps that matter only for the limits of tenants
	observer   *observer
}

// newWorld returns a world in which the first node leads all queues and holds the leases of both
// workers, and in which the scenario's jobs are submitted.
func newWorld(scenario *Scenario) *World {
	w := &World{now: startTime, committedAt: map[uint64]eventloop.Micros{}, hasTenants: len(scenario.Tenants) > 0, laterQueue: scenario.LaterQueue}
	w.observer = newObserver(w, scenario)
	for _, id := range []string{"a", "b"} {
		w.nodes = append(w.nodes, &node{id: id, scheduler: scheduler.New(id).WithBounds(bounds)})
	}
	for _, name := range scenario.queueNames() {
		w.queues = append(w.queues, &raftQueue{name: name, stateMachine: queue.New(name), leader: w.nodes[0], term: 1, isCreated: name != scenario.LaterQueue, jobs: scenario.jobsOf(name)})
	}
	w.addMachines()
	w.clusterState = &schema.ClusterState{Version: 1, Configuration: &schema.Configuration{Rows: scenario.rows()}, NextToken: 10}
	for _, q := range w.queues {
		if q.isCreated {
			w.clusterState.Queues = append(w.clusterState.Queues, &schema.QueuePlacement{Queue: q.name, Generation: 1, PreferredLeader: "a"})
		}
	}
	for _, m := range w.machines {
		w.addLease(m.workerID(), "a")
	}
	w.committedAt[w.clusterState.Version] = w.now
	w.publishState()
	for _, q := range w.queues {
		if q.isCreated {
			w.submitJobs(q)
			w.sendSnapshot(q)
		}
	}
	w.pass(tickInterval)
	return w
}

// submitJobs commits the commands that enqueue a queue's jobs.
func (w *World) submitJobs(q *raftQueue) {
	for k := range q.jobs {
		w.apply(q, q.jobs[k].enqueue(uint64(k+1)))
	}
}

func (w *World) addMachines() {
	gangs := fakeworker.NewGangs()
	for k, name := range []string{"m1", "m2"} {
		m := &machine{name: name, agent: agent.New(bounds, firstPollSequence), pending: map[uint64]bool{}, incarnations: 1}
		w.machines = append(w.machines, m)
		drift := 1.0
		if k == 0 {
			drift = slowClock
		}
		m.worker = fakeworker.NewCalledWorker(w.now, m.workerID(), w.workerConfig(m, drift), gangs)
	}
}

func (m *machine) workerID() string { return fmt.Sprintf("%s.%d", m.name, m.incarnations) }

func (w *World) workerConfig(m *machine, drift float64) fakeworker.Config {
	return fakeworker.Config{
		Cores: workerCores, Memory: workerMemory, Accelerators: workerAccelerators, Rack: "r1", Address: m.name, Bounds: bounds, ClockDrift: drift,
		Fails: func(task agent.TaskName, attempt uint32) bool { return w.observer.fails(task, attempt) },
		OnEvent: func(now eventloop.Micros, kind string, run fakeworker.RunID, state string) {
			w.observer.runEvent(m, kind, run, state)
		},
		OnAcknowledged: func(_ eventloop.Micros, ended agent.EndedTask) { w.observer.acknowledged(m, ended) },
	}
}

// addLease adds a lease of a new worker, with a new fencing token, to the cluster state.
func (w *World) addLease(worker, scheduler string) {
	w.clusterState.NextToken++
	w.clusterState.WorkerLeases = append(w.clusterState.WorkerLeases, &schema.WorkerLease{Worker: worker, Scheduler: scheduler, FencingToken: w.clusterState.NextToken})
	slices.SortFunc(w.clusterState.WorkerLeases, func(a, b *schema.WorkerLease) int {
		if a.Worker < b.Worker {
			return -1
		}
		return 1
	})
}

// changeState commits a change of the cluster state, and sends the new version to all nodes and
// machines.
func (w *World) changeState(change func()) {
	w.clusterState = proto.Clone(w.clusterState).(*schema.ClusterState)
	w.clusterState.Version++
	change()
	w.committedAt[w.clusterState.Version] = w.now
	w.publishState()
}

func (w *World) publishState() {
	update := &schema.ClusterStateResponse{State: w.clusterState, Version: w.clusterState.Version, Leaders: map[string]string{}}
	for _, n := range w.nodes {
		w.send(stateItem, "", n.id, update)
	}
	for _, m := range w.machines {
		w.send(stateItem, "", m.name, update)
	}
}

// isFresh reports whether a node's replica of the cluster state counts as fresh: it has the
// latest version, or the next version was committed less than MaxStateAge ago.
func (w *World) isFresh(n *node) bool {
	if n.stateVersion == w.clusterState.Version {
		return true
	}
	next := n.stateVersion + 1
	return w.now-w.committedAt[next] < timing.FromBounds(bounds).MaxStateAge
}

// apply commits a command to a queue, applies it and returns its effects.
func (w *World) apply(q *raftQueue, command *schema.QueueCommand) *queue.Effects {
	data, err := proto.Marshal(command)
	if err != nil {
		panic(err)
	}
	q.committedIndex++
	effects, err := q.stateMachine.Apply(q.committedIndex, int64(w.now), data)
	if err != nil {
		panic(err)
	}
	return effects
}

// sendSnapshot passes the list of all of the queue's active tasks to its leader's scheduler.
func (w *World) sendSnapshot(q *raftQueue) {
	events, last := q.stateMachine.ActiveTasks()
	w.stepScheduler(q.leader, "", replica.TaskEvents{
		Queue: q.name, Group: q.group(), Term: q.term, LastSequence: last, Events: events, IsSnapshot: true, Urgency: 5, MaxRunning: 1000,
	})
}

func (w *World) stepScheduler(n *node, from string, body any) {
	n.scheduler.Step(w.now, eventloop.Message{From: from, Body: body}, &port{w, n, nil})
}

func (w *World) stepAgent(m *machine, from string, body any) {
	m.agent.Step(w.now, eventloop.Message{From: from, Body: body}, &port{w, nil, m})
}

// tick lets every component do what is due at the current time.
func (w *World) tick() {
	for _, m := range w.machines {
		m.worker.Step(w.now)
		w.observer.recordLapse(m)
	}
	for _, n := range w.nodes {
		status := replica.LeadershipStatus{Terms: map[string]uint64{}, IsClusterStateFresh: w.isFresh(n), TakenAt: w.now}
		for _, q := range w.queues {
			if n == q.leader && q.isCreated {
				status.Terms[q.group()] = q.term
			}
		}
		w.stepScheduler(n, "", status)
		w.stepScheduler(n, "", eventloop.Tick{})
	}
	for _, m := range w.machines {
		if !m.worker.IsDead() {
			w.stepAgent(m, "", m.worker.Heartbeat(w.now))
		}
		w.stepAgent(m, "", eventloop.Tick{})
	}
}

// pass lets time pass without delivering any message.
func (w *World) pass(span eventloop.Micros) {
	for end := w.now + span; w.now < end; {
		w.now += tickInterval
		w.tick()
	}
}

// commit commits a queue's oldest proposal, or drops it if a new term has begun since it was
// made.
func (w *World) commit(q *raftQueue) {
	p := q.proposals[0]
	q.proposals = q.proposals[1:]
	if p.term != q.term {
		return
	}
	effects := w.apply(q, p.command)
	if count := len(effects.Events); count > 0 {
		w.stepScheduler(p.node, "", replica.TaskEvents{
			Queue: q.name, Group: q.group(), Term: q.term, LastSequence: effects.Events[count-1].Sequence, Events: effects.Events, Urgency: 5, MaxRunning: 1000,
		})
	}
	if p.report != nil {
		w.stepScheduler(p.node, "", &schema.TaskEndAck{Queue: q.name, Key: p.report.Key, Attempt: p.report.Attempt, Worker: p.report.Worker, Outcome: p.report.Outcome})
	}
}

// elect makes the other node the leader of a queue. Uncommitted proposals of the former leader
// are lost. The former leader learns of its deposition by a message.
func (w *World) elect(q *raftQueue) {
	former := q.leader
	q.leader = w.otherNode(former)
	q.term++
	q.proposals = nil
	w.pass(leaderLease)
	w.send(deposedItem, "", former.id, replica.LeadershipLost{Queue: q.name})
	w.sendSnapshot(q)
}

func (w *World) otherNode(n *node) *node {
	if n == w.nodes[0] {
		return w.nodes[1]
	}
	return w.nodes[0]
}

// moveLeases moves the leases of all workers to a node, with new fencing tokens.
func (w *World) moveLeases(n *node) {
	w.changeState(func() {
		for _, lease := range w.clusterState.WorkerLeases {
			w.clusterState.NextToken++
			lease.Scheduler, lease.FencingToken = n.id, w.clusterState.NextToken
		}
	})
}

// crash ends a worker's incarnation and starts the next one.
func (w *World) crash(m *machine) {
	holder := w.clusterState.WorkerLeases[0].Scheduler
	m.incarnations++
	m.worker.Restart(w.now, m.workerID())
	w.observer.restarted(m)
	w.changeState(func() { w.addLease(m.workerID(), holder) })
}

// restartAgent replaces a machine's agent by a new process, which knows nothing of its worker.
// Calls of the former process may still arrive.
func (w *World) restartAgent(m *machine) {
	m.agentRestarts++
	m.agent, m.pending = agent.New(bounds, firstPollSequence+uint64(m.agentRestarts)*maxPollsPerProcess), map[uint64]bool{}
	w.send(stateItem, "", m.name, &schema.ClusterStateResponse{State: w.clusterState, Version: w.clusterState.Version, Leaders: map[string]string{}})
}

// create adds a queue to the configuration and the cluster state, with a node as its leader, and
// submits the queue's jobs.
func (w *World) create(q *raftQueue, leader *node) {
	q.isCreated, q.leader = true, leader
	w.changeState(func() {
		w.clusterState.Configuration.Rows = append(w.clusterState.Configuration.Rows, queueRow(q.name))
		w.clusterState.Queues = append(w.clusterState.Queues, &schema.QueuePlacement{Queue: q.name, Generation: 1, PreferredLeader: leader.id})
	})
	w.submitJobs(q)
	w.sendSnapshot(q)
}

// removeQueue removes a queue from the configuration. The queue's jobs continue.
func (w *World) removeQueue(q *raftQueue) {
	q.isRemoved = true
	w.changeState(func() {
		w.clusterState.Configuration.Rows = slices.DeleteFunc(w.clusterState.Configuration.Rows, func(row *schema.ConfigurationRow) bool {
			return row.Kind == "queue" && row.Name == q.name
		})
	})
}

func (w *World) queue(name string) *raftQueue {
	return w.queues[slices.IndexFunc(w.queues, func(q *raftQueue) bool { return q.name == name })]
}

func (w *World) queueOfGroup(group string) *raftQueue {
	return w.queues[slices.IndexFunc(w.queues, func(q *raftQueue) bool { return q.group() == group })]
}

// jobView returns the view of a job that clients see, and whether the queue knows the job.
func (w *World) jobView(name string) (view *schema.JobView, isKnown bool) {
	return w.queue(w.observer.jobs[name].queueName()).stateMachine.JobView(name)
}

func (w *World) node(id string) *node {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.id == id })]
}

func (w *World) machine(name string) *machine {
	k := slices.IndexFunc(w.machines, func(m *machine) bool { return m.name == name })
	if k < 0 {
		return nil
	}
	return w.machines[k]
}

// pendingCalls returns the numbers of the calls whose replies the machine's agent awaits, sorted.
func (m *machine) pendingCalls() []uint64 { return slices.Sorted(maps.Keys(m.pending)) }
