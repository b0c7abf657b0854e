package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"sparnotch/internal/checker"
	"sparnotch/internal/deployments"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/process"
)

const (
	faultWindow    = 20 * eventloop.Second // time after a fault that a report of the fault covers
	overloadWindow = 5 * eventloop.Second  // time after the start of an overload that its report covers
)

// counters returns the counters of the gateway nodes since their start, by name. Nodes that
// don't answer are left out.
func (f *fleet) counters(ctx context.Context) map[string]process.Counts {
	counters := map[string]process.Counts{}
	for _, d := range f.gateways {
		_, data, err := f.balancer.call(ctx, 2*time.Second, "GET", d.httpAddress, "/v1/counts", nil, "")
		var c process.Counts
		if err == nil && json.Unmarshal(data, &c) == nil {
			counters[d.name] = c
		}
	}
	return counters
}

// quantile returns a quantile of a list of durations, in milliseconds. Of an empty list it
// returns 0.
func quantile(list []eventloop.Micros, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return float64(sorted[int(q*float64(len(sorted)-1))]) / 1000
}

// quantiles formats the 50th, 95th and 99th percentiles of a list of durations, in
// milliseconds.
func quantiles(list []eventloop.Micros) string {
	return fmt.Sprintf("%.1f/%.1f/%.1f", quantile(list, .5), quantile(list, .95), quantile(list, .99))
}

// completionTimes returns two maps of durations, by queue and job type, for the jobs that have
// an ended task. The map first holds the times from the first submission of a job to the start
// of its first task, and the map last those to the end of its last task. The times of starts
// and ends come from the events of the workers.
func completionTimes(events []checker.Event) (first, last map[string][]eventloop.Micros) {
	submitted, started, ended := map[string]eventloop.Micros{}, map[string]eventloop.Micros{}, map[string]eventloop.Micros{}
	types := map[string]string{}
	for _, e := range events {
		key := e.Queue + "/" + e.Name
		switch e.Kind {
		case checker.Submit:
			if _, found := submitted[key]; !found {
				submitted[key], types[key] = e.At, e.Queue+jobTypeName(e.Name)
			}
		case checker.TaskStart:
			if _, found := started[key]; !found {
				started[key] = e.At
			}
		case checker.TaskEnd:
			ended[key] = e.At
		}
	}
	first, last = map[string][]eventloop.Micros{}, map[string][]eventloop.Micros{}
	for key, at := range submitted {
		if end, found := ended[key]; found {
			jobType := types[key]
			first[jobType] = append(first[jobType], started[key]-at)
			last[jobType] = append(last[jobType], end-at)
		}
	}
	return first, last
}

// jobTypeName returns the job type in a job's name, which has the form PREFIX-TYPE-NUMBER.
func jobTypeName(name string) string {
	_, rest, _ := strings.Cut(name, "-")
	return rest[:max(strings.LastIndex(rest, "-"), 0)]
}

// report writes the history to a file, checks it, and prints the results of a fleet's run. It
// returns true if no rule was broken and each job was accepted and ended, or its rejection
// was final.
func report(f *fleet, result loadResult, folder string, bounds checker.Tolerances) bool {
	events := f.history.sorted()
	if err := f.history.write(filepath.Join(folder, "history.jsonl")); err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench: the history could not be written:", err)
	}
	seconds := float64(result.duration) / 1e6
	fmt.Printf("profile %s, %.1f s of load\n", f.deployment.Name, seconds)
	accepted, complete := reportJobs(f, events)
	fmt.Printf("jobs accepted per second: %.2f\n", float64(accepted)/seconds)
	for _, name := range []string{"server1", "server2", "server3"} {
		c := result.counters[name]
		if accepted > 0 {
			fmt.Printf("%s since its start: %.0f bytes and %.2f syncs per accepted job, %d slots, %d messages sent, %d lost\n",
				name, float64(c.Storage.Bytes)/float64(accepted), float64(c.Storage.Syncs)/float64(accepted), c.Storage.Slots, c.Transport.Sent, c.Transport.Lost)
		}
	}
	reportUsage(result)
	for _, e := range f.balancer.endpoints {
		fmt.Printf("readiness of %s: ready at %d of %d probes, %d probes without an answer within a second\n", e.address, e.readyProbes, e.probes, e.failedProbes)
	}
	reportFaults(events)
	reportOverloads(f, events)
	violations := checker.Check(events, bounds)
	printViolations(violations)
	fmt.Printf("check: %d events, %d rules broken; every job accepted and ended: %v\n", len(events), len(violations), complete)
	return len(violations) == 0 && complete
}

// reportJobs prints the counts and latencies of each job type. It returns the number of
// accepted jobs, and whether each job was accepted and ended, or its rejection was final.
func reportJobs(f *fleet, events []checker.Event) (accepted int, complete bool) {
	first, last := completionTimes(events)
	complete = true
	fmt.Printf("%-12s %6s %8s %6s   %-26s %-26s %s\n", "kind", "sent", "accepted", "ended", "confirm ms 50/95/99", "first task ms 50/95/99", "last task's end ms 50/95/99")
	for _, t := range slices.Concat(f.deployment.JobTypes, f.extraJobTypes) {
		s := f.clients.stats[t.Name]
		accepted += s.accepted
		complete = complete && s.sent == s.accepted+s.rejected && s.accepted == s.ended
		fmt.Printf("%-12s %6d %8d %6d   %-26s %-26s %s\n", t.Name, s.sent, s.accepted, s.ended, quantiles(s.confirmTimes), quantiles(first[t.Queue+t.Name]), quantiles(last[t.Queue+t.Name]))
		if len(s.refusalTimes) > 0 {
			fmt.Printf("    refused submissions: answered after ms 50/95/99 %s\n", quantiles(s.refusalTimes))
		}
		for code, count := range s.codes {
			if code != http.StatusOK && code != http.StatusCreated {
				fmt.Printf("    %d submissions answered with HTTP status %d (0: no answer)\n", count, code)
			}
		}
	}
	return accepted, complete
}

// reportUsage prints each node's processor time as a share of the load's duration.
func reportUsage(result loadResult) {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(result.cpuAfter)) {
		used := result.cpuAfter[name] - result.cpuBefore[name]
		parts = append(parts, fmt.Sprintf("%s %.1f%%", name, 100*float64(used.Microseconds())/float64(result.duration)))
	}
	fmt.Println("processor time, as a share of one core:", strings.Join(parts, ", "))
}

// reportPeaks prints the peak memory of each node in MB. The argument has it in kilobytes.
func reportPeaks(peaks map[string]int) {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(peaks)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, peaks[name]/1024))
	}
	fmt.Println("peak memory, MB:", strings.Join(parts, ", "))
}

// reportFaults prints two times for each fault, within the faultWindow after it. The first is
// from the fault to the first confirmation of a job that was submitted after it. The second
// is the longest gap before such a confirmation, measured from the fault or from the
// confirmation before it.
func reportFaults(events []checker.Event) {
	for k, fault := range events {
		if fault.Kind != checker.Fault {
			continue
		}
		sent := map[string]bool{}
		last, longest := fault.At, eventloop.Micros(0)
		first := eventloop.Micros(-1)
		for _, e := range events[k:] {
			if e.At > fault.At+faultWindow {
				break
			}
			key := e.Queue + "/" + e.Name
			if e.Kind == checker.Submit {
				sent[key] = true
			}
			if e.Kind == checker.SubmitReply && sent[key] && (e.Code == 200 || e.Code == 201) {
				if first < 0 {
					first = e.At - fault.At
				}
				longest = max(longest, e.At-last)
				last = e.At
			}
		}
		fmt.Printf("after %q: first submission confirmed after %.2f s, longest gap between confirmations %.2f s\n", fault.State, float64(first)/1e6, float64(longest)/1e6)
	}
}

// reportOverloads compares the confirmation times of the ordinary load during a rush or flood
// with the times before it in the same run.
func reportOverloads(f *fleet, events []checker.Event) {
	for _, fault := range events {
		if fault.Kind != checker.Fault || !strings.HasPrefix(fault.State, "a rush") && !strings.HasPrefix(fault.State, "a flood") {
			continue
		}
		for _, t := range f.deployment.JobTypes {
			before, during := confirmations(events, t, 0, fault.At), confirmations(events, t, fault.At, fault.At+overloadWindow)
			if baseline := quantile(before, .95); baseline > 0 && len(during) > 0 {
				fmt.Printf("%s during %q: %d submissions, whose 95th percentile of confirmation times was %.2f times that of the %d before\n", t.Name, fault.State, len(during), quantile(during, .95)/baseline, len(before))
			}
		}
	}
}

// confirmations returns the times from the first submission to the confirmation for the jobs of
// a type. It includes only jobs of the ordinary load that were first submitted between from and
// until.
func confirmations(events []checker.Event, t deployments.JobType, from, until eventloop.Micros) []eventloop.Micros {
	sent := map[string]eventloop.Micros{}
	var list []eventloop.Micros
	for _, e := range events {
		if e.Queue != t.Queue || !strings.Contains(e.Name, "-"+t.Name+"-") || strings.Contains(e.Name, "rush-") || strings.Contains(e.Name, "flood-") {
			continue
		}
		switch e.Kind {
		case checker.Submit:
			if _, found := sent[e.Name]; !found {
				sent[e.Name] = e.At
			}
		case checker.SubmitReply:
			if at := sent[e.Name]; at >= from && at < until && (e.Code == 200 || e.Code == 201) {
				list = append(list, e.At-at)
				sent[e.Name] = -1
			}
		}
	}
	return list
}

// printViolations prints a line for each violation. Other programs parse these lines.
func printViolations(violations []checker.Violation) {
	for _, violation := range violations {
		fmt.Println("BROKEN", violation)
	}
}
