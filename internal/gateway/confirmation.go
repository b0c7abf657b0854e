package gateway

import (
	"strconv"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	confirmationSpan = 500 * eventloop.Millisecond // a call for an unknown queue waits so long for the leader's word
	maxParked        = 256
	// Confirmations are requests of our own, numbered above those of callers.
	firstConfirmation = 1 << 63
)

// confirmation holds calls for queues that our copy of the plan lacks until the
// cluster state's leader has told, with a majority's word given after the call came,
// what the plan is. Whoever has just put a plan may use it at once, and nobody is told
// that there is no such queue by a copy that may be old.
type confirmation struct {
	number uint64 // of the request that is out; 0: none
	sentAt eventloop.Micros
	riding []any // calls that came before it was sent: its answer decides them
	next   []any // calls that came since
	last   uint64
}

// park holds a call until its queue is found, or confirmed not to be there.
func (t *Table) park(now eventloop.Micros, call any, out eventloop.Effects) bool {
	c := &t.confirmation
	if len(c.riding)+len(c.next) >= maxParked {
		return false
	}
	c.next = append(c.next, call)
	if c.number == 0 {
		t.confirm(now, out)
	}
	return true
}

// confirm asks for all calls that wait for an answer to a question sent since.
func (t *Table) confirm(now eventloop.Micros, out eventloop.Effects) {
	c := &t.confirmation
	if len(c.next) == 0 {
		return
	}
	c.last++
	c.number, c.sentAt, c.riding, c.next = firstConfirmation+c.last, now, c.next, nil
	body, err := proto.Marshal(t.stateAsk())
	if err != nil {
		panic("gateway: " + err.Error())
	}
	each := &request{ask: Ask{Request: c.number, Kind: "state", Group: clusterstate.Group, Body: body, Deadline: now + confirmationSpan}}
	t.requests[c.number] = each
	t.carry(now, each, out)
}

// stateConfirmed takes the leader's answer and decides the calls that rode on it.
func (t *Table) stateConfirmed(now eventloop.Micros, m *schema.Response, out eventloop.Effects) {
	tell := &schema.ClusterStateResponse{}
	if m.Code != 200 || proto.Unmarshal(m.Body, tell) != nil {
		t.stateUnconfirmed(now, out)
		return
	}
	t.clusterState(now, tell, out)
	if t.state.Version < tell.Version {
		// What is newer is still on its way here.
		t.stateUnconfirmed(now, out)
		return
	}
	t.lease.confirmedAt = max(t.lease.confirmedAt, t.confirmation.sentAt)
	for _, call := range t.takeRiding() {
		switch m := call.(type) {
		case HandIn:
			t.handIn(now, m, true, out)
		case Ask:
			t.ask(now, m, true, out)
		}
	}
	t.confirm(now, out)
}

// stateUnconfirmed turns away what rode on the question: nobody knows whether there is
// such a queue.
func (t *Table) stateUnconfirmed(now eventloop.Micros, out eventloop.Effects) {
	for _, call := range t.takeRiding() {
		switch m := call.(type) {
		case HandIn:
			t.notReady(now, m.Request, out)
		case Ask:
			t.notReady(now, m.Request, out)
		}
	}
	t.confirm(now, out)
}

func (t *Table) takeRiding() []any {
	c := &t.confirmation
	list := c.riding
	delete(t.requests, c.number)
	c.number, c.riding = 0, nil
	return list
}

// tickConfirmation gives up on a leader that doesn't answer.
func (t *Table) tickConfirmation(now eventloop.Micros, out eventloop.Effects) {
	if t.confirmation.number != 0 && now-t.confirmation.sentAt > confirmationSpan {
		t.stateUnconfirmed(now, out)
	}
}

// unknownQueue answers for a queue that isn't placed, or parks the call first. The
// queue is empty where host and path lead to none.
func (t *Table) unknownQueue(now eventloop.Micros, request uint64, queue string, call any, isConfirmed bool, out eventloop.Effects) {
	switch {
	case !t.lease.isValid(now):
		t.notReady(now, request, out)
	case !isConfirmed:
		if !t.park(now, call, out) {
			t.refuse(request, 503, "not_ready", "too many calls wait to hear what queues there are", 1, out)
		}
	// Before the first plan nobody knows what queues there are to be.
	case t.state.Configuration.GetRevision() == 0 || t.values.HasQueue(queue):
		t.refuse(request, 503, "not_ready", "there is no plan yet, or the queue is being made", 1, out)
	case queue == "":
		out.Respond(request, Answer{Code: 404, Body: Fault("unknown_queue", "the plan has no queue for this host and path", "path")})
	default:
		out.Respond(request, Answer{Code: 404, Body: Fault("unknown_queue", "the plan has no queue "+strconv.Quote(queue), "queue")})
	}
}
