package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"sparnotch/internal/checker"
	"sparnotch/internal/deployments"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// proc is one daemon that this command started.
type proc struct {
	name    string
	program string
	args    []string
	inner   string
	outer   string
	cell    string
	data    string
	command *exec.Cmd
	cpu     time.Duration // of earlier runs
	exited  chan struct{}
}

func (p *proc) start(folder string) error {
	log, err := os.OpenFile(filepath.Join(folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command(p.program, p.args...)
	p.command.Stdout, p.command.Stderr = log, log
	// A quarter core and less leave no room for a wide collector.
	p.command.Env = append(os.Environ(), "GOMAXPROCS=1")
	if err := p.command.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(p.command, p.exited)
	return nil
}

func (p *proc) signal(signal syscall.Signal) {
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(signal)
	}
}

// terminate signals the process, waits for it, and gives its exit code.
func (p *proc) terminate(signal syscall.Signal) int {
	if p.exited == nil {
		return 0
	}
	p.signal(signal)
	select {
	case <-p.exited:
	case <-time.After(20 * time.Second):
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	p.exited = nil
	state := p.command.ProcessState
	if state == nil {
		return -1
	}
	p.cpu += state.UserTime() + state.SystemTime()
	return state.ExitCode()
}

// newFleet is a whole deployment on one machine, over loopback addresses.
type fleet struct {
	deployment      *deployments.Deployment
	folder          string
	bin             string
	network         string // first three numbers of its addresses
	gateways        []*proc
	agents          []*proc
	balancer        *loadBalancer
	history         *history
	cancels         map[string]context.CancelFunc
	workers         map[string]*workerRunner
	running         sync.WaitGroup
	clients         *clients
	clientContext   context.Context       // ends when callers give up
	extra           []deployments.JobType // what faults made callers hand in besides
	lastIncarnation int
	partitions      int // so far; each strikes the next cell
	mu              sync.Mutex
}

func (f *fleet) address(host, port int) string { return fmt.Sprintf("%s.%d:%d", f.network, host, port) }

func (f *fleet) newDaemon(name, daemon string, host int, cell string, data bool) *proc {
	p := &proc{
		name: name, program: filepath.Join(f.bin, "sparnotch"), inner: f.address(host, 7400), outer: f.address(host, 8400), cell: cell,
	}
	seeds := []string{f.address(1, 7400), f.address(2, 7400), f.address(3, 7400)}
	p.args = []string{
		daemon, "-cell", cell, "-inner", p.inner, "-outer", p.outer, "-seeds", strings.Join(seeds, ","),
		"-trace", filepath.Join(f.folder, name+".trace"), "-test_cuts", filepath.Join(f.folder, name+".cuts"),
	}
	if data {
		p.data = filepath.Join(f.folder, name+".data")
		p.args = append(p.args, "-data", p.data, "-test_sync_us", strconv.FormatInt(f.deployment.SyncUs, 10))
	}
	return p
}

func (f *fleet) start(ctx context.Context) error {
	var gates []*endpoint
	for k := 1; k <= 7; k++ {
		p := f.newDaemon(fmt.Sprintf("server%d", k), "server", k, fmt.Sprintf("c%d", (k-1)%3+1), k <= 3)
		f.gateways = append(f.gateways, p)
		gates = append(gates, &endpoint{address: p.outer, cell: p.cell})
	}
	for k := 1; k <= f.deployment.Agents; k++ {
		f.agents = append(f.agents, f.newDaemon(fmt.Sprintf("controller%d", k), "controller", 20+k, fmt.Sprintf("c%d", (k-1)%3+1), false))
	}
	f.balancer = newLoadBalancer(gates)
	for _, p := range f.procs() {
		if err := p.start(f.folder); err != nil {
			return err
		}
	}
	go f.balancer.probe(ctx)
	if err := applyConfig(ctx, f.balancer, f.history, "operator", f.deployment.ConfigRows()); err != nil {
		return err
	}
	for _, p := range f.gateways {
		f.setAvailable(p, true)
	}
	return nil
}

// procs lists every daemon of the fleet.
func (f *fleet) procs() []*proc { return append(append([]*proc(nil), f.gateways...), f.agents...) }

// stop warns every process, and tells whether all left as they should.
func (f *fleet) stop() bool {
	isClean := true
	for _, p := range slices.Backward(f.procs()) {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGTERM)
	}
	for _, p := range slices.Backward(f.procs()) {
		if code := p.terminate(syscall.SIGTERM); code != 0 {
			fmt.Printf("%s left with code %d\n", p.name, code)
			isClean = false
		}
	}
	return isClean
}

func (f *fleet) startWorker(ctx context.Context, k int, habits fakeworker.Behaviour) {
	name := fmt.Sprintf("w%02d", k)
	ctx, cancel := context.WithCancel(ctx)
	f.mu.Lock()
	f.cancels[name] = cancel
	f.lastIncarnation++
	incarnation := uint64(f.lastIncarnation)
	w := fakeworker.New(f.history.now(), name, fmt.Sprintf("r%d", k/3+1), f.deployment.Cores, f.deployment.Memory, incarnation,
		rand.New(rand.NewPCG(uint64(k), incarnation)), f.history.add)
	w.Behaviour = habits
	runner := &workerRunner{balancer: f.balancer, history: f.history, cell: fmt.Sprintf("c%d", k%3+1), worker: w}
	f.workers[name] = runner
	f.mu.Unlock()
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		runner.run(ctx)
	}()
}

// leader asks the fronts who leads the first queue.
func (f *fleet) leader(ctx context.Context) *proc {
	for _, p := range f.gateways {
		if p.data == "" {
			continue
		}
		_, data, err := f.balancer.call(ctx, time.Second, "GET", p.outer, "/v1/belief", nil, "")
		if err != nil {
			continue
		}
		belief := &replica.NodeStateView{}
		if json.Unmarshal(data, belief) != nil {
			continue
		}
		for _, group := range belief.Groups {
			if group.Role == "leader" && group.Group != "clusterstate" {
				return p
			}
		}
	}
	return nil
}

func (f *fleet) recordFault(what string) {
	fmt.Printf("%8.1fs  %s\n", float64(f.history.now())/1e6, what)
	f.history.add(checker.Event{Kind: checker.Fault, State: what})
}

// setAvailable notes that a front can serve again, or can't.
func (f *fleet) setAvailable(p *proc, canServe bool) {
	kind := checker.GatewayUnavailable
	if canServe {
		kind = checker.GatewayAvailable
	}
	if slices.Contains(f.gateways, p) {
		f.history.add(checker.Event{Kind: kind, Gateway: p.outer})
	}
}

// fault brings one about; the forms are listed in the help.
func (f *fleet) fault(ctx context.Context, what string) {
	name, argument, _ := strings.Cut(what, ":")
	span, err := time.ParseDuration(argument)
	if err != nil {
		span = 5 * time.Second
	}
	switch name {
	case "kill", "freeze", "wipe", "cut", "mute", "deaf":
		p := f.leader(ctx)
		if p == nil {
			f.recordFault("no leader found for " + what)
			return
		}
		f.recordFault(what + " " + p.name)
		f.setAvailable(p, false)
		defer f.setAvailable(p, true)
		switch name {
		case "kill":
			p.terminate(syscall.SIGKILL)
			sleep(ctx, span)
			f.restart(p)
		case "freeze":
			p.signal(syscall.SIGSTOP)
			sleep(ctx, span)
			p.signal(syscall.SIGCONT)
		case "wipe":
			p.terminate(syscall.SIGKILL)
			_ = os.RemoveAll(p.data)
			sleep(ctx, span)
			f.restart(p)
		case "cut", "mute", "deaf":
			f.partition(func(from, to *proc) bool {
				return from == p && name != "deaf" || to == p && name != "mute"
			})
			sleep(ctx, span)
			f.partition(nil)
		}
	case "split":
		cell := []string{"c1", "c2", "c3"}[f.partitions%3]
		f.partitions++
		f.recordFault("cell " + cell + " split off for " + span.String())
		for _, p := range f.gateways {
			if p.cell == cell {
				f.setAvailable(p, false)
				defer f.setAvailable(p, true)
			}
		}
		f.partition(func(from, to *proc) bool { return (from.cell == cell) != (to.cell == cell) })
		sleep(ctx, span)
		f.partition(nil)
	case "race":
		f.recordFault("two operators race")
		var racing sync.WaitGroup
		for k, who := range []string{"one", "two"} {
			racing.Add(1)
			go func() {
				defer racing.Done()
				rows := append(f.deployment.ConfigRows(), &schema.ConfigurationRow{Kind: "fleet", Key: "cache_every", Value: strconv.Itoa(32 + 16*k)})
				// The loser reads the winner's table and puts its own on that.
				if err := applyConfig(ctx, f.balancer, f.history, who, rows); err != nil && ctx.Err() == nil {
					fmt.Fprintln(os.Stderr, "sparnotch-bench:", err)
				}
			}()
		}
		racing.Wait()
	case "offline":
		f.recordFault("worker w02 is cut off and runs on, for " + span.String())
		w := f.workers["w02"]
		w.setDisconnected(true)
		f.history.add(checker.Event{Kind: checker.WorkerPartitioned, Actor: "w02"})
		sleep(ctx, span)
		w.setDisconnected(false)
		f.history.add(checker.Event{Kind: checker.WorkerPartitioned, Actor: "w02", State: checker.Healed})
	case "sides":
		f.recordFault("all side machines swapped out, one after another")
		for _, p := range f.agents {
			p.terminate(syscall.SIGKILL)
			f.restart(p)
			sleep(ctx, 300*time.Millisecond)
		}
	case "worker":
		f.recordFault("worker w00 crashes, and comes back")
		f.cancels["w00"]()
		sleep(ctx, span)
		f.startWorker(ctx, 0, fakeworker.Behaviour{})
	case "leave":
		f.recordFault("worker w01 leaves")
		w := f.workers["w01"]
		w.mu.Lock()
		w.worker.Drain(f.history.now())
		w.mu.Unlock()
	case "rush":
		f.recordFault("a rush: twenty times the load for " + span.String())
		f.addLoad(ctx, span, "rush", func(k *deployments.JobType) { k.MeanInterval /= 20 })
	case "flood":
		f.recordFault("a flood of jobs that can never run, for " + span.String())
		f.addLoad(ctx, span, "flood", func(k *deployments.JobType) {
			k.MeanInterval = 0.02
			k.Steps = []*schema.Step{{Name: "huge", Tasks: 1, CoresMilli: f.deployment.Cores + 1, MemoryMb: 1}}
		})
	case "all":
		f.recordFault("every process is killed and started again")
		// Side machines first, then the fronts.
		for _, p := range slices.Backward(f.procs()) {
			f.setAvailable(p, false)
			p.terminate(syscall.SIGKILL)
		}
		for _, p := range f.procs() {
			f.restart(p)
			f.setAvailable(p, true)
		}
	}
}

// addLoad has more callers come for a span, with kinds changed as told.
func (f *fleet) addLoad(ctx context.Context, span time.Duration, name string, change func(*deployments.JobType)) {
	loading, stop := context.WithTimeout(ctx, span)
	defer stop()
	var sending sync.WaitGroup
	for n, k := range f.deployment.JobTypes {
		k.Name = name + "-" + k.Name
		change(&k)
		f.extra = append(f.extra, k)
		sending.Add(1)
		go func() {
			defer sending.Done()
			f.clients.load(loading, f.clientContext, k, rand.New(rand.NewPCG(99, uint64(n))))
		}()
	}
	sending.Wait()
}

func (f *fleet) restart(p *proc) {
	if err := p.start(f.folder); err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench: starting", p.name, err)
	}
}

// partition cuts the wires from some processes to others, one way each; nil mends
// them all.
func (f *fleet) partition(blocks func(from, to *proc) bool) {
	for _, from := range f.procs() {
		path, content := filepath.Join(f.folder, from.name+".cuts"), ""
		for _, to := range f.procs() {
			if blocks != nil && from != to && blocks(from, to) {
				content += to.inner + "\n"
			}
		}
		if content == "" {
			_ = os.Remove(path)
			continue
		}
		_ = os.WriteFile(path, []byte(content), 0o600)
	}
}

// --- the command ---

type fleetCommand struct {
	profile  string
	duration time.Duration
	faults   string
	bin      string
	folder   string
	net      string
	rate     float64
	seed     uint64
	weak     bool
}

func (*fleetCommand) Name() string { return "fleet" }
func (*fleetCommand) Synopsis() string {
	return "run a whole fleet on this machine under load, and judge it"
}
func (*fleetCommand) Usage() string {
	return `sparnotch-bench fleet -profile bank|skema [-span 30s] [-faults kill@10s,freeze:5s@20s]
  Starts 7 fronts (3 with data), 11 side machines, 11 workers and the profile's
  callers, and ends with a report. Faults, each NAME[:SPAN]@TIME: kill (the
  leader, -9, back after SPAN), freeze, cut (off from all others), mute (nobody
  hears it), deaf (it hears nobody), wipe (kill and lose the disk), split (one
  cell off from the others, the next cell each time), race (two operators put
  tables), offline (worker w02 reaches no front and runs on), sides (all swapped out), worker, leave, rush (twenty
  times the load for SPAN), flood (jobs that can never run), all (every process
  killed). Exit codes: 0 no rule broken, 1 a rule broken or the fleet
  didn't come up, 2 bad flags.
`
}

func (c *fleetCommand) SetFlags(set *flag.FlagSet) {
	set.StringVar(&c.profile, "profile", "bank", "deployment: bank or skema")
	set.DurationVar(&c.duration, "span", 30*time.Second, "how long callers hand in jobs")
	set.StringVar(&c.faults, "faults", "", "faults, each NAME[:SPAN]@TIME, joined by commas")
	set.StringVar(&c.bin, "bin", "", "folder of the program sparnotch (default: sparnotch-bench's own)")
	set.StringVar(&c.folder, "folder", "", "folder for data and logs (default: a new temporary one, removed when no rule is broken)")
	set.StringVar(&c.net, "net", "127.0.7", "first three numbers of the loopback addresses to use")
	set.Float64Var(&c.rate, "rate", 1, "factor on the profile's load")
	set.Uint64Var(&c.seed, "seed", 1, "seed of the callers")
	set.BoolVar(&c.weak, "weak", false, "hold the fronts without data to the profile's share of a core, by stopping them most of every 60 ms")
}

type plannedFault struct {
	at    time.Duration
	fault string
}

func parseFaults(text string) ([]plannedFault, error) {
	var list []plannedFault
	for _, each := range strings.Split(text, ",") {
		if each == "" {
			continue
		}
		what, when, isTimed := strings.Cut(each, "@")
		at, err := time.ParseDuration(when)
		if !isTimed || err != nil {
			return nil, fmt.Errorf("faults: %q is not NAME[:SPAN]@TIME", each)
		}
		name, _, _ := strings.Cut(what, ":")
		if !strings.Contains(" kill freeze cut mute deaf wipe split race offline sides worker leave rush flood all ", " "+name+" ") {
			return nil, fmt.Errorf("faults: there is no fault %q", name)
		}
		list = append(list, plannedFault{at, what})
	}
	sort.Slice(list, func(a, b int) bool { return list[a].at < list[b].at })
	return list, nil
}

func (c *fleetCommand) Execute(ctx context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	usage := func(err error) subcommands.ExitStatus {
		fmt.Fprintln(os.Stderr, "sparnotch-bench:", err)
		return 2
	}
	p, err := deployments.Find(c.profile)
	if err != nil {
		return usage(err)
	}
	faults, err := parseFaults(c.faults)
	if err != nil {
		return usage(err)
	}
	if !strings.HasPrefix(c.net, "127.") || strings.Count(c.net, ".") != 2 {
		return usage(fmt.Errorf("net: %q is not three numbers of a loopback address", c.net))
	}
	if c.rate <= 0 || c.rate > 1000 || c.duration <= 0 {
		return usage(fmt.Errorf("rate and span: must be above 0"))
	}
	if c.bin == "" {
		own, err := os.Executable()
		if err != nil {
			return usage(err)
		}
		c.bin = filepath.Dir(own)
	}
	isOwn := c.folder == ""
	if isOwn {
		if c.folder, err = os.MkdirTemp("", "sparnotch-bench-"); err != nil {
			return usage(err)
		}
	}
	if err := os.MkdirAll(c.folder, 0o700); err != nil {
		return usage(err)
	}
	f := c.newFleet(p)
	isGood := c.run(ctx, f, faults, checker.DefaultBounds)
	if isGood && isOwn {
		_ = os.RemoveAll(c.folder)
	} else {
		fmt.Println("history, logs and data are in", c.folder)
	}
	if !isGood {
		return 1
	}
	return 0
}

func (c *fleetCommand) newFleet(p *deployments.Deployment) *fleet {
	return &fleet{
		deployment: p, folder: c.folder, bin: c.bin, network: c.net, history: &history{clock: eventloop.RealClock()},
		cancels: map[string]context.CancelFunc{}, workers: map[string]*workerRunner{},
	}
}

func (c *fleetCommand) run(ctx context.Context, f *fleet, faults []plannedFault, bounds checker.Bounds) (isGood bool) {
	whole, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { isGood = f.stop() && isGood }()
	starting, stop := context.WithTimeout(whole, 30*time.Second)
	err := f.start(starting)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench: the fleet did not come up:", err)
		return false
	}
	go f.balancer.probe(whole)
	working, stopWorkers := context.WithCancel(whole)
	for k := 0; k < f.deployment.Workers; k++ {
		f.startWorker(working, k, fakeworker.Behaviour{})
	}
	sleep(whole, 2*time.Second)
	if c.weak {
		for _, p := range f.gateways {
			if p.data == "" {
				go f.throttle(whole, p)
			}
		}
	}
	usage := f.cpuUsage()
	began := f.history.now()
	loading, stopLoad := context.WithTimeout(whole, c.duration)
	defer stopLoad()
	drained, stopCallers := context.WithTimeout(whole, c.duration+60*time.Second)
	defer stopCallers()
	clients := newClients(f.balancer, f.history, fmt.Sprintf("s%d", c.seed))
	f.clients, f.clientContext = clients, drained
	var sending sync.WaitGroup
	for k, each := range f.deployment.JobTypes {
		each.MeanInterval /= c.rate
		sending.Add(1)
		go func() {
			defer sending.Done()
			clients.load(loading, drained, each, rand.New(rand.NewPCG(c.seed, uint64(k))))
		}()
	}
	go func() {
		eventloop.NewQueue[int](1).Consume(loading, eventloop.Second, nil, func() {
			readConfig(loading, f.balancer, f.history, f.balancer.pick("c2"))
		})
	}()
	for _, fault := range faults {
		sleep(loading, fault.at-time.Duration(f.history.now()-began)*time.Microsecond)
		if loading.Err() == nil {
			f.fault(loading, fault.fault)
		}
	}
	<-loading.Done()
	spent := f.history.now() - began
	used := f.cpuUsage()
	sending.Wait()
	clients.open.Wait()
	for _, p := range f.gateways {
		readConfig(whole, f.balancer, f.history, p.outer)
	}
	f.history.add(checker.Event{Kind: checker.Close})
	counts := f.counts(whole)
	reportPeaks(f.peakMemory())
	stopWorkers()
	f.running.Wait()
	return report(f, clients, spent, usage, used, counts, c.folder, bounds)
}

// throttle lets a process run for its share of every 60 ms and no longer,
// whether it has work or not: harder than a quota, which lets idle time be.
func (f *fleet) throttle(ctx context.Context, p *proc) {
	const round = 60 * time.Millisecond
	runs := time.Duration(f.deployment.GatewayCores * float64(round))
	for ctx.Err() == nil {
		p.signal(syscall.SIGSTOP)
		sleep(ctx, round-runs)
		p.signal(syscall.SIGCONT)
		sleep(ctx, runs)
	}
}

// peakMemory is the most memory each process has held, in kilobytes.
func (f *fleet) peakMemory() map[string]int {
	peaks := map[string]int{}
	for _, p := range f.procs() {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(data), "\n") {
			if rest, isIt := strings.CutPrefix(line, "VmHWM:"); isIt {
				peaks[p.name], _ = strconv.Atoi(strings.Fields(rest)[0])
			}
		}
	}
	return peaks
}

// cpuUsage is the processor time each process has used so far.
func (f *fleet) cpuUsage() map[string]time.Duration {
	usage := map[string]time.Duration{}
	for _, p := range f.procs() {
		usage[p.name] = p.cpu
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
		if err != nil {
			continue
		}
		_, after, _ := strings.Cut(string(data), ") ")
		fields := strings.Fields(after)
		if len(fields) > 12 {
			user, _ := strconv.Atoi(fields[11])
			system, _ := strconv.Atoi(fields[12])
			usage[p.name] += time.Duration(user+system) * 10 * time.Millisecond
		}
	}
	return usage
}
