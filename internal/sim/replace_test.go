package sim

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/encoding/protojson"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/gateway"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

var replaceSeeds = flag.Int("replace-seeds", 1, "how many seeds to run each history of operators with")

// --- the model: a compare-and-set register whose orders may be sent again ---

// registerInput is an order as its operator sent it, as often as it liked, or a
// read where there is none.
type registerInput struct{ order *operatorOrder }

// registerOutput is what an order came to, or what a read showed.
type registerOutput struct {
	code     int32 // 200 or 412; 0: never a clear answer
	edition  uint64
	document string
}

type registerState struct {
	edition  uint64
	document string
}

// register says what one order or read may come to. An order that never got a
// clear answer may have taken effect at any moment since it was sent.
var register = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(before, input, output any) (bool, any) {
		state, answer := before.(registerState), output.(registerOutput)
		order := input.(registerInput).order
		if order == nil {
			return state == registerState{answer.edition, answer.document}, state
		}
		sheet := order.sheet
		isOnTop := sheet.BaseEdition == state.edition
		after := registerState{sheet.Edition, string(sheet.Document)}
		switch {
		case answer.code == 412:
			// A base that is still to come is no lost race.
			return sheet.BaseEdition < state.edition, state
		case isOnTop:
			return true, after
		}
		return answer.code == 0, state
	},
	DescribeOperation: func(input, output any) string {
		answer := output.(registerOutput)
		if order := input.(registerInput).order; order != nil {
			return fmt.Sprintf("%s -> %d", order.sheet.Document, answer.code)
		}
		return fmt.Sprintf("read -> %s", answer.document)
	},
}

// --- operators ---

// operatorOrder is one order and the answers its operator has had.
type operatorOrder struct {
	operator int
	sheet    *schema.Sheet
	sent     eventloop.Micros // first
	answered eventloop.Micros // first clear answer
	code     int32            // 200 or 412; 0: none yet
	isGiven  bool             // up: it isn't sent again
}

// operators are several people who replace the configuration at the same time,
// through any node, and lose a part of their answers.
type operators struct {
	*World
	rng       *rand.Rand
	until     eventloop.Micros
	lost      float64 // share of the answers that are lost on their way
	orders    []*operatorOrder
	history   []porcupine.Operation
	wrong     []string
	confirmed uint64 // the newest edition that was confirmed
	last      uint64 // the edition that was read at the end
	resent    int    // orders that were answered again after a clear answer
}

func (o *operators) fail(form string, args ...any) {
	if len(o.wrong) < 10 {
		o.wrong = append(o.wrong, fmt.Sprintf("at %.3f s: ", float64(o.Now)/1e6)+fmt.Sprintf(form, args...))
	}
}

func (o *operators) front() *Host {
	fronts := o.Fronts()
	return fronts[o.rng.IntN(len(fronts))]
}

// call asks a node and may lose its answer.
func (o *operators) call(front *Host, span eventloop.Micros, ask gateway.Ask, back func(reply gateway.Answer)) {
	isLost := o.rng.Float64() < o.lost
	o.Ask(front, span, func(request uint64, deadline eventloop.Micros) any {
		ask.Request, ask.Deadline = request, deadline
		return ask
	}, func(answer any) {
		reply, _ := answer.(gateway.Answer)
		if isLost {
			reply = gateway.Answer{}
		}
		back(reply)
	})
}

// read looks at the configuration and goes on with it when it has it.
func (o *operators) read(operator int, back func(plan *schema.Plan)) {
	sent, wanted := o.Now, o.confirmed
	o.call(o.front(), eventloop.Second, gateway.Ask{Kind: "plan", Group: clusterstate.Group}, func(reply gateway.Answer) {
		plan := &schema.Plan{}
		if reply.Code != 200 || protojson.Unmarshal(reply.Body, plan) != nil {
			if reply.Code >= 400 && reply.Code < 500 {
				o.fail("a read is answered %d", reply.Code)
			}
			back(nil)
			return
		}
		if plan.Edition < wanted {
			o.fail("a read shows edition %d, and %d was confirmed before it was asked for", plan.Edition, wanted)
		}
		o.history = append(o.history, porcupine.Operation{
			ClientId: operator, Input: registerInput{}, Call: int64(sent), Return: int64(o.Now),
			Output: registerOutput{code: 200, edition: plan.Edition, document: string(plan.Document)},
		})
		back(plan)
	})
}

// work has an operator make one change after the other.
func (o *operators) work(operator int) {
	if o.Now >= o.until {
		return
	}
	again := func() { o.After(eventloop.Micros(20+o.rng.IntN(200))*eventloop.Milli, func() { o.work(operator) }) }
	o.read(operator, func(plan *schema.Plan) {
		if plan == nil {
			again()
			return
		}
		first := o.order(operator, plan.Edition)
		// Some don't wait for the answer and build on their own order.
		if o.rng.IntN(4) == 0 {
			o.send(o.order(operator, first.sheet.Edition), func() {})
		}
		o.send(first, again)
	})
}

// order writes a new order; numbers of different operators often are the same.
func (o *operators) order(operator int, base uint64) *operatorOrder {
	edition := base + 1 + uint64(o.rng.IntN(2))
	document := fmt.Sprintf("%d on %d, order %d of operator %d", edition, base, len(o.orders), operator)
	each := &operatorOrder{operator: operator, sent: o.Now, sheet: &schema.Sheet{
		Edition: edition, BaseEdition: base, Document: []byte(document),
		Rows: []*schema.Row{{Kind: "rack", Name: "r1", Key: "weight", Value: fmt.Sprint(edition % 100)}},
	}}
	o.orders = append(o.orders, each)
	return each
}

// send sends an order, at times to several nodes at once, until it has a clear
// answer; a few are given up.
func (o *operators) send(each *operatorOrder, done func()) {
	copies := 1
	if o.rng.IntN(4) == 0 {
		copies = 3
	}
	open := copies
	for range copies {
		o.try(each, func() {
			if open--; open > 0 {
				return
			}
			if each.code != 0 || each.isGiven {
				done()
				return
			}
			if o.rng.IntN(200) == 0 && o.Now < o.until {
				each.isGiven = true
			}
			o.After(eventloop.Micros(20+o.rng.IntN(300))*eventloop.Milli, func() { o.send(each, done) })
		})
	}
}

// try sends an order once and holds its answer against those before.
func (o *operators) try(each *operatorOrder, done func()) {
	o.tryAt(o.front(), eventloop.Second, each, done)
}

func (o *operators) tryAt(front *Host, span eventloop.Micros, each *operatorOrder, done func()) {
	body := replica.ClusterStateBody(&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_Put{Put: &schema.PutPlan{Sheet: each.sheet}}})
	o.call(front, span, gateway.Ask{Kind: "clusterstate", Group: clusterstate.Group, Body: body}, func(reply gateway.Answer) {
		switch {
		case reply.Code == 0 || reply.Code >= 500:
		case reply.Code != 200 && reply.Code != 412:
			o.fail("%s is answered %d: %s", each.sheet.Document, reply.Code, reply.Body)
		case each.code == 0:
			each.code, each.answered = reply.Code, o.Now
			if reply.Code == 200 {
				o.confirmed = max(o.confirmed, each.sheet.Edition)
			}
			// Whoever has an answer may still have copies on their way, or ask again.
			if o.rng.IntN(3) == 0 {
				o.After(eventloop.Micros(o.rng.IntN(5000))*eventloop.Milli, func() { o.try(each, func() {}) })
			}
		case each.code != reply.Code:
			o.fail("%s was answered %d and then %d", each.sheet.Document, each.code, reply.Code)
		default:
			o.resent++
		}
		done()
	})
}

// judge holds the whole history against the model.
func (o *operators) judge() []string {
	builtOn := map[uint64]*operatorOrder{}
	for _, each := range o.orders {
		operation := porcupine.Operation{
			ClientId: each.operator, Input: registerInput{each}, Call: int64(each.sent), Return: int64(each.answered),
			Output: registerOutput{code: each.code},
		}
		if each.code == 0 {
			operation.Return = int64(o.Now) + 1
			// Of what was built on an order that lost, nothing will ever be known.
			if !each.isGiven && each.sheet.BaseEdition <= o.last {
				o.fail("%s never got a clear answer", each.sheet.Document)
			}
		}
		o.history = append(o.history, operation)
		if other := builtOn[each.sheet.BaseEdition]; each.code == 200 && other != nil {
			o.fail("%s and %s were both confirmed", other.sheet.Document, each.sheet.Document)
		} else if each.code == 200 {
			builtOn[each.sheet.BaseEdition] = each
		}
	}
	if result := porcupine.CheckOperationsTimeout(register, o.history, time.Minute); result != porcupine.Ok {
		o.fail("the history of %d orders and reads isn't linearizable: %s", len(o.history), result)
	}
	return o.wrong
}

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
	{"the leader is killed", 5 * eventloop.Second, CalmNet, 12 * eventloop.Milli, func(o *operators) { o.kill(o.leads(), o.span(200*eventloop.Milli, 3*eventloop.Second)) }},
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
		o.After(o.span(300*eventloop.Milli, 4*eventloop.Second), func() { cut(false) })
	}},
	{"the leader is frozen", 6 * eventloop.Second, CalmNet, 5 * eventloop.Milli, func(o *operators) { o.leads().Freeze(o.span(300*eventloop.Milli, 4*eventloop.Second)) }},
	{"the leader leaves in order", 6 * eventloop.Second, CalmNet, 500, func(o *operators) {
		leader := o.leads()
		if !leader.IsUp {
			return
		}
		leader.Warn(3 * eventloop.Second)
		var back func()
		back = func() {
			if leader.IsUp {
				o.After(50*eventloop.Milli, back)
				return
			}
			leader.Start()
		}
		o.After(300*eventloop.Milli, back)
	}},
	{"a disk is lost", 10 * eventloop.Second, CalmNet, 500, func(o *operators) {
		if !o.isWhole() {
			return
		}
		stores := o.Stores()
		h := stores[o.rng.IntN(len(stores))]
		h.Wipe()
		o.After(o.span(200*eventloop.Milli, 2*eventloop.Second), h.Start)
	}},
	{"all are killed", 8 * eventloop.Second, CalmNet, 5 * eventloop.Milli, func(o *operators) {
		for _, h := range o.Hosts {
			if h.IsUp {
				o.kill(h, o.span(300*eventloop.Milli, 700*eventloop.Milli))
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
		o.After(eventloop.Micros(o.rng.Int64N(int64(300*eventloop.Milli))), h.Start)
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
			o.After(eventloop.Micros(k)*2*eventloop.Milli, func() { o.try(each, func() {}) })
		}
	}
	o.read(0, func(plan *schema.Plan) {
		if plan == nil {
			o.fail("the configuration can't be read at the end")
			return
		}
		o.last = plan.Edition
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
	o := newOperators(1, CalmNet, 12*eventloop.Milli)
	o.Run(o.Now + 3*eventloop.Second)
	o.until = o.Now + 60*eventloop.Second
	for range 8 {
		o.send(o.order(0, o.confirmed), func() {
			o.kill(o.leads(), 2*eventloop.Second)
			for k := range 300 {
				o.After(eventloop.Micros(k)*5*eventloop.Milli, func() { o.read(1, func(*schema.Plan) {}) })
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
			o.After(eventloop.Micros(k)*10*eventloop.Milli, func() {
				o.tryAt(leader, 4500*eventloop.Milli, o.order(0, base), func() {})
			})
		}
		for k := range 6 {
			o.After(1500*eventloop.Milli+eventloop.Micros(k)*50*eventloop.Milli, func() { o.send(o.order(1, o.confirmed), func() {}) })
		}
		o.After(eventloop.Micros(3000+37*round)*eventloop.Milli, func() { o.Isolate(leader, false) })
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
