package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/google/subcommands"

	"sparnotch/internal/checker"
	"sparnotch/internal/deployments"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/process"
)

const (
	startTimeout  = 30 * time.Second // for the start of all nodes and the first configuration
	warmUp        = 2 * time.Second  // from the start of the workers to the start of the load
	clientTimeout = 60 * time.Second // from the end of the load until the clients stop waiting for their jobs
)

// fleetCommand implements the subcommand fleet, which runs a fleet under load and faults
// and checks its history.
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
	return "run a whole fleet on this machine under load, and check its history"
}
func (*fleetCommand) Usage() string {
	return `sparnotch-bench fleet -profile bank|skema [-span 30s] [-faults kill@10s,freeze:5s@20s]
  Starts 7 gateway nodes (3 with storage), 11 agent nodes, 11 workers and the
  profile's clients, and ends with a report. Each fault is NAME[:SPAN]@TIME.
  Faults of the node that leads a queue: kill (SIGKILL, and a restart after SPAN),
  freeze (stopped for SPAN), cut (partitioned from all other nodes), mute (the
  messages that it sends are lost), deaf (the messages to it are lost), wipe
  (killed, and its data deleted).
  Other faults: split (one zone partitioned from the others, the next zone each
  time), race (two operators apply configurations), offline (worker w02 reaches no
  gateway node but continues to run), sides (all agent nodes restarted), worker
  (w00 crashes), leave (w01 drains), rush (twenty times the load for SPAN), flood
  (jobs that can never run), all (every node killed and restarted).
  Exit codes: 0 no rule broken, 1 a rule broken or the fleet didn't start, 2
  invalid flags.
`
}

func (c *fleetCommand) SetFlags(set *flag.FlagSet) {
	set.StringVar(&c.profile, "profile", "bank", "deployment: bank or skema")
	set.DurationVar(&c.duration, "span", 30*time.Second, "how long clients submit jobs")
	set.StringVar(&c.faults, "faults", "", "faults, each NAME[:SPAN]@TIME, separated by commas")
	set.StringVar(&c.bin, "bin", "", "folder of the program sparnotch (default: the folder of sparnotch-bench)")
	set.StringVar(&c.folder, "folder", "", "folder for data and logs (default: a new temporary one, removed when no rule is broken)")
	set.StringVar(&c.net, "net", "127.0.7", "first three numbers of the loopback addresses to use")
	set.Float64Var(&c.rate, "rate", 1, "factor by which the profile's load is multiplied")
	set.Uint64Var(&c.seed, "seed", 1, "seed of the clients' random numbers")
	set.BoolVar(&c.weak, "weak", false, "limit the gateway nodes without storage to the profile's share of a core, by stopping them for most of each 60 ms")
}

func (c *fleetCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	usage := func(err error) subcommands.ExitStatus {
		fmt.Fprintln(os.Stderr, "sparnotch-bench:", err)
		return 2
	}
	deployment, err := deployments.Find(c.profile)
	if err != nil {
		return usage(err)
	}
	faults, err := parseFaults(c.faults)
	if err != nil {
		return usage(err)
	}
	if err := c.check(); err != nil {
		return usage(err)
	}
	isTemporary := c.folder == ""
	if err := c.prepareFolders(); err != nil {
		return usage(err)
	}
	passed := c.run(ctx, c.newFleet(deployment), faults, checker.DefaultTolerances)
	if passed && isTemporary {
		_ = os.RemoveAll(c.folder)
	} else {
		fmt.Println("history, logs and data are in", c.folder)
	}
	if !passed {
		return 1
	}
	return 0
}

// check returns an error that names the first invalid flag.
func (c *fleetCommand) check() error {
	if !strings.HasPrefix(c.net, "127.") || strings.Count(c.net, ".") != 2 {
		return fmt.Errorf("net: %q is not the first three numbers of a loopback address", c.net)
	}
	if c.rate <= 0 || c.rate > 1000 || c.duration <= 0 {
		return errors.New("rate and span: must be above 0, and rate at most 1000")
	}
	return nil
}

// prepareFolders sets the default folders where the flags set none, and creates the folder for
// data.
func (c *fleetCommand) prepareFolders() (err error) {
	c.bin, c.folder, err = defaultFolders(c.bin, c.folder)
	return err
}

// defaultFolders replaces folders that are empty: bin, where the program sparnotch is, by
// the folder of this program, and folder, for data, by a new temporary one. It creates the
// folder for data.
func defaultFolders(bin, folder string) (string, string, error) {
	if bin == "" {
		own, err := os.Executable()
		if err != nil {
			return "", "", err
		}
		bin = filepath.Dir(own)
	}
	if folder == "" {
		temporary, err := os.MkdirTemp("", "sparnotch-bench-")
		if err != nil {
			return "", "", err
		}
		folder = temporary
	}
	return bin, folder, os.MkdirAll(folder, 0o700)
}

func (c *fleetCommand) newFleet(deployment *deployments.Deployment) *fleet {
	return newFleet(deployment, c.bin, c.folder, c.net)
}

// run starts the fleet, loads it, injects the faults and stops it. It reports whether no
// rule was broken, each accepted job ended, and all nodes exited with code 0.
func (c *fleetCommand) run(ctx context.Context, f *fleet, faults []plannedFault, bounds checker.Tolerances) (passed bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { passed = f.stop() && passed }()
	starting, stop := context.WithTimeout(ctx, startTimeout)
	err := f.start(starting)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench: the fleet did not start:", err)
		return false
	}
	go f.balancer.probe(ctx)
	working, stopWorkers := context.WithCancel(ctx)
	defer stopWorkers()
	for k := range f.deployment.Workers {
		f.startWorker(working, k)
	}
	sleep(ctx, warmUp)
	if c.weak {
		for _, d := range f.gateways {
			if d.dataDir == "" {
				go f.throttle(ctx, d)
			}
		}
	}
	result := c.load(ctx, f, faults)
	for _, d := range f.gateways {
		readConfig(ctx, f.balancer, f.history, d.httpAddress)
	}
	f.history.add(checker.Event{Kind: checker.Close})
	result.counters = f.counters(ctx)
	reportPeaks(f.peakMemory())
	stopWorkers()
	f.runningWorkers.Wait()
	return report(f, result, c.folder, bounds)
}

// loadResult holds the measurements of a fleet under load.
type loadResult struct {
	duration            eventloop.Micros
	cpuBefore, cpuAfter map[string]time.Duration  // by node
	counters            map[string]process.Counts // by gateway node
}

// load runs the clients and injects the faults. It waits until all jobs have ended or the
// clients have stopped waiting for them.
func (c *fleetCommand) load(ctx context.Context, f *fleet, faults []plannedFault) loadResult {
	result := loadResult{cpuBefore: f.cpuUsage()}
	startedAt := f.history.now()
	loading, stopLoad := context.WithTimeout(ctx, c.duration)
	defer stopLoad()
	clientContext, stopClients := context.WithTimeout(ctx, c.duration+clientTimeout)
	defer stopClients()
	f.clients, f.clientContext = newClients(f.balancer, f.history, fmt.Sprintf("s%d", c.seed)), clientContext
	var sending sync.WaitGroup
	for k, jobType := range f.deployment.JobTypes {
		jobType.MeanInterval /= c.rate
		sending.Add(1)
		go func() {
			defer sending.Done()
			f.clients.load(loading, clientContext, jobType, rand.New(rand.NewPCG(c.seed, uint64(k))))
		}()
	}
	go every(loading, time.Second, func() {
		readConfig(loading, f.balancer, f.history, f.balancer.pick("c2"))
	})
	for _, fault := range faults {
		sleep(loading, fault.at-(f.history.now()-startedAt).Duration())
		if loading.Err() == nil {
			faultActions[fault.name](f, loading, fault)
		}
	}
	<-loading.Done()
	result.duration = f.history.now() - startedAt
	result.cpuAfter = f.cpuUsage()
	sending.Wait()
	f.clients.openJobs.Wait()
	return result
}
