package sim

import (
	"fmt"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/gateway"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// Outage is how long callers went unserved around one loss: the longest times
// between two acknowledged replaces and two acknowledged hand-ins, from shortly
// before the loss until long after it.
type Outage struct {
	Loss            string
	Replace, Submit eventloop.Micros
}

const (
	// probes are sent much more often than a caller would, and to each front in
	// turn, so that what is measured is the system's part and not the callers'.
	replaceProbeInterval = 50 * eventloop.Millisecond
	submitProbeInterval  = 50 * eventloop.Millisecond
	replaceProbeTimeout  = eventloop.Second
	submitProbeTimeout   = 3 * eventloop.Second
	processRestartDelay  = 550 * eventloop.Millisecond // until a killed process is started again
	outageWarmUp         = 4 * eventloop.Second
	outageObservation    = 14 * eventloop.Second
)

// ControlLoss is a loss of a part of the control side.
type ControlLoss struct {
	Name   string
	inject func(f *Fleet)
}

// ControlLosses are those whose outages are measured. All but the last two are
// single losses that a deployment tolerates.
var ControlLosses = []ControlLoss{
	{"leader killed", func(f *Fleet) { f.kill(f.host("leader"), processRestartDelay) }},
	{"leader without power 5 s", func(f *Fleet) { f.kill(f.host("leader"), 5*eventloop.Second) }},
	{"leader frozen 5 s", func(f *Fleet) { f.freeze(f.host("leader"), 5*eventloop.Second) }},
	{"leader cut off 8 s", func(f *Fleet) { f.isolate(f.host("leader"), 8*eventloop.Second) }},
	{"leader mute 8 s", func(f *Fleet) { f.isolateOneWay(f.host("leader"), 8*eventloop.Second, true) }},
	{"leader deaf 8 s", func(f *Fleet) { f.isolateOneWay(f.host("leader"), 8*eventloop.Second, false) }},
	{"leader's disk hangs 5 s", func(f *Fleet) { f.host("leader").StallUntil = f.Now + 5*eventloop.Second }},
	{"leader replaced", func(f *Fleet) { f.replace(f.host("leader")) }},
	{"follower killed", func(f *Fleet) { f.kill(f.follower(), processRestartDelay) }},
	{"controller lost", func(f *Fleet) { f.kill(f.controllerHost(), 10*eventloop.Second) }},
	{"leader and controller lost", func(f *Fleet) {
		leader, controller := f.host("leader"), f.controllerHost()
		f.kill(leader, 5*eventloop.Second)
		f.kill(controller, 10*eventloop.Second)
	}},
	{"core killed", func(f *Fleet) {
		for _, h := range f.StorageNodes() {
			f.kill(h, processRestartDelay)
		}
	}},
	{"all killed", func(f *Fleet) {
		for _, h := range f.Hosts {
			f.kill(h, processRestartDelay)
		}
	}},
}

// follower is a store that leads nothing.
func (f *Fleet) follower() *Host {
	leader := f.Leader()
	for _, h := range f.StorageNodes() {
		if h.IsUp && h != leader {
			return h
		}
	}
	return f.Hosts[0]
}

// MeasureOutage brings a loss about in a deployment with called workers, under
// its load.
func MeasureOutage(loss ControlLoss, size FleetSpec, seed uint64) Outage {
	f := NewFleet(seed, size, ReliableNetwork, 500, outageWarmUp+outageObservation)
	replaces, handIns := &probes{fleet: f}, &probes{fleet: f}
	until := f.LoadStart + outageWarmUp + outageObservation
	f.At(f.LoadStart+2*eventloop.Second, func() {
		replaces.readAndReplace(until)
		handIns.submit(until)
	})
	// Not at a round moment: beats and leases are then at any stage.
	struck := f.LoadStart + outageWarmUp + eventloop.Micros(f.Rng.Int64N(int64(eventloop.Second)))
	f.At(struck, func() { loss.inject(f) })
	f.Run(until)
	return Outage{loss.Name, replaces.longestGap(struck, until), handIns.longestGap(struck, until)}
}

// probes are callers of one kind, and when they were served.
type probes struct {
	fleet       *Fleet
	served      []eventloop.Micros
	lastGateway int
	submitted   int
}

// gateway is each front in turn, whether it is up or not.
func (p *probes) nextGateway() *Host {
	gateways := p.fleet.Gateways()
	p.lastGateway++
	return gateways[p.lastGateway%len(gateways)]
}

// longestGap is the longest time without a served one, from the last before a
// moment on.
func (p *probes) longestGap(from, until eventloop.Micros) eventloop.Micros {
	longest, last := eventloop.Micros(0), from
	for _, at := range p.served {
		if at > from {
			longest = max(longest, at-last)
		}
		last = at
	}
	return max(longest, until-last-submitProbeInterval)
}

// submitVia hands a small job in every so often.
func (p *probes) submit(until eventloop.Micros) {
	f := p.fleet
	if f.Now >= until {
		return
	}
	f.After(submitProbeInterval, func() { p.submit(until) })
	p.submitted++
	job := &schema.Job{Text: "probe", Steps: []*schema.Step{{Name: "probe", Tasks: 1, CoresMilli: 100, MemoryMb: 16, EstimatedRunUs: int64(10 * eventloop.Millisecond)}}}
	kind, name, node := JobKind{Queue: "quick", Attempts: 4, Job: job}, fmt.Sprintf("probe-%d", p.submitted), p.nextGateway()
	f.submittedJobs[name] = submittedJob{kind.Queue, kind.Job}
	f.Request(node, submitProbeTimeout, func(request uint64, deadline eventloop.Micros) any {
		return gateway.SubmitJob{
			RequestID: request, Queue: kind.Queue, Client: "probe-" + node.Name, Name: name, Digest: gateway.Digest(job), Job: job, Deadline: deadline,
		}
	}, func(answer any) {
		if reply, _ := answer.(gateway.Response); reply.Code == 200 || reply.Code == 201 {
			p.served = append(p.served, f.Now)
		}
	})
}

// readAndReplace reads the table and replaces it again and again from there.
func (p *probes) readAndReplace(until eventloop.Micros) {
	f := p.fleet
	f.readConfiguration(p.nextGateway(), func(current *schema.Configuration) {
		if current == nil || current.Version == 0 {
			f.After(replaceProbeInterval, func() { p.readAndReplace(until) })
			return
		}
		p.replace(current.Rows, current.Version, until)
	})
}

// replace sends one edition to front after front until it is acknowledged, and
// then the next one.
func (p *probes) replace(rows []*schema.ConfigurationRow, base uint64, until eventloop.Micros) {
	f := p.fleet
	configuration := &schema.ConfigurationUpdate{Rows: rows, Version: base + 1, BaseVersion: base, Document: []byte(fmt.Sprintf("probe %d", base+1))}
	taken := false
	var send func()
	send = func() {
		if taken || f.Now >= until {
			return
		}
		f.Request(p.nextGateway(), replaceProbeTimeout, func(request uint64, deadline eventloop.Micros) any {
			return gateway.LeaderRequest{RequestID: request, Kind: "clusterstate", Group: clusterstate.Group, Deadline: deadline, Body: replica.EncodeClusterStateCommand(
				&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: configuration}}})}
		}, func(answer any) {
			if reply, _ := answer.(gateway.Response); reply.Code == 200 && !taken {
				taken = true
				p.served = append(p.served, f.Now)
				f.After(replaceProbeInterval, func() { p.replace(rows, base+1, until) })
			}
		})
		f.After(replaceProbeInterval, send)
	}
	send()
}

// Quantile of a list of spans, which it sorts.
func Quantile(durations []eventloop.Micros, share float64) eventloop.Micros {
	slices.Sort(durations)
	if len(durations) == 0 {
		return 0
	}
	return durations[min(len(durations)-1, int(share*float64(len(durations))))]
}
