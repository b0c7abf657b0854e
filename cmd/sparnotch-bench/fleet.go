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

// Layout of a fleet. Its first storageNodeCount gateway nodes have storage, each of them
// in another zone.
const (
	zoneCount     = 3
	agentHostBase = 20 // agent nodes have host numbers above this one
	internalPort  = 7400
	httpPort      = 8400
)

// fleet is a whole deployment on one machine. Its nodes listen on loopback addresses.
type fleet struct {
	deployment      *deployments.Deployment
	rows            []*schema.ConfigurationRow // of the first configuration
	folder          string                     // for data and logs
	bin             string                     // folder of the program sparnotch
	network         string                     // first three numbers of the nodes' addresses
	gateways        []*daemon                  // those with storage come first
	agents          []*daemon
	balancer        *loadBalancer
	history         *history
	cancels         map[string]context.CancelFunc // by worker name; the function makes the worker crash
	workers         map[string]*workerRunner      // by worker name
	runningWorkers  sync.WaitGroup                // counts the running workers
	clients         *clients
	clientContext   context.Context       // at its end the clients stop waiting for their jobs
	extraJobTypes   []deployments.JobType // job types that faults have added to the load
	lastIncarnation int                   // latest incarnation that was given to a worker
	partitions      int                   // number of split faults so far, each of which isolates the next zone
	trace           io.Writer             // receives a line for each fault and change
	mu              sync.Mutex            // guards cancels, workers and lastIncarnation
}

// newFleet returns a fleet that hasn't been started.
func newFleet(deployment *deployments.Deployment, bin, folder, network string) *fleet {
	return &fleet{
		deployment: deployment, rows: deployment.ConfigRows(), folder: folder, bin: bin, network: network, history: &history{clock: eventloop.RealClock()}, trace: os.Stdout,
		cancels: map[string]context.CancelFunc{}, workers: map[string]*workerRunner{},
	}
}

// address returns the address of a port on a host of the fleet's network.
func (f *fleet) address(host, port int) string { return fmt.Sprintf("%s.%d:%d", f.network, host, port) }

// zoneName returns the zone of the node or worker with the index k.
func zoneName(k int) string { return fmt.Sprintf("c%d", k%zoneCount+1) }

// newDaemon returns the daemon of a node, without starting it.
func (f *fleet) newDaemon(name, subcommand string, host int, zone string, hasStorage bool) *daemon {
	d := &daemon{
		name: name, program: filepath.Join(f.bin, "sparnotch"), internalAddress: f.address(host, internalPort), httpAddress: f.address(host, httpPort), zone: zone,
	}
	d.settingsPath = filepath.Join(f.folder, name+".settings")
	d.args = []string{
		subcommand, "-cell", zone, "-inner", d.internalAddress, "-outer", d.httpAddress, "-options", d.settingsPath,
		"-trace", filepath.Join(f.folder, name+".trace"), "-test_cuts", filepath.Join(f.folder, name+".cuts"),
	}
	if hasStorage {
		d.dataDir = filepath.Join(f.folder, name+".data")
		d.args = append(d.args, "-data", d.dataDir, "-test_sync_us", strconv.FormatInt(f.deployment.SyncUs, 10))
	}
	return d
}

// start starts all nodes and applies the first configuration. It returns when that has
// been accepted.
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
	seeds := []string{f.address(1, internalPort), f.address(2, internalPort), f.address(3, internalPort)}
	for _, d := range f.daemons() {
		if err := d.writeSettings(ctx, seeds, 0); err != nil {
			return err
		}
		if err := d.start(f.folder); err != nil {
			return err
		}
	}
	go f.balancer.probe(ctx)
	if err := applyConfig(ctx, f.balancer, f.history, "operator", f.rows, nil); err != nil {
		return err
	}
	for _, d := range f.gateways {
		f.setAvailable(d, true)
	}
	return nil
}

// daemons returns the daemons of all nodes, the gateway nodes first.
func (f *fleet) daemons() []*daemon {
	return append(slices.Clone(f.gateways), f.agents...)
}

// stop shuts all nodes down and reports whether each of them exited with code 0.
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

// restart starts a node's process again after its exit.
func (f *fleet) restart(d *daemon) {
	if err := d.start(f.folder); err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench: could not start the node", d.name, err)
	}
}

// workerName returns the name of the worker with the index k.
func workerName(k int) string { return fmt.Sprintf("w%02d", k) }

// startWorker starts the worker with the index k. Each rack has three workers. The worker
// crashes when the context ends.
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
	f.runningWorkers.Add(1)
	go func() {
		defer f.runningWorkers.Done()
		runner.run(ctx)
	}()
}

// leader returns the first storage node that says it leads a queue, or nil when none does.
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

// ledQueues returns the number of queues that a node leads.
func ledQueues(state *replica.NodeStateView) int {
	count := 0
	for _, group := range state.Groups {
		if group.Role == "leader" && group.Group != "clusterstate" {
			count++
		}
	}
	return count
}

// setAvailable records in the history whether a node can serve requests. It records
// nothing for agent nodes.
func (f *fleet) setAvailable(d *daemon, available bool) {
	kind := checker.GatewayUnavailable
	if available {
		kind = checker.GatewayAvailable
	}
	if slices.Contains(f.gateways, d) {
		f.history.add(checker.Event{Kind: kind, Gateway: d.httpAddress})
	}
}

// throttle stops and resumes a process until the context ends, so that it runs only for
// its deployment's share of each period of 60 ms. Because idle time also uses up this
// share, the limit is stricter than a processor quota, which doesn't count idle time.
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

// peakMemory returns the peak memory of each node, in kilobytes, by name.
func (f *fleet) peakMemory() map[string]int {
	peaks := map[string]int{}
	for _, d := range f.daemons() {
		if peak, found := d.peakMemory(); found {
			peaks[d.name] = peak
		}
	}
	return peaks
}

// cpuUsage returns the processor time that each node has used so far, by name.
func (f *fleet) cpuUsage() map[string]time.Duration {
	usage := map[string]time.Duration{}
	for _, d := range f.daemons() {
		usage[d.name] = d.cpuUsage()
	}
	return usage
}

// faultActions contains the functions that inject the faults of the fleet command, by the
// name of the fault.
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
