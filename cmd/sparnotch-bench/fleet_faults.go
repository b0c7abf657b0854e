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

// defaultFaultDuration is the duration of a fault whose text gives none.
const defaultFaultDuration = 5 * time.Second

// plannedFault is a fault to inject during the load.
type plannedFault struct {
	at       time.Duration // from the start of the load
	name     string        // key of faultActions
	text     string        // NAME[:SPAN], as the user wrote it
	duration time.Duration
}

// faultAction injects a fault and returns when the fault is over.
type faultAction func(f *fleet, ctx context.Context, fault plannedFault)

// parseFaults parses a list of faults, each NAME[:SPAN]@TIME, separated by commas. It
// returns them sorted by time.
func parseFaults(text string) ([]plannedFault, error) {
	var list []plannedFault
	for _, item := range strings.Split(text, ",") {
		if item == "" {
			continue
		}
		spec, timeText, found := strings.Cut(item, "@")
		at, err := time.ParseDuration(timeText)
		if !found || err != nil {
			return nil, fmt.Errorf("faults: %q is not NAME[:SPAN]@TIME", item)
		}
		name, argument, _ := strings.Cut(spec, ":")
		if faultActions[name] == nil {
			return nil, fmt.Errorf("faults: there is no fault %q", name)
		}
		duration, err := time.ParseDuration(argument)
		if err != nil {
			duration = defaultFaultDuration
		}
		list = append(list, plannedFault{at, name, spec, duration})
	}
	slices.SortStableFunc(list, func(a, b plannedFault) int { return cmp.Compare(a.at, b.at) })
	return list, nil
}

// recordFault writes a line about a fault to the trace, and records the fault in the history,
// which the checker reads.
func (f *fleet) recordFault(text string) {
	f.recordChange(text)
	f.history.add(checker.Event{Kind: checker.Fault, State: text})
}

// recordChange writes a line about an action to the trace. The history doesn't contain it.
func (f *fleet) recordChange(text string) {
	fmt.Fprintf(f.trace, "%8.1fs  %s\n", float64(f.history.now())/1e6, text)
}

// leaderFault returns a fault action that calls a function for the node that leads a
// queue. Until the function returns, the node counts as unavailable.
func leaderFault(inject func(f *fleet, ctx context.Context, d *daemon, duration time.Duration)) faultAction {
	return func(f *fleet, ctx context.Context, fault plannedFault) {
		d := f.leader(ctx)
		if d == nil {
			f.recordFault("no leader was found for the fault " + fault.text)
			return
		}
		f.recordFault(fault.text + " " + d.name)
		f.setAvailable(d, false)
		defer f.setAvailable(d, true)
		inject(f, ctx, d, fault.duration)
	}
}

// killNode kills a node and starts it again after a duration.
func (f *fleet) killNode(ctx context.Context, d *daemon, duration time.Duration) {
	d.terminate(syscall.SIGKILL)
	sleep(ctx, duration)
	f.restart(d)
}

// freezeNode stops a node's process with SIGSTOP for a duration.
func (f *fleet) freezeNode(ctx context.Context, d *daemon, duration time.Duration) {
	d.signal(syscall.SIGSTOP)
	sleep(ctx, duration)
	d.signal(syscall.SIGCONT)
}

// wipeNode kills a node, deletes its data, and starts it again after a duration.
func (f *fleet) wipeNode(ctx context.Context, d *daemon, duration time.Duration) {
	d.terminate(syscall.SIGKILL)
	_ = os.RemoveAll(d.dataDir)
	sleep(ctx, duration)
	f.restart(d)
}

// partitionNode returns a function that partitions a node from all others for a duration:
// the messages that the node sends are lost, those that others send to it, or both.
func partitionNode(outbound, inbound bool) func(f *fleet, ctx context.Context, d *daemon, duration time.Duration) {
	return func(f *fleet, ctx context.Context, d *daemon, duration time.Duration) {
		f.partition(func(from, to *daemon) bool { return outbound && from == d || inbound && to == d })
		sleep(ctx, duration)
		f.partition(nil)
	}
}

// partition blocks each link, in one direction, for which a function returns true. Without
// a function (nil) it unblocks all links. Each node reads the addresses that it must not
// reach from a file.
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

// splitZone partitions one zone from the others for the duration of the fault. Each call
// takes the next zone.
func (f *fleet) splitZone(ctx context.Context, fault plannedFault) {
	zone := zoneName(f.partitions)
	f.partitions++
	f.recordFault("zone " + zone + " is partitioned for " + fault.duration.String())
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

// raceOperators makes two operators apply different configurations at the same time. The
// operator that is rejected reads the configuration of the other one and applies its own
// on top of it.
func (f *fleet) raceOperators(ctx context.Context, _ plannedFault) {
	f.recordFault("two operators apply configurations at the same time")
	var racing sync.WaitGroup
	for k, operator := range []string{"one", "two"} {
		racing.Add(1)
		go func() {
			defer racing.Done()
			rows := append(f.deployment.ConfigRows(), &schema.ConfigurationRow{Kind: "fleet", Key: "cache_every", Value: strconv.Itoa(32 + 16*k)})
			if err := applyConfig(ctx, f.balancer, f.history, operator, rows, nil); err != nil && ctx.Err() == nil {
				fmt.Fprintln(os.Stderr, "sparnotch-bench: a racing operator failed:", err)
			}
		}()
	}
	racing.Wait()
}

// disconnectWorker partitions a worker from all gateway nodes. The worker itself continues
// to run.
func (f *fleet) disconnectWorker(ctx context.Context, fault plannedFault) {
	f.recordFault("worker w02 is partitioned, and continues to run, for " + fault.duration.String())
	w := f.workers["w02"]
	w.setDisconnected(true)
	f.history.add(checker.Event{Kind: checker.WorkerPartitioned, Actor: "w02"})
	sleep(ctx, fault.duration)
	w.setDisconnected(false)
	f.history.add(checker.Event{Kind: checker.WorkerPartitioned, Actor: "w02", State: checker.Healed})
}

// restartAgents kills and restarts all agent nodes, one after another.
func (f *fleet) restartAgents(ctx context.Context, _ plannedFault) {
	f.recordFault("all agent nodes are restarted, one after another")
	for _, d := range f.agents {
		d.terminate(syscall.SIGKILL)
		f.restart(d)
		sleep(ctx, 300*time.Millisecond)
	}
}

// crashWorker crashes a worker and starts it again after the duration of the fault.
func (f *fleet) crashWorker(ctx context.Context, fault plannedFault) {
	f.recordFault("worker w00 crashes and is restarted")
	f.cancels["w00"]()
	sleep(ctx, fault.duration)
	f.startWorker(ctx, 0)
}

// drainWorker starts the drain of a worker: it accepts no further tasks.
func (f *fleet) drainWorker(context.Context, plannedFault) {
	f.recordFault("worker w01 drains")
	w := f.workers["w01"]
	w.mu.Lock()
	w.worker.Drain(f.history.now())
	w.mu.Unlock()
}

// rush adds load at twenty times the ordinary rate for the duration of the fault.
func (f *fleet) rush(ctx context.Context, fault plannedFault) {
	f.recordFault("a rush: twenty times the load for " + fault.duration.String())
	f.addLoad(ctx, fault.duration, "rush", func(t *deployments.JobType) { t.MeanInterval /= 20 })
}

// flood adds fifty jobs per second of each job type. Their tasks need more cores than any
// worker has, so they can never run.
func (f *fleet) flood(ctx context.Context, fault plannedFault) {
	f.recordFault("a flood of jobs that can never run, for " + fault.duration.String())
	f.addLoad(ctx, fault.duration, "flood", func(t *deployments.JobType) {
		t.MeanInterval = 0.02
		t.Steps = []*schema.Step{{Name: "huge", Tasks: 1, CoresMilli: f.deployment.WorkerCoresMilli + 1, MemoryMb: 1}}
	})
}

// addLoad submits additional jobs for a duration. Their types are those of the deployment,
// renamed with a prefix and changed by a function.
func (f *fleet) addLoad(ctx context.Context, duration time.Duration, name string, change func(*deployments.JobType)) {
	loading, stop := context.WithTimeout(ctx, duration)
	defer stop()
	var sending sync.WaitGroup
	for k, jobType := range f.deployment.JobTypes {
		jobType.Name = name + "-" + jobType.Name
		change(&jobType)
		f.extraJobTypes = append(f.extraJobTypes, jobType)
		sending.Add(1)
		go func() {
			defer sending.Done()
			f.clients.load(loading, f.clientContext, jobType, rand.New(rand.NewPCG(99, uint64(k))))
		}()
	}
	sending.Wait()
}

// killAll kills all nodes, the agent nodes first, and starts them again, the gateway nodes
// first.
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
