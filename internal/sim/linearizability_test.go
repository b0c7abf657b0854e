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

var replaceSeeds = flag.Int("replace-seeds", 1, "how many seeds to run each history of operators with")

// --- troubles ---

// clusterStateLeader is the store that leads the system's group.
func (o *operators) clusterStateLeader() *Host {
	for _, h := range o.StorageNodes() {
		view := h.StateView()
		if view == nil || h.isFrozen {
			continue
		}
		for _, group := range view.Groups {
			if group.Group == clusterstate.Group && group.Role == "leader" {
				return h
			}
		}
	}
	return o.StorageNodes()[0]
}

// hasAllVoters tells whether all voters are up and none of an old life.
func (o *operators) hasAllVoters() bool {
	view := o.clusterStateLeader().StateView()
	if view == nil {
		return false
	}
	up := map[string]bool{}
	for _, h := range o.StorageNodes() {
		up[h.ID] = h.IsUp && !h.isFrozen
	}
	for _, group := range view.Groups {
		if group.Group != clusterstate.Group {
			continue
		}
		isUp := func(id string) bool { return up[id] }
		return len(group.Voters) == 3 && !slices.ContainsFunc(group.Voters, func(id string) bool { return !isUp(id) })
	}
	return false
}

func (o *operators) randomDelay(shortest, longest eventloop.Micros) eventloop.Micros {
	return shortest + eventloop.Micros(o.rng.Int64N(int64(longest-shortest)))
}

func (o *operators) kill(h *Host, back eventloop.Micros) {
	h.Kill()
	o.After(back, h.Start)
}

// replaceFaults are what befalls the nodes while operators work, by name.
var replaceFaults = []struct {
	name  string
	every eventloop.Micros
	net   NetworkProfile
	sync  eventloop.Micros
	call  func(o *operators)
}{
	{"answers are lost", 0, LossyNetwork, 500, nil},
	{"the leader is killed", 5 * eventloop.Second, ReliableNetwork, 12 * eventloop.Millisecond, func(o *operators) {
		o.kill(o.clusterStateLeader(), o.randomDelay(200*eventloop.Millisecond, 3*eventloop.Second))
	}},
	{"the leader is cut off, whole or one way", 6 * eventloop.Second, ReliableNetwork, 500, func(o *operators) {
		leader, way := o.clusterStateLeader(), o.rng.IntN(3)
		cut := func(blocked bool) {
			for _, other := range o.Hosts {
				if other != leader && way != 1 {
					o.BlockLink(leader, other, blocked)
				}
				if other != leader && way != 2 {
					o.BlockLink(other, leader, blocked)
				}
			}
		}
		cut(true)
		o.After(o.randomDelay(300*eventloop.Millisecond, 4*eventloop.Second), func() { cut(false) })
	}},
	{"the leader is frozen", 6 * eventloop.Second, ReliableNetwork, 5 * eventloop.Millisecond, func(o *operators) {
		o.clusterStateLeader().Freeze(o.randomDelay(300*eventloop.Millisecond, 4*eventloop.Second))
	}},
	{"the leader leaves in order", 6 * eventloop.Second, ReliableNetwork, 500, func(o *operators) {
		leader := o.clusterStateLeader()
		if !leader.IsUp {
			return
		}
		leader.Drain(3 * eventloop.Second)
		var back func()
		back = func() {
			if leader.IsUp {
				o.After(50*eventloop.Millisecond, back)
				return
			}
			leader.Start()
		}
		o.After(300*eventloop.Millisecond, back)
	}},
	{"a disk is lost", 10 * eventloop.Second, ReliableNetwork, 500, func(o *operators) {
		if !o.hasAllVoters() {
			return
		}
		stores := o.StorageNodes()
		h := stores[o.rng.IntN(len(stores))]
		h.Wipe()
		o.After(o.randomDelay(200*eventloop.Millisecond, 2*eventloop.Second), h.Start)
	}},
	{"all are killed", 8 * eventloop.Second, ReliableNetwork, 5 * eventloop.Millisecond, func(o *operators) {
		for _, h := range o.Hosts {
			if h.IsUp {
				o.kill(h, o.randomDelay(300*eventloop.Millisecond, 700*eventloop.Millisecond))
			}
		}
	}},
}

// faultPeriod is how long operators work in one history.
const faultPeriod = 20 * eventloop.Second

// newOperators starts three stores, two fronts without a disk and two
// controllers, which are ready for operators three seconds later.
func newOperators(seed uint64, net NetworkProfile, sync eventloop.Micros) *operators {
	o := &operators{Simulation: NewSimulation(seed, net, sync), rng: rand.New(rand.NewPCG(seed, 0x0bda))}
	for k := range 5 {
		o.AddHost(fmt.Sprint("server", k+1), fmt.Sprint("c", k%3+1), schema.Role_ROLE_SERVER, k < 3)
	}
	for k := range 2 {
		o.AddHost(fmt.Sprint("controller", k+1), fmt.Sprint("c", k%3+1), schema.Role_ROLE_CONTROLLER, false)
	}
	for _, h := range o.Hosts {
		o.After(eventloop.Micros(o.rng.Int64N(int64(300*eventloop.Millisecond))), h.Start)
	}
	return o
}

// runReplaces has eight operators work through troubles, then lets all be well
// and has every order sent once more.
func runReplaces(seed uint64, net NetworkProfile, sync eventloop.Micros, troubles ...func(o *operators)) *operators {
	o := newOperators(seed, net, sync)
	o.lossRate = 0.15
	began := o.Now + 3*eventloop.Second
	o.until = began + faultPeriod
	for operator := range 8 {
		o.At(began, func() { o.work(operator) })
	}
	for _, trouble := range troubles {
		trouble(o)
	}
	o.Run(o.until + 10*eventloop.Second)
	o.lossRate = 0
	for k, each := range o.orders {
		if each.code != 0 {
			o.After(eventloop.Micros(k)*2*eventloop.Millisecond, func() { o.sendOnce(each, func() {}) })
		}
	}
	o.read(0, func(current *schema.Configuration) {
		if current == nil {
			o.fail("the configuration can't be read at the end")
			return
		}
		o.lastRead = current.Version
	})
	o.Run(o.Now + 6*eventloop.Second)
	return o
}

func TestReplaceIsLinearizable(t *testing.T) {
	play := func(name string, seed uint64, net NetworkProfile, sync eventloop.Micros, troubles ...func(o *operators)) {
		t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
			t.Parallel()
			o := runReplaces(seed, net, sync, troubles...)
			for _, problems := range o.check() {
				t.Error(problems)
			}
			taken, refused := 0, 0
			for _, each := range o.orders {
				if each.code == 200 {
					taken++
				}
				if each.code == 412 {
					refused++
				}
			}
			t.Logf("%d orders, %d taken, %d refused, %d answered again, %d reads", len(o.orders), taken, refused, o.repeatedAnswers, len(o.history)-len(o.orders))
			// A run in which nothing happened proves nothing.
			if taken < 50 || refused < 50 || o.repeatedAnswers < 100 {
				t.Errorf("only %d orders taken, %d refused and %d answered again", taken, refused, o.repeatedAnswers)
			}
		})
	}
	repeat := func(every eventloop.Micros, call func(o *operators)) func(o *operators) {
		return func(o *operators) {
			if call == nil {
				return
			}
			for at := every / 2; at < faultPeriod; at += every {
				o.After(3*eventloop.Second+at, func() { call(o) })
			}
		}
	}
	for k := range *replaceSeeds {
		seed := *firstSeed + uint64(k)
		var all []func(o *operators)
		for _, each := range replaceFaults {
			play(each.name, seed, each.net, each.sync, repeat(each.every, each.call))
			all = append(all, repeat(3*each.every, each.call))
		}
		play("all of these", seed, LossyNetwork, 500, all...)
	}
}

// TestReadsOfANewLeader: the leader is killed on its word, before the others
// know that it has committed, and everybody reads at once.
func TestReadsOfANewLeader(t *testing.T) {
	o := newOperators(1, ReliableNetwork, 12*eventloop.Millisecond)
	o.Run(o.Now + 3*eventloop.Second)
	o.until = o.Now + 60*eventloop.Second
	for range 8 {
		o.send(o.order(0, o.confirmed), func() {
			o.kill(o.clusterStateLeader(), 2*eventloop.Second)
			for k := range 300 {
				o.After(eventloop.Micros(k)*5*eventloop.Millisecond, func() { o.read(1, func(*schema.Configuration) {}) })
			}
		})
		o.Run(o.Now + 6*eventloop.Second)
	}
	for _, problems := range o.problems {
		t.Error(problems)
	}
	if o.confirmed < 8 || len(o.history) < 1000 {
		t.Errorf("only %d reads, and edition %d", len(o.history), o.confirmed)
	}
}

// TestAnswersOfADeposedLeader: orders that lie in the log of a leader that is
// cut off are replaced there by others, whose answers aren't theirs.
func TestAnswersOfADeposedLeader(t *testing.T) {
	o := newOperators(1, ReliableNetwork, 500)
	o.Run(o.Now + 3*eventloop.Second)
	o.until = o.Now + 120*eventloop.Second
	lost := 0
	for round := range 8 {
		leader, base := o.clusterStateLeader(), o.confirmed
		o.Isolate(leader, true)
		for k := range 6 {
			o.After(eventloop.Micros(k)*10*eventloop.Millisecond, func() {
				o.sendOnceTo(leader, 4500*eventloop.Millisecond, o.order(0, base), func() {})
			})
		}
		for k := range 6 {
			o.After(1500*eventloop.Millisecond+eventloop.Micros(k)*50*eventloop.Millisecond, func() { o.send(o.order(1, o.confirmed), func() {}) })
		}
		o.After(eventloop.Micros(3000+37*round)*eventloop.Millisecond, func() { o.Isolate(leader, false) })
		o.Run(o.Now + 8*eventloop.Second)
		if o.confirmed == base {
			t.Fatalf("round %d: nothing was taken", round)
		}
	}
	for _, each := range o.orders {
		o.After(1, func() { o.send(each, func() {}) })
	}
	o.Run(o.Now + 10*eventloop.Second)
	for _, problems := range o.check() {
		t.Error(problems)
	}
	for _, each := range o.orders {
		if each.operator == 0 && each.code == 412 {
			lost++
		}
	}
	if lost < 20 {
		t.Errorf("only %d orders of the leaders that were cut off have lost", lost)
	}
}
