package workerpath

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"sparnotch/internal/agent"
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
	"sparnotch/internal/schema"
)

// bounds are the timing bounds of the modelled deployment.
var bounds = &schema.Bounds{
	MaxWorkerLeaseUs: int64(6 * eventloop.Second), StopTimeoutUs: int64(400 * eventloop.Millisecond), GangTimeoutUs: int64(3 * eventloop.Second),
	HeartbeatIntervalUs: int64(1500 * eventloop.Millisecond), DrainTimeoutUs: int64(2 * eventloop.Second),
}

// jobSpec describes a job of one step, which has one task or one gang. The observer looks a job
// up by its name to tell the fake worker which of its attempts fail.
type jobSpec struct {
	name            string
	queue           string // empty: firstQueue
	tenant          string
	members         uint32 // size of the gang; 0: a single task
	cores           int64  // per task, in thousandths of a core
	accelerators    int64  // per task
	memory          int64  // MB per task; 0: defaultMemory
	work            eventloop.Micros
	failures        uint32 // how many attempts fail, from the first on
	allowedFailures uint32
}

const defaultMemory = 10 // MB per task

func (j *jobSpec) queueName() string { return cmp.Or(j.queue, firstQueue) }

// size returns the resources that one task of the job uses.
func (j *jobSpec) size() clusterstate.Resources {
	return clusterstate.Resources{CoresMilli: j.cores, MemoryMB: cmp.Or(j.memory, defaultMemory), Accelerators: j.accelerators}
}

func (j *jobSpec) text() string {
	return fmt.Sprintf("run_us=%d cores=%d accelerators=%d members=%d", j.work, j.cores, j.accelerators, j.members)
}

func (j *jobSpec) enqueue(number uint64) *schema.QueueCommand {
	job := &schema.Job{Text: j.text(), Steps: []*schema.Step{{
		Name: "s", Tasks: max(j.members, 1), Gang: j.members > 0, CoresMilli: j.cores, MemoryMb: j.size().MemoryMB, Accelerators: j.accelerators, AllowedFailures: j.allowedFailures, EstimatedRunUs: int64(j.work),
	}}}
	return &schema.QueueCommand{Body: &schema.QueueCommand_Enqueue{Enqueue: &schema.Enqueue{
		Session: &schema.Session{Gateway: "g", Incarnation: 1, Client: "c"}, Number: number, Name: j.name, Digest: []byte(j.name), Job: job, Tenant: j.tenant,
	}}}
}

// observedRun identifies a run on the worker of a machine.
type observedRun struct {
	machine *machine
	run     fakeworker.RunID
}

// endedRun is the time and the final state of a run that has ended.
type endedRun struct {
	at    eventloop.Micros
	state string
}

// observer records the starts and ends of runs on the workers, and checks the invariants:
//
//   - no task has two runs at the same time;
//   - no run of a task starts after the end of a successful run was acknowledged;
//   - no run of a task starts after more failures were acknowledged than are allowed;
//   - no worker runs more than its cores and accelerators allow, though it checks neither itself;
//   - no tenant runs more than its limit, even when orders arrive late or twice;
//   - an acknowledged end is in the queue: a successful task is done, a failure is counted.
//
// An end counts as acknowledged when the agent tells the worker to stop listing it, unless the
// worker's hold has lapsed since the end. The hold is the time until which the worker may run
// tasks; when it lapses, the worker kills its runs.
type observer struct {
	world     *World
	jobs      map[string]*jobSpec
	limits    map[string]clusterstate.Resources // by tenant
	running   map[observedRun]bool
	ended     map[observedRun]endedRun
	lapsedAt  map[*machine]eventloop.Micros // the last time at which a worker's hold had lapsed
	doneAcked map[string]bool               // jobs with an acknowledged successful end
	failures  map[string]uint32             // acknowledged failures, by job
	starts    int                           // number of runs that began
	violation string                        // describes the first broken invariant; "": none
}

func newObserver(w *World, scenario *Scenario) *observer {
	o := &observer{
		world: w, jobs: map[string]*jobSpec{}, limits: map[string]clusterstate.Resources{}, running: map[observedRun]bool{}, ended: map[observedRun]endedRun{},
		lapsedAt: map[*machine]eventloop.Micros{}, doneAcked: map[string]bool{}, failures: map[string]uint32{},
	}
	for k := range scenario.Jobs {
		o.jobs[scenario.Jobs[k].name] = &scenario.Jobs[k]
	}
	for _, tenant := range scenario.Tenants {
		o.limits[tenant.Name] = tenant.Limit
	}
	return o
}

func (o *observer) report(format string, args ...any) {
	if o.violation == "" {
		o.violation = fmt.Sprintf(format, args...)
	}
}

// fails reports whether an attempt of a task fails by itself.
func (o *observer) fails(task agent.TaskName, attempt uint32) bool {
	return task.Task == 0 && attempt <= o.jobs[task.Job].failures
}

// runEvent records that a run begins or ends on a worker, and checks the invariants if it
// begins.
func (o *observer) runEvent(m *machine, kind string, run fakeworker.RunID, state string) {
	key := observedRun{m, run}
	if kind == fakeworker.EventEnd {
		delete(o.running, key)
		o.ended[key] = endedRun{o.world.now, state}
		return
	}
	o.starts++
	o.checkStart(m, run)
	o.running[key] = true
	o.checkCapacity(m)
	o.checkLimit(o.jobs[run.Task.Job])
}

func (o *observer) checkStart(m *machine, run fakeworker.RunID) {
	name := run.Task.Job
	for other := range o.running {
		if other.run.Task == run.Task {
			o.report("%s starts on %s while it runs on %s", name, m.name, other.machine.name)
		}
	}
	if o.doneAcked[name] {
		o.report("%s starts on %s after its successful end was acknowledged", name, m.name)
	}
	if o.failures[name] > o.jobs[name].allowedFailures {
		o.report("%s starts on %s after %d acknowledged failures", name, m.name, o.failures[name])
	}
}

func (o *observer) checkCapacity(m *machine) {
	cores, accelerators := int64(0), int64(0)
	for r := range o.running {
		if r.machine == m {
			cores += o.jobs[r.run.Task.Job].cores
			accelerators += o.jobs[r.run.Task.Job].accelerators
		}
	}
	if cores > workerCores || accelerators > workerAccelerators {
		o.report("%s runs %d thousandths of a core and %d accelerators", m.name, cores, accelerators)
	}
}

// recordLapse records the time if a worker's hold has lapsed.
func (o *observer) recordLapse(m *machine) {
	if m.worker.Clock(o.world.now) >= m.worker.RunDeadline() {
		o.lapsedAt[m] = o.world.now
	}
}

// restarted removes the records of the ends of a worker's former incarnation.
func (o *observer) restarted(m *machine) {
	o.lapsedAt[m] = math.MinInt64
	for r := range o.ended {
		if r.machine == m {
			delete(o.ended, r)
		}
	}
}

// acknowledged records that a worker needn't list an end any longer, and checks that the queue
// has recorded the end.
func (o *observer) acknowledged(m *machine, end agent.EndedTask) {
	ended, isKnown := o.ended[observedRun{m, fakeworker.RunID{Task: end.Task, Attempt: end.Attempt}}]
	if !isKnown || o.lapsedAt[m] >= ended.at {
		return
	}
	name := end.Task.Job
	switch ended.state {
	case "done":
		o.doneAcked[name] = true
		if view, isKnown := o.world.jobView(name); !isKnown || view.Done == 0 {
			o.report("the queue hasn't recorded that %s is done, though its end was acknowledged", name)
		}
	case "failed":
		o.failures[name]++
		if counted := o.countedFailures(name); counted < o.failures[name] {
			o.report("the queue has counted %d failures of %s, but %d were acknowledged", counted, name, o.failures[name])
		}
	}
}

// countedFailures returns how many failures the queue has counted for a job's task. For a job
// that has ended it returns math.MaxUint32, since the queue no longer lists the job's tasks.
func (o *observer) countedFailures(name string) uint32 {
	events, _ := o.world.queue(o.jobs[name].queueName()).stateMachine.ActiveTasks()
	for _, event := range events {
		if event.Name == name {
			return event.Failures
		}
	}
	return math.MaxUint32
}

func (o *observer) jobNames() []string { return slices.Sorted(maps.Keys(o.jobs)) }
