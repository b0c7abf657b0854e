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
	calledPace = 5 * eventloop.Millisecond
	beatUsual  = 1500 * eventloop.Millisecond
	stillness  = 30 // a task that stands still takes so much longer
)

// CalledWorker is a simulated worker that the agent on its machine calls.
type CalledWorker struct {
	world        *World
	place        string // the machine it stands on
	cell, rack   string
	cores, mem   int64
	accelerators int64
	pool         string
	labels       []string
	habits       fakeworker.Behaviour
	Refusing     float64 // share of calls that it answers as busy
	Silence      float64 // share that it leaves unanswered: not done, done, or done late
	rng          *rand.Rand
	hand         *fakeworker.CalledWorker
	lives        int
	isUp         bool
	isLeaving    bool
	isLeaveHeard bool
	isOrderly    bool // waits until it was heard that it leaves
	isOff        bool // the agent can't speak to the rest
	beatAt       eventloop.Micros
	heardAt      eventloop.Micros
	ailedAt      eventloop.Micros
	lapsedAt     eventloop.Micros // its hold was last seen ended
	cold         eventloop.Micros // until then it is slow
	endedAt      map[fakeworker.RunID]eventloop.Micros
	kept         map[fakeworker.RunID]string
}

// AddCalled adds a worker to a side machine; it comes up with Start.
func (w *World) AddCalled(k *CalledWorker) *CalledWorker {
	k.world = w
	k.rng = rand.New(rand.NewPCG(w.Rng.Uint64(), 2))
	if len(w.called) == 0 {
		w.After(calledPace, w.stepCalled)
	}
	w.called[k.place] = k
	return k
}

// Name is that of the life.
func (k *CalledWorker) Name() string { return fmt.Sprintf("%s.%d", k.place, k.lives) }

// Place names its machine.
func (k *CalledWorker) Place() string { return k.place }

// Habits are those of the machine.
func (k *CalledWorker) Habits() *fakeworker.Behaviour { return &k.habits }

// Room is what its next life has.
func (k *CalledWorker) Room(cores, memory int64) { k.cores, k.mem = cores, memory }

// host is the machine, whichever process runs there now.
func (k *CalledWorker) host() *Host {
	var last *Host
	for _, h := range k.world.Hosts {
		if h.place() == k.place && (last == nil || h.IsUp || !last.IsUp) {
			last = h
		}
	}
	return last
}

// place is the machine's name; one that replaced another has nearly its name.
func (h *Host) place() string { return strings.TrimRight(h.Name, "'") }

// Start begins another life, with an id of its own.
func (k *CalledWorker) Start() {
	w := k.world
	if k.isUp {
		k.Crash()
	}
	k.lives++
	k.isUp, k.isLeaving, k.isLeaveHeard = true, false, false
	k.beatAt, k.heardAt, k.lapsedAt = w.Now, 0, w.Now
	k.endedAt, k.kept = map[fakeworker.RunID]eventloop.Micros{}, map[fakeworker.RunID]string{}
	span := 2 * eventloop.Second
	k.cold = w.Now + span
	drift := 0.98 + 0.02*k.rng.Float64()
	k.hand = fakeworker.NewCalledWorker(w.Now, k.Name(), fakeworker.Config{
		Pool: k.pool, Cell: k.cell, Rack: k.rack, Address: k.place, Labels: k.labels, Cores: k.cores, Memory: k.mem,
		Accelerators: k.accelerators, Bounds: w.bounds, ClockDrift: drift, WarmUp: span, EnforcesCapacity: w.isGuarded(k.pool),
		ParseTask: k.read, Fails: k.fails, Slowdown: k.slowness, Fault: k.fault, StopDuration: k.stops, OnEvent: k.tell, OnStart: k.begun, OnAcknowledged: k.noted,
	}, w.gangs)
	w.Tell(checker.Event{
		Kind: checker.WorkerUp, Actor: k.Name(), Cores: k.cores, Memory: k.mem, Accelerators: k.accelerators, Rack: k.rack, Pool: k.pool,
		Labels: k.labels, IsCalled: true,
	})
	k.isOff = false
}

// isGuarded tells whether a pool's workers turn away what doesn't fit.
func (w *World) isGuarded(pool string) bool { return pool != "main" }

// Crash ends the life without a word.
func (k *CalledWorker) Crash() {
	if !k.isUp {
		return
	}
	k.hand.Crash(k.world.Now)
	k.gone()
}

func (k *CalledWorker) gone() {
	k.isUp = false
	k.world.Tell(checker.Event{Kind: checker.WorkerGone, Actor: k.Name()})
}

// Leave has it say that it leaves; it goes when that was heard and the usual
// time is over, or after a while all the same.
func (k *CalledWorker) Leave() { k.leave(5*eventloop.Second, true) }

func (k *CalledWorker) leave(span eventloop.Micros, isOrderly bool) {
	if k.isUp && !k.isLeaving {
		k.isLeaving, k.isOrderly, k.beatAt = true, isOrderly, k.world.Now
		k.hand.Drain(k.world.Now, span)
	}
}

// Truncate cuts its machine off while the worker runs on, or mends that.
func (k *CalledWorker) Cut(isCut bool) { k.world.Isolate(k.host(), isCut) }

// Freeze stops the agent's process for a span; the worker runs on.
func (k *CalledWorker) Freeze(span eventloop.Micros) { k.host().Freeze(span) }

// Sick makes it refuse and miss calls; shares of 0 make it well again.
func (k *CalledWorker) Sick(refusing, silence float64) {
	k.Refusing, k.Silence = refusing, silence
	k.ail()
}

// ail tells that it isn't well, now and then as long as that lasts.
func (k *CalledWorker) ail() {
	k.ailedAt = k.world.Now
	k.world.Tell(checker.Event{Kind: checker.WorkerUnhealthy, Actor: k.Name()})
}

func (w *World) stepCalled() {
	for _, h := range w.Hosts {
		if k := w.called[h.place()]; k != nil && h.Name == k.place {
			k.step()
		}
	}
	w.After(calledPace, w.stepCalled)
}

func (k *CalledWorker) step() {
	w := k.world
	if !k.isUp {
		return
	}
	if (k.habits != fakeworker.Behaviour{} || k.Refusing > 0 || k.Silence > 0) && w.Now >= k.ailedAt+eventloop.Second {
		k.ail()
	}
	if k.hand.Clock(w.Now) >= k.hand.HoldUntil() {
		k.lapsedAt = w.Now
	}
	k.hand.Step(w.Now)
	h := k.host()
	if k.hand.IsDead() {
		worker := k.Name()
		k.gone()
		if h.isHere() {
			h.mail("agent", eventloop.Message{Body: agent.Departed{Worker: worker}})
		}
		return
	}
	if isOff := !w.isReaching(h); isOff != k.isOff {
		k.isOff = isOff
		e := checker.Event{Kind: checker.WorkerPartitioned, Actor: k.Name()}
		if !isOff {
			e.State = checker.Healed
		}
		w.Tell(e)
	}
	if w.Now < k.beatAt {
		return
	}
	every := beatUsual
	if us := eventloop.Micros(w.bounds.BeatUs); us > 0 {
		every = us
	}
	k.beatAt = w.Now + every*9/10 + eventloop.Micros(k.rng.Int64N(int64(every)/5))
	if !h.isHere() {
		// Nobody acknowledges it; a frozen process finds it when it wakes.
		k.beatAt = w.Now + 500*eventloop.Millisecond
		if h.frozen && h.IsUp {
			beat := k.hand.Heartbeat(w.Now)
			h.do(h.run, func() { h.mail("agent", eventloop.Message{Body: beat}) })
		}
		return
	}
	h.mail("agent", eventloop.Message{Body: k.hand.Heartbeat(w.Now)})
	if k.isLeaving && !k.isLeaveHeard {
		k.isLeaveHeard = true
		if k.isOrderly {
			k.hand.Drain(w.Now, eventloop.Micros(w.bounds.DrainUs)+500*eventloop.Millisecond)
		}
		w.Tell(checker.Event{Kind: checker.WorkerDraining, Actor: k.Name()})
	}
}

// isReaching tells whether a host is up and reaches a quorum of the stores.
func (w *World) isReaching(h *Host) bool {
	if !h.isHere() {
		return false
	}
	count := 0
	for _, store := range w.Stores() {
		if store.isHere() && !w.cuts[[2]string{h.Address, store.Address}] && !w.cuts[[2]string{store.Address, h.Address}] {
			count++
		}
	}
	return count >= 2
}

// call carries an agent's call to the worker on its machine, and the reply back.
func (h *Host) call(call agent.Call) {
	w, run := h.world, h.run
	k := w.called[h.place()]
	way := func() eventloop.Micros { return 100 + eventloop.Micros(w.Rng.Int64N(300)) }
	back := func(reply agent.Reply) {
		w.After(way(), func() { h.do(run, func() { h.mail("agent", eventloop.Message{Body: reply}) }) })
	}
	w.After(way(), func() {
		if k.hand == nil {
			w.After(400*eventloop.Millisecond, func() { back(agent.Reply{Number: call.Number, Outcome: agent.TimedOut}) })
			return
		}
		k.hand.HandleCall(w.Now, call, func(reply agent.Reply) {
			if reply.Outcome == agent.Succeeded {
				k.heard(reply)
			}
			back(reply)
		})
	})
}

// heard notes that the worker was spoken to, and the progress that it showed.
func (k *CalledWorker) heard(reply agent.Reply) {
	w := k.world
	if k.isUp && w.Now >= k.heardAt+eventloop.Second {
		k.heardAt = w.Now
		w.Tell(checker.Event{Kind: checker.WorkerAnswered, Actor: k.Name()})
	}
	show := func(task agent.TaskName, attempt uint32, saved string) {
		run := fakeworker.RunID{Task: task, Attempt: attempt}
		if saved != "" && k.kept[run] != saved {
			k.kept[run] = saved
			e := k.event(checker.CheckpointShown, run)
			e.Checkpoint = saved
			w.Tell(e)
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

func (k *CalledWorker) spec(task agent.TaskName) (handed, *schema.Step) {
	of, isKnown := k.world.known[task.Job]
	if !isKnown || int(task.StepInRound) >= len(of.job.Steps) {
		return of, nil
	}
	return of, of.job.Steps[task.StepInRound]
}

func (k *CalledWorker) read(task agent.TaskName, text string) fakeworker.Requirements {
	_, step := k.spec(task)
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
		need.Work = eventloop.Micros(word(text, "run_us", 20_000))
	}
	need.Work = max(1, need.Work*eventloop.Micros(80+k.rng.Int64N(40))/100)
	if step.RunUntilCancelled {
		need.Work = 0
	}
	return need
}

// word finds NAME=NUMBER in a text.
func word(text, name string, usual float64) float64 {
	for _, each := range strings.Fields(text) {
		if value, isIt := strings.CutPrefix(each, name+"="); isIt {
			if number, err := strconv.ParseFloat(value, 64); err == nil {
				return number
			}
		}
	}
	return usual
}

func (k *CalledWorker) fails(task agent.TaskName, _ uint32) bool {
	of, _ := k.spec(task)
	share := k.habits.FailureRate
	if of.job != nil {
		share = max(share, word(of.job.Text, "fail", 0))
	}
	return share > 0 && k.rng.Float64() < share
}

func (k *CalledWorker) slowness(now eventloop.Micros) float64 {
	factor := max(1, k.habits.Slowdown)
	if now < k.cold {
		factor *= 2
	}
	if k.habits.StallRate > 0 && k.rng.Float64() < k.habits.StallRate {
		factor *= stillness
	}
	return factor
}

func (k *CalledWorker) fault(eventloop.Micros, agent.Call) fakeworker.Fault {
	switch {
	case k.Refusing > 0 && k.rng.Float64() < k.Refusing:
		return fakeworker.FaultBusy
	case k.Silence > 0 && k.rng.Float64() < k.Silence:
		return []fakeworker.Fault{fakeworker.FaultRequestLost, fakeworker.FaultReplyLost, fakeworker.FaultDelayed}[k.rng.IntN(3)]
	}
	return fakeworker.NoFault
}

func (k *CalledWorker) stops(agent.TaskName, uint32) eventloop.Micros {
	return eventloop.Micros(k.rng.Int64N(max(k.world.bounds.StopUs, 1)))
}

// --- what is told of its runs ---

// event names a run as callers know it.
func (k *CalledWorker) event(kind string, run fakeworker.RunID) checker.Event {
	of, step := k.spec(run.Task)
	e := checker.Event{
		Kind: kind, Actor: k.Name(), Queue: of.queue, Name: run.Task.Job, Step: run.Task.StepInRound, Task: run.Task.Task, Attempt: run.Attempt, IsCalled: true,
	}
	if step != nil {
		e.Step += run.Task.Round * uint32(len(of.job.Steps))
		e.Cores, e.Memory, e.Accelerators = step.CoresMilli, step.MemoryMb, step.Accelerators
	}
	return e
}

func (k *CalledWorker) begun(now eventloop.Micros, call agent.Call, isLate bool) {
	e := k.event(checker.TaskStart, fakeworker.RunID{Task: call.Task, Attempt: call.Attempt})
	e.At, e.Text, e.Checkpoint, e.IsLate = now, call.Text, call.Checkpoint, isLate
	k.world.Tell(e)
}

func (k *CalledWorker) tell(now eventloop.Micros, kind string, run fakeworker.RunID, how string) {
	if kind != "end" {
		return
	}
	k.endedAt[run] = now
	e := k.event(checker.TaskEnd, run)
	e.At, e.State = now, how
	k.world.Tell(e)
}

func (k *CalledWorker) noted(now eventloop.Micros, ending agent.EndedTask) {
	run := fakeworker.RunID{Task: ending.Task, Attempt: ending.Attempt}
	e := k.event(checker.EndAcknowledged, run)
	e.At = now
	if ended, isThere := k.endedAt[run]; !isThere || k.lapsedAt >= ended {
		e.State = "lapsed"
	}
	k.world.Tell(e)
}

// --- operators ---

// putEdition has an operator number its own editions, each built on the one it
// read, and send one again as it was after no clear answer.
func (w *World) putEdition(who string, rows []*schema.ConfigurationRow) {
	rows = w.withPools(rows)
	again := func() { w.After(200*eventloop.Millisecond, func() { w.putEdition(who, rows) }) }
	w.readPlan(w.pickFront(w.anyCell()), func(plan *schema.Configuration) {
		if plan == nil {
			again()
			return
		}
		if clusterstate.EqualRows(plan.Rows, rows) {
			return
		}
		edition := plan.Version + 1 + uint64(w.Rng.IntN(3))
		sheet := &schema.ConfigurationUpdate{
			Rows: rows, Version: edition, BaseVersion: plan.Version, Document: []byte(fmt.Sprintf("%s %d %x", who, edition, w.Rng.Uint32())),
		}
		w.Tell(checker.Event{Kind: checker.ConfigurationSent, Actor: who, Rows: rows, Document: string(sheet.Document)})
		w.sendEdition(who, sheet, again)
	})
}

func (w *World) sendEdition(who string, sheet *schema.ConfigurationUpdate, again func()) {
	front, sent := w.pickFront(w.anyCell()), w.Now
	told := checker.Event{
		Kind: checker.ConfigurationReply, Actor: who, Gateway: front.Name, SentAt: sent, BaseVersion: sheet.BaseVersion, Rows: sheet.Rows, Document: string(sheet.Document),
	}
	w.Ask(front, 4*eventloop.Second, func(request uint64, deadline eventloop.Micros) any {
		return gateway.LeaderRequest{RequestID: request, Kind: "clusterstate", Group: clusterstate.Group, Deadline: deadline, Body: replica.EncodeClusterStateCommand(
			&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: sheet}}})}
	}, func(answer any) {
		reply, _ := answer.(gateway.Response)
		if reply.Code == 200 && w.isAnswerLost() {
			reply, told.State = gateway.Response{}, checker.AcknowledgementLost
		}
		told.Code = reply.Code
		if reply.Code == 200 || told.State == checker.AcknowledgementLost {
			told.Version = sheet.Version
		}
		w.Tell(told)
		switch {
		case reply.Code == 200:
		case reply.Code == 0 || reply.Code >= 500 || reply.Code == 429:
			w.After(200*eventloop.Millisecond, func() { w.sendEdition(who, sheet, again) })
		default:
			again()
		}
	})
}

// withPools directs queues that say nothing else to the main pool.
func (w *World) withPools(rows []*schema.ConfigurationRow) []*schema.ConfigurationRow {
	isTold, queues := map[string]bool{}, []string{}
	for _, row := range rows {
		if row.Kind == "queue" && row.Key == "pool" {
			isTold[row.Name] = true
		}
	}
	for _, row := range rows {
		if row.Kind == "queue" && !isTold[row.Name] {
			isTold[row.Name] = true
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

// CalledKinds are a load that touches what the rules say of called workers.
func CalledKinds() []Kind {
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
	return []Kind{
		{Queue: "quick", Every: 250 * eventloop.Millisecond, Attempts: 4, Job: &schema.Job{Text: "quick", Steps: []*schema.Step{plain("rates", 3, 500, 40*eventloop.Millisecond), plain("sum", 1, 500, 30*eventloop.Millisecond, "rates")}}},
		{Queue: "slow", Every: 2 * eventloop.Second, Attempts: 4, Cancel: 0.2, Job: &schema.Job{Text: "slow", Steps: []*schema.Step{plain("load", 3, 2000, 400*eventloop.Millisecond), saving, plain("pack", 1, 1000, 100*eventloop.Millisecond, "rows")}}},
		{Queue: "group", Every: eventloop.Second, Attempts: 4, Cancel: 0.1, Job: &schema.Job{Text: "gang fail=0.03", Steps: []*schema.Step{gang, plain("after", 1, 500, 50*eventloop.Millisecond, "gang")}}},
		{Name: "spread", Queue: "group", Every: 1500 * eventloop.Millisecond, Attempts: 4, Job: &schema.Job{Text: "spread", Steps: []*schema.Step{spread}}},
		{Queue: "timed", Every: 2 * eventloop.Second, Attempts: 3, Cancel: 0.1, Wall: 1500 * eventloop.Millisecond, Job: &schema.Job{Text: "rounds fail=0.05", Rounds: 3, PeriodUs: int64(900 * eventloop.Millisecond), Steps: []*schema.Step{plain("one", 2, 500, 500*eventloop.Millisecond), plain("two", 1, 500, 600*eventloop.Millisecond, "one")}}},
		{Name: "lasting", Queue: "timed", Every: 6 * eventloop.Second, Attempts: 3, Cancel: 1, CancelAfter: 8 * eventloop.Second, Job: &schema.Job{Text: "lasting", Steps: []*schema.Step{lasting}}},
		{Name: "poison", Queue: "timed", Every: 4 * eventloop.Second, Attempts: 3, Job: &schema.Job{Text: "poison fail=1", Steps: []*schema.Step{plain("bad", 2, 500, 60*eventloop.Millisecond), plain("never", 1, 500, 60*eventloop.Millisecond, "bad")}}},
		{Name: "bad-gang", Queue: "group", Every: 9 * eventloop.Second, Attempts: 4, Job: &schema.Job{Text: "poison fail=0.7", Steps: []*schema.Step{{Name: "bad", Tasks: 3, CoresMilli: 500, MemoryMb: 128, Gang: true, EstimatedRunUs: 100_000}}}},
		{Queue: "far", Every: 700 * eventloop.Millisecond, Attempts: 2, Job: &schema.Job{Text: "far", Steps: []*schema.Step{plain("far", 2, 500, 100*eventloop.Millisecond)}}},
	}
}

// CalledRows is the table of that load.
func CalledRows(urgency int) []*schema.ConfigurationRow {
	rows := Rows(urgency)
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

// SmallCalled is the small fleet with workers that are called.
var SmallCalled = Size{
	Name: "small-called", Fronts: 5, Sides: 6, Workers: 6, PerRack: 2, Cores: 8000, Memory: 16000, Kinds: CalledKinds(), Rows: CalledRows,
	Bounds: &schema.Bounds{
		HoldMostUs: int64(6 * eventloop.Second), StopUs: int64(400 * eventloop.Millisecond), GatherUs: int64(3 * eventloop.Second), StatusUs: int64(120 * eventloop.Second),
		ApplyUs: int64(2 * eventloop.Second), AwayMilli: 1500, SaveUs: int64(300 * eventloop.Millisecond), RestoreUs: int64(50 * eventloop.Millisecond),
		BeatUs: int64(1500 * eventloop.Millisecond), DrainUs: int64(2 * eventloop.Second),
	},
}

// WholeCalled is a deployment with workers that are called, and its callers'
// jobs; the kinds that touch the other rules come more seldom.
func WholeCalled(d *deployments.Deployment) Size {
	size := Whole(d)
	size.Name, size.Kinds, size.Bounds = d.Name+"-called", nil, d.Bounds
	for _, k := range d.CalledJobTypes {
		steps := make([]*schema.Step, len(k.Steps))
		for n, step := range k.Steps {
			steps[n] = proto.Clone(step).(*schema.Step)
			// Long work keeps its progress.
			steps[n].Checkpoints = step.EstimatedRunUs > int64(3*eventloop.Second)
		}
		size.Kinds = append(size.Kinds, Kind{
			Name: k.Name, Queue: k.Queue, Every: eventloop.Micros(k.MeanInterval * float64(eventloop.Second)), Attempts: d.MaxAttempts, Job: &schema.Job{Text: k.Text, Steps: steps},
		})
	}
	for _, k := range CalledKinds() {
		k.Every *= 4
		size.Kinds = append(size.Kinds, k)
	}
	size.Rows = func(urgency int) []*schema.ConfigurationRow {
		rows := append(d.ConfigRows(), CalledRows(urgency)...)
		for _, k := range d.JobTypes {
			rows = append(rows, &schema.ConfigurationRow{Kind: "queue", Name: k.Queue, Key: "attempts", Value: fmt.Sprint(d.MaxAttempts)})
		}
		return rows
	}
	return size
}

// addCalled puts a worker on each side machine that has one. The last two of
// the small fleet are another pool's.
func (f *Fleet) addCalled() {
	f.bounds, f.isNumbering = f.Size.Bounds, true
	for k := 0; k < f.Size.Workers; k++ {
		h := f.sides[k]
		worker := &CalledWorker{
			place: h.Name, cell: h.Cell, rack: fmt.Sprintf("r%d", k/f.Size.PerRack), cores: f.Size.Cores, mem: f.Size.Memory, accelerators: 1, pool: "main",
		}
		worker.labels = []string{"a", worker.rack}
		if k%4 == 3 {
			worker.labels[0] = "b"
		}
		if f.Size.Workers > 4 && k >= f.Size.Workers-2 {
			worker.pool = "far"
		}
		f.Workers = append(f.Workers, f.AddCalled(worker))
		f.After(eventloop.Second, worker.Start)
	}
}
