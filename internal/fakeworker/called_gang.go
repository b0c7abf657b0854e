package fakeworker

import (
	"sparnotch/internal/eventloop"
)

// Gangs holds the gangs whose members run on the called workers that share it, such as all
// workers of a simulated cluster. It isn't safe for concurrent use.
type Gangs struct{ byKey map[gangKey]*gang }

// NewGangs returns an empty set of gangs.
func NewGangs() *Gangs { return &Gangs{byKey: map[gangKey]*gang{}} }

// gangKey identifies one attempt of a gang.
type gangKey struct {
	job         string
	round, step uint32
	attempt     uint32
}

// gang is a set of runs that begin their work together and end together.
type gang struct {
	members    map[uint32]*calledRun // by task number
	racks      map[string]bool
	completeAt eventloop.Micros // when the last member started; 0: not all members have started
	endsAt     eventloop.Micros // when all members complete
	isDone     bool
	isBroken   bool // a member has ended without completing
}

// joinGang adds a run to its gang. The work of all members begins when the last one has joined.
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

// breakGang makes all other members of the run's gang end as broken, unless the gang has
// completed.
func (w *CalledWorker) breakGang(r *calledRun) {
	if r.gang != nil && !r.gang.isDone {
		r.gang.isBroken = true
	}
}
