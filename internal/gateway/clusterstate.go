package gateway

// The gateway's copy of the cluster state: how fresh it is, and what is asked for.

import (
	"strconv"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// stateAsk asks for what is newer than our copy.
func (t *Table) stateAsk() *schema.ClusterStateAsk {
	return &schema.ClusterStateAsk{Version: t.state.Version, Generation: t.state.Plan.GetGeneration()}
}

func (t *Table) clusterState(now eventloop.Micros, from string, m *schema.ClusterStateTell, out eventloop.Out) {
	state, err := clusterstate.Incoming(m, t.state.Plan)
	if err != nil {
		return // it is asked for again, and until then nothing fresh has been heard
	}
	if state != nil && state.Version >= t.state.Version {
		t.state, t.values = state, t.values.Renew(state.Plan)
		t.countUnled(now)
	}
	// Our own replica tells of every change, also while it is still catching up
	// after a start; only an answer comes from one that has.
	if m.Leaders != nil && m.Version >= t.state.Version {
		t.heardAt = now
	}
	isNews := false
	for queue, leader := range m.Leaders {
		if leader != t.leaders[queue] && t.mayLead(now, leader) {
			isNews = true
			t.lead(queue, leader)
			if t.queueHas[queue] > 0 {
				t.owed[queue] = true
			}
		}
	}
	if isNews {
		// What was asked of somebody else needn't wait until it is asked again.
		for _, each := range t.requests {
			if leader, isKnown := m.Leaders[each.ask.Group]; isKnown && leader == t.leaders[each.ask.Group] && each.to != leader {
				each.isOwed = true
			}
		}
	}
	for _, note := range m.Waits {
		if note.Queue != "" {
			t.waits[note.Queue] = note
			t.pace("live/"+note.Queue).count(now, note.Ended)
		}
	}
	if from != "" && m.Leaders[clusterstate.Group] == from {
		t.unpark(now, out)
	}
}

// park holds a request for a queue that our copy of the plan lacks until the
// cluster state's leader has said what the plan is now: whoever has just put a table
// may use it at once, and who asks for a queue that isn't there is told so
// within a round trip.
func (t *Table) park(now eventloop.Micros, mail any, out eventloop.Out) bool {
	if len(t.parked) >= maxParked {
		return false
	}
	if len(t.parked) == 0 {
		t.parkedAt = now
		out.Send(t.leader(now, clusterstate.Group), t.stateAsk())
	}
	t.parked = append(t.parked, mail)
	return true
}

func (t *Table) unpark(now eventloop.Micros, out eventloop.Out) {
	list := t.parked
	t.parked = nil
	for _, mail := range list {
		switch m := mail.(type) {
		case HandIn:
			t.handIn(now, m, true, out)
		case Ask:
			t.ask(now, m, true, out)
		}
	}
}

// unknownQueue answers for a queue that isn't placed, or parks the request first.
// The queue is empty where host and path lead to none.
func (t *Table) unknownQueue(now eventloop.Micros, request uint64, queue string, mail any, isFinal bool, out eventloop.Out) {
	if !isFinal && t.isFresh(now) && t.park(now, mail, out) {
		return
	}
	switch {
	// Before the first plan nobody knows what queues there are to be.
	case !t.isFresh(now) || t.state.Plan.GetGeneration() == 0 || t.values.HasQueue(queue):
		t.refuse(request, 503, "not_ready", "this front doesn't hold the plan yet, or the queue is being made", 1, out)
	case queue == "":
		out.Answer(request, Answer{Code: 404, Body: Fault("unknown_queue", "the plan has no queue for this host and path", "path")})
	default:
		out.Answer(request, Answer{Code: 404, Body: Fault("unknown_queue", "the plan has no queue "+strconv.Quote(queue), "queue")})
	}
}

// isFresh tells whether this front has had word of the cluster state lately; a young
// process has had none at all.
func (t *Table) isFresh(now eventloop.Micros) bool {
	return t.heardAt > 0 && now-t.heardAt <= freshSpan
}

// hasWord tells whether this front had word of the cluster state just now. One that
// hadn't is cut off, most likely: what it took would wait here in vain, while
// another front could serve it.
func (t *Table) hasWord(now eventloop.Micros) bool { return t.heardAt > 0 && now-t.heardAt <= wordSpan }

func (t *Table) askClusterState(now eventloop.Micros, out eventloop.Out) {
	if now-t.askedAt < t.askRest(now) {
		return
	}
	t.askedAt = now
	if to := t.someStore(now); to != "" {
		out.Send(to, t.stateAsk())
	}
}
