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
	Name  string
	Net   Net
	Sync  eventloop.Micros
	Span  eventloop.Micros
	Plan  func(f *Fleet)
	After func(f *Fleet) []string // what must hold at the end besides the rules
}

// during calls with the leader of the moment, some time into the load.
func during(f *Fleet, at eventloop.Micros, call func(leader *Host)) {
	f.At(f.Began+at, func() {
		leader := f.Leader()
		if leader == nil {
			// Between two leaders: a moment later there is one again.
			during(f, f.Now-f.Began+200*eventloop.Millisecond, call)
			return
		}
		call(leader)
	})
}

func (f *Fleet) killed(h *Host, back eventloop.Micros) {
	f.Fault("%s killed", h.Name)
	h.Kill()
	f.After(back, h.Start)
}

func (f *Fleet) isolated(h *Host, span eventloop.Micros) {
	f.Fault("%s isolated", h.Name)
	f.Isolate(h, true)
	f.After(span, func() { f.Isolate(h, false) })
}

func freeze(span eventloop.Micros) func(f *Fleet) {
	return func(f *Fleet) {
		during(f, 4*eventloop.Second, func(leader *Host) {
			f.Fault("%s frozen", leader.Name)
			leader.Freeze(span)
		})
	}
}

// controller is the side machine that holds the lease.
func (f *Fleet) controller() *Host {
	for _, store := range f.Stores() {
		if belief := store.Belief(); belief != nil && belief.IsClusterStateFresh {
			for _, h := range f.Hosts {
				if h.Id == belief.Controller && h.IsUp {
					return h
				}
			}
		}
	}
	return f.sides[0]
}

// newest is the machine that was added last.
func (f *Fleet) newest() *Host { return f.Hosts[len(f.Hosts)-1] }

// replaced: the machine is gone with its disk, an empty one comes up at a new
// address.
func (f *Fleet) replaced(h *Host) {
	f.Fault("%s lost for good", h.Name)
	h.Wipe()
	cell := h.Cell
	f.After(3*eventloop.Second, func() {
		fresh := f.AddHost(h.Name+"'", cell, h.Role, true)
		// Its settings name machines of today; the first three may be long gone.
		for _, other := range f.Hosts {
			if other.IsUp && len(fresh.Seeds) < 3 {
				fresh.Seeds = append(fresh.Seeds, other.Address)
			}
		}
		fresh.Start()
	})
}

// Scenarios are the brief's faults.
var Scenarios = []Scenario{
	{Name: "calm", Net: CalmNet, Sync: 500, Span: 15 * eventloop.Second},
	{Name: "rough net", Net: RoughNet, Sync: 500, Span: 15 * eventloop.Second},
	{Name: "slow disks", Net: CalmNet, Sync: 5 * eventloop.Millisecond, Span: 15 * eventloop.Second},
	{Name: "leader killed", Net: CalmNet, Sync: 500, Span: 25 * eventloop.Second, Plan: func(f *Fleet) {
		during(f, 4*eventloop.Second, func(leader *Host) { f.killed(leader, 4*eventloop.Second) })
	}},
	{Name: "leaders killed in turn, rough net", Net: RoughNet, Sync: 5 * eventloop.Millisecond, Span: 45 * eventloop.Second, Plan: func(f *Fleet) {
		for k := 0; k < 3; k++ {
			during(f, eventloop.Micros(3+13*k)*eventloop.Second, func(leader *Host) { f.killed(leader, 3*eventloop.Second) })
		}
	}},
	{Name: "all killed at once", Net: CalmNet, Sync: 500, Span: 25 * eventloop.Second, Plan: func(f *Fleet) {
		f.At(f.Began+4*eventloop.Second, func() {
			f.Fault("every process killed")
			for _, h := range f.Hosts {
				h.Kill()
				f.After(eventloop.Second, h.Start)
			}
		})
	}},
	{Name: "leader frozen 1 s", Net: CalmNet, Sync: 500, Span: 20 * eventloop.Second, Plan: freeze(eventloop.Second)},
	{Name: "leader frozen 5 s", Net: CalmNet, Sync: 500, Span: 25 * eventloop.Second, Plan: freeze(5 * eventloop.Second)},
	{Name: "leader frozen 30 s", Net: CalmNet, Sync: 500, Span: 45 * eventloop.Second, Plan: freeze(30 * eventloop.Second)},
	{Name: "leader isolated", Net: CalmNet, Sync: 500, Span: 30 * eventloop.Second, Plan: func(f *Fleet) {
		during(f, 4*eventloop.Second, func(leader *Host) { f.isolated(leader, 12*eventloop.Second) })
	}},
	{Name: "core split each way", Net: CalmNet, Sync: 500, Span: 60 * eventloop.Second, Plan: func(f *Fleet) {
		for k := 0; k < 3; k++ {
			f.At(f.Began+eventloop.Micros(3+18*k)*eventloop.Second, func() {
				cell := f.Stores()[k].Cell
				side := func(h *Host) bool { return h.Cell == cell }
				f.Fault("cell %s split off", cell)
				f.Split(true, side)
				f.After(8*eventloop.Second, func() { f.Split(false, side) })
			})
		}
	}},
	{Name: "one-way cuts", Net: CalmNet, Sync: 500, Span: 45 * eventloop.Second, Plan: func(f *Fleet) {
		for k := 0; k < 2; k++ {
			during(f, eventloop.Micros(3+20*k)*eventloop.Second, func(leader *Host) {
				f.oneWay(leader, 10*eventloop.Second, k == 0)
			})
		}
	}},
	{Name: "disk machine replaced", Net: CalmNet, Sync: 500, Span: 45 * eventloop.Second, Plan: func(f *Fleet) {
		during(f, 4*eventloop.Second, func(leader *Host) { f.replaced(leader) })
	}, After: repaired},
	{Name: "all disk machines replaced in turn", Net: CalmNet, Sync: 500, Span: 90 * eventloop.Second, Plan: func(f *Fleet) {
		for k := 0; k < 3; k++ {
			f.At(f.Began+eventloop.Micros(3+27*k)*eventloop.Second, func() { f.replaced(f.Hosts[k]) })
		}
	}, After: repaired},
	{Name: "a machine away while every seed is replaced", Net: CalmNet, Sync: 500, Span: 130 * eventloop.Second, Plan: func(f *Fleet) {
		// A store that is nobody's seed is away until nobody remembers it, and
		// its own seeds are gone: its only way back is whom it knew.
		f.At(f.Began+2*eventloop.Second, func() { f.replaced(f.Hosts[0]) })
		f.At(f.Began+30*eventloop.Second, func() {
			away := f.newest()
			away.Seeds = []string{f.Hosts[0].Address, "10.9.9.8:1", "10.9.9.9:1"}
			f.killed(away, 70*eventloop.Second)
		})
	}, After: func(f *Fleet) []string {
		if len(f.newest().Belief().Members) < 5 {
			return []string{"the store did not find its way back"}
		}
		return nil
	}},
	{Name: "disk stalls", Net: CalmNet, Sync: 500, Span: 40 * eventloop.Second, Plan: func(f *Fleet) {
		during(f, 4*eventloop.Second, func(leader *Host) {
			f.Fault("the disk of %s stalls", leader.Name)
			leader.Stall = f.Now + 8*eventloop.Second
		})
	}},
	{Name: "slow disk", Net: CalmNet, Sync: 500, Span: 60 * eventloop.Second, Plan: func(f *Fleet) {
		during(f, 4*eventloop.Second, func(leader *Host) {
			f.Fault("the disk of %s is slow", leader.Name)
			leader.SyncUs = 450 * eventloop.Millisecond
			f.slow = leader
		})
	}, After: func(f *Fleet) []string {
		var wrong []string
		if leader := f.Leader(); leader == f.slow {
			wrong = append(wrong, "the queues stayed on the slow disk")
		}
		moves := map[uint64]bool{}
		for _, h := range f.Stores() {
			for _, ward := range h.Belief().WorkerLeases {
				moves[ward.FencingToken] = true
			}
		}
		// Five workers, placed once and moved once or twice; more is flapping.
		if last := maxKey(moves); last > 40 {
			wrong = append(wrong, fmt.Sprintf("generations went up to %d", last))
		}
		return wrong
	}},
	{Name: "side machines swapped out", Net: CalmNet, Sync: 500, Span: 30 * eventloop.Second, Plan: func(f *Fleet) {
		for k := 0; k < 3; k++ {
			f.At(f.Began+eventloop.Micros(3+3*k)*eventloop.Second, func() {
				old := f.sides[k]
				f.Fault("%s swapped out", old.Name)
				old.Kill()
				fresh := f.AddHost(old.Name+"'", old.Cell, old.Role, false)
				f.After(500*eventloop.Millisecond, fresh.Start)
			})
		}
		during(f, 18*eventloop.Second, func(leader *Host) { f.killed(leader, 3*eventloop.Second) })
	}},
	{Name: "controller frozen and superseded", Net: CalmNet, Sync: 500, Span: 45 * eventloop.Second, Plan: func(f *Fleet) {
		f.At(f.Began+3*eventloop.Second, func() {
			controller := f.controller()
			f.Fault("the controller %s frozen", controller.Name)
			controller.Freeze(12 * eventloop.Second)
		})
		// The leader dies while nobody may act, and again when the old controller
		// has woken beside its successor.
		during(f, 3500*eventloop.Millisecond, func(leader *Host) { f.killed(leader, 5*eventloop.Second) })
		during(f, 15100*eventloop.Millisecond, func(leader *Host) { f.killed(leader, 5*eventloop.Second) })
	}},
	{Name: "controller isolated", Net: CalmNet, Sync: 500, Span: 45 * eventloop.Second, Plan: func(f *Fleet) {
		f.At(f.Began+3*eventloop.Second, func() { f.isolated(f.controller(), 15*eventloop.Second) })
		during(f, 8*eventloop.Second, func(leader *Host) { f.killed(leader, 5*eventloop.Second) })
	}},
	{Name: "every side machine gone", Net: CalmNet, Sync: 500, Span: 30 * eventloop.Second, Plan: func(f *Fleet) {
		// The data plane goes on as the cluster state last said.
		f.At(f.Began+3*eventloop.Second, func() {
			f.Fault("every side machine killed")
			for _, h := range f.sides {
				h.Kill()
				f.After(15*eventloop.Second, h.Start)
			}
		})
	}},
	{Name: "a front dies with a gap in its numbers", Net: CalmNet, Sync: 500, Span: 60 * eventloop.Second, Plan: func(f *Fleet) {
		f.At(f.Began, func() {
			f.Put("operator", append(f.Rows(60), &schema.ConfigurationRow{Kind: "fleet", Key: "session_timeout_s", Value: "10"}))
		})
		f.At(f.Began+3*eventloop.Second, func() {
			// Number 2 arrives, number 1 never will.
			front := f.lean[len(f.lean)-1]
			(&outlet{front}).Send(f.Leader().Id, &schema.SubmitRequest{Queue: "quick", Enqueues: []*schema.Enqueue{{
				Session: &schema.Session{Gateway: front.Id, Incarnation: 1, Client: "stuck"}, Number: 2, LowestUnconfirmed: 1, Name: "stuck", Digest: []byte("x"), Job: Kinds()[0].Job,
			}}})
			f.After(100*eventloop.Millisecond, func() {
				f.Fault("%s killed", front.Name)
				front.Kill()
			})
		})
	}, After: func(f *Fleet) []string {
		var wrong []string
		for _, h := range f.Stores() {
			for _, group := range h.Belief().Groups {
				if strings.HasPrefix(group.Group, "quick#") && group.Last-group.Released > 600 {
					wrong = append(wrong, fmt.Sprintf("%s holds %d records on %s", group.Group, group.Last-group.Released, h.Name))
				}
			}
		}
		for _, e := range f.History {
			if e.Name == "stuck" {
				wrong = append(wrong, "what was never confirmed has run")
			}
		}
		return wrong
	}},
	{Name: "clocks jump", Net: CalmNet, Sync: 5 * eventloop.Millisecond, Span: 25 * eventloop.Second, Plan: func(f *Fleet) {
		for k := 0; k < 6; k++ {
			f.At(f.Began+eventloop.Micros(2+3*k)*eventloop.Second, func() {
				h := f.Hosts[f.Rng.IntN(len(f.Hosts))]
				if h.Disk != nil {
					// One clock of the three that count is wrong at a time; with two
					// wrong nothing could tell which is right.
					for _, other := range f.Stores() {
						other.WallOff = 0
					}
				}
				h.WallOff = (f.Rng.Int64N(2*6*3600) - 6*3600) * int64(eventloop.Second)
			})
		}
		during(f, 9*eventloop.Second, func(leader *Host) { f.killed(leader, 2*eventloop.Second) })
	}},
	{Name: "workers crash, vanish, leave, are cut off", Net: CalmNet, Sync: 500, Span: 35 * eventloop.Second, Plan: func(f *Fleet) {
		f.At(f.Began+2*eventloop.Second, func() { f.Workers[0].Crash(); f.After(2*eventloop.Second, f.Workers[0].Start) })
		f.At(f.Began+5*eventloop.Second, func() { f.Workers[1].Crash(); f.Workers[1].Start() })
		f.At(f.Began+8*eventloop.Second, func() { f.Workers[2].Cut(true); f.After(9*eventloop.Second, func() { f.Workers[2].Cut(false) }) })
		f.At(f.Began+12*eventloop.Second, func() { f.Workers[3].Leave() })
		f.At(f.Began+20*eventloop.Second, func() { f.Workers[4].Freeze(7 * eventloop.Second) })
		f.At(f.Began+24*eventloop.Second, func() { f.Workers[3].Crash(); f.Workers[3].Start() })
		// Removed at short notice.
		f.At(f.Began+28*eventloop.Second, func() { f.Workers[1].Leave(); f.After(eventloop.Second, f.Workers[1].Crash) })
	}},
	{Name: "workers fail, slow down, stand still", Net: CalmNet, Sync: 500, Span: 30 * eventloop.Second, Plan: func(f *Fleet) {
		f.At(f.Began, func() {
			f.Workers[0].Habits().FailureRate = 0.6
			f.Workers[1].Habits().Slowdown = 5
			f.Workers[2].Habits().StallRate = 0.1
		})
	}},
	{Name: "worker cut off while its leader dies", Net: CalmNet, Sync: 500, Span: 30 * eventloop.Second, Plan: func(f *Fleet) {
		f.At(f.Began+4*eventloop.Second, func() { f.Workers[2].Cut(true); f.After(12*eventloop.Second, func() { f.Workers[2].Cut(false) }) })
		during(f, 4500*eventloop.Millisecond, func(leader *Host) { f.killed(leader, 3*eventloop.Second) })
	}},
	{Name: "the table takes effect", Net: CalmNet, Sync: 500, Span: 35 * eventloop.Second, Plan: func(f *Fleet) {
		row := func(kind, name, key, value string) *schema.ConfigurationRow {
			return &schema.ConfigurationRow{Kind: kind, Name: name, Key: key, Value: value}
		}
		// A rack is emptied, a queue narrowed, a queue made, each acted on within
		// the span, while the leader goes.
		f.At(f.Began+3*eventloop.Second, func() { f.Put("operator", append(f.Rows(60), row("rack", "r1", "weight", "0"))) })
		f.At(f.Began+10*eventloop.Second, func() { f.Put("operator", append(f.Rows(60), row("queue", "slow", "running", "2"))) })
		f.At(f.Began+18*eventloop.Second, func() { f.Put("operator", append(f.Rows(60), row("queue", "extra", "urgency", "5"))) })
		during(f, 14*eventloop.Second, func(leader *Host) { f.killed(leader, 3*eventloop.Second) })
		for k := range f.Fronts() {
			f.At(f.Began+21*eventloop.Second+eventloop.Micros(k)*100*eventloop.Millisecond, func() {
				f.HandIn(Kind{Queue: "extra", Job: Kinds()[0].Job}, fmt.Sprint("extra-", k))
			})
		}
	}},
	{Name: "long work is cancelled", Net: CalmNet, Sync: 500, Span: 30 * eventloop.Second, Plan: func(f *Fleet) {
		long := &schema.Job{Text: "run_us=25000000", Steps: []*schema.Step{step("first", 3, 500), step("more", 60, 2000), step("last", 2, 500, "first")}}
		for k := 0; k < 6; k++ {
			f.At(f.Began+eventloop.Micros(1+3*k)*eventloop.Second, func() {
				kind, name := Kind{Queue: "slow", Job: long}, fmt.Sprint("long-", k)
				f.HandIn(kind, name)
				f.After(1500*eventloop.Millisecond, func() { f.cancel(kind, name) })
			})
		}
		during(f, 8*eventloop.Second, func(leader *Host) { f.killed(leader, 3*eventloop.Second) })
	}},
	{Name: "leader, controller and worker lost at once", Net: CalmNet, Sync: 500, Span: 40 * eventloop.Second, Plan: func(f *Fleet) {
		during(f, 6*eventloop.Second, func(leader *Host) {
			// Long work is out everywhere, so that the lost worker had some.
			long := &schema.Job{Text: "run_us=6000000", Steps: []*schema.Step{step("long", uint32(2*len(f.Workers)), 500)}}
			f.HandIn(Kind{Queue: "slow", Job: long}, "long-1")
			f.After(2*eventloop.Second, func() {
				f.killed(leader, 20*eventloop.Second)
				controller := f.controller()
				f.killed(controller, 20*eventloop.Second)
				worker := f.busiest()
				f.lost = worker.Name()
				worker.Crash()
				f.struck = f.Now
			})
		})
	}, After: func(f *Fleet) []string {
		// All that ran on it is begun elsewhere within the span of a recovery.
		var wrong []string
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
			case e.Actor == f.lost && e.Kind == checker.TaskStart && e.At <= f.struck && !isOver[e.Name]:
				out[key] = true
			case e.Kind == checker.TaskEnd && e.At <= f.struck && e.State != "gone":
				delete(out, key)
			case e.Kind == checker.TaskStart && out[key]:
				delete(out, key)
				f.Again = max(f.Again, e.At-f.struck)
			}
		}
		if f.Again == 0 || len(out) > 0 || f.Again > 12*eventloop.Second {
			wrong = append(wrong, fmt.Sprintf("%d tasks of the lost worker never begun again, the last of the others after %d us", len(out), f.Again))
		}
		return wrong
	}},
	{Name: "a leave told only to a front that is cut off", Net: CalmNet, Sync: 500, Span: 25 * eventloop.Second, Plan: func(f *Fleet) {
		f.At(f.Began+4*eventloop.Second, func() {
			front := f.lean[len(f.lean)-1]
			worker, isAsking := f.Workers[2].(*Worker)
			if !isAsking {
				return
			}
			f.Isolate(front, true)
			worker.front = front
			worker.isStuck = true
			f.Tell(checker.Event{Kind: checker.WorkerPartitioned, Actor: worker.name})
			worker.Leave()
			f.After(8*eventloop.Second, func() {
				f.Isolate(front, false)
				worker.isStuck = false
				f.Tell(checker.Event{Kind: checker.WorkerPartitioned, Actor: worker.name, State: checker.Healed})
			})
		})
	}},
	{Name: "urgent burst on a full fleet", Net: CalmNet, Sync: 500, Span: 25 * eventloop.Second, Plan: func(f *Fleet) {
		full := &schema.Job{Text: "run_us=4000000", Steps: []*schema.Step{step("fill", 40, 2000)}}
		f.At(f.Began+2*eventloop.Second, func() {
			for k := 0; k < 4; k++ {
				f.HandIn(Kind{Queue: "slow", Job: full}, fmt.Sprint("fill-", k))
			}
		})
		f.At(f.Began+5*eventloop.Second, func() {
			for k := 0; k < 30; k++ {
				f.HandIn(Kinds()[0], fmt.Sprint("burst-", k))
			}
		})
	}, After: func(f *Fleet) []string {
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
	{Name: "a flood of jobs that can never run", Net: CalmNet, Sync: 5 * eventloop.Millisecond, Span: 20 * eventloop.Second, Plan: func(f *Fleet) {
		huge := &schema.Job{Text: "run_us=1000", Steps: []*schema.Step{step("huge", 1, max(60_000, f.Size.Cores+1))}}
		for k := 0; k < 300; k++ {
			f.At(f.Began+2*eventloop.Second+eventloop.Micros(k)*20*eventloop.Millisecond, func() {
				name := fmt.Sprint("huge-", k)
				f.HandIn(Kind{Queue: "timed", Job: huge}, name)
				f.After(10*eventloop.Second, func() { f.cancel(Kind{Queue: "timed"}, name) })
			})
		}
		during(f, 6*eventloop.Second, func(leader *Host) { f.killed(leader, 2*eventloop.Second) })
	}},
	{Name: "jobs that last, and the log", Net: CalmNet, Sync: 500, Span: 50 * eventloop.Second, Plan: func(f *Fleet) {
		f.At(f.Began, func() {
			rows := append(f.Rows(60), &schema.ConfigurationRow{Kind: "fleet", Key: "carry_records", Value: "200"})
			f.Put("operator", rows)
		})
		long := &schema.Job{Text: "run_us=20000", DelayUs: int64(45 * eventloop.Second), Steps: []*schema.Step{step("late", 1, 100)}}
		f.At(f.Began+eventloop.Second, func() {
			f.HandIn(Kind{Queue: "quick", Job: long}, "long-1")
			f.HandIn(Kind{Queue: "timed", Job: long}, "long-2")
		})
		during(f, 30*eventloop.Second, func(leader *Host) { f.killed(leader, 2*eventloop.Second) })
	}, After: func(f *Fleet) []string {
		var wrong []string
		carries := uint64(0)
		for _, h := range f.Stores() {
			for _, group := range h.Belief().Groups {
				carries += group.Reenqueues
				if group.Last-group.Released > 1200 {
					wrong = append(wrong, fmt.Sprintf("%s on %s holds %d records", group.Group, h.Name, group.Last-group.Released))
				}
			}
		}
		if carries == 0 {
			wrong = append(wrong, "nothing was carried")
		}
		return wrong
	}},
	{Name: "a store damaged in the middle", Net: CalmNet, Sync: 500, Span: 40 * eventloop.Second, Plan: func(f *Fleet) {
		during(f, 5*eventloop.Second, func(leader *Host) {
			f.Fault("%s killed, its disk damaged", leader.Name)
			leader.Kill()
			leader.Disk.Rot("log-0", leader.Disk.Size("log-0")/2)
			f.After(2*eventloop.Second, leader.Start)
		})
	}, After: func(f *Fleet) []string {
		wrong := repaired(f)
		if len(f.Damaged) != 1 || !strings.Contains(f.Damaged[0], "log-0 at offset") {
			wrong = append(wrong, fmt.Sprintf("damage was reported as %q", f.Damaged))
		}
		return wrong
	}},
	{Name: "leader warned, then the next", Net: CalmNet, Sync: 500, Span: 40 * eventloop.Second, Plan: func(f *Fleet) {
		for k := 0; k < 2; k++ {
			during(f, eventloop.Micros(4+15*k)*eventloop.Second, func(leader *Host) {
				f.Fault("%s warned", leader.Name)
				f.warned = append(f.warned, f.Now)
				leader.Warn(10 * eventloop.Second)
				f.After(8*eventloop.Second, leader.Start)
			})
		}
	}, After: func(f *Fleet) []string {
		// Nobody waits for an election when leaving was announced: a hand-in
		// costs a redirect or a resend at most.
		var wrong []string
		sent := map[string]eventloop.Micros{}
		for _, e := range f.History {
			if e.Kind == checker.Submit && sent[e.Name] == 0 {
				sent[e.Name] = e.At
			}
			if e.Kind != checker.SubmitReply || e.Code != 201 {
				continue
			}
			for _, at := range f.warned {
				if span := e.At - sent[e.Name]; sent[e.Name] >= at && sent[e.Name] < at+3*eventloop.Second && span > 1200*eventloop.Millisecond {
					wrong = append(wrong, fmt.Sprintf("%s waited %d us while a leader left", e.Name, span))
				}
			}
		}
		return wrong
	}},
	{Name: "a queue removed and made anew", Net: CalmNet, Sync: 500, Span: 30 * eventloop.Second, Plan: func(f *Fleet) {
		extra := &schema.ConfigurationRow{Kind: "queue", Name: "extra", Key: "urgency", Value: "5"}
		fast := &schema.ConfigurationRow{Kind: "fleet", Key: "status_s", Value: "120"}
		kind := Kind{Queue: "extra", Job: Kinds()[0].Job}
		f.At(f.Began, func() { f.Put("operator", append(f.Rows(60), extra, fast)) })
		f.At(f.Began+4*eventloop.Second, func() { f.HandIn(kind, "before") })
		f.At(f.Began+8*eventloop.Second, func() { f.Put("operator", append(f.Rows(60), fast)) })
		f.At(f.Began+20*eventloop.Second, func() {
			for _, h := range f.Stores() {
				// It ends only when what it has ended has been kept for its time.
				f.groups = append(f.groups, h.Groups("extra#")...)
			}
		})
		f.Over += 130 * eventloop.Second
		f.At(f.Began+150*eventloop.Second, func() {
			for _, h := range f.Stores() {
				f.later = append(f.later, h.Groups("extra#")...)
			}
			f.Put("operator", append(f.Rows(60), extra, fast))
		})
		f.At(f.Began+155*eventloop.Second, func() { f.HandIn(kind, "after") })
	}, After: func(f *Fleet) []string {
		var wrong []string
		if len(f.groups) != 3 || len(f.later) != 0 {
			wrong = append(wrong, fmt.Sprintf("replicas 12 s after the rows were removed: %v; after the ended jobs' time: %v", f.groups, f.later))
		}
		for _, h := range f.Stores() {
			if now := h.Groups("extra#"); len(now) != 1 || len(f.groups) > 0 && now[0] == f.groups[0] {
				wrong = append(wrong, fmt.Sprintf("%s holds %v after the queue was made anew, %v before", h.Name, now, f.groups))
			}
		}
		return wrong
	}},
	{Name: "operators race", Net: RoughNet, Sync: 500, Span: 25 * eventloop.Second, Plan: func(f *Fleet) {
		for k := 0; k < 6; k++ {
			f.At(f.Began+eventloop.Micros(2+3*k)*eventloop.Second, func() {
				f.Put("one", f.Rows(50+k))
				f.Put("two", f.Rows(70+k))
			})
		}
		during(f, 8*eventloop.Second, func(leader *Host) { f.killed(leader, 2*eventloop.Second) })
	}},
}

// CalledScenarios are faults of workers that are called.
var CalledScenarios = []Scenario{
	{Name: "side machines killed, frozen, cut", Net: CalmNet, Sync: 500, Span: 40 * eventloop.Second, Plan: func(f *Fleet) {
		// Long enough that some of it is there when a hold ends.
		long := &schema.Job{Text: "long", Steps: []*schema.Step{{Name: "long", Tasks: 8, CoresMilli: 1000, MemoryMb: 100, EstimatedRunUs: int64(9 * eventloop.Second), Checkpoints: true, MaxPerWorker: 2}}}
		for k := eventloop.Micros(0); k < 3; k++ {
			f.At(f.Began+(1+8*k)*eventloop.Second, func() { f.HandIn(Kind{Queue: "quick", Attempts: 4, Job: long}, fmt.Sprint("long-", k)) })
		}
		f.At(f.Began+2*eventloop.Second, func() { f.killed(f.sides[0], 3*eventloop.Second) })
		f.At(f.Began+8*eventloop.Second, func() { f.frozen(f.sides[1], 7*eventloop.Second) })
		f.At(f.Began+9*eventloop.Second, func() { f.frozen(f.sides[4], 2*eventloop.Second) })
		f.At(f.Began+18*eventloop.Second, func() { f.isolated(f.sides[2], 9*eventloop.Second) })
		f.At(f.Began+20*eventloop.Second, func() { f.killed(f.sides[3], 12*eventloop.Second) })
		f.At(f.Began+30*eventloop.Second, func() { f.isolated(f.sides[0], 2*eventloop.Second) })
	}},
	{Name: "every side machine killed at once", Net: CalmNet, Sync: 500, Span: 25 * eventloop.Second, Plan: func(f *Fleet) {
		f.At(f.Began+3*eventloop.Second, func() {
			f.Fault("every side machine killed")
			for _, h := range f.sides {
				h.Kill()
				f.After(2*eventloop.Second, h.Start)
			}
		})
	}},
	{Name: "orders are left unanswered and carried out late", Net: CalmNet, Sync: 500, Span: 30 * eventloop.Second, Plan: func(f *Fleet) {
		for k, worker := range f.Workers {
			f.At(f.Began+eventloop.Micros(2+3*k)*eventloop.Second, func() { worker.(*CalledWorker).Sick(0, 0.6) })
			f.At(f.Began+eventloop.Micros(10+3*k)*eventloop.Second, func() { worker.(*CalledWorker).Sick(0, 0) })
		}
	}},
	{Name: "called workers crash, vanish, leave at once, fail, stand still", Net: CalmNet, Sync: 500, Span: 40 * eventloop.Second, Plan: func(f *Fleet) {
		w := func(k int) *CalledWorker { return f.Workers[k].(*CalledWorker) }
		f.At(f.Began+2*eventloop.Second, func() { w(0).Start() })
		f.At(f.Began+4*eventloop.Second, func() { w(1).Crash(); f.After(9*eventloop.Second, w(1).Start) })
		f.At(f.Began+6*eventloop.Second, func() { w(2).leave(700*eventloop.Millisecond, false); f.After(4*eventloop.Second, w(2).Start) })
		f.At(f.Began+12*eventloop.Second, func() { w(3).Leave(); f.After(8*eventloop.Second, w(3).Start) })
		f.At(f.Began+15*eventloop.Second, func() { w(0).ail(); w(0).habits.FailureRate = 0.5; w(2).ail(); w(2).habits.StallRate = 0.2 })
		f.At(f.Began+22*eventloop.Second, func() { w(1).Sick(0.5, 0); w(3).ail(); w(3).habits.Slowdown = 6 })
		f.At(f.Began+30*eventloop.Second, func() {
			for k := range f.Workers {
				w(k).habits = fakeworker.Behaviour{}
				w(k).Sick(0, 0)
			}
		})
	}},
	{Name: "leader, a worker and its neighbour's agent lost at once", Net: CalmNet, Sync: 500, Span: 40 * eventloop.Second, Plan: func(f *Fleet) {
		during(f, 4*eventloop.Second, func(leader *Host) {
			f.killed(leader, 8*eventloop.Second)
			f.Workers[0].Crash()
			f.After(15*eventloop.Second, f.Workers[0].Start)
			f.killed(f.sides[1], 5*eventloop.Second)
		})
	}},
	{Name: "disks lost after all were killed", Net: CalmNet, Sync: 500, Span: 40 * eventloop.Second, Plan: func(f *Fleet) {
		f.At(f.Began+5*eventloop.Second, func() {
			f.Fault("every process killed, one disk lost")
			for k, h := range f.Hosts {
				if k == 1 {
					h.Wipe()
				}
				h.Kill()
				f.After(eventloop.Second, h.Start)
			}
		})
	}},
	{Name: "urgent work while called workers are full", Net: CalmNet, Sync: 500, Span: 25 * eventloop.Second, Plan: func(f *Fleet) {
		full := &schema.Job{Text: "fill", Steps: []*schema.Step{{Name: "fill", Tasks: 30, CoresMilli: 2000, MemoryMb: 100, EstimatedRunUs: int64(5 * eventloop.Second), Checkpoints: true}}}
		f.At(f.Began+2*eventloop.Second, func() {
			for k := 0; k < 3; k++ {
				f.HandIn(Kind{Queue: "slow", Attempts: 4, Job: full}, fmt.Sprint("fill-", k))
			}
		})
		f.At(f.Began+5*eventloop.Second, func() {
			for k := 0; k < 30; k++ {
				f.HandIn(f.Size.Kinds[0], fmt.Sprint("burst-", k))
			}
		})
	}},
}

// ScenariosOf are those that a fleet of a size can be put through.
func ScenariosOf(size Size) []Scenario {
	if size.Bounds == nil {
		return slices.Concat(Scenarios, DiskScenarios)
	}
	// Nobody could call a worker for so long.
	list := slices.DeleteFunc(slices.Clone(Scenarios), func(s Scenario) bool { return s.Name == "every side machine gone" })
	return slices.Concat(list, CalledScenarios, DiskScenarios)
}

func maxKey(set map[uint64]bool) uint64 {
	most := uint64(0)
	for key := range set {
		most = max(most, key)
	}
	return most
}

// repaired: three voters in every group, all of them up, on every store.
func repaired(f *Fleet) []string {
	var wrong []string
	up := map[string]bool{}
	for _, h := range f.Stores() {
		if h.IsUp {
			up[h.Id] = true
		}
	}
	seen := map[string]bool{}
	for _, h := range f.Stores() {
		belief := h.Belief()
		if belief == nil {
			continue
		}
		for _, group := range belief.Groups {
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
				wrong = append(wrong, fmt.Sprintf("%s has the voters %v, %d of them up", group.Group, group.Voters, live))
			}
		}
	}
	if len(seen) < 5 {
		wrong = append(wrong, fmt.Sprintf("only %d groups are led", len(seen)))
	}
	return wrong
}

// Play runs a scenario on a fleet of a size, with a seed.
func Play(s Scenario, size Size, seed uint64) (*Fleet, []checker.Violation, []string) {
	f := NewFleet(seed, size, s.Net, s.Sync, s.Span)
	if s.Plan != nil {
		s.Plan(f)
	}
	breaches := f.Finish()
	var wrong []string
	if s.After != nil {
		wrong = s.After(f)
	}
	return f, breaches, wrong
}

// busiest is the worker on which most tasks run by now: losing one that has none
// would show nothing.
func (f *Fleet) busiest() Hand {
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
