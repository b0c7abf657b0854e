package sim

import (
	"fmt"
	"slices"
	"strings"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
)

// Hour is one real hour in µs. The hours of a simulated day may be shorter.
const Hour = 3600 * eventloop.Second

// Sample records how much state a fleet holds at one point in time.
type Sample struct {
	At           eventloop.Micros
	LogEntries   uint64 // length of the longest log
	LiveJobs     int    // live jobs of all queues, according to their leaders
	RetainedJobs int    // ended jobs that are still retained
	Sessions     int
	Bytes        int    // used bytes of the fullest disk
	Leadership   string // leaders, terms, the controller and leases; any change of them changes this text
}

// diskFiles lists the files of a storage node.
var diskFiles = []string{"slot-0", "slot-1", "log-0", "log-1"}

// usedBytes returns the total size of a storage node's files.
func (d *Disk) usedBytes() int {
	bytes := 0
	for _, name := range diskFiles {
		bytes += d.Size(name)
	}
	return bytes
}

// sample takes a sample without advancing virtual time.
func (f *Fleet) sample() Sample {
	s := Sample{At: f.Now}
	var leadership []string
	hasLeases := false // whether the leases were taken from a node with a fresh cluster state
	for _, h := range f.StorageNodes() {
		view := h.StateView()
		if view == nil {
			continue
		}
		s.Bytes = max(s.Bytes, h.Disk.usedBytes())
		for _, group := range view.Groups {
			s.LogEntries = max(s.LogEntries, group.LastIndex-group.SnapshotIndex)
			if group.Role == "leader" {
				s.LiveJobs, s.RetainedJobs, s.Sessions = s.LiveJobs+group.LiveJobs, s.RetainedJobs+group.RetainedJobs, s.Sessions+group.Sessions
				leadership = append(leadership, fmt.Sprint(group.Group, " ", group.Leader, " ", group.Term))
			}
		}
		if view.IsClusterStateFresh && !hasLeases {
			hasLeases = true
			leadership = append(leadership, fmt.Sprint("controller ", view.Controller, " ", view.ControllerLease))
			for _, lease := range view.WorkerLeases {
				leadership = append(leadership, fmt.Sprint(lease.Worker, " ", lease.Scheduler, " ", lease.FencingToken))
			}
		}
	}
	s.Leadership = strings.Join(leadership, "; ")
	return s
}

// hasOutgrown reports whether the fleet holds so much more than in an earlier sample that it
// must have a leak.
func (s Sample) hasOutgrown(earlier Sample) bool {
	return s.LogEntries > 4096+2*earlier.LogEntries || s.RetainedJobs > 2*earlier.RetainedJobs+100 || s.Bytes > 4*earlier.Bytes ||
		s.Sessions > 4*earlier.Sessions+40 || s.LiveJobs > 2*earlier.LiveJobs+100
}

// dayRun is a simulated day of a fleet that is being run.
type dayRun struct {
	*Fleet
	hours       int
	hourLength  eventloop.Micros
	samples     []Sample
	quietStates map[string]bool // values of Sample.Leadership in the quiet part
}

func (d *dayRun) duration() eventloop.Micros { return eventloop.Micros(d.hours) * d.hourLength }

// Day runs a whole day of a deployment: clients at a share of their usual rate, a new
// configuration each hour, long-lasting jobs, a quiet part without faults and changes, a
// rolling restart of all machines and workers, and a last fault. The argument hourLength is the
// length of an hour, which may be shorter than Hour. Day returns the fleet at the end, a sample
// of each quarter of an hour, the violations of rules, and other problems.
func Day(spec FleetSpec, seed uint64, hours int, hourLength eventloop.Micros, share float64) (*Fleet, []Sample, []checker.Violation, []string) {
	spec.JobKinds = slices.Clone(spec.JobKinds)
	for k := range spec.JobKinds {
		spec.JobKinds[k].Interval = eventloop.Micros(float64(spec.JobKinds[k].Interval) / share)
	}
	d := &dayRun{hours: hours, hourLength: hourLength, quietStates: map[string]bool{}}
	d.Fleet = NewFleet(seed, spec, ReliableNetwork, fastSync, d.duration())
	d.submitLastingJobs()
	d.takeSamples()
	for h := 2; h < hours; h++ {
		d.atLoad(eventloop.Micros(h)*hourLength+90*eventloop.Second, func() { d.PutConfiguration("operator", d.ConfigurationRows(30+h)) })
	}
	d.restartAllInTurn()
	d.killLeaderAt(d.duration()-20*eventloop.Second, 5*eventloop.Second)
	violations := d.Finish()
	return d.Fleet, d.samples, violations, d.verify()
}

// submitLastingJobs submits a job that starts near the end of the day and one that runs for a
// third of the day.
func (d *dayRun) submitLastingJobs() {
	step := newStep("long", 1, 100)
	late, long := newJob("run_us=20000", step), newJob(fmt.Sprint("run_us=", int64(d.duration()/3)), step)
	late.DelayUs = int64(d.duration() - d.hourLength/2)
	d.atLoad(10*eventloop.Second, func() {
		d.Submit(JobKind{Queue: "slow", Job: late}, "till-evening")
		d.Submit(JobKind{Queue: "slow", Job: long}, "all-morning")
	})
}

// takeSamples takes a sample each quarter of an hour. The second hour is the quiet part: it has
// no faults and changes, so the leadership must not change.
func (d *dayRun) takeSamples() {
	for at := d.hourLength / 4; at < d.duration(); at += d.hourLength / 4 {
		d.atLoad(at, func() {
			s := d.sample()
			d.samples = append(d.samples, s)
			if at > d.hourLength+d.hourLength/8 && at < 2*d.hourLength {
				d.quietStates[s.Leadership] = true
			}
		})
	}
}

// restartAllInTurn restarts every machine and worker gracefully, one after another, in the rest
// of the day after its quiet part.
func (d *dayRun) restartAllInTurn() {
	hosts := slices.Clone(d.Hosts)
	d.atLoad(0, func() {
		for k, w := range d.Workers {
			d.atLoad(d.restartAt(len(hosts)+k, len(hosts)+len(d.Workers)), func() {
				w.Drain()
				d.After(20*eventloop.Second, func() { w.Crash(); w.Start() })
			})
		}
	})
	for k, h := range hosts {
		d.atLoad(d.restartAt(k, len(hosts)+d.Spec.Workers), func() {
			d.RecordFault("%s warned", h.Name)
			h.Drain(10 * eventloop.Second)
			d.After(12*eventloop.Second, func() { h.Kill(); h.Start() })
		})
	}
}

// restartAt returns when the restart of number k of all machines and workers begins, as a time
// since the start of the load.
func (d *dayRun) restartAt(k, of int) eventloop.Micros {
	from := 2*d.hourLength + d.hourLength/4
	return from + (d.duration()-from-d.hourLength/2)/eventloop.Micros(of)*eventloop.Micros(k)
}

func (d *dayRun) verify() []string {
	var problems []string
	if len(d.quietStates) != 1 {
		problems = append(problems, fmt.Sprintf("leaders or leases changed in the quiet part: there were %d different states", len(d.quietStates)))
	}
	earlier, last := d.samples[min(len(d.samples)-1, 6)], d.samples[len(d.samples)-1]
	if last.hasOutgrown(earlier) {
		problems = append(problems, fmt.Sprintf("the state that the fleet holds has grown from %+v to %+v", earlier, last))
	}
	return problems
}
