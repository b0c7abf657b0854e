package fakeworker

import (
	"cmp"
	"maps"
	"slices"

	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// RunID identifies an attempt of a task.
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

// CalledWorker is a fake worker that receives calls from its agent. It rejects stale fencing
// tokens, kills its runs when its run deadline passes, and lists ended runs until they are
// acknowledged. Its methods expect true time, from which the worker's own clock is derived
// with Config.ClockDrift.
type CalledWorker struct {
	config          Config
	gangs           *Gangs
	id              string // of the current incarnation
	startedAt       eventloop.Micros
	isDead          bool             // it has crashed or departed
	fencingToken    uint64           // highest token that it has received
	runDeadline     eventloop.Micros // when it kills all runs, by its own clock
	runs            map[RunID]*calledRun
	endedAttempts   map[agent.TaskName]uint32 // highest attempt that ended or was stopped before it started
	startedAttempts map[agent.TaskName]uint32 // highest attempt that started
	ended           []agent.EndedTask         // unacknowledged ends
	endCount        uint64
	heartbeatCount  uint64
	drainDeadline   eventloop.Micros // when it departs; 0: it isn't draining
	inspections     []waitingInspection
	delayed         []delayedAction
	isDelayed       bool // the call that is being carried out has FaultDelayed
}

// NewCalledWorker returns the first incarnation of a worker, which id identifies. If gangs
// is nil, the worker shares its gangs with no other worker.
func NewCalledWorker(now eventloop.Micros, id string, config Config, gangs *Gangs) *CalledWorker {
	if config.Bounds == nil {
		config.Bounds = &schema.Bounds{}
	}
	if config.ClockDrift == 0 {
		config.ClockDrift = 1
	}
	if config.ParseTask == nil {
		config.ParseTask = parseRequirements
	}
	if gangs == nil {
		gangs = NewGangs()
	}
	w := &CalledWorker{config: config, gangs: gangs}
	w.Restart(now, id)
	return w
}

// Restart ends the current incarnation and starts a new one, which id identifies. The new one
// has no runs and has received no fencing token.
func (w *CalledWorker) Restart(now eventloop.Micros, id string) {
	w.Crash(now)
	w.id, w.startedAt, w.isDead = id, now, false
	w.fencingToken, w.runDeadline, w.endCount, w.heartbeatCount, w.drainDeadline = 0, 0, 0, 0, 0
	w.runs, w.endedAttempts, w.startedAttempts, w.ended = map[RunID]*calledRun{}, map[agent.TaskName]uint32{}, map[agent.TaskName]uint32{}, nil
}

// Crash ends the incarnation and all its runs. The ends aren't reported to the agent.
func (w *CalledWorker) Crash(now eventloop.Micros) {
	for _, id := range w.sortedIDs() {
		w.emit(now, EventEnd, id, stateGone)
		w.breakGang(w.runs[id])
	}
	w.runs, w.isDead = nil, true
	w.delayed = slices.DeleteFunc(w.delayed, func(action delayedAction) bool { return !action.isTimeout })
	for _, inspection := range w.inspections {
		inspection.reply(agent.Reply{Number: inspection.call.Number, Outcome: agent.TimedOut})
	}
	w.inspections = nil
}

// Drain makes the worker report that it is draining, and depart after the delay.
func (w *CalledWorker) Drain(now, delay eventloop.Micros) { w.drainDeadline = now + delay }

// ID returns the ID of the incarnation.
func (w *CalledWorker) ID() string { return w.id }

// IsDead reports whether the worker has crashed or departed.
func (w *CalledWorker) IsDead() bool { return w.isDead }

// RunningCount returns the number of runs.
func (w *CalledWorker) RunningCount() int { return len(w.runs) }

// IsRunning reports whether the worker has this run.
func (w *CalledWorker) IsRunning(run RunID) bool { return w.runs[run] != nil }

// UnacknowledgedCount returns the number of ended runs that the agent hasn't acknowledged.
func (w *CalledWorker) UnacknowledgedCount() int { return len(w.ended) }

// FencingToken returns the highest fencing token that the incarnation has received.
func (w *CalledWorker) FencingToken() uint64 { return w.fencingToken }

// Clock converts true time to the time of the worker's own clock.
func (w *CalledWorker) Clock(now eventloop.Micros) eventloop.Micros {
	return eventloop.Second + eventloop.Micros(float64(now-w.startedAt)*w.config.ClockDrift)
}

// RunDeadline returns when the worker kills all runs, by its own clock.
func (w *CalledWorker) RunDeadline() eventloop.Micros { return w.runDeadline }

// Heartbeat returns the next heartbeat.
func (w *CalledWorker) Heartbeat(now eventloop.Micros) agent.Heartbeat {
	w.heartbeatCount++
	c := w.config
	heartbeat := agent.Heartbeat{
		Worker: w.id, Pool: c.Pool, Zone: c.Zone, Rack: c.Rack, Labels: c.Labels, Cores: c.Cores, Memory: c.Memory,
		Accelerators: c.Accelerators, WarmUpRemaining: max(0, c.WarmUp-(now-w.startedAt)), Clock: w.Clock(now), Number: w.heartbeatCount, Address: c.Address,
	}
	if w.drainDeadline > 0 {
		heartbeat.IsDraining, heartbeat.DrainRemaining = true, max(0, w.drainDeadline-now)
	}
	return heartbeat
}

// Step executes delayed actions, ends runs, and replies to inspections, as far as they are due.
// A draining worker departs once its drain deadline has passed, with the same effect as a crash.
func (w *CalledWorker) Step(now eventloop.Micros) {
	w.runDelayed(now)
	if w.isDead {
		return
	}
	deadlinePassed := w.Clock(now) >= w.runDeadline
	for _, id := range w.sortedIDs() {
		r := w.runs[id]
		if state := w.endState(now, r, deadlinePassed); state != "" {
			w.endRun(now, r, state)
		}
	}
	w.replyToWaiting(now)
	if w.drainDeadline > 0 && now >= w.drainDeadline {
		w.Crash(now)
	}
}

func (w *CalledWorker) runDelayed(now eventloop.Micros) {
	delayed := w.delayed
	w.delayed = nil
	for _, action := range delayed {
		if now < action.dueAt {
			w.delayed = append(w.delayed, action)
			continue
		}
		action.apply(now)
	}
}

// endState returns the state in which a run ends now, or an empty string if it continues.
func (w *CalledWorker) endState(now eventloop.Micros, r *calledRun, deadlinePassed bool) string {
	g := r.gang
	switch {
	case deadlinePassed:
		return stateLapsed
	case r.stopAt > 0 && now >= r.stopAt:
		return stateStopped
	case g != nil && g.isBroken:
		return stateBroken
	case g != nil && g.completeAt == 0:
		if timeout := eventloop.Micros(w.config.Bounds.GangTimeoutUs); timeout > 0 && now-r.acceptedAt >= timeout {
			return stateAlone
		}
	case r.willFail && now >= r.endsAt:
		return stateFailed
	case g != nil:
		if g.endsAt > 0 && now >= g.endsAt {
			g.isDone = true
			return stateDone
		}
	case r.endsAt > 0 && now >= r.endsAt:
		return stateDone
	}
	return ""
}

func (w *CalledWorker) replyToWaiting(now eventloop.Micros) {
	inspections := w.inspections
	w.inspections = nil
	for _, inspection := range inspections {
		if len(w.ended) == 0 && now < inspection.deadline {
			w.inspections = append(w.inspections, inspection)
			continue
		}
		w.replyToInspection(now, inspection.call, inspection.reply)
	}
}

func (w *CalledWorker) sortedIDs() []RunID { return slices.SortedFunc(maps.Keys(w.runs), compareIDs) }

func (w *CalledWorker) emit(now eventloop.Micros, kind string, run RunID, state string) {
	if w.config.OnEvent != nil {
		w.config.OnEvent(now, kind, run, state)
	}
}
