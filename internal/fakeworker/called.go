package fakeworker

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	replyTimeout         = 400 * eventloop.Millisecond // a call without an answer is silent after this
	maxEndsPerInspection = 500                         // in one look
)

// Requirements is what a called worker reads of a task.
type Requirements struct {
	Cores, Memory, Accelerators int64
	Work                        eventloop.Micros // at a factor of 1; 0: it lasts until it is stopped
	GangSize                    int              // of its group; 0 and 1: none
	Rack                        string           // that holds its data
	NeedsOneRack                bool
	HasCheckpoints              bool
}

// Fault is what becomes of one call.
type Fault int

const (
	// NoFault means that the call is done and answered.
	NoFault Fault = iota
	// FaultBusy means busy: nothing is done.
	FaultBusy
	// FaultRequestLost means that nothing is done and nothing answered.
	FaultRequestLost
	// FaultReplyLost means that it is done, and nothing answered.
	FaultReplyLost
	// FaultDelayed means that nothing is answered, and it is done seconds later.
	FaultDelayed
)

// Config is what a called worker is. The hooks decide what happens to it, so
// that a run is the same each time; each may be nil.
type Config struct {
	Pool, Cell, Rack string
	Address          string
	Labels           []string
	Cores            int64 // thousandths
	Memory           int64 // MB
	Accelerators     int64
	Bounds           *schema.Bounds
	EnforcesCapacity bool             // turns away what doesn't fit
	ClockDrift       float64          // of its clock; 0: true
	WarmUp           eventloop.Micros // it is slow for so long after its start
	FaultDelay       eventloop.Micros // how much later belated calls are done; 0: 2 s

	ParseTask      func(task agent.TaskName, text string) Requirements            // nil: from words such as run_us=30000
	Fails          func(task agent.TaskName, attempt uint32) bool                 // ends failed after half its work
	Slowdown       func(now eventloop.Micros) float64                             // factor on work that begins now
	Fault          func(now eventloop.Micros, call agent.Call) Fault              // of a call
	StopDuration   func(task agent.TaskName, attempt uint32) eventloop.Micros     // how long a stop takes; nil: a quarter of the bound
	OnEvent        func(now eventloop.Micros, kind string, run RunID, how string) // begin, end
	OnStart        func(now eventloop.Micros, call agent.Call, isLate bool)       // a start was carried out, perhaps long after the call
	OnAcknowledged func(now eventloop.Micros, ending agent.EndedTask)             // an end needn't be listed any more
}

// RunID names one start of a task.
type RunID struct {
	Task    agent.TaskName
	Attempt uint32
}

func compareIDs(a, b RunID) int {
	return cmp.Or(
		cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Round, b.Task.Round), cmp.Compare(a.Task.StepInRound, b.Task.StepInRound),
		cmp.Compare(a.Task.Task, b.Task.Task), cmp.Compare(a.Attempt, b.Attempt),
	)
}

// Gangs are the groups that gather at the called workers of one fleet.
type Gangs struct{ byKey map[gangKey]*gang }

// NewGangs makes them.
func NewGangs() *Gangs { return &Gangs{byKey: map[gangKey]*gang{}} }

type gangKey struct {
	job         string
	round, part uint32
	attempt     uint32
}

type gang struct {
	members    map[uint32]*calledRun // by task
	racks      map[string]bool
	completeAt eventloop.Micros // when all were there
	endsAt     eventloop.Micros // they are done together
	isDone     bool
	isBroken   bool
}

// calledRun is a run of a called worker.
type calledRun struct {
	id           RunID
	requirements Requirements
	acceptedAt   eventloop.Micros
	startedAt    eventloop.Micros // of its work
	endsAt       eventloop.Micros // it ends by itself; 0: not by itself, or not yet
	slowdown     float64
	priorWork    eventloop.Micros // work done before this start
	willFail     bool             // will end failed
	gang         *gang
	stopAt       eventloop.Micros
}

type waitingInspection struct {
	call     agent.Call
	deadline eventloop.Micros
	reply    func(agent.Reply)
}

type delayedAction struct {
	dueAt     eventloop.Micros
	apply     func(now eventloop.Micros)
	isTimeout bool // only the caller's own patience: that doesn't die with the worker
}

// CalledWorker is a stand-in of a worker that is called: it knows its agent by fences
// alone, holds what it runs as long as it was told, and lists ends until they
// are noted. Times are of one true clock; its own is derived.
type CalledWorker struct {
	config          Config
	gangs           *Gangs
	id              string
	startedAt       eventloop.Micros
	isDead          bool
	fencingToken    uint64
	holdUntil       eventloop.Micros // by its own clock
	runs            map[RunID]*calledRun
	overAttempts    map[agent.TaskName]uint32 // highest attempt seen to end or stopped
	startedAttempts map[agent.TaskName]uint32 // highest started
	ended           []agent.EndedTask
	endCount        uint64
	heartbeatCount  uint64
	drainDeadline   eventloop.Micros // it ends then
	inspections     []waitingInspection
	delayed         []delayedAction
	isDelayed       bool // what is being done was called for earlier
}

// NewCalledWorker makes a worker's first life.
func NewCalledWorker(now eventloop.Micros, worker string, setup Config, gangs *Gangs) *CalledWorker {
	if setup.Bounds == nil {
		setup.Bounds = &schema.Bounds{}
	}
	if setup.ClockDrift == 0 {
		setup.ClockDrift = 1
	}
	if setup.ParseTask == nil {
		setup.ParseTask = parseRequirements
	}
	if gangs == nil {
		gangs = NewGangs()
	}
	w := &CalledWorker{config: setup, gangs: gangs}
	w.Restart(now, worker)
	return w
}

// Restart begins another life: nothing runs and no fence was seen.
func (w *CalledWorker) Restart(now eventloop.Micros, worker string) {
	w.Crash(now)
	w.id, w.startedAt, w.isDead = worker, now, false
	w.fencingToken, w.holdUntil, w.endCount, w.heartbeatCount, w.drainDeadline = 0, 0, 0, 0, 0
	w.runs, w.overAttempts, w.startedAttempts, w.ended = map[RunID]*calledRun{}, map[agent.TaskName]uint32{}, map[agent.TaskName]uint32{}, nil
}

// Crash ends a life without a word; all that ran dies with it.
func (w *CalledWorker) Crash(now eventloop.Micros) {
	for _, key := range w.sortedIDs() {
		w.emit(now, "end", key, "gone")
		w.breakGang(w.runs[key])
	}
	w.runs, w.isDead = nil, true
	w.delayed = slices.DeleteFunc(w.delayed, func(each delayedAction) bool { return !each.isTimeout })
	for _, each := range w.inspections {
		each.reply(agent.Reply{Number: each.call.Number, Outcome: agent.TimedOut})
	}
	w.inspections = nil
}

// Drain has the worker say that it leaves, and go after a span.
func (w *CalledWorker) Drain(now, delay eventloop.Micros) { w.drainDeadline = now + delay }

// ID names the life.
func (w *CalledWorker) ID() string { return w.id }

// IsDead tells whether it has crashed or gone.
func (w *CalledWorker) IsDead() bool { return w.isDead }

// RunningCount counts what runs.
func (w *CalledWorker) RunningCount() int { return len(w.runs) }

// IsRunning tells whether a run is there.
func (w *CalledWorker) IsRunning(run RunID) bool { return w.runs[run] != nil }

// UnacknowledgedCount counts the ends that it lists.
func (w *CalledWorker) UnacknowledgedCount() int { return len(w.ended) }

// FencingToken is the highest seen.
func (w *CalledWorker) FencingToken() uint64 { return w.fencingToken }

// Clock is what its own clock shows.
func (w *CalledWorker) Clock(now eventloop.Micros) eventloop.Micros {
	return eventloop.Second + eventloop.Micros(float64(now-w.startedAt)*w.config.ClockDrift)
}

// HoldUntil is when all that runs is killed, by its own clock.
func (w *CalledWorker) HoldUntil() eventloop.Micros { return w.holdUntil }

// Heartbeat is its word of itself.
func (w *CalledWorker) Heartbeat(now eventloop.Micros) agent.Heartbeat {
	w.heartbeatCount++
	s := w.config
	beat := agent.Heartbeat{
		Worker: w.id, Pool: s.Pool, Cell: s.Cell, Rack: s.Rack, Labels: s.Labels, Cores: s.Cores, Memory: s.Memory,
		Accelerators: s.Accelerators, WarmUpRemaining: max(0, s.WarmUp-(now-w.startedAt)), Clock: w.Clock(now), Number: w.heartbeatCount, Address: s.Address,
	}
	if w.drainDeadline > 0 {
		beat.IsDraining, beat.DrainRemaining = true, max(0, w.drainDeadline-now)
	}
	return beat
}

// HandleCall carries a call out. The reply may come at once or in a later step.
func (w *CalledWorker) HandleCall(now eventloop.Micros, call agent.Call, reply func(agent.Reply)) {
	w.Step(now)
	fault := NoFault
	if w.config.Fault != nil {
		fault = w.config.Fault(now, call)
	}
	replyTimedOut := func(delay eventloop.Micros) {
		w.delayed = append(w.delayed, delayedAction{now + delay, func(eventloop.Micros) {
			reply(agent.Reply{Number: call.Number, Outcome: agent.TimedOut})
		}, true})
	}
	switch {
	case w.isDead, fault == FaultRequestLost:
		replyTimedOut(replyTimeout + call.Wait)
	case fault == FaultBusy:
		reply(agent.Reply{Number: call.Number, Outcome: agent.Busy})
	case fault == FaultReplyLost:
		w.apply(now, call, func(agent.Reply) {})
		replyTimedOut(replyTimeout + call.Wait)
	case fault == FaultDelayed:
		delay := w.config.FaultDelay
		if delay == 0 {
			delay = 2 * eventloop.Second
		}
		replyTimedOut(replyTimeout + call.Wait)
		w.delayed = append(w.delayed, delayedAction{now + delay, func(at eventloop.Micros) {
			w.isDelayed = true
			w.apply(at, call, func(agent.Reply) {})
			w.isDelayed = false
		}, false})
	default:
		w.apply(now, call, reply)
	}
}

func (w *CalledWorker) apply(now eventloop.Micros, call agent.Call, reply func(agent.Reply)) {
	result := agent.Reply{Number: call.Number, Outcome: agent.Succeeded, Clock: w.Clock(now)}
	reject := func(reason agent.RejectionReason) {
		result.Outcome, result.Reason = agent.Rejected, reason
		reply(result)
	}
	if call.Worker != w.id {
		reply(agent.Reply{Number: call.Number, Outcome: agent.IncarnationMismatch})
		return
	}
	if call.FencingToken < w.fencingToken {
		reject(agent.StaleToken)
		return
	}
	w.fencingToken = call.FencingToken
	if call.HoldUntil > 0 {
		limit := eventloop.Micros(w.config.Bounds.HoldMostUs)
		until := call.HoldUntil
		if limit > 0 {
			until = min(until, w.Clock(now)+limit)
		}
		w.holdUntil = max(w.holdUntil, until)
	}
	switch call.Action {
	case agent.Start:
		if why := w.startRun(now, call); why != agent.NotRejected {
			reject(why)
			return
		}
		reply(result)
	case agent.Stop:
		w.stopRun(now, RunID{call.Task, call.Attempt})
		reply(result)
	case agent.Inspect:
		for len(w.ended) > 0 && w.ended[0].Number <= call.AcknowledgedThrough {
			if w.config.OnAcknowledged != nil {
				w.config.OnAcknowledged(now, w.ended[0])
			}
			w.ended = w.ended[1:]
		}
		if call.Wait > 0 && len(w.ended) == 0 {
			w.inspections = append(w.inspections, waitingInspection{call, now + min(call.Wait, 2*eventloop.Second), reply})
			return
		}
		w.replyToInspection(now, call, reply)
	}
}

func (w *CalledWorker) replyToInspection(now eventloop.Micros, call agent.Call, reply func(agent.Reply)) {
	result := agent.Reply{Number: call.Number, Outcome: agent.Succeeded, Clock: w.Clock(now)}
	for _, key := range w.sortedIDs() {
		r := w.runs[key]
		running := agent.RunningTask{Task: key.Task, Attempt: key.Attempt, Checkpoint: w.checkpoint(now, r, false)}
		if r.requirements.Work > 0 {
			running.Percent = int64(100 * w.workDone(now, r) / r.requirements.Work)
		}
		result.Running = append(result.Running, running)
	}
	result.Ended = slices.Clone(w.ended[:min(len(w.ended), maxEndsPerInspection)])
	reply(result)
}

func (w *CalledWorker) startRun(now eventloop.Micros, call agent.Call) agent.RejectionReason {
	key := RunID{call.Task, call.Attempt}
	if call.Attempt == 0 || call.Task.Job == "" {
		return agent.Malformed
	}
	if w.runs[key] != nil {
		return agent.NotRejected
	}
	if over, found := w.overAttempts[call.Task]; found && call.Attempt <= over || call.Attempt <= w.startedAttempts[call.Task] {
		return agent.AttemptOver
	}
	if w.Clock(now) >= w.holdUntil || call.HoldUntil > 0 && w.Clock(now) >= call.HoldUntil {
		return agent.DeadlinePassed
	}
	requirements := w.config.ParseTask(call.Task, call.Text)
	if w.config.EnforcesCapacity && !w.hasCapacity(requirements) {
		return agent.NoCapacity
	}
	w.startedAttempts[call.Task] = call.Attempt
	r := &calledRun{id: key, requirements: requirements, acceptedAt: now, slowdown: w.slowdown(now, requirements)}
	if requirements.HasCheckpoints {
		fmt.Sscanf(call.Checkpoint, "work=%d", &r.priorWork)
	}
	r.willFail = w.config.Fails != nil && w.config.Fails(call.Task, call.Attempt)
	w.runs[key] = r
	w.emit(now, "begin", key, "")
	if w.config.OnStart != nil {
		w.config.OnStart(now, call, w.isDelayed)
	}
	if requirements.GangSize > 1 {
		w.joinGang(now, r)
		return agent.NotRejected
	}
	w.startWork(now, r)
	return agent.NotRejected
}

func (w *CalledWorker) slowdown(now eventloop.Micros, requirements Requirements) float64 {
	slowdown := 1.0
	if w.config.Slowdown != nil {
		slowdown = w.config.Slowdown(now)
	}
	if requirements.Rack != "" && requirements.Rack != w.config.Rack {
		slowdown *= w.remoteFactor()
	}
	return slowdown
}

// remoteFactor is how much longer work takes away from its data or its group's rack.
func (w *CalledWorker) remoteFactor() float64 {
	if milli := w.config.Bounds.AwayMilli; milli > 0 {
		return float64(milli) / 1000
	}
	return 1
}

func (w *CalledWorker) startWork(now eventloop.Micros, r *calledRun) {
	r.startedAt = now
	if r.priorWork > 0 {
		r.startedAt += eventloop.Micros(w.config.Bounds.RestoreUs)
	}
	if r.requirements.Work > 0 {
		r.endsAt = r.startedAt + eventloop.Micros(float64(r.requirements.Work-r.priorWork)*r.slowdown)
	}
	if r.willFail && r.requirements.Work > 0 {
		r.endsAt = r.startedAt + eventloop.Micros(float64(max(r.requirements.Work-r.priorWork, 2))*r.slowdown/2)
	}
}

func (w *CalledWorker) hasCapacity(requirements Requirements) bool {
	cores, memory, accelerators := w.config.Cores-requirements.Cores, w.config.Memory-requirements.Memory, w.config.Accelerators-requirements.Accelerators
	for _, r := range w.runs {
		cores, memory, accelerators = cores-r.requirements.Cores, memory-r.requirements.Memory, accelerators-r.requirements.Accelerators
	}
	return cores >= 0 && memory >= 0 && accelerators >= 0
}

// joinGang joins a run to its group, which begins when its last member is there.
func (w *CalledWorker) joinGang(now eventloop.Micros, r *calledRun) {
	key := gangKey{r.id.Task.Job, r.id.Task.Round, r.id.Task.StepInRound, r.id.Attempt}
	g := w.gangs.byKey[key]
	if g == nil {
		g = &gang{members: map[uint32]*calledRun{}, racks: map[string]bool{}}
		w.gangs.byKey[key] = g
	}
	r.gang = g
	g.members[r.id.Task.Task] = r
	g.racks[w.config.Rack] = true
	if len(g.members) < r.requirements.GangSize || g.isBroken {
		return
	}
	g.completeAt = now
	slowdown, priorWork := 1.0, eventloop.Micros(0)
	for _, member := range g.members {
		slowdown, priorWork = max(slowdown, member.slowdown), max(priorWork, member.priorWork)
	}
	if r.requirements.NeedsOneRack && len(g.racks) > 1 {
		slowdown *= w.remoteFactor()
	}
	for _, member := range g.members {
		member.slowdown, member.priorWork = slowdown, priorWork
		w.startWork(now, member)
		if !member.willFail {
			g.endsAt = max(g.endsAt, member.endsAt)
		}
	}
}

func (w *CalledWorker) breakGang(r *calledRun) {
	if r.gang != nil && !r.gang.isDone {
		r.gang.isBroken = true
	}
}

// stopRun has a run end soon; one that isn't there never will be.
func (w *CalledWorker) stopRun(now eventloop.Micros, key RunID) {
	r := w.runs[key]
	if r == nil {
		w.overAttempts[key.Task] = max(w.overAttempts[key.Task], key.Attempt)
		return
	}
	if r.stopAt > 0 {
		return
	}
	duration := eventloop.Micros(w.config.Bounds.StopUs / 4)
	if w.config.StopDuration != nil {
		duration = w.config.StopDuration(key.Task, key.Attempt)
	}
	r.stopAt = now + duration
}

// workDone is how much work a run has behind it.
func (w *CalledWorker) workDone(now eventloop.Micros, r *calledRun) eventloop.Micros {
	if r.startedAt == 0 || now <= r.startedAt {
		return r.priorWork
	}
	return r.priorWork + eventloop.Micros(float64(now-r.startedAt)/max(r.slowdown, 0.001))
}

// checkpoint is what is kept of a run's work: each so much, or all at a stop.
func (w *CalledWorker) checkpoint(now eventloop.Micros, r *calledRun, all bool) string {
	if !r.requirements.HasCheckpoints {
		return ""
	}
	done := w.workDone(now, r)
	if interval := eventloop.Micros(w.config.Bounds.SaveUs); !all && interval > 0 {
		done = max(r.priorWork, done-done%interval)
	}
	if done == 0 {
		return ""
	}
	task := r.id.Task
	return fmt.Sprintf("work=%d of=%s.%d.%d.%d", done, task.Job, task.Round, task.StepInRound, task.Task)
}

func (w *CalledWorker) endRun(now eventloop.Micros, r *calledRun, how string) {
	delete(w.runs, r.id)
	if how != "done" {
		w.breakGang(r)
	}
	saved := ""
	if how != "done" {
		saved = w.checkpoint(now, r, how == "stopped")
	}
	w.overAttempts[r.id.Task] = max(w.overAttempts[r.id.Task], r.id.Attempt)
	w.endCount++
	w.ended = append(w.ended, agent.EndedTask{Number: w.endCount, Task: r.id.Task, Attempt: r.id.Attempt, State: how, Checkpoint: saved})
	w.emit(now, "end", r.id, how)
}

// Step does what is due.
func (w *CalledWorker) Step(now eventloop.Micros) {
	delayed := w.delayed
	w.delayed = nil
	for _, each := range delayed {
		if now < each.dueAt {
			w.delayed = append(w.delayed, each)
			continue
		}
		each.apply(now)
	}
	if w.isDead {
		return
	}
	holdExpired := w.Clock(now) >= w.holdUntil
	gangTimeout := eventloop.Micros(w.config.Bounds.GatherUs)
	for _, key := range w.sortedIDs() {
		r := w.runs[key]
		g := r.gang
		switch {
		case holdExpired:
			w.endRun(now, r, "lapsed")
		case r.stopAt > 0 && now >= r.stopAt:
			w.endRun(now, r, "stopped")
		case g != nil && g.isBroken:
			w.endRun(now, r, "broken")
		case g != nil && g.completeAt == 0:
			if gangTimeout > 0 && now-r.acceptedAt >= gangTimeout {
				w.endRun(now, r, "alone")
			}
		case r.willFail && now >= r.endsAt:
			w.endRun(now, r, "failed")
		case g != nil:
			if g.endsAt > 0 && now >= g.endsAt {
				g.isDone = true
				w.endRun(now, r, "done")
			}
		case r.endsAt > 0 && now >= r.endsAt:
			w.endRun(now, r, "done")
		}
	}
	inspections := w.inspections
	w.inspections = nil
	for _, each := range inspections {
		if len(w.ended) == 0 && now < each.deadline {
			w.inspections = append(w.inspections, each)
			continue
		}
		w.replyToInspection(now, each.call, each.reply)
	}
	if w.drainDeadline > 0 && now >= w.drainDeadline {
		w.Crash(now)
	}
}

// NextEventAt is when something is due by itself; what other members of a group do
// may be due sooner.
func (w *CalledWorker) NextEventAt() eventloop.Micros {
	next := eventloop.Micros(1) << 62
	earliest := func(at eventloop.Micros) {
		if at > 0 {
			next = min(next, at)
		}
	}
	for _, each := range w.delayed {
		earliest(each.dueAt)
	}
	for _, each := range w.inspections {
		earliest(each.deadline)
	}
	for _, r := range w.runs {
		earliest(r.stopAt)
		switch g := r.gang; {
		case g == nil || r.willFail:
			earliest(r.endsAt)
		case g.completeAt > 0:
			earliest(g.endsAt)
		case w.config.Bounds.GatherUs > 0:
			earliest(r.acceptedAt + eventloop.Micros(w.config.Bounds.GatherUs))
		}
		earliest(w.startedAt + eventloop.Micros(float64(w.holdUntil-eventloop.Second)/w.config.ClockDrift) + 1)
	}
	earliest(w.drainDeadline)
	return next
}

func (w *CalledWorker) sortedIDs() []RunID { return slices.SortedFunc(maps.Keys(w.runs), compareIDs) }

func (w *CalledWorker) emit(now eventloop.Micros, kind string, run RunID, how string) {
	if w.config.OnEvent != nil {
		w.config.OnEvent(now, kind, run, how)
	}
}

// parseRequirements reads a task's text: "run_us=30000 cores=500 memory=100 members=3
// saves=1 one_rack=1 rack=r1".
func parseRequirements(_ agent.TaskName, text string) Requirements {
	requirements := Requirements{
		Work: eventloop.Micros(textParameter(text, "run_us", 20_000)), Cores: int64(textParameter(text, "cores", 0)), Memory: int64(textParameter(text, "memory", 0)),
		Accelerators: int64(textParameter(text, "accelerators", 0)), GangSize: int(textParameter(text, "members", 0)),
		HasCheckpoints: textParameter(text, "saves", 0) > 0, NeedsOneRack: textParameter(text, "one_rack", 0) > 0,
	}
	for _, word := range strings.Fields(text) {
		if rack, found := strings.CutPrefix(word, "rack="); found {
			requirements.Rack = rack
		}
	}
	return requirements
}
