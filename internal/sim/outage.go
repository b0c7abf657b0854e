package sim

import (
	"fmt"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Outage reports how long clients weren't served after one loss, in µs: the longest time
// between two acknowledged replaces of the configuration, and the longest time between two
// acknowledged submissions. Both are measured from the last acknowledgement before the loss.
type Outage struct {
	Loss                                string
	LongestReplaceGap, LongestSubmitGap eventloop.Micros
}

const (
	// Probes are sent much more often than a client sends requests, and to each gateway in
	// turn, so that the result doesn't include the retry delays of clients.
	replaceProbeInterval = 50 * eventloop.Millisecond
	submitProbeInterval  = 50 * eventloop.Millisecond
	replaceProbeTimeout  = eventloop.Second
	submitProbeTimeout   = 3 * eventloop.Second
	processRestartDelay  = 550 * eventloop.Millisecond // until a process that was killed is started again
	outageWarmUp         = 4 * eventloop.Second        // from the start of the load to the loss, at least
	outageObservation    = 14 * eventloop.Second
)

// ControlLoss is a kind of loss of a part of the control plane.
type ControlLoss struct {
	Name   string
	inject func(f *Fleet)
}

// ControlLosses lists the losses whose outages are measured. A deployment tolerates all of
// them except the last two.
var ControlLosses = []ControlLoss{
	{"leader killed", func(f *Fleet) { f.kill(f.leaderOrFirst(), processRestartDelay) }},
	{"leader without power 5 s", func(f *Fleet) { f.kill(f.leaderOrFirst(), 5*eventloop.Second) }},
	{"leader frozen 5 s", func(f *Fleet) { f.freeze(f.leaderOrFirst(), 5*eventloop.Second) }},
	{"leader cut off 8 s", func(f *Fleet) { f.isolate(f.leaderOrFirst(), 8*eventloop.Second) }},
	{"leader mute 8 s", func(f *Fleet) { f.isolateOneWay(f.leaderOrFirst(), 8*eventloop.Second, true) }},
	{"leader deaf 8 s", func(f *Fleet) { f.isolateOneWay(f.leaderOrFirst(), 8*eventloop.Second, false) }},
	{"leader's disk hangs 5 s", func(f *Fleet) { f.leaderOrFirst().StallUntil = f.Now + 5*eventloop.Second }},
	{"leader replaced", func(f *Fleet) { f.replace(f.leaderOrFirst()) }},
	{"follower killed", func(f *Fleet) { f.kill(f.follower(), processRestartDelay) }},
	{"controller lost", func(f *Fleet) { f.kill(f.controllerHost(), 10*eventloop.Second) }},
	{"leader and controller lost", func(f *Fleet) {
		leader, controller := f.leaderOrFirst(), f.controllerHost()
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

// follower returns a storage node that is up and isn't the one that leads most queues, or the
// first machine if there is none.
func (f *Fleet) follower() *Host {
	leader := f.Leader()
	for _, h := range f.StorageNodes() {
		if h.IsUp && h != leader {
			return h
		}
	}
	return f.Hosts[0]
}

// MeasureOutage measures the outage that a loss causes in a fleet with called workers under
// load.
func MeasureOutage(loss ControlLoss, spec FleetSpec, seed uint64) Outage {
	f := NewFleet(seed, spec, ReliableNetwork, fastSync, outageWarmUp+outageObservation)
	replaces, submissions := &probes{fleet: f}, &probes{fleet: f}
	until := f.LoadStart + outageWarmUp + outageObservation
	f.atLoad(2*eventloop.Second, func() {
		replaces.readAndReplace(until)
		submissions.submit(until)
	})
	// The time of the loss is random, so that heartbeats and leases may be at any stage.
	lostAt := f.LoadStart + outageWarmUp + eventloop.Micros(f.Rng.Int64N(int64(eventloop.Second)))
	f.At(lostAt, func() { loss.inject(f) })
	f.Run(until)
	return Outage{loss.Name, replaces.longestGap(lostAt, until), submissions.longestGap(lostAt, until)}
}

// probes sends the probe requests of one kind and records when they were served.
type probes struct {
	fleet       *Fleet
	servedAt    []eventloop.Micros // times of acknowledgements
	lastGateway int
	submitted   int
}

// nextGateway returns each gateway in turn, whether it is up or not.
func (p *probes) nextGateway() *Host {
	gateways := p.fleet.Gateways()
	p.lastGateway++
	return gateways[p.lastGateway%len(gateways)]
}

// longestGap returns the longest time without a served probe, between the last probe that was
// served before the start of a period and the end of the period.
func (p *probes) longestGap(from, until eventloop.Micros) eventloop.Micros {
	longest, last := eventloop.Micros(0), from
	for _, at := range p.servedAt {
		if at > from {
			longest = max(longest, at-last)
		}
		last = at
	}
	return max(longest, until-last-submitProbeInterval)
}

// submit submits a small job at intervals until a point in time.
func (p *probes) submit(until eventloop.Micros) {
	f := p.fleet
	if f.Now >= until {
		return
	}
	f.After(submitProbeInterval, func() { p.submit(until) })
	p.submitted++
	job := newJob("probe", &schema.Step{Name: "probe", Tasks: 1, CoresMilli: 100, MemoryMb: 16, EstimatedRunUs: int64(10 * eventloop.Millisecond)})
	name, node := fmt.Sprintf("probe-%d", p.submitted), p.nextGateway()
	f.submittedJobs[name] = submittedJob{queue: "quick", job: job}
	f.Request(node, submitProbeTimeout, submitRequest("quick", "probe-"+node.Name, name, job), func(answer any) {
		if isConfirmed(responseOf(answer)) {
			p.servedAt = append(p.servedAt, f.Now)
		}
	})
}

// readAndReplace reads the configuration and then replaces it repeatedly until a point in
// time.
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

// replace sends one version of the configuration to one gateway after another until it is
// acknowledged, and then continues with the next version.
func (p *probes) replace(rows []*schema.ConfigurationRow, base uint64, until eventloop.Micros) {
	f := p.fleet
	update := &schema.ConfigurationUpdate{Rows: rows, Version: base + 1, BaseVersion: base, Document: []byte(fmt.Sprintf("probe %d", base+1))}
	acknowledged := false
	var send func()
	send = func() {
		if acknowledged || f.Now >= until {
			return
		}
		f.Request(p.nextGateway(), replaceProbeTimeout, leaderRequest(updateRequest(update)), func(answer any) {
			if responseOf(answer).Code == 200 && !acknowledged {
				acknowledged = true
				p.servedAt = append(p.servedAt, f.Now)
				f.After(replaceProbeInterval, func() { p.replace(rows, base+1, until) })
			}
		})
		f.After(replaceProbeInterval, send)
	}
	send()
}

// Quantile returns the value below which the given share of the durations lies, or 0 if there
// are none. It sorts the slice.
func Quantile(durations []eventloop.Micros, share float64) eventloop.Micros {
	slices.Sort(durations)
	if len(durations) == 0 {
		return 0
	}
	return durations[min(len(durations)-1, int(share*float64(len(durations))))]
}
