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
	Replace, HandIn eventloop.Micros
}

const (
	// probes are sent much more often than a caller would, and to each front in
	// turn, so that what is measured is the system's part and not the callers'.
	replaceProbeEvery = 50 * eventloop.Millisecond
	handInProbeEvery  = 50 * eventloop.Millisecond
	replaceProbeSpan  = eventloop.Second
	handInProbeSpan   = 3 * eventloop.Second
	processRestart    = 550 * eventloop.Millisecond // until a killed process is started again
	outageWarm        = 4 * eventloop.Second
	outageWatched     = 14 * eventloop.Second
)

// ControlLoss is a loss of a part of the control side.
type ControlLoss struct {
	Name   string
	strike func(f *Fleet)
}

// ControlLosses are those whose outages are measured. All but the last two are
// single losses that a deployment tolerates.
var ControlLosses = []ControlLoss{
	{"leader killed", func(f *Fleet) { f.killed(f.host("leader"), processRestart) }},
	{"leader without power 5 s", func(f *Fleet) { f.killed(f.host("leader"), 5*eventloop.Second) }},
	{"leader frozen 5 s", func(f *Fleet) { f.frozen(f.host("leader"), 5*eventloop.Second) }},
	{"leader cut off 8 s", func(f *Fleet) { f.isolated(f.host("leader"), 8*eventloop.Second) }},
	{"leader mute 8 s", func(f *Fleet) { f.oneWay(f.host("leader"), 8*eventloop.Second, true) }},
	{"leader deaf 8 s", func(f *Fleet) { f.oneWay(f.host("leader"), 8*eventloop.Second, false) }},
	{"leader's disk hangs 5 s", func(f *Fleet) { f.host("leader").Stall = f.Now + 5*eventloop.Second }},
	{"leader replaced", func(f *Fleet) { f.replaced(f.host("leader")) }},
	{"follower killed", func(f *Fleet) { f.killed(f.follower(), processRestart) }},
	{"controller lost", func(f *Fleet) { f.killed(f.controller(), 10*eventloop.Second) }},
	{"leader and controller lost", func(f *Fleet) {
		leader, controller := f.host("leader"), f.controller()
		f.killed(leader, 5*eventloop.Second)
		f.killed(controller, 10*eventloop.Second)
	}},
	{"core killed", func(f *Fleet) {
		for _, h := range f.Stores() {
			f.killed(h, processRestart)
		}
	}},
	{"all killed", func(f *Fleet) {
		for _, h := range f.Hosts {
			f.killed(h, processRestart)
		}
	}},
}

// follower is a store that leads nothing.
func (f *Fleet) follower() *Host {
	leader := f.Leader()
	for _, h := range f.Stores() {
		if h.IsUp && h != leader {
			return h
		}
	}
	return f.Hosts[0]
}

// MeasureOutage brings a loss about in a deployment with called workers, under
// its load.
func MeasureOutage(loss ControlLoss, size Size, seed uint64) Outage {
	f := NewFleet(seed, size, CalmNet, 500, outageWarm+outageWatched)
	replaces, handIns := &probes{fleet: f}, &probes{fleet: f}
	until := f.Began + outageWarm + outageWatched
	f.At(f.Began+2*eventloop.Second, func() {
		replaces.replaceFrom(until)
		handIns.handIn(until)
	})
	// Not at a round moment: beats and leases are then at any stage.
	struck := f.Began + outageWarm + eventloop.Micros(f.Rng.Int64N(int64(eventloop.Second)))
	f.At(struck, func() { loss.strike(f) })
	f.Run(until)
	return Outage{loss.Name, replaces.longest(struck, until), handIns.longest(struck, until)}
}

// probes are callers of one kind, and when they were served.
type probes struct {
	fleet  *Fleet
	served []eventloop.Micros
	turn   int
	number int
}

// front is each front in turn, whether it is up or not.
func (p *probes) front() *Host {
	fronts := p.fleet.Fronts()
	p.turn++
	return fronts[p.turn%len(fronts)]
}

// longest is the longest time without a served one, from the last before a
// moment on.
func (p *probes) longest(from, until eventloop.Micros) eventloop.Micros {
	most, last := eventloop.Micros(0), from
	for _, at := range p.served {
		if at > from {
			most = max(most, at-last)
		}
		last = at
	}
	return max(most, until-last-handInProbeEvery)
}

// handIn hands a small job in every so often.
func (p *probes) handIn(until eventloop.Micros) {
	f := p.fleet
	if f.Now >= until {
		return
	}
	f.After(handInProbeEvery, func() { p.handIn(until) })
	p.number++
	job := &schema.Job{Text: "probe", Steps: []*schema.Step{{Name: "probe", Tasks: 1, CoresMilli: 100, MemoryMb: 16, EstimatedRunUs: int64(10 * eventloop.Millisecond)}}}
	kind, name, front := Kind{Queue: "quick", Attempts: 4, Job: job}, fmt.Sprintf("probe-%d", p.number), p.front()
	f.known[name] = handed{kind.Queue, kind.Job}
	f.Ask(front, handInProbeSpan, func(request uint64, deadline eventloop.Micros) any {
		return gateway.SubmitJob{
			RequestID: request, Queue: kind.Queue, Client: "probe-" + front.Name, Name: name, Digest: gateway.Digest(job), Job: job, Deadline: deadline,
		}
	}, func(answer any) {
		if reply, _ := answer.(gateway.Response); reply.Code == 200 || reply.Code == 201 {
			p.served = append(p.served, f.Now)
		}
	})
}

// replaceFrom reads the table and replaces it again and again from there.
func (p *probes) replaceFrom(until eventloop.Micros) {
	f := p.fleet
	f.readPlan(p.front(), func(plan *schema.Configuration) {
		if plan == nil || plan.Version == 0 {
			f.After(replaceProbeEvery, func() { p.replaceFrom(until) })
			return
		}
		p.replace(plan.Rows, plan.Version, until)
	})
}

// replace sends one edition to front after front until it is acknowledged, and
// then the next one.
func (p *probes) replace(rows []*schema.ConfigurationRow, base uint64, until eventloop.Micros) {
	f := p.fleet
	sheet := &schema.ConfigurationUpdate{Rows: rows, Version: base + 1, BaseVersion: base, Document: []byte(fmt.Sprintf("probe %d", base+1))}
	isTaken := false
	var send func()
	send = func() {
		if isTaken || f.Now >= until {
			return
		}
		f.Ask(p.front(), replaceProbeSpan, func(request uint64, deadline eventloop.Micros) any {
			return gateway.LeaderRequest{RequestID: request, Kind: "clusterstate", Group: clusterstate.Group, Deadline: deadline, Body: replica.EncodeClusterStateCommand(
				&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: sheet}}})}
		}, func(answer any) {
			if reply, _ := answer.(gateway.Response); reply.Code == 200 && !isTaken {
				isTaken = true
				p.served = append(p.served, f.Now)
				f.After(replaceProbeEvery, func() { p.replace(rows, base+1, until) })
			}
		})
		f.After(replaceProbeEvery, send)
	}
	send()
}

// Quantile of a list of spans, which it sorts.
func Quantile(spans []eventloop.Micros, share float64) eventloop.Micros {
	slices.Sort(spans)
	if len(spans) == 0 {
		return 0
	}
	return spans[min(len(spans)-1, int(share*float64(len(spans))))]
}
