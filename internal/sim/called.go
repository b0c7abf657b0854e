package sim

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/agent"
	"sparnotch/internal/checker"
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/deployments"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
	"sparnotch/internal/gateway"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

const (
	calledTickInterval       = 5 * eventloop.Millisecond
	defaultHeartbeatInterval = 1500 * eventloop.Millisecond
	stallFactor              = 30 // a task that stands still takes so much longer
)

// CalledWorker is a simulated worker that the agent on its machine calls.
type CalledWorker struct {
	sim               *Simulation
	machine           string // the machine it stands on
	zone, rack        string
	cores, memory     int64
	accelerators      int64
	pool              string
	labels            []string
	habits            fakeworker.Behaviour
	RejectShare       float64 // share of calls that it answers as busy
	UnresponsiveShare float64 // share that it leaves unanswered: not done, done, or done late
	rng               *rand.Rand
	worker            *fakeworker.CalledWorker
	incarnation       int
	isUp              bool
	isDraining        bool
	isDrainRecorded   bool
	isGraceful        bool // waits until it was heard that it leaves
	isPartitioned     bool // the agent can't speak to the rest
	nextHeartbeat     eventloop.Micros
	lastAnsweredAt    eventloop.Micros
	lastUnhealthyAt   eventloop.Micros
	leaseExpiredAt    eventloop.Micros // its hold was last seen ended
	slowStartUntil    eventloop.Micros // until then it is slow
	endedAt           map[fakeworker.RunID]eventloop.Micros
	checkpoints       map[fakeworker.RunID]string
}

// AddCalledWorker adds a worker to a side machine; it comes up with Start.
func (s *Simulation) AddCalledWorker(worker *CalledWorker) *CalledWorker {
	worker.sim = s
	worker.rng = rand.New(rand.NewPCG(s.Rng.Uint64(), 2))
	if len(s.calledWorkers) == 0 {
		s.After(calledTickInterval, s.stepCalledWorkers)
	}
	s.calledWorkers[worker.machine] = worker
	return worker
}

// Name is that of the life.
func (w *CalledWorker) Name() string { return fmt.Sprintf("%s.%d", w.machine, w.incarnation) }

// Machine names its machine.
func (w *CalledWorker) Machine() string { return w.machine }

// Habits are those of the machine.
func (w *CalledWorker) Habits() *fakeworker.Behaviour { return &w.habits }

// Capacity is what its next life has.
func (w *CalledWorker) SetCapacity(cores, memory int64) { w.cores, w.memory = cores, memory }

// host is the machine, whichever process runs there now.
func (w *CalledWorker) host() *Host {
	var last *Host
	for _, h := range w.sim.Hosts {
		if h.machineName() == w.machine && (last == nil || h.IsUp || !last.IsUp) {
			last = h
		}
	}
	return last
}

// machineName is the machine's name; one that replaced another has nearly its name.
func (h *Host) machineName() string { return strings.TrimRight(h.Name, "'") }

// Start begins another life, with an id of its own.
func (w *CalledWorker) Start() {
	sim := w.sim
	if w.isUp {
		w.Crash()
	}
	w.incarnation++
	w.isUp, w.isDraining, w.isDrainRecorded = true, false, false
	w.nextHeartbeat, w.lastAnsweredAt, w.leaseExpiredAt = sim.Now, 0, sim.Now
	w.endedAt, w.checkpoints = map[fakeworker.RunID]eventloop.Micros{}, map[fakeworker.RunID]string{}
	warmUp := 2 * eventloop.Second
	w.slowStartUntil = sim.Now + warmUp
	drift := 0.98 + 0.02*w.rng.Float64()
	w.worker = fakeworker.NewCalledWorker(sim.Now, w.Name(), fakeworker.Config{
		Pool: w.pool, Zone: w.zone, Rack: w.rack, Address: w.machine, Labels: w.labels, Cores: w.cores, Memory: w.memory,
		Accelerators: w.accelerators, Bounds: sim.bounds, ClockDrift: drift, WarmUp: warmUp, EnforcesCapacity: sim.guardsCapacity(w.pool),
		ParseTask: w.requirements, Fails: w.drawFailure, Slowdown: w.drawSlowdown, Fault: w.drawCallFault, StopDuration: w.drawStopDelay, OnEvent: w.recordEnd, OnStart: w.recordStart, OnAcknowledged: w.recordAcknowledgement,
	}, sim.gangs)
	sim.Record(checker.Event{
		Kind: checker.WorkerUp, Actor: w.Name(), Cores: w.cores, Memory: w.memory, Accelerators: w.accelerators, Rack: w.rack, Pool: w.pool,
		Labels: w.labels, IsCalled: true,
	})
	w.isPartitioned = false
}

// guardsCapacity tells whether a pool's workers turn away what doesn't fit.
func (s *Simulation) guardsCapacity(pool string) bool { return pool != "main" }

// Crash ends the life without a word.
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

// Drain has it say that it leaves; it goes when that was heard and the usual
// time is over, or after a while all the same.
func (w *CalledWorker) Drain() { w.drain(5*eventloop.Second, true) }

func (w *CalledWorker) drain(duration eventloop.Micros, isOrderly bool) {
	if w.isUp && !w.isDraining {
		w.isDraining, w.isGraceful, w.nextHeartbeat = true, isOrderly, w.sim.Now
		w.worker.Drain(w.sim.Now, duration)
	}
}

// Truncate cuts its machine off while the worker runs on, or mends that.
func (w *CalledWorker) SetPartitioned(blocked bool) { w.sim.Isolate(w.host(), blocked) }

// Freeze stops the agent's process for a span; the worker runs on.
func (w *CalledWorker) Freeze(duration eventloop.Micros) { w.host().Freeze(duration) }

// SetUnhealthy makes it refuse and miss calls; shares of 0 make it well again.
func (w *CalledWorker) SetUnhealthy(refusing, silence float64) {
	w.RejectShare, w.UnresponsiveShare = refusing, silence
	w.recordUnhealthy()
}

// recordUnhealthy tells that it isn't well, now and then as long as that lasts.
func (w *CalledWorker) recordUnhealthy() {
	w.lastUnhealthyAt = w.sim.Now
	w.sim.Record(checker.Event{Kind: checker.WorkerUnhealthy, Actor: w.Name()})
}

func (s *Simulation) stepCalledWorkers() {
	for _, h := range s.Hosts {
		if worker := s.calledWorkers[h.machineName()]; worker != nil && h.Name == worker.machine {
			worker.step()
		}
	}
	s.After(calledTickInterval, s.stepCalledWorkers)
}

func (w *CalledWorker) step() {
	sim := w.sim
	if !w.isUp {
		return
	}
	if (w.habits != fakeworker.Behaviour{} || w.RejectShare > 0 || w.UnresponsiveShare > 0) && sim.Now >= w.lastUnhealthyAt+eventloop.Second {
		w.recordUnhealthy()
	}
	if w.worker.Clock(sim.Now) >= w.worker.HoldUntil() {
		w.leaseExpiredAt = sim.Now
	}
	w.worker.Step(sim.Now)
	h := w.host()
	if w.worker.IsDead() {
		worker := w.Name()
		w.recordGone()
		if h.isServing() {
			h.deliver("agent", eventloop.Message{Body: agent.Departed{Worker: worker}})
		}
		return
	}
	if isOff := !sim.reachesQuorum(h); isOff != w.isPartitioned {
		w.isPartitioned = isOff
		e := checker.Event{Kind: checker.WorkerPartitioned, Actor: w.Name()}
		if !isOff {
			e.State = checker.Healed
		}
		sim.Record(e)
	}
	if sim.Now < w.nextHeartbeat {
		return
	}
	every := defaultHeartbeatInterval
	if us := eventloop.Micros(sim.bounds.BeatUs); us > 0 {
		every = us
	}
	w.nextHeartbeat = sim.Now + every*9/10 + eventloop.Micros(w.rng.Int64N(int64(every)/5))
	if !h.isServing() {
		// Nobody acknowledges it; a frozen process finds it when it wakes.
		w.nextHeartbeat = sim.Now + 500*eventloop.Millisecond
		if h.frozen && h.IsUp {
			beat := w.worker.Heartbeat(sim.Now)
			h.runAwake(h.run, func() { h.deliver("agent", eventloop.Message{Body: beat}) })
		}
		return
	}
	h.deliver("agent", eventloop.Message{Body: w.worker.Heartbeat(sim.Now)})
	if w.isDraining && !w.isDrainRecorded {
		w.isDrainRecorded = true
		if w.isGraceful {
			w.worker.Drain(sim.Now, eventloop.Micros(sim.bounds.DrainUs)+500*eventloop.Millisecond)
		}
		sim.Record(checker.Event{Kind: checker.WorkerDraining, Actor: w.Name()})
	}
}

// reachesQuorum tells whether a host is up and reaches a quorum of the stores.
func (s *Simulation) reachesQuorum(h *Host) bool {
	if !h.isServing() {
		return false
	}
	count := 0
	for _, node := range s.StorageNodes() {
		if node.isServing() && !s.blockedLinks[[2]string{h.Address, node.Address}] && !s.blockedLinks[[2]string{node.Address, h.Address}] {
			count++
		}
	}
	return count >= 2
}

// callWorker carries an agent's call to the worker on its machine, and the reply back.
func (h *Host) callWorker(call agent.Call) {
	sim, run := h.sim, h.run
	worker := sim.calledWorkers[h.machineName()]
	localDelay := func() eventloop.Micros { return 100 + eventloop.Micros(sim.Rng.Int64N(300)) }
	back := func(reply agent.Reply) {
		sim.After(localDelay(), func() { h.runAwake(run, func() { h.deliver("agent", eventloop.Message{Body: reply}) }) })
	}
	sim.After(localDelay(), func() {
		if worker.worker == nil {
			sim.After(400*eventloop.Millisecond, func() { back(agent.Reply{Number: call.Number, Outcome: agent.TimedOut}) })
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

// recordAnswer notes that the worker was spoken to, and the progress that it showed.
func (w *CalledWorker) recordAnswer(reply agent.Reply) {
	sim := w.sim
	if w.isUp && sim.Now >= w.lastAnsweredAt+eventloop.Second {
		w.lastAnsweredAt = sim.Now
		sim.Record(checker.Event{Kind: checker.WorkerAnswered, Actor: w.Name()})
	}
	show := func(task agent.TaskName, attempt uint32, saved string) {
		run := fakeworker.RunID{Task: task, Attempt: attempt}
		if saved != "" && w.checkpoints[run] != saved {
			w.checkpoints[run] = saved
			e := w.event(checker.CheckpointShown, run)
			e.Checkpoint = saved
			sim.Record(e)
		}
	}
	for _, each := range reply.Running {
		show(each.Task, each.Attempt, each.Checkpoint)
	}
	for _, each := range reply.Ended {
		show(each.Task, each.Attempt, each.Checkpoint)
	}
}

// --- what decides about its runs ---

func (w *CalledWorker) jobAndStep(task agent.TaskName) (submittedJob, *schema.Step) {
	of, known := w.sim.submittedJobs[task.Job]
	if !known || int(task.StepInRound) >= len(of.job.Steps) {
		return of, nil
	}
	return of, of.job.Steps[task.StepInRound]
}

func (w *CalledWorker) requirements(task agent.TaskName, text string) fakeworker.Requirements {
	_, step := w.jobAndStep(task)
	if step == nil {
		return fakeworker.Requirements{}
	}
	need := fakeworker.Requirements{
		Cores: step.CoresMilli, Memory: step.MemoryMb, Accelerators: step.Accelerators, Rack: step.DataRack, NeedsOneRack: step.OneRack,
		HasCheckpoints: step.Checkpoints, Work: eventloop.Micros(step.EstimatedRunUs),
	}
	if step.Gang {
		need.GangSize = int(step.Tasks)
	}
	if need.Work == 0 {
		need.Work = eventloop.Micros(textParameter(text, "run_us", 20_000))
	}
	need.Work = max(1, need.Work*eventloop.Micros(80+w.rng.Int64N(40))/100)
	if step.RunUntilCancelled {
		need.Work = 0
	}
	return need
}

// textParameter finds NAME=NUMBER in a text.
func textParameter(text, name string, usual float64) float64 {
	for _, each := range strings.Fields(text) {
		if value, ok := strings.CutPrefix(each, name+"="); ok {
			if number, err := strconv.ParseFloat(value, 64); err == nil {
				return number
			}
		}
	}
	return usual
}

func (w *CalledWorker) drawFailure(task agent.TaskName, _ uint32) bool {
	of, _ := w.jobAndStep(task)
	share := w.habits.FailureRate
	if of.job != nil {
		share = max(share, textParameter(of.job.Text, "fail", 0))
	}
	return share > 0 && w.rng.Float64() < share
}

func (w *CalledWorker) drawSlowdown(now eventloop.Micros) float64 {
	factor := max(1, w.habits.Slowdown)
	if now < w.slowStartUntil {
		factor *= 2
	}
	if w.habits.StallRate > 0 && w.rng.Float64() < w.habits.StallRate {
		factor *= stallFactor
	}
	return factor
}

func (w *CalledWorker) drawCallFault(eventloop.Micros, agent.Call) fakeworker.Fault {
	switch {
	case w.RejectShare > 0 && w.rng.Float64() < w.RejectShare:
		return fakeworker.FaultBusy
	case w.UnresponsiveShare > 0 && w.rng.Float64() < w.UnresponsiveShare:
		return []fakeworker.Fault{fakeworker.FaultRequestLost, fakeworker.FaultReplyLost, fakeworker.FaultDelayed}[w.rng.IntN(3)]
	}
	return fakeworker.NoFault
}

func (w *CalledWorker) drawStopDelay(agent.TaskName, uint32) eventloop.Micros {
	return eventloop.Micros(w.rng.Int64N(max(w.sim.bounds.StopUs, 1)))
}

// --- what is told of its runs ---

// event names a run as callers know it.
func (w *CalledWorker) event(kind string, run fakeworker.RunID) checker.Event {
	of, step := w.jobAndStep(run.Task)
	e := checker.Event{
		Kind: kind, Actor: w.Name(), Queue: of.queue, Name: run.Task.Job, Step: run.Task.StepInRound, Task: run.Task.Task, Attempt: run.Attempt, IsCalled: true,
	}
	if step != nil {
		e.Step += run.Task.Round * uint32(len(of.job.Steps))
		e.Cores, e.Memory, e.Accelerators = step.CoresMilli, step.MemoryMb, step.Accelerators
	}
	return e
}

func (w *CalledWorker) recordStart(now eventloop.Micros, call agent.Call, isLate bool) {
	e := w.event(checker.TaskStart, fakeworker.RunID{Task: call.Task, Attempt: call.Attempt})
	e.At, e.Text, e.Checkpoint, e.IsLate = now, call.Text, call.Checkpoint, isLate
	w.sim.Record(e)
}

func (w *CalledWorker) recordEnd(now eventloop.Micros, kind string, run fakeworker.RunID, how string) {
	if kind != "end" {
		return
	}
	w.endedAt[run] = now
	e := w.event(checker.TaskEnd, run)
	e.At, e.State = now, how
	w.sim.Record(e)
}

func (w *CalledWorker) recordAcknowledgement(now eventloop.Micros, ending agent.EndedTask) {
	run := fakeworker.RunID{Task: ending.Task, Attempt: ending.Attempt}
	e := w.event(checker.EndAcknowledged, run)
	e.At = now
	if ended, found := w.endedAt[run]; !found || w.leaseExpiredAt >= ended {
		e.State = "lapsed"
	}
	w.sim.Record(e)
}

// --- operators ---

// putVersion has an operator number its own editions, each built on the one it
// read, and send one again as it was after no clear answer.
func (s *Simulation) putVersion(who string, rows []*schema.ConfigurationRow) {
	rows = s.withDefaultPools(rows)
	retry := func() { s.After(200*eventloop.Millisecond, func() { s.putVersion(who, rows) }) }
	s.readConfiguration(s.pickGateway(s.randomZone()), func(current *schema.Configuration) {
		if current == nil {
			retry()
			return
		}
		if clusterstate.EqualRows(current.Rows, rows) {
			return
		}
		version := current.Version + 1 + uint64(s.Rng.IntN(3))
		configuration := &schema.ConfigurationUpdate{
			Rows: rows, Version: version, BaseVersion: current.Version, Document: []byte(fmt.Sprintf("%s %d %x", who, version, s.Rng.Uint32())),
		}
		s.Record(checker.Event{Kind: checker.ConfigurationSent, Actor: who, Rows: rows, Document: string(configuration.Document)})
		s.sendVersion(who, configuration, retry)
	})
}

func (s *Simulation) sendVersion(who string, configuration *schema.ConfigurationUpdate, retry func()) {
	node, sent := s.pickGateway(s.randomZone()), s.Now
	event := checker.Event{
		Kind: checker.ConfigurationReply, Actor: who, Gateway: node.Name, SentAt: sent, BaseVersion: configuration.BaseVersion, Rows: configuration.Rows, Document: string(configuration.Document),
	}
	s.Request(node, 4*eventloop.Second, func(request uint64, deadline eventloop.Micros) any {
		return gateway.LeaderRequest{RequestID: request, Kind: "clusterstate", Group: clusterstate.Group, Deadline: deadline, Body: replica.EncodeClusterStateCommand(
			&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: configuration}}})}
	}, func(answer any) {
		reply, _ := answer.(gateway.Response)
		if reply.Code == 200 && s.drawAcknowledgementLoss() {
			reply, event.State = gateway.Response{}, checker.AcknowledgementLost
		}
		event.Code = reply.Code
		if reply.Code == 200 || event.State == checker.AcknowledgementLost {
			event.Version = configuration.Version
		}
		s.Record(event)
		switch {
		case reply.Code == 200:
		case reply.Code == 0 || reply.Code >= 500 || reply.Code == 429:
			s.After(200*eventloop.Millisecond, func() { s.sendVersion(who, configuration, retry) })
		default:
			retry()
		}
	})
}

// withDefaultPools directs queues that say nothing else to the main pool.
func (s *Simulation) withDefaultPools(rows []*schema.ConfigurationRow) []*schema.ConfigurationRow {
	recorded, queues := map[string]bool{}, []string{}
	for _, row := range rows {
		if row.Kind == "queue" && row.Key == "pool" {
			recorded[row.Name] = true
		}
	}
	for _, row := range rows {
		if row.Kind == "queue" && !recorded[row.Name] {
			recorded[row.Name] = true
			queues = append(queues, row.Name)
		}
	}
	rows = append([]*schema.ConfigurationRow(nil), rows...)
	for _, queue := range queues {
		rows = append(rows, &schema.ConfigurationRow{Kind: "queue", Name: queue, Key: "pool", Value: "main"})
	}
	return rows
}

// --- fleets ---

// CalledJobKinds are a load that touches what the rules say of called workers.
func CalledJobKinds() []JobKind {
	plain := func(name string, tasks uint32, cores int64, run eventloop.Micros, after ...string) *schema.Step {
		return &schema.Step{Name: name, Tasks: tasks, CoresMilli: cores, MemoryMb: 256, Dependencies: after, EstimatedRunUs: int64(run)}
	}
	saving := plain("rows", 8, 2000, 1500*eventloop.Millisecond, "load")
	saving.Checkpoints, saving.DataRack = true, "r1"
	gang := plain("gang", 4, 1000, 600*eventloop.Millisecond)
	gang.Gang, gang.OneRack, gang.Checkpoints = true, true, true
	spread := plain("spread", 3, 500, 300*eventloop.Millisecond)
	spread.MaxPerWorker, spread.Labels, spread.Accelerators = 1, []string{"a"}, 1
	lasting := plain("lasting", 2, 500, 0)
	lasting.RunUntilCancelled = true
	return []JobKind{
		{Queue: "quick", Interval: 250 * eventloop.Millisecond, Attempts: 4, Job: &schema.Job{Text: "quick", Steps: []*schema.Step{plain("rates", 3, 500, 40*eventloop.Millisecond), plain("sum", 1, 500, 30*eventloop.Millisecond, "rates")}}},
		{Queue: "slow", Interval: 2 * eventloop.Second, Attempts: 4, CancelShare: 0.2, Job: &schema.Job{Text: "slow", Steps: []*schema.Step{plain("load", 3, 2000, 400*eventloop.Millisecond), saving, plain("pack", 1, 1000, 100*eventloop.Millisecond, "rows")}}},
		{Queue: "group", Interval: eventloop.Second, Attempts: 4, CancelShare: 0.1, Job: &schema.Job{Text: "gang fail=0.03", Steps: []*schema.Step{gang, plain("after", 1, 500, 50*eventloop.Millisecond, "gang")}}},
		{Name: "spread", Queue: "group", Interval: 1500 * eventloop.Millisecond, Attempts: 4, Job: &schema.Job{Text: "spread", Steps: []*schema.Step{spread}}},
		{Queue: "timed", Interval: 2 * eventloop.Second, Attempts: 3, CancelShare: 0.1, StartDelay: 1500 * eventloop.Millisecond, Job: &schema.Job{Text: "rounds fail=0.05", Rounds: 3, PeriodUs: int64(900 * eventloop.Millisecond), Steps: []*schema.Step{plain("one", 2, 500, 500*eventloop.Millisecond), plain("two", 1, 500, 600*eventloop.Millisecond, "one")}}},
		{Name: "lasting", Queue: "timed", Interval: 6 * eventloop.Second, Attempts: 3, CancelShare: 1, CancelDelay: 8 * eventloop.Second, Job: &schema.Job{Text: "lasting", Steps: []*schema.Step{lasting}}},
		{Name: "poison", Queue: "timed", Interval: 4 * eventloop.Second, Attempts: 3, Job: &schema.Job{Text: "poison fail=1", Steps: []*schema.Step{plain("bad", 2, 500, 60*eventloop.Millisecond), plain("never", 1, 500, 60*eventloop.Millisecond, "bad")}}},
		{Name: "bad-gang", Queue: "group", Interval: 9 * eventloop.Second, Attempts: 4, Job: &schema.Job{Text: "poison fail=0.7", Steps: []*schema.Step{{Name: "bad", Tasks: 3, CoresMilli: 500, MemoryMb: 128, Gang: true, EstimatedRunUs: 100_000}}}},
		{Queue: "far", Interval: 700 * eventloop.Millisecond, Attempts: 2, Job: &schema.Job{Text: "far", Steps: []*schema.Step{plain("far", 2, 500, 100*eventloop.Millisecond)}}},
	}
}

// CalledConfigurationRows is the table of that load.
func CalledConfigurationRows(urgency int) []*schema.ConfigurationRow {
	rows := DefaultConfigurationRows(urgency)
	rows = rows[:5]
	add := func(kind, name, key, value string) {
		rows = append(rows, &schema.ConfigurationRow{Kind: kind, Name: name, Key: key, Value: value})
	}
	add("queue", "far", "urgency", "50")
	add("queue", "far", "pool", "far")
	for _, queue := range []string{"quick", "slow", "group"} {
		add("queue", queue, "attempts", "4")
	}
	add("queue", "timed", "attempts", "3")
	add("queue", "far", "attempts", "2")
	add("pool", "main", "guards", "0")
	add("pool", "far", "guards", "1")
	return rows
}

// SmallCalledFleet is the small fleet with workers that are called.
var SmallCalledFleet = FleetSpec{
	Name: "small-called", Gateways: 5, AgentNodes: 6, Workers: 6, WorkersPerRack: 2, Cores: 8000, Memory: 16000, JobKinds: CalledJobKinds(), ConfigurationRows: CalledConfigurationRows,
	Bounds: &schema.Bounds{
		HoldMostUs: int64(6 * eventloop.Second), StopUs: int64(400 * eventloop.Millisecond), GatherUs: int64(3 * eventloop.Second), StatusUs: int64(120 * eventloop.Second),
		ApplyUs: int64(2 * eventloop.Second), AwayMilli: 1500, SaveUs: int64(300 * eventloop.Millisecond), RestoreUs: int64(50 * eventloop.Millisecond),
		BeatUs: int64(1500 * eventloop.Millisecond), DrainUs: int64(2 * eventloop.Second),
	},
}

// CalledDeploymentSpec is a deployment with workers that are called, and its callers'
// jobs; the kinds that touch the other rules come more seldom.
func CalledDeploymentSpec(d *deployments.Deployment) FleetSpec {
	size := DeploymentSpec(d)
	size.Name, size.JobKinds, size.Bounds = d.Name+"-called", nil, d.Bounds
	for _, k := range d.CalledJobTypes {
		steps := make([]*schema.Step, len(k.Steps))
		for n, step := range k.Steps {
			steps[n] = proto.Clone(step).(*schema.Step)
			// Long work keeps its progress.
			steps[n].Checkpoints = step.EstimatedRunUs > int64(3*eventloop.Second)
		}
		size.JobKinds = append(size.JobKinds, JobKind{
			Name: k.Name, Queue: k.Queue, Interval: eventloop.Micros(k.MeanInterval * float64(eventloop.Second)), Attempts: d.MaxAttempts, Job: &schema.Job{Text: k.Text, Steps: steps},
		})
	}
	for _, k := range CalledJobKinds() {
		k.Interval *= 4
		size.JobKinds = append(size.JobKinds, k)
	}
	size.ConfigurationRows = func(urgency int) []*schema.ConfigurationRow {
		rows := append(d.ConfigRows(), CalledConfigurationRows(urgency)...)
		for _, k := range d.JobTypes {
			rows = append(rows, &schema.ConfigurationRow{Kind: "queue", Name: k.Queue, Key: "attempts", Value: fmt.Sprint(d.MaxAttempts)})
		}
		return rows
	}
	return size
}

// addCalledWorkers puts a worker on each side machine that has one. The last two of
// the small fleet are another pool's.
func (f *Fleet) addCalledWorkers() {
	f.bounds, f.usesVersions = f.Spec.Bounds, true
	for k := 0; k < f.Spec.Workers; k++ {
		h := f.agentNodes[k]
		worker := &CalledWorker{
			machine: h.Name, zone: h.Zone, rack: fmt.Sprintf("r%d", k/f.Spec.WorkersPerRack), cores: f.Spec.Cores, memory: f.Spec.Memory, accelerators: 1, pool: "main",
		}
		worker.labels = []string{"a", worker.rack}
		if k%4 == 3 {
			worker.labels[0] = "b"
		}
		if f.Spec.Workers > 4 && k >= f.Spec.Workers-2 {
			worker.pool = "far"
		}
		f.Workers = append(f.Workers, f.AddCalledWorker(worker))
		f.After(eventloop.Second, worker.Start)
	}
}
