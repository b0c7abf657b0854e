package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"sparnotch/internal/deployments"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
)

// workerCommand implements the subcommand worker, which runs one fake worker against a running
// fleet.
type workerCommand struct {
	fronts, name, rack string  // fronts: addresses of gateway nodes, separated by commas
	cores, memory      int64   // thousandths of a core, and megabytes
	fail, slow         float64 // probability that a task fails, and factor on the run times
}

func (*workerCommand) Name() string     { return "worker" }
func (*workerCommand) Synopsis() string { return "run one fake worker against a running fleet" }
func (*workerCommand) Usage() string {
	return "sparnotch-bench worker -fronts IP:PORT,... -name w1 [-rack r1] [-cores_milli 8000] [-memory_mb 16000]\n  On SIGTERM or SIGINT the worker drains and exits when no task runs. A second signal ends it at once.\n"
}

func (c *workerCommand) SetFlags(set *flag.FlagSet) {
	set.StringVar(&c.fronts, "fronts", "", "HTTP addresses of some gateway nodes, separated by commas; the worker discovers the others")
	set.StringVar(&c.name, "name", "", "name of the worker")
	set.StringVar(&c.rack, "rack", "r1", "rack of the worker")
	set.Int64Var(&c.cores, "cores_milli", 8000, "capacity of the worker, in thousandths of a core")
	set.Int64Var(&c.memory, "memory_mb", 16000, "capacity of the worker, in megabytes")
	set.Float64Var(&c.fail, "fail", 0, "share of the tasks that fail")
	set.Float64Var(&c.slow, "slow", 1, "factor by which the run times of tasks are multiplied")
}

func (c *workerCommand) Execute(ctx context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	endpoints := parseEndpoints(c.fronts, "")
	if len(endpoints) == 0 || c.name == "" {
		fmt.Fprintln(os.Stderr, "sparnotch-bench: the flags fronts and name are required")
		return 2
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &history{clock: eventloop.RealClock()}
	// Each incarnation of a worker must be higher than the earlier ones.
	incarnation := uint64(time.Now().UnixMicro())
	w := fakeworker.NewPollingWorker(h.now(), c.name, c.rack, c.cores, c.memory, incarnation, rand.New(rand.NewPCG(incarnation, 1)), h.add)
	w.Behaviour = fakeworker.Behaviour{FailureRate: c.fail, Slowdown: c.slow}
	runner := &workerRunner{balancer: newLoadBalancer(endpoints), history: h, worker: w}
	go runner.balancer.discover(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		runner.mu.Lock()
		w.Drain(h.now())
		runner.mu.Unlock()
		go func() {
			<-signals
			cancel()
		}()
		every(ctx, 100*time.Millisecond, func() {
			runner.mu.Lock()
			defer runner.mu.Unlock()
			if w.IsIdle() {
				cancel()
			}
		})
	}()
	runner.run(ctx)
	return 0
}

// clientsCommand implements the subcommand callers, which submits the jobs of a profile to a
// running fleet.
type clientsCommand struct {
	fronts, profile, prefix string        // fronts: addresses of gateway nodes, separated by commas
	duration                time.Duration // of the load
	rate                    float64       // factor on the load
}

func (*clientsCommand) Name() string     { return "callers" }
func (*clientsCommand) Synopsis() string { return "submit a profile's jobs to a running fleet" }
func (*clientsCommand) Usage() string {
	return "sparnotch-bench callers -fronts IP:PORT,... -profile bank|skema [-span 30s] [-rate 1]\n"
}

func (c *clientsCommand) SetFlags(set *flag.FlagSet) {
	set.StringVar(&c.fronts, "fronts", "", "HTTP addresses of gateway nodes, separated by commas")
	set.StringVar(&c.profile, "profile", "bank", "deployment: bank or skema")
	set.StringVar(&c.prefix, "prefix", fmt.Sprintf("t%d", time.Now().Unix()), "start of the jobs' names")
	set.DurationVar(&c.duration, "span", 30*time.Second, "how long clients submit jobs")
	set.Float64Var(&c.rate, "rate", 1, "factor by which the load is multiplied")
}

func (c *clientsCommand) Execute(ctx context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	deployment, err := deployments.Find(c.profile)
	endpoints := parseEndpoints(c.fronts, "")
	if err != nil || len(endpoints) == 0 || c.rate <= 0 {
		fmt.Fprintln(os.Stderr, "sparnotch-bench: the flags fronts, a known profile and a rate above 0 are required", err)
		return 2
	}
	clients := newClients(newLoadBalancer(endpoints), &history{clock: eventloop.RealClock()}, c.prefix)
	loading, stop := context.WithTimeout(ctx, c.duration)
	defer stop()
	clientContext, stopAll := context.WithTimeout(ctx, c.duration+30*time.Second)
	defer stopAll()
	for k, jobType := range deployment.JobTypes {
		jobType.MeanInterval /= c.rate
		go clients.load(loading, clientContext, jobType, rand.New(rand.NewPCG(uint64(k), 1)))
	}
	<-loading.Done()
	clients.openJobs.Wait()
	for _, t := range deployment.JobTypes {
		s := clients.stats[t.Name]
		fmt.Printf("%-12s sent %d, accepted %d, ended %d, confirm ms 50/99 %.1f/%.1f\n", t.Name, s.sent, s.accepted, s.ended, quantile(s.confirmTimes, .5), quantile(s.confirmTimes, .99))
	}
	return 0
}
