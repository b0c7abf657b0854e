package main

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"sparnotch/internal/checker"
	"sparnotch/internal/deployments"
	"sparnotch/internal/schema"
)

// defaultFaultDuration is that of a fault given without one.
const defaultFaultDuration = 5 * time.Second

// plannedFault is a fault with the time, from the start of the load, at which it is
// injected.
type plannedFault struct {
	at       time.Duration
	name     string
	text     string // as it was given
	duration time.Duration
}

// faultAction injects a fault, and returns when it is over.
type faultAction func(f *fleet, ctx context.Context, fault plannedFault)

// parseFaults reads faults, each NAME[:SPAN]@TIME, joined by commas, and sorts them by
// time.
func parseFaults(text string) ([]plannedFault, error) {
	var list []plannedFault
	for _, item := range strings.Split(text, ",") {
		if item == "" {
			continue
		}
		what, when, found := strings.Cut(item, "@")
		at, err := time.ParseDuration(when)
		if !found || err != nil {
			return nil, fmt.Errorf("faults: %q is not NAME[:SPAN]@TIME", item)
		}
		name, argument, _ := strings.Cut(what, ":")
		if faultActions[name] == nil {
			return nil, fmt.Errorf("faults: there is no fault %q", name)
		}
		duration, err := time.ParseDuration(argument)
		if err != nil {
			duration = defaultFaultDuration
		}
		list = append(list, plannedFault{at, name, what, duration})
	}
	slices.SortStableFunc(list, func(a, b plannedFault) int { return cmp.Compare(a.at, b.at) })
	return list, nil
}

// recordFault records a fault in the history, where the checker looks for it.
func (f *fleet) recordFault(text string) {
	f.recordChange(text)
	f.history.add(checker.Event{Kind: checker.Fault, State: text})
}

// recordChange prints what was done that is no fault.
func (f *fleet) recordChange(text string) {
	fmt.Fprintf(f.trace, "%8.1fs  %s\n", float64(f.history.now())/1e6, text)
}

// leaderFault injects a fault into the node that leads a queue.
func leaderFault(inject func(f *fleet, ctx context.Context, d *daemon, duration time.Duration)) faultAction {
	return func(f *fleet, ctx context.Context, fault plannedFault) {
		d := f.leader(ctx)
		if d == nil {
			f.recordFault("no leader found for " + fault.text)
			return
		}
		f.recordFault(fault.text + " " + d.name)
		f.setAvailable(d, false)
		defer f.setAvailable(d, true)
		inject(f, ctx, d, fault.duration)
	}
}

func (f *fleet) killNode(ctx context.Context, d *daemon, duration time.Duration) {
	d.terminate(syscall.SIGKILL)
	sleep(ctx, duration)
	f.restart(d)
}

func (f *fleet) freezeNode(ctx context.Context, d *daemon, duration time.Duration) {
	d.signal(syscall.SIGSTOP)
	sleep(ctx, duration)
	d.signal(syscall.SIGCONT)
}

// wipeNode kills a node and deletes its data.
func (f *fleet) wipeNode(ctx context.Context, d *daemon, duration time.Duration) {
	d.terminate(syscall.SIGKILL)
	_ = os.RemoveAll(d.dataDir)
	sleep(ctx, duration)
	f.restart(d)
}

// partitionNode partitions a node from all others, for what it sends and for what it
// receives.
func partitionNode(outbound, inbound bool) func(f *fleet, ctx context.Context, d *daemon, duration time.Duration) {
	return func(f *fleet, ctx context.Context, d *daemon, duration time.Duration) {
		f.partition(func(from, to *daemon) bool { return outbound && from == d || inbound && to == d })
		sleep(ctx, duration)
		f.partition(nil)
	}
}

// partition blocks the links from some nodes to others, each in one direction; nil
// heals all. Each node reads the addresses that it can't reach from a file.
func (f *fleet) partition(blocks func(from, to *daemon) bool) {
	for _, from := range f.daemons() {
		path, blocked := filepath.Join(f.folder, from.name+".cuts"), ""
		for _, to := range f.daemons() {
			if blocks != nil && from != to && blocks(from, to) {
				blocked += to.internalAddress + "\n"
			}
		}
		if blocked == "" {
			_ = os.Remove(path)
			continue
		}
		_ = os.WriteFile(path, []byte(blocked), 0o600)
	}
}

// splitZone partitions one zone from the others, the next zone each time.
func (f *fleet) splitZone(ctx context.Context, fault plannedFault) {
	zone := zoneName(f.partitions)
	f.partitions++
	f.recordFault("zone " + zone + " partitioned for " + fault.duration.String())
	for _, d := range f.gateways {
		if d.zone == zone {
			f.setAvailable(d, false)
			defer f.setAvailable(d, true)
		}
	}
	f.partition(func(from, to *daemon) bool { return (from.zone == zone) != (to.zone == zone) })
	sleep(ctx, fault.duration)
	f.partition(nil)
}

// raceOperators has two operators apply a configuration at the same time. The one that
// is rejected reads the other's and applies its own on top of that.
func (f *fleet) raceOperators(ctx context.Context, _ plannedFault) {
	f.recordFault("two operators race")
	var racing sync.WaitGroup
	for k, who := range []string{"one", "two"} {
		racing.Add(1)
		go func() {
			defer racing.Done()
			rows := append(f.deployment.ConfigRows(), &schema.ConfigurationRow{Kind: "fleet", Key: "cache_every", Value: strconv.Itoa(32 + 16*k)})
			if err := applyConfig(ctx, f.balancer, f.history, who, rows); err != nil && ctx.Err() == nil {
				fmt.Fprintln(os.Stderr, "sparnotch-bench:", err)
			}
		}()
	}
	racing.Wait()
}

// disconnectWorker partitions a worker, which runs on, from all gateway nodes.
func (f *fleet) disconnectWorker(ctx context.Context, fault plannedFault) {
	f.recordFault("worker w02 is partitioned and runs on, for " + fault.duration.String())
	w := f.workers["w02"]
	w.setDisconnected(true)
	f.history.add(checker.Event{Kind: checker.WorkerPartitioned, Actor: "w02"})
	sleep(ctx, fault.duration)
	w.setDisconnected(false)
	f.history.add(checker.Event{Kind: checker.WorkerPartitioned, Actor: "w02", State: checker.Healed})
}

// restartAgents kills and restarts all agent nodes, one after another.
func (f *fleet) restartAgents(ctx context.Context, _ plannedFault) {
	f.recordFault("all agent nodes restarted, one after another")
	for _, d := range f.agents {
		d.terminate(syscall.SIGKILL)
		f.restart(d)
		sleep(ctx, 300*time.Millisecond)
	}
}

func (f *fleet) crashWorker(ctx context.Context, fault plannedFault) {
	f.recordFault("worker w00 crashes, and is restarted")
	f.cancels["w00"]()
	sleep(ctx, fault.duration)
	f.startWorker(ctx, 0)
}

func (f *fleet) drainWorker(context.Context, plannedFault) {
	f.recordFault("worker w01 drains")
	w := f.workers["w01"]
	w.mu.Lock()
	w.worker.Drain(f.history.now())
	w.mu.Unlock()
}

// rush adds twenty times the load.
func (f *fleet) rush(ctx context.Context, fault plannedFault) {
	f.recordFault("a rush: twenty times the load for " + fault.duration.String())
	f.addLoad(ctx, fault.duration, "rush", func(t *deployments.JobType) { t.MeanInterval /= 20 })
}

// flood adds fifty jobs a second of each type that no worker has the capacity for.
func (f *fleet) flood(ctx context.Context, fault plannedFault) {
	f.recordFault("a flood of jobs that can never run, for " + fault.duration.String())
	f.addLoad(ctx, fault.duration, "flood", func(t *deployments.JobType) {
		t.MeanInterval = 0.02
		t.Steps = []*schema.Step{{Name: "huge", Tasks: 1, CoresMilli: f.deployment.WorkerCoresMilli + 1, MemoryMb: 1}}
	})
}

// addLoad has more clients submit jobs for a while, of types changed by a function.
func (f *fleet) addLoad(ctx context.Context, duration time.Duration, name string, change func(*deployments.JobType)) {
	loading, stop := context.WithTimeout(ctx, duration)
	defer stop()
	var sending sync.WaitGroup
	for k, jobType := range f.deployment.JobTypes {
		jobType.Name = name + "-" + jobType.Name
		change(&jobType)
		f.extra = append(f.extra, jobType)
		sending.Add(1)
		go func() {
			defer sending.Done()
			f.clients.load(loading, f.clientContext, jobType, rand.New(rand.NewPCG(99, uint64(k))))
		}()
	}
	sending.Wait()
}

// killAll kills all nodes and starts them again: it stops agent nodes first, and
// starts gateway nodes first.
func (f *fleet) killAll(context.Context, plannedFault) {
	f.recordFault("every process is killed and restarted")
	for _, d := range slices.Backward(f.daemons()) {
		f.setAvailable(d, false)
		d.terminate(syscall.SIGKILL)
	}
	for _, d := range f.daemons() {
		f.restart(d)
		f.setAvailable(d, true)
	}
}
