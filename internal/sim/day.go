package sim

import (
	"fmt"
	"slices"
	"strings"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Hour is a usual one.
const Hour = 3600 * eventloop.Second

// Sample is how much a fleet holds at one moment.
type Sample struct {
	At           eventloop.Micros
	LogEntries   uint64 // longest log of a group on a store
	LiveJobs     int    // jobs of all queues, as their leaders have them
	RetainedJobs int    // ended and not forgotten
	Sessions     int
	Bytes        int    // of the largest disk
	Leadership   string // terms, wards and the controller: whatever moved shows here
}

// sample looks at a fleet, outside time.
func (f *Fleet) sample() Sample {
	s := Sample{At: f.Now}
	var moves []string
	recorded := false // the cluster state's word, by one of them
	for _, h := range f.StorageNodes() {
		view := h.StateView()
		if view == nil {
			continue
		}
		bytes := 0
		for _, name := range []string{"slot-0", "slot-1", "log-0", "log-1"} {
			bytes += h.Disk.Size(name)
		}
		s.Bytes = max(s.Bytes, bytes)
		for _, group := range view.Groups {
			s.LogEntries = max(s.LogEntries, group.Last-group.Released)
			if group.Role == "leader" {
				s.LiveJobs, s.RetainedJobs, s.Sessions = s.LiveJobs+group.LiveJobs, s.RetainedJobs+group.RetainedJobs, s.Sessions+group.Sessions
				moves = append(moves, fmt.Sprint(group.Group, " ", group.Leader, " ", group.Term))
			}
		}
		if view.IsClusterStateFresh && !recorded {
			recorded = true
			moves = append(moves, fmt.Sprint("controller ", view.Controller, " ", view.ControllerLease))
			for _, lease := range view.WorkerLeases {
				moves = append(moves, fmt.Sprint(lease.Worker, " ", lease.Scheduler, " ", lease.FencingToken))
			}
		}
	}
	s.Leadership = strings.Join(moves, "; ")
	return s
}

// Day is a whole day of a deployment in virtual time: its callers at a share of
// their rate, a table every hour, jobs that last, every machine rolled, a quiet
// part, and one last fault before the table is read back. Its hours may be short.
func Day(size FleetSpec, seed uint64, hours int, hour eventloop.Micros, share float64) (*Fleet, []Sample, []checker.Violation, []string) {
	size.JobKinds = slices.Clone(size.JobKinds)
	for k := range size.JobKinds {
		size.JobKinds[k].Interval = eventloop.Micros(float64(size.JobKinds[k].Interval) / share)
	}
	duration := eventloop.Micros(hours) * hour
	f := NewFleet(seed, size, ReliableNetwork, 500, duration)
	var samples []Sample
	long := newStep("long", 1, 100)
	f.At(f.LoadStart+10*eventloop.Second, func() {
		f.Submit(JobKind{Queue: "slow", Job: &schema.Job{Text: "run_us=20000", DelayUs: int64(duration - hour/2), Steps: []*schema.Step{long}}}, "till-evening")
		f.Submit(JobKind{Queue: "slow", Job: &schema.Job{Text: fmt.Sprint("run_us=", int64(duration/3)), Steps: []*schema.Step{long}}}, "all-morning")
	})
	// A look every quarter of an hour; the second hour is the quiet one.
	quiet := map[string]bool{}
	for at := hour / 4; at < duration; at += hour / 4 {
		f.At(f.LoadStart+at, func() {
			s := f.sample()
			samples = append(samples, s)
			if at > hour+hour/8 && at < 2*hour {
				quiet[s.Leadership] = true
			}
		})
	}
	for h := 2; h < hours; h++ {
		f.At(f.LoadStart+eventloop.Micros(h)*hour+90*eventloop.Second, func() { f.PutConfiguration("operator", f.ConfigurationRows(30+h)) })
	}
	// The roll: every machine is warned and comes back, one after another, in
	// what is left of the day after the quiet part.
	var rolls []func()
	for _, h := range f.Hosts {
		rolls = append(rolls, func() {
			f.RecordFault("%s warned", h.Name)
			h.Drain(10 * eventloop.Second)
			f.After(12*eventloop.Second, func() { h.Kill(); h.Start() })
		})
	}
	f.At(f.LoadStart, func() {
		for k, w := range f.Workers {
			f.At(f.LoadStart+rollingRestartAt(duration, hour, len(rolls)+k, len(rolls)+len(f.Workers)), func() {
				w.Drain()
				f.After(20*eventloop.Second, func() { w.Crash(); w.Start() })
			})
		}
	})
	for k, roll := range rolls {
		f.At(f.LoadStart+rollingRestartAt(duration, hour, k, len(rolls)+size.Workers), roll)
	}
	// The day ends with one last fault.
	withLeaderAt(f, duration-20*eventloop.Second, func(leader *Host) { f.kill(leader, 5*eventloop.Second) })
	violations := f.Finish()
	var problems []string
	if len(quiet) != 1 {
		problems = append(problems, fmt.Sprintf("in the quiet part something moved: %d states", len(quiet)))
	}
	last := samples[len(samples)-1]
	early := samples[min(len(samples)-1, 6)]
	if last.LogEntries > 4096+2*early.LogEntries || last.RetainedJobs > 2*early.RetainedJobs+100 || last.Bytes > 4*early.Bytes || last.Sessions > 4*early.Sessions+40 || last.LiveJobs > 2*early.LiveJobs+100 {
		problems = append(problems, fmt.Sprintf("what it holds has grown from %+v to %+v", early, last))
	}
	return f, samples, violations, problems
}

func rollingRestartAt(duration, hour eventloop.Micros, k, of int) eventloop.Micros {
	from := 2*hour + hour/4
	return from + (duration-from-hour/2)/eventloop.Micros(of)*eventloop.Micros(k)
}
