package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	configApplyTime = 2 * time.Second // the bound config_apply_ms
	visibleTime     = 3 * time.Second // the bound visible_ms
)

// playRename replaces a route by one of another name at the same host and prefix, while an accepted
// job of the route runs. Without the trouble the new version changes a time-out only. The client
// asks for the job and sends it once more.
func playRename(rec *record, folder string, hasTrouble bool) (result, error) {
	f, err := newFleet(rec, folder, 3, 1, 3)
	if err != nil {
		return result{}, err
	}
	defer f.close()
	if err := f.startAll(f.machines); err != nil {
		return result{}, err
	}
	first := newRoute("r-quotes", "/lohu930/", 0)
	if operate(rec, 0, configuration(5, true, first), f.of("disk"), 20*time.Second) != http.StatusOK {
		return result{}, fmt.Errorf("%w: the first configuration wasn't taken", errNotRun)
	}
	workers, err := startWorkers(rec, f)
	defer closeWorkers(workers)
	if err != nil {
		return result{}, err
	}
	const id = "5c0e7a21d94b36f8"
	clients := &client{rec: rec, prefix: "/lohu930/"}
	running := job{Specification: specification(20*time.Second, 500, 256), Steps: []step{{Count: 9, CPU: 500, MemoryMB: 256, EstimateMS: 20000}}}
	if !clients.submit(id, running, f.of("disk"), 10*time.Second) || !waitFor(5*time.Second, func() bool { return runningOf(workers, id) == 9 }) {
		return result{}, fmt.Errorf("%w: the job didn't run", errNotRun)
	}
	second := first
	second.TimeoutMS = 2500
	if hasTrouble {
		second.Name = "r-quotes-2"
	}
	if operate(rec, 5, configuration(7, true, second), f.of("disk"), 20*time.Second) != http.StatusOK {
		return result{}, fmt.Errorf("%w: the second configuration wasn't taken", errNotRun)
	}
	time.Sleep(configApplyTime + visibleTime)
	return judgeRename(f, clients, workers, id, running)
}

// judgeRename asks for the job, sends it again, and looks for tasks that run twice.
func judgeRename(f *fleet, clients *client, workers []*worker, id string, same job) (result, error) {
	code, state := clients.state(id, f.machines[1])
	f.rec.add("job %s asked for at %s: %d %s", id, f.machines[1].name, code, state)
	if !clients.submit(id, same, f.of("disk")[1:], 5*time.Second) {
		f.rec.add("the job sent again wasn't taken")
	}
	twice := ""
	waitFor(3*time.Second, func() bool { twice = runningTwice(workers, id); return twice != "" })
	var broken []string
	if code == http.StatusGone {
		broken = append(broken, "LOST: an accepted job that nobody has cancelled is answered 410")
	}
	if twice != "" {
		broken = append(broken, "TWICE: "+twice)
	}
	if len(broken) > 0 {
		return result{true, strings.Join(broken, "; ")}, nil
	}
	return result{false, "the job was known and none of its tasks ran twice"}, nil
}

// runningTwice returns a task of a job that runs on two workers, or "".
func runningTwice(workers []*worker, id string) string {
	at := map[string]string{}
	for _, w := range workers {
		w.mu.Lock()
		defer w.mu.Unlock()
		for task := range w.runs {
			if !strings.HasPrefix(task, id+".") {
				continue
			}
			if other := at[task]; other != "" {
				return fmt.Sprintf("task %s runs on %s and on %s", task, other, w.id)
			}
			at[task] = w.id
		}
	}
	return ""
}
