package sim

import (
	"fmt"
	"slices"
	"strings"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
	"sparnotch/internal/schema"
)

// Scenario is a fault, or several, brought about during a run.
type Scenario struct {
	Name      string
	Network   NetworkProfile
	SyncDelay eventloop.Micros
	Duration  eventloop.Micros
	Inject    func(f *Fleet)
	Verify    func(f *Fleet) []string // what must hold at the end besides the rules
}

// withLeaderAt calls with the leader of the moment, some time into the load.
func withLeaderAt(f *Fleet, at eventloop.Micros, call func(leader *Host)) {
	f.At(f.LoadStart+at, func() {
		leader := f.Leader()
		if leader == nil {
			// Between two leaders: a moment later there is one again.
			withLeaderAt(f, f.Now-f.LoadStart+200*eventloop.Millisecond, call)
			return
		}
		call(leader)
	})
}

func (f *Fleet) kill(h *Host, back eventloop.Micros) {
	f.RecordFault("%s killed", h.Name)
	h.Kill()
	f.After(back, h.Start)
}

func (f *Fleet) isolate(h *Host, duration eventloop.Micros) {
	f.RecordFault("%s isolated", h.Name)
	f.Isolate(h, true)
	f.After(duration, func() { f.Isolate(h, false) })
}

func freezeLeader(duration eventloop.Micros) func(f *Fleet) {
	return func(f *Fleet) {
		withLeaderAt(f, 4*eventloop.Second, func(leader *Host) {
			f.RecordFault("%s frozen", leader.Name)
			leader.Freeze(duration)
		})
	}
}

// controllerHost is the side machine that holds the lease.
func (f *Fleet) controllerHost() *Host {
	for _, store := range f.StorageNodes() {
		if view := store.StateView(); view != nil && view.IsClusterStateFresh {
			for _, h := range f.Hosts {
				if h.ID == view.Controller && h.IsUp {
					return h
				}
			}
		}
	}
	return f.agentNodes[0]
}

// newestHost is the machine that was added last.
func (f *Fleet) newestHost() *Host { return f.Hosts[len(f.Hosts)-1] }

// replace: the machine is gone with its disk, an empty one comes up at a new
// address.
func (f *Fleet) replace(h *Host) {
	f.RecordFault("%s lost for good", h.Name)
	h.Wipe()
	zone := h.Zone
	f.After(3*eventloop.Second, func() {
		newHost := f.AddHost(h.Name+"'", zone, h.Role, true)
		// Its settings name machines of today; the first three may be long gone.
		for _, other := range f.Hosts {
			if other.IsUp && len(newHost.Seeds) < 3 {
				newHost.Seeds = append(newHost.Seeds, other.Address)
			}
		}
		newHost.Start()
	})
}

// Scenarios are the brief's faults.
var Scenarios = []Scenario{
	{Name: "calm", Network: ReliableNetwork, SyncDelay: 500, Duration: 15 * eventloop.Second},
	{Name: "rough net", Network: LossyNetwork, SyncDelay: 500, Duration: 15 * eventloop.Second},
	{Name: "slow disks", Network: ReliableNetwork, SyncDelay: 5 * eventloop.Millisecond, Duration: 15 * eventloop.Second},
	{Name: "leader killed", Network: ReliableNetwork, SyncDelay: 500, Duration: 25 * eventloop.Second, Inject: func(f *Fleet) {
		withLeaderAt(f, 4*eventloop.Second, func(leader *Host) { f.kill(leader, 4*eventloop.Second) })
	}},
	{Name: "leaders killed in turn, rough net", Network: LossyNetwork, SyncDelay: 5 * eventloop.Millisecond, Duration: 45 * eventloop.Second, Inject: func(f *Fleet) {
		for k := 0; k < 3; k++ {
			withLeaderAt(f, eventloop.Micros(3+13*k)*eventloop.Second, func(leader *Host) { f.kill(leader, 3*eventloop.Second) })
		}
	}},
	{Name: "all killed at once", Network: ReliableNetwork, SyncDelay: 500, Duration: 25 * eventloop.Second, Inject: func(f *Fleet) {
		f.At(f.LoadStart+4*eventloop.Second, func() {
			f.RecordFault("every process killed")
			for _, h := range f.Hosts {
				h.Kill()
				f.After(eventloop.Second, h.Start)
			}
		})
	}},
	{Name: "leader frozen 1 s", Network: ReliableNetwork, SyncDelay: 500, Duration: 20 * eventloop.Second, Inject: freezeLeader(eventloop.Second)},
	{Name: "leader frozen 5 s", Network: ReliableNetwork, SyncDelay: 500, Duration: 25 * eventloop.Second, Inject: freezeLeader(5 * eventloop.Second)},
	{Name: "leader frozen 30 s", Network: ReliableNetwork, SyncDelay: 500, Duration: 45 * eventloop.Second, Inject: freezeLeader(30 * eventloop.Second)},
	{Name: "leader isolated", Network: ReliableNetwork, SyncDelay: 500, Duration: 30 * eventloop.Second, Inject: func(f *Fleet) {
		withLeaderAt(f, 4*eventloop.Second, func(leader *Host) { f.isolate(leader, 12*eventloop.Second) })
	}},
	{Name: "core split each way", Network: ReliableNetwork, SyncDelay: 500, Duration: 60 * eventloop.Second, Inject: func(f *Fleet) {
		for k := 0; k < 3; k++ {
			f.At(f.LoadStart+eventloop.Micros(3+18*k)*eventloop.Second, func() {
				zone := f.StorageNodes()[k].Zone
				side := func(h *Host) bool { return h.Zone == zone }
				f.RecordFault("cell %s split off", zone)
				f.Partition(true, side)
				f.After(8*eventloop.Second, func() { f.Partition(false, side) })
			})
		}
	}},
	{Name: "one-way cuts", Network: ReliableNetwork, SyncDelay: 500, Duration: 45 * eventloop.Second, Inject: func(f *Fleet) {
		for k := 0; k < 2; k++ {
			withLeaderAt(f, eventloop.Micros(3+20*k)*eventloop.Second, func(leader *Host) {
				f.isolateOneWay(leader, 10*eventloop.Second, k == 0)
			})
		}
	}},
	{Name: "disk machine replaced", Network: ReliableNetwork, SyncDelay: 500, Duration: 45 * eventloop.Second, Inject: func(f *Fleet) {
		withLeaderAt(f, 4*eventloop.Second, func(leader *Host) { f.replace(leader) })
	}, Verify: verifyRepaired},
	{Name: "all disk machines replaced in turn", Network: ReliableNetwork, SyncDelay: 500, Duration: 90 * eventloop.Second, Inject: func(f *Fleet) {
		for k := 0; k < 3; k++ {
			f.At(f.LoadStart+eventloop.Micros(3+27*k)*eventloop.Second, func() { f.replace(f.Hosts[k]) })
		}
	}, Verify: verifyRepaired},
	{Name: "a machine away while every seed is replaced", Network: ReliableNetwork, SyncDelay: 500, Duration: 130 * eventloop.Second, Inject: func(f *Fleet) {
		// A store that is nobody's seed is away until nobody remembers it, and
		// its own seeds are gone: its only way back is whom it knew.
		f.At(f.LoadStart+2*eventloop.Second, func() { f.replace(f.Hosts[0]) })
		f.At(f.LoadStart+30*eventloop.Second, func() {
			away := f.newestHost()
			away.Seeds = []string{f.Hosts[0].Address, "10.9.9.8:1", "10.9.9.9:1"}
			f.kill(away, 70*eventloop.Second)
		})
	}, Verify: func(f *Fleet) []string {
		if len(f.newestHost().StateView().Members) < 5 {
			return []string{"the store did not find its way back"}
		}
		return nil
	}},
	{Name: "disk stalls", Network: ReliableNetwork, SyncDelay: 500, Duration: 40 * eventloop.Second, Inject: func(f *Fleet) {
		withLeaderAt(f, 4*eventloop.Second, func(leader *Host) {
			f.RecordFault("the disk of %s stalls", leader.Name)
			leader.StallUntil = f.Now + 8*eventloop.Second
		})
	}},
	{Name: "slow disk", Network: ReliableNetwork, SyncDelay: 500, Duration: 60 * eventloop.Second, Inject: func(f *Fleet) {
		withLeaderAt(f, 4*eventloop.Second, func(leader *Host) {
			f.RecordFault("the disk of %s is slow", leader.Name)
			leader.SyncDelay = 450 * eventloop.Millisecond
			f.slowDiskHost = leader
		})
	}, Verify: func(f *Fleet) []string {
		var problems []string
		if leader := f.Leader(); leader == f.slowDiskHost {
			problems = append(problems, "the queues stayed on the slow disk")
		}
		moves := map[uint64]bool{}
		for _, h := range f.StorageNodes() {
			for _, lease := range h.StateView().WorkerLeases {
				moves[lease.FencingToken] = true
			}
		}
		// Five workers, placed once and moved once or twice; more is flapping.
		if last := maxRevision(moves); last > 40 {
			problems = append(problems, fmt.Sprintf("generations went up to %d", last))
		}
		return problems
	}},
	{Name: "side machines swapped out", Network: ReliableNetwork, SyncDelay: 500, Duration: 30 * eventloop.Second, Inject: func(f *Fleet) {
		for k := 0; k < 3; k++ {
			f.At(f.LoadStart+eventloop.Micros(3+3*k)*eventloop.Second, func() {
				old := f.agentNodes[k]
				f.RecordFault("%s swapped out", old.Name)
				old.Kill()
				newHost := f.AddHost(old.Name+"'", old.Zone, old.Role, false)
				f.After(500*eventloop.Millisecond, newHost.Start)
			})
		}
		withLeaderAt(f, 18*eventloop.Second, func(leader *Host) { f.kill(leader, 3*eventloop.Second) })
	}},
	{Name: "controller frozen and superseded", Network: ReliableNetwork, SyncDelay: 500, Duration: 45 * eventloop.Second, Inject: func(f *Fleet) {
		f.At(f.LoadStart+3*eventloop.Second, func() {
			controller := f.controllerHost()
			f.RecordFault("the controller %s frozen", controller.Name)
			controller.Freeze(12 * eventloop.Second)
		})
		// The leader dies while nobody may act, and again when the old controller
		// has woken beside its successor.
		withLeaderAt(f, 3500*eventloop.Millisecond, func(leader *Host) { f.kill(leader, 5*eventloop.Second) })
		withLeaderAt(f, 15100*eventloop.Millisecond, func(leader *Host) { f.kill(leader, 5*eventloop.Second) })
	}},
	{Name: "controller isolated", Network: ReliableNetwork, SyncDelay: 500, Duration: 45 * eventloop.Second, Inject: func(f *Fleet) {
		f.At(f.LoadStart+3*eventloop.Second, func() { f.isolate(f.controllerHost(), 15*eventloop.Second) })
		withLeaderAt(f, 8*eventloop.Second, func(leader *Host) { f.kill(leader, 5*eventloop.Second) })
	}},
	{Name: "every side machine gone", Network: ReliableNetwork, SyncDelay: 500, Duration: 30 * eventloop.Second, Inject: func(f *Fleet) {
		// The data plane goes on as the cluster state last said.
		f.At(f.LoadStart+3*eventloop.Second, func() {
			f.RecordFault("every side machine killed")
			for _, h := range f.agentNodes {
				h.Kill()
				f.After(15*eventloop.Second, h.Start)
			}
		})
	}},
	{Name: "a front dies with a gap in its numbers", Network: ReliableNetwork, SyncDelay: 500, Duration: 60 * eventloop.Second, Inject: func(f *Fleet) {
		f.At(f.LoadStart, func() {
			f.PutConfiguration("operator", append(f.ConfigurationRows(60), &schema.ConfigurationRow{Kind: "fleet", Key: "session_timeout_s", Value: "10"}))
		})
		f.At(f.LoadStart+3*eventloop.Second, func() {
			// Number 2 arrives, number 1 never will.
			node := f.disklessGateways[len(f.disklessGateways)-1]
			(&effects{node}).Send(f.Leader().ID, &schema.SubmitRequest{Queue: "quick", Enqueues: []*schema.Enqueue{{
				Session: &schema.Session{Gateway: node.ID, Incarnation: 1, Client: "stuck"}, Number: 2, LowestUnconfirmed: 1, Name: "stuck", Digest: []byte("x"), Job: DefaultJobKinds()[0].Job,
			}}})
			f.After(100*eventloop.Millisecond, func() {
				f.RecordFault("%s killed", node.Name)
				node.Kill()
			})
		})
	}, Verify: func(f *Fleet) []string {
		var problems []string
		for _, h := range f.StorageNodes() {
			for _, group := range h.StateView().Groups {
				if strings.HasPrefix(group.Group, "quick#") && group.Last-group.Released > 600 {
					problems = append(problems, fmt.Sprintf("%s holds %d records on %s", group.Group, group.Last-group.Released, h.Name))
				}
			}
		}
		for _, e := range f.History {
			if e.Name == "stuck" {
				problems = append(problems, "what was never confirmed has run")
			}
		}
		return problems
	}},
	{Name: "clocks jump", Network: ReliableNetwork, SyncDelay: 5 * eventloop.Millisecond, Duration: 25 * eventloop.Second, Inject: func(f *Fleet) {
		for k := 0; k < 6; k++ {
			f.At(f.LoadStart+eventloop.Micros(2+3*k)*eventloop.Second, func() {
				h := f.Hosts[f.Rng.IntN(len(f.Hosts))]
				if h.Disk != nil {
					// One clock of the three that count is wrong at a time; with two
					// wrong nothing could tell which is right.
					for _, other := range f.StorageNodes() {
						other.WallClockOffset = 0
					}
				}
				h.WallClockOffset = (f.Rng.Int64N(2*6*3600) - 6*3600) * int64(eventloop.Second)
			})
		}
		withLeaderAt(f, 9*eventloop.Second, func(leader *Host) { f.kill(leader, 2*eventloop.Second) })
	}},
	{Name: "workers crash, vanish, leave, are cut off", Network: ReliableNetwork, SyncDelay: 500, Duration: 35 * eventloop.Second, Inject: func(f *Fleet) {
		f.At(f.LoadStart+2*eventloop.Second, func() { f.Workers[0].Crash(); f.After(2*eventloop.Second, f.Workers[0].Start) })
		f.At(f.LoadStart+5*eventloop.Second, func() { f.Workers[1].Crash(); f.Workers[1].Start() })
		f.At(f.LoadStart+8*eventloop.Second, func() {
			f.Workers[2].SetPartitioned(true)
			f.After(9*eventloop.Second, func() { f.Workers[2].SetPartitioned(false) })
		})
		f.At(f.LoadStart+12*eventloop.Second, func() { f.Workers[3].Drain() })
		f.At(f.LoadStart+20*eventloop.Second, func() { f.Workers[4].Freeze(7 * eventloop.Second) })
		f.At(f.LoadStart+24*eventloop.Second, func() { f.Workers[3].Crash(); f.Workers[3].Start() })
		// Removed at short notice.
		f.At(f.LoadStart+28*eventloop.Second, func() { f.Workers[1].Drain(); f.After(eventloop.Second, f.Workers[1].Crash) })
	}},
	{Name: "workers fail, slow down, stand still", Network: ReliableNetwork, SyncDelay: 500, Duration: 30 * eventloop.Second, Inject: func(f *Fleet) {
		f.At(f.LoadStart, func() {
			f.Workers[0].Habits().FailureRate = 0.6
			f.Workers[1].Habits().Slowdown = 5
			f.Workers[2].Habits().StallRate = 0.1
		})
	}},
	{Name: "worker cut off while its leader dies", Network: ReliableNetwork, SyncDelay: 500, Duration: 30 * eventloop.Second, Inject: func(f *Fleet) {
		f.At(f.LoadStart+4*eventloop.Second, func() {
			f.Workers[2].SetPartitioned(true)
			f.After(12*eventloop.Second, func() { f.Workers[2].SetPartitioned(false) })
		})
		withLeaderAt(f, 4500*eventloop.Millisecond, func(leader *Host) { f.kill(leader, 3*eventloop.Second) })
	}},
	{Name: "the table takes effect", Network: ReliableNetwork, SyncDelay: 500, Duration: 35 * eventloop.Second, Inject: func(f *Fleet) {
		row := func(kind, name, key, value string) *schema.ConfigurationRow {
			return &schema.ConfigurationRow{Kind: kind, Name: name, Key: key, Value: value}
		}
		// A rack is emptied, a queue narrowed, a queue made, each acted on within
		// the span, while the leader goes.
		f.At(f.LoadStart+3*eventloop.Second, func() {
			f.PutConfiguration("operator", append(f.ConfigurationRows(60), row("rack", "r1", "weight", "0")))
		})
		f.At(f.LoadStart+10*eventloop.Second, func() {
			f.PutConfiguration("operator", append(f.ConfigurationRows(60), row("queue", "slow", "running", "2")))
		})
		f.At(f.LoadStart+18*eventloop.Second, func() {
			f.PutConfiguration("operator", append(f.ConfigurationRows(60), row("queue", "extra", "urgency", "5")))
		})
		withLeaderAt(f, 14*eventloop.Second, func(leader *Host) { f.kill(leader, 3*eventloop.Second) })
		for k := range f.Gateways() {
			f.At(f.LoadStart+21*eventloop.Second+eventloop.Micros(k)*100*eventloop.Millisecond, func() {
				f.Submit(JobKind{Queue: "extra", Job: DefaultJobKinds()[0].Job}, fmt.Sprint("extra-", k))
			})
		}
	}},
	{Name: "long work is cancelled", Network: ReliableNetwork, SyncDelay: 500, Duration: 30 * eventloop.Second, Inject: func(f *Fleet) {
		long := &schema.Job{Text: "run_us=25000000", Steps: []*schema.Step{newStep("first", 3, 500), newStep("more", 60, 2000), newStep("last", 2, 500, "first")}}
		for k := 0; k < 6; k++ {
			f.At(f.LoadStart+eventloop.Micros(1+3*k)*eventloop.Second, func() {
				kind, name := JobKind{Queue: "slow", Job: long}, fmt.Sprint("long-", k)
				f.Submit(kind, name)
				f.After(1500*eventloop.Millisecond, func() { f.cancelJob(kind, name) })
			})
		}
		withLeaderAt(f, 8*eventloop.Second, func(leader *Host) { f.kill(leader, 3*eventloop.Second) })
	}},
	{Name: "leader, controller and worker lost at once", Network: ReliableNetwork, SyncDelay: 500, Duration: 40 * eventloop.Second, Inject: func(f *Fleet) {
		withLeaderAt(f, 6*eventloop.Second, func(leader *Host) {
			// Long work is out everywhere, so that the lost worker had some.
			long := &schema.Job{Text: "run_us=6000000", Steps: []*schema.Step{newStep("long", uint32(2*len(f.Workers)), 500)}}
			f.Submit(JobKind{Queue: "slow", Job: long}, "long-1")
			f.After(2*eventloop.Second, func() {
				f.kill(leader, 20*eventloop.Second)
				controller := f.controllerHost()
				f.kill(controller, 20*eventloop.Second)
				worker := f.busiestWorker()
				f.lostWorker = worker.Name()
				worker.Crash()
				f.workerLostAt = f.Now
			})
		})
	}, Verify: func(f *Fleet) []string {
		// All that ran on it is begun elsewhere within the span of a recovery.
		var problems []string
		out := map[[3]any]bool{}
		isOver := map[string]bool{} // not to be begun again
		for _, e := range f.History {
			if e.Kind == checker.CancelRequest || e.State == "failed" && e.Kind == checker.Status {
				isOver[e.Name] = true
			}
		}
		for _, e := range f.History {
			key := [3]any{e.Queue, fmt.Sprint(e.Job, e.Name), [2]uint32{e.Step, e.Task}}
			switch {
			case e.Actor == f.lostWorker && e.Kind == checker.TaskStart && e.At <= f.workerLostAt && !isOver[e.Name]:
				out[key] = true
			case e.Kind == checker.TaskEnd && e.At <= f.workerLostAt && e.State != "gone":
				delete(out, key)
			case e.Kind == checker.TaskStart && out[key]:
				delete(out, key)
				f.RestartDelay = max(f.RestartDelay, e.At-f.workerLostAt)
			}
		}
		if f.RestartDelay == 0 || len(out) > 0 || f.RestartDelay > 12*eventloop.Second {
			problems = append(problems, fmt.Sprintf("%d tasks of the lost worker never begun again, the last of the others after %d us", len(out), f.RestartDelay))
		}
		return problems
	}},
	{Name: "a leave told only to a front that is cut off", Network: ReliableNetwork, SyncDelay: 500, Duration: 25 * eventloop.Second, Inject: func(f *Fleet) {
		f.At(f.LoadStart+4*eventloop.Second, func() {
			node := f.disklessGateways[len(f.disklessGateways)-1]
			worker, ok := f.Workers[2].(*PollingWorker)
			if !ok {
				return
			}
			f.Isolate(node, true)
			worker.gateway = node
			worker.isPinned = true
			f.Record(checker.Event{Kind: checker.WorkerPartitioned, Actor: worker.name})
			worker.Drain()
			f.After(8*eventloop.Second, func() {
				f.Isolate(node, false)
				worker.isPinned = false
				f.Record(checker.Event{Kind: checker.WorkerPartitioned, Actor: worker.name, State: checker.Healed})
			})
		})
	}},
	{Name: "urgent burst on a full fleet", Network: ReliableNetwork, SyncDelay: 500, Duration: 25 * eventloop.Second, Inject: func(f *Fleet) {
		full := &schema.Job{Text: "run_us=4000000", Steps: []*schema.Step{newStep("fill", 40, 2000)}}
		f.At(f.LoadStart+2*eventloop.Second, func() {
			for k := 0; k < 4; k++ {
				f.Submit(JobKind{Queue: "slow", Job: full}, fmt.Sprint("fill-", k))
			}
		})
		f.At(f.LoadStart+5*eventloop.Second, func() {
			for k := 0; k < 30; k++ {
				f.Submit(DefaultJobKinds()[0], fmt.Sprint("burst-", k))
			}
		})
	}, Verify: func(f *Fleet) []string {
		// Forty tasks of two cores fill the fleet for seconds; urgent ones
		// must not wait for them.
		sent, worst := map[string]eventloop.Micros{}, eventloop.Micros(0)
		for _, e := range f.History {
			if e.Kind == checker.Submit && strings.HasPrefix(e.Name, "burst-") && sent[e.Name] == 0 {
				sent[e.Name] = e.At
			}
			if e.Kind == checker.TaskStart && sent[e.Name] != 0 && e.Step == 0 {
				worst = max(worst, e.At-sent[e.Name])
			}
		}
		if len(sent) < 30 || worst == 0 || worst > 8*eventloop.Second {
			return []string{fmt.Sprintf("%d urgent jobs, the last begun after %d us", len(sent), worst)}
		}
		return nil
	}},
	{Name: "a flood of jobs that can never run", Network: ReliableNetwork, SyncDelay: 5 * eventloop.Millisecond, Duration: 20 * eventloop.Second, Inject: func(f *Fleet) {
		huge := &schema.Job{Text: "run_us=1000", Steps: []*schema.Step{newStep("huge", 1, max(60_000, f.Spec.Cores+1))}}
		for k := 0; k < 300; k++ {
			f.At(f.LoadStart+2*eventloop.Second+eventloop.Micros(k)*20*eventloop.Millisecond, func() {
				name := fmt.Sprint("huge-", k)
				f.Submit(JobKind{Queue: "timed", Job: huge}, name)
				f.After(10*eventloop.Second, func() { f.cancelJob(JobKind{Queue: "timed"}, name) })
			})
		}
		withLeaderAt(f, 6*eventloop.Second, func(leader *Host) { f.kill(leader, 2*eventloop.Second) })
	}},
	{Name: "jobs that last, and the log", Network: ReliableNetwork, SyncDelay: 500, Duration: 50 * eventloop.Second, Inject: func(f *Fleet) {
		f.At(f.LoadStart, func() {
			rows := append(f.ConfigurationRows(60), &schema.ConfigurationRow{Kind: "fleet", Key: "carry_records", Value: "200"})
			f.PutConfiguration("operator", rows)
		})
		long := &schema.Job{Text: "run_us=20000", DelayUs: int64(45 * eventloop.Second), Steps: []*schema.Step{newStep("late", 1, 100)}}
		f.At(f.LoadStart+eventloop.Second, func() {
			f.Submit(JobKind{Queue: "quick", Job: long}, "long-1")
			f.Submit(JobKind{Queue: "timed", Job: long}, "long-2")
		})
		withLeaderAt(f, 30*eventloop.Second, func(leader *Host) { f.kill(leader, 2*eventloop.Second) })
	}, Verify: func(f *Fleet) []string {
		var problems []string
		carries := uint64(0)
		for _, h := range f.StorageNodes() {
			for _, group := range h.StateView().Groups {
				carries += group.Reenqueues
				if group.Last-group.Released > 1200 {
					problems = append(problems, fmt.Sprintf("%s on %s holds %d records", group.Group, h.Name, group.Last-group.Released))
				}
			}
		}
		if carries == 0 {
			problems = append(problems, "nothing was carried")
		}
		return problems
	}},
	{Name: "a store damaged in the middle", Network: ReliableNetwork, SyncDelay: 500, Duration: 40 * eventloop.Second, Inject: func(f *Fleet) {
		withLeaderAt(f, 5*eventloop.Second, func(leader *Host) {
			f.RecordFault("%s killed, its disk damaged", leader.Name)
			leader.Kill()
			leader.Disk.CorruptByte("log-0", leader.Disk.Size("log-0")/2)
			f.After(2*eventloop.Second, leader.Start)
		})
	}, Verify: func(f *Fleet) []string {
		problems := verifyRepaired(f)
		if len(f.DamageReports) != 1 || !strings.Contains(f.DamageReports[0], "log-0 at offset") {
			problems = append(problems, fmt.Sprintf("damage was reported as %q", f.DamageReports))
		}
		return problems
	}},
	{Name: "leader warned, then the next", Network: ReliableNetwork, SyncDelay: 500, Duration: 40 * eventloop.Second, Inject: func(f *Fleet) {
		for k := 0; k < 2; k++ {
			withLeaderAt(f, eventloop.Micros(4+15*k)*eventloop.Second, func(leader *Host) {
				f.RecordFault("%s warned", leader.Name)
				f.drainedAt = append(f.drainedAt, f.Now)
				leader.Drain(10 * eventloop.Second)
				f.After(8*eventloop.Second, leader.Start)
			})
		}
	}, Verify: func(f *Fleet) []string {
		// Nobody waits for an election when leaving was announced: a hand-in
		// costs a redirect or a resend at most.
		var problems []string
		sent := map[string]eventloop.Micros{}
		for _, e := range f.History {
			if e.Kind == checker.Submit && sent[e.Name] == 0 {
				sent[e.Name] = e.At
			}
			if e.Kind != checker.SubmitReply || e.Code != 201 {
				continue
			}
			for _, at := range f.drainedAt {
				if duration := e.At - sent[e.Name]; sent[e.Name] >= at && sent[e.Name] < at+3*eventloop.Second && duration > 1200*eventloop.Millisecond {
					problems = append(problems, fmt.Sprintf("%s waited %d us while a leader left", e.Name, duration))
				}
			}
		}
		return problems
	}},
	{Name: "a queue removed and made anew", Network: ReliableNetwork, SyncDelay: 500, Duration: 30 * eventloop.Second, Inject: func(f *Fleet) {
		extra := &schema.ConfigurationRow{Kind: "queue", Name: "extra", Key: "urgency", Value: "5"}
		fast := &schema.ConfigurationRow{Kind: "fleet", Key: "status_s", Value: "120"}
		kind := JobKind{Queue: "extra", Job: DefaultJobKinds()[0].Job}
		f.At(f.LoadStart, func() { f.PutConfiguration("operator", append(f.ConfigurationRows(60), extra, fast)) })
		f.At(f.LoadStart+4*eventloop.Second, func() { f.Submit(kind, "before") })
		f.At(f.LoadStart+8*eventloop.Second, func() { f.PutConfiguration("operator", append(f.ConfigurationRows(60), fast)) })
		f.At(f.LoadStart+20*eventloop.Second, func() {
			for _, h := range f.StorageNodes() {
				// It ends only when what it has ended has been kept for its time.
				f.groupsAfterRemoval = append(f.groupsAfterRemoval, h.Groups("extra#")...)
			}
		})
		f.LoadEnd += 130 * eventloop.Second
		f.At(f.LoadStart+150*eventloop.Second, func() {
			for _, h := range f.StorageNodes() {
				f.groupsAfterRetention = append(f.groupsAfterRetention, h.Groups("extra#")...)
			}
			f.PutConfiguration("operator", append(f.ConfigurationRows(60), extra, fast))
		})
		f.At(f.LoadStart+155*eventloop.Second, func() { f.Submit(kind, "after") })
	}, Verify: func(f *Fleet) []string {
		var problems []string
		if len(f.groupsAfterRemoval) != 3 || len(f.groupsAfterRetention) != 0 {
			problems = append(problems, fmt.Sprintf("replicas 12 s after the rows were removed: %v; after the ended jobs' time: %v", f.groupsAfterRemoval, f.groupsAfterRetention))
		}
		for _, h := range f.StorageNodes() {
			if now := h.Groups("extra#"); len(now) != 1 || len(f.groupsAfterRemoval) > 0 && now[0] == f.groupsAfterRemoval[0] {
				problems = append(problems, fmt.Sprintf("%s holds %v after the queue was made anew, %v before", h.Name, now, f.groupsAfterRemoval))
			}
		}
		return problems
	}},
	{Name: "operators race", Network: LossyNetwork, SyncDelay: 500, Duration: 25 * eventloop.Second, Inject: func(f *Fleet) {
		for k := 0; k < 6; k++ {
			f.At(f.LoadStart+eventloop.Micros(2+3*k)*eventloop.Second, func() {
				f.PutConfiguration("one", f.ConfigurationRows(50+k))
				f.PutConfiguration("two", f.ConfigurationRows(70+k))
			})
		}
		withLeaderAt(f, 8*eventloop.Second, func(leader *Host) { f.kill(leader, 2*eventloop.Second) })
	}},
}

// CalledScenarios are faults of workers that are called.
var CalledScenarios = []Scenario{
	{Name: "side machines killed, frozen, cut", Network: ReliableNetwork, SyncDelay: 500, Duration: 40 * eventloop.Second, Inject: func(f *Fleet) {
		// Long enough that some of it is there when a hold ends.
		long := &schema.Job{Text: "long", Steps: []*schema.Step{{Name: "long", Tasks: 8, CoresMilli: 1000, MemoryMb: 100, EstimatedRunUs: int64(9 * eventloop.Second), Checkpoints: true, MaxPerWorker: 2}}}
		for k := eventloop.Micros(0); k < 3; k++ {
			f.At(f.LoadStart+(1+8*k)*eventloop.Second, func() { f.Submit(JobKind{Queue: "quick", Attempts: 4, Job: long}, fmt.Sprint("long-", k)) })
		}
		f.At(f.LoadStart+2*eventloop.Second, func() { f.kill(f.agentNodes[0], 3*eventloop.Second) })
		f.At(f.LoadStart+8*eventloop.Second, func() { f.freeze(f.agentNodes[1], 7*eventloop.Second) })
		f.At(f.LoadStart+9*eventloop.Second, func() { f.freeze(f.agentNodes[4], 2*eventloop.Second) })
		f.At(f.LoadStart+18*eventloop.Second, func() { f.isolate(f.agentNodes[2], 9*eventloop.Second) })
		f.At(f.LoadStart+20*eventloop.Second, func() { f.kill(f.agentNodes[3], 12*eventloop.Second) })
		f.At(f.LoadStart+30*eventloop.Second, func() { f.isolate(f.agentNodes[0], 2*eventloop.Second) })
	}},
	{Name: "every side machine killed at once", Network: ReliableNetwork, SyncDelay: 500, Duration: 25 * eventloop.Second, Inject: func(f *Fleet) {
		f.At(f.LoadStart+3*eventloop.Second, func() {
			f.RecordFault("every side machine killed")
			for _, h := range f.agentNodes {
				h.Kill()
				f.After(2*eventloop.Second, h.Start)
			}
		})
	}},
	{Name: "orders are left unanswered and carried out late", Network: ReliableNetwork, SyncDelay: 500, Duration: 30 * eventloop.Second, Inject: func(f *Fleet) {
		for k, worker := range f.Workers {
			f.At(f.LoadStart+eventloop.Micros(2+3*k)*eventloop.Second, func() { worker.(*CalledWorker).SetUnhealthy(0, 0.6) })
			f.At(f.LoadStart+eventloop.Micros(10+3*k)*eventloop.Second, func() { worker.(*CalledWorker).SetUnhealthy(0, 0) })
		}
	}},
	{Name: "called workers crash, vanish, leave at once, fail, stand still", Network: ReliableNetwork, SyncDelay: 500, Duration: 40 * eventloop.Second, Inject: func(f *Fleet) {
		w := func(k int) *CalledWorker { return f.Workers[k].(*CalledWorker) }
		f.At(f.LoadStart+2*eventloop.Second, func() { w(0).Start() })
		f.At(f.LoadStart+4*eventloop.Second, func() { w(1).Crash(); f.After(9*eventloop.Second, w(1).Start) })
		f.At(f.LoadStart+6*eventloop.Second, func() { w(2).drain(700*eventloop.Millisecond, false); f.After(4*eventloop.Second, w(2).Start) })
		f.At(f.LoadStart+12*eventloop.Second, func() { w(3).Drain(); f.After(8*eventloop.Second, w(3).Start) })
		f.At(f.LoadStart+15*eventloop.Second, func() {
			w(0).recordUnhealthy()
			w(0).habits.FailureRate = 0.5
			w(2).recordUnhealthy()
			w(2).habits.StallRate = 0.2
		})
		f.At(f.LoadStart+22*eventloop.Second, func() { w(1).SetUnhealthy(0.5, 0); w(3).recordUnhealthy(); w(3).habits.Slowdown = 6 })
		f.At(f.LoadStart+30*eventloop.Second, func() {
			for k := range f.Workers {
				w(k).habits = fakeworker.Behaviour{}
				w(k).SetUnhealthy(0, 0)
			}
		})
	}},
	{Name: "leader, a worker and its neighbour's agent lost at once", Network: ReliableNetwork, SyncDelay: 500, Duration: 40 * eventloop.Second, Inject: func(f *Fleet) {
		withLeaderAt(f, 4*eventloop.Second, func(leader *Host) {
			f.kill(leader, 8*eventloop.Second)
			f.Workers[0].Crash()
			f.After(15*eventloop.Second, f.Workers[0].Start)
			f.kill(f.agentNodes[1], 5*eventloop.Second)
		})
	}},
	{Name: "disks lost after all were killed", Network: ReliableNetwork, SyncDelay: 500, Duration: 40 * eventloop.Second, Inject: func(f *Fleet) {
		f.At(f.LoadStart+5*eventloop.Second, func() {
			f.RecordFault("every process killed, one disk lost")
			for k, h := range f.Hosts {
				if k == 1 {
					h.Wipe()
				}
				h.Kill()
				f.After(eventloop.Second, h.Start)
			}
		})
	}},
	{Name: "urgent work while called workers are full", Network: ReliableNetwork, SyncDelay: 500, Duration: 25 * eventloop.Second, Inject: func(f *Fleet) {
		full := &schema.Job{Text: "fill", Steps: []*schema.Step{{Name: "fill", Tasks: 30, CoresMilli: 2000, MemoryMb: 100, EstimatedRunUs: int64(5 * eventloop.Second), Checkpoints: true}}}
		f.At(f.LoadStart+2*eventloop.Second, func() {
			for k := 0; k < 3; k++ {
				f.Submit(JobKind{Queue: "slow", Attempts: 4, Job: full}, fmt.Sprint("fill-", k))
			}
		})
		f.At(f.LoadStart+5*eventloop.Second, func() {
			for k := 0; k < 30; k++ {
				f.Submit(f.Spec.JobKinds[0], fmt.Sprint("burst-", k))
			}
		})
	}},
}

// ScenariosFor are those that a fleet of a size can be put through.
func ScenariosFor(size FleetSpec) []Scenario {
	if size.Bounds == nil {
		return slices.Concat(Scenarios, DiskScenarios)
	}
	// Nobody could call a worker for so long.
	list := slices.DeleteFunc(slices.Clone(Scenarios), func(s Scenario) bool { return s.Name == "every side machine gone" })
	return slices.Concat(list, CalledScenarios, DiskScenarios)
}

func maxRevision(set map[uint64]bool) uint64 {
	highest := uint64(0)
	for key := range set {
		highest = max(highest, key)
	}
	return highest
}

// verifyRepaired: three voters in every group, all of them up, on every store.
func verifyRepaired(f *Fleet) []string {
	var problems []string
	up := map[string]bool{}
	for _, h := range f.StorageNodes() {
		if h.IsUp {
			up[h.ID] = true
		}
	}
	seen := map[string]bool{}
	for _, h := range f.StorageNodes() {
		view := h.StateView()
		if view == nil {
			continue
		}
		for _, group := range view.Groups {
			if group.Role != "leader" {
				continue
			}
			seen[group.Group] = true
			live := 0
			for _, id := range group.Voters {
				if up[id] {
					live++
				}
			}
			if live != 3 || len(group.Voters) != 3 {
				problems = append(problems, fmt.Sprintf("%s has the voters %v, %d of them up", group.Group, group.Voters, live))
			}
		}
	}
	if len(seen) < 5 {
		problems = append(problems, fmt.Sprintf("only %d groups are led", len(seen)))
	}
	return problems
}

// RunScenario runs a scenario on a fleet of a size, with a seed.
func RunScenario(s Scenario, size FleetSpec, seed uint64) (*Fleet, []checker.Violation, []string) {
	f := NewFleet(seed, size, s.Network, s.SyncDelay, s.Duration)
	if s.Inject != nil {
		s.Inject(f)
	}
	violations := f.Finish()
	var problems []string
	if s.Verify != nil {
		problems = s.Verify(f)
	}
	return f, violations, problems
}

// busiestWorker is the worker on which most tasks run by now: losing one that has none
// would show nothing.
func (f *Fleet) busiestWorker() Worker {
	running := map[string]int{}
	for _, e := range f.History {
		switch e.Kind {
		case checker.TaskStart:
			running[e.Actor]++
		case checker.TaskEnd:
			running[e.Actor]--
		}
	}
	best := f.Workers[0]
	for _, worker := range f.Workers[1:] {
		if running[worker.Name()] > running[best.Name()] {
			best = worker
		}
	}
	return best
}
