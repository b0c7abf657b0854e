package main

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sparnotch/internal/capacity"
)

// Roles of measurements besides those of processes.
const (
	roleLeader = "leader" // a storage node that leads queues
	roleWhole  = "whole"  // the whole deployment
)

// measurement is one metric of one role in one run: of one process on average, or of
// the whole deployment.
type measurement struct {
	role, metric string
	amount       float64
}

// toMeasurements gives measurements their place in a sweep.
func toMeasurements(dimension string, level float64, repeat int, list []measurement) []capacity.Measurement {
	var measurements []capacity.Measurement
	for _, m := range list {
		measurements = append(measurements, capacity.Measurement{Dimension: dimension, Level: level, Repeat: repeat, Role: m.role, Metric: m.metric, Amount: m.amount})
	}
	return measurements
}

// measure measures all processes over a span.
func (d *hollowDeployment) measure(ctx context.Context, span time.Duration) ([]measurement, error) {
	before, err := d.requestAll(requestReset)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	sleep(ctx, span)
	after, err := d.requestAll(requestRead)
	if err != nil {
		return nil, err
	}
	sums := newMeasureSums(time.Since(began).Seconds())
	for k, p := range d.processes {
		role := p.role
		// A leader's load differs from that of the other storage nodes.
		if role == roleStorage && after[k].State != nil && ledQueues(after[k].State) > 0 {
			role = roleLeader
		}
		sums.add(role, before[k], after[k])
	}
	list := slices.Concat(sums.ofRoles(), sums.ofWhole(), d.ofConfig(after))
	slices.SortFunc(list, func(a, b measurement) int {
		return cmp.Or(cmp.Compare(a.role, b.role), cmp.Compare(a.metric, b.metric))
	})
	return list, ctx.Err()
}

// roleSums are totals over the processes of one role; rates are per second.
type roleSums struct {
	processes                                            int
	cpu, rss, sent, received, out, in, disk, syncs, lost float64
}

// measureSums adds up what all processes have done between two reports.
type measureSums struct {
	seconds        float64
	roles          map[string]*roleSums
	whole          map[string]float64 // by metric
	start, confirm *hdrhistogram.Histogram
}

func newMeasureSums(seconds float64) *measureSums {
	return &measureSums{seconds: seconds, roles: map[string]*roleSums{}, whole: map[string]float64{}, start: newHistogram(), confirm: newHistogram()}
}

// add adds one process.
func (s *measureSums) add(role string, a, b *processReport) {
	sums := s.roles[role]
	if sums == nil {
		sums = &roleSums{}
		s.roles[role] = sums
	}
	cpuMilli := float64(b.CPUUs-a.CPUUs) / 1000 / s.seconds
	sums.processes += b.Processes
	sums.cpu += cpuMilli
	sums.rss += float64(b.RssBytes) / (1 << 20)
	sums.sent += float64(b.Wire.Sent-a.Wire.Sent) / s.seconds
	sums.received += float64(b.Wire.Received-a.Wire.Received) / s.seconds
	sums.out += float64(b.Wire.Bytes-a.Wire.Bytes) / s.seconds
	sums.in += float64(b.Wire.BytesIn-a.Wire.BytesIn) / s.seconds
	sums.disk += float64(b.StorageBytes-a.StorageBytes) / s.seconds
	sums.syncs += float64(b.Syncs-a.Syncs) / s.seconds
	sums.lost += float64(b.LostMessages - a.LostMessages + b.Wire.Lost - a.Wire.Lost)
	s.whole["cpu_milli"] += cpuMilli
	s.whole["starts_s"] += float64(b.Started-a.Started) / s.seconds
	s.whole["accepted_s"] += float64(b.Accepted-a.Accepted) / s.seconds
	s.whole["refused_s"] += float64(b.Refused-a.Refused) / s.seconds
	s.whole["running"] += float64(b.Running)
	s.start.Merge(hdrhistogram.Import(b.Start))
	s.confirm.Merge(hdrhistogram.Import(b.Confirm))
	if b.State != nil {
		s.addState(b)
	}
}

// addState adds the size of a storage node's state: the largest of the nodes counts.
func (s *measureSums) addState(report *processReport) {
	entries, live, retained := 0.0, 0.0, 0.0
	for _, group := range report.State.Groups {
		entries += float64(group.LastIndex - group.SnapshotIndex)
		live, retained = live+float64(group.LiveJobs), retained+float64(group.RetainedJobs)
	}
	s.whole["records"] = max(s.whole["records"], entries)
	s.whole["live_jobs"], s.whole["kept_jobs"] = max(s.whole["live_jobs"], live), max(s.whole["kept_jobs"], retained)
}

// ofRoles are the averages over the processes of each role.
func (s *measureSums) ofRoles() []measurement {
	var list []measurement
	for role, sums := range s.roles {
		n := float64(sums.processes)
		list = append(list,
			measurement{role, "cpu_milli", sums.cpu / n}, measurement{role, "rss_mb", sums.rss / n}, measurement{role, "sent_s", sums.sent / n},
			measurement{role, "received_s", sums.received / n}, measurement{role, "bytes_out_s", sums.out / n}, measurement{role, "bytes_in_s", sums.in / n},
			measurement{role, "lost", sums.lost},
		)
		if sums.disk > 0 {
			list = append(list, measurement{role, "disk_bytes_s", sums.disk / n}, measurement{role, "syncs_s", sums.syncs / n})
		}
	}
	return list
}

// ofWhole are the totals over all processes, and the quantiles of latencies.
func (s *measureSums) ofWhole() []measurement {
	var list []measurement
	for metric, amount := range s.whole {
		list = append(list, measurement{roleWhole, metric, amount})
	}
	for name, histogram := range map[string]*hdrhistogram.Histogram{"start": s.start, "confirm": s.confirm} {
		if histogram.TotalCount() > 0 {
			list = append(list,
				measurement{roleWhole, name + "_p50_ms", float64(histogram.ValueAtQuantile(50)) / 1000},
				measurement{roleWhole, name + "_p95_ms", float64(histogram.ValueAtQuantile(95)) / 1000},
				measurement{roleWhole, name + "_p99_ms", float64(histogram.ValueAtQuantile(99)) / 1000},
			)
		}
	}
	return list
}

// ofConfig are the latencies of configuration changes.
func (d *hollowDeployment) ofConfig(reports []*processReport) []measurement {
	latency, complete := d.configLatency(reports)
	if latency.TotalCount() == 0 {
		return nil
	}
	missed := 0.0
	if !complete {
		missed = 1
	}
	return []measurement{
		{roleWhole, "plan_p50_ms", float64(latency.ValueAtQuantile(50)) / 1000},
		{roleWhole, "plan_max_ms", float64(latency.Max()) / 1000},
		{roleWhole, "plan_missed", missed},
	}
}

// configLatency is the time from each configuration's request until the last agent node
// has it. It also reports whether every agent node has had each revision: one that a
// node skipped for a newer one isn't counted.
func (d *hollowDeployment) configLatency(reports []*processReport) (latency *hdrhistogram.Histogram, complete bool) {
	latency, complete = newHistogram(), true
	applied, seen, seenBy := map[uint64]int64{}, map[uint64]int64{}, map[uint64]int{}
	for _, report := range reports {
		for revision, at := range report.ConfigApplied {
			applied[revision] = at
		}
		for revision, at := range report.ConfigSeen {
			seen[revision] = max(seen[revision], at)
			seenBy[revision] += report.ConfigSeenBy[revision]
		}
	}
	for revision, at := range applied {
		// The first revisions are applied while the agent nodes still start.
		if revision <= 1 || seen[revision] == 0 {
			continue
		}
		if seenBy[revision] < d.config.Workers {
			complete = false
			continue
		}
		recordMicros(latency, seen[revision]-at)
	}
	return latency, complete
}
