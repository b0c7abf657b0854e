package sim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/encoding/protojson"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/gateway"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// --- the model: a compare-and-set register whose orders may be sent again ---

// registerInput is an order as its operator sent it, as often as it liked, or a
// read where there is none.
type registerInput struct{ order *replaceOrder }

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
		configuration := order.configuration
		isOnTop := configuration.BaseVersion == state.edition
		after := registerState{configuration.Version, string(configuration.Document)}
		switch {
		case answer.code == 412:
			// A base that is still to come is no lost race.
			return configuration.BaseVersion < state.edition, state
		case isOnTop:
			return true, after
		}
		return answer.code == 0, state
	},
	DescribeOperation: func(input, output any) string {
		answer := output.(registerOutput)
		if order := input.(registerInput).order; order != nil {
			return fmt.Sprintf("%s -> %d", order.configuration.Document, answer.code)
		}
		return fmt.Sprintf("read -> %s", answer.document)
	},
}

// --- operators ---

// replaceOrder is one order and the answers its operator has had.
type replaceOrder struct {
	operator      int
	configuration *schema.ConfigurationUpdate
	sent          eventloop.Micros // first
	answered      eventloop.Micros // first clear answer
	code          int32            // 200 or 412; 0: none yet
	isAbandoned   bool             // up: it isn't sent again
}

// operators are several people who replace the configuration at the same time,
// through any node, and lose a part of their answers.
type operators struct {
	*Simulation
	rng             *rand.Rand
	until           eventloop.Micros
	lossRate        float64 // share of the answers that are lost on their way
	orders          []*replaceOrder
	history         []porcupine.Operation
	problems        []string
	confirmed       uint64 // the newest edition that was confirmed
	lastRead        uint64 // the edition that was read at the end
	repeatedAnswers int    // orders that were answered again after a clear answer
}

func (o *operators) fail(form string, args ...any) {
	if len(o.problems) < 10 {
		o.problems = append(o.problems, fmt.Sprintf("at %.3f s: ", float64(o.Now)/1e6)+fmt.Sprintf(form, args...))
	}
}

func (o *operators) randomGateway() *Host {
	gateways := o.Gateways()
	return gateways[o.rng.IntN(len(gateways))]
}

// callWorker asks a node and may lose its answer.
func (o *operators) call(node *Host, duration eventloop.Micros, ask gateway.LeaderRequest, back func(reply gateway.Response)) {
	lost := o.rng.Float64() < o.lossRate
	o.Request(node, duration, func(request uint64, deadline eventloop.Micros) any {
		ask.RequestID, ask.Deadline = request, deadline
		return ask
	}, func(answer any) {
		reply, _ := answer.(gateway.Response)
		if lost {
			reply = gateway.Response{}
		}
		back(reply)
	})
}

// requirements looks at the configuration and goes on with it when it has it.
func (o *operators) read(operator int, back func(current *schema.Configuration)) {
	sent, wanted := o.Now, o.confirmed
	o.call(o.randomGateway(), eventloop.Second, gateway.LeaderRequest{Kind: "plan", Group: clusterstate.Group}, func(reply gateway.Response) {
		current := &schema.Configuration{}
		if reply.Code != 200 || protojson.Unmarshal(reply.Body, current) != nil {
			if reply.Code >= 400 && reply.Code < 500 {
				o.fail("a read is answered %d", reply.Code)
			}
			back(nil)
			return
		}
		if current.Version < wanted {
			o.fail("a read shows edition %d, and %d was confirmed before it was asked for", current.Version, wanted)
		}
		o.history = append(o.history, porcupine.Operation{
			ClientId: operator, Input: registerInput{}, Call: int64(sent), Return: int64(o.Now),
			Output: registerOutput{code: 200, edition: current.Version, document: string(current.Document)},
		})
		back(current)
	})
}

// runOnCPU has an operator make one change after the other.
func (o *operators) work(operator int) {
	if o.Now >= o.until {
		return
	}
	retry := func() {
		o.After(eventloop.Micros(20+o.rng.IntN(200))*eventloop.Millisecond, func() { o.work(operator) })
	}
	o.read(operator, func(current *schema.Configuration) {
		if current == nil {
			retry()
			return
		}
		first := o.order(operator, current.Version)
		// Some don't wait for the answer and build on their own order.
		if o.rng.IntN(4) == 0 {
			o.send(o.order(operator, first.configuration.Version), func() {})
		}
		o.send(first, retry)
	})
}

// order writes a new order; numbers of different operators often are the same.
func (o *operators) order(operator int, base uint64) *replaceOrder {
	version := base + 1 + uint64(o.rng.IntN(2))
	document := fmt.Sprintf("%d on %d, order %d of operator %d", version, base, len(o.orders), operator)
	each := &replaceOrder{operator: operator, sent: o.Now, configuration: &schema.ConfigurationUpdate{
		Version: version, BaseVersion: base, Document: []byte(document),
		Rows: []*schema.ConfigurationRow{{Kind: "rack", Name: "r1", Key: "weight", Value: fmt.Sprint(version % 100)}},
	}}
	o.orders = append(o.orders, each)
	return each
}

// send sends an order, at times to several nodes at once, until it has a clear
// answer; a few are given up.
func (o *operators) send(each *replaceOrder, done func()) {
	copies := 1
	if o.rng.IntN(4) == 0 {
		copies = 3
	}
	open := copies
	for range copies {
		o.sendOnce(each, func() {
			if open--; open > 0 {
				return
			}
			if each.code != 0 || each.isAbandoned {
				done()
				return
			}
			if o.rng.IntN(200) == 0 && o.Now < o.until {
				each.isAbandoned = true
			}
			o.After(eventloop.Micros(20+o.rng.IntN(300))*eventloop.Millisecond, func() { o.send(each, done) })
		})
	}
}

// sendOnce sends an order once and holds its answer against those before.
func (o *operators) sendOnce(each *replaceOrder, done func()) {
	o.sendOnceTo(o.randomGateway(), eventloop.Second, each, done)
}

func (o *operators) sendOnceTo(node *Host, duration eventloop.Micros, each *replaceOrder, done func()) {
	body := replica.EncodeClusterStateCommand(&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: each.configuration}}})
	o.call(node, duration, gateway.LeaderRequest{Kind: "clusterstate", Group: clusterstate.Group, Body: body}, func(reply gateway.Response) {
		switch {
		case reply.Code == 0 || reply.Code >= 500:
		case reply.Code != 200 && reply.Code != 412:
			o.fail("%s is answered %d: %s", each.configuration.Document, reply.Code, reply.Body)
		case each.code == 0:
			each.code, each.answered = reply.Code, o.Now
			if reply.Code == 200 {
				o.confirmed = max(o.confirmed, each.configuration.Version)
			}
			// Whoever has an answer may still have copies on their way, or ask again.
			if o.rng.IntN(3) == 0 {
				o.After(eventloop.Micros(o.rng.IntN(5000))*eventloop.Millisecond, func() { o.sendOnce(each, func() {}) })
			}
		case each.code != reply.Code:
			o.fail("%s was answered %d and then %d", each.configuration.Document, each.code, reply.Code)
		default:
			o.repeatedAnswers++
		}
		done()
	})
}

// checkReplica holds the whole history against the model.
func (o *operators) check() []string {
	builtOn := map[uint64]*replaceOrder{}
	for _, each := range o.orders {
		operation := porcupine.Operation{
			ClientId: each.operator, Input: registerInput{each}, Call: int64(each.sent), Return: int64(each.answered),
			Output: registerOutput{code: each.code},
		}
		if each.code == 0 {
			operation.Return = int64(o.Now) + 1
			// Of what was built on an order that lost, nothing will ever be known.
			if !each.isAbandoned && each.configuration.BaseVersion <= o.lastRead {
				o.fail("%s never got a clear answer", each.configuration.Document)
			}
		}
		o.history = append(o.history, operation)
		if other := builtOn[each.configuration.BaseVersion]; each.code == 200 && other != nil {
			o.fail("%s and %s were both confirmed", other.configuration.Document, each.configuration.Document)
		} else if each.code == 200 {
			builtOn[each.configuration.BaseVersion] = each
		}
	}
	if result := porcupine.CheckOperationsTimeout(register, o.history, time.Minute); result != porcupine.Ok {
		o.fail("the history of %d orders and reads isn't linearizable: %s", len(o.history), result)
	}
	return o.problems
}
