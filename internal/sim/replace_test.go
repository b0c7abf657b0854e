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

// leads is the store that leads the system's group.
func (o *operators) leads() *Host {
	for _, h := range o.Stores() {
		belief := h.Belief()
		if belief == nil || h.frozen {
			continue
		}
		for _, group := range belief.Groups {
			if group.Group == clusterstate.Group && group.Role == "leader" {
				return h
			}
		}
	}
	return o.Stores()[0]
}

// isWhole tells whether all voters are up and none of an old life.
func (o *operators) isWhole() bool {
	belief := o.leads().Belief()
	if belief == nil {
		return false
	}
	up := map[string]bool{}
	for _, h := range o.Stores() {
		up[h.Id] = h.IsUp && !h.frozen
	}
	for _, group := range belief.Groups {
		if group.Group != clusterstate.Group {
			continue
		}
		isUp := func(id string) bool { return up[id] }
		return len(group.Voters) == 3 && !slices.ContainsFunc(group.Voters, func(id string) bool { return !isUp(id) })
	}
	return false
}

func (o *operators) span(least, most eventloop.Micros) eventloop.Micros {
	return least + eventloop.Micros(o.rng.Int64N(int64(most-least)))
}

func (o *operators) kill(h *Host, back eventloop.Micros) {
	h.Kill()
	o.After(back, h.Start)
}

// replaceTroubles are what befalls the nodes while operators work, by name.
var replaceTroubles = []struct {
	name  string
	every eventloop.Micros
	net   Net
	sync  eventloop.Micros
	call  func(o *operators)
}{
	{"answers are lost", 0, RoughNet, 500, nil},
	{"the leader is killed", 5 * eventloop.Second, CalmNet, 12 * eventloop.Millisecond, func(o *operators) { o.kill(o.leads(), o.span(200*eventloop.Millisecond, 3*eventloop.Second)) }},
	{"the leader is cut off, whole or one way", 6 * eventloop.Second, CalmNet, 500, func(o *operators) {
		leader, way := o.leads(), o.rng.IntN(3)
		cut := func(isCut bool) {
			for _, other := range o.Hosts {
				if other != leader && way != 1 {
					o.Cut(leader, other, isCut)
				}
				if other != leader && way != 2 {
					o.Cut(other, leader, isCut)
				}
			}
		}
		cut(true)
		o.After(o.span(300*eventloop.Millisecond, 4*eventloop.Second), func() { cut(false) })
	}},
	{"the leader is frozen", 6 * eventloop.Second, CalmNet, 5 * eventloop.Millisecond, func(o *operators) { o.leads().Freeze(o.span(300*eventloop.Millisecond, 4*eventloop.Second)) }},
	{"the leader leaves in order", 6 * eventloop.Second, CalmNet, 500, func(o *operators) {
		leader := o.leads()
		if !leader.IsUp {
			return
		}
		leader.Warn(3 * eventloop.Second)
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
	{"a disk is lost", 10 * eventloop.Second, CalmNet, 500, func(o *operators) {
		if !o.isWhole() {
			return
		}
		stores := o.Stores()
		h := stores[o.rng.IntN(len(stores))]
		h.Wipe()
		o.After(o.span(200*eventloop.Millisecond, 2*eventloop.Second), h.Start)
	}},
	{"all are killed", 8 * eventloop.Second, CalmNet, 5 * eventloop.Millisecond, func(o *operators) {
		for _, h := range o.Hosts {
			if h.IsUp {
				o.kill(h, o.span(300*eventloop.Millisecond, 700*eventloop.Millisecond))
			}
		}
	}},
}

// troubleSpan is how long operators work in one history.
const troubleSpan = 20 * eventloop.Second

// newOperators starts three stores, two fronts without a disk and two
// controllers, which are ready for operators three seconds later.
func newOperators(seed uint64, net Net, sync eventloop.Micros) *operators {
	o := &operators{World: NewWorld(seed, net, sync), rng: rand.New(rand.NewPCG(seed, 0x0bda))}
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

// replaceRun has eight operators work through troubles, then lets all be well
// and has every order sent once more.
func replaceRun(seed uint64, net Net, sync eventloop.Micros, troubles ...func(o *operators)) *operators {
	o := newOperators(seed, net, sync)
	o.lost = 0.15
	began := o.Now + 3*eventloop.Second
	o.until = began + troubleSpan
	for operator := range 8 {
		o.At(began, func() { o.work(operator) })
	}
	for _, trouble := range troubles {
		trouble(o)
	}
	o.Run(o.until + 10*eventloop.Second)
	o.lost = 0
	for k, each := range o.orders {
		if each.code != 0 {
			o.After(eventloop.Micros(k)*2*eventloop.Millisecond, func() { o.try(each, func() {}) })
		}
	}
	o.read(0, func(plan *schema.Configuration) {
		if plan == nil {
			o.fail("the configuration can't be read at the end")
			return
		}
		o.last = plan.Version
	})
	o.Run(o.Now + 6*eventloop.Second)
	return o
}

func TestReplaceIsLinearizable(t *testing.T) {
	play := func(name string, seed uint64, net Net, sync eventloop.Micros, troubles ...func(o *operators)) {
		t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
			t.Parallel()
			o := replaceRun(seed, net, sync, troubles...)
			for _, wrong := range o.judge() {
				t.Error(wrong)
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
			t.Logf("%d orders, %d taken, %d refused, %d answered again, %d reads", len(o.orders), taken, refused, o.resent, len(o.history)-len(o.orders))
			// A run in which nothing happened proves nothing.
			if taken < 50 || refused < 50 || o.resent < 100 {
				t.Errorf("only %d orders taken, %d refused and %d answered again", taken, refused, o.resent)
			}
		})
	}
	repeat := func(every eventloop.Micros, call func(o *operators)) func(o *operators) {
		return func(o *operators) {
			if call == nil {
				return
			}
			for at := every / 2; at < troubleSpan; at += every {
				o.After(3*eventloop.Second+at, func() { call(o) })
			}
		}
	}
	for k := range *replaceSeeds {
		seed := *firstSeed + uint64(k)
		var all []func(o *operators)
		for _, each := range replaceTroubles {
			play(each.name, seed, each.net, each.sync, repeat(each.every, each.call))
			all = append(all, repeat(3*each.every, each.call))
		}
		play("all of these", seed, RoughNet, 500, all...)
	}
}

// TestReadsOfANewLeader: the leader is killed on its word, before the others
// know that it has committed, and everybody reads at once.
func TestReadsOfANewLeader(t *testing.T) {
	o := newOperators(1, CalmNet, 12*eventloop.Millisecond)
	o.Run(o.Now + 3*eventloop.Second)
	o.until = o.Now + 60*eventloop.Second
	for range 8 {
		o.send(o.order(0, o.confirmed), func() {
			o.kill(o.leads(), 2*eventloop.Second)
			for k := range 300 {
				o.After(eventloop.Micros(k)*5*eventloop.Millisecond, func() { o.read(1, func(*schema.Configuration) {}) })
			}
		})
		o.Run(o.Now + 6*eventloop.Second)
	}
	for _, wrong := range o.wrong {
		t.Error(wrong)
	}
	if o.confirmed < 8 || len(o.history) < 1000 {
		t.Errorf("only %d reads, and edition %d", len(o.history), o.confirmed)
	}
}

// TestAnswersOfADeposedLeader: orders that lie in the log of a leader that is
// cut off are replaced there by others, whose answers aren't theirs.
func TestAnswersOfADeposedLeader(t *testing.T) {
	o := newOperators(1, CalmNet, 500)
	o.Run(o.Now + 3*eventloop.Second)
	o.until = o.Now + 120*eventloop.Second
	lost := 0
	for round := range 8 {
		leader, base := o.leads(), o.confirmed
		o.Isolate(leader, true)
		for k := range 6 {
			o.After(eventloop.Micros(k)*10*eventloop.Millisecond, func() {
				o.tryAt(leader, 4500*eventloop.Millisecond, o.order(0, base), func() {})
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
	for _, wrong := range o.judge() {
		t.Error(wrong)
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
