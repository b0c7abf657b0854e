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

// workerCommand runs one fake worker against a running fleet.
type workerCommand struct {
	fronts, name, rack string
	cores, memory      int64
	fail, slow         float64
}

func (*workerCommand) Name() string     { return "worker" }
func (*workerCommand) Synopsis() string { return "run one fake worker against a running fleet" }
func (*workerCommand) Usage() string {
	return "sparnotch-bench worker -fronts IP:PORT,... -name w1 [-rack r1] [-cores_milli 8000] [-memory_mb 16000]\n  On SIGTERM it drains, and exits when nothing runs; a second signal ends it at once.\n"
}

func (c *workerCommand) SetFlags(set *flag.FlagSet) {
	set.StringVar(&c.fronts, "fronts", "", "HTTP addresses of some gateway nodes, joined by commas; they name the others")
	set.StringVar(&c.name, "name", "", "the worker's name")
	set.StringVar(&c.rack, "rack", "r1", "its rack")
	set.Int64Var(&c.cores, "cores_milli", 8000, "its capacity, in thousandths of a core")
	set.Int64Var(&c.memory, "memory_mb", 16000, "its capacity, in megabytes")
	set.Float64Var(&c.fail, "fail", 0, "share of its tasks that fail")
	set.Float64Var(&c.slow, "slow", 1, "factor on the tasks' run times")
}

func (c *workerCommand) Execute(ctx context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	endpoints := parseEndpoints(c.fronts, "")
	if len(endpoints) == 0 || c.name == "" {
		fmt.Fprintln(os.Stderr, "sparnotch-bench: fronts and name are needed")
		return 2
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &history{clock: eventloop.RealClock()}
	// An incarnation must be higher than those before it.
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

// clientsCommand submits a profile's jobs to a running fleet.
type clientsCommand struct {
	fronts, profile, prefix string
	duration                time.Duration
	rate                    float64
}

func (*clientsCommand) Name() string     { return "callers" }
func (*clientsCommand) Synopsis() string { return "submit a profile's jobs to a running fleet" }
func (*clientsCommand) Usage() string {
	return "sparnotch-bench callers -fronts IP:PORT,... -profile bank|skema [-span 30s] [-rate 1]\n"
}

func (c *clientsCommand) SetFlags(set *flag.FlagSet) {
	set.StringVar(&c.fronts, "fronts", "", "HTTP addresses of gateway nodes, joined by commas")
	set.StringVar(&c.profile, "profile", "bank", "bank or skema")
	set.StringVar(&c.prefix, "prefix", fmt.Sprintf("t%d", time.Now().Unix()), "start of the jobs' names")
	set.DurationVar(&c.duration, "span", 30*time.Second, "how long")
	set.Float64Var(&c.rate, "rate", 1, "factor on the load")
}

func (c *clientsCommand) Execute(ctx context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	deployment, err := deployments.Find(c.profile)
	endpoints := parseEndpoints(c.fronts, "")
	if err != nil || len(endpoints) == 0 || c.rate <= 0 {
		fmt.Fprintln(os.Stderr, "sparnotch-bench: fronts, profile and a rate above 0 are needed", err)
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
	clients.open.Wait()
	for _, t := range deployment.JobTypes {
		s := clients.stats[t.Name]
		fmt.Printf("%-12s sent %d, accepted %d, ended %d, confirm ms 50/99 %.1f/%.1f\n", t.Name, s.sent, s.accepted, s.ended, quantile(s.confirmTimes, .5), quantile(s.confirmTimes, .99))
	}
	return 0
}
