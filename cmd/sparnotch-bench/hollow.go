package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/subcommands"

	"sparnotch/internal/capacity"
)

const (
	storageNodeCount = 3
	firstAgentHost   = 200 // hosts below are stores and fronts
	maxHosts         = 60_000
)

// hollowConfig is a hollow deployment and its load.
type hollowConfig struct {
	Net              string  // first two numbers of its loopback addresses
	Profile          string  // folder for each part's processor profile; empty: none
	Folder           string  // of the stores' data
	Workers          int     // sides, each with an agent's stead and a worker
	Gateways         int     // without data
	Queues           int     // all on the same three stores
	StartsPerSecond  float64 // task starts a second
	RunUs            int64   // how long a task runs
	Width            int     // tasks of a job's one step
	Gang             bool    // and whether they are a group
	ChangesPerMinute float64 // of the plan, a minute
	Rows             int     // of the plan, at least
	Zones            int
	PerRack          int
	Controllers      int // sides with the controller's table; 0: all
	SyncUs           int64
	Regions          int // in the simulator only
	RegionDelayUs    int64
	AgentProcesses   int // operating system's processes the sides share
}

func defaultHollowConfig() hollowConfig {
	return hollowConfig{
		Net: "127.11", Workers: 24, Gateways: 2, Queues: 4, StartsPerSecond: 20, RunUs: 100_000, Width: 1, Zones: 3, PerRack: 3, SyncUs: 500, Regions: 1, RegionDelayUs: 6000, AgentProcesses: 2,
	}
}

func (c *hollowConfig) address(host, port int) string {
	return fmt.Sprintf("%s.%d.%d:%d", c.Net, host/250, host%250+1, port)
}

func (c *hollowConfig) cell(k int) string { return fmt.Sprintf("c%d", k%c.Zones+1) }

func (c *hollowConfig) seeds() []string {
	var list []string
	for k := range storageNodeCount {
		list = append(list, c.address(k, 7400))
	}
	return list
}

// gatewayHost picks the host of a front; with none apart, a store.
func (c *hollowConfig) gatewayHost(draw int) int {
	if c.Gateways == 0 {
		return draw % storageNodeCount
	}
	return storageNodeCount + draw%c.Gateways
}

// check names the first field that can't be taken.
func (c *hollowConfig) check() error {
	numbers := strings.Split(c.Net, ".")
	switch {
	case len(numbers) != 2 || numbers[0] != "127":
		return fmt.Errorf("net: %q is not two numbers of a loopback address, like 127.11", c.Net)
	case c.Workers < 1 || c.Workers > maxHosts-firstAgentHost:
		return fmt.Errorf("workers: must lie between 1 and %d", maxHosts-firstAgentHost)
	case c.Gateways < 0 || c.Gateways > firstAgentHost-storageNodeCount:
		return fmt.Errorf("fronts: must lie between 0 and %d", firstAgentHost-storageNodeCount)
	case c.Queues < 1 || c.Queues > 1000:
		return fmt.Errorf("queues: must lie between 1 and 1000")
	case c.StartsPerSecond < 0 || c.StartsPerSecond > 10_000:
		return fmt.Errorf("starts: must lie between 0 and 10000 a second")
	case c.RunUs < 1:
		return fmt.Errorf("run_us: must be 1 or more")
	case c.Width < 1 || c.Width > 1000:
		return fmt.Errorf("width: must lie between 1 and 1000")
	case c.ChangesPerMinute < 0 || c.ChangesPerMinute > 600:
		return fmt.Errorf("changes: must lie between 0 and 600 a minute")
	case c.Rows < 0 || c.Rows > 9000:
		return fmt.Errorf("rows: must lie between 0 and 9000")
	case c.Zones < 1 || c.Zones > 100:
		return fmt.Errorf("zones: must lie between 1 and 100")
	case c.Regions < 1 || c.Regions > c.Zones:
		return fmt.Errorf("regions: must lie between 1 and the zones, %d", c.Zones)
	case c.RegionDelayUs < 0 || c.RegionDelayUs > 1_000_000:
		return fmt.Errorf("far_us: must lie between 0 and 1000000")
	case c.PerRack < 1:
		return fmt.Errorf("per_rack: must be 1 or more")
	case c.Controllers < 0:
		return fmt.Errorf("controllers: must not be negative")
	case c.AgentProcesses < 1 || c.AgentProcesses > 100:
		return fmt.Errorf("shares: must lie between 1 and 100")
	case c.SyncUs < 0 || c.SyncUs > 60_000_000:
		return fmt.Errorf("sync_us: must lie between 0 and 60000000")
	}
	return nil
}

func (c *hollowConfig) register(set *flag.FlagSet) {
	usual := defaultHollowConfig()
	set.StringVar(&c.Net, "net", usual.Net, "first two numbers of the loopback addresses to use")
	set.StringVar(&c.Profile, "profile", "", "folder for a processor profile of each part while it is measured")
	set.IntVar(&c.Workers, "workers", usual.Workers, "sides, each with an agent's stead and a worker without work behind it")
	set.IntVar(&c.Gateways, "fronts", usual.Gateways, "fronts without data")
	set.IntVar(&c.Queues, "queues", usual.Queues, "queues")
	set.Float64Var(&c.StartsPerSecond, "starts", usual.StartsPerSecond, "task starts a second")
	set.Int64Var(&c.RunUs, "run_us", usual.RunUs, "how long a task runs")
	set.IntVar(&c.Width, "width", usual.Width, "tasks of a job")
	set.BoolVar(&c.Gang, "together", usual.Gang, "a job's tasks are a group")
	set.Float64Var(&c.ChangesPerMinute, "changes", usual.ChangesPerMinute, "changes of the plan a minute")
	set.IntVar(&c.Rows, "rows", usual.Rows, "rows of the plan, at least")
	set.IntVar(&c.Zones, "zones", usual.Zones, "zones, over which all stand in turn")
	set.IntVar(&c.PerRack, "per_rack", usual.PerRack, "workers of a rack")
	set.IntVar(&c.Controllers, "controllers", usual.Controllers, "sides with the controller's table; 0: all")
	set.Int64Var(&c.SyncUs, "sync_us", usual.SyncUs, "a store's sync takes at least this long")
	set.IntVar(&c.AgentProcesses, "shares", usual.AgentProcesses, "processes of the operating system that the sides share")
}

// workerProcess is a part as its parent holds it.
type workerProcess struct {
	role         string
	first, count int
	command      *exec.Cmd
	in           io.WriteCloser
	out          *bufio.Reader
	exited       chan struct{}
}

func (p *workerProcess) start(setup *hollowConfig) error {
	text, err := json.Marshal(setup)
	if err != nil {
		return err
	}
	own, err := os.Executable()
	if err != nil {
		return err
	}
	p.command = exec.Command(own, "hollow", "-part", p.role, "-first", fmt.Sprint(p.first), "-count", fmt.Sprint(p.count), "-setup", string(text))
	// One processor a part: what a process costs is read off, not how wide it spreads.
	p.command.Env = append(os.Environ(), "GOMAXPROCS=1")
	p.command.Stderr = os.Stderr
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if p.in, err = p.command.StdinPipe(); err != nil {
		return err
	}
	out, err := p.command.StdoutPipe()
	if err != nil {
		return err
	}
	p.out = bufio.NewReaderSize(out, 1<<20)
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

func (p *workerProcess) request(line string) (*workerReport, error) {
	if _, err := io.WriteString(p.in, line+"\n"); err != nil {
		return nil, fmt.Errorf("part %s: %w", p.role, err)
	}
	data, err := p.out.ReadBytes('\n')
	if err != nil {
		return nil, fmt.Errorf("part %s: %w", p.role, err)
	}
	reading := &workerReport{}
	return reading, json.Unmarshal(data, reading)
}

func (p *workerProcess) kill() {
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Kill()
		<-p.exited
	}
}

// hollowDeployment is a hollow deployment that runs.
type hollowDeployment struct {
	config    *hollowConfig
	processes []*workerProcess
}

func startHollow(setup *hollowConfig) (*hollowDeployment, error) {
	r := &hollowDeployment{config: setup}
	for k := range storageNodeCount {
		r.processes = append(r.processes, &workerProcess{role: "store", first: k, count: 1})
	}
	// A front in a process of its own as far as a few go.
	for k := 0; k < setup.Gateways; k++ {
		r.processes = append(r.processes, &workerProcess{role: "front", first: storageNodeCount + k, count: 1})
	}
	shares := min(setup.AgentProcesses, setup.Workers)
	for k := range shares {
		first, next := setup.Workers*k/shares, setup.Workers*(k+1)/shares
		r.processes = append(r.processes, &workerProcess{role: "side", first: first, count: next - first})
	}
	r.processes = append(r.processes, &workerProcess{role: "caller", count: 1})
	for _, p := range r.processes {
		if err := p.start(setup); err != nil {
			r.stop()
			return nil, err
		}
	}
	return r, nil
}

func (d *hollowDeployment) stop() {
	for _, p := range d.processes {
		p.kill()
	}
}

func (d *hollowDeployment) requestAll(line string) ([]*workerReport, error) {
	list := make([]*workerReport, len(d.processes))
	for k, p := range d.processes {
		reading, err := p.request(line)
		if err != nil {
			return nil, err
		}
		list[k] = reading
	}
	return list, nil
}

// waitUntilReady lets the deployment come up: a leader for each queue, a ward for each
// worker, and hand-ins accepted.
func (d *hollowDeployment) waitUntilReady(ctx context.Context, span time.Duration) error {
	last := ""
	for deadline := time.Now().Add(span); time.Now().Before(deadline) && ctx.Err() == nil; sleep(ctx, 300*time.Millisecond) {
		readings, err := d.requestAll("read")
		if err != nil {
			return err
		}
		leads, wards, accepted := 0, 0, uint64(0)
		for _, reading := range readings {
			accepted += reading.Accepted
			if reading.State == nil {
				continue
			}
			for _, group := range reading.State.Groups {
				if group.Role == "leader" && group.Group != "clusterstate" {
					leads++
				}
			}
			warded := 0
			for _, ward := range reading.State.WorkerLeases {
				if ward.Scheduler != "" {
					warded++
				}
			}
			wards = max(wards, warded)
		}
		last = fmt.Sprintf("%d of %d queues led, %d of %d workers warded, %d jobs accepted", leads, d.config.Queues, wards, d.config.Workers, accepted)
		if leads >= d.config.Queues && wards >= d.config.Workers && (accepted > 0 || d.config.StartsPerSecond == 0) {
			return nil
		}
	}
	return errors.New("the deployment didn't come up: " + last)
}

// measurement is what one run has shown.
type measurement struct {
	role, what string
	amount     float64
}

// measure reads everything over a span.
func (d *hollowDeployment) measure(ctx context.Context, span time.Duration) ([]measurement, error) {
	before, err := d.requestAll("reset")
	if err != nil {
		return nil, err
	}
	began := time.Now()
	sleep(ctx, span)
	after, err := d.requestAll("read")
	if err != nil {
		return nil, err
	}
	seconds := time.Since(began).Seconds()
	type sums struct {
		processes                                            int
		cpu, rss, sent, received, out, in, disk, syncs, lost float64
	}
	roles := map[string]*sums{}
	start, confirm := newHistogram(), newHistogram()
	whole := map[string]float64{}
	for k, p := range d.processes {
		a, b := before[k], after[k]
		role := p.role
		// The leader's load isn't its fellows'.
		if role == "store" && b.State != nil && d.ledGroups(b) > 0 {
			role = "leader"
		}
		s := roles[role]
		if s == nil {
			s = &sums{}
			roles[role] = s
		}
		s.processes += b.Processes
		s.cpu += float64(b.CPUUs-a.CPUUs) / 1000 / seconds
		s.rss += float64(b.RssBytes) / (1 << 20)
		s.sent += float64(b.Wire.Sent-a.Wire.Sent) / seconds
		s.received += float64(b.Wire.Received-a.Wire.Received) / seconds
		s.out += float64(b.Wire.Bytes-a.Wire.Bytes) / seconds
		s.in += float64(b.Wire.BytesIn-a.Wire.BytesIn) / seconds
		s.disk += float64(b.StorageBytes-a.StorageBytes) / seconds
		s.syncs += float64(b.Syncs-a.Syncs) / seconds
		s.lost += float64(b.LostMessages - a.LostMessages + b.Wire.Lost - a.Wire.Lost)
		whole["starts_s"] += float64(b.Started-a.Started) / seconds
		whole["accepted_s"] += float64(b.Accepted-a.Accepted) / seconds
		whole["refused_s"] += float64(b.Refused-a.Refused) / seconds
		whole["running"] += float64(b.Running)
		start.Merge(hdrhistogram.Import(b.Start))
		confirm.Merge(hdrhistogram.Import(b.Confirm))
		whole["cpu_milli"] += float64(b.CPUUs-a.CPUUs) / 1000 / seconds
		if b.State != nil {
			records, live, kept := 0.0, 0.0, 0.0
			for _, group := range b.State.Groups {
				records += float64(group.Last - group.Released)
				live, kept = live+float64(group.LiveJobs), kept+float64(group.RetainedJobs)
			}
			whole["records"] = max(whole["records"], records)
			whole["live_jobs"], whole["kept_jobs"] = max(whole["live_jobs"], live), max(whole["kept_jobs"], kept)
		}
	}
	var list []measurement
	for role, s := range roles {
		n := float64(s.processes)
		list = append(list,
			measurement{role, "cpu_milli", s.cpu / n}, measurement{role, "rss_mb", s.rss / n}, measurement{role, "sent_s", s.sent / n},
			measurement{role, "received_s", s.received / n}, measurement{role, "bytes_out_s", s.out / n}, measurement{role, "bytes_in_s", s.in / n},
			measurement{role, "lost", s.lost},
		)
		if s.disk > 0 {
			list = append(list, measurement{role, "disk_bytes_s", s.disk / n}, measurement{role, "syncs_s", s.syncs / n})
		}
	}
	for what, amount := range whole {
		list = append(list, measurement{"whole", what, amount})
	}
	for name, spread := range map[string]*hdrhistogram.Histogram{"start": start, "confirm": confirm} {
		if spread.TotalCount() > 0 {
			list = append(list,
				measurement{"whole", name + "_p50_ms", float64(spread.ValueAtQuantile(50)) / 1000},
				measurement{"whole", name + "_p95_ms", float64(spread.ValueAtQuantile(95)) / 1000},
				measurement{"whole", name + "_p99_ms", float64(spread.ValueAtQuantile(99)) / 1000},
			)
		}
	}
	if spread, isAll := d.configLatency(after); spread.TotalCount() > 0 {
		list = append(list, measurement{"whole", "plan_p50_ms", float64(spread.ValueAtQuantile(50)) / 1000}, measurement{"whole", "plan_max_ms", float64(spread.Max()) / 1000})
		missed := 0.0
		if !isAll {
			missed = 1
		}
		list = append(list, measurement{"whole", "plan_missed", missed})
	}
	slices.SortFunc(list, func(a, b measurement) int { return cmp.Or(cmp.Compare(a.role, b.role), cmp.Compare(a.what, b.what)) })
	return list, ctx.Err()
}

func (d *hollowDeployment) ledGroups(reading *workerReport) int {
	count := 0
	for _, group := range reading.State.Groups {
		if group.Role == "leader" && group.Group != "clusterstate" {
			count++
		}
	}
	return count
}

// configLatency is how long each generation of the plan took from its put to the last
// side that has seen it. A generation that some side skipped for a newer one
// counts as not seen by all.
func (d *hollowDeployment) configLatency(readings []*workerReport) (*hdrhistogram.Histogram, bool) {
	spread, isAll := newHistogram(), true
	put, seen, by := map[uint64]int64{}, map[uint64]int64{}, map[uint64]int{}
	for _, reading := range readings {
		for generation, at := range reading.ConfigApplied {
			put[generation] = at
		}
		for generation, at := range reading.ConfigSeen {
			seen[generation] = max(seen[generation], at)
			by[generation] += reading.ConfigSeenBy[generation]
		}
	}
	for generation, at := range put {
		// The first ones are put while the sides still come up.
		if generation <= 1 || seen[generation] == 0 {
			continue
		}
		if by[generation] < d.config.Workers {
			isAll = false
			continue
		}
		_ = spread.RecordValue(min(max(seen[generation]-at, 1), 60_000_000))
	}
	return spread, isAll
}

// measureRecovery kills the leader, and tells how long it takes until a job that was
// handed in after that has a task that runs; the store comes back afterwards.
func (d *hollowDeployment) measureRecovery(ctx context.Context) (time.Duration, error) {
	readings, err := d.requestAll("read")
	if err != nil {
		return 0, err
	}
	var leader *workerProcess
	most := 0
	for k, reading := range readings {
		if reading.State != nil && d.ledGroups(reading) > most {
			leader, most = d.processes[k], d.ledGroups(reading)
		}
	}
	if leader == nil {
		return 0, errors.New("no leader to kill")
	}
	leader.kill()
	killed := time.Now().UnixMicro()
	sleep(ctx, 15*time.Second)
	if err := leader.start(d.config); err != nil {
		return 0, err
	}
	if readings, err = d.requestAll("read"); err != nil {
		return 0, err
	}
	first := int64(0)
	for _, reading := range readings {
		for _, begin := range reading.RecentStarts {
			if begin[0] > killed && (first == 0 || begin[1] < first) {
				first = begin[1]
			}
		}
	}
	if first == 0 {
		return 0, errors.New("nothing ran within 15 s of the kill")
	}
	return time.Duration(first-killed) * time.Microsecond, nil
}

// measurePlan is how a hollow deployment is looked at.
type measurePlan struct {
	warm, span time.Duration
	killLeader bool
}

// runHollow brings a hollow deployment up, measures it and takes it down.
func runHollow(ctx context.Context, setup hollowConfig, look measurePlan) ([]measurement, error) {
	folder, err := os.MkdirTemp("", "sparnotch-bench-hollow-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	setup.Folder = folder
	run, err := startHollow(&setup)
	if err != nil {
		return nil, err
	}
	defer run.stop()
	began := time.Now()
	if err := run.waitUntilReady(ctx, 90*time.Second); err != nil {
		return nil, err
	}
	up := time.Since(began)
	sleep(ctx, look.warm)
	list, err := run.measure(ctx, look.span)
	if err != nil {
		return nil, err
	}
	list = append(list, measurement{"whole", "up_ms", float64(up.Milliseconds())})
	if look.killLeader {
		took, err := run.measureRecovery(ctx)
		if err != nil {
			return nil, err
		}
		list = append(list, measurement{"whole", "recovery_ms", float64(took.Milliseconds())})
	}
	return list, nil
}

// --- the command ---

type hollowCommand struct {
	config       hollowConfig
	warm, span   time.Duration
	killLeader   bool
	part, text   string
	first, count int
}

func (*hollowCommand) Name() string { return "hollow" }
func (*hollowCommand) Synopsis() string {
	return "run hundreds of hollow processes against real stores, and say what each role costs"
}
func (*hollowCommand) Usage() string {
	return `sparnotch-bench hollow [-workers 100] [-queues 4] [-starts 20] [-changes 6] [-kill] ...
  Three stores with data, some fronts, sides that share a few processes of the
  operating system, and callers; the product's own tables and wire over loopback
  addresses. Workers run nothing: a task lasts run_us and is done. Prints what one
  process of each role costs, and what callers saw.
  Exit codes: 0 measured, 1 it didn't come up, 2 bad flags (the field is named).
`
}

func (c *hollowCommand) SetFlags(set *flag.FlagSet) {
	c.config.register(set)
	set.DurationVar(&c.warm, "warm", 5*time.Second, "let it run so long first")
	set.DurationVar(&c.span, "span", 15*time.Second, "how long it is measured")
	set.BoolVar(&c.killLeader, "kill", false, "kill the leader at the end, and measure the recovery")
	set.StringVar(&c.part, "part", "", "for its own parts")
	set.StringVar(&c.text, "setup", "", "for its own parts")
	set.IntVar(&c.first, "first", 0, "for its own parts")
	set.IntVar(&c.count, "count", 0, "for its own parts")
}

func (c *hollowCommand) Execute(ctx context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.part != "" {
		setup := &hollowConfig{}
		err := json.Unmarshal([]byte(c.text), setup)
		if err == nil {
			err = runHollowWorker(ctx, setup, c.part, c.first, c.count)
		}
		if err != nil {
			fmt.Fprintf(os.Stderr, "sparnotch-bench: part %s: %v\n", c.part, err)
			return 1
		}
		return 0
	}
	c.config.Regions = 1
	err := c.config.check()
	if err == nil && (c.span <= 0 || c.warm < 0) {
		err = errors.New("span and warm: must be above 0")
	}
	if err == nil && set.NArg() > 0 {
		err = fmt.Errorf("%s: is no flag", set.Arg(0))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench:", err)
		return 2
	}
	list, err := runHollow(ctx, c.config, measurePlan{c.warm, c.span, c.killLeader})
	if err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench:", err)
		return 1
	}
	for _, each := range list {
		fmt.Printf("%-7s %-14s %12.4g\n", each.role, each.what, each.amount)
	}
	return 0
}

// toMeasurements turns a run's outcomes into readings.
func toMeasurements(size string, value float64, repeat int, list []measurement) []capacity.Measurement {
	var readings []capacity.Measurement
	for _, each := range list {
		readings = append(readings, capacity.Measurement{Dimension: size, Level: value, Repeat: repeat, Role: each.role, Metric: each.what, Amount: each.amount})
	}
	return readings
}
