package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
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
	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// The first storageNodeCount gateway nodes of a fleet have a disk, in as many zones.
const (
	zoneCount     = 3
	agentHostBase = 20 // hosts above are agent nodes
	internalPort  = 7400
	httpPort      = 8400
)

// fleet is a whole deployment on one machine, over loopback addresses.
type fleet struct {
	deployment      *deployments.Deployment
	rows            []*schema.ConfigurationRow // of the first configuration
	folder          string                     // for data and logs
	bin             string                     // folder of the program
	network         string                     // first three numbers of its addresses
	gateways        []*daemon
	agents          []*daemon
	balancer        *loadBalancer
	history         *history
	cancels         map[string]context.CancelFunc // by worker; each crashes it
	workers         map[string]*workerRunner
	running         sync.WaitGroup // workers
	clients         *clients
	clientContext   context.Context       // ends when clients give up
	extra           []deployments.JobType // submitted by faults
	lastIncarnation int                   // of a worker
	partitions      int                   // so far; each isolates the next zone
	trace           io.Writer             // takes a line for each fault and change
	mu              sync.Mutex            // guards cancels, workers and lastIncarnation
}

// newFleet describes a fleet, without starting it.
func newFleet(deployment *deployments.Deployment, bin, folder, network string) *fleet {
	return &fleet{
		deployment: deployment, rows: deployment.ConfigRows(), folder: folder, bin: bin, network: network, history: &history{clock: eventloop.RealClock()}, trace: os.Stdout,
		cancels: map[string]context.CancelFunc{}, workers: map[string]*workerRunner{},
	}
}

func (f *fleet) address(host, port int) string { return fmt.Sprintf("%s.%d:%d", f.network, host, port) }

// zoneName is the zone of the node or worker numbered k, from 0.
func zoneName(k int) string { return fmt.Sprintf("c%d", k%zoneCount+1) }

// newDaemon describes a node's process, without starting it.
func (f *fleet) newDaemon(name, subcommand string, host int, zone string, hasStorage bool) *daemon {
	d := &daemon{
		name: name, program: filepath.Join(f.bin, "sparnotch"), internalAddress: f.address(host, internalPort), httpAddress: f.address(host, httpPort), zone: zone,
	}
	seeds := []string{f.address(1, internalPort), f.address(2, internalPort), f.address(3, internalPort)}
	d.args = []string{
		subcommand, "-cell", zone, "-inner", d.internalAddress, "-outer", d.httpAddress, "-seeds", strings.Join(seeds, ","),
		"-trace", filepath.Join(f.folder, name+".trace"), "-test_cuts", filepath.Join(f.folder, name+".cuts"),
	}
	if hasStorage {
		d.dataDir = filepath.Join(f.folder, name+".data")
		d.args = append(d.args, "-data", d.dataDir, "-test_sync_us", strconv.FormatInt(f.deployment.SyncUs, 10))
	}
	return d
}

// start starts all nodes, and waits until the configuration has been applied.
func (f *fleet) start(ctx context.Context) error {
	var endpoints []*endpoint
	for k := range f.deployment.Gateways {
		d := f.newDaemon(fmt.Sprintf("server%d", k+1), "server", k+1, zoneName(k), k < storageNodeCount)
		f.gateways = append(f.gateways, d)
		endpoints = append(endpoints, &endpoint{address: d.httpAddress, zone: d.zone})
	}
	for k := range f.deployment.Agents {
		f.agents = append(f.agents, f.newDaemon(fmt.Sprintf("controller%d", k+1), "controller", agentHostBase+k+1, zoneName(k), false))
	}
	f.balancer = newLoadBalancer(endpoints)
	for _, d := range f.daemons() {
		if err := d.start(f.folder); err != nil {
			return err
		}
	}
	go f.balancer.probe(ctx)
	if err := applyConfig(ctx, f.balancer, f.history, "operator", f.rows); err != nil {
		return err
	}
	for _, d := range f.gateways {
		f.setAvailable(d, true)
	}
	return nil
}

// daemons lists all nodes of the fleet.
func (f *fleet) daemons() []*daemon {
	return append(slices.Clone(f.gateways), f.agents...)
}

// stop shuts all nodes down, and reports whether each exited with code 0.
func (f *fleet) stop() bool {
	clean := true
	for _, d := range slices.Backward(f.daemons()) {
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGTERM)
	}
	for _, d := range slices.Backward(f.daemons()) {
		if code := d.terminate(syscall.SIGTERM); code != 0 {
			fmt.Printf("%s exited with code %d\n", d.name, code)
			clean = false
		}
	}
	return clean
}

// restart starts a node again.
func (f *fleet) restart(d *daemon) {
	if err := d.start(f.folder); err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench: starting", d.name, err)
	}
}

// workerName is the name of the worker numbered k, from 0.
func workerName(k int) string { return fmt.Sprintf("w%02d", k) }

// startWorker starts the worker numbered k, from 0, three to a rack. The end of the
// context is its crash.
func (f *fleet) startWorker(ctx context.Context, k int) {
	name := workerName(k)
	ctx, cancel := context.WithCancel(ctx)
	f.mu.Lock()
	f.cancels[name] = cancel
	f.lastIncarnation++
	incarnation := uint64(f.lastIncarnation)
	w := fakeworker.NewPollingWorker(f.history.now(), name, fmt.Sprintf("r%d", k/3+1), f.deployment.WorkerCoresMilli, f.deployment.WorkerMemoryMB, incarnation,
		rand.New(rand.NewPCG(uint64(k), incarnation)), f.history.add)
	runner := &workerRunner{balancer: f.balancer, history: f.history, zone: zoneName(k), worker: w}
	f.workers[name] = runner
	f.mu.Unlock()
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		runner.run(ctx)
	}()
}

// leader asks the storage nodes which of them leads a queue; nil when none does.
func (f *fleet) leader(ctx context.Context) *daemon {
	for _, d := range f.gateways {
		if d.dataDir == "" {
			continue
		}
		_, data, err := f.balancer.call(ctx, time.Second, "GET", d.httpAddress, "/v1/belief", nil, "")
		if err != nil {
			continue
		}
		state := &replica.NodeStateView{}
		if json.Unmarshal(data, state) != nil {
			continue
		}
		if ledQueues(state) > 0 {
			return d
		}
	}
	return nil
}

// ledQueues is how many queues a node leads.
func ledQueues(state *replica.NodeStateView) int {
	count := 0
	for _, group := range state.Groups {
		if group.Role == "leader" && group.Group != "clusterstate" {
			count++
		}
	}
	return count
}

// setAvailable records that a gateway node can serve again, or can't.
func (f *fleet) setAvailable(d *daemon, available bool) {
	kind := checker.GatewayUnavailable
	if available {
		kind = checker.GatewayAvailable
	}
	if slices.Contains(f.gateways, d) {
		f.history.add(checker.Event{Kind: kind, Gateway: d.httpAddress})
	}
}

// throttle lets a process run for its deployment's share of every 60 ms and no longer,
// whether it has work or not. That is harder than a quota, which doesn't count idle
// time.
func (f *fleet) throttle(ctx context.Context, d *daemon) {
	const period = 60 * time.Millisecond
	runTime := time.Duration(f.deployment.GatewayCores * float64(period))
	for ctx.Err() == nil {
		d.signal(syscall.SIGSTOP)
		sleep(ctx, period-runTime)
		d.signal(syscall.SIGCONT)
		sleep(ctx, runTime)
	}
}

// peakMemory is the most memory that each node has held, in kilobytes.
func (f *fleet) peakMemory() map[string]int {
	peaks := map[string]int{}
	for _, d := range f.daemons() {
		if peak, found := d.peakMemory(); found {
			peaks[d.name] = peak
		}
	}
	return peaks
}

// cpuUsage is the processor time that each node has used so far.
func (f *fleet) cpuUsage() map[string]time.Duration {
	usage := map[string]time.Duration{}
	for _, d := range f.daemons() {
		usage[d.name] = d.cpuUsage()
	}
	return usage
}

// faultActions are the faults of the fleet command, by name.
var faultActions = map[string]faultAction{
	"kill":    leaderFault((*fleet).killNode),
	"freeze":  leaderFault((*fleet).freezeNode),
	"wipe":    leaderFault((*fleet).wipeNode),
	"cut":     leaderFault(partitionNode(true, true)),
	"mute":    leaderFault(partitionNode(true, false)),
	"deaf":    leaderFault(partitionNode(false, true)),
	"split":   (*fleet).splitZone,
	"race":    (*fleet).raceOperators,
	"offline": (*fleet).disconnectWorker,
	"sides":   (*fleet).restartAgents,
	"worker":  (*fleet).crashWorker,
	"leave":   (*fleet).drainWorker,
	"rush":    (*fleet).rush,
	"flood":   (*fleet).flood,
	"all":     (*fleet).killAll,
}
