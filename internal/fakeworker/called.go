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
	patience = 400 * eventloop.Millisecond // a call without an answer is silent after this
	endsMost = 500                         // in one look
)

// Need is what a called worker reads of a task.
type Need struct {
	Cores, Memory, Accelerators int64
	Work                        eventloop.Micros // at a factor of 1; 0: it lasts until it is stopped
	Members                     int              // of its group; 0 and 1: none
	Rack                        string           // that holds its data
	IsOneRack                   bool
	IsSaving                    bool
}

// Fault is what becomes of one call.
type Fault int

const (
	// NoFault means that the call is done and answered.
	NoFault Fault = iota
	// Refused means busy: nothing is done.
	Refused
	// Lost means that nothing is done and nothing answered.
	Lost
	// Unheard means that it is done, and nothing answered.
	Unheard
	// Belated means that nothing is answered, and it is done seconds later.
	Belated
)

// Setup is what a called worker is. The hooks decide what happens to it, so
// that a run is the same each time; each may be nil.
type Setup struct {
	Pool, Cell, Rack string
	Address          string
	Labels           []string
	Cores            int64 // thousandths
	Memory           int64 // MB
	Accelerators     int64
	Bounds           *schema.Bounds
	IsGuarding       bool             // turns away what doesn't fit
	Drift            float64          // of its clock; 0: true
	Cold             eventloop.Micros // it is slow for so long after its start
	Belated          eventloop.Micros // how much later belated calls are done; 0: 2 s

	Read     func(task agent.TaskName, text string) Need                  // nil: from words such as run_us=30000
	Fails    func(task agent.TaskName, attempt uint32) bool               // ends failed after half its work
	Slowness func(now eventloop.Micros) float64                           // factor on work that begins now
	Fault    func(now eventloop.Micros, call agent.Call) Fault            // of a call
	Stops    func(task agent.TaskName, attempt uint32) eventloop.Micros   // how long a stop takes; nil: a quarter of the bound
	Tell     func(now eventloop.Micros, kind string, run Run, how string) // begin, end
	Begun    func(now eventloop.Micros, call agent.Call, isLate bool)     // a start was carried out, perhaps long after the call
	Noted    func(now eventloop.Micros, ending agent.EndedTask)           // an end needn't be listed any more
}

// Run names one start of a task.
type Run struct {
	Task    agent.TaskName
	Attempt uint32
}

func compareRuns(a, b Run) int {
	return cmp.Or(
		cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Round, b.Task.Round), cmp.Compare(a.Task.StepInRound, b.Task.StepInRound),
		cmp.Compare(a.Task.Task, b.Task.Task), cmp.Compare(a.Attempt, b.Attempt),
	)
}

// Gangs are the groups that gather at the called workers of one fleet.
type Gangs struct{ all map[gangKey]*gang }

// NewGangs makes them.
func NewGangs() *Gangs { return &Gangs{all: map[gangKey]*gang{}} }

type gangKey struct {
	job         string
	round, part uint32
	attempt     uint32
}

type gang struct {
	members  map[uint32]*called // by task
	racks    map[string]bool
	whole    eventloop.Micros // when all were there
	until    eventloop.Micros // they are done together
	isDone   bool
	isBroken bool
}

// called is a run of a called worker.
type called struct {
	run     Run
	need    Need
	arrived eventloop.Micros
	began   eventloop.Micros // of its work
	until   eventloop.Micros // it ends by itself; 0: not by itself, or not yet
	factor  float64
	before  eventloop.Micros // work done before this start
	isBad   bool             // will end failed
	gang    *gang
	stopAt  eventloop.Micros
}

type waiting struct {
	call  agent.Call
	until eventloop.Micros
	reply func(agent.Reply)
}

type belated struct {
	at       eventloop.Micros
	apply    func(now eventloop.Micros)
	isSilent bool // only the caller's own patience: that doesn't die with the worker
}

// Called is a stand-in of a worker that is called: it knows its agent by fences
// alone, holds what it runs as long as it was told, and lists ends until they
// are noted. Times are of one true clock; its own is derived.
type Called struct {
	setup   Setup
	gangs   *Gangs
	worker  string
	born    eventloop.Micros
	isDead  bool
	fence   uint64
	until   eventloop.Micros // by its own clock
	runs    map[Run]*called
	past    map[agent.TaskName]uint32 // highest attempt seen to end or stopped
	newest  map[agent.TaskName]uint32 // highest started
	ended   []agent.EndedTask
	number  uint64
	beats   uint64
	leaveAt eventloop.Micros // it ends then
	looks   []waiting
	later   []belated
	isLate  bool // what is being done was called for earlier
}

// NewCalled makes a worker's first life.
func NewCalled(now eventloop.Micros, worker string, setup Setup, gangs *Gangs) *Called {
	if setup.Bounds == nil {
		setup.Bounds = &schema.Bounds{}
	}
	if setup.Drift == 0 {
		setup.Drift = 1
	}
	if setup.Read == nil {
		setup.Read = readNeed
	}
	if gangs == nil {
		gangs = NewGangs()
	}
	w := &Called{setup: setup, gangs: gangs}
	w.Live(now, worker)
	return w
}

// Live begins another life: nothing runs and no fence was seen.
func (w *Called) Live(now eventloop.Micros, worker string) {
	w.Crash(now)
	w.worker, w.born, w.isDead = worker, now, false
	w.fence, w.until, w.number, w.beats, w.leaveAt = 0, 0, 0, 0, 0
	w.runs, w.past, w.newest, w.ended = map[Run]*called{}, map[agent.TaskName]uint32{}, map[agent.TaskName]uint32{}, nil
}

// Crash ends a life without a word; all that ran dies with it.
func (w *Called) Crash(now eventloop.Micros) {
	for _, key := range w.keys() {
		w.tell(now, "end", key, "gone")
		w.breakUp(w.runs[key])
	}
	w.runs, w.isDead = nil, true
	w.later = slices.DeleteFunc(w.later, func(each belated) bool { return !each.isSilent })
	for _, each := range w.looks {
		each.reply(agent.Reply{Number: each.call.Number, Outcome: agent.TimedOut})
	}
	w.looks = nil
}

// Leave has the worker say that it leaves, and go after a span.
func (w *Called) Leave(now, span eventloop.Micros) { w.leaveAt = now + span }

// Worker names the life.
func (w *Called) Worker() string { return w.worker }

// IsDead tells whether it has crashed or gone.
func (w *Called) IsDead() bool { return w.isDead }

// Running counts what runs.
func (w *Called) Running() int { return len(w.runs) }

// Runs tells whether a run is there.
func (w *Called) Runs(run Run) bool { return w.runs[run] != nil }

// Unnoted counts the ends that it lists.
func (w *Called) Unnoted() int { return len(w.ended) }

// Fence is the highest seen.
func (w *Called) Fence() uint64 { return w.fence }

// Clock is what its own clock shows.
func (w *Called) Clock(now eventloop.Micros) eventloop.Micros {
	return eventloop.Second + eventloop.Micros(float64(now-w.born)*w.setup.Drift)
}

// HeldTo is when all that runs is killed, by its own clock.
func (w *Called) HeldTo() eventloop.Micros { return w.until }

// Beat is its word of itself.
func (w *Called) Beat(now eventloop.Micros) agent.Heartbeat {
	w.beats++
	s := w.setup
	beat := agent.Heartbeat{
		Worker: w.worker, Pool: s.Pool, Cell: s.Cell, Rack: s.Rack, Labels: s.Labels, Cores: s.Cores, Memory: s.Memory,
		Accelerators: s.Accelerators, WarmUpRemaining: max(0, s.Cold-(now-w.born)), Clock: w.Clock(now), Number: w.beats, Address: s.Address,
	}
	if w.leaveAt > 0 {
		beat.IsDraining, beat.DrainRemaining = true, max(0, w.leaveAt-now)
	}
	return beat
}

// Take carries a call out. The reply may come at once or in a later step.
func (w *Called) Take(now eventloop.Micros, call agent.Call, reply func(agent.Reply)) {
	w.Step(now)
	fault := NoFault
	if w.setup.Fault != nil {
		fault = w.setup.Fault(now, call)
	}
	silent := func(span eventloop.Micros) {
		w.later = append(w.later, belated{now + span, func(eventloop.Micros) {
			reply(agent.Reply{Number: call.Number, Outcome: agent.TimedOut})
		}, true})
	}
	switch {
	case w.isDead, fault == Lost:
		silent(patience + call.Wait)
	case fault == Refused:
		reply(agent.Reply{Number: call.Number, Outcome: agent.Busy})
	case fault == Unheard:
		w.apply(now, call, func(agent.Reply) {})
		silent(patience + call.Wait)
	case fault == Belated:
		span := w.setup.Belated
		if span == 0 {
			span = 2 * eventloop.Second
		}
		silent(patience + call.Wait)
		w.later = append(w.later, belated{now + span, func(at eventloop.Micros) {
			w.isLate = true
			w.apply(at, call, func(agent.Reply) {})
			w.isLate = false
		}, false})
	default:
		w.apply(now, call, reply)
	}
}

func (w *Called) apply(now eventloop.Micros, call agent.Call, reply func(agent.Reply)) {
	answer := agent.Reply{Number: call.Number, Outcome: agent.Succeeded, Clock: w.Clock(now)}
	away := func(reason agent.RejectionReason) {
		answer.Outcome, answer.Reason = agent.Rejected, reason
		reply(answer)
	}
	if call.Worker != w.worker {
		reply(agent.Reply{Number: call.Number, Outcome: agent.IncarnationMismatch})
		return
	}
	if call.FencingToken < w.fence {
		away(agent.StaleToken)
		return
	}
	w.fence = call.FencingToken
	if call.HoldUntil > 0 {
		most := eventloop.Micros(w.setup.Bounds.HoldMostUs)
		until := call.HoldUntil
		if most > 0 {
			until = min(until, w.Clock(now)+most)
		}
		w.until = max(w.until, until)
	}
	switch call.Action {
	case agent.Start:
		if why := w.begin(now, call); why != agent.NotRejected {
			away(why)
			return
		}
		reply(answer)
	case agent.Stop:
		w.stop(now, Run{call.Task, call.Attempt})
		reply(answer)
	case agent.Inspect:
		for len(w.ended) > 0 && w.ended[0].Number <= call.AcknowledgedThrough {
			if w.setup.Noted != nil {
				w.setup.Noted(now, w.ended[0])
			}
			w.ended = w.ended[1:]
		}
		if call.Wait > 0 && len(w.ended) == 0 {
			w.looks = append(w.looks, waiting{call, now + min(call.Wait, 2*eventloop.Second), reply})
			return
		}
		w.list(now, call, reply)
	}
}

func (w *Called) list(now eventloop.Micros, call agent.Call, reply func(agent.Reply)) {
	answer := agent.Reply{Number: call.Number, Outcome: agent.Succeeded, Clock: w.Clock(now)}
	for _, key := range w.keys() {
		r := w.runs[key]
		each := agent.RunningTask{Task: key.Task, Attempt: key.Attempt, Checkpoint: w.saved(now, r, false)}
		if r.need.Work > 0 {
			each.Percent = int64(100 * w.done(now, r) / r.need.Work)
		}
		answer.Running = append(answer.Running, each)
	}
	answer.Ended = slices.Clone(w.ended[:min(len(w.ended), endsMost)])
	reply(answer)
}

func (w *Called) begin(now eventloop.Micros, call agent.Call) agent.RejectionReason {
	key := Run{call.Task, call.Attempt}
	if call.Attempt == 0 || call.Task.Job == "" {
		return agent.Malformed
	}
	if w.runs[key] != nil {
		return agent.NotRejected
	}
	if past, isPast := w.past[call.Task]; isPast && call.Attempt <= past || call.Attempt <= w.newest[call.Task] {
		return agent.AttemptOver
	}
	if w.Clock(now) >= w.until || call.HoldUntil > 0 && w.Clock(now) >= call.HoldUntil {
		return agent.DeadlinePassed
	}
	need := w.setup.Read(call.Task, call.Text)
	if w.setup.IsGuarding && !w.hasRoom(need) {
		return agent.NoCapacity
	}
	w.newest[call.Task] = call.Attempt
	r := &called{run: key, need: need, arrived: now, factor: w.factor(now, need)}
	if need.IsSaving {
		fmt.Sscanf(call.Checkpoint, "work=%d", &r.before)
	}
	r.isBad = w.setup.Fails != nil && w.setup.Fails(call.Task, call.Attempt)
	w.runs[key] = r
	w.tell(now, "begin", key, "")
	if w.setup.Begun != nil {
		w.setup.Begun(now, call, w.isLate)
	}
	if need.Members > 1 {
		w.gather(now, r)
		return agent.NotRejected
	}
	w.work(now, r)
	return agent.NotRejected
}

func (w *Called) factor(now eventloop.Micros, need Need) float64 {
	factor := 1.0
	if w.setup.Slowness != nil {
		factor = w.setup.Slowness(now)
	}
	if need.Rack != "" && need.Rack != w.setup.Rack {
		factor *= w.away()
	}
	return factor
}

// away is how much longer work takes away from its data or its group's rack.
func (w *Called) away() float64 {
	if milli := w.setup.Bounds.AwayMilli; milli > 0 {
		return float64(milli) / 1000
	}
	return 1
}

func (w *Called) work(now eventloop.Micros, r *called) {
	r.began = now
	if r.before > 0 {
		r.began += eventloop.Micros(w.setup.Bounds.RestoreUs)
	}
	if r.need.Work > 0 {
		r.until = r.began + eventloop.Micros(float64(r.need.Work-r.before)*r.factor)
	}
	if r.isBad && r.need.Work > 0 {
		r.until = r.began + eventloop.Micros(float64(max(r.need.Work-r.before, 2))*r.factor/2)
	}
}

func (w *Called) hasRoom(need Need) bool {
	cores, memory, accelerators := w.setup.Cores-need.Cores, w.setup.Memory-need.Memory, w.setup.Accelerators-need.Accelerators
	for _, r := range w.runs {
		cores, memory, accelerators = cores-r.need.Cores, memory-r.need.Memory, accelerators-r.need.Accelerators
	}
	return cores >= 0 && memory >= 0 && accelerators >= 0
}

// gather joins a run to its group, which begins when its last member is there.
func (w *Called) gather(now eventloop.Micros, r *called) {
	key := gangKey{r.run.Task.Job, r.run.Task.Round, r.run.Task.StepInRound, r.run.Attempt}
	g := w.gangs.all[key]
	if g == nil {
		g = &gang{members: map[uint32]*called{}, racks: map[string]bool{}}
		w.gangs.all[key] = g
	}
	r.gang = g
	g.members[r.run.Task.Task] = r
	g.racks[w.setup.Rack] = true
	if len(g.members) < r.need.Members || g.isBroken {
		return
	}
	g.whole = now
	factor, before := 1.0, eventloop.Micros(0)
	for _, member := range g.members {
		factor, before = max(factor, member.factor), max(before, member.before)
	}
	if r.need.IsOneRack && len(g.racks) > 1 {
		factor *= w.away()
	}
	for _, member := range g.members {
		member.factor, member.before = factor, before
		w.work(now, member)
		if !member.isBad {
			g.until = max(g.until, member.until)
		}
	}
}

func (w *Called) breakUp(r *called) {
	if r.gang != nil && !r.gang.isDone {
		r.gang.isBroken = true
	}
}

// stop has a run end soon; one that isn't there never will be.
func (w *Called) stop(now eventloop.Micros, key Run) {
	r := w.runs[key]
	if r == nil {
		w.past[key.Task] = max(w.past[key.Task], key.Attempt)
		return
	}
	if r.stopAt > 0 {
		return
	}
	span := eventloop.Micros(w.setup.Bounds.StopUs / 4)
	if w.setup.Stops != nil {
		span = w.setup.Stops(key.Task, key.Attempt)
	}
	r.stopAt = now + span
}

// done is how much work a run has behind it.
func (w *Called) done(now eventloop.Micros, r *called) eventloop.Micros {
	if r.began == 0 || now <= r.began {
		return r.before
	}
	return r.before + eventloop.Micros(float64(now-r.began)/max(r.factor, 0.001))
}

// saved is what is kept of a run's work: each so much, or all at a stop.
func (w *Called) saved(now eventloop.Micros, r *called, isAll bool) string {
	if !r.need.IsSaving {
		return ""
	}
	done := w.done(now, r)
	if every := eventloop.Micros(w.setup.Bounds.SaveUs); !isAll && every > 0 {
		done = max(r.before, done-done%every)
	}
	if done == 0 {
		return ""
	}
	of := r.run.Task
	return fmt.Sprintf("work=%d of=%s.%d.%d.%d", done, of.Job, of.Round, of.StepInRound, of.Task)
}

func (w *Called) end(now eventloop.Micros, r *called, how string) {
	delete(w.runs, r.run)
	if how != "done" {
		w.breakUp(r)
	}
	saved := ""
	if how != "done" {
		saved = w.saved(now, r, how == "stopped")
	}
	w.past[r.run.Task] = max(w.past[r.run.Task], r.run.Attempt)
	w.number++
	w.ended = append(w.ended, agent.EndedTask{Number: w.number, Task: r.run.Task, Attempt: r.run.Attempt, State: how, Checkpoint: saved})
	w.tell(now, "end", r.run, how)
}

// Step does what is due.
func (w *Called) Step(now eventloop.Micros) {
	later := w.later
	w.later = nil
	for _, each := range later {
		if now < each.at {
			w.later = append(w.later, each)
			continue
		}
		each.apply(now)
	}
	if w.isDead {
		return
	}
	isOver := w.Clock(now) >= w.until
	gather := eventloop.Micros(w.setup.Bounds.GatherUs)
	for _, key := range w.keys() {
		r := w.runs[key]
		g := r.gang
		switch {
		case isOver:
			w.end(now, r, "lapsed")
		case r.stopAt > 0 && now >= r.stopAt:
			w.end(now, r, "stopped")
		case g != nil && g.isBroken:
			w.end(now, r, "broken")
		case g != nil && g.whole == 0:
			if gather > 0 && now-r.arrived >= gather {
				w.end(now, r, "alone")
			}
		case r.isBad && now >= r.until:
			w.end(now, r, "failed")
		case g != nil:
			if g.until > 0 && now >= g.until {
				g.isDone = true
				w.end(now, r, "done")
			}
		case r.until > 0 && now >= r.until:
			w.end(now, r, "done")
		}
	}
	looks := w.looks
	w.looks = nil
	for _, each := range looks {
		if len(w.ended) == 0 && now < each.until {
			w.looks = append(w.looks, each)
			continue
		}
		w.list(now, each.call, each.reply)
	}
	if w.leaveAt > 0 && now >= w.leaveAt {
		w.Crash(now)
	}
}

// Next is when something is due by itself; what other members of a group do
// may be due sooner.
func (w *Called) Next() eventloop.Micros {
	next := eventloop.Micros(1) << 62
	sooner := func(at eventloop.Micros) {
		if at > 0 {
			next = min(next, at)
		}
	}
	for _, each := range w.later {
		sooner(each.at)
	}
	for _, each := range w.looks {
		sooner(each.until)
	}
	for _, r := range w.runs {
		sooner(r.stopAt)
		switch g := r.gang; {
		case g == nil || r.isBad:
			sooner(r.until)
		case g.whole > 0:
			sooner(g.until)
		case w.setup.Bounds.GatherUs > 0:
			sooner(r.arrived + eventloop.Micros(w.setup.Bounds.GatherUs))
		}
		sooner(w.born + eventloop.Micros(float64(w.until-eventloop.Second)/w.setup.Drift) + 1)
	}
	sooner(w.leaveAt)
	return next
}

func (w *Called) keys() []Run { return slices.SortedFunc(maps.Keys(w.runs), compareRuns) }

func (w *Called) tell(now eventloop.Micros, kind string, run Run, how string) {
	if w.setup.Tell != nil {
		w.setup.Tell(now, kind, run, how)
	}
}

// readNeed reads a task's text: "run_us=30000 cores=500 memory=100 members=3
// saves=1 one_rack=1 rack=r1".
func readNeed(_ agent.TaskName, text string) Need {
	need := Need{
		Work: eventloop.Micros(number(text, "run_us", 20_000)), Cores: int64(number(text, "cores", 0)), Memory: int64(number(text, "memory", 0)),
		Accelerators: int64(number(text, "accelerators", 0)), Members: int(number(text, "members", 0)),
		IsSaving: number(text, "saves", 0) > 0, IsOneRack: number(text, "one_rack", 0) > 0,
	}
	for _, word := range strings.Fields(text) {
		if rack, isIt := strings.CutPrefix(word, "rack="); isIt {
			need.Rack = rack
		}
	}
	return need
}
