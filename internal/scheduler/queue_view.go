package scheduler

// queueView is the scheduler's copy of a queue that this node leads.
type queueView struct {
	name, raftGroup string
	term            uint64 // in which this node leads it
	lastSequence    uint64 // of the latest event applied
	urgency         int64  // higher is served first
	maxRunning      int64  // maximum number of checked-out tasks
	pool            string // of workers, that its tasks run in; empty: those without one
	latencyTarget

	tasks           map[taskKey]*task
	checkedOutCount int                        // checked out or stopping
	usage           resources                  // by those
	boostedCores    int64                      // milli cores, by those that are boosted
	peakUsage       decayingPeak               // of usage
	tasksPerWorker  map[stepKey]map[string]int // checked out or reserved, by worker id
	reserved        map[taskKey]*task          // ready, with a checkout on the way
	openCheckouts   map[taskKey]*task          // ready, with a checkout that was given up but may yet be committed
	pendingGangs    map[taskKey]*task          // checked-out gangs whose start isn't committed, by their first member
	stepProgress    map[stepKey]*stepProgress
	totals          queueTotals // since the latest report
	readyIndex
}

func newQueueView(name, raftGroup string, term uint64) *queueView {
	return &queueView{
		name: name, raftGroup: raftGroup, term: term,
		tasks:          map[taskKey]*task{},
		tasksPerWorker: map[stepKey]map[string]int{},
		reserved:       map[taskKey]*task{},
		openCheckouts:  map[taskKey]*task{},
		pendingGangs:   map[taskKey]*task{},
		stepProgress:   map[stepKey]*stepProgress{},
		totals:         newQueueTotals(),
		readyIndex:     readyIndex{byShape: map[shape]*shapeGroup{}, lostSteps: map[stepKey]*stepQueue{}, byTenant: map[string]int{}},
	}
}

// countOnWorker adds to the number of a step's tasks on a worker.
func (q *queueView) countOnWorker(t *task, worker string, delta int) {
	key := t.key.stepKey()
	if q.tasksPerWorker[key] == nil {
		q.tasksPerWorker[key] = map[string]int{}
	}
	if q.tasksPerWorker[key][worker] += delta; q.tasksPerWorker[key][worker] <= 0 {
		delete(q.tasksPerWorker[key], worker)
	}
	if len(q.tasksPerWorker[key]) == 0 {
		delete(q.tasksPerWorker, key)
	}
}

// hasBacklog reports whether more tasks are ready than one checkout takes.
func (s *Scheduler) hasBacklog() bool {
	ready := 0
	for _, q := range s.queues {
		ready += q.readyCount
	}
	return ready > maxPlacements
}
