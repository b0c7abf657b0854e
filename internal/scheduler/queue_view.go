package scheduler

// queueView is the scheduler's copy of a queue that this node leads.
type queueView struct {
	name, raftGroup string
	term            uint64 // Raft term in which this node leads the queue
	lastSequence    uint64 // sequence number of the latest applied event
	urgency         int64  // queues with a higher urgency are served first
	maxRunning      int64  // maximum number of checked-out tasks
	pool            string // worker pool in which its tasks run; empty: workers without a pool
	latencyTarget

	tasks           map[taskKey]*task
	checkedOutCount int                        // number of tasks that are checked out or stopping
	usage           resources                  // resources of those tasks
	boostedCores    int64                      // milli cores of those tasks that are boosted
	peakUsage       decayingPeak               // decaying peak of usage
	tasksPerWorker  map[stepKey]map[string]int // number of a step's tasks that are checked out or reserved, by worker id
	reserved        map[taskKey]*task          // ready tasks with a proposed checkout that isn't committed
	openCheckouts   map[taskKey]*task          // ready tasks whose proposed checkout was given up but may still be committed
	pendingGangs    map[taskKey]*task          // first members of checked-out gangs whose start isn't committed
	stepProgress    map[stepKey]*stepProgress
	totals          queueTotals // totals since the latest report
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

// countOnWorker adds delta to the number of tasks of t's step on a worker.
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

// hasBacklog reports whether more tasks are ready than one checkout can place.
func (s *Scheduler) hasBacklog() bool {
	ready := 0
	for _, q := range s.queues {
		ready += q.readyCount
	}
	return ready > maxPlacements
}
