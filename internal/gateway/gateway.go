// Package gateway owns what a front does for callers, workers and operators:
// it numbers each client session's submissions, resends what isn't confirmed,
// and carries other requests to whoever leads.
package gateway

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

// Pace is the tick of the table.
const Pace = 50 * eventloop.Millisecond

const (
	resendSpan    = 700 * eventloop.Millisecond  // an unconfirmed submission is sent again after this
	redirectSpan  = 40 * eventloop.Millisecond   // between two redirects of one thing
	retrySpan     = 400 * eventloop.Millisecond  // another request is sent again after this
	storeSpan     = 1200 * eventloop.Millisecond // a store unheard for longer is asked only for want of others
	askSpan       = 250 * eventloop.Millisecond  // between looks at the cluster state, at most
	storesPerTurn = 2                            // stores that a front without word asks at once
	newSpan       = 2 * eventloop.Second         // after a queue lost its leader the cluster state is looked at more often
	quietSpan     = 30 * eventloop.Second        // a client session that rests this long is ended
	frozenSpan    = 20 * eventloop.Second        // after a longer pause this front starts afresh
	listedSpan    = 5 * eventloop.Second         // fronts that weren't heard of for longer aren't listed
	youngSpan     = 900 * eventloop.Millisecond  // a process that never had word carries an operator's call so long; who calls waits a second
	maxPending    = 4096                         // requests of all kinds at once
	rateSpan      = eventloop.Second             // over which what a queue gets done is counted
	longestRetry  = 30                           // seconds
	maxResend     = 64                           // submissions resent a queue and tick
	quietedMost   = 64
	ledSpan       = 300 * eventloop.Millisecond // a queue without a leader for so long takes no new hand-ins here
)

// Table is the gateway's table.
type Table struct {
	id           string
	boot         uint64
	epoch        uint64 // of sessions made here, so that none is ever taken up again
	rng          *rand.Rand
	state        *schema.ClusterState
	values       *clusterstate.Values
	lease        stateLease
	leaders      map[string]string
	unled        map[string]eventloop.Micros // queues that nobody is known to lead, and since when
	waits        map[string]*schema.QueueStatus
	roll         *membership.View
	sessions     map[queueClient]*session
	byId         map[string]*session
	requests     map[uint64]*request
	polls        map[uint64]PollIn
	met          map[string]eventloop.Micros
	quitting     map[string][]*schema.Session
	confirmation confirmation // of queues that our copy of the plan lacks
	pending      int
	queueHas     map[string]int         // unconfirmed by queue
	asked        map[uint64]*submission // by request
	askedAt      eventloop.Micros
	redirected   map[string]eventloop.Micros     // by queue
	owed         map[string]bool                 // queues whose redirect waits for the next tick
	denied       map[queueStore]eventloop.Micros // when a store last said that it doesn't lead a queue
	last         eventloop.Micros
	paces        map[string]*pace
	wasInTouch   bool // requests in hand could be carried at the last tick
	turn         int  // of stores that are asked without word
	isWarned     bool
	isLocal      bool // the cluster state is in this process
}

// New makes the table of the front with this id and boot.
func New(id string, boot uint64, isLocal bool, rng *rand.Rand) *Table {
	return &Table{
		id: id, boot: boot, rng: rng, isLocal: isLocal, state: &schema.ClusterState{}, values: clusterstate.ParseValues(nil),
		leaders: map[string]string{}, unled: map[string]eventloop.Micros{}, waits: map[string]*schema.QueueStatus{}, sessions: map[queueClient]*session{}, byId: map[string]*session{},
		requests: map[uint64]*request{}, polls: map[uint64]PollIn{}, met: map[string]eventloop.Micros{}, quitting: map[string][]*schema.Session{},
		queueHas: map[string]int{}, asked: map[uint64]*submission{}, redirected: map[string]eventloop.Micros{}, owed: map[string]bool{}, denied: map[queueStore]eventloop.Micros{},
		paces: map[string]*pace{}, lease: newStateLease(boot),
	}
}

// Bind takes what the deployment promises.
func (t *Table) Bind(bounds *schema.Bounds) *Table {
	if apply := eventloop.Micros(bounds.GetApplyUs()); apply > 0 {
		t.lease.applyBound = apply
	}
	return t
}

// Step implements eventloop.Table.
func (t *Table) Step(now eventloop.Micros, mail eventloop.Message, out eventloop.Effects) {
	switch body := mail.Body.(type) {
	case eventloop.Tick:
		t.tick(now, out)
	case HandIn:
		t.handIn(now, body, false, out)
	case Ask:
		t.ask(now, body, false, out)
	case PollIn:
		t.poll(now, body, out)
	case Ready:
		t.ready(now, body, out)
	case Fronts:
		t.fronts(now, body, out)
	case Forget:
		t.forget(body.Request)
	case *schema.SubmitResponse:
		t.applied(now, mail.From, body, out)
	case *schema.Response:
		t.replied(now, body, out)
	case *schema.WorkerPollResponse:
		t.polled(body, out)
	case *schema.ClusterStateResponse:
		t.clusterState(now, body, out)
	case *membership.View:
		t.roll = body
		for group, id := range t.leaders {
			if known, isKnown := body.Members[id]; isKnown && known.Member.Draining {
				t.unlead(now, group)
			}
		}
	case Warned:
		t.isWarned = true
	}
}

func (t *Table) tick(now eventloop.Micros, out eventloop.Effects) {
	if t.last > 0 && now-t.last > frozenSpan {
		// Others may have given us up meanwhile, and our callers have.
		t.restart(now, out)
	}
	t.last = now
	// A replica of our own may not be one of the voters, as after its disk was
	// lost, or may be cut off from them: then others are asked.
	if !t.isLocal || t.lease.isHalfOver(now) || t.state.Version == 0 || len(t.leaders) == 0 {
		t.askClusterState(now, out)
	} else if now-t.askedAt >= t.askRest(now) {
		t.askedAt = now
		t.askAt(now, t.id, out)
	}
	queues := map[string]bool{}
	for key, s := range t.sessions {
		if len(s.waiting) > 0 {
			queues[key.queue] = true
		}
	}
	for _, queue := range sorted(t.owed) {
		delete(t.owed, queue)
		t.redirected[queue] = now
		if list := t.elsewhere(queue); len(list) > 0 {
			t.send(now, queue, list, out)
		}
	}
	for _, queue := range sorted(queues) {
		isOverdue := func(each *submission) bool { return now-each.sent >= resendSpan }
		if list := t.unconfirmed(queue, isOverdue); len(list) > 0 {
			// Whoever doesn't answer may be gone: ask around.
			t.unlead(now, queue)
			t.send(now, queue, list, out)
		}
	}
	t.tickConfirmation(now, out)
	for _, p := range t.paces {
		p.count(now, p.done)
	}
	isInTouch := !t.lease.isLost(now)
	if t.wasInTouch && !isInTouch {
		t.giveUp(now, out)
	}
	t.wasInTouch = isInTouch
	t.tickRequests(now, out)
	t.endQuiet(now, out)
	for id, m := range t.polls {
		if now > m.Deadline {
			delete(t.polls, id)
		}
	}
	for key, at := range t.denied {
		if now-at > resendSpan {
			delete(t.denied, key)
		}
	}
	for worker, at := range t.met {
		if now-at > 10*eventloop.Second {
			delete(t.met, worker)
		}
	}
}

func sorted(set map[string]bool) []string {
	return slices.Sorted(maps.Keys(set))
}

// fronts lists the fronts heard of lately, so that whoever knows one of them
// finds the others.
func (t *Table) fronts(now eventloop.Micros, m Fronts, out eventloop.Effects) {
	list := &schema.GatewayList{Gateways: []*schema.GatewayEndpoint{}}
	if t.roll != nil {
		ids := slices.Sorted(maps.Keys(t.roll.Members))
		for _, id := range ids {
			if member := t.roll.Members[id].Member; member.Role == schema.Role_ROLE_SERVER && t.roll.IsAlive(id, now, listedSpan) {
				list.Gateways = append(list.Gateways, &schema.GatewayEndpoint{Address: member.HttpAddress, Zone: member.Zone, Draining: member.Draining})
			}
		}
	}
	data, err := json.Marshal(list)
	if err != nil {
		t.refuse(m.Request, 500, "internal", err.Error(), 0, out)
		return
	}
	out.Respond(m.Request, Answer{Code: 200, Body: data})
}

// ready tells whether this front can take requests and carry them.
func (t *Table) ready(now eventloop.Micros, m Ready, out eventloop.Effects) {
	switch {
	case t.isWarned:
		t.refuse(m.Request, 503, "leaving", "this process is leaving", 0, out)
	case !t.lease.isValid(now):
		t.refuse(m.Request, 503, "not_ready", "no fresh word of the cluster state", 1, out)
	default:
		out.Respond(m.Request, Answer{Code: 200, Body: []byte(`{"ready":true}`)})
	}
}
