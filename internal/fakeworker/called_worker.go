package fakeworker

import (
	"cmp"
	"maps"
	"slices"

	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// RunID names one attempt at a task.
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

// CalledWorker is a fake of a worker that takes calls from its agent. It rejects
// stale fencing tokens, kills its runs when its hold is over, and lists ended runs
// until they are acknowledged. The times that its methods take are of one true
// clock; the worker's own clock is derived from that.
type CalledWorker struct {
	config          Config
	gangs           *Gangs
	id              string
	startedAt       eventloop.Micros
	isDead          bool             // it has crashed or departed
	fencingToken    uint64           // the highest it has seen
	holdUntil       eventloop.Micros // by the worker's clock
	runs            map[RunID]*calledRun
	overAttempts    map[agent.TaskName]uint32 // highest attempt that ended or was stopped
	startedAttempts map[agent.TaskName]uint32 // highest attempt that started
	ended           []agent.EndedTask
	endCount        uint64
	heartbeatCount  uint64
	drainDeadline   eventloop.Micros // it departs then; 0: it isn't draining
	inspections     []waitingInspection
	delayed         []delayedAction
	isDelayed       bool // the call that is being carried out had FaultDelayed
}

// NewCalledWorker makes a worker's first incarnation. Nil gangs are of its own.
func NewCalledWorker(now eventloop.Micros, worker string, config Config, gangs *Gangs) *CalledWorker {
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
	w.Restart(now, worker)
	return w
}

// Restart starts another incarnation: nothing runs and no fencing token was seen.
func (w *CalledWorker) Restart(now eventloop.Micros, worker string) {
	w.Crash(now)
	w.id, w.startedAt, w.isDead = worker, now, false
	w.fencingToken, w.holdUntil, w.endCount, w.heartbeatCount, w.drainDeadline = 0, 0, 0, 0, 0
	w.runs, w.overAttempts, w.startedAttempts, w.ended = map[RunID]*calledRun{}, map[agent.TaskName]uint32{}, map[agent.TaskName]uint32{}, nil
}

// Crash ends the incarnation and all its runs without a report.
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

// Drain makes the worker report that it is draining, and depart after a delay.
func (w *CalledWorker) Drain(now, delay eventloop.Micros) { w.drainDeadline = now + delay }

// ID names the incarnation.
func (w *CalledWorker) ID() string { return w.id }

// IsDead reports whether the worker has crashed or departed.
func (w *CalledWorker) IsDead() bool { return w.isDead }

// RunningCount is the number of runs.
func (w *CalledWorker) RunningCount() int { return len(w.runs) }

// IsRunning reports whether a run is there.
func (w *CalledWorker) IsRunning(run RunID) bool { return w.runs[run] != nil }

// UnacknowledgedCount is the number of ends that the worker lists.
func (w *CalledWorker) UnacknowledgedCount() int { return len(w.ended) }

// FencingToken is the highest that the worker has seen.
func (w *CalledWorker) FencingToken() uint64 { return w.fencingToken }

// Clock is the time by the worker's own clock.
func (w *CalledWorker) Clock(now eventloop.Micros) eventloop.Micros {
	return eventloop.Second + eventloop.Micros(float64(now-w.startedAt)*w.config.ClockDrift)
}

// RunDeadline is when all runs are killed, by the worker's own clock.
func (w *CalledWorker) RunDeadline() eventloop.Micros { return w.holdUntil }

// Heartbeat makes the next heartbeat.
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

// Step does what is due.
func (w *CalledWorker) Step(now eventloop.Micros) {
	w.runDelayed(now)
	if w.isDead {
		return
	}
	holdExpired := w.Clock(now) >= w.holdUntil
	for _, id := range w.sortedIDs() {
		r := w.runs[id]
		if state := w.endState(now, r, holdExpired); state != "" {
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

// endState is how a run ends now; "" when it goes on.
func (w *CalledWorker) endState(now eventloop.Micros, r *calledRun, holdExpired bool) string {
	g := r.gang
	switch {
	case holdExpired:
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
