// Command platform runs the cases of the second review that are scripts: it starts the programs
// of the deploy file as processes on loopback addresses, plays the platform, its clients, its
// operator and its workers, and judges what these have seen.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// timeLimit is the longest time that a case may take.
const timeLimit = 110 * time.Second

// result is what a case has found.
type result struct {
	isBroken bool
	reason   string
}

// errNotRun is the error of a case that couldn't run as far as its check.
var errNotRun = errors.New("the case couldn't run")

// play runs one case. hasTrouble is false if the disruption is to be left out.
type play func(rec *record, folder string, hasTrouble bool) (result, error)

var plays = map[string]play{
	"seeds":     playSeeds,
	"bootstrap": playBootstrap,
	"claim":     playClaim,
	"rename":    playRename,
	"founders":  playFounders,
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(runCase(*name, *path))
}

func runCase(name, path string) int {
	chosen := plays[name]
	if chosen == nil {
		fmt.Fprintln(os.Stderr, "unknown case:", name)
		return exitNotRun
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(folder)
	go abandonCase(rec, folder)
	found, err := chosen(rec, folder, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.add("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case found.isBroken:
		rec.add("broken: %s", found.reason)
		fmt.Println("broken:", found.reason)
		return exitBroken
	}
	rec.add("held: %s", found.reason)
	fmt.Println("held:", found.reason)
	return exitHeld
}

// abandonCase ends all processes and this program when the time is over or a signal asks for it, so
// that nothing is left behind.
func abandonCase(rec *record, folder string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case received := <-signals:
		rec.add("not run: ended by %v", received)
	case <-time.After(timeLimit):
		rec.add("not run: the time is over")
	}
	processes.killAll()
	os.RemoveAll(folder)
	os.Exit(exitNotRun)
}

// waitFor polls a condition until it holds or the time is over.
func waitFor(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// waitCompleted waits until a job is shown as completed.
func (c *client) waitCompleted(id string, m *machine, limit time.Duration) bool {
	last := ""
	return waitFor(limit, func() bool {
		code, state := c.state(id, m)
		if shown := fmt.Sprintf("%d %s", code, state); shown != last {
			last = shown
			c.rec.add("job %s asked for at %s: %s", id, m.name, shown)
		}
		return state == "completed"
	})
}

// workerID returns the id of the worker beside the side machine with an index.
func workerID(k int) string { return fmt.Sprintf("i-%08x", 0x7f3a91c0+k) }

// startWorkers starts a worker on each machine beside which one stands.
func startWorkers(rec *record, f *fleet) ([]*worker, error) {
	var workers []*worker
	for k, side := range f.of(sides) {
		w, err := newWorker(rec, workerID(k), side, ordinaryKind, "r1-1")
		if err != nil {
			return workers, err
		}
		workers = append(workers, w)
	}
	return workers, nil
}

func closeWorkers(workers []*worker) {
	for _, w := range workers {
		w.close()
	}
}
