package gateway

// The gateway's copy of the cluster state, and what is asked for.

import (
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// stateAsk asks for what is newer than our copy.
func (t *Table) stateAsk() *schema.ClusterStateRequest {
	return &schema.ClusterStateRequest{Version: t.state.Version, HeldRevision: t.state.Configuration.GetRevision()}
}

func (t *Table) clusterState(now eventloop.Micros, m *schema.ClusterStateResponse, out eventloop.Effects) {
	state, err := clusterstate.DecodeUpdate(m, t.state.Configuration)
	if err != nil {
		return // it is asked for again, and until then nothing fresh has been heard
	}
	if state != nil && state.Version >= t.state.Version {
		t.state, t.values = state, t.values.Refresh(state.Configuration)
		t.countUnled(now)
		t.endDropped(now, out)
	}
	// Our own replica tells of every change, also while it is still catching up
	// after a start; only an answer comes from one that has.
	if m.Version >= t.state.Version {
		t.lease.answered(m.Sequence, eventloop.Micros(m.AgeUs))
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
	for _, note := range m.QueueStatuses {
		if note.Queue != "" {
			t.waits[note.Queue] = note
			t.pace("live/"+note.Queue).count(now, note.EndedJobs)
		}
	}
}

func (t *Table) askClusterState(now eventloop.Micros, out eventloop.Effects) {
	if now-t.askedAt < t.askRest(now) {
		return
	}
	t.askedAt = now
	if t.lease.isHalfOver(now) {
		for _, id := range t.storesInTurn() {
			t.askAt(now, id, out)
		}
		return
	}
	if to := t.someStore(now); to != "" {
		t.askAt(now, to, out)
	}
}

func (t *Table) askAt(now eventloop.Micros, store string, out eventloop.Effects) {
	ask := t.stateAsk()
	ask.Sequence = t.lease.question(now)
	out.Send(store, ask)
}
