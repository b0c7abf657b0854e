package checker

import (
	"slices"

	"sparnotch/internal/eventloop"
)

// machine is one process of a worker: two that bear one name at a time are two machines,
// each with its own capacity.
type machine struct {
	worker      string
	incarnation uint64
}

// attemptKey names one attempt of a task among all that a machine has.
type attemptKey struct {
	queue      string
	job        uint64
	step, task uint32
	attempt    uint32
	name       string // of the job, only where it has no number
}

// machineLoad is what a machine has been given, and its capacity.
type machineLoad struct {
	used, capacity resources
	given          map[attemptKey]*Event
	isReported     bool
}

// resources are thousandths of cores, MB of memory, and accelerators.
type resources struct{ cores, memory, accelerators int64 }

func (e *Event) resources() resources { return resources{e.Cores, e.Memory, e.Accelerators} }

func (r resources) plus(other resources) resources {
	return resources{r.cores + other.cores, r.memory + other.memory, r.accelerators + other.accelerators}
}

func (r resources) minus(other resources) resources {
	return resources{r.cores - other.cores, r.memory - other.memory, r.accelerators - other.accelerators}
}

func (r resources) fitIn(capacity resources) bool {
	return r.cores <= capacity.cores && r.memory <= capacity.memory && r.accelerators <= capacity.accelerators
}

// checkCapacity: what a worker is given fits it at every moment, whether it takes it or
// not. A worker that starts again begins empty, with the capacity that it then has.
func (a *analysis) checkCapacity() {
	machines := map[machine]*machineLoad{}
	for k := range a.history {
		e := &a.history[k]
		key := machine{e.Actor, e.Incarnation}
		if e.Kind == WorkerUp {
			machines[key] = &machineLoad{capacity: e.resources(), given: map[attemptKey]*Event{}}
			continue
		}
		load := machines[key]
		if load == nil {
			continue
		}
		switch e.Kind {
		case Order, TaskStart:
			if e.State != orderStop {
				a.give(load, e)
			}
		case TaskEnd, OrderDropped:
			if given := load.given[e.attemptKey()]; given != nil {
				load.used = load.used.minus(given.resources())
				delete(load.given, e.attemptKey())
			}
		}
	}
}

func (e *Event) attemptKey() attemptKey {
	key := attemptKey{queue: e.Queue, job: e.Job, step: e.Step, task: e.Task, attempt: e.Attempt}
	if e.Job == 0 {
		key.name = e.Name
	}
	return key
}

// give adds an attempt to a machine's load, once, and reports the first excess.
func (a *analysis) give(load *machineLoad, e *Event) {
	if load.given[e.attemptKey()] != nil {
		return
	}
	load.given[e.attemptKey()] = e
	load.used = load.used.plus(e.resources())
	if load.used.fitIn(load.capacity) || load.isReported {
		return
	}
	load.isReported = true
	a.report(ruleCapacity, e.At, "%s is given %d of %d milli cores, %d of %d MB, %d of %d accelerators", e.Actor,
		load.used.cores, load.capacity.cores, load.used.memory, load.capacity.memory, load.used.accelerators, load.capacity.accelerators)
}

// checkPlacement: a task runs only on a called worker that has its step's labels, and with
// no more tasks of its step than the step allows a worker.
func (a *analysis) checkPlacement() {
	labels := map[string][]string{}
	running := map[string]map[taskID]int{} // by worker and step
	for k := range a.history {
		e := &a.history[k]
		if !e.IsCalled {
			continue
		}
		stepID := e.taskID().member(0)
		switch e.Kind {
		case WorkerUp:
			labels[e.Actor], running[e.Actor] = e.Labels, map[taskID]int{}
		case TaskStart:
			if running[e.Actor] != nil {
				running[e.Actor][stepID]++
				a.checkPlacedStart(e, labels[e.Actor], running[e.Actor][stepID])
			}
		case TaskEnd:
			if running[e.Actor] != nil {
				running[e.Actor][stepID]--
			}
		}
	}
}

// checkPlacedStart checks a start on a worker with these labels, where so many tasks of the
// step run now.
func (a *analysis) checkPlacedStart(e *Event, labels []string, running int) {
	step := a.jobs[e.jobKey()].step(e.Step)
	if step == nil {
		return
	}
	for _, label := range step.Labels {
		if !slices.Contains(labels, label) {
			a.report(ruleCapacity, e.At, "%s step %d starts on %s, which lacks the label %s", e.jobKey(), e.Step, e.Actor, label)
		}
	}
	if step.MaxPerWorker > 0 && running > int(step.MaxPerWorker) {
		a.report(ruleCapacity, e.At, "%s step %d: %d tasks run on %s, %d may", e.jobKey(), e.Step, running, e.Actor, step.MaxPerWorker)
	}
}

// checkDraining: no work reaches a worker long after it said that it drains.
func (a *analysis) checkDraining() {
	drainingSince := map[string]eventloop.Micros{}
	for k := range a.history {
		e := &a.history[k]
		since, isDraining := drainingSince[e.Actor]
		switch e.Kind {
		case WorkerUp:
			delete(drainingSince, e.Actor)
		case WorkerDraining:
			if !isDraining {
				drainingSince[e.Actor] = e.At
			}
		case Order, TaskStart:
			isWork := e.Kind == TaskStart || e.State == orderStart || e.State == orderReserve
			if isDraining && isWork && !e.IsLate && e.At > since+a.bounds.Drain {
				a.report(ruleDraining, e.At, "work reaches %s %d us after it said that it drains", e.Actor, e.At-since)
			}
		}
	}
}
