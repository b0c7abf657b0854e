package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"runtime/pprof"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protojson"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/hollow"
	"sparnotch/internal/httpapi"
	"sparnotch/internal/membership"
	"sparnotch/internal/process"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
	"sparnotch/internal/transport"
)

// A part is one operating system's process of a hollow deployment. It carries
// some hollow processes, and answers each line on its standard input with one
// line of JSON: what it has done so far.

// workerReport is what a part says of itself. Counts grow from its start.
type workerReport struct {
	Processes     int
	CPUUs         int64
	RssBytes      int64
	Wire          transport.Counts
	StorageBytes  uint64
	Syncs         uint64
	LostMessages  uint64
	Started       uint64 // tasks begun
	Ended         uint64
	Running       int64
	Accepted      uint64
	Refused       uint64
	Start         *hdrhistogram.Snapshot // microseconds from hand-in sent to task begun
	Confirm       *hdrhistogram.Snapshot // microseconds from hand-in sent to confirmed
	RecentStarts  [][2]int64             // of the latest tasks begun: handed in at, begun at, by the wall
	ConfigSeen    map[uint64]int64       // plan generation: when the last process of this part saw it, by the wall
	ConfigSeenBy  map[uint64]int         // and how many did
	ConfigApplied map[uint64]int64       // when its put was sent
	State         *replica.NodeStateView `json:",omitempty"`
}

// newHistogram holds microseconds up to a minute, to three figures.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// hollowWorker is what a part has counted.
type hollowWorker struct {
	config        *hollowConfig
	first         int
	count         int
	mu            sync.Mutex
	start         *hdrhistogram.Histogram
	confirm       *hdrhistogram.Histogram
	recentStarts  [][2]int64
	configSeen    map[uint64]int64
	configSeenBy  map[uint64]int
	configApplied map[uint64]int64
	started       atomic.Uint64
	ended         atomic.Uint64
	running       atomic.Int64
	accepted      atomic.Uint64
	refused       atomic.Uint64
	processes     []*process.Node
	networks      []*transport.Transport
	loops         []*eventloop.Process
}

const maxRecentStarts = 4096

// recordStart notes a task's start; callers write the time of the hand-in into
// the job's name, which is the one thing that reaches the worker.
func (w *hollowWorker) recordStart(name string) {
	w.started.Add(1)
	words := strings.Split(name, "-")
	sent, err := strconv.ParseInt(words[len(words)-1], 10, 64)
	if err != nil {
		return
	}
	now := time.Now().UnixMicro()
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.start.RecordValue(min(max(now-sent, 1), 60_000_000))
	w.recentStarts = append(w.recentStarts, [2]int64{sent, now})
	if len(w.recentStarts) > maxRecentStarts {
		w.recentStarts = w.recentStarts[len(w.recentStarts)-maxRecentStarts/2:]
	}
}

func (w *hollowWorker) recordConfig(generation uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.configSeen[generation] = time.Now().UnixMicro()
	w.configSeenBy[generation]++
}

func (w *hollowWorker) report(ctx context.Context) *workerReport {
	r := &workerReport{Processes: w.count}
	var used syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &used) == nil {
		r.CPUUs = used.Utime.Nano()/1000 + used.Stime.Nano()/1000
	}
	if data, err := os.ReadFile("/proc/self/statm"); err == nil {
		if words := strings.Fields(string(data)); len(words) > 1 {
			pages, _ := strconv.ParseInt(words[1], 10, 64)
			r.RssBytes = pages * int64(os.Getpagesize())
		}
	}
	add := func(c transport.Counts) {
		r.Wire.Sent += c.Sent
		r.Wire.Received += c.Received
		r.Wire.Bytes += c.Bytes
		r.Wire.BytesIn += c.BytesIn
		r.Wire.Lost += c.Lost
		r.Wire.Dials += c.Dials
		r.Wire.Garbage += c.Garbage
	}
	for _, real := range w.processes {
		counts := real.Counts()
		add(counts.Transport)
		r.StorageBytes, r.Syncs = r.StorageBytes+counts.Storage.Bytes, r.Syncs+counts.Storage.Syncs
		for _, lost := range counts.LostMessages {
			r.LostMessages += lost
		}
		if real.Member.HasStorage {
			r.State, _ = real.Call(ctx, "replica", eventloop.Second, func(id uint64, _ eventloop.Micros) any { return replica.GetStateView{Request: id} }).(*replica.NodeStateView)
		}
	}
	for _, net := range w.networks {
		add(net.Counts())
	}
	for _, running := range w.loops {
		for _, lost := range running.Dropped() {
			r.LostMessages += lost
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r.Started, r.Ended, r.Running = w.started.Load(), w.ended.Load(), w.running.Load()
	r.Accepted, r.Refused = w.accepted.Load(), w.refused.Load()
	r.Start, r.Confirm = w.start.Export(), w.confirm.Export()
	r.RecentStarts = w.recentStarts
	r.ConfigSeen, r.ConfigSeenBy, r.ConfigApplied = map[uint64]int64{}, map[uint64]int{}, map[uint64]int64{}
	for generation, at := range w.configSeen {
		r.ConfigSeen[generation], r.ConfigSeenBy[generation] = at, w.configSeenBy[generation]
	}
	for generation, at := range w.configApplied {
		r.ConfigApplied[generation] = at
	}
	return r
}

// runHollowWorker carries a part until its standard input ends.
func runHollowWorker(ctx context.Context, setup *hollowConfig, role string, first, count int) error {
	p := &hollowWorker{
		config: setup, first: first, count: count, start: newHistogram(), confirm: newHistogram(),
		configSeen: map[uint64]int64{}, configSeenBy: map[uint64]int{}, configApplied: map[uint64]int64{},
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var err error
	switch role {
	case "store", "front":
		err = p.startNodes(role == "store")
	case "side":
		err = p.startAgents(ctx)
	case "caller":
		go p.submitJobs(ctx)
		go p.changeConfig(ctx)
	default:
		err = fmt.Errorf("part: %q is none of store, front, side, caller", role)
	}
	if err != nil {
		return err
	}
	profile := &cpuProfiler{}
	if setup.Profile != "" {
		profile.path = filepath.Join(setup.Profile, fmt.Sprintf("%s%d.pprof", role, first))
	}
	lines := bufio.NewScanner(os.Stdin)
	out := json.NewEncoder(os.Stdout)
	for lines.Scan() {
		reading := p.report(ctx)
		profile.stop()
		if lines.Text() == "reset" {
			p.mu.Lock()
			p.start.Reset()
			p.confirm.Reset()
			p.mu.Unlock()
			if err := profile.start(); err != nil {
				return err
			}
		}
		if err := out.Encode(reading); err != nil {
			return err
		}
	}
	return nil
}

// cpuProfiler writes where a part's processor time goes while it is measured.
type cpuProfiler struct {
	path string
	file *os.File
}

func (p *cpuProfiler) start() error {
	if p.path == "" {
		return nil
	}
	file, err := os.Create(p.path)
	if err != nil {
		return err
	}
	p.file = file
	return pprof.StartCPUProfile(file)
}

func (p *cpuProfiler) stop() {
	if p.file != nil {
		pprof.StopCPUProfile()
		p.file.Close()
		p.file = nil
	}
}

// --- stores and fronts: whole processes ---

func (w *hollowWorker) startNodes(isStore bool) error {
	for k := w.first; k < w.first+w.count; k++ {
		options := &schema.Settings{
			Cell: w.config.cell(k), Inner: w.config.address(k, 7400), Outer: w.config.address(k, 8400), Seeds: w.config.seeds(), WarnUs: 1_000_000,
		}
		if isStore {
			options.Data, options.TestSyncUs, options.First = fmt.Sprintf("%s/store%d", w.config.Folder, k), w.config.SyncUs, true
		}
		real, err := process.Start(options, schema.Role_ROLE_SERVER, zap.NewNop())
		if err != nil {
			return err
		}
		if _, err := httpapi.Serve(real, zap.NewNop()); err != nil {
			return err
		}
		w.processes = append(w.processes, real)
	}
	return nil
}

// --- sides: the controller's tables, and an agent with a worker that is hollow ---

// hollowEffects carries what leaves a hollow running's tables.
type hollowEffects struct {
	id      string
	network *transport.Transport
	members *membership.AddressBook
	loop    *eventloop.Process
}

func (e *hollowEffects) Send(to string, body any)          { e.network.SendTo(to, e.members.Address(to), body) }
func (e *hollowEffects) Dial(address string, body any)     { e.network.Send(address, body) }
func (e *hollowEffects) Notify(component string, body any) { e.loop.Notify(component, body) }
func (e *hollowEffects) Respond(request uint64, body any)  {}

func (e *hollowEffects) deliver(from string, body any) {
	for _, component := range hollow.ComponentsFor(body) {
		e.loop.Post(component, eventloop.Message{From: from, Body: body})
	}
}

func (w *hollowWorker) startAgents(ctx context.Context) error {
	for k := w.first; k < w.first+w.count; k++ {
		if err := w.startAgent(ctx, k); err != nil {
			return err
		}
	}
	return nil
}

func (w *hollowWorker) startAgent(ctx context.Context, k int) error {
	host := firstAgentHost + k
	clock := eventloop.RealClock()
	seed := rand.Uint64()
	member := &schema.Member{
		Id: fmt.Sprintf("%016x", seed), Incarnation: 1, Role: schema.Role_ROLE_CONTROLLER, Zone: w.config.cell(k),
		InternalAddress: w.config.address(host, 7400), HttpAddress: w.config.address(host, 8400),
	}
	members := &membership.AddressBook{}
	processConfig := &process.Config{Member: member, Seeds: w.config.seeds(), AddressBook: members, WallClock: clock.Wall, RandomSeed: seed, Now: clock.Now()}
	loop := eventloop.NewProcess(clock)
	effects := &hollowEffects{id: member.Id, members: members, loop: loop}
	loop.Outbound = effects
	for _, slot := range process.ControllerComponents(processConfig) {
		// Beyond the controllers wanted, a side is only its agent and the book.
		if slot.Name == "controller" && w.config.Controllers > 0 && k >= w.config.Controllers {
			loop.Add(slot.Name, &hollow.StatePoller{}, hollow.StatePollInterval)
			continue
		}
		loop.Add(slot.Name, slot.Component, slot.TickInterval)
	}
	name := fmt.Sprintf("w%04d", k)
	hooks := hollow.Hooks{
		OnStart: func(_ eventloop.Micros, job string, _, _ uint32) {
			w.running.Add(1)
			w.recordStart(job)
		},
		OnEnd: func() {
			w.running.Add(-1)
			w.ended.Add(1)
		},
		OnConfig: func(_ eventloop.Micros, generation uint64) { w.recordConfig(generation) },
	}
	rack := fmt.Sprintf("r%d", k/w.config.PerRack)
	resources := hollow.Resources{Cores: 64_000, Memory: 128_000}
	loop.Add(hollow.AgentName, hollow.New(clock.Now(), name, rack, resources, uint64(time.Now().UnixMicro()), rand.New(rand.NewPCG(seed, 2)), hooks), hollow.AgentTickInterval)
	net, err := transport.Listen(transport.Identity{ID: member.Id, Boot: member.Incarnation}, member.InternalAddress, effects.deliver)
	if err != nil {
		return err
	}
	effects.network = net
	w.networks, w.loops = append(w.networks, net), append(w.loops, loop)
	loop.Run(ctx)
	return nil
}

// --- callers and the operator ---

type stepSpec struct {
	Name       string `json:"name"`
	Tasks      int    `json:"tasks"`
	CoresMilli int    `json:"cores_milli"`
	MemoryMb   int    `json:"memory_mb"`
	Together   bool   `json:"together,omitempty"`
}

func (w *hollowWorker) send(ctx context.Context, client *http.Client, method, path string, body []byte) (int, []byte) {
	address := w.config.address(w.config.gatewayHost(rand.IntN(1<<30)), 8400)
	ctx, cancel := context.WithTimeout(ctx, 8*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Sparnotch-Client", "c"+strconv.Itoa(rand.IntN(16)))
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(io.LimitReader(response.Body, 16<<20))
	return response.StatusCode, data
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}}
}

const maxOpenSubmissions = 256 // hand-ins under way at once

// submitJobs hands in jobs at the wanted rate; each is one step of Width tasks.
func (w *hollowWorker) submitJobs(ctx context.Context) {
	if w.config.StartsPerSecond <= 0 {
		return
	}
	client := newHTTPClient()
	gate := make(chan bool, maxOpenSubmissions)
	rng := rand.New(rand.NewPCG(7, 8))
	every := float64(w.config.Width) / w.config.StartsPerSecond * float64(time.Second)
	next := time.Now()
	for number := 0; ctx.Err() == nil; number++ {
		next = next.Add(time.Duration(rng.ExpFloat64() * every))
		sleep(ctx, time.Until(next))
		select {
		case gate <- true:
		case <-ctx.Done():
			return
		}
		go func() {
			defer func() { <-gate }()
			sent := time.Now()
			queue := queueName(number % w.config.Queues)
			body, _ := json.Marshal(map[string]any{
				"text":  fmt.Sprintf("run_us=%d", w.config.RunUs),
				"steps": []stepSpec{{Name: "s", Tasks: w.config.Width, CoresMilli: 10, MemoryMb: 1, Together: w.config.Gang}},
			})
			path := fmt.Sprintf("/v1/queues/%s/jobs/h%d-%d", queue, number, sent.UnixMicro())
			for ctx.Err() == nil {
				code, _ := w.send(ctx, client, "PUT", path, body)
				if code == 200 || code == 201 {
					w.accepted.Add(1)
					w.mu.Lock()
					_ = w.confirm.RecordValue(min(time.Since(sent).Microseconds(), 60_000_000))
					w.mu.Unlock()
					return
				}
				w.refused.Add(1)
				if code != 0 && code < 500 && code != 429 && code != 404 {
					fmt.Fprintln(os.Stderr, "sparnotch-bench: a hand-in is turned away:", code)
					return
				}
				sleep(ctx, 100*time.Millisecond)
			}
		}()
	}
}

func queueName(k int) string { return fmt.Sprintf("l%03d", k) }

// rows is the plan: its queues, racks to fill it up, and one row that changes.
func (c *hollowConfig) rows(change int) []*schema.ConfigurationRow {
	rows := []*schema.ConfigurationRow{{Kind: "fleet", Key: "live_jobs", Value: "1000000"}, {Kind: "fleet", Key: "window", Value: "65536"}}
	for k := 0; k < c.Queues; k++ {
		rows = append(rows, &schema.ConfigurationRow{Kind: "queue", Name: queueName(k), Key: "urgency", Value: "50"})
	}
	for k := len(rows); k < c.Rows; k++ {
		rows = append(rows, &schema.ConfigurationRow{Kind: "rack", Name: fmt.Sprintf("x%04d", k), Key: "weight", Value: "100"})
	}
	return append(rows, &schema.ConfigurationRow{Kind: "fleet", Key: "weight_rack", Value: strconv.Itoa(30 + change%10)})
}

// changeConfig puts the plan, and then changes it at the wanted pace.
func (w *hollowWorker) changeConfig(ctx context.Context) {
	client := newHTTPClient()
	every := time.Hour
	if w.config.ChangesPerMinute > 0 {
		every = time.Duration(float64(time.Minute) / w.config.ChangesPerMinute)
	}
	for change := 0; ctx.Err() == nil; change++ {
		for ctx.Err() == nil {
			code, data := w.send(ctx, client, "GET", "/v1/plan", nil)
			plan := &schema.Configuration{}
			if code == 200 && protojson.Unmarshal(data, plan) == nil {
				body, _ := json.Marshal(map[string]any{"generation": plan.Revision, "rows": w.config.rows(change)})
				sent := time.Now().UnixMicro()
				if code, _ = w.send(ctx, client, "PUT", "/v1/plan", body); code == 200 {
					w.mu.Lock()
					w.configApplied[plan.Revision+1] = sent
					w.mu.Unlock()
					break
				}
			}
			sleep(ctx, 100*time.Millisecond)
		}
		sleep(ctx, every)
	}
}
