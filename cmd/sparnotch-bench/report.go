package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/google/subcommands"

	"sparnotch/internal/checker"
	"sparnotch/internal/deployments"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/process"
)

func (f *fleet) counts(ctx context.Context) map[string]process.Counts {
	counts := map[string]process.Counts{}
	for _, p := range f.gateways {
		_, data, err := f.balancer.call(ctx, 2*time.Second, "GET", p.outer, "/v1/counts", nil, "")
		var each process.Counts
		if err == nil && json.Unmarshal(data, &each) == nil {
			counts[p.name] = each
		}
	}
	return counts
}

func quantile(list []eventloop.Micros, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := append([]eventloop.Micros(nil), list...)
	slices.Sort(sorted)
	return float64(sorted[int(q*float64(len(sorted)-1))]) / 1000
}

// completionTimes are, by kind, the spans from the first hand-in to the last end of
// a task, as the workers saw it.
func completionTimes(f *fleet, events []checker.Event) (first, whole map[string][]eventloop.Micros) {
	// A job's name tells its kind: PREFIX-KIND-NUMBER.
	kindOf := func(queue, name string) string {
		_, rest, _ := strings.Cut(name, "-")
		return queue + rest[:max(strings.LastIndex(rest, "-"), 0)]
	}
	sent, began, ended := map[string]eventloop.Micros{}, map[string]eventloop.Micros{}, map[string]eventloop.Micros{}
	kinds := map[string]string{}
	for _, e := range events {
		key := e.Queue + "/" + e.Name
		switch e.Kind {
		case checker.Submit:
			if _, isKnown := sent[key]; !isKnown {
				sent[key], kinds[key] = e.At, kindOf(e.Queue, e.Name)
			}
		case checker.TaskStart:
			if _, isKnown := began[key]; !isKnown {
				began[key] = e.At
			}
		case checker.TaskEnd:
			ended[key] = e.At
		}
	}
	first, whole = map[string][]eventloop.Micros{}, map[string][]eventloop.Micros{}
	for key, at := range sent {
		if end, isEnded := ended[key]; isEnded {
			kind := kinds[key]
			first[kind] = append(first[kind], began[key]-at)
			whole[kind] = append(whole[kind], end-at)
		}
	}
	return first, whole
}

func report(f *fleet, clients *clients, spent eventloop.Micros, before, after map[string]time.Duration, counts map[string]process.Counts, folder string, bounds checker.Bounds) bool {
	events := f.history.sorted()
	path := filepath.Join(folder, "history.jsonl")
	if err := f.history.write(path); err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench: writing the history:", err)
	}
	first, whole := completionTimes(f, events)
	fmt.Printf("profile %s, %.1f s of load\n", f.deployment.Name, float64(spent)/1e6)
	fmt.Printf("%-12s %6s %8s %6s   %-26s %-26s %s\n", "kind", "sent", "accepted", "ended", "confirm ms 50/95/99", "first task ms 50/95/99", "last task's end ms 50/95/99")
	total := 0
	isWhole := true
	for _, k := range append(append([]deployments.JobType(nil), f.deployment.JobTypes...), f.extra...) {
		s := clients.stats[k.Name]
		total += s.accepted
		isWhole = isWhole && s.sent == s.accepted+s.rejected && s.accepted == s.ended
		three := func(list []eventloop.Micros) string {
			return fmt.Sprintf("%.1f/%.1f/%.1f", quantile(list, .5), quantile(list, .95), quantile(list, .99))
		}
		fmt.Printf("%-12s %6d %8d %6d   %-26s %-26s %s\n", k.Name, s.sent, s.accepted, s.ended, three(s.confirmTimes), three(first[k.Queue+k.Name]), three(whole[k.Queue+k.Name]))
		if len(s.refusalTimes) > 0 {
			fmt.Printf("    told no, or that it isn't known, after ms %s\n", three(s.refusalTimes))
		}
		for code, count := range s.codes {
			if code != 200 && code != 201 {
				fmt.Printf("    %d answers of code %d\n", count, code)
			}
		}
	}
	fmt.Printf("jobs accepted a second: %.2f\n", float64(total)/(float64(spent)/1e6))
	for _, name := range []string{"server1", "server2", "server3"} {
		c := counts[name]
		if total > 0 {
			fmt.Printf("%s since its start: %.0f bytes and %.2f syncs an accepted job, %d slots, %d wire messages sent, %d lost\n",
				name, float64(c.Storage.Bytes)/float64(total), float64(c.Storage.Syncs)/float64(total), c.Storage.Slots, c.Transport.Sent, c.Transport.Lost)
		}
	}
	reportUsage(spent, before, after)
	for _, g := range f.balancer.endpoints {
		fmt.Printf("readiness %s: %d of %d, %d without an answer in a second\n", g.address, g.readyProbes, g.probes, g.failedProbes)
	}
	reportFaults(events)
	reportOverloads(f, events)
	breaches := checker.Check(events, bounds)
	printViolations(breaches)
	fmt.Printf("check: %d events, %d rules broken; every job accepted and ended: %v\n", len(events), len(breaches), isWhole)
	return len(breaches) == 0 && isWhole
}

func reportUsage(spent eventloop.Micros, before, after map[string]time.Duration) {
	var names []string
	for name := range after {
		names = append(names, name)
	}
	sort.Strings(names)
	var parts []string
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s %.1f%%", name, 100*float64((after[name]-before[name]).Microseconds())/float64(spent)))
	}
	fmt.Println("processor, of one core:", strings.Join(parts, ", "))
}

func reportPeaks(peaks map[string]int) {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(peaks)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, peaks[name]/1024))
	}
	fmt.Println("memory at its peak, MB:", strings.Join(parts, ", "))
}

// reportFaults tells, for each fault, when the first hand-in sent after it was
// confirmed, and the longest time without any confirmation around it.
func reportFaults(events []checker.Event) {
	for k, fault := range events {
		if fault.Kind != checker.Fault {
			continue
		}
		sent := map[string]bool{}
		last, longest := fault.At, eventloop.Micros(0)
		first := eventloop.Micros(-1)
		for _, e := range events[k:] {
			if e.At > fault.At+20*eventloop.Second {
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
		fmt.Printf("after %q: first hand-in confirmed after %.2f s, longest gap between confirmations %.2f s\n", fault.State, float64(first)/1e6, float64(longest)/1e6)
	}
}

// reportOverloads sets the ordinary callers' confirmations during a rush or flood
// against those before it, in the same run.
func reportOverloads(f *fleet, events []checker.Event) {
	for _, fault := range events {
		if fault.Kind != checker.Fault || !strings.HasPrefix(fault.State, "a rush") && !strings.HasPrefix(fault.State, "a flood") {
			continue
		}
		for _, k := range f.deployment.JobTypes {
			before, during := confirmations(events, k, 0, fault.At), confirmations(events, k, fault.At, fault.At+5*eventloop.Second)
			if quiet := quantile(before, .95); quiet > 0 && len(during) > 0 {
				fmt.Printf("%s while there was %s: %d hand-ins, confirm 95th %.2f times that of the %d before\n", k.Name, fault.State, len(during), quantile(during, .95)/quiet, len(before))
			}
		}
	}
}

func confirmations(events []checker.Event, k deployments.JobType, from, until eventloop.Micros) []eventloop.Micros {
	sent := map[string]eventloop.Micros{}
	var list []eventloop.Micros
	for _, e := range events {
		if e.Queue != k.Queue || !strings.Contains(e.Name, "-"+k.Name+"-") || strings.Contains(e.Name, "rush-") || strings.Contains(e.Name, "flood-") {
			continue
		}
		switch e.Kind {
		case checker.Submit:
			if _, isKnown := sent[e.Name]; !isKnown {
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

func printViolations(breaches []checker.Violation) {
	for _, b := range breaches {
		fmt.Println("BROKEN", b)
	}
}

// --- judge ---

type checkCommand struct{}

func (*checkCommand) Name() string     { return "judge" }
func (*checkCommand) Synopsis() string { return "judge a history that a run has left" }
func (*checkCommand) Usage() string {
	return "sparnotch-bench judge HISTORY.jsonl\n  Exit codes: 0 no rule broken, 1 a rule broken, 2 unreadable.\n"
}
func (*checkCommand) SetFlags(*flag.FlagSet) {}

func (*checkCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if set.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "sparnotch-bench: judge takes one history")
		return 2
	}
	events, err := readHistory(set.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench:", err)
		return 2
	}
	breaches := checker.Check(events, checker.DefaultBounds)
	printViolations(breaches)
	fmt.Printf("check: %d events, %d rules broken\n", len(events), len(breaches))
	if len(breaches) > 0 {
		return 1
	}
	return 0
}
