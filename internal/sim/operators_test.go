package sim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/encoding/protojson"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/gateway"
	"sparnotch/internal/schema"
)

// --- the model: a compare-and-set register whose updates may be sent repeatedly ---

// registerInput is the input of one operation: an update, however often its operator sent it, or
// a read if update is nil.
type registerInput struct{ update *operatorUpdate }

// registerOutput is the outcome of an update, or the configuration that a read returned.
type registerOutput struct {
	code     int32 // 200 or 412; 0: the update never got a clear answer
	version  uint64
	document string
}

// registerState is the configuration that the register holds.
type registerState struct {
	version  uint64
	document string
}

// register is the model, which decides whether an update or read may have an outcome. An update
// that never got a clear answer may have taken effect at any time after it was sent.
var register = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(before, input, output any) (bool, any) {
		state, answer := before.(registerState), output.(registerOutput)
		sent := input.(registerInput).update
		if sent == nil {
			return state == registerState{answer.version, answer.document}, state
		}
		update := sent.content
		isBasedOnState := update.BaseVersion == state.version
		after := registerState{update.Version, string(update.Document)}
		switch {
		case answer.code == 412:
			// An update is refused only if its base was replaced by another update; a base
			// that doesn't exist yet is no reason.
			return update.BaseVersion < state.version, state
		case isBasedOnState:
			return true, after
		}
		return answer.code == 0, state
	},
	DescribeOperation: func(input, output any) string {
		answer := output.(registerOutput)
		if update := input.(registerInput).update; update != nil {
			return fmt.Sprintf("%s -> %d", update.content.Document, answer.code)
		}
		return fmt.Sprintf("read -> %s", answer.document)
	},
}

// --- operators ---

// operatorUpdate is one update and the answers that its operator has received.
type operatorUpdate struct {
	operator    int
	content     *schema.ConfigurationUpdate
	sentAt      eventloop.Micros // when it was first sent
	answeredAt  eventloop.Micros // when it first got a clear answer
	code        int32            // 200 or 412; 0: no clear answer yet
	isAbandoned bool             // whether its operator stops sending it
}

// operators simulates operators who replace the configuration concurrently, through any gateway,
// and who don't receive some of the answers.
type operators struct {
	*Simulation
	rng              *rand.Rand
	until            eventloop.Micros // time until which they send new updates
	lossRate         float64          // share of the answers that are lost
	updates          []*operatorUpdate
	history          []porcupine.Operation
	problems         []string
	confirmedVersion uint64 // newest version of which an operator got the confirmation
	lastReadVersion  uint64 // version that was read at the end
	repeatedAnswers  int    // number of clear answers to updates that already had one
}

func (o *operators) fail(format string, args ...any) {
	if len(o.problems) < 10 {
		o.problems = append(o.problems, fmt.Sprintf("at %.3f s: ", float64(o.Now)/1e6)+fmt.Sprintf(format, args...))
	}
}

func (o *operators) randomGateway() *Host {
	gateways := o.Gateways()
	return gateways[o.rng.IntN(len(gateways))]
}

// call sends a request to a gateway and calls back with the response. It loses a share lossRate of
// the responses, for which it calls back with an empty one.
func (o *operators) call(node *Host, timeout eventloop.Micros, request gateway.LeaderRequest, callback func(response gateway.Response)) {
	isLost := o.rng.Float64() < o.lossRate
	o.Request(node, timeout, leaderRequest(request), func(answer any) {
		response := responseOf(answer)
		if isLost {
			response = gateway.Response{}
		}
		callback(response)
	})
}

// read reads the configuration and calls back with it, or with nil if it couldn't be read.
func (o *operators) read(operator int, callback func(current *schema.Configuration)) {
	sentAt, confirmed := o.Now, o.confirmedVersion
	o.call(o.randomGateway(), eventloop.Second, configurationRequest(), func(response gateway.Response) {
		current := &schema.Configuration{}
		if response.Code != 200 || protojson.Unmarshal(response.Body, current) != nil {
			if response.Code >= 400 && response.Code < 500 {
				o.fail("a read was refused with status %d", response.Code)
			}
			callback(nil)
			return
		}
		if current.Version < confirmed {
			o.fail("a read returned version %d although version %d was confirmed before the read was sent", current.Version, confirmed)
		}
		o.history = append(o.history, porcupine.Operation{
			ClientId: operator, Input: registerInput{}, Call: int64(sentAt), Return: int64(o.Now),
			Output: registerOutput{code: 200, version: current.Version, document: string(current.Document)},
		})
		callback(current)
	})
}

// work makes an operator send updates one after another.
func (o *operators) work(operator int) {
	if o.Now >= o.until {
		return
	}
	next := func() {
		o.After(eventloop.Micros(20+o.rng.IntN(200))*eventloop.Millisecond, func() { o.work(operator) })
	}
	o.read(operator, func(current *schema.Configuration) {
		if current == nil {
			next()
			return
		}
		first := o.newUpdate(operator, current.Version)
		// Sometimes the operator sends a second update that is based on the first one without
		// waiting for the answer.
		if o.rng.IntN(4) == 0 {
			o.send(o.newUpdate(operator, first.content.Version), func() {})
		}
		o.send(first, next)
	})
}

// newUpdate returns a new update. Updates of different operators often have the same version.
// Every third update is a patch, which sets the only member of the JSON document.
func (o *operators) newUpdate(operator int, base uint64) *operatorUpdate {
	version := base + 1 + uint64(o.rng.IntN(2))
	document := fmt.Sprintf(`{"content":"%d on %d, order %d of operator %d"}`, version, base, len(o.updates), operator)
	update := &operatorUpdate{operator: operator, sentAt: o.Now, content: &schema.ConfigurationUpdate{
		Version: version, BaseVersion: base, Document: []byte(document), IsPatch: base > 0 && len(o.updates)%3 == 0,
		Rows: []*schema.ConfigurationRow{{Kind: "rack", Name: "r1", Key: "weight", Value: fmt.Sprint(version % 100)}},
	}}
	o.updates = append(o.updates, update)
	return update
}

// send sends an update repeatedly until it has a clear answer, sometimes through several gateways
// at once. It abandons a few of the updates.
func (o *operators) send(update *operatorUpdate, done func()) {
	copies := 1
	if o.rng.IntN(4) == 0 {
		copies = 3
	}
	open := copies
	for range copies {
		o.sendOnce(update, func() {
			if open--; open > 0 {
				return
			}
			if update.code != 0 || update.isAbandoned {
				done()
				return
			}
			if o.rng.IntN(200) == 0 && o.Now < o.until {
				update.isAbandoned = true
			}
			o.After(eventloop.Micros(20+o.rng.IntN(300))*eventloop.Millisecond, func() { o.send(update, done) })
		})
	}
}

// sendOnce sends an update once through a random gateway, and compares the answer with the
// earlier ones.
func (o *operators) sendOnce(update *operatorUpdate, done func()) {
	o.sendOnceTo(o.randomGateway(), eventloop.Second, update, done)
}

func (o *operators) sendOnceTo(node *Host, timeout eventloop.Micros, update *operatorUpdate, done func()) {
	o.call(node, timeout, updateRequest(update.content), func(response gateway.Response) {
		o.recordAnswer(update, response)
		done()
	})
}

func (o *operators) recordAnswer(update *operatorUpdate, response gateway.Response) {
	document := update.content.Document
	switch {
	case response.Code == 0 || response.Code >= 500:
	case response.Code != 200 && response.Code != 412:
		o.fail("%s was answered with the unexpected status %d: %s", document, response.Code, response.Body)
	case update.code == 0:
		update.code, update.answeredAt = response.Code, o.Now
		if response.Code == 200 {
			o.confirmedVersion = max(o.confirmedVersion, update.content.Version)
		}
		// After an answer, further copies of the update may still arrive, or be sent.
		if o.rng.IntN(3) == 0 {
			o.After(eventloop.Micros(o.rng.IntN(5000))*eventloop.Millisecond, func() { o.sendOnce(update, func() {}) })
		}
	case update.code != response.Code:
		o.fail("%s was answered %d and then %d", document, update.code, response.Code)
	default:
		o.repeatedAnswers++
	}
}

// check checks the whole history against the model, and returns the problems.
func (o *operators) check() []string {
	builtOn := map[uint64]*operatorUpdate{}
	for _, update := range o.updates {
		operation := porcupine.Operation{
			ClientId: update.operator, Input: registerInput{update}, Call: int64(update.sentAt), Return: int64(update.answeredAt),
			Output: registerOutput{code: update.code},
		}
		if update.code == 0 {
			operation.Return = int64(o.Now) + 1
			// An update that is based on a refused update never gets a clear answer.
			if !update.isAbandoned && update.content.BaseVersion <= o.lastReadVersion {
				o.fail("%s never got a clear answer", update.content.Document)
			}
		}
		o.history = append(o.history, operation)
		if other := builtOn[update.content.BaseVersion]; update.code == 200 && other != nil {
			o.fail("%s and %s were both confirmed", other.content.Document, update.content.Document)
		} else if update.code == 200 {
			builtOn[update.content.BaseVersion] = update
		}
	}
	if result := porcupine.CheckOperationsTimeout(register, o.history, time.Minute); result != porcupine.Ok {
		o.fail("the history of %d updates and reads isn't linearizable: %s", len(o.history), result)
	}
	return o.problems
}
