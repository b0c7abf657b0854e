package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/process"
	"sparnotch/internal/replica"
	"sparnotch/internal/transport"
)

const (
	maxHistogramMicros = 60_000_000
	maxRecentStarts    = 4096
	stateTimeout       = eventloop.Second
)

// newHistogram holds microseconds up to a minute, with three significant figures.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxHistogramMicros, 3) }

// recordMicros records a time, limited to the histogram's range.
func recordMicros(histogram *hdrhistogram.Histogram, micros int64) {
	_ = histogram.RecordValue(min(max(micros, 1), maxHistogramMicros))
}

// processReport is what a process of a hollow deployment reports, as JSON, for each line
// on its standard input. Counters grow from its start; times of the wall clock are in
// microseconds since 1970.
type processReport struct {
	Processes     int // nodes that it runs
	CPUUs         int64
	RssBytes      int64
	Wire          transport.Counts
	StorageBytes  uint64
	Syncs         uint64
	LostMessages  uint64
	Started       uint64 // tasks
	Running       int64
	Accepted      uint64 // jobs
	Refused       uint64
	Start         *hdrhistogram.Snapshot // microseconds from a job's submission to a task's start
	Confirm       *hdrhistogram.Snapshot // microseconds from a job's submission to its confirmation
	RecentStarts  []taskStart
	ConfigSeen    map[uint64]int64       // by revision, when the last node here got it
	ConfigSeenBy  map[uint64]int         // by revision, how many nodes here have got it
	ConfigApplied map[uint64]int64       // by revision, when its request was sent
	State         *replica.NodeStateView `json:",omitempty"` // of a storage node
}

// taskStart is a task's start, by the wall clock.
type taskStart struct{ SubmittedAt, StartedAt int64 }

// hollowProcess is one process of a hollow deployment: some nodes, or the clients.
type hollowProcess struct {
	config    *hollowConfig
	first     int // node
	count     int // of nodes
	processes []*process.Node
	networks  []*transport.Transport
	loops     []*eventloop.Loop

	started  atomic.Uint64
	running  atomic.Int64
	accepted atomic.Uint64
	refused  atomic.Uint64

	mu            sync.Mutex // guards what follows
	start         *hdrhistogram.Histogram
	confirm       *hdrhistogram.Histogram
	recentStarts  []taskStart
	configSeen    map[uint64]int64
	configSeenBy  map[uint64]int
	configApplied map[uint64]int64
}

// runHollowProcess runs a process of a role until its standard input ends.
func runHollowProcess(ctx context.Context, config *hollowConfig, role string, first, count int) error {
	p := &hollowProcess{
		config: config, first: first, count: count, start: newHistogram(), confirm: newHistogram(),
		configSeen: map[uint64]int64{}, configSeenBy: map[uint64]int{}, configApplied: map[uint64]int64{},
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := p.startRole(ctx, role); err != nil {
		return err
	}
	profiler := &cpuProfiler{}
	if config.Profile != "" {
		profiler.path = filepath.Join(config.Profile, fmt.Sprintf("%s%d.pprof", role, first))
	}
	requests := bufio.NewScanner(os.Stdin)
	reports := json.NewEncoder(os.Stdout)
	for requests.Scan() {
		report := p.report(ctx)
		profiler.stop()
		if requests.Text() == requestReset {
			p.resetHistograms()
			if err := profiler.start(); err != nil {
				return err
			}
		}
		if err := reports.Encode(report); err != nil {
			return err
		}
	}
	return nil
}

func (p *hollowProcess) startRole(ctx context.Context, role string) error {
	switch role {
	case roleStorage, roleGateway:
		return p.startNodes(role == roleStorage)
	case roleAgent:
		return p.startAgents(ctx)
	case roleClient:
		go p.submitJobs(ctx)
		go p.changeConfig(ctx)
		return nil
	}
	return fmt.Errorf("part: %q is none of %s, %s, %s, %s", role, roleStorage, roleGateway, roleAgent, roleClient)
}

func (p *hollowProcess) resetHistograms() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.start.Reset()
	p.confirm.Reset()
}

// recordStart records a task's start. Clients write the time of submission into the
// job's name, the only field of theirs that reaches the worker.
func (p *hollowProcess) recordStart(job string) {
	p.started.Add(1)
	submittedAt, err := strconv.ParseInt(job[strings.LastIndex(job, "-")+1:], 10, 64)
	if err != nil {
		return
	}
	now := time.Now().UnixMicro()
	p.mu.Lock()
	defer p.mu.Unlock()
	recordMicros(p.start, now-submittedAt)
	p.recentStarts = append(p.recentStarts, taskStart{submittedAt, now})
	if len(p.recentStarts) > maxRecentStarts {
		p.recentStarts = p.recentStarts[len(p.recentStarts)-maxRecentStarts/2:]
	}
}

// recordConfig records that a node has got a revision of the configuration.
func (p *hollowProcess) recordConfig(revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.configSeen[revision] = time.Now().UnixMicro()
	p.configSeenBy[revision]++
}

func (p *hollowProcess) report(ctx context.Context) *processReport {
	r := &processReport{Processes: p.count}
	r.addResources()
	for _, node := range p.processes {
		counts := node.Counts()
		r.addWire(counts.Transport)
		r.StorageBytes, r.Syncs = r.StorageBytes+counts.Storage.Bytes, r.Syncs+counts.Storage.Syncs
		r.addLost(counts.LostMessages)
		if node.Member.HasStorage {
			r.State, _ = node.Call(ctx, "replica", stateTimeout, func(id uint64, _ eventloop.Micros) any { return replica.StateViewRequest{Request: id} }).(*replica.NodeStateView)
		}
	}
	for _, network := range p.networks {
		r.addWire(network.Counts())
	}
	for _, loop := range p.loops {
		r.addLost(loop.Dropped())
	}
	r.Started, r.Running = p.started.Load(), p.running.Load()
	r.Accepted, r.Refused = p.accepted.Load(), p.refused.Load()
	p.mu.Lock()
	defer p.mu.Unlock()
	r.Start, r.Confirm = p.start.Export(), p.confirm.Export()
	r.RecentStarts = p.recentStarts
	r.ConfigSeen, r.ConfigSeenBy, r.ConfigApplied = maps.Clone(p.configSeen), maps.Clone(p.configSeenBy), maps.Clone(p.configApplied)
	return r
}

// addResources adds the processor time and the memory of this process.
func (r *processReport) addResources() {
	var used syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &used) == nil {
		r.CPUUs = used.Utime.Nano()/1000 + used.Stime.Nano()/1000
	}
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return
	}
	if fields := strings.Fields(string(data)); len(fields) > 1 {
		pages, _ := strconv.ParseInt(fields[1], 10, 64)
		r.RssBytes = pages * int64(os.Getpagesize())
	}
}

func (r *processReport) addWire(c transport.Counts) {
	r.Wire.Sent += c.Sent
	r.Wire.Received += c.Received
	r.Wire.Bytes += c.Bytes
	r.Wire.BytesIn += c.BytesIn
	r.Wire.Lost += c.Lost
	r.Wire.Dials += c.Dials
	r.Wire.Malformed += c.Malformed
}

// addLost adds the messages that components have lost, by component.
func (r *processReport) addLost(lost map[string]uint64) {
	for _, count := range lost {
		r.LostMessages += count
	}
}
