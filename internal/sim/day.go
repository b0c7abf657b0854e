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
	At       eventloop.Micros
	Records  uint64 // longest log of a group on a store
	Live     int    // jobs of all queues, as their leaders have them
	Kept     int    // ended and not forgotten
	Sessions int
	Bytes    int    // of the largest disk
	Moves    string // terms, wards and the controller: whatever moved shows here
}

// sample looks at a fleet, outside time.
func (f *Fleet) sample() Sample {
	s := Sample{At: f.Now}
	var moves []string
	isTold := false // the cluster state's word, by one of them
	for _, h := range f.Stores() {
		belief := h.Belief()
		if belief == nil {
			continue
		}
		bytes := 0
		for _, name := range []string{"slot-0", "slot-1", "log-0", "log-1"} {
			bytes += h.Disk.Size(name)
		}
		s.Bytes = max(s.Bytes, bytes)
		for _, group := range belief.Groups {
			s.Records = max(s.Records, group.Last-group.Released)
			if group.Role == "leader" {
				s.Live, s.Kept, s.Sessions = s.Live+group.LiveJobs, s.Kept+group.RetainedJobs, s.Sessions+group.Sessions
				moves = append(moves, fmt.Sprint(group.Group, " ", group.Leader, " ", group.Term))
			}
		}
		if belief.IsClusterStateFresh && !isTold {
			isTold = true
			moves = append(moves, fmt.Sprint("controller ", belief.Controller, " ", belief.ControllerLease))
			for _, ward := range belief.WorkerLeases {
				moves = append(moves, fmt.Sprint(ward.Worker, " ", ward.Scheduler, " ", ward.FencingToken))
			}
		}
	}
	s.Moves = strings.Join(moves, "; ")
	return s
}

// Day is a whole day of a deployment in virtual time: its callers at a share of
// their rate, a table every hour, jobs that last, every machine rolled, a quiet
// part, and one last fault before the table is read back. Its hours may be short.
func Day(size Size, seed uint64, hours int, hour eventloop.Micros, share float64) (*Fleet, []Sample, []checker.Violation, []string) {
	size.Kinds = slices.Clone(size.Kinds)
	for k := range size.Kinds {
		size.Kinds[k].Every = eventloop.Micros(float64(size.Kinds[k].Every) / share)
	}
	span := eventloop.Micros(hours) * hour
	f := NewFleet(seed, size, CalmNet, 500, span)
	var samples []Sample
	long := step("long", 1, 100)
	f.At(f.Began+10*eventloop.Second, func() {
		f.HandIn(Kind{Queue: "slow", Job: &schema.Job{Text: "run_us=20000", DelayUs: int64(span - hour/2), Steps: []*schema.Step{long}}}, "till-evening")
		f.HandIn(Kind{Queue: "slow", Job: &schema.Job{Text: fmt.Sprint("run_us=", int64(span/3)), Steps: []*schema.Step{long}}}, "all-morning")
	})
	// A look every quarter of an hour; the second hour is the quiet one.
	quiet := map[string]bool{}
	for at := hour / 4; at < span; at += hour / 4 {
		f.At(f.Began+at, func() {
			s := f.sample()
			samples = append(samples, s)
			if at > hour+hour/8 && at < 2*hour {
				quiet[s.Moves] = true
			}
		})
	}
	for h := 2; h < hours; h++ {
		f.At(f.Began+eventloop.Micros(h)*hour+90*eventloop.Second, func() { f.Put("operator", f.Rows(30+h)) })
	}
	// The roll: every machine is warned and comes back, one after another, in
	// what is left of the day after the quiet part.
	var rolls []func()
	for _, h := range f.Hosts {
		rolls = append(rolls, func() {
			f.Fault("%s warned", h.Name)
			h.Warn(10 * eventloop.Second)
			f.After(12*eventloop.Second, func() { h.Kill(); h.Start() })
		})
	}
	f.At(f.Began, func() {
		for k, w := range f.Workers {
			f.At(f.Began+rollAt(span, hour, len(rolls)+k, len(rolls)+len(f.Workers)), func() {
				w.Leave()
				f.After(20*eventloop.Second, func() { w.Crash(); w.Start() })
			})
		}
	})
	for k, roll := range rolls {
		f.At(f.Began+rollAt(span, hour, k, len(rolls)+size.Workers), roll)
	}
	// The day ends with one last fault.
	during(f, span-20*eventloop.Second, func(leader *Host) { f.killed(leader, 5*eventloop.Second) })
	breaches := f.Finish()
	var wrong []string
	if len(quiet) != 1 {
		wrong = append(wrong, fmt.Sprintf("in the quiet part something moved: %d states", len(quiet)))
	}
	last := samples[len(samples)-1]
	early := samples[min(len(samples)-1, 6)]
	if last.Records > 4096+2*early.Records || last.Kept > 2*early.Kept+100 || last.Bytes > 4*early.Bytes || last.Sessions > 4*early.Sessions+40 || last.Live > 2*early.Live+100 {
		wrong = append(wrong, fmt.Sprintf("what it holds has grown from %+v to %+v", early, last))
	}
	return f, samples, breaches, wrong
}

func rollAt(span, hour eventloop.Micros, k, of int) eventloop.Micros {
	from := 2*hour + hour/4
	return from + (span-from-hour/2)/eventloop.Micros(of)*eventloop.Micros(k)
}
