package main

import "time"

// idleWatch observes how long a job has had nothing running.
type idleWatch struct {
	workers []*worker
	id      string
	since   time.Time // when the current time without a run began
	longest time.Duration
}

func newIdleWatch(workers []*worker, id string) *idleWatch {
	return &idleWatch{workers: workers, id: id, since: time.Now()}
}

// observe must be called often while the job waits for its turn.
func (i *idleWatch) observe() {
	used, total := usedCPU(i.workers)
	if runningOf(i.workers, i.id) > 0 || 2*used >= total {
		i.since = time.Now()
		return
	}
	i.longest = max(i.longest, time.Since(i.since))
}

// observeFor observes until the time is over or the job is done.
func (i *idleWatch) observeFor(limit time.Duration, isDone func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		i.observe()
		if isDone() {
			return true
		}
	}
	return false
}
