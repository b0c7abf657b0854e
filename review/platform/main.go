// Command harness starts a small deployment of the project's own programs on loopback addresses,
// with stand-ins for its workers, clients and operator, and plays one case of the review.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const workerCores, workerMemory = 16000, 32768

// deployment is a fleet with its stand-ins.
type deployment struct {
	*fleet
	log     *record
	workers []*worker

	mu     sync.Mutex
	starts []start // in the order in which the workers began them
}

// cases are the cases by name. Each returns an exit code.
var cases = map[string]func(d *deployment, withTrouble bool) int{"cancel": playCancel}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	out := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "harness: no such case")
		return exitNotRun
	}
	log, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness:", err)
		return exitNotRun
	}
	defer log.close()
	folder, err := os.MkdirTemp("", "sparnotch-review-")
	if err != nil {
		return exitNotRun
	}
	defer os.RemoveAll(folder)
	d := &deployment{log: log}
	defer d.end()
	go d.endOnSignal(folder)
	if err := d.begin(folder); err != nil {
		log.note("harness: the deployment didn't start: %v", err)
		return exitNotRun
	}
	code := play(d, os.Getenv("TROUBLE") != "0")
	log.note("harness: exit code %d", code)
	return code
}

// begin starts the machines and workers, sends the configuration and waits until a calm job has
// been done.
func (d *deployment) begin(folder string) error {
	f, err := newFleet(folder, 5, 3, d.log)
	if err != nil {
		return err
	}
	d.fleet = f
	for k, side := range f.sides {
		w := &worker{
			id: fmt.Sprintf("i-%08x", 0x7f3a0000+k), service: serviceName, zone: side.zone, rack: fmt.Sprintf("r%d-1", k+1),
			address: at(side, f.ports.app), control: at(side, f.ports.control), cpu: workerCores, memory: workerMemory, log: d.log, onStart: d.addStart,
		}
		if err := w.serve(); err != nil {
			return err
		}
		d.workers = append(d.workers, w)
	}
	if err := f.startAll(); err != nil {
		return err
	}
	operator := newClient("operator", f.fronts[4].ip, d.log)
	if !configure(f, operator, 20*time.Second) {
		return fmt.Errorf("the configuration wasn't acknowledged")
	}
	return d.awaitCalm()
}

// awaitCalm hands a job in at each front and waits until all are completed.
func (d *deployment) awaitCalm() error {
	c := newClient("probe", d.fronts[3].ip, d.log)
	for k, front := range d.fronts {
		id := fmt.Sprintf("00000000000000%02x", k+1)
		deadline := time.Now().Add(15 * time.Second)
		for c.submit(d.fleet, front, id, chain(1, 100*time.Millisecond), 3*time.Second).code != 200 {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s takes no job", front.name)
			}
			time.Sleep(300 * time.Millisecond)
		}
		for c.state(d.fleet, front, id) != "completed" {
			if time.Now().After(deadline) {
				return fmt.Errorf("a job handed in at %s isn't done", front.name)
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
	return nil
}

func (d *deployment) addStart(s start) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.starts = append(d.starts, s)
}

// startsOf returns the starts of a job's tasks.
func (d *deployment) startsOf(id string) []start {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []start
	for _, s := range d.starts {
		if len(s.task) > len(id) && s.task[:len(id)] == id {
			found = append(found, s)
		}
	}
	return found
}

// endOnSignal ends all processes when the harness itself is told to end.
func (d *deployment) endOnSignal(folder string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	if d.fleet != nil {
		d.stopAll()
	}
	os.RemoveAll(folder)
	os.Exit(exitNotRun)
}

// end ends all processes and stand-ins.
func (d *deployment) end() {
	if d.fleet != nil {
		d.stopAll()
	}
	for _, w := range d.workers {
		w.stop()
	}
}
