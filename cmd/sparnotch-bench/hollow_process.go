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

// newHistogram returns a histogram of microseconds, up to one minute, with three significant
// figures.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxHistogramMicros, 3) }

// recordMicros records a duration in a histogram, limited to the range of the histogram.
func recordMicros(histogram *hdrhistogram.Histogram, micros int64) {
	_ = histogram.RecordValue(min(max(micros, 1), maxHistogramMicros))
}

// processReport is the answer of a process of a hollow deployment to a request. It is
// written as JSON. Counters start at 0 when the process starts. Points in time are read
// from the wall clock, in microseconds since 1970.
type processReport struct {
	Processes     int                    // number of nodes in the process
	CPUUs         int64                  // processor time used
	RssBytes      int64                  // resident memory
	Wire          transport.Counts       // of all nodes together
	StorageBytes  uint64                 // bytes written to storage
	Syncs         uint64                 // syncs of storage
	LostMessages  uint64                 // messages that components have lost
	Started       uint64                 // task starts
	Running       int64                  // tasks that run now
	Accepted      uint64                 // accepted jobs
	Refused       uint64                 // submissions that were refused or not answered
	Start         *hdrhistogram.Snapshot // microseconds from a job's submission to a task's start
	Confirm       *hdrhistogram.Snapshot // microseconds from a job's submission to its confirmation
	RecentStarts  []taskStart            // the latest task starts, at most maxRecentStarts
	ConfigSeen    map[uint64]int64       // by revision: time when the last of the process's nodes received it
	ConfigSeenBy  map[uint64]int         // by revision: number of the process's nodes that have received it
	ConfigApplied map[uint64]int64       // by revision: time when the request to apply it was sent
	State         *replica.NodeStateView `json:",omitempty"` // of a storage node; nil: not available
}

// taskStart holds the times of a job's submission and of the start of one of its tasks, in
// microseconds since 1970.
type taskStart struct{ SubmittedAt, StartedAt int64 }

// hollowProcess is one process of a hollow deployment, with some of its nodes or its clients.
type hollowProcess struct {
	config    *hollowConfig
	first     int // index of its first node
	count     int // number of its nodes
	processes []*process.Node
	networks  []*transport.Transport
	loops     []*eventloop.Loop

	started  atomic.Uint64
	running  atomic.Int64
	accepted atomic.Uint64
	refused  atomic.Uint64

	mu               sync.Mutex // guards the fields below, which processReport explains
	startLatencies   *hdrhistogram.Histogram
	confirmLatencies *hdrhistogram.Histogram
	recentStarts     []taskStart
	configSeen       map[uint64]int64
	configSeenBy     map[uint64]int
	configApplied    map[uint64]int64
}

// runHollowProcess runs this process in a role of a hollow deployment. It writes a report for
// each line on its standard input, until that ends.
func runHollowProcess(ctx context.Context, config *hollowConfig, role string, first, count int) error {
	p := &hollowProcess{
		config: config, first: first, count: count, startLatencies: newHistogram(), confirmLatencies: newHistogram(),
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

// startRole starts the nodes or the clients of a role.
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
	return fmt.Errorf("part: %q is not one of the roles %s, %s, %s and %s", role, roleStorage, roleGateway, roleAgent, roleClient)
}

func (p *hollowProcess) resetHistograms() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startLatencies.Reset()
	p.confirmLatencies.Reset()
}

// recordStart records the start of a task. The job's name contains the time of its
// submission, because the name is the only field set by the client that reaches the worker.
func (p *hollowProcess) recordStart(job string) {
	p.started.Add(1)
	submittedAt, err := strconv.ParseInt(job[strings.LastIndex(job, "-")+1:], 10, 64)
	if err != nil {
		return
	}
	now := time.Now().UnixMicro()
	p.mu.Lock()
	defer p.mu.Unlock()
	recordMicros(p.startLatencies, now-submittedAt)
	p.recentStarts = append(p.recentStarts, taskStart{submittedAt, now})
	if len(p.recentStarts) > maxRecentStarts {
		p.recentStarts = p.recentStarts[len(p.recentStarts)-maxRecentStarts/2:]
	}
}

// recordConfig records that a node has received a revision of the configuration.
func (p *hollowProcess) recordConfig(revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.configSeen[revision] = time.Now().UnixMicro()
	p.configSeenBy[revision]++
}

// report returns the current report of this process.
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
	r.Start, r.Confirm = p.startLatencies.Export(), p.confirmLatencies.Export()
	r.RecentStarts = p.recentStarts
	r.ConfigSeen, r.ConfigSeenBy, r.ConfigApplied = maps.Clone(p.configSeen), maps.Clone(p.configSeenBy), maps.Clone(p.configApplied)
	return r
}

// addResources sets the processor time and the resident memory of this process. It leaves
// out a value that can't be read.
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

// addWire adds the counts of one node's transport.
func (r *processReport) addWire(counts transport.Counts) {
	r.Wire.Sent += counts.Sent
	r.Wire.Received += counts.Received
	r.Wire.Bytes += counts.Bytes
	r.Wire.BytesIn += counts.BytesIn
	r.Wire.Lost += counts.Lost
	r.Wire.Dials += counts.Dials
	r.Wire.Malformed += counts.Malformed
}

// addLost adds the numbers of messages that components have lost. The map's keys are the
// names of the components.
func (r *processReport) addLost(lost map[string]uint64) {
	for _, count := range lost {
		r.LostMessages += count
	}
}
