package sim

import (
	"encoding/json"
	"math/rand/v2"
	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
	"sparnotch/internal/gateway"
	"sparnotch/internal/schema"
)

const (
	workerTickInterval = 5 * eventloop.Millisecond
	pollTimeout        = 1200 * eventloop.Millisecond
	maxOpenPolls       = 2
)

// Worker is a simulated worker, which runs tasks: a PollingWorker or a CalledWorker.
type Worker interface {
	Name() string    // name of the current incarnation in the history
	Machine() string // name of its machine, the same for all incarnations
	Start()
	Crash()
	Drain()
	SetPartitioned(partitioned bool)
	Freeze(duration eventloop.Micros)
	Behaviour() *fakeworker.Behaviour
	SetCapacity(cores, memory int64) // of its next incarnation, in thousandths of a core and MB
}

// PollingWorker is a simulated worker that polls gateways for its orders.
type PollingWorker struct {
	sim           *Simulation
	name, rack    string
	zone          string
	cores, memory int64
	worker        *fakeworker.PollingWorker
	gateway       *Host
	incarnation   uint64
	openPolls     int
	isFrozen      bool
	isPartitioned bool // whether it is partitioned from every gateway
	isPinned      bool // whether it keeps its gateway after a failed poll
	run           int  // counts starts and ends, so that calls for an earlier incarnation are dropped
}

// AddPollingWorker adds a worker and starts it. The capacity is in thousandths of a core and
// in MB.
func (s *Simulation) AddPollingWorker(name, rack, zone string, cores, memory int64) *PollingWorker {
	worker := &PollingWorker{sim: s, name: name, rack: rack, zone: zone, cores: cores, memory: memory}
	worker.Start()
	return worker
}

// Name returns the worker's name, which is the same for all incarnations.
func (w *PollingWorker) Name() string { return w.name }

// Machine returns the worker's name, which is also the name of its machine.
func (w *PollingWorker) Machine() string { return w.name }

// Behaviour returns the behaviour of the current incarnation.
func (w *PollingWorker) Behaviour() *fakeworker.Behaviour { return &w.worker.Behaviour }

// SetCapacity sets the capacity of the next incarnation, in thousandths of a core and in MB.
func (w *PollingWorker) SetCapacity(cores, memory int64) { w.cores, w.memory = cores, memory }

// Start starts a new incarnation.
func (w *PollingWorker) Start() {
	sim := w.sim
	w.run++
	w.incarnation++
	w.openPolls, w.isFrozen = 0, false
	w.worker = fakeworker.NewPollingWorker(sim.Now, w.name, w.rack, w.cores, w.memory, w.incarnation, rand.New(rand.NewPCG(sim.Rng.Uint64(), 1)), sim.Record)
	w.gateway = sim.pickGateway(w.zone)
	w.tick(w.run)
}

// Crash ends the current incarnation at once, with its tasks.
func (w *PollingWorker) Crash() {
	w.worker.Crash(w.sim.Now)
	w.run++
}

// Drain makes the worker report that it drains.
func (w *PollingWorker) Drain() { w.worker.Drain(w.sim.Now) }

// SetPartitioned partitions the worker from every gateway, or heals the partition.
func (w *PollingWorker) SetPartitioned(partitioned bool) {
	w.isPartitioned = partitioned
	w.sim.recordPartition(w.name, partitioned)
}

// recordPartition records that a worker is partitioned, or that its partition has healed.
func (s *Simulation) recordPartition(worker string, partitioned bool) {
	e := checker.Event{Kind: checker.WorkerPartitioned, Actor: worker}
	if !partitioned {
		e.State = checker.Healed
	}
	s.Record(e)
}

// Freeze suspends the worker and its tasks for a duration.
func (w *PollingWorker) Freeze(duration eventloop.Micros) {
	run := w.run
	w.isFrozen = true
	w.sim.Record(checker.Event{Kind: checker.WorkerPaused, Actor: w.name})
	w.sim.After(duration, func() {
		if w.run == run {
			w.isFrozen = false
			w.sim.Record(checker.Event{Kind: checker.WorkerResumed, Actor: w.name})
			w.worker.Tick(w.sim.Now)
		}
	})
}

func (w *PollingWorker) tick(run int) {
	sim := w.sim
	if w.run != run {
		return
	}
	if !w.isFrozen {
		w.worker.Tick(sim.Now)
		if w.worker.IsHeartbeatDue(sim.Now) && w.openPolls < maxOpenPolls {
			w.poll(run)
		}
	}
	sim.After(workerTickInterval, func() { w.tick(run) })
}

// poll sends the worker's heartbeat to its gateway and handles the orders in the response. If
// there is no valid response, the next poll goes to a newly drawn gateway, unless the worker
// is pinned.
func (w *PollingWorker) poll(run int) {
	sim := w.sim
	heartbeat, sentAt := w.worker.NewHeartbeat(sim.Now), sim.Now
	w.openPolls++
	onResponse := func(answer any) {
		if w.run != run {
			return
		}
		w.openPolls--
		response, orders := responseOf(answer), &schema.WorkerOrders{}
		if w.isFrozen || response.Code != 200 || json.Unmarshal(response.Body, orders) != nil {
			w.worker.HandleUnanswered(sim.Now)
			if !w.isPinned {
				w.gateway = sim.pickGateway(w.zone)
			}
			return
		}
		w.worker.HandleOrders(sim.Now, sentAt, heartbeat.Seq, orders)
	}
	if w.isPartitioned {
		sim.After(pollTimeout, func() { onResponse(nil) })
		return
	}
	sim.Request(w.gateway, pollTimeout, func(id uint64, deadline eventloop.Micros) any {
		return gateway.ForwardHeartbeat{RequestID: id, Worker: w.name, Heartbeat: heartbeat, Deadline: deadline}
	}, func(answer any) {
		if w.isPartitioned {
			answer = nil
		}
		onResponse(answer)
	})
}
