package main

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sparnotch/internal/capacity"
)

// Roles that measurements have in addition to the roles of processes.
const (
	roleLeader = "leader" // a storage node that leads queues
	roleWhole  = "whole"  // the whole deployment
)

// measurement is the value of one metric of one role in one run. It is the mean over the
// processes of the role, or a value of the whole deployment.
type measurement struct {
	role, metric string
	amount       float64
}

// toMeasurements converts the measurements of a run to those of a sweep, with the dimension,
// its level and the number of the repeat.
func toMeasurements(dimension string, level float64, repeat int, list []measurement) []capacity.Measurement {
	var measurements []capacity.Measurement
	for _, m := range list {
		measurements = append(measurements, capacity.Measurement{Dimension: dimension, Level: level, Repeat: repeat, Role: m.role, Metric: m.metric, Amount: m.amount})
	}
	return measurements
}

// measure measures all processes for a duration. It returns the measurements sorted by role
// and metric.
func (d *hollowDeployment) measure(ctx context.Context, span time.Duration) ([]measurement, error) {
	before, err := d.requestAll(requestReset)
	if err != nil {
		return nil, err
	}
	startedAt := time.Now()
	sleep(ctx, span)
	after, err := d.requestAll(requestRead)
	if err != nil {
		return nil, err
	}
	sums := newMeasureSums(time.Since(startedAt).Seconds())
	for k, p := range d.processes {
		role := p.role
		// A leader has a different load from the other storage nodes, so it has a role of
		// its own.
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

// roleSums holds totals over the processes of one role. The processor time is in thousandths
// of a core and the memory in MB. The messages, bytes and syncs are rates per second, and the
// lost messages are a count.
type roleSums struct {
	processes                                                           int // number of nodes in these processes
	cpu, rss, sent, received, bytesOut, bytesIn, diskBytes, syncs, lost float64
}

// measureSums adds up the activity of all processes between two reports.
type measureSums struct {
	seconds        float64                 // between the reports
	roles          map[string]*roleSums    // by role
	whole          map[string]float64      // by metric
	start, confirm *hdrhistogram.Histogram // latencies of task starts and confirmations, in microseconds
}

func newMeasureSums(seconds float64) *measureSums {
	return &measureSums{seconds: seconds, roles: map[string]*roleSums{}, whole: map[string]float64{}, start: newHistogram(), confirm: newHistogram()}
}

// add adds the activity of one process of a role between two of its reports.
func (s *measureSums) add(role string, before, after *processReport) {
	sums := s.roles[role]
	if sums == nil {
		sums = &roleSums{}
		s.roles[role] = sums
	}
	cpuMilli := float64(after.CPUUs-before.CPUUs) / 1000 / s.seconds
	sums.processes += after.Processes
	sums.cpu += cpuMilli
	sums.rss += float64(after.RssBytes) / (1 << 20)
	sums.sent += float64(after.Wire.Sent-before.Wire.Sent) / s.seconds
	sums.received += float64(after.Wire.Received-before.Wire.Received) / s.seconds
	sums.bytesOut += float64(after.Wire.Bytes-before.Wire.Bytes) / s.seconds
	sums.bytesIn += float64(after.Wire.BytesIn-before.Wire.BytesIn) / s.seconds
	sums.diskBytes += float64(after.StorageBytes-before.StorageBytes) / s.seconds
	sums.syncs += float64(after.Syncs-before.Syncs) / s.seconds
	sums.lost += float64(after.LostMessages - before.LostMessages + after.Wire.Lost - before.Wire.Lost)
	s.whole["cpu_milli"] += cpuMilli
	s.whole["starts_s"] += float64(after.Started-before.Started) / s.seconds
	s.whole["accepted_s"] += float64(after.Accepted-before.Accepted) / s.seconds
	s.whole["refused_s"] += float64(after.Refused-before.Refused) / s.seconds
	s.whole["running"] += float64(after.Running)
	s.start.Merge(hdrhistogram.Import(after.Start))
	s.confirm.Merge(hdrhistogram.Import(after.Confirm))
	if after.State != nil {
		s.addState(after)
	}
}

// addState records the size of a storage node's state. Of each metric, the largest value of
// all nodes counts.
func (s *measureSums) addState(report *processReport) {
	entries, live, retained := 0.0, 0.0, 0.0
	for _, group := range report.State.Groups {
		entries += float64(group.LastIndex - group.SnapshotIndex)
		live, retained = live+float64(group.LiveJobs), retained+float64(group.RetainedJobs)
	}
	s.whole["records"] = max(s.whole["records"], entries)
	s.whole["live_jobs"], s.whole["kept_jobs"] = max(s.whole["live_jobs"], live), max(s.whole["kept_jobs"], retained)
}

// ofRoles returns the metrics of each role: means over its nodes, and the total of lost
// messages.
func (s *measureSums) ofRoles() []measurement {
	var list []measurement
	for role, sums := range s.roles {
		n := float64(sums.processes)
		list = append(list,
			measurement{role, "cpu_milli", sums.cpu / n}, measurement{role, "rss_mb", sums.rss / n}, measurement{role, "sent_s", sums.sent / n},
			measurement{role, "received_s", sums.received / n}, measurement{role, "bytes_out_s", sums.bytesOut / n}, measurement{role, "bytes_in_s", sums.bytesIn / n},
			measurement{role, "lost", sums.lost},
		)
		if sums.diskBytes > 0 {
			list = append(list, measurement{role, "disk_bytes_s", sums.diskBytes / n}, measurement{role, "syncs_s", sums.syncs / n})
		}
	}
	return list
}

// ofWhole returns the totals over all processes and the quantiles of the latencies.
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

// ofConfig returns the median and the maximum of the latencies of configuration changes. The
// metric plan_missed is 1 when some agent node has missed a revision.
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

// configLatency returns the latencies of configurations, each from the request until the
// last agent node has received that revision. It also reports whether every agent node has
// received each revision. A node may skip a revision when it receives a newer one; the
// latency of such a revision isn't counted.
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
		// The first revision is applied while the agent nodes are still starting. Revisions
		// that no agent node has received can't be measured.
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
