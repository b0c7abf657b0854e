package scheduler

import (
	"fmt"
	"math"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
)

// StateViewRequest asks for a StateView. Request is the id of the request to respond to.
type StateViewRequest struct {
	Request uint64
}

// StateView is the scheduler's state for operators (/v1/placements).
type StateView struct {
	Workers []*WorkerView  `json:"workers"`
	Tasks   []*Placement   `json:"tasks"`
	Ready   map[string]int `json:"ready"` // ready tasks by queue
	Counts  Counts         `json:"counts"`
	Tenants []*TenantView  `json:"tenants"`
	// LeadsAllQueues reports whether this scheduler knows all runs of the system. If so, the
	// tenants' figures cover the whole system and tasks of tenants with a limit are placed here.
	LeadsAllQueues bool `json:"leads_all_queues"`
}

// WorkerView is the state of one worker, as known to the holder of its lease.
type WorkerView struct {
	Worker       string `json:"worker"`
	FencingToken uint64 `json:"ward_generation"`
	LastHeardUs  int64  `json:"heard_us_ago"`
	Rack         string `json:"rack"`
	Pool         string `json:"pool"`
	Cores        int64  `json:"cores_milli"`
	Memory       int64  `json:"memory_mb"`
	Accelerators int64  `json:"accelerators"`
	Leaving      bool   `json:"leaving"`
	Dead         bool   `json:"over"`
	TasksOut     int    `json:"tasks_out"`     // tasks checked out to the worker
	TasksRunning int    `json:"tasks_running"` // runs that the worker lists, including tasks held for a gang's start
	TasksUnknown int    `json:"tasks_unknown"` // runs that belong to no known task
	FailureRate  string `json:"failure_rate"`
	Slowdown     string `json:"times_slower"`
	Ejected      bool   `json:"set_aside"`
}

// Placement is the view of a task that is checked out to a worker, with the reason for the choice of the worker.
type Placement struct {
	Queue  string `json:"queue"`
	Job    string `json:"job"`
	Step   string `json:"step"`
	Task   uint32 `json:"task"`
	Worker string `json:"worker"`
	State  string `json:"state"`
	Reason string `json:"why"`
}

// stateView returns the present state for operators.
func (s *Scheduler) stateView(now eventloop.Micros) *StateView {
	view := &StateView{Ready: map[string]int{}, Counts: s.counts, Tenants: s.viewTenants(now), LeadsAllQueues: s.knowsAllRuns(now)}
	for _, w := range s.sortedWorkers() {
		view.Workers = append(view.Workers, w.view(now))
		for _, t := range w.sortedTasks() {
			view.Tasks = append(view.Tasks, t.placement(w.id))
		}
	}
	for name, q := range s.queues {
		view.Ready[name] = q.readyCount + len(q.reserved)
	}
	return view
}

func (w *worker) view(now eventloop.Micros) *WorkerView {
	return &WorkerView{
		Worker:       w.id,
		FencingToken: w.fencingToken,
		LastHeardUs:  int64(now - w.lastHeard),
		Rack:         w.rack,
		Pool:         w.pool,
		Cores:        w.cores,
		Memory:       w.memory,
		Accelerators: w.accelerators,
		Leaving:      w.isDraining,
		Dead:         w.isDead,
		TasksOut:     len(w.tasks),
		TasksRunning: len(w.running),
		TasksUnknown: len(w.unknownRuns),
		FailureRate:  fmt.Sprintf("%.2f", w.failureRate()),
		Slowdown:     fmt.Sprintf("%.2f", math.Exp(w.slowdown)),
		Ejected:      now < w.ejectedUntil,
	}
}

func (t *task) placement(worker string) *Placement {
	state := "out"
	if t.state == queue.Stopping || t.evictOutcome != "" {
		state = "stopping"
	}
	return &Placement{
		Queue: t.key.queue, Job: t.jobName, Step: t.spec.Name, Task: t.key.task,
		Worker: worker, State: state, Reason: t.placementReason.String(),
	}
}
