package sim

import (
	"fmt"
	"math/rand/v2"

	"sparnotch/internal/agent"
	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
)

const (
	calledTickInterval       = 5 * eventloop.Millisecond
	defaultHeartbeatInterval = 1500 * eventloop.Millisecond
	heartbeatRetryInterval   = 500 * eventloop.Millisecond // while nobody acknowledges heartbeats
	calledWarmUp             = 2 * eventloop.Second        // how long a new incarnation is slow
	drainTimeout             = 5 * eventloop.Second        // of a drain that nobody acknowledges
	drainGrace               = 500 * eventloop.Millisecond // beyond the deployment's drain timeout
	connectTimeout           = 400 * eventloop.Millisecond // of a call to a worker that never started
	unhealthyInterval        = eventloop.Second            // between two records that a worker is unhealthy
	answeredInterval         = eventloop.Second            // and that it was answered
)

// CalledWorker is a simulated worker that the agent on its machine calls. What is set
// before AddCalledWorker holds for every incarnation.
type CalledWorker struct {
	sim           *Simulation
	machine       string // its machine's name
	zone, rack    string
	cores, memory int64 // thousandths, MB
	accelerators  int64
	pool          string
	labels        []string

	behaviour         fakeworker.Behaviour
	rejectShare       float64 // of calls that it answers as busy
	unresponsiveShare float64 // of calls that it doesn't answer: not done, done, or done late
	rng               *rand.Rand

	// Of the present incarnation:
	worker          *fakeworker.CalledWorker
	incarnation     int
	isUp            bool
	isDraining      bool
	isDrainRecorded bool
	isGraceful      bool // ends only when its draining was acknowledged
	isPartitioned   bool // its machine reaches no quorum, as the history has it
	nextHeartbeat   eventloop.Micros
	lastAnsweredAt  eventloop.Micros // as the history has it
	lastUnhealthyAt eventloop.Micros // as the history has it
	leaseExpiredAt  eventloop.Micros // when its lease was last seen expired
	slowStartUntil  eventloop.Micros
	endedAt         map[fakeworker.RunID]eventloop.Micros
	checkpoints     map[fakeworker.RunID]string // as the history has them
}

// AddCalledWorker adds a worker to a machine; it comes up with Start.
func (s *Simulation) AddCalledWorker(worker *CalledWorker) *CalledWorker {
	worker.sim = s
	worker.rng = rand.New(rand.NewPCG(s.Rng.Uint64(), 2))
	if len(s.calledWorkers) == 0 {
		s.After(calledTickInterval, s.tickCalledWorkers)
	}
	s.calledWorkers[worker.machine] = worker
	return worker
}

// Name is that of the present incarnation.
func (w *CalledWorker) Name() string { return fmt.Sprintf("%s.%d", w.machine, w.incarnation) }

// Machine is the name of the worker's machine.
func (w *CalledWorker) Machine() string { return w.machine }

// Behaviour is that of every incarnation.
func (w *CalledWorker) Behaviour() *fakeworker.Behaviour { return &w.behaviour }

// SetCapacity sets what the next incarnation has.
func (w *CalledWorker) SetCapacity(cores, memory int64) { w.cores, w.memory = cores, memory }

// host is the worker's machine, whichever process runs there now.
func (w *CalledWorker) host() *Host {
	var last *Host
	for _, h := range w.sim.Hosts {
		if h.machineName() == w.machine && (last == nil || h.IsUp || !last.IsUp) {
			last = h
		}
	}
	return last
}

// Start starts another incarnation, with a name of its own.
func (w *CalledWorker) Start() {
	sim := w.sim
	if w.isUp {
		w.Crash()
	}
	w.incarnation++
	w.isUp, w.isDraining, w.isDrainRecorded, w.isPartitioned = true, false, false, false
	w.nextHeartbeat, w.lastAnsweredAt, w.leaseExpiredAt = sim.Now, 0, sim.Now
	w.endedAt, w.checkpoints = map[fakeworker.RunID]eventloop.Micros{}, map[fakeworker.RunID]string{}
	w.slowStartUntil = sim.Now + calledWarmUp
	w.worker = fakeworker.NewCalledWorker(sim.Now, w.Name(), w.config(), sim.gangs)
	sim.Record(checker.Event{
		Kind: checker.WorkerUp, Actor: w.Name(), Cores: w.cores, Memory: w.memory, Accelerators: w.accelerators, Rack: w.rack, Pool: w.pool,
		Labels: w.labels, IsCalled: true,
	})
}

func (w *CalledWorker) config() fakeworker.Config {
	return fakeworker.Config{
		Pool: w.pool, Zone: w.zone, Rack: w.rack, Address: w.machine, Labels: w.labels,
		Cores: w.cores, Memory: w.memory, Accelerators: w.accelerators,
		Bounds: w.sim.bounds, ClockDrift: 0.98 + 0.02*w.rng.Float64(), WarmUp: calledWarmUp, EnforcesCapacity: w.pool != mainPool,
		ParseTask: w.requirements, Fails: w.drawFailure, Slowdown: w.drawSlowdown, Fault: w.drawCallFault, StopDuration: w.drawStopDelay,
		OnEvent: w.recordEnd, OnStart: w.recordStart, OnAcknowledged: w.recordAcknowledgement,
	}
}

// Crash ends the incarnation at once.
func (w *CalledWorker) Crash() {
	if !w.isUp {
		return
	}
	w.worker.Crash(w.sim.Now)
	w.recordGone()
}

func (w *CalledWorker) recordGone() {
	w.isUp = false
	w.sim.Record(checker.Event{Kind: checker.WorkerGone, Actor: w.Name()})
}

// Drain has the worker say that it drains. It ends some time after that was acknowledged,
// or when nobody acknowledges it for long.
func (w *CalledWorker) Drain() { w.drain(drainTimeout, true) }

func (w *CalledWorker) drain(timeout eventloop.Micros, isGraceful bool) {
	if w.isUp && !w.isDraining {
		w.isDraining, w.isGraceful, w.nextHeartbeat = true, isGraceful, w.sim.Now
		w.worker.Drain(w.sim.Now, timeout)
	}
}

// SetPartitioned partitions the worker's machine, while the worker runs on, or heals that.
func (w *CalledWorker) SetPartitioned(partitioned bool) { w.sim.Isolate(w.host(), partitioned) }

// Freeze stops the agent's process for a while; the worker runs on.
func (w *CalledWorker) Freeze(duration eventloop.Micros) { w.host().Freeze(duration) }

// SetUnhealthy has the worker reject shares of the calls, and leave shares unanswered; with
// shares of 0 it is healthy again.
func (w *CalledWorker) SetUnhealthy(rejectShare, unresponsiveShare float64) {
	w.rejectShare, w.unresponsiveShare = rejectShare, unresponsiveShare
	w.recordUnhealthy()
}

func (w *CalledWorker) isUnhealthy() bool {
	return w.behaviour != fakeworker.Behaviour{} || w.rejectShare > 0 || w.unresponsiveShare > 0
}

func (w *CalledWorker) recordUnhealthy() {
	w.lastUnhealthyAt = w.sim.Now
	w.sim.Record(checker.Event{Kind: checker.WorkerUnhealthy, Actor: w.Name()})
}

func (s *Simulation) tickCalledWorkers() {
	for _, h := range s.Hosts {
		if worker := s.calledWorkers[h.machineName()]; worker != nil && h.Name == worker.machine {
			worker.tick()
		}
	}
	s.After(calledTickInterval, s.tickCalledWorkers)
}

func (w *CalledWorker) tick() {
	now := w.sim.Now
	if !w.isUp {
		return
	}
	if w.isUnhealthy() && now >= w.lastUnhealthyAt+unhealthyInterval {
		w.recordUnhealthy()
	}
	if w.worker.Clock(now) >= w.worker.RunDeadline() {
		w.leaseExpiredAt = now
	}
	w.worker.Step(now)
	h := w.host()
	if w.worker.IsDead() {
		w.end(h)
		return
	}
	if isPartitioned := !w.sim.reachesQuorum(h); isPartitioned != w.isPartitioned {
		w.isPartitioned = isPartitioned
		w.sim.recordPartition(w.Name(), isPartitioned)
	}
	if now >= w.nextHeartbeat {
		w.sendHeartbeat(h)
	}
}

// end records that the incarnation has ended by itself, and tells the agent.
func (w *CalledWorker) end(h *Host) {
	name := w.Name()
	w.recordGone()
	if h.isServing() {
		h.deliver("agent", eventloop.Message{Body: agent.Departed{Worker: name}})
	}
}

func (w *CalledWorker) sendHeartbeat(h *Host) {
	now := w.sim.Now
	interval := defaultHeartbeatInterval
	if us := eventloop.Micros(w.sim.bounds.HeartbeatIntervalUs); us > 0 {
		interval = us
	}
	w.nextHeartbeat = now + interval*9/10 + eventloop.Micros(w.rng.Int64N(int64(interval)/5))
	if !h.isServing() {
		w.nextHeartbeat = now + heartbeatRetryInterval
		if h.isFrozen && h.IsUp {
			// The process finds it when it goes on.
			heartbeat := w.worker.Heartbeat(now)
			h.runAwake(h.run, func() { h.deliver("agent", eventloop.Message{Body: heartbeat}) })
		}
		return
	}
	h.deliver("agent", eventloop.Message{Body: w.worker.Heartbeat(now)})
	if w.isDraining && !w.isDrainRecorded {
		w.isDrainRecorded = true
		if w.isGraceful {
			w.worker.Drain(now, eventloop.Micros(w.sim.bounds.DrainTimeoutUs)+drainGrace)
		}
		w.sim.Record(checker.Event{Kind: checker.WorkerDraining, Actor: w.Name()})
	}
}

// callWorker takes an agent's call to the worker on its machine, and the reply back.
func (h *Host) callWorker(call agent.Call) {
	sim, run := h.sim, h.run
	worker := sim.calledWorkers[h.machineName()]
	drawDelay := func() eventloop.Micros { return 100 + eventloop.Micros(sim.Rng.Int64N(300)) }
	back := func(reply agent.Reply) {
		sim.After(drawDelay(), func() { h.runAwake(run, func() { h.deliver("agent", eventloop.Message{Body: reply}) }) })
	}
	sim.After(drawDelay(), func() {
		if worker.worker == nil {
			sim.After(connectTimeout, func() { back(agent.Reply{Number: call.Number, Outcome: agent.TimedOut}) })
			return
		}
		worker.worker.HandleCall(sim.Now, call, func(reply agent.Reply) {
			if reply.Outcome == agent.Succeeded {
				worker.recordAnswer(reply)
			}
			back(reply)
		})
	})
}
