package sim

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

var replaceSeeds = flag.Int("replace-seeds", 1, "how many seeds to run each history of concurrent operators with")

// --- faults ---

// clusterStateLeader returns the storage node that leads the cluster state and isn't frozen, or
// the first storage node if there is none.
func (o *operators) clusterStateLeader() *Host {
	for _, h := range o.StorageNodes() {
		if leads(h.StateView(), clusterstate.GroupName) && !h.isFrozen {
			return h
		}
	}
	return o.StorageNodes()[0]
}

// hasAllVoters reports whether the cluster state has three voters, all of them up.
func (o *operators) hasAllVoters() bool {
	group := clusterStateReplica(o.clusterStateLeader())
	if group == nil {
		return false
	}
	up := map[string]bool{}
	for _, h := range o.StorageNodes() {
		up[h.ID] = h.IsUp && !h.isFrozen
	}
	return len(group.Voters) == storageNodes && !slices.ContainsFunc(group.Voters, func(id string) bool { return !up[id] })
}

// randomDelay draws a delay between two bounds.
func (o *operators) randomDelay(shortest, longest eventloop.Micros) eventloop.Micros {
	return shortest + eventloop.Micros(o.rng.Int64N(int64(longest-shortest)))
}

func (o *operators) kill(h *Host, downtime eventloop.Micros) {
	h.Kill()
	o.After(downtime, h.Start)
}

// operatorFault is a fault that is injected periodically while operators send updates.
type operatorFault struct {
	name     string
	interval eventloop.Micros
	network  NetworkProfile
	sync     eventloop.Micros // duration of a disk sync
	inject   func(o *operators)
}

var operatorFaults = []operatorFault{
	{"answers are lost", 0, LossyNetwork, fastSync, nil},
	{"the leader is killed", 5 * eventloop.Second, ReliableNetwork, 12 * eventloop.Millisecond, func(o *operators) {
		o.kill(o.clusterStateLeader(), o.randomDelay(200*eventloop.Millisecond, 3*eventloop.Second))
	}},
	{"the leader is partitioned, both ways or one way", 6 * eventloop.Second, ReliableNetwork, fastSync, func(o *operators) {
		leader, direction := o.clusterStateLeader(), o.rng.IntN(3)
		partition := func(blocked bool) {
			for _, other := range o.Hosts {
				if other != leader && direction != 1 {
					o.BlockLink(leader, other, blocked)
				}
				if other != leader && direction != 2 {
					o.BlockLink(other, leader, blocked)
				}
			}
		}
		partition(true)
		o.After(o.randomDelay(300*eventloop.Millisecond, 4*eventloop.Second), func() { partition(false) })
	}},
	{"the leader is frozen", 6 * eventloop.Second, ReliableNetwork, slowSync, func(o *operators) {
		o.clusterStateLeader().Freeze(o.randomDelay(300*eventloop.Millisecond, 4*eventloop.Second))
	}},
	{"the leader drains", 6 * eventloop.Second, ReliableNetwork, fastSync, func(o *operators) {
		leader := o.clusterStateLeader()
		if !leader.IsUp {
			return
		}
		leader.Drain(3 * eventloop.Second)
		var restartWhenDown func()
		restartWhenDown = func() {
			if leader.IsUp {
				o.After(50*eventloop.Millisecond, restartWhenDown)
				return
			}
			leader.Start()
		}
		o.After(300*eventloop.Millisecond, restartWhenDown)
	}},
	{"a disk is lost", 10 * eventloop.Second, ReliableNetwork, fastSync, func(o *operators) {
		if !o.hasAllVoters() {
			return
		}
		nodes := o.StorageNodes()
		h := nodes[o.rng.IntN(len(nodes))]
		h.Wipe()
		o.After(o.randomDelay(200*eventloop.Millisecond, 2*eventloop.Second), h.Start)
	}},
	{"all are killed", 8 * eventloop.Second, ReliableNetwork, slowSync, func(o *operators) {
		for _, h := range o.Hosts {
			if h.IsUp {
				o.kill(h, o.randomDelay(300*eventloop.Millisecond, 700*eventloop.Millisecond))
			}
		}
	}},
	{"all storage nodes are killed when one has acknowledged", 4 * eventloop.Second, ReliableNetwork, slowSync, func(o *operators) {
		o.onAcknowledgement(func() {
			for _, h := range o.StorageNodes() {
				if h.IsUp {
					o.kill(h, o.randomDelay(100*eventloop.Millisecond, eventloop.Second))
				}
			}
		})
	}},
}

// onAcknowledgement calls back at the next acknowledgement of an update.
func (o *operators) onAcknowledgement(callback func()) {
	before := o.confirmedVersion
	var watch func()
	watch = func() {
		switch {
		case o.confirmedVersion > before:
			callback()
		case o.Now < o.until:
			o.After(100, watch)
		}
	}
	watch()
}

// faultPeriod is how long operators send new updates and faults are injected in one history.
const faultPeriod = 20 * eventloop.Second

// newOperators starts three storage nodes, two gateways without a disk and two agent nodes. They
// are ready to serve operators three seconds later.
func newOperators(seed uint64, profile NetworkProfile, sync eventloop.Micros) *operators {
	o := &operators{Simulation: NewSimulation(seed, profile, sync), rng: rand.New(rand.NewPCG(seed, 0x0bda))}
	addTestHosts(o.Simulation, "server", "controller", 2)
	startWithin(o.Simulation, o.rng.Int64N)
	return o
}

// runReplaces lets eight operators update the configuration while faults are injected. It then
// waits for the recovery, and sends every update that has a clear answer once more.
func runReplaces(seed uint64, profile NetworkProfile, sync eventloop.Micros, faults ...func(o *operators)) *operators {
	o := newOperators(seed, profile, sync)
	o.lossRate = 0.15
	began := o.Now + 3*eventloop.Second
	o.until = began + faultPeriod
	for operator := range 8 {
		o.At(began, func() { o.work(operator) })
	}
	for _, inject := range faults {
		inject(o)
	}
	o.Run(o.until + 10*eventloop.Second)
	o.lossRate = 0
	for k, update := range o.updates {
		if update.code != 0 {
			o.After(eventloop.Micros(k)*2*eventloop.Millisecond, func() { o.sendOnce(update, func() {}) })
		}
	}
	o.read(0, func(current *schema.Configuration) {
		if current == nil {
			o.fail("the configuration can't be read at the end")
			return
		}
		o.lastReadVersion = current.Version
	})
	o.Run(o.Now + 6*eventloop.Second)
	return o
}

func TestReplaceIsLinearizable(t *testing.T) {
	test := func(name string, seed uint64, profile NetworkProfile, sync eventloop.Micros, faults ...func(o *operators)) {
		t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
			t.Parallel()
			o := runReplaces(seed, profile, sync, faults...)
			for _, problem := range o.check() {
				t.Error(problem)
			}
			accepted, refused := 0, 0
			for _, update := range o.updates {
				if update.code == 200 {
					accepted++
				}
				if update.code == 412 {
					refused++
				}
			}
			t.Logf("%d updates, %d accepted, %d refused, %d repeated answers, %d reads", len(o.updates), accepted, refused, o.repeatedAnswers, len(o.history)-len(o.updates))
			// A run in which hardly anything happened proves nothing.
			if accepted < 50 || refused < 50 || o.repeatedAnswers < 100 {
				t.Errorf("only %d updates were accepted, %d were refused, and %d answers were repeated", accepted, refused, o.repeatedAnswers)
			}
		})
	}
	repeat := func(interval eventloop.Micros, inject func(o *operators)) func(o *operators) {
		return func(o *operators) {
			if inject == nil {
				return
			}
			for at := interval / 2; at < faultPeriod; at += interval {
				o.After(3*eventloop.Second+at, func() { inject(o) })
			}
		}
	}
	for k := range *replaceSeeds {
		seed := *firstSeed + uint64(k)
		var all []func(o *operators)
		for _, fault := range operatorFaults {
			test(fault.name, seed, fault.network, fault.sync, repeat(fault.interval, fault.inject))
			all = append(all, repeat(3*fault.interval, fault.inject))
		}
		test("all of these", seed, LossyNetwork, fastSync, all...)
	}
}

// TestReadsOfNewLeader checks reads during a change of leaders: the leader is killed when it has
// answered an update, before the other nodes know that the update is committed. From then on a
// read is sent every 5 ms.
func TestReadsOfNewLeader(t *testing.T) {
	o := newOperators(1, ReliableNetwork, 12*eventloop.Millisecond)
	o.Run(o.Now + 3*eventloop.Second)
	o.until = o.Now + 60*eventloop.Second
	for range 8 {
		o.send(o.newUpdate(0, o.confirmedVersion), func() {
			o.kill(o.clusterStateLeader(), 2*eventloop.Second)
			for k := range 300 {
				o.After(eventloop.Micros(k)*5*eventloop.Millisecond, func() { o.read(1, func(*schema.Configuration) {}) })
			}
		})
		o.Run(o.Now + 6*eventloop.Second)
	}
	for _, problem := range o.problems {
		t.Error(problem)
	}
	if o.confirmedVersion < 8 || len(o.history) < 1000 {
		t.Errorf("only %d reads were answered, and the newest confirmed version is %d", len(o.history), o.confirmedVersion)
	}
}

// TestAnswersOfDeposedLeader checks that updates in the log of a partitioned leader don't get the
// answers of the updates that later overwrite them there.
func TestAnswersOfDeposedLeader(t *testing.T) {
	o := newOperators(1, ReliableNetwork, fastSync)
	o.Run(o.Now + 3*eventloop.Second)
	o.until = o.Now + 120*eventloop.Second
	lost := 0
	for round := range 8 {
		leader, base := o.clusterStateLeader(), o.confirmedVersion
		o.Isolate(leader, true)
		for k := range 6 {
			o.After(eventloop.Micros(k)*10*eventloop.Millisecond, func() {
				o.sendOnceTo(leader, 4500*eventloop.Millisecond, o.newUpdate(0, base), func() {})
			})
		}
		for k := range 6 {
			o.After(1500*eventloop.Millisecond+eventloop.Micros(k)*50*eventloop.Millisecond, func() { o.send(o.newUpdate(1, o.confirmedVersion), func() {}) })
		}
		o.After(eventloop.Micros(3000+37*round)*eventloop.Millisecond, func() { o.Isolate(leader, false) })
		o.Run(o.Now + 8*eventloop.Second)
		if o.confirmedVersion == base {
			t.Fatalf("round %d: no update was accepted", round)
		}
	}
	for _, update := range o.updates {
		o.After(1, func() { o.send(update, func() {}) })
	}
	o.Run(o.Now + 10*eventloop.Second)
	for _, problem := range o.check() {
		t.Error(problem)
	}
	for _, update := range o.updates {
		if update.operator == 0 && update.code == 412 {
			lost++
		}
	}
	if lost < 20 {
		t.Errorf("only %d updates to partitioned leaders were refused", lost)
	}
}
