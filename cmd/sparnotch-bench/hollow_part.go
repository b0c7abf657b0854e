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

// partReading is what a part says of itself. Counts grow from its start.
type partReading struct {
	Processes    int
	CpuUs        int64
	RssBytes     int64
	Wire         transport.Counts
	StorageBytes uint64
	Syncs        uint64
	LostMails    uint64
	Begun        uint64 // tasks begun
	Ended        uint64
	Running      int64
	Accepted     uint64
	Refused      uint64
	Start        *hdrhistogram.Snapshot // microseconds from hand-in sent to task begun
	Confirm      *hdrhistogram.Snapshot // microseconds from hand-in sent to confirmed
	Begins       [][2]int64             // of the latest tasks begun: handed in at, begun at, by the wall
	Seen         map[uint64]int64       // plan generation: when the last process of this part saw it, by the wall
	SeenBy       map[uint64]int         // and how many did
	Put          map[uint64]int64       // when its put was sent
	Belief       *replica.NodeStateView `json:",omitempty"`
}

// newSpread holds microseconds up to a minute, to three figures.
func newSpread() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// part is what a part has counted.
type part struct {
	setup   *hollowSetup
	first   int
	count   int
	mu      sync.Mutex
	start   *hdrhistogram.Histogram
	confirm *hdrhistogram.Histogram
	begins  [][2]int64
	seen    map[uint64]int64
	seenBy  map[uint64]int
	put     map[uint64]int64
	begun   atomic.Uint64
	ended   atomic.Uint64
	running atomic.Int64
	taken   atomic.Uint64
	refused atomic.Uint64
	reals   []*process.Node
	nets    []*transport.Transport
	lost    []*eventloop.Process
}

const beginsKept = 4096

// sawBegin notes a task's start; callers write the time of the hand-in into
// the job's name, which is the one thing that reaches the worker.
func (p *part) sawBegin(name string) {
	p.begun.Add(1)
	words := strings.Split(name, "-")
	sent, err := strconv.ParseInt(words[len(words)-1], 10, 64)
	if err != nil {
		return
	}
	now := time.Now().UnixMicro()
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.start.RecordValue(min(max(now-sent, 1), 60_000_000))
	p.begins = append(p.begins, [2]int64{sent, now})
	if len(p.begins) > beginsKept {
		p.begins = p.begins[len(p.begins)-beginsKept/2:]
	}
}

func (p *part) sawPlan(generation uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen[generation] = time.Now().UnixMicro()
	p.seenBy[generation]++
}

func (p *part) reading(ctx context.Context) *partReading {
	r := &partReading{Processes: p.count}
	var used syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &used) == nil {
		r.CpuUs = used.Utime.Nano()/1000 + used.Stime.Nano()/1000
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
	for _, real := range p.reals {
		counts := real.Counts()
		add(counts.Transport)
		r.StorageBytes, r.Syncs = r.StorageBytes+counts.Storage.Bytes, r.Syncs+counts.Storage.Syncs
		for _, lost := range counts.LostMessages {
			r.LostMails += lost
		}
		if real.Member.HasStorage {
			r.Belief, _ = real.Call(ctx, "replica", eventloop.Second, func(id uint64, _ eventloop.Micros) any { return replica.GetStateView{Request: id} }).(*replica.NodeStateView)
		}
	}
	for _, net := range p.nets {
		add(net.Counts())
	}
	for _, running := range p.lost {
		for _, lost := range running.Dropped() {
			r.LostMails += lost
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r.Begun, r.Ended, r.Running = p.begun.Load(), p.ended.Load(), p.running.Load()
	r.Accepted, r.Refused = p.taken.Load(), p.refused.Load()
	r.Start, r.Confirm = p.start.Export(), p.confirm.Export()
	r.Begins = p.begins
	r.Seen, r.SeenBy, r.Put = map[uint64]int64{}, map[uint64]int{}, map[uint64]int64{}
	for generation, at := range p.seen {
		r.Seen[generation], r.SeenBy[generation] = at, p.seenBy[generation]
	}
	for generation, at := range p.put {
		r.Put[generation] = at
	}
	return r
}

// runPart carries a part until its standard input ends.
func runPart(ctx context.Context, setup *hollowSetup, role string, first, count int) error {
	p := &part{
		setup: setup, first: first, count: count, start: newSpread(), confirm: newSpread(),
		seen: map[uint64]int64{}, seenBy: map[uint64]int{}, put: map[uint64]int64{},
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var err error
	switch role {
	case "store", "front":
		err = p.startFronts(role == "store")
	case "side":
		err = p.startSides(ctx)
	case "caller":
		go p.call(ctx)
		go p.operate(ctx)
	default:
		err = fmt.Errorf("part: %q is none of store, front, side, caller", role)
	}
	if err != nil {
		return err
	}
	profile := &profiler{}
	if setup.Profile != "" {
		profile.path = filepath.Join(setup.Profile, fmt.Sprintf("%s%d.pprof", role, first))
	}
	lines := bufio.NewScanner(os.Stdin)
	out := json.NewEncoder(os.Stdout)
	for lines.Scan() {
		reading := p.reading(ctx)
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

// profiler writes where a part's processor time goes while it is measured.
type profiler struct {
	path string
	file *os.File
}

func (p *profiler) start() error {
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

func (p *profiler) stop() {
	if p.file != nil {
		pprof.StopCPUProfile()
		p.file.Close()
		p.file = nil
	}
}

// --- stores and fronts: whole processes ---

func (p *part) startFronts(isStore bool) error {
	for k := p.first; k < p.first+p.count; k++ {
		options := &schema.Settings{
			Cell: p.setup.cell(k), Inner: p.setup.address(k, 7400), Outer: p.setup.address(k, 8400), Seeds: p.setup.seeds(), WarnUs: 1_000_000,
		}
		if isStore {
			options.Data, options.TestSyncUs, options.First = fmt.Sprintf("%s/store%d", p.setup.Folder, k), p.setup.SyncUs, true
		}
		real, err := process.Start(options, schema.Role_ROLE_SERVER, zap.NewNop())
		if err != nil {
			return err
		}
		if _, err := httpapi.Serve(real, zap.NewNop()); err != nil {
			return err
		}
		p.reals = append(p.reals, real)
	}
	return nil
}

// --- sides: the controller's tables, and an agent with a worker that is hollow ---

// hollowNet carries what leaves a hollow running's tables.
type hollowNet struct {
	id      string
	net     *transport.Transport
	book    *membership.AddressBook
	running *eventloop.Process
}

func (n *hollowNet) Send(to string, body any)         { n.net.SendTo(to, n.book.Address(to), body) }
func (n *hollowNet) Dial(address string, body any)    { n.net.Send(address, body) }
func (n *hollowNet) Notify(table string, body any)    { n.running.Notify(table, body) }
func (n *hollowNet) Respond(request uint64, body any) {}

func (n *hollowNet) deliver(from string, body any) {
	for _, table := range hollow.ComponentsFor(body) {
		n.running.Post(table, eventloop.Message{From: from, Body: body})
	}
}

func (p *part) startSides(ctx context.Context) error {
	for k := p.first; k < p.first+p.count; k++ {
		if err := p.startSide(ctx, k); err != nil {
			return err
		}
	}
	return nil
}

func (p *part) startSide(ctx context.Context, k int) error {
	host := sidesFrom + k
	clock := eventloop.RealClock()
	seed := rand.Uint64()
	member := &schema.Member{
		Id: fmt.Sprintf("%016x", seed), Incarnation: 1, Role: schema.Role_ROLE_CONTROLLER, Zone: p.setup.cell(k),
		InternalAddress: p.setup.address(host, 7400), HttpAddress: p.setup.address(host, 8400),
	}
	book := &membership.AddressBook{}
	papers := &process.Config{Member: member, Seeds: p.setup.seeds(), AddressBook: book, WallClock: clock.Wall, RandomSeed: seed, Now: clock.Now()}
	running := eventloop.NewProcess(clock)
	out := &hollowNet{id: member.Id, book: book, running: running}
	running.Outbound = out
	for _, berth := range process.ControllerComponents(papers) {
		// Beyond the controllers wanted, a side is only its agent and the book.
		if berth.Name == "controller" && p.setup.Controllers > 0 && k >= p.setup.Controllers {
			running.Add(berth.Name, &hollow.StatePoller{}, hollow.StatePollInterval)
			continue
		}
		running.Add(berth.Name, berth.Component, berth.TickInterval)
	}
	name := fmt.Sprintf("w%04d", k)
	watch := hollow.Hooks{
		OnStart: func(_ eventloop.Micros, job string, _, _ uint32) {
			p.running.Add(1)
			p.sawBegin(job)
		},
		OnEnd: func() {
			p.running.Add(-1)
			p.ended.Add(1)
		},
		OnConfig: func(_ eventloop.Micros, generation uint64) { p.sawPlan(generation) },
	}
	rack := fmt.Sprintf("r%d", k/p.setup.PerRack)
	room := hollow.Resources{Cores: 64_000, Memory: 128_000}
	running.Add(hollow.AgentName, hollow.New(clock.Now(), name, rack, room, uint64(time.Now().UnixMicro()), rand.New(rand.NewPCG(seed, 2)), watch), hollow.AgentTickInterval)
	net, err := transport.Listen(transport.Identity{ID: member.Id, Boot: member.Incarnation}, member.InternalAddress, out.deliver)
	if err != nil {
		return err
	}
	out.net = net
	p.nets, p.lost = append(p.nets, net), append(p.lost, running)
	running.Run(ctx)
	return nil
}

// --- callers and the operator ---

type stepShape struct {
	Name       string `json:"name"`
	Tasks      int    `json:"tasks"`
	CoresMilli int    `json:"cores_milli"`
	MemoryMb   int    `json:"memory_mb"`
	Together   bool   `json:"together,omitempty"`
}

func (p *part) send(ctx context.Context, client *http.Client, method, path string, body []byte) (int, []byte) {
	address := p.setup.address(p.setup.frontOf(rand.IntN(1<<30)), 8400)
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

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}}
}

const callersMost = 256 // hand-ins under way at once

// call hands in jobs at the wanted rate; each is one step of Width tasks.
func (p *part) call(ctx context.Context) {
	if p.setup.Starts <= 0 {
		return
	}
	client := newClient()
	gate := make(chan bool, callersMost)
	rng := rand.New(rand.NewPCG(7, 8))
	every := float64(p.setup.Width) / p.setup.Starts * float64(time.Second)
	next := time.Now()
	for number := 0; ctx.Err() == nil; number++ {
		next = next.Add(time.Duration(rng.ExpFloat64() * every))
		rest(ctx, time.Until(next))
		select {
		case gate <- true:
		case <-ctx.Done():
			return
		}
		go func() {
			defer func() { <-gate }()
			sent := time.Now()
			queue := queueName(number % p.setup.Queues)
			body, _ := json.Marshal(map[string]any{
				"text":  fmt.Sprintf("run_us=%d", p.setup.RunUs),
				"steps": []stepShape{{Name: "s", Tasks: p.setup.Width, CoresMilli: 10, MemoryMb: 1, Together: p.setup.Together}},
			})
			path := fmt.Sprintf("/v1/queues/%s/jobs/h%d-%d", queue, number, sent.UnixMicro())
			for ctx.Err() == nil {
				code, _ := p.send(ctx, client, "PUT", path, body)
				if code == 200 || code == 201 {
					p.taken.Add(1)
					p.mu.Lock()
					_ = p.confirm.RecordValue(min(time.Since(sent).Microseconds(), 60_000_000))
					p.mu.Unlock()
					return
				}
				p.refused.Add(1)
				if code != 0 && code < 500 && code != 429 && code != 404 {
					fmt.Fprintln(os.Stderr, "sparnotch-bench: a hand-in is turned away:", code)
					return
				}
				rest(ctx, 100*time.Millisecond)
			}
		}()
	}
}

func queueName(k int) string { return fmt.Sprintf("l%03d", k) }

// rows is the plan: its queues, racks to fill it up, and one row that changes.
func (s *hollowSetup) rows(change int) []*schema.ConfigurationRow {
	rows := []*schema.ConfigurationRow{{Kind: "fleet", Key: "live_jobs", Value: "1000000"}, {Kind: "fleet", Key: "window", Value: "65536"}}
	for k := 0; k < s.Queues; k++ {
		rows = append(rows, &schema.ConfigurationRow{Kind: "queue", Name: queueName(k), Key: "urgency", Value: "50"})
	}
	for k := len(rows); k < s.Rows; k++ {
		rows = append(rows, &schema.ConfigurationRow{Kind: "rack", Name: fmt.Sprintf("x%04d", k), Key: "weight", Value: "100"})
	}
	return append(rows, &schema.ConfigurationRow{Kind: "fleet", Key: "weight_rack", Value: strconv.Itoa(30 + change%10)})
}

// operate puts the plan, and then changes it at the wanted pace.
func (p *part) operate(ctx context.Context) {
	client := newClient()
	every := time.Hour
	if p.setup.Changes > 0 {
		every = time.Duration(float64(time.Minute) / p.setup.Changes)
	}
	for change := 0; ctx.Err() == nil; change++ {
		for ctx.Err() == nil {
			code, data := p.send(ctx, client, "GET", "/v1/plan", nil)
			plan := &schema.Configuration{}
			if code == 200 && protojson.Unmarshal(data, plan) == nil {
				body, _ := json.Marshal(map[string]any{"generation": plan.Revision, "rows": p.setup.rows(change)})
				sent := time.Now().UnixMicro()
				if code, _ = p.send(ctx, client, "PUT", "/v1/plan", body); code == 200 {
					p.mu.Lock()
					p.put[plan.Revision+1] = sent
					p.mu.Unlock()
					break
				}
			}
			rest(ctx, 100*time.Millisecond)
		}
		rest(ctx, every)
	}
}
