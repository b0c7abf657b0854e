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
	heartbeatRetryInterval   = 500 * eventloop.Millisecond // between two heartbeats while the agent doesn't serve
	calledWarmUp             = 2 * eventloop.Second        // how long a new incarnation is slow
	drainTimeout             = 5 * eventloop.Second        // timeout of a drain that nobody acknowledges
	drainGrace               = 500 * eventloop.Millisecond // time that a drain may take beyond the deployment's drain timeout
	connectTimeout           = 400 * eventloop.Millisecond // timeout of a call to a worker that never started
	unhealthyInterval        = eventloop.Second            // between two events in the history that a worker is unhealthy
	answeredInterval         = eventloop.Second            // between two events in the history that a worker answered a call
)

// CalledWorker is a simulated worker that the agent on its machine calls. Fields that are set
// before AddCalledWorker apply to every incarnation.
type CalledWorker struct {
	sim           *Simulation
	machine       string // name of its machine
	zone, rack    string
	cores, memory int64 // thousandths of a core, MB
	accelerators  int64
	pool          string
	labels        []string

	behaviour         fakeworker.Behaviour
	rejectShare       float64 // share of the calls that it rejects as busy
	unresponsiveShare float64 // share of the calls without a timely reply: the request or the reply is lost, or the reply is delayed
	rng               *rand.Rand

	// State of the current incarnation:
	worker          *fakeworker.CalledWorker
	incarnation     int
	isUp            bool
	isDraining      bool
	isDrainRecorded bool
	isGraceful      bool             // whether a drain, once reported, lasts up to the deployment's drain timeout
	isPartitioned   bool             // whether its machine can't reach a quorum, as last recorded in the history
	nextHeartbeat   eventloop.Micros // when the next heartbeat is due
	lastAnsweredAt  eventloop.Micros // last recorded time of an answered call
	lastUnhealthyAt eventloop.Micros // last recorded time of being unhealthy
	leaseExpiredAt  eventloop.Micros // last time at which its lease was found expired
	slowStartUntil  eventloop.Micros // end of its warm-up
	endedAt         map[fakeworker.RunID]eventloop.Micros
	checkpoints     map[fakeworker.RunID]string // last recorded checkpoint of each run
}

// AddCalledWorker adds a worker to the machine that it names. Start starts the worker.
func (s *Simulation) AddCalledWorker(worker *CalledWorker) *CalledWorker {
	worker.sim = s
	worker.rng = rand.New(rand.NewPCG(s.Rng.Uint64(), 2))
	if len(s.calledWorkers) == 0 {
		s.After(calledTickInterval, s.tickCalledWorkers)
	}
	s.calledWorkers[worker.machine] = worker
	return worker
}

// Name returns the name of the current incarnation.
func (w *CalledWorker) Name() string { return fmt.Sprintf("%s.%d", w.machine, w.incarnation) }

// Machine returns the name of the worker's machine.
func (w *CalledWorker) Machine() string { return w.machine }

// Behaviour returns the behaviour of every incarnation; changes to it take effect at once.
func (w *CalledWorker) Behaviour() *fakeworker.Behaviour { return &w.behaviour }

// SetCapacity sets the capacity of the next incarnation, in thousandths of a core and in MB.
func (w *CalledWorker) SetCapacity(cores, memory int64) { w.cores, w.memory = cores, memory }

// host returns the worker's machine. If the machine was replaced, this is the last host of its
// name that is up, or the last one if none is up.
func (w *CalledWorker) host() *Host {
	var last *Host
	for _, h := range w.sim.Hosts {
		if h.machineName() == w.machine && (last == nil || h.IsUp || !last.IsUp) {
			last = h
		}
	}
	return last
}

// Start starts a new incarnation under a new name. An incarnation that is up crashes first.
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

// Crash ends the current incarnation at once, with its tasks.
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

// Drain makes the worker report that it drains. The incarnation ends by itself some time after
// the agent has received the report, or after drainTimeout if it doesn't receive it.
func (w *CalledWorker) Drain() { w.drain(drainTimeout, true) }

func (w *CalledWorker) drain(timeout eventloop.Micros, isGraceful bool) {
	if w.isUp && !w.isDraining {
		w.isDraining, w.isGraceful, w.nextHeartbeat = true, isGraceful, w.sim.Now
		w.worker.Drain(w.sim.Now, timeout)
	}
}

// SetPartitioned partitions the worker's machine, or heals the partition. The worker keeps
// running.
func (w *CalledWorker) SetPartitioned(partitioned bool) { w.sim.Isolate(w.host(), partitioned) }

// Freeze suspends the agent's process for a duration. The worker keeps running.
func (w *CalledWorker) Freeze(duration eventloop.Micros) { w.host().Freeze(duration) }

// SetUnhealthy makes the worker reject one share of the calls and leave another share
// unanswered. Shares of 0 make it healthy again.
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

// end records that the incarnation has ended by itself and notifies the agent.
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
			// The frozen process receives the heartbeat when it resumes.
			heartbeat := w.worker.Heartbeat(now)
			h.runWhenAwake(h.run, func() { h.deliver("agent", eventloop.Message{Body: heartbeat}) })
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

// callWorker delivers an agent's call to the worker on its machine and the reply to the agent,
// each after a short random delay.
func (h *Host) callWorker(call agent.Call) {
	sim, run := h.sim, h.run
	worker := sim.calledWorkers[h.machineName()]
	drawDelay := func() eventloop.Micros { return 100 + eventloop.Micros(sim.Rng.Int64N(300)) }
	sendReply := func(reply agent.Reply) {
		sim.After(drawDelay(), func() { h.runWhenAwake(run, func() { h.deliver("agent", eventloop.Message{Body: reply}) }) })
	}
	sim.After(drawDelay(), func() {
		if worker.worker == nil {
			sim.After(connectTimeout, func() { sendReply(agent.Reply{Number: call.Number, Outcome: agent.TimedOut}) })
			return
		}
		worker.worker.HandleCall(sim.Now, call, func(reply agent.Reply) {
			if reply.Outcome == agent.Succeeded {
				worker.recordAnswer(reply)
			}
			sendReply(reply)
		})
	})
}
