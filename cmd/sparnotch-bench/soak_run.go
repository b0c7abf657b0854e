package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"sparnotch/internal/checker"
	"sparnotch/internal/deployments"
)

const (
	// soakStartTimeout limits the time from the start of a fleet until it accepts its first
	// configuration. It is long because a large fleet starts many processes at once.
	soakStartTimeout = 2 * time.Minute
	// finalReadTimeout limits the time after the load in which all gateway nodes must return
	// the configuration.
	finalReadTimeout = 30 * time.Second
)

// soakRunner is one run of a soak.
type soakRunner struct {
	seed     uint64
	span     time.Duration // of the load
	bounds   checker.Tolerances
	plan     *soakPlan
	fleet    *fleet
	nodes    *soakNodes
	book     *keyBook
	operator *soakOperator
}

// newSoakRunner returns the run of a plan on a fleet that hasn't been started.
func newSoakRunner(seed uint64, span time.Duration, bounds checker.Tolerances, plan *soakPlan, f *fleet) *soakRunner {
	book := &keyBook{}
	rng := rand.New(rand.NewPCG(seed, 2))
	configuration := drawConfiguration(rng, f.deployment.ConfigRows(), plan.publicQueue, plan.hasTenants)
	f.rows = configuration.rows()
	book.accept(configuration.keys())
	return &soakRunner{
		seed: seed, span: span, bounds: bounds, plan: plan, fleet: f, book: book,
		operator: &soakOperator{fleet: f, book: book, configuration: configuration, rng: rng},
	}
}

// run starts the fleet, loads and disturbs it according to the plan, stops it, and returns
// descriptions of all violations.
func (r *soakRunner) run(ctx context.Context) (violations []string) {
	f := r.fleet
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() {
		if !f.stop() {
			violations = append(violations, "a node did not exit with code 0 at the end of the run")
		}
	}()
	starting, stop := context.WithTimeout(ctx, soakStartTimeout)
	err := f.start(starting)
	stop()
	if err != nil {
		return []string{fmt.Sprintf("the fleet did not start: %v", err)}
	}
	r.nodes = newSoakNodes(f)
	go f.balancer.probe(ctx)
	working, stopWorkers := context.WithCancel(ctx)
	defer stopWorkers()
	for k := range f.deployment.Workers {
		f.startWorker(working, k)
	}
	sleep(ctx, warmUp)
	r.load(ctx, working)
	r.readFinalConfigurations(ctx)
	r.compareReplicas(ctx)
	for _, n := range r.nodes.list {
		n.checkRunning()
	}
	f.history.add(checker.Event{Kind: checker.Close})
	stopWorkers()
	f.runningWorkers.Wait()
	return r.check()
}

// load runs the sessions, the series, the crashes of workers and the changes of the
// configuration at the same time. It returns when all of them have ended.
func (r *soakRunner) load(ctx, working context.Context) {
	f := r.fleet
	loading, stopLoad := context.WithTimeout(ctx, r.span)
	defer stopLoad()
	clientContext, stopClients := context.WithTimeout(ctx, r.span+2*clientTimeout)
	defer stopClients()
	var running sync.WaitGroup
	start := func(run func()) {
		running.Add(1)
		go func() {
			defer running.Done()
			run()
		}()
	}
	r.startSessions(loading, clientContext, start)
	for _, series := range r.plan.series {
		start(func() {
			sleep(ctx, series.at)
			f.recordChange("series: " + series.name)
			r.nodes.run(ctx, series)
		})
	}
	for _, crash := range r.plan.crashes {
		start(func() { r.crashWorker(ctx, working, crash) })
	}
	start(func() { r.operator.run(loading, clientContext) })
	seeds := &seedChanger{nodes: r.nodes, rng: rand.New(rand.NewPCG(r.seed, 3))}
	start(func() { seeds.run(loading, ctx) })
	start(func() {
		every(loading, time.Second, func() { readConfig(loading, f.balancer, f.history, f.balancer.pick("c2")) })
	})
	running.Wait()
}

// crashWorker waits for the time of a crash, crashes the worker, and starts it again after the
// duration of the crash.
func (r *soakRunner) crashWorker(ctx, working context.Context, crash workerCrash) {
	sleep(ctx, crash.at)
	name := workerName(crash.worker)
	r.fleet.recordChange("worker " + name + " crashes")
	r.fleet.mu.Lock()
	cancel := r.fleet.cancels[name]
	r.fleet.mu.Unlock()
	cancel()
	sleep(ctx, crash.duration)
	r.fleet.startWorker(working, crash.worker)
}

// startSessions starts the clients. With tenants, most clients have the key of a tenant, some
// have no key, and one has a key that no configuration ever contains.
func (r *soakRunner) startSessions(loading, clientContext context.Context, start func(run func())) {
	f := r.fleet
	types := r.jobTypes()
	c := newClients(f.balancer, f.history, fmt.Sprintf("s%d", r.seed))
	for _, t := range types {
		c.stats[t.Name] = &jobStats{codes: map[int32]int{}}
	}
	f.clients, f.clientContext = c, clientContext
	for k := range r.plan.sessions {
		tenant, key := fmt.Sprintf("tenant%d", 1+k%soakTenants), ""
		switch {
		case !r.plan.hasTenants || k%7 == 6:
			tenant = "none"
		case k == 0:
			tenant, key = "stranger", "key-of-nobody"
		default:
			key = r.book.newest(tenant)
		}
		s := newSession(fmt.Sprintf("c%d", k), tenant, zoneName(k), key, f, r.book)
		start(func() {
			s.run(loading, clientContext, c, types, rand.New(rand.NewPCG(r.seed, uint64(100+k))))
		})
	}
}

// jobTypes returns the job types of the deployment, and one for each extra queue.
func (r *soakRunner) jobTypes() []deployments.JobType {
	types := slices.Clone(r.fleet.deployment.JobTypes)
	for k := range extraQueues {
		extra := types[0]
		extra.Name, extra.Queue = extraQueueName(k), extraQueueName(k)
		types = append(types, extra)
	}
	return types
}

// readFinalConfigurations reads the configuration from each gateway node, with retries until
// the node returns one or finalReadTimeout has passed.
func (r *soakRunner) readFinalConfigurations(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finalReadTimeout)
	defer cancel()
	for _, d := range r.fleet.gateways {
		for ctx.Err() == nil && !readConfig(ctx, r.fleet.balancer, r.fleet.history, d.httpAddress) {
			sleep(ctx, operatorRetry)
		}
	}
}

// check checks the history and writes it to the folder of the run. It returns descriptions of
// all violations, including those that were found during the run.
func (r *soakRunner) check() []string {
	events := r.fleet.history.sorted()
	violations := slices.Clone(r.nodes.violations)
	if err := r.fleet.history.write(filepath.Join(r.fleet.folder, "history.jsonl")); err != nil {
		violations = append(violations, err.Error())
	}
	for _, violation := range checker.Check(events, r.bounds) {
		violations = append(violations, violation.String())
	}
	for name, s := range r.fleet.clients.stats {
		if s.sent != s.accepted+s.rejected+s.givenUp || s.accepted != s.ended {
			violations = append(violations, fmt.Sprintf(
				"not all jobs of the type %s were rejected, given up and cancelled, or accepted and ended: %d sent, %d accepted, %d rejected, %d given up, %d ended",
				name, s.sent, s.accepted, s.rejected, s.givenUp, s.ended))
		}
	}
	return violations
}

// summary returns a description of the size of the run and of the results of its clients.
func (r *soakRunner) summary() string {
	var sent, accepted, rejected, givenUp int
	codes := map[int32]int{}
	if r.fleet.clients != nil {
		for _, s := range r.fleet.clients.stats {
			sent, accepted, rejected, givenUp = sent+s.sent, accepted+s.accepted, rejected+s.rejected, givenUp+s.givenUp
			for code, count := range s.codes {
				codes[code] += count
			}
		}
	}
	d := r.fleet.deployment
	return fmt.Sprintf("%s: %d gateway and %d agent nodes, %d workers, %d sessions, %d series, %d crashes of workers; jobs: %d sent, %d accepted, %d rejected, %d given up; %d submissions answered with HTTP status 401, %d not answered",
		d.Name, d.Gateways, d.Agents, d.Workers, r.plan.sessions, len(r.plan.series), len(r.plan.crashes), sent, accepted, rejected, givenUp, codes[http.StatusUnauthorized], codes[0])
}

// openSchedule creates the file schedule.txt in the folder of the fleet, and makes the fleet
// write its trace to this file.
func openSchedule(f *fleet) (*os.File, error) {
	file, err := os.Create(filepath.Join(f.folder, "schedule.txt"))
	if err == nil {
		f.trace = file
	}
	return file, err
}
