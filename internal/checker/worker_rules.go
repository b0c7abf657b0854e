package checker

import (
	"slices"

	"sparnotch/internal/eventloop"
)

// machine identifies one process of a worker. Two processes that use the same name at the same
// time are two machines, each with its own capacity.
type machine struct {
	worker      string
	incarnation uint64
}

// attemptKey identifies an attempt of a task on a machine.
type attemptKey struct {
	queue      string
	job        uint64
	step, task uint32
	attempt    uint32
	name       string // name of the job, only if the job has no number
}

// machineLoad holds the attempts that a machine has received and not ended, their resources,
// and the capacity of the machine.
type machineLoad struct {
	used, capacity resources
	attempts       map[attemptKey]*Event // the order or start that added the attempt
	isReported     bool
}

// resources holds thousandths of a core, MB of memory, and a number of accelerators.
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

// checkCapacity checks that the attempts that a worker receives fit its capacity at all times,
// including orders that the worker rejects later. A restarted worker begins without attempts and
// with the capacity of its new WorkerUp event.
func (a *analysis) checkCapacity() {
	machines := map[machine]*machineLoad{}
	for k := range a.history {
		e := &a.history[k]
		key := machine{e.Actor, e.Incarnation}
		if e.Kind == WorkerUp {
			machines[key] = &machineLoad{capacity: e.resources(), attempts: map[attemptKey]*Event{}}
			continue
		}
		load := machines[key]
		if load == nil {
			continue
		}
		switch e.Kind {
		case Order, TaskStart:
			if e.State != orderStop {
				a.addAttempt(load, e)
			}
		case TaskEnd, OrderDropped:
			if added := load.attempts[e.attemptKey()]; added != nil {
				load.used = load.used.minus(added.resources())
				delete(load.attempts, e.attemptKey())
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

// addAttempt adds an attempt to the load of a machine unless it is already there. It reports
// only the first time that a machine's load exceeds its capacity.
func (a *analysis) addAttempt(load *machineLoad, e *Event) {
	if load.attempts[e.attemptKey()] != nil {
		return
	}
	load.attempts[e.attemptKey()] = e
	load.used = load.used.plus(e.resources())
	if load.used.fitIn(load.capacity) || load.isReported {
		return
	}
	load.isReported = true
	a.report(ruleCapacity, e.At, "the attempts on %s need %d of %d milli cores, %d of %d MB, %d of %d accelerators", e.Actor,
		load.used.cores, load.capacity.cores, load.used.memory, load.capacity.memory, load.used.accelerators, load.capacity.accelerators)
}

// checkPlacement checks, for called workers, that a task starts only on a worker with all labels
// of its step, and that the worker runs no more tasks of the step than the step allows.
func (a *analysis) checkPlacement() {
	labels := map[string][]string{}
	running := map[string]map[taskID]int{} // number of running tasks by worker and step
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

// checkPlacedStart checks one start. labels are those of the worker, and running is the number
// of the step's tasks on the worker including the new one.
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
		a.report(ruleCapacity, e.At, "%s step %d: %d tasks run on %s, but only %d are allowed", e.jobKey(), e.Step, running, e.Actor, step.MaxPerWorker)
	}
}

// checkDraining checks that a worker receives no work later than the tolerance after it
// reported that it is draining.
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
			if isDraining && isWork && !e.IsLate && e.At > since+a.tolerances.Drain {
				a.report(ruleDraining, e.At, "%s receives work %d us after it reported that it is draining", e.Actor, e.At-since)
			}
		}
	}
}
